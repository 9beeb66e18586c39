"""What gateways report, by cells: a delegate sums up its cell, the council keeps the newest word of each cell.

Nothing here is added to what was there before: each report stands for all of its cell and replaces the one before of
the same delegate. So reports that come twice, late, out of order or from an earlier life change nothing, and two
delegates that both report a cell are two ways by which the same is told: one of them counts.

The rule for epochs. A report that heard every member says of each: it follows `epoch`, or a newer one. Within a life
that stays true for ever, as nobody goes back to an older plan; so each such report is a proof by itself, and any of
them could be relied on, also the one with the greatest epoch. But a front that began anew has no plan, and may take up
an older one than it had from somebody who lags. A proof says nothing of who began anew after its oldest word was heard.
So the proof counts whose oldest word is the youngest, and none once that is older than `terms.silent`: a delegate that
does not hear one member goes on to prove what the member's last life said, and the other overrules it after a report
or two. Ages count at the delegate and at each hop; what is not counted is the time in sockets, as without cells.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .facts import MOST_COUNT, MOST_LOAD, MOST_TRIES, SECOND, Facts, median, told, worth
from .plan import CellReport, Gathered, Summary, Terms, Zonal

MOST_POINTS = 9  # of a sketch: of a cell of 24 fronts that all report another room, the rank in the middle errs by 1
MOST_NAMES = 62  # of a cell: its masks have to fit into a frame
MOST_BY = 4  # delegates of a cell whose reports are kept: two at a time, and those before them
TOGETHER = 3 * SECOND  # ns between reports of two delegates that count as sent at one time: a report a second, one lost
MOST_BYTES = 1 << 18  # of the reports of one Gathered: a quarter of a frame, so that heartbeats do not wait long
RECENT = 5 * SECOND  # ns that a cell's word of whom it reaches counts: some reports lost in a row, and it is old
LEAST_ASKED = 6  # questions to a zone, none answered: 1 in 20,000 where it lives and one message of ten is lost
NEVER = MOST_COUNT


def sketch(rooms: Iterable[float], most: int = MOST_POINTS) -> tuple[tuple[float, int], ...]:
    """At most `most` weighted points, ascending, that stand for the values; the values themselves where no more of them
    differ.

    Neighbouring values are put into groups, equal ones always into the same, and the group's median stands for all of
    it. Of all ways to do so one is taken whose heaviest group of several values is the lightest; g be its weight. Then
    for each x the points count at most g // 2 values too many, or too few, below x: only one group lies on both sides
    of x, and its median has at most half of it on either. With bounds of g - 1 there are ten groups or more, of which
    two neighbours weigh g or more together; so 5 g <= n, and of n values the rank errs by n // 10 at most. Sketches
    side by side add their errors: the median of a zone lies within a tenth of its fronts of the true one."""
    counted = sorted(Counter(rooms).items())
    if len(counted) <= most:
        return tuple(counted)
    bound = 1
    while len(groups := _groups(counted, bound)) > most:
        bound += 1
    return tuple((median(group), sum(weight for _, weight in group)) for group in groups)


def _groups(counted: Sequence[tuple[float, int]], bound: int) -> list[list[tuple[float, int]]]:
    """As few groups as can be of which none with several values weighs more than `bound`."""
    found: list[list[tuple[float, int]]] = []
    weight = 0
    for value, count in counted:
        if not found or weight + count > bound:
            found.append([])
            weight = 0
        found[-1].append((value, count))
        weight += count
    return found


class CellBook:
    """At a delegate: the newest summary of each member of its cell. ValueError for more than MOST_NAMES names."""

    def __init__(self, zone: int, cell: int, names: Sequence[str], digest: int, terms: Terms) -> None:
        if len(names) > MOST_NAMES:
            raise ValueError(f"a cell of {len(names)} gateways; {MOST_NAMES} are taken")
        self.zone, self.cell, self.digest, self.terms = zone, cell, digest, terms
        self.names = sorted(names)
        self.facts = Facts(dict.fromkeys(self.names, zone), terms)
        self._number = 0

    def learn(self, now: int, summary: Summary) -> bool:
        """Take a member's report; whether it was news. One of a gateway of another cell, of another shape or with
        figures that no front can have is none."""
        return self.facts.learn(now, summary)

    def report(
        self, now: int, by: str, life: int, lives: Mapping[str, int], sight: Sequence[tuple[int, int, int, int]]
    ) -> CellReport:
        """The cell as it is known here. `lives`: 1 suspected, 2 dead, 3 gone by itself, else it lives; `sight`: by
        zone, as in a Row, summed over the cell: asked, reached, heard, late. ValueError for another number of zones."""
        fresh = self.facts.fresh(now)
        rooms = told(fresh)
        zones = tuple(
            Zonal(
                sketch(s.zones[z].room for s in rooms),
                sum(s.zones[z].tried for s in fresh),
                sum(s.zones[z].broke for s in fresh),
                *row,
            )
            for z, row in zip(range(self.terms.zones), sight, strict=True)
        )
        age = max((now - self.facts.known[s.name][0] for s in fresh), default=0)
        # also a book that was begun anew within this life goes on above its last number
        self._number = max(self._number + 1, now)
        suspect, dead, left = (
            sum(1 << n for n, name in enumerate(self.names) if lives.get(name, 0) == one) for one in (1, 2, 3)
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
            self.facts.epochs(now)[self.zone],
            suspect,
            dead,
            left,
            tuple(self.facts.demand(now)[self.zone]),
            zones,
        )


@dataclass(slots=True)
class _Kept:
    """A report. `sent`: when, by the clock here; `learned`: when it came."""

    report: CellReport
    sent: int
    learned: int


def _fuller(one: _Kept) -> tuple[int, int, str]:
    return one.report.heard, one.sent, one.report.by


class CellFacts:
    """At each of the council: the newest report of each delegate of each cell. `cells`: (zone, cell) to the digest of
    its names and their number. Who takes a report of a link sees to it that `by` sent it and is of that cell."""

    def __init__(self, cells: Mapping[tuple[int, int], tuple[int, int]], terms: Terms) -> None:
        self.cells, self.terms = dict(cells), terms
        self.known: dict[tuple[int, int], dict[str, _Kept]] = {}
        self._news: set[tuple[int, int, str]] = set()
        # what counted when it was last asked for, until there is something new
        self._counts: tuple[int, dict[tuple[int, int], tuple[_Kept, _Kept]]] | None = None
        self._sizes = [0] * terms.zones
        for (zone, _), (_, size) in self.cells.items():
            self._sizes[zone] += size

    def clear(self) -> None:
        """Forget all reports."""
        self.known.clear()
        self._news.clear()
        self._counts = None

    def learn(self, now: int, report: CellReport, lay: int = 0) -> bool:
        """Take a report that lay `lay` ns with whoever passed it on; whether it was news. One of an unknown cell, of
        another roster's, of another shape or with ages that cannot be is none, and counts as not heard."""
        key = report.zone, report.cell
        if not 0 <= lay < MOST_COUNT or key not in self.cells or not self._right(report):
            return False
        sent, self._counts = now - lay, None
        kept = self.known.setdefault(key, {})
        old = kept.get(report.by)
        if old is not None and (old.report.life, old.report.number) >= (report.life, report.number):
            if (old.report.life, old.report.number) == (report.life, report.number):
                old.sent = min(old.sent, sent)  # by another way: what waited in sockets was not counted
            return False
        kept[report.by] = _Kept(report, sent, now)
        if len(kept) > MOST_BY:
            oldest = min(kept, key=lambda by: (kept[by].learned, by))
            del kept[oldest]
            self._news.discard((*key, oldest))
        self._news.add((*key, report.by))
        return True

    def _right(self, report: CellReport) -> bool:
        digest, size = self.cells[report.zone, report.cell]
        masks = report.suspect, report.dead, report.left
        return (
            report.digest == digest
            and 0 <= report.age < MOST_COUNT
            and 0 <= report.heard <= size
            and 0 <= report.epoch < MOST_COUNT
            and (report.heard == size or not report.epoch)
            and 0 <= report.life < MOST_COUNT
            and 0 <= report.number < MOST_COUNT
            and all(0 <= mask < 1 << size for mask in masks)
            and len(report.demand) == len(self.terms.loads)
            and len(report.zones) == self.terms.zones
            and all(0 <= kb <= MOST_LOAD * size for kb in report.demand)
            and all(_zonal(one, size) for one in report.zones)
        )

    # ---- passed on

    def gather(self, now: int) -> list[Gathered]:
        """What was learned since it was last asked for, for whoever leads: each in a frame's bounds, none if nothing
        is new."""
        found: list[Gathered] = []
        part: list[tuple[CellReport, int]] = []
        size = 0
        for zone, cell, by in sorted(self._news):
            kept = self.known[zone, cell][by]
            lay = max(0, now - kept.sent)
            if lay > self.terms.silent:
                continue
            more = _bytes(kept.report)
            if part and size + more > MOST_BYTES:
                found.append(Gathered(tuple(part)))
                part, size = [], 0
            part.append((kept.report, lay))
            size += more
        self._news.clear()
        return [*found, Gathered(tuple(part))] if part else found

    # ---- what follows of it

    def _counted(self, now: int) -> dict[tuple[int, int], tuple[_Kept, _Kept]]:
        """By cell that was heard within `terms.silent`: the report that tells how things are, and that for its sums."""
        if self._counts is None or self._counts[0] != now:
            found = {}
            for key, kept in self.known.items():
                fresh = [one for one in kept.values() if now - one.sent <= self.terms.silent]
                if fresh:
                    since = max(one.sent for one in fresh) - TOGETHER
                    fullest = max(fresh, key=_fuller)
                    latest = max((one for one in fresh if one.sent >= since), key=_fuller)
                    found[key] = latest, latest if 2 * latest.report.heard >= fullest.report.heard else fullest
            self._counts = now, found
        return self._counts[1]

    def current(self, now: int) -> dict[tuple[int, int], CellReport]:
        """The report whose sums count of each cell that was heard within `terms.silent`: of those sent at about the
        time of the last one that which heard the most members, and of these the last. (A delegate that died heard more
        than the one that is left, for a while; what it said last is old all the same.) Where that one heard less than
        half of what another did, the other: a delegate that has just begun has not heard its cell yet."""
        return {key: sums.report for key, (_, sums) in self._counted(now).items()}

    def demand(self, now: int) -> list[list[float]]:
        """demand[h][c], kB a second."""
        found = [[0.0] * len(self.terms.loads) for _ in range(self.terms.zones)]
        for (zone, _), report in sorted(self.current(now).items()):
            for cls, kb in enumerate(report.demand):
                found[zone][cls] += kb
        return found

    def rooms(self, now: int) -> list[float]:
        """What each zone's hosts give, kB a second, as Facts.rooms says, within the error of `sketch`."""
        current = self.current(now)
        found = []
        for z in range(self.terms.zones):
            own = [point for (zone, _), report in current.items() if zone == z for point in report.zones[z].rooms]
            found.append(median(own or [point for report in current.values() for point in report.zones[z].rooms]))
        return found

    def ways(self, now: int) -> list[list[float]]:
        """ways[h][z]: as Facts.ways says."""
        n = self.terms.zones
        sums = [[[0, 0] for _ in range(n)] for _ in range(n)]
        for (zone, _), report in self.current(now).items():
            for z, one in enumerate(report.zones):
                sums[zone][z][0] += one.tried
                sums[zone][z][1] += one.broke
        return [[worth(tried, broke) for tried, broke in row] for row in sums]

    def epochs(self, now: int) -> list[int]:
        """The oldest epoch that any front of each zone may still follow: 0 where one of them, or a cell, was not heard
        within `terms.silent`. Why the youngest proof counts is said above."""
        found = [1 << 60] * self.terms.zones
        for zone, cell in self.cells:
            size = self.cells[zone, cell][1]
            proofs = [
                (now - one.sent + one.report.age, one.report.epoch)
                for one in self.known.get((zone, cell), {}).values()
                if one.report.heard == size
            ]
            age, epoch = min(proofs, default=(NEVER, 0))
            found[zone] = min(found[zone], epoch if age <= self.terms.silent else 0)
        return found

    def silent(self, now: int, zone: int) -> int:
        """ns since the last report of any cell of the zone was sent; NEVER if none is known."""
        return min(
            (now - one.sent for key, kept in self.known.items() if key[0] == zone for one in kept.values()),
            default=NEVER,
        )

    def unreached(self, now: int) -> list[bool]:
        """By zone: whether the other zones' cells asked its gateways and got no answer at all. It takes LEAST_ASKED
        questions, or as many as there can be in a small site: one of each gateway that speaks to each there."""
        asked, reached = [0] * self.terms.zones, [0] * self.terms.zones
        speak = [0] * self.terms.zones
        for (zone, _), (kept, _) in self._counted(now).items():
            for z, one in enumerate(kept.report.zones):
                if z != zone and now - kept.sent <= RECENT:
                    asked[z] += one.asked
                    reached[z] += one.reached
                    speak[z] += kept.report.heard
        return [
            not reached[z] and asked[z] >= max(1, min(LEAST_ASKED, speak[z] * self._sizes[z]))
            for z in range(self.terms.zones)
        ]

    def lives(self, now: int) -> list[tuple[int, int, int, int, int]]:
        """By zone: gateways, and of them suspected, dead, gone by themselves, and not heard: those whose own report is
        in no cell's that counts. One that is dead is among these as well once its last report is old."""
        found = [[size, 0, 0, 0, size] for size in self._sizes]
        for (zone, _), (latest, _) in self._counted(now).items():
            report = latest.report
            for n, mask in enumerate((report.suspect, report.dead, report.left)):
                found[zone][n + 1] += mask.bit_count()
            found[zone][4] -= report.heard
        return [(a, b, c, d, e) for a, b, c, d, e in found]


def _zonal(one: Zonal, size: int) -> bool:
    """Whether a cell of that size can say this of a zone."""
    rooms = [room for room, _ in one.rooms]
    return (
        len(rooms) <= MOST_POINTS
        and all(a < b for a, b in zip(rooms, rooms[1:], strict=False))
        and all(0 <= room <= MOST_LOAD and weight > 0 for room, weight in one.rooms)
        and sum(weight for _, weight in one.rooms) <= size
        and 0 <= one.broke <= one.tried < MOST_TRIES * size
        and 0 <= one.reached <= one.asked < MOST_TRIES
        and 0 <= one.heard < MOST_TRIES
        and 0 <= one.late < MOST_TRIES
    )


def _bytes(report: CellReport) -> int:
    """The most bytes that a report takes in a frame, its lay as well: 9 for a number, 5 for a head of a list."""
    return (
        9 * 13
        + 5
        + 4 * len(report.by)
        + 15
        + 9 * len(report.demand)
        + sum(5 + 5 + 9 * 6 + (5 + 18) * len(one.rooms) for one in report.zones)
    )
