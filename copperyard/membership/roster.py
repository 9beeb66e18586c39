"""Tracks the list of hosts: takes bodies of the list service, returns interface.ServerList.

The service numbers its lists by generation. A body is either the full list, or the changes since a generation. A body
that does not follow the known generation is not applied, and the full list is requested.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, replace
from typing import Any

from ..interface import ListKind, ServerEntry, ServerList, ServerState

MS = 1_000_000
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING, "gone": ServerState.GONE}
MAX_HOSTS = 100_000


class ListError(ValueError):
    """An invalid body of the list service; nothing of it was applied."""


@dataclass(frozen=True, slots=True)
class HostLine:
    """One host in a body. `age`: ns since the host started, None if that is long ago."""

    name: str
    address: str
    cell: int
    zone: int
    kind: int
    weight: float
    state: ServerState
    boot: str
    age: int | None


class Roster:
    """The known list of hosts. `zones`: names of zones in the order of their numbers."""

    def __init__(self, zones: tuple[str, ...], cells: int) -> None:
        self.zones, self.cells = zones, cells
        self.generation: int | None = None
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, str] = {}
        self._started: dict[int, tuple[str, int]] = {}
        self._entries: dict[int, ServerEntry] = {}
        self._boots: dict[int, str] = {}
        self._next = 0

    def apply_body(self, now: int, body: bytes) -> ServerList | None:
        """Apply one answer of the service; return None if it brings nothing new.

        An invalid body raises BadList, and so does one that does not follow the known generation; then `generation` is
        None and the full list has to be requested.
        """
        try:
            raw = json.loads(body.decode("utf-8"))
        except (UnicodeDecodeError, ValueError, RecursionError) as error:
            raise ListError(f"not JSON: {error}") from None
        if not isinstance(raw, dict):
            raise ListError("not an object")
        generation = _integer(raw, "generation", 1 << 62)
        since = _integer(raw, "since", 1 << 62) if raw.get("since") is not None else None
        if since is not None and since != self.generation:
            known, self.generation = self.generation, None
            raise ListError(f"changes since generation {since}, but {known} is known")
        if generation == self.generation:
            return None
        if self.generation is not None and generation < self.generation:
            # from a restarted or lagging service; an older list would bring back removed hosts
            raise ListError(f"generation {generation} is older than {self.generation}")
        lines = self._parse_hosts(raw)
        self.generation = generation
        entries = tuple(self._entry(now, line) for line in lines)
        if since is None:
            named = {entry.server for entry in entries}
            for server in [s for s in self.addresses if s not in named]:
                self._drop(server)
        return ServerList(ListKind.FULL if since is None else ListKind.DELTA, entries)

    def _parse_hosts(self, raw: dict[str, Any]) -> list[HostLine]:
        hosts = raw.get("hosts")
        if not isinstance(hosts, list) or len(hosts) > MAX_HOSTS:
            raise ListError(f"hosts is no list of at most {MAX_HOSTS}")
        lines = [self._parse_host(n, host) for n, host in enumerate(hosts)]
        names = {line.name for line in lines}
        if len(names) != len(lines):
            duplicate = next(x.name for x in lines if sum(y.name == x.name for y in lines) > 1)
            raise ListError(f"two hosts are named {duplicate!r}")
        # with two names at one address one machine would count as two
        live = [line for line in lines if line.state != ServerState.GONE]
        if len({line.address for line in live}) != len(live):
            duplicate = next(x.address for x in live if sum(y.address == x.address for y in live) > 1)
            raise ListError(f"two hosts have the address {duplicate}")
        return lines

    def _parse_host(self, n: int, host: Any) -> HostLine:
        if not isinstance(host, dict):
            raise ListError(f"hosts[{n}] is not an object")
        try:
            name, address, zone = host["id"], host["address"], host.get("zone", self.zones[0])
            state, weight = host.get("state", "ready"), host.get("weight", 1.0)
            boot = str(host.get("boot", ""))[:64]
        except KeyError as error:
            raise ListError(f"hosts[{n}] lacks {error.args[0]}") from None
        if not isinstance(name, str) or not 0 < len(name) <= 64:
            raise ListError(f"hosts[{n}].id is no text of 1 to 64 characters")
        if not _is_address(address):
            raise ListError(f"hosts[{n}].address is no host:port: {str(address)[:64]!r}")
        if zone not in self.zones:
            raise ListError(f"hosts[{n}].zone is none of the settings: {str(zone)[:64]!r}")
        if state not in _STATES:
            raise ListError(f"hosts[{n}].state is none of {', '.join(_STATES)}: {str(state)[:64]!r}")
        if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight) or weight <= 0:
            raise ListError(f"hosts[{n}].weight is no number above 0")
        cell = _integer(host, "cell", self.cells - 1, f"hosts[{n}].")
        age = _integer(host, "age_ms", 1 << 48, f"hosts[{n}].") * MS if host.get("age_ms") is not None else None
        kind = _integer(host, "kind", 255, f"hosts[{n}].") if "kind" in host else 0
        return HostLine(name, address, cell, self.zones.index(zone), kind, float(weight), _STATES[state], boot, age)

    def _entry(self, now: int, line: HostLine) -> ServerEntry:
        server = self.numbers.get(line.name)
        if server is None:
            server, self._next = self._next, self._next + 1
            self.numbers[line.name], self.names[server] = server, line.name
        self.addresses[server] = line.address
        started = self._start_time(now, server, line)
        if line.state == ServerState.GONE:
            self._drop(server)
            return ServerEntry(server, line.weight, line.kind, line.cell, line.zone, line.state, started)
        self._boots[server] = line.boot
        entry = ServerEntry(server, line.weight, line.kind, line.cell, line.zone, line.state, started)
        self._entries[server] = entry
        return entry

    def export(self, now: int) -> bytes:
        """Return the known list as a body that the roster can read again. Ages are as of now: read later they are too
        low, and a host appears colder than it is.
        """
        hosts = []
        for server, entry in self._entries.items():
            host: dict[str, Any] = {
                "id": self.names[server],
                "address": self.addresses[server],
                "cell": entry.cell,
                "zone": self.zones[entry.zone],
                "kind": entry.kind,
                "weight": entry.weight,
                "state": ServerState(entry.state).name.lower(),
                "boot": self._boots[server],
            }
            if entry.started:
                host["age_ms"] = max(0, now - entry.started) // MS
            hosts.append(host)
        return json.dumps({"generation": self.generation, "hosts": hosts}).encode()

    def host_started(self, now: int, server: int, boot: str, age: int | None) -> ServerEntry | None:
        """Take a host's own report of its boot and uptime (ns, None if long); return its entry if that is new.

        A front that asks the host learns of a restart before the list service does.
        """
        entry = self._entries.get(server)
        if entry is None or age is None or self._boots.get(server) == boot:
            return None
        self._boots[server] = boot
        started = max(1, now - age)
        self._started[server] = (boot, started)
        entry = self._entries[server] = replace(entry, started=started)
        return entry

    def _start_time(self, now: int, server: int, line: HostLine) -> int:
        """Return when the host's process started, by the local clock; 0 if long ago.

        Computed once for each boot: a time that shifted with the delay of each list would look like a restart to the
        controller.
        """
        if line.age is None:
            return 0
        boot, started = self._started.get(server, ("", 0))
        if not started or boot != line.boot:
            started = max(1, now - line.age)
            self._started[server] = (line.boot, started)
        return started

    def _drop(self, server: int) -> None:
        """Forget a removed host and its number, so that names that never return cost nothing; one that returns is a new
        server.
        """
        self.numbers.pop(self.names.pop(server, ""), None)
        self.addresses.pop(server, None)
        for table in (self._started, self._entries, self._boots):
            table.pop(server, None)


def _integer(raw: dict[str, Any], key: str, limit: int, where: str = "") -> int:
    value = raw.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= limit:
        raise ListError(f"{where}{key} is no whole number from 0 to {limit}")
    return value


def _is_address(value: Any) -> bool:
    if not isinstance(value, str) or len(value) > 255:
        return False
    host, colon, port = value.rpartition(":")
    return bool(host and colon) and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536
