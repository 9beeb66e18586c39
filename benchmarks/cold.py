"""What all fronts together send to cold hosts, counted: `python -m benchmarks.cold [SEEDS]` prints a table.

Fronts that cannot talk draw their turns at a host that has just started, each on the assumption that the others are
like it. Here they are not: traffic is uneven, news come late, fronts restart, and everybody wants the new hosts because
all others are full. Counted is the worst window of the settings' length at each new host, against the budget N that
the settings allow there at that time (warm by a straight line from `cold_from`) and what is put down to chance beyond
it, 2 x root of N + 2. Settings are of no deployment; the hosts are counters, with links that sessions share.
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
    """`places` of a host make the budget; `uneven` is the spread of fronts' traffic (of its logarithm), `load` what is
    asked of all links, `restarts` s over which all fronts restart from the hosts' start on, 0: none do; `late` s by
    which news of the start spread over the fronts."""

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
class Sum:
    """What came to each new host, and when; `budget` at its start."""

    case: Case
    sent: dict[int, list[int]] = field(default_factory=dict)
    budget: float = 0.0

    def worst(self) -> float:
        """The most that any window had over its budget, as a part of what is put down to chance."""
        case, found = self.case, 0.0
        for times in self.sent.values():
            for at in times:
                warmth = min(1.0, case.cold_from + (1 - case.cold_from) * at / case.warm)
                budget = self.budget / case.cold_from * warmth
                n = sum(1 for other in times if at - case.fall < other <= at)
                found = max(found, (n - budget) / (2 * math.sqrt(budget) + 2))
        return found

    def mean(self) -> float:
        """Set-ups that a new host got."""
        return sum(map(len, self.sent.values())) / len(self.sent)


class World:
    """Fronts, hosts and arrivals on a clock of its own."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.rng = case, random.Random(seed)
        self.link = case.places / 2.4 * RATES[1]
        self.settings = api.Settings(
            fronts=case.fronts,
            zone=0,
            tick=MS,
            classes=(FREE, PAID),
            rung_kb=RATES,
            rung_worth=(0.3, 0.6, 1.0),
            cells=case.hosts,
            racks=max(1, case.hosts // 9),
            uplink_kb=self.link * 8,
            kb_per_weight=self.link,
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
        self.wanted = [(k + 1) ** -0.8 for k in range(len(self.titles))]
        self.rate = case.load * case.hosts * self.link / RATES[1] / case.life
        self.asked: dict[int, float] = {}
        self.playing: dict[tuple[int, int], tuple[int, float]] = {}
        self.rungs: dict[tuple[int, int], float] = {}
        self.queue: list[tuple[int, int, tuple[Any, ...]]] = []
        self.count = self.ref = 0
        self.began = 25 * SECOND  # when the new hosts start
        n, step = case.hosts, case.hosts // case.fresh
        self.old = {
            k * step: api.ServerEntry(k * step, 1.0, 0, k * step, 0, api.ServerState.READY, 0)
            for k in range(case.fresh)
        }
        self.kept = [api.ServerEntry(k, 1.0, 0, k, 0, api.ServerState.READY, 0) for k in range(n) if k not in self.old]
        self.new = [
            api.ServerEntry(n + k, 1.0, 0, k * step, 0, api.ServerState.READY, self.began) for k in range(case.fresh)
        ]
        budget = case.multiple * case.places / case.warm * case.fall * case.cold_from
        self.sum = Sum(case, {one.server: [] for one in self.new}, budget)
        self.fronts: list[Controller] = []
        for front in range(case.fronts):
            self.fronts.append(Controller(self.settings, self.rng.getrandbits(32)))
            self.tell(1, front, api.ServerList(api.ListKind.CACHED, (*self.kept, *self.old.values())))
            self.tell(1, front, api.CarriedSession(api.Request(1, 0, 2, 1 << 60, 1, 1, 1, SECOND), 1))

    def at(self, when: int, *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what))

    def tell(self, now: int, front: int, event: api.Event) -> None:
        one = self.fronts[front]
        for action in one.handle(now, event):
            if isinstance(action, api.SetTimer):
                self.at(max(now + 1, action.at), self.wakes, front, one, action.token)
            elif isinstance(action, api.Probe):
                self.at(now + 2 * MS, self.probed, front, one, action.server)
            elif isinstance(action, api.SetRung):
                key = (front, action.ref)
                self.rungs[key] = RATES[action.rung]
                if key in self.playing:
                    host, kb = self.playing[key]
                    self.asked[host] += RATES[action.rung] - kb
                    self.playing[key] = host, RATES[action.rung]
            elif isinstance(action, api.Send):
                if action.server in self.sum.sent:
                    self.sum.sent[action.server].append(now - self.began)
                self.at(now + 2 * MS, self.opens, front, one, action.ref, action.server)

    def run(self) -> Sum:
        case, rng = self.case, self.rng
        self.at(SECOND, self.arrives)
        for front in range(case.fronts):
            self.at(self.began + int(rng.random() * case.late * SECOND), self.hears, front)
            if case.restarts:
                self.at(self.began + int(rng.random() * case.restarts * SECOND), self.restarts, front)
        while self.queue[0][0] < self.began + case.seconds * SECOND:
            now, _, (what, *about) = heapq.heappop(self.queue)
            what(now, *about)
        return self.sum

    def arrives(self, now: int) -> None:
        rng, case = self.rng, self.case
        (front,) = rng.choices(range(case.fronts), self.weights)
        (title,) = rng.choices(range(len(self.titles)), self.wanted)
        self.ref += 1
        self.tell(
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
        self.at(now + int(rng.expovariate(self.rate) * SECOND), self.arrives)

    def wakes(self, now: int, front: int, one: Controller, token: int) -> None:
        if self.fronts[front] is one:
            self.tell(now, front, api.TimerDue(token))

    def probed(self, now: int, front: int, one: Controller, host: int) -> None:
        if self.fronts[front] is one:
            report = api.Report(self.asked.get(host, 0.0) / self.link)
            self.tell(now, front, api.ProbeResult(host, api.OutcomeCode.OK, 2 * MS, report))

    def opens(self, now: int, front: int, one: Controller, ref: int, host: int) -> None:
        if self.fronts[front] is not one or ref not in one.sessions:
            return
        attempt = one.sessions[ref].attempts - 1
        if self.asked.get(host, 0.0) >= self.link:
            return self.tell(now, front, api.Outcome(ref, attempt, host, api.OutcomeCode.FULL, 2 * MS, False))
        kb = self.rungs.get((front, ref), RATES[1])
        self.asked[host] = self.asked.get(host, 0.0) + kb
        self.playing[front, ref] = host, kb
        self.tell(now, front, api.SessionOpened(ref, attempt, host, 2 * MS))
        self.at(now + int(self.rng.uniform(0.5, 1.5) * self.case.life * SECOND), self.ends, front, one, ref, attempt)

    def ends(self, now: int, front: int, one: Controller, ref: int, attempt: int) -> None:
        if (front, ref) in self.playing:
            host, kb = self.playing.pop((front, ref))
            self.asked[host] -= kb
            if self.fronts[front] is one:
                self.tell(now, front, api.Outcome(ref, attempt, host, api.OutcomeCode.OK, SECOND, True))

    def hears(self, now: int, front: int) -> None:
        gone = tuple(api.ServerEntry(e.server, 1.0, 0, e.cell, 0, api.ServerState.GONE, 0) for e in self.old.values())
        self.tell(now, front, api.ServerList(api.ListKind.DELTA, (*gone, *self.new)))

    def restarts(self, now: int, front: int) -> None:
        self.fronts[front] = Controller(self.settings, self.rng.getrandbits(32))
        for key in [key for key in self.playing if key[0] == front]:
            host, kb = self.playing.pop(key)
            self.asked[host] -= kb
        self.tell(now, front, api.ServerList(api.ListKind.CACHED, (*self.kept, *self.new)))


def play(job: tuple[Case, int]) -> Sum:
    case, seed = job
    return World(case, seed).run()


def cases() -> list[Case]:
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
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    print(
        "| fronts | N at the start | traffic | load | worst over the budget, of 2 root N + 2 | runs over it "
        "| set-ups at a new host |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    with multiprocessing.Pool() as pool:
        for case in cases():
            found = pool.map(play, [(case, seed) for seed in range(max(2, seeds // 5) if case.fronts > 100 else seeds)])
            worst = [one.worst() for one in found]
            print(
                f"| {case.fronts} | {found[0].budget:.1f} | {'even' if not case.uneven else 'uneven'}"
                f"{', all restart' if case.restarts else ''} | {case.load} | {max(worst):.2f} "
                f"| {sum(one > 1 for one in worst)} of {len(worst)} "
                f"| {sum(one.mean() for one in found) / len(found):.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
