"""Scale test on one machine: real gateways with stand-in hosts and viewers, hollow gateways, faults and statistics.

Real gateways are processes of the program. Hollow gateways (`hollow`) have no viewers and share processes. Voters,
and gateways that are to be paused, have a process of their own: its usage is then exactly theirs, and a pause is a
real SIGSTOP. All gateways dial each other directly on loopback addresses that are fixed before the start. Only real
gateways reach each other through a relay, which implements cuts; a hollow gateway refuses the peers that a cut
separates from it. Every process ends with this one, which holds the other end of its standard input.
"""

from __future__ import annotations

import json
import math
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any

import trio
from lxml import etree
from trio import TaskStatus

from ...config import Site, parse
from ..run import LoopLag
from .faults import SiteScenario
from .hollow import plan_digest, resident_kb
from .layout import Layout, ScaleOptions, zone_regions
from .processes import GatewayProcesses
from .run_statistics import (
    DeathReport,
    Outage,
    PlanAdoption,
    RunStatistics,
    UsageSample,
    byte_rates,
    cpu_rates,
    mean_cpu_rate,
    quantile,
    rounded,
    weighted_quantile,
)
from .scale_faults import ScaleFault
from .scenario_run import Outcome, ScenarioRun
from .site_settings import AddressBlock, with_addresses

MECHANISM = "cells"  # how gateways know each other: all members of their cell, and a few contacts beyond it
# for a process to be ready, for the first plan everywhere, for the state at the end, for the end of a process
READY_TIMEOUT_S, FIRST_PLAN_TIMEOUT_S, ANSWER_TIMEOUT_S, END_TIMEOUT_S = 60.0, 60.0, 30.0, 5.0
SETTLE_S = 3.0  # s between the first plan everywhere and the beginning of the run
MAX_LAG_S = 0.5  # s; if a process runs later than this, gateways notice a stall, and the run is void
WATCH_S = (2.0, 5.0)  # s that a viewer watches, from and to


class RealProcesses(GatewayProcesses):
    """Real gateways at the addresses of the settings, where the hollow ones find them."""

    def set_address(self, one: etree._Element, name: str, other: str) -> None:
        """Sets the relay's address for other real gateways; all else stays as the settings have it."""
        if other in self.all and other != name:
            one.set("reach", self.relay.addresses[name, other])


class HollowProcess:
    """One process of hollow gateways, and what it has reported."""

    def __init__(
        self, number: int, names: tuple[str, ...], statistics: RunStatistics, report: Callable[[str], None]
    ) -> None:
        self.number, self.names, self.statistics, self.report = number, names, statistics, report
        self.process: trio.Process | None = None
        self.samples: list[UsageSample] = []
        self.empty_kb = 0  # resident memory before the first gateway starts
        self.lags: list[tuple[float, float]] = []  # time of the report, and lag in s since the report before
        self.max_links = 0
        self.failures: list[str] = []
        self.state: dict[str, dict[str, int]] = {}
        self.events: dict[str, int] = {}
        self.ready, self.answered = trio.Event(), trio.Event()
        self.ending = self.paused = self.was_paused = False

    async def run(
        self,
        settings: Path,
        folder: Path,
        seed: int,
        fleet: str,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Starts the process, signals `task_status` when it is ready, and reads its reports until it ends."""
        words = [sys.executable, "-m", "copperyard.lab.sites.hollow", str(settings), str(folder), str(seed), fleet]
        errors = folder / f"hollow-{self.number}.err"
        with open(errors, "wb") as out:  # noqa: ASYNC230 - once, in a folder of this run
            self.process = await trio.lowlevel.open_process(
                words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, process_group=0
            )
        process = self.process
        assert process.stdout is not None
        rest = b""
        try:
            while data := await process.stdout.receive_some(1 << 18):
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._handle_line(json.loads(line))
                if self.ready.is_set():
                    task_status.started()
                    task_status = trio.TASK_STATUS_IGNORED
            if not self.ending:
                self.failures.append(
                    f"a process of {len(self.names)} hollow gateways ended by itself: "
                    f"{errors.read_text()[-300:].strip()}"
                )
            if not self.ready.is_set():
                raise RuntimeError(self.failures[-1])
        finally:
            self.kill()

    def _handle_line(self, line: dict[str, Any]) -> None:
        statistics = self.statistics
        if "notes" in line:
            for at, name, kind, *words in line["notes"]:
                if kind == "plan":
                    statistics.plans[name].append(PlanAdoption(at, words[0], words[1], tuple(words[2])))
                elif kind == "dead":
                    statistics.deaths.append(DeathReport(at, name, words[0], words[1]))
                elif kind == "started":
                    statistics.starts[name].append(at)
                elif kind == "leads":
                    statistics.leader_changes.append((at, name))
                elif kind in ("failed", "defect"):
                    self.failures.append(f"{name} {kind}: {words[0]}")
        if "cpu" in line:
            used = {name: (sent, received) for name, (sent, received, _) in line["bytes"].items()}
            self.max_links = max([self.max_links, *(most for *_, most in line["bytes"].values())])
            if not self.was_paused:
                self.lags.append((line["at"], line["lag"]))
            self.samples.append(UsageSample(line["at"], line["cpu"], line["rss"], used))
        elif "state" in line:
            self.state, self.events = line["state"], line["events"]
            self.answered.set()
        elif "ready" in line:
            self.empty_kb = line["rss"]
            self.ready.set()

    async def send_command(self, what: str, **words: object) -> None:
        """Sends a command to the process. A write that fails because the process has ended is ignored: `run` reports
        the end.
        """
        process = self.process
        if process is None or process.stdin is None or self.paused:
            return
        try:
            await process.stdin.send_all(json.dumps({"do": what, **words}).encode() + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Continues the process if it is paused, and kills it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


@dataclass(slots=True)
class Result:
    """Result of a run.

    `figures` is the JSON line that is printed last; `problems` and `rules_broken` say what went wrong.
    """

    figures: dict[str, object] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    rules_broken: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether nothing went wrong."""
        return not self.problems and not self.rules_broken


class ScaleRun:
    """One run under way. `report` receives progress messages, `progress` the seconds that have passed."""

    def __init__(
        self,
        site: Site,
        text: bytes,
        regions: tuple[str, ...],
        layout: Layout,
        options: ScaleOptions,
        folder: Path,
        block: AddressBlock,
        report: Callable[[str], None],
        progress: Callable[[float], None],
    ) -> None:
        self.layout, self.options, self.folder, self.report, self.progress = layout, options, folder, report, progress
        addresses = {g.name: block.gateway_address(n) for n, g in enumerate(site.gateways)}
        self.text = with_addresses(text, addresses)
        self.site = site = parse(self.text, "the run's settings")
        self.regions = regions
        self.random = random.Random(options.seed)
        self.zone_of = {g.name: site.zones[g.zone] for g in site.gateways}
        self.statistics = RunStatistics(frozenset(layout.hollow), frozenset(layout.real))
        self.hollow_processes = [
            HollowProcess(n, names, self.statistics, report) for n, names in enumerate(layout.groups)
        ]
        self.process_of = {name: one for one in self.hollow_processes for name in one.names}
        rate = options.rate if options.rate is not None else len(layout.real) / 4
        self.rate = rate if layout.real else 0.0
        scenario = SiteScenario(
            "scale", max(1.0, options.seconds - WATCH_S[1] - 1), self.rate, 0.2, WATCH_S, (), 1 << 60
        )
        # the real gateways, hosts and viewers reuse a scenario run: its arrivals, samples and audit
        self.real_run = ScenarioRun(
            replace(site, gateways=tuple(g for g in site.gateways if g.name in layout.real)),
            self.text,
            scenario,
            options.seed,
            False,
            folder,
            report,
        )
        self.real_processes = RealProcesses(
            self.real_run.site, self.text, folder, self.real_run.relay, self.real_run.fleet.tap, False
        )
        self.real_run.processes = self.real_processes
        self.real_usage: dict[str, list[UsageSample]] = defaultdict(list)
        self.cuts: list[tuple[list[str], list[str]]] = []
        self.problems: list[str] = []
        self.first_plan_s: float | None = None
        self.relayed_bytes = (0, 0.0)
        self.lag = LoopLag()
        self.running: set[str] = set()

    async def play(self) -> Result:
        """Runs everything from the start of the processes to their end."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.real_run.relay.run)
                await nursery.start(self.real_run.fleet.run)
                await self._start_all(nursery)
                await self._wait_for_plans()
                await trio.sleep(SETTLE_S)
                await self._run(nursery)
                await self._collect_state()
                nursery.cancel_scope.cancel()
        finally:
            for one in self.hollow_processes:
                one.kill()
            self.real_processes.end()
        return self._result()

    # ---- start and end

    async def _start_all(self, nursery: trio.Nursery) -> None:
        settings = self.folder / "hollow.xml"
        settings.write_bytes(self.text)
        assert self.site.common is not None
        fleet = self.site.common.digest.hex()
        self.real_processes.write_settings(self.real_run.fleet.lists.address)
        with trio.fail_after(READY_TIMEOUT_S):
            async with trio.open_nursery() as starting:
                for one in self.hollow_processes:
                    starting.start_soon(nursery.start, one.run, settings, self.folder, self.options.seed, fleet)
        delayed = {name for fault, names, _ in self.layout.faults if fault.kind == "start" for name in names}
        self.report(
            f"{len(self.hollow_processes)} processes are ready; {len(self.zone_of) - len(delayed)} gateways start"
        )
        self.started_at = time.monotonic()
        await self._start([name for name in self.zone_of if name not in delayed])
        nursery.start_soon(self._sample_real)

    async def _start(self, names: Sequence[str]) -> None:
        """Starts or restarts gateways, all at once."""
        chosen = set(names)
        self.running |= chosen
        async with trio.open_nursery() as nursery:
            for one in self.hollow_processes:
                mine = [name for name in one.names if name in chosen]
                if mine:
                    nursery.start_soon(partial(one.send_command, "start", names=mine))
            for name in self.layout.real:
                if name in chosen:
                    self.statistics.starts[name].append(time.monotonic())
                    nursery.start_soon(self.real_processes.start, name)

    async def _kill(self, names: Sequence[str]) -> None:
        chosen = set(names)
        self.running -= chosen
        for one in self.hollow_processes:
            mine = [name for name in one.names if name in chosen]
            if mine:
                await one.send_command("kill", names=mine)
        for name in self.layout.real:
            if name in chosen:
                self.real_processes.kill(name)

    async def _wait_for_plans(self) -> None:
        """Waits until all running gateways have a plan, at most FIRST_PLAN_TIMEOUT_S."""
        with trio.move_on_after(FIRST_PLAN_TIMEOUT_S):
            while True:
                planned = {name for name, plans in self.statistics.plans.items() if plans}
                without_plan = self.running - planned
                if without_plan <= set(self.layout.real):
                    if without_plan <= {
                        name for name, line in self.real_processes.lines() if line.get("event") == "plan"
                    }:
                        self.first_plan_s = time.monotonic() - self.started_at
                        self.report(f"a plan everywhere after {self.first_plan_s:.1f} s")
                        return
                await trio.sleep(0.25)
        self.report(f"{len(without_plan)} gateways have no plan after {FIRST_PLAN_TIMEOUT_S:.0f} s")

    async def _run(self, nursery: trio.Nursery) -> None:
        run = self.real_run
        begin = run.begin = trio.current_time()
        run.begin_date = time.time()
        self.statistics.begin = time.monotonic()
        if self.layout.real:
            nursery.start_soon(run._sample)
        nursery.start_soon(self.lag.watch)
        before = run.relay.bytes
        async with trio.open_nursery() as tasks:
            for n, (fault, names, zone) in enumerate(self.layout.faults):
                tasks.start_soon(self._inject, fault, names, zone, random.Random(self.options.seed * 31 + n), begin)
            if self.rate:
                tasks.start_soon(run._arrivals, tasks)
            for second in range(1, math.ceil(self.options.seconds) + 1):
                await trio.sleep_until(begin + min(second, self.options.seconds))
                self.progress(second)
                first = min((t.at for t, *_ in self.layout.faults), default=self.options.seconds)
                if second <= first:
                    self.relayed_bytes = (run.relay.bytes - before, float(second))
        self.statistics.end = time.monotonic()

    async def _collect_state(self) -> None:
        """Asks all hollow processes for the state that they hold, then lets them end."""
        for one in self.hollow_processes:
            await one.send_command("tell")
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            for one in self.hollow_processes:
                await one.answered.wait()
        self.problems += [text for one in self.hollow_processes for text in one.failures]
        self.problems += [f"{name} ended by itself" for name in self.real_processes.crashed()]
        self.problems += [
            f"a process of {len(one.names)} hollow gateways did not answer at the end"
            for one in self.hollow_processes
            if not one.answered.is_set() and not one.failures
        ]
        with trio.move_on_after(END_TIMEOUT_S):
            for one in self.hollow_processes:
                one.ending = True
                if one.process is not None and one.process.stdin is not None:
                    await one.process.stdin.aclose()
            for one in self.hollow_processes:
                if one.process is not None:
                    await one.process.wait()

    async def _sample_real(self) -> None:
        """Samples the usage of the real gateways once a second from /proc."""
        tick = os.sysconf("SC_CLK_TCK")
        while True:
            for name, one in self.real_processes.all.items():
                if one.process is not None and one.process.poll() is None:
                    try:
                        words = Path(f"/proc/{one.process.pid}/stat").read_text().rpartition(")")[2].split()
                    except OSError:
                        continue
                    cpu = (int(words[11]) + int(words[12])) / tick
                    self.real_usage[name].append(UsageSample(time.monotonic(), cpu, resident_kb(one.process.pid), {}))
            await trio.sleep(1.0)

    # ---- faults

    def _leader(self) -> str:
        found = self.statistics.leader_changes + [
            (self._to_monotonic(line), name)
            for name, line in self.real_processes.lines()
            if line.get("event") == "leads"
        ]
        living = [one for one in found if one[1] in self.running]
        assert self.site.common is not None
        return max(living)[1] if living else self.site.common.voters[0]

    def _to_monotonic(self, line: dict[str, object]) -> float:
        """When a real gateway's line was written, on this machine's monotonic clock."""
        at = datetime.fromisoformat(str(line["timestamp"])).timestamp()
        return at - time.time() + time.monotonic()

    async def _inject(
        self, fault: ScaleFault, names: tuple[str, ...], zone: str, rng: random.Random, begin: float
    ) -> None:
        if fault.kind == "start":
            self.statistics.outages.append(Outage("start", frozenset(names), 0.0, math.inf, zone))
        await trio.sleep_until(begin + fault.at)
        who = list(names)
        assert self.site.common is not None
        for word in fault.targets:
            if word == "leader":
                who.append(self._leader())
            elif word == "voter":
                leader = self._leader()
                who.append(rng.choice([v for v in self.site.common.voters if v != leader] or [leader]))
        who = list(dict.fromkeys(who))
        shown = " ".join(fault.targets) if len(who) != 1 else who[0]
        self.report(f"{fault.at:.1f} s {fault.kind} {shown or 'random gateways'}: {len(who)} gateways")
        until = begin + fault.until
        if fault.kind == "churn":
            await self._churn(fault, rng, until)
            return
        at = time.monotonic()
        place = len(self.statistics.outages)
        if fault.kind != "start":
            others = [name for name in self.zone_of if name not in who]
            voters = self.site.common.voters
            more = 2 * sum(name in voters for name in who) > len(voters)
            hit = others if fault.kind == "cut" and more else who
            self.statistics.outages.append(Outage(fault.kind, frozenset(hit), at, math.inf, zone))
        if fault.kind == "kill":
            await self._kill_for(who, zone, fault.until > fault.at, until)
        elif fault.kind == "pause":
            await self._pause(who, until)
        elif fault.kind == "cut":
            await self._cut(who, until)
        else:
            place = next(
                n
                for n, outage in enumerate(self.statistics.outages)
                if outage.kind == "start" and outage.names == frozenset(names)
            )
            await self._start(who)
        if fault.until > fault.at or fault.kind == "start":
            self.statistics.outages[place] = replace(self.statistics.outages[place], end=time.monotonic())

    async def _kill_for(self, who: list[str], zone: str, back: bool, until: float) -> None:
        hosts = [h for h in self.real_run.fleet.hosts if zone and self.site.zones[h.zone] == zone]
        await self._kill(who)
        for host in hosts:
            self.real_run.fleet.crash(host)
        if zone:
            await self._send_to_all("room", zone=self.site.zones.index(zone), there=False)
        if not back:
            return
        await trio.sleep_until(until)
        for host in hosts:
            await self.real_run.fleet.revive(host)
        if zone:
            await self._send_to_all("room", zone=self.site.zones.index(zone), there=True)
        self.report(f"{len(who)} gateways start again")
        await self._start(who)

    async def _send_to_all(self, what: str, **words: object) -> None:
        for one in self.hollow_processes:
            await one.send_command(what, **words)

    async def _pause(self, who: list[str], until: float) -> None:
        """Pauses the processes of these gateways. The layout has placed no other gateways in them."""
        processes = [one for one in self.hollow_processes if set(one.names) & set(who)]
        for one in processes:
            one.paused = one.was_paused = True
            one.signal(signal.SIGSTOP)
        for name in set(who) & set(self.layout.real):
            self.real_processes.pause(name)
        await trio.sleep_until(until)
        for one in processes:
            one.signal(signal.SIGCONT)
            one.paused = False
        for name in set(who) & set(self.layout.real):
            self.real_processes.resume(name)

    async def _cut(self, who: list[str], until: float) -> None:
        others = [name for name in self.zone_of if name not in who]
        real = [[name for name in side if name in self.real_processes.all] for side in (who, others)]
        pair = (who, others)
        self.cuts.append(pair)
        self.real_run.relay.cut(real[0], real[1])
        await self._send_to_all("cut", pairs=self.cuts)
        await trio.sleep_until(until)
        self.cuts.remove(pair)
        self.real_run.relay.heal(real[0], real[1])
        await self._send_to_all("cut", pairs=self.cuts)

    async def _churn(self, fault: ScaleFault, rng: random.Random, until: float) -> None:
        """Restarts hollow non-voters one after another, `share` of all gateways a minute."""
        assert self.site.common is not None
        voters = self.site.common.voters
        every = 60 / max(1e-9, fault.share * len(self.zone_of))
        while trio.current_time() + every < until:
            await trio.sleep(every)
            found = sorted(
                name
                for name in self.running
                if name in self.process_of and name not in voters and not self.process_of[name].paused
            )
            if not found:
                return
            name = rng.choice(found)
            place = len(self.statistics.outages)
            self.statistics.outages.append(Outage("restart", frozenset([name]), time.monotonic(), math.inf))
            await self._kill([name])
            await self._start([name])
            self.statistics.outages[place] = replace(self.statistics.outages[place], end=time.monotonic())

    # ---- figures

    def _read_real(self) -> None:
        for name, line in self.real_processes.lines():
            event = line.get("event")
            if event == "plan":
                closed = tuple(z for z in self.site.zones if str(line.get(z, "")).startswith("closed"))
                self.statistics.plans[name].append(
                    PlanAdoption(self._to_monotonic(line), int(str(line["epoch"])), plan_digest(line), closed)
                )
            elif event == "gateway dead":
                self.statistics.deaths.append(
                    DeathReport(self._to_monotonic(line), name, str(line["gateway"]), line.get("seen") == "first-hand")
                )
            elif event == "leads":
                self.statistics.leader_changes.append((self._to_monotonic(line), name))

    def _result(self) -> Result:
        self._read_real()
        statistics, options = self.statistics, self.options
        outcome = Outcome()
        if self.layout.real:
            self.real_run._audit(outcome, self.lag.max_s)
        plans = any(statistics.plans.values())
        self.problems += [text for text in outcome.problems if not (plans and text.startswith("no plan"))]
        histories = statistics.history_count()
        if histories != 1:
            self.problems.append(f"{histories} histories of plans")
        calm = statistics.begin + min((t.at for t, *_ in self.layout.faults), default=options.seconds)
        lag = max(
            (
                late
                for one in self.hollow_processes
                for at, late in one.lags
                if statistics.begin <= at <= statistics.end + 1
            ),
            default=0.0,
        )
        figures: dict[str, object] = {
            "gateways": options.gateways,
            "real": len(self.layout.real),
            "hollow": len(self.layout.hollow),
            **self._costs(statistics.begin, calm),
            **statistics.death_detection(),
            **statistics.zone_loss_detection(),
            "false_deaths": len(statistics.false_deaths()),
            "change_in_force_s": statistics.plan_propagation(),
            **statistics.rejoin_times(),
            "links_most": max((one.max_links for one in self.hollow_processes), default=None),
            "histories": histories,
            "rules": outcome.summary.get("rules"),
            "state": self._state_counts(),
            "agreed_s": rounded(self.first_plan_s),
            "calm_s": rounded(calm - statistics.begin),
            "whole": self._whole_run(statistics.begin, statistics.end),
            "viewers": {
                key: outcome.summary.get(key) for key in ("requests", "answered", "played", "refused", "over_cap")
            }
            if self.layout.real
            else None,
            "lag_ms": {
                "parent": round(1000 * self.lag.max_s, 1),
                "hollow": round(1000 * lag, 1),
                "worst": self._worst_lags(),
            },
            "void": max(self.lag.max_s, lag) > MAX_LAG_S,
            "processes": len(self.hollow_processes) + len(self.layout.real),
            "seed": options.seed,
            "for_s": options.seconds,
            "mechanism": MECHANISM,
            "falsely_dead": statistics.false_deaths()[:20],
            "faults": self.problems[:20],
        }
        broken = [f"rule {b.rule} broken at {b.time / 1e9:.3f} s by {b.front}: {b.text}" for b in outcome.breaks]
        return Result(figures, list(self.problems), broken)

    def _usage(self) -> list[tuple[list[UsageSample], int, str]]:
        """Samples, number of gateways, and name if there is only one, for each process.

        These are the hollow processes, or the real ones if there are no others.
        """
        if self.hollow_processes:
            return [
                (one.samples, len(one.names), one.names[0] if len(one.names) == 1 else "")
                for one in self.hollow_processes
            ]
        return [(samples, 1, name) for name, samples in self.real_usage.items()]

    def _costs(self, begin: float, end: float) -> dict[str, object]:
        """Costs in the calm part of the run, before the first fault.

        The processor time of a gateway is that of its process divided by the number of its gateways. `median` is over
        the means of the gateways, `p99` over gateways and seconds, `leader` is the mean of the gateway that led at
        the end of the calm part. The same holds for bytes, sent and received by a gateway; they are null for real
        gateways, whose sockets are not counted.
        """
        leader = self.statistics.leader(end)
        processes = self._usage()
        cpu = [(rate, count) for samples, count, _ in processes for rate in cpu_rates(samples, begin, end, count)]
        means = [
            (mean / count, count)
            for samples, count, _ in processes
            if (mean := mean_cpu_rate(samples, begin, end)) is not None
        ]
        own = next(
            (mean_cpu_rate(samples, begin, end) for samples, _, name in processes if name and name == leader), None
        )
        if own is None and leader in self.real_usage:
            own = mean_cpu_rate(self.real_usage[leader], begin, end)
        moved = {
            name: pairs for one in self.hollow_processes for name, pairs in byte_rates(one.samples, begin, end).items()
        }
        both = sorted(sent + received for pairs in moved.values() for sent, received in pairs)
        mean_both = sorted(sum(a + b for a, b in pairs) / len(pairs) for pairs in moved.values() if pairs)
        sent = sorted(sum(out for out, _ in pairs) / len(pairs) for pairs in moved.values() if pairs)
        lead = moved.get(leader or "", [])
        growth = [
            ((inside[-1].rss_kb - one.empty_kb) / 1000 / len(one.names), len(one.names))
            for one in self.hollow_processes
            if (inside := [s for s in one.samples if s.at <= end])
        ]
        shared = [one for one in growth if one[1] > 1] or growth
        leads = [
            (inside[-1].rss_kb - one.empty_kb) / 1000
            for one in self.hollow_processes
            if one.names == (leader,) and (inside := [s for s in one.samples if s.at <= end])
        ]
        real = [(rate, 1) for samples in self.real_usage.values() for rate in cpu_rates(samples, begin, end, 1)]
        reals = [
            (mean, 1)
            for samples in self.real_usage.values()
            if (mean := mean_cpu_rate(samples, begin, end)) is not None
        ]
        memory = sorted(
            inside[-1].rss_kb / 1000
            for samples in self.real_usage.values()
            if (inside := [s for s in samples if s.at <= end])
        )
        return {
            "cpu_ms_per_s": {
                "median": rounded(weighted_quantile(means, 0.5)),
                "p99": rounded(weighted_quantile(cpu, 0.99)),
                "leader": rounded(own),
                "relay": None,
            },
            "bytes_per_s": {
                "median": rounded(quantile(mean_both, 0.5), 0) if mean_both else None,
                "p99": rounded(quantile(both, 0.99), 0) if both else None,
                "leader": rounded(sum(a + b for a, b in lead) / len(lead), 0) if lead else None,
                "relay": None,
            },
            "bytes_sent_per_s": {
                "median": rounded(quantile(sent, 0.5), 0) if sent else None,
                "leader": rounded(sum(a for a, _ in lead) / len(lead), 0) if lead else None,
            },
            "control_mb": rounded(weighted_quantile(shared, 0.5)),
            "control_mb_leader": rounded(leads[0]) if leads else None,
            "real_cpu_ms_per_s": {
                "median": rounded(weighted_quantile(reals, 0.5)),
                "p99": rounded(weighted_quantile(real, 0.99)),
            }
            if real
            else None,
            "real_mb": rounded(quantile(memory, 0.5)) if memory else None,
            "real_bytes_sent_per_s": rounded(self.relayed_bytes[0] / self.relayed_bytes[1] / len(self.layout.real), 0)
            if self.relayed_bytes[1] and not self.hollow_processes
            else None,
        }

    def _whole_run(self, begin: float, end: float) -> dict[str, object]:
        """Processor time and bytes over the whole run, with the worst second of any process."""
        cpu = [(rate, count) for samples, count, _ in self._usage() for rate in cpu_rates(samples, begin, end, count)]
        moved = sorted(
            sent + received
            for one in self.hollow_processes
            for pairs in byte_rates(one.samples, begin, end).values()
            for sent, received in pairs
        )
        return {
            "cpu_median": rounded(weighted_quantile(cpu, 0.5)),
            "cpu_p99": rounded(weighted_quantile(cpu, 0.99)),
            "cpu_most": rounded(max((rate for rate, _ in cpu), default=None)),
            "bytes_p99": rounded(quantile(moved, 0.99), 0) if moved else None,
            "bytes_most": rounded(moved[-1], 0) if moved else None,
        }

    def _worst_lags(self) -> list[list[float]]:
        """The five worst lags of hollow processes: seconds after the beginning, gateways of the process, ms."""
        found = [
            (late, at - self.statistics.begin, len(one.names))
            for one in self.hollow_processes
            for at, late in one.lags
            if at >= self.statistics.begin
        ]
        return [[round(at, 1), count, round(1000 * late, 1)] for late, at, count in sorted(found, reverse=True)[:5]]

    def _state_counts(self) -> dict[str, object]:
        """Sums and extremes of the state that the living hollow gateways hold at the end, and their log events."""
        states = [one for process in self.hollow_processes for one in process.state.values()]
        events: Counter[str] = Counter()
        for process in self.hollow_processes:
            events.update(process.events)
        return {
            "living": len(states),
            "members_most": max((one["members"] for one in states), default=None),
            "members_least": min((one["members"] for one in states), default=None),
            "reports_most": max((one["reports"] for one in states), default=None),
            "epochs_apart": max((one["plan"] for one in states), default=0)
            - min((one["plan"] for one in states), default=0),
            "links_now": sum(one["links"] for one in states),
            "frames": sum(one["frames"] for one in states),
            "heard": sum(one["heard"] for one in states),
            "dropped": sum(one["dropped"] for one in states),
            "events": dict(sorted(events.items())),
        }


async def run_scale(
    site: Site,
    text: bytes,
    layout: Layout,
    options: ScaleOptions,
    folder: Path | None,
    report: Callable[[str], None],
    progress: Callable[[float], None],
) -> Result:
    """Runs a scale test. What the processes write goes to `folder`, or to a temporary folder that is deleted.

    OSError if no block of loopback addresses is free.
    """
    block = AddressBlock()
    try:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            return await ScaleRun(
                site, text, zone_regions(text), layout, options, folder, block, report, progress
            ).play()
        with tempfile.TemporaryDirectory() as place:
            return await ScaleRun(
                site, text, zone_regions(text), layout, options, Path(place), block, report, progress
            ).play()
    finally:
        block.close()
