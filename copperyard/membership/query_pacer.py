"""Schedules the queries for a list that has to be polled. No I/O: times are passed in, in ns."""

from __future__ import annotations

import random
from collections import deque

MS = 1_000_000
KNOWN_AFTER = 1500 * MS  # a change counts as known this long after it happened, whether it was queried or not
# Between valid answers of a fast service. It is no shorter, as all fronts load one service and each answer holds the
# whole list
QUERY_INTERVAL = 1200 * MS
MIN_QUERY_INTERVAL = 250 * MS  # the same for a slow service
RETRY_INTERVAL = 150 * MS  # after a query without a valid answer, for the first FAST_RETRIES
SLOW_RETRY_INTERVAL = 250 * MS  # the same after that: the service is down, and all fronts query it when it is back
FAST_RETRIES = 3
# A service is slow if each of its last SLOW_RESPONSES answers took longer than this. A lost answer of a faster one is
# made up for in time by a query soon after it; to a slower one, further queries are sent before the last is answered
SLOW_RESPONSE_TIME = 600 * MS
SLOW_RESPONSES = 4
RESPONSE_TIMES_KEPT = 16  # the longest of which the interval allows for
JITTER_RATIO = 0.2  # share by which intervals are shortened at random, so that fronts started together spread out


class QueryPacer:
    """Paces queries to one service, with short intervals while the last ones are unanswered.

    Changes have to be known KNOWN_AFTER and `grace` (ns) after they happened: a set-up may be sent to a host for that
    long after it began to drain. An answer holds the list of the moment when its query arrived, in the worst case, so
    that a change is known after the interval between two queries and the time that an answer takes. The intervals
    leave time for one lost answer. A service whose answers take so long that no interval would do is queried no more
    often than one that answers at once.
    """

    def __init__(self, rng: random.Random, grace: int) -> None:
        self._rng = rng
        self._time_limit = KNOWN_AFTER + grace
        self._last_query = self._due = 0
        self._unanswered = 0
        self._response_times: deque[int] = deque(maxlen=RESPONSE_TIMES_KEPT)

    def query_sent(self, now: int) -> None:
        """A query was sent at `now`."""
        self._last_query = now
        self._unanswered += 1
        retry_interval = RETRY_INTERVAL if self._unanswered <= FAST_RETRIES else SLOW_RETRY_INTERVAL
        if self._is_slow():
            retry_interval = self._query_interval()
        self._due = now + self._with_jitter(retry_interval)

    def answer_received(self, response_time: int = 0) -> None:
        """A valid answer to one of the last queries came, `response_time` (ns) after it was sent."""
        self._response_times.append(response_time)
        if self._unanswered:
            self._unanswered = 0
            self._due = self._last_query + self._with_jitter(self._query_interval())

    def _is_slow(self) -> bool:
        last = list(self._response_times)[-SLOW_RESPONSES:]
        return len(last) == SLOW_RESPONSES and min(last) > SLOW_RESPONSE_TIME

    def _query_interval(self) -> int:
        """The longest interval with which a change is known in time, also if the answer to one query is lost."""
        in_time = [time for time in self._response_times if time + MIN_QUERY_INTERVAL <= self._time_limit]
        if not in_time:
            return QUERY_INTERVAL
        remaining = self._time_limit - max(in_time)
        interval = remaining // 2 if self._is_slow() else remaining - RETRY_INTERVAL
        return min(QUERY_INTERVAL, max(MIN_QUERY_INTERVAL, interval))

    def reset(self) -> None:
        """Query again at once: the service was replaced by another one."""
        self._unanswered = self._due = 0
        self._response_times.clear()

    @property
    def due(self) -> int:
        """When the next query is to be sent."""
        return self._due

    def _with_jitter(self, time: int) -> int:
        return time - int(JITTER_RATIO * self._rng.random() * time)
