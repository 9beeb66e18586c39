"""Gateways that fetched lately, which get a hint when more is committed.

A hint saves periodic requests, but nothing relies on it: it may be lost, late or repeated. A gateway that gets none
fetches all the same, only later.
"""

from __future__ import annotations

MS = 1_000_000
MAX_SUBSCRIBERS = 1024  # the one with the oldest request is dropped; it goes on fetching by itself
# three request intervals of an idle learner: one or two requests may have gone elsewhere or been lost
SUBSCRIPTION_PERIOD = 6000 * MS
GRACE = 600 * MS  # voters fetch ages twice a second, so an entry's age is usually known by then


class Subscribers:
    """The subscribers, the newest index that each is known to hold, and when each fetched."""

    def __init__(self) -> None:
        self.hinted_index = 0  # newest index that hints were sent for
        self._subscribers: dict[str, tuple[int, int]] = {}  # time of request, known index; oldest request first
        self._applied = 0
        self._applied_at = 0  # when `_applied` was reached

    def __len__(self) -> int:
        return len(self._subscribers)

    def subscribe(self, now: int, name: str, known_index: int) -> None:
        """`name` fetched and was sent everything up to `known_index`."""
        self._subscribers.pop(name, None)
        self._subscribers[name] = (now, known_index)
        if len(self._subscribers) > MAX_SUBSCRIBERS:
            del self._subscribers[next(iter(self._subscribers))]

    def acknowledge(self, name: str, index: int) -> None:
        """`name` said that it holds everything up to `index`."""
        if name in self._subscribers:
            asked_at, known_index = self._subscribers[name]
            self._subscribers[name] = (asked_at, max(known_index, index))

    def outdated(self, now: int, index: int) -> list[str]:
        """The subscribers that lack `index`, each once per index; those without recent requests are dropped."""
        while self._subscribers:
            name = next(iter(self._subscribers))
            if now - self._subscribers[name][0] < SUBSCRIPTION_PERIOD:
                break
            del self._subscribers[name]
        behind = [name for name, (_, known_index) in self._subscribers.items() if known_index < index]
        for name in behind:
            self._subscribers[name] = (self._subscribers[name][0], index)
        return behind

    def hints_due(self, now: int, applied: int, dated_index: int) -> list[str]:
        """The subscribers to send a hint at `hinted_index` to; empty if there is nothing new.

        Entries up to `applied` are held here, and the age of entry `dated_index` is known. A hint waits until the age
        of its entry is known, so that one fetch brings both; after GRACE it is sent without, as the age of an entry
        whose leader is gone never becomes known.
        """
        if applied > self._applied:
            self._applied, self._applied_at = applied, now
        index = applied if now - self._applied_at >= GRACE else min(applied, dated_index)
        if index <= self.hinted_index:
            return []
        self.hinted_index = index
        return self.outdated(now, index)
