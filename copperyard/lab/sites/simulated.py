"""Whole sites of gateways' common parts on a network of events: who lives, what is agreed, what each front may do.
And fleets of their membership alone. The one home of both: tests and benchmarks share it.

Hosts and viewers are numbers here: what each zone's viewers ask for, what its hosts give (kB a second). What must
always hold is checked after every event: one history of plans, and fronts of all zones together never allowed more of
a zone's hosts than any plan of the time found free there. `Broken` is raised by an event after which it does not.
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
from .events import Events, Manner

MS, SECOND = 1_000_000, 1_000_000_000
RATE = 100.0  # kB/s of a session
CHECK = 50 * MS  # between checks at most, besides one after each event that gave a front more than it had
UNIT = 1 << 20  # caps are summed in whole parts of a kB/s: what is added and taken away again leaves nothing behind


class Broken(AssertionError):
    """What must always hold does not."""


@dataclass(slots=True)
class Tally:
    """What one gateway's part cost, through all its lives here: ns of this thread's processor time (`thread_time_ns`;
    about 0.2 us a call are the measuring's own) and bytes, both only while it is `weighed`; messages, whom it sent to,
    who sent to it."""

    weighed: bool = False
    spent: int = 0
    sent: int = 0
    got: int = 0
    sent_bytes: int = 0
    got_bytes: int = 0
    peers: set[str] = field(default_factory=set)
    callers: set[str] = field(default_factory=set)


class Front:
    """One gateway. Its shelf outlives it."""

    def __init__(self, site: Site, name: str, shelf: list[Record], start: int) -> None:
        self.site, self.name, self.shelf = site, name, shelf
        now = site.time(name)
        self.zone = site.roster[name]
        place = site.place(name)
        gauge = Gauge(name, start, site.zones, (20 * SECOND,), site.terms, now)
        shown: Any = self
        self.core = Coordinator(
            place,
            gauge,
            lambda: shown,
            PersistentState.read(shelf) if name in place.voters else None,
            site.seed * 1009 + start,
            now,
            start,
        )
        self.ways: ZoneAllocation | None = None
        self.notes: deque[tuple[int, str, dict[str, str | int]]] = deque(maxlen=site.notes)
        self.tally = site.tallies.get(name) if site.tallies is not None else None

    # ---- what a Controller shows to the gauge

    @property
    def servers(self) -> Mapping[int, Any]:
        return self.site.hosts()

    @property
    def sessions(self) -> Mapping[int, Any]:
        return self.site.sessions(self.zone)

    # ---- what runs on the network

    def hear(self, now: int, sender: str, message: Any) -> None:
        begun = thread_time_ns() if self.tally is not None and self.tally.weighed else 0
        self.core.hear(now, sender, message)
        if self.tally is not None and begun:
            self.tally.spent += thread_time_ns() - begun

    def wake(self, now: int) -> None:
        begun = thread_time_ns() if self.tally is not None and self.tally.weighed else 0
        self.core.wake(now)
        if self.tally is not None and begun:
            self.tally.spent += thread_time_ns() - begun

    def next_wake(self) -> int:
        begun = thread_time_ns() if self.tally is not None and self.tally.weighed else 0
        found = self.core.next_wake()
        if self.tally is not None and begun:
            self.tally.spent += thread_time_ns() - begun
        return found

    def collect(self, now: int) -> list[tuple[str, Any]]:
        begun = thread_time_ns() if self.tally is not None and self.tally.weighed else 0
        out: list[tuple[str, Any]] = []
        for order in self.core.take_actions():
            self._order(order, out)
        while durable := self.core.take_durable_actions():
            for step in durable:
                if isinstance(step, Write):
                    if step.replace_all:
                        self.shelf.clear()
                    self.shelf.extend(step.records)
                elif isinstance(step, NotifyApplied):
                    self.core.applied(now, step.order)
                    for one in self.core.take_actions():
                        self._order(one, out)
                else:
                    self._order(step, out)
        if self.tally is not None and begun:
            self.tally.spent += thread_time_ns() - begun
        return out

    def _order(self, order: Immediate | Durable, out: list[tuple[str, Any]]) -> None:
        if isinstance(order, Send):
            out.append((order.to, order.message))
        elif isinstance(order, ApplyZoneAllocation):
            self.site.allow(self, order.allocation)
        else:
            assert isinstance(order, LogLine)
            if self.site.notes:
                self.notes.append((self.site.net.now, order.event, dict(order.fields)))
            if order.event == "plan":
                assert self.core.plan is not None
                self.site.planned(self.core.plan)
            if self.site.noted is not None:
                self.site.noted(self, order)


def spread(voters: int, zones: int) -> tuple[str, ...]:
    """So many gateways over all zones, one after another, by their names at a Site."""
    return tuple(f"g{n % zones}-{n // zones}" for n in range(voters))


class Site:
    """`zones` zones of `each` gateways, or of `sizes`; unless `voters` are named, the first of three zones vote. `room`
    and `asked`: what each zone's hosts give and its viewers ask, kB a second. `notes`: how many lines each gateway
    keeps. `measured`: whether each gateway's cost is tallied. More is passed on to Terms."""

    def __init__(
        self,
        seed: int = 1,
        zones: int = 5,
        each: int = 2,
        regions: list[int] | None = None,
        manner: Manner | None = None,
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
        self.terms = Terms(prices, (1.0,), (RATE,), tuple(self.sizes), **terms)
        self.roster = {f"g{z}-{n}": z for z in range(zones) for n in range(self.sizes[z])}
        self.voters = voters or (("g0-0", "g2-0", "g4-0") if zones > 4 else ("g0-0", "g1-0", "g2-0"))
        self.cells = CellMap(self.roster, zones)
        self._places: dict[str, CoordinatorConfig] = {}
        self.zone_names = tuple(f"z{z}" for z in range(zones))
        self.rooms = [room] * zones
        self.demand = [asked] * zones
        self.notes = notes
        self.tallies = {name: Tally() for name in self.roster} if measured else None
        self.noted: Callable[[Front, LogLine], None] | None = None
        self.net = Events(seed, manner or Manner(delay=(1 * MS, 30 * MS)))
        self.shelves: dict[str, list[Record]] = {name: [] for name in self.roster}
        self.starts = 0
        self.plans: dict[int, Plan] = {}
        self.committed: list[tuple[int, Plan]] = []
        self._free: deque[tuple[int, tuple[float, ...]]] = deque()  # of `committed`, what may still be followed
        self._living = [0] * zones
        self._allowed = [0] * zones  # UNITs of kB/s that strangers may ask of each zone's hosts
        self._grown = False
        self._checked = 0
        self._hosts: tuple[tuple[float, ...], dict[int, Any]] = ((), {})
        self._sessions: dict[int, dict[int, Any]] = {}
        self.net.watch, self.net.joined, self.net.gone = self.check, self._joined, self._gone
        for name in self.roster if begin else ():
            self.start(name)

    def place(self, name: str) -> CoordinatorConfig:
        """What a gateway knows from its settings, as each works it out for itself."""
        found = self._places.get(name)
        if found is None:
            found = self._places[name] = CoordinatorConfig.of(
                name, self.cells, self.zone_names, self.voters, self.terms
            )
        return found

    def time(self, name: str) -> int:
        return self.net.time_of(name) if name in self.net.nodes else self.net.now

    def start(self, name: str, **clock: Any) -> None:
        self.starts += 1
        self.net.add(name, Front(self, name, self.shelves[name], 1000 + self.starts), **clock)

    def living(self, zone: int) -> int:
        """Gateways of a zone that run, 1 at least."""
        return max(1, self._living[zone])

    def front(self, name: str) -> Front:
        found = self.net.nodes[name].core
        assert isinstance(found, Front)
        return found

    def fronts(self) -> Iterable[Front]:
        """All that run."""
        return (self.front(name) for name in self.net.nodes)

    def of(self, *zones: int) -> list[str]:
        return [name for name, zone in self.roster.items() if zone in zones]

    def run(self, seconds: float) -> None:
        self.net.run(self.net.now + round(seconds * SECOND))

    def leader(self) -> str | None:
        for name in self.voters:
            if name in self.net.nodes:
                council = self.front(name).core.council
                assert isinstance(council, Replica)
                if council.holds_lease(self.time(name)):
                    return name
        return None

    def lose(self, zone: int) -> None:
        """Gateways and hosts of a zone; its viewers ask the others."""
        for name in self.of(zone):
            self.net.kill(name)
        self.rooms[zone] = 0.0

    # ---- hosts and viewers

    def hosts(self) -> Mapping[int, Any]:
        """One host in each zone that has any, the same for all."""
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
        """Those of one of its gateways: what its viewers ask, split evenly over those that run."""
        count = round(self.demand[zone] / RATE / self.living(zone))
        if count not in self._sessions:
            one = SimpleNamespace(request=SimpleNamespace(cls=0))
            self._sessions[count] = dict.fromkeys(range(count), one)
        return self._sessions[count]

    # ---- what must hold

    def planned(self, plan: Plan) -> None:
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
            raise Broken(f"two plans of epoch {plan.epoch}")

    def _joined(self, name: str, core: Any) -> None:
        self._living[self.roster[name]] += 1

    def _gone(self, name: str, core: Any) -> None:
        self._living[self.roster[name]] -= 1
        self._count(core, -1)

    def allow(self, front: Front, ways: ZoneAllocation) -> None:
        """What a front may do from now on."""
        before = front.ways
        self._count(front, -1)
        front.ways = ways
        self._count(front, 1)
        if before is None or any((cap or 0.0) > (had or 0.0) for cap, had in zip(ways.caps, before.caps, strict=True)):
            self._grown = True

    def _count(self, front: Front, sign: int) -> None:
        for z, cap in enumerate(front.ways.caps if front.ways is not None else ()):
            if cap and z != front.zone:
                self._allowed[z] += sign * round(cap * UNIT)

    def allowed(self, zone: int) -> float:
        """What all that run and are not of the zone may together ask of its hosts, kB a second."""
        return self._allowed[zone] / UNIT

    def check(self, now: int) -> None:
        """Broken where strangers may ask for more of a zone than was free. After an event that gave some front more,
        and every CHECK: what was free ages."""
        if not self._free or not self._grown and now - self._checked < CHECK:
            return
        self._checked, self._grown = now, False
        # what any plan found free there, as far back as a front may still follow one: the last one before that as well
        back = now - 2 * self.terms.holds * 12 // 10
        while len(self._free) > 1 and self._free[1][0] < back:
            self._free.popleft()
        for z in range(self.zones):
            free = max(one[z] for _, one in self._free)
            if self.allowed(z) > free + 1.0:
                raise Broken(f"{self.allowed(z):.0f} kB/s of zone {z} allowed, {free:.0f} were free")

    def strengths(self, names: Iterable[str]) -> list[float]:
        return [self.front(name).core.active_plan.strength(self.time(name)) for name in names if name in self.net.nodes]

    def standing(self, z: int) -> ZoneStatus | None:
        return max(self.plans.items())[1].zones[z].status if self.plans else None


class Gateway:
    """One gateway's membership alone."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.world, self.name = world, name
        self.core = Membership(
            name,
            world.roster,
            world.zones,
            ProbeTiming(),
            world.seed * 7919 + hash_of(name) + incarnation,
            world.net.now,
            incarnation,
        )

    def hear(self, now: int, sender: str, message: Any) -> None:
        self.core.hear(now, sender, message)

    def wake(self, now: int) -> None:
        self.core.wake(now)

    def next_wake(self) -> int:
        return self.core.next_wake()

    def collect(self, now: int) -> list[tuple[str, Any]]:
        out: list[tuple[str, Any]] = []
        for action in self.core.take_actions():
            if isinstance(action, SendMessage):
                out.append((action.to, action.message))
            elif isinstance(action, StateChanged):
                self.world.changes.append((self.world.net.now, self.name, action.name, action.state))
            else:
                assert isinstance(action, Stalled)
        return out


def hash_of(name: str) -> int:
    return sum(ord(c) * 31**n for n, c in enumerate(name))


class World:
    """A fleet's membership alone. `changes`: when (ns), who holds, whom, for what."""

    def __init__(self, seed: int = 1, gateways: int = 12, zones: int = 4, manner: Manner | None = None) -> None:
        self.seed, self.zones = seed, zones
        self.roster = {f"g{n}": n % zones for n in range(gateways)}
        self.net = Events(seed, manner or Manner(delay=(1 * MS, 20 * MS)))
        self.changes: list[tuple[int, str, str, MemberState]] = []
        for name in self.roster:
            self.start(name, 1000)

    def start(self, name: str, incarnation: int) -> None:
        self.net.add(name, Gateway(self, name, incarnation))

    def core(self, name: str) -> Membership:
        found = self.net.nodes[name].core
        assert isinstance(found, Gateway)
        return found.core

    def of(self, zone: int) -> list[str]:
        return [name for name, z in self.roster.items() if z == zone]

    def run(self, seconds: float) -> None:
        self.net.run(self.net.now + round(seconds * SECOND))

    def deaths(self, since: int = 0) -> list[tuple[int, str, str]]:
        return [(at, who, whom) for at, who, whom, life in self.changes if life is MemberState.DEAD and at >= since]

    def all_hold(self, name: str, life: MemberState) -> bool:
        return all(self.core(x).members[name].state is life for x in self.net.nodes if x != name)
