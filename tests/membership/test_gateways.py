"""Gateways that find out about each other: time to detect, false deaths, whole zones, one's own slowness, restarts."""

import pytest

from copperyard.lab.sites.events import Manner
from copperyard.lab.sites.simulated import World
from copperyard.membership.gateways.members import Members, Pace, Say
from copperyard.membership.gateways.messages import Life, Look, Nothing, Ping, Row, Rumour
from copperyard.membership.gateways.sight import Sight, Standing, Way

MS, SECOND = 1_000_000, 1_000_000_000


def test_nobody_dies_where_nothing_is_wrong():
    world = World()
    world.run(120)
    assert world.deaths() == []
    sent = world.net.sent / 120 / 12
    assert sent < 5, f"{sent} messages a second a gateway"


def test_a_dead_gateway_is_known_to_all_within_a_bound():
    world = World()
    world.run(20)
    begin = world.net.now
    world.net.kill("g3")
    world.run(20)
    assert world.all_hold("g3", Life.DEAD)
    assert max(at for at, _, _ in world.deaths()) - begin < 14 * SECOND


def test_a_lost_zone_is_found_out_in_about_the_time_of_one_gateway():
    one, zone = [], []
    for seed in range(6):
        for kill, found in ((1, one), (3, zone)):
            world = World(seed, 15, 5)
            world.run(20)
            begin = world.net.now
            for name in world.of(2)[:kill]:
                world.net.kill(name)
            world.run(30)
            assert all(world.all_hold(name, Life.DEAD) for name in world.of(2)[:kill])
            found.append(max(at for at, _, _ in world.deaths()) - begin)
    assert sorted(zone)[3] < 1.5 * sorted(one)[3]


def test_loss_and_delay_on_half_the_links_kill_nobody():
    world = World(3)
    for n, a in enumerate(world.roster):
        for b in list(world.roster)[n % 2 :: 2]:
            world.net.manners[a, b] = Manner(loss=0.2, delay=(380 * MS, 420 * MS))
    world.run(120)
    assert world.deaths() == []


def test_one_that_stood_still_blames_itself():
    world = World()
    world.run(20)
    world.net.stop("g5", 5 * SECOND)
    world.run(4.9)
    before = len([1 for _, who, _, _ in world.changes if who == "g5"])
    world.run(30)
    assert [1 for _, who, _ in world.deaths() if who == "g5"] == []
    assert len([1 for _, who, _, life in world.changes if who == "g5" and life is Life.SUSPECT]) <= before + 2
    assert world.all_hold("g5", Life.ALIVE)


def test_one_thought_dead_comes_back_by_itself_and_by_a_restart_with_an_old_clock():
    world = World()
    world.run(20)
    rest = [name for name in world.roster if name != "g1"]
    world.net.part(["g1"], rest)
    world.run(25)
    assert all(world.core(name).members["g1"].life is Life.DEAD for name in rest)
    world.net.heal()
    world.run(30)
    assert world.all_hold("g1", Life.ALIVE)
    world.net.kill("g1")
    world.run(25)
    world.start("g1", 10)  # its date is behind that of its life before
    world.run(30)
    assert world.all_hold("g1", Life.ALIVE)


def test_a_planned_end_is_told_and_no_suspicion():
    world = World()
    world.run(20)
    world.core("g2").leave(world.net.now)
    world.net._turn("g2")
    world.run(0.5)
    world.net.kill("g2")
    world.run(20)
    assert world.all_hold("g2", Life.LEFT)
    assert not [1 for _, _, whom, life in world.changes if whom == "g2" and life in (Life.SUSPECT, Life.DEAD)]


def test_a_zone_restarted_in_one_second_is_alive_again_soon():
    world = World()
    world.run(20)
    for name in world.of(1):
        world.net.kill(name)
    world.run(1)
    for name in world.of(1):
        world.start(name, 2000)
    world.run(15)
    assert all(world.all_hold(name, Life.ALIVE) for name in world.of(1))
    assert world.deaths() == []


def views(world, name):
    return world.core(name).sight.standings(world.net.now)


def test_who_sees_whom_tells_a_lost_zone_from_a_cut_one_way_link():
    world = World(4)
    world.run(30)
    assert views(world, "g0") == [Standing.SEEN] * 4
    for name in world.of(3):
        world.net.kill(name)
    world.run(30)
    assert views(world, "g0")[3] is Standing.SILENT
    assert views(world, "g1")[:3] == [Standing.SEEN] * 3
    assert not world.core("g0").cut_off(world.net.now)
    # zone 1 speaks to zone 2 and gets no answer: what comes back is cut
    world.net.part(world.of(2), world.of(1), both=False)
    world.run(30)
    ways = world.core("g0").sight.ways(world.net.now)
    assert ways[1][2] is Way.SILENT or ways[1][2] is Way.DEAF
    assert ways[0][2] is Way.GOOD and ways[0][1] is Way.GOOD
    assert views(world, "g0")[2] is Standing.HALF_CUT


def test_a_zone_that_is_cut_off_knows_that_it_is():
    world = World(6)
    world.run(20)
    world.net.part(world.of(0), [n for n, z in world.roster.items() if z])
    world.run(30)
    assert all(world.core(name).cut_off(world.net.now) for name in world.of(0))
    assert not any(world.core(name).cut_off(world.net.now) for name in world.roster if name not in world.of(0))


@pytest.mark.parametrize("gateways", [12, 48, 250])
def test_messages_a_gateway_do_not_grow_with_the_fleet(gateways):
    world = World(2, gateways, 5)
    world.run(10)
    assert world.net.sent / 10 / gateways < 6
    assert world.deaths() == []


def test_a_message_carries_a_bounded_number_of_rumours_and_rows():
    world = World(2, 100, 5)
    most = []

    def size(message):
        most.append((len(getattr(message, "rumours", ())), len(getattr(message, "rows", ()))))
        return 0

    world.net.sizes = size
    world.run(5)
    for name in world.of(0):
        world.net.kill(name)
    world.run(20)
    assert max(r for r, _ in most) <= 16 and max(r for _, r in most) <= 3


def test_a_row_of_another_shape_or_an_unknown_name_is_passed_over():
    sight = Sight("a", {"a": 0, "b": 1}, 2)
    sight.learn(0, Row("c", 1, 1, ((1, 1, 1, 0), (1, 1, 1, 0))))
    sight.learn(0, Row("b", 1, 1, ((1, 1, 1, 0),)))
    assert sight.rows == {}
    sight.learn(0, Row("b", 1, 2, ((1, 1, 1, 0), (1, 1, 1, 0))))
    sight.learn(0, Row("b", 1, 1, ((0, 0, 0, 0), (1, 1, 1, 0))))
    assert sight.rows["b"][1].number == 2


def test_a_helpers_word_that_comes_twice_makes_nobody_hasty():
    """Counted twice, it made the awareness of one's own slowness -1 and every suspicion as long as nothing."""
    core = Members("a", {"a": 0, "b": 0, "c": 0, "d": 1}, 2, Pace(), 1, 0, 5)
    now, looked = 0, None
    while looked is None:
        now = core.next_wake()
        core.wake(now)
        looked = next((x for x in core.take() if isinstance(x, Say) and isinstance(x.message, Look)), None)
    for helper in "bcd" * 3:
        core.hear(now, helper, Nothing(looked.message.number))
    target = looked.message.target
    while core.members[target].life is Life.ALIVE:
        core.wake(core.next_wake())
    assert core.awareness == 0
    assert core.members[target].until - core.next_wake() > 2 * SECOND


def test_a_zone_of_a_fifth_of_a_large_fleet_is_known_to_all_soon_and_makes_nobody_slow():
    world = World(1, 100, 5, Manner(loss=0.01, delay=(1 * MS, 60 * MS)))
    world.run(20)
    lost = world.of(3)
    for name in lost:
        world.net.kill(name)
    world.run(25)
    known = [world.core(x).members[name].life for x in world.net.nodes for name in lost]
    assert known.count(Life.DEAD) > 0.98 * len(known)
    assert sum(world.core(x).awareness for x in world.net.nodes) < len(world.net.nodes)


def test_rumours_of_nobody_we_know_change_nothing():
    core = Members("a", {"a": 0, "b": 0}, 1, Pace(), 1, 0, 5)
    core.hear(0, "b", Ping(1, 7, (Rumour("x", Life.DEAD, 9, "b"), Rumour("a", Life.DEAD, 5, "b")), ()))
    assert core.incarnation == 6 and core.members["b"].incarnation == 7


def test_a_number_that_no_life_could_have_counted_to_is_not_taken_over():
    core = Members("a", {"a": 0, "b": 0}, 1, Pace(), 1, 0, 5)
    most = (1 << 63) - 1
    core.hear(0, "b", Ping(1, 7, (Rumour("a", Life.DEAD, most, "b"), Rumour("b", Life.DEAD, most, "b")), ()))
    assert core.incarnation == 5 and core.members["b"].incarnation == 7
