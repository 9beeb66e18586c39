"""Scripted days: arrivals, habits and troubles on a whole site, then the auditor's verdict."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import trio

from ..config import Site
from ..gateway.net import Network, now
from ..interface import Effect
from .audit import Auditor, Break, redeemed
from .fleet import Fleet, Make
from .viewers import Viewer, Visit

MS = 1_000_000
SECOND = 1_000_000_000

Trouble = Callable[[Fleet], Awaitable[None] | None]


@dataclass(frozen=True, slots=True)
class Day:
    """A day's script: arrivals for `seconds` s at `rate` a second, `paid` of them with a code; troubles by the
    second at which they strike; how viewers behave, as shares."""

    name: str
    seconds: float
    rate: float
    paid: float
    watch: tuple[float, float]
    troubles: tuple[tuple[float, Trouble], ...]
    habits: Mapping[str, float]


@dataclass(slots=True)
class Result:
    """What a day came to."""

    day: str
    seed: int
    visits: list[Visit]
    breaks: list[Break]
    summary: dict[str, object] = field(default_factory=dict)


def _hosts(*numbers: int, **faults: object) -> Trouble:
    def strike(fleet: Fleet) -> None:
        for n in numbers:
            for name, value in faults.items():
                setattr(fleet.hosts[n % len(fleet.hosts)].faults, name, value)
    return strike


def _drain(number: int, state: str) -> Trouble:
    return lambda fleet: fleet.lists.later(fleet.hosts[number % len(fleet.hosts)], state)


def _lose(*numbers: int) -> Trouble:
    def strike(fleet: Fleet) -> None:
        for n in numbers:
            fleet.crash(fleet.hosts[n % len(fleet.hosts)])
    return strike


def _return(*numbers: int) -> Trouble:
    async def strike(fleet: Fleet) -> None:
        for n in numbers:
            await fleet.revive(fleet.hosts[n % len(fleet.hosts)])
    return strike


def _lists(down: bool) -> Trouble:
    return lambda fleet: fleet.lists.fail(down)


def _kill(number: int) -> Trouble:
    return lambda fleet: fleet.kill_gateway(fleet.gateways[number % len(fleet.gateways)])


def _start(number: int) -> Trouble:
    return lambda fleet: fleet.start_gateway(fleet.gateways[number % len(fleet.gateways)])


def _uplink(rack: int, weak: float) -> Trouble:
    def strike(fleet: Fleet) -> None:
        fleet.racks[rack % len(fleet.racks)].weak = weak
    return strike


HABITS = {"plain": 0.7, "resend": 0.06, "resend-elsewhere": 0.06, "hang-up": 0.06, "stop-reading": 0.03,
          "half-message": 0.03, "pause": 0.06}
ALL = tuple(range(64))

BAD = Day("bad", 24.0, 12.0, 0.35, (3.0, 9.0), (
    (2.0, _hosts(0, quiet_before_play=True)),
    (3.0, _hosts(1, lose_answers=1.0)),
    (5.0, _drain(2, "draining")),
    (6.0, _hosts(0, quiet_before_play=False)),
    (7.0, _hosts(1, lose_answers=0.0)),
    (8.0, _lose(4, 5, 6, 7)),
    (9.0, _lists(True)),
    (11.0, _drain(2, "ready")),
    (12.0, _lists(False)),
    (12.0, _kill(1)),
    (13.0, _return(4, 5, 6, 7)),
    (14.0, _start(1)),
    (14.0, _hosts(8, full=True)),
    (14.5, _hosts(9, errors=0.8)),
    (15.0, _hosts(10, standing=True)),
    (17.0, _hosts(8, full=False)),
    (17.0, _uplink(0, 2.0)),
    (17.5, _hosts(3, 11, weak=3.0)),
    (18.0, _hosts(10, standing=False)),
    (18.0, _hosts(*ALL, late_reports=3 * SECOND)),
    (18.5, _hosts(9, errors=0.0)),
    (21.0, _uplink(0, 1.0)),
    (21.5, _hosts(3, 11, weak=1.0)),
    (22.0, _hosts(*ALL, late_reports=0)),
), HABITS)
CALM = Day("calm", 6.0, 8.0, 0.35, (2.0, 4.0), (), {"plain": 1.0})
DAYS = {day.name: day for day in (BAD, CALM)}


async def run_day(site: Site, day: Day, network: Network, seed: int, slack: int, late: int,
                  log: Callable[[str, Mapping[str, str | int]], None] = lambda event, fields: None,
                  make: Make | None = None) -> Result:
    """Play a day to its end and audit it."""
    fleet = Fleet(site, network, seed, log, make)
    rng = random.Random(seed)
    visits: list[Visit] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        await _settle(fleet)
        async with trio.open_nursery() as crowd:
            crowd.start_soon(_troubles, fleet, day, crowd)
            await _arrivals(fleet, day, rng, visits, crowd)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    await trio.lowlevel.checkpoint()
    auditor = Auditor(site.rules, fleet.tap, slack, late)
    breaks = auditor.check()
    result = Result(day.name, seed, visits, breaks)
    result.summary = _summary(site, day, seed, fleet, visits, breaks)
    return result


async def _settle(fleet: Fleet) -> None:
    """Wait till every gateway has heard the list, as an operator would before opening the doors."""
    with trio.move_on_after(10):
        await fleet.ready()


async def _troubles(fleet: Fleet, day: Day, nursery: trio.Nursery) -> None:
    begin = trio.current_time()
    for at, strike in sorted(day.troubles, key=lambda t: t[0]):
        await trio.sleep_until(begin + at)
        waits = strike(fleet)
        if waits is not None:
            await waits


async def _arrivals(fleet: Fleet, day: Day, rng: random.Random, visits: list[Visit], nursery: trio.Nursery) -> None:
    begin, at = trio.current_time(), 0.0
    paths = [t.path for t in fleet.site.titles]
    weights = [1 / (n + 1) ** 0.8 for n in range(len(paths))]
    longest = max(c.deadline for c in fleet.site.rules.settings.classes)

    def pick() -> tuple[str, str]:
        one = rng.choice([g for g in fleet.gateways if g.address])
        return one.name, one.address

    while (at := at + rng.expovariate(day.rate)) < day.seconds:
        await trio.sleep_until(begin + at)
        paid = rng.random() < day.paid
        code = f"c{fleet.seed}x{len(visits)}" if paid else ""
        if paid and rng.random() < 0.02:
            code = "bad" + code
        habit = rng.choices(list(day.habits), list(day.habits.values()))[0]
        visit = Visit(rng.choices(paths, weights)[0], code, habit, now())
        visits.append(visit)
        viewer = Viewer(fleet.network, fleet.tap, pick, visit, longest, random.Random(rng.random()))
        nursery.start_soon(viewer.run, rng.uniform(*day.watch))


def _summary(site: Site, day: Day, seed: int, fleet: Fleet, visits: list[Visit],
             breaks: list[Break]) -> dict[str, object]:
    classes = site.rules.settings.classes
    paid = next((c for c in classes if c.effect != Effect.SAFE), classes[0])
    free = next((c for c in classes if c.effect == Effect.SAFE), classes[0])
    asked = answered = 0.0
    for visit in visits:
        if visit.habit in ("half-message", "hang-up") or visit.code.startswith("bad"):
            continue
        cls = paid if visit.code else free
        asked += cls.worth
        if visit.played_after is not None and visit.played_after <= cls.aim:
            answered += cls.worth
    statuses = Counter(s for v in visits for s in v.statuses)
    codes = Counter(code for side in fleet.tap.hosts for code in redeemed(side))
    return {
        "day": day.name, "seed": seed, "requests": len(visits),
        "answers": {"played": statuses[200], "refused": statuses[453],
                    "failed": sum(n for s, n in statuses.items() if s >= 500),
                    "denied": sum(n for s, n in statuses.items() if 400 <= s < 500 and s != 453)},
        "ends": dict(sorted(Counter(v.ended.split(":")[0] for v in visits).items())),
        "worth_in_time": round(answered / asked, 3) if asked else None,
        "redemptions": len(fleet.office.receipts),
        "redeemed_twice": sum(1 for n in codes.values() if n > 1),
        "stream_faults": sum(len(v.faults) for v in visits),
        "attempts": sum(1 for s in fleet.tap.hosts for _, ours, m in s.messages
                        if not ours and getattr(m, "method", "") == "SETUP" and not m.header("Session")),
        "rules": {str(rule): sum(1 for b in breaks if b.rule == rule) for rule in range(1, 7)},
    }
