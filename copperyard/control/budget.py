"""The retry budget, kept where the bytes leave.

The module counts when it decides a send; the set-up's first byte leaves a connect later. Two attempts decided
just over a span apart can so leave within one. Rule 6 is checked from the sockets: the last word is here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable


class RetryBudget:
    """Trailing windows of `span` ns: at most `free` further attempts plus `share` of the requests taken."""

    def __init__(self, span: int, free: float | None, share: float) -> None:
        self.span, self.free, self.share = span, free, share
        self._taken: deque[int] = deque()
        self._spent: deque[int] = deque()

    def assume_spent(self, now: int) -> None:
        """An earlier life was killed: how much it spent of this window is not known, so all of it. Writing each further
        attempt to disk before it leaves was weighed: a sync for each retry, to save one window without them."""
        if self.free is not None:
            self._spent.extend([now] * int(self.free))

    def restore(self, now: int, ages: Iterable[int]) -> None:
        """An earlier life came to a planned end and told how long ago it spent each."""
        self._spent.extend(sorted(now - age for age in ages))

    def ages(self, now: int) -> tuple[int, ...]:
        """How long ago each further attempt of this window left."""
        self._forget(now)
        return tuple(now - at for at in self._spent)

    def taken(self, now: int) -> None:
        """A request was taken."""
        if self.free is not None:
            self._forget(now)
            self._taken.append(now)

    def spend(self, now: int) -> bool:
        """Whether a further attempt may leave now; if so it is counted."""
        if self.free is None:
            return True
        self._forget(now)
        if len(self._spent) + 1 > self.free + self.share * len(self._taken):
            return False
        self._spent.append(now)
        return True

    def _forget(self, now: int) -> None:
        # an event exactly a span ago is counted among the spent and not among the taken: whichever side of
        # the edge a watcher puts it, the budget holds
        while self._taken and self._taken[0] <= now - self.span:
            self._taken.popleft()
        while self._spent and self._spent[0] < now - self.span:
            self._spent.popleft()
