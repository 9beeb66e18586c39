"""Releases that a node owes a host: each reaches it once they are in contact again."""

import pytest
import trio

from copperyard.gateway.net import now
from tests.control.node.helpers import answer, setup, sid, teardown
from tests.control.node.helpers import host as named
from tests.gateway.node.media_hosts import run_with_fleet
from tests.gateway.node.sockets import run_with_node

SESSIONS = 6
CONTACT_LIMIT = 8  # seconds from when the host can be reached until no session that is over stands there


@pytest.mark.parametrize("sessions_left", [False, True])
def test_a_viewers_release_reaches_a_host_that_refuses_connections_for_a_while(sessions_left):
    # guards against: a TEARDOWN that is answered 200 and dropped with the dial that its release waits on
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        host = harness.hosts[0]
        if sessions_left:
            await harness.hand_over_more(viewer, host, [sid(50)])
        host.close_connections()
        host.refuse()
        viewer.send(teardown(sid(0)))
        assert await viewer.next() == 200
        await trio.sleep(3)
        await host.accept_again()
        await trio.sleep(2)
        assert host.releases == [sid(0)] and host.standing == ({sid(50)} if sessions_left else set())

    run_with_fleet(body, hosts=2)


def test_a_viewers_release_survives_a_dial_without_an_answer():
    # guards against: the same, for a machine that cannot be reached for a moment
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        host = harness.hosts[0]
        host.close_connections()
        harness.network.vanished.add(host.address)
        viewer.send(teardown(sid(0)))
        await trio.sleep(0.4)
        harness.network.vanished.clear()
        await trio.sleep(2)
        assert host.releases == [sid(0)]

    run_with_fleet(body, hosts=2)


def test_a_release_for_a_host_that_does_not_come_back_causes_no_dials_to_no_end():
    # guards against: dials to no end, and memory, for hosts that never come back
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        host = harness.hosts[0]
        host.close_connections()
        host.refuse()
        viewer.send(teardown(sid(0)))
        await trio.sleep(10)
        dials = len(harness.network.dials)
        await trio.sleep(10)
        assert host.address not in [address for _, address in harness.network.dials[dials:]]
        core = harness.node.core
        assert sum(len(state.owed) for state in core.hosts.values()) == 1
        core.list_received(now(), 2, tuple(named(n) for n in range(1, 2)))
        assert host.name not in [state.name for state in core.hosts.values()]

    run_with_fleet(body, hosts=2)


class Contact:
    """A node on real sockets with one media host, at which SESSIONS sessions play, each with a viewer of its own."""

    def __init__(self, harness, acknowledges):
        self.harness, (self.host,) = harness, harness.hosts
        self.host.acknowledges = acknowledges
        self.viewers, self.over, self.next_session = [], set(), 1000

    async def play(self, sessions=SESSIONS):
        for n in range(sessions):
            client = self.harness.client()
            client.send(setup(sid(n)))
            assert await client.answers(1) == [200]
            self.viewers.append(client)

    async def end(self, n):
        """The viewer of a session ends it."""
        self.over.add(sid(n))
        self.viewers[n].send(teardown(sid(n)))
        while (got := await self.viewers[n].answers(1)) != [200]:
            assert got == ["TEARDOWN"]  # it has been told over just before

    def cut_off(self):
        """Open connections stay open and silent, new ones never come up."""
        self.host.reads = trio.Event()
        self.harness.network.dials = trio.Event()

    def heal(self):
        """What was on its way arrives."""
        self.host.reads.set()
        self.harness.network.dials.set()

    async def contact(self):
        """Another viewer asks until it is served, which shows that the node and the host are in contact again."""
        client = self.harness.client()
        for _ in range(20):
            self.next_session += 1
            client.send(setup(sid(self.next_session)))
            if await client.answers(1) == [200]:
                return
            await trio.sleep(0.3)
        raise AssertionError("no session at the host")

    async def all_released(self, limit=CONTACT_LIMIT):
        """All sessions that are over for their viewers have been released at the host, and no other one."""
        for n, viewer in enumerate(self.viewers):
            with trio.move_on_after(0.05):
                if sid(n) not in self.over and await viewer.answers(1) == ["TEARDOWN"]:
                    self.over.add(sid(n))
        with trio.move_on_after(limit):
            while not self.over <= set(self.host.releases):  # noqa: ASYNC110
                await trio.sleep(0.02)
        assert self.over <= set(self.host.releases), f"stand on: {sorted(self.over - set(self.host.releases))}"
        asked = {sid(n) for n in range(SESSIONS)}
        assert not (set(self.host.releases) & asked) - self.over, "released though its viewer holds it"


def run_with_contact(body, acknowledges):
    run_with_node(lambda harness: body(Contact(harness, acknowledges)), hosts=1)


either_host = pytest.mark.parametrize("acknowledges", [True, False])


@either_host
@pytest.mark.parametrize("ended", [(), (1, 4)])
@pytest.mark.parametrize("duration", [1.5, 4, 6])
def test_sessions_told_over_while_their_host_was_cut_off_are_released_there(duration, ended, acknowledges):
    # guards against: sessions that stand on at a host that counted as lost, and seats given away (review/10)
    async def body(world):
        await world.play()
        await trio.sleep(2.5)
        world.cut_off()
        await trio.sleep(0.5)
        for n in ended:
            await world.end(n)
        await trio.sleep(duration - 0.5)
        world.heal()
        await trio.sleep(0.5)
        await world.contact()
        await world.all_released()

    run_with_contact(body, acknowledges)


@either_host
@pytest.mark.parametrize("ended", [(), (1, 4)])
@pytest.mark.parametrize("duration", [2, 6])
def test_sessions_told_over_while_their_host_refused_are_released_there(duration, ended, acknowledges):
    # guards against: the same, for a host that resets its connections and takes no new ones for a while
    async def body(world):
        await world.play()
        world.host.reset_all()
        world.host.refuse()
        for n in ended:
            await world.end(n)
        await trio.sleep(duration)
        world.host.accept_again()
        await world.contact()
        await world.all_released()

    run_with_contact(body, acknowledges)


@either_host
@pytest.mark.parametrize("how", ["forget_all", "reset_all"])
def test_releases_written_to_a_connection_that_is_lost_are_written_again(how, acknowledges):
    # guards against: a release that its host never read, as it had forgotten the connection (review/9)
    async def body(world):
        await world.play()
        await trio.sleep(1.5)
        if how == "reset_all":
            world.host.reads = trio.Event()
            await world.end(2)
            await trio.sleep(0.05)
            world.host.reset_all()
            world.host.reads.set()
        else:
            world.host.forget_all()
            await world.end(2)
            await world.end(3)
        await trio.sleep(0.3)
        await world.contact()
        await world.all_released()

    run_with_contact(body, acknowledges)


def test_a_release_written_to_a_forgotten_connection_arrives_without_another_set_up():
    # guards against: a session that its viewer has ended and that stands on, as nobody connects to its host again
    async def body(world):
        await world.play(1)
        world.host.forget_all()
        await world.end(0)
        await world.all_released(2.5)
        assert world.host.accepted == 2

    run_with_contact(body, True)


@either_host
@pytest.mark.parametrize("cls", ["preview", "paid"])
def test_a_session_whose_answer_was_lost_is_released(cls, acknowledges):
    # guards against: a session that stands without a viewer, as its answer went with its connection
    async def body(world):
        world.host.setup_reply = lambda session: b"!reset"
        client = world.harness.client()
        client.send(setup(sid(0), cls, patience="1000"))
        assert (await client.answers(1))[0] in (500, 503)
        world.over.add(sid(0))
        world.host.setup_reply = answer
        await world.contact()
        await world.all_released()

    run_with_contact(body, acknowledges)


def test_sessions_of_a_host_that_forgot_its_connections_and_then_died_are_told_over():
    # guards against: a host that counts as full for good, as it refuses connections beside one that it has forgotten
    async def body(world):
        await world.play(2)
        world.host.forget_all()
        world.host.refuse()
        for viewer in world.viewers:
            assert await viewer.answers(1, 8.05) == ["TEARDOWN"]

    run_with_contact(body, True)


def test_sessions_of_a_full_host_that_is_silent_go_on():
    # guards against: the same host taken for dead, though it knows its connection and only has nothing to say
    async def body(world):
        await world.play(2)
        world.host.refuse()
        await trio.sleep(10)
        for n in range(2):
            await world.end(n)
        await world.all_released(1)

    run_with_contact(body, True)


def test_a_host_that_answers_no_release_and_resets_idle_connections_is_not_dialled_to_no_end():
    # guards against: a release that is written again, on a new connection, for good
    async def body(world):
        await world.play(1)
        await world.end(0)
        for _ in range(12):
            await trio.sleep(0.1)
            world.host.reset_all()
            await trio.sleep(1.2)
        assert world.host.accepted <= 5 and world.host.releases.count(sid(0)) <= 4

    run_with_contact(body, False)
