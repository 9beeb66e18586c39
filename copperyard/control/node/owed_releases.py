"""Releases that this node owes to one media host. No I/O; times are passed in, in ns.

A session that is over for its viewer must not stand on at its host. Its release is owed until the host has taken it:
over connections that are reset, forgotten, refused or silent. A host need not acknowledge a release, so that one also
counts as taken if its connection goes on: if the host sends something on it a while later, or closes it in order.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...protocol.node.messages import frame_session
from . import bounds


@dataclass(eq=False, slots=True)
class OwedRelease:
    """A release as bytes. `writes`: how often it was written to a connection, the last time at `written_at`. `redial`:
    it is worth a further dial after one that failed, as nothing has told that the host may be gone.
    """

    frame: bytes
    owed_since: int
    redial: bool = False
    writes: int = 0
    written_at: int = 0


class OwedReleases:
    """Releases that wait for a connection to the host, and those written to one that are not known to have arrived.

    At most MAX_OWED_RELEASES of each are kept, for OWED_RELEASE_RETENTION_PERIOD, and each is written at most
    MAX_RELEASE_WRITES times.
    """

    __slots__ = ("_queued", "_waiting", "_written", "waiting_since")

    def __init__(self) -> None:
        self.waiting_since = 0  # when the first of those that wait began to
        self._waiting: dict[bytes, OwedRelease] = {}
        self._queued: dict[bytes, OwedRelease] = {}  # taken for a connection and not yet written to it
        self._written: dict[int, dict[bytes, OwedRelease]] = {}  # by the number of the connection

    def __len__(self) -> int:
        return len(self._waiting) + sum(map(len, self._written.values()))

    @property
    def has_waiting(self) -> bool:
        """Whether any waits for a connection."""
        return bool(self._waiting)

    @property
    def is_worth_redialling(self) -> bool:
        """Whether any that waits is worth a further dial after one that failed."""
        return any(one.redial for one in self._waiting.values())

    def wait(self, now: int, frame: bytes, redial: bool) -> None:
        """A release has to wait for a connection. The oldest one makes room for it."""
        session = frame_session(frame)
        known = self._queued.pop(session, None) or self._waiting.get(session)
        self._keep(now, OwedRelease(frame, now, redial) if known is None else known)

    def _keep(self, now: int, release: OwedRelease) -> None:
        if not self._waiting:
            self.waiting_since = now
        session = frame_session(release.frame)
        self._waiting.pop(session, None)
        self._waiting[session] = release
        if len(self._waiting) > bounds.MAX_OWED_RELEASES:
            del self._waiting[next(iter(self._waiting))]

    def take_waiting(self, now: int) -> list[bytes]:
        """Take those that wait, to be written to a connection."""
        oldest = now - bounds.OWED_RELEASE_RETENTION_PERIOD
        self._queued = {session: one for session, one in self._waiting.items() if one.owed_since >= oldest}
        self._waiting.clear()
        return [one.frame for one in self._queued.values()]

    def written(self, now: int, connection: int, frame: bytes) -> None:
        """A release is written to a connection, from which it may be lost."""
        session = frame_session(frame)
        queued = self._queued.pop(session, None)
        release = OwedRelease(frame, now) if queued is None else queued
        release.redial = False
        release.writes += 1
        release.written_at = now
        on_connection = self._written.setdefault(connection, {})
        on_connection.pop(session, None)
        on_connection[session] = release
        if len(on_connection) > bounds.MAX_OWED_RELEASES:
            del on_connection[next(iter(on_connection))]

    def acknowledged(self, session: bytes) -> None:
        """The host has answered the release of a session."""
        self._waiting.pop(session, None)
        for on_connection in self._written.values():
            on_connection.pop(session, None)

    def connection_heard(self, now: int, connection: int) -> None:
        """The host has sent something on a connection: what was written to it some time ago has arrived."""
        on_connection = self._written.get(connection)
        while on_connection:
            session, first = next(iter(on_connection.items()))
            if now - first.written_at < bounds.RELEASE_ARRIVAL_PERIOD:
                return
            del on_connection[session]
        if on_connection is not None:
            del self._written[connection]

    def connection_ended(self, now: int, connection: int, undelivered: bool) -> None:
        """A connection has ended: what may not have arrived waits for another one. `undelivered`: that may be so for
        all that was written to it, as after a reset; otherwise the host has closed it in order.
        """
        for release in self._written.pop(connection, {}).values():
            may_be_lost = undelivered or now - release.written_at < bounds.RELEASE_ARRIVAL_PERIOD
            if may_be_lost and release.writes < bounds.MAX_RELEASE_WRITES:
                self._keep(now, release)

    def connection_closed(self, connection: int) -> None:
        """This node has closed a connection in order on which the host was heard: what was written to it arrives."""
        self._written.pop(connection, None)

    def withdraw(self, session: bytes) -> None:
        """A session is set up at the host under this id: a release that is written again would end that one."""
        self.acknowledged(session)
        self._queued.pop(session, None)

    def process_started(self, at: int) -> None:
        """The host's process has started `at` that time: sessions that ended before do not stand there."""
        for releases in (self._waiting, *self._written.values()):
            for session in [session for session, one in releases.items() if one.owed_since < at]:
                del releases[session]

    def clear(self) -> None:
        """Nothing is owed any more: the host is gone."""
        self._waiting.clear()
        self._queued.clear()
        self._written.clear()
