"""The platform's list of media hosts: numbered snapshots of it in, interface.ServerList out."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

from ..interface import ListKind, ServerEntry, ServerList, ServerState
from ..protocol.node.fleet import DRAINING, GONE, Host

_STATES = {DRAINING: ServerState.DRAINING, GONE: ServerState.GONE}
MS = 1_000_000


class Fleet:
    """What was heard of the list. `unix` is what makes this front's clock Unix time (ns, added)."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...], unix: int) -> None:
        self.zones, self.kinds, self.unix = zones, kinds, unix
        self.serial = -1
        self.hosts: dict[str, Host] = {}
        self.numbers: dict[str, int] = {}
        self._next = count()

    def start(self, serial: int, events: Iterable[tuple[bool, tuple[Host, ...]]]) -> ServerList:
        """The events of the configuration, as the list that was known before this front began."""
        for whole, hosts in events:
            self._apply(hosts, whole)
        self.serial = serial
        return ServerList(ListKind.CACHED, tuple(map(self._entry, self.hosts.values())))

    def take(self, serial: int, hosts: tuple[Host, ...]) -> ServerList | None:
        """A whole list under its serial. None where it tells nothing new, or is older than what is known: an old
        list would bring back hosts that have gone."""
        if serial <= self.serial:
            return None
        self.serial = serial
        entries = self._apply(hosts, True)
        return ServerList(ListKind.DELTA, entries) if entries else None

    def _apply(self, hosts: tuple[Host, ...], whole: bool) -> tuple[ServerEntry, ...]:
        """Take lines over; the entries that changed, those of hosts that have gone first."""
        named = {host.name for host in hosts if host.state != GONE}
        told = {host.name for host in hosts}
        gone = [name for name in self.hosts if name not in named and (whole or name in told)]
        changed = [host for host in hosts if host.state != GONE and self.hosts.get(host.name) != host]
        entries = []
        for name in gone:
            host = self.hosts.pop(name)
            entries.append(self._line(host, ServerState.GONE))
            # names that never come back must not pile up; one that does is a new server
            del self.numbers[name]
        for host in changed:
            self.hosts[host.name] = host
            if host.name not in self.numbers:
                self.numbers[host.name] = next(self._next)
            entries.append(self._entry(host))
        return tuple(entries)

    def _entry(self, host: Host) -> ServerEntry:
        return self._line(host, _STATES.get(host.state, ServerState.READY))

    def _line(self, host: Host, state: ServerState) -> ServerEntry:
        zone = self.zones.index(host.zone) if host.zone in self.zones else 0
        # a kind that the settings do not name is past their last one: the module takes the fewest places for it
        kind = self.kinds.index(host.kind) if host.kind in self.kinds else len(self.kinds)
        started = max(1, host.started * MS - self.unix) if host.started else 0
        return ServerEntry(self.numbers[host.name], host.weight, kind, host.cell, zone, state, started)
