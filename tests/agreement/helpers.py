"""Voters and learners on a simulated network, with log stores that can be lost or be old copies, and invariants."""

from typing import Any

from copperyard.lab.sites.simulated_network import LinkConditions, SimulatedNetwork
from copperyard.state.agreement import learner, replica
from copperyard.state.agreement.learner import Learner
from copperyard.state.agreement.messages import EntryKind, VoteReply
from copperyard.state.agreement.replica import ElectionTiming, PersistentState, Replica

MS, SECOND = 1_000_000, 1_000_000_000


class ReplicaNode:
    """A voter with its stored records, which outlive it."""

    def __init__(self, world, name, store, make=Replica, trusted=False):
        self.world, self.name, self.store = world, name, store
        world.starts += 1
        self.core = make(
            name,
            world.voters,
            PersistentState.read(store),
            world.timing,
            world.seed * 1009 + world.starts,
            world.time(name),
            trusted,
        )
        self.applied = {}

    def hear(self, now, sender, message):
        self.core.hear(now, sender, message)

    def wake(self, now):
        self.core.wake(now)

    def next_wake(self):
        return self.core.next_wake()

    def collect(self, now):
        out = []
        while orders := self.core.take():
            for order in orders:
                if isinstance(order, replica.Persist):
                    if order.replace_all:
                        self.store.clear()
                    self.store.extend(order.records)
                elif isinstance(order, replica.SendMessage):
                    out.append((order.to, order.message))
                    if isinstance(order.message, VoteReply) and order.message.granted and not order.message.pre_vote:
                        self.world.voted(self.name, order.message.term, order.to)
                elif isinstance(order, replica.Apply):
                    self.world.applied(self.name, order.index, order.entry)
                    self.applied[order.index] = order.entry
                elif isinstance(order, replica.Restore):
                    self.applied = {order.snapshot.index: None}
            if self.core.wants_snapshot:
                self.core.compact(b"all up to %d" % self.core.applied)
        return out


class LearnerNode:
    """A learner on the simulated network."""

    def __init__(self, world, name, sources):
        self.world, self.name = world, name
        self.core = Learner(lambda: sources, world.seed * 17 + len(name), world.time(name))

    def hear(self, now, sender, message):
        self.core.hear(now, sender, message)

    def wake(self, now):
        self.core.wake(now)

    def next_wake(self):
        return self.core.next_wake()

    def collect(self, now):
        out = []
        for order in self.core.take():
            if isinstance(order, replica.SendMessage):
                out.append((order.to, order.message))
            elif isinstance(order, replica.Apply):
                self.world.applied(self.name, order.index, order.entry)
        if self.core.wants_snapshot:
            self.core.compact(b"all")
        return out


class World:
    """A group of voters. Checked at each step: one vote per voter and term, one leader per term, one history.

    `stores` are the stored records of each voter, `copies` older states of them.
    """

    def __init__(self, seed=1, voters=3, manner=None, timing=None, make=Replica):
        self.seed, self.make = seed, make
        self.voters = tuple(f"v{n}" for n in range(voters))
        self.timing = timing or ElectionTiming()
        self.net = SimulatedNetwork(seed, manner or LinkConditions())
        self.stores: dict[str, list[Any]] = {name: [] for name in self.voters}
        self.copies: dict[str, list[Any]] = {name: [] for name in self.voters}
        self.history = {}
        self.votes = {}
        self.leaders = {}
        self.proposed = self.starts = 0
        self.net.on_event = self.check
        for name in self.voters:
            self.start(name)

    def time(self, name):
        return self.net.now if name not in self.net.nodes else self.net.time_of(name)

    def start(self, name, **more):
        self.net.add(name, ReplicaNode(self, name, self.stores[name], self.make, **more))

    def core(self, name):
        return self.net.nodes[name].core.core  # type: ignore[attr-defined]

    def up(self):
        return [name for name in self.voters if name in self.net.nodes]

    def leader(self):
        found = [
            n for n in self.up() if self.core(n).role is replica.Role.LEADER and self.core(n).holds_lease(self.time(n))
        ]
        return found[0] if found else None

    def propose(self, data=None):
        """Propose an entry to every voter that believes it leads."""
        for name in self.up():
            core = self.core(name)
            if core.role is replica.Role.LEADER:
                self.proposed += 1
                core.propose(self.time(name), data or b"d%d" % self.proposed)
                self.net._flush(name)

    def applied(self, name, index, entry):
        known = self.history.setdefault(index, entry)
        assert known == entry, f"{name} applies {entry} at {index}, but {known} was committed there"

    def voted(self, name, term, vote):
        known = self.votes.setdefault((name, term), vote)
        assert known == vote, f"{name} votes twice in term {term}: {known}, {vote}"

    def check(self, now):
        leases = []
        for name in self.up():
            core = self.core(name)
            if core.role is replica.Role.LEADER:
                known = self.leaders.setdefault(core.term, name)
                assert known == name, f"two leaders in term {core.term}: {known}, {name}"
                self.voted(name, core.term, name)
                if core.holds_lease(self.time(name)):
                    leases.append(name)
        assert len(leases) < 2, f"two hold a lease: {leases}"

    def data(self):
        return [e.data for _, e in sorted(self.history.items()) if e.kind is EntryKind.DATA]


__all__ = [
    "MS",
    "SECOND",
    "ElectionTiming",
    "Replica",
    "SimulatedNetwork",
    "LearnerNode",
    "LinkConditions",
    "ReplicaNode",
    "World",
    "replica",
    "learner",
]
