"""Simulated sites on a virtual clock, for tests and benchmarks: gateways' shared control state, or membership alone.

Hosts and viewers are numbers: the demand of each zone's viewers and the capacity of its hosts, in kB/s. Invariants
are checked after events: there is one history of plans, and the fronts of all zones together are never allowed more
of a zone's hosts than any current plan found free there. A violation raises InvariantError.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from time import thread_time_ns
from types import SimpleNamespace
from typing import Any

from ...control.coordinator import (
    ApplyZoneAllocation,
    Coordinator,
    CoordinatorConfig,
    Durable,
    Immediate,
    LogLine,
    NotifyApplied,
    Send,
    Write,
)
from ...control.zones.facts import Gauge
from ...control.zones.plan import Plan, Terms, ZoneStatus
from ...interface import ZoneAllocation
from ...membership.gateways.cells import CellMap
from ...membership.gateways.members import Membership, ProbeTiming, SendMessage, Stalled, StateChanged
from ...membership.gateways.messages import MemberState
from ...state.agreement.messages import Record
from ...state.agreement.replica import PersistentState, Replica
from .simulated_network import LinkConditions, SimulatedNetwork

MS, SECOND = 1_000_000, 1_000_000_000
SESSION_KB = 100.0  # kB/s of a session
CHECK_INTERVAL = 50 * MS  # ns between checks; a check also follows each event that raised a front's cap
# caps are summed as integers in units of 2**-20 kB/s, so that adding and removing one leaves no rounding error
CAP_UNITS = 1 << 20


class InvariantError(AssertionError):
    """An invariant does not hold."""


@dataclass(slots=True)
class GatewayCost:
    """Processor time, messages and bytes of one simulated gateway, summed over all starts of its process.

    `cpu_ns` is the processor time of this thread in ns (`thread_time_ns`; a call itself takes about 0.2 us). Processor
    time and bytes are counted only while `measured` is set; messages and the sets of peers always.
    """

    measured: bool = False
    cpu_ns: int = 0
    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    recipients: set[str] = field(default_factory=set)
    senders: set[str] = field(default_factory=set)


class SimulatedFront:
    """One gateway from a start to its end. Its stored records outlive it."""

    def __init__(self, site: SimulatedSite, name: str, store: list[Record], start: int) -> None:
        self.site, self.name, self.store = site, name, store
        now = site.time(name)
        self.zone = site.roster[name]
        place = site.place(name)
        gauge = Gauge(name, start, site.zones, (20 * SECOND,), site.terms, now)
        shown: Any = self
        self.core = Coordinator(
            place,
            gauge,
            lambda: shown,
            PersistentState.read(store) if name in place.voters else None,
            site.seed * 1009 + start,
            now,
            start,
        )
        self.allocation: ZoneAllocation | None = None
        self.notes: deque[tuple[int, str, dict[str, str | int]]] = deque(maxlen=site.notes)
        self.cost = site.costs.get(name) if site.costs is not None else None

    # ---- the part of a Controller that the gauge reads

    @property
    def servers(self) -> Mapping[int, Any]:
        """The hosts, as a Controller has them."""
        return self.site.hosts()

    @property
    def sessions(self) -> Mapping[int, Any]:
        """The sessions, as a Controller has them."""
        return self.site.sessions(self.zone)

    # ---- the node interface of the network

    def hear(self, now: int, sender: str, message: Any) -> None:
        """Handles a message."""
        begun = thread_time_ns() if self.cost is not None and self.cost.measured else 0
        self.core.hear(now, sender, message)
        if self.cost is not None and begun:
            self.cost.cpu_ns += thread_time_ns() - begun

    def wake(self, now: int) -> None:
        """Handles timers that are due."""
        begun = thread_time_ns() if self.cost is not None and self.cost.measured else 0
        self.core.wake(now)
        if self.cost is not None and begun:
            self.cost.cpu_ns += thread_time_ns() - begun

    def next_wake(self) -> int:
        """The time of the next timer, ns."""
        begun = thread_time_ns() if self.cost is not None and self.cost.measured else 0
        found = self.core.next_wake()
        if self.cost is not None and begun:
            self.cost.cpu_ns += thread_time_ns() - begun
        return found

    def collect(self, now: int) -> list[tuple[str, Any]]:
        """Performs the pending actions; returns (receiver, message) pairs to send."""
        begun = thread_time_ns() if self.cost is not None and self.cost.measured else 0
        out: list[tuple[str, Any]] = []
        for action in self.core.take_actions():
            self._perform(action, out)
        while durable := self.core.take_durable_actions():
            for step in durable:
                if isinstance(step, Write):
                    if step.replace_all:
                        self.store.clear()
                    self.store.extend(step.records)
                elif isinstance(step, NotifyApplied):
                    self.core.applied(now, step.order)
                    for one in self.core.take_actions():
                        self._perform(one, out)
                else:
                    self._perform(step, out)
        if self.cost is not None and begun:
            self.cost.cpu_ns += thread_time_ns() - begun
        return out

    def _perform(self, action: Immediate | Durable, out: list[tuple[str, Any]]) -> None:
        if isinstance(action, Send):
            out.append((action.to, action.message))
        elif isinstance(action, ApplyZoneAllocation):
            self.site.set_allocation(self, action.allocation)
        else:
            assert isinstance(action, LogLine)
            if self.site.notes:
                self.notes.append((self.site.net.now, action.event, dict(action.fields)))
            if action.event == "plan":
                assert self.core.plan is not None
                self.site.record_plan(self.core.plan)
            if self.site.on_note is not None:
                self.site.on_note(self, action)


def spread_voters(voters: int, zones: int) -> tuple[str, ...]:
    """Names of so many gateways, assigned to all zones in turn, as a SimulatedSite names them."""
    return tuple(f"g{n % zones}-{n // zones}" for n in range(voters))


class SimulatedSite:
    """A site of `zones` zones with `each` gateways, or with `sizes`.

    Unless `voters` are given, the first gateways of three zones vote. `room` and `asked` are the capacity of each
    zone's hosts and the demand of its viewers, kB/s. Each gateway keeps its last `notes` log lines. `measured`
    enables the measurement of costs. `terms` are passed to Terms.
    """

    def __init__(
        self,
        seed: int = 1,
        zones: int = 5,
        each: int = 2,
        regions: list[int] | None = None,
        manner: LinkConditions | None = None,
        *,
        sizes: list[int] | None = None,
        voters: tuple[str, ...] | None = None,
        room: float = 10_000.0,
        asked: float = 5_000.0,
        notes: int = 1000,
        measured: bool = False,
        begin: bool = True,
        **terms: Any,
    ) -> None:
        self.seed, self.zones, self.each = seed, zones, each
        self.sizes = sizes or [each] * zones
        self.regions = regions or [z // 2 for z in range(zones)]
        near = self.regions
        prices = tuple(
            tuple(0.0 if h == z else 1.0 if near[h] == near[z] else 3.0 for z in range(zones)) for h in range(zones)
        )
        self.terms = Terms(prices, (1.0,), (SESSION_KB,), tuple(self.sizes), **terms)
        self.roster = {f"g{z}-{n}": z for z in range(zones) for n in range(self.sizes[z])}
        self.voters = voters or (("g0-0", "g2-0", "g4-0") if zones > 4 else ("g0-0", "g1-0", "g2-0"))
        self.cells = CellMap(self.roster, zones)
        self._places: dict[str, CoordinatorConfig] = {}
        self.zone_names = tuple(f"z{z}" for z in range(zones))
        self.rooms = [room] * zones
        self.demand = [asked] * zones
        self.notes = notes
        self.costs = {name: GatewayCost() for name in self.roster} if measured else None
        self.on_note: Callable[[SimulatedFront, LogLine], None] | None = None
        self.net = SimulatedNetwork(seed, manner or LinkConditions(delay=(1 * MS, 30 * MS)))
        self.stores: dict[str, list[Record]] = {name: [] for name in self.roster}
        self.starts = 0
        self.plans: dict[int, Plan] = {}
        self.committed: list[tuple[int, Plan]] = []
        # capacity that the plans found free, for plans that a front may still follow
        self._free: deque[tuple[int, tuple[float, ...]]] = deque()
        self._living = [0] * zones
        self._allowed = [0] * zones  # in units of 1 / CAP_UNITS kB/s: what fronts of other zones may ask of each zone
        self._cap_raised = False
        self._checked = 0
        self._hosts: tuple[tuple[float, ...], dict[int, Any]] = ((), {})
        self._sessions: dict[int, dict[int, Any]] = {}
        self.net.on_event, self.net.on_start, self.net.on_stop = self.check, self._front_started, self._front_stopped
        for name in self.roster if begin else ():
            self.start(name)

    def place(self, name: str) -> CoordinatorConfig:
        """What a gateway knows from its settings, derived in the same way as in the product."""
        found = self._places.get(name)
        if found is None:
            found = self._places[name] = CoordinatorConfig.of(
                name, self.cells, self.zone_names, self.voters, self.terms
            )
        return found

    def time(self, name: str) -> int:
        """A gateway's clock, or the network's if it does not run."""
        return self.net.time_of(name) if name in self.net.nodes else self.net.now

    def start(self, name: str, **clock: Any) -> None:
        """Starts or restarts a gateway. `clock` is passed to the network: offset and speed."""
        self.starts += 1
        self.net.add(name, SimulatedFront(self, name, self.stores[name], 1000 + self.starts), **clock)

    def living(self, zone: int) -> int:
        """Number of running gateways of a zone, at least 1."""
        return max(1, self._living[zone])

    def front(self, name: str) -> SimulatedFront:
        """A running gateway by name."""
        found = self.net.nodes[name].core
        assert isinstance(found, SimulatedFront)
        return found

    def fronts(self) -> Iterable[SimulatedFront]:
        """All running gateways."""
        return (self.front(name) for name in self.net.nodes)

    def gateways_in(self, *zones: int) -> list[str]:
        """Names of the gateways of these zones."""
        return [name for name, zone in self.roster.items() if zone in zones]

    def run(self, seconds: float) -> None:
        """Runs the simulation for a number of seconds."""
        self.net.run(self.net.now + round(seconds * SECOND))

    def leader(self) -> str | None:
        """The voter that holds the lease, if one does."""
        for name in self.voters:
            if name in self.net.nodes:
                council = self.front(name).core.council
                assert isinstance(council, Replica)
                if council.holds_lease(self.time(name)):
                    return name
        return None

    def lose_zone(self, zone: int) -> None:
        """Kills all gateways of a zone and removes its hosts; its viewers ask other zones."""
        for name in self.gateways_in(zone):
            self.net.kill(name)
        self.rooms[zone] = 0.0

    # ---- hosts and viewers

    def hosts(self) -> Mapping[int, Any]:
        """One host for each zone that has capacity, the same for all fronts."""
        rooms = tuple(self.rooms)
        if self._hosts[0] != rooms:
            self._hosts = (
                rooms,
                {
                    z: SimpleNamespace(
                        gone=False,
                        failure_rate=0.0,
                        entry=SimpleNamespace(zone=z),
                        link=SimpleNamespace(capacity_kb=room, load=lambda now: 0.5),
                    )
                    for z, room in enumerate(rooms)
                    if room > 0
                },
            )
        return self._hosts[1]

    def sessions(self, zone: int) -> Mapping[int, Any]:
        """The sessions of one gateway of a zone: the demand of the zone, split evenly over its running gateways."""
        count = round(self.demand[zone] / SESSION_KB / self.living(zone))
        if count not in self._sessions:
            one = SimpleNamespace(request=SimpleNamespace(cls=0))
            self._sessions[count] = dict.fromkeys(range(count), one)
        return self._sessions[count]

    # ---- invariants

    def record_plan(self, plan: Plan) -> None:
        """Records a plan that a front adopted. InvariantError if another plan has the same epoch."""
        known = self.plans.setdefault(plan.epoch, plan)
        if known is plan:
            self.committed.append((self.net.now, plan))
            self._free.append(
                (
                    self.net.now,
                    tuple(max(0.0, zone.room * zone.usable_ratio - zone.own - zone.reserve) for zone in plan.zones),
                )
            )
        elif known != plan:
            raise InvariantError(f"two plans of epoch {plan.epoch}")

    def _front_started(self, name: str, core: Any) -> None:
        self._living[self.roster[name]] += 1

    def _front_stopped(self, name: str, core: Any) -> None:
        self._living[self.roster[name]] -= 1
        self._add_caps(core, -1)

    def set_allocation(self, front: SimulatedFront, allocation: ZoneAllocation) -> None:
        """Sets what a front may do from now on."""
        before = front.allocation
        self._add_caps(front, -1)
        front.allocation = allocation
        self._add_caps(front, 1)
        if before is None or any(
            (cap or 0.0) > (had or 0.0) for cap, had in zip(allocation.caps, before.caps, strict=True)
        ):
            self._cap_raised = True

    def _add_caps(self, front: SimulatedFront, sign: int) -> None:
        for z, cap in enumerate(front.allocation.caps if front.allocation is not None else ()):
            if cap and z != front.zone:
                self._allowed[z] += sign * round(cap * CAP_UNITS)

    def allowed_kb(self, zone: int) -> float:
        """What all running fronts of other zones together may ask of a zone's hosts, kB/s."""
        return self._allowed[zone] / CAP_UNITS

    def check(self, now: int) -> None:
        """Checks that fronts of other zones may not ask for more of a zone than was free. InvariantError if they may.

        Runs after an event that raised a front's cap, and every CHECK_INTERVAL, because what was free expires.
        """
        if not self._free or not self._cap_raised and now - self._checked < CHECK_INTERVAL:
            return
        self._checked, self._cap_raised = now, False
        # what any plan found free there, for all plans that a front may still follow and the one before them
        back = now - 2 * self.terms.holds * 12 // 10
        while len(self._free) > 1 and self._free[1][0] < back:
            self._free.popleft()
        for z in range(self.zones):
            free = max(one[z] for _, one in self._free)
            if self.allowed_kb(z) > free + 1.0:
                raise InvariantError(f"{self.allowed_kb(z):.0f} kB/s of zone {z} allowed, {free:.0f} were free")

    def strengths(self, names: Iterable[str]) -> list[float]:
        """The strength of the given gateways that run."""
        return [self.front(name).core.active_plan.strength(self.time(name)) for name in names if name in self.net.nodes]

    def standing(self, z: int) -> ZoneStatus | None:
        """The standing of a zone in the newest plan."""
        return max(self.plans.items())[1].zones[z].status if self.plans else None


class MembershipNode:
    """One gateway's membership protocol alone."""

    def __init__(self, world: SimulatedMembership, name: str, incarnation: int) -> None:
        self.fleet, self.name = world, name
        self.core = Membership(
            name,
            world.roster,
            world.zones,
            ProbeTiming(),
            world.seed * 7919 + name_hash(name) + incarnation,
            world.net.now,
            incarnation,
        )

    def hear(self, now: int, sender: str, message: Any) -> None:
        """Handles a message."""
        self.core.hear(now, sender, message)

    def wake(self, now: int) -> None:
        """Handles timers that are due."""
        self.core.wake(now)

    def next_wake(self) -> int:
        """The time of the next timer, ns."""
        return self.core.next_wake()

    def collect(self, now: int) -> list[tuple[str, Any]]:
        """Records state changes; returns (receiver, message) pairs to send."""
        out: list[tuple[str, Any]] = []
        for action in self.core.take_actions():
            if isinstance(action, SendMessage):
                out.append((action.to, action.message))
            elif isinstance(action, StateChanged):
                self.fleet.changes.append((self.fleet.net.now, self.name, action.name, action.state))
            else:
                assert isinstance(action, Stalled)
        return out


def name_hash(name: str) -> int:
    """A hash of a name that is the same in each process, for seeds."""
    return sum(ord(c) * 31**n for n, c in enumerate(name))


class SimulatedMembership:
    """The membership protocol of a fleet alone.

    `changes` are the state changes seen: time in ns, observer, member, new state.
    """

    def __init__(self, seed: int = 1, gateways: int = 12, zones: int = 4, manner: LinkConditions | None = None) -> None:
        self.seed, self.zones = seed, zones
        self.roster = {f"g{n}": n % zones for n in range(gateways)}
        self.net = SimulatedNetwork(seed, manner or LinkConditions(delay=(1 * MS, 20 * MS)))
        self.changes: list[tuple[int, str, str, MemberState]] = []
        for name in self.roster:
            self.start(name, 1000)

    def start(self, name: str, incarnation: int) -> None:
        """Starts or restarts a gateway."""
        self.net.add(name, MembershipNode(self, name, incarnation))

    def core(self, name: str) -> Membership:
        """The membership state machine of a running gateway."""
        found = self.net.nodes[name].core
        assert isinstance(found, MembershipNode)
        return found.core

    def gateways_in(self, zone: int) -> list[str]:
        """Names of the gateways of a zone."""
        return [name for name, z in self.roster.items() if z == zone]

    def run(self, seconds: float) -> None:
        """Runs the simulation for a number of seconds."""
        self.net.run(self.net.now + round(seconds * SECOND))

    def deaths(self, since: int = 0) -> list[tuple[int, str, str]]:
        """(time, observer, member) for each member held for dead since a time, ns."""
        return [(at, who, whom) for at, who, whom, life in self.changes if life is MemberState.DEAD and at >= since]

    def all_hold(self, name: str, life: MemberState) -> bool:
        """Whether all other running gateways hold a member in that state."""
        return all(self.core(x).members[name].state is life for x in self.net.nodes if x != name)
