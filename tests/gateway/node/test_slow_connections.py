"""Connections that the node closes, and slow ones: a request that crosses a close is served or certainly unread, an
answer is never truncated by a reset, and slow peers do not harm others."""

import trio

from copperyard.control.node import bounds
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import MS, PING, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, run_with_node


def test_the_sweep_of_connections_without_a_request_serves_an_unread_request(monkeypatch):
    monkeypatch.setattr(bounds, "FIRST_REQUEST_TIMEOUT", 300 * MS)

    async def body(harness):
        one, mute = harness.client(), harness.client()
        await trio.sleep(0.1)
        harness.block_reads()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]  # read at the sweep, when the time for its first request was over
        assert await mute.answers(2) == [408] and mute.at_end
        harness.unblock_reads()
        one.send(teardown(sid(1)))
        assert await one.answers(1) == [200] and not one.at_end

    run_with_node(body)


def test_the_sweep_of_idle_connections_serves_an_unread_request(monkeypatch):
    monkeypatch.setattr(bounds, "VIEWER_IDLE_TIMEOUT", 800 * MS)

    async def body(harness):
        one, idle = harness.client(), harness.client()
        for client in (one, idle):
            client.send(PING)
            assert await client.answers(1) == [200]
        harness.block_reads()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        assert await idle.answers(1) == [] and idle.at_end

    run_with_node(body)


def test_a_connection_with_an_unread_request_is_not_evicted():
    async def body(harness):
        share = bounds.max_viewer_connections(64)
        clients = [harness.client() for _ in range(share)]
        await harness.until(lambda: len(harness.node._viewer_writers) == share)
        harness.block_reads(accepts_none=False)
        clients[0].send(setup(sid(1)))  # the oldest of all without a request
        clients[1].send(PING)
        new = harness.client()
        new.send(setup(sid(2)))
        await trio.sleep(0.1)
        harness.unblock_reads()
        assert await new.answers(1) == [200]
        assert await clients[0].answers(1) == [200] and await clients[1].answers(1) == [200]
        assert await clients[2].answers(1) == [] and clients[2].at_end
        assert len(harness.node._viewer_writers) <= share

    run_with_node(body, sockets=64)


def test_a_connection_with_an_unsent_answer_is_not_evicted():
    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: answer(session, 14000)
        share = bounds.max_viewer_connections(64)
        slow = harness.client()
        slow.send(setup(sid(1)))
        await harness.until(lambda: any(writer.unsent for writer in harness.node._viewer_writers.values()))
        slow.send(teardown(sid(1)))  # it has no open set-ups any more
        await harness.until(lambda: not harness.node.core.sessions)
        others = [harness.client() for _ in range(share - 1)]
        for n, one in enumerate(others):  # all are served and idle; the slow one has been idle longest
            one.send(setup(sid(2 + n)))
            assert await one.answers(1) == [200]
        new = harness.client()
        new.send(PING)
        assert await new.answers(1) == [200]
        assert len(harness.node._viewer_writers) <= share
        assert await slow.answers(2) == [200, 200]

    run_with_node(body, hosts=1, sockets=64, small_buffers=True)


def test_connections_over_the_limit_replace_earlier_ones():
    """All are accepted in one turn; the last one is served, and the limit of connections holds at every moment."""

    async def body(harness):
        most = 0
        accepted = harness.node._add_viewer

        def counted(stream):
            nonlocal most
            accepted(stream)
            most = max(most, len(harness.node._viewer_writers))

        harness.node._add_viewer = counted
        harness.block_reads()
        mute = [harness.client() for _ in range(150)]
        last = harness.client()
        last.send(setup(sid(1)))
        harness.unblock_reads()
        assert await last.answers(1) == [200]
        assert most <= bounds.max_viewer_connections(64) and mute

    run_with_node(body, sockets=64)


def test_valid_requests_after_an_invalid_one_are_answered():
    async def body(harness):
        one = harness.client()
        one.send(setup(sid(1), cls="nobody") + setup(sid(2)) + setup(sid(3), patience="soon") + setup(sid(4)))
        assert sorted(await one.answers(4)) == [200, 200, 400, 400]

    run_with_node(body)


def test_a_release_that_crosses_a_half_close_reaches_its_client():
    async def body(harness):
        (host,) = harness.hosts
        one, two = harness.client(), harness.client()
        one.send(setup(sid(1)))
        two.send(setup(sid(2)))
        assert await one.answers(1) == [200] and await two.answers(1) == [200]
        core = harness.node.core
        (link,) = next(iter(core.hosts.values())).links
        core._half_close(link)
        harness.node.perform_actions()  # our half-close is sent; the host has not seen it yet and sends
        await host.say(release(sid(1)) + release(sid(2), Cause.RESET))
        assert await one.answers(1) == ["TEARDOWN"] and await two.answers(1) == ["TEARDOWN"]
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1)


def test_a_client_that_trickles_bytes_is_closed_and_does_not_delay_others(monkeypatch):
    monkeypatch.setattr(bounds, "FIRST_REQUEST_TIMEOUT", 400 * MS)

    async def body(harness):
        slow = [harness.client() for _ in range(20)]
        good = harness.client()
        request = setup(sid(99))
        for n in range(25):
            for one in slow:
                try:
                    one.sock.send(request[n : n + 1])
                except OSError:
                    pass
            if n % 5 == 0:
                good.send(setup(sid(1 + n)))
                assert await good.answers(1, 1) == [200]
            await trio.sleep(0.05)
        await trio.sleep(0.5)
        # closed clients are still read for a while, but none are added
        assert len(harness.node._viewer_writers) <= 1 + 20
        for one in slow:
            assert await one.answers(2) == [408] and one.at_end

    run_with_node(body)


def test_a_host_that_trickles_bytes_does_not_hold_a_connection():
    """A message must be complete within the connect timeout after its first byte."""

    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: None
        one = harness.client()
        one.send(setup(sid(1), "paid", patience="2900"))
        await harness.until(lambda: host.setups)
        began = trio.current_time()
        slow = answer(sid(1), 3000)
        with trio.move_on_after(0.8):
            for n in range(len(slow)):
                try:
                    await host.say(slow[n : n + 1])
                except trio.BrokenResourceError:
                    break
                await trio.sleep(0.05)
        assert await one.answers(1) == [500]  # it may have run there
        assert trio.current_time() - began < 1

    run_with_node(body, hosts=1)
