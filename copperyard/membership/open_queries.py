"""The queries of a poll whose answers are still accepted. No I/O: times are passed in, in ns."""

from __future__ import annotations

SECOND = 1_000_000_000
QUERY_LIFETIME = 15 * SECOND  # for which the answer of a slow service is still worth taking


class OpenQueries:
    """Ids of sent queries, from when they were sent until they are answered or too old, at most `limit` of them."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._sent_at: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._sent_at)

    def __contains__(self, query_id: int) -> bool:
        return query_id in self._sent_at

    def sent(self, now: int, query_id: int) -> None:
        """A query was sent at `now`; the oldest ones make room for it."""
        self._sent_at.pop(query_id, None)
        self._sent_at[query_id] = now
        while len(self._sent_at) > self._limit or self._oldest() <= now - QUERY_LIFETIME:
            del self._sent_at[next(iter(self._sent_at))]

    def answered(self, now: int, query_id: int) -> int:
        """A query was answered, so that no further answer to it is accepted; returns how long that took (ns)."""
        return now - self._sent_at.pop(query_id)

    def clear(self) -> None:
        """Accept no answer to any query sent so far."""
        self._sent_at.clear()

    def _oldest(self) -> int:
        return next(iter(self._sent_at.values()))
