"""Releases that a node owes a host: each reaches it once it takes connections again."""

import pytest
import trio

from tests.control.node.helpers import sid, teardown
from tests.gateway.node.media_hosts import run_with_fleet


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


def test_a_release_for_a_host_that_is_gone_is_not_kept():
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
        assert not any(state.unsent_releases for state in harness.node.core.hosts.values())
        await trio.sleep(10)
        assert host.address not in [address for _, address in harness.network.dials[dials:]]

    run_with_fleet(body, hosts=2)
