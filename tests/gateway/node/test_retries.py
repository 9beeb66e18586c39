"""Further attempts on real sockets, for each way in which an attempt may end, checked by what the hosts were sent. A
paid set-up that may have run is never repeated, a free one is, and never are two attempts in flight at once."""

import pytest
import trio

from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, run_with_node


def says(*causes):
    return lambda session: b"".join(release(session, cause) for cause in causes)


# what the first host does, and whether that proves that the set-up did not run there
ENDS = {
    "full": (says(Cause.FULL), True),
    "moot": (says(Cause.MOOT), True),
    "error": (says(Cause.ERROR), False),
    "reset on its way": (says(Cause.RESET), False),
    "another cause": (says(99), False),
    "noise": (lambda session: b"\xff\xff\xff noise", False),
    "a huge length": (lambda session: b"\xc0\x00\x09" + bytes(40), False),
    "breaks off and closes": (lambda session: answer(session)[:20] + b"!close", False),
    "breaks off in silence": (lambda session: answer(session)[:20], False),
    "closes": (lambda session: b"!close", False),
    "resets": (lambda session: b"!reset", False),
    "silence": (lambda session: None, False),
}


class HostLog:
    """The set-ups that all hosts were sent, in order, and whether they replied."""

    def __init__(self, harness, first):
        self.rows, self.first, self.asked = [], first, False
        for host in harness.hosts:
            host.setup_reply = lambda session, host=host: self.setup(host, session)

    def setup(self, host, session):
        back = answer(session)
        if not self.asked and session == sid(1):
            self.asked = True
            back = self.first(session)
        self.rows.append((host.name, session, back is not None))
        return back


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("end", ENDS)
def test_each_way_an_attempt_may_end(end, cls):
    first, proves = ENDS[end]

    async def body(harness):
        host_log = HostLog(harness, first)
        client = harness.client()
        client.send(setup(sid(1), cls, patience="2900"))
        (status,) = await client.answers(1)
        await trio.sleep(0.3)
        names = [name for name, session, _ in host_log.rows if session == sid(1)]
        if cls == "paid" and not proves:
            assert status == 500 and len(names) == 1
        else:
            assert status == 200 and len(names) == 2
        if not host_log.rows[0][2]:  # silent: it gets a release before another host gets the set-up
            assert sid(1) in next(host for host in harness.hosts if host.name == names[0]).releases
        assert not client.heard  # no second answer
        if status == 200:
            client.send(teardown(sid(1)))
            await harness.until(harness.is_clean)

    run_with_node(body, hosts=3, contract={"drainGrace": SECOND // 4})


def test_duplicate_answers_and_answers_with_an_unknown_id_are_ignored():
    async def body(harness):
        for host in harness.hosts:
            host.setup_reply = lambda session: answer("00000000000000ff") + answer(session) * 3
        client = harness.client()
        client.send(setup(sid(1), "paid"))
        assert await client.answers(1) == [200]
        await trio.sleep(0.2)
        assert not client.heard and harness.setups == [sid(1)]
        assert [one for host in harness.hosts for one in host.releases] == []

    run_with_node(body)


def test_an_answer_that_crosses_the_withdrawal_leaves_no_session_behind():
    """The host's answer is unread when its client withdraws: the host gets a release."""

    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), "paid"))
        await harness.until(lambda: harness.setups)
        client.send(teardown(sid(1)))
        await host.say(answer(sid(1)))
        assert await client.answers(1) in ([200], [503])
        await harness.until(lambda: sid(1) in host.releases)
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize(
    "free, share, taken, further", [(0, 0.0, 1, 0), (1, 0.0, 3, 1), (3, 0.0, 8, 3), (1, 0.5, 8, 5)]
)
def test_the_retry_budget_permits_exactly_its_number_of_attempts(free, share, taken, further):
    """All requests of one window get errors from the hosts: as many further attempts are sent as the budget permits,
    and the same number again in the next window, also across a reload."""

    async def body(harness):
        for host in harness.hosts:
            host.setup_reply = lambda session: release(session, Cause.ERROR)
        controller = harness.node.core.controller
        for window in range(2):
            before, began = len(harness.setups), trio.current_time()
            for n in range(taken):
                client = harness.client()
                client.send(setup(sid(1 + n + 100 * window), patience="300"))
                await client.answers(1)
                for server in controller.servers.values():  # trust in the host is not tested here
                    server.failure_rate = 0.0
            left = len(harness.setups) - before - taken
            assert left == further, (window, left)
            # SIGHUP with the same configuration resets nothing
            harness.node.name_service.set_address(harness.node.name_service.address)
            await trio.sleep_until(began + 3.1)

    run_with_node(body, hosts=3, contract={"freeResends": free, "furtherRatio": share, "ratioSpan": 3 * SECOND})


@pytest.mark.parametrize("cls", ["preview", "paid"])
def test_a_client_that_repeats_its_request(cls):
    """With a new id while the first is in flight, while its answer is being written, and after; and with the same id on
    the same connection, where the answers could not be told apart."""

    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), cls) + setup(sid(2), cls))
        await harness.until(lambda: len(host.setups) == 2)
        await host.say(answer(sid(1)))
        client.send(setup(sid(3), cls))  # while the answer is on its way
        assert await client.answers(1) == [200]
        client.send(setup(sid(4), cls))
        await harness.until(lambda: len(host.setups) == 4)
        assert host.setups == [sid(1), sid(2), sid(3), sid(4)]
        client.send(setup(sid(4), cls))  # again, while it is in flight
        assert sorted(await client.answers(2)) == [400, 500]
        await harness.until(lambda: sid(4) in host.releases)
        await host.say(answer(sid(2)) + answer(sid(3)) + answer(sid(4)))
        assert await client.answers(2) == [200, 200]
        await trio.sleep(0.1)
        assert not client.heard and host.setups.count(sid(4)) == 1
        client.send(setup(sid(2), cls))  # it is established: no second one
        assert await client.answers(1) == [400]
        assert host.setups.count(sid(2)) == 1

    run_with_node(body, hosts=1)
