"""A scenario run of a site whose gateways are processes: viewers, hosts, a relay between gateways, faults, an audit.

The audit uses the sockets (the six rules, and what fronts of each zone asked of the hosts of each zone) and the logs
of the gateways (one history of plans).
"""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime
from pathlib import Path

import trio

from ...config import Site
from ...gateway.net import TcpNetwork
from ..audit import Auditor, Violation, redeemed
from ..fleet import Fleet
from ..run import LoopLag, compute_worth, lost_worth, service
from ..viewers import Viewer, Visit
from .faults import LEADER, Fault, SiteScenario
from .processes import GatewayProcesses
from .relay import Relay

SECOND = 1_000_000_000
# ns: tolerances of the auditor, on a machine that it shares with fifteen processes
AUDIT_SLACK, AUDIT_LATE = SECOND // 4, SECOND
SAMPLE_INTERVAL = 0.25  # s
CAP_SLACK = 1.02  # factor by which a sample may exceed a cap


@dataclass(slots=True)
class Outcome:
    """Result of a run."""

    summary: dict[str, object] = field(default_factory=dict)
    breaks: list[Violation] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    homes: list[int] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)  # texts: what is wrong besides broken rules
    lines: list[tuple[str, dict[str, object]]] = field(default_factory=list)


@dataclass(slots=True)
class Sample:
    """Rates that fronts of each zone ask of the hosts of each zone, kB/s at full size."""

    at: float
    rates: list[list[float]]


class ScenarioRun:
    """One run under way."""

    def __init__(
        self,
        site: Site,
        text: bytes,
        scenario: SiteScenario,
        seed: int,
        alone: bool,
        folder: Path,
        report: Callable[[str], None],
    ) -> None:
        self.site, self.scenario, self.seed, self.alone, self.report = site, scenario, seed, alone, report
        self.network = TcpNetwork()
        self.random = random.Random(seed)
        self.fleet = Fleet(replace(site, gateways=(), state=None), self.network, seed, lambda event, fields: None)
        self.relay = Relay(self.network, [g.name for g in site.gateways], seed)
        self.processes = GatewayProcesses(site, text, folder, self.relay, self.fleet.tap, alone)
        self.samples: list[Sample] = []
        self.visits: list[Visit] = []
        self.homes: list[int] = []
        self.begin = self.begin_date = 0.0
        self.zone_of = {g.name: g.zone for g in site.gateways}

    async def play(self) -> Outcome:
        """Runs everything from the start of the processes to the audit."""
        outcome = Outcome()
        lag = LoopLag()
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.relay.run)
                await nursery.start(self.fleet.run)
                self.processes.write_settings(self.fleet.lists.address)
                await self.processes.start_all()
                await self._wait_for_plans()
                nursery.start_soon(lag.watch)
                nursery.start_soon(self._sample)
                self.begin, self.begin_date = trio.current_time(), time.time()
                async with trio.open_nursery() as tasks:
                    for n, fault in enumerate(self.scenario.faults):
                        tasks.start_soon(self._inject, fault, random.Random(self.seed * 31 + n))
                    await self._arrivals(tasks)
                await trio.sleep(0.5)
                outcome.problems += [f"{name} ended by itself" for name in self.processes.crashed()]
                nursery.cancel_scope.cancel()
        finally:
            self.processes.end()
        self._audit(outcome, lag.max_s)
        return outcome

    async def _wait_for_plans(self) -> None:
        """Waits until all gateways have a plan, at most 25 s."""
        if self.alone:
            await trio.sleep(3.0)
            return
        with trio.move_on_after(25):
            while len(self._with_plan()) < len(self.zone_of):  # noqa: ASYNC110 - logs wake nobody
                await trio.sleep(0.5)

    def _with_plan(self) -> set[str]:
        return {name for name, line in self.processes.lines() if line.get("event") == "plan"}

    # ---- load

    async def _arrivals(self, nursery: trio.Nursery) -> None:
        rng, scenario = self.random, self.scenario
        longest = max(c.deadline for c in self.site.rules.settings.classes)
        paths = [t.path for t in self.site.titles]
        at = 0.0
        while (at := at + rng.expovariate(scenario.rate)) < scenario.seconds:
            await trio.sleep_until(self.begin + at)
            home = rng.randrange(len(self.site.zones))
            code = f"c{self.seed}x{len(self.visits)}" if rng.random() < scenario.paid else ""
            watch = rng.uniform(*scenario.watch)
            visit = Visit(rng.choice(paths), code, "plain", round((self.begin + at) * 1e9), watch)
            self.visits.append(visit)
            self.homes.append(home)
            pick = self._picker(home, random.Random(rng.random()))
            viewer = Viewer(self.network, self.fleet.tap, pick, visit, longest, random.Random(rng.random()))
            nursery.start_soon(viewer.run, watch)

    def _picker(self, home: int, rng: random.Random) -> Callable[[], tuple[str, str]]:
        """The gateway selection of a viewer's app: one gateway of its own zone, then one of each other zone.

        The order of the other zones is random for each viewer.
        """
        zones = [home, *rng.sample([z for z in range(len(self.site.zones)) if z != home], len(self.site.zones) - 1)]
        tried: list[str] = []

        def pick() -> tuple[str, str]:
            for zone in zones:
                names = [n for n, z in self.zone_of.items() if z == zone and n not in tried]
                if names and not any(self.zone_of[n] == zone for n in tried):
                    tried.append(rng.choice(names))
                    break
            else:
                tried.append(rng.choice(list(self.zone_of)))
            name = tried[-1]
            # a restarted gateway listens on another port: the app resolves the name again
            return name, self.processes.all[name].address

        return pick

    async def _sample(self) -> None:
        n, rates, classes = len(self.site.zones), self.site.rules.settings.rung_kb, self.site.rules.settings.classes
        while True:
            asked = [[0.0] * n for _ in range(n)]
            for host in self.fleet.hosts:
                for stream in host.model.streams:
                    home = self.zone_of.get(stream.front.split(".")[0])
                    if home is not None and stream.playing:
                        asked[home][host.zone] += rates[stream.rung] * classes[stream.cls].rate_scale
            self.samples.append(Sample(trio.current_time() - self.begin, asked))
            await trio.sleep(SAMPLE_INTERVAL)

    # ---- faults

    def _leader(self) -> str:
        """The gateway that became leader last according to the logs and still runs."""
        found = [
            (str(line.get("timestamp")), name)
            for name, line in self.processes.lines()
            if line.get("event") == "leads" and self.processes.is_up(name)
        ]
        return max(found)[1] if found else next(iter(self.zone_of))

    async def _inject(self, fault: Fault, rng: random.Random) -> None:
        await trio.sleep_until(self.begin + fault.at)
        who = [self._leader() if name == LEADER else name for name in fault.targets]
        others = [self._leader() if name == LEADER else name for name in fault.others if name not in who]
        self.report(f"{fault.at:.1f} s {fault.kind} {' '.join(who) if fault.targets else fault.zones}")
        self.processes.copy_log_stores()
        until = self.begin + fault.until
        if fault.kind in ("cut", "cut-one-way", "flap"):
            both = fault.kind != "cut-one-way"
            while True:
                self.relay.cut(who, others, both)
                await trio.sleep_until(min(until, trio.current_time() + 0.5) if fault.kind == "flap" else until)
                self.relay.heal(who, others, both)
                if trio.current_time() >= until:
                    return
                await trio.sleep(0.5)
        elif fault.kind in ("slow", "lossy", "resets"):
            pairs = [(a, b) for a in who for b in others if a != b]
            for a, b in pairs + [(b, a) for a, b in pairs]:
                way = self.relay.directions[a, b]
                way.delay = (fault.severity * 0.95, fault.severity * 1.05) if fault.kind == "slow" else way.delay
                way.loss = fault.severity if fault.kind == "lossy" else way.loss
                way.reset = fault.severity if fault.kind == "resets" else way.reset
            await trio.sleep_until(until)
            for a, b in pairs + [(b, a) for a, b in pairs]:
                way = self.relay.directions[a, b]
                way.delay, way.loss, way.reset = (0.0, 0.0), 0.0, 0.0
        elif fault.kind in ("hosts-lost", "hosts-ill"):
            await self._fail_hosts(fault, until, rng)
        elif fault.kind == "stop":
            for name in who:
                self.processes.pause(name)
            await trio.sleep_until(until)
            for name in who:
                self.processes.resume(name)
        else:
            for name in who:
                self.processes.kill(name)
                self.processes.replace_log_store(name, fault.log_store)
            if fault.kind == "restart" or fault.until > fault.at:
                await trio.sleep_until(until)
                async with trio.open_nursery() as nursery:
                    for name in who:
                        nursery.start_soon(self.processes.start, name)

    async def _fail_hosts(self, fault: Fault, until: float, rng: random.Random) -> None:
        hosts = [h for h in self.fleet.hosts if h.zone in fault.zones]
        if fault.kind == "hosts-ill":
            hosts = rng.sample(hosts, max(1, round(len(hosts) * min(1.0, fault.severity))))
            for host in hosts:
                host.faults.errors = 0.8
            await trio.sleep_until(until)
            for host in hosts:
                host.faults.errors = 0.0
            return
        for host in hosts:
            self.fleet.crash(host)
        await trio.sleep_until(until)
        for host in hosts:
            await self.fleet.revive(host)

    # ---- the audit

    def _audit(self, outcome: Outcome, lag: float) -> None:
        site = self.site
        outcome.lines = self.processes.lines()
        outcome.visits, outcome.homes = self.visits, self.homes
        auditor = Auditor(site.rules, self.fleet.tap, AUDIT_SLACK, AUDIT_LATE, site.state is not None)
        outcome.breaks = auditor.check()
        compute_worth(site, self.fleet, self.visits)
        plans: dict[int, set[tuple[tuple[str, str], ...]]] = defaultdict(set)
        for _, line in outcome.lines:
            if line.get("event") == "plan":
                plans[int(str(line["epoch"]))].add(
                    tuple(sorted((k, str(v)) for k, v in line.items() if k not in ("front", "timestamp", "held_back")))
                )
        histories = max((len(found) for found in plans.values()), default=1)
        over = self._count_over_cap(outcome)
        codes = Counter(code for side in self.fleet.tap.hosts for code in redeemed(side))
        statuses = Counter(s for v in self.visits for s in v.statuses)
        events = Counter(str(line.get("event")) for _, line in outcome.lines)
        answered = [v for v in self.visits if v.statuses or v.played_after is not None]
        outcome.summary = {
            "evening": self.scenario.name,
            "seed": self.seed,
            "alone": self.alone,
            "gateways": len(self.zone_of),
            "zones": len(site.zones),
            "requests": len(self.visits),
            "answered": len(answered),
            "played": sum(v.played_after is not None for v in self.visits),
            "refused": statuses[453],
            "rules": {str(rule): sum(1 for b in outcome.breaks if b.rule == rule) for rule in range(1, 7)},
            "redeemed_twice": sum(1 for n in codes.values() if n > 1),
            "epochs": max(plans, default=0),
            "histories": histories,
            "over_cap": over,
            "crossed": round(self._crossing_share(), 4),
            **service(site, self.visits),
            "worth": round(sum(v.worth for v in self.visits), 2),
            "lost": lost_worth(site, self.visits),
            "rungs": {str(r): n for r, n in sorted(Counter(r for v in self.visits for r in v.rungs).items())},
            "leaders": events["leads"],
            "silent_links": events["link silent"],
            "resets": self.relay.resets,
            "refused_plans": events["plan refused"],
            "defects": events["defect"],
            "lag_ms": round(lag * 1000, 1),
        }
        if histories > 1:
            outcome.problems.append(f"{histories} histories of plans")
        if over:
            outcome.problems.append(f"{over} samples of hosts over a cap")
        if events["defect"] or events["not a line"]:
            outcome.problems.append("gateways logged defects")
        if not self.alone and not plans:
            outcome.problems.append("no plan was ever agreed on")
        if max(plans, default=0) > self.scenario.epochs:
            outcome.problems.append(f"{max(plans)} epochs, {self.scenario.epochs} at most were expected")
        if outcome.summary["redeemed_twice"]:
            outcome.problems.append("a code was redeemed twice")

    def _crossing_share(self) -> float:
        """The share of the asked rates that crossed zones."""
        total = sum(kb for s in self.samples for row in s.rates for kb in row)
        crossing = sum(kb for s in self.samples for h, row in enumerate(s.rates) for z, kb in enumerate(row) if z != h)
        return crossing / total if total else 0.0

    def _count_over_cap(self, outcome: Outcome) -> int:
        """Counts samples in which fronts of one zone asked more of another's hosts than allowed.

        Allowed is the most of any plan that was in force since the oldest session there can have begun.
        """
        caps: list[tuple[float, list[list[float]]]] = []
        n = len(self.site.zones)
        for _, line in outcome.lines:
            if line.get("event") == "caps":
                # monotonic clocks of processes cannot be compared; the wall clock is the machine's
                at = datetime.fromisoformat(str(line["timestamp"])).timestamp() - self.begin_date
                caps.append((at, [[float(x) for x in row.split()] for row in str(line["kb"]).split(";")]))
        if self.alone or not caps:
            return 0
        assert self.site.common is not None
        back = self.scenario.watch[1] + 2 * self.site.common.terms.holds / SECOND + 5
        over = 0
        for sample in self.samples:
            lately = [kb for at, kb in caps if sample.at - back <= at <= sample.at + 1]
            for h in range(n):
                for z in range(n):
                    most = max((kb[h][z] for kb in lately), default=0.0)
                    if h != z and sample.rates[h][z] > most * CAP_SLACK + 1:
                        over += 1
        return over


async def run_scenario(
    site: Site,
    text: bytes,
    scenario: SiteScenario,
    seed: int,
    alone: bool,
    folder: Path | None,
    report: Callable[[str], None],
) -> Outcome:
    """Runs a scenario. What gateways write goes to `folder`, or to a temporary folder that is deleted."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await ScenarioRun(site, text, scenario, seed, alone, folder, report).play()
    with tempfile.TemporaryDirectory() as place:
        return await ScenarioRun(site, text, scenario, seed, alone, Path(place), report).play()
