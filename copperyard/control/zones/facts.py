"""What the gateways report, gathered by whoever plans; and how one front measures what it reports."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from ...decide import BAD, Controller
from ..plays import Watcher
from .plan import HostsOf, Summary, Terms

SECOND = 1_000_000_000
SPAN = 10 * SECOND  # ns over which a front counts what it is asked for
AHEAD = 5 * SECOND  # ns of arrivals that are counted on beside what plays: longer than a plan takes to come
LENGTH_WEIGH = 0.1  # least weight of the newest session in the mean length
MOST_WISHES = 100_000
WAY_TRIES = 6  # set-ups before what became of them says anything of a way between zones
MOST_COUNT = 1 << 60  # what no life, number or epoch comes to; ns as well: 36 years
MOST_TRIES = 1 << 40  # set-ups, hosts or questions that nobody counts to; sums over a site still fit into a frame
MOST_LOAD = 1e15  # kB a second that nothing asks or gives


class Gauge:
    """One front's measures. `lengths`: ns that a session of each class is taken to last before any has ended."""

    def __init__(self, name: str, life: int, zones: int, lengths: tuple[int, ...], terms: Terms, now: int) -> None:
        self.name, self.life, self.terms = name, life, terms
        self.lengths = [float(ns) for ns in lengths]
        self._lasted = [1] * len(lengths)
        self.began = now
        self._wishes: deque[tuple[int, int]] = deque(maxlen=MOST_WISHES)
        self._tries: deque[tuple[int, int, bool]] = deque(maxlen=MOST_WISHES)
        self._zones = zones
        self._number = 0

    def wished(self, now: int, cls: int) -> None:
        """A viewer asked for a session."""
        self._wishes.append((now, cls))

    def lasted(self, cls: int, ns: int) -> None:
        """A session that played is over."""
        self._lasted[cls] += 1
        self.lengths[cls] += max(LENGTH_WEIGH, 1 / self._lasted[cls]) * (ns - self.lengths[cls])

    def tried(self, now: int, zone: int, broke: bool) -> None:
        """A set-up at a host of that zone came to its end, or stands."""
        self._tries.append((now, zone, broke))

    def demand(self, now: int, playing: Sequence[float]) -> tuple[float, ...]:
        """kB a second, by class, that has to be planned for. `playing` is what sessions that stand ask at the rung that
        the plan counts with; to it come the arrivals of some seconds. It is never more than what wishes at their
        present rate would come to in the end (rate times length times load, Little's law): a few arrivals more than
        usual say much less of what is needed than what plays already."""
        while self._wishes and self._wishes[0][0] <= now - SPAN:
            self._wishes.popleft()
        counts = [0] * len(self.lengths)
        for _, cls in self._wishes:
            counts[cls] += 1
        span = max(SECOND, min(SPAN, now - self.began)) / SECOND
        found = []
        for n, ns, kb, kept in zip(counts, self.lengths, self.terms.loads, playing, strict=True):
            coming = n / span * kb
            found.append(max(kept, min(coming * ns / SECOND, kept + coming * AHEAD / SECOND)))
        return tuple(found)

    def playing(self, controller: Controller) -> list[float]:
        """What this front's sessions would ask at the plan's rung, by class; those that wait count as well."""
        found = [0.0] * len(self.lengths)
        for session in controller.sessions.values():
            found[session.r.cls] += self.terms.loads[session.r.cls]
        return found

    def summary(self, now: int, controller: Controller, epoch: int) -> Summary:
        """The report of now. Reads the module's view of hosts and changes nothing in it."""
        while self._tries and self._tries[0][0] <= now - SPAN:
            self._tries.popleft()
        tried, broke = [0] * self._zones, [0] * self._zones
        for _, zone, bad in self._tries:
            tried[zone] += 1
            broke[zone] += bad
        rooms, used = [0.0] * self._zones, [0.0] * self._zones
        hosts, ill = [0] * self._zones, [0] * self._zones
        for server in controller.servers.values():
            zone = server.entry.zone
            if server.gone or not 0 <= zone < self._zones:
                continue
            hosts[zone] += 1
            if server.bad > BAD:
                ill[zone] += 1
            else:
                rooms[zone] += server.link.cap
                used[zone] += server.link.cap * min(1.0, server.link.load(now))
        self._number += 1
        return Summary(
            self.name,
            self.life,
            self._number,
            epoch,
            self.demand(now, self.playing(controller)),
            tuple(HostsOf(*one) for one in zip(rooms, used, hosts, ill, tried, broke, strict=True)),
        )


class FrontGauge(Watcher):
    """Measures one front through its core: hosts are told by their zones."""

    def __init__(self, gauge: Gauge, controller: Callable[[], Controller]) -> None:
        self.gauge, self.controller = gauge, controller

    def wished(self, now: int, cls: int) -> None:
        self.gauge.wished(now, cls)

    def lasted(self, cls: int, ns: int) -> None:
        self.gauge.lasted(cls, ns)

    def tried(self, now: int, server: int, broke: bool) -> None:
        known = self.controller().servers.get(server)
        if known is not None and 0 <= known.entry.zone < len(self.gauge.terms.fronts):
            self.gauge.tried(now, known.entry.zone, broke)


def median(points: Iterable[tuple[float, int]]) -> float:
    """The value in the middle, the upper of two, where each counts as often as it says; 0 for none."""
    ordered = sorted(points)
    left = sum(weight for _, weight in ordered) // 2
    for value, weight in ordered:
        left -= weight
        if left < 0:
            return value
    return 0.0


def worth(tried: int, broke: int) -> float:
    """What part of set-ups on a way did not break; 1 where there were too few to say."""
    return 1.0 - broke / tried if tried >= WAY_TRIES else 1.0


def told(summaries: Iterable[Summary]) -> list[Summary]:
    """Those that say anything of rooms: a front that knows no host at all has not heard a list yet."""
    return [s for s in summaries if any(hosts.hosts for hosts in s.zones)]


def _possible(summary: Summary) -> bool:
    """Whether the figures are such as a front can have: others would spoil the sums of a whole cell."""
    return (
        0 <= summary.life < MOST_COUNT
        and 0 <= summary.number < MOST_COUNT
        and 0 <= summary.epoch < MOST_COUNT
        and all(0 <= kb <= MOST_LOAD for kb in summary.demand)
        and all(0 <= z.room <= MOST_LOAD and 0 <= z.broke <= z.tried < MOST_TRIES for z in summary.zones)
    )


class Facts:
    """Summaries by gateway, the newest of each. `zone_of` names all gateways of the settings."""

    def __init__(self, zone_of: Mapping[str, int], terms: Terms) -> None:
        self.zone_of, self.terms = dict(zone_of), terms
        self.known: dict[str, tuple[int, Summary]] = {}

    def learn(self, now: int, summary: Summary) -> bool:
        """Take a report; whether it was news."""
        if (
            summary.name not in self.zone_of
            or len(summary.zones) != self.terms.zones
            or len(summary.demand) != len(self.terms.loads)
            or not _possible(summary)
        ):
            return False
        known = self.known.get(summary.name)
        if known is not None and (known[1].life, known[1].number) >= (summary.life, summary.number):
            return False
        self.known[summary.name] = (now, summary)
        return True

    def merge(self, now: int, others: Iterable[Summary]) -> None:
        for one in others:
            self.learn(now, one)

    def fresh(self, now: int, age: int | None = None) -> list[Summary]:
        """Reports of at most that age, in the order of names."""
        most = age if age is not None else self.terms.silent
        return [self.known[name][1] for name in sorted(self.known) if now - self.known[name][0] <= most]

    def demand(self, now: int) -> list[list[float]]:
        """demand[h][c]. A front that fell silent counts no more once its report is old: its viewers, where they live,
        are asking others by then."""
        found = [[0.0] * len(self.terms.loads) for _ in range(self.terms.zones)]
        for one in self.fresh(now):
            row = found[self.zone_of[one.name]]
            for cls, kb in enumerate(one.demand):
                row[cls] += kb
        return found

    def rooms(self, now: int) -> list[float]:
        """What each zone's hosts give, as the median of the fronts that reach them best: its own where it has any that
        report, all others' else. Each front lists the same hosts; which of them are ill each sees for itself."""
        found = []
        fresh = told(self.fresh(now))
        for z in range(self.terms.zones):
            own = [(s.zones[z].room, 1) for s in fresh if self.zone_of[s.name] == z]
            found.append(median(own or [(s.zones[z].room, 1) for s in fresh]))
        return found

    def ways(self, now: int) -> list[list[float]]:
        """ways[h][z]: of the set-ups that fronts of h sent to hosts of z of late, the part that did not break; 1 where
        there were too few to say."""
        sums = [[[0, 0] for _ in range(self.terms.zones)] for _ in range(self.terms.zones)]
        for one in self.fresh(now):
            for z, hosts in enumerate(one.zones):
                sums[self.zone_of[one.name]][z][0] += hosts.tried
                sums[self.zone_of[one.name]][z][1] += hosts.broke
        return [[worth(tried, broke) for tried, broke in row] for row in sums]

    def epochs(self, now: int) -> list[int]:
        """The oldest epoch that any front of each zone may still follow: 0 where one of them does not report."""
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
