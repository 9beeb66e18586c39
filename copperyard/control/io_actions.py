"""I/O actions: what the core asks the I/O to do. They are executed in order, and none of them blocks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .attempt import Attempt

if TYPE_CHECKING:
    from .rtsp_server import ViewerConnection


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Connect to the attempt's host and run its dialogue. Unless it plays by the attempt's deadline, the connection
    is closed and the core is told.
    """

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class FlushAttempt:
    """Write the attempt's pending bytes to its host."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Write the attempt's pending bytes, close its connection, then tell the core."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class FlushViewer:
    """Write the pending bytes of a viewer connection."""

    connection: ViewerConnection


@dataclass(frozen=True, slots=True)
class CloseViewer:
    """Close a viewer connection once its outbox is empty."""

    connection: ViewerConnection


@dataclass(frozen=True, slots=True)
class ProbeHost:
    """Probe a host: one request on a connection of its own, answered within the connect time-out."""

    server: int
    address: str


@dataclass(frozen=True, slots=True)
class QueryCode:
    """Ask a host what became of the set-up `request`, within the connect time-out. The answer is returned with
    `code`, the code's digest.
    """

    address: str
    request: str
    code: bytes


@dataclass(frozen=True, slots=True)
class FollowList:
    """Start or stop following the server list."""

    on: bool


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line. `fields` never contain a code in clear text."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


IoAction = (
    StartAttempt | FlushAttempt | StopAttempt | FlushViewer | CloseViewer | ProbeHost | QueryCode | FollowList | LogLine
)
