"""Types of the zone plan and of the reports that it is made from. Loads and rooms are kB/s."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SAME_REGION, OTHER_REGION = 1.0, 3.0  # default distances of two zones
LIVE_SESSION_NS = 600 * 1_000_000_000  # ns that a live session is assumed to last until one has ended


class ZoneStatus(IntEnum):
    """What a zone offers to new sessions."""

    OPEN = 0
    SHEDDING = 1  # its viewers ask for more than it has: some go to other zones, some are refused
    CLOSED = 2  # its hosts take no new sessions
    RETURNING = 3  # its room is given back in steps


@dataclass(frozen=True, slots=True)
class ZoneHosts:
    """What one front knows about the hosts of one zone: their room, the room in use, the number of hosts, how many of
    them it considers unhealthy, the recent set-ups sent there and how many of those failed.
    """

    room: float
    used: float
    hosts: int
    unhealthy: int
    setups: int
    failed_setups: int


@dataclass(frozen=True, slots=True)
class FrontSummary:
    """Report of one front. `demand`: load that its viewers ask for, by class, at the rung that the plan assumes;
    `epoch`: the newest plan that it follows. A newer (life, number) replaces an older one, so duplicate or late
    reports change nothing.
    """

    name: str
    life: int
    number: int
    epoch: int
    demand: tuple[float, ...]
    zones: tuple[ZoneHosts, ...]


@dataclass(frozen=True, slots=True)
class ZoneAggregate:
    """What a cell knows about one zone.

    `rooms`: (room, number of fronts that report it), ascending, of the fronts that know any host (rollup.sketch);
    `setups`, `failed_setups`: sums over its fronts; `probed`, `answered`, `heard`, `late`: gateways of that zone
    that the cell's gateways recently probed, that answered, that sent a probe themselves, and that answered late.
    """

    rooms: tuple[tuple[float, int], ...]
    setups: int
    failed_setups: int
    probed: int
    answered: int
    heard: int
    late: int


@dataclass(frozen=True, slots=True)
class CellReport:
    """Report of the delegate `by` on its cell. `digest` of the cell's names tells rosters apart. A newer (life, number)
    of the same `by` replaces an older one.

    `heard`: members with a fresh report; `epoch`: the oldest that any member may still follow, 0 if a member was not
    heard; `age`: ns, at sending, since the oldest report counted here arrived; `suspect`, `dead`, `left`: bit masks
    over the cell's sorted names; `demand`: kB/s by class.
    """

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
    zones: tuple[ZoneAggregate, ...]


@dataclass(frozen=True, slots=True)
class CellReportBatch:
    """Cell reports that a voter forwards to the leader, each with the ns that the voter held it."""

    reports: tuple[tuple[CellReport, int], ...]


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """One zone in the plan, as the home of viewers and as a location of hosts.

    `shares`: by class, the share of its viewers' requests that each zone gets; the remainder to 1 is refused.
    `caps`: by zone, the greatest load of its viewers' sessions on that zone's hosts. `outstanding`: caps of earlier
    plans that some of its fronts may still follow. `room`, `own`, `reserve`: the room of its hosts, the part that
    its own viewers need, and the part kept free for the loss of another zone. `part`: the usable part of its room
    while it returns, from 0 to 1.
    """

    status: ZoneStatus
    room: float
    own: float
    reserve: float
    usable_ratio: float
    shares: tuple[tuple[tuple[int, float], ...], ...]
    caps: tuple[float, ...]
    outstanding: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one epoch: in force once committed, for `holds` ns after it was proposed or renewed."""

    epoch: int
    holds: int
    zones: tuple[ZonePlan, ...]


@dataclass(frozen=True, slots=True)
class Renewed:
    """Log entry that extends the validity of the plan of this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Terms:
    """Settings of the planner.

    `prices[home][zone]`: distance, nearer zones are used first; below 0: no path. `reserve`: part of each zone's room
    that other zones never get. `mark`: part of its room that the plan uses. `pace`: part of a zone's room by which
    the caps of other zones there may grow in a second. `band`: a share that changes by less is left as it is. `every`:
    least ns between plans. `holds`: ns that a plan is valid. `steps`: parts of its room that a returning zone gets
    one after another, for `dwell` ns each, at most `dwell_most`; the time doubles each time that the zone was lost
    again within `memory` ns. `drift`: greatest relative error of a clock. `silent`: ns after which a report is too
    old.
    """

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
        """The number of zones."""
        return len(self.fronts)
