"""An evening of a site whose gateways are processes: viewers, hosts, a relay between gateways, faults; then the audit.

What is audited comes from the sockets (the six rules; what hosts of each zone were asked by fronts of which zone) and
from what the gateways logged (one history of plans).
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
from ..audit import Auditor, Break, redeemed
from ..fleet import Fleet
from ..run import Lag, _reckon, lost_worth, service
from ..viewers import Viewer, Visit
from .faults import LEADER, Evening, Fault
from .processes import Processes
from .relay import Relay

SECOND = 1_000_000_000
SLACK, LATE = SECOND // 4, SECOND  # ns: of the auditor, on a machine that this shares with fifteen processes
SAMPLE = 0.25
CAP_SLACK = 1.02


@dataclass(slots=True)
class Outcome:
    """What an evening came to."""

    summary: dict[str, object] = field(default_factory=dict)
    breaks: list[Break] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    homes: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # what else is wrong, in words
    lines: list[tuple[str, dict[str, object]]] = field(default_factory=list)


@dataclass(slots=True)
class Sample:
    """What the hosts of each zone are asked by fronts of each zone, kB a second at full size."""

    at: float
    asked: list[list[float]]


class Run:
    """One evening under way."""

    def __init__(
        self,
        site: Site,
        text: bytes,
        evening: Evening,
        seed: int,
        alone: bool,
        folder: Path,
        say: Callable[[str], None],
    ) -> None:
        self.site, self.evening, self.seed, self.alone, self.say = site, evening, seed, alone, say
        self.network = TcpNetwork()
        self.random = random.Random(seed)
        self.fleet = Fleet(replace(site, gateways=(), state=None), self.network, seed, lambda event, fields: None)
        self.relay = Relay(self.network, [g.name for g in site.gateways], seed)
        self.processes = Processes(site, text, folder, self.relay, self.fleet.tap, alone)
        self.samples: list[Sample] = []
        self.visits: list[Visit] = []
        self.homes: list[int] = []
        self.begin = self.date = 0.0
        self.zone_of = {g.name: g.zone for g in site.gateways}

    async def play(self) -> Outcome:
        outcome = Outcome()
        lag = Lag()
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.relay.run)
                await nursery.start(self.fleet.run)
                self.processes.write_settings(self.fleet.lists.address)
                await self.processes.start_all()
                await self._agreed()
                nursery.start_soon(lag.watch)
                nursery.start_soon(self._sample)
                self.begin, self.date = trio.current_time(), time.time()
                async with trio.open_nursery() as crowd:
                    for n, fault in enumerate(self.evening.faults):
                        crowd.start_soon(self._strike, fault, random.Random(self.seed * 31 + n))
                    await self._arrivals(crowd)
                await trio.sleep(0.5)
                outcome.faults += [f"{name} ended by itself" for name in self.processes.crashed()]
                nursery.cancel_scope.cancel()
        finally:
            self.processes.end()
        self._audit(outcome, lag.most)
        return outcome

    async def _agreed(self) -> None:
        """Wait until there is a plan everywhere, or as long as it may take at a start."""
        if self.alone:
            await trio.sleep(3.0)
            return
        with trio.move_on_after(25):
            while len(self._planned()) < len(self.zone_of):  # noqa: ASYNC110 - logs wake nobody
                await trio.sleep(0.5)

    def _planned(self) -> set[str]:
        return {name for name, line in self.processes.lines() if line.get("event") == "plan"}

    # ---- load

    async def _arrivals(self, nursery: trio.Nursery) -> None:
        rng, evening = self.random, self.evening
        longest = max(c.deadline for c in self.site.rules.settings.classes)
        paths = [t.path for t in self.site.titles]
        at = 0.0
        while (at := at + rng.expovariate(evening.rate)) < evening.seconds:
            await trio.sleep_until(self.begin + at)
            home = rng.randrange(len(self.site.zones))
            code = f"c{self.seed}x{len(self.visits)}" if rng.random() < evening.paid else ""
            watch = rng.uniform(*evening.watch)
            visit = Visit(rng.choice(paths), code, "plain", round((self.begin + at) * 1e9), watch)
            self.visits.append(visit)
            self.homes.append(home)
            pick = self._picker(home, random.Random(rng.random()))
            viewer = Viewer(self.network, self.fleet.tap, pick, visit, longest, random.Random(rng.random()))
            nursery.start_soon(viewer.run, watch)

    def _picker(self, home: int, rng: random.Random) -> Callable[[], tuple[str, str]]:
        """A viewer's app: a gateway of its zone first, then one of each other zone, as each does not do."""
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
            # one that was started again listens elsewhere: the app looks names up anew
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
            await trio.sleep(SAMPLE)

    # ---- faults

    def _leader(self) -> str:
        """Whom the gateways' logs name as leading last."""
        found = [
            (str(line.get("timestamp")), name)
            for name, line in self.processes.lines()
            if line.get("event") == "leads" and self.processes.up(name)
        ]
        return max(found)[1] if found else next(iter(self.zone_of))

    async def _strike(self, fault: Fault, rng: random.Random) -> None:
        await trio.sleep_until(self.begin + fault.at)
        who = [self._leader() if name == LEADER else name for name in fault.who]
        others = [self._leader() if name == LEADER else name for name in fault.others if name not in who]
        self.say(f"{fault.at:.1f} s {fault.kind} {' '.join(who) if fault.who else fault.zones}")
        self.processes.copy_shelves()
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
                way = self.relay.ways[a, b]
                way.delay = (fault.hard * 0.95, fault.hard * 1.05) if fault.kind == "slow" else way.delay
                way.loss = fault.hard if fault.kind == "lossy" else way.loss
                way.reset = fault.hard if fault.kind == "resets" else way.reset
            await trio.sleep_until(until)
            for a, b in pairs + [(b, a) for a, b in pairs]:
                way = self.relay.ways[a, b]
                way.delay, way.loss, way.reset = (0.0, 0.0), 0.0, 0.0
        elif fault.kind in ("hosts-lost", "hosts-ill"):
            await self._hosts(fault, until, rng)
        elif fault.kind == "stop":
            for name in who:
                self.processes.stop(name)
            await trio.sleep_until(until)
            for name in who:
                self.processes.go_on(name)
        else:
            for name in who:
                self.processes.kill(name)
                self.processes.spoil_shelf(name, fault.shelf)
            if fault.kind == "restart" or fault.until > fault.at:
                await trio.sleep_until(until)
                async with trio.open_nursery() as nursery:
                    for name in who:
                        nursery.start_soon(self.processes.start, name)

    async def _hosts(self, fault: Fault, until: float, rng: random.Random) -> None:
        hosts = [h for h in self.fleet.hosts if h.zone in fault.zones]
        if fault.kind == "hosts-ill":
            hosts = rng.sample(hosts, max(1, round(len(hosts) * min(1.0, fault.hard))))
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
        auditor = Auditor(site.rules, self.fleet.tap, SLACK, LATE, site.state is not None)
        outcome.breaks = auditor.check()
        _reckon(site, self.fleet, self.visits)
        plans: dict[int, set[tuple[tuple[str, str], ...]]] = defaultdict(set)
        for _, line in outcome.lines:
            if line.get("event") == "plan":
                plans[int(str(line["epoch"]))].add(
                    tuple(sorted((k, str(v)) for k, v in line.items() if k not in ("front", "timestamp", "held_back")))
                )
        histories = max((len(found) for found in plans.values()), default=1)
        over = self._over_cap(outcome)
        codes = Counter(code for side in self.fleet.tap.hosts for code in redeemed(side))
        statuses = Counter(s for v in self.visits for s in v.statuses)
        events = Counter(str(line.get("event")) for _, line in outcome.lines)
        answered = [v for v in self.visits if v.statuses or v.played_after is not None]
        outcome.summary = {
            "evening": self.evening.name,
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
            "crossed": round(self._crossed(), 4),
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
            outcome.faults.append(f"{histories} histories of plans")
        if over:
            outcome.faults.append(f"{over} samples of hosts over a cap")
        if events["defect"] or events["not a line"]:
            outcome.faults.append("gateways logged defects")
        if not self.alone and not plans:
            outcome.faults.append("no plan was ever agreed on")
        if max(plans, default=0) > self.evening.epochs:
            outcome.faults.append(f"{max(plans)} epochs, {self.evening.epochs} at most were expected")
        if outcome.summary["redeemed_twice"]:
            outcome.faults.append("a code was redeemed twice")

    def _crossed(self) -> float:
        """The share of what was asked that crossed zones."""
        total = sum(kb for s in self.samples for row in s.asked for kb in row)
        abroad = sum(kb for s in self.samples for h, row in enumerate(s.asked) for z, kb in enumerate(row) if z != h)
        return abroad / total if total else 0.0

    def _over_cap(self, outcome: Outcome) -> int:
        """Samples in which fronts of one zone asked more of another's hosts than any plan of the time allowed: plans
        that were in force since the oldest session there can have begun."""
        caps: list[tuple[float, list[list[float]]]] = []
        n = len(self.site.zones)
        for _, line in outcome.lines:
            if line.get("event") == "caps":
                # clocks of processes tell nothing to each other; the date is this machine's one
                at = datetime.fromisoformat(str(line["timestamp"])).timestamp() - self.date
                caps.append((at, [[float(x) for x in row.split()] for row in str(line["kb"]).split(";")]))
        if self.alone or not caps:
            return 0
        assert self.site.common is not None
        back = self.evening.watch[1] + 2 * self.site.common.terms.holds / SECOND + 5
        over = 0
        for sample in self.samples:
            lately = [kb for at, kb in caps if sample.at - back <= at <= sample.at + 1]
            for h in range(n):
                for z in range(n):
                    most = max((kb[h][z] for kb in lately), default=0.0)
                    if h != z and sample.asked[h][z] > most * CAP_SLACK + 1:
                        over += 1
        return over


async def run_evening(
    site: Site, text: bytes, evening: Evening, seed: int, alone: bool, folder: Path | None, say: Callable[[str], None]
) -> Outcome:
    """Play it; what gateways wrote lies in `folder`, or is gone at the end."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await Run(site, text, evening, seed, alone, folder, say).play()
    with tempfile.TemporaryDirectory() as place:
        return await Run(site, text, evening, seed, alone, Path(place), say).play()
