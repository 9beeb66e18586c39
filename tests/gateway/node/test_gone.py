"""A client that has gone starts nothing more, on real sockets. Its end lies unread in the kernel whenever the node
comes to send: the reader of clients' connections is held back, so that no order of tasks can help."""

import time

import pytest
import trio

from copperyard.gateway.net import now
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, within

# a cold host takes a set-up each 300 ms or so: what waits for its time there is brought by a timer alone
PACED = {"warmWithin": 6 * SECOND, "fallMultiple": 2.0}
ONE = "home:0;copies:1;top:1;viewer:00"


def closes(client, n):
    client.close()


def resets(client, n):
    client.reset()


def half_closes(client, n):
    client.half_close()


def withdraws(client, n):
    client.send(teardown(sid(n)))


def withdraws_behind_others(client, n):
    """What it said before fills more than one read of the node."""
    client.send(
        b"".join(setup(sid(1000 + k), body=bytes(900)) for k in range(60))
        + teardown(sid(n))
        + b"".join(teardown(sid(1000 + k)) for k in range(60))
    )


WAYS = pytest.mark.parametrize("goes", [closes, resets, half_closes, withdraws, withdraws_behind_others])


async def gone(world, client, n, goes, *, others=(), until=lambda: True):
    """The client goes, unread; then `others` happen for real, until so. Nothing of it may come to a host."""
    world.hold_back()
    goes(client, n)
    for other in others:
        other()
    await world.until(until, 10)
    await trio.sleep(0.2)
    left = [session for session in world.setups if session not in (sid(1), sid(99))]
    assert not left, left
    world.let_go()


@WAYS
def test_a_timer_fires(goes):
    """At a cold host the second set-up waits for its time, which only a timer brings."""

    async def body(world):
        one, two = world.client(), world.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        two.send(setup(sid(2)))
        await world.until(lambda: len(world.node.core.controller.held) == 1)
        three = world.client()
        three.send(setup(sid(99)))
        await world.until(lambda: len(world.node.core.controller.held) == 2)
        # the other one's client stays, and it came later: once its set-up is out, the time of both has come
        await gone(world, two, 2, goes, until=lambda: sid(99) in world.setups)
        three.send(teardown(sid(99)))
        one.send(teardown(sid(1)))
        await world.until(world.is_clean)

    within(body, hosts=1, fresh=True, contract=PACED)


@WAYS
def test_a_hosts_error_asks_for_a_further_attempt(goes):
    async def body(world):
        for host in world.hosts:
            host.says = lambda session: None
        client = world.client()
        client.send(setup(sid(1), patience="4000"))
        await world.until(lambda: world.setups)
        first = next(host for host in world.hosts if host.setups)
        world.hold_back()
        goes(client, 1)
        await first.say(release(sid(1), Cause.ERROR))
        await trio.sleep(0.2)
        assert world.setups == [sid(1)]
        world.let_go()
        await world.until(world.is_clean)

    within(body)


@WAYS
def test_a_dial_completes(goes):
    async def body(world):
        world.network.dials = trio.Event()
        client = world.client()
        client.send(setup(sid(2)))
        await world.until(lambda: world.node.core.sessions)
        await gone(world, client, 2, goes, others=[world.network.dials.set])
        await world.until(world.is_clean)

    within(body)


@WAYS
def test_a_full_connection_gets_room(goes):
    async def body(world):
        (host,) = world.hosts
        first = world.client()
        first.send(setup(sid(1), body=b"d"))
        assert await first.answers(1) == [200]
        host.reads = trio.Event()
        host.says = lambda session: None
        fills = [world.client() for _ in range(3)]
        ((_, pipe),) = world.node._host_writers.items()
        for n, one in enumerate(fills):
            while not pipe.unsent and len(one.heard) < 40:
                one.send(setup(sid(100 + 50 * n + len(one.heard)), "preview", body=bytes(15000), patience="5000"))
                one.heard.append(None)
                await trio.sleep(0.01)
        assert pipe.unsent, "the connection was to be full"
        client = world.client()
        client.send(setup(sid(2), "paid", patience="3000"))
        await world.until(lambda: bytes.fromhex(sid(2)) in world.node.core.sessions_by_id)
        world.hold_back()
        goes(client, 2)
        host.reads.set()
        await trio.sleep(0.3)
        assert sid(2) not in host.setups and sid(100) in host.setups

    within(body, hosts=1, narrow=True, extra={"placesByKind": [500]})


@WAYS
def test_the_process_wakes_after_a_stall(goes):
    """It stands still while the client goes and the time of a second attempt comes; twenty are held at once."""

    async def body(world):
        one = world.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        held = [world.client() for _ in range(20)]
        for n, client in enumerate(held):
            client.send(setup(sid(2 + n)))
        await world.until(lambda: len(world.node.core.controller.held) == 20)
        for n, client in enumerate(held):
            goes(client, 2 + n)
        time.sleep(0.5)  # noqa: ASYNC251 (this is the stall)
        await trio.sleep(0.5)
        assert world.setups == [sid(1)]
        one.send(teardown(sid(1)))
        await world.until(world.is_clean)

    within(body, hosts=1, fresh=True, contract=PACED)


def test_what_did_run_is_released():
    """The client goes while its first attempt is out: the host that may have set it up is told."""

    async def body(world):
        for host in world.hosts:
            host.says = lambda session: None
        client = world.client()
        client.send(setup(sid(1), "paid", patience="2500"))
        await world.until(lambda: world.setups)
        client.reset()
        await world.until(lambda: [s for host in world.hosts for s in host.releases] == [sid(1)])
        assert world.setups == [sid(1)] and world.is_clean()

    within(body)


def test_a_hosts_end_behind_its_last_words_is_seen_before_a_set_up_is_entrusted_to_it():
    """The host says something and closes: reading the words alone would leave the end unseen, and a paid set-up
    written to that connection could not be proved not to have run."""

    async def body(world):
        (host,) = world.hosts
        one, two = world.client(), world.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        core = world.node.core
        (viewer,) = [v for v in core.viewers if v.number == max(v.number for v in core.viewers)]
        sock = host.streams[0].socket
        sock._sock.send(release(sid(77)))  # a word on a session nobody has, then the end
        sock._sock.shutdown(1)
        # in one step, as a node does that is behind: no reader has run since
        core.viewer_received(now(), viewer, setup(sid(2), "paid"))
        world.node.perform_actions()
        assert await two.answers(1) == [200]

    within(body, hosts=1)


@pytest.mark.parametrize("goes", [closes, resets, half_closes])
def test_a_release_is_not_told_to_a_connection_whose_end_lies_unread(goes):
    """Its session stands on, as no connection owns one: whatever ends it is told where somebody reads."""

    async def body(world):
        (host,) = world.hosts
        one, two = world.client(), world.client()
        for n, client in ((1, one), (2, two)):
            client.send(setup(sid(n)))
            assert await client.answers(1) == [200]
        world.hold_back()
        goes(one, 1)
        await host.say(release(sid(1)))
        assert await two.answers(1) == ["TEARDOWN"]
        world.let_go()
        two.send(teardown(sid(2)))
        await world.until(world.is_clean)

    within(body, hosts=1)


@pytest.mark.parametrize("goes", [closes, resets, half_closes, withdraws])
def test_a_session_that_comes_to_stand_when_its_client_has_gone_is_ended_at_its_host(goes):
    """The client's end lies unread when the host's answer comes: nobody would ever end that session."""

    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: None
        client = world.client()
        client.send(setup(sid(1), "paid", patience="2900"))
        await world.until(lambda: host.setups)
        world.hold_back()
        goes(client, 1)
        await host.say(answer(sid(1)))
        await world.until(lambda: host.releases == [sid(1)])
        await world.until(world.is_clean)
        world.let_go()

    within(body, hosts=1)
