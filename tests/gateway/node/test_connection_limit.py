"""All connections to hosts in use: hosts at which sessions play are still watched, and releases still reach them."""

import pytest
import trio
import trio.testing

from copperyard.control.node import bounds
from copperyard.control.node.connection_limit import link_to_evict
from copperyard.control.node.links import HostState, Link, LinkState
from copperyard.gateway.net import now
from tests.control.node.helpers import host as listed_host
from tests.control.node.helpers import release, setup, sid, teardown
from tests.gateway.node.media_hosts import run_with_fleet

LIMIT = bounds.max_host_connections(64)
TOLD_S = 8.05  # within 8 s of the end of a session whose host could not release it, and every limit is 50 ms longer
RELEASED_S = 1.05


@pytest.mark.parametrize("quiet", [0.0, 1.0, 4.4, 40.0])
@pytest.mark.parametrize("count", [1, 2, LIMIT])
def test_vanished_hosts_are_noticed_while_all_connections_are_in_use(count, quiet):
    # guards against: checks of silent hosts that stop for want of a descriptor
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(quiet)
        gone = harness.hosts[:count]
        for host in gone:
            host.vanish()
        told = await harness.told(viewer, 12)
        assert sorted(told) == [sid(n) for n in range(count)] and max(told.values()) <= TOLD_S
        assert harness.connections() <= LIMIT

    run_with_fleet(body, hosts=LIMIT)


@pytest.mark.parametrize("hosts", [LIMIT + 1, LIMIT + 4, 3 * LIMIT])
@pytest.mark.parametrize("quiet", [0.5, 20.0])
def test_hosts_without_a_connection_are_watched_in_turn(hosts, quiet):
    # guards against: a host whose connection was lost or given up at the bound and that nobody looks at again
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(quiet)
        gone = harness.hosts[::4]
        for host in gone:
            host.vanish()
        told = await harness.told(viewer, 12)
        assert sorted(told) == sorted(sid(n) for n in range(0, hosts, 4)) and max(told.values()) <= TOLD_S
        assert harness.connections() <= LIMIT

    run_with_fleet(body, hosts=hosts)


def test_watching_more_hosts_than_connections_takes_few_dials():
    # guards against: hosts that take each other's connection in a loop
    async def body(harness):
        await harness.hand_over(await harness.viewer())
        await trio.sleep(5)
        before = len(harness.network.dials)
        await trio.sleep(45)
        per_check = (len(harness.network.dials) - before) / (45 / (bounds.SILENCE_TIMEOUT / bounds.SECOND))
        assert per_check <= 1.1 * 3 * LIMIT

    run_with_fleet(body, hosts=3 * LIMIT)


@pytest.mark.parametrize("end", ["die", "end_session"])
def test_the_end_of_a_session_at_a_host_without_a_connection_is_told(end):
    # guards against: a release or a death that is noticed only where there is a connection
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(10)
        alone = next(host for host in harness.hosts if not host.streams)
        session = next(iter(alone.standing))
        if end == "die":
            alone.die()
        else:
            alone.end_session(session)
        told = await harness.told(viewer, 12)
        assert list(told) == [session] and told[session] <= TOLD_S

    run_with_fleet(body, hosts=LIMIT + 4)


def test_a_release_on_a_connection_that_makes_room_is_read_first():
    # guards against: a release that lies unread on a connection when that is closed for another host
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(4.45)  # the next checks are due in a moment
        for n, host in enumerate(harness.hosts):
            host.end_session(sid(n))
        told = await harness.told(viewer, 3)
        assert len(told) == LIMIT and max(told.values()) <= RELEASED_S

    run_with_fleet(body, hosts=LIMIT)


def test_a_set_up_for_a_new_host_leaves_the_connections_of_playing_sessions():
    # guards against: watched hosts that lose their connection to new sessions
    async def body(harness):
        viewer = await harness.viewer()
        for n in range(LIMIT + 3):
            viewer.send(setup(sid(100 + n), facts=f"home:{n};copies:1;top:1;viewer:00"))
            assert await viewer.next() == (200 if n < LIMIT else 503)
        assert [len(host.streams) for host in harness.hosts] == [1] * LIMIT + [0] * 3

    run_with_fleet(body, hosts=LIMIT + 3)


def test_reaching_the_bound_is_logged_once():
    # guards against: a bound that nobody sees
    async def body(harness):
        await harness.hand_over(await harness.viewer())
        await trio.sleep(30)
        reached = [fields for event, fields in harness.lines if event == "connections to hosts at their bound"]
        assert reached == [{"connections": LIMIT, "bound": LIMIT}]

    run_with_fleet(body, hosts=LIMIT + 4)


def test_the_release_of_a_viewer_reaches_a_host_without_a_connection():
    # guards against: a TEARDOWN that is answered 200 and dropped for want of a descriptor
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(10)
        alone = [host for host in harness.hosts if not host.streams]
        sessions = [session for host in alone for session in host.standing]
        assert len(alone) >= 3
        for session in sessions:
            viewer.send(teardown(session))
        await trio.sleep(2)
        assert [host.releases for host in alone] == [[session] for session in sessions]
        assert not any(host.standing for host in alone)

    run_with_fleet(body, hosts=LIMIT + 4)


def test_a_host_with_all_its_connections_in_use_is_noticed_when_it_vanishes():
    # guards against: the check that stops at MAX_LINKS_PER_HOST
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        (host,) = harness.hosts
        state = next(iter(harness.node.core.hosts.values()))
        while len(state.links) < bounds.MAX_LINKS_PER_HOST:
            harness.node.core._dial(0, state)
        harness.node.perform_actions()
        await trio.sleep(0.1)
        assert len(host.streams) == bounds.MAX_LINKS_PER_HOST
        host.vanish()
        told = await harness.told(viewer, 12)
        assert list(told) == [sid(0)] and told[sid(0)] <= TOLD_S

    run_with_fleet(body, hosts=1)


@pytest.mark.parametrize("lasts", [2.0, 60.0])
def test_a_vanished_host_is_noticed_while_the_system_gives_no_more_descriptors(lasts):
    # guards against: checks that stop while the system, not the settings, is the bound
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(1)
        harness.network.descriptors = len(harness.hosts)
        harness.hosts[0].vanish()
        with trio.move_on_after(lasts) as waiting:
            told = await harness.told(viewer, 12)
        if waiting.cancelled_caught:
            harness.network.descriptors = None
            told = await harness.told(viewer, 12 - lasts)
        assert list(told) == [sid(0)] and told[sid(0)] + (lasts if waiting.cancelled_caught else 0) <= TOLD_S

    run_with_fleet(body, hosts=4)


def test_a_host_that_left_the_list_keeps_its_connection_while_sessions_play_there():
    # guards against: sessions told over, as the connection of a host that is not dialled any more made room
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(2)
        core = harness.node.core
        gone = next(host for host in harness.hosts if host.streams)
        listed = tuple(listed_host(n) for n, host in enumerate(harness.hosts) if host is not gone)
        core.list_received(now(), 2, listed)
        harness.node.perform_actions()
        harness.nursery.start_soon(gone.play, sid(harness.hosts.index(gone)), 5)
        told = await harness.told(viewer, 25)
        assert told == {} and len(gone.streams) == 1

    run_with_fleet(body, hosts=LIMIT + 4)


@pytest.mark.parametrize("connections", [bounds.MAX_LINKS_PER_HOST, bounds.MAX_LINKS_PER_HOST + 1])
def test_a_host_with_connections_left_by_checks_is_noticed_when_it_vanishes(connections):
    # guards against: the check that stops one connection beyond MAX_LINKS_PER_HOST
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        (host,) = harness.hosts
        state = next(iter(harness.node.core.hosts.values()))
        while len(state.links) < connections:
            harness.node.core._dial(now(), state)
        harness.node.perform_actions()
        await trio.sleep(0.1)
        host.vanish()
        told = await harness.told(viewer, 12)
        assert list(told) == [sid(0)] and told[sid(0)] <= TOLD_S
        assert max(harness.network.open_at_once) <= connections + 1

    run_with_fleet(body, hosts=1)


def test_an_unread_release_is_taken_from_a_connection_before_that_makes_room():
    # guards against: a release that has arrived and is closed away unread
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        await trio.sleep(2)
        core = harness.node.core
        first = core.link_to_evict(now(), next(iter(core.hosts.values())))
        other = next(state for state in core.hosts.values() if state is not first.host)
        for link in other.links:
            link.suspect = True
        chosen = core.link_to_evict(now(), other)
        host = next(one for one in harness.hosts if one.name == chosen.host.name)
        session = next(iter(host.standing))
        host.end_session(session)
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(0.01)  # it has arrived, and no task has read it
        assert harness.node._make_room(other)
        assert session not in {one.id_text for one in core.sessions.values()}

    run_with_fleet(body, hosts=LIMIT)


def idle_link(state, number, heard, up_at=0):
    link = Link(state, number, 0, LinkState.UP, up_at=up_at, last_heard=heard)
    state.links.append(link)
    return link


def playing_host(number):
    state = HostState(number, f"s-{number}", f"127.0.0.1:{9000 + number}")
    state.keep_unsent(0, release(sid(number)))  # as a session there, it makes a host one that must be reached
    return state


def test_which_connection_makes_room():
    # guards against: a connection that is in use, or has just come up, closed for another host
    second_ns = bounds.SECOND
    empty, double, single, dialled = HostState(0, "s-0", ""), playing_host(1), playing_host(2), playing_host(3)
    hosts = [empty, double, single, dialled]
    unused = idle_link(empty, 1, 50)
    second, first = idle_link(double, 3, 40), idle_link(double, 2, 30)
    only, own = idle_link(single, 4, 10), idle_link(dialled, 5, 20)
    now_ns = 10 * second_ns
    order = []
    while (link := link_to_evict(now_ns, hosts, dialled)) is not None:
        order.append(link)
        link.host.links.remove(link)
    assert order == [unused, first, own, only, second]
    for state in hosts:
        state.links.clear()
    idle_link(single, 6, 10).has_unsent = True
    idle_link(double, 7, 10, up_at=now_ns - second_ns // 2)
    assert link_to_evict(now_ns, hosts, dialled) is None
    assert link_to_evict(now_ns + second_ns, hosts, dialled) is double.links[0]
    assert link_to_evict(now_ns + second_ns, hosts) is None
    double.listed = False
    assert link_to_evict(now_ns + second_ns, hosts, dialled) is None
