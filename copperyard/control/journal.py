"""The journal as the core sees it, and a null implementation."""

from __future__ import annotations

from typing import Protocol

from ..state.durable_state import DurableState
from ..state.facts import Fact

JOURNAL_TIMEOUT_NS = 1_000_000_000  # ns that a paid set-up, or its PLAY, waits for the disk
"""A disk that takes a second has failed for this purpose, and most of the deadline is left to try elsewhere or to
refuse. Half of the time left until the deadline would serve as well.
"""


class Journal(Protocol):
    """Takes facts. Each gets a sequence number and becomes durable at some later time, or never."""

    @property
    def state(self) -> DurableState:
        """The state that the facts written so far add up to."""

    @property
    def healthy(self) -> bool:
        """Whether a fact that is written now can be expected to become durable soon."""

    def service_time(self, now: int) -> int:
        """Return the service time of a loop time (ns)."""

    def write(self, now: int, fact: Fact) -> int:
        """Write a fact and return its sequence number."""

    def durable(self, sequence: int) -> bool:
        """Return whether the fact with that number survives this process."""


class NullJournal:
    """No journal: nothing survives the process, and nothing waits for it."""

    healthy = True

    def __init__(self) -> None:
        self.state = DurableState()

    def service_time(self, now: int) -> int:
        """Return the loop time itself."""
        return now

    def write(self, now: int, fact: Fact) -> int:
        """Discard the fact."""
        return 0

    def durable(self, sequence: int) -> bool:
        """Return True, so that nothing waits."""
        return True
