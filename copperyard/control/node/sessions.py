"""One viewer's session as a node holds it, from its set-up to its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...protocol.node.messages import Kind, Param, encode
from ...protocol.node.viewer import Wish
from ...protocol.rtsp import Connection
from .bounds import MS, VIEWER_LIMITS
from .links import HostState

if TYPE_CHECKING:
    from .links import Link


@dataclass(eq=False, slots=True)
class Viewer:
    """A viewers' connection. `open` are the set-ups on it that have no answer yet, `heard` when its last request
    came, `spoke` whether any that made sense came at all, `served` when a session last began to stand through it (-1:
    never): those are the connections that somebody reads. `unsent`: some of what was said to it has not left yet;
    of what is in `out`, `notices` is what wants no answer, and so must not be lost with the connection, and `fresh` are
    the sessions whose first answer it is."""

    number: int
    wire: Connection = field(default_factory=lambda: Connection(VIEWER_LIMITS))
    out: bytearray = field(default_factory=bytearray)
    open: dict[int, Session] = field(default_factory=dict)
    began: int = 0
    heard: int = 0
    spoke: bool = False
    served: int = -1
    errors: int = 0
    notices: list[bytes] = field(default_factory=list)
    fresh: list[Session] = field(default_factory=list)
    unsent: bool = False
    closing: bool = False
    closed: bool = False

    def take(self) -> bytes:
        """What is to be said, which from here on has been said."""
        data = bytes(self.out)
        self.out.clear()
        self.notices.clear()
        self.fresh.clear()
        return data


@dataclass(eq=False, slots=True)
class Attempt:
    """One set-up at one host. `written`: some of it may have left this process."""

    session: Session
    number: int
    host: HostState
    sent: int
    limit: int
    link: Link | None = None
    written: bool = False
    wrote: int = 0
    moves: int = 0

    def frame(self, now: int) -> bytes:
        """The set-up as it leaves."""
        wish = self.session.wish
        left = max(1, (self.limit - now) // MS)
        return encode(
            Kind.SETUP,
            wish.session,
            (
                (Param.CLASS, wish.cls.encode()),
                (Param.WAIT, str(left).encode()),
                (Param.TITLE, wish.title.encode()),
                (Param.RUNG, str(self.session.rung).encode()),
                (Param.DESCRIPTION, wish.body),
            ),
        )


@dataclass(eq=False, slots=True)
class Session:
    """`viewer` is the connection that its answer goes to; `stands` from the host's answer to the end."""

    ref: int
    wish: Wish
    viewer: Viewer | None
    rung: int
    attempts: int = 0
    attempt: Attempt | None = None
    host: HostState | None = None
    stands: bool = False
    since: int = 0

    @property
    def name(self) -> str:
        """The id as viewers write it."""
        return self.wish.session.hex()
