"""The list of media hosts: as JSON in a node's configuration, and as DNS answers (RFC 1035, RFC 2782) after it."""

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
MOST_HOSTS = 10_000


class BadAnswer(ValueError):
    """An answer that tells nothing: why."""


@dataclass(frozen=True, slots=True)
class Host:
    """One media host as the list tells of it. `started` is in Unix ms, 0 where long ago."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started: int


def query(number: int) -> bytes:
    """The question for the whole list, under `number`."""
    message = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
    message.id = number
    message.flags = dns.flags.Flag(0)
    return message.to_wire()


def parse_answer(data: bytes, number: int) -> tuple[int, tuple[Host, ...]]:
    """Serial and list of a whole, good answer to the query `number`; BadAnswer otherwise."""
    try:
        message = dns.message.from_wire(data)
    except Exception as error:  # whatever the library makes of a peer's bytes, they must not end the node
        raise BadAnswer(f"cannot be read: {type(error).__name__}") from None
    if message.id != number or not message.flags & dns.flags.QR:
        raise BadAnswer("is not the answer to what was asked")
    if message.flags & dns.flags.TC:
        raise BadAnswer("is cut short")
    if message.rcode() != dns.rcode.NOERROR:
        raise BadAnswer(f"reports {dns.rcode.to_text(message.rcode())}")
    serial = next(
        (rd.serial for rrset in message.authority for rd in rrset if isinstance(rd, dns.rdtypes.ANY.SOA.SOA)), None
    )
    if serial is None:
        raise BadAnswer("has no serial")
    return serial, _hosts(message)


def _hosts(message: dns.message.Message) -> tuple[Host, ...]:
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
    for one in services[:MOST_HOSTS]:
        labels = [label.decode("utf-8", "replace") for label in one.target.labels]
        if len(labels) < 2 or one.target not in addresses or one.target not in texts:
            raise BadAnswer(f"lacks records of {one.target}")
        text = texts[one.target]
        found.append(
            Host(
                labels[0],
                f"{addresses[one.target]}:{one.port}",
                labels[1],
                text.get("kind", ""),
                _whole(text.get("cell"), "cell"),
                DRAINING if one.priority else READY,
                one.weight / 10,
                _whole(text.get("started", "0"), "started"),
            )
        )
    return tuple(found)


def _whole(value: Any, name: str) -> int:
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 16:
        return int(value)
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 53:
        return value
    raise BadAnswer(f"{name} is no whole number: {str(value)[:40]!r}")


def parse_known(known: Any) -> tuple[int, list[tuple[bool, tuple[Host, ...]]]]:
    """The configuration's `known`: the last number, and for each event whether it is the whole list, and its lines."""
    if not isinstance(known, dict) or not isinstance(known.get("events"), list):
        raise BadAnswer("known holds no events")
    events = []
    for n, event in enumerate(known["events"]):
        members = event.get("members") if isinstance(event, dict) else None
        if not isinstance(members, dict) or not isinstance(members.get("members"), list):
            raise BadAnswer(f"known.events[{n}] holds no members")
        events.append(
            (
                members.get("complete") is True or n == 0,
                tuple(_member(raw, f"known.events[{n}]") for raw in members["members"]),
            )
        )
    return _whole(known.get("n"), "known.n"), events


def _member(raw: Any, where: str) -> Host:
    if not isinstance(raw, dict):
        raise BadAnswer(f"{where}: a member is no object")
    state, weight = raw.get("phase"), raw.get("size", 1)
    if state not in _STATES:
        raise BadAnswer(f"{where}: phase is unknown: {str(state)[:40]!r}")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise BadAnswer(f"{where}: size is no number: {str(weight)[:40]!r}")
    return Host(
        str(raw.get("id", "")),
        str(raw.get("host_port", "")),
        str(raw.get("locality", "")),
        str(raw.get("flavor", "")),
        _whole(raw.get("cell", 0), f"{where}: cell"),
        state,
        float(weight),
        _whole(raw.get("up_since_ms", 0), f"{where}: up_since_ms"),
    )
