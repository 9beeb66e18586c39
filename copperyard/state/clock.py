"""Service time: how long a gateway's state has been in service, in ns. It never goes back, not even over restarts.

While a gateway is down the wall clock may step back or jump ahead, and the monotonic clock may start over. The wall
clock is used only for the length of the downtime, of which at most MAX_DOWNTIME counts. So service time is never ahead
of true time by more than the last record's age, and what expires by it (codes) expires late, never early.
"""

from __future__ import annotations

MAX_DOWNTIME = 3600 * 1_000_000_000  # ns; the wall clock may jump by years


class ServiceClock:
    """Converts the event loop's clock to service time.

    `service_time` is that of the newest fact, `downtime` the time (ns) since then by the wall clock, which may be far
    off, `now` the loop's clock at this moment.
    """

    def __init__(self, service_time: int, downtime: int, now: int) -> None:
        self._offset = service_time + max(0, min(downtime, MAX_DOWNTIME)) - now
        self._last = service_time

    def at(self, now: int) -> int:
        """Service time of a moment of the loop's clock; never less than what was returned before."""
        self._last = max(self._last, now + self._offset)
        return self._last
