"""Runs a rehearsal: a whole site with viewers and injected faults, then audits it and computes the service figures."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import trio

from ..config import Site
from ..control.rules import AdmissionRule
from ..gateway.net import Network
from ..interface import ClassSettings
from ..protocol.rtsp import Request
from .audit import Attempt, Auditor, Tap, Violation, redeemed
from .emulator import Stream
from .faults import inject_fault
from .fleet import Fleet, GatewayFactory
from .rehearsal import Rehearsal
from .viewers import HABITS, Viewer, Visit

MS = 1_000_000
SECOND = 1_000_000_000
WINDOW_S = 10  # length of the windows of which the worst one counts
SERVICE_WEIGHTS = (0.6, 0.2, 0.2)  # whole run, worst 10 s, worst class; the first users' weights
MAX_LAG_S = 0.25  # a run on sockets is void if the event loop was later than this


@dataclass(frozen=True, slots=True)
class HostSecond:
    """Demand on one host and what it delivered in one second; `demand` in kB/s, loads and share as ratios."""

    second: int
    host: str
    demand: float
    link_load: float
    uplink_load: float
    share: float
    streams: int


@dataclass(slots=True)
class Result:
    """The outcome of a rehearsal."""

    rehearsal: Rehearsal
    seed: int
    visits: list[Visit]
    violations: list[Violation]
    attempts: list[Attempt]
    host_seconds: list[HostSecond]
    leftovers: list[str]
    tap: Tap
    summary: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class LoopLag:
    """Measures the largest delay of the event loop, in s."""

    max_s: float = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + 0.05
            await trio.sleep_until(due)
            self.max_s = max(self.max_s, trio.current_time() - due)


async def run_rehearsal(
    site: Site,
    rehearsal: Rehearsal,
    network: Network,
    seed: int,
    slack: int,
    max_lateness: int,
    log: Callable[[str, Mapping[str, str | int]], None] = lambda event, fields: None,
    make: GatewayFactory | None = None,
    fleet_made: Callable[[Fleet], None] | None = None,
    at_end: Callable[[Fleet], Awaitable[list[str]]] | None = None,
) -> Result:
    """Run a rehearsal to its end and audit it. `slack` and `max_lateness` (ns) are the auditor's."""
    fleet = Fleet(site, network, seed, log, make)
    if fleet_made is not None:
        fleet_made(fleet)
    rng = random.Random(seed)
    visits: list[Visit] = []
    host_seconds: list[HostSecond] = []
    lag = LoopLag()
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        with trio.move_on_after(10):
            await fleet.ready()
        nursery.start_soon(lag.watch)
        begin = trio.current_time()
        nursery.start_soon(_sample_hosts, fleet, begin, host_seconds)
        async with trio.open_nursery() as crowd:
            for n, fault in enumerate(rehearsal.faults):
                crowd.start_soon(inject_fault, fleet, fault, random.Random(seed * 31 + n), begin)
            await _arrivals(fleet, rehearsal, rng, visits, crowd, begin)
        await trio.sleep(1.0)
        left = await at_end(fleet) if at_end is not None else []
        nursery.cancel_scope.cancel()
    await trio.lowlevel.checkpoint()
    auditor = Auditor(site.rules, fleet.tap, slack, max_lateness, site.state is not None)
    result = Result(rehearsal, seed, visits, auditor.check(), auditor.attempts, host_seconds, left, fleet.tap)
    compute_worth(site, fleet, visits)
    result.summary = _summary(site, result, fleet, lag.max_s)
    return result


async def _sample_hosts(fleet: Fleet, begin: float, rows: list[HostSecond]) -> None:
    second = 0
    while True:
        second += 1
        await trio.sleep_until(begin + second)
        for host in fleet.hosts:
            model = host.model
            rows.append(
                HostSecond(
                    second,
                    host.name,
                    model.demand(),
                    model.load(),
                    model.rack.load(),
                    model.share(),
                    len(model.streams),
                )
            )


async def _arrivals(
    fleet: Fleet, rehearsal: Rehearsal, rng: random.Random, visits: list[Visit], nursery: trio.Nursery, begin: float
) -> None:
    """Start viewers open-loop: each one arrives at its time, whatever becomes of earlier ones."""
    paths = [t.path for t in fleet.site.titles]
    load = rehearsal.load
    weights = [1 / (n + 1) ** load.zipf for n in range(len(paths))]
    arrivals: list[tuple[float, str, bool]] = []
    at = 0.0
    while (at := at + rng.expovariate(load.rate)) < rehearsal.seconds:
        arrivals.append((at, rng.choices(paths, weights)[0], rng.random() < load.paid))
    for crowd in rehearsal.crowds:
        arrivals += [
            (crowd.at + rng.uniform(0, crowd.within), crowd.title, rng.random() < crowd.paid)
            for _ in range(crowd.viewers)
        ]
    longest = max(c.deadline for c in fleet.site.rules.settings.classes)
    lengths = {t.path: t.length / SECOND if t.length is not None else 1e9 for t in fleet.site.titles}

    def pick() -> tuple[str, str]:
        gateway = rng.choice([g for g in fleet.gateways if g.address])
        return gateway.name, gateway.address

    for at, path, paid in sorted(arrivals):
        await trio.sleep_until(begin + at)
        code = f"c{fleet.seed}x{len(visits)}" if paid else ""
        misbehaves = rng.random() < load.misbehave
        habit = rng.choice(HABITS[1:]) if misbehaves else HABITS[0]
        if paid and misbehaves and rng.random() < 0.1:
            code = "bad" + code
        watch = rng.uniform(*load.watch)
        visit = Visit(path, code, habit, round((begin + at) * 1e9), min(watch, lengths[path]))
        visits.append(visit)
        viewer = Viewer(fleet.network, fleet.tap, pick, visit, longest, random.Random(rng.random()))
        nursery.start_soon(viewer.run, watch)


def class_of(site: Site, visit: Visit) -> ClassSettings:
    """Return the class that a visit belongs to."""
    matching: list[AdmissionRule] = [
        e for e in site.rules.admission_rules if visit.title.startswith(e.prefix) and e.paid == bool(visit.code)
    ]
    return site.rules.settings.classes[matching[0].cls if matching else 0]


def counts_for_service(visit: Visit) -> bool:
    """Whether a visit counts in the service figures: one that leaves on its own before it plays does not."""
    return visit.habit not in ("half-message", "hang-up") and not visit.code.startswith("bad")


def compute_worth(site: Site, fleet: Fleet, visits: list[Visit]) -> None:
    """Set the worth of each visit.

    It is the class's worth times the share of the requested seconds that played, weighted by rung and reduced for
    missing media; 0 if the visit did not start to play in time.
    """
    by_request: dict[str, list[Stream]] = {}
    for host in fleet.hosts + fleet.removed_hosts:
        for request, streams in host.streams_by_request.items():
            by_request.setdefault(request, []).extend(streams)
    for visit in visits:
        cls = class_of(site, visit)
        streams = [s for request in visit.request_ids for s in by_request.get(request, ())]
        visit.rungs = [rung for s in streams for rung in s.rungs]
        if not counts_for_service(visit):
            continue
        visit.worth_asked = cls.worth
        visit.in_time = visit.played_after is not None and visit.played_after <= cls.answer_target
        played = sum(s.worth_s for s in streams) / max(0.2, visit.watch)
        visit.worth = cls.worth * max(0.0, min(1.0, played)) if visit.in_time else 0.0


def worth_share(visits: list[Visit]) -> float:
    """Return the worth delivered in time divided by the worth requested."""
    asked = sum(v.worth_asked for v in visits)
    return sum(v.worth for v in visits) / asked if asked else 0.0


def service(site: Site, visits: list[Visit]) -> dict[str, float]:
    """Return the service figure, a weighted mean, and its parts.

    Each part is the share of the requested worth that was delivered in time: in the whole run, in the worst window of
    10 s (visits are grouped by arrival time), and in the worst session class.
    """
    first = min((v.began for v in visits), default=0)
    windows: dict[int, list[Visit]] = {}
    classes: dict[str, list[Visit]] = {}
    for visit in visits:
        windows.setdefault((visit.began - first) // (WINDOW_S * SECOND), []).append(visit)
        classes.setdefault(class_of(site, visit).name, []).append(visit)
    whole = worth_share(visits)
    # the last window may hold only a few visits; it is left out if there is another
    full = [w for n, w in sorted(windows.items()) if n < max(windows) or len(windows) == 1]
    window = min((worth_share(w) for w in full), default=0.0)
    worst = min((worth_share(c) for c in classes.values() if any(v.worth_asked for v in c)), default=0.0)
    mixed = SERVICE_WEIGHTS[0] * whole + SERVICE_WEIGHTS[1] * window + SERVICE_WEIGHTS[2] * worst
    return {
        "service": round(mixed, 4),
        "whole": round(whole, 4),
        "worst_10s": round(window, 4),
        "worst_class": round(worst, 4),
    }


def lost_worth(site: Site, visits: list[Visit]) -> dict[str, float]:
    """Return the requested worth that was lost, by cause, as shares of the requested worth."""
    asked = sum(v.worth_asked for v in visits) or 1.0
    causes = {"late": 0.0, "refused": 0.0, "failed": 0.0, "broken or left": 0.0, "low rung or short": 0.0}
    for v in visits:
        lost = v.worth_asked - v.worth
        if v.in_time:
            broken = v.ended.startswith("broken")
            causes["broken or left" if broken else "low rung or short"] += lost
        elif v.played_after is not None:
            causes["late"] += lost
        elif v.statuses and v.statuses[-1] == 453:
            causes["refused"] += lost
        else:
            causes["failed"] += lost
    return {cause: round(lost / asked, 4) for cause, lost in causes.items()}


def trace_hash(tap: Tap) -> str:
    """Return a hash of all recorded traffic: every message with its time and connection."""
    digest = hashlib.sha256()
    for kind, sides in (("viewer", tap.viewers), ("host", tap.hosts)):
        for side in sides:
            digest.update(f"{kind} {side.name} {side.boot} {side.frames} {side.ended_at}\n".encode())
            for time, ours, message in side.messages:
                what = message.method if isinstance(message, Request) else message.status
                digest.update(f"{time} {ours} {what} {message.header('CSeq')}\n".encode())
    return digest.hexdigest()[:16]


def _summary(site: Site, result: Result, fleet: Fleet, lag: float) -> dict[str, object]:
    visits = result.visits
    statuses = Counter(s for v in visits for s in v.statuses)
    codes = Counter(code for side in fleet.tap.hosts for code in redeemed(side))
    play_times = sorted(v.played_after for v in visits if v.played_after is not None)
    rungs = Counter(r for v in visits for r in v.rungs)
    return {
        "rehearsal": result.rehearsal.name,
        "seed": result.seed,
        "requests": len(visits),
        "answers": {
            "played": statuses[200],
            "refused": statuses[453],
            "failed": sum(n for s, n in statuses.items() if s >= 500),
            "denied": sum(n for s, n in statuses.items() if 400 <= s < 500 and s != 453),
        },
        "ends": dict(sorted(Counter(v.ended.split(":")[0] for v in visits).items())),
        "in_time": round(
            sum(v.worth_asked for v in visits if v.in_time) / max(1e-9, sum(v.worth_asked for v in visits)), 4
        ),
        **service(site, visits),
        "lost": lost_worth(site, visits),
        "play_ms": {
            name: round(play_times[min(len(play_times) - 1, int(q * len(play_times)))] / MS, 1) if play_times else None
            for name, q in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
        },
        "rungs": {str(r): n for r, n in sorted(rungs.items())},
        "redemptions": len(fleet.redemption.receipts),
        "redeemed_twice": sum(1 for n in codes.values() if n > 1),
        "stream_faults": sum(len(v.faults) for v in visits),
        "attempts": len(result.attempts),
        "fallen": sum(h.model.fallen for h in fleet.hosts + fleet.removed_hosts),
        "lag_ms": round(lag * 1000, 1),
        "void": lag > MAX_LAG_S,
        "trace": trace_hash(fleet.tap),
        "rules": {str(rule): sum(1 for b in result.violations if b.rule == rule) for rule in range(1, 7)},
    }
