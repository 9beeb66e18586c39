"""All decisions of a front. The types of its events and actions are in copperyard/interface.py.

Based on the multiple bitrate schedule of the Tiger video server paper (sections 3.2, 4.1.3, 4.2): a front admits
a session only if the rung's rate fits under a mark on its own estimate of the host's link and the rack's uplink,
and otherwise holds it and retries. docs/design.md lists what was kept, changed and added. The module reads no
clock, and it never iterates over a set, so the same events give the same actions.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import islice
from typing import Any

from .interface import (
    Action,
    CarriedSession,
    ClassSettings,
    OutcomeCode,
    Effect,
    Event,
    Fail,
    ViewerLeft,
    ListKind,
    Log,
    SessionNotice,
    NoticeKind,
    SessionOpened,
    Outcome,
    Probe,
    ProbeResult,
    SetRung,
    Refuse,
    Report,
    Request,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
    Subscribe,
    ZoneAllocation,
)

MS = 1_000_000
SECOND = 1_000_000_000

# Admission marks, as fractions of the capacity of a link or uplink.
ADMISSION_MARK = 0.95  # most that set-ups may fill; the paper's 90% left room idle
MARK_SPREAD = 0.3  # most that the mark falls for a rung whose last step adds no worth, while newcomers wait
CALM_SPREAD_RATIO = 0.25  # part of MARK_SPREAD that stays once nobody has waited for long: it is kept for newcomers
OVERLOAD_THRESHOLD = 0.98  # load from which playing sessions are lowered: with less than this delivered, worth is lost
OVERLOAD_TARGET = 0.97  # load that they are lowered to; 0.9 gave up more worth than occasional shortfalls cost
RAISE_SPREAD_RATIO = 0.85  # part of MARK_SPREAD left free when playing sessions are raised; kept for newcomers

# Rung changes and retries of held sessions.
STEP_INTERVAL = 2 * SECOND  # least time between two steps of a session; the paper's 5 s suits longer sessions
HOLD_RETRY_INTERVAL = 250 * MS  # held sessions are retried this often, and whenever a session ends
# Held sessions retried when a session ends, to bound the cost of an event. Also caps the probe credit.
MAX_HELD_SCAN = 16
MAX_DRAWS = 8  # holders considered for one request, so that its cost does not grow with the fleet

# Evidence of load: reports, notices and probe results.
# Age at which evidence of the other fronts' load has half the weight; the mean over all servers has the rest.
EVIDENCE_HALF_LIFE = 7 * SECOND
MEAN_HALF_LIFE = 6 * SECOND  # half-life of a sample within the mean over all servers
FRESH_PERIOD = 3 * SECOND  # evidence up to this age is fresh; where notices are rarer, up to their interval and delay
REPORT_DELAY = 400 * MS  # assumed age of the figures in a report, which the settings do not give

# Attempts.
MIN_SWITCH_GAIN = 2.0  # raising a rung must earn this many times its price in the time left
ATTEMPT_TIMEOUT_FACTOR = 5.0  # time limit of an attempt, as a multiple of the average set-up time
MIN_ATTEMPT_TIMEOUT = 250 * MS  # least time limit, which a cold or busy server needs
# Time that an attempt needs before the deadline, as a multiple of the average set-up time; only the first one, which
# has not waited, is made with less, so that the average follows set-ups that become shorter.
NEEDED_TIME_FACTOR = 1.5
MAX_ATTEMPT_TIME_RATIO = 0.6  # largest part of the remaining time that one attempt may use, so that another still fits

# Server health.
UNHEALTHY_THRESHOLD = 0.2  # recent failure rate above which a server gets single trials only
FAILURE_WEIGHT = 0.3  # weight of the newest attempt in the failure rate
# Weight of a set-up that timed out or was reset: a single one may be a lost answer rather than a lost server.
UNCLEAR_FAILURE_WEIGHT = 0.18
# Titles remembered as having played. An error on any other title may be the fault of the request.
MAX_PLAYED_TITLES = 4096
TRIAL_INTERVAL = 4 * SECOND  # wait before a trial of an unhealthy server, times its failure rate: 1 s after the first

UNKNOWN_LOAD = 0.8  # load assumed before the first evidence: an empty ledger does not mean an empty link
COLD_BUDGET_RATIO = 0.5  # part of the cold budget that fronts use: chance and uneven traffic need the rest

# Probes.
MAX_PROBES_PER_REQUEST = 2.0  # most probes that a request earns
# The gain grows with about the root of the number of probes, so the best number is (PROBE_SPEND / price) squared.
PROBE_SPEND = 0.03
ANSWER_TIME_RATIO = 0.1  # part of the connect timeout allowed for an answer on its way to the viewer
PROBE_EVIDENCE_PERIOD = SECOND  # evidence older than this is renewed by a probe before a choice, where that pays

SILENT_THRESHOLD = 0.2  # a delivered share below this means a stopped server rather than a full link
MAX_LOAD = 4.0  # upper bound on the load that a report or notice may claim
RAISED_CAP_RATIO = 0.5  # part of an agreed cap open to rungs above the floor; the rest is kept for newcomers
MIN_CROSSING_GAIN = 2.0  # worth that a crossing between zones must gain, as a multiple of its price
SETUP_TIME_WEIGHT = 0.1  # weight of the newest set-up in the average set-up time
NOT_RUN_CODES = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.MOOT)  # outcomes that prove that nothing ran
FAILURE_CODES = (
    OutcomeCode.TIMEOUT,
    OutcomeCode.CONNECT_FAILED,
    OutcomeCode.RESET,
)  # outcomes that count against a server's health
NEVER = -(1 << 62)  # earlier than any time


class SessionState(IntEnum):
    """Life cycle of a session. PENDING: the outcome of an attempt, or of a session whose viewer left, is awaited."""

    HELD = 0
    PENDING = 1
    PLAYING = 2


@dataclass(slots=True)
class FleetMean:
    """Mean load that the other fronts put on a link (or uplink), over recent evidence on all servers."""

    value: float
    weight: float = 1.0
    updated_at: int = 0

    def samples(self, now: int) -> float:
        """The number of fresh samples that the mean is worth."""
        return self.weight * 0.5 ** ((now - self.updated_at) / MEAN_HALF_LIFE) if self.updated_at else 0.0

    def add(self, now: int, value: float) -> None:
        """Add a sample; the weight of the earlier ones has decayed by their age."""
        self.weight = self.weight * 0.5 ** ((now - self.updated_at) / MEAN_HALF_LIFE) + 1
        self.value += (value - self.value) / self.weight
        self.updated_at = now


@dataclass(slots=True)
class LinkLedger:
    """Ledger of one link or uplink: the rates of this front's sessions, and the load of the other fronts by the
    latest evidence. As that evidence ages, the mean over all servers replaces it: a front with a hundredth of the
    traffic rarely hears of a given server, and its few sessions do not tell how many the others have there.
    """

    capacity_kb: float
    mean: FleetMean
    own_kb: float = 0.0
    others_load: float = 0.0
    others_at: int = NEVER
    own_history: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=16))

    def add(self, now: int, kb: float) -> None:
        """Add a rate of this front's own sessions, in kB a second; a negative one takes it away."""
        self.own_kb = max(0.0, self.own_kb + kb)
        self.own_history.append((now, self.own_kb))

    def observe(self, now: int, value: float, at: int, in_mean: bool = True) -> None:
        """Take the total load at the time `at`; evidence older than the latest is dropped. `in_mean` is false for
        evidence that only full links give, which would bias the mean.
        """
        if at < self.others_at or not value >= 0:
            return
        own = self.own_history[0][1] if self.own_history else self.own_kb
        while self.own_history and self.own_history[0][0] <= at:
            own = self.own_history.popleft()[1]
        self.own_history.appendleft((at, own))
        self.others_load, self.others_at = max(0.0, min(value, MAX_LOAD) - own / self.capacity_kb), at
        if in_mean:
            self.mean.add(now, self.others_load)

    def load(self, now: int) -> float:
        """The estimated load, as a fraction of the capacity."""
        keep = 0.5 ** ((now - self.others_at) / EVIDENCE_HALF_LIFE) if self.others_at > NEVER else 0.0
        return self.mean.value + (self.others_load - self.mean.value) * keep + self.own_kb / self.capacity_kb


@dataclass(slots=True)
class Session:
    """A request and its state. `deadline` is the last time at which it can be answered."""

    request: Request
    session_class: ClassSettings
    top: int
    arrived_at: int
    deadline: int
    rung: int
    server: Server | None = None
    state: SessionState = SessionState.HELD
    attempts: int = 0
    ends_at: int = 0
    stepped_at: int = NEVER
    lowered_at: int = NEVER
    attempt_deadline: int = 0
    left: bool = False
    probed_pair: tuple[Server, ...] = ()
    failed_server: Server | None = None
    drawn_zone: int = -1


@dataclass(slots=True)
class Server:
    """Ledger and health of one server. A bucket holds this front's sessions there of one class and rung, and for
    live classes also of one title, as these share a stream.
    """

    entry: ServerEntry
    places: int
    link: LinkLedger
    rack: LinkLedger
    streams: int = 0
    buckets: dict[tuple[int, int, int], dict[int, Session]] = field(default_factory=dict)
    stepped_at: int = NEVER
    probed_at: int = NEVER
    probe_pending: bool = False
    next_cold_at: int = NEVER
    slot: tuple[int, int] = (NEVER, 0)
    slot_is_own: bool = False
    slot_turns: int = 0
    failed_at: int = NEVER
    next_trial_at: int = NEVER
    failure_rate: float = 0.0
    gone: bool = False

    def load(self, now: int) -> float:
        """The estimated load of the link or the uplink, whichever is higher."""
        return max(self.link.load(now), self.rack.load(now))

    def room(self, now: int, mark: float) -> float:
        """The kB a second that are free under the mark, on both link and uplink."""
        return min(m.capacity_kb * (mark - m.load(now)) for m in (self.link, self.rack))


class Controller:
    """The decisions of one front. handle() takes an event and returns the actions to perform, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.servers: dict[int, Server] = {}
        self.cells: dict[int, list[Server]] = {}
        self.racks: dict[int, LinkLedger] = {}
        initial_load = UNKNOWN_LOAD if settings.fronts > 1 else 0.0
        self.link_mean, self.uplink_mean = FleetMean(initial_load), FleetMean(initial_load)
        self.sessions: dict[int, Session] = {}
        self.held: dict[int, Session] = {}
        self.seats: dict[tuple[int, int], dict[int, Session]] = {}
        self.request_times: deque[int] = deque()
        self.retry_times: deque[int] = deque()
        self.started_at = -1
        self.has_carried = False
        self.retry_timer_set = False
        self.setup_time = 100.0 * MS
        self.best_worth_per_kb = max(
            settings.rung_worth[k.floor] / settings.rung_kb[k.floor] * k.worth / k.rate_scale for k in settings.classes
        )
        price = settings.price_probe
        self.probes_per_request = (
            min(MAX_PROBES_PER_REQUEST, (PROBE_SPEND / price) ** 2) if price > 0 else MAX_PROBES_PER_REQUEST
        )
        self.probe_credit = MAX_PROBES_PER_REQUEST  # a front without evidence can probe its first pair
        self.no_room_at = NEVER
        self.played_titles: dict[int, None] = {}
        self.allocation: ZoneAllocation | None = None
        self.kb_by_zone: dict[int, float] = {}
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[int, Any], None]] = {
            Request: self._on_request,
            Outcome: self._on_outcome,
            SessionNotice: self._on_notice,
            SessionOpened: self._on_opened,
            TimerDue: self._on_timer,
            ServerList: self._on_server_list,
            ProbeResult: self._on_probe_result,
            ViewerLeft: self._on_left,
            CarriedSession: self._on_carried,
            ZoneAllocation: self._on_allocation,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Decide on one event. Its only effect is on the state of this object."""
        self.actions = []
        if self.started_at < 0:
            self.started_at = now
            if self.settings.subscribe:
                self.actions.append(Subscribe(True))
        self.handlers[type(event)](now, event)
        return self.actions

    # ---- server list

    def _on_server_list(self, now: int, event: ServerList) -> None:
        if event.kind == ListKind.FAILED and self.settings.subscribe:
            self.actions.append(SetTimer(now + SECOND, 1))
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            for server in [x for x in self.servers.values() if x.entry.server not in listed]:
                self._unlist(server)
        for entry in event.entries if event.kind in (ListKind.FULL, ListKind.DELTA, ListKind.CACHED) else ():
            self._update_entry(now, entry)

    def _update_entry(self, now: int, entry: ServerEntry) -> None:
        s = self.settings
        server = self.servers.get(entry.server)
        rack = self.racks.setdefault(entry.cell % s.racks, LinkLedger(s.uplink_kb or 1e12, self.uplink_mean))
        link_kb = (entry.weight if 0 < entry.weight < 1e6 else 1.0) * s.kb_per_weight
        if server is None:
            server = Server(entry, 0, LinkLedger(link_kb, self.link_mean), rack)
        elif entry.started and entry.started != server.entry.started:
            # restarted: the evidence on its link and health is from before the restart
            server.link.observe(now, 0.0, now, False)
            server.failure_rate, server.next_trial_at = 0.0, NEVER
        self._unlist(server)
        if rack is not server.rack:
            server.rack.add(now, -server.link.own_kb)
            rack.add(now, server.link.own_kb)
        server.places = s.places_by_kind[entry.kind] if entry.kind < len(s.places_by_kind) else min(s.places_by_kind)
        server.entry, server.rack, server.link.capacity_kb = entry, rack, link_kb
        if entry.state != ServerState.GONE:
            self.servers[entry.server] = server
        if entry.state == ServerState.READY:
            server.gone = False
            self.cells.setdefault(entry.cell % s.cells, []).append(server)

    def _unlist(self, server: Server) -> None:
        """Take a server that drains or is gone out of the choice; its sessions refer to it until they end."""
        if not server.gone and server.places:
            self.cells[server.entry.cell % self.settings.cells].remove(server)
        server.gone = True
        self.servers.pop(server.entry.server, None)

    # ---- requests

    def _new_session(self, now: int, request: Request) -> Session:
        session_class = self.settings.classes[request.cls]
        top = min(request.top, session_class.top, len(self.settings.rung_kb) - 1)
        # a refusal, too, must reach the viewer in time
        answer_time = max(self.settings.tick, int(ANSWER_TIME_RATIO * self.settings.connect_timeout))
        deadline = min(request.deadline, now + session_class.deadline) - answer_time
        return self.sessions.setdefault(
            request.ref, Session(request, session_class, top, now, deadline, session_class.floor)
        )

    def _on_request(self, now: int, request: Request) -> None:
        if request.ref in self.sessions or request.cls >= len(self.settings.classes):
            return
        self.request_times.append(now)
        while self.request_times[0] <= now - max(self.settings.retry_window, self.settings.cold_window):
            self.request_times.popleft()
        self.probe_credit = min(self.probe_credit + self.probes_per_request, MAX_HELD_SCAN)
        session = self._new_session(now, request)
        if session.top < session.session_class.floor:
            self._refuse(session)  # no rung is both allowed and usable, so waiting cannot help
        elif self._draw_zone(session) and not self._place(now, session):
            self._hold(now, session)
        if self.sessions and not self.settings.reports_in_answers and self.probe_credit > MAX_PROBES_PER_REQUEST:
            # spare probe credit renews the evidence on the servers of this front's sessions, in rotation
            oldest = self.sessions.pop(next(iter(self.sessions)))
            self.sessions[oldest.request.ref] = oldest
            if oldest.server is not None:
                self._probe_if_stale(now, oldest.server)

    # ---- shares and caps agreed between zones

    def _on_allocation(self, now: int, event: ZoneAllocation) -> None:
        """Apply the allocation to later sessions. Where a cap shrank below what plays in a zone, sessions there are
        lowered, to their floor at most, and go on playing.
        """
        self.allocation = event
        for server in self.servers.values():
            over = -self._zone_cap_left(server)
            if over > 0:
                self._lower(now, server, over, math.inf, False)

    def _draw_zone(self, session: Session) -> bool:
        """Draw the zone that a new session may use besides its own, by the agreed shares. False if it falls into the
        part that is refused; the retry times are spread so that the viewers do not all return at once.
        """
        if self.allocation is None:
            return True
        draw = self.rng.random()
        for zone, share in self.allocation.shares[session.request.cls]:
            session.drawn_zone, draw = zone, draw - share
            if draw < 0:
                return True
        wait = self.settings.max_retry_after if self.settings.retry_after else 0
        self.actions.append(Refuse(session.request.ref, int(wait * (1 + self.rng.random()) / 2)))
        self._forget(session)
        return False

    def _is_own_zone(self, session: Session, zone: int) -> bool:
        """Whether a zone is the session's own: the front's zone where it has a share, or the zone drawn."""
        return (
            self.allocation is None
            or zone == session.drawn_zone
            or zone == self.settings.zone
            and any(z == zone and share > 0 for z, share in self.allocation.shares[session.request.cls])
        )

    def _zone_cap_left(self, server: Server, ratio: float = 1.0) -> float:
        """The kB a second left to this front's sessions in the server's zone, under `ratio` of the agreed cap."""
        zone = server.entry.zone
        if self.allocation is None or zone == self.settings.zone:
            return math.inf
        cap = self.allocation.caps[zone] if 0 <= zone < len(self.allocation.caps) else 0.0
        return math.inf if cap is None else cap * ratio - self.kb_by_zone.get(zone, 0.0)

    def _on_carried(self, now: int, event: CarriedSession) -> None:
        request = event.request
        server = self.servers.get(event.server)
        if server is None or request.ref in self.sessions or request.cls >= len(self.settings.classes):
            return
        self.has_carried = True
        session = self._new_session(now, request)
        session.attempts = 1
        self._reserve(now, session, server, session.rung)
        session.state, session.ends_at = SessionState.PLAYING, now + (request.hint or 0)
        self._remember_title(request.title)

    def _hold(self, now: int, session: Session) -> None:
        session.state = SessionState.HELD
        self.held[session.request.ref] = session
        self.actions.append(SetTimer(max(now, self._last_send_at(session)), session.request.ref + 2))
        if not self.retry_timer_set:
            self.retry_timer_set = True
            self.actions.append(SetTimer(now + HOLD_RETRY_INTERVAL, 0))

    def _last_send_at(self, session: Session) -> int:
        """The latest time at which an attempt of a session that has waited can be expected to be answered in time. One
        made later would time out, and count against a server that did nothing wrong.
        """
        return session.deadline - int(NEEDED_TIME_FACTOR * self.setup_time)

    def _refuse(self, session: Session) -> None:
        self.actions.append(
            Refuse(session.request.ref, self.settings.max_retry_after if self.settings.retry_after else 0)
        )
        self._forget(session)

    def _forget(self, session: Session) -> None:
        self.held.pop(session.request.ref, None)
        self.sessions.pop(session.request.ref, None)

    # ---- choice of a server

    def _place(self, now: int, session: Session) -> bool:
        """Send the session to the less loaded of two random holders that fit, at the highest rung that fits.
        More holders are considered only if these two do not fit.
        """
        if now >= session.deadline or now > max(session.arrived_at, self._last_send_at(session)):
            return False
        fits: list[tuple[Server, int]] = []
        tight: list[Server] = []
        if any(x.probe_pending and now - x.probed_at < self.settings.connect_timeout for x in session.probed_pair):
            return False  # a probe result is still expected
        other_zone: list[tuple[Server, int]] = []
        self._sort_holders(now, session, session.probed_pair, fits, tight, other_zone)
        session.probed_pair = ()
        if not fits:
            self._sort_holders(now, session, self._draw_holders(session), fits, tight, other_zone)
            pair = tuple([server for server, _ in fits] or tight[-2:])
            if [server for server in pair if self._probe_if_stale(now, server)]:
                session.probed_pair = pair  # choose between these two once they have answered
                return False
        if fits:
            first, second = fits[0], fits[-1]
            first_wins = first[1] > second[1] or first[1] == second[1] and first[0].load(now) <= second[0].load(now)
            return self._send(now, session, *(first if first_wins else second))
        self.no_room_at = now if tight else self.no_room_at
        if tight and self._make_room(now, session, tight[0]):
            return self._send(now, session, tight[0], session.session_class.floor)
        return bool(other_zone) and self._send(now, session, *other_zone[0])

    def _draw_holders(self, session: Session) -> Iterator[Server]:
        """Listed holders of the title in random order, from MAX_DRAWS cells at most unless zones have agreed."""
        n = max(0, min(session.request.holders, self.settings.cells))
        if session.session_class.live:  # joining a running stream adds the least load
            own = islice(self._seated(session).values(), MAX_DRAWS)
            yield from [x.server for x in own if x.server is not None]
        for step in self.rng.sample(range(n), min(n, MAX_DRAWS if self.allocation is None else n)):
            yield from self.cells.get((session.request.home + step) % self.settings.cells, ())

    def _sort_holders(
        self,
        now: int,
        session: Session,
        drawn: Iterable[Server],
        fits: list[tuple[Server, int]],
        tight: list[Server],
        other_zone: list[tuple[Server, int]],
    ) -> None:
        """Sort holders into the first two that fit (with their rungs) and those that do not (`tight`). A server of
        another zone fits if the crossing gains MIN_CROSSING_GAIN times its price; under an allocation, servers that
        fit outside the session's own zones go to `other_zone`.
        """
        price, worth = MIN_CROSSING_GAIN * self.settings.price_cross_zone, self.settings.rung_worth
        crossing: list[tuple[Server, int]] = []
        last_resort: list[tuple[Server, int]] = []
        for server in drawn:
            if (
                not self._may_send(now, session, server)
                or server.failure_rate > UNHEALTHY_THRESHOLD
                and now < server.next_trial_at
            ):
                continue
            rung = self._highest_fitting_rung(now, session, server)
            if not self._is_own_zone(session, server.entry.zone):
                if rung >= 0 and server is not session.failed_server and server.entry.zone != self.settings.zone:
                    other_zone.append((server, rung))
            elif rung < 0:
                tight.append(server)
            elif (
                server.failure_rate > UNHEALTHY_THRESHOLD
                and session.session_class.effect != Effect.SAFE
                or server is session.failed_server
            ):
                last_resort.append((server, rung))
            elif price and server.entry.zone != self.settings.zone and self.allocation is None:
                crossing.append((server, rung))
            else:
                fits.append((server, rung))
                if len(fits) == 2 or self._added_ratio(session, server, rung) < 1:
                    break
        best = max((worth[rung] for _, rung in fits), default=0.0)
        fits += [one for one in crossing if worth[one[1]] - best > price][: 2 - len(fits)]
        if not fits and not tight:
            fits += last_resort[:2]

    def _probe_if_stale(self, now: int, server: Server) -> bool:
        """Probe a server before the send if its evidence is old, as a Tiger cub asks the next one. Each request
        earns a number of probes, so that their cost stays bounded. True if a probe was sent.
        """
        s = self.settings
        max_age = (
            max(FRESH_PERIOD, s.notice_interval + s.notice_delay) if s.reports_in_answers else PROBE_EVIDENCE_PERIOD
        )
        known_at = max(server.link.others_at + REPORT_DELAY, server.probed_at)
        if not s.probes or self.probe_credit < 1 or now - known_at < max_age:
            return False
        self.probe_credit -= 1
        server.probed_at, server.probe_pending = now, True
        self.actions.append(Probe(server.entry.server))
        return True

    def _rung_kb(self, session_class: ClassSettings, rung: int) -> float:
        return self.settings.rung_kb[rung] * session_class.rate_scale

    def _added_kb(self, session: Session, server: Server, rung: int) -> float:
        """The kB a second that the session adds at a server: a further viewer of a live stream adds only a part."""
        return self._rung_kb(session.session_class, rung) * self._added_ratio(session, server, rung)

    def _added_ratio(self, session: Session, server: Server, rung: int) -> float:
        key = (session.request.cls, rung, session.request.title)
        return self.settings.join_ratio if session.session_class.live and key in server.buckets else 1.0

    def _highest_fitting_rung(self, now: int, session: Session, server: Server) -> int:
        """The highest rung that fits under the mark on link and uplink, or -1."""
        for rung in range(session.top, session.session_class.floor - 1, -1):
            mark = self._mark(now, session.session_class, rung, self._added_ratio(session, server, rung), server)
            kb = self._added_kb(session, server, rung)
            cap_ratio = 1.0 if rung == session.session_class.floor else RAISED_CAP_RATIO
            if kb <= server.room(now, mark) and kb <= self._zone_cap_left(server, cap_ratio):
                return rung
        return -1

    def _mark(self, now: int, session_class: ClassSettings, rung: int, added_ratio: float, server: Server) -> float:
        """The admission mark, lower for rungs whose last step brings less worth per kB: always taking the highest
        rung that fits would starve later sessions, at the other fronts too. A viewer that joins a stream adds
        `added_ratio` of the rate.
        """
        if rung <= session_class.floor:
            return ADMISSION_MARK
        kb, worth = self.settings.rung_kb, self.settings.rung_worth
        worth_per_kb = (worth[rung] - worth[rung - 1]) / (kb[rung] - kb[rung - 1]) / added_ratio
        return ADMISSION_MARK - self._spread(now, server) * max(
            0.0, 1 - worth_per_kb * session_class.worth / session_class.rate_scale / self.best_worth_per_kb
        )

    def _spread(self, now: int, server: Server) -> float:
        """How far marks fall: by MARK_SPREAD just after a new session found no room, and by less the longer ago that
        is. It shrinks only where a probe precedes each choice (_probe_if_stale), and as far as the evidence is
        fresh: a high mark on old evidence fills links beyond their capacity.
        """
        if not self.settings.probes or self.settings.reports_in_answers:
            return MARK_SPREAD
        reserve: float = 0.5 ** ((now - self.no_room_at) / EVIDENCE_HALF_LIFE) if self.no_room_at > NEVER else 0.0
        # with few probes the evidence on any one server is old; then the number of samples in the mean counts.
        # With one or none, nothing is known of uplinks, where no FULL answer shows that a mark was too high
        staleness = 1.0 - 0.5 ** ((now - server.link.others_at) / PROBE_EVIDENCE_PERIOD)
        uncertainty = 1.0 / max(1.0, self.uplink_mean.samples(now))
        reserve = max(
            reserve, uncertainty + (staleness - uncertainty) * self.probes_per_request / MAX_PROBES_PER_REQUEST
        )
        return MARK_SPREAD * (CALM_SPREAD_RATIO + (1 - CALM_SPREAD_RATIO) * reserve)

    # ---- guards

    def _is_holder(self, session: Session, server: Server) -> bool:
        return (server.entry.cell - session.request.home) % self.settings.cells < session.request.holders

    def _may_send(self, now: int, session: Session, server: Server) -> bool:
        """Whether a send is allowed. The only place that checks this; every send passes it."""
        s = self.settings
        if server.gone or not self._is_holder(session, server):
            return False  # a draining server gets no new sessions, even within its grace
        if session.attempts >= s.max_attempts or session.state != SessionState.HELD:
            return False
        if server.streams >= server.places and all(
            self._added_ratio(session, server, rung) == 1 for rung in range(session.top + 1)
        ):
            return False  # a further viewer of a running stream takes no place
        if session.session_class.seats and len(self._seated(session)) >= session.session_class.seats:
            return False
        if session.attempts and s.free_retries is not None:
            taken = sum(1 for t in self.request_times if t > now - s.retry_window)
            while self.retry_times and self.retry_times[0] <= now - s.retry_window:
                self.retry_times.popleft()
            if len(self.retry_times) + 1 > s.free_retries + s.retry_ratio * taken:
                return False
        # cold since its listed start, a failure seen here, or the start of this front, whichever is latest
        since = max(
            server.entry.started or NEVER,
            server.failed_at,
            NEVER if self.has_carried or s.rank_and_offset is not None else self.started_at,
        )
        return now >= since + s.warm_up_time or self._may_send_cold(now, server, since)

    def _cold_interval(self, server: Server) -> int:
        """Least time (ns) between two set-ups of this front at a cold server."""
        s = self.settings
        budget = s.cold_budget_multiple * server.places * s.cold_ratio * COLD_BUDGET_RATIO
        interval = s.warm_up_time / budget if budget > 0 else s.warm_up_time
        return int(min(s.fronts * interval, max(s.cold_window, interval)))

    def _may_send_cold(self, now: int, server: Server, since: int) -> bool:
        """Whether this front may send a set-up to a cold server. Each window in which set-ups are counted is a slot,
        and a seeded draw decides whether the slot is this front's, so that all fronts together keep to the budget.
        The lower the demand (assumed equal at the other fronts), the likelier the slot is its own; otherwise most
        slots would go to fronts with nothing to send.
        """
        s = self.settings
        if s.rank_and_offset is not None:
            return self._has_turn_in_slot(now, server, *s.rank_and_offset)
        budget = s.cold_budget_multiple * server.places * s.cold_ratio * COLD_BUDGET_RATIO
        if now < server.next_cold_at:
            return False
        slot = (since, (now - since) // max(1, s.cold_window))
        if slot != server.slot:
            server.slot = slot
            recent = sum(1 for t in self.request_times if t > now - s.cold_window)
            crowd = any(self._is_holder(x, server) for x in self.held.values())  # the other fronts may hold some, too
            demand = 1.0 if crowd else min(1.0, 2 * recent / s.cells)
            server.slot_is_own = self.rng.random() * s.fronts * demand <= budget * s.cold_window / max(
                1, s.warm_up_time
            )
        return server.slot_is_own

    def _has_turn_in_slot(self, now: int, server: Server, rank: int, offset: int) -> bool:
        """Whether this front has a turn left at a cold server, where fronts have ranks and share a clock. Turns
        rotate over slots that are longer than the counting window plus the travel time of an attempt, so that a
        window meets two slots at most, or one if the cold budget is a single set-up, as every other slot then stays
        empty. Nothing is drawn, so chance cannot exceed the budget.
        """
        s = self.settings
        budget = s.cold_budget_multiple * server.places * s.cold_ratio * s.cold_window / max(1, s.warm_up_time)
        max_setups = 1 + int(budget)
        slot, into = divmod(now + offset, max(1, s.cold_window + 3 * s.connect_timeout))
        if now - into < self.started_at or max_setups == 1 and slot % 2:
            return False  # this front may have used its turn in this slot before it restarted
        slot = slot // 2 if max_setups == 1 else slot
        if server.slot != (slot, 0):
            turns = max(1, max_setups // 2)
            first = (slot * turns + server.entry.cell) % s.fronts  # fronts take turns in order of rank
            server.slot = (slot, 0)
            server.slot_turns = (turns - 1 - (rank - first) % s.fronts) // s.fronts + 1
        return server.slot_turns > 0

    # ---- sending

    def _send(self, now: int, session: Session, server: Server, rung: int) -> bool:
        if session.attempts:
            self.retry_times.append(now)
        interval = self._cold_interval(server)
        # held sessions are retried only every HOLD_RETRY_INTERVAL: a shorter interval may be caught up on, so that
        # this front uses its share; never more than one interval ahead, or the many set-ups of a warm server would
        # block it for long once it is cold
        server.next_cold_at = (
            min(now, max(server.next_cold_at, now - (HOLD_RETRY_INTERVAL if interval < HOLD_RETRY_INTERVAL else 0)))
            + interval
        )
        server.slot_turns -= 1
        if server.failure_rate > UNHEALTHY_THRESHOLD:
            # a trial: no other before its outcome or this time
            server.next_trial_at = now + int(TRIAL_INTERVAL * server.failure_rate)
        self.held.pop(session.request.ref, None)
        session.state, session.probed_pair = SessionState.PENDING, ()
        session.attempts += 1
        self._reserve(now, session, server, rung)
        deadline = session.deadline
        if session.session_class.effect == Effect.SAFE:
            target = session.arrived_at + session.session_class.answer_target
            until = target if target > now + MIN_ATTEMPT_TIMEOUT else session.deadline
            deadline = (
                max(
                    MIN_ATTEMPT_TIMEOUT,
                    min(int(ATTEMPT_TIMEOUT_FACTOR * self.setup_time), int(MAX_ATTEMPT_TIME_RATIO * (until - now))),
                )
                + now
            )
        self.actions.append(SetRung(session.request.ref, rung))
        session.attempt_deadline = min(deadline, session.deadline)
        self.actions.append(Send(session.request.ref, server.entry.server, session.attempt_deadline))
        return True

    def _reserve(self, now: int, session: Session, server: Server, rung: int) -> None:
        session.server, session.rung = server, rung
        self._book(now, session, server, 1)
        server.buckets.setdefault(self._key(session), {})[session.request.ref] = session

    def _release(self, now: int, session: Session) -> None:
        server, session.server = session.server, None
        if server is not None:
            bucket = server.buckets[self._key(session)]
            del bucket[session.request.ref]
            if not bucket:
                del server.buckets[self._key(session)]
            self._book(now, session, server, -1)

    def _book(self, now: int, session: Session, server: Server, sign: int) -> None:
        kb = self._added_kb(session, server, session.rung)
        server.link.add(now, sign * kb)
        server.rack.add(now, sign * kb)
        if server.entry.zone != self.settings.zone:
            self.kb_by_zone[server.entry.zone] = self.kb_by_zone.get(server.entry.zone, 0.0) + sign * kb
        if self._added_ratio(session, server, session.rung) == 1:
            server.streams += sign
        seated = self.seats.setdefault((session.request.cls, session.request.title), {})
        if sign > 0:
            seated[session.request.ref] = session
        else:
            del seated[session.request.ref]
        if not seated:
            del self.seats[session.request.cls, session.request.title]

    def _seated(self, session: Session) -> dict[int, Session]:
        return self.seats.get((session.request.cls, session.request.title), {})

    def _key(self, session: Session) -> tuple[int, int, int]:
        return session.request.cls, session.rung, session.request.title if session.session_class.live else 0

    # ---- rungs of playing sessions

    def _step(self, now: int, session: Session, rung: int) -> None:
        server = session.server
        assert server is not None
        session.lowered_at = now if rung < session.rung else session.lowered_at
        self._release(now, session)
        self._reserve(now, session, server, rung)
        session.stepped_at = now
        self.actions.append(SetRung(session.request.ref, rung))

    def _steps(self, now: int, server: Server, direction: int) -> list[tuple[float, float, list[Session]]]:
        """What can go up a rung (`direction` 1) or down (-1): (worth per kB, kB, the sessions), best first."""
        s = self.settings
        steps: list[tuple[float, float, list[Session]]] = []
        for (cls, rung, _), bucket in server.buckets.items():
            session_class, new_rung = s.classes[cls], rung + direction
            if not session_class.floor <= new_rung <= session_class.top:
                continue
            worth = abs(s.rung_worth[new_rung] - s.rung_worth[rung])
            movable = [x for x in bucket.values() if self._may_step(now, x, direction, worth)]
            groups = [[x] for x in movable]
            if session_class.live:
                groups = [movable] if movable and (direction > 0 or len(movable) == len(bucket)) else []
            for group in groups:
                n, join = len(group), s.join_ratio if session_class.live else 1.0
                joins = self._added_ratio(group[0], server, new_rung) < 1
                stays = session_class.live and n < len(bucket)
                kb = self._rung_kb(session_class, new_rung) * (
                    join * n if joins else 1 + join * (n - 1)
                ) - self._rung_kb(session_class, rung) * (join * n if stays else 1 + join * (n - 1))
                if kb * direction > 0:
                    steps.append((worth * session_class.worth * n / abs(kb), abs(kb), group))
        steps.sort(key=lambda one: (-direction * one[0], -one[1], one[2][0].request.ref))
        return steps

    def _may_step(self, now: int, session: Session, direction: int, worth: float) -> bool:
        """Whether a session may step now: once in STEP_INTERVAL, and up only if the time left earns the price."""
        if session.state != SessionState.PLAYING or direction < 0:
            return session.state == SessionState.PLAYING and now - session.lowered_at >= STEP_INTERVAL
        earned = worth * (session.ends_at - now if session.request.hint else STEP_INTERVAL) / SECOND
        return (
            session.top > session.rung
            and now - session.stepped_at >= STEP_INTERVAL
            and earned > MIN_SWITCH_GAIN * self.settings.switch_cost_s
        )

    def _lower(self, now: int, server: Server, kb: float, max_worth_per_kb: float, all_or_nothing: bool) -> bool:
        """Lower playing sessions by one rung until `kb` are free, those first that lose least worth per kB and none
        that loses `max_worth_per_kb` or more. With `all_or_nothing`, only if that much can be freed; otherwise a
        step that frees more than is left happens with that proportion as its probability, as many fronts with one
        session each would all lower or none would. True if enough is free or a session was lowered.
        """
        steps: list[Session] = []
        for lost, freed, group in self._steps(now, server, -1):
            if kb <= 0 or lost >= max_worth_per_kb or not all_or_nothing and self.rng.random() * freed > kb:
                break
            steps += group
            kb -= freed
        if all_or_nothing and kb > 0:
            return False
        for one in steps:
            self._step(now, one, one.rung - 1)
        return bool(steps) or kb <= 0

    def _make_room(self, now: int, session: Session, server: Server) -> bool:
        """Lower playing sessions for a held one, if they lose less worth per kB than it brings."""
        kb = self._added_kb(session, server, session.session_class.floor)
        if kb > self._zone_cap_left(server):
            return False
        gain = self.settings.rung_worth[session.session_class.floor] * session.session_class.worth / kb
        return self._lower(now, server, kb - server.room(now, ADMISSION_MARK), gain, True)

    def _adjust(self, now: int, server: Server, at: int) -> None:
        """Lower or raise playing sessions towards what fits, by this front's share of the load. Evidence from before
        the last adjustment at this server is ignored, as it does not show that one.
        """
        load = server.load(now)
        if at <= server.stepped_at or not server.streams:
            return
        if load >= OVERLOAD_THRESHOLD:
            server.stepped_at = now
            self._lower(now, server, server.link.own_kb * (1 - OVERLOAD_TARGET / load), math.inf, False)
        elif load < self._raise_mark(now, server) and not (
            self.held or server.gone or server.failure_rate > UNHEALTHY_THRESHOLD
        ):
            self._raise(now, server)

    def _raise_mark(self, now: int, server: Server) -> float:
        return ADMISSION_MARK - RAISE_SPREAD_RATIO * self._spread(now, server)

    def _raise(self, now: int, server: Server) -> None:
        """Take the step up that gains most worth per kB and fits, with a probability: this front's share of the room
        over the kB of the step.
        """
        mark = self._raise_mark(now, server)
        room = min(
            m.capacity_kb * (mark - m.load(now)) * min(1.0, m.own_kb / m.capacity_kb / max(m.load(now), 1e-9))
            for m in (server.link, server.rack)
        )
        for _, kb, group in self._steps(now, server, 1):
            if kb <= server.room(now, ADMISSION_MARK) and kb <= self._zone_cap_left(server, RAISED_CAP_RATIO):
                server.stepped_at = now
                if self.rng.random() * kb <= room:
                    for one in group:
                        self._step(now, one, one.rung + 1)
                return

    # ---- outcomes of attempts

    def _on_opened(self, now: int, event: SessionOpened) -> None:
        session = self.sessions.get(event.ref)
        server = session.server if session is not None and not session.left else None
        if (
            session is None
            or server is None
            or session.state != SessionState.PENDING
            or event.attempt != session.attempts - 1
        ):
            return
        self.setup_time += SETUP_TIME_WEIGHT * (min(event.elapsed, SECOND) - self.setup_time)
        session.state, session.ends_at = SessionState.PLAYING, now + (session.request.hint or 0)
        self._remember_title(session.request.title)
        self._record_success(now, server)

    def _remember_title(self, title: int) -> None:
        self.played_titles.pop(title, None)
        self.played_titles[title] = None
        if len(self.played_titles) > MAX_PLAYED_TITLES:
            del self.played_titles[next(iter(self.played_titles))]

    def _on_outcome(self, now: int, event: Outcome) -> None:
        server = self.servers.get(event.server)
        session = self.sessions.get(event.ref)
        if session is None or session.state == SessionState.HELD or event.attempt != session.attempts - 1:
            return
        playing = session.state == SessionState.PLAYING
        self._release(now, session)
        if server is not None and event.report is not None:
            self._apply_report(now, server, event.report)  # after the release, so that the ended session is not lowered
        code = event.code
        if server is not None:
            # a timeout noticed late means that this front stalled, not that the server failed
            stalled = code == OutcomeCode.TIMEOUT and now > session.attempt_deadline + MIN_ATTEMPT_TIMEOUT
            # possibly no server has such a title, in which case each answers with an error
            unknown_title = session.request.title not in self.played_titles
            if code in FAILURE_CODES and not stalled or code == OutcomeCode.ERROR and not (playing or unknown_title):
                unclear = not playing and code in (OutcomeCode.TIMEOUT, OutcomeCode.RESET)
                self._record_failure(now, server, code, UNCLEAR_FAILURE_WEIGHT if unclear else FAILURE_WEIGHT)
            elif code == OutcomeCode.FULL and server.link.load(now) < 1:
                server.link.observe(now, 1.0, now, False)  # full, until other evidence arrives
        if event.answered or session.left or playing:
            self._forget(session)
        else:
            session.state, session.failed_server = SessionState.HELD, server
            if code == OutcomeCode.MOOT and self.retry_times and session.attempts > 1:
                self.retry_times.pop()
            if session.session_class.effect != Effect.SAFE and code not in NOT_RUN_CODES:
                self.actions.append(Fail(session.request.ref))
                self._forget(session)
            elif now >= session.deadline or session.attempts >= self.settings.max_attempts:
                self._refuse(session)
            elif code == OutcomeCode.FULL or not self._place(now, session):
                self._hold(now, session)
        if server is not None and (playing or event.answered):
            self._retry_held(now, server)

    def _on_left(self, now: int, event: ViewerLeft) -> None:
        session = self.sessions.get(event.ref)
        if session is not None and session.state == SessionState.HELD:
            self._forget(session)
        elif session is not None:
            # it stays booked until its outcome, and its rung is left as it is
            session.left, session.state = True, SessionState.PENDING

    # ---- held sessions

    def _retry_held(self, now: int, server: Server) -> None:
        """After the end of a session at a server, retry the first held sessions whose title it has."""
        for session in list(self.held.values())[:MAX_HELD_SCAN]:
            if self._is_holder(session, server):
                self._place(now, session)

    def _on_timer(self, now: int, event: TimerDue) -> None:
        if event.token == 0:
            self.retry_timer_set = bool(self.held)
            if self.retry_timer_set:
                self.actions.append(SetTimer(now + HOLD_RETRY_INTERVAL, 0))
            for session in list(self.held.values()):
                self._place(now, session)
        elif event.token == 1:
            self.actions.append(Subscribe(True))
        else:
            held = self.held.get(event.token - 2)
            if held is not None and now >= self._last_send_at(held):
                self._refuse(held)
            elif held is not None:  # set-ups have become shorter meanwhile
                self.actions.append(SetTimer(self._last_send_at(held), event.token))

    # ---- evidence

    def _apply_report(self, now: int, server: Server, report: Report) -> None:
        at = now - REPORT_DELAY
        for meter, value in ((server.link, report.link), (server.rack, report.uplink)):
            if value is not None:
                meter.observe(now, value, at)
        self._adjust(now, server, at)

    def _on_notice(self, now: int, event: SessionNotice) -> None:
        session = self.sessions.get(event.ref)
        server = self.servers.get(event.server)
        value = event.value
        if not math.isfinite(value) or value < 0:
            return
        if event.kind == NoticeKind.RUNG:
            placed = session.server if session is not None else None
            if session is not None and placed is not None and value < len(self.settings.rung_kb):
                self._release(now, session)
                self._reserve(now, session, placed, int(value))
            return
        if server is None:
            return
        at = now - self.settings.notice_delay
        if event.kind in (NoticeKind.LINK, NoticeKind.UPLINK):
            if session is not None and now - session.arrived_at < SECOND:
                at = now  # at set-up, the figure is current
            meter = server.link if event.kind == NoticeKind.LINK else server.rack
            meter.observe(now, value, at)
            self._adjust(now, server, at)
        elif event.kind == NoticeKind.SHARE:
            if value < SILENT_THRESHOLD:  # nothing is delivered: a stopped server rather than a full link
                return self._record_failure(now, server, OutcomeCode.ERROR)
            meter = server.rack if server.rack.load(now) > server.link.load(now) else server.link
            if value < OVERLOAD_THRESHOLD:
                if meter.load(now) < 1 / value:
                    meter.observe(now, 1 / value, at, False)
                self._adjust(now, server, at)
            elif server.link.others_load > 1:
                server.link.observe(now, 1.0, at, False)

    # ---- health

    def _record_success(self, now: int, server: Server) -> None:
        if server.failure_rate > UNHEALTHY_THRESHOLD >= server.failure_rate * (1 - FAILURE_WEIGHT):
            self.actions.append(Log(f"server {server.entry.server} trusted again"))
        if server.failed_at > NEVER and server.failure_rate > UNHEALTHY_THRESHOLD:
            server.failed_at = now  # it answers again after losing its sessions: cold from now at the latest
        server.failure_rate *= 1 - FAILURE_WEIGHT
        server.next_trial_at = now

    def _record_failure(self, now: int, server: Server, code: int, weight: float = FAILURE_WEIGHT) -> None:
        if server.failure_rate <= UNHEALTHY_THRESHOLD < server.failure_rate + weight * (1 - server.failure_rate):
            self.actions.append(Log(f"server {server.entry.server} on trial: outcome {code}"))
        if code != OutcomeCode.ERROR:
            server.failed_at = now
        server.failure_rate += weight * (1 - server.failure_rate)
        server.next_trial_at = now + int(TRIAL_INTERVAL * server.failure_rate)

    def _on_probe_result(self, now: int, event: ProbeResult) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            server.probe_pending = False
            if event.code == OutcomeCode.OK and event.report is not None:
                self._apply_report(now, server, event.report)
            self._retry_held(now, server)
