"""What one front may do with a valid, an expiring and no plan; and that the controller obeys."""

from dataclasses import replace

import pytest

from copperyard import interface as api
from copperyard.control.zones.facts import Gauge, SummaryTable
from copperyard.control.zones.follow import ActivePlan, own_zone_only
from copperyard.control.zones.plan import FrontSummary, Plan, ZoneHosts, ZonePlan, ZoneStatus
from copperyard.decide import Controller
from tests.control.zones.helpers import SECOND, Site, terms, view
from tests.helpers import MS, entry, of_type, request, sends, settings


def book(zone=0):
    site = Site()
    site.until_still(view([1400, 500, 500], [1000, 1000, 1000]))
    one = ActivePlan(site.terms, zone)
    one.adopt(site.plan)
    return one


def test_without_a_plan_a_front_keeps_to_its_own_zone():
    one = ActivePlan(terms(), 1)
    assert (
        one.allocation(0)
        == own_zone_only(terms(), 1)
        == api.ZoneAllocation((((1, 1.0),), ((1, 1.0),)), (0.0, None, 0.0))
    )


def test_a_plan_whose_age_is_not_known_is_not_followed():
    one = book()
    assert one.allocation(5 * SECOND) == own_zone_only(one.terms, 0)
    one.confirm(5 * SECOND)
    assert one.allocation(5 * SECOND) != own_zone_only(one.terms, 0)


def test_a_cap_is_shared_by_the_fronts_of_a_zone_and_runs_out_with_the_plan():
    one = book()
    one.confirm(0)
    whole = one.allocation(0).caps[1]
    assert whole == pytest.approx(one.plan.zones[0].caps[1] / 2)
    caps, shares = [], []
    now = 0
    while (after := one.next_change(now)) is not None:
        assert one.allocation(after - 1) == one.allocation(now)
        now = after
        caps.append(one.allocation(now).caps[1])
        shares.append(sum(part for z, part in one.allocation(now).shares[0] if z != 0))
    assert caps == sorted(caps, reverse=True) and caps[-1] == 0.0 and len(caps) == 8
    assert shares == sorted(shares, reverse=True)
    assert now <= 2 * one.plan.holds
    assert one.allocation(now) == own_zone_only(one.terms, 0)
    one.confirm(now)
    assert one.allocation(now).caps[1] == whole


def test_an_older_plan_never_comes_back():
    one = book()
    newer = replace(one.plan, epoch=one.plan.epoch + 1)
    older = one.plan
    one.adopt(newer)
    one.adopt(older)
    assert one.plan is newer


def hosts(*entries):
    return api.ServerList(api.ListKind.CACHED, entries)


def front(caps=(None, 300.0), shares=((0, 0.0), (1, 1.0)), zones=2, price=0.0):
    """A controller of zone 0 that knows hosts in two zones and follows such ways."""
    one = Controller(settings(zone=0, price_cross_zone=price), 3)
    one.handle(0, hosts(entry(0, zone=0), entry(1, zone=1), entry(2, zone=1)))
    one.handle(0, api.ZoneAllocation((shares,) * len(settings().classes), caps))
    return one


def test_the_controller_follows_its_shares_up_to_its_caps():
    one = front(shares=((1, 1.0),), price=100.0)
    sent = []
    for ref in range(1, 12):
        actions = one.handle(SECOND + ref, request(ref))
        sent += [s.server for s in sends(actions)]
    assert sent and set(sent) <= {1, 2}
    kb = sum(one._rung_kb(x.session_class, x.rung) for x in one.sessions.values() if x.server is not None)
    assert kb <= 300.0 and len(sent) < 11


def test_an_ended_session_in_another_zone_returns_its_part_of_the_cap():
    one = front(caps=(None, 110.0), shares=((1, 1.0),))
    first = sends(one.handle(SECOND, request(1)))[0]
    assert sends(one.handle(SECOND, request(2))) == []
    one.handle(SECOND, api.SessionOpened(1, 0, first.server, MS))
    assert one.kb_by_zone[1] == 100.0
    freed = one.handle(2 * SECOND, api.Outcome(1, 0, first.server, api.OutcomeCode.OK, MS, True))
    assert [s.ref for s in sends(freed)] == [2] and one.kb_by_zone[1] == 100.0
    one.handle(3 * SECOND, api.Outcome(2, 0, sends(freed)[0].server, api.OutcomeCode.ERROR, MS, True))
    assert one.kb_by_zone[1] == pytest.approx(0.0)


def test_sessions_above_a_reduced_cap_go_down_to_their_floor_and_play_on():
    one = front(caps=(None, 2000.0), shares=((1, 1.0),))
    for ref in range(1, 5):
        sent = sends(one.handle(20 * SECOND, request(ref)))[0]
        one.handle(20 * SECOND + MS, api.SessionOpened(ref, 0, sent.server, MS))
    before = one.kb_by_zone[1]
    assert before > 800.0
    lowered = of_type(one.handle(30 * SECOND, api.ZoneAllocation((((1, 1.0),),) * 3, (None, 450.0))), api.SetRung)
    assert lowered and one.kb_by_zone[1] < before
    for later in range(33, 52, 3):
        one.handle(later * SECOND, api.ZoneAllocation((((1, 1.0),),) * 3, (None, 450.0)))
    assert one.kb_by_zone[1] <= 450.0 and len([x for x in one.sessions.values() if x.server is not None]) == 4
    assert sends(one.handle(53 * SECOND, request(9))) == []


def test_the_part_that_is_not_shared_out_is_refused_at_once_with_times_that_are_spread():
    one = front(shares=((0, 0.5),), caps=(None, 0.0))
    waits, served = [], 0
    for ref in range(1, 81):
        actions = one.handle(SECOND + ref * 50 * MS, request(ref))
        waits += [a.retry_after for a in of_type(actions, api.Refuse)]
        served += bool(sends(actions))
    most = settings().max_retry_after
    assert 20 < len(waits) < 60 and len(set(waits)) > 15
    assert all(most // 2 <= wait <= most for wait in waits)


def test_without_ways_every_zone_is_open_as_before():
    one = Controller(settings(zone=0), 3)
    one.handle(0, hosts(entry(1, zone=1)))
    assert sends(one.handle(SECOND, request(1)))


def summary(
    name, number=1, demand=(10.0, 0.0), rooms=(100.0, 100.0, 100.0), life=1, epoch=0, tried=(0, 0, 0), broke=(0, 0, 0)
):
    return FrontSummary(
        name,
        life,
        number,
        epoch,
        demand,
        tuple(ZoneHosts(room, 0.0, 1, 0, t, b) for room, t, b in zip(rooms, tried, broke, strict=True)),
    )


ROSTER = {"a": 0, "b": 0, "c": 1, "d": 2}


def test_summaries_merge_in_any_order_and_twice():
    news = [
        summary("a", 1),
        summary("a", 2, (30.0, 5.0)),
        summary("b", 1, (7.0, 0.0)),
        summary("c", 9, life=1),
        summary("c", 1, (1.0, 0.0), life=2),
    ]
    found = []
    for order in (news, news[::-1], news + news, news[2:] + news[:2] + news):
        facts = SummaryTable(ROSTER, terms())
        facts.update_all(0, order)
        found.append(facts.demand(0))
    assert found == [[[37.0, 5.0], [1.0, 0.0], [0.0, 0.0]]] * 4


def test_a_report_of_an_unknown_name_or_another_shape_is_ignored():
    facts = SummaryTable(ROSTER, terms())
    assert not facts.update(0, summary("x"))
    assert not facts.update(0, summary("a", rooms=(1.0, 1.0), tried=(0, 0), broke=(0, 0)))
    assert not facts.update(0, summary("a", demand=(1.0,)))
    assert facts.update(0, summary("a")) and not facts.update(0, summary("a"))


def test_a_zones_room_is_what_its_own_fronts_see_and_a_silent_front_counts_no_more():
    facts = SummaryTable(ROSTER, terms())
    facts.update_all(0, [summary("a", rooms=(100.0, 50.0, 80.0)), summary("c", rooms=(10.0, 90.0, 80.0))])
    assert facts.rooms(0) == [100.0, 90.0, 80.0]
    facts.update(10 * SECOND, summary("c", 2, rooms=(10.0, 90.0, 80.0)))
    assert facts.rooms(16 * SECOND) == [10.0, 90.0, 80.0]
    assert facts.demand(16 * SECOND)[0] == [0.0, 0.0]


def test_a_front_without_a_server_list_does_not_count_for_rooms():
    facts = SummaryTable(ROSTER, terms())
    empty = FrontSummary("b", 1, 1, 0, (0.0, 0.0), tuple(ZoneHosts(0.0, 0.0, 0, 0, 0, 0) for _ in range(3)))
    facts.update_all(0, [summary("a"), empty])
    assert facts.rooms(0) == [100.0, 100.0, 100.0]


def test_path_health_is_the_part_of_successful_set_ups_if_there_were_enough():
    facts = SummaryTable(ROSTER, terms())
    facts.update_all(
        0, [summary("a", tried=(8, 3, 8), broke=(0, 3, 4)), summary("b", tried=(2, 1, 2), broke=(0, 1, 1))]
    )
    assert facts.path_healths(0)[0] == [1.0, 1.0, 0.5]


def test_the_oldest_epoch_of_a_home_is_none_where_a_front_is_silent():
    facts = SummaryTable(ROSTER, terms())
    facts.update_all(0, [summary("a", epoch=5), summary("b", epoch=4), summary("c", epoch=7)])
    assert facts.oldest_epochs(0) == [4, 7, 0]


def test_demand_is_current_load_plus_some_seconds_of_arrivals_up_to_the_steady_state():
    gauge = Gauge("a", 1, 3, (20 * SECOND, 20 * SECOND), terms(), 0)
    for n in range(40):
        gauge.session_requested(n * SECOND // 4, 0)
    # 4 sessions a second at 100 kB/s: 400 more each second, 8,000 in the steady state
    assert gauge.demand(10 * SECOND, (1000.0, 0.0))[0] == pytest.approx(3000, rel=0.05)
    assert gauge.demand(10 * SECOND, (7500.0, 0.0))[0] == pytest.approx(8000, rel=0.05)
    assert gauge.demand(10 * SECOND, (9000.0, 0.0))[0] == 9000
    gauge.session_ended(0, 10 * SECOND)
    gauge.session_ended(0, 10 * SECOND)
    assert gauge.lengths[0] == pytest.approx(13.3 * SECOND, rel=0.01)
    assert gauge.demand(30 * SECOND, (0.0, 0.0)) == (0.0, 0.0)


def test_a_report_reads_the_modules_view_by_zone():
    one = front()
    one.handle(0, api.ProbeResult(1, api.OutcomeCode.OK, MS, api.Report(0.5, 0.0)))
    gauge = Gauge("a", 1, 2, (SECOND, SECOND), terms(2), 0)
    gauge.setup_finished(0, 1, True)
    zones = gauge.summary(SECOND, one, 3).zones
    assert [z.hosts for z in zones] == [1, 2] and zones[1].setups == zones[1].failed_setups == 1
    assert zones[1].room == 2 * zones[0].room and 0 < zones[1].used < zones[1].room


def test_the_types_of_a_plan_are_what_the_check_expects():
    zone = ZonePlan(ZoneStatus.OPEN, 1.0, 0.0, 0.0, 1.0, ((), ()), (0.0,), (0.0,))
    assert Plan(1, 1, (zone,)).zones[0].status is ZoneStatus.OPEN
