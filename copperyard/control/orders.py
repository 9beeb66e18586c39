"""What the core wants the I/O to do. Orders are carried out in their order; none of them waits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .attempt import Attempt

if TYPE_CHECKING:
    from .visits import Visitor


@dataclass(frozen=True, slots=True)
class Start:
    """Connect to the attempt's host and run its dialogue. At `attempt.limit` the connection is closed and the
    core told, unless it plays by then."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Flush:
    """The attempt has bytes for its host."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Stop:
    """Write what the attempt still has to say, close its connection, then tell the core."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wrote:
    """The visitor's outbox has something to send."""

    visitor: Visitor


@dataclass(frozen=True, slots=True)
class Hangup:
    """Close the visitor's connection once its outbox is empty."""

    visitor: Visitor


@dataclass(frozen=True, slots=True)
class Ask:
    """Probe a host: a connection, one question, an answer within the time for a connect."""

    server: int
    address: str


@dataclass(frozen=True, slots=True)
class Settle:
    """Ask a host what became of the set-up `request`, within the time for a connect; `code` is the digest that the
    answer is given back with."""

    address: str
    request: str
    code: bytes


@dataclass(frozen=True, slots=True)
class Follow:
    """Start to follow the server list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class Line:
    """A line for the log. `fields` never hold a code in clear."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


Order = Start | Flush | Stop | Wrote | Hangup | Ask | Settle | Follow | Line
