"""Membership of gateways: detection time, false deaths, lost zones, local health, restarts."""

import pytest

from copperyard.lab.sites.simulated_network import LinkConditions
from copperyard.lab.sites.simulated_site import SimulatedMembership
from copperyard.membership.gateways.members import Membership, ProbeTiming, SendMessage
from copperyard.membership.gateways.messages import GossipUpdate, MemberState, Nack, Ping, PingRequest, ReachabilityRow
from copperyard.membership.gateways.reachability import PathState, Reachability, ZoneReachability

MS, SECOND = 1_000_000, 1_000_000_000


def test_nobody_dies_where_nothing_is_wrong():
    world = SimulatedMembership()
    world.run(120)
    assert world.deaths() == []
    sent = world.net.sent / 120 / 12
    assert sent < 5, f"{sent} messages a second a gateway"


def test_a_dead_gateway_is_known_to_all_within_a_bound():
    world = SimulatedMembership()
    world.run(20)
    begin = world.net.now
    world.net.kill("g3")
    world.run(20)
    assert world.all_hold("g3", MemberState.DEAD)
    assert max(at for at, _, _ in world.deaths()) - begin < 14 * SECOND


def test_a_lost_zone_is_found_out_in_about_the_time_of_one_gateway():
    one, zone = [], []
    for seed in range(6):
        for kill, found in ((1, one), (3, zone)):
            world = SimulatedMembership(seed, 15, 5)
            world.run(20)
            begin = world.net.now
            for name in world.gateways_in(2)[:kill]:
                world.net.kill(name)
            world.run(30)
            assert all(world.all_hold(name, MemberState.DEAD) for name in world.gateways_in(2)[:kill])
            found.append(max(at for at, _, _ in world.deaths()) - begin)
    assert sorted(zone)[3] < 1.5 * sorted(one)[3]


def test_loss_and_delay_on_half_the_links_kill_nobody():
    world = SimulatedMembership(3)
    for n, a in enumerate(world.roster):
        for b in list(world.roster)[n % 2 :: 2]:
            world.net.link_conditions[a, b] = LinkConditions(loss=0.2, delay=(380 * MS, 420 * MS))
    world.run(120)
    assert world.deaths() == []


def test_a_stalled_gateway_blames_itself():
    world = SimulatedMembership()
    world.run(20)
    world.net.pause("g5", 5 * SECOND)
    world.run(4.9)
    before = len([1 for _, who, _, _ in world.changes if who == "g5"])
    world.run(30)
    assert [1 for _, who, _ in world.deaths() if who == "g5"] == []
    assert len([1 for _, who, _, life in world.changes if who == "g5" and life is MemberState.SUSPECT]) <= before + 2
    assert world.all_hold("g5", MemberState.ALIVE)


def test_a_member_held_dead_returns_by_itself_and_after_a_restart_with_an_old_clock():
    world = SimulatedMembership()
    world.run(20)
    rest = [name for name in world.roster if name != "g1"]
    world.net.partition(["g1"], rest)
    world.run(25)
    assert all(world.core(name).members["g1"].state is MemberState.DEAD for name in rest)
    world.net.heal()
    world.run(30)
    assert world.all_hold("g1", MemberState.ALIVE)
    world.net.kill("g1")
    world.run(25)
    world.start("g1", 10)  # its incarnation is below that of its earlier life
    world.run(30)
    assert world.all_hold("g1", MemberState.ALIVE)


def test_a_planned_end_is_announced_and_raises_no_suspicion():
    world = SimulatedMembership()
    world.run(20)
    world.core("g2").leave(world.net.now)
    world.net._flush("g2")
    world.run(0.5)
    world.net.kill("g2")
    world.run(20)
    assert world.all_hold("g2", MemberState.LEFT)
    assert not [
        1 for _, _, whom, life in world.changes if whom == "g2" and life in (MemberState.SUSPECT, MemberState.DEAD)
    ]


def test_a_zone_restarted_in_one_second_is_alive_again_soon():
    world = SimulatedMembership()
    world.run(20)
    for name in world.gateways_in(1):
        world.net.kill(name)
    world.run(1)
    for name in world.gateways_in(1):
        world.start(name, 2000)
    world.run(15)
    assert all(world.all_hold(name, MemberState.ALIVE) for name in world.gateways_in(1))
    assert world.deaths() == []


def views(world, name):
    return world.core(name).reachability.zone_states(world.net.now)


def test_reachability_tells_a_lost_zone_from_a_link_cut_one_way():
    world = SimulatedMembership(4)
    world.run(30)
    assert views(world, "g0") == [ZoneReachability.SEEN] * 4
    for name in world.gateways_in(3):
        world.net.kill(name)
    world.run(30)
    assert views(world, "g0")[3] is ZoneReachability.SILENT
    assert views(world, "g1")[:3] == [ZoneReachability.SEEN] * 3
    assert not world.core("g0").cut_off(world.net.now)
    # zone 1 probes zone 2 and gets no answer: the direction back is cut
    world.net.partition(world.gateways_in(2), world.gateways_in(1), both=False)
    world.run(30)
    ways = world.core("g0").reachability.path_states(world.net.now)
    assert ways[1][2] is PathState.SILENT or ways[1][2] is PathState.DEAF
    assert ways[0][2] is PathState.GOOD and ways[0][1] is PathState.GOOD
    assert views(world, "g0")[2] is ZoneReachability.HALF_CUT


def test_a_zone_that_is_cut_off_knows_that_it_is():
    world = SimulatedMembership(6)
    world.run(20)
    world.net.partition(world.gateways_in(0), [n for n, z in world.roster.items() if z])
    world.run(30)
    assert all(world.core(name).cut_off(world.net.now) for name in world.gateways_in(0))
    assert not any(world.core(name).cut_off(world.net.now) for name in world.roster if name not in world.gateways_in(0))


@pytest.mark.parametrize("gateways", [12, 48, 250])
def test_messages_a_gateway_do_not_grow_with_the_fleet(gateways):
    world = SimulatedMembership(2, gateways, 5)
    world.run(10)
    assert world.net.sent / 10 / gateways < 6
    assert world.deaths() == []


def test_a_message_carries_a_bounded_number_of_updates_and_rows():
    world = SimulatedMembership(2, 100, 5)
    most = []

    def size(message):
        most.append((len(getattr(message, "updates", ())), len(getattr(message, "rows", ()))))
        return 0

    world.net.message_size = size
    world.run(5)
    for name in world.gateways_in(0):
        world.net.kill(name)
    world.run(20)
    assert max(r for r, _ in most) <= 16 and max(r for _, r in most) <= 3


def test_a_row_of_another_shape_or_an_unknown_name_is_ignored():
    table = Reachability("a", {"a": 0, "b": 1}, 2)
    table.merge_row(0, ReachabilityRow("c", 1, 1, ((1, 1, 1, 0), (1, 1, 1, 0))))
    table.merge_row(0, ReachabilityRow("b", 1, 1, ((1, 1, 1, 0),)))
    assert table.rows == {}
    table.merge_row(0, ReachabilityRow("b", 1, 2, ((1, 1, 1, 0), (1, 1, 1, 0))))
    table.merge_row(0, ReachabilityRow("b", 1, 1, ((0, 0, 0, 0), (1, 1, 1, 0))))
    assert table.rows["b"][1].number == 2


def test_a_duplicate_nack_does_not_shorten_suspicions():
    """A nack counted twice made the local health multiplier -1 and every suspicion zero long."""
    core = Membership("a", {"a": 0, "b": 0, "c": 0, "d": 1}, 2, ProbeTiming(), 1, 0, 5)
    now, looked = 0, None
    while looked is None:
        now = core.next_wake()
        core.wake(now)
        looked = next(
            (x for x in core.take_actions() if isinstance(x, SendMessage) and isinstance(x.message, PingRequest)), None
        )
    for helper in "bcd" * 3:
        core.hear(now, helper, Nack(looked.message.number))
    target = looked.message.target
    while core.members[target].state is MemberState.ALIVE:
        core.wake(core.next_wake())
    assert core.local_health == 0
    assert core.members[target].suspicion_ends_at - core.next_wake() > 2 * SECOND


def test_a_zone_of_a_fifth_of_a_large_fleet_is_known_to_all_soon_and_makes_nobody_slow():
    world = SimulatedMembership(1, 100, 5, LinkConditions(loss=0.01, delay=(1 * MS, 60 * MS)))
    world.run(20)
    lost = world.gateways_in(3)
    for name in lost:
        world.net.kill(name)
    world.run(25)
    known = [world.core(x).members[name].state for x in world.net.nodes for name in lost]
    assert known.count(MemberState.DEAD) > 0.98 * len(known)
    assert sum(world.core(x).local_health for x in world.net.nodes) < len(world.net.nodes)


def test_updates_on_unknown_gateways_change_nothing():
    core = Membership("a", {"a": 0, "b": 0}, 1, ProbeTiming(), 1, 0, 5)
    core.hear(
        0,
        "b",
        Ping(1, 7, (GossipUpdate("x", MemberState.DEAD, 9, "b"), GossipUpdate("a", MemberState.DEAD, 5, "b")), ()),
    )
    assert core.incarnation == 6 and core.members["b"].incarnation == 7


def test_an_absurd_incarnation_is_not_adopted():
    core = Membership("a", {"a": 0, "b": 0}, 1, ProbeTiming(), 1, 0, 5)
    most = (1 << 63) - 1
    core.hear(
        0,
        "b",
        Ping(
            1, 7, (GossipUpdate("a", MemberState.DEAD, most, "b"), GossipUpdate("b", MemberState.DEAD, most, "b")), ()
        ),
    )
    assert core.incarnation == 5 and core.members["b"].incarnation == 7
