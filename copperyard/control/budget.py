"""The retry budget, checked when the bytes leave.

The controller counts an attempt when it decides to send it; the first byte of the set-up leaves one connect later. So
two attempts decided slightly more than a span apart can leave within one span. Rule 6 is audited at the sockets, and
this check decides.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable


class RetryBudget:
    """Sliding window of `span` ns: at most `free` further attempts plus `share` of the requests accepted in it."""

    def __init__(self, span: int, free: float | None, share: float) -> None:
        self.span, self.free, self.share = span, free, share
        self._request_times: deque[int] = deque()
        self._spent_times: deque[int] = deque()

    def assume_spent(self, now: int) -> None:
        """After a crash the attempts spent in the current window are not known; assume all of them. Writing each
        further attempt to disk before it leaves was rejected: one sync per retry, to save one window without retries.
        """
        if self.free is not None:
            self._spent_times.extend([now] * int(self.free))

    def restore(self, now: int, ages: Iterable[int]) -> None:
        """After a planned end, take over the ages (ns) of the attempts spent."""
        self._spent_times.extend(sorted(now - age for age in ages))

    def spent_ages(self, now: int) -> tuple[int, ...]:
        """Return the ages (ns) of the further attempts in the current window."""
        self._trim(now)
        return tuple(now - at for at in self._spent_times)

    def count_request(self, now: int) -> None:
        """Count an accepted request."""
        if self.free is not None:
            self._trim(now)
            self._request_times.append(now)

    def try_spend(self, now: int) -> bool:
        """Return whether a further attempt may leave now, and count it if so."""
        if self.free is None:
            return True
        self._trim(now)
        if len(self._spent_times) + 1 > self.free + self.share * len(self._request_times):
            return False
        self._spent_times.append(now)
        return True

    def _trim(self, now: int) -> None:
        # An attempt exactly one span old still counts and a request exactly one span old does not, so the budget
        # holds for either definition of the window's edge.
        while self._request_times and self._request_times[0] <= now - self.span:
            self._request_times.popleft()
        while self._spent_times and self._spent_times[0] < now - self.span:
            self._spent_times.popleft()
