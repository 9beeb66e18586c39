"""The end of a session is told in time, and once, if its viewer's connection has gone and no other one is known to be
read: each way that a connection goes with each way that a session ends, on real sockets (review/7).
"""

import signal
import time
from functools import partial
from itertools import product

import pytest
import trio

from copperyard.gateway.net import now
from copperyard.interface import Move
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import PING, answer, release, setup, sid
from tests.gateway.node.sockets import run_side_by_side, run_with_node, run_with_process
from tests.gateway.node.viewers import LOSS_LIMIT_S, RELEASE_LIMIT_S, ReadingViewer, assert_told_once

HAND_OVER = "home:0;copies:1;top:1;viewer:00;at:s-0"
FIRST_OTHER = 100  # sessions of the other viewers have numbers from here on


async def released(harness, sessions):
    for session in sessions:
        await harness.hosts[0].say(release(session))
    return RELEASE_LIMIT_S


async def cut(harness, sessions):
    for session in sessions:
        await harness.hosts[0].say(release(session, Cause.RESET))
    return RELEASE_LIMIT_S


async def moved(harness, sessions):
    core = harness.node.core
    for session in sessions:
        core._move(now(), Move(core.sessions_by_id[bytes.fromhex(session)].ref))
    harness.node.perform_actions()
    return RELEASE_LIMIT_S


async def dies(harness, sessions):
    harness.hosts[0].refuse()
    harness.hosts[0].reset_all()
    return LOSS_LIMIT_S


async def falls_silent(harness, sessions):
    harness.hosts[0].reads, harness.hosts[0].setup_reply = trio.Event(), lambda session: None
    harness.network.dials = trio.Event()
    return LOSS_LIMIT_S


ENDS = [released, cut, moved, dies, falls_silent]
LEAVES = ["reset", "close", "half_close"]


async def begin(harness, count, by_hand_over):
    """Viewers with a session each, on connections of their own."""
    host, sessions = harness.hosts[0], [sid(n) for n in range(1, count + 1)]
    viewers = [ReadingViewer(harness) for _ in sessions]
    for viewer, session in zip(viewers, sessions, strict=True):
        if by_hand_over:
            viewer.ask(session, facts=HAND_OVER)
        else:
            viewer.ask(session, patience="2000")
    core = harness.node.core
    await harness.until(lambda: sum(one.established for one in core.sessions.values()) == count)
    await harness.until(lambda: host.streams)
    host.setup_reply = lambda session: release(session, Cause.FULL)
    return viewers, sessions


def newcomers(harness, count, first=FIRST_OTHER, **named):
    """Further viewers, each of which sends one set-up on a connection of its own, and is refused."""
    viewers = [ReadingViewer(harness, **named) for _ in range(count)]
    for n, viewer in enumerate(viewers):
        viewer.ask(sid(first + n))
    return viewers


async def leave(harness, viewers, way):
    for viewer in viewers:
        viewer.leave(way)
    await harness.until(lambda: not harness.node.core.viewers)


@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("ends", ENDS)
def test_an_end_is_told_on_connections_that_have_asked_once(ends, count):
    # guards against: the end of a session told on none of the open connections, as the front has tested none of them
    async def body(way, by_hand_over, harness):
        viewers, sessions = await begin(harness, count, by_hand_over)
        await leave(harness, viewers, way)
        others = newcomers(harness, 5)
        await trio.sleep(0.9)
        since, limit = time.monotonic(), await ends(harness, sessions)
        await assert_told_once(others, sessions, since, limit)

    run_side_by_side([partial(body, *one) for one in product(LEAVES, [False, True])], hosts=1)


@pytest.mark.parametrize("ends", [released, cut, moved])
@pytest.mark.parametrize("comes_after", [0.3, 2.0])
def test_an_end_is_told_on_connections_that_are_newer_than_it(ends, comes_after):
    # guards against: an end that stays untold, as nobody was there when it was due, or the newcomer has asked once only
    async def body(way, count, by_hand_over, harness):
        viewers, sessions = await begin(harness, count, by_hand_over)
        await leave(harness, viewers, way)
        since, limit = time.monotonic(), await ends(harness, sessions)
        await trio.sleep(comes_after)
        since = max(since, time.monotonic() - 1)
        others = newcomers(harness, 3)
        await assert_told_once(others, sessions, since, limit)

    some = [(1, False), (20, False), (5, True)]
    run_side_by_side([partial(body, way, *sessions) for way, sessions in product(LEAVES, some)], hosts=1)


@pytest.mark.parametrize("by_hand_over", [False, True])
@pytest.mark.parametrize("ends", [dies, falls_silent])
def test_the_loss_of_a_host_is_told_on_connections_that_are_newer_than_it(ends, by_hand_over):
    # guards against: the same, where no release could be sent
    async def body(harness):
        viewers, sessions = await begin(harness, 5, by_hand_over)
        await leave(harness, viewers, "reset")
        since, limit = time.monotonic(), await ends(harness, sessions)
        await trio.sleep(6.0)
        await assert_told_once(newcomers(harness, 3), sessions, since, limit)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("ends", [released, cut, moved])
@pytest.mark.parametrize("acknowledges", [True, False])
def test_an_end_is_told_once_on_connections_that_are_tested_and_closed(ends, acknowledges):
    # guards against: each test of the front told of the same end, as it closes its connection after the answer
    async def body(harness):
        viewers, sessions = await begin(harness, 3, False)
        await leave(harness, viewers, "reset")
        await ends(harness, sessions)
        await trio.sleep(1.0)
        since, tests = time.monotonic(), []
        for _ in range(4):
            tests.append(ReadingViewer(harness, acknowledges))
            tests[-1].client.send(PING)
            await trio.sleep(0.02)
            tests[-1].leave("close")
            await trio.sleep(0.3)
        await assert_told_once(tests, sessions, since, 0.1, later=0.1)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("ways", [("reset", "reset"), ("close", "reset"), ("reset", "close", "reset")])
def test_an_end_that_was_told_to_connections_which_were_reset_unread_is_told_again(ways):
    # guards against: an end lost with one of the connections that it was written to
    async def body(harness):
        viewers, sessions = await begin(harness, 1, False)
        await leave(harness, viewers, "reset")
        await released(harness, sessions)
        for n, way in enumerate(ways):
            client = harness.client()
            client.send(setup(sid(FIRST_OTHER + n), patience="700"))
            await trio.sleep(0.8)
            getattr(client, way)()  # it has read nothing, so that a close resets the connection, too
            await trio.sleep(0.1)
        since, others = time.monotonic(), newcomers(harness, 1, FIRST_OTHER + 50)
        await assert_told_once(others, sessions, since, RELEASE_LIMIT_S)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("comes_after", [None, 0.3, 2.0])
def test_an_end_is_told_beside_a_client_that_reads_nothing(comes_after):
    # guards against: an end written to a client that reads nothing, and told nobody else
    async def body(harness):
        viewers, sessions = await begin(harness, 3, False)
        await leave(harness, viewers, "reset")
        others = newcomers(harness, 1) if comes_after is None else []
        await trio.sleep(0.1)
        mute = harness.client()
        mute.send(setup(sid(FIRST_OTHER + 20), patience="700"))
        await trio.sleep(0.8)
        since = time.monotonic()
        await released(harness, sessions)
        if comes_after is not None:
            await trio.sleep(comes_after)
            since = max(since, time.monotonic() - 0.7)
            others = newcomers(harness, 1)
        await assert_told_once(others, sessions, since, RELEASE_LIMIT_S)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("resumes", [False, True])
def test_an_end_is_told_elsewhere_if_its_own_client_reads_nothing(resumes):
    # guards against: an end that waits behind data which its client does not read, until the connection is closed
    async def body(harness):
        host = harness.hosts[0]
        host.setup_reply = lambda session: answer(session, 14000)
        stuck, sessions = harness.client(), [sid(n) for n in range(1, 6)]
        for n, session in enumerate(sessions, 1):
            stuck.send(setup(session))
            await harness.until(lambda n=n: len(harness.node.core.sessions) == n)
        await harness.until(lambda: any(one.unsent for one in harness.node._viewer_writers.values()))
        host.setup_reply = lambda session: release(session, Cause.FULL)
        others = newcomers(harness, 2)
        await trio.sleep(0.9)
        since = time.monotonic()
        await released(harness, sessions)
        await assert_told_once(others, sessions, since, RELEASE_LIMIT_S, later=0.1)
        if resumes:
            everybody = [*others, ReadingViewer(harness, client=stuck)]
            await assert_told_once(everybody, sessions, since, RELEASE_LIMIT_S)

    run_with_node(body, hosts=1, small_buffers=True)


def test_clients_that_read_nothing_make_nothing_grow():
    # guards against: memory that grows with ends which nobody reads
    async def body(harness):
        viewers, sessions = await begin(harness, 20, True)
        silent = [harness.client() for _ in range(10)]
        for n, client in enumerate(silent):
            client.send(setup(sid(FIRST_OTHER + n), patience="700"))
        await harness.until(lambda: len(harness.node.core.viewers) == len(viewers) + len(silent))
        await leave_some(harness, viewers)
        await trio.sleep(0.9)
        await released(harness, sessions)
        await trio.sleep(2.5)
        core = harness.node.core
        written = sum(len(viewer.unconfirmed) for viewer in core.viewers)
        assert written == 2 * len(sessions), "each is written to two connections at most"
        assert len(core.notices.waiting) <= len(sessions)
        assert not any(viewer.notices for viewer in core.viewers)

    run_with_node(body, hosts=1)


async def leave_some(harness, viewers):
    remaining = len(harness.node.core.viewers) - len(viewers)
    for viewer in viewers:
        viewer.leave("reset")
    await harness.until(lambda: len(harness.node.core.viewers) <= remaining)


@pytest.mark.parametrize("way", LEAVES)
@pytest.mark.parametrize(("ends_at", "comes_at"), [(0.1, -0.3), (0.3, -0.3), (0.1, 0.3), (0.3, 0.6)])
def test_an_end_is_told_while_the_gateway_shuts_down(tmp_path, way, ends_at, comes_at):
    # guards against: a process that ends, its end untold, though a viewer's connection is open or comes in time
    async def body(program):
        host, viewer, other = program.harness.hosts[0], ReadingViewer(program), None
        viewer.ask(sid(1), patience="2000")
        await program.harness.until(lambda: viewer.statuses == [200])
        host.setup_reply = lambda session: release(session, Cause.FULL)
        viewer.leave(way)
        start = time.monotonic() + 0.4
        steps = [
            (0.0, lambda: program.signal(signal.SIGTERM)),
            (ends_at, lambda: host.say(release(sid(1)))),
            (comes_at, lambda: newcomers(program, 1)),
        ]
        for at, step in sorted(steps, key=lambda one: one[0]):
            await trio.sleep(max(0, start + at - time.monotonic()))
            found = step()
            if isinstance(found, list):
                (other,) = found
            elif found is not None:
                await found
        since = start + ends_at
        assert (await program.exit(5))[0] == 0
        await assert_told_once([other], [sid(1)], since, RELEASE_LIMIT_S, later=0.1)

    run_with_process(tmp_path, body)
