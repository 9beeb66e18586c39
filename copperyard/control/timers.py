"""Timers of a core: the controller's and those of sessions."""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class Timers:
    """One pending time per key; setting a key again replaces it. Replaced heap entries are discarded when they reach
    the top, and all at once when they outnumber the pending ones, so that the heap stays bounded.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Hashable]] = []
        self._pending: dict[Hashable, tuple[int, int]] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._pending)

    def set(self, key: Hashable, at: int) -> None:
        """Set the time of a key, replacing an earlier one."""
        self._count += 1
        self._pending[key] = (at, self._count)
        heapq.heappush(self._heap, (at, self._count, key))
        if len(self._heap) > 64 + 4 * len(self._pending):
            self._heap = [(when, n, k) for k, (when, n) in self._pending.items()]
            heapq.heapify(self._heap)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._pending

    def cancel(self, key: Hashable) -> None:
        """Remove the timer of a key if there is one."""
        self._pending.pop(key, None)

    def next(self) -> int | None:
        """Return the earliest pending time, None if there is none."""
        while self._heap and self._pending.get(self._heap[0][2]) != self._heap[0][:2]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> list[Hashable]:
        """Remove and return the keys that are due, earliest first; equal times in the order they were set."""
        found: list[Hashable] = []
        while (at := self.next()) is not None and at <= now:
            key = heapq.heappop(self._heap)[2]
            del self._pending[key]
            found.append(key)
        return found
