"""Further attempts on real sockets, one case for each way in which an attempt may end: what the hosts were sent is the
proof. A paid set-up that may have run is never sent again, a free one is, and never are two out at once."""

import pytest
import trio

from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, release, setup, sid, teardown
from tests.gateway.node.sockets import answer, within


def says(*causes):
    return lambda session: b"".join(release(session, cause) for cause in causes)


# what the first host that is asked does, and whether it proves that nothing ran there
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


class Ledger:
    """What all hosts were sent and said, in order."""

    def __init__(self, world, first):
        self.rows, self.first, self.asked = [], first, False
        for host in world.hosts:
            host.says = lambda session, host=host: self.setup(host, session)

    def setup(self, host, session):
        back = answer(session)
        if not self.asked and session == sid(1):
            self.asked = True
            back = self.first(session)
        self.rows.append((host.name, session, back is not None))
        return back


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("end", ENDS)
def test_each_end_of_an_attempt(end, cls):
    first, proves = ENDS[end]

    async def body(world):
        ledger = Ledger(world, first)
        client = world.client()
        client.send(setup(sid(1), cls, patience="2900"))
        (status,) = await client.answers(1)
        await trio.sleep(0.3)
        names = [name for name, session, _ in ledger.rows if session == sid(1)]
        if cls == "paid" and not proves:
            assert status == 500 and len(names) == 1
        else:
            assert status == 200 and len(names) == 2
        if not ledger.rows[0][2]:  # silent: it is told that the set-up is given up before another host hears of it
            assert sid(1) in next(host for host in world.hosts if host.name == names[0]).releases
        assert not client.heard  # nothing is said twice
        if status == 200:
            client.send(teardown(sid(1)))
            await world.until(world.is_clean)

    within(body, hosts=3, contract={"drainGrace": SECOND // 4})


def test_a_second_answer_and_one_under_an_unknown_id_change_nothing():
    async def body(world):
        for host in world.hosts:
            host.says = lambda session: answer("00000000000000ff") + answer(session) * 3
        client = world.client()
        client.send(setup(sid(1), "paid"))
        assert await client.answers(1) == [200]
        await trio.sleep(0.2)
        assert not client.heard and world.setups == [sid(1)]
        assert [one for host in world.hosts for one in host.releases] == []

    within(body)


def test_an_answer_that_crosses_the_give_up_does_not_leave_a_session_behind():
    """The host's answer lies unread when its client withdraws: the client is owed nothing, the host is told."""

    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: None
        client = world.client()
        client.send(setup(sid(1), "paid"))
        await world.until(lambda: world.setups)
        client.send(teardown(sid(1)))
        await host.say(answer(sid(1)))
        assert await client.answers(1) in ([200], [503])
        await world.until(lambda: sid(1) in host.releases)
        await world.until(world.is_clean)

    within(body, hosts=1)


@pytest.mark.parametrize(
    "free, share, taken, further", [(0, 0.0, 1, 0), (1, 0.0, 3, 1), (3, 0.0, 8, 3), (1, 0.5, 8, 5)]
)
def test_the_last_permitted_one_and_one_more(free, share, taken, further):
    """All requests of one window meet hosts that are in error: of the further attempts as many leave as the budget has,
    and the same again once the oldest has left the window, also across a new configuration."""

    async def body(world):
        for host in world.hosts:
            host.says = lambda session: release(session, Cause.ERROR)
        module = world.node.core.controller
        for window in range(2):
            before, began = len(world.setups), trio.current_time()
            for n in range(taken):
                client = world.client()
                client.send(setup(sid(1 + n + 100 * window), patience="300"))
                await client.answers(1)
                for server in module.servers.values():  # its trust is another matter
                    server.bad = 0.0
            left = len(world.setups) - before - taken
            assert left == further, (window, left)
            world.node.name_service.set_address(
                world.node.name_service.address
            )  # SIGHUP with the same place: nothing begins anew
            await trio.sleep_until(began + 3.1)

    within(body, hosts=3, contract={"freeResends": free, "furtherRatio": share, "ratioSpan": 3 * SECOND})


@pytest.mark.parametrize("cls", ["preview", "paid"])
def test_the_client_repeats_its_request(cls):
    """Under a new id while the first is out, as its answer is being written, and after; and under the same id on the
    same connection, whose answers could not be told apart."""

    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: None
        client = world.client()
        client.send(setup(sid(1), cls) + setup(sid(2), cls))
        await world.until(lambda: len(host.setups) == 2)
        await host.say(answer(sid(1)))
        client.send(setup(sid(3), cls))  # as the answer is under way
        assert await client.answers(1) == [200]
        client.send(setup(sid(4), cls))
        await world.until(lambda: len(host.setups) == 4)
        assert host.setups == [sid(1), sid(2), sid(3), sid(4)]
        client.send(setup(sid(4), cls))  # once more, and it is out
        assert sorted(await client.answers(2)) == [400, 500]
        await world.until(lambda: sid(4) in host.releases)
        await host.say(answer(sid(2)) + answer(sid(3)) + answer(sid(4)))
        assert await client.answers(2) == [200, 200]
        await trio.sleep(0.1)
        assert not client.heard and host.setups.count(sid(4)) == 1
        client.send(setup(sid(2), cls))  # it stands: no second one
        assert await client.answers(1) == [400]
        assert host.setups.count(sid(2)) == 1

    within(body, hosts=1)
