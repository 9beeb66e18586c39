"""Model of one media host: its set-up queue, places, link and rack, warm-up, pauses and load reports.

Time is passed in as integer ns and never decreases. Rates are kB (1000 bytes) per second; a load is demand divided by
capacity. `docs/design/emulator.md` names the source of each quantity and what the model leaves out.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field

from ...interface import Settings

SECOND = 1_000_000_000
SAMPLE_INTERVAL = 100_000_000  # ns between samples of the true load, from which reports are computed


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Capacity of a host.

    `link` is its true capacity in kB/s, `places` the most streams at a time. `cores` set up sessions in parallel, each
    in `service` ns on a warm core (`spread` is the log-normal sigma; 0: constant); up to `queue` set-ups wait. True
    rates differ from the ladder by up to the share `rate_error`. Reports are refreshed each `report_interval` ns and
    averaged over `report_window` ns.
    """

    link: float
    places: int
    cores: int = 2
    service: int = 12_000_000
    spread: float = 0.4
    queue: int = 64
    rate_error: float = 0.15
    report_interval: int = 300_000_000
    report_window: int = 300_000_000


@dataclass(slots=True)
class RackModel:
    """The uplink that the hosts of a rack share, in kB/s; `divisor` reduces its capacity."""

    uplink: float
    divisor: float = 1.0
    hosts: list[HostModel] = field(default_factory=list)

    def load(self) -> float:
        """Return the demand on the uplink divided by its capacity."""
        return sum(host.demand() for host in self.hosts) * self.divisor / self.uplink


@dataclass(eq=False, slots=True)
class QueuedSetup:
    """One set-up in the queue; `done` is the time of its completion, which a pause postpones."""

    done: int


@dataclass(eq=False, slots=True)
class Stream:
    """One session's stream, which takes its rate of the link while `playing`.

    `worth_s` sums the seconds played, each weighted by the rung's worth and reduced for missing media.
    """

    front: str
    cls: int
    title: int
    rung: int
    playing: bool = False
    seconds: float = 0.0
    worth_s: float = 0.0
    starved_s: float = 0.0
    updated_at: int = 0
    rungs: list[int] = field(default_factory=list)


class HostModel:
    """State of a host, advanced by the events that are passed in."""

    def __init__(self, spec: HostSpec, settings: Settings, rack: RackModel, seed: int) -> None:
        self.spec, self.settings, self.rack = spec, settings, rack
        self.random = random.Random(seed)
        # true rates differ from the ladder; each rung's difference is drawn separately
        self.true_kb = tuple(
            kb * (1 + self.random.uniform(-spec.rate_error, spec.rate_error)) for kb in settings.rung_kb
        )
        self.streams: dict[Stream, None] = {}
        self.started = 0  # ns; 0: long ago, hence warm
        self.fallen = False
        self.link_divisor = 1.0  # reduces the link's capacity
        self.neighbour_share = 0.0  # share of the link that another program uses
        self.setup_slowdown = 1.0  # factor on the duration of set-ups
        self.report_delay = 0  # additional age of reports, ns
        self.paused = False
        self._demand = 0.0
        self._live_viewers: dict[tuple[int, int, int], int] = {}
        self._core_free_at = [0] * spec.cores
        self._queue: dict[QueuedSetup, None] = {}
        self._pause_from = 0
        self._arrivals: deque[int] = deque()
        self._samples: deque[tuple[int, float, float, int]] = deque(maxlen=256)
        rack.hosts.append(self)

    # ---- link and uplink

    @property
    def link(self) -> float:
        """The link's current capacity, kB/s."""
        return self.spec.link / self.link_divisor

    def demand(self) -> float:
        """Return the demand on the link in kB/s, including the neighbour's."""
        return self._demand + self.neighbour_share * self.link

    def load(self) -> float:
        """Return the demand on the link divided by its capacity."""
        return self.demand() / self.link

    def share(self) -> float:
        """Return the share of its rate that each session gets; it is the same for all sessions of the host."""
        if self.paused or self.fallen:
            return 0.0
        return 1 / max(1.0, self.load(), self.rack.load())

    def _add_demand(self, stream: Stream, sign: int) -> None:
        kind = self.settings.classes[stream.cls]
        kb = self.true_kb[stream.rung] * kind.rate_scale
        if kind.live:
            # viewers of the same live title, class and rung share a stream: each further one adds only a part
            key = (stream.cls, stream.title, stream.rung)
            n = self._live_viewers.get(key, 0) + (0 if sign > 0 else -1)
            self._live_viewers[key] = n + (1 if sign > 0 else 0)
            kb *= 1.0 if n == 0 else self.settings.join_ratio
            if not self._live_viewers[key]:
                del self._live_viewers[key]
        self._demand = max(0.0, self._demand + sign * kb)

    # ---- set-ups

    def warmth(self, now: int) -> float:
        """Return the available share of the capacity for set-ups: it rises linearly from cold_from to 1."""
        if not self.started:
            return 1.0
        s = self.settings
        return min(1.0, s.cold_ratio + (1 - s.cold_ratio) * (now - self.started) / max(1, s.warm_up_time))

    def arrive(self, now: int) -> bool:
        """Record the arrival of a set-up. Return False if it makes the host fail.

        A cold host fails when the set-ups that arrive within `fall` exceed `fall_multiple` times what it can take in
        that time.
        """
        s = self.settings
        self._arrivals.append(now)
        while self._arrivals[0] <= now - s.cold_window:
            self._arrivals.popleft()
        if self.started and now - self.started < s.warm_up_time:
            capacity = s.cold_budget_multiple * self.spec.places * self.warmth(now) * s.cold_window / s.warm_up_time
            if len(self._arrivals) > capacity + 1:
                self.fallen = True
                return False
        return True

    def enqueue(self, now: int) -> QueuedSetup | None:
        """Add a set-up to the queue; return None if the queue is full."""
        waiting = [t for t in self._queue if t.done > now]
        if len(waiting) >= self.spec.queue + self.spec.cores:
            return None
        spread = self.spec.spread
        factor = self.random.lognormvariate(-spread * spread / 2, spread) if spread else 1.0
        work = int(self.spec.service * factor * self.setup_slowdown / self.warmth(now))
        ticket = QueuedSetup(max(now, heapq.heappop(self._core_free_at)) + work)
        heapq.heappush(self._core_free_at, ticket.done)
        self._queue = dict.fromkeys([*waiting, ticket])
        return ticket

    def has_room(self) -> bool:
        """Whether the host accepts another session: a place is free and the link's load is below `full_threshold`."""
        s = self.settings
        full = s.full_threshold > 0 and self.load() >= s.full_threshold
        return not full and len(self.streams) < self.spec.places

    # ---- sessions

    def open(self, now: int, front: str, cls: int, title: int, rung: int) -> Stream:
        """Add a session's stream, which does not play yet."""
        stream = Stream(front, cls, title, min(max(rung, 0), len(self.true_kb) - 1), updated_at=now)
        self.streams[stream] = None
        return stream

    def play(self, now: int, stream: Stream, on: bool) -> None:
        """Start or stop a stream's media."""
        self.account(now, stream)
        if stream in self.streams and stream.playing != on:
            stream.playing = on
            stream.rungs.append(stream.rung)
            self._add_demand(stream, 1 if on else -1)

    def change_rung(self, now: int, stream: Stream, rung: int) -> None:
        """Move a stream to another rung."""
        self.account(now, stream)
        if stream.playing:
            self._add_demand(stream, -1)
        stream.rung = rung
        if stream.playing:
            stream.rungs.append(rung)
            stream.worth_s -= self.settings.switch_cost_s * self.settings.rung_worth[rung]
            self._add_demand(stream, 1)

    def close(self, now: int, stream: Stream) -> None:
        """Stop and remove a stream; one that is already removed is ignored."""
        self.play(now, stream, False)
        self.streams.pop(stream, None)

    def account(self, now: int, stream: Stream) -> None:
        """Account for the time since the last update; a share below 0.98 costs the gap times `shortfall_cost`."""
        if stream.playing and now > stream.updated_at:
            seconds, share = (now - stream.updated_at) / SECOND, self.share()
            lost = min(1.0, self.settings.shortfall_cost * max(0.0, 0.98 - share))
            stream.seconds += seconds
            stream.worth_s += seconds * self.settings.rung_worth[stream.rung] * (1 - lost)
            if share < 0.75:
                stream.starved_s += seconds
        stream.updated_at = now

    # ---- faults

    def pause(self, now: int, on: bool) -> None:
        """Pause or resume the host. Set-ups that are queued or in progress are delayed by the length of the pause."""
        if on and not self.paused:
            self.paused, self._pause_from = True, now
        elif not on and self.paused:
            self.paused = False
            length = now - self._pause_from
            self._core_free_at = [max(core, self._pause_from) + length for core in self._core_free_at]
            heapq.heapify(self._core_free_at)
            for ticket in self._queue:
                if ticket.done > self._pause_from:
                    ticket.done += length

    def restart(self, now: int) -> None:
        """Start a new process: cold and without any state."""
        self.streams.clear()
        self._live_viewers.clear()
        self._queue.clear()
        self._arrivals.clear()
        self._samples.clear()
        self._demand = 0.0
        self._core_free_at = [now] * self.spec.cores
        self.started, self.fallen, self.paused = max(1, now), False, False
        self.link_divisor, self.neighbour_share, self.setup_slowdown, self.report_delay = 1.0, 0.0, 1.0, 0

    # ---- load reports

    def sample(self, now: int) -> None:
        """Sample the true load; to be called every SAMPLE_INTERVAL."""
        self._samples.append((now, self.load(), self.rack.load(), len(self.streams)))

    def report(self, now: int) -> tuple[float, float, float]:
        """Return (link load, uplink load, streams) as reported now: refreshed at intervals, averaged and delayed."""
        until = (now - self.report_delay) // self.spec.report_interval * self.spec.report_interval
        seen = [s for s in self._samples if until - self.spec.report_window < s[0] <= until]
        if not seen:
            seen = [s for s in self._samples if s[0] <= until][-1:] or list(self._samples)[:1]
        if not seen:
            return self.load(), self.rack.load(), float(len(self.streams))
        n = len(seen)
        return (math.fsum(s[1] for s in seen) / n, math.fsum(s[2] for s in seen) / n, float(seen[-1][3]))

    def reported_share(self, now: int, delay: int) -> float:
        """Return the share that sessions got `delay` ns ago, which is what notes report."""
        past = [s for s in self._samples if s[0] <= now - delay]
        if not past:
            return 1.0
        return 0.0 if self.paused else 1 / max(1.0, past[-1][1], past[-1][2])
