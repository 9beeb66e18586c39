"""The platform's list of media hosts: turns its numbered snapshots into changes (interface.ServerList)."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

from ..interface import ListKind, ServerEntry, ServerList, ServerState
from ..protocol.node.fleet import DRAINING, GONE, Host

_STATES = {DRAINING: ServerState.DRAINING, GONE: ServerState.GONE}
MS = 1_000_000


class Fleet:
    """The known host list. `unix_offset` (ns) added to this front's clock gives Unix time."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...], unix_offset: int) -> None:
        self.zones, self.kinds, self.unix_offset = zones, kinds, unix_offset
        self.serial = -1
        self.hosts: dict[str, Host] = {}
        self.numbers: dict[str, int] = {}
        self._next_number = count()

    def load_events(self, serial: int, events: Iterable[tuple[bool, tuple[Host, ...]]]) -> ServerList:
        """Apply the events of the configuration, as the list that was known before this front started."""
        for whole, hosts in events:
            self._apply(hosts, whole)
        self.serial = serial
        return ServerList(ListKind.CACHED, tuple(map(self._entry, self.hosts.values())))

    def update(self, serial: int, hosts: tuple[Host, ...]) -> ServerList | None:
        """Apply a complete list. None if it changes nothing or its serial is not newer than the known one: an old list
        would bring back hosts that have gone.
        """
        if serial <= self.serial:
            return None
        self.serial = serial
        entries = self._apply(hosts, True)
        return ServerList(ListKind.DELTA, entries) if entries else None

    def _apply(self, hosts: tuple[Host, ...], whole: bool) -> tuple[ServerEntry, ...]:
        """Apply host entries; returns those that changed, hosts that have gone first."""
        present = {host.name for host in hosts if host.state != GONE}
        mentioned = {host.name for host in hosts}
        gone = [name for name in self.hosts if name not in present and (whole or name in mentioned)]
        changed = [host for host in hosts if host.state != GONE and self.hosts.get(host.name) != host]
        entries = []
        for name in gone:
            host = self.hosts.pop(name)
            entries.append(self._server_entry(host, ServerState.GONE))
            # names that never come back must not accumulate; one that does is a new server
            del self.numbers[name]
        for host in changed:
            self.hosts[host.name] = host
            if host.name not in self.numbers:
                self.numbers[host.name] = next(self._next_number)
            entries.append(self._entry(host))
        return tuple(entries)

    def _entry(self, host: Host) -> ServerEntry:
        return self._server_entry(host, _STATES.get(host.state, ServerState.READY))

    def _server_entry(self, host: Host, state: ServerState) -> ServerEntry:
        zone = self.zones.index(host.zone) if host.zone in self.zones else 0
        # a kind that the settings do not name gets the index past the last: the controller assumes the fewest places
        kind = self.kinds.index(host.kind) if host.kind in self.kinds else len(self.kinds)
        started = max(1, host.started * MS - self.unix_offset) if host.started else 0
        return ServerEntry(self.numbers[host.name], host.weight, kind, host.cell, zone, state, started)
