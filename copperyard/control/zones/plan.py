"""The plan for zones, and what it is made of. Types only. Loads are kB a second, as in the module."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SAME_REGION, OTHER_REGION = 1.0, 3.0  # distances of zones where no way is listed
LIVE = 600 * 1_000_000_000  # ns that a live session is taken to last before any has ended


class Standing(IntEnum):
    """What a zone is for newcomers."""

    OPEN = 0
    SHEDDING = 1  # its viewers want more than it has: some go elsewhere, some are refused
    CLOSED = 2  # nothing new for its hosts
    RETURNING = 3  # it gets a part of its room back at a time


@dataclass(frozen=True, slots=True)
class HostsOf:
    """What one front knows of the hosts of one zone: their room, what of it is used, how many there are, how many of
    them it holds for ill, how many set-ups it sent there of late and how many of these broke."""

    room: float
    used: float
    hosts: int
    ill: int
    tried: int
    broke: int


@dataclass(frozen=True, slots=True)
class Summary:
    """What one front reports. `demand`: what its viewers ask for, by class, at the rung that the plan counts with;
    `epoch`: the newest plan that it follows. A newer (life, number) replaces an older one; merging twice, or late,
    changes nothing."""

    name: str
    life: int
    number: int
    epoch: int
    demand: tuple[float, ...]
    zones: tuple[HostsOf, ...]


@dataclass(frozen=True, slots=True)
class Zonal:
    """What a cell knows of one zone. `rooms`: (room in kB a second, how many of its fronts report it), ascending, of
    fronts that know any host (rollup.sketch); `tried`, `broke`: sums over its fronts; of questions that its gateways
    asked of that zone's of late: how many, how many were answered, from how many it heard by itself, how many answers
    came late."""

    rooms: tuple[tuple[float, int], ...]
    tried: int
    broke: int
    asked: int
    reached: int
    heard: int
    late: int


@dataclass(frozen=True, slots=True)
class CellReport:
    """What the delegate `by` says of its cell. `digest`: of the cell's names, by which two rosters are told apart. A
    newer (life, number) of the same `by` replaces an older one.

    `heard`: members with a fresh report; `epoch`: the least that any member may still follow, 0 if one was not heard;
    `age`: ns, when sent, since the oldest report that counts here came in; `suspect`, `dead`, `left`: bits over the
    cell's sorted names; `demand`: kB a second, by class."""

    zone: int
    cell: int
    digest: int
    by: str
    life: int
    number: int
    age: int
    heard: int
    epoch: int
    suspect: int
    dead: int
    left: int
    demand: tuple[float, ...]
    zones: tuple[Zonal, ...]


@dataclass(frozen=True, slots=True)
class Gathered:
    """Reports that one of the council passes on, each with the ns that it lay there."""

    reports: tuple[tuple[CellReport, int], ...]


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """One zone's part: as a home of viewers, and as a place of hosts.

    `shares`: by class, the shares of its viewers' requests that go to which zone; what is missing of 1 is refused.
    `caps`: by zone, the most that sessions of its viewers may ask of that zone's hosts. `owed`: caps of earlier plans
    that some of its fronts may still follow. `room`, `own`, `reserve`: what the hosts here give, of it what the zone's
    own viewers need, and what is left free for the loss of one more zone. `part`: of its room, while it returns."""

    standing: Standing
    room: float
    own: float
    reserve: float
    part: float
    shares: tuple[tuple[tuple[int, float], ...], ...]
    caps: tuple[float, ...]
    owed: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """An epoch: in force once committed, for `holds` ns after it was proposed or renewed."""

    epoch: int
    holds: int
    zones: tuple[ZonePlan, ...]


@dataclass(frozen=True, slots=True)
class Renewed:
    """The plan of this epoch goes on to hold."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings say of planning. `prices[h][z]`: distance, by which nearer zones come first; below 0: no way.
    `reserve`: part of each zone's room that strangers never get. `mark`: part of its room that is planned with.
    `pace`: part of a zone's room by which what strangers may ask there can grow in a second. `band`: a share that
    moves by less is left alone. `every`: ns between plans at least. `steps`: parts of its room that a zone that comes
    back gets one after another, `dwell` ns each; twice as long each time that it was lost again within `memory` ns."""

    prices: tuple[tuple[float, ...], ...]
    worths: tuple[float, ...]
    loads: tuple[float, ...]
    fronts: tuple[int, ...]
    regions: tuple[int, ...] = ()
    reserve: float = 0.1
    mark: float = 0.9
    pace: float = 0.25
    band: float = 0.05
    every: int = 2_000_000_000
    holds: int = 10_000_000_000
    steps: tuple[float, ...] = (0.1, 0.3, 0.6)
    dwell: int = 4_000_000_000
    dwell_most: int = 32_000_000_000
    memory: int = 120_000_000_000
    drift: float = 0.05
    silent: int = 15_000_000_000

    @property
    def zones(self) -> int:
        return len(self.fronts)
