"""What a front knows of hosts besides the module's evidence: addresses, and when it learned of an end."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import ListKind, ServerList, ServerState

KEPT_GONE = 4096


@dataclass(slots=True)
class Known:
    """A host of the list, or of an earlier one. `ended` is when this front first heard that it drains or is
    gone, None while it is ready."""

    address: str
    ended: int | None = None


class HostBook:
    """Guards what the module cannot see: an attempt decided before news of a drain whose first byte would leave
    after it."""

    def __init__(self) -> None:
        self._known: dict[int, Known] = {}

    def learn(self, now: int, news: ServerList, addresses: dict[int, str]) -> None:
        """Take news of the list, as the module does."""
        if news.kind == ListKind.FAILED:
            return
        for entry in news.entries:
            known = self._known.setdefault(entry.server, Known(""))
            known.address = addresses.get(entry.server, known.address)
            if entry.state == ServerState.READY:
                known.ended = None
            elif known.ended is None:
                known.ended = now
        if news.kind != ListKind.DELTA:
            named = {entry.server for entry in news.entries}
            for server, known in self._known.items():
                if server not in named and known.ended is None:
                    known.ended = now
        self._trim()

    def _trim(self) -> None:
        gone = [server for server, known in self._known.items() if known.ended is not None]
        for server in gone[:max(0, len(gone) - KEPT_GONE)]:
            del self._known[server]

    def address(self, server: int) -> str | None:
        known = self._known.get(server)
        return known.address if known is not None and known.address else None

    def may_start(self, server: int) -> bool:
        """Whether a set-up's first byte may leave for a host now. The grace is not used: a host that ends wants
        no new work, and the other fronts' news may be older than ours."""
        known = self._known.get(server)
        return known is not None and known.ended is None
