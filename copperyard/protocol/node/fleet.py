"""The list of media hosts: as JSON in a node's configuration, later as DNS answers (RFC 1035, RFC 2782)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rdtypes.ANY.SOA
import dns.rdtypes.ANY.TXT
import dns.rdtypes.IN.A
import dns.rdtypes.IN.SRV

SERVICE = "_work._tcp.fleet.local"
READY, DRAINING, GONE = "Ready", "Terminating", "Gone"
_STATES = (READY, DRAINING, GONE)
MAX_HOSTS = 10_000


class HostListError(ValueError):
    """A DNS answer or configured list that cannot be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Host:
    """One entry of the host list. `started` is in Unix ms, 0 for long ago."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started: int


def encode_query(query_id: int) -> bytes:
    """The DNS query for the whole list, with id `query_id`."""
    message = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
    message.id = query_id
    message.flags = dns.flags.Flag(0)
    return message.to_wire()


def parse_answer(data: bytes, query_id: int) -> tuple[int, tuple[Host, ...]]:
    """Serial and hosts of a complete, valid answer to the query `query_id`; raises HostListError otherwise."""
    try:
        message = dns.message.from_wire(data)
    except Exception as error:  # no exception of the library over a peer's bytes may end the node
        raise HostListError(f"cannot be parsed: {type(error).__name__}") from None
    if message.id != query_id or not message.flags & dns.flags.QR:
        raise HostListError("does not match the query")
    if message.flags & dns.flags.TC:
        raise HostListError("is truncated")
    if message.rcode() != dns.rcode.NOERROR:
        raise HostListError(f"has the error code {dns.rcode.to_text(message.rcode())}")
    serial = next(
        (rd.serial for rrset in message.authority for rd in rrset if isinstance(rd, dns.rdtypes.ANY.SOA.SOA)), None
    )
    if serial is None:
        raise HostListError("has no serial number")
    return serial, _parse_hosts(message)


def _parse_hosts(message: dns.message.Message) -> tuple[Host, ...]:
    services: list[dns.rdtypes.IN.SRV.SRV] = []
    addresses: dict[Any, str] = {}
    texts: dict[Any, dict[str, str]] = {}
    for section in (message.answer, message.additional):
        for rrset in section:
            for rd in rrset:
                if isinstance(rd, dns.rdtypes.IN.SRV.SRV):
                    services.append(rd)
                elif isinstance(rd, dns.rdtypes.IN.A.A):
                    addresses[rrset.name] = rd.address
                elif isinstance(rd, dns.rdtypes.ANY.TXT.TXT):
                    pairs = (part.decode("utf-8", "replace").partition("=") for part in rd.strings)
                    texts[rrset.name] = {name: value for name, _, value in pairs}
    found = []
    for service in services[:MAX_HOSTS]:
        labels = [label.decode("utf-8", "replace") for label in service.target.labels]
        if len(labels) < 2 or service.target not in addresses or service.target not in texts:
            raise HostListError(f"lacks an A or TXT record of {service.target}")
        text = texts[service.target]
        found.append(
            Host(
                labels[0],
                f"{addresses[service.target]}:{service.port}",
                labels[1],
                text.get("kind", ""),
                _whole_number(text.get("cell"), "cell"),
                DRAINING if service.priority else READY,
                service.weight / 10,
                _whole_number(text.get("started", "0"), "started"),
            )
        )
    return tuple(found)


def _whole_number(value: Any, name: str) -> int:
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 16:
        return int(value)
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 53:
        return value
    raise HostListError(f"{name} is not a whole number: {str(value)[:40]!r}")


def parse_known(known: Any) -> tuple[int, list[tuple[bool, tuple[Host, ...]]]]:
    """Parse `known` of the configuration: the last serial, and per event whether its list is complete, and hosts."""
    if not isinstance(known, dict) or not isinstance(known.get("events"), list):
        raise HostListError("known has no list of events")
    events = []
    for n, event in enumerate(known["events"]):
        members = event.get("members") if isinstance(event, dict) else None
        if not isinstance(members, dict) or not isinstance(members.get("members"), list):
            raise HostListError(f"known.events[{n}] has no list of members")
        events.append(
            (
                members.get("complete") is True or n == 0,
                tuple(_parse_member(raw, f"known.events[{n}]") for raw in members["members"]),
            )
        )
    return _whole_number(known.get("n"), "known.n"), events


def _parse_member(raw: Any, where: str) -> Host:
    if not isinstance(raw, dict):
        raise HostListError(f"{where}: a member is not an object")
    state, weight = raw.get("phase"), raw.get("size", 1)
    if state not in _STATES:
        raise HostListError(f"{where}: unknown phase: {str(state)[:40]!r}")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise HostListError(f"{where}: size is not a number: {str(weight)[:40]!r}")
    return Host(
        str(raw.get("id", "")),
        str(raw.get("host_port", "")),
        str(raw.get("locality", "")),
        str(raw.get("flavor", "")),
        _whole_number(raw.get("cell", 0), f"{where}: cell"),
        state,
        float(weight),
        _whole_number(raw.get("up_since_ms", 0), f"{where}: up_since_ms"),
    )
