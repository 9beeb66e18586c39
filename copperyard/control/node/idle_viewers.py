"""Which connections of viewers are closed: those that are idle, and one in favour of another at the bound. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from . import bounds
from .notices import NoticeDelivery
from .sessions import Session, Viewer


class IdleViewers:
    """Chooses among the open connections `viewers`; those on which the end of a session may have to be told stay."""

    def __init__(
        self, viewers: Mapping[Viewer, None], sessions: Mapping[int, Session], notices: NoticeDelivery
    ) -> None:
        self._viewers, self._sessions, self._notices = viewers, sessions, notices

    def to_evict(self) -> Viewer | None:
        """The connection that may be closed to make room: one without a request, else the one idle longest, if
        possible without sessions. Never one with unsent data, as closing it would truncate an answer.
        """
        idle = [viewer for viewer in self._viewers if not viewer.open_setups and not viewer.has_unsent]
        return min(idle, key=_eviction_order) if idle else None

    def overdue(self, now: int) -> list[Viewer]:
        """The connections without a request in time, and those that were idle for too long."""
        return [viewer for viewer in self._viewers if self._is_overdue(now, viewer)]

    def _is_overdue(self, now: int, viewer: Viewer) -> bool:
        if viewer.open_setups or viewer.closing:
            return False
        if not viewer.has_requested:
            return now - viewer.connected_at >= bounds.FIRST_REQUEST_TIMEOUT
        return now - viewer.last_active_at >= bounds.VIEWER_IDLE_TIMEOUT and not self._is_needed(viewer)

    def _is_needed(self, viewer: Viewer) -> bool:
        """Whether the end of a session may have to be told on this connection, as no other one is better."""
        if viewer.established_sessions:
            return True
        if viewer is not self._notices.expected_connection():
            return False
        return bool(self._notices.waiting) or any(
            session.established and session.viewer is not None and not session.viewer.is_open
            for session in self._sessions.values()
        )


def _eviction_order(viewer: Viewer) -> tuple[bool, bool, bool, int]:
    return bool(viewer.established_sessions), viewer.is_read, viewer.has_requested, viewer.last_active_at
