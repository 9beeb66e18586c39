"""No set-up is sent for a client that has gone, on real sockets. The end of its connection is unread in the kernel when
the node is about to send: the readers of client connections are blocked, so that the order of tasks cannot help."""

import time

import pytest
import trio

from copperyard.gateway.net import now
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, run_with_node

# a cold host gets a set-up every 300 ms or so: those that wait are sent by a timer alone
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
    """The data before the TEARDOWN fills more than one read of the node."""
    client.send(
        b"".join(setup(sid(1000 + k), body=bytes(900)) for k in range(60))
        + teardown(sid(n))
        + b"".join(teardown(sid(1000 + k)) for k in range(60))
    )


WAYS = pytest.mark.parametrize("goes", [closes, resets, half_closes, withdraws, withdraws_behind_others])


async def gone(harness, client, n, goes, *, others=(), until=lambda: True):
    """The client goes, unread; then call `others` and wait for `until`. None of its set-ups may reach a host."""
    harness.block_reads()
    goes(client, n)
    for other in others:
        other()
    await harness.until(until, 10)
    await trio.sleep(0.2)
    left = [session for session in harness.setups if session not in (sid(1), sid(99))]
    assert not left, left
    harness.unblock_reads()


@WAYS
def test_gone_before_a_timer_fires(goes):
    """At a cold host the second set-up waits for a timer."""

    async def body(harness):
        one, two = harness.client(), harness.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        two.send(setup(sid(2)))
        await harness.until(lambda: len(harness.node.core.controller.held) == 1)
        three = harness.client()
        three.send(setup(sid(99)))
        await harness.until(lambda: len(harness.node.core.controller.held) == 2)
        # the client of the later set-up stays: once that is sent, the timers of both have fired
        await gone(harness, two, 2, goes, until=lambda: sid(99) in harness.setups)
        three.send(teardown(sid(99)))
        one.send(teardown(sid(1)))
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1, fresh=True, contract=PACED)


@WAYS
def test_gone_before_a_hosts_error_causes_a_further_attempt(goes):
    async def body(harness):
        for host in harness.hosts:
            host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), patience="4000"))
        await harness.until(lambda: harness.setups)
        first = next(host for host in harness.hosts if host.setups)
        harness.block_reads()
        goes(client, 1)
        await first.say(release(sid(1), Cause.ERROR))
        await trio.sleep(0.2)
        assert harness.setups == [sid(1)]
        harness.unblock_reads()
        await harness.until(harness.is_clean)

    run_with_node(body)


@WAYS
def test_gone_before_a_dial_completes(goes):
    async def body(harness):
        harness.network.dials = trio.Event()
        client = harness.client()
        client.send(setup(sid(2)))
        await harness.until(lambda: harness.node.core.sessions)
        await gone(harness, client, 2, goes, others=[harness.network.dials.set])
        await harness.until(harness.is_clean)

    run_with_node(body)


@WAYS
def test_gone_before_a_full_connection_becomes_writable(goes):
    async def body(harness):
        (host,) = harness.hosts
        first = harness.client()
        first.send(setup(sid(1), body=b"d"))
        assert await first.answers(1) == [200]
        host.reads = trio.Event()
        host.setup_reply = lambda session: None
        fills = [harness.client() for _ in range(3)]
        ((_, writer),) = harness.node._host_writers.items()
        for n, one in enumerate(fills):
            while not writer.unsent and len(one.heard) < 40:
                one.send(setup(sid(100 + 50 * n + len(one.heard)), "preview", body=bytes(15000), patience="5000"))
                one.heard.append(None)
                await trio.sleep(0.01)
        assert writer.unsent, "the connection was to be full"
        client = harness.client()
        client.send(setup(sid(2), "paid", patience="3000"))
        await harness.until(lambda: bytes.fromhex(sid(2)) in harness.node.core.sessions_by_id)
        harness.block_reads()
        goes(client, 2)
        host.reads.set()
        await trio.sleep(0.3)
        assert sid(2) not in host.setups and sid(100) in host.setups

    run_with_node(body, hosts=1, small_buffers=True, extra={"placesByKind": [500]})


@WAYS
def test_gone_during_a_stall_of_the_process(goes):
    """During the stall, twenty clients with held set-ups go and the timers of their attempts become due."""

    async def body(harness):
        one = harness.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        held = [harness.client() for _ in range(20)]
        for n, client in enumerate(held):
            client.send(setup(sid(2 + n)))
        await harness.until(lambda: len(harness.node.core.controller.held) == 20)
        for n, client in enumerate(held):
            goes(client, 2 + n)
        time.sleep(0.5)  # noqa: ASYNC251 (this is the stall)
        await trio.sleep(0.5)
        assert harness.setups == [sid(1)]
        one.send(teardown(sid(1)))
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1, fresh=True, contract=PACED)


def test_an_attempt_that_was_sent_is_released():
    """The client goes while its first attempt is in flight: the host that may have set it up gets a release."""

    async def body(harness):
        for host in harness.hosts:
            host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), "paid", patience="2500"))
        await harness.until(lambda: harness.setups)
        client.reset()
        await harness.until(lambda: [s for host in harness.hosts for s in host.releases] == [sid(1)])
        assert harness.setups == [sid(1)] and harness.is_clean()

    run_with_node(body)


def test_a_closed_connection_with_unread_data_is_detected_before_a_set_up_is_written():
    """The host sends data and closes: reading only the data would miss the end, and a paid set-up written to that
    connection would have an unknown outcome."""

    async def body(harness):
        (host,) = harness.hosts
        one, two = harness.client(), harness.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        core = harness.node.core
        (viewer,) = [v for v in core.viewers if v.number == max(v.number for v in core.viewers)]
        sock = host.streams[0].socket
        sock._sock.send(release(sid(77)))  # a message about an unknown session, then the end
        sock._sock.shutdown(1)
        # in one step, as in a node that lags behind: no reader has run since
        core.viewer_received(now(), viewer, setup(sid(2), "paid"))
        harness.node.perform_actions()
        assert await two.answers(1) == [200]

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("goes", [closes, resets, half_closes])
def test_a_release_is_not_sent_on_a_connection_whose_end_is_unread(goes):
    """Its session goes on without the connection, and its release is sent on one that is being read."""

    async def body(harness):
        (host,) = harness.hosts
        one, two = harness.client(), harness.client()
        for n, client in ((1, one), (2, two)):
            client.send(setup(sid(n)))
            assert await client.answers(1) == [200]
        harness.block_reads()
        goes(one, 1)
        await host.say(release(sid(1)))
        assert await two.answers(1) == ["TEARDOWN"]
        harness.unblock_reads()
        two.send(teardown(sid(2)))
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("goes", [closes, resets, half_closes, withdraws])
def test_a_session_established_after_its_client_has_gone_is_ended_at_its_host(goes):
    """The client's end is unread when the host's answer comes: nobody else would ever end that session."""

    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), "paid", patience="2900"))
        await harness.until(lambda: host.setups)
        harness.block_reads()
        goes(client, 1)
        await host.say(answer(sid(1)))
        await harness.until(lambda: host.releases == [sid(1)])
        await harness.until(harness.is_clean)
        harness.unblock_reads()

    run_with_node(body, hosts=1)
