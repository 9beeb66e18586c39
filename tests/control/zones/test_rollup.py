"""Aggregation by cells: voters derive from it what they would derive from all reports, or less."""

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from copperyard.control.zones.facts import SummaryTable
from copperyard.control.zones.plan import CellReport, CellReportBatch, FrontSummary, ZoneAggregate, ZoneHosts
from copperyard.control.zones.rollup import (
    MAX_BATCH_BYTES,
    MAX_REPORTERS,
    MAX_SKETCH_POINTS,
    MIN_UNANSWERED_PROBES,
    NEVER,
    REACHABILITY_MAX_AGE_NS,
    SAME_TIME_NS,
    CellAggregate,
    CellReportTable,
    sketch,
)
from copperyard.protocol.peers import Codec
from tests.control.zones.helpers import SECOND, terms

CODEC = Codec({1: CellReport, 2: CellReportBatch, 3: ZoneAggregate})
UNASKED = (0, 0, 0, 0)
SILENT = terms().silent


def summary(name, number=1, epoch=0, demand=(10.0, 0.0), room=100.0, life=1, tried=0, broke=0, hosts=1, zones=3):
    return FrontSummary(name, life, number, epoch, demand, (ZoneHosts(room, 0.0, hosts, 0, tried, broke),) * zones)


class Cell:
    """One cell of zone 0 and a voter's view of it; two more zones have no cell unless given."""

    def __init__(self, size=4, zone=0, others=()):
        self.names = [f"m{n}" for n in range(size)]
        self.zone, self.digest, self.size = zone, 7, size
        self.books = {by: self.book() for by in ("m0", "m1", "m2")}
        self.council = CellReportTable({(zone, 0): (7, size), **dict(others)}, terms())

    def book(self):
        return CellAggregate(self.zone, 0, self.names, self.digest, terms())

    def tell(self, now, only=None, to=("m0", "m1"), **more):
        for name in self.names if only is None else only:
            for by in to:
                assert self.books[by].update(now, summary(name, now, **more))

    def report(self, now, by="m0", life=1, lives=None, sight=(UNASKED,) * 3):
        return self.books[by].report(now, by, life, lives or {}, sight)


# ---- sketches


def ranks(values, found):
    """The least and the greatest index of a value among the sorted ones."""
    return sum(v < found for v in values), sum(v <= found for v in values) - 1


rooms_ = st.lists(st.integers(0, 60).map(float), min_size=1, max_size=40)


@settings(max_examples=600)
@given(rooms_)
@example([float(n) for n in range(30)])
@example([float(n // 2) for n in range(30)])
@example([0.0] * 11 + [float(n) for n in range(1, 20)])
def test_a_sketch_counts_at_most_a_tenth_too_many_or_too_few_below_any_value(values):
    points = sketch(values)
    assert len(points) <= MAX_SKETCH_POINTS and [v for v, _ in points] == sorted({v for v, _ in points})
    assert sum(weight for _, weight in points) == len(values) and {v for v, _ in points} <= set(values)
    if len(set(values)) <= MAX_SKETCH_POINTS:
        assert points == tuple(sorted(Counter(values).items()))
    for x in values:
        assert abs(sum(w for v, w in points if v < x) - sum(v < x for v in values)) <= len(values) // 10
        assert abs(sum(w for v, w in points if v <= x) - sum(v <= x for v in values)) <= len(values) // 10


def test_a_cell_of_24_fronts_that_each_see_another_room_errs_by_one_rank():
    points = sketch([float(n) for n in range(24)])
    assert [w for _, w in points] == [3] * 8 and [v for v, _ in points] == [float(3 * n + 1) for n in range(8)]


# ---- random sites: the aggregated view compared with the flat one


class Drawn:
    """A site whose fronts report, restart and fall silent at random; some reports are lost, late or duplicated. `flat` gets
    at once each summary that any delegate gets."""

    def __init__(self, sizes, prompt):
        self.terms, self.prompt = terms(len(sizes)), prompt
        self.now, self.committed, self.lags = 100 * SECOND, 3, [0, 0]
        self.cells = {
            (z, c): [f"{z}.{c}.{n}" for n in range(size)] for z, row in enumerate(sizes) for c, size in enumerate(row)
        }
        self.names = [name for names in self.cells.values() for name in names]
        self.cell_of = {name: key for key, names in self.cells.items() for name in names}
        self.flat = SummaryTable({name: key[0] for name, key in self.cell_of.items()}, self.terms)
        self.lives, self.numbers, self.epochs = dict.fromkeys(self.names, 1), Counter(), dict.fromkeys(self.names, 0)
        self.said = {name: [] for name in self.names}  # (when, epoch) of what any delegate heard
        shape = {key: (hash(key) % 1000, len(names)) for key, names in self.cells.items()}
        self.books = {(key, by): self.new_book(key) for key, names in self.cells.items() for by in names[:3]}
        self.council = [CellReportTable(shape, self.terms) for _ in range(2)]
        self.leader = CellReportTable(shape, self.terms)
        self.flights, self.gathered = [], []

    def new_book(self, key):
        return CellAggregate(key[0], key[1], self.cells[key], hash(key) % 1000, self.terms)

    def tell(self, name, mask, up, draw):
        rng = random.Random(draw)
        if up:
            self.epochs[name] = max(self.epochs[name], self.committed - rng.randrange(2))
        self.numbers[name] += 1
        pool = 4 if draw % 2 else 1000
        one = FrontSummary(
            name,
            self.lives[name],
            self.numbers[name],
            self.epochs[name],
            (rng.random() * 100, rng.random()),
            tuple(
                ZoneHosts(float(rng.randrange(pool)), 0.0, int(rng.random() < 0.9), 0, 4 + n, rng.randrange(4))
                for n in range(self.terms.zones)
            ),
        )
        key = self.cell_of[name]
        heard = [by for n, by in enumerate(self.cells[key][:3]) if mask >> n & 1]
        for by in heard:
            self.books[key, by].update(self.now, one)
        if heard:
            self.flat.update(self.now, one)
            self.said[name].append((self.now, one.epoch))

    def report(self, key, by, collector):
        self.flights.append(
            (
                self.now,
                collector,
                self.books[key, by].report(self.now, by, self.lives[by], {}, (UNASKED,) * self.terms.zones),
            )
        )

    def deliver(self, flight):
        at, collector, report = flight
        if self.council[collector].update(self.now, report):
            self.lags[0] = max(self.lags[0], self.now - at)

    def gather(self, collector):
        self.gathered += [(self.now, one) for one in self.council[collector].take_new(self.now)]

    def pass_on(self, gathered):
        at, one = gathered
        for report, lay in gathered[1].reports:
            if self.leader.update(self.now, report, lay):
                self.lags[1] = max(self.lags[1], self.now - at)

    def step(self, op, a, b, c):
        keys = sorted(self.cells)
        key, name = keys[a % len(keys)], self.names[a % len(self.names)]
        by = self.cells[key][:3][b % len(self.cells[key][:3])]
        if op == "tell":
            self.tell(name, b % 8, c % 3, c)
        elif op == "all tell":
            for n, one in enumerate(self.cells[key]):
                self.tell(one, 7 if (b >> n % 8) & 1 else b % 8, 1, c + n)
        elif op == "commit":
            self.committed += 1
        elif op == "wait":
            self.now += a % 4 * SECOND + b
        elif op == "report":
            self.report(key, by, c % 2)
            if self.prompt and c % 5:
                self.deliver(self.flights[-1])
                self.gather(c % 2)
                for one in self.gathered[-1:]:
                    self.pass_on(one)
        elif op == "again" and self.flights:
            flight = self.flights[a % len(self.flights)]
            known = self.council[flight[1]].known.get((flight[2].zone, flight[2].cell), {}).get(flight[2].by)
            if not self.prompt or known is not None and known.report.number >= flight[2].number:
                self.deliver(flight)
        elif op == "gather" and not self.prompt:
            self.gather(a % 2)
        elif op == "pass on" and self.gathered:
            self.pass_on(self.gathered[a % len(self.gathered)])
        elif op == "restart" and not self.prompt:
            self.lives[name] += 1
            # it may at once adopt an older plan than it had, from a peer that lags
            self.epochs[name] = b % 2 * max(0, self.committed - c % 3)
            if (self.cell_of[name], name) in self.books:
                self.books[self.cell_of[name], name] = self.new_book(self.cell_of[name])
        self.check()

    def check(self):
        """No epoch is reported that not every front reported within the age limit (and the time in socket buffers)."""
        found = self.leader.oldest_epochs(self.now)
        since = self.now - self.terms.silent - sum(self.lags)
        for z, epoch in enumerate(found):
            said = [
                max((e for at, e in self.said[name] if at >= since), default=0)
                for name in self.names
                if self.cell_of[name][0] == z
            ]
            assert epoch <= min(said, default=1 << 60)
        if self.prompt:
            assert all(a <= b for a, b in zip(found, self.flat.oldest_epochs(self.now), strict=True))

    def settle(self, silent, orders):
        """All living fronts report, one or two delegates of each cell report, and all of that is forwarded."""
        self.now += SILENT + SECOND if silent else SAME_TIME_NS + SECOND
        for n, name in enumerate(self.names):
            if name not in silent:
                self.tell(name, 7, 1, orders + n)
        self.now += SECOND
        flights = []
        for n, (key, names) in enumerate(sorted(self.cells.items())):
            for by in names[:3][: 1 + (orders + n) % 2]:
                self.report(key, by, (orders + n) % 2)
                flights.append(self.flights[-1])
        rng = random.Random(orders)
        for one in rng.sample(flights, len(flights)) + flights:
            self.deliver(one)
        begin = len(self.gathered)
        for collector in (1, 0):
            self.gather(collector)
        last = self.gathered[begin:]
        for one in rng.sample(last, len(last)) + self.gathered:
            self.pass_on(one)


drawn_ops = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "tell",
                "all tell",
                "all tell",
                "commit",
                "wait",
                "wait",
                "report",
                "report",
                "report",
                "again",
                "gather",
                "gather",
                "pass on",
                "pass on",
                "restart",
            ]
        ),
        st.integers(0, 99),
        st.integers(0, 255),
        st.integers(0, 99),
    ),
    max_size=60,
)
sizes_ = st.lists(st.lists(st.integers(1, 14), min_size=1, max_size=3), min_size=2, max_size=4)


@settings(max_examples=250)
@given(sizes_, drawn_ops, st.booleans(), st.sets(st.integers(0, 99), max_size=2), st.integers(0, 999))
def test_the_aggregated_view_equals_the_flat_one_and_never_proves_more_epochs(sizes, ops, prompt, silent, orders):
    site = Drawn(sizes, prompt)
    for op in ops:
        site.step(*op)
    site.settle({site.names[n % len(site.names)] for n in silent}, orders)
    flat, leader, now = site.flat, site.leader, site.now
    assert leader.oldest_epochs(now) == flat.oldest_epochs(now)
    for rolled, one in ((leader.demand(now), flat.demand(now)), (leader.path_healths(now), flat.path_healths(now))):
        for a, b in zip(rolled, one, strict=True):
            assert a == pytest.approx(b)
    told = [s for s in flat.fresh(now) if any(z.hosts for z in s.zones)]
    exact = all(
        len({s.zones[z].room for s in told if site.cell_of[s.name] == key}) <= MAX_SKETCH_POINTS
        for key in site.cells
        for z in range(site.terms.zones)
    )
    assert not exact or leader.rooms(now) == flat.rooms(now)
    for z, room in enumerate(leader.rooms(now)):
        who = [s for s in told if site.cell_of[s.name][0] == z] or told
        values = [s.zones[z].room for s in who]
        if values:
            low, high = ranks(values, room)
            bound = sum(n // 10 for n in Counter(site.cell_of[s.name] for s in who).values())
            assert low - bound <= len(values) // 2 <= high + bound
    heard = Counter(site.cell_of[s.name][0] for s in flat.fresh(now))
    assert [one[0] - one[4] for one in leader.state_counts(now)] == [heard[z] for z in range(site.terms.zones)]


reports_ = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 2), st.integers(1, 3), st.integers(0, 16)), min_size=1, max_size=12
)


@settings(max_examples=200)
@given(reports_, st.randoms(use_true_random=False))
def test_reports_in_any_order_and_twice_by_several_ways_say_the_same(drawn, rng):
    """A report's content is always the same; only the held time differs by route."""

    def report(by, life, number):
        room = ((float(number), 2),)
        return CellReport(
            0,
            0,
            7,
            f"m{by}",
            life,
            number,
            by * SECOND,
            4 - by // 2,
            life + number if by < 2 else 0,
            0,
            number % 4,
            0,
            (float(by), float(life)),
            (ZoneAggregate(room, 9, number, 0, 0, 0, 0),) * 3,
        )

    events = [(report(by, life, number), lay * SECOND) for by, life, number, lay in drawn]
    found = []
    for order in (events, events[::-1], events + events, rng.sample(events, len(events)) + events[::2]):
        facts = CellReportTable({(0, 0): (7, 4)}, terms())
        for one, lay in order:
            facts.update(20 * SECOND, one, lay)
        now = 21 * SECOND
        found.append(
            (
                facts.demand(now),
                facts.rooms(now),
                facts.path_healths(now),
                facts.oldest_epochs(now),
                facts.silence(now, 0),
                facts.state_counts(now),
                facts.take_new(now),
            )
        )
    assert all(one == found[0] for one in found)


# ---- a delegate's aggregate


def test_an_aggregate_keeps_the_newest_of_each_member_and_rejects_figures_out_of_range():
    cell = Cell()
    book = cell.books["m0"]
    assert (
        book.update(0, summary("m1", 5)) and not book.update(0, summary("m1", 5)) and not book.update(0, summary("m1"))
    )
    assert book.update(0, summary("m1", 1, life=2)) and not book.update(0, summary("m1", 9))
    assert not book.update(0, summary("x"))
    assert not book.update(0, summary("m2", zones=2)) and not book.update(0, summary("m2", demand=(1.0,)))
    for wrong in (
        {"demand": (-1.0, 0.0)},
        {"demand": (1e300, 0.0)},
        {"room": 1e300},
        {"room": math.nan},
        {"epoch": -1},
        {"epoch": 1 << 62},
        {"life": 1 << 62},
        {"number": 1 << 62},
        {"tried": 1 << 62},
        {"tried": 1, "broke": 2},
    ):
        assert not book.update(0, summary("m2", **wrong)), wrong
    assert cell.report(SECOND).heard == 1


def test_a_report_says_of_a_cell_what_its_members_say_together():
    cell = Cell()
    cell.tell(0, ["m0", "m1"], epoch=4, room=30.0, tried=3, broke=1)
    cell.tell(SECOND, ["m2"], epoch=6, room=50.0, demand=(1.0, 2.0))
    found = cell.report(3 * SECOND, lives={"m3": 2, "m1": 1, "x": 3}, sight=((0,) * 4, (9, 8, 7, 6), (0,) * 4))
    assert (found.heard, found.epoch, found.age, found.demand) == (3, 0, 3 * SECOND, (21.0, 2.0))
    assert (found.suspect, found.dead, found.left) == (0b10, 0b1000, 0)
    assert found.zones[1] == ZoneAggregate(((30.0, 2), (50.0, 1)), 6, 2, probed=9, answered=8, heard=7, late=6)
    cell.tell(3 * SECOND, ["m3"], epoch=5, hosts=0)
    whole = cell.report(3 * SECOND)
    assert (whole.heard, whole.epoch) == (4, 4) and whole.zones == replace(
        found, zones=tuple(replace(z, probed=0, answered=0, heard=0, late=0) for z in found.zones)
    ).zones
    assert cell.council.update(3 * SECOND, found) and cell.council.update(3 * SECOND, whole)


def test_a_member_that_fell_silent_leaves_the_sums_and_takes_the_epoch_with_it():
    cell = Cell()
    cell.tell(0, epoch=4)
    cell.tell(10 * SECOND, ["m0", "m1", "m2"], epoch=4)
    assert (cell.report(SILENT).epoch, cell.report(SILENT).age) == (4, SILENT)
    late = cell.report(SILENT + 1)
    assert (late.heard, late.epoch, late.age, late.demand) == (3, 0, SILENT + 1 - 10 * SECOND, (30.0, 0.0))


def test_an_aggregate_recreated_within_a_life_continues_above_its_last_number():
    """After a roster changed and changed back, or a delegate resigned for a while."""
    cell = Cell()
    cell.tell(0, epoch=4)
    assert cell.council.update(SECOND, cell.report(SECOND)) and cell.council.update(SECOND, cell.report(SECOND))
    cell.books["m0"] = cell.book()
    cell.tell(2 * SECOND, to=["m0"], epoch=5)
    assert cell.council.update(2 * SECOND, cell.report(2 * SECOND)) and cell.council.oldest_epochs(2 * SECOND)[0] == 5


def test_a_cell_of_more_names_than_a_mask_holds_is_refused():
    with pytest.raises(ValueError, match="63 gateways"):
        CellAggregate(0, 0, [str(n) for n in range(63)], 1, terms())
    with pytest.raises(ValueError):
        Cell().report(0, sight=(UNASKED,) * 2)


# ---- hard cases


def test_two_delegates_that_each_hear_half_of_a_cell_prove_no_epoch_and_the_fuller_report_counts():
    cell = Cell(6)
    cell.tell(0, ["m0", "m1", "m2", "m3"], to=["m0"], epoch=4)
    cell.tell(0, ["m3", "m4", "m5"], to=["m1"], epoch=4)
    for by in ("m0", "m1"):
        assert cell.council.update(0, cell.report(0, by))
    assert cell.council.oldest_epochs(0)[0] == 0
    assert cell.council.demand(0)[0] == [40.0, 0.0] and cell.council.state_counts(0)[0] == (6, 0, 0, 0, 2)


def test_a_report_of_another_roster_counts_as_not_heard():
    """A roster change splits a cell while it reports: the old cell's report does not describe the new cell."""
    cell = Cell()
    cell.tell(0, epoch=4)
    old = cell.report(0)
    after = CellReportTable({(0, 0): (8, 3), (0, 1): (9, 3)}, terms())
    assert not after.update(0, old)
    assert (
        after.oldest_epochs(0)[0] == 0 and after.silence(0, 0) == NEVER and after.state_counts(0)[0] == (6, 0, 0, 0, 6)
    )
    assert not after.update(0, replace(old, cell=2)) and not after.update(0, replace(old, zone=4))
    books = [CellAggregate(0, 0, ["m0", "m1", "m3"], 8, terms()), CellAggregate(0, 1, ["m2", "n0", "n1"], 9, terms())]
    for n, book in enumerate(books):
        for name in book.names:
            book.update(0, summary(name, epoch=4 - n))
        assert after.oldest_epochs(0)[0] == 0  # half of it is not heard
        assert after.update(0, book.report(0, book.names[0], 1, {}, (UNASKED,) * 3))
    assert after.oldest_epochs(0)[0] == 3


def test_reports_twice_late_out_of_order_and_from_an_earlier_life_change_nothing():
    cell = Cell()
    cell.tell(0, epoch=4)
    first = cell.report(0)
    cell.tell(SECOND, epoch=5, demand=(20.0, 0.0))
    second, council = cell.report(SECOND), cell.council
    assert council.update(SECOND, second)
    assert not council.update(SECOND, second) and not council.update(SECOND, first)
    assert council.oldest_epochs(SECOND)[0] == 5 and council.demand(SECOND)[0] == [80.0, 0.0]
    reborn = replace(first, life=2, number=1, heard=3, epoch=0)
    assert council.update(2 * SECOND, reborn) and not council.update(2 * SECOND, replace(second, number=1 << 50))
    assert council.oldest_epochs(2 * SECOND)[0] == 0


def test_a_delegate_that_dies_before_it_passes_a_report_on_is_replaced_by_what_the_other_heard():
    cell = Cell()
    cell.tell(0, epoch=4)
    for by in ("m0", "m1"):
        cell.council.update(0, cell.report(0, by))
    cell.tell(SECOND, epoch=5, demand=(20.0, 0.0))  # m0 takes these and dies
    assert cell.council.update(SECOND, cell.report(SECOND, "m1"))
    assert cell.council.oldest_epochs(SECOND)[0] == 5 and cell.council.demand(SECOND)[0] == [80.0, 0.0]


def test_what_only_a_dead_delegate_heard_counts_until_it_is_too_old_and_then_as_nothing():
    cell = Cell()
    cell.tell(0, epoch=4, to=["m0"])
    cell.council.update(2 * SECOND, cell.report(2 * SECOND))
    for now in (3 * SECOND, 9 * SECOND, SILENT + 2 * SECOND):
        cell.tell(now, ["m1", "m2"], to=["m1"], epoch=9)
        cell.council.update(now, cell.report(now, "m1"))
        assert cell.council.oldest_epochs(now)[0] == (4 if now <= SILENT else 0)
    assert cell.council.demand(9 * SECOND)[0] == [20.0, 0.0]  # who is left is behind by two, not everybody by seconds


def test_a_report_counts_as_as_old_as_its_oldest_word_however_long_it_lay_and_where():
    cell = Cell()
    cell.tell(0, ["m0"], epoch=4)
    cell.tell(3 * SECOND, ["m1", "m2", "m3"], epoch=4)
    first = CellReportTable(cell.council.cells, terms())
    first.update(4 * SECOND, cell.report(4 * SECOND), 0)
    ((report, lay),) = first.take_new(6 * SECOND)[0].reports
    assert (report.age, lay) == (4 * SECOND, 2 * SECOND)
    cell.council.update(7 * SECOND, report, lay)  # a second in a socket, which nobody counts
    assert cell.council.silence(7 * SECOND, 0) == 2 * SECOND
    ((_, lay),) = cell.council.take_new(9 * SECOND)[0].reports
    assert lay == 4 * SECOND
    assert (
        cell.council.oldest_epochs(SILENT + SECOND)[0] == 4 and cell.council.oldest_epochs(SILENT + SECOND + 1)[0] == 0
    )
    # its sums count until the report itself is too old: one silent member does not hide the others
    assert cell.council.demand(SILENT + 5 * SECOND)[0] == [40.0, 0.0]
    assert cell.council.demand(SILENT + 5 * SECOND + 1)[0] == [0.0, 0.0]


def test_of_two_proofs_the_younger_counts_since_a_front_may_have_restarted():
    """m3 restarted and follows an older plan from a peer that lagged; m1 does not hear it."""
    cell = Cell()
    cell.tell(0, epoch=5)
    cell.tell(4 * SECOND, ["m0", "m1", "m2"], epoch=5)
    cell.tell(4 * SECOND, ["m3"], to=["m0"], epoch=4, life=2)
    for by in ("m0", "m1"):
        cell.council.update(4 * SECOND, cell.report(4 * SECOND, by))
    assert cell.council.oldest_epochs(4 * SECOND)[0] == 4
    assert (
        cell.council.update(5 * SECOND, cell.report(5 * SECOND, "m1"))
        and cell.council.oldest_epochs(5 * SECOND)[0] == 4
    )


def test_a_report_that_heard_more_but_is_old_does_not_outweigh_who_goes_on_reporting():
    """m0 died after its last report; m3 died earlier, and m1 no longer counts it."""
    cell = Cell()
    cell.tell(0)
    cell.council.update(0, cell.report(0, "m0"))
    cell.tell(SECOND, ["m1", "m2"], to=["m1"], demand=(70.0, 0.0))
    cell.books["m1"].summaries.known.pop("m3")
    for now in (SECOND, 2 * SECOND, SAME_TIME_NS, SAME_TIME_NS + 1):
        cell.council.update(now, cell.report(now, "m1"))
        assert cell.council.current(now)[0, 0].by == ("m0" if now <= SAME_TIME_NS else "m1")
    assert cell.council.demand(SAME_TIME_NS + 1)[0] == [150.0, 0.0]


def test_a_delegate_that_has_just_begun_does_not_empty_its_cell():
    """Both delegates died at once; the others report to the next one as they learn of it."""
    cell = Cell(8)
    cell.tell(0)
    for by in ("m0", "m1"):
        cell.council.update(0, cell.report(0, by))
    now = 5 * SECOND
    for heard, rolled in ((["m2"], 80.0), (["m3", "m4"], 80.0), (["m5"], 280.0), (["m6", "m7"], 420.0)):
        cell.tell(now, heard, to=["m2"], demand=(70.0, 0.0))
        cell.council.update(now, cell.report(now, "m2", lives={"m0": 2, "m1": 2}))
        assert cell.council.demand(now)[0][0] == rolled and cell.council.state_counts(now)[0][2] == 2
        now += SECOND


def test_what_was_read_at_one_time_is_read_anew_once_there_is_more():
    cell = Cell()
    cell.tell(0)
    assert cell.council.demand(0)[0] == [0.0, 0.0]
    cell.council.update(0, cell.report(0))
    assert cell.council.demand(0)[0] == [40.0, 0.0] and cell.council.demand(SILENT + 1)[0] == [0.0, 0.0]
    assert cell.council.demand(0)[0] == [40.0, 0.0]
    cell.council.update(0, cell.report(0), 2 * SILENT)  # the same by another route: it is older than assumed
    assert cell.council.demand(0)[0] == [0.0, 0.0]
    cell.council.update(0, cell.report(0))
    assert cell.council.demand(0)[0] == [40.0, 0.0]
    cell.council.clear()
    assert cell.council.demand(0)[0] == [0.0, 0.0]


def test_no_more_than_a_few_delegates_of_a_cell_are_kept_and_the_oldest_learned_falls_out():
    cell = Cell()
    cell.tell(0, epoch=4)
    one = cell.report(0)
    for n in range(MAX_REPORTERS + 2):
        assert cell.council.update(n * SECOND, replace(one, by=f"d{n}"))
    assert sorted(cell.council.known[0, 0]) == ["d2", "d3", "d4", "d5"]
    assert [r.by for r, _ in cell.council.take_new(6 * SECOND)[0].reports] == ["d2", "d3", "d4", "d5"]


@pytest.mark.parametrize(
    "more",
    [
        {"digest": 8},
        {"age": -1},
        {"age": 1 << 60},
        {"heard": 5},
        {"heard": -1},
        {"heard": 3},
        {"epoch": -1},
        {"epoch": 1 << 60},
        {"suspect": 16},
        {"dead": -1},
        {"left": 1 << 40},
        {"demand": (1.0,)},
        {"demand": (-1.0, 0.0)},
        {"demand": (1e300, 0.0)},
        {"life": 1 << 60},
        {"life": -1},
        {"number": 1 << 60},
    ],
)
def test_a_report_that_no_cell_of_this_site_can_make_is_ignored(more):
    cell = Cell()
    cell.tell(0, epoch=4)
    assert not cell.council.update(0, replace(cell.report(0), **more))
    assert cell.council.oldest_epochs(0)[0] == 0 and cell.council.take_new(0) == []


@pytest.mark.parametrize(
    "more",
    [
        {"rooms": ((1.0, 1), (1.0, 1))},
        {"rooms": ((2.0, 1), (1.0, 1))},
        {"rooms": ((1.0, 0),)},
        {"rooms": ((1.0, 5),)},
        {"rooms": ((-1.0, 1),)},
        {"rooms": ((1e300, 1),)},
        {"rooms": tuple((float(n), 1) for n in range(10))},
        {"setups": -1, "failed_setups": -1},
        {"failed_setups": 1},
        {"setups": 1 << 62},
        {"answered": 1},
        {"probed": 1 << 62},
        {"heard": -1},
        {"late": 1 << 62},
    ],
)
def test_zone_figures_that_no_cell_can_have_are_ignored(more):
    cell = Cell()
    cell.tell(0, epoch=4)
    report = cell.report(0)
    assert cell.council.update(0, report)
    wrong = replace(report, number=9, zones=(replace(report.zones[0], **more), *report.zones[1:]))
    assert not cell.council.update(0, wrong) and not cell.council.update(0, replace(wrong, zones=report.zones[:2]))


def test_a_report_with_an_impossible_held_time_is_ignored():
    cell = Cell()
    cell.tell(0, epoch=4)
    report = cell.report(0)
    assert not cell.council.update(0, report, -1) and not cell.council.update(0, report, 1 << 60)
    assert cell.council.update(0, report, (1 << 60) - 1) and cell.council.oldest_epochs(0)[0] == 0


# ---- evaluation of zones


def test_own_cells_say_what_room_a_zone_has_and_all_others_where_it_has_none_that_reports():
    council = CellReportTable({(z, 0): (7, 3) for z in range(3)}, terms())
    for z, rooms in ((0, (100.0, 50.0, 80.0)), (1, (10.0, 90.0, 80.0))):
        book = CellAggregate(z, 0, ["a", "b", "c"], 7, terms())
        book.update(
            0, FrontSummary("a", 1, 1, 1, (1.0, 0.0), tuple(ZoneHosts(room, 0.0, 1, 0, 8, z) for room in rooms))
        )
        council.update(0, book.report(0, "a", 1, {}, (UNASKED,) * 3))
    assert council.rooms(0) == [100.0, 90.0, 80.0] and council.path_healths(0)[1] == [0.875] * 3
    assert council.path_healths(0)[2] == [1.0] * 3 and council.rooms(SILENT + 1) == [0.0] * 3


def asked(zone, asked, reached, heard=4, by="m0", number=1):
    rows = [ZoneAggregate((), 0, 0, asked if z == 0 else 0, reached if z == 0 else 0, 0, 0) for z in range(3)]
    return CellReport(zone, 0, 7, by, 1, number, 0, heard, 0, 0, 0, 0, (0.0, 0.0), tuple(rows))


def test_a_zone_is_unreached_only_where_all_that_asked_it_got_no_answer():
    def council(*reports):
        found = CellReportTable({(z, 0): (7, 4) for z in range(3)}, terms())
        for one in reports:
            assert found.update(0, one)
        return found

    lost = council(asked(1, 4, 0), asked(2, 2, 0))
    assert lost.unreachable(0) == [True, False, False] and lost.silence(0, 0) == NEVER and lost.silence(0, 1) == 0
    assert (
        lost.unreachable(REACHABILITY_MAX_AGE_NS) == [True, False, False]
        and lost.unreachable(REACHABILITY_MAX_AGE_NS + 1) == [False] * 3
    )
    assert council(asked(1, 40, 0), asked(2, 40, 1)).unreachable(0) == [False] * 3  # one bad link, or one bad contact
    assert council(asked(1, 5, 0)).unreachable(0) == [False] * 3 and council().unreachable(0) == [False] * 3
    assert council(asked(1, MIN_UNANSWERED_PROBES, 0)).unreachable(0)[0]
    # a zone's own counts say nothing about who reaches it
    assert council(asked(0, 40, 40), asked(1, 6, 0)).unreachable(0)[0]
    assert not council(asked(0, 40, 0)).unreachable(0)[0]
    # an older report, from before the loss, does not count beside the newer one
    two = council(asked(1, 40, 40, by="m1"))
    assert two.update(SAME_TIME_NS + 1, asked(1, 40, 0)) and two.unreachable(SAME_TIME_NS + 1)[0]


def test_in_a_small_site_as_many_questions_as_there_can_be_are_enough():
    council = CellReportTable({(z, 0): (7, 1) for z in range(3)}, terms())
    for z in (1, 2):
        council.update(0, asked(z, 1, 0, heard=1))
    assert council.unreachable(0) == [True, False, False]


def test_lives_are_counted_by_zone_with_those_that_were_not_heard():
    cell = Cell(others={(0, 1): (9, 5), (2, 0): (3, 2)}.items())
    cell.tell(0, ["m0", "m1"])
    cell.council.update(0, cell.report(0, lives={"m1": 1, "m2": 2, "m3": 3}))
    assert cell.council.state_counts(0) == [(9, 1, 1, 1, 7), (0, 0, 0, 0, 0), (2, 0, 0, 0, 2)]
    assert cell.council.state_counts(SILENT + 1)[0] == (9, 0, 0, 0, 9)
    cell.council.clear()
    assert cell.council.state_counts(0)[0] == (9, 0, 0, 0, 9) and cell.council.take_new(0) == []
    assert cell.council.silence(0, 0) == NEVER and cell.council.oldest_epochs(0) == [0, 1 << 60, 0]


# ---- forwarding, frames


def test_what_is_new_is_passed_on_once_and_the_newest_of_each_delegate_only():
    cell = Cell()
    cell.tell(0, epoch=4)
    for now in (0, SECOND):
        for by in ("m1", "m0"):
            cell.council.update(now, cell.report(now, by))
    (found,) = cell.council.take_new(2 * SECOND)
    assert [(r.by, r.number, lay) for r, lay in found.reports] == [("m0", SECOND, SECOND), ("m1", SECOND, SECOND)]
    assert cell.council.take_new(2 * SECOND) == []
    cell.council.update(2 * SECOND, cell.report(2 * SECOND))
    assert [r.by for one in cell.council.take_new(2 * SECOND) for r, _ in one.reports] == ["m0"]
    cell.council.update(3 * SECOND, cell.report(3 * SECOND))
    assert cell.council.take_new(3 * SECOND + SILENT + 1) == []  # nobody counts it any more


def full(size=24, zones=5, name="gateway-{:04d}.zone-0"):
    """The report of a cell whose fronts all report different rooms everywhere."""
    rng, names = random.Random(3), [name.format(n) for n in range(size)]
    book = CellAggregate(0, 0, names, (1 << 62) + 1, terms(zones))
    for n, one in enumerate(names):
        assert book.update(
            1000 * SECOND - n,
            FrontSummary(
                one,
                1764650000000,
                90000,
                70000,
                (rng.random() * 1e6, 0.3),
                tuple(ZoneHosts(rng.random() * 1e6, 1.0, 40, 0, 300, 7) for _ in range(zones)),
            ),
        )
    return book.report(1001 * SECOND, names[3], 1764650000000, {names[0]: 1, names[-1]: 2}, ((72, 70, 71, 3),) * zones)


def test_reports_go_through_frames_and_back():
    report = full()
    for one in (report, report.zones[0], CellReportBatch(((report, 12345), (report, 0)))):
        assert CODEC.read(CODEC.body(one)) == one


def test_a_cells_report_stays_small_at_24_members_in_5_zones():
    size = len(CODEC.body(full()))
    print(f"{size} bytes")
    assert size < 800


@pytest.mark.parametrize(("zones", "name", "cells"), [(5, "{}", 700), (64, "{:060d}", 120)])
def test_what_is_passed_on_is_split_so_that_each_frame_stays_far_below_the_bound(zones, name, cells):
    report = full(30, zones, name)
    council = CellReportTable({(0, n): (report.digest, 30) for n in range(cells)}, terms(zones))
    for n in range(cells):
        assert council.update(0, replace(report, cell=n))
    found = council.take_new(SILENT)
    assert len(found) > 1 and all(len(CODEC.body(one)) <= MAX_BATCH_BYTES for one in found)
    assert sorted(r.cell for one in found for r, _ in one.reports) == list(range(cells))
