"""Sessions handed over with `at` whose end the media host has told already: their viewers are told of it."""

import time

import pytest
import trio

from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import release, setup, sid, teardown
from tests.gateway.node.media_hosts import run_with_fleet
from tests.gateway.node.sockets import run_with_node, run_with_process

SESSIONS = 6


def hand_over(n, name="s-0"):
    return setup(sid(n), facts=f"home:0;copies:1;top:1;viewer:00;at:{name}")


async def hand_over_some(harness, ended, interval, own_connections, cause):
    """Hand over SESSIONS sessions; the host repeats the release of `ended` as the first one makes the node connect.
    Returns the connection of the ended one and when it was handed over."""
    (host,) = harness.hosts
    client, found = harness.client(), None
    for n in range(SESSIONS):
        client = harness.client() if own_connections else client
        client.send(hand_over(n))
        if n == ended:
            found = client, time.monotonic()
        if n == 0:
            with trio.fail_after(2):
                while not host.streams:  # noqa: ASYNC110
                    await trio.sleep(0.002)
            await host.say(release(sid(ended), cause))
        await trio.sleep(interval)
    return found


@pytest.mark.parametrize("own_connections", [False, True])
@pytest.mark.parametrize("ended", [1, SESSIONS // 2, SESSIONS - 1])
@pytest.mark.parametrize(("interval", "cause"), [(0.01, Cause.NORMAL), (0.1, Cause.RESET), (0.5, Cause.NORMAL)])
def test_a_session_that_is_handed_over_after_its_release_is_told_over(interval, cause, ended, own_connections):
    # guards against: a release that is dropped, as it comes before anybody has named its session (review/6)
    async def body(harness):
        client, handed_over_at = await hand_over_some(harness, ended, interval, own_connections, cause)
        remaining = max(0.05, 1.05 - (time.monotonic() - handed_over_at))
        assert await client.answers(1, remaining) == ["TEARDOWN"]
        core = harness.node.core
        await harness.until(lambda: len(core.sessions) == SESSIONS - 1)
        assert bytes.fromhex(sid(ended)) not in core.sessions_by_id

    run_with_node(body, hosts=1)


def test_a_session_that_ended_while_a_killed_gateway_started_again_is_told_over(tmp_path):
    # guards against: the same, at a gateway that was killed
    async def body(program):
        await hand_over_some_again(program)
        program.process.kill()
        program.process.wait()
        program.restart()
        for host in program.harness.hosts:
            host.streams.clear()
        await program.wait_until_started()
        await hand_over_some_again(program, ended=2)

    async def hand_over_some_again(program, ended=None):
        (host,) = program.harness.hosts
        client = program.client()
        for n in range(4):
            client.send(hand_over(n))
            await trio.sleep(0.05)
            if n == 0 and ended is not None:
                await host.say(release(sid(ended)))
                await trio.sleep(0.05)
        if ended is not None:
            assert await client.answers(1, 1.0) == ["TEARDOWN"]

    run_with_process(tmp_path, body)


def test_a_session_that_its_viewer_has_ended_is_not_held_when_it_is_handed_over_late():
    # guards against: a session that is held, with its seat, though this gateway itself has released it at its host
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        viewer.send(teardown(sid(0)))
        assert await viewer.next() == 200
        await trio.sleep(0.2)
        viewer.send(hand_over(0))
        await trio.sleep(0.2)
        assert bytes.fromhex(sid(0)) not in harness.node.core.sessions_by_id
        assert harness.hosts[0].standing == set()

    run_with_fleet(body, hosts=2)


def test_a_session_that_plays_at_another_host_than_the_one_that_released_it_goes_on():
    # guards against: an end that is told because another host released an attempt under the same id
    async def body(harness):
        viewer = await harness.viewer()
        await harness.hand_over(viewer)
        harness.hosts[1].streams[0].send_now(release(sid(7)))
        await trio.sleep(0.1)
        harness.hosts[0].standing.add(sid(7))
        viewer.send(hand_over(7))
        assert await harness.told(viewer, 3) == {}
        assert bytes.fromhex(sid(7)) in harness.node.core.sessions_by_id

    run_with_fleet(body, hosts=2)


@pytest.mark.parametrize("end", ["die", "vanish"])
def test_a_session_whose_host_was_lost_before_it_is_handed_over_is_told_over(end):
    # guards against: a session that is believed to play at a host that cannot be reached any more
    async def body(harness):
        viewer = await harness.viewer()
        getattr(harness.hosts[0], end)()
        await trio.sleep(1)
        viewer.send(hand_over(0))
        assert list(await harness.told(viewer, 8.05)) == [sid(0)]

    run_with_fleet(body, hosts=2)
