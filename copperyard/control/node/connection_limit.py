"""The limits of connections: whether one more may be opened, and which one to a host may be closed in its place."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import bounds
from .links import HostState, Link, LinkState


class ConnectionLimit:
    """A limit of connections of one kind. Reaching it is logged once, until a quarter of them is free again."""

    def __init__(self, kind: str, limit: int, log_line: Callable[..., None]) -> None:
        self.limit = limit
        self._kind, self._log_line = kind, log_line
        self._reached = False

    def allows_more(self, connections: int) -> bool:
        """Whether one more may be opened beside `connections`."""
        if connections >= self.limit and not self._reached:
            self._reached = True
            self._log_line(f"{self._kind} at their bound", connections=connections, bound=self.limit)
        elif connections < self.limit * 3 // 4 and self._reached:
            self._reached = False
            self._log_line(f"{self._kind} under their bound again", connections=connections)
        return connections < self.limit


def link_to_evict(now: int, hosts: Iterable[HostState], dialled: HostState | None = None) -> Link | None:
    """The connection to a host that may be closed so that `dialled` can be connected to.

    Nothing waits or is in flight on it. First those to hosts where no session of this node plays, then those to hosts
    that have another one. If `dialled` must be reached, as sessions play there or a release waits for it, its own
    connection comes next, which the new one replaces, and then the one of another host that was heard from longest
    ago: that host will be checked soon, and sends what it has to say on the connection opened then. A host that has
    left the list is not connected to again, so that it keeps its last connection.
    """
    idle = [link for host in hosts for link in idle_links(host)]
    choices = [
        [link for link in idle if not link.host.must_be_reached],
        [link for link in idle if _has_other(link)],
    ]
    if dialled is not None and dialled.must_be_reached:
        choices.append([link for link in idle if link.host is dialled])
        settled = [link for link in idle if now - link.up_at >= bounds.MIN_LINK_UPTIME]
        choices.append([link for link in settled if link.host.listed])
    return next((min(links, key=_heard_order) for links in choices if links), None)


def idle_links(host: HostState) -> list[Link]:
    """The connections to a host on which nothing waits or is in flight, the one heard from longest ago first."""
    return sorted(filter(_is_idle, host.links), key=_heard_order)


def _is_idle(link: Link) -> bool:
    return link.state is LinkState.UP and not link.attempts and not link.outbox and not link.has_unsent


def _has_other(link: Link) -> bool:
    return any(
        one is not link and one.state is LinkState.UP and not one.suspect and one.last_heard >= link.last_heard
        for one in link.host.links
    )


def _heard_order(link: Link) -> tuple[int, int]:
    return link.last_heard, link.number
