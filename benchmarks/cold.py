"""Counts what all fronts together send to cold hosts: `python -m benchmarks.cold [SEEDS]` prints a table.

Fronts that cannot communicate draw their turns at a host that has just started, each assuming that the others are like
itself. Here that assumption fails: traffic is uneven, news arrive late, fronts restart, and all of them want the new
hosts because the others are full. The count is of the worst window of the settings' length at each new host. It is
compared with the budget N that the settings allow there at that time (warmth rises linearly from `cold_from`) plus an
allowance for chance of 2 x sqrt(N) + 2. The settings are of no deployment; the hosts are counters with shared links.
"""

from __future__ import annotations

import heapq
import math
import multiprocessing
import random
import sys
from dataclasses import dataclass, field
from typing import Any

from copperyard import interface as api
from copperyard.decide import Controller

MS, SECOND = 1_000_000, 1_000_000_000
FREE = api.ClassSettings("free", SECOND, 4 * SECOND, 1.0, api.Effect.SAFE, 0, 2, 1.0, 0, False)
PAID = api.ClassSettings("paid", SECOND, 3 * SECOND, 2.0, api.Effect.UNSAFE, 1, 2, 1.0, 0, False)
RATES = (100.0, 200.0, 400.0)


@dataclass(frozen=True)
class Case:
    """Parameters of one simulation.

    `places` of a host set the budget. `uneven` is the standard deviation of the logarithm of fronts' traffic. `load` is
    the demand as a part of all links' capacity. Counted from the new hosts' start, all fronts restart within `restarts`
    seconds (0: none does) and hear of the new hosts within `late` seconds.
    """

    fronts: int
    places: int
    uneven: float = 1.0
    load: float = 0.9
    restarts: float = 0.0
    late: float = 1.2
    hosts: int = 24
    fresh: int = 6
    copies: int = 6
    life: float = 10.0
    warm: int = 12 * SECOND
    fall: int = 3 * SECOND
    multiple: float = 3.0
    cold_from: float = 0.4
    seconds: int = 12


@dataclass
class HostArrivals:
    """Times of set-ups at each new host, from its start on; `budget` is a window's budget at that start."""

    case: Case
    sent: dict[int, list[int]] = field(default_factory=dict)
    budget: float = 0.0

    def worst_excess(self) -> float:
        """The largest excess of any window over its budget, as a part of the allowance for chance."""
        case, found = self.case, 0.0
        for times in self.sent.values():
            for at in times:
                warmth = min(1.0, case.cold_from + (1 - case.cold_from) * at / case.warm)
                budget = self.budget / case.cold_from * warmth
                n = sum(1 for other in times if at - case.fall < other <= at)
                found = max(found, (n - budget) / (2 * math.sqrt(budget) + 2))
        return found

    def mean_setups(self) -> float:
        """The mean number of set-ups at a new host."""
        return sum(map(len, self.sent.values())) / len(self.sent)


class Simulation:
    """Discrete-event simulation of fronts, hosts and arriving session requests."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.rng = case, random.Random(seed)
        self.link_kb = case.places / 2.4 * RATES[1]
        self.settings = api.Settings(
            fronts=case.fronts,
            zone=0,
            tick=MS,
            classes=(FREE, PAID),
            rung_kb=RATES,
            rung_worth=(0.3, 0.6, 1.0),
            cells=case.hosts,
            racks=max(1, case.hosts // 9),
            uplink_kb=self.link_kb * 8,
            kb_per_weight=self.link_kb,
            places_by_kind=(case.places,),
            full_threshold=1.0,
            join_ratio=1.0,
            notice_delay=500 * MS,
            notice_interval=0,
            shortfall_cost=8.0,
            switch_cost_s=0.5,
            max_attempts=3,
            max_retry_after=SECOND,
            retry_after=True,
            probes=True,
            cancelling=True,
            connect_timeout=250 * MS,
            subscribe=False,
            list_poll_interval=0,
            cold_ratio=case.cold_from,
            warm_up_time=case.warm,
            drain_grace=250 * MS,
            cold_budget_multiple=case.multiple,
            cold_window=case.fall,
            free_retries=3.0,
            retry_ratio=0.2,
            retry_window=5 * SECOND,
            price_cross_zone=0.0,
            price_late_fail=0.05,
            price_move=0.2,
            price_probe=0.01,
            reports_in_answers=False,
            reports_uplink=False,
        )
        self.weights = [self.rng.lognormvariate(0, case.uneven) for _ in range(case.fronts)]
        self.titles = [self.rng.randrange(case.hosts) for _ in range(5 * case.hosts)]
        self.popularity = [(k + 1) ** -0.8 for k in range(len(self.titles))]
        self.rate = case.load * case.hosts * self.link_kb / RATES[1] / case.life
        self.load_kb: dict[int, float] = {}
        self.playing: dict[tuple[int, int], tuple[int, float]] = {}
        self.rungs: dict[tuple[int, int], float] = {}
        self.queue: list[tuple[int, int, tuple[Any, ...]]] = []
        self.count = self.ref = 0
        self.new_hosts_start = 25 * SECOND
        n, step = case.hosts, case.hosts // case.fresh
        self.replaced_hosts = {
            k * step: api.ServerEntry(k * step, 1.0, 0, k * step, 0, api.ServerState.READY, 0)
            for k in range(case.fresh)
        }
        self.steady_hosts = [
            api.ServerEntry(k, 1.0, 0, k, 0, api.ServerState.READY, 0) for k in range(n) if k not in self.replaced_hosts
        ]
        self.new_hosts = [
            api.ServerEntry(n + k, 1.0, 0, k * step, 0, api.ServerState.READY, self.new_hosts_start)
            for k in range(case.fresh)
        ]
        budget = case.multiple * case.places / case.warm * case.fall * case.cold_from
        self.arrivals = HostArrivals(case, {one.server: [] for one in self.new_hosts}, budget)
        self.fronts: list[Controller] = []
        for front in range(case.fronts):
            self.fronts.append(Controller(self.settings, self.rng.getrandbits(32)))
            self.handle(
                1, front, api.ServerList(api.ListKind.CACHED, (*self.steady_hosts, *self.replaced_hosts.values()))
            )
            self.handle(1, front, api.CarriedSession(api.Request(1, 0, 2, 1 << 60, 1, 1, 1, SECOND), 1))

    def schedule(self, when: int, *what: Any) -> None:
        """Schedule a call: a method and its arguments after the time."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what))

    def handle(self, now: int, front: int, event: api.Event) -> None:
        """Pass an event to a front's controller and carry out its actions."""
        one = self.fronts[front]
        for action in one.handle(now, event):
            if isinstance(action, api.SetTimer):
                self.schedule(max(now + 1, action.at), self.on_timer, front, one, action.token)
            elif isinstance(action, api.Probe):
                self.schedule(now + 2 * MS, self.on_probe_answer, front, one, action.server)
            elif isinstance(action, api.SetRung):
                key = (front, action.ref)
                self.rungs[key] = RATES[action.rung]
                if key in self.playing:
                    host, kb = self.playing[key]
                    self.load_kb[host] += RATES[action.rung] - kb
                    self.playing[key] = host, RATES[action.rung]
            elif isinstance(action, api.Send):
                if action.server in self.arrivals.sent:
                    self.arrivals.sent[action.server].append(now - self.new_hosts_start)
                self.schedule(now + 2 * MS, self.on_open, front, one, action.ref, action.server)

    def run(self) -> HostArrivals:
        """Run until `seconds` after the new hosts' start."""
        case, rng = self.case, self.rng
        self.schedule(SECOND, self.on_arrival)
        for front in range(case.fronts):
            self.schedule(self.new_hosts_start + int(rng.random() * case.late * SECOND), self.on_list_change, front)
            if case.restarts:
                self.schedule(self.new_hosts_start + int(rng.random() * case.restarts * SECOND), self.on_restart, front)
        while self.queue[0][0] < self.new_hosts_start + case.seconds * SECOND:
            now, _, (what, *about) = heapq.heappop(self.queue)
            what(now, *about)
        return self.arrivals

    def on_arrival(self, now: int) -> None:
        """A session request arrives at a front; schedules the next one."""
        rng, case = self.rng, self.case
        (front,) = rng.choices(range(case.fronts), self.weights)
        (title,) = rng.choices(range(len(self.titles)), self.popularity)
        self.ref += 1
        self.handle(
            now,
            front,
            api.Request(
                self.ref + 1,
                int(rng.random() < 0.35),
                2,
                now + 4 * SECOND,
                title,
                self.titles[title],
                case.copies,
                int(case.life * SECOND),
            ),
        )
        self.schedule(now + int(rng.expovariate(self.rate) * SECOND), self.on_arrival)

    def on_timer(self, now: int, front: int, one: Controller, token: int) -> None:
        """A front's timer expires, unless the front has restarted."""
        if self.fronts[front] is one:
            self.handle(now, front, api.TimerDue(token))

    def on_probe_answer(self, now: int, front: int, one: Controller, host: int) -> None:
        """A host answers a probe with its load."""
        if self.fronts[front] is one:
            report = api.Report(self.load_kb.get(host, 0.0) / self.link_kb)
            self.handle(now, front, api.ProbeResult(host, api.OutcomeCode.OK, 2 * MS, report))

    def on_open(self, now: int, front: int, one: Controller, ref: int, host: int) -> None:
        """A host opens a session, or refuses it when its link is full."""
        if self.fronts[front] is not one or ref not in one.sessions:
            return
        attempt = one.sessions[ref].attempts - 1
        if self.load_kb.get(host, 0.0) >= self.link_kb:
            return self.handle(now, front, api.Outcome(ref, attempt, host, api.OutcomeCode.FULL, 2 * MS, False))
        kb = self.rungs.get((front, ref), RATES[1])
        self.load_kb[host] = self.load_kb.get(host, 0.0) + kb
        self.playing[front, ref] = host, kb
        self.handle(now, front, api.SessionOpened(ref, attempt, host, 2 * MS))
        self.schedule(
            now + int(self.rng.uniform(0.5, 1.5) * self.case.life * SECOND),
            self.on_session_end,
            front,
            one,
            ref,
            attempt,
        )

    def on_session_end(self, now: int, front: int, one: Controller, ref: int, attempt: int) -> None:
        """A session ends and frees its share of the host's link."""
        if (front, ref) in self.playing:
            host, kb = self.playing.pop((front, ref))
            self.load_kb[host] -= kb
            if self.fronts[front] is one:
                self.handle(now, front, api.Outcome(ref, attempt, host, api.OutcomeCode.OK, SECOND, True))

    def on_list_change(self, now: int, front: int) -> None:
        """A front hears that the new hosts replace the old ones."""
        gone = tuple(
            api.ServerEntry(e.server, 1.0, 0, e.cell, 0, api.ServerState.GONE, 0) for e in self.replaced_hosts.values()
        )
        self.handle(now, front, api.ServerList(api.ListKind.DELTA, (*gone, *self.new_hosts)))

    def on_restart(self, now: int, front: int) -> None:
        """A front restarts: it loses its sessions and knows the new list from its cache."""
        self.fronts[front] = Controller(self.settings, self.rng.getrandbits(32))
        for key in [key for key in self.playing if key[0] == front]:
            host, kb = self.playing.pop(key)
            self.load_kb[host] -= kb
        self.handle(now, front, api.ServerList(api.ListKind.CACHED, (*self.steady_hosts, *self.new_hosts)))


def run_case(job: tuple[Case, int]) -> HostArrivals:
    """Run one case with one seed."""
    case, seed = job
    return Simulation(case, seed).run()


def cases() -> list[Case]:
    """The cases of the table: numbers of fronts and places, each with four traffic patterns."""
    found = []
    for fronts in (1, 2, 3, 20, 30, 230):
        for places in (2, 10, 60):
            found += [
                Case(fronts, places, uneven=0.0),
                Case(fronts, places, uneven=1.2),
                Case(fronts, places, uneven=1.2, load=1.7, copies=10, multiple=1.0),
                Case(fronts, places, uneven=1.2, load=1.3, restarts=4.0, late=4.9),
            ]
    return found


def main() -> None:
    """Run all cases and print the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    print(
        "| fronts | N at the start | traffic | load | worst over the budget, of 2 root N + 2 | runs over it "
        "| set-ups at a new host |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    with multiprocessing.Pool() as pool:
        for case in cases():
            found = pool.map(
                run_case, [(case, seed) for seed in range(max(2, seeds // 5) if case.fronts > 100 else seeds)]
            )
            worst = [one.worst_excess() for one in found]
            print(
                f"| {case.fronts} | {found[0].budget:.1f} | {'even' if not case.uneven else 'uneven'}"
                f"{', all restart' if case.restarts else ''} | {case.load} | {max(worst):.2f} "
                f"| {sum(one > 1 for one in worst)} of {len(worst)} "
                f"| {sum(one.mean_setups() for one in found) / len(found):.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
