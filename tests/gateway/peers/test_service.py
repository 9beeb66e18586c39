"""Tasks of the coordination, on the virtual clock: three gateways agree over links in memory, a full disk silences a
voter, a damaged log store is recovered from, a defect ends only the coordination."""

import random
from types import SimpleNamespace
from typing import Any

import trio

from copperyard.control.coordinator import CoordinatorConfig
from copperyard.control.peer_limits import MAX_PENDING_WRITES
from copperyard.control.zones.facts import Gauge
from copperyard.control.zones.plan import Terms
from copperyard.gateway.net import now
from copperyard.gateway.peers.service import PeerService, PeerSettings
from copperyard.lab import virtual
from copperyard.lab.memnet import MemoryNetwork
from copperyard.lab.sites.memory_log_store import LogDisk, MemoryLogStore
from copperyard.membership.gateways.cells import CellMap
from copperyard.state.agreement.messages import FetchRequest

SECOND = 1_000_000_000
NAMES = ("a", "b", "c")
ROSTER = {name: n for n, name in enumerate(NAMES)}
TERMS = Terms(tuple(tuple(float(h != z) for z in range(3)) for h in range(3)), (1.0,), (100.0,), (1, 1, 1))


class World:
    def __init__(self):
        self.network = MemoryNetwork(seed=5)
        self.addresses = {name: f"127.0.0.1:{7000 + n}" for n, name in enumerate(NAMES)}
        self.plates = {name: LogDisk() for name in NAMES}
        self.lines, self.allocations, self.running, self.scopes = [], {}, {}, {}
        self.lives = 0
        server = {
            z: SimpleNamespace(
                gone=False,
                failure_rate=0.0,
                entry=SimpleNamespace(zone=z),
                link=SimpleNamespace(capacity_kb=1000.0, load=lambda when: 0.1),
            )
            for z in range(3)
        }
        self.controller: Any = SimpleNamespace(servers=server, sessions={})

    async def start(self, nursery, name):
        self.lives += 1
        place = CoordinatorConfig.of(name, CellMap(ROSTER, 3), NAMES, NAMES, TERMS)
        peer_settings = PeerSettings(
            place, self.addresses[name], self.addresses, b"fleet", MemoryLogStore(self.plates[name])
        )
        gauge = Gauge(name, self.lives, 3, (SECOND,), TERMS, now())
        made = PeerService(
            peer_settings,
            gauge,
            lambda: self.controller,
            self.network,
            lambda allocations: self.allocations.__setitem__(name, allocations),
            lambda event, fields: self.lines.append((name, event, dict(fields))),
            random.Random(self.lives),
            1000 + self.lives,
        )
        self.running[name], self.scopes[name] = made, trio.CancelScope()

        async def run(task_status):
            with self.scopes[name]:
                await made.run(task_status=task_status)

        await nursery.start(run)

    def leader(self):
        return next(
            (
                n
                for n, one in self.running.items()
                if one.coordinator.council.holds_lease(now()) and not self.scopes[n].cancel_called
            ),
            None,
        )

    def events(self, name, event):
        return [fields for who, what, fields in self.lines if (who, what) == (name, event)]


def play(test):
    async def main():
        world = World()
        async with trio.open_nursery() as nursery:
            for name in NAMES:
                await world.start(nursery, name)
            await trio.sleep(15)
            assert {one.coordinator.plan.epoch for one in world.running.values()} and world.leader()
            await test(world, nursery)
            nursery.cancel_scope.cancel()

    virtual.run(main, 1)


def test_three_gateways_agree_and_each_is_told_what_it_may_do():
    async def test(world, nursery):
        epochs = {one.coordinator.plan.epoch for one in world.running.values()}
        assert len(epochs) == 1
        assert all(
            world.allocations[name].caps[n] is None and sum(c or 0 for c in world.allocations[name].caps) > 0
            for n, name in enumerate(NAMES)
        )

    play(test)


def test_a_voter_with_a_full_disk_sends_nothing_until_there_is_room():
    async def test(world, nursery):
        leader = world.leader()
        world.plates[leader].free_bytes = 0
        await trio.sleep(15)
        assert world.leader() not in (None, leader)
        assert len(world.events(leader, "shelf failed")) == 1
        world.plates[leader].free_bytes = None
        await trio.sleep(5)
        assert len(world.events(leader, "shelf well again")) == 1
        assert len({one.coordinator.plan.epoch for one in world.running.values()}) == 1

    play(test)


def test_a_damaged_log_store_counts_as_empty_and_is_recovered_from_the_others():
    async def test(world, nursery):
        name = next(n for n in NAMES if n != world.leader())
        world.scopes[name].cancel()
        await trio.sleep(1)
        body, check = world.plates[name].records[2]
        world.plates[name].records[2] = (body + b"x", check)
        await world.start(nursery, name)
        await trio.sleep(6)
        assert world.events(name, "shelf damaged")
        assert world.events(name, "voter recovered")[-1]["folder"] == "an older copy, or none"
        assert world.running[name].coordinator.plan == world.running[world.leader()].coordinator.plan
        # the damaged records were replaced, and the next life starts from a good log store
        world.scopes[name].cancel()
        await trio.sleep(1)
        await world.start(nursery, name)
        await trio.sleep(6)
        assert len(world.events(name, "shelf damaged")) == 1

    play(test)


def test_actions_that_wait_for_a_full_disk_are_bounded_and_the_voter_returns_with_room():
    async def test(world, nursery):
        name = next(n for n in NAMES if n != world.leader())
        world.plates[name].free_bytes = 0
        coordinator = world.running[name].coordinator
        coordinator.council._set_term(coordinator.council.term + 1, "")  # something that has to become durable
        for _ in range(2):  # the first ones are taken by the durable task, which then waits for the disk
            for _ in range(4 * MAX_PENDING_WRITES):
                coordinator.hear(now(), "a" if name != "a" else "b", FetchRequest(0))
            assert coordinator.disk_behind and len(coordinator._durable_actions) < MAX_PENDING_WRITES + 10
            await trio.sleep(15)
        assert coordinator.disk_behind
        world.plates[name].free_bytes = None
        await trio.sleep(12)
        assert (
            len(coordinator._durable_actions) < 10
            and coordinator.plan == world.running[world.leader()].coordinator.plan
        )
        assert not coordinator.disk_behind and coordinator.council.leader == world.leader()

    play(test)


def test_a_defect_ends_only_the_coordination_and_the_front_uses_its_own_zone():
    async def test(world, nursery):
        name = next(n for n in NAMES if n != world.leader())

        def wrong(when):
            raise AssertionError("planted")

        world.running[name].coordinator.members.wake = wrong
        await trio.sleep(5)
        assert "planted" in world.events(name, "defect")[0]["error"]
        assert [c for c in world.allocations[name].caps if c] == []
        await trio.sleep(5)
        assert world.leader()

    play(test)


def test_a_gateway_that_ends_closes_its_listener_and_releases_its_log_store():
    async def test(world, nursery):
        world.scopes["a"].cancel()
        await trio.sleep(0.1)
        assert world.plates["a"].holder == ""
        await world.start(nursery, "a")
        await trio.sleep(8)
        assert world.running["a"].coordinator.plan is not None

    play(test)
