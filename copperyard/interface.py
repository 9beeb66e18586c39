"""The types that the decision module takes and returns: settings, events, actions, outcomes.

Types only: the decisions are in decide.py, the byte layouts of the simulator's wire in bench/wire.py. Times are
integer nanoseconds on the front's own clock, rates are in kB a second, and loads are fractions of the capacity of a
link or uplink (1.0 is all of it).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """What it does to run a set-up of a class twice. Only SAFE ones are repeated after one that may have run."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class OutcomeCode(IntEnum):
    """How an attempt ended. Only FULL, CONNECT_FAILED and MOOT (dropped before it ran) prove that it never ran."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


class NoticeKind(IntEnum):
    """What a notice on a playing session reports: its delivered share, its rung, or the load of link or uplink."""

    SHARE = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


class ListKind(IntEnum):
    """How a server list event relates to the known list."""

    FAILED = 0
    FULL = 2
    DELTA = 3
    CACHED = 4


class ServerState(IntEnum):
    """State of a server in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of sessions.

    `answer_target`: ns within which its answers should come; `rate_scale`: factor on the rungs' rates; `seats`: most sessions of one
    title, 0 for no limit; `live`: viewers of a title share a stream.
    """

    name: str
    answer_target: int
    deadline: int
    worth: float
    effect: Effect
    floor: int
    top: int
    rate_scale: float
    seats: int
    live: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """What a front is given at its start. Optional rules are None where the deployment has none.

    `rank_and_offset` is this front's rank among `fronts` and the offset (ns) that, added to its clock, gives a clock
    that all fronts share to within the connect timeout; None where there is none. Whoever sets it must also ask a
    server for its uptime before a set-up, unless it has just heard from it.
    """

    fronts: int
    zone: int
    tick: int
    classes: tuple[ClassSettings, ...]
    rung_kb: tuple[float, ...]
    rung_worth: tuple[float, ...]
    cells: int
    racks: int
    uplink_kb: float
    kb_per_weight: float
    places_by_kind: tuple[int, ...]
    full_threshold: float
    join_ratio: float
    notice_delay: int
    notice_interval: int
    shortfall_cost: float
    switch_cost_s: float
    max_attempts: int
    max_retry_after: int
    retry_after: bool
    probes: bool
    cancelling: bool
    connect_timeout: int
    subscribe: bool
    list_poll_interval: int
    cold_ratio: float
    warm_up_time: int
    drain_grace: int
    cold_budget_multiple: float
    cold_window: int
    free_retries: float | None
    retry_ratio: float
    retry_window: int
    price_cross_zone: float
    price_late_fail: float
    price_move: float
    price_probe: float
    reports_in_answers: bool
    reports_uplink: bool
    rank_and_offset: tuple[int, int] | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """A server's load report. A figure that is missing or not a number is None."""

    link: float | None = None
    uplink: float | None = None
    streams: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the server list. `started` is 0 if the server started long ago."""

    server: int
    weight: float
    kind: int
    cell: int
    zone: int
    state: int
    started: int


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list, or changes to it."""

    kind: int
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A viewer requests a session. `top` is the highest rung it can use, `hint` the expected length (ns) or None."""

    ref: int
    cls: int
    top: int
    deadline: int
    title: int
    home: int
    holders: int
    hint: int | None = None
    moved: bool = False
    again: bool = False


@dataclass(frozen=True, slots=True)
class CarriedSession:
    """At the start only: a session that already plays at `server`, as attempt 0."""

    request: Request
    server: int


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A set-up succeeded and its session plays. `elapsed`: ns."""

    ref: int
    attempt: int
    server: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class SessionNotice:
    """A notice on a playing session from its server."""

    ref: int
    attempt: int
    server: int
    kind: int
    value: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt; each attempt has exactly one. `answered`: the request needs no further answer."""

    ref: int
    attempt: int
    server: int
    code: int
    elapsed: int
    answered: bool
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    """The viewer left, or its answer is overdue: the request needs no answer any more."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The end of one probe."""

    server: int
    code: int
    elapsed: int
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class ZoneAllocation:
    """What zones agreed on for this front. `shares`: by class, (zone, share of its requests); the part missing to 1
    is refused at once. `caps`: by zone, the kB a second that its sessions may ask of servers there, None: no limit.
    """

    shares: tuple[tuple[tuple[int, float], ...], ...]
    caps: tuple[float | None, ...]


Event = (
    ServerList
    | Request
    | CarriedSession
    | SessionOpened
    | SessionNotice
    | Outcome
    | ViewerLeft
    | TimerDue
    | ProbeResult
    | ZoneAllocation
)


@dataclass(frozen=True, slots=True)
class Send:
    """Set the session up at a server; the attempt times out at `deadline`."""

    ref: int
    server: int
    deadline: int


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the rung of a session, before it is sent or while it plays."""

    ref: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the viewer may safely retry, after `retry_after` ns at best (0: no advice)."""

    ref: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the set-up may or may not have run."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a playing session so that the viewer requests it again from this front."""

    ref: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a timer event with this token at or after `at`."""

    at: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the server list."""

    on: bool


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operators."""

    text: str


Action = Send | SetRung | Refuse | Fail | Cancel | Move | Probe | SetTimer | Subscribe | Log
