"""Times at which the core wants to be woken: the module's own and the sessions'."""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class Timers:
    """At most one pending time a key; setting it again replaces it. Entries that were replaced are dropped when
    they come up, and all at once when they outnumber the live ones, so that the heap stays bounded."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Hashable]] = []
        self._live: dict[Hashable, tuple[int, int]] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._live)

    def set(self, key: Hashable, at: int) -> None:
        self._count += 1
        self._live[key] = (at, self._count)
        heapq.heappush(self._heap, (at, self._count, key))
        if len(self._heap) > 64 + 4 * len(self._live):
            self._heap = [(when, n, k) for k, (when, n) in self._live.items()]
            heapq.heapify(self._heap)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._live

    def drop(self, key: Hashable) -> None:
        self._live.pop(key, None)

    def next(self) -> int | None:
        """The earliest time that is still wanted."""
        while self._heap and self._live.get(self._heap[0][2]) != self._heap[0][:2]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def due(self, now: int) -> list[Hashable]:
        """Take the keys whose time has come, earliest first; those set in the same order stay in it."""
        found: list[Hashable] = []
        while (at := self.next()) is not None and at <= now:
            key = heapq.heappop(self._heap)[2]
            del self._live[key]
            found.append(key)
        return found
