"""I/O actions: what the core asks the I/O to do. They are executed in order, and none of them blocks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .attempt import Attempt

if TYPE_CHECKING:
    from .visits import Visitor


@dataclass(frozen=True, slots=True)
class Start:
    """Connect to the attempt's host and run its dialogue. Unless it plays by the attempt's deadline, the connection
    is closed and the core is told.
    """

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Flush:
    """Write the attempt's pending bytes to its host."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Stop:
    """Write the attempt's pending bytes, close its connection, then tell the core."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wrote:
    """Write the pending bytes of a viewer connection."""

    visitor: Visitor


@dataclass(frozen=True, slots=True)
class Hangup:
    """Close a viewer connection once its outbox is empty."""

    visitor: Visitor


@dataclass(frozen=True, slots=True)
class Ask:
    """Probe a host: one request on a connection of its own, answered within the connect time-out."""

    server: int
    address: str


@dataclass(frozen=True, slots=True)
class Settle:
    """Ask a host what became of the set-up `request`, within the connect time-out. The answer is returned with
    `code`, the code's digest.
    """

    address: str
    request: str
    code: bytes


@dataclass(frozen=True, slots=True)
class Follow:
    """Start or stop following the server list."""

    on: bool


@dataclass(frozen=True, slots=True)
class Line:
    """Write a log line. `fields` never contain a code in clear text."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


IoAction = Start | Flush | Stop | Wrote | Hangup | Ask | Settle | Follow | Line
