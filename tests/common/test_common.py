"""Coordination of whole gateways while zones, links and processes fail: each row on a partition of the table in
docs/design/sites.md has a test here."""

import random
from dataclasses import fields, replace

import pytest

from copperyard.control.coordinator import ENTRY_CODEC, MESSAGE_CODEC, NotifyApplied, Send
from copperyard.control.zones.plan import Renewed
from copperyard.interface import ZoneAllocation
from copperyard.state.agreement.messages import Entry, EntryKind, FetchReply, FetchRequest
from tests.common.helpers import MS, SECOND, LinkConditions, SimulatedSite, ZoneStatus


def ready(**more):
    site = SimulatedSite(**more)
    site.run(15)
    assert site.leader() and len({site.front(n).core.plan.epoch for n in site.roster}) == 1
    return site


def near_only(site, name):
    zone = site.roster[name]
    ways = site.front(name).allocation
    return isinstance(ways, ZoneAllocation) and all(not cap for z, cap in enumerate(ways.caps) if z != zone)


def test_all_follow_one_plan_that_goes_on_without_new_epochs_while_nothing_changes():
    site = ready()
    epochs = len(site.plans)
    site.run(120)
    assert len(site.plans) == epochs
    assert set(site.strengths(site.roster)) == {1.0}


def test_a_lost_zone_is_closed_everywhere_within_a_bound_and_comes_back_in_steps():
    site = ready()
    site.lose_zone(3)
    begin = site.net.now
    while site.standing(3) is not ZoneStatus.CLOSED:
        site.run(0.5)
        assert site.net.now - begin < 20 * SECOND
    site.run(2)
    assert {site.front(n).core.plan.zones[3].status for n in site.net.nodes} == {ZoneStatus.CLOSED}
    site.rooms[3] = 10_000.0
    for name in site.gateways_in(3):
        site.start(name)
    parts = set()
    for _ in range(80):
        site.run(1)
        parts.add(max(site.plans.items())[1].zones[3].usable_ratio)
    assert site.standing(3) is ZoneStatus.OPEN and {0.1, 0.3, 0.6} <= parts


def test_lost_hosts_of_a_zone_are_bridged_by_preallocated_caps_before_any_new_plan():
    site = ready()
    before = len(site.plans)
    assert sum(cap or 0 for cap in site.front("g3-0").allocation.caps) * site.each > 2000
    site.rooms[3] = 0.0
    site.run(5)
    assert len(site.plans) > before and site.standing(3) is ZoneStatus.CLOSED
    site.run(10)
    plan = max(site.plans.items())[1]
    assert sum(share for _, share in plan.zones[3].shares[0]) > 0.95


def test_a_lost_zone_does_not_overload_the_next_one_at_nine_tenths():
    site = SimulatedSite()
    site.demand[2] = 8_100.0
    site.run(20)
    site.rooms[3] = 0.0
    site.run(30)
    plan = max(site.plans.items())[1]
    assert plan.zones[3].caps[2] <= 150 and sum(share for _, share in plan.zones[3].shares[0]) > 0.95


def test_a_dead_leader_is_followed_by_another_before_the_plan_runs_out():
    site = ready()
    leader = site.leader()
    site.net.kill(leader)
    for _ in range(40):
        site.run(0.5)
        assert min(site.strengths(site.roster)) == 1.0
    assert site.leader() not in (None, leader)


def test_a_leader_stopped_for_five_seconds_and_woken_does_no_harm():
    site = ready()
    leader = site.leader()
    site.net.pause(leader, 5 * SECOND)
    site.run(4.9)
    assert site.leader() not in (None, leader)
    site.run(20)
    assert set(site.strengths(site.roster)) == {1.0}


def test_a_site_cut_in_two_with_the_leader_on_the_small_side():
    """The small side's plan expires and it uses only its own zone; the large side elects a leader and goes on. Site
    checks after every event that the sides never use the same room."""
    site = ready()
    leader = site.leader()
    small = site.gateways_in(site.roster[leader])
    large = [n for n in site.roster if n not in small]
    site.net.partition(small, large)
    site.run(10)
    site.demand[1] = 9_900.0  # the large side asks for room that the small one may still use
    site.run(50)
    assert site.leader() in large
    assert all(near_only(site, name) for name in small) and min(site.strengths(large)) == 1.0
    site.net.heal()
    site.run(30)
    assert set(site.strengths(site.roster)) == {1.0}


def test_without_voters_every_front_uses_only_its_own_zone_once_the_plan_has_expired():
    site = ready()
    others = [n for n in site.roster if n not in site.voters]
    for name in site.voters:
        site.net.kill(name)
    site.run(4)
    assert min(site.strengths(others)) == 1.0
    site.run(24)
    assert max(site.strengths(others)) == 0.0 and all(near_only(site, name) for name in others)
    for name in site.voters:
        site.start(name)
    site.run(20)
    assert set(site.strengths(site.roster)) == {1.0}


def test_an_isolated_front_uses_only_its_own_zone_and_the_others_go_on():
    site = ready()
    site.net.partition(["g1-1"], [n for n in site.roster if n != "g1-1"])
    site.run(40)
    assert near_only(site, "g1-1") and min(site.strengths([n for n in site.roster if n != "g1-1"])) == 1.0


def test_a_leader_that_is_heard_and_hears_nothing_is_replaced():
    site = ready()
    leader = site.leader()
    site.net.partition([n for n in site.roster if n != leader], [leader], both=False)
    site.run(30)
    assert site.leader() not in (None, leader)
    assert min(site.strengths([n for n in site.roster if n != leader])) == 1.0


def test_a_zone_restarted_in_one_second_changes_no_traffic():
    site = ready()
    epochs = len(site.plans)
    for name in site.gateways_in(1):
        site.net.kill(name)
    site.run(1)
    for name in site.gateways_in(1):
        site.start(name)
    site.run(30)
    assert site.standing(1) is ZoneStatus.OPEN and len(site.plans) - epochs <= 3


def test_half_the_links_losing_and_slow_make_few_epochs_and_no_zone_lost():
    site = ready()
    epochs = len(site.plans)
    for n, a in enumerate(site.roster):
        for b in list(site.roster)[n % 2 :: 2]:
            site.net.link_conditions[a, b] = LinkConditions(loss=0.2, delay=(380 * MS, 420 * MS))
    site.run(60)
    assert len(site.plans) - epochs <= 4
    assert all(zone.status is ZoneStatus.OPEN for _, plan in site.committed for zone in plan.zones)


def test_a_link_that_flaps_every_second_for_a_minute_makes_few_epochs_and_no_swing():
    site = ready()
    epochs = len(site.plans)
    for _ in range(60):
        site.net.partition(site.gateways_in(3), [n for n in site.roster if site.roster[n] != 3])
        site.run(0.5)
        site.net.heal()
        site.run(0.5)
    assert len(site.plans) - epochs <= 6
    closed = [plan.zones[3].status is ZoneStatus.CLOSED for _, plan in site.committed]
    assert sum(a != b for a, b in zip(closed, closed[1:], strict=False)) <= 2


def test_clocks_apart_and_drifting_keep_all_bounds():
    site = SimulatedSite()
    for n, name in enumerate(site.roster):
        site.net.kill(name)
        site.start(name, ahead=2 * SECOND * (n % 3), speed=1 + 0.04 * (n % 3 - 1))
    site.run(20)
    leader = site.leader()
    assert leader
    site.net.partition(
        site.gateways_in(site.roster[leader]), [n for n in site.roster if site.roster[n] != site.roster[leader]]
    )
    site.demand[1] = 9_900.0
    site.run(60)
    site.net.heal()
    site.run(30)
    assert set(site.strengths(site.roster)) == {1.0}


def test_a_snapshot_is_made_only_after_all_its_entries_were_applied():
    """A batch of committed entries is applied one by one; the last one is a new plan."""
    site = ready()
    name = next(n for n in site.roster if n not in site.voters)
    core, now = site.front(name).core, site.time(name)
    learner, plan = core.learner, core.plan
    renewed = Entry(1, EntryKind.DATA, ENTRY_CODEC.body(Renewed(plan.epoch)))
    newer = Entry(1, EntryKind.DATA, ENTRY_CODEC.body(replace(plan, epoch=plan.epoch + 1)))
    count, at = 300 - len(learner.log), learner.applied
    ask = learner.requests.add(now, "x")
    core.hear(now, "x", FetchReply(None, at, (renewed,) * count + (newer,), at + count + 1, "x", 0, 0, ask))
    for step in core.take_durable_actions():
        if isinstance(step, NotifyApplied):
            core.applied(now, step.order)
    assert core.plan.epoch == plan.epoch + 1
    assert learner.snapshot.index == at + count + 1
    assert ENTRY_CODEC.read(learner.snapshot.data).epoch == plan.epoch + 1


def test_a_voters_age_is_counted_from_the_request_that_was_answered():
    site = ready()
    leader = site.leader()
    name = next(n for n in site.voters if n != leader)
    core, now = site.front(name).core, site.time(name)
    asked = []
    for at in (now, now + SECOND):
        core.next_age_query_at = at
        core.wake(at)
        asked += [
            order.message
            for order in core.take_actions()
            if isinstance(order, Send) and isinstance(order.message, FetchRequest)
        ]
    assert len(asked) == 2
    replica = core.council
    index = replica.applied
    replica.proposal_time.index = replica.proposal_time.at = 0
    core.hear(now + 3 * SECOND, leader, FetchReply(None, index, (), index, leader, index, SECOND, asked[0].request_id))
    assert (replica.proposal_time.index, replica.proposal_time.at) == (index, now - SECOND)


def test_the_date_of_an_entry_that_is_not_applied_does_not_renew_the_older_plan():
    """A newer plan waits for a slow disk. Meanwhile the older one is followed, and its age goes on."""
    site = ready()
    name = next(n for n in site.roster if n not in site.voters)
    core, now = site.front(name).core, site.time(name) + 5 * SECOND
    learner, plan, since = core.learner, core.plan, core.active_plan.proposed_at
    newer = Entry(1, EntryKind.DATA, ENTRY_CODEC.body(replace(plan, epoch=plan.epoch + 1)))
    at = learner.applied
    ask = learner.requests.add(now, "x")
    core.hear(now, "x", FetchReply(None, at, (newer,), at + 1, "x", at + 1, 0, ask))
    assert learner.proposal_time.index == at + 1 and core.plan is plan
    assert core.active_plan.proposed_at == since < now - 2 * SECOND
    late = since + 2 * plan.holds
    core.hear(late, "y", FetchRequest(at, 1))  # any message makes the front check its plan
    assert core.active_plan.strength(late) == 0.0 and core.plan is plan
    (done,) = (step for step in core.take_durable_actions() if isinstance(step, NotifyApplied))
    core.applied(now, done.order)
    assert core.plan.epoch == plan.epoch + 1 and core.active_plan.proposed_at == now


def storm(seed, seconds=150, **more):
    """Random partitions, crashes, pauses, lost zones and demand changes; Site.check runs after every event."""
    rng = random.Random(seed)
    site = SimulatedSite(
        seed, manner=LinkConditions(rng.choice((0.0, 0.05, 0.15)), 0.02, (MS, rng.choice((20, 150)) * MS)), **more
    )
    site.run(12)
    while site.net.now < seconds * SECOND:
        site.run(rng.uniform(0.5, 6))
        what, zone = rng.randrange(9), rng.randrange(site.zones)
        name = rng.choice(list(site.roster))
        if what == 0:
            site.net.partition(
                site.gateways_in(zone), [n for n in site.roster if site.roster[n] != zone], rng.random() < 0.6
            )
        elif what in (1, 2):
            site.net.heal()
        elif what == 3:
            site.net.kill(name)
        elif what == 4:
            site.net.pause(name, rng.randint(200, 8000) * MS)
        elif what == 5:
            site.rooms[zone] = rng.choice((0.0, 5_000.0, 10_000.0))
        elif what == 6:
            site.demand[zone] = rng.choice((1_000.0, 5_000.0, 8_000.0, 12_000.0))
        elif what == 7:
            for n in site.roster:
                if n not in site.net.nodes:
                    site.start(n)
        else:
            half = rng.sample(range(site.zones), 2)
            site.net.partition(site.gateways_in(*half), [n for n in site.roster if site.roster[n] not in half])
    site.net.heal()
    site.rooms, site.demand = [10_000.0] * site.zones, [5_000.0] * site.zones
    for n in site.roster:
        if n not in site.net.nodes:
            site.start(n)
    site.run(45)
    assert site.leader() is not None
    assert set(site.strengths(site.roster)) == {1.0}, "not all follow a plan in force after the storm"
    return site


@pytest.mark.parametrize("seed", range(16))
def test_no_storm_breaks_a_bound(seed):
    assert storm(seed).plans


def test_the_bound_of_numbers_holds_for_the_same_messages_as_before():
    """`Coordinator.hear` finds the numbers that it bounds by the fields' names: a field renamed to one of them would
    make it drop messages that it took before."""
    bounded = {
        name: sorted(
            getattr(kind, "OUTER_NAME", kind.__name__)
            for kind in MESSAGE_CODEC._numbers
            if name in {field.name for field in fields(kind)}
        )
        for name in ("term", "incarnation")
    }
    assert bounded == {
        "term": ["Append", "Ballot", "Install", "Poll", "Recalled", "Taken"],
        "incarnation": ["Ping"],
    }
