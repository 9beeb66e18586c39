"""Aggregates reports by cell: a delegate aggregates its cell, voters keep the newest report of each cell's delegates.

Reports are never accumulated: each covers its whole cell and replaces the previous report of the same delegate. So
duplicate, late or reordered reports and those from an earlier life change nothing. Two delegates that report the same
cell are redundant: one of the two reports counts.

Rule for epochs: a report with all members heard proves that each member follows `epoch` or a newer one. Within a
life of the member this stays true for ever, as no front goes back to an older plan; so each such report is a proof by
itself, and any of them could be used, also the one with the greatest epoch. But a restarted front has no plan, and may
adopt an older one than it had from a peer that lags. A proof covers no member that restarted after the proof's oldest
summary arrived. So the proof with the youngest oldest summary counts, and none once that is older than `terms.silent`:
a delegate that does not hear one member goes on proving what the member's last life reported, and the other delegate
overrules it after a report or two. Ages are counted at the delegate and at each hop; the time in socket buffers is not
counted, as without cells.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .facts import MAX_COUNT, MAX_LOAD_KB, MAX_TALLY, SECOND, SummaryTable, knowing_hosts, path_health, weighted_median
from .plan import CellReport, CellReportBatch, FrontSummary, Terms, ZoneAggregate

MAX_SKETCH_POINTS = 9  # with 24 fronts that all report a different room the rank of the median errs by 1
MAX_CELL_MEMBERS = 62  # its bit masks have to fit into an integer of a frame
MAX_REPORTERS = 4  # delegates of a cell whose reports are kept: the current two and their predecessors
# reports of two delegates within this time count as simultaneous: one report a second, one lost
SAME_TIME_NS = 3 * SECOND
MAX_BATCH_BYTES = 1 << 18  # bytes of one batch of reports: a quarter of a frame, so that heartbeats do not wait long
# a cell's counts of answered probes are ignored after this: several reports in a row were lost
REACHABILITY_MAX_AGE_NS = 5 * SECOND
MIN_UNANSWERED_PROBES = 6  # none answered: 1 in 20,000 if the zone lives and one message in ten is lost
NEVER = MAX_COUNT


def sketch(rooms: Iterable[float], limit: int = MAX_SKETCH_POINTS) -> tuple[tuple[float, int], ...]:
    """Summarize the values by at most `limit` weighted points, ascending; exact if there are no more distinct values.

    Neighbouring values are grouped, equal ones always together, and each group is represented by its median. The
    grouping minimizes the weight g of the heaviest group of several values. Then for each x the points count at most
    g // 2 values too many or too few below x: only one group lies on both sides of x, and at most half of it lies on
    either side of its median. With a bound of g - 1 there are ten groups or more, of which two neighbours weigh g or
    more together; so 5 g <= n, and among n values the rank errs by at most n // 10. The errors of several sketches
    add up: the median of a zone is within a tenth of its fronts of the true one.
    """
    counted = sorted(Counter(rooms).items())
    if len(counted) <= limit:
        return tuple(counted)
    bound = 1
    while len(groups := _groups(counted, bound)) > limit:
        bound += 1
    return tuple((weighted_median(group), sum(weight for _, weight in group)) for group in groups)


def _groups(counted: Sequence[tuple[float, int]], bound: int) -> list[list[tuple[float, int]]]:
    """Return the fewest groups of neighbours so that no group of several values weighs more than `bound`."""
    found: list[list[tuple[float, int]]] = []
    weight = 0
    for value, count in counted:
        if not found or weight + count > bound:
            found.append([])
            weight = 0
        found[-1].append((value, count))
        weight += count
    return found


class CellAggregate:
    """At a delegate: the newest summary of each member of its cell. ValueError for more than MAX_CELL_MEMBERS names."""

    def __init__(self, zone: int, cell: int, names: Sequence[str], digest: int, terms: Terms) -> None:
        if len(names) > MAX_CELL_MEMBERS:
            raise ValueError(f"a cell of {len(names)} gateways; {MAX_CELL_MEMBERS} are taken")
        self.zone, self.cell, self.digest, self.terms = zone, cell, digest, terms
        self.names = sorted(names)
        self.summaries = SummaryTable(dict.fromkeys(self.names, zone), terms)
        self._number = 0

    def update(self, now: int, summary: FrontSummary) -> bool:
        """Store a member's summary; return whether it was new. False for a gateway of another cell, another shape, or
        figures out of range.
        """
        return self.summaries.update(now, summary)

    def report(
        self, now: int, by: str, life: int, states: Mapping[str, int], reachability: Sequence[tuple[int, int, int, int]]
    ) -> CellReport:
        """Build the report of this cell, sent by its delegate `by`.

        `states` is the state of each gateway: 1 suspect, 2 dead, 3 left, anything else alive. `reachability` has a row
        for each zone, summed over the members of the cell: how many gateways of that zone they probed, how many
        answered, how many sent them a probe (heard), and how many of the answers were late. Raises ValueError if the
        number of rows is not the number of zones.
        """
        fresh = self.summaries.fresh(now)
        knowing = knowing_hosts(fresh)
        zones = tuple(
            ZoneAggregate(
                sketch(s.zones[z].room for s in knowing),
                sum(s.zones[z].setups for s in fresh),
                sum(s.zones[z].failed_setups for s in fresh),
                *row,
            )
            for z, row in zip(range(self.terms.zones), reachability, strict=True)
        )
        age = max((now - self.summaries.known[s.name][0] for s in fresh), default=0)
        # also an aggregate that was recreated within this life continues above its last number
        self._number = max(self._number + 1, now)
        suspect, dead, left = (
            sum(1 << n for n, name in enumerate(self.names) if states.get(name, 0) == one) for one in (1, 2, 3)
        )
        return CellReport(
            self.zone,
            self.cell,
            self.digest,
            by,
            life,
            self._number,
            age,
            len(fresh),
            self.summaries.oldest_epochs(now)[self.zone],
            suspect,
            dead,
            left,
            tuple(self.summaries.demand(now)[self.zone]),
            zones,
        )


@dataclass(slots=True)
class _StoredReport:
    """A report. `sent_at`: when it was sent, by the local clock; `received_at`: when it arrived."""

    report: CellReport
    sent_at: int
    received_at: int


def _completeness(one: _StoredReport) -> tuple[int, int, str]:
    return one.report.heard, one.sent_at, one.report.by


class CellReportTable:
    """At each voter: the newest report of each delegate of each cell. `cells`: (zone, cell) to the digest of its names
    and their number. The caller verifies that a report came from `by` and that `by` belongs to the cell.
    """

    def __init__(self, cells: Mapping[tuple[int, int], tuple[int, int]], terms: Terms) -> None:
        self.cells, self.terms = dict(cells), terms
        self.known: dict[tuple[int, int], dict[str, _StoredReport]] = {}
        self._unforwarded: set[tuple[int, int, str]] = set()
        # time and result of the last `_select`, until a report arrives
        self._selected: tuple[int, dict[tuple[int, int], tuple[_StoredReport, _StoredReport]]] | None = None
        self._sizes = [0] * terms.zones
        for (zone, _), (_, size) in self.cells.items():
            self._sizes[zone] += size

    def clear(self) -> None:
        """Forget all reports."""
        self.known.clear()
        self._unforwarded.clear()
        self._selected = None

    def update(self, now: int, report: CellReport, held: int = 0) -> bool:
        """Store a report that the sender had held for `held` ns; return whether it was new. A report of an unknown
        cell, of another roster, of another shape or with impossible ages is ignored.
        """
        key = report.zone, report.cell
        if not 0 <= held < MAX_COUNT or key not in self.cells or not self._valid(report):
            return False
        sent_at, self._selected = now - held, None
        reports = self.known.setdefault(key, {})
        old = reports.get(report.by)
        if old is not None and (old.report.life, old.report.number) >= (report.life, report.number):
            if (old.report.life, old.report.number) == (report.life, report.number):
                # the same report by another route: the time in socket buffers was not counted
                old.sent_at = min(old.sent_at, sent_at)
            return False
        reports[report.by] = _StoredReport(report, sent_at, now)
        if len(reports) > MAX_REPORTERS:
            oldest = min(reports, key=lambda by: (reports[by].received_at, by))
            del reports[oldest]
            self._unforwarded.discard((*key, oldest))
        self._unforwarded.add((*key, report.by))
        return True

    def _valid(self, report: CellReport) -> bool:
        digest, size = self.cells[report.zone, report.cell]
        masks = report.suspect, report.dead, report.left
        return (
            report.digest == digest
            and 0 <= report.age < MAX_COUNT
            and 0 <= report.heard <= size
            and 0 <= report.epoch < MAX_COUNT
            and (report.heard == size or not report.epoch)
            and 0 <= report.life < MAX_COUNT
            and 0 <= report.number < MAX_COUNT
            and all(0 <= mask < 1 << size for mask in masks)
            and len(report.demand) == len(self.terms.loads)
            and len(report.zones) == self.terms.zones
            and all(0 <= kb <= MAX_LOAD_KB * size for kb in report.demand)
            and all(_valid_zone(one, size) for one in report.zones)
        )

    # ---- forwarding

    def take_new(self, now: int) -> list[CellReportBatch]:
        """Return the reports that arrived since the last call, in batches that each fit into a frame."""
        found: list[CellReportBatch] = []
        batch: list[tuple[CellReport, int]] = []
        size = 0
        for zone, cell, by in sorted(self._unforwarded):
            stored = self.known[zone, cell][by]
            held = max(0, now - stored.sent_at)
            if held > self.terms.silent:
                continue
            more = _max_bytes(stored.report)
            if batch and size + more > MAX_BATCH_BYTES:
                found.append(CellReportBatch(tuple(batch)))
                batch, size = [], 0
            batch.append((stored.report, held))
            size += more
        self._unforwarded.clear()
        return [*found, CellReportBatch(tuple(batch))] if batch else found

    # ---- evaluation

    def _select(self, now: int) -> dict[tuple[int, int], tuple[_StoredReport, _StoredReport]]:
        """Return for each cell heard within `terms.silent` its latest report and the one used for sums."""
        if self._selected is None or self._selected[0] != now:
            found = {}
            for key, kept in self.known.items():
                fresh = [one for one in kept.values() if now - one.sent_at <= self.terms.silent]
                if fresh:
                    since = max(one.sent_at for one in fresh) - SAME_TIME_NS
                    fullest = max(fresh, key=_completeness)
                    latest = max((one for one in fresh if one.sent_at >= since), key=_completeness)
                    found[key] = latest, latest if 2 * latest.report.heard >= fullest.report.heard else fullest
            self._selected = now, found
        return self._selected[1]

    def current(self, now: int) -> dict[tuple[int, int], CellReport]:
        """Return the report used for sums of each cell heard within `terms.silent`.

        Of the reports sent at about the time of the last one it is the one that heard the most members, and of
        these the last one. (A delegate that died may have heard more than the remaining one, but its last report
        is out of date.) If that report heard less than half as many members as another one, the other is used: a new
        delegate has not heard its whole cell yet.
        """
        return {key: sums.report for key, (_, sums) in self._select(now).items()}

    def demand(self, now: int) -> list[list[float]]:
        """Return demand[home][class], kB/s."""
        found = [[0.0] * len(self.terms.loads) for _ in range(self.terms.zones)]
        for (zone, _), report in sorted(self.current(now).items()):
            for cls, kb in enumerate(report.demand):
                found[zone][cls] += kb
        return found

    def rooms(self, now: int) -> list[float]:
        """Return the room of each zone's hosts, kB/s, like SummaryTable.rooms, within the error of `sketch`."""
        current = self.current(now)
        found = []
        for z in range(self.terms.zones):
            own = [point for (zone, _), report in current.items() if zone == z for point in report.zones[z].rooms]
            found.append(
                weighted_median(own or [point for report in current.values() for point in report.zones[z].rooms])
            )
        return found

    def path_healths(self, now: int) -> list[list[float]]:
        """Return health[home][zone], like SummaryTable.path_healths."""
        n = self.terms.zones
        sums = [[[0, 0] for _ in range(n)] for _ in range(n)]
        for (zone, _), report in self.current(now).items():
            for z, one in enumerate(report.zones):
                sums[zone][z][0] += one.setups
                sums[zone][z][1] += one.failed_setups
        return [[path_health(setups, failed) for setups, failed in row] for row in sums]

    def oldest_epochs(self, now: int) -> list[int]:
        """Return by zone the oldest epoch that any of its fronts may still follow: 0 if a front or a cell was not heard
        within `terms.silent`. The module's docstring says why the youngest proof counts.
        """
        found = [1 << 60] * self.terms.zones
        for zone, cell in self.cells:
            size = self.cells[zone, cell][1]
            proofs = [
                (now - one.sent_at + one.report.age, one.report.epoch)
                for one in self.known.get((zone, cell), {}).values()
                if one.report.heard == size
            ]
            age, epoch = min(proofs, default=(NEVER, 0))
            found[zone] = min(found[zone], epoch if age <= self.terms.silent else 0)
        return found

    def silence(self, now: int, zone: int) -> int:
        """Return the ns since the last report of any cell of the zone was sent; NEVER if none is known."""
        return min(
            (now - one.sent_at for key, kept in self.known.items() if key[0] == zone for one in kept.values()),
            default=NEVER,
        )

    def unreachable(self, now: int) -> list[bool]:
        """Return by zone whether the cells of other zones probed its gateways and got no answer at all.

        This takes at least MIN_UNANSWERED_PROBES probes, or as many as a small site can have: one from each reporting
        gateway to each gateway of the zone.
        """
        probed, answered = [0] * self.terms.zones, [0] * self.terms.zones
        possible = [0] * self.terms.zones
        for (zone, _), (kept, _) in self._select(now).items():
            for z, one in enumerate(kept.report.zones):
                if z != zone and now - kept.sent_at <= REACHABILITY_MAX_AGE_NS:
                    probed[z] += one.probed
                    answered[z] += one.answered
                    possible[z] += kept.report.heard
        return [
            not answered[z] and probed[z] >= max(1, min(MIN_UNANSWERED_PROBES, possible[z] * self._sizes[z]))
            for z in range(self.terms.zones)
        ]

    def state_counts(self, now: int) -> list[tuple[int, int, int, int, int]]:
        """Return by zone the number of gateways, and of these the suspect, dead, left and unheard ones.

        An unheard gateway has no summary in its cell's latest report. A dead one is unheard as well once its last
        summary is old.
        """
        found = [[size, 0, 0, 0, size] for size in self._sizes]
        for (zone, _), (latest, _) in self._select(now).items():
            report = latest.report
            for n, mask in enumerate((report.suspect, report.dead, report.left)):
                found[zone][n + 1] += mask.bit_count()
            found[zone][4] -= report.heard
        return [(a, b, c, d, e) for a, b, c, d, e in found]


def _valid_zone(one: ZoneAggregate, size: int) -> bool:
    """Whether these figures on a zone are possible for a cell of that size."""
    rooms = [room for room, _ in one.rooms]
    return (
        len(rooms) <= MAX_SKETCH_POINTS
        and all(a < b for a, b in zip(rooms, rooms[1:], strict=False))
        and all(0 <= room <= MAX_LOAD_KB and weight > 0 for room, weight in one.rooms)
        and sum(weight for _, weight in one.rooms) <= size
        and 0 <= one.failed_setups <= one.setups < MAX_TALLY * size
        and 0 <= one.answered <= one.probed < MAX_TALLY
        and 0 <= one.heard < MAX_TALLY
        and 0 <= one.late < MAX_TALLY
    )


def _max_bytes(report: CellReport) -> int:
    """Return an upper bound of a report's bytes in a frame with its held time: 9 for a number, 5 for a list head."""
    return (
        9 * 13
        + 5
        + 4 * len(report.by)
        + 15
        + 9 * len(report.demand)
        + sum(5 + 5 + 9 * 6 + (5 + 18) * len(one.rooms) for one in report.zones)
    )
