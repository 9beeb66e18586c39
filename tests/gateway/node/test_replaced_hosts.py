"""Another host's process comes up at the address of one that has gone: neither is taken for the other."""

import pytest
import trio

from copperyard.gateway.net import now
from tests.control.node.helpers import host as listed
from tests.control.node.helpers import setup, sid, teardown
from tests.gateway.node.sockets import Host, run_with_node


class Replacement(Host):
    """A host with another name at the address of one that has gone."""

    def __init__(self, name, gone):
        super().__init__(name, False)
        self.listener.close()
        self.port, self.reserved, gone.reserved = gone.port, gone.reserved, None
        self.accept_again()


def tell(harness, serial, host):
    """The name service lists one host."""
    core = harness.node.core
    core.list_received(now(), serial, (listed(0, name=host.name, address=f"127.0.0.1:{host.port}"),))
    harness.node.perform_actions()


async def told_over(client, most):
    while (got := await client.answers(1, most)) != ["TEARDOWN"]:
        assert got == [200]


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("told", ["before", "after"])
def test_a_process_at_the_address_of_a_gone_host_is_not_taken_for_it(told, cls):
    # guards against: sessions believed to play at, and work meant for, the process that took the address (52, d)
    async def body(harness):
        (gone,) = harness.hosts
        viewers = [harness.client() for _ in range(2)]
        for n, viewer in enumerate(viewers):
            viewer.send(setup(sid(n), cls))
            assert await viewer.answers(1) == [200]
        gone.refuse()
        replacement = Replacement("s-9", gone)
        harness.nursery.start_soon(replacement.run, harness.nursery)
        if told == "before":
            tell(harness, 2, replacement)
        gone.reset_all()
        await trio.sleep(1.2)  # a list comes up to 1.5 s late
        if told == "after":
            tell(harness, 2, replacement)
        for viewer in viewers:
            await told_over(viewer, 7)
        client = harness.client()
        client.send(setup(sid(5), cls))
        assert await client.answers(1) == [200] and replacement.setups == [sid(5)]
        client.send(teardown(sid(5)))
        assert await client.answers(1) == [200]
        await harness.until(lambda: sid(5) in replacement.releases)
        assert replacement.releases == [sid(5)], "a release that was meant for the host before it"
        assert gone.setups == [sid(0), sid(1)]
        await harness.until(harness.is_clean)

    run_with_node(body, hosts=1)


@pytest.mark.parametrize("cls", ["preview", "paid"])
def test_a_set_up_out_at_a_gone_host_does_not_run_at_its_replacement_as_well(cls):
    # guards against: a paid set-up that runs at both, and two attempts out at once (52, d)
    async def body(harness):
        (gone,) = harness.hosts
        gone.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), cls))
        await harness.until(lambda: gone.setups == [sid(1)])
        gone.refuse()
        replacement = Replacement("s-9", gone)
        harness.nursery.start_soon(replacement.run, harness.nursery)
        gone.reset_all()
        await trio.sleep(0.1)
        tell(harness, 2, replacement)
        status = (await client.answers(1))[0]
        if cls == "paid":
            assert status == 500 and replacement.setups == []
        else:
            assert status in (200, 500, 503) and replacement.setups.count(sid(1)) <= 1
        await trio.sleep(1.5)
        assert replacement.releases == [] or cls == "preview"

    run_with_node(body, hosts=1)
