"""Delivery of notices to viewers: messages that nobody requested, such as the end of a session.

Any connection of a viewer may carry a notice. It goes to the connection of its session; without that one, to another
one that is known to be read, as its client has done something after it was written to. When a notice is due and there
is none, it goes to the connection whose client is the likeliest to read it (`reader_choice`). A notice is owed until
it was written and, on a connection not known to be read, until there is a sign that it was read there: its
acknowledgement, a later request, or an orderly close. No I/O; times are passed in, in ns.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from . import bounds, reader_choice

if TYPE_CHECKING:
    from .sessions import Viewer


@dataclass(eq=False, slots=True)
class Notice:
    """A message that a viewer is owed. `due` is when it must have been written (ns). `session_id` is that of its
    acknowledgement; `wants_answer`: its client acknowledges it, so that a missing acknowledgement says something.

    `written_at` is when it was written last, -1 for never. `own` is the connection of its session, if that is open
    but takes no more data. `tried` are the connections not known to be read that it was written to, and `lost_writes`
    counts those that have ended with it unread. `retry_at` is when an acknowledgement counts as missing. `told`: it
    was read.
    """

    data: bytes
    due: int
    session_id: bytes = b""
    wants_answer: bool = False
    posted_at: int = 0
    written_at: int = -1
    own: Viewer | None = None
    tried: list[Viewer] = field(default_factory=list)
    lost_writes: int = 0
    retry_at: int = 0
    told: bool = False


@dataclass(frozen=True, slots=True)
class NoticeCounts:
    """Notices that wait, and those since the start that were written after they were due or dropped."""

    waiting: int = 0
    late: int = 0
    dropped: int = 0


class NoticeDelivery:
    """Chooses the connection for each notice. `viewers` are the open connections; `write` has one written soon.

    `waiting` are the notices to be written, those among them that were written before and not acknowledged in time.
    Those whose acknowledgement may still come are `_unacknowledged`, in the order of `Notice.retry_at`. Both hold
    `capacity` at most.
    """

    def __init__(self, viewers: Mapping[Viewer, None], write: Callable[[Viewer], None], capacity: int) -> None:
        self._viewers, self._write, self._capacity = viewers, write, capacity
        self.waiting: dict[Notice, None] = {}
        self._unacknowledged: dict[Notice, None] = {}
        self.late = self.dropped = 0
        self._logged = NoticeCounts()
        self._next_log = 0
        self._shutdown_at: int | None = None

    # ---- notices

    def post(self, now: int, notice: Notice, own: Viewer | None) -> None:
        """Send a notice on `own`, the connection of its session; if that has ended, on another one that is known to
        be read. Without any, or while `own` takes no more data, it waits until it is due.
        """
        notice.posted_at = now
        if own is None or not own.is_open:
            self._send_or_wait(now, notice)
        elif own.has_unsent:
            notice.own = own
            self._wait(now, notice)
        else:
            self._assign(own, notice)

    def begin_shutdown(self, now: int) -> None:
        """From now on a notice does not wait to be due, as this process will end soon."""
        self._shutdown_at = now
        self.send_overdue(now)

    @property
    def delays_shutdown(self) -> bool:
        """Whether notices wait that were told nowhere: a connection may still come in time for them."""
        return any(not _is_on_a_connection(notice) for notice in self.waiting)

    def check(self, now: int) -> None:
        """Do what is due: send overdue notices, repeat those not acknowledged in time, drop those that are too late."""
        while self._unacknowledged and (oldest := next(iter(self._unacknowledged))).retry_at <= now:
            del self._unacknowledged[oldest]
            self.waiting[oldest] = None
        self._drop_late(now)
        self.send_overdue(now)

    def send_overdue(self, now: int) -> None:
        """Send the notices that are due on a connection known to be read, else on those likeliest to be read."""
        overdue = self._overdue(now)
        if not overdue:
            return
        known = self._known_reader()
        if known is not None:
            return self._send(known, overdue)
        for candidate in reader_choice.candidates(self._viewers, bounds.MAX_UNACKNOWLEDGED_WRITES + 1):
            self._send(candidate, [one for one in overdue if reader_choice.may_try(one, candidate)])
            overdue = [one for one in overdue if one in self.waiting]

    def next_check(self, now: int) -> int | None:
        """When `check` has something to do, None if that is not foreseen."""
        times = [notice.due for notice in self.waiting if notice.due > now]
        if self._shutdown_at is not None:
            times += [self._give_up_at(notice) for notice in self.waiting]
        due = min(times, default=None)
        return None if due is None else max(due, now + bounds.NOTICE_CHECK_INTERVAL)

    @property
    def next_retry(self) -> int | None:
        """When the next acknowledgement counts as missing."""
        return next(iter(self._unacknowledged)).retry_at if self._unacknowledged else None

    def counts_to_log(self, now: int) -> NoticeCounts | None:
        """The counts, if they have changed and were not logged for a while."""
        counts = NoticeCounts(len(self.waiting), self.late, self.dropped)
        if counts in (self._logged, NoticeCounts()) or now < self._next_log:
            return None
        self._logged, self._next_log = counts, now + bounds.NOTICE_LOG_INTERVAL
        return counts

    # ---- what connections show

    def connection_serves(self, now: int, viewer: Viewer) -> None:
        """A session plays by an answer on this connection, whose client is expected to read it from then on."""
        viewer.last_read_at = now
        self._send(viewer, self.waiting)

    def connection_read(self, now: int, viewer: Viewer) -> None:
        """The client has shown that it reads this connection: what was written to it has arrived, and it can take the
        notices that wait.
        """
        viewer.last_read_at = now
        if not viewer.has_unsent:
            self._all_told(viewer)
        self._send(viewer, self.waiting)

    def acknowledged(self, now: int, viewer: Viewer, session_id: bytes) -> None:
        """The client has answered the notice of a session: it has read that one and all written before it."""
        if session_id not in viewer.unconfirmed:
            return
        for earlier in list(viewer.unconfirmed):
            self._told(viewer.unconfirmed.pop(earlier))
            if earlier == session_id:
                break
        viewer.last_read_at = now
        self._send(viewer, self.waiting)

    def connection_requested(self, now: int, viewer: Viewer) -> None:
        """The client has sent a request: if no connection is known to be read, this one takes the overdue notices."""
        if self.waiting and self._known_reader() is None:
            self._send(viewer, [one for one in self._overdue(now) if reader_choice.may_try(one, viewer)])

    def written(self, now: int, viewer: Viewer, has_unsent: bool) -> None:
        """Bytes were written to the connection, the notices that `Viewer.take_outbox` returned among them.

        `has_unsent`: some of them, or of those before, are still buffered.
        """
        was_buffered, viewer.has_unsent = viewer.has_unsent, has_unsent
        if was_buffered:
            for notice in viewer.unconfirmed.values():
                notice.written_at = viewer.last_active_at = now
        for notice in viewer.taken:
            self._note_write(now, viewer, notice)
        if has_unsent:
            self._wait_for_buffer(viewer)
        viewer.taken.clear()
        if has_unsent:
            return
        if was_buffered:
            self._buffer_was_read(viewer)
        self._forget_old_writes(now, viewer)
        if viewer.is_read:
            self._send(viewer, self.waiting)
        elif self.waiting:
            self.send_overdue(now)  # those for which there was no room in what was written
        if viewer.notices:
            self._write(viewer)

    def connection_ended(self, now: int, viewer: Viewer, undelivered: bool) -> None:
        """The connection has ended; its notices that may not have been read go elsewhere.

        `undelivered`: the last bytes written to it have not arrived, as after a reset. After an orderly close they
        have, as the client's system resets a connection that is closed with unread data.
        """
        lost = self._unread(now, viewer, undelivered)
        for notice in lost:
            viewer.unconfirmed.pop(notice.session_id, None)
        viewer.taken.clear()
        for notice in viewer.unconfirmed.values():
            self._told(notice)
        self._return(now, viewer, dict.fromkeys([*lost, *self._take_unwritten(viewer)]))

    def connection_closing(self, now: int, viewer: Viewer) -> None:
        """This side closes the connection: notices that were not written to it go elsewhere. What was written is judged
        when the client has closed, too.
        """
        buffered = list(viewer.unconfirmed.values()) if viewer.has_unsent else []
        if buffered:
            viewer.unconfirmed.clear()
        self._return(now, viewer, dict.fromkeys([*buffered, *self._take_unwritten(viewer)]))

    def close_was_reset(self, now: int, viewer: Viewer) -> None:
        """A close that looked orderly has crossed what was written last: its notices have not arrived."""
        lost = [one for one in viewer.unconfirmed.values() if _is_recent(now, one, bounds.NOTICE_RESET_PERIOD)]
        viewer.unconfirmed.clear()
        for notice in lost:
            notice.told = False
        self._return(now, viewer, lost)

    def has_recent_writes(self, now: int, viewer: Viewer) -> bool:
        """Whether notices were written to a connection so shortly ago that its close may have crossed them."""
        return any(_is_recent(now, one, bounds.CLOSE_CROSSING_PERIOD) for one in viewer.unconfirmed.values())

    def expected_connection(self) -> Viewer | None:
        """The connection that the next notice would be sent on: one known to be read, else the likeliest."""
        return self._known_reader() or next(iter(reader_choice.candidates(self._viewers, 1)), None)

    # ---- the books

    def _known_reader(self) -> Viewer | None:
        return reader_choice.known_reader(self._viewers)

    def _send_or_wait(self, now: int, notice: Notice) -> None:
        known = self._known_reader()
        if known is not None:
            self._assign(known, notice)
        else:
            self._wait(now, notice)

    def _wait(self, now: int, notice: Notice) -> None:
        self.waiting[notice] = None
        self._drop_late(now)
        if self._shutdown_at is not None or notice.due <= now:
            self.send_overdue(now)

    def _drop_late(self, now: int) -> None:
        """Drop the notices that waited for too long, and the oldest ones beyond the capacity."""
        while self.waiting and self._give_up_at(oldest := next(iter(self.waiting))) <= now:
            self._drop(oldest)
        while len(self.waiting) > self._capacity:
            self._drop(next(iter(self.waiting)))

    def _give_up_at(self, notice: Notice) -> int:
        """When a notice that waits is dropped. A shutdown waits no longer than its viewer may still be told in time."""
        if self._shutdown_at is None:
            return notice.due + bounds.NOTICE_RETENTION_PERIOD
        return max(self._shutdown_at, notice.posted_at) + bounds.RELEASE_NOTICE_LIMIT

    def _drop(self, notice: Notice) -> None:
        del self.waiting[notice]
        self.dropped += not _is_on_a_connection(notice)

    def _overdue(self, now: int) -> list[Notice]:
        return [notice for notice in self.waiting if self._shutdown_at is not None or notice.due <= now]

    def _send(self, viewer: Viewer, notices: Collection[Notice]) -> None:
        """Assign notices to a connection, no more than it can take at once; the rest follows when it has."""
        if not notices or not viewer.is_open or viewer.has_unsent:
            return
        room = bounds.MAX_NOTICES_PER_WRITE - len(viewer.notices)
        unwritten = (one for one in notices if viewer.unconfirmed.get(one.session_id) is not one)
        for notice in list(itertools.islice(unwritten, max(0, room))):
            self._assign(viewer, notice)

    def _assign(self, viewer: Viewer, notice: Notice) -> None:
        self.waiting.pop(notice, None)
        self._unacknowledged.pop(notice, None)
        notice.own = None
        viewer.notices.append(notice)
        self._write(viewer)

    def _note_write(self, now: int, viewer: Viewer, notice: Notice) -> None:
        """A notice was written, or some of it if the connection has unsent data."""
        self.late += notice.written_at < 0 and now > notice.due
        notice.written_at = viewer.last_active_at = now
        viewer.unconfirmed.pop(notice.session_id, None)  # an id that came again: the order is that of the writes
        viewer.unconfirmed[notice.session_id] = notice
        if viewer.is_read:
            return
        notice.tried.append(viewer)
        if notice.wants_answer:
            notice.retry_at = now + bounds.ACKNOWLEDGEMENT_TIMEOUT
            self._unacknowledged[notice] = None
            if len(self._unacknowledged) > self._capacity:
                del self._unacknowledged[next(iter(self._unacknowledged))]

    def _wait_for_buffer(self, viewer: Viewer) -> None:
        """What was written last is still buffered: if it is when a notice is due, that goes elsewhere."""
        for notice in viewer.taken:
            notice.own = viewer
            self._unacknowledged.pop(notice, None)
            self.waiting[notice] = None

    def _buffer_was_read(self, viewer: Viewer) -> None:
        for notice in viewer.unconfirmed.values():
            if notice.own is viewer:
                notice.own = None
                self.waiting.pop(notice, None)

    def _told(self, notice: Notice) -> None:
        notice.told = True
        self.waiting.pop(notice, None)
        self._unacknowledged.pop(notice, None)

    def _all_told(self, viewer: Viewer) -> None:
        for notice in viewer.unconfirmed.values():
            self._told(notice)
        viewer.unconfirmed.clear()

    def _unread(self, now: int, viewer: Viewer, undelivered: bool) -> list[Notice]:
        """The notices written to the connection that its client may not have read, should the connection end now."""
        written = list(viewer.unconfirmed.values())
        if viewer.has_unsent:
            return [*written, *viewer.taken]
        if not undelivered:
            return viewer.taken[:]
        if viewer.is_read:
            written = [one for one in written if _is_recent(now, one, bounds.NOTICE_RESET_PERIOD)]
        return [*written, *viewer.taken]

    def _take_unwritten(self, viewer: Viewer) -> list[Notice]:
        """The notices that were to be written to a connection, and those that wait for it to take data again."""
        unwritten = [*viewer.notices, *(one for one in self.waiting if one.own is viewer)]
        viewer.notices.clear()
        for notice in unwritten:
            self.waiting.pop(notice, None)
        return unwritten

    def _return(self, now: int, viewer: Viewer, notices: Iterable[Notice]) -> None:
        """Notices have come back from a connection. One that is on another connection, too, stays there."""
        for notice in notices:
            if viewer in notice.tried:
                notice.tried.remove(viewer)
                notice.lost_writes += 1
            if notice.told or notice in self.waiting or _is_on_a_connection(notice):
                continue
            self._unacknowledged.pop(notice, None)
            notice.own = None
            self._send_or_wait(now, notice)

    def _forget_old_writes(self, now: int, viewer: Viewer) -> None:
        """Forget what was written so long ago that it would not be sent again, so that a quiet connection that is told
        of many sessions does not make the list grow.
        """
        period = bounds.NOTICE_RESET_PERIOD if viewer.is_read else bounds.NOTICE_RETENTION_PERIOD
        while viewer.unconfirmed:
            oldest = next(iter(viewer.unconfirmed))
            if _is_recent(now, viewer.unconfirmed[oldest], period):
                return
            del viewer.unconfirmed[oldest]


def _is_on_a_connection(notice: Notice) -> bool:
    """Whether a notice was written to an open connection whose client may still read it."""
    return any(one.is_open and one.unconfirmed.get(notice.session_id) is notice for one in notice.tried)


def _is_recent(now: int, notice: Notice, period: int) -> bool:
    return now - notice.written_at < period
