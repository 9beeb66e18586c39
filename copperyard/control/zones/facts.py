"""Reports of the gateways as the planner collects them, and how one front measures its own report."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from ...decide import UNHEALTHY_THRESHOLD, Controller
from ..session_table import SessionObserver
from .plan import FrontSummary, Terms, ZoneHosts

SECOND = 1_000_000_000
MEASURE_WINDOW_NS = 10 * SECOND  # ns over which a front counts session requests and set-ups
LOOKAHEAD_NS = 5 * SECOND  # ns of arrivals planned for on top of playing sessions: longer than a new plan takes
MIN_LENGTH_WEIGHT = 0.1  # least weight of the newest session in the mean session length
MAX_RECORDED_EVENTS = 100_000
MIN_PATH_SETUPS = 6  # fewer set-ups than this say nothing about the path between two zones
MAX_COUNT = 1 << 60  # upper bound of lives, sequence numbers and epochs; as ns: 36 years
MAX_TALLY = 1 << 40  # upper bound of counts of set-ups, hosts or probes; sums over a site still fit into a frame
MAX_LOAD_KB = 1e15  # upper bound of a load or room, kB/s


class Gauge:
    """Measures the demand of one front. `lengths`: assumed session length by class, ns, until a session has ended."""

    def __init__(self, name: str, life: int, zones: int, lengths: tuple[int, ...], terms: Terms, now: int) -> None:
        self.name, self.life, self.terms = name, life, terms
        self.lengths = [float(ns) for ns in lengths]
        self._length_counts = [1] * len(lengths)
        self.started_at = now
        self._requests: deque[tuple[int, int]] = deque(maxlen=MAX_RECORDED_EVENTS)
        self._setups: deque[tuple[int, int, bool]] = deque(maxlen=MAX_RECORDED_EVENTS)
        self._zones = zones
        self._number = 0

    def session_requested(self, now: int, cls: int) -> None:
        """Count a session request of a viewer."""
        self._requests.append((now, cls))

    def session_ended(self, cls: int, ns: int) -> None:
        """Add the length of a session that has ended to the mean of its class."""
        self._length_counts[cls] += 1
        self.lengths[cls] += max(MIN_LENGTH_WEIGHT, 1 / self._length_counts[cls]) * (ns - self.lengths[cls])

    def setup_finished(self, now: int, zone: int, failed: bool) -> None:
        """Count a set-up at a host of that zone, whether it failed or succeeded."""
        self._setups.append((now, zone, failed))

    def demand(self, now: int, playing: Sequence[float]) -> tuple[float, ...]:
        """Return the demand to plan for, kB/s by class.

        `playing` is the load of current sessions at the rung that the plan assumes; the arrivals of the next
        LOOKAHEAD_NS are added. The arrivals are limited to the steady state of the present arrival rate (rate times
        length times load, Little's law), because a short burst of arrivals says much less about the demand than
        the sessions that already play.
        """
        while self._requests and self._requests[0][0] <= now - MEASURE_WINDOW_NS:
            self._requests.popleft()
        counts = [0] * len(self.lengths)
        for _, cls in self._requests:
            counts[cls] += 1
        span = max(SECOND, min(MEASURE_WINDOW_NS, now - self.started_at)) / SECOND
        found = []
        for n, ns, kb, standing in zip(counts, self.lengths, self.terms.loads, playing, strict=True):
            arriving = n / span * kb
            found.append(max(standing, min(arriving * ns / SECOND, standing + arriving * LOOKAHEAD_NS / SECOND)))
        return tuple(found)

    def playing(self, controller: Controller) -> list[float]:
        """Return the load of this front's sessions at the plan's rung, kB/s by class, including sessions that wait."""
        found = [0.0] * len(self.lengths)
        for session in controller.sessions.values():
            found[session.request.cls] += self.terms.loads[session.request.cls]
        return found

    def summary(self, now: int, controller: Controller, epoch: int) -> FrontSummary:
        """Build the current report. Reads the controller's view of hosts without changing it."""
        while self._setups and self._setups[0][0] <= now - MEASURE_WINDOW_NS:
            self._setups.popleft()
        setups, failed_setups = [0] * self._zones, [0] * self._zones
        for _, zone, failed in self._setups:
            setups[zone] += 1
            failed_setups[zone] += failed
        rooms, used = [0.0] * self._zones, [0.0] * self._zones
        hosts, unhealthy = [0] * self._zones, [0] * self._zones
        for server in controller.servers.values():
            zone = server.entry.zone
            if server.gone or not 0 <= zone < self._zones:
                continue
            hosts[zone] += 1
            if server.failure_rate > UNHEALTHY_THRESHOLD:
                unhealthy[zone] += 1
            else:
                rooms[zone] += server.link.capacity_kb
                used[zone] += server.link.capacity_kb * min(1.0, server.link.load(now))
        self._number += 1
        return FrontSummary(
            self.name,
            self.life,
            self._number,
            epoch,
            self.demand(now, self.playing(controller)),
            tuple(ZoneHosts(*one) for one in zip(rooms, used, hosts, unhealthy, setups, failed_setups, strict=True)),
        )


class FrontGauge(SessionObserver):
    """Feeds a gauge from the events of one front; maps each host to its zone."""

    def __init__(self, gauge: Gauge, controller: Callable[[], Controller]) -> None:
        self.gauge, self.controller = gauge, controller

    def session_requested(self, now: int, cls: int) -> None:
        """Count a session request."""
        self.gauge.session_requested(now, cls)

    def session_ended(self, cls: int, ns: int) -> None:
        """Record the length of a session that has ended."""
        self.gauge.session_ended(cls, ns)

    def setup_finished(self, now: int, server: int, failed: bool) -> None:
        """Count a set-up for the zone of its host, if the host is known."""
        known = self.controller().servers.get(server)
        if known is not None and 0 <= known.entry.zone < len(self.gauge.terms.fronts):
            self.gauge.setup_finished(now, known.entry.zone, failed)


def weighted_median(points: Iterable[tuple[float, int]]) -> float:
    """Return the weighted median, the upper one of two; 0 for no values."""
    ordered = sorted(points)
    left = sum(weight for _, weight in ordered) // 2
    for value, weight in ordered:
        left -= weight
        if left < 0:
            return value
    return 0.0


def path_health(setups: int, failed: int) -> float:
    """Return the part of set-ups on a path between zones that succeeded; 1 if there were too few."""
    return 1.0 - failed / setups if setups >= MIN_PATH_SETUPS else 1.0


def knowing_hosts(summaries: Iterable[FrontSummary]) -> list[FrontSummary]:
    """Return the summaries that know any host: a front without hosts has not received a server list yet."""
    return [s for s in summaries if any(hosts.hosts for hosts in s.zones)]


def _plausible(summary: FrontSummary) -> bool:
    """Whether the figures are in range: one absurd report would corrupt the sums of a whole cell."""
    return (
        0 <= summary.life < MAX_COUNT
        and 0 <= summary.number < MAX_COUNT
        and 0 <= summary.epoch < MAX_COUNT
        and all(0 <= kb <= MAX_LOAD_KB for kb in summary.demand)
        and all(0 <= z.room <= MAX_LOAD_KB and 0 <= z.failed_setups <= z.setups < MAX_TALLY for z in summary.zones)
    )


class SummaryTable:
    """The newest summary of each gateway. `zone_of` maps all gateways of the settings to their zones."""

    def __init__(self, zone_of: Mapping[str, int], terms: Terms) -> None:
        self.zone_of, self.terms = dict(zone_of), terms
        self.known: dict[str, tuple[int, FrontSummary]] = {}

    def update(self, now: int, summary: FrontSummary) -> bool:
        """Store a summary; return whether it is valid and newer than the stored one."""
        if (
            summary.name not in self.zone_of
            or len(summary.zones) != self.terms.zones
            or len(summary.demand) != len(self.terms.loads)
            or not _plausible(summary)
        ):
            return False
        known = self.known.get(summary.name)
        if known is not None and (known[1].life, known[1].number) >= (summary.life, summary.number):
            return False
        self.known[summary.name] = (now, summary)
        return True

    def update_all(self, now: int, others: Iterable[FrontSummary]) -> None:
        """Store several summaries."""
        for one in others:
            self.update(now, one)

    def fresh(self, now: int, age: int | None = None) -> list[FrontSummary]:
        """Return the summaries of at most that age (ns), ordered by name."""
        limit = age if age is not None else self.terms.silent
        return [self.known[name][1] for name in sorted(self.known) if now - self.known[name][0] <= limit]

    def demand(self, now: int) -> list[list[float]]:
        """Return demand[home][class], kB/s. Old reports do not count: by then the viewers of a silent front, if any,
        ask other fronts.
        """
        found = [[0.0] * len(self.terms.loads) for _ in range(self.terms.zones)]
        for one in self.fresh(now):
            row = found[self.zone_of[one.name]]
            for cls, kb in enumerate(one.demand):
                row[cls] += kb
        return found

    def rooms(self, now: int) -> list[float]:
        """Return the room of each zone's hosts, kB/s: the median of the zone's own fronts, or of all fronts if none of
        its own reports. All fronts list the same hosts, but each judges for itself which are unhealthy.
        """
        found = []
        fresh = knowing_hosts(self.fresh(now))
        for z in range(self.terms.zones):
            own = [(s.zones[z].room, 1) for s in fresh if self.zone_of[s.name] == z]
            found.append(weighted_median(own or [(s.zones[z].room, 1) for s in fresh]))
        return found

    def path_healths(self, now: int) -> list[list[float]]:
        """Return health[home][zone]: the part of recent set-ups from fronts of `home` at hosts of `zone` that
        succeeded; 1 if there were too few.
        """
        sums = [[[0, 0] for _ in range(self.terms.zones)] for _ in range(self.terms.zones)]
        for one in self.fresh(now):
            for z, hosts in enumerate(one.zones):
                sums[self.zone_of[one.name]][z][0] += hosts.setups
                sums[self.zone_of[one.name]][z][1] += hosts.failed_setups
        return [[path_health(tried, broke) for tried, broke in row] for row in sums]

    def oldest_epochs(self, now: int) -> list[int]:
        """Return by zone the oldest epoch that any of its fronts may still follow: 0 if one of them does not report."""
        found = []
        for z in range(self.terms.zones):
            names = [name for name, zone in self.zone_of.items() if zone == z]
            known = [self.known.get(name) for name in names]
            found.append(
                min(
                    (k[1].epoch if k is not None and now - k[0] <= self.terms.silent else 0 for k in known),
                    default=1 << 60,
                )
            )
        return found
