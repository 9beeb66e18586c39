"""Delivery of notices to viewers: messages that nobody requested, such as the end of a session.

Any connection of a viewer may carry a notice. Each notice is kept until it was written to a connection that is known
to be read: one whose client has done something after it was written to. No I/O; times are passed in, in ns.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from . import bounds

if TYPE_CHECKING:
    from .sessions import Viewer


@dataclass(eq=False, slots=True)
class Notice:
    """A message that a viewer is owed. `due` is when it must have been written (ns); `written_at` is -1 before that.
    `unproven_writes` are those to connections that were not known to be read.
    """

    data: bytes
    due: int
    written_at: int = -1
    unproven_writes: int = 0


@dataclass(frozen=True, slots=True)
class NoticeCounts:
    """Notices that wait, and those since the start that were written after they were due or dropped."""

    waiting: int = 0
    late: int = 0
    dropped: int = 0


class NoticeDelivery:
    """Chooses the connection for each notice. `viewers` are the open connections; `write` has one written soon."""

    def __init__(self, viewers: Mapping[Viewer, None], write: Callable[[Viewer], None], capacity: int) -> None:
        self._viewers, self._write, self._capacity = viewers, write, capacity
        self.waiting: deque[Notice] = deque()
        self.late = self.dropped = 0
        self._logged = NoticeCounts()
        self._next_log = 0
        self.shutting_down = False

    def post(self, now: int, notice: Notice, own: Viewer | None) -> None:
        """Send a notice on `own`, the connection of its session; if that has ended, on another one that is known to
        be read. Without any, it waits for one.
        """
        viewer = own if own is not None and own.is_open else self._known_reader()
        if viewer is not None:
            self._assign(viewer, notice)
        else:
            self._wait(now, notice)

    def connection_read(self, now: int, viewer: Viewer) -> None:
        """The client has shown that it reads this connection: what was written to it has arrived, and it can take the
        notices that wait.
        """
        viewer.last_read_at = now
        if not viewer.has_unsent:
            viewer.unconfirmed.clear()
        self._send_waiting(now, viewer, self.waiting)

    def connection_tested(self, now: int, viewer: Viewer) -> None:
        """The client has sent a test: if no connection is known to be read, this one takes the overdue notices."""
        viewer.has_tested = True
        if self.waiting and self._known_reader() is None:
            self._send_waiting(now, viewer, self._overdue(now))

    def written(self, now: int, viewer: Viewer, has_unsent: bool) -> None:
        """Bytes were written to the connection, the notices that `Viewer.take_outbox` returned among them.

        `has_unsent`: some of them, or of those before, are still buffered.
        """
        was_buffered, viewer.has_unsent = viewer.has_unsent, has_unsent
        for notice in viewer.unconfirmed:
            if notice.written_at < 0:
                self.late += now > notice.due
                notice.unproven_writes += not viewer.is_read
            if notice.written_at < 0 or was_buffered:
                notice.written_at = viewer.last_active_at = now
        if has_unsent:
            return
        if viewer.is_read:
            viewer.unconfirmed = self._unread(now, viewer, True)
            self._send_waiting(now, viewer, self.waiting)
        elif self.waiting and self.expected_connection() is viewer:
            self._send_waiting(now, viewer, self._overdue(now))
        if viewer.notices:
            self._write(viewer)

    def connection_ended(self, now: int, viewer: Viewer, undelivered: bool) -> None:
        """The connection has ended or is being closed; its notices that may not have been read go elsewhere.

        `undelivered`: the last bytes written to it have not arrived, as after a reset.
        """
        unread = [*self._unread(now, viewer, undelivered), *viewer.notices]
        viewer.unconfirmed = []
        viewer.notices.clear()
        for notice in unread:
            notice.written_at = -1
            self.post(now, notice, None)

    def _unread(self, now: int, viewer: Viewer, undelivered: bool) -> list[Notice]:
        """The notices written to the connection that its client may not have read, should the connection end now."""
        if viewer.has_unsent or not viewer.is_read:
            return viewer.unconfirmed
        if not undelivered:
            return []
        return [one for one in viewer.unconfirmed if now - one.written_at < bounds.NOTICE_RESET_PERIOD]

    def send_overdue(self, now: int) -> None:
        """Send the notices that are due, on a connection that was tested if none is known to be read."""
        viewer = self.expected_connection()
        if viewer is not None:
            self._send_waiting(now, viewer, self._overdue(now))

    def next_due(self, now: int) -> int | None:
        """When the next notice that waits becomes due, None if none does after `now`."""
        due = min((notice.due for notice in self.waiting if notice.due > now), default=None)
        return None if due is None else max(due, now + bounds.NOTICE_CHECK_INTERVAL)

    def counts_to_log(self, now: int) -> NoticeCounts | None:
        """The counts, if they have changed and were not logged for a while."""
        counts = NoticeCounts(len(self.waiting), self.late, self.dropped)
        if counts in (self._logged, NoticeCounts()) or now < self._next_log:
            return None
        self._logged, self._next_log = counts, now + bounds.NOTICE_LOG_INTERVAL
        return counts

    def expected_connection(self) -> Viewer | None:
        """The connection that the next notice would be sent on: one known to be read, else the one tested last."""
        tested = [viewer for viewer in self._viewers if viewer.has_tested and viewer.is_open]
        return self._known_reader() or (max(tested, key=_last_active) if tested else None)

    def _known_reader(self) -> Viewer | None:
        readers = [viewer for viewer in self._viewers if viewer.is_read and viewer.is_open and not viewer.has_unsent]
        return max(readers, key=_last_read) if readers else None

    def _assign(self, viewer: Viewer, notice: Notice) -> None:
        viewer.notices.append(notice)
        if not viewer.has_unsent:
            self._write(viewer)

    def _wait(self, now: int, notice: Notice) -> None:
        self.waiting.append(notice)
        while self.waiting and self.waiting[0].due < now - bounds.NOTICE_RETENTION_PERIOD:
            self._drop_oldest()
        while len(self.waiting) > self._capacity:
            self._drop_oldest()
        if self.shutting_down or notice.due <= now:
            self.send_overdue(now)

    def _drop_oldest(self) -> None:
        self.waiting.popleft()
        self.dropped += 1

    def _overdue(self, now: int) -> list[Notice]:
        return [
            notice
            for notice in self.waiting
            if notice.unproven_writes < bounds.MAX_UNPROVEN_WRITES and (self.shutting_down or notice.due <= now)
        ]

    def _send_waiting(self, now: int, viewer: Viewer, notices: Iterable[Notice]) -> None:
        """Assign waiting notices to a connection, no more than it can take at once; the rest follows when it has."""
        if not self.waiting or not viewer.is_open or viewer.has_unsent:
            return
        room = bounds.MAX_NOTICES_PER_WRITE - len(viewer.notices)
        chosen = [notice for _, notice in zip(range(room), notices, strict=False)]
        if len(chosen) == len(self.waiting):
            self.waiting.clear()
        else:
            remaining = set(map(id, chosen))
            self.waiting = deque(notice for notice in self.waiting if id(notice) not in remaining)
        for notice in chosen:
            self._assign(viewer, notice)


def _last_read(viewer: Viewer) -> tuple[int, int]:
    return viewer.last_read_at, viewer.number


def _last_active(viewer: Viewer) -> tuple[int, int]:
    return viewer.last_active_at, viewer.number
