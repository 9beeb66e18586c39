"""Viewer connections, sessions and set-up attempts as a node holds them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...protocol.node.messages import MessageKind, Param, encode
from ...protocol.node.viewer import SetupRequest
from ...protocol.rtsp import Connection
from .bounds import MAX_NOTICES_PER_WRITE, MS, VIEWER_LIMITS
from .links import HostState
from .notices import Notice

if TYPE_CHECKING:
    from .links import Link


@dataclass(eq=False, slots=True)
class Viewer:
    """A connection of a viewer.

    `open_setups` are its set-ups without an answer, `established_sessions` those established or handed over on it
    that have not ended, both by reference. `last_active_at` is when a request came or a notice was written last,
    `has_requested` whether a valid request ever came, `has_tested` whether one was a test. `last_read_at` is when the
    client last showed that it reads the connection, -1 for never. `has_unsent`: written data is still buffered.
    `notices` are to be written after `outbox`; `taken` are those that are being written; `unconfirmed`, by session id,
    are those that were written and may not have been read.
    The outbox contains the answers of `newly_established` sessions.
    """

    number: int
    parser: Connection = field(default_factory=lambda: Connection(VIEWER_LIMITS))
    outbox: bytearray = field(default_factory=bytearray)
    open_setups: dict[int, Session] = field(default_factory=dict)
    established_sessions: dict[int, Session] = field(default_factory=dict)
    connected_at: int = 0
    last_active_at: int = 0
    has_requested: bool = False
    has_tested: bool = False
    was_written: bool = False
    last_read_at: int = -1
    errors: int = 0
    notices: deque[Notice] = field(default_factory=deque)
    taken: list[Notice] = field(default_factory=list)
    unconfirmed: dict[bytes, Notice] = field(default_factory=dict)
    newly_established: list[Session] = field(default_factory=list)
    has_unsent: bool = False
    closing: bool = False
    closed: bool = False

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent on it."""
        return not self.closing and not self.closed

    @property
    def is_read(self) -> bool:
        """Whether its client has ever shown that it reads the connection."""
        return self.last_read_at >= 0

    @property
    def has_output(self) -> bool:
        """Whether `take_outbox` would return anything."""
        return bool(self.outbox or self.notices)

    def take_outbox(self) -> bytes:
        """Take the bytes to send, which count as sent from then on: the outbox and a limited number of notices."""
        taken = [self.notices.popleft() for _ in range(min(len(self.notices), MAX_NOTICES_PER_WRITE))]
        data = bytes(self.outbox) + b"".join(notice.data for notice in taken)
        self.taken += taken
        self.outbox.clear()
        self.newly_established.clear()
        self.was_written = True
        return data


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to set up a session at one host. `written`: some of it may have been sent."""

    session: Session
    number: int
    host: HostState
    queued_at: int
    deadline: int
    link: Link | None = None
    written: bool = False
    written_at: int = 0
    requeues: int = 0

    def encode(self, now: int) -> bytes:
        """The SETUP message, with the time that is left until the deadline."""
        setup = self.session.setup
        remaining_ms = max(1, (self.deadline - now) // MS)
        return encode(
            MessageKind.SETUP,
            setup.session_id,
            (
                (Param.CLASS, setup.class_name.encode()),
                (Param.WAIT, str(remaining_ms).encode()),
                (Param.TITLE, setup.title.encode()),
                (Param.RUNG, str(self.session.rung).encode()),
                (Param.DESCRIPTION, setup.body),
            ),
        )


@dataclass(eq=False, slots=True)
class Session:
    """A session. Its answer goes to `viewer`; it is `established` from the host's answer to its end."""

    ref: int
    setup: SetupRequest
    viewer: Viewer | None
    rung: int
    attempts: int = 0
    attempt: Attempt | None = None
    host: HostState | None = None
    established: bool = False
    established_at: int = 0

    @property
    def id_text(self) -> str:
        """The session id as viewers write it, in hex digits."""
        return self.setup.session_id.hex()
