"""Service time: how long this state has been in service, in ns. It never goes back, over restarts neither.

The machine's date may step back or jump ahead while a gateway is down, and its monotonic clock starts anew. Both are
used for one thing only: how long the gateway was down, and of that no more than DOWN_MOST is counted. So service time
is never ahead of true time by more than the last record's age, and what expires by it (codes) expires late, never
early.
"""

from __future__ import annotations

DOWN_MOST = 3600 * 1_000_000_000  # ns of a time out of service that count at most: a date may jump by years


class ServiceClock:
    """`reached` is the service time of the newest fact, `down` how long (ns, by the machine's date, and so perhaps
    nonsense) the state was out of service since, `now` the loop's clock at this moment."""

    def __init__(self, reached: int, down: int, now: int) -> None:
        self._offset = reached + max(0, min(down, DOWN_MOST)) - now
        self._last = reached

    def at(self, now: int) -> int:
        """Service time of a moment of the loop's clock; never less than it gave before."""
        self._last = max(self._last, now + self._offset)
        return self._last
