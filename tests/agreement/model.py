"""Explores all behaviours of three voters within small bounds, on the product's own code.

A state is three voters and the messages in flight on their six links, which keep order as links guarantee. Possible
next steps: the first message of a link arrives, is lost, or arrives and stays (a duplicate); a voter that may do so
starts an election; a leader proposes; a voter crashes and restarts with its log store or with an empty one. Times are
chosen so that no timeout and no lease holds anything back, as safety must not depend on them.
"""

import pickle
import time
from dataclasses import dataclass
from typing import Any

from copperyard.state.agreement import replica
from copperyard.state.agreement.messages import VoteReply
from copperyard.state.agreement.replica import ElectionTiming, PersistentState, Replica, Role

VOTERS = ("a", "b", "c")
SECOND = 1_000_000_000


class FixedDraws:
    """Replaces the random source: a value depends only on the start and the number of the draw."""

    def __init__(self, start):
        self.start, self.count = start, 0

    def randint(self, least, most):
        return most

    def getrandbits(self, bits):
        self.count += 1
        return self.start * 1000 + self.count


class ModelViolationError(Exception):
    """An invariant was violated."""


@dataclass
class Bounds:
    """How often each kind of step may happen on one path."""

    asks: int = 2
    proposals: int = 1
    deaths: int = 0
    lost: bool = False  # a crashed voter loses its log store
    losses: int = 0
    twice: int = 0


class State:
    """Three voters, their log stores and the messages in flight."""

    def __init__(self, make, bounds):
        self.bounds, self.make = bounds, make
        self.now, self.starts = 100 * SECOND, 0
        self.stores = {name: [] for name in VOTERS}
        self.cores = {}
        self.links: Any = {(a, b): () for a in VOTERS for b in VOTERS if a != b}
        self.history, self.leaders, self.votes = {}, {}, {}
        for name in VOTERS:
            self.begin(name, True)

    def begin(self, name, trusted):
        self.starts += 1
        core = self.make(name, VOTERS, PersistentState.read(self.stores[name]), ElectionTiming(), 1, self.now, trusted)
        core.rng = FixedDraws(self.starts)
        core.recovery_nonce = self.starts
        self.cores[name] = core
        self.collect(name)

    def collect(self, name):
        core = self.cores[name]
        for order in core.take():
            if isinstance(order, replica.Persist):
                if order.replace_all:
                    self.stores[name].clear()
                self.stores[name].extend(order.records)
            elif isinstance(order, replica.SendMessage):
                self.links[name, order.to] += (order.message,)
                if isinstance(order.message, VoteReply) and order.message.granted and not order.message.pre_vote:
                    self.vote(name, order.message.term, order.to)
            elif isinstance(order, replica.Apply):
                known = self.history.setdefault(order.index, order.entry)
                if known != order.entry:
                    raise ModelViolationError(f"{order.index} is {known} and {order.entry}")
        if core.role is Role.LEADER:
            if self.leaders.setdefault(core.term, name) != name:
                raise ModelViolationError(f"two leaders in term {core.term}")
            self.vote(name, core.term, name)

    def vote(self, name, term, whom):
        if self.votes.setdefault((name, term), whom) != whom:
            raise ModelViolationError(f"{name} votes twice in term {term}")

    def key(self):
        cores = tuple(
            (
                c.term,
                c.voted_for,
                c.role.value,
                c.incarnation,
                tuple(c.log),
                c.commit,
                c.floor,
                c.recovering,
                c.vote_nonce,
                tuple(sorted(c.votes)),
                tuple(sorted((n, p.next_index, p.match_index) for n, p in c.peers.items())),
                tuple(
                    sorted(
                        (n, r.term, r.last_index, r.last_term, r.recovered, r.is_leader)
                        for n, r in c.recovery_replies.items()
                    )
                ),
            )
            for c in self.cores.values()
        )
        b = self.bounds
        return hash((cores, tuple(self.links.values()), b.asks, b.proposals, b.deaths, b.losses, b.twice))

    def steps(self):
        b = self.bounds
        for link, messages in self.links.items():
            if messages:
                yield "arrive", link
                if b.losses:
                    yield "lose", link
                if b.twice:
                    yield "twice", link
        for name, core in self.cores.items():
            if b.asks and not core.recovering and core.role is not Role.LEADER:
                yield "ask", name
            if b.proposals and core.role is Role.LEADER:
                yield "propose", name
            if b.deaths:
                yield "die", name

    def step(self, what, of):
        b = self.bounds
        if what in ("arrive", "lose", "twice"):
            message = self.links[of][0]
            if what != "twice":
                self.links[of] = self.links[of][1:]
            b.losses -= what == "lose"
            b.twice -= what == "twice"
            if what != "lose":
                self.cores[of[1]].hear(self.now, of[0], message)
                self.collect(of[1])
            return
        if what == "ask":
            b.asks -= 1
            self.now += 20 * SECOND  # past every election timeout
            self.cores[of]._start_election(self.now, False)
        elif what == "propose":
            b.proposals -= 1
            self.cores[of].propose(self.now, b"x")
        else:
            b.deaths -= 1
            if b.lost:
                self.stores[of].clear()
            self.begin(of, False)
            self.cores[of]._request_recovery(self.now)
        self.collect(of)


def explore(make=Replica, bounds=None, most=200_000, seconds=60.0):
    """Explore up to `most` states within the bounds: (states, whether these were all).

    A ModelViolationError names its path.
    """
    seen = set()
    stack = [(pickle.dumps(State(make, bounds or Bounds())), ())]
    begin = time.monotonic()
    while stack:
        data, path = stack.pop()
        for what, of in list(pickle.loads(data).steps()):
            state = pickle.loads(data)
            try:
                state.step(what, of)
            except (ModelViolationError, AssertionError) as error:
                raise ModelViolationError(f"{error} after {[*path, (what, of)]}") from None
            key = state.key()
            if key not in seen:
                seen.add(key)
                stack.append((pickle.dumps(state), (*path, (what, of))))
        if len(seen) >= most or time.monotonic() - begin > seconds:
            return len(seen), False
    return len(seen), True
