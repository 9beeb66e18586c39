"""What the core needs of the journal, and a front that keeps none."""

from __future__ import annotations

from typing import Protocol

from ..state.facts import Fact
from ..state.ledger import State

STORE_WAIT = 1_000_000_000  # ns that a paid set-up, or its PLAY, waits for the disk
"""Half of what is left of a paid request would do as well; a disk that takes a second has failed for this purpose, and
most of a deadline is left to try elsewhere or to say no."""


class Memory(Protocol):
    """Facts go in; each has a number, and is durable at some later time, or never."""

    @property
    def state(self) -> State:
        """What is known."""

    @property
    def well(self) -> bool:
        """Whether a fact that is written now can be expected to be durable soon."""

    def at(self, now: int) -> int:
        """Service time of this moment."""

    def write(self, now: int, fact: Fact) -> int:
        """Take a fact; its number."""

    def durable(self, sequence: int) -> bool:
        """Whether the fact of that number outlives this process."""


class Forgetful:
    """No journal: nothing outlives the process, and nothing waits for it."""

    well = True

    def __init__(self) -> None:
        self.state = State()

    def at(self, now: int) -> int:
        return now

    def write(self, now: int, fact: Fact) -> int:
        return 0

    def durable(self, sequence: int) -> bool:
        return True
