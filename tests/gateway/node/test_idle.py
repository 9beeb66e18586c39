"""Connections that this side closes, and ones that are slow: a request that crosses a close is served or provably
unread, an answer is never cut off by a reset, and who gives or takes a byte now and then harms nobody else."""

import trio

from copperyard.control.node import bounds
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import MS, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, within

PING = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


def test_the_sweep_of_mute_connections_serves_a_request_that_lies_unread(monkeypatch):
    monkeypatch.setattr(bounds, "FIRST_REQUEST_TIMEOUT", 300 * MS)

    async def body(world):
        one, mute = world.client(), world.client()
        await trio.sleep(0.1)
        world.hold_back()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]  # read at the sweep, by which time it had said nothing for too long
        assert await mute.answers(2) == [408] and mute.at_end
        world.let_go()
        one.send(teardown(sid(1)))
        assert await one.answers(1) == [200] and not one.at_end

    within(body)


def test_the_sweep_of_idle_connections_serves_a_request_that_lies_unread(monkeypatch):
    monkeypatch.setattr(bounds, "VIEWER_IDLE_TIMEOUT", 800 * MS)

    async def body(world):
        one, idle = world.client(), world.client()
        for client in (one, idle):
            client.send(PING)
            assert await client.answers(1) == [200]
        world.hold_back()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        assert await idle.answers(1) == [] and idle.at_end

    within(body)


def test_a_request_that_lies_unread_keeps_the_connection_that_was_to_make_room():
    async def body(world):
        share = bounds.max_viewer_connections(64)
        clients = [world.client() for _ in range(share)]
        await world.until(lambda: len(world.node._viewer_writers) == share)
        world.hold_back(accepts_none=False)
        clients[0].send(setup(sid(1)))  # of all that said nothing it is the oldest
        clients[1].send(PING)
        new = world.client()
        new.send(setup(sid(2)))
        await trio.sleep(0.1)
        world.let_go()
        assert await new.answers(1) == [200]
        assert await clients[0].answers(1) == [200] and await clients[1].answers(1) == [200]
        assert await clients[2].answers(1) == [] and clients[2].at_end
        assert len(world.node._viewer_writers) <= share

    within(body, sockets=64)


def test_an_answer_on_its_way_is_not_cut_off_by_one_that_needs_room():
    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: answer(session, 14000)
        share = bounds.max_viewer_connections(64)
        slow = world.client()
        slow.send(setup(sid(1)))
        await world.until(lambda: any(pipe.unsent for pipe in world.node._viewer_writers.values()))
        slow.send(teardown(sid(1)))  # nothing is open there any more
        await world.until(lambda: not world.node.core.sessions)
        others = [world.client() for _ in range(share - 1)]
        for n, one in enumerate(others):  # all are served and idle, and it is the one that is idle longest
            one.send(setup(sid(2 + n)))
            assert await one.answers(1) == [200]
        new = world.client()
        new.send(PING)
        assert await new.answers(1) == [200]
        assert len(world.node._viewer_writers) <= share
        assert await slow.answers(2) == [200, 200]

    within(body, hosts=1, sockets=64, narrow=True)


def test_more_connections_at_once_than_there_is_room_for_take_each_others_place():
    """All are accepted in one turn; the last ones are served, and the bound of descriptors holds at every moment."""

    async def body(world):
        most = 0
        accepted = world.node._add_viewer

        def counted(stream):
            nonlocal most
            accepted(stream)
            most = max(most, len(world.node._viewer_writers))

        world.node._add_viewer = counted
        world.hold_back()
        mute = [world.client() for _ in range(150)]
        last = world.client()
        last.send(setup(sid(1)))
        world.let_go()
        assert await last.answers(1) == [200]
        assert most <= bounds.max_viewer_connections(64) and mute

    within(body, sockets=64)


def test_good_requests_behind_a_bad_one_get_their_answers():
    async def body(world):
        one = world.client()
        one.send(setup(sid(1), cls="nobody") + setup(sid(2)) + setup(sid(3), patience="soon") + setup(sid(4)))
        assert sorted(await one.answers(4)) == [200, 200, 400, 400]

    within(body)


def test_a_release_that_crosses_the_end_of_a_parting_connection_reaches_its_client():
    async def body(world):
        (host,) = world.hosts
        one, two = world.client(), world.client()
        one.send(setup(sid(1)))
        two.send(setup(sid(2)))
        assert await one.answers(1) == [200] and await two.answers(1) == [200]
        core = world.node.core
        (link,) = next(iter(core.hosts.values())).links
        core._half_close(link)
        world.node.perform_actions()  # our end has left; the host does not know of it yet, and speaks
        await host.say(release(sid(1)) + release(sid(2), Cause.RESET))
        assert await one.answers(1) == ["TEARDOWN"] and await two.answers(1) == ["TEARDOWN"]
        await world.until(world.is_clean)

    within(body, hosts=1)


def test_a_client_that_gives_a_byte_now_and_then_is_ended_and_harms_nobody(monkeypatch):
    monkeypatch.setattr(bounds, "FIRST_REQUEST_TIMEOUT", 400 * MS)

    async def body(world):
        slow = [world.client() for _ in range(20)]
        good = world.client()
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
        assert len(world.node._viewer_writers) <= 1 + 20  # those that were ended are heard out for a while, and no more
        for one in slow:
            assert await one.answers(2) == [408] and one.at_end

    within(body)


def test_a_host_that_gives_a_byte_now_and_then_does_not_hold_a_connection():
    """A message is to be whole a connect's time after it began, however often a byte of it comes."""

    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: None
        one = world.client()
        one.send(setup(sid(1), "paid", patience="2900"))
        await world.until(lambda: host.setups)
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

    within(body, hosts=1)
