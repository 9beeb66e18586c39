"""What a front knows of hosts besides the module's evidence: addresses, and when it learned of an end."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import ListKind, ServerList, ServerState

KEPT_GONE = 4096
HEARD = 100_000_000  # ns; no host falls, starts anew and listens again within this time of its last byte


@dataclass(slots=True)
class Known:
    """A host of the list, or of an earlier one. `ended` is when this front first heard that it drains or is
    gone, None while it is ready; `heard` when a byte of it came last; `anew` when
    this front first knew of the start that is the newest, at `started`."""

    address: str
    ended: int | None = None
    heard: int | None = None
    started: int = 0
    anew: int | None = None


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
            if entry.started != known.started:
                known.started, known.anew = entry.started, now
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
        for server in gone[: max(0, len(gone) - KEPT_GONE)]:
            del self._known[server]

    def address(self, server: int) -> str | None:
        known = self._known.get(server)
        return known.address if known is not None and known.address else None

    def heard(self, now: int, server: int) -> None:
        """Bytes of a host came."""
        known = self._known.get(server)
        if known is not None:
            known.heard = now

    def sure(self, now: int, server: int) -> bool:
        """Whether it is certain, without asking, that a host's process is still the one that it was."""
        known = self._known.get(server)
        return known is not None and known.heard is not None and now - known.heard < HEARD

    def may_start(self, server: int, decided: int | None = None) -> bool:
        """Whether a set-up's first byte may leave for a host now. The grace is not used: a host that ends wants
        no new work, and the other fronts' news may be older than ours. Nor one that was `decided` before this front
        knew that the host began anew: it took a cold host for a warm one (seed 1265)."""
        known = self._known.get(server)
        return (
            known is not None
            and known.ended is None
            and (decided is None or known.anew is None or known.anew <= decided)
        )
