"""Every decision of a front. The types it takes and gives are in copperyard/interface.py.

After the multiple bitrate form of the Tiger paper (sections 3.2, 4.1.3, 4.2): a front rules a start out
from its own view of link and uplink where it can, and holds what does not fit. docs/design.md tells what
was kept, changed and added. Nothing here reads a clock, and no set is ever iterated.
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
    Carried,
    ClassSettings,
    Code,
    Effect,
    Event,
    Fail,
    Left,
    ListKind,
    Log,
    Note,
    NoteKind,
    Opened,
    Outcome,
    Probe,
    Probed,
    Rate,
    Refuse,
    Report,
    Request,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Wake,
    Watch,
    Ways,
)

MS = 1_000_000
SECOND = 1_000_000_000

MARK = 0.95  # fraction of a link or uplink that set-ups may fill; the paper's 90% left room idle
SPREAD = 0.3  # how far the mark falls for a rung whose last step brings no worth, while newcomers wait
CALM = 0.25  # part of SPREAD that is left where none has waited for long: the reserve is for newcomers
SHED_AT = 0.98  # fraction from which playing sessions are lowered: under this share worth is lost
SHED_TO = 0.97  # fraction that they are lowered to; 0.9 gave up more worth than the odd shortfall costs
UP_SPREAD = 0.85  # part of SPREAD that raising playing sessions leaves free; the rest is kept for newcomers
PACE = 2 * SECOND  # a session steps at most once in this time; the paper's 5 s suits longer ones
PUMP = 250 * MS  # held sessions are retried this often besides at session ends
SCAN = 16  # held sessions looked at when a session ends, so that one event stays cheap
DRAWS = 8  # holders looked at for one request, so that its cost does not grow with the fleet
HALF = 7 * SECOND  # age at which evidence of the others counts half, the mean of all servers the rest
POOL_HALF = 6 * SECOND  # the same for each piece of evidence within that mean
FRESH = 3 * SECOND  # evidence up to this age counts as fresh; where notes are rarer, their spacing
REPORT_LAG = 400 * MS  # how old a report's figures are taken to be; settings do not tell
SWITCH_GAIN = 2.0  # raising a rung must earn this many times its price over the time left
LIMIT_TOOK = 5.0  # an attempt's time limit over the usual time of a set-up
LIMIT_LEAST = 250 * MS  # least time limit: a cold or busy server needs that much
LIMIT_SHARE = 0.6  # most of the time left that one attempt may use, so that another still fits
BAD = 0.2  # recent share of failures from which a server is kept to single trials
WEIGH = 0.3  # weight of the newest attempt in that share
UNCLEAR = 0.18  # the same of a set-up timed out or reset: once, that may be a lost answer, no lost server
TITLES = 4096  # titles remembered as having played: an error on any other may be the wish's own fault
RETEST = 4 * SECOND  # wait before a trial of a bad server, times its share of failures: 1 s after the first
BLIND = 0.8  # load taken for granted until the first evidence: an empty ledger is no empty link
COLD_SHARE = 0.5  # part of the cold budget that fronts use: chance and unequal work need the rest
PROBES = 2.0  # probes that each request pays for at most
SPEND = 0.03  # looks gain about as the root of their number: best is (this over their price) squared
WAY = 0.1  # part of a connect's time limit that an answer may take on its way to the viewer
PROBE_AGE = SECOND  # evidence older than this is renewed by a probe before a choice, where that pays
SILENT = 0.2  # a delivered share below this is a stopped server, not a full link
MOST_LOAD = 4.0  # bound on what a report or note may claim
RAISED = 0.5  # part of an agreed cap that rungs above the floor may use; the rest is for newcomers
CROSS_GAIN = 2.0  # worth that crossing zones must gain, over its price
TOOK_WEIGH = 0.1  # weight of the newest set-up in the usual time of one
UNRUN = (Code.FULL, Code.CONNECT_FAILED, Code.MOOT)  # outcomes that prove that nothing ran
BROKEN = (Code.TIMEOUT, Code.CONNECT_FAILED, Code.RESET)
NEVER = -(1 << 62)  # a time before any clock


class Phase(IntEnum):
    HELD = 0
    OUT = 1
    PLAYING = 2


@dataclass(slots=True)
class Pool:
    """What the other fronts ask of a link (or uplink): the mean of recent evidence on all servers."""

    value: float
    weight: float = 1.0
    at: int = 0

    def pieces(self, now: int) -> float:
        """How many fresh pieces of evidence the mean is worth."""
        return self.weight * 0.5 ** ((now - self.at) / POOL_HALF) if self.at else 0.0

    def learn(self, now: int, value: float) -> None:
        self.weight = self.weight * 0.5 ** ((now - self.at) / POOL_HALF) + 1
        self.value += (value - self.value) / self.weight
        self.at = now


@dataclass(slots=True)
class Meter:
    """Ledger of one link or uplink: this front's sessions, and what the others ask by the last report or
    note. With age that gives way to the mean of all servers (`pool`): a front with a hundredth of the
    traffic rarely hears of one server, and its few sessions tell nothing of the others' number."""

    cap: float
    pool: Pool
    own: float = 0.0
    seen: float = 0.0
    seen_at: int = NEVER
    trail: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=16))

    def add(self, now: int, kb: float) -> None:
        self.own = max(0.0, self.own + kb)
        self.trail.append((now, self.own))

    def learn(self, now: int, value: float, at: int, pool: bool = True) -> None:
        """Take evidence that speaks of the time `at`; older evidence than held is dropped. What comes only
        where a link is full tells nothing of the mean and stays out of the pool."""
        if at < self.seen_at or not value >= 0:
            return
        own = self.trail[0][1] if self.trail else self.own
        while self.trail and self.trail[0][0] <= at:
            own = self.trail.popleft()[1]
        self.trail.appendleft((at, own))
        self.seen, self.seen_at = max(0.0, min(value, MOST_LOAD) - own / self.cap), at
        if pool:
            self.pool.learn(now, self.seen)

    def load(self, now: int) -> float:
        keep = 0.5 ** ((now - self.seen_at) / HALF) if self.seen_at > NEVER else 0.0
        return self.pool.value + (self.seen - self.pool.value) * keep + self.own / self.cap


@dataclass(slots=True)
class Session:
    """One request and what came of it. `deadline` is the last time at which it can be answered."""

    r: Request
    kind: ClassSettings
    top: int
    began: int
    deadline: int
    rung: int
    server: Server | None = None
    phase: Phase = Phase.HELD
    attempts: int = 0
    ends: int = 0
    stepped: int = NEVER
    lowered: int = NEVER
    limit: int = 0
    left: bool = False
    pair: tuple[Server, ...] = ()
    failed: Server | None = None
    zone: int = -1


@dataclass(slots=True)
class Server:
    """Ledger and standing of one server. Buckets hold this front's sessions there that are alike: of one
    class and rung, and where titles are live also of one title, as those share a stream."""

    entry: ServerEntry
    places: int
    link: Meter
    rack: Meter
    streams: int = 0
    buckets: dict[tuple[int, int, int], dict[int, Session]] = field(default_factory=dict)
    acted: int = NEVER
    probed: int = NEVER
    asked: bool = False
    due: int = NEVER
    slot: tuple[int, int] = (NEVER, 0)
    turn: bool = False
    turns: int = 0
    lost: int = NEVER
    retest: int = NEVER
    bad: float = 0.0
    gone: bool = False

    def load(self, now: int) -> float:
        return max(self.link.load(now), self.rack.load(now))

    def room(self, now: int, mark: float) -> float:
        return min(m.cap * (mark - m.load(now)) for m in (self.link, self.rack))


class Controller:
    """One front. handle() takes one event and gives the actions to do, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set = settings
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}
        self.cells: dict[int, list[Server]] = {}
        self.racks: dict[int, Meter] = {}
        unseen = BLIND if settings.fronts > 1 else 0.0
        self.links, self.uplinks = Pool(unseen), Pool(unseen)
        self.sessions: dict[int, Session] = {}
        self.held: dict[int, Session] = {}
        self.seats: dict[tuple[int, int], dict[int, Session]] = {}
        self.taken: deque[int] = deque()
        self.resent: deque[int] = deque()
        self.start = -1
        self.carried = False
        self.pumping = False
        self.took = 100.0 * MS
        self.best = max(
            settings.rung_worth[k.floor] / settings.rung_kb[k.floor] * k.worth / k.scale for k in settings.classes
        )
        price = settings.price_probe
        self.looks = min(PROBES, (SPEND / price) ** 2) if price > 0 else PROBES
        self.credit = PROBES  # a front that knows nothing looks at its first pair
        self.short = NEVER
        self.titles: dict[int, None] = {}
        self.ways: Ways | None = None
        self.abroad: dict[int, float] = {}
        self.out: list[Action] = []
        self.on: dict[type, Callable[[int, Any], None]] = {
            Request: self._request,
            Outcome: self._outcome,
            Note: self._note,
            Opened: self._opened,
            Wake: self._wake,
            ServerList: self._list,
            Probed: self._probed,
            Left: self._left,
            Carried: self._carried,
            Ways: self._agreed,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Decide on one event; pure but for this object's own state."""
        self.out = []
        if self.start < 0:
            self.start = now
            if self.set.subscribe:
                self.out.append(Watch(True))
        self.on[type(event)](now, event)
        return self.out

    # ---- server list

    def _list(self, now: int, event: ServerList) -> None:
        if event.kind == ListKind.FAILED and self.set.subscribe:
            self.out.append(SetTimer(now + SECOND, 1))
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.server for entry in event.entries}
            for server in [x for x in self.servers.values() if x.entry.server not in named]:
                self._unlist(server)
        for entry in event.entries if event.kind in (ListKind.FULL, ListKind.DELTA, ListKind.CACHED) else ():
            self._entry(now, entry)

    def _entry(self, now: int, e: ServerEntry) -> None:
        s = self.set
        server = self.servers.get(e.server)
        rack = self.racks.setdefault(e.cell % s.racks, Meter(s.uplink_kb or 1e12, self.uplinks))
        link_kb = (e.weight if 0 < e.weight < 1e6 else 1.0) * s.weight_kb
        if server is None:
            server = Server(e, 0, Meter(link_kb, self.links), rack)
        elif e.started and e.started != server.entry.started:
            # restarted: what was known of its link and health is of its life before
            server.link.learn(now, 0.0, now, False)
            server.bad, server.retest = 0.0, NEVER
        self._unlist(server)
        if rack is not server.rack:
            server.rack.add(now, -server.link.own)
            rack.add(now, server.link.own)
        server.places = s.places_by_kind[e.kind] if e.kind < len(s.places_by_kind) else min(s.places_by_kind)
        server.entry, server.rack, server.link.cap = e, rack, link_kb
        if e.state != ServerState.GONE:
            self.servers[e.server] = server
        if e.state == ServerState.READY:
            server.gone = False
            self.cells.setdefault(e.cell % s.cells, []).append(server)

    def _unlist(self, server: Server) -> None:
        """A server that drains or is gone leaves the draw; its sessions still know it until they end."""
        if not server.gone and server.places:
            self.cells[server.entry.cell % self.set.cells].remove(server)
        server.gone = True
        self.servers.pop(server.entry.server, None)

    # ---- requests

    def _session(self, now: int, r: Request) -> Session:
        kind = self.set.classes[r.cls]
        top = min(r.top, kind.top, len(self.set.rung_kb) - 1)
        # a refusal must come in time, too
        way = max(self.set.tick, int(WAY * self.set.connect_timeout))
        deadline = min(r.deadline, now + kind.deadline) - way
        return self.sessions.setdefault(r.ref, Session(r, kind, top, now, deadline, kind.floor))

    def _request(self, now: int, r: Request) -> None:
        if r.ref in self.sessions or r.cls >= len(self.set.classes):
            return
        self.taken.append(now)
        while self.taken[0] <= now - max(self.set.ratio_span, self.set.fall):
            self.taken.popleft()
        self.credit = min(self.credit + self.looks, SCAN)
        session = self._session(now, r)
        if session.top < session.kind.floor:
            self._refuse(session)  # no rung is both allowed and usable: waiting cannot help
        elif self._zone(session) and not self._place(now, session):
            self._hold(now, session)
        if self.sessions and not self.set.reports_in_answers and self.credit > PROBES:
            # what no send needed renews the view of a server with own sessions, each session in its turn
            one = self.sessions.pop(next(iter(self.sessions)))
            self.sessions[one.r.ref] = one
            if one.server is not None:
                self._ask(now, one.server)

    # ---- what fronts agreed on

    def _agreed(self, now: int, event: Ways) -> None:
        """Follow from now on. What plays in a zone above a cap that shrank goes down to its floor, and on."""
        self.ways = event
        for server in self.servers.values():
            over = -self._left_abroad(server)
            if over > 0:
                self._lower(now, server, over, math.inf, False)

    def _zone(self, session: Session) -> bool:
        """Draw the zone that a newcomer may go to besides its own by the agreed shares. False: it is of the
        part that is refused, the times to come back spread, so that the crowd does not return at once."""
        if self.ways is None:
            return True
        draw = self.random.random()
        for zone, share in self.ways.shares[session.r.cls]:
            session.zone, draw = zone, draw - share
            if draw < 0:
                return True
        wait = self.set.max_retry_after if self.set.retry_after else 0
        self.out.append(Refuse(session.r.ref, int(wait * (1 + self.random.random()) / 2)))
        self._forget(session)
        return False

    def _near(self, session: Session, zone: int) -> bool:
        """Whether a zone is a session's own: home where that is open, or the one that its share drew."""
        return (
            self.ways is None
            or zone == session.zone
            or zone == self.set.zone
            and any(z == zone and share > 0 for z, share in self.ways.shares[session.r.cls])
        )

    def _left_abroad(self, server: Server, part: float = 1.0) -> float:
        """kB that this front's sessions may still ask for in a server's zone by a part of the agreed caps."""
        zone = server.entry.zone
        if self.ways is None or zone == self.set.zone:
            return math.inf
        cap = self.ways.caps[zone] if 0 <= zone < len(self.ways.caps) else 0.0
        return math.inf if cap is None else cap * part - self.abroad.get(zone, 0.0)

    def _carried(self, now: int, event: Carried) -> None:
        r = event.request
        server = self.servers.get(event.server)
        if server is None or r.ref in self.sessions or r.cls >= len(self.set.classes):
            return
        self.carried = True
        session = self._session(now, r)
        session.attempts = 1
        self._reserve(now, session, server, session.rung)
        session.phase, session.ends = Phase.PLAYING, now + (r.hint or 0)
        self._played(r.title)

    def _hold(self, now: int, session: Session) -> None:
        session.phase = Phase.HELD
        self.held[session.r.ref] = session
        self.out.append(SetTimer(max(now, session.deadline), session.r.ref + 2))
        if not self.pumping:
            self.pumping = True
            self.out.append(SetTimer(now + PUMP, 0))

    def _refuse(self, session: Session) -> None:
        self.out.append(Refuse(session.r.ref, self.set.max_retry_after if self.set.retry_after else 0))
        self._forget(session)

    def _forget(self, session: Session) -> None:
        self.held.pop(session.r.ref, None)
        self.sessions.pop(session.r.ref, None)

    # ---- choice of a server

    def _place(self, now: int, session: Session) -> bool:
        """Send the session to the less used of two drawn holders that fit, at the highest rung that fits.
        More holders are looked at only where these two do not do."""
        if now >= session.deadline:
            return False
        fits: list[tuple[Server, int]] = []
        tight: list[Server] = []
        if any(x.asked and now - x.probed < self.set.connect_timeout for x in session.pair):
            return False  # the answer is on its way
        away: list[tuple[Server, int]] = []
        self._look(now, session, session.pair, fits, tight, away)
        session.pair = ()
        if not fits:
            self._look(now, session, self._drawn(session), fits, tight, away)
            pair = tuple([one for one, _ in fits] or tight[-2:])
            if [one for one in pair if self._ask(now, one)]:
                session.pair = pair  # the choice is between these two once they have answered
                return False
        if fits:
            one, two = fits[0], fits[-1]
            better = one[1] > two[1] or one[1] == two[1] and one[0].load(now) <= two[0].load(now)
            return self._send(now, session, *(one if better else two))
        self.short = now if tight else self.short
        if tight and self._make_room(now, session, tight[0]):
            return self._send(now, session, tight[0], session.kind.floor)
        return bool(away) and self._send(now, session, *away[0])

    def _drawn(self, session: Session) -> Iterator[Server]:
        """Listed holders of the title in a drawn order, DRAWS cells at most."""
        n = max(0, min(session.r.holders, self.set.cells))
        if session.kind.live:  # joining a stream adds the least
            own = islice(self._seated(session).values(), DRAWS)
            yield from [x.server for x in own if x.server is not None]
        for step in self.random.sample(range(n), min(n, DRAWS if self.ways is None else n)):
            yield from self.cells.get((session.r.home + step) % self.set.cells, ())

    def _look(
        self,
        now: int,
        session: Session,
        drawn: Iterable[Server],
        fits: list[tuple[Server, int]],
        tight: list[Server],
        away: list[tuple[Server, int]],
    ) -> None:
        """Sort drawn holders into the first two that fit, with their rungs, and those that do not. Another
        zone's servers count where a crossing gains CROSS_GAIN times its price; where fronts agreed on zones,
        those that fit in others than the session's own are `away`."""
        price, worth = CROSS_GAIN * self.set.price_cross_zone, self.set.rung_worth
        far: list[tuple[Server, int]] = []
        shut: list[tuple[Server, int]] = []
        for server in drawn:
            if not self._may_send(now, session, server) or server.bad > BAD and now < server.retest:
                continue
            rung = self._fit(now, session, server)
            if not self._near(session, server.entry.zone):
                if rung >= 0 and server is not session.failed and server.entry.zone != self.set.zone:
                    away.append((server, rung))
            elif rung < 0:
                tight.append(server)
            elif server.bad > BAD and session.kind.effect != Effect.SAFE or server is session.failed:
                shut.append((server, rung))
            elif price and server.entry.zone != self.set.zone and self.ways is None:
                far.append((server, rung))
            else:
                fits.append((server, rung))
                if len(fits) == 2 or self._part(session, server, rung) < 1:
                    break
        best = max((worth[rung] for _, rung in fits), default=0.0)
        fits += [one for one in far if worth[one[1]] - best > price][: 2 - len(fits)]
        if not fits and not tight:
            fits += shut[:2]

    def _ask(self, now: int, server: Server) -> bool:
        """Look before the send where evidence is old, as a cub asks the next one; each request pays for
        some probes, so that their price stays bounded."""
        s = self.set
        age = max(FRESH, s.told_every + s.told_late) if s.reports_in_answers else PROBE_AGE
        known = max(server.link.seen_at + REPORT_LAG, server.probed)
        if not s.probes or self.credit < 1 or now - known < age:
            return False
        self.credit -= 1
        server.probed, server.asked = now, True
        self.out.append(Probe(server.entry.server))
        return True

    def _rate(self, kind: ClassSettings, rung: int) -> float:
        return self.set.rung_kb[rung] * kind.scale

    def _adds(self, session: Session, server: Server, rung: int) -> float:
        """kB that the session adds at a server: a live title's further viewer adds only a part."""
        return self._rate(session.kind, rung) * self._part(session, server, rung)

    def _part(self, session: Session, server: Server, rung: int) -> float:
        key = (session.r.cls, rung, session.r.title)
        return self.set.join_adds if session.kind.live and key in server.buckets else 1.0

    def _fit(self, now: int, session: Session, server: Server) -> int:
        """The highest rung that fits under the mark on link and uplink, or -1."""
        for rung in range(session.top, session.kind.floor - 1, -1):
            mark = self._mark(now, session.kind, rung, self._part(session, server, rung), server)
            kb = self._adds(session, server, rung)
            part = 1.0 if rung == session.kind.floor else RAISED
            if kb <= server.room(now, mark) and kb <= self._left_abroad(server, part):
                return rung
        return -1

    def _mark(self, now: int, kind: ClassSettings, rung: int, part: float, server: Server) -> float:
        """The mark, lower for rungs whose last step brings less worth per kB: the highest fitting rung would
        starve those who come next, at the other fronts too. A joining viewer adds a `part` of the rate."""
        if rung <= kind.floor:
            return MARK
        kb, worth = self.set.rung_kb, self.set.rung_worth
        step = (worth[rung] - worth[rung - 1]) / (kb[rung] - kb[rung - 1]) / part
        return MARK - self._spread(now, server) * max(0.0, 1 - step * kind.worth / kind.scale / self.best)

    def _spread(self, now: int, server: Server) -> float:
        """How far marks fall: by SPREAD where a newcomer just found no room, less the longer ago that is.
        Only where each choice is preceded by a look (_ask), and as far as its evidence is fresh: a bold
        mark on an old view fills links beyond what they give."""
        if not self.set.probes or self.set.reports_in_answers:
            return SPREAD
        keep: float = 0.5 ** ((now - self.short) / HALF) if self.short > NEVER else 0.0
        # few looks make all evidence of one server old: then counts how many pieces the mean of all rests on.
        # With one or none, nothing tells of uplinks, where no full answer shows that a mark was too bold
        old = 1.0 - 0.5 ** ((now - server.link.seen_at) / PROBE_AGE)
        vague = 1.0 / max(1.0, self.uplinks.pieces(now))
        keep = max(keep, vague + (old - vague) * self.looks / PROBES)
        return SPREAD * (CALM + (1 - CALM) * keep)

    # ---- guards

    def _holds(self, session: Session, server: Server) -> bool:
        return (server.entry.cell - session.r.home) % self.set.cells < session.r.holders

    def _may_send(self, now: int, session: Session, server: Server) -> bool:
        """The one place that says whether a send is legal. Every send passes it."""
        s = self.set
        if server.gone or not self._holds(session, server):
            return False  # drains: the grace is not used
        if session.attempts >= s.max_attempts or session.phase != Phase.HELD:
            return False
        if server.streams >= server.places and all(
            self._part(session, server, rung) == 1 for rung in range(session.top + 1)
        ):
            return False  # a further viewer of a stream that runs takes no place
        if session.kind.seats and len(self._seated(session)) >= session.kind.seats:
            return False
        if session.attempts and s.free_resends is not None:
            taken = sum(1 for t in self.taken if t > now - s.ratio_span)
            while self.resent and self.resent[0] <= now - s.ratio_span:
                self.resent.popleft()
            if len(self.resent) + 1 > s.free_resends + s.further_ratio * taken:
                return False
        # cold: told of its start, witnessed its failure, or started after it
        since = max(
            server.entry.started or NEVER, server.lost, NEVER if self.carried or s.turn is not None else self.start
        )
        return now >= since + s.warm_within or self._turn(now, server, since)

    def _gap(self, server: Server) -> int:
        """Least time between two set-ups of this front at a server while it is cold."""
        s = self.set
        pace = s.fall_multiple * server.places * s.cold_from * COLD_SHARE
        gap = s.warm_within / pace if pace > 0 else s.warm_within
        return int(min(s.fronts * gap, max(s.fall, gap)))

    def _turn(self, now: int, server: Server, since: int) -> bool:
        """Whether a set-up at a cold server is this front's to send: each window in which set-ups are
        counted is a slot, a seeded draw says whose, so that all fronts together keep the budget. The fewer
        wants (the others taken to be like this one) the likelier, else no turn would find work."""
        s = self.set
        if s.turn is not None:
            return self._slot(now, server, *s.turn)
        pace = s.fall_multiple * server.places * s.cold_from * COLD_SHARE
        if now < server.due:
            return False
        slot = (since, (now - since) // max(1, s.fall))
        if slot != server.slot:
            server.slot = slot
            recent = sum(1 for t in self.taken if t > now - s.fall)
            crowd = any(self._holds(x, server) for x in self.held.values())  # then at every front, perhaps
            wants = 1.0 if crowd else min(1.0, 2 * recent / s.cells)
            server.turn = self.random.random() * s.fronts * wants <= pace * s.fall / max(1, s.warm_within)
        return server.turn

    def _slot(self, now: int, server: Server, rank: int, offset: int) -> bool:
        """The same where fronts are numbered and share a clock: turns go round by slots longer than the
        window in which set-ups are counted and an attempt's way, so that no window sees more than two slots,
        or one where the cold budget is a single set-up and every other slot stays empty. No draw, so no
        chance of too many."""
        s = self.set
        budget = s.fall_multiple * server.places * s.cold_from * s.fall / max(1, s.warm_within)
        most = 1 + int(budget)
        number, into = divmod(now + offset, max(1, s.fall + 3 * s.connect_timeout))
        if now - into < self.start or most == 1 and number % 2:
            return False  # a turn of this slot may have gone to this front's earlier life
        number = number // 2 if most == 1 else number
        if server.slot != (number, 0):
            turns = max(1, most // 2)
            first = (number * turns + server.entry.cell) % s.fronts  # one after another
            server.slot = (number, 0)
            server.turns = (turns - 1 - (rank - first) % s.fronts) // s.fronts + 1
        return server.turns > 0

    # ---- sending

    def _send(self, now: int, session: Session, server: Server, rung: int) -> bool:
        if session.attempts:
            self.resent.append(now)
        gap = self._gap(server)
        # held ones are looked at every PUMP: a shorter gap is made up for, so that its share is used; never
        # ahead of one gap, else a warm server's many set-ups would shut it for long once it is cold
        server.due = min(now, max(server.due, now - (PUMP if gap < PUMP else 0))) + gap
        server.turns -= 1
        if server.bad > BAD:
            server.retest = now + int(RETEST * server.bad)  # a trial: no other until it tells
        self.held.pop(session.r.ref, None)
        session.phase, session.pair = Phase.OUT, ()
        session.attempts += 1
        self._reserve(now, session, server, rung)
        limit = session.deadline
        if session.kind.effect == Effect.SAFE:
            aim = session.began + session.kind.aim
            until = aim if aim > now + LIMIT_LEAST else session.deadline
            limit = max(LIMIT_LEAST, min(int(LIMIT_TOOK * self.took), int(LIMIT_SHARE * (until - now)))) + now
        self.out.append(Rate(session.r.ref, rung))
        session.limit = min(limit, session.deadline)
        self.out.append(Send(session.r.ref, server.entry.server, session.limit))
        return True

    def _reserve(self, now: int, session: Session, server: Server, rung: int) -> None:
        session.server, session.rung = server, rung
        self._book(now, session, server, 1)
        server.buckets.setdefault(self._key(session), {})[session.r.ref] = session

    def _release(self, now: int, session: Session) -> None:
        server, session.server = session.server, None
        if server is not None:
            bucket = server.buckets[self._key(session)]
            del bucket[session.r.ref]
            if not bucket:
                del server.buckets[self._key(session)]
            self._book(now, session, server, -1)

    def _book(self, now: int, session: Session, server: Server, n: int) -> None:
        kb = self._adds(session, server, session.rung)
        server.link.add(now, n * kb)
        server.rack.add(now, n * kb)
        if server.entry.zone != self.set.zone:
            self.abroad[server.entry.zone] = self.abroad.get(server.entry.zone, 0.0) + n * kb
        if self._part(session, server, session.rung) == 1:
            server.streams += n
        seated = self.seats.setdefault((session.r.cls, session.r.title), {})
        if n > 0:
            seated[session.r.ref] = session
        else:
            del seated[session.r.ref]
        if not seated:
            del self.seats[session.r.cls, session.r.title]

    def _seated(self, session: Session) -> dict[int, Session]:
        return self.seats.get((session.r.cls, session.r.title), {})

    def _key(self, session: Session) -> tuple[int, int, int]:
        return session.r.cls, session.rung, session.r.title if session.kind.live else 0

    # ---- rungs of playing sessions

    def _step(self, now: int, session: Session, rung: int) -> None:
        server = session.server
        assert server is not None
        session.lowered = now if rung < session.rung else session.lowered
        self._release(now, session)
        self._reserve(now, session, server, rung)
        session.stepped = now
        self.out.append(Rate(session.r.ref, rung))

    def _steps(self, now: int, server: Server, step: int) -> list[tuple[float, float, list[Session]]]:
        """What can go a rung up (`step` 1) or down (-1): (worth per kB, kB, the sessions), best first."""
        s = self.set
        found: list[tuple[float, float, list[Session]]] = []
        for (cls, rung, _), bucket in server.buckets.items():
            kind, new = s.classes[cls], rung + step
            if not kind.floor <= new <= kind.top:
                continue
            worth = abs(s.rung_worth[new] - s.rung_worth[rung])
            able = [x for x in bucket.values() if self._able(now, x, step, worth)]
            groups = [[x] for x in able]
            if kind.live:
                groups = [able] if able and (step > 0 or len(able) == len(bucket)) else []
            for group in groups:
                n, join = len(group), s.join_adds if kind.live else 1.0
                joins = self._part(group[0], server, new) < 1
                stays = kind.live and n < len(bucket)
                kb = self._rate(kind, new) * (join * n if joins else 1 + join * (n - 1)) - self._rate(kind, rung) * (
                    join * n if stays else 1 + join * (n - 1)
                )
                if kb * step > 0:
                    found.append((worth * kind.worth * n / abs(kb), abs(kb), group))
        found.sort(key=lambda one: (-step * one[0], -one[1], one[2][0].r.ref))
        return found

    def _able(self, now: int, x: Session, step: int, worth: float) -> bool:
        """Whether a session may step now: once in PACE, and up only where the time left earns the price."""
        if x.phase != Phase.PLAYING or step < 0:
            return x.phase == Phase.PLAYING and now - x.lowered >= PACE
        earned = worth * (x.ends - now if x.r.hint else PACE) / SECOND
        return x.top > x.rung and now - x.stepped >= PACE and earned > SWITCH_GAIN * self.set.switch_s

    def _lower(self, now: int, server: Server, kb: float, worth: float, whole: bool) -> bool:
        """Lower playing sessions one rung, those first that lose least worth per kB and none that loses
        `worth` or more, until `kb` are free; with `whole` only where that much can be freed. Else a step
        that frees more is drawn by the part: many fronts with a session each would all lower, or none."""
        steps: list[Session] = []
        for lost, freed, group in self._steps(now, server, -1):
            if kb <= 0 or lost >= worth or not whole and self.random.random() * freed > kb:
                break
            steps += group
            kb -= freed
        if whole and kb > 0:
            return False
        for one in steps:
            self._step(now, one, one.rung - 1)
        return bool(steps) or kb <= 0

    def _make_room(self, now: int, session: Session, server: Server) -> bool:
        """Let a held session in where those that play lose less worth per kB than it brings."""
        kb = self._adds(session, server, session.kind.floor)
        if kb > self._left_abroad(server):
            return False
        gain = self.set.rung_worth[session.kind.floor] * session.kind.worth / kb
        return self._lower(now, server, kb - server.room(now, MARK), gain, True)

    def _adjust(self, now: int, server: Server, at: int) -> None:
        """Bring playing sessions nearer to what fits, by this front's share of what is asked; evidence of
        a time before the last step here is not acted on twice."""
        load = server.load(now)
        if at <= server.acted or not server.streams:
            return
        if load >= SHED_AT:
            server.acted = now
            self._lower(now, server, server.link.own * (1 - SHED_TO / load), math.inf, False)
        elif load < self._up_mark(now, server) and not (self.held or server.gone or server.bad > BAD):
            self._raise(now, server)

    def _up_mark(self, now: int, server: Server) -> float:
        return MARK - UP_SPREAD * self._spread(now, server)

    def _raise(self, now: int, server: Server) -> None:
        """Use lasting room: raise what gains most per kB, this front's share of the room as its chance."""
        up = self._up_mark(now, server)
        room = min(
            m.cap * (up - m.load(now)) * min(1.0, m.own / m.cap / max(m.load(now), 1e-9))
            for m in (server.link, server.rack)
        )
        for _, kb, group in self._steps(now, server, 1):
            if kb <= server.room(now, MARK) and kb <= self._left_abroad(server, RAISED):
                server.acted = now
                if self.random.random() * kb <= room:
                    for one in group:
                        self._step(now, one, one.rung + 1)
                return

    # ---- what becomes of attempts

    def _opened(self, now: int, event: Opened) -> None:
        session = self.sessions.get(event.ref)
        server = session.server if session is not None and not session.left else None
        if session is None or server is None or session.phase != Phase.OUT or event.attempt != session.attempts - 1:
            return
        self.took += TOOK_WEIGH * (min(event.took, SECOND) - self.took)
        session.phase, session.ends = Phase.PLAYING, now + (session.r.hint or 0)
        self._played(session.r.title)
        self._good(now, server)

    def _played(self, title: int) -> None:
        self.titles.pop(title, None)
        self.titles[title] = None
        if len(self.titles) > TITLES:
            del self.titles[next(iter(self.titles))]

    def _outcome(self, now: int, event: Outcome) -> None:
        server = self.servers.get(event.server)
        session = self.sessions.get(event.ref)
        if session is None or session.phase == Phase.HELD or event.attempt != session.attempts - 1:
            return
        playing = session.phase == Phase.PLAYING
        self._release(now, session)
        if server is not None and event.report is not None:
            self._learn(now, server, event.report)  # after the release: what has ended is not lowered
        code = event.code
        if server is not None:
            # a time-out found late is this front's stall, no fault of the server
            stalled = code == Code.TIMEOUT and now > session.limit + LIMIT_LEAST
            odd = session.r.title not in self.titles  # no server may hold it: then every one says error
            if code in BROKEN and not stalled or code == Code.ERROR and not (playing or odd):
                unclear = not playing and code in (Code.TIMEOUT, Code.RESET)
                self._failed(now, server, code, UNCLEAR if unclear else WEIGH)
            elif code == Code.FULL and server.link.load(now) < 1:
                server.link.learn(now, 1.0, now, False)  # at its end, until other evidence
        if event.over or session.left or playing:
            self._forget(session)
        else:
            session.phase, session.failed = Phase.HELD, server
            if code == Code.MOOT and self.resent and session.attempts > 1:
                self.resent.pop()
            if session.kind.effect != Effect.SAFE and code not in UNRUN:
                self.out.append(Fail(session.r.ref))
                self._forget(session)
            elif now >= session.deadline or session.attempts >= self.set.max_attempts:
                self._refuse(session)
            elif code == Code.FULL or not self._place(now, session):
                self._hold(now, session)
        if server is not None and (playing or event.over):
            self._retry(now, server)

    def _left(self, now: int, event: Left) -> None:
        session = self.sessions.get(event.ref)
        if session is not None and session.phase == Phase.HELD:
            self._forget(session)
        elif session is not None:
            session.left, session.phase = True, Phase.OUT  # booked until its outcome, its rung untouched

    # ---- queue

    def _retry(self, now: int, server: Server) -> None:
        """A session ended at a server: retry those held at the head whose title it holds."""
        for session in list(self.held.values())[:SCAN]:
            if self._holds(session, server):
                self._place(now, session)

    def _wake(self, now: int, event: Wake) -> None:
        if event.token == 0:
            self.pumping = bool(self.held)
            if self.pumping:
                self.out.append(SetTimer(now + PUMP, 0))
            for session in list(self.held.values()):
                self._place(now, session)
        elif event.token == 1:
            self.out.append(Watch(True))
        else:
            held = self.held.get(event.token - 2)
            if held is not None and now >= held.deadline:
                self._refuse(held)

    # ---- evidence

    def _learn(self, now: int, server: Server, report: Report) -> None:
        at = now - REPORT_LAG
        for meter, value in ((server.link, report.link), (server.rack, report.uplink)):
            if value is not None:
                meter.learn(now, value, at)
        self._adjust(now, server, at)

    def _note(self, now: int, event: Note) -> None:
        session = self.sessions.get(event.ref)
        server = self.servers.get(event.server)
        value = event.value
        if not math.isfinite(value) or value < 0:
            return
        if event.kind == NoteKind.RUNG:
            placed = session.server if session is not None else None
            if session is not None and placed is not None and value < len(self.set.rung_kb):
                self._release(now, session)
                self._reserve(now, session, placed, int(value))
            return
        if server is None:
            return
        at = now - self.set.told_late
        if event.kind in (NoteKind.LINK, NoteKind.UPLINK):
            if session is not None and now - session.began < SECOND:
                at = now  # at set-up it speaks of the present
            meter = server.link if event.kind == NoteKind.LINK else server.rack
            meter.learn(now, value, at)
            self._adjust(now, server, at)
        elif event.kind == NoteKind.SHARE:
            if value < SILENT:  # nothing comes any more: a stopped server, not a full link
                return self._failed(now, server, Code.ERROR)
            meter = server.rack if server.rack.load(now) > server.link.load(now) else server.link
            if value < SHED_AT:
                if meter.load(now) < 1 / value:
                    meter.learn(now, 1 / value, at, False)
                self._adjust(now, server, at)
            elif server.link.seen > 1:
                server.link.learn(now, 1.0, at, False)

    # ---- health

    def _good(self, now: int, server: Server) -> None:
        if server.bad > BAD >= server.bad * (1 - WEIGH):
            self.out.append(Log(f"server {server.entry.server} trusted again"))
        if server.lost > NEVER and server.bad > BAD:
            server.lost = now  # it lost its sessions and answers again: cold from here at the latest
        server.bad *= 1 - WEIGH
        server.retest = now

    def _failed(self, now: int, server: Server, code: int, weigh: float = WEIGH) -> None:
        if server.bad <= BAD < server.bad + weigh * (1 - server.bad):
            self.out.append(Log(f"server {server.entry.server} on trial: outcome {code}"))
        if code != Code.ERROR:
            server.lost = now
        server.bad += weigh * (1 - server.bad)
        server.retest = now + int(RETEST * server.bad)

    def _probed(self, now: int, event: Probed) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            server.asked = False
            if event.code == Code.OK and event.report is not None:
                self._learn(now, server, event.report)
            self._retry(now, server)
