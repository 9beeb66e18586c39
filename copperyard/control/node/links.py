"""State of media hosts and of the connections to them: queued set-ups, attempts in flight, last activity."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ...protocol.node.messages import Decoder, MessageKind, frame_kind
from .owed_releases import OwedReleases

if TYPE_CHECKING:
    from .sessions import Attempt, Session


class LinkState(Enum):
    """State of a connection. HALF_CLOSED: this side has closed its writing half and reads until the host closes."""

    DIALLING = 0
    UP = 1
    HALF_CLOSED = 2
    DOWN = 3


@dataclass(eq=False, slots=True)
class PendingProbe:
    """A probe in flight. `id` matches the host's answer to it."""

    host: HostState
    id: bytes
    sent_at: int


@dataclass(eq=False, slots=True)
class Link:
    """One connection to a host.

    `outbox` holds frames and set-ups that were not sent yet. A set-up is encoded when it is sent; one that never was
    sent is known not to have run. `attempts` are in flight, by session id. `suspect`: a set-up timed out on this
    connection and nothing was received since; another connection will show whether the host is alive.
    `aborts_attempt`: the outbox holds the release of an aborted attempt. `has_unsent`: written data is still buffered.
    """

    host: HostState
    number: int
    dialled_at: int
    state: LinkState = LinkState.DIALLING
    decoder: Decoder = field(default_factory=Decoder)
    outbox: list[bytes | Attempt] = field(default_factory=list)
    attempts: dict[bytes, Attempt] = field(default_factory=dict)
    up_at: int = 0
    last_heard: int = 0
    suspect: bool = False
    aborts_attempt: bool = False
    has_unsent: bool = False

    @property
    def load(self) -> int:
        """Set-ups that are queued or in flight on it."""
        return len(self.attempts) + sum(1 for one in self.outbox if not isinstance(one, bytes))


@dataclass(eq=False, slots=True)
class HostState:
    """One media host, identified by its number, as a new host may reuse the address of one that has gone.

    `links` are its connections that are being dialled or are up, `sessions` those established at it, by reference.
    `link_lost`: a connection was lost, and the host repeats what it sent there on the next new connection only.
    `last_reset`: when a connection was last reset by the host. `owed` are the releases that may not have arrived.
    `given_up`: it counts as lost with its sessions, and no connection to it has come up since.
    """

    server: int
    name: str
    address: str
    listed: bool = True
    links: list[Link] = field(default_factory=list)
    sessions: dict[int, Session] = field(default_factory=dict)
    last_heard: int = 0
    failed_dials: int = 0
    first_failed_dial: int = 0
    last_redial: int = 0
    check_scheduled: bool = False
    link_lost: bool = False
    last_reset: int = -1 << 62
    given_up: bool = False
    owed: OwedReleases = field(default_factory=OwedReleases)

    @property
    def awaits_releases(self) -> bool:
        """Whether releases wait for a connection that is worth opening for them."""
        return self.owed.has_waiting and not self.given_up

    @property
    def must_be_reached(self) -> bool:
        """Whether sessions play there, or a release waits to be sent to it."""
        if self.sessions or self.awaits_releases:
            return True
        queued = (one for link in self.links for one in link.outbox)
        return any(isinstance(one, bytes) and frame_kind(one) == MessageKind.RELEASE for one in queued)

    def keep_unsent(self, now: int, frame: bytes) -> None:
        """Keep a frame for the next connection, if it is a release. A probe has timed out by then, and a rung is not
        worth a connection.
        """
        if frame_kind(frame) == MessageKind.RELEASE:
            self.owed.wait(now, frame, redial=True)

    def up_link(self) -> Link | None:
        """A connection that is up and not suspect, None without one."""
        return next((link for link in self.links if link.state is LinkState.UP and not link.suspect), None)

    def dialling_link(self) -> Link | None:
        """A connection that is being dialled, None without one."""
        return next((link for link in self.links if link.state is LinkState.DIALLING), None)

    def best_link(self, max_load: int) -> Link | None:
        """The connection for one more set-up: one that is up before one being dialled, then the least loaded. None if
        each carries `max_load` already.
        """
        usable = [
            link
            for link in self.links
            if link.state is not LinkState.DOWN and not link.suspect and link.load < max_load
        ]
        return min(usable, key=_preference) if usable else None


def _preference(link: Link) -> tuple[bool, int]:
    return link.state is not LinkState.UP, link.load
