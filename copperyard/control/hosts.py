"""What a front knows of hosts besides the controller's view: addresses, and when they became unavailable."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import ListKind, ServerList, ServerState

MAX_UNAVAILABLE_HOSTS = 4096
HEARD_RECENTLY_NS = 100_000_000  # ns; no host crashes, restarts and listens again within this time of its last byte


@dataclass(slots=True)
class HostRecord:
    """A host of the current server list or an earlier one.

    `unavailable_since` is when this front first learned that the host drains or is gone, None while it is ready;
    `last_heard` is when its last byte arrived; `restart_known_at` is when this front learned of its latest start, at
    `started`.
    """

    address: str
    unavailable_since: int | None = None
    last_heard: int | None = None
    started: int = 0
    restart_known_at: int | None = None


class HostBook:
    """Checks set-ups for what the controller cannot see: one decided before a drain was known whose first byte would
    leave after it.
    """

    def __init__(self) -> None:
        self._hosts: dict[int, HostRecord] = {}

    def update(self, now: int, update: ServerList, addresses: dict[int, str]) -> None:
        """Take an update of the server list, with the same meaning as for the controller."""
        if update.kind == ListKind.FAILED:
            return
        for entry in update.entries:
            host = self._hosts.setdefault(entry.server, HostRecord(""))
            host.address = addresses.get(entry.server, host.address)
            if entry.started != host.started:
                host.started, host.restart_known_at = entry.started, now
            if entry.state == ServerState.READY:
                host.unavailable_since = None
            elif host.unavailable_since is None:
                host.unavailable_since = now
        if update.kind != ListKind.DELTA:
            named = {entry.server for entry in update.entries}
            for server, host in self._hosts.items():
                if server not in named and host.unavailable_since is None:
                    host.unavailable_since = now
        self._trim()

    def _trim(self) -> None:
        gone = [server for server, host in self._hosts.items() if host.unavailable_since is not None]
        for server in gone[: max(0, len(gone) - MAX_UNAVAILABLE_HOSTS)]:
            del self._hosts[server]

    def address(self, server: int) -> str | None:
        """Return a host's address, None if it is not known."""
        host = self._hosts.get(server)
        return host.address if host is not None and host.address else None

    def heard(self, now: int, server: int) -> None:
        """Note that bytes of a host arrived."""
        host = self._hosts.get(server)
        if host is not None:
            host.last_heard = now

    def heard_recently(self, now: int, server: int) -> bool:
        """Return whether the host was heard so recently that its process cannot have restarted since."""
        host = self._hosts.get(server)
        return host is not None and host.last_heard is not None and now - host.last_heard < HEARD_RECENTLY_NS

    def may_start(self, server: int, decided_at: int | None = None) -> bool:
        """Return whether a set-up's first byte may leave for a host now.

        The drain grace is not used: a draining host wants no new work, and other fronts may know of the drain
        earlier. A set-up decided before this front learned that the host restarted is rejected too: it would treat a
        cold host as a warm one (seed 1265).
        """
        host = self._hosts.get(server)
        return (
            host is not None
            and host.unavailable_since is None
            and (decided_at is None or host.restart_known_at is None or host.restart_known_at <= decided_at)
        )
