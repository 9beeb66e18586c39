"""A gateway that does not vote: it asks others for what was committed, and passes it on.

Committed entries never change, so any gateway may tell them; voters are not asked by the whole fleet at once. Whom it
asks is drawn: mostly the best source, at times one anywhere. Who was asked of late tells of something newer (`Newer`),
and is asked at once. What keeps a bad source from holding a gateway back:

- one that does not answer within ASK is passed over for AVOID, and the next in order is asked;
- one that lacks what was held here for SETTLED already is passed over as well;
- where nothing has grown for STALE, though a plan is renewed more often, every other question goes to the first in
  order that was not asked since. Of two sources of which one is cut off from all news, the other is so asked within
  STALE, a quiet pause and two ASK: 3 + 2.5 + 1.25 s, and a plan holds 10 s.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from .council import BATCH, Apply, Dates, Order, Restore, Say, news
from .listeners import Listeners
from .messages import Entry, Message, Newer, News, Since, Snapshot

MS = 1_000_000
ASK = 500 * MS  # after it a question counts as unanswered; between questions of one that knows nothing or looks on
QUIET = 2000 * MS  # between questions else, and up to a quarter more: a plan is renewed as often, so that a renewal's
# hint comes before the next question, and it holds for five times that; one hint in a hundred is lost
STALE = 3000 * MS  # without anything new: longer than between two renewals
SETTLED = 1000 * MS  # what was held here for so long, a source that is not cut off has as well
AVOID = 5000 * MS  # a bad source is passed over for so long
OUT_MOST = 4  # questions out and younger than ASK, where hints ask for more
KNOWN_MOST = 64  # sources of which something is remembered
ANSWER = 10_000 * MS  # an answer that took longer dates nothing that would still hold
KEPT = BATCH  # entries kept to be passed on: one that restarts gets a snapshot and all of them in one answer


class Questions:
    """Questions that are out. Each has a number of its own, which its answer brings back: of two to the same source the
    first may be answered last, or late, and an age counted from the second would be too small."""

    def __init__(self, first: int) -> None:
        self.number = first
        self._out: dict[int, tuple[str, int]] = {}

    def ask(self, now: int, name: str) -> int:
        """The number of a new question."""
        self.number += 1
        self._out[self.number] = (name, now)
        for old in [n for n, (_, at) in self._out.items() if now - at > ANSWER or n <= self.number - KNOWN_MOST]:
            del self._out[old]
        return self.number

    def answered(self, name: str, number: int) -> int | None:
        """When the question was asked that `name` answers; None where there is no such, or not any more."""
        if self._out.get(number, ("", 0))[0] != name:
            return None
        return self._out.pop(number)[1]

    def waits(self, number: int) -> bool:
        return number in self._out

    def young(self, now: int) -> list[str]:
        """Who may still be about to answer."""
        return [name for name, at in self._out.values() if now - at < ASK]


class Follower:
    """Follows the council's log. `sources` gives those to ask, the best first."""

    def __init__(self, sources: Callable[[], list[str]], seed: int, now: int) -> None:
        self.sources = sources
        self.random = random.Random(seed)
        self.snapshot = Snapshot(0, 0, (), b"")
        self.log: list[Entry] = []
        self.leader = ""
        self.dates = Dates()
        self.listeners = Listeners()
        self.questions = Questions(self.random.getrandbits(31))
        self.ask_at = now + int(self.random.random() * ASK)  # a thousand that start at once are spread
        self.grown_at = now  # when something new came last
        self._now = now  # of the last call
        self._last = ("", 0)  # the newest question: to whom, its number
        self._wanted, self._wanted_at = 0, now  # the newest that a hint was heard for
        self._turn = False  # whose turn it is where nothing grows: the draw's, or the next in order's
        self._asked: dict[str, int] = {}
        self._answered: dict[str, int] = {}
        self._avoid: dict[str, int] = {}  # since when a source is passed over
        self._vain: dict[str, int] = {}  # when a source was asked for its hint, which has brought nothing yet
        self._out: list[Order] = []

    @property
    def applied(self) -> int:
        return self.snapshot.index + len(self.log)

    def take(self) -> list[Order]:
        """Orders since the last call. Who asked of late is told where there is more."""
        for name in self.listeners.due(self._now, self.applied, self.dates.index):
            self._out.append(Say(name, Newer(self.listeners.index)))
        out, self._out = self._out, []
        return out

    def next_wake(self) -> int:
        return self.ask_at

    def last_answer(self, name: str) -> int | None:
        """When a source last answered; None where it never did, or so long ago that it is forgotten."""
        return self._answered.get(name)

    # ---- asking

    def wake(self, now: int) -> None:
        """Ask somebody, where it is time."""
        self._now = now
        if now < self.ask_at:
            return
        self.ask_at = now + self._about(ASK)
        name, number = self._last
        unanswered = self.questions.waits(number)
        if unanswered:
            _note(self._avoid, name, now)
        found = self.sources()
        if found:
            self._ask(now, self._choose(now, found, unanswered))

    def _choose(self, now: int, found: list[str], unanswered: bool) -> str:
        """Whom to ask. Those that are passed over come last, the one that waited longest first."""
        bad = [name for name in found if self._avoided(now, name)]
        order = [name for name in found if name not in bad] + sorted(bad, key=lambda name: self._avoid[name])
        if unanswered:
            return order[0]
        self._turn = self._stale(now) and not self._turn
        if self._turn:
            return min(order, key=lambda name: max(0, self._asked.get(name, 0) - self.grown_at))
        # the near ones share the first part of the draws with geometric weights; the rest is anybody's
        near = self.random.random() < 0.75
        return order[
            min(int(self.random.expovariate(1.0)), len(order) - 1) if near else self.random.randrange(len(order))
        ]

    def _avoided(self, now: int, name: str) -> bool:
        return now - self._avoid.get(name, now - AVOID) < AVOID

    def _stale(self, now: int) -> bool:
        return now - self.grown_at >= STALE

    def _about(self, time: int) -> int:
        return time * 3 // 4 + int(self.random.random() * time / 2)

    def _ask(self, now: int, name: str) -> None:
        _note(self._asked, name, now)
        self._last = (name, self.questions.ask(now, name))
        self._out.append(Say(name, Since(self.applied, self._last[1])))
        self.ask_at = now + self._about(ASK)

    # ---- hearing

    def hear(self, now: int, sender: str, message: Message) -> None:
        """A question of another gateway, a hint, or an answer to a question of ours."""
        self._now = now
        if isinstance(message, Since):
            dated, age = self.dates.told(now)
            self._out.append(Say(sender, news(message, self.snapshot, self.log, self.applied, self.leader, dated, age)))
            self.listeners.asked(now, sender, min(self.applied, dated))
        elif isinstance(message, Newer):
            self._on_newer(now, sender, message.index)
        elif isinstance(message, News):
            asked = self.questions.answered(sender, message.ask)
            if asked is not None:
                _note(self._answered, sender, now)
                self._on_news(now, sender, message, asked)

    def _lacks(self, index: int) -> bool:
        return index > self.applied or index > self.dates.index

    def _on_newer(self, now: int, sender: str, index: int) -> None:
        """Ask who hints, unless somebody may be about to tell as much. Whose hints brought nothing is not asked by them
        again within ASK; who did not answer is passed over."""
        self.listeners.holds(sender, index)
        if not self._lacks(index) or self._avoided(now, sender):
            return
        young = self.questions.young(now)
        if index <= self._wanted and now - self._wanted_at < ASK and young:
            return
        self._wanted, self._wanted_at = max(index, self._wanted), now
        if sender in young or len(young) >= OUT_MOST or now - self._vain.get(sender, now - ASK) < ASK:
            self.ask_at = min(self.ask_at, now + self._about(ASK))
            return
        _note(self._vain, sender, now)
        self._ask(now, sender)

    def _on_news(self, now: int, sender: str, message: News, asked: int) -> None:
        before, dated = self.applied, self.dates.index
        snapshot = message.snapshot
        if snapshot is not None and snapshot.index > self.applied:
            self.snapshot, self.log = snapshot, []
            self._out.append(Restore(snapshot))
        if message.index <= self.applied:
            for entry in message.entries[self.applied - message.index :]:
                self.log.append(entry)
                self._out.append(Apply(self.applied, entry))
        if message.commit >= self.applied and message.leader:
            self.leader = message.leader
        if message.dated and message.dated <= self.applied:
            self.dates.know(message.dated, asked - message.age)
        self.listeners.holds(sender, min(message.commit, message.dated))
        if asked - self.grown_at >= SETTLED and (message.commit < before or message.dated < dated):
            _note(self._avoid, sender, now)
        else:
            self._avoid.pop(sender, None)
        if self.applied > before or self.dates.index > dated:
            self.grown_at = now
            self._vain.pop(sender, None)
        if self.applied > before and message.commit > self.applied:
            self._ask(now, sender)  # a batch was not all
            return
        looks = not self.applied or self._stale(now) or self._lacks(self._wanted) and now - self._wanted_at < QUIET
        self.ask_at = now + (self._about(ASK) if looks else QUIET + int(self.random.random() * QUIET / 4))
        self._last = ("", 0)

    @property
    def wants_snapshot(self) -> bool:
        return len(self.log) > KEPT

    def compact(self, data: bytes) -> None:
        """All that was applied is in `data`: it is passed on in place of the entries."""
        self.snapshot = Snapshot(self.applied, self.log[-1].term, self.snapshot.voters, data)
        self.log = []


def _note(times: dict[str, int], name: str, now: int) -> None:
    """Remember a time for a name, of KNOWN_MOST names the newest."""
    times.pop(name, None)
    times[name] = now
    if len(times) > KNOWN_MOST:
        del times[next(iter(times))]


def date_from(dates: Dates, asked: int, applied: int, message: News) -> None:
    """What a voter that does not lead takes from an answer: its log comes by other ways, ages only by this one."""
    if message.dated and message.dated <= applied:
        dates.know(message.dated, asked - message.age)
