"""A gateway's part in its cell: whom it reports to, and what it does where it is one of the cell's delegates.

Each member tells its delegates what it sees, once a second; a delegate sends what they all said, in one report, to one
of the voters, its collector, and hears that it came. Who is a delegate each works out from whom it holds for alive:
two, or three for a while, do no harm, since a report says by whom it is and the newer replaces the older. A delegate
whose reports reach no collector says so to its cell and is none for a while: SWIM sees dead gateways, not links that a
cell does not use. No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..membership.gateways.cells import DELEGATES, CellPlace, ranked
from .zones.facts import MOST_TRIES
from .zones.plan import CellReport, Summary, Terms
from .zones.rollup import CellBook

SECOND = 1_000_000_000
REPORT = SECOND  # ns between reports, of a member and of a delegate
TOLD = 3 * SECOND  # ns for which a member's report makes who gets it a delegate
UNHEARD = 2 * SECOND + SECOND // 2  # ns without a word of the collector, after which the next one is tried
CUT = 6 * SECOND  # ns without a word of any, after which a delegate resigns: at least two were tried by then
RESIGNED = 20 * SECOND  # ns for which it is none
BACK = 60 * SECOND  # ns after which a delegate that changed its collector tries its first one again
MISSED = 3 * SECOND // 2  # ns without a member's report: there is one in 1.25 s at least, so one was lost, or more
SEEN = 3 * SECOND  # ns for which what a member said of its questions counts

Rows = tuple[tuple[int, int, int, int], ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A member to its delegates. `asked`: what it sees of each zone, as in a Row, but of the last periods only."""

    summary: Summary
    asked: Rows


@dataclass(frozen=True, slots=True)
class Heard:
    """A collector to a delegate: its report of that number came."""

    number: int


@dataclass(frozen=True, slots=True)
class Resign:
    """A delegate to its cell: for so long (ns) it is none, its reports reach no collector."""

    ns: int


def collectors(name: str, zone: int, key: str, voters: Mapping[str, int], prices: Sequence[float]) -> list[str]:
    """The voters in the order in which a cell's delegates report to them and ask them for news: itself where it is one,
    those of the zone, the nearer ones; among equals each cell draws its own, so that each voter has as many."""

    def far(other: str) -> tuple[bool, float]:
        return other != name, 0.0 if voters[other] == zone else abs(prices[voters[other]]) + 1

    return sorted(ranked(f"collector {key}", list(voters)), key=far)


class CellDuty:
    """One gateway's part. `alive` says of a name whether it is held for alive; `collectors` are voters, best first."""

    def __init__(
        self,
        name: str,
        place: CellPlace,
        terms: Terms,
        collectors: Sequence[str],
        life: int,
        alive: Callable[[str], bool],
        report_at: int,
    ) -> None:
        self.name, self.cell, self.life, self.alive = name, place.cell, life, alive
        self.collectors = list(collectors)
        self.ranks = place.cell.ranks()
        self.zones = terms.zones
        self.book = CellBook(place.cell.zone, place.cell.number, place.cell.names, place.cell.digest, terms)
        self.report_at = report_at
        self._told = -TOLD - 1  # when a member last took this gateway for a delegate
        self._resigned: dict[str, int] = {}  # until when, by name
        self._seen: dict[str, tuple[int, Rows]] = {}
        self._sent: deque[tuple[int, int, str]] = deque(maxlen=16)  # number, when, to: not heard of yet
        self._heard = -1  # when a collector last said that it heard
        self._since = -1  # when this gateway began to be a delegate
        # the delegates of a cell begin with different collectors; one that is a collector itself with itself
        self._first = 0 if self.collectors[0] == name else self.ranks.index(name) % DELEGATES
        self._turn, self._turned = self._first, 0  # whose turn it is among the collectors, since when

    # ---- who

    def delegates(self, now: int) -> list[str]:
        """The cell's delegates as far as this gateway sees: the first of the ranks that live and have not resigned."""
        living = [name for name in self.ranks if name == self.name or self.alive(name)]
        fit = [name for name in living if self._resigned.get(name, 0) <= now]
        return (fit or living)[:DELEGATES]

    def serves(self, now: int) -> bool:
        """Whether this gateway acts as a delegate: by its own view, or by that of a member that reported to it."""
        return now - self._told <= TOLD or self.name in self.delegates(now)

    def collector(self) -> str:
        """Whom the next report goes to."""
        return self.collectors[self._turn % len(self.collectors)]

    # ---- hearing

    def reported(self, now: int, sender: str, report: MemberReport) -> None:
        """A member's report."""
        if (
            report.summary.name != sender
            or sender not in self.cell.names
            or len(report.asked) != self.zones
            or not all(0 <= count <= MOST_TRIES for row in report.asked for count in row)
        ):
            return  # (a sum of numbers that nobody counts to would fit into no frame, and end this delegate's part)
        self._told = now if sender != self.name else self._told
        if self.book.learn(now, report.summary):
            self._seen[sender] = (now, report.asked)

    def heard(self, now: int, sender: str, message: Heard) -> None:
        """A collector has a report of this delegate's life."""
        if any(number == message.number and to == sender for number, _, to in self._sent):
            self._heard = now
            while self._sent and self._sent[0][0] <= message.number:
                self._sent.popleft()

    def resigned(self, now: int, sender: str, message: Resign) -> None:
        """Another delegate is none for a while."""
        if sender in self.cell.names and 0 < message.ns <= 2 * RESIGNED:
            self._resigned[sender] = now + message.ns

    def missed(self, now: int) -> list[str]:
        """Members that reported to this delegate, and then not for MISSED: to be asked whether they live. (With only
        questions by turns, all of a cell ask each once in a second or two, but whoever asks first is alone with its
        suspicion for long; two delegates that ask at about the same time share it.)"""
        missed = [name for name, (at, _) in self._seen.items() if MISSED < now - at <= TOLD + MISSED]
        return missed if missed and self.serves(now) else []

    # ---- reporting

    def report(self, now: int, lives: Mapping[str, int]) -> tuple[str, CellReport] | None:
        """The cell's report and whom it goes to, None where this gateway is no delegate."""
        self.report_at = now + REPORT
        if not self.serves(now):
            self._sent.clear()
            self._since = -1
            return None
        if self._since < 0:
            self._since = self._heard = now
            self._turn = self._first
        if self._sent and now - max(self._sent[0][1], self._heard) > UNHEARD:
            self._turn, self._turned = self._turn + 1, now
            self._sent.clear()
        elif self._turn != self._first and now - self._turned > BACK:
            self._turn = self._first
        sums = [[0, 0, 0, 0] for _ in range(self.zones)]
        for at, rows in self._seen.values():
            if now - at <= SEEN:
                for total, row in zip(sums, rows, strict=True):
                    for k in range(4):
                        total[k] += row[k]
        report = self.book.report(now, self.name, self.life, lives, [(a, b, c, d) for a, b, c, d in sums])
        to = self.collector()
        if to == self.name:
            self._heard = now
        else:
            self._sent.append((report.number, now, to))
        return to, report

    def resigns(self, now: int) -> Resign | None:
        """Told to the cell where no collector hears this delegate; asked after each report."""
        if self._since < 0 or now - self._heard <= CUT or len(self.cell.names) == 1:
            return None
        self._resigned[self.name] = now + RESIGNED
        self._since, self._told = -1, -TOLD - 1
        return Resign(RESIGNED)
