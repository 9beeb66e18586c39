"""Every decision of a front. The types it takes and gives are in copperyard/interface.py.

After the multiple bitrate form of the Tiger paper (sections 3.2, 4.1.3 and 4.2): a front rules a
start out from its own view of link and uplink where it can, and holds what does not fit at the
head of a queue. docs/design.md tells what was kept, changed and added, and when each acts.

Parts: Meter and Server (ledger), Health (verdicts), Guards (is a send legal), Controller (queue
and dispatch). Nothing here reads a clock, and no set is ever iterated.
"""

from __future__ import annotations

import math
import random
from collections import deque
from enum import IntEnum

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
)

MS = 1_000_000
SECOND = 1_000_000_000

MARK = 0.9  # fraction of a link or uplink that set-ups may fill; the paper advises 90% (section 5)
SHED_AT = 0.98  # fraction from which playing sessions are lowered: under this share worth is lost
UP_MARK = 0.8  # fraction that raising playing sessions may fill; the rest is kept for newcomers
PACE = 5 * SECOND  # a session is lowered or raised at most once in this time (the design's figure)
PUMP = 250 * MS  # held sessions are retried this often besides at session ends
SCAN = 16  # held sessions looked at when a session ends, so that one event stays cheap
REPORT_LAG = 400 * MS  # how old a report's figures are taken to be; settings do not tell
SWITCH_GAIN = 2.0  # raising a rung must earn this many times its price over the time left
LIMIT_TOOK = 5.0  # an attempt's time limit over the usual time of a set-up
LIMIT_LEAST = 250 * MS  # least time limit: a cold or busy server needs that much
LIMIT_SHARE = 0.6  # most of the time left that one attempt may use, so that another still fits
BAD = 0.2  # recent share of failures from which a server is kept to single trials
WEIGH = 0.3  # weight of the newest attempt in that share
RETEST = SECOND  # first wait before a trial of a bad server; doubles with each failure
RETEST_MOST = 8 * SECOND  # longest such wait: outages seen last 5 to 30 s
COLD_SHARE = 0.5  # part of the cold budget that fronts use: chance and unequal work need the rest
PROBE_AGE = SECOND  # evidence older than this is renewed by a probe before a choice, where that pays
SILENT = 0.2  # a delivered share below this is a stopped server, not a full link


class Phase(IntEnum):
    """Where a session stands."""

    HELD = 0
    OUT = 1
    PLAYING = 2


class Meter:
    """Ledger of one link or uplink: the last report or note, plus this front's own changes since."""

    __slots__ = ("cap", "own", "seen", "seen_own", "seen_at", "trail", "other_fronts")

    def __init__(self, cap: float, fronts: int) -> None:
        self.cap, self.other_fronts = cap, fronts - 1
        self.own = 0.0
        self.seen: float | None = None
        self.seen_own, self.seen_at = 0.0, -1
        self.trail: deque[tuple[int, float]] = deque()

    def add(self, now: int, kb: float) -> None:
        self.own = max(0.0, self.own + kb)
        self.trail.append((now, self.own))
        if len(self.trail) > 64:
            self.trail.popleft()

    def learn(self, value: float, at: int) -> None:
        """Take evidence that speaks of the time `at`; older evidence than held is dropped."""
        if at < self.seen_at:
            return
        own = self.trail[0][1] if self.trail else self.own
        while self.trail and self.trail[0][0] <= at:
            own = self.trail.popleft()[1]
        self.trail.appendleft((at, own))
        self.seen, self.seen_own, self.seen_at = value, own, at

    def used(self) -> float:
        """kB asked of it. What this front added since the evidence, the others are taken to have too:
        notes reach all fronts at once, and each would else fill the same room (herding)."""
        if self.seen is None:
            return self.own * (1 + self.other_fronts)
        other = max(0.0, self.seen * self.cap - self.seen_own)
        return other + self.own + self.other_fronts * max(0.0, self.own - self.seen_own)

    def load(self) -> float:
        return self.used() / self.cap

    def room(self, mark: float) -> float:
        return mark * self.cap - self.used()


class Session:
    """One request and what came of it."""

    __slots__ = ("ref", "cls", "kind", "top", "deadline", "title", "home", "holders", "hint", "rung", "server",
                 "phase", "attempts", "began", "ends", "stepped", "left", "trial")

    def __init__(self, r: Request, kind: ClassSettings, top: int, now: int, tick: int) -> None:
        self.ref, self.cls, self.kind, self.title = r.ref, r.cls, kind, r.title
        self.home, self.holders, self.hint = r.home, r.holders, r.hint
        self.top = min(r.top, kind.top, top)
        self.deadline = min(r.deadline, now + kind.deadline) - tick
        self.rung = kind.floor
        self.server: Server | None = None
        self.phase = Phase.HELD
        self.attempts = 0
        self.began, self.ends, self.stepped = now, 0, -PACE
        self.left = self.trial = False


class Server:
    """Ledger and standing of one server. Buckets hold this front's playing sessions that are alike:
    of one class and rung, and where titles are live also of one title, as those share a stream."""

    __slots__ = ("id", "link", "rack", "zone", "cell", "places", "state", "started", "streams", "buckets",
                 "shed_at", "fails", "bad", "retest", "trial_out", "lost", "sent", "probed", "full_at")

    def __init__(self, e: ServerEntry, link: Meter, rack: Meter) -> None:
        self.id, self.link, self.rack = e.server, link, rack
        self.zone, self.cell, self.places, self.state, self.started = e.zone, e.cell, 1, e.state, e.started
        self.streams = 0
        self.buckets: dict[tuple[int, int, int], dict[int, Session]] = {}
        self.shed_at = self.probed = self.sent = -1 << 62
        self.full_at = -1 << 62
        self.fails, self.bad, self.retest = 0, 0.0, 0
        self.trial_out = False
        self.lost = 0

    def load(self) -> float:
        return max(self.link.load(), self.rack.load())

    def room(self, mark: float) -> float:
        return min(self.link.room(mark), self.rack.room(mark))


class Controller:
    """One front. handle() takes one event and gives the actions to do, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set = settings
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}
        self.cells: dict[int, list[Server]] = {}
        self.racks: dict[int, Meter] = {}
        self.sessions: dict[int, Session] = {}
        self.held: dict[int, Session] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.taken: deque[int] = deque()
        self.resent: deque[int] = deque()
        self.start = -1
        self.carried = False
        self.took = 100.0 * MS
        self.pumps = 0
        self.out: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Decide on one event; pure but for this object's own state."""
        self.out = []
        if self.start < 0:
            self.start = now
            self.out.append(SetTimer(now + PUMP, 0))
            if self.set.subscribe:
                self.out.append(Watch(True))
        if isinstance(event, Request):
            self._request(now, event)
        elif isinstance(event, Outcome):
            self._outcome(now, event)
        elif isinstance(event, Note):
            self._note(now, event)
        elif isinstance(event, Opened):
            self._opened(now, event)
        elif isinstance(event, Wake):
            self._wake(now, event)
        elif isinstance(event, ServerList):
            self._list(now, event)
        elif isinstance(event, Probed):
            self._probed(now, event)
        elif isinstance(event, Left):
            self._left(event)
        elif isinstance(event, Carried):
            self._carried(now, event)
        return self.out

    # ---- server list

    def _list(self, now: int, event: ServerList) -> None:
        if event.kind == ListKind.FAILED:
            if self.set.subscribe:
                self.out.append(SetTimer(now + SECOND, 1))
            return
        if event.kind not in (ListKind.FULL, ListKind.DELTA, ListKind.CACHED):
            return
        named = {}
        for entry in event.entries:
            named[entry.server] = True
            self._entry(now, entry)
        if event.kind != ListKind.DELTA:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE

    def _entry(self, now: int, e: ServerEntry) -> None:
        server = self.servers.get(e.server)
        link_kb = (e.weight if 0 < e.weight < 1e6 else 1.0) * self.set.weight_kb
        if server is None:
            rack = self.racks.get(e.cell % self.set.racks)
            if rack is None:
                rack = Meter(self.set.uplink_kb or math.inf, self.set.fronts)
                self.racks[e.cell % self.set.racks] = rack
            server = Server(e, Meter(link_kb, self.set.fronts), rack)
            self.servers[e.server] = server
            self.cells.setdefault(e.cell, []).append(server)
        elif e.started != server.started and e.started:
            # restarted: what was known of its link is of its life before
            server.link.seen, server.fails, server.bad, server.retest = None, 0, 0.0, 0
        if server.cell != e.cell:
            self.cells[server.cell].remove(server)
            self.cells.setdefault(e.cell, []).append(server)
            server.cell = e.cell
        server.link.cap = link_kb
        server.zone, server.state, server.started = e.zone, e.state, e.started
        kinds = self.set.places_by_kind
        server.places = kinds[e.kind] if e.kind < len(kinds) else min(kinds)

    # ---- requests

    def _request(self, now: int, r: Request) -> None:
        if r.ref in self.sessions or r.cls >= len(self.set.classes):
            return
        self.taken.append(now)
        session = Session(r, self.set.classes[r.cls], len(self.set.rung_kb) - 1, now, self.set.tick)
        self.sessions[r.ref] = session
        if session.top < session.kind.floor:
            self._refuse(session)  # no rung is both allowed and usable: waiting cannot help
        elif not self._place(now, session):
            self._hold(now, session)

    def _carried(self, now: int, event: Carried) -> None:
        r = event.request
        server = self.servers.get(event.server)
        if server is None or r.ref in self.sessions or r.cls >= len(self.set.classes):
            return
        self.carried = True
        session = Session(r, self.set.classes[r.cls], len(self.set.rung_kb) - 1, now, self.set.tick)
        session.attempts = 1
        self.sessions[r.ref] = session
        self._reserve(now, session, server, session.rung)
        self._start_play(now, session)

    def _hold(self, now: int, session: Session) -> None:
        session.phase = Phase.HELD
        self.held[session.ref] = session
        self.out.append(SetTimer(max(now, session.deadline), session.ref + 2))

    def _refuse(self, session: Session) -> None:
        again = self.set.max_retry_after if self.set.retry_after else 0
        self.out.append(Refuse(session.ref, again))
        self._forget(session)

    def _forget(self, session: Session) -> None:
        self.held.pop(session.ref, None)
        self.sessions.pop(session.ref, None)

    # ---- choice of a server

    def _place(self, now: int, session: Session) -> bool:
        """Send the session to the less used of two drawn holders that fit, at the highest rung that fits."""
        if now >= session.deadline:
            return False
        legal: list[Server] = []
        trials: list[Server] = []
        for j in range(min(session.holders, self.set.cells)):
            for server in self.cells.get((session.home + j) % self.set.cells, ()):
                if self._may_send(now, session, server):
                    if server.bad <= BAD:
                        legal.append(server)
                    elif now >= server.retest and not server.trial_out:
                        trials.append(server)
        safe = session.kind.effect == Effect.SAFE
        if trials and (safe and session.attempts == 0 or not legal):
            server = trials[self.random.randrange(len(trials))]
            rung = self._fit(session, server)
            if rung >= 0:
                return self._send(now, session, server, rung)
        fits: list[tuple[Server, int]] = []
        for server in legal:
            rung = self._fit(session, server)
            if rung >= 0:
                fits.append((server, rung))
        if fits:
            server, rung = self._draw(session, fits)
            return self._send(now, session, server, rung)
        if legal:
            server = self._draw(session, [(one, 0) for one in legal])[0]
            rung = session.kind.floor
            if self._make_room(now, session, server, self._adds(session, server, rung)):
                return self._send(now, session, server, rung)
        return False

    def _draw(self, session: Session, fits: list[tuple[Server, int]]) -> tuple[Server, int]:
        near = [one for one in fits if one[0].zone == self.set.zone]
        if near and self.set.price_cross_zone > 0:
            worth = self.set.rung_worth
            best = max(rung for _, rung in near)
            if max(worth[rung] for _, rung in fits) - worth[best] < 2 * self.set.price_cross_zone:
                fits = near
        if session.kind.live and self.set.join_adds < 1:
            joined = [one for one in fits if (session.cls, one[1], session.title) in one[0].buckets]
            fits = joined or fits
        one = fits[self.random.randrange(len(fits))]
        two = fits[self.random.randrange(len(fits))]
        if one[1] != two[1]:
            return one if one[1] > two[1] else two
        return one if one[0].load() <= two[0].load() else two

    def _rate(self, kind: ClassSettings, rung: int) -> float:
        return self.set.rung_kb[rung] * kind.scale

    def _adds(self, session: Session, server: Server, rung: int) -> float:
        """kB that the session adds at a server: a live title's further viewer adds only a part."""
        rate = self._rate(session.kind, rung)
        if session.kind.live and server.buckets.get((session.cls, rung, session.title)):
            return rate * self.set.join_adds
        return rate

    def _fit(self, session: Session, server: Server) -> int:
        """The highest rung that fits under the mark on link and uplink, or -1."""
        room = server.room(MARK)
        for rung in range(session.top, session.kind.floor - 1, -1):
            if self._adds(session, server, rung) <= room:
                return rung
        return -1

    # ---- guards

    def _may_send(self, now: int, session: Session, server: Server) -> bool:
        """The one place that says whether a send is legal. Every send passes it."""
        s = self.set
        if server.state != ServerState.READY:
            return False  # drains: the grace is not used
        if session.attempts >= s.max_attempts or session.phase != Phase.HELD:
            return False
        if server.streams >= server.places:
            return False
        if session.kind.seats and self.seats.get((session.cls, session.title), 0) >= session.kind.seats:
            return False
        if session.attempts and s.free_resends is not None:
            while self.taken and self.taken[0] <= now - s.ratio_span:
                self.taken.popleft()
            while self.resent and self.resent[0] <= now - s.ratio_span:
                self.resent.popleft()
            if len(self.resent) + 1 > s.free_resends + s.further_ratio * len(self.taken):
                return False
        if self._cold(now, server):
            pace = s.fall_multiple * server.places * s.cold_from * COLD_SHARE
            gap = s.fronts * s.warm_within / pace if pace > 0 else s.warm_within
            # right after the own start, what was sent before is forgotten: count it as sent just then
            if now - max(server.sent, self.start) < gap:
                return False
        return True

    def _cold(self, now: int, server: Server) -> bool:
        """Told of its start, witnessed its failure, or started after it."""
        warm = self.set.warm_within
        if server.started and now < server.started + warm:
            return True
        if server.lost and now < server.lost + warm:
            return True
        return not self.carried and now < self.start + warm

    # ---- sending

    def _send(self, now: int, session: Session, server: Server, rung: int) -> bool:
        if session.attempts:
            self.resent.append(now)
        session.trial = server.bad > BAD
        server.trial_out = server.trial_out or session.trial
        server.sent = now
        self.held.pop(session.ref, None)
        session.phase = Phase.OUT
        session.attempts += 1
        self._reserve(now, session, server, rung)
        limit = session.deadline
        if session.kind.effect == Effect.SAFE:
            aim = session.began + session.kind.aim
            until = aim if aim > now + LIMIT_LEAST else session.deadline
            limit = max(LIMIT_LEAST, min(int(LIMIT_TOOK * self.took), int(LIMIT_SHARE * (until - now)))) + now
        self.out.append(Rate(session.ref, rung))
        self.out.append(Send(session.ref, server.id, min(limit, session.deadline)))
        return True

    def _reserve(self, now: int, session: Session, server: Server, rung: int) -> None:
        kb = self._adds(session, server, rung)
        session.server, session.rung = server, rung
        key = (session.cls, rung, session.title if session.kind.live else 0)
        server.buckets.setdefault(key, {})[session.ref] = session
        server.link.add(now, kb)
        server.rack.add(now, kb)
        server.streams += 1
        if session.kind.seats:
            seat = (session.cls, session.title)
            self.seats[seat] = self.seats.get(seat, 0) + 1

    def _release(self, now: int, session: Session) -> None:
        server = session.server
        if server is None:
            return
        key = (session.cls, session.rung, session.title if session.kind.live else 0)
        bucket = server.buckets[key]
        del bucket[session.ref]
        if not bucket:
            del server.buckets[key]
        kb = self._adds(session, server, session.rung)
        server.link.add(now, -kb)
        server.rack.add(now, -kb)
        server.streams -= 1
        session.server = None
        if session.trial:
            session.trial = server.trial_out = False
        if session.kind.seats:
            seat = (session.cls, session.title)
            self.seats[seat] -= 1
            if not self.seats[seat]:
                del self.seats[seat]

    def _start_play(self, now: int, session: Session) -> None:
        session.phase = Phase.PLAYING
        session.ends = now + session.hint if session.hint is not None else 0

    # ---- rungs of playing sessions

    def _step(self, now: int, session: Session, rung: int) -> None:
        server = session.server
        assert server is not None
        trial, session.trial = session.trial, False
        self._release(now, session)
        self._reserve(now, session, server, rung)
        session.trial = trial
        session.stepped = now
        self.out.append(Rate(session.ref, rung))

    def _lowerable(self, now: int, server: Server) -> list[tuple[float, float, list[Session]]]:
        """What can be lowered at a server: (worth lost per kB, kB freed, the sessions), cheapest first."""
        s, found = self.set, []
        for (cls, rung, title), bucket in server.buckets.items():
            kind = s.classes[cls]
            if rung <= kind.floor:
                continue
            able = [x for x in bucket.values() if x.phase == Phase.PLAYING and now - x.stepped >= PACE]
            drop = (s.rung_worth[rung] - s.rung_worth[rung - 1]) * kind.worth
            high, low = self._rate(kind, rung), self._rate(kind, rung - 1)
            if not kind.live:
                for x in able:
                    found.append((drop / (high - low), high - low, [x]))
            elif len(able) == len(bucket):
                n, join = len(able), s.join_adds
                under = (cls, rung - 1, title) in server.buckets
                freed = high * (1 + join * (n - 1)) - low * (join * n if under else 1 + join * (n - 1))
                if freed > 0:
                    found.append((drop * n / freed, freed, able))
        found.sort(key=lambda one: (one[0], -one[1], one[2][0].ref))
        return found

    def _make_room(self, now: int, session: Session, server: Server, need: float) -> bool:
        """Lower playing sessions to let a held one in, where they lose less worth per kB than it brings."""
        short = need - server.room(MARK)
        gain = self.set.rung_worth[session.kind.floor] * session.kind.worth / need
        steps = []
        for lost, freed, group in self._lowerable(now, server):
            if lost >= gain:
                break
            steps.append(group)
            short -= freed
            if short <= 0:
                break
        if short > 0:
            return False
        for group in steps:
            for one in group:
                self._step(now, one, one.rung - 1)
        return True

    def _shed(self, now: int, server: Server, at: int) -> None:
        """Lower this front's share of what is asked over the mark. Evidence of a time before the last
        lowering here is not acted on twice."""
        load = server.load()
        if load < SHED_AT or at <= server.shed_at:
            return
        need = server.link.own * (1 - MARK / load)
        for _, freed, group in self._lowerable(now, server):
            if need <= 0:
                break
            need -= freed
            server.shed_at = now
            for one in group:
                self._step(now, one, one.rung - 1)

    def _raise(self, now: int, server: Server) -> None:
        """Use lasting room: raise the playing session that gains most per kB, within this front's share."""
        s = self.set
        if server.state != ServerState.READY or server.bad > BAD or self.held:
            return
        room = server.room(UP_MARK) / s.fronts
        best: tuple[float, float, list[Session]] | None = None
        for (cls, rung, title), bucket in server.buckets.items():
            kind = s.classes[cls]
            if rung >= len(s.rung_kb) - 1:
                continue
            gain = s.rung_worth[rung + 1] - s.rung_worth[rung]
            able = []
            for x in bucket.values():
                left = (x.ends - now) / SECOND if x.ends else PACE / SECOND
                if x.phase == Phase.PLAYING and x.top > rung and now - x.stepped >= PACE \
                        and gain * left > SWITCH_GAIN * s.switch_s:
                    able.append(x)
            if not able:
                continue
            high, low = self._rate(kind, rung + 1), self._rate(kind, rung)
            if kind.live:
                n, join = len(able), s.join_adds
                over = (cls, rung + 1, title) in server.buckets
                cost = high * (join * n if over else 1 + join * (n - 1))
                cost -= low * (join * n if n < len(bucket) else 1 + join * (n - 1))
            else:
                able, cost, n = able[:1], high - low, 1
            if cost <= room:
                value = gain * kind.worth * n / max(cost, 1e-9)
                if best is None or value > best[0]:
                    best = (value, cost, able)
        if best is not None:
            for one in best[2]:
                self._step(now, one, one.rung + 1)

    # ---- what becomes of attempts

    def _opened(self, now: int, event: Opened) -> None:
        session = self.sessions.get(event.ref)
        if session is None or session.phase != Phase.OUT or event.attempt != session.attempts - 1:
            return
        self.took += 0.1 * (min(event.took, SECOND) - self.took)
        self._start_play(now, session)
        server = session.server
        assert server is not None
        if session.trial:
            session.trial = server.trial_out = False
        self._good(now, server)

    def _outcome(self, now: int, event: Outcome) -> None:
        server = self.servers.get(event.server)
        if server is not None and event.report is not None:
            self._learn(now, server, event.report)
        session = self.sessions.get(event.ref)
        if session is None or session.phase == Phase.HELD or event.attempt != session.attempts - 1:
            return
        playing = session.phase == Phase.PLAYING
        self._release(now, session)
        code = event.code
        if server is not None:
            if code in (Code.TIMEOUT, Code.CONNECT_FAILED, Code.RESET) or code == Code.ERROR and not playing:
                self._failed(now, server, code)
            elif code == Code.FULL:
                self._full(now, server)
        if event.over or session.left:
            self._forget(session)
        elif playing:
            self._forget(session)
        else:
            session.phase = Phase.HELD
            if code == Code.MOOT and self.resent and session.attempts > 1:
                self.resent.pop()
            proven = code in (Code.FULL, Code.CONNECT_FAILED, Code.MOOT)
            if session.kind.effect != Effect.SAFE and not proven:
                self.out.append(Fail(session.ref))
                self._forget(session)
            elif now >= session.deadline or session.attempts >= self.set.max_attempts:
                self._refuse(session)
            elif not self._place(now, session):
                self._hold(now, session)
        if server is not None and (playing or event.over):
            self._retry(now, server)

    def _left(self, event: Left) -> None:
        session = self.sessions.get(event.ref)
        if session is None:
            return
        if session.phase == Phase.HELD:
            self._forget(session)
        else:
            session.left = True  # its attempt still counts until its outcome

    # ---- queue

    def _retry(self, now: int, server: Server) -> None:
        """A session ended at a server: retry those held at the head whose title it holds."""
        looked = 0
        for session in list(self.held.values()):
            looked += 1
            if looked > SCAN:
                break
            if (server.cell - session.home) % self.set.cells < session.holders:
                self._place(now, session)

    def _wake(self, now: int, event: Wake) -> None:
        if event.token == 0:
            self.out.append(SetTimer(now + PUMP, 0))
            self.pumps += 1
            for session in list(self.held.values()):
                if now >= session.deadline:
                    self._refuse(session)
                else:
                    self._place(now, session)
            if self.pumps % 4 == 0:
                for server in self.servers.values():
                    self._raise(now, server)
        elif event.token == 1:
            self.out.append(Watch(True))
        else:
            held = self.held.get(event.token - 2)
            if held is not None and now >= held.deadline:
                self._refuse(held)

    # ---- evidence

    def _learn(self, now: int, server: Server, report: Report) -> None:
        at = now - REPORT_LAG
        if report.link is not None and 0 <= report.link:
            server.link.learn(min(report.link, 4.0), at)
        if report.uplink is not None and 0 <= report.uplink:
            server.rack.learn(min(report.uplink, 4.0), at)
        self._shed(now, server, at)

    def _note(self, now: int, event: Note) -> None:
        session = self.sessions.get(event.ref)
        server = self.servers.get(event.server)
        value = event.value
        if not math.isfinite(value) or value < 0:
            return
        if event.kind == NoteKind.RUNG:
            if session is not None and session.server is not None and 0 <= value < len(self.set.rung_kb):
                if int(value) != session.rung:
                    placed = session.server
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
            meter.learn(min(value, 4.0), at)
            self._shed(now, server, at)
        elif event.kind == NoteKind.SHARE:
            if value < SILENT:
                return
            over = 1 / value
            meter = server.rack if server.rack.load() > server.link.load() else server.link
            if value < 0.98:
                if meter.load() < over:
                    meter.learn(over, at)
                self._shed(now, server, at)
            elif server.link.seen is not None and server.link.seen > 1:
                server.link.learn(1.0, at)

    def _full(self, now: int, server: Server) -> None:
        """Refused as full: the link is at its end until a session ends there or a report says otherwise."""
        if server.link.load() < 1:
            server.link.learn(1.0, now)

    # ---- health

    def _good(self, now: int, server: Server) -> None:
        if server.bad > BAD >= server.bad * (1 - WEIGH):
            self.out.append(Log(f"server {server.id} trusted again"))
        if server.lost and server.fails:
            server.lost = now  # it lost its sessions and answers again: cold from here at the latest
        server.fails = 0
        server.bad *= 1 - WEIGH
        server.retest = now

    def _failed(self, now: int, server: Server, code: int) -> None:
        if server.bad <= BAD:
            self.out.append(Log(f"server {server.id} on trial: outcome {code}"))
        if code != Code.ERROR:
            server.lost = now
        server.bad += WEIGH * (1 - server.bad)
        wait = min(RETEST << min(server.fails, 8), RETEST_MOST)
        if now >= server.retest or server.fails == 0:
            server.fails += 1
            server.retest = now + wait

    def _probed(self, now: int, event: Probed) -> None:
        server = self.servers.get(event.server)
        if server is not None and event.code == Code.OK and event.report is not None:
            self._learn(now, server, event.report)
