"""Notices to viewers on real sockets: one that came back on another connection is told of the end of its session."""

import pytest
import trio

from tests.control.node.helpers import PING, release, setup, sid
from tests.gateway.node.sockets import answer, run_with_node


async def ping(client):
    client.send(PING)
    assert await client.answers(1) == [200]


@pytest.mark.parametrize("leaves", ["close", "reset", "half_close"])
def test_a_viewer_that_came_back_is_told_of_its_session_end(leaves):
    # guards against: a notice that waits for another session although a connection is open and being read
    async def body(harness):
        (host,) = harness.hosts
        first = harness.client()
        first.send(setup(sid(1)))
        assert await first.answers(1) == [200]
        getattr(first, leaves)()
        back = harness.client()
        await ping(back)
        await ping(back)
        await host.say(release(sid(1)))
        assert await back.answers(1, 1.0) == ["TEARDOWN"]
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1)


def test_a_viewer_that_tested_once_is_told_within_the_limit():
    # guards against: a notice kept back from the only connection there is
    async def body(harness):
        (host,) = harness.hosts
        first = harness.client()
        first.send(setup(sid(1)))
        assert await first.answers(1) == [200]
        first.close()
        back = harness.client()
        await ping(back)
        await host.say(release(sid(1)))
        assert await back.answers(1, 1.0) == ["TEARDOWN"]

    run_with_node(body, hosts=1)


def test_clients_that_sent_one_request_get_nothing_while_another_reads():
    # guards against: a notice written to a client that reads nothing any more
    async def body(harness):
        (host,) = harness.hosts
        first = harness.client()
        first.send(setup(sid(1)))
        assert await first.answers(1) == [200]
        once = [harness.client() for _ in range(5)]
        for client in once:
            await ping(client)
        reader = harness.client()
        await ping(reader)
        await ping(reader)
        later = harness.client()
        await ping(later)
        first.close()
        await host.say(release(sid(1)))
        assert await reader.answers(1, 1.0) == ["TEARDOWN"]
        await trio.sleep(1.2)
        for client in (*once, later):
            with pytest.raises(BlockingIOError):
                client.sock.recv(1)

    run_with_node(body, hosts=1)


def test_a_notice_in_the_buffer_of_a_client_that_reads_nothing_reaches_another_one():
    # guards against: a notice lost with the buffer of a connection that breaks
    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: answer(session, 14000)
        stuck = harness.client()
        for n in range(1, 6):
            stuck.send(setup(sid(n)))
            await harness.until(lambda n=n: len(harness.node.core.sessions) == n)
        await harness.until(lambda: any(writer.unsent for writer in harness.node._viewer_writers.values()))
        reader = harness.client()
        await ping(reader)
        await ping(reader)
        await host.say(release(sid(1)))
        await harness.until(lambda: len(harness.node.core.sessions) == 4)
        stuck.reset()
        assert await reader.answers(1, 1.0) == ["TEARDOWN"]

    run_with_node(body, hosts=1, small_buffers=True)


@pytest.mark.parametrize("leaves", ["close", "reset"])
def test_a_notice_that_crosses_the_unread_end_of_its_connection_reaches_another_one(leaves):
    # guards against: a notice written to a connection that was reset with it
    async def body(harness):
        (host,) = harness.hosts
        first, reader = harness.client(), harness.client()
        first.send(setup(sid(1)))
        await harness.until(lambda: harness.node.core.sessions)
        await harness.until(lambda: next(iter(harness.node.core.sessions.values())).established)
        await ping(reader)
        await ping(reader)
        await host.say(release(sid(1)))
        await harness.until(lambda: not harness.node.core.sessions)
        await trio.sleep(0.02)
        getattr(first, leaves)()  # the answer and the notice are unread, so that a close resets the connection, too
        assert await reader.answers(1, 1.0) == ["TEARDOWN"]

    run_with_node(body, hosts=1)


def test_a_connection_with_very_many_notices_stays_open_and_gets_all():
    # guards against: a connection that carries thousands of sessions and is cut by the notices of one host's end
    async def body(harness):
        (host,) = harness.hosts
        front = harness.client()
        for n in range(1, 4001):
            front.send(setup(sid(n), facts="home:0;copies:1;top:1;viewer:00;at:s-0"))
            if n % 50 == 0:
                await harness.until(lambda n=n: len(harness.node.core.sessions) == n)
        await harness.until(lambda: host.streams)
        for n in range(1, 4001):
            await host.say(release(sid(n)))
        await harness.until(lambda: not harness.node.core.sessions)
        assert await front.answers(4000) == ["TEARDOWN"] * 4000 and not front.at_end

    run_with_node(body, hosts=1, small_buffers=True)


def test_a_reset_that_is_found_before_a_further_notice_gives_the_earlier_one_back():
    # guards against: a reset that is read in passing and taken for an orderly close
    async def body(harness):
        (host,) = harness.hosts
        first, reader = harness.client(), harness.client()
        for n in (1, 2):
            first.send(setup(sid(n)))
            assert await first.answers(1) == [200]
        await ping(reader)
        await ping(reader)
        harness.block_reads()
        await host.say(release(sid(1)))
        await harness.until(lambda: len(harness.node.core.sessions) == 1)
        await trio.sleep(0.02)
        first.reset()
        await host.say(release(sid(2)))
        assert await reader.answers(2, 1.0) == ["TEARDOWN"] * 2
        harness.unblock_reads()

    run_with_node(body, hosts=1)


def test_a_notice_whose_write_fails_is_sent_on_another_connection():
    # guards against: a notice lost with a connection that turns out to be broken when it is written
    async def body(harness):
        (host,) = harness.hosts
        first, reader = harness.client(), harness.client()
        first.send(setup(sid(1)))
        assert await first.answers(1) == [200]
        await ping(reader)
        await ping(reader)
        (own,) = [one for one in harness.node.core.viewers if one.established_sessions]

        def fail(data):
            raise BrokenPipeError("the peer is gone")

        harness.node._viewer_writers[own].stream.send_now = fail
        await host.say(release(sid(1)))
        assert await reader.answers(1, 1.0) == ["TEARDOWN"]

    run_with_node(body, hosts=1)
