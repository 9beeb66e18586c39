"""The role of a gateway in its cell: who is a delegate, its collectors, and resigning without acks."""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from copperyard.control.cells import (
    COLLECTOR_ACK_TIMEOUT_NS,
    DELEGATE_BY_REPORT_NS,
    FIRST_COLLECTOR_RETRY_NS,
    REPORT_INTERVAL_NS,
    REPORT_OVERDUE_NS,
    RESIGN_AFTER_NS,
    RESIGNATION_NS,
    SECOND,
    DelegateResignation,
    DelegateRole,
    MemberReport,
    ReportAck,
    rank_collectors,
)
from copperyard.control.coordinator import MESSAGE_CODEC, Coordinator, CoordinatorConfig
from copperyard.control.zones.facts import Gauge
from copperyard.control.zones.plan import FrontSummary, Terms, ZoneHosts
from copperyard.membership.gateways.cells import CellMap
from copperyard.state.agreement.replica import PersistentState

PRICES = (
    (0.0, 1.0, 1.0, 3.0, 3.0),
    (1.0, 0.0, 1.0, 3.0, 3.0),
    (1.0, 1.0, 0.0, 3.0, 3.0),
    (3.0, 3.0, 3.0, 0.0, 1.0),
    (3.0, 3.0, 3.0, 1.0, 0.0),
)
TERMS = Terms(PRICES, (1.0,), (100.0,), (60,) * 5)
ROSTER = {f"g{z}-{n}": z for z in range(5) for n in range(60)}
CELLS = CellMap(ROSTER, 5)
CELL = CELLS.zones[1][0]
RANKS = CELL.ranks()
VOTERS = ["v1", "v2", "v3"]
NONE = ((0, 0, 0, 0),) * 5


def duty(name=RANKS[0], dead=(), voters=VOTERS, life=7):
    return DelegateRole(name, CELLS.place(name), TERMS, voters, life, lambda other: other not in dead, 0)


def told(name, number=1, life=5, epoch=4, asked=NONE, zones=5):
    hosts = tuple(ZoneHosts(100.0, 0.0, 1, 0, 0, 0) for _ in range(zones))
    return MemberReport(FrontSummary(name, life, number, epoch, (10.0,), hosts), asked)


def sent(one, now):
    """The collector of its report at `now`, None if it does not report."""
    found = one.make_report(now, {})
    return found[0] if found is not None else None


# ---- who is a delegate


def test_two_of_a_cell_are_delegates_by_rank_and_all_say_the_same():
    for name in CELL.names:
        one = duty(name)
        assert one.delegates(0) == RANKS[:2]
        assert one.is_delegate(0) == (name in RANKS[:2])


def test_a_delegate_that_dies_is_replaced_by_the_next_and_takes_its_place_again_when_it_lives():
    dead = {RANKS[0]}
    one = duty(RANKS[2], dead)
    assert one.delegates(0) == RANKS[1:3] and one.is_delegate(0)
    dead.add(RANKS[1])
    assert one.delegates(0) == RANKS[2:4]
    dead.clear()
    assert one.delegates(0) == RANKS[:2] and not one.is_delegate(0)


def test_a_delegate_that_resigns_is_replaced_for_the_time_it_states():
    one = duty(RANKS[2])
    one.delegate_resigned(SECOND, RANKS[0], DelegateResignation(RESIGNATION_NS))
    assert one.delegates(SECOND) == RANKS[1:3] and one.is_delegate(SECOND + RESIGNATION_NS - 1)
    assert one.delegates(SECOND + RESIGNATION_NS) == RANKS[:2]


def test_two_members_report_even_if_the_whole_cell_has_resigned():
    one = duty(RANKS[0])
    for name in CELL.names:
        one.delegate_resigned(0, name, DelegateResignation(RESIGNATION_NS))
    assert one.delegates(1) == RANKS[:2] and one.is_delegate(1)
    both = duty(RANKS[2])
    for name in RANKS[:2]:
        both.delegate_resigned(0, name, DelegateResignation(RESIGNATION_NS))
    assert both.delegates(1) == RANKS[2:4]


@pytest.mark.parametrize(
    "sender, ns",
    [
        ("g1-nobody", RESIGNATION_NS),
        ("g0-0", RESIGNATION_NS),
        (RANKS[0], 0),
        (RANKS[0], -1),
        (RANKS[0], 2 * RESIGNATION_NS + 1),
        (RANKS[0], 1 << 62),
    ],
)
def test_a_resignation_of_a_foreign_gateway_or_for_too_long_is_ignored(sender, ns):
    one = duty(RANKS[2])
    one.delegate_resigned(0, sender, DelegateResignation(ns))
    assert one.delegates(1) == RANKS[:2] and not one._resigned_until


def test_a_gateway_that_gets_reports_acts_as_a_delegate_for_a_while():
    one = duty(RANKS[5])
    assert sent(one, 0) is None
    one.member_reported(SECOND, RANKS[6], told(RANKS[6]))
    assert one.is_delegate(SECOND) and sent(one, SECOND) is not None
    assert one.delegates(SECOND) == RANKS[:2]
    assert one.is_delegate(SECOND + DELEGATE_BY_REPORT_NS) and not one.is_delegate(SECOND + DELEGATE_BY_REPORT_NS + 1)


def test_its_own_report_does_not_make_a_gateway_a_delegate():
    one = duty(RANKS[5])
    one.member_reported(SECOND, RANKS[5], told(RANKS[5]))
    assert not one.is_delegate(SECOND)


# ---- reports of members


@pytest.mark.parametrize(
    "sender, report",
    [
        ("g0-0", told("g0-0")),
        (CELLS.zones[1][1].names[0], told(CELLS.zones[1][1].names[0])),
        (RANKS[6], told(RANKS[7])),
        (RANKS[6], told(RANKS[6], asked=NONE[:4])),
        (RANKS[6], told(RANKS[6], asked=NONE * 2)),
        ("g1-nobody", told("g1-nobody")),
    ],
)
def test_a_report_of_another_cell_of_anothers_name_or_of_a_wrong_shape_is_passed_over(sender, report):
    one = duty(RANKS[5])
    one.member_reported(SECOND, sender, report)
    assert not one.is_delegate(SECOND)
    assert not one.aggregate.summaries.known


def test_a_summary_for_another_number_of_zones_says_nothing_of_its_member():
    one = duty()
    one.member_reported(SECOND, RANKS[6], told(RANKS[6], zones=4, asked=((9, 9, 9, 9),) * 5))
    _, report = one.make_report(SECOND, {})
    assert report.heard == 0 and {zone.probed for zone in report.zones} == {0}


def test_reports_that_come_twice_late_or_out_of_order_change_nothing():
    one = duty()
    newest = told(RANKS[6], 9, life=6, epoch=8, asked=((4, 3, 2, 1),) * 5)
    one.member_reported(SECOND, RANKS[6], newest)
    _, before = one.make_report(SECOND, {})
    for other in (newest, told(RANKS[6], 8, life=6, epoch=2), told(RANKS[6], 99, life=5, epoch=1)):
        one.member_reported(SECOND, RANKS[6], other)
    _, after = one.make_report(SECOND, {})
    assert replace(after, number=before.number) == before and before.heard == 1
    assert (before.zones[0].probed, before.zones[0].answered, before.zones[0].heard, before.zones[0].late) == (
        4,
        3,
        2,
        1,
    )


def test_the_least_epoch_of_all_members_is_reported_and_none_while_one_was_not_heard():
    one = duty()
    for n, name in enumerate(CELL.names[:-1]):
        one.member_reported(SECOND, name, told(name, epoch=4 + n))
    assert one.make_report(SECOND, {})[1].epoch == 0
    one.member_reported(SECOND, CELL.names[-1], told(CELL.names[-1], epoch=90))
    _, report = one.make_report(SECOND, {})
    assert (report.heard, report.epoch) == (len(CELL.names), 4)
    assert one.make_report(SECOND + TERMS.silent + 1, {})[1].epoch == 0


def test_a_member_whose_reports_stop_is_overdue_at_a_delegate_for_a_while_only():
    one = duty()
    one.member_reported(0, RANKS[6], told(RANKS[6]))
    assert one.overdue_members(REPORT_OVERDUE_NS) == [] and one.overdue_members(REPORT_OVERDUE_NS + 1) == [RANKS[6]]
    assert one.overdue_members(DELEGATE_BY_REPORT_NS + REPORT_OVERDUE_NS + 1) == []
    other = duty(RANKS[5])
    other.member_reported(0, RANKS[6], told(RANKS[6]))
    assert other.overdue_members(DELEGATE_BY_REPORT_NS + 1) == []  # it is no delegate any more


# ---- collectors


def test_collectors_are_itself_then_those_of_its_zone_then_the_nearer():
    voters = {"a": 0, "b": 1, "c": 1, "d": 3, "e": 4, "f": 2}
    found = rank_collectors("c", 1, "1.0", voters, PRICES[1])
    assert found[0] == "c" and found[1] == "b" and set(found[2:4]) == {"a", "f"} and set(found[4:]) == {"d", "e"}
    assert rank_collectors("b", 1, "1.0", voters, PRICES[1])[:2] == ["b", "c"]
    assert rank_collectors("x", 3, "3.0", voters, PRICES[3])[:2] == ["d", "e"]
    assert sorted(found) == sorted(voters)


def test_310_cells_are_spread_over_nine_voters():
    """The first collectors of both delegates, and the next ones if a voter is silent."""
    cells = CellMap({f"g{z}-{n}": z for z in range(5) for n in range(1478)}, 5)
    voters = {f"g{z}-{n}": z for z in range(5) for n in range(2)}
    del voters["g4-1"]
    assert sum(len(zone) for zone in cells.zones) == 310
    for silent in (None, "g0-0"):
        count = Counter()
        for cell in (cell for zone in cells.zones for cell in zone):
            for rank in range(2):
                order = rank_collectors("nobody", cell.zone, cell.key, voters, PRICES[cell.zone])
                first = order[rank % 2]
                count[first if first != silent else order[rank % 2 + 1]] += 1
        mean = sum(count.values()) / (len(voters) - (silent is not None))
        assert max(count.values()) <= 2 * mean, (silent, count)
    for zone in range(4):
        own = Counter(rank_collectors("nobody", zone, cell.key, voters, PRICES[zone])[0] for cell in cells.zones[zone])
        assert set(own) == {f"g{zone}-0", f"g{zone}-1"} and max(own.values()) <= 1.4 * len(cells.zones[zone]) / 2


def test_the_two_delegates_begin_with_different_collectors_and_a_voter_with_itself():
    assert sent(duty(RANKS[0]), 0) == "v1" and sent(duty(RANKS[1]), 0) == "v2"
    one = duty(RANKS[1], voters=[RANKS[1], "v1", "v2"])
    for n in range(20):
        assert sent(one, n * SECOND) == RANKS[1] and one.resign_if_unheard(n * SECOND) is None


def test_without_an_ack_it_switches_collectors_at_its_first_report_after_2_5_seconds():
    one = duty()
    assert [sent(one, n * SECOND) for n in range(7)] == ["v1"] * 3 + ["v2"] * 3 + ["v3"]
    assert 2 * SECOND < COLLECTOR_ACK_TIMEOUT_NS < 3 * SECOND


def test_a_collector_that_answers_is_kept_and_one_that_stops_is_left():
    one = duty()
    for n in range(10):
        to, report = one.make_report(n * SECOND, {})
        assert to == "v1"
        one.report_acked(n * SECOND + 5, to, ReportAck(report.number))
    assert [sent(one, n * SECOND) for n in range(10, 14)] == ["v1"] * 3 + ["v2"]


@pytest.mark.parametrize("sender, off", [("v1", 1), ("v1", -1), ("v2", 0), (RANKS[1], 0)])
def test_an_ack_of_another_report_or_from_another_sender_does_not_count(sender, off):
    one = duty()
    tos = []
    for n in range(4):
        to, report = one.make_report(n * SECOND, {})
        tos.append(to)
        one.report_acked(n * SECOND + 5, sender if to == "v1" else "none", ReportAck(report.number + off))
    assert tos == ["v1"] * 3 + ["v2"]


def test_an_ack_from_the_previous_collector_does_not_delay_the_next_switch():
    one = duty()
    _, report = one.make_report(0, {})
    for n in (1, 2, 3):
        assert sent(one, n * SECOND) == ("v1" if n < 3 else "v2")
    one.report_acked(3 * SECOND + 5, "v1", ReportAck(report.number))
    assert [sent(one, n * SECOND) for n in (4, 5, 6)] == ["v2", "v2", "v3"]


def test_after_a_minute_it_tries_its_first_collector_again():
    one = duty()
    tos = []
    for n in range(70):
        to, report = one.make_report(n * SECOND, {})
        tos.append(to)
        if to != "v1" or n > 60:
            one.report_acked(n * SECOND + 5, to, ReportAck(report.number))
    back = 3 + FIRST_COLLECTOR_RETRY_NS // SECOND + 1
    assert tos == ["v1"] * 3 + ["v2"] * (back - 3) + ["v1"] * (70 - back)


# ---- resigning


def played(one, until, hears=()):
    """The collectors of its reports, and when it resigns. `hears`: collectors that acknowledge."""
    tos, resigned = [], []
    for n in range(until):
        found = one.make_report(n * SECOND, {})
        tos.append(found and found[0])
        if found is not None:
            if found[0] in hears:
                one.report_acked(n * SECOND + 5, found[0], ReportAck(found[1].number))
            if (told := one.resign_if_unheard(n * SECOND)) is not None:
                resigned.append((n, told))
    return tos, resigned


def test_a_delegate_that_no_collector_hears_resigns_once_and_reports_nothing_for_20_seconds():
    one = duty()
    tos, resigned = played(one, 28)
    at = RESIGN_AFTER_NS // SECOND + 1
    assert resigned == [(at, DelegateResignation(RESIGNATION_NS))] and len({*tos[: at + 1]}) >= 2
    assert tos[at + 1 : at + 20] == [None] * 19 and tos[at + 20] == "v1"
    assert one.delegates(at * SECOND) == RANKS[1:3]


def test_a_delegate_only_by_the_view_of_others_can_resign_as_well():
    one = duty(RANKS[5])
    for n in range(RESIGN_AFTER_NS // SECOND + 1):
        one.member_reported(n * SECOND, RANKS[6], told(RANKS[6], n))
        assert sent(one, n * SECOND) is not None and one.resign_if_unheard(n * SECOND) is None
    now = (RESIGN_AFTER_NS // SECOND + 1) * SECOND
    assert sent(one, now) is not None and one.resign_if_unheard(now) == DelegateResignation(RESIGNATION_NS)
    assert sent(one, now + SECOND) is None


def test_one_that_a_second_collector_hears_does_not_resign():
    tos, resigned = played(duty(), 40, hears=("v2",))
    assert not resigned and None not in tos


def test_one_whose_collectors_hear_it_again_after_it_resigned_goes_on():
    one = duty()
    assert len(played(one, 8)[1]) == 1
    for n in range(40, 60):
        to, report = one.make_report(n * SECOND, {})
        assert to == "v1"
        one.report_acked(n * SECOND + 5, to, ReportAck(report.number))
        assert one.resign_if_unheard(n * SECOND) is None


def test_a_gateway_alone_in_its_cell_does_not_resign():
    cells = CellMap({"a": 0, "b": 1}, 2)
    terms = Terms(((0.0, 1.0), (1.0, 0.0)), (1.0,), (100.0,), (1, 1))
    one = DelegateRole("a", cells.place("a"), terms, ["v1", "v2"], 7, lambda name: True, 0)
    tos, resigned = played(one, 60)
    assert not resigned and None not in tos


def test_numbers_of_its_reports_grow_also_within_one_nanosecond():
    one = duty()
    numbers = [one.make_report(at, {})[1].number for at in (5, 5, 5, 6, REPORT_INTERVAL_NS)]
    assert numbers == sorted(set(numbers))


@pytest.mark.parametrize("seed", range(8))
def test_there_is_always_a_delegate_as_members_die_resign_and_return(seed):
    """In the view of each member: the first two living ones that have not resigned, one if only one has not, and if all
    have, the first two living ones."""
    rng = random.Random(seed)
    dead, until = set(), {}
    duties = [duty(name, dead) for name in CELL.names]
    for n in range(200):
        name = rng.choice(CELL.names)
        (dead.discard if name in dead else dead.add)(name)
        if rng.random() < 0.5:
            until[name] = n * SECOND + RESIGNATION_NS
            for one in duties:
                one.delegate_resigned(n * SECOND, name, DelegateResignation(RESIGNATION_NS))
        for one in duties:
            living = [other for other in RANKS if other not in dead or other == one.name]
            fit = [other for other in living if until.get(other, 0) <= n * SECOND]
            assert one.delegates(n * SECOND) == (fit or living)[:2]
        if len(dead) < len(CELL.names):
            assert any(one.is_delegate(n * SECOND) for one in duties if one.name not in dead)


@pytest.mark.parametrize("row", [(1 << 62, 0, 0, 0), (-1, 0, 0, 0), (0, 0, 0, 1 << 41)])
def test_a_report_with_absurd_counts_is_ignored_and_does_no_harm(row):
    one = duty()
    for name in CELL.names[1:]:
        one.member_reported(0, name, told(name, asked=(row, *NONE[1:])))
    _, report = one.make_report(SECOND, {})
    assert report.heard == 0 and MESSAGE_CODEC.body(report)


def test_a_report_for_another_cell_than_the_senders_own_is_ignored():
    """Only a few reporters are kept for each cell: foreign ones that name it would displace its delegates."""
    place = CoordinatorConfig.of("g0-0", CELLS, tuple("abcde"), ("g0-0", "g1-0", "g2-0"), TERMS)
    gauge = Gauge("g0-0", 1, 5, (SECOND,), TERMS, 0)
    nobody: Any = SimpleNamespace(servers={}, sessions={})
    core = Coordinator(place, gauge, lambda: nobody, PersistentState(), 1, 0, 1000)
    _, report = duty().make_report(SECOND, {})
    other = CELLS.zones[1][1].names[0]
    core.hear(SECOND, other, replace(report, by=other))
    assert not core.cell_reports.known
    core.hear(SECOND, RANKS[0], report)
    assert list(core.cell_reports.known) == [(1, 0)]
    assert [
        order.message for order in core.take_actions() if isinstance(getattr(order, "message", None), ReportAck)
    ] == [ReportAck(report.number)]
