"""Connections to media hosts as states: what waits on them, what is out on them, what was heard."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ...protocol.node.messages import Decoder

if TYPE_CHECKING:
    from .sessions import Attempt, Session


class State(Enum):
    """PARTING: this side has ended its writing, and hears what the host wrote before it saw that."""

    DIALLING = 0
    UP = 1
    PARTING = 2
    DOWN = 3


@dataclass(eq=False, slots=True)
class Test:
    """One probe, from its order to its end; `id` is what its answer is matched by."""

    host: HostState
    id: bytes
    sent: int


@dataclass(eq=False, slots=True)
class Link:
    """One connection to a host. `out` holds frames and set-ups that have not left yet: a set-up is worded as it
    leaves, and one that never left has proved not to have run. `suspect`: a set-up timed out on it and nothing was
    heard since; another connection shows whether the host is there at all."""

    host: HostState
    number: int
    dialled: int
    state: State = State.DIALLING
    decoder: Decoder = field(default_factory=Decoder)
    out: list[bytes | Attempt] = field(default_factory=list)
    attempts: dict[bytes, Attempt] = field(default_factory=dict)
    heard: int = 0
    suspect: bool = False
    gives_up: bool = False

    @property
    def load(self) -> int:
        """Set-ups that wait on it or are out on it."""
        return len(self.attempts) + sum(1 for one in self.out if not isinstance(one, bytes))


@dataclass(eq=False, slots=True)
class HostState:
    """One media host, by its number: a new host may carry the address of one that has gone. `links` are those that are
    dialled or stand. `missing`: one was lost, and what was said on it comes again on the next one only; `cut`: when
    one was last reset by its peer."""

    server: int
    name: str
    address: str
    listed: bool = True
    links: list[Link] = field(default_factory=list)
    standing: dict[int, Session] = field(default_factory=dict)
    heard: int = 0
    misses: int = 0
    missed: int = 0
    checked: int = 0
    watched: bool = False
    missing: bool = False
    cut: int = -1 << 62

    def up(self) -> Link | None:
        """A connection that stands."""
        return next((link for link in self.links if link.state is State.UP and not link.suspect), None)

    def dialling(self) -> Link | None:
        """A connection that is on its way."""
        return next((link for link in self.links if link.state is State.DIALLING), None)

    def best(self, most: int) -> Link | None:
        """The connection for one more set-up: one that stands before one that is dialled; None where each carries
        `most` already."""
        fit = [link for link in self.links if link.state is not State.DOWN and not link.suspect and link.load < most]
        return min(fit, key=_use) if fit else None


def _use(link: Link) -> tuple[bool, int]:
    return link.state is not State.UP, link.load
