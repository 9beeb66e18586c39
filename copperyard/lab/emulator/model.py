"""One media host: its set-up queue, places, link and rack, warm-up, pauses and reports.

Time is passed in as integer ns and never runs back. Rates are kB (1000 bytes) a second, loads are what is asked
over what is given. `docs/design/emulator.md` names the source of each quantity and what the model leaves out.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field

from ...interface import Settings

SECOND = 1_000_000_000
SAMPLE = 100_000_000  # ns between looks at the true load, from which reports are made


@dataclass(frozen=True, slots=True)
class HostSpec:
    """What a host is made of. `link` kB/s that it truly gives; `cores` set up sessions side by side, each taking
    `service` ns on a warm core (`spread` is the log-normal sigma, 0: always the same); `queue` set-ups may wait;
    `places` streams run at most; `off` is the share by which true rates lie off the ladder; reports are
    `refresh` ns apart, the mean of `smooth` ns."""

    link: float
    places: int
    cores: int = 2
    service: int = 12_000_000
    spread: float = 0.4
    queue: int = 64
    off: float = 0.15
    refresh: int = 300_000_000
    smooth: int = 300_000_000


@dataclass(slots=True)
class RackModel:
    """The uplink that the hosts of a rack share. `weak`: it gives so many times less."""

    uplink: float
    weak: float = 1.0
    hosts: list[HostModel] = field(default_factory=list)

    def load(self) -> float:
        return sum(host.asked() for host in self.hosts) * self.weak / self.uplink


@dataclass(eq=False, slots=True)
class Ticket:
    """One set-up in the queue: it is done at `done`, which a pause moves."""

    done: int


@dataclass(eq=False, slots=True)
class Stream:
    """One session's stream: what it asks of the link while `playing`. `worth_s` gathers the seconds it played,
    each weighed with its rung's worth and what was missing."""

    front: str
    cls: int
    title: int
    rung: int
    playing: bool = False
    seconds: float = 0.0
    worth_s: float = 0.0
    starved_s: float = 0.0
    at: int = 0
    rungs: list[int] = field(default_factory=list)


class HostModel:
    """A host that steps through time as it is told of events."""

    def __init__(self, spec: HostSpec, settings: Settings, rack: RackModel, seed: int) -> None:
        self.spec, self.settings, self.rack = spec, settings, rack
        self.random = random.Random(seed)
        # true rates lie off the ladder, each rung by its own draw
        self.true_kb = tuple(kb * (1 + self.random.uniform(-spec.off, spec.off)) for kb in settings.rung_kb)
        self.streams: dict[Stream, None] = {}
        self.started = 0  # 0: long ago, warm
        self.fallen = False
        self.weak = 1.0  # the link gives so many times less
        self.neighbour = 0.0  # share of the link that another program takes
        self.slow = 1.0  # set-ups take so many times longer
        self.late = 0  # ns by which reports are older than they would be
        self.paused = False
        self._asked = 0.0
        self._shared: dict[tuple[int, int, int], int] = {}
        self._cores = [0] * spec.cores
        self._waiting: dict[Ticket, None] = {}
        self._pause_from = 0
        self._arrivals: deque[int] = deque()
        self._samples: deque[tuple[int, float, float, int]] = deque(maxlen=256)
        rack.hosts.append(self)

    # ---- link and uplink

    @property
    def link(self) -> float:
        return self.spec.link / self.weak

    def asked(self) -> float:
        """kB/s asked of the link, the neighbour's part included."""
        return self._asked + self.neighbour * self.link

    def load(self) -> float:
        return self.asked() / self.link

    def share(self) -> float:
        """The share of its rate that every session here gets (the same for all: brief, 'share streams')."""
        if self.paused or self.fallen:
            return 0.0
        return 1 / max(1.0, self.load(), self.rack.load())

    def _book(self, stream: Stream, sign: int) -> None:
        kind = self.settings.classes[stream.cls]
        kb = self.true_kb[stream.rung] * kind.rate_scale
        if kind.live:
            # viewers of one live title, class and rung share a stream: each further one adds a part
            key = (stream.cls, stream.title, stream.rung)
            n = self._shared.get(key, 0) + (0 if sign > 0 else -1)
            self._shared[key] = n + (1 if sign > 0 else 0)
            kb *= 1.0 if n == 0 else self.settings.join_ratio
            if not self._shared[key]:
                del self._shared[key]
        self._asked = max(0.0, self._asked + sign * kb)

    # ---- set-ups

    def warmth(self, now: int) -> float:
        """How much of its capacity for set-ups is there: from cold_ratio up to 1 in a straight line."""
        if not self.started:
            return 1.0
        s = self.settings
        return min(1.0, s.cold_ratio + (1 - s.cold_ratio) * (now - self.started) / max(1, s.warm_up_time))

    def arrive(self, now: int) -> bool:
        """A set-up arrives. False where it pushes the host, which is cold, over: more than the stated multiple of
        what it can take in the stated time (brief, 'no cold streamer pushed over')."""
        s = self.settings
        self._arrivals.append(now)
        while self._arrivals[0] <= now - s.cold_window:
            self._arrivals.popleft()
        if self.started and now - self.started < s.warm_up_time:
            can = s.cold_budget_multiple * self.spec.places * self.warmth(now) * s.cold_window / s.warm_up_time
            if len(self._arrivals) > can + 1:
                self.fallen = True
                return False
        return True

    def queue_up(self, now: int) -> Ticket | None:
        """A set-up joins the queue; None where that is full."""
        waiting = [t for t in self._waiting if t.done > now]
        if len(waiting) >= self.spec.queue + self.spec.cores:
            return None
        spread = self.spec.spread
        factor = self.random.lognormvariate(-spread * spread / 2, spread) if spread else 1.0
        work = int(self.spec.service * factor * self.slow / self.warmth(now))
        ticket = Ticket(max(now, heapq.heappop(self._cores)) + work)
        heapq.heappush(self._cores, ticket.done)
        self._waiting = dict.fromkeys([*waiting, ticket])
        return ticket

    def has_room(self) -> bool:
        """Whether it takes another session (it turns them away from `full_threshold` of its link on)."""
        s = self.settings
        full = s.full_threshold > 0 and self.load() >= s.full_threshold
        return not full and len(self.streams) < self.spec.places

    # ---- sessions

    def open(self, now: int, front: str, cls: int, title: int, rung: int) -> Stream:
        stream = Stream(front, cls, title, min(max(rung, 0), len(self.true_kb) - 1), at=now)
        self.streams[stream] = None
        return stream

    def play(self, now: int, stream: Stream, on: bool) -> None:
        """Start or stop a stream's media."""
        self.tick(now, stream)
        if stream in self.streams and stream.playing != on:
            stream.playing = on
            stream.rungs.append(stream.rung)
            self._book(stream, 1 if on else -1)

    def step(self, now: int, stream: Stream, rung: int) -> None:
        """Put a stream on another rung."""
        self.tick(now, stream)
        if stream.playing:
            self._book(stream, -1)
        stream.rung = rung
        if stream.playing:
            stream.rungs.append(rung)
            stream.worth_s -= self.settings.switch_cost_s * self.settings.rung_worth[rung]
            self._book(stream, 1)

    def close(self, now: int, stream: Stream) -> None:
        self.play(now, stream, False)
        self.streams.pop(stream, None)

    def tick(self, now: int, stream: Stream) -> None:
        """Book the time since the last look: what is missing under 98 in 100 costs `shortfall_cost` each."""
        if stream.playing and now > stream.at:
            seconds, share = (now - stream.at) / SECOND, self.share()
            lost = min(1.0, self.settings.shortfall_cost * max(0.0, 0.98 - share))
            stream.seconds += seconds
            stream.worth_s += seconds * self.settings.rung_worth[stream.rung] * (1 - lost)
            if share < 0.75:
                stream.starved_s += seconds
        stream.at = now

    # ---- what happens to it

    def pause(self, now: int, on: bool) -> None:
        """Stand still, or go on: nothing is worked at meanwhile, so all that waits is done that much later."""
        if on and not self.paused:
            self.paused, self._pause_from = True, now
        elif not on and self.paused:
            self.paused = False
            length = now - self._pause_from
            self._cores = [max(core, self._pause_from) + length for core in self._cores]
            heapq.heapify(self._cores)
            for ticket in self._waiting:
                if ticket.done > self._pause_from:
                    ticket.done += length

    def restart(self, now: int) -> None:
        """A new process, cold, knowing nothing."""
        self.streams.clear()
        self._shared.clear()
        self._waiting.clear()
        self._arrivals.clear()
        self._samples.clear()
        self._asked = 0.0
        self._cores = [now] * self.spec.cores
        self.started, self.fallen, self.paused = max(1, now), False, False
        self.weak, self.neighbour, self.slow, self.late = 1.0, 0.0, 1.0, 0

    # ---- what it tells

    def sample(self, now: int) -> None:
        """Look at the true load; to be called every SAMPLE ns."""
        self._samples.append((now, self.load(), self.rack.load(), len(self.streams)))

    def report(self, now: int) -> tuple[float, float, float]:
        """(link, uplink, streams) as a report tells them now: refreshed now and then, smoothed, and late."""
        until = (now - self.late) // self.spec.refresh * self.spec.refresh
        seen = [s for s in self._samples if until - self.spec.smooth < s[0] <= until]
        if not seen:
            seen = [s for s in self._samples if s[0] <= until][-1:] or list(self._samples)[:1]
        if not seen:
            return self.load(), self.rack.load(), float(len(self.streams))
        n = len(seen)
        return (math.fsum(s[1] for s in seen) / n, math.fsum(s[2] for s in seen) / n, float(seen[-1][3]))

    def told_share(self, now: int, late: int) -> float:
        """The share that sessions got `late` ns ago, which notes tell."""
        past = [s for s in self._samples if s[0] <= now - late]
        if not past:
            return 1.0
        return 0.0 if self.paused else 1 / max(1.0, past[-1][1], past[-1][2])
