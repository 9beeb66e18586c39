"""When a list that is only told on asking is asked for next. No I/O: times are passed in."""

from __future__ import annotations

import random

MS = 1_000_000
# What happened counts as told 1.5 s later, asked or not, and a set-up may leave for some time (the drain's grace) after
# that. Between good answers a query each PACE leaves room for two that are lost; all fronts together load one service,
# and its answers hold the whole list each, so nothing is asked sooner than that needs
PACE = 1200 * MS
AGAIN = 150 * MS  # after a query that brought no good answer: soon, while few have failed
SLOW = 250 * MS  # the same once FEW have: the service is down, and all fronts ask it when it is back
FEW = 3
SPREAD = 0.2  # part by which these times are shortened at random, so that fronts begun at once do not ask at once


class Asking:
    """Paces queries to one service, quick while the last ones brought nothing."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._asked = self._due = 0
        self._unanswered = 0

    def asked(self, now: int) -> None:
        """A query has left."""
        self._asked = now
        self._unanswered += 1
        self._due = now + self._shorter(AGAIN if self._unanswered <= FEW else SLOW)

    def answered(self) -> None:
        """A good answer came to one of the last queries."""
        if self._unanswered:
            self._unanswered = 0
            self._due = self._asked + self._shorter(PACE)

    def restart(self) -> None:
        """The service is another one: what this one knows is not known yet."""
        self._unanswered = self._due = 0

    @property
    def due(self) -> int:
        """When the next query is to leave."""
        return self._due

    def _shorter(self, time: int) -> int:
        return time - int(SPREAD * self._rng.random() * time)
