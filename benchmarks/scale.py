"""Measures a fleet's control cost and detection times by number of gateways, on a virtual clock in one process.

    python -m benchmarks.scale N --seed S [--voters V] [--for S] [--faults NAME ...] [--json FILE]

N gateways in 5 zones of 2 regions, with an odd number of voters spread over all zones. Each scenario of `SCENARIOS`
continues where the one before it ended; links delay messages by 1 to 60 ms and lose 1 in 100. The last line is one JSON
object, also where the run was stopped (`stopped` says why). Processor time is this thread's, in the product's common
part alone (hear, wake, next_wake, take); bytes are those of encoded frames, sent and received. Both are measured at the
voters, some 50 relays and a random sample of some 200 gateways; figures for all gateways are figures for these.
Exit codes: 0 all scenarios ran and all rules held, 1 otherwise, 2 bad input, with one line and nothing started.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import subprocess
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType
from typing import Any, NoReturn

from copperyard.control.coordinator import MESSAGE_CODEC, Coordinator, CoordinatorConfig, LogLine
from copperyard.control.zones.plan import ZoneStatus
from copperyard.lab.sites.simulated_network import LinkConditions
from copperyard.lab.sites.simulated_site import MS, SECOND, InvariantError, SimulatedFront, SimulatedSite, spread_voters
from copperyard.membership.gateways.messages import MemberState

ZONES, REGIONS = 5, [0, 0, 0, 1, 1]
LINKS = LinkConditions(loss=0.01, delay=(1 * MS, 60 * MS))
# The operators' budget for a gateway: ms of a core and bytes, each per second.
CPU_BUDGET_MS_PER_S, BUDGET_BYTES_PER_S = 12.0, 18_000.0
SESSIONS_PER_GATEWAY, SESSION_KB_PER_S = 4, 100.0  # sessions of a gateway, kB/s of a session
ROOM_RATIO = 2.0  # capacity of the hosts over demand
# Gateways sampled for time and frames, and for memory.
SAMPLED_GATEWAYS, MEMORY_SAMPLED_GATEWAYS = 200, 8
# Gateways of a cell: without relays 1 in 10 * CELL is killed, as many as if each cell had one delegate.
CELL = 24
RACK = 40
WEEKLY_EVENTS_PER_GATEWAY = {"failures": 126 / 7400, "replaced": 11_900 / 7400}  # a week's events per gateway
LIMIT_CHECK_INTERVAL_S = 0.25  # virtual seconds between checks of the wall-clock and memory limits


class RunStoppedError(Exception):
    """The run hit its wall-clock or memory limit before its scenarios ended; the message says which."""


# ---- what a gateway holds


def attributes(thing: object) -> Iterator[tuple[str, Any]]:
    """Names and values of an object's attributes, in its dictionary and in slots."""
    names = list(getattr(thing, "__dict__", ()))
    for kind in type(thing).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        names += [slots] if isinstance(slots, str) else list(slots)
    return ((name, getattr(thing, name)) for name in names if hasattr(thing, name))


def is_product_object(thing: object) -> bool:
    """Whether the object is an instance of one of the product's classes, enumerations aside."""
    return type(thing).__module__.startswith("copperyard.") and not isinstance(thing, Enum | type)


def count_entries(thing: object, shared: set[int]) -> Counter[str]:
    """The number of entries of each container reachable from an object, by attribute path.

    Objects whose ids are in `shared` are skipped. A frozen message counts as one entry, whatever it contains.
    """
    found: Counter[str] = Counter()
    seen = set(shared)

    def walk(one: object, path: str) -> None:
        if id(one) in seen:
            return
        seen.add(id(one))
        if isinstance(one, dict | list | set | deque):
            found[path] += len(one)
            for value in one.values() if isinstance(one, dict) else one:
                if isinstance(value, dict | list | set | deque) or is_product_object(value) and not is_frozen(value):
                    walk(value, path + "[]")
        elif is_product_object(one) and not is_frozen(one):
            for name, value in attributes(one):
                walk(value, f"{path}.{name}" if path else name)

    walk(thing, "")
    return found


def is_frozen(thing: object) -> bool:
    """Whether the object is a frozen dataclass."""
    return is_dataclass(thing) and bool(getattr(type(thing), "__dataclass_params__").frozen)  # noqa: B009


def held_bytes(thing: object, shared: set[int]) -> int:
    """Bytes of all objects reachable from one, by `sys.getsizeof`, each counted once.

    Code and classes are skipped. The allocator's overhead is not included.
    """
    seen, stack, size = set(shared), [thing], 0
    while stack:
        one = stack.pop()
        if id(one) in seen or isinstance(
            one, type | ModuleType | FunctionType | MethodType | BuiltinFunctionType | Enum
        ):
            continue
        seen.add(id(one))
        size += sys.getsizeof(one)
        stack.extend(gc.get_referents(one))
    return size


def settings_ids(site: SimulatedSite, name: str) -> set[int]:
    """Object ids of what a gateway has from its settings: its place, all names, zones, terms."""
    place = site.place(name)
    found = {id(place)} | {id(getattr(place, field.name)) for field in fields(place)}
    return found | {id(place) for place in (site.roster, site.terms)} | {id(one) for one in site.roster}


# ---- queries about the control mechanism


def is_relay(front: SimulatedFront) -> bool:
    """Whether a gateway relays between others and the voters. A flat site has no relays."""
    duty: Any = getattr(front.core, "delegate_role", None)
    return duty is not None and front.name in duty.delegates(front.site.time(front.name))


def knows_dead(core: Coordinator, name: str) -> bool:
    """Whether a gateway's own membership has another as dead."""
    member = core.members.members.get(name)
    return member is not None and member.state >= MemberState.DEAD


def reported_dead(site: SimulatedSite, message: Any) -> Iterator[str]:
    """Gateways that a message's cell reports declare dead: set bits over the sorted names of a cell."""
    reports = [one for one, _ in message.reports] if hasattr(message, "reports") else [message]
    for one in reports:
        if hasattr(one, "digest") and hasattr(one, "dead") and one.dead:
            cells: Any = getattr(site, "cells")  # noqa: B009 - a site without cells has no such reports
            yield from (name for n, name in enumerate(cells.zones[one.zone][one.cell].names) if one.dead >> n & 1)


def mechanism() -> str:
    """The control mechanism of this version: cells or flat."""
    return "cells" if any(field.name == "cells" for field in fields(CoordinatorConfig)) else "flat"


# ---- one run


def resident_mb() -> float:
    """Resident memory of this process, in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_mb() -> float:
    """Memory available on this machine, in MB."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("MemAvailable")) / 1e3


def quantile(values: list[float], fraction: float) -> float | None:
    """The value at that fraction of the sorted values; None if there are none."""
    found = sorted(values)
    return round(found[min(len(found) - 1, int(fraction * len(found)))], 3) if found else None


class Run:
    """A site that scenarios run on. RunStoppedError is raised after `wall` real seconds or above `memory` MB."""

    def __init__(
        self, gateways: int, seed: int, voters: int, wall: float = 1e9, memory: float = 1e9, calm_s: float = 10.0
    ) -> None:
        sizes = [gateways // ZONES + (z < gateways % ZONES) for z in range(ZONES)]
        self.gateways, self.wall, self.memory, self.calm_s = gateways, wall, memory, calm_s
        self.begun = time.monotonic()
        self.simulation_s = 0.0  # real seconds spent in simulation
        self.random = random.Random(seed)
        self.site = SimulatedSite(
            seed,
            ZONES,
            sizes[0],
            REGIONS,
            LINKS,
            sizes=sizes,
            voters=spread_voters(voters, ZONES),
            notes=0,
            measured=True,
            begin=False,
        )
        self.site.demand = [size * SESSIONS_PER_GATEWAY * SESSION_KB_PER_S for size in sizes]
        self.site.rooms = [ROOM_RATIO * kb for kb in self.site.demand]
        self.full_rooms = list(self.site.rooms)
        assert self.site.costs is not None
        self.tallies = self.site.costs
        self.sampled: set[str] = set()
        self.windows: list[dict[str, tuple[float, float]]] = []  # per second: ms and bytes of each sampled gateway
        self.recording = False
        self.found: dict[str, Any] = {}  # partial results of a scenario, kept if it is stopped
        self.sent_by_kind: dict[str, list[int]] = {}  # by message kind: number sent, bytes
        self.dead_at: dict[str, dict[str, int]] = {}  # by watched gateway: when each other first held it dead
        self.reported_at: dict[tuple[str, str], int] = {}  # (voter, watched gateway): first cell report of its death
        self.false_deaths: dict[str, set[str]] = {}  # running gateways that were held dead, and by whom
        self.changed_at: dict[str, int] = {}  # when a gateway last started, was killed or was cut off
        self.adopted_at: dict[int, dict[str, int]] = {}  # by epoch: when each gateway adopted it
        self.at: dict[str, int] = {}  # when each gateway adopted its newest plan
        self.epoch: dict[str, int] = {}
        net = self.site.net
        net.on_send, net.on_deliver, self.site.on_note = self._sending, self._arriving, self._noted

    # ---- callbacks of the site

    def _sending(self, sender: str, to: str, message: Any) -> None:
        tally = self.tallies[sender]
        tally.sent += 1
        tally.recipients.add(to)
        if tally.measured:
            size = len(MESSAGE_CODEC.frame(message))
            tally.sent_bytes += size
            sort = self.sent_by_kind.setdefault(getattr(type(message), "OUTER_NAME", type(message).__name__), [0, 0])
            sort[0] += 1
            sort[1] += size

    def _arriving(self, sender: str, to: str, message: Any) -> None:
        tally = self.tallies[to]
        tally.received += 1
        tally.senders.add(sender)
        if tally.measured:
            tally.received_bytes += len(MESSAGE_CODEC.frame(message))
        if self.dead_at and to in self.site.voters:
            for name in reported_dead(self.site, message):
                self.reported_at.setdefault((to, name), self.site.net.now)

    def _noted(self, front: SimulatedFront, note: LogLine) -> None:
        now = self.site.net.now
        if note.event == "plan":
            epoch = int(dict(note.fields)["epoch"])
            self.adopted_at.setdefault(epoch, {})[front.name] = now
            self.epoch[front.name] = epoch
            if len(self.adopted_at) > 8:
                del self.adopted_at[min(self.adopted_at)]
        elif note.event == "gateway dead":
            name = str(dict(note.fields)["gateway"])
            if name in self.dead_at:
                self.dead_at[name].setdefault(front.name, now)
            if name in self.site.net.nodes and now - self.changed_at.get(name, -1 << 62) > 60 * SECOND:
                self.false_deaths.setdefault(name, set()).add(front.name)

    # ---- time

    def begin(self) -> None:
        """Start all gateways at once; raises RunStoppedError where a limit is exceeded."""
        for n, name in enumerate(self.site.roster):
            if n % 25 == 0:
                self._limits(f"{n} of {self.gateways} gateways had begun, {resident_mb() / max(n, 1):.2f} MB each")
            self.site.start(name)
        gc.freeze()

    def _limits(self, so_far: str) -> None:
        if resident_mb() > self.memory:
            raise RunStoppedError(f"memory: {resident_mb():.0f} MB of {self.memory:.0f} taken; {so_far}")
        if time.monotonic() - self.begun > self.wall:
            raise RunStoppedError(f"time: {self.wall:.0f} real seconds are over; {so_far}")

    def advance(self, seconds: float) -> None:
        """Advance virtual time; while `recording`, keep each second's cost."""
        net, end = self.site.net, self.site.net.now + round(seconds * SECOND)
        while net.now < end:
            self._limits(
                f"{net.now / SECOND:.2f} virtual seconds had passed, {len(net.nodes)} of {self.gateways} "
                f"gateways ran, {resident_mb():.0f} MB"
            )
            begun = time.monotonic()
            second = (net.now // SECOND + 1) * SECOND
            if net.now % SECOND == 0:
                self._before = self._costs()
            net.run(min(end, second, net.now + round(LIMIT_CHECK_INTERVAL_S * SECOND)))
            self.simulation_s += time.monotonic() - begun
            if net.now % SECOND == 0 and self.recording and hasattr(self, "_before"):
                after = self._costs()
                self.windows.append(
                    {
                        name: ((after[name][0] - was[0]) / 1e6, float(after[name][1] - was[1]))
                        for name, was in self._before.items()
                        if name in net.nodes
                    }
                )

    def _costs(self) -> dict[str, tuple[int, int]]:
        if not self.recording:
            return {}
        return {
            name: (one.cpu_ns, one.sent_bytes + one.received_bytes)
            for name, one in self.tallies.items()
            if one.measured
        }

    def align(self) -> None:
        """Advance to a whole second, so that recorded windows start there."""
        self.advance(-self.site.net.now % SECOND / SECOND)

    def run_until(self, done: Callable[[], bool], most: float, step: float = LIMIT_CHECK_INTERVAL_S) -> float | None:
        """Virtual seconds until the condition held; None if it did not within `most` seconds."""
        begin = self.site.net.now
        while not done():
            if self.site.net.now - begin >= most * SECOND:
                return None
            self.advance(step)
        return round((self.site.net.now - begin) / SECOND, 3)

    # ---- operations on the site and queries

    def kill(self, names: list[str]) -> None:
        """Kill gateways."""
        for name in names:
            self.site.net.kill(name)
            self.changed_at[name] = self.site.net.now

    def start(self, names: list[str]) -> None:
        """Start or restart gateways."""
        for name in names:
            self.changed_at[name] = self.site.net.now
            self.site.start(name)

    def newest_epoch(self) -> int:
        """The epoch of the newest plan, 0 before the first."""
        return max(self.site.plans, default=0)

    def all_follow(self, epoch: int) -> bool:
        """Whether all running gateways adopted that plan or a later one."""
        return all((one.core.plan.epoch if one.core.plan is not None else 0) >= epoch for one in self.site.fronts())

    def settled(self) -> bool:
        """Whether there is a leader, all follow the newest plan and each reaches full strength."""
        return (
            self.newest_epoch() > 0
            and self.all_follow(self.newest_epoch())
            and self.site.leader() is not None
            and min(self.site.strengths(list(self.site.net.nodes))) == 1.0
        )

    def relays(self) -> list[str]:
        """The running gateways that relay between others and the voters."""
        return [one.name for one in self.site.fronts() if is_relay(one)]

    def plain(self) -> list[str]:
        """The running gateways that are neither voter nor relay."""
        out = set(self.site.voters) | set(self.relays())
        return [name for name in self.site.net.nodes if name not in out]

    def draw_sample(self, more: Iterable[str] = ()) -> None:
        """Draw the gateways whose time and frames are measured from now on; `more` are among them."""
        plain, between = self.plain(), self.relays()
        self.sampled = {
            *self.site.voters,
            *more,
            *self.random.sample(plain, min(SAMPLED_GATEWAYS, len(plain))),
            *self.random.sample(between, min(SAMPLED_GATEWAYS // 4, len(between))),
        }
        for name, tally in self.tallies.items():
            tally.measured = name in self.sampled

    def by_role(self, of: dict[str, float]) -> dict[str, float | None]:
        """Quantiles over plain gateways, the leader's value, and the medians of relays and of other voters."""
        leader, between = self.site.leader(), set(self.relays())
        voters = set(self.site.voters)
        plain = [v for name, v in of.items() if name not in voters and name not in between]
        return {
            "median": quantile(plain, 0.5),
            "p99": quantile(plain, 0.99),
            "most": quantile(plain, 1.0),
            "leader": round(of[leader], 3) if leader in of else None,
            "relay": quantile([v for name, v in of.items() if name in between], 0.5),
            "voter": quantile([v for name, v in of.items() if name in voters and name != leader], 0.5),
        }

    def worst_window(self, span: int) -> dict[str, float | None]:
        """The greatest processor time (ms/s) and traffic (bytes/s) of any one gateway, for non-voters and for voters.

        Each figure is a mean over `span` consecutive recorded seconds; its worst window counts.
        """
        ms: dict[str, float] = {}
        sent: dict[str, float] = {}
        voters = set(self.site.voters)
        for at in range(0, max(0, len(self.windows) - span + 1)):
            part = self.windows[at : at + span]
            for name in part[-1]:
                ms[name] = max(ms.get(name, 0.0), sum(w[name][0] for w in part if name in w) / span)
                sent[name] = max(sent.get(name, 0.0), sum(w[name][1] for w in part if name in w) / span)
        return {
            "ms_per_s": quantile([v for name, v in ms.items() if name not in voters], 1.0),
            "bytes_per_s": quantile([v for name, v in sent.items() if name not in voters], 1.0),
            "voter_ms_per_s": quantile([v for name, v in ms.items() if name in voters], 1.0),
            "voter_bytes_per_s": quantile([v for name, v in sent.items() if name in voters], 1.0),
        }

    def longest_over_budget_s(self) -> int:
        """The longest run of seconds in which a gateway that is no voter used more than twice its budget."""
        longest, row = 0, Counter[str]()
        for window in self.windows:
            for name, (ms, size) in window.items():
                row[name] = (
                    row[name] + 1
                    if (ms > 2 * CPU_BUDGET_MS_PER_S or size > 2 * BUDGET_BYTES_PER_S) and name not in self.site.voters
                    else 0
                )
                longest = max(longest, row[name])
        return longest

    def messages_by_kind(self) -> dict[str, list[int]]:
        """Messages that sampled gateways sent, by kind: their number and mean size in bytes."""
        return {kind: [count, round(size / count)] for kind, (count, size) in sorted(self.sent_by_kind.items())}

    def max_entries(self, names: list[str]) -> dict[str, int]:
        """By container, the most entries that any of these gateways holds."""
        found: Counter[str] = Counter()
        for name in names:
            if name in self.site.net.nodes:
                found |= count_entries(self.site.front(name).core, settings_ids(self.site, name))
        return dict(sorted(found.items()))


# ---- scenarios: each returns keys of the result, in virtual seconds unless stated otherwise


def calm(run: Run, seconds: float) -> dict[str, Any]:
    """Cost and memory over some seconds (--calm) in which nothing happens."""
    run.draw_sample()
    run.align()
    run.sent_by_kind.clear()
    before = {name: (t.cpu_ns, t.sent, t.received, t.sent_bytes, t.received_bytes) for name, t in run.tallies.items()}
    run.advance(run.calm_s)
    part = {
        name: tuple(
            (a - b) / run.calm_s
            for a, b in zip((t.cpu_ns, t.sent, t.received, t.sent_bytes, t.received_bytes), before[name], strict=True)
        )
        for name, t in run.tallies.items()
        if t.measured
    }
    leader = run.site.leader()
    held: dict[str, float] = {}
    sample = (
        run.random.sample(run.plain(), min(MEMORY_SAMPLED_GATEWAYS, len(run.plain())))
        + run.relays()[:2]
        + list(run.site.voters)
    )
    for name in sample:
        held[name] = round(held_bytes(run.site.front(name).core, settings_ids(run.site, name)) / 1e6, 4)
    roles = run.by_role(held)
    plain = [name for name in sample if name not in run.site.voters]
    return {
        "cpu_ms_per_s": run.by_role({name: one[0] / 1e6 for name, one in part.items()}),
        "messages_per_s": run.by_role({name: one[1] + one[2] for name, one in part.items()}),
        "bytes_per_s": run.by_role({name: one[3] + one[4] for name, one in part.items()}),
        "sent_bytes_per_s": run.by_role({name: one[3] for name, one in part.items()}),
        "kinds": run.messages_by_kind(),
        "control_mb": max((held[name] for name in plain), default=None),
        "held_mb": roles,
        "settings_mb": round(held_bytes(run.site.place(plain[0]), set()) / 1e6, 3),
        "held": run.max_entries(plain),
        "held_leader": run.max_entries([leader]) if leader else {},
        "resident_mb": round(resident_mb()),
        "resident_mb_each": round(resident_mb() / run.gateways, 3),
    }


def dead(run: Run, seconds: float) -> dict[str, Any]:
    """Three gateways die, one in each of three zones."""
    names = []
    for zone in (0, 1, 4):
        here = [
            name for name in run.site.gateways_in(zone) if name not in run.site.voters
        ]  # all may be relays in a small zone
        plain = set(run.plain())
        names.append(run.random.choice([name for name in here if name in plain] or here))
    holders = {name: [one.name for one in run.site.fronts() if name in one.core.members.members] for name in names}
    run.dead_at, run.reported_at = {name: {} for name in names}, {}
    begin = run.site.net.now
    run.kill(names)
    leader: dict[str, float] = {}

    def known() -> bool:
        now = run.site.net.now
        for name in names:
            led = run.site.leader()
            if (
                name not in leader
                and led is not None
                and ((led, name) in run.reported_at or knows_dead(run.site.front(led).core, name))
            ):
                leader[name] = (now - begin) / SECOND
                if len(leader) == len(names):
                    run.found["dead_known_council_s"] = round(max(leader.values()), 3)
        return len(leader) == len(names) and all(
            who in run.dead_at[name] or who not in run.site.net.nodes for name in names for who in holders[name]
        )

    run.run_until(known, 60)
    times = [(at - begin) / SECOND for name in names for at in run.dead_at[name].values()]
    all_know = all(who in run.dead_at[name] or who not in run.site.net.nodes for name in names for who in holders[name])
    in_time, run.dead_at = run.dead_at, {}
    run.start(names)
    run.run_until(run.settled, 60)
    near = [
        (at - begin) / SECOND
        for name in names
        for who, at in in_time[name].items()
        if run.site.roster[who] == run.site.roster[name]
    ]
    return {
        "dead_known_s": round(max(times), 3) if all_know else None,
        "dead_known_p50_s": quantile(times, 0.5),
        "dead_known_first_s": [round((min(one.values()) - begin) / SECOND, 3) for one in in_time.values() if one],
        "dead_known_zone_s": quantile(near, 1.0) if all_know else None,
        "dead_known_council_s": round(max(leader.values()), 3) if len(leader) == len(names) else None,
        "dead_holders": max(len(one) for one in holders.values()),
    }


def commit_entry(run: Run, at_once: Callable[[], None]) -> tuple[list[float], bool]:
    """Commit an entry by changing zone 1's room; `at_once` is called as soon as it is committed.

    Returns the seconds until each gateway adopted it, and whether all did.
    """
    before = run.newest_epoch()
    run.site.rooms[1] = run.full_rooms[1] * (0.45 if run.site.rooms[1] == run.full_rooms[1] else 1.0)
    if run.run_until(lambda: run.newest_epoch() > before, 40, 0.05) is None:
        return [], False
    epoch = run.newest_epoch()
    begin = next(at for at, plan in run.site.committed if plan.epoch == epoch)
    at_once()
    all_took = run.run_until(lambda: run.all_follow(epoch), 60) is not None
    first: dict[str, int] = {}
    for number in sorted(run.adopted_at):
        if number >= epoch:
            for name, at in run.adopted_at[number].items():
                first.setdefault(name, at)
    run.advance(3)
    return [(at - begin) / SECOND for name, at in first.items() if name in run.site.net.nodes], all_took


def change(run: Run, seconds: float) -> dict[str, Any]:
    """Four committed entries, one after another: how long running gateways take to adopt them."""
    found = [commit_entry(run, lambda: None) for _ in range(4)]
    return {"change_in_force_s": adoption_summary(found)}


def adoption_summary(found: list[tuple[list[float], bool]]) -> dict[str, Any]:
    """Quantiles of the adoption times of some entries; `last` is None unless all gateways adopted each."""
    times = [one for row, _ in found for one in row]
    return {
        "p50": quantile(times, 0.5),
        "p99": quantile(times, 0.99),
        "last": quantile(times, 1.0) if all(done for _, done in found) else None,
        "entries": len(found),
    }


def killed(run: Run, seconds: float) -> dict[str, Any]:
    """As `change`, but a relay of every tenth cell dies on commit; sampled plain gateways if there are no relays."""
    gone: list[str] = []

    def strike() -> None:
        from_whom = [name for name in run.relays() if name not in run.site.voters] or run.plain()
        each = 20 if run.relays() else 10 * CELL
        gone.extend(run.random.sample(from_whom, max(1, len(from_whom) // each)))
        run.kill(gone)

    found = [commit_entry(run, strike)]
    killed_now = len(gone)
    run.start(gone)
    found.append(commit_entry(run, lambda: None))
    run.run_until(run.settled, 60)
    return {"change_in_force_killed_s": adoption_summary(found[:1]), "killed": killed_now}


def quiet(run: Run, seconds: float) -> dict[str, Any]:
    """Nothing dies for --for seconds: each gateway that is held dead is a false positive."""
    run.false_deaths = {}
    run.advance(seconds)
    return {
        "false_deaths": len(run.false_deaths),
        "false_verdicts": sum(map(len, run.false_deaths.values())),
        "false_deaths_in_s": seconds,
    }


def slow(run: Run, seconds: float) -> dict[str, Any]:
    """As `quiet`, with every tenth plain gateway pausing for 0.3 to 0.9 s about every two seconds."""
    run.false_deaths = {}
    names = run.plain()[::10]
    end, net = run.site.net.now + round(seconds * SECOND), run.site.net
    for name in names:
        at = net.now
        while at < end:
            at += run.random.randint(1000, 3000) * MS
            net.at(at, partial(net.pause, name, run.random.randint(300, 900) * MS))
    run.advance(seconds)
    fast = set(run.false_deaths) - set(names)
    found = {
        "false_deaths_slow": len(run.false_deaths),
        "false_deaths_of_fast": len(fast),
        "slow": len(names),
        "false_deaths_slow_in_s": seconds,
    }
    run.advance(5)
    return found


def zone(run: Run, seconds: float) -> dict[str, Any]:
    """A zone is lost with its hosts; measures the minute after it."""
    site, lost = run.site, set(run.site.gateways_in(3))
    run.draw_sample()
    run.align()
    run.windows, run.recording, begin = [], True, site.net.now
    names = len(lost)
    site.lose_zone(3)
    for name in lost:
        run.changed_at[name] = site.net.now
    agreed = run.run_until(lambda: site.standing(3) is ZoneStatus.CLOSED, 60)
    epoch = run.newest_epoch()
    run.found["zone_known_s"] = agreed
    force = run.run_until(lambda: run.all_follow(epoch), 60) if agreed is not None else None
    run.found["zone_in_force_s"] = None if agreed is None or force is None else agreed + force
    run.advance(max(0.0, 60 - (site.net.now - begin) / SECOND))
    run.recording = False
    worst, minute = run.worst_window(10), run.worst_window(len(run.windows))
    held = [
        member.state for one in site.fronts() for member in one.core.members.members.values() if member.name in lost
    ]
    return {
        "zone_known_s": agreed,
        "zone_in_force_s": None if agreed is None or force is None else agreed + force,
        "zone_gateways": names,
        "zone_worst_10s": worst,
        "zone_worst_minute": minute,
        "zone_held_dead_after_60s": round(sum(life >= MemberState.DEAD for life in held) / max(1, len(held)), 4),
    }


def storm(run: Run, seconds: float) -> dict[str, Any]:
    """All gateways of the lost zone start at once."""
    site, names = run.site, run.site.gateways_in(3)
    if any(name in site.net.nodes for name in names):
        site.lose_zone(3)
        run.advance(40)
    run.draw_sample(run.random.sample(names, min(SAMPLED_GATEWAYS, len(names))))
    run.align()
    run.windows, run.recording = [], True
    run.sent_by_kind.clear()
    site.rooms[3] = run.full_rooms[3]
    run.start(names)
    here = run.run_until(
        lambda: all(one.core.plan is not None for one in map(site.front, names)) and min(site.strengths(names)) == 1.0,
        60,
    )
    run.advance(30)
    run.align()
    run.recording = False
    worst = run.worst_window(1)
    ms, size = worst["ms_per_s"], worst["bytes_per_s"]
    found = {
        "storm_gateways": len(names),
        "storm_joined_s": here,
        "storm_worst_1s": worst,
        "storm_budget_times": round(max((ms or 0) / CPU_BUDGET_MS_PER_S, (size or 0) / BUDGET_BYTES_PER_S), 3),
        "storm_over_twice_s": run.longest_over_budget_s(),
        "storm_kinds": run.messages_by_kind(),
    }
    run.run_until(lambda: site.standing(3) is ZoneStatus.OPEN, 60)
    return found


def regions(run: Run, seconds: float) -> dict[str, Any]:
    """Two regions are partitioned for 3 minutes while demand changes; then the partition heals."""
    site = run.site
    ones, others = site.gateways_in(0, 1, 2), site.gateways_in(3, 4)
    site.net.partition(ones, others)
    run.advance(60)
    site.demand[1] *= 1.5  # the majority wants room that the minority may still be using
    run.advance(60)
    site.demand[1] /= 1.5
    run.advance(60)
    led = site.leader()
    apart = site.strengths(others)
    site.net.heal()
    for name in site.roster:
        run.changed_at[name] = site.net.now
    return {
        "rejoin_s": run.run_until(run.settled, 120),
        "apart_s": 180,
        "apart_led": led is not None,
        "apart_minority_strength": max(apart, default=None),
    }


def week(run: Run, seconds: float) -> dict[str, Any]:
    """A week's failures, replacements and a rack failure within five minutes.

    Containers of gateways that keep running throughout are checked for growth.
    """
    site = run.site
    plain = run.plain()
    stay = set(run.random.sample(plain, min(MEMORY_SAMPLED_GATEWAYS, len(plain) // 4))) | set(site.voters)
    some = [name for name in site.roster if name not in stay]
    start = run.max_entries(sorted(stay))
    gc.collect()
    began = resident_mb()
    span = 300 * SECOND
    failures = max(1, round(WEEKLY_EVENTS_PER_GATEWAY["failures"] * run.gateways))
    replaced = max(1, round(WEEKLY_EVENTS_PER_GATEWAY["replaced"] * run.gateways))

    def strike(name: str, back: int) -> None:
        if name in site.net.nodes:
            run.kill([name])
            site.net.at(site.net.now + back, lambda: run.start([name]) if name not in site.net.nodes else None)

    for n in range(replaced + failures):
        at = site.net.now + run.random.randrange(span)
        back = (2 if n < replaced else 30) * SECOND
        site.net.at(at, partial(strike, run.random.choice(some), back))
    rack = [name for name in some if site.roster[name] == 2][:RACK]
    for name in rack:
        site.net.at(site.net.now + span // 2, partial(strike, name, 20 * SECOND))
    middle: dict[str, int] = {}
    for n in range(30):
        run.advance(span / SECOND / 30)
        gc.collect()
        if n == 14:
            middle = run.max_entries(sorted(stay))
    settled = run.run_until(run.settled, 90)
    run.advance(30)
    end = run.max_entries(sorted(stay))
    # a log is compacted every 256 entries, so its length may be anything up to that at each of the three samples
    grown = {
        name: [start.get(name, 0), middle.get(name, 0), n]
        for name, n in end.items()
        if n > 1.1 * max(start.get(name, 0), middle.get(name, 0)) + 8 and not (name.endswith(".log") and n <= 257)
    }
    return {
        "week_failures": failures,
        "week_replaced": replaced,
        "week_rack": len(rack),
        "week_settled_s": settled,
        "week_held_start": start,
        "week_held_middle": middle,
        "week_held_end": end,
        "week_grown": grown,
        "week_resident_mb": [round(began), round(resident_mb())],
    }


SCENARIOS: dict[str, Callable[[Run, float], dict[str, Any]]] = {
    "calm": calm,
    "dead": dead,
    "change": change,
    "killed": killed,
    "false": quiet,
    "slow": slow,
    "zone": zone,
    "storm": storm,
    "regions": regions,
    "week": week,
}


# ---- the command


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        print(f"scale: {message}", file=sys.stderr)
        raise SystemExit(2)


def arguments(argv: list[str]) -> argparse.Namespace:
    """Parse and check the command line; exits with code 2 and one line on bad input."""
    parser = _Parser(prog="python -m benchmarks.scale", description="A fleet's control on a virtual clock.")
    parser.add_argument("gateways", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--voters", type=int, default=9, help="an odd number, spread over the zones")
    parser.add_argument("--for", type=float, default=600.0, dest="seconds", help="virtual s of false and slow")
    parser.add_argument("--calm", type=float, default=10.0, help="virtual s of calm")
    parser.add_argument("--warm", type=float, default=12.0, help="virtual s before the first scenario")
    parser.add_argument(
        "--faults",
        nargs="+",
        default=[name for name in SCENARIOS if name != "week"],
        metavar="NAME",
        help="of: " + " ".join(SCENARIOS),
    )
    parser.add_argument(
        "--json", type=Path, default=None, metavar="FILE", help="write the last line to this file as well"
    )
    parser.add_argument("--wall", type=float, default=1e9, help="real s after which it stops")
    parser.add_argument("--memory", type=float, default=free_mb() / 2, help="MB after which it stops")
    found = parser.parse_args(argv)
    if found.voters < 1 or found.voters % 2 == 0:
        parser.error(f"--voters: {found.voters} is no odd number of 1 or more")
    if found.gateways < max(found.voters, 2 * ZONES):
        parser.error(f"gateways: {found.gateways} is under {max(found.voters, 2 * ZONES)}: the voters, two a zone")
    for name in found.faults:
        if name not in SCENARIOS:
            parser.error(f"--faults: {name!r} is none of {' '.join(SCENARIOS)}")
    for name in ("seconds", "calm", "warm", "wall", "memory"):
        if not 0 < getattr(found, name) <= 1e9:
            flag = "for" if name == "seconds" else name
            parser.error(f"--{flag}: {getattr(found, name)} is not above 0, 1e9 at most")
    if found.json is not None and not found.json.parent.is_dir():
        parser.error(f"--json: {str(found.json.parent)!r} is no folder")
    return found


def commit() -> str:
    """The commit that runs, as `git describe` names it; empty outside of a work tree."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty"],
            cwd=Path(__file__).parent,
            text=True,
            capture_output=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return found.stdout.strip()


def run_scenarios(
    gateways: int,
    seed: int,
    voters: int,
    seconds: float,
    names: list[str],
    wall: float = 1e9,
    memory: float = 1e9,
    warm: float = 12.0,
    calm_s: float = 10.0,
) -> dict[str, Any]:
    """Run scenarios one after another on one site, `warm` virtual seconds after all follow its first plan.

    Keys of the result are null where nothing was measured.
    """
    result: dict[str, Any] = dict.fromkeys(
        (
            "cpu_ms_per_s",
            "bytes_per_s",
            "control_mb",
            "dead_known_s",
            "zone_known_s",
            "false_deaths",
            "change_in_force_s",
            "rejoin_s",
        )
    )
    result |= {
        "gateways": gateways,
        "real": 0,
        "hollow": gateways,
        "clock": "virtual",
        "mechanism": mechanism(),
        "seed": seed,
        "voters": voters,
        "calm_s": calm_s,
        "warm_s": warm,
        "loss": LINKS.loss,
        "delay_ms": [d // MS for d in LINKS.delay],
        "rules": "held",
        "histories": 1,
        "stopped": None,
        "played": [],
    }
    gc.collect()
    gc.disable()
    run = Run(gateways, seed, voters, wall, memory, calm_s)
    try:
        run.begin()
        result["settled_s"] = run.run_until(run.settled, 90)
        print(
            f"{gateways} gateways, seed {seed}: all follow one plan after {result['settled_s']} s; "
            f"{resident_mb():.0f} MB",
            flush=True,
        )
        run.advance(warm)
        for name in names:
            real, now = time.monotonic(), run.site.net.now
            run.found = {}
            found = SCENARIOS[name](run, seconds)
            result |= found
            result["played"].append(name)
            shown = {key: value for key, value in found.items() if "held" not in key or key == "held_mb"}
            print(
                f"{name} ({(run.site.net.now - now) / SECOND:.0f} s in {time.monotonic() - real:.0f} real s): "
                f"{json.dumps(shown)}",
                flush=True,
            )
            gc.collect()
    except RunStoppedError as stop:
        result |= run.found
        result["stopped"] = str(stop)
        print(f"stopped: {stop}")
    except InvariantError as broken:
        result["rules"] = str(broken)
        result["histories"] = 2 if "two plans" in str(broken) else 1
        print(f"broken: {broken}")
    finally:
        gc.enable()
        gc.unfreeze()
    net = run.site.net
    result |= {
        "links_most": max(len(one.recipients) for one in run.tallies.values()),
        "links_both_ways_most": max(len(one.recipients | one.senders) for one in run.tallies.values()),
        "links_voters_most": max(
            len(run.tallies[name].recipients | run.tallies[name].senders) for name in run.site.voters
        ),
        "messages": net.sent,
        "epochs": len(run.site.plans),
        "virtual_s": round(net.now / SECOND, 2),
        "real_s": round(time.monotonic() - run.begun, 1),
        "virtual_s_per_real_s": round(net.now / SECOND / run.simulation_s, 4) if run.simulation_s else None,
    }
    return result


def main(argv: list[str] | None = None) -> int:
    """Run the command; returns its exit code."""
    asked = arguments(sys.argv[1:] if argv is None else argv)
    result = run_scenarios(
        asked.gateways,
        asked.seed,
        asked.voters,
        asked.seconds,
        asked.faults,
        asked.wall,
        asked.memory,
        asked.warm,
        asked.calm,
    )
    result |= {
        "commit": commit(),
        "cores": os.cpu_count(),
        "load": round(os.getloadavg()[0], 1),
        "python": sys.version.split()[0],
    }
    line = json.dumps(result)
    if asked.json is not None:
        asked.json.write_text(line + "\n")
    print(line)
    return 0 if result["stopped"] is None and result["rules"] == "held" else 1


if __name__ == "__main__":
    sys.exit(main())
