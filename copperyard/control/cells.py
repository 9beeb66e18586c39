"""The role of a gateway in its cell: whom it reports to, and its duties if it is one of the cell's delegates.

Each member reports to its delegates once a second. A delegate sends one aggregated report to one of the voters, its
collector, which acknowledges it. Each member derives the delegates from the members that it considers alive: two, or
temporarily three, do no harm, since a report names its delegate and a newer one replaces an older one. A delegate whose
reports reach no collector resigns for a while and tells its cell: SWIM detects dead gateways, but not broken links that
the cell itself does not use. No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import ClassVar

from ..membership.gateways.cells import DELEGATES_PER_CELL, CellPlace, ranked
from .zones.facts import MAX_TALLY
from .zones.plan import CellReport, FrontSummary, Terms
from .zones.rollup import CellAggregate

SECOND = 1_000_000_000
REPORT_INTERVAL_NS = SECOND  # between reports of a member, and of a delegate
DELEGATE_BY_REPORT_NS = 3 * SECOND  # a member's report makes its receiver a delegate for this time
COLLECTOR_ACK_TIMEOUT_NS = 2 * SECOND + SECOND // 2  # without an ack the next collector is tried
RESIGN_AFTER_NS = 6 * SECOND  # without any ack a delegate resigns; it has tried at least two collectors by then
RESIGNATION_NS = 20 * SECOND  # for which it is no delegate
FIRST_COLLECTOR_RETRY_NS = 60 * SECOND  # a delegate that switched tries its first collector again
REPORT_OVERDUE_NS = 3 * SECOND // 2  # a member reports within 1.25 s, so at least one report was lost
REACHABILITY_MAX_AGE_NS = 3 * SECOND  # for which the probe counts of a member are used

ZoneCounts = tuple[tuple[int, int, int, int], ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Report of a member to its delegates. `reachability`: its ReachabilityRow counts, but of the last periods only."""

    summary: FrontSummary
    reachability: ZoneCounts


@dataclass(frozen=True, slots=True)
class ReportAck:
    """Ack of a collector to a delegate: the report of that number arrived."""

    OUTER_NAME: ClassVar[str] = "Heard"  # key in benchmark results

    number: int


@dataclass(frozen=True, slots=True)
class DelegateResignation:
    """Message of a delegate to its cell: it is no delegate for `ns`, as its reports reach no collector."""

    OUTER_NAME: ClassVar[str] = "Resign"  # key in benchmark results

    ns: int


def rank_collectors(name: str, zone: int, key: str, voters: Mapping[str, int], prices: Sequence[float]) -> list[str]:
    """Return the voters in the order in which a delegate uses them: the gateway itself if it is a voter, then those of
    its zone, then nearer ones; each cell ranks equal ones by its own hash, so that voters get equal numbers of
    cells.
    """

    def distance(other: str) -> tuple[bool, float]:
        return other != name, 0.0 if voters[other] == zone else abs(prices[voters[other]]) + 1

    return sorted(ranked(f"collector {key}", list(voters)), key=distance)


class DelegateRole:
    """One gateway's role. `alive` tells whether a member is considered alive; `collectors` are voters, best first."""

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
        self.aggregate = CellAggregate(place.cell.zone, place.cell.number, place.cell.names, place.cell.digest, terms)
        self.report_at = report_at
        self._reported_to_at = -DELEGATE_BY_REPORT_NS - 1  # when a member last reported to this gateway
        self._resigned_until: dict[str, int] = {}  # end of the resignation, by name
        self._reachability: dict[str, tuple[int, ZoneCounts]] = {}
        self._unacked: deque[tuple[int, int, str]] = deque(maxlen=16)  # (number, time, collector) without an ack
        self._acked_at = -1  # when a collector last acknowledged a report
        self._delegate_since = -1  # when this gateway became a delegate
        # the delegates of a cell start with different collectors; a voter starts with itself
        self._first_collector = 0 if self.collectors[0] == name else self.ranks.index(name) % DELEGATES_PER_CELL
        # current collector, since when
        self._collector_index, self._switched_at = self._first_collector, 0

    # ---- who is a delegate

    def delegates(self, now: int) -> list[str]:
        """Return the cell's delegates in this gateway's view: the first living ones by rank that have not resigned."""
        living = [name for name in self.ranks if name == self.name or self.alive(name)]
        willing = [name for name in living if self._resigned_until.get(name, 0) <= now]
        return (willing or living)[:DELEGATES_PER_CELL]

    def is_delegate(self, now: int) -> bool:
        """Whether this gateway acts as a delegate: in its own view, or in that of a member that reported to it."""
        return now - self._reported_to_at <= DELEGATE_BY_REPORT_NS or self.name in self.delegates(now)

    def current_collector(self) -> str:
        """Return the name of the collector (a voter) to which this delegate sends its next report."""
        return self.collectors[self._collector_index % len(self.collectors)]

    # ---- messages

    def member_reported(self, now: int, sender: str, report: MemberReport) -> None:
        """Store the report of a member; invalid ones are ignored."""
        if (
            report.summary.name != sender
            or sender not in self.cell.names
            or len(report.reachability) != self.zones
            or not all(0 <= count <= MAX_TALLY for row in report.reachability for count in row)
        ):
            return  # a sum of absurd counts would not fit into a frame, and the failing encoder would end this role
        self._reported_to_at = now if sender != self.name else self._reported_to_at
        if self.aggregate.update(now, report.summary):
            self._reachability[sender] = (now, report.reachability)

    def report_acked(self, now: int, sender: str, message: ReportAck) -> None:
        """Record the ack of a collector."""
        if any(number == message.number and to == sender for number, _, to in self._unacked):
            self._acked_at = now
            while self._unacked and self._unacked[0][0] <= message.number:
                self._unacked.popleft()

    def delegate_resigned(self, now: int, sender: str, message: DelegateResignation) -> None:
        """Record that another delegate resigned for a while."""
        if sender in self.cell.names and 0 < message.ns <= 2 * RESIGNATION_NS:
            self._resigned_until[sender] = now + message.ns

    def overdue_members(self, now: int) -> list[str]:
        """Return members that reported to this delegate, but not within REPORT_OVERDUE_NS: they are to be probed.

        With periodic probes alone a cell probes each member every second or two, but the first gateway to suspect it
        is alone with its suspicion for long; two delegates that probe at about the same time confirm each other.
        """
        overdue = [
            name
            for name, (at, _) in self._reachability.items()
            if REPORT_OVERDUE_NS < now - at <= DELEGATE_BY_REPORT_NS + REPORT_OVERDUE_NS
        ]
        return overdue if overdue and self.is_delegate(now) else []

    # ---- reporting

    def make_report(self, now: int, states: Mapping[str, int]) -> tuple[str, CellReport] | None:
        """Return the collector and the cell's report, None if this gateway is no delegate."""
        self.report_at = now + REPORT_INTERVAL_NS
        if not self.is_delegate(now):
            self._unacked.clear()
            self._delegate_since = -1
            return None
        if self._delegate_since < 0:
            self._delegate_since = self._acked_at = now
            self._collector_index = self._first_collector
        if self._unacked and now - max(self._unacked[0][1], self._acked_at) > COLLECTOR_ACK_TIMEOUT_NS:
            self._collector_index, self._switched_at = self._collector_index + 1, now
            self._unacked.clear()
        elif self._collector_index != self._first_collector and now - self._switched_at > FIRST_COLLECTOR_RETRY_NS:
            self._collector_index = self._first_collector
        sums = [[0, 0, 0, 0] for _ in range(self.zones)]
        for at, rows in self._reachability.values():
            if now - at <= REACHABILITY_MAX_AGE_NS:
                for total, row in zip(sums, rows, strict=True):
                    for k in range(4):
                        total[k] += row[k]
        report = self.aggregate.report(now, self.name, self.life, states, [(a, b, c, d) for a, b, c, d in sums])
        to = self.current_collector()
        if to == self.name:
            self._acked_at = now
        else:
            self._unacked.append((report.number, now, to))
        return to, report

    def resign_if_unheard(self, now: int) -> DelegateResignation | None:
        """Resign if no collector acknowledges this delegate's reports; called after each report."""
        if self._delegate_since < 0 or now - self._acked_at <= RESIGN_AFTER_NS or len(self.cell.names) == 1:
            return None
        self._resigned_until[self.name] = now + RESIGNATION_NS
        self._delegate_since, self._reported_to_at = -1, -DELEGATE_BY_REPORT_NS - 1
        return DelegateResignation(RESIGNATION_NS)
