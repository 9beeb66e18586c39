"""Statistics of a scale test, from the notes of gateways and the usage of their processes. Does no I/O.

Times are in s on the machine's monotonic clock, which all processes share. A figure that was not observed is None.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

OUTAGE_GRACE_S = 20.0  # s after the end of an outage in which others may still hold a gateway for what it was before
LATE_MARGIN_S = 10.0  # s; what begins later than this before the end of a run is not counted as missing


@dataclass(frozen=True, slots=True)
class PlanAdoption:
    """A gateway adopted a plan. `closed` names the zones that are closed in it."""

    at: float
    epoch: int
    digest: str
    closed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeathReport:
    """A gateway held another for dead."""

    at: float
    reporter: str
    subject: str
    first_hand: bool


@dataclass(frozen=True, slots=True)
class Outage:
    """Gateways that were not in normal operation.

    They were killed, paused, cut off from all others (then `names` is the side with fewer voters), or not started
    yet. `end` is inf if they did not come back. `zone` names the zone if a whole one was hit.
    """

    kind: str
    names: frozenset[str]
    begin: float
    end: float
    zone: str = ""


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Cumulative usage of a process at a time.

    In s of processor time, kB of memory, and bytes sent and received by gateway.
    """

    at: float
    cpu_s: float
    rss_kb: int
    bytes: dict[str, tuple[int, int]]


@dataclass(slots=True)
class RunStatistics:
    """All observations of a run.

    `hollow` and `real` are names of gateways; `starts` are the times of their starts and restarts.
    """

    hollow: frozenset[str]
    real: frozenset[str]
    begin: float = 0.0
    end: float = 0.0
    plans: dict[str, list[PlanAdoption]] = field(default_factory=lambda: defaultdict(list))
    deaths: list[DeathReport] = field(default_factory=list)
    starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    outages: list[Outage] = field(default_factory=list)
    leader_changes: list[tuple[float, str]] = field(default_factory=list)

    # ---- outages and leaders

    def was_healthy(self, name: str, since: float, until: float) -> bool:
        """Whether no outage hit a gateway in that time."""
        return not any(name in outage.names and outage.begin < until and outage.end > since for outage in self.outages)

    def leader(self, at: float) -> str | None:
        """The last gateway that became leader up to a time."""
        return max(((when, name) for when, name in self.leader_changes if when <= at), default=(0.0, None))[1]

    # ---- deaths

    def false_deaths(self) -> list[str]:
        """Gateways that were held for dead although neither they nor the reporter had an outage.

        A report about an earlier start, or about the other side of a cut, is excused up to OUTAGE_GRACE_S after the
        outage.
        """
        return sorted(
            {
                death.subject
                for death in self.deaths
                if death.at >= self.begin and not any(self._is_expected(death, outage) for outage in self.outages)
            }
        )

    def _is_expected(self, death: DeathReport, outage: Outage) -> bool:
        if not outage.begin <= death.at <= outage.end + OUTAGE_GRACE_S:
            return False
        if outage.kind == "cut":
            return death.at > outage.end or (death.subject in outage.names) != (death.reporter in outage.names)
        return death.subject in outage.names or (outage.kind == "pause" and death.reporter in outage.names)

    def death_detection(self) -> dict[str, object]:
        """Detection times of single gateways that were killed.

        In s: the last, the first and the median gateway to learn of it, and how many learned of it out of those that
        ran all the while.
        """
        last, first, median, aware, observer_count = None, None, None, 0, 0
        for outage in self.outages:
            if outage.kind != "kill" or len(outage.names) != 1:
                continue
            subject = next(iter(outage.names))
            until = min(outage.end, self.end)
            observers = {
                n
                for n in self.hollow | self.real
                if n != subject and n in self.starts and self.was_healthy(n, outage.begin, until)
            }
            delays: dict[str, float] = {}
            for death in self.deaths:
                if death.subject == subject and outage.begin <= death.at <= until and death.reporter in observers:
                    delays.setdefault(death.reporter, death.at - outage.begin)
            observer_count, aware = observer_count + len(observers), aware + len(delays)
            if delays and (last is None or max(delays.values()) > last):
                times = sorted(delays.values())
                last, first, median = times[-1], times[0], times[len(times) // 2]
        return {
            "dead_known_s": rounded(last),
            "dead_first_s": rounded(first),
            "dead_median_s": rounded(median),
            "dead_known_by": [aware, observer_count],
        }

    def zone_loss_detection(self) -> dict[str, object]:
        """Detection times of zones that were killed.

        In s until a plan without the zone was agreed on, and until that plan was in force at all gateways that ran
        all the while; None if it never was.
        """
        agreed: float | None = None
        last: float | None = None
        aware = observer_count = 0
        for outage in self.outages:
            if outage.kind != "kill" or not outage.zone:
                continue
            until = min(outage.end, self.end)
            observers = [
                n
                for n in self.hollow | self.real
                if n not in outage.names and n in self.starts and self.was_healthy(n, outage.begin, until)
            ]
            times = []
            for name in observers:
                at = next(
                    (p.at for p in self.plans[name] if outage.begin <= p.at <= until and outage.zone in p.closed), None
                )
                if at is not None:
                    times.append(at - outage.begin)
            observer_count, aware = observer_count + len(observers), aware + len(times)
            if times:
                agreed = max(agreed or 0.0, min(times))
                last = max(last or 0.0, max(times))
        return {
            "zone_known_s": rounded(last if aware == observer_count else None),
            "zone_agreed_s": rounded(agreed),
            "zone_known_by": [aware, observer_count],
        }

    # ---- plans

    def history_count(self) -> int:
        """The largest number of different plans seen under one epoch: 1 is correct, 0 if there was no plan."""
        found: dict[int, set[str]] = defaultdict(set)
        for plans in self.plans.values():
            for plan in plans:
                found[plan.epoch].add(plan.digest)
        return max((len(one) for one in found.values()), default=0)

    def plan_propagation(self) -> dict[str, object] | None:
        """Propagation times of the plans that were committed after the beginning of the run.

        In s from the first gateway that adopted a plan, the leader, to each gateway that ran without an outage all
        the while; None if there was none. `missing` counts those that did not adopt a plan that was agreed on more
        than LATE_MARGIN_S before the end.
        """
        first_seen: dict[int, float] = {}
        for plans in self.plans.values():
            for plan in plans:
                first_seen[plan.epoch] = min(plan.at, first_seen.get(plan.epoch, math.inf))
        delays, missing = [], 0
        for epoch, at in first_seen.items():
            if at < self.begin:
                continue
            for name, plans in self.plans.items():
                lives = self.starts[name]
                if not lives or lives[0] > at:
                    continue
                after = next((p.at for p in plans if p.epoch >= epoch and p.at >= at), None)
                if after is None:
                    missing += at < self.end - LATE_MARGIN_S and self.was_healthy(name, at, self.end)
                elif self.was_healthy(name, at, after):
                    delays.append(after - at)
        if not delays:
            return None
        delays.sort()
        return {
            "p50": rounded(quantile(delays, 0.5)),
            "p99": rounded(quantile(delays, 0.99)),
            "last": rounded(delays[-1]),
            "epochs": sum(1 for at in first_seen.values() if at >= self.begin),
            "missing": missing,
        }

    def rejoin_times(self) -> dict[str, object]:
        """Times of gateways that were restarted, or started late.

        In s until the first plan was in force there, the longest and the median; `missing` counts those without a
        plan that were started more than LATE_MARGIN_S before the end.
        """
        times, missing = [], 0
        for name, lives in self.starts.items():
            for n, at in enumerate(lives):
                if at < self.begin:
                    continue
                until = lives[n + 1] if n + 1 < len(lives) else self.end
                adopted = next((p.at for p in self.plans[name] if at <= p.at <= until), None)
                if adopted is not None:
                    times.append(adopted - at)
                else:
                    missing += at < self.end - LATE_MARGIN_S and self.was_healthy(name, at, until)
        times.sort()
        return {
            "rejoin_s": rounded(times[-1]) if times else None,
            "rejoin_median_s": rounded(times[len(times) // 2]) if times else None,
            "rejoin_missing": missing,
        }


def cpu_rates(samples: Sequence[UsageSample], begin: float, end: float, gateways: int) -> list[float]:
    """Processor time in ms a second that each gateway of a process used, one figure a sample."""
    found = []
    for a, b in zip(samples, samples[1:], strict=False):
        if begin <= a.at and b.at <= end and b.at > a.at:
            found.append(1000 * (b.cpu_s - a.cpu_s) / (b.at - a.at) / max(1, gateways))
    return found


def mean_cpu_rate(samples: Sequence[UsageSample], begin: float, end: float) -> float | None:
    """Mean processor time in ms a second that a process used in that span; None with too few samples."""
    inside = [s for s in samples if begin <= s.at <= end]
    if len(inside) < 2:
        return None
    return 1000 * (inside[-1].cpu_s - inside[0].cpu_s) / (inside[-1].at - inside[0].at)


def byte_rates(samples: Sequence[UsageSample], begin: float, end: float) -> dict[str, list[tuple[float, float]]]:
    """Bytes a second sent and received by each gateway, one pair a sample in that span.

    A gateway that ended or restarted has no pair for that sample.
    """
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for a, b in zip(samples, samples[1:], strict=False):
        if begin <= a.at and b.at <= end and b.at > a.at:
            for name, (sent, received) in b.bytes.items():
                before = a.bytes.get(name)
                if before is not None and sent >= before[0] and received >= before[1]:
                    span = b.at - a.at
                    found[name].append(((sent - before[0]) / span, (received - before[1]) / span))
    return found


def quantile(values: Sequence[float], fraction: float) -> float:
    """Quantile of sorted values: the least value with at least that fraction of the values at or below it."""
    return values[min(len(values) - 1, max(0, math.ceil(fraction * len(values)) - 1))]


def weighted_quantile(pairs: Iterable[tuple[float, int]], fraction: float) -> float | None:
    """The same for (value, weight) pairs; None if there are none."""
    ordered = sorted(pairs)
    sums, total = [], 0
    for _, weight in ordered:
        total += weight
        sums.append(total)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, bisect_left(sums, fraction * total))][0]


def rounded(value: float | None, digits: int = 3) -> float | None:
    """The rounded value, or None."""
    return None if value is None else round(value, digits)
