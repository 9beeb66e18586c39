"""What a run at scale came to, from what gateways noted and what their processes used. Nothing here does I/O.

Times are s on the machine's monotonic clock, which all its processes share. Where nothing was seen, a figure is None.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

GRACE = 20.0  # s after the end of what failed in which others may still hold a gateway for what it was before
LATE = 10.0  # s before the end of a run from which on what has not come yet is not missed


@dataclass(frozen=True, slots=True)
class Plan:
    """A gateway took a plan up; `closed` names the zones that are closed in it."""

    at: float
    epoch: int
    digest: str
    closed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Death:
    """A gateway held another for dead."""

    at: float
    by: str
    whom: str
    first: bool


@dataclass(frozen=True, slots=True)
class Down:
    """These gateways were not what they should be: killed, standing still, cut off from all others (then the side with
    fewer voters), not there yet. `until` is inf where they did not come back. `zone`: a whole one, by name."""

    kind: str
    names: frozenset[str]
    at: float
    until: float
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Used:
    """What a process had used at a time: s of processor time, kB of memory, and by gateway bytes sent and received."""

    at: float
    cpu: float
    rss: int
    bytes: dict[str, tuple[int, int]]


@dataclass(slots=True)
class Tally:
    """All of a run. `hollow` and `real` are gateways' names; `lives` tells when each began (anew)."""

    hollow: frozenset[str]
    real: frozenset[str]
    begin: float = 0.0
    end: float = 0.0
    plans: dict[str, list[Plan]] = field(default_factory=lambda: defaultdict(list))
    deaths: list[Death] = field(default_factory=list)
    lives: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    downs: list[Down] = field(default_factory=list)
    leads: list[tuple[float, str]] = field(default_factory=list)

    # ---- who was well when

    def well(self, name: str, since: float, until: float) -> bool:
        """Whether nothing was done to a gateway in that time."""
        return not any(name in down.names and down.at < until and down.until > since for down in self.downs)

    def leader(self, at: float) -> str | None:
        """Who led last by then."""
        return max(((when, name) for when, name in self.leads if when <= at), default=(0.0, None))[1]

    # ---- deaths

    def falsely_dead(self) -> list[str]:
        """Gateways that somebody held for dead though nothing had been done to them, nor to who said so. What is told
        of a life before, or of the other side of a cut, counts for GRACE after its end."""
        return sorted(
            {
                death.whom
                for death in self.deaths
                if death.at >= self.begin and not any(self._excused(death, down) for down in self.downs)
            }
        )

    def _excused(self, death: Death, down: Down) -> bool:
        if not down.at <= death.at <= down.until + GRACE:
            return False
        if down.kind == "cut":
            return death.at > down.until or (death.whom in down.names) != (death.by in down.names)
        return death.whom in down.names or (down.kind == "pause" and death.by in down.names)

    def dead_known(self) -> dict[str, object]:
        """Of single gateways that were killed: s until the last of those that came to know did, the first and the
        middle one, and how many knew of how many that lived all the while."""
        last, first, middle, knew, watchers = None, None, None, 0, 0
        for down in self.downs:
            if down.kind != "kill" or len(down.names) != 1:
                continue
            whom = next(iter(down.names))
            until = min(down.until, self.end)
            watching = {
                n for n in self.hollow | self.real if n != whom and n in self.lives and self.well(n, down.at, until)
            }
            heard: dict[str, float] = {}
            for death in self.deaths:
                if death.whom == whom and down.at <= death.at <= until and death.by in watching:
                    heard.setdefault(death.by, death.at - down.at)
            watchers, knew = watchers + len(watching), knew + len(heard)
            if heard and (last is None or max(heard.values()) > last):
                times = sorted(heard.values())
                last, first, middle = times[-1], times[0], times[len(times) // 2]
        return {
            "dead_known_s": rounded(last),
            "dead_first_s": rounded(first),
            "dead_median_s": rounded(middle),
            "dead_known_by": [knew, watchers],
        }

    def zone_known(self) -> dict[str, object]:
        """Of zones that were killed: s until a plan without it was agreed on, and until it was in force at all that
        lived all the while; None where it did not come to be."""
        agreed: float | None = None
        last: float | None = None
        knew = watchers = 0
        for down in self.downs:
            if down.kind != "kill" or not down.zone:
                continue
            until = min(down.until, self.end)
            watching = [
                n
                for n in self.hollow | self.real
                if n not in down.names and n in self.lives and self.well(n, down.at, until)
            ]
            times = []
            for name in watching:
                at = next((p.at for p in self.plans[name] if down.at <= p.at <= until and down.zone in p.closed), None)
                if at is not None:
                    times.append(at - down.at)
            watchers, knew = watchers + len(watching), knew + len(times)
            if times:
                agreed = max(agreed or 0.0, min(times))
                last = max(last or 0.0, max(times))
        return {
            "zone_known_s": rounded(last if knew == watchers else None),
            "zone_agreed_s": rounded(agreed),
            "zone_known_by": [knew, watchers],
        }

    # ---- plans

    def histories(self) -> int:
        """The most plans that anybody saw under one epoch: 1 is right, 0 where there was none."""
        found: dict[int, set[str]] = defaultdict(set)
        for plans in self.plans.values():
            for plan in plans:
                found[plan.epoch].add(plan.digest)
        return max((len(one) for one in found.values()), default=0)

    def change_in_force(self) -> dict[str, object] | None:
        """Of each plan that was committed after the beginning: s from the first gateway that took it up, the leader, to
        each that lived and was well all the while; None where there was none. `missing` of them had not taken it up
        though it was agreed on LATE before the end."""
        known: dict[int, float] = {}
        for plans in self.plans.values():
            for plan in plans:
                known[plan.epoch] = min(plan.at, known.get(plan.epoch, math.inf))
        taken, missing = [], 0
        for epoch, at in known.items():
            if at < self.begin:
                continue
            for name, plans in self.plans.items():
                lives = self.lives[name]
                if not lives or lives[0] > at:
                    continue
                after = next((p.at for p in plans if p.epoch >= epoch and p.at >= at), None)
                if after is None:
                    missing += at < self.end - LATE and self.well(name, at, self.end)
                elif self.well(name, at, after):
                    taken.append(after - at)
        if not taken:
            return None
        taken.sort()
        return {
            "p50": rounded(quantile(taken, 0.5)),
            "p99": rounded(quantile(taken, 0.99)),
            "last": rounded(taken[-1]),
            "epochs": sum(1 for at in known.values() if at >= self.begin),
            "missing": missing,
        }

    def rejoin(self) -> dict[str, object]:
        """Of gateways that were started again, or late: s until the first plan was in force there, the longest and the
        middle one; `missing` of them had none though they were started LATE before the end."""
        times, missing = [], 0
        for name, lives in self.lives.items():
            for n, at in enumerate(lives):
                if at < self.begin:
                    continue
                until = lives[n + 1] if n + 1 < len(lives) else self.end
                taken = next((p.at for p in self.plans[name] if at <= p.at <= until), None)
                if taken is not None:
                    times.append(taken - at)
                else:
                    missing += at < self.end - LATE and self.well(name, at, until)
        times.sort()
        return {
            "rejoin_s": rounded(times[-1]) if times else None,
            "rejoin_median_s": rounded(times[len(times) // 2]) if times else None,
            "rejoin_missing": missing,
        }


def rates(samples: Sequence[Used], begin: float, end: float, gateways: int) -> list[float]:
    """ms of a core a second that each gateway of a process used, one figure a second of that span."""
    found = []
    for a, b in zip(samples, samples[1:], strict=False):
        if begin <= a.at and b.at <= end and b.at > a.at:
            found.append(1000 * (b.cpu - a.cpu) / (b.at - a.at) / max(1, gateways))
    return found


def mean_rate(samples: Sequence[Used], begin: float, end: float) -> float | None:
    """ms of a core a second that a process used over that span."""
    inside = [s for s in samples if begin <= s.at <= end]
    if len(inside) < 2:
        return None
    return 1000 * (inside[-1].cpu - inside[0].cpu) / (inside[-1].at - inside[0].at)


def traffic(samples: Sequence[Used], begin: float, end: float) -> dict[str, list[tuple[float, float]]]:
    """Bytes a second sent and received, by gateway, one pair a second of that span; a life that ended has none for
    that second."""
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for a, b in zip(samples, samples[1:], strict=False):
        if begin <= a.at and b.at <= end and b.at > a.at:
            for name, (sent, received) in b.bytes.items():
                before = a.bytes.get(name)
                if before is not None and sent >= before[0] and received >= before[1]:
                    span = b.at - a.at
                    found[name].append(((sent - before[0]) / span, (received - before[1]) / span))
    return found


def quantile(ordered: Sequence[float], part: float) -> float:
    """Of figures in order, the least that is not under so great a part of them."""
    return ordered[min(len(ordered) - 1, max(0, math.ceil(part * len(ordered)) - 1))]


def weighted(pairs: Iterable[tuple[float, int]], part: float) -> float | None:
    """The same of figures that stand for so many gateways each; None of none."""
    ordered = sorted(pairs)
    sums, total = [], 0
    for _, weight in ordered:
        total += weight
        sums.append(total)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, bisect_left(sums, part * total))][0]


def rounded(value: float | None, digits: int = 3) -> float | None:
    return None if value is None else round(value, digits)
