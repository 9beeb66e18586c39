"""Sessions that have ended at a media host, to recognise messages about them that come later. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndedSession:
    """Where a session or an attempt ended, by the host's name, and the cause of its release. `may_have_run`: an
    attempt under its id may have been carried out, there or at another host.
    """

    host: str
    cause: int
    may_have_run: bool


class EndedSessions:
    """The sessions that ended last, at most `capacity` of them.

    They include those that a host released before anybody named them here: a host repeats a release on the next
    connection that is opened, which may be before the session is handed over.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._ended: dict[bytes, EndedSession] = {}

    def __len__(self) -> int:
        return len(self._ended)

    def __contains__(self, session_id: bytes | None) -> bool:
        return session_id in self._ended

    def add(self, session_id: bytes, host: str, cause: int, may_have_run: bool = True) -> None:
        """A session or an attempt has ended at `host`. The oldest one makes room for it."""
        earlier = self._ended.pop(session_id, None)
        ran_before = earlier is not None and earlier.may_have_run
        self._ended[session_id] = EndedSession(host, cause, may_have_run or ran_before)
        if len(self._ended) > self._capacity:
            del self._ended[next(iter(self._ended))]

    def may_have_run(self, session_id: bytes) -> bool:
        """Whether an attempt under this id is known that may have been carried out."""
        ended = self._ended.get(session_id)
        return ended is not None and ended.may_have_run

    def cause_at(self, session_id: bytes, host: str) -> int | None:
        """The cause with which a session ended at `host`, None if it is not known to have ended there."""
        ended = self._ended.get(session_id)
        return ended.cause if ended is not None and ended.host == host else None
