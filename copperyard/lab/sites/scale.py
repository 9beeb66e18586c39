"""A site at scale on one machine: real gateways with stand-in hosts and viewers beside hollow ones, faults, figures.

Real ones are processes of the program. Hollow ones (`hollow`) have no viewers and share processes; voters, and those
that are to stand still, have processes of their own, so that what one of them uses is told exactly and a pause is a
real one. All dial each other directly on loopback addresses that are fixed before the start. Only real ones reach each
other by a relay, for cuts; a hollow one refuses whom a cut takes from it. Every process ends with this one: it holds
the other end of its standard input.
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
from typing import IO, Any

import trio
from lxml import etree
from trio import TaskStatus

from ...config import Site, parse
from ..run import Lag
from .drawn import Block, placed
from .evening import Outcome, Run
from .faults import Evening
from .hollow import plan_digest, resident
from .layout import Layout, Wish, regions_of
from .processes import Process, Processes
from .scalefaults import Trouble
from .tally import Death, Down, Plan, Tally, Used, mean_rate, quantile, rates, rounded, traffic, weighted

MECHANISM = "cells"  # how gateways know each other: by name within a cell, beyond it a few contacts
READY, AGREE, ANSWERS, ENDS = 60.0, 60.0, 30.0, 5.0  # s: for a process, for the first plan, for counts, for an end
SETTLE = 3.0  # s between the first plan everywhere and the beginning
TOO_LATE = 0.5  # s by which a process may run late before the run is void: from there on gateways say they stood still
WATCH = (2.0, 5.0)  # s that viewers watch


class RealProcesses(Processes):
    """Real gateways that listen where the settings say, and find hollow ones there. They end with this process."""

    def address(self, one: etree._Element, name: str, other: str) -> None:
        """They reach each other by the relay, and all else is as the settings say."""
        if other in self.all and other != name:
            one.set("reach", self.relay.ports[name, other])

    def _begin(self, one: Process) -> IO[bytes]:
        log = self.folder / f"{one.name}.{one.starts}.log"
        one.log.append(log)
        one.starts += 1
        words = [
            sys.executable,
            "-m",
            "copperyard.lab.sites.leash",
            "serve",
            str(one.settings),
            "--name",
            one.name,
            "--drain",
            "2s",
        ]
        with open(log, "wb") as out:
            one.process = subprocess.Popen(
                words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, process_group=0
            )
        assert one.process.stdout is not None
        return one.process.stdout

    def end(self) -> None:
        super().end()
        for one in self.all.values():
            if one.process is not None and one.process.stdin is not None:
                one.process.stdin.close()


class HollowProcess:
    """One process of hollow gateways, and what it said."""

    def __init__(self, number: int, names: tuple[str, ...], tally: Tally, say: Callable[[str], None]) -> None:
        self.number, self.names, self.tally, self.say = number, names, tally, say
        self.process: trio.Process | None = None
        self.samples: list[Used] = []
        self.empty = 0  # kB resident before the first gateway
        self.lags: list[tuple[float, float]] = []  # when, and how late it had run since the time before
        self.links_most = 0
        self.failed: list[str] = []
        self.state: dict[str, dict[str, int]] = {}
        self.events: dict[str, int] = {}
        self.ready, self.told = trio.Event(), trio.Event()
        self.ending = self.paused = self.stood = False  # stood: was paused ever

    async def run(
        self,
        settings: Path,
        folder: Path,
        seed: int,
        fleet: str,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start it, tell when it is ready, and read what it says until it ends."""
        words = [sys.executable, "-m", "copperyard.lab.sites.hollow", str(settings), str(folder), str(seed), fleet]
        errors = folder / f"hollow-{self.number}.err"
        with open(errors, "wb") as out:  # noqa: ASYNC230 - once, in a folder of this run
            self.process = await trio.lowlevel.open_process(
                words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, process_group=0
            )
        process = self.process
        assert process.stdout is not None
        kept = b""
        try:
            while data := await process.stdout.receive_some(1 << 18):
                *lines, kept = (kept + data).split(b"\n")
                for line in lines:
                    self._hear(json.loads(line))
                if self.ready.is_set():
                    task_status.started()
                    task_status = trio.TASK_STATUS_IGNORED
            if not self.ending:
                self.failed.append(
                    f"a process of {len(self.names)} hollow gateways ended by itself: "
                    f"{errors.read_text()[-300:].strip()}"
                )
            if not self.ready.is_set():
                raise RuntimeError(self.failed[-1])
        finally:
            self.kill()

    def _hear(self, line: dict[str, Any]) -> None:
        tally = self.tally
        if "notes" in line:
            for at, name, kind, *words in line["notes"]:
                if kind == "plan":
                    tally.plans[name].append(Plan(at, words[0], words[1], tuple(words[2])))
                elif kind == "dead":
                    tally.deaths.append(Death(at, name, words[0], words[1]))
                elif kind == "started":
                    tally.lives[name].append(at)
                elif kind == "leads":
                    tally.leads.append((at, name))
                elif kind in ("failed", "defect"):
                    self.failed.append(f"{name} {kind}: {words[0]}")
        if "cpu" in line:
            used = {name: (sent, received) for name, (sent, received, _) in line["bytes"].items()}
            self.links_most = max([self.links_most, *(most for *_, most in line["bytes"].values())])
            if not self.stood:
                self.lags.append((line["at"], line["lag"]))
            self.samples.append(Used(line["at"], line["cpu"], line["rss"], used))
        elif "state" in line:
            self.state, self.events = line["state"], line["events"]
            self.told.set()
        elif "ready" in line:
            self.empty = line["rss"]
            self.ready.set()

    async def order(self, what: str, **words: object) -> None:
        """Say something to it; what it does not take because it ended shows where its end is seen."""
        process = self.process
        if process is None or process.stdin is None or self.paused:
            return
        try:
            await process.stdin.send_all(json.dumps({"do": what, **words}).encode() + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


@dataclass(slots=True)
class Result:
    """What a run came to: the last line, and what is wrong, in words."""

    figures: dict[str, object] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    rules_broken: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        return not self.faults and not self.rules_broken


class Scale:
    """One run under way. `say` is told in words what happens, `tick` the s that have passed."""

    def __init__(
        self,
        site: Site,
        text: bytes,
        regions: tuple[str, ...],
        layout: Layout,
        wish: Wish,
        folder: Path,
        block: Block,
        say: Callable[[str], None],
        tick: Callable[[float], None],
    ) -> None:
        self.layout, self.wish, self.folder, self.say, self.tick = layout, wish, folder, say, tick
        addresses = {g.name: block.address(n) for n, g in enumerate(site.gateways)}
        self.text = placed(text, addresses)
        self.site = site = parse(self.text, "the run's settings")
        self.regions = regions
        self.random = random.Random(wish.seed)
        self.zone_of = {g.name: site.zones[g.zone] for g in site.gateways}
        self.tally = Tally(frozenset(layout.hollow), frozenset(layout.real))
        self.hollow = [HollowProcess(n, names, self.tally, say) for n, names in enumerate(layout.groups)]
        self.holds = {name: one for one in self.hollow for name in one.names}
        rate = wish.rate if wish.rate is not None else len(layout.real) / 4
        self.rate = rate if layout.real else 0.0
        evening = Evening("scale", max(1.0, wish.seconds - WATCH[1] - 1), self.rate, 0.2, WATCH, (), 1 << 60)
        # real gateways, hosts and viewers are an evening's: arrivals, samples and audit are shared with it
        self.run_real = Run(
            replace(site, gateways=tuple(g for g in site.gateways if g.name in layout.real)),
            self.text,
            evening,
            wish.seed,
            False,
            folder,
            say,
        )
        self.real = RealProcesses(
            self.run_real.site, self.text, folder, self.run_real.relay, self.run_real.fleet.tap, False
        )
        self.run_real.processes = self.real
        self.used_real: dict[str, list[Used]] = defaultdict(list)
        self.cuts: list[tuple[list[str], list[str]]] = []
        self.faults: list[str] = []
        self.agreed: float | None = None
        self.relayed = (0, 0.0)
        self.lag = Lag()
        self.live: set[str] = set()

    async def play(self) -> Result:
        """From the start of everything to its end."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.run_real.relay.run)
                await nursery.start(self.run_real.fleet.run)
                await self._start_all(nursery)
                await self._agree()
                await trio.sleep(SETTLE)
                await self._run(nursery)
                await self._tell()
                nursery.cancel_scope.cancel()
        finally:
            for one in self.hollow:
                one.kill()
            self.real.end()
        return self._result()

    # ---- start and end

    async def _start_all(self, nursery: trio.Nursery) -> None:
        settings = self.folder / "hollow.xml"
        settings.write_bytes(self.text)
        assert self.site.common is not None
        fleet = self.site.common.fleet.hex()
        self.real.write_settings(self.run_real.fleet.lists.address)
        with trio.fail_after(READY):
            async with trio.open_nursery() as starting:
                for one in self.hollow:
                    starting.start_soon(nursery.start, one.run, settings, self.folder, self.wish.seed, fleet)
        held = {name for trouble, names, _ in self.layout.troubles if trouble.kind == "start" for name in names}
        self.say(f"{len(self.hollow)} processes are ready; {len(self.zone_of) - len(held)} gateways start")
        self.begun = time.monotonic()
        await self._start([name for name in self.zone_of if name not in held])
        nursery.start_soon(self._sample_real)

    async def _start(self, names: Sequence[str]) -> None:
        """Start gateways, or start them again, all at once."""
        chosen = set(names)
        self.live |= chosen
        async with trio.open_nursery() as nursery:
            for one in self.hollow:
                mine = [name for name in one.names if name in chosen]
                if mine:
                    nursery.start_soon(partial(one.order, "start", names=mine))
            for name in self.layout.real:
                if name in chosen:
                    self.tally.lives[name].append(time.monotonic())
                    nursery.start_soon(self.real.start, name)

    async def _kill(self, names: Sequence[str]) -> None:
        chosen = set(names)
        self.live -= chosen
        for one in self.hollow:
            mine = [name for name in one.names if name in chosen]
            if mine:
                await one.order("kill", names=mine)
        for name in self.layout.real:
            if name in chosen:
                self.real.kill(name)

    async def _agree(self) -> None:
        """Wait for a plan everywhere, or as long as it may take."""
        with trio.move_on_after(AGREE):
            while True:
                planned = {name for name, plans in self.tally.plans.items() if plans}
                lacking = self.live - planned
                if lacking <= set(self.layout.real):
                    if lacking <= {name for name, line in self.real.lines() if line.get("event") == "plan"}:
                        self.agreed = time.monotonic() - self.begun
                        self.say(f"a plan everywhere after {self.agreed:.1f} s")
                        return
                await trio.sleep(0.25)
        self.say(f"{len(lacking)} gateways have no plan after {AGREE:.0f} s")

    async def _run(self, nursery: trio.Nursery) -> None:
        run = self.run_real
        begin = run.begin = trio.current_time()
        run.date = time.time()
        self.tally.begin = time.monotonic()
        if self.layout.real:
            nursery.start_soon(run._sample)
        nursery.start_soon(self.lag.watch)
        before = run.relay.bytes
        async with trio.open_nursery() as crowd:
            for n, (trouble, names, zone) in enumerate(self.layout.troubles):
                crowd.start_soon(self._strike, trouble, names, zone, random.Random(self.wish.seed * 31 + n), begin)
            if self.rate:
                crowd.start_soon(run._arrivals, crowd)
            for second in range(1, math.ceil(self.wish.seconds) + 1):
                await trio.sleep_until(begin + min(second, self.wish.seconds))
                self.tick(second)
                first = min((t.at for t, *_ in self.layout.troubles), default=self.wish.seconds)
                if second <= first:
                    self.relayed = (run.relay.bytes - before, float(second))
        self.tally.end = time.monotonic()

    async def _tell(self) -> None:
        """Ask all processes for what they hold, then let them end."""
        for one in self.hollow:
            await one.order("tell")
        with trio.move_on_after(ANSWERS):
            for one in self.hollow:
                await one.told.wait()
        self.faults += [text for one in self.hollow for text in one.failed]
        self.faults += [f"{name} ended by itself" for name in self.real.crashed()]
        self.faults += [
            f"a process of {len(one.names)} hollow gateways did not answer at the end"
            for one in self.hollow
            if not one.told.is_set() and not one.failed
        ]
        with trio.move_on_after(ENDS):
            for one in self.hollow:
                one.ending = True
                if one.process is not None and one.process.stdin is not None:
                    await one.process.stdin.aclose()
            for one in self.hollow:
                if one.process is not None:
                    await one.process.wait()

    async def _sample_real(self) -> None:
        """What real gateways use, once a second, from the system's own figures."""
        tick = os.sysconf("SC_CLK_TCK")
        while True:
            for name, one in self.real.all.items():
                if one.process is not None and one.process.poll() is None:
                    try:
                        words = Path(f"/proc/{one.process.pid}/stat").read_text().rpartition(")")[2].split()
                    except OSError:
                        continue
                    cpu = (int(words[11]) + int(words[12])) / tick
                    self.used_real[name].append(Used(time.monotonic(), cpu, resident(one.process.pid), {}))
            await trio.sleep(1.0)

    # ---- faults

    def _leader(self) -> str:
        found = self.tally.leads + [
            (self._mono(line), name) for name, line in self.real.lines() if line.get("event") == "leads"
        ]
        living = [one for one in found if one[1] in self.live]
        assert self.site.common is not None
        return max(living)[1] if living else self.site.common.voters[0]

    def _mono(self, line: dict[str, object]) -> float:
        """When a real gateway's line was written, on this machine's monotonic clock."""
        at = datetime.fromisoformat(str(line["timestamp"])).timestamp()
        return at - time.time() + time.monotonic()

    async def _strike(
        self, trouble: Trouble, names: tuple[str, ...], zone: str, rng: random.Random, begin: float
    ) -> None:
        if trouble.kind == "start":
            self.tally.downs.append(Down("start", frozenset(names), 0.0, math.inf, zone))
        await trio.sleep_until(begin + trouble.at)
        who = list(names)
        assert self.site.common is not None
        for word in trouble.who:
            if word == "leader":
                who.append(self._leader())
            elif word == "voter":
                leader = self._leader()
                who.append(rng.choice([v for v in self.site.common.voters if v != leader] or [leader]))
        who = list(dict.fromkeys(who))
        shown = " ".join(trouble.who) if len(who) != 1 else who[0]
        self.say(f"{trouble.at:.1f} s {trouble.kind} {shown or 'here and there'}: {len(who)} gateways")
        until = begin + trouble.until
        if trouble.kind == "churn":
            await self._churn(trouble, rng, until)
            return
        at = time.monotonic()
        place = len(self.tally.downs)
        if trouble.kind != "start":
            others = [name for name in self.zone_of if name not in who]
            voters = self.site.common.voters
            more = 2 * sum(name in voters for name in who) > len(voters)
            hit = others if trouble.kind == "cut" and more else who
            self.tally.downs.append(Down(trouble.kind, frozenset(hit), at, math.inf, zone))
        if trouble.kind == "kill":
            await self._kill_for(who, zone, trouble.until > trouble.at, until)
        elif trouble.kind == "pause":
            await self._pause(who, until)
        elif trouble.kind == "cut":
            await self._cut(who, until)
        else:
            place = next(
                n for n, down in enumerate(self.tally.downs) if down.kind == "start" and down.names == frozenset(names)
            )
            await self._start(who)
        if trouble.until > trouble.at or trouble.kind == "start":
            self.tally.downs[place] = replace(self.tally.downs[place], until=time.monotonic())

    async def _kill_for(self, who: list[str], zone: str, back: bool, until: float) -> None:
        hosts = [h for h in self.run_real.fleet.hosts if zone and self.site.zones[h.zone] == zone]
        await self._kill(who)
        for host in hosts:
            self.run_real.fleet.crash(host)
        if zone:
            await self._all_orders("room", zone=self.site.zones.index(zone), there=False)
        if not back:
            return
        await trio.sleep_until(until)
        for host in hosts:
            await self.run_real.fleet.revive(host)
        if zone:
            await self._all_orders("room", zone=self.site.zones.index(zone), there=True)
        self.say(f"{len(who)} gateways start again")
        await self._start(who)

    async def _all_orders(self, what: str, **words: object) -> None:
        for one in self.hollow:
            await one.order(what, **words)

    async def _pause(self, who: list[str], until: float) -> None:
        """Their processes hold nobody else: so they were laid out."""
        processes = [one for one in self.hollow if set(one.names) & set(who)]
        for one in processes:
            one.paused = one.stood = True
            one.signal(signal.SIGSTOP)
        for name in set(who) & set(self.layout.real):
            self.real.stop(name)
        await trio.sleep_until(until)
        for one in processes:
            one.signal(signal.SIGCONT)
            one.paused = False
        for name in set(who) & set(self.layout.real):
            self.real.go_on(name)

    async def _cut(self, who: list[str], until: float) -> None:
        others = [name for name in self.zone_of if name not in who]
        real = [[name for name in side if name in self.real.all] for side in (who, others)]
        pair = (who, others)
        self.cuts.append(pair)
        self.run_real.relay.cut(real[0], real[1])
        await self._all_orders("cut", pairs=self.cuts)
        await trio.sleep_until(until)
        self.cuts.remove(pair)
        self.run_real.relay.heal(real[0], real[1])
        await self._all_orders("cut", pairs=self.cuts)

    async def _churn(self, trouble: Trouble, rng: random.Random, until: float) -> None:
        """Restart a share of the hollow gateways that do not vote a minute, one after another, each back at once."""
        assert self.site.common is not None
        voters = self.site.common.voters
        every = 60 / max(1e-9, trouble.share * len(self.zone_of))
        while trio.current_time() + every < until:
            await trio.sleep(every)
            found = sorted(
                name for name in self.live if name in self.holds and name not in voters and not self.holds[name].paused
            )
            if not found:
                return
            name = rng.choice(found)
            place = len(self.tally.downs)
            self.tally.downs.append(Down("restart", frozenset([name]), time.monotonic(), math.inf))
            await self._kill([name])
            await self._start([name])
            self.tally.downs[place] = replace(self.tally.downs[place], until=time.monotonic())

    # ---- figures

    def _read_real(self) -> None:
        for name, line in self.real.lines():
            event = line.get("event")
            if event == "plan":
                closed = tuple(z for z in self.site.zones if str(line.get(z, "")).startswith("closed"))
                self.tally.plans[name].append(
                    Plan(self._mono(line), int(str(line["epoch"])), plan_digest(line), closed)
                )
            elif event == "gateway dead":
                self.tally.deaths.append(
                    Death(self._mono(line), name, str(line["gateway"]), line.get("seen") == "first-hand")
                )
            elif event == "leads":
                self.tally.leads.append((self._mono(line), name))

    def _result(self) -> Result:
        self._read_real()
        tally, wish = self.tally, self.wish
        outcome = Outcome()
        if self.layout.real:
            self.run_real._audit(outcome, self.lag.most)
        plans = any(tally.plans.values())
        self.faults += [text for text in outcome.faults if not (plans and text.startswith("no plan"))]
        histories = tally.histories()
        if histories != 1:
            self.faults.append(f"{histories} histories of plans")
        calm = tally.begin + min((t.at for t, *_ in self.layout.troubles), default=wish.seconds)
        lag = max(
            (late for one in self.hollow for at, late in one.lags if tally.begin <= at <= tally.end + 1), default=0.0
        )
        figures: dict[str, object] = {
            "gateways": wish.gateways,
            "real": len(self.layout.real),
            "hollow": len(self.layout.hollow),
            **self._costs(tally.begin, calm),
            **tally.dead_known(),
            **tally.zone_known(),
            "false_deaths": len(tally.falsely_dead()),
            "change_in_force_s": tally.change_in_force(),
            **tally.rejoin(),
            "links_most": max((one.links_most for one in self.hollow), default=None),
            "histories": histories,
            "rules": outcome.summary.get("rules"),
            "state": self._state(),
            "agreed_s": rounded(self.agreed),
            "calm_s": rounded(calm - tally.begin),
            "whole": self._whole(tally.begin, tally.end),
            "viewers": {
                key: outcome.summary.get(key) for key in ("requests", "answered", "played", "refused", "over_cap")
            }
            if self.layout.real
            else None,
            "lag_ms": {
                "parent": round(1000 * self.lag.most, 1),
                "hollow": round(1000 * lag, 1),
                "worst": self._worst_lags(),
            },
            "void": max(self.lag.most, lag) > TOO_LATE,
            "processes": len(self.hollow) + len(self.layout.real),
            "seed": wish.seed,
            "for_s": wish.seconds,
            "mechanism": MECHANISM,
            "falsely_dead": tally.falsely_dead()[:20],
            "faults": self.faults[:20],
        }
        broken = [f"rule {b.rule} broken at {b.time / 1e9:.3f} s by {b.front}: {b.text}" for b in outcome.breaks]
        return Result(figures, list(self.faults), broken)

    def _used(self) -> list[tuple[list[Used], int, str]]:
        """Samples, gateways and the one gateway's name of each process; hollow ones, or real ones where there are no
        others."""
        if self.hollow:
            return [(one.samples, len(one.names), one.names[0] if len(one.names) == 1 else "") for one in self.hollow]
        return [(samples, 1, name) for name, samples in self.used_real.items()]

    def _costs(self, begin: float, end: float) -> dict[str, object]:
        """Of the calm part. Processor time of a gateway is its process's divided by its gateways: `median` over
        gateways of their means, `p99` over gateways and seconds, `leader`: the mean of whoever led at the end of the
        calm. Bytes, the same: sent and received by a gateway; null for real ones, whose sockets are not counted."""
        leader = self.tally.leader(end)
        processes = self._used()
        cpu = [(rate, count) for samples, count, _ in processes for rate in rates(samples, begin, end, count)]
        means = [
            (mean / count, count)
            for samples, count, _ in processes
            if (mean := mean_rate(samples, begin, end)) is not None
        ]
        own = next((mean_rate(samples, begin, end) for samples, _, name in processes if name and name == leader), None)
        if own is None and leader in self.used_real:
            own = mean_rate(self.used_real[leader], begin, end)
        moved = {name: pairs for one in self.hollow for name, pairs in traffic(one.samples, begin, end).items()}
        both = sorted(sent + received for pairs in moved.values() for sent, received in pairs)
        mean_both = sorted(sum(a + b for a, b in pairs) / len(pairs) for pairs in moved.values() if pairs)
        sent = sorted(sum(out for out, _ in pairs) / len(pairs) for pairs in moved.values() if pairs)
        lead = moved.get(leader or "", [])
        growth = [
            ((inside[-1].rss - one.empty) / 1000 / len(one.names), len(one.names))
            for one in self.hollow
            if (inside := [s for s in one.samples if s.at <= end])
        ]
        shared = [one for one in growth if one[1] > 1] or growth
        leads = [
            (inside[-1].rss - one.empty) / 1000
            for one in self.hollow
            if one.names == (leader,) and (inside := [s for s in one.samples if s.at <= end])
        ]
        real = [(rate, 1) for samples in self.used_real.values() for rate in rates(samples, begin, end, 1)]
        reals = [
            (mean, 1) for samples in self.used_real.values() if (mean := mean_rate(samples, begin, end)) is not None
        ]
        memory = sorted(
            inside[-1].rss / 1000
            for samples in self.used_real.values()
            if (inside := [s for s in samples if s.at <= end])
        )
        return {
            "cpu_ms_per_s": {
                "median": rounded(weighted(means, 0.5)),
                "p99": rounded(weighted(cpu, 0.99)),
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
            "control_mb": rounded(weighted(shared, 0.5)),
            "control_mb_leader": rounded(leads[0]) if leads else None,
            "real_cpu_ms_per_s": {"median": rounded(weighted(reals, 0.5)), "p99": rounded(weighted(real, 0.99))}
            if real
            else None,
            "real_mb": rounded(quantile(memory, 0.5)) if memory else None,
            "real_bytes_sent_per_s": rounded(self.relayed[0] / self.relayed[1] / len(self.layout.real), 0)
            if self.relayed[1] and not self.hollow
            else None,
        }

    def _whole(self, begin: float, end: float) -> dict[str, object]:
        """The same processor time over the whole run, its worst second of any process among them."""
        cpu = [(rate, count) for samples, count, _ in self._used() for rate in rates(samples, begin, end, count)]
        moved = sorted(
            sent + received
            for one in self.hollow
            for pairs in traffic(one.samples, begin, end).values()
            for sent, received in pairs
        )
        return {
            "cpu_median": rounded(weighted(cpu, 0.5)),
            "cpu_p99": rounded(weighted(cpu, 0.99)),
            "cpu_most": rounded(max((rate for rate, _ in cpu), default=None)),
            "bytes_p99": rounded(quantile(moved, 0.99), 0) if moved else None,
            "bytes_most": rounded(moved[-1], 0) if moved else None,
        }

    def _worst_lags(self) -> list[list[float]]:
        """The five worst: s after the beginning, gateways of that process, ms."""
        found = [
            (late, at - self.tally.begin, len(one.names))
            for one in self.hollow
            for at, late in one.lags
            if at >= self.tally.begin
        ]
        return [[round(at, 1), count, round(1000 * late, 1)] for late, at, count in sorted(found, reverse=True)[:5]]

    def _state(self) -> dict[str, object]:
        """Counts of what the hollow gateways that live hold at the end, and of what they wrote."""
        held = [one for process in self.hollow for one in process.state.values()]
        events: Counter[str] = Counter()
        for process in self.hollow:
            events.update(process.events)
        return {
            "living": len(held),
            "members_most": max((one["members"] for one in held), default=None),
            "members_least": min((one["members"] for one in held), default=None),
            "reports_most": max((one["reports"] for one in held), default=None),
            "epochs_apart": max((one["plan"] for one in held), default=0)
            - min((one["plan"] for one in held), default=0),
            "links_now": sum(one["links"] for one in held),
            "frames": sum(one["frames"] for one in held),
            "heard": sum(one["heard"] for one in held),
            "dropped": sum(one["dropped"] for one in held),
            "events": dict(sorted(events.items())),
        }


async def run_scale(
    site: Site,
    text: bytes,
    layout: Layout,
    wish: Wish,
    folder: Path | None,
    say: Callable[[str], None],
    tick: Callable[[float], None],
) -> Result:
    """Play it; what processes wrote lies in `folder`, or is gone at the end. OSError where there are no addresses."""
    block = Block()
    try:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            return await Scale(site, text, regions_of(text), layout, wish, folder, block, say, tick).play()
        with tempfile.TemporaryDirectory() as place:
            return await Scale(site, text, regions_of(text), layout, wish, Path(place), block, say, tick).play()
    finally:
        block.close()
