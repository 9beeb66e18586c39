"""A node without its sockets: viewers on one side, media hosts on the other, the module in the middle.

The I/O calls a method for each thing that happens, with its clock, and then carries out what `take` gives. Every
call about a session is the module's; what is here translates, keeps the proofs apart (what never left, what may
have run) and sees to it that each set-up gets one answer.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from ...decide import Controller
from ...interface import (
    Action,
    Cancel,
    Carried,
    Code,
    Fail,
    Left,
    Log,
    Move,
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
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Wake,
    Watch,
)
from ...membership.fleet import Fleet
from ...protocol import rtsp
from ...protocol.node import viewer as words
from ...protocol.node.fleet import Host
from ...protocol.node.messages import BadMessage, Cause, Kind, Message, Param, encode, parse_report
from ...protocol.node.viewer import Wish
from ...protocol.rtsp.messages import BadHeader
from ...settings import Platform, report_of
from ..budget import RetryBudget
from ..feed import Feed
from ..timers import Timers
from . import bounds
from .links import HostState, Link, State, Test
from .sessions import Attempt, Session, Viewer

NOTES = {"share": NoteKind.SHARE, "step": NoteKind.RUNG, "asked": NoteKind.LINK, "rack": NoteKind.UPLINK}
ENDS: dict[int, Code] = {Cause.FULL: Code.FULL, Cause.ERROR: Code.ERROR, Cause.MOOT: Code.MOOT}
ENDS_STANDING: dict[int, Code] = {Cause.NORMAL: Code.OK, Cause.CANCELLED: Code.CANCELLED}
REFUSED, FAILED = 503, 500


@dataclass(slots=True)
class Orders:
    """What the I/O is to do, in this order."""

    dial: list[Link] = field(default_factory=list)
    write: list[Link] = field(default_factory=list)
    drop: list[Link] = field(default_factory=list)
    part: list[Link] = field(default_factory=list)
    answer: list[Viewer] = field(default_factory=list)
    lines: list[tuple[str, dict[str, str | int]]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.dial or self.write or self.drop or self.part or self.answer or self.lines)


class NodeCore:
    """A node. `fleet` is empty until `start`."""

    def __init__(self, settings: Settings, platform: Platform, fleet: Fleet, seed: int, sockets: int) -> None:
        self.settings, self.platform, self.fleet, self.sockets = settings, platform, fleet, sockets
        self.module = Controller(settings, seed)
        self.classes = {kind.name: n for n, kind in enumerate(settings.classes)}
        self.budget = RetryBudget(settings.ratio_span, settings.free_resends, settings.further_ratio)
        self.timers = Timers()
        self.orders = Orders()
        self.sessions: dict[int, Session] = {}
        self.by_id: dict[bytes, Session] = {}
        self.hosts: dict[int, HostState] = {}
        self.viewers: dict[Viewer, None] = {}
        self.tests: dict[bytes, Test] = {}
        self.owed: deque[bytes] = deque(maxlen=bounds.MOST_OWED)
        self.moved: dict[str, None] = {}
        self.ended: dict[bytes, HostState] = {}
        self.ready = False
        self._refs = 0
        self._numbers = 0
        self._ending: int | None = None
        self._sweep_at = 0
        self._crowded = False
        self._rng = random.Random(seed)
        self._doubted = -bounds.DOUBT
        self._feed = Feed(
            lambda: self.module,
            {
                Send: self._send,
                Rate: self._rate,
                Refuse: self._refuse,
                Fail: self._fail,
                Cancel: self._cancel,
                Move: self._move,
                Probe: self._probe,
                SetTimer: self._timer,
                Log: self._log,
                Watch: self._follow,
            },
        )

    # ---- what the I/O calls

    def start(self, now: int, news: ServerList) -> None:
        """The list of the configuration; from here on the node can serve."""
        self.listed(now, news)
        self.ready = True
        self._sweep_at = now + bounds.SWEEP
        self.timers.set(("sweep", None), self._sweep_at)

    def end(self, now: int) -> None:
        """The node is to end: what comes within LATECOMERS is still taken, what plays goes on until the process is
        killed or nothing is left."""
        if self._ending is None:
            self._ending = now + bounds.LATECOMERS
            self.line("ending", open=sum(len(viewer.open) for viewer in self.viewers), sessions=len(self.sessions))

    @property
    def over(self) -> bool:
        """Whether a node that is to end has nothing left to do for those whose requests it has heard."""
        return self._ending is not None and not self.sessions

    @property
    def unsaid(self) -> bool:
        """Whether anything that a host is to be told waits for a connection."""
        return any(link.out for host in self.hosts.values() for link in host.links)

    def has_room(self, connections: int) -> bool:
        """Whether viewers may have one more connection beside `connections`. Beyond their share it takes the place of
        `spare`; where there is none, it is not taken. The log hears once that it is so, until a quarter is free."""
        share = bounds.viewers_share(self.sockets)
        if connections >= share and not self._crowded:
            self._crowded = True
            self.line("clients' connections at their bound", connections=connections, bound=share)
        elif connections < share * 3 // 4 and self._crowded:
            self._crowded = False
            self.line("clients' connections under their bound again", connections=connections)
        return connections < share

    def may_dial(self, connections: int) -> bool:
        """Whether there is a descriptor for one more connection to a host."""
        return connections < bounds.hosts_share(self.sockets)

    def spare_link(self) -> Link | None:
        """The connection to a host that is missed least: nothing waits or is out on it, and no session of ours stands
        there whose release would come on it. The one that was heard longest ago."""
        idle = [
            link
            for host in self.hosts.values()
            if not host.standing
            for link in host.links
            if link.state is State.UP and not link.attempts and not link.out
        ]
        return min(idle, key=lambda link: (link.heard, link.number)) if idle else None

    def take(self) -> Orders:
        """The orders since the last call."""
        orders, self.orders = self.orders, Orders()
        return orders

    def next_wake(self) -> int | None:
        return self.timers.next()

    def wake(self, now: int) -> None:
        """Time has passed: whatever is due happens."""
        for key in self.timers.due(now):
            assert isinstance(key, tuple)
            what, one = key
            if what == "module":
                self._feed(now, Wake(one))
            elif what == "limit":
                self._overdue(now, one)
            elif what == "test":
                self._tested(now, one, Code.TIMEOUT, None)
            elif what == "redial":
                self._keep(now, one)
            elif what == "watch":
                self._watch(now, one)
            elif what == "partial":
                self._stuck(now, one)
            elif what == "sweep":
                self._sweep(now)

    def listed(self, now: int, news: ServerList) -> None:
        """News of the list."""
        lost: list[Session] = []
        gone: list[HostState] = []
        for entry in news.entries:
            host = self.hosts.get(entry.server)
            if entry.state == ServerState.GONE:
                if host is not None:
                    host.listed = False
                    gone.append(host)
                continue
            name = self._name(entry.server)
            if host is None:
                host = self.hosts[entry.server] = HostState(entry.server, name, self.fleet.hosts[name].address)
            host.address = self.fleet.hosts[name].address
            if entry.started:  # what stood there before its process began has ended with the one before
                lost += [x for x in host.standing.values() if x.since < entry.started]
        self._feed(now, news)
        for entry in news.entries:
            host = self.hosts.get(entry.server)
            if host is not None and entry.state != ServerState.READY:
                self._hold_back(now, host)
        for session in lost:
            self._end(now, session, Code.RESET, Cause.RESET, True)
        for host in gone:
            # whoever answers at its address from now on is another host: only a connection that stands from
            # before says that this one is still there
            if host.up() is None or any(one.address == host.address and one.listed for one in self.hosts.values()):
                self._lost(now, host)
            self._tidy(host)

    def _hold_back(self, now: int, host: HostState) -> None:
        """A host drains or is gone: what waits for a connection to it must not leave any more."""
        for link in list(host.links):
            for one in [one for one in link.out if not isinstance(one, bytes)]:
                self._ended(now, one, Code.MOOT, None)

    def _name(self, server: int) -> str:
        return next(name for name, number in self.fleet.numbers.items() if number == server)

    def fleet_told(self, now: int, serial: int, hosts: tuple[Host, ...]) -> None:
        """A good answer of the name service."""
        news = self.fleet.take(serial, hosts)
        if news is not None:
            self.line("list", serial=serial, changed=len(news.entries))
            self.listed(now, news)

    # ---- viewers

    def viewer_came(self, now: int) -> Viewer:
        self._numbers += 1
        viewer = Viewer(self._numbers, began=now, heard=now)
        self.viewers[viewer] = None
        return viewer

    def viewer_said(self, now: int, viewer: Viewer, data: bytes) -> None:
        """Bytes of a viewer."""
        for event in viewer.wire.receive(data):
            if viewer.closing:
                return
            if isinstance(event, rtsp.Malformed):
                return self._shut(now, viewer, event.status, event.text)
            if isinstance(event, rtsp.Request):
                self._heard(now, viewer, event)
            elif isinstance(event, rtsp.Frame):
                return self._shut(now, viewer, 400, "interleaved frames mean nothing here")

    def viewer_left(self, now: int, viewer: Viewer) -> None:
        """The connection is at its end: set-ups without an answer on it are given up, what stands goes on."""
        viewer.closed = True
        self.viewers.pop(viewer, None)
        for session in list(viewer.open.values()):
            self._given_up(now, session)
        fresh, viewer.fresh = viewer.fresh, []
        for session in fresh:  # it went before it could hear that its session stands: nobody wants that one
            self._end(now, session, Code.CANCELLED, Cause.NORMAL, False, tell_host=True)
        notices, viewer.notices = viewer.notices, []
        for data in notices:  # what had not left yet is told where somebody reads
            self._to_viewers(None, data)

    def _shut(self, now: int, viewer: Viewer, status: int, text: str) -> None:
        """Close a connection that cannot be followed any further, or should not. Set-ups open on it get no answer any
        more, as a client that can be served is none of those."""
        self.line("viewer shut out", viewer=viewer.number, text=text)
        if status:
            self._say(viewer, words.answer(None, "", status))
        viewer.closing = True
        self.orders.answer.append(viewer)
        for session in list(viewer.open.values()):
            self._given_up(now, session)

    def _say(self, viewer: Viewer, data: bytes) -> None:
        if not viewer.closed and not viewer.closing:
            viewer.out += data
            self.orders.answer.append(viewer)

    def spare(self) -> Viewer | None:
        """The viewers' connection that is missed least: one that said nothing, else the one that is idle longest. Not
        one to which an answer is on its way: a close would cut it off."""
        idle = [viewer for viewer in self.viewers if not viewer.open and not viewer.unsent]
        return min(idle, key=lambda viewer: (viewer.served >= 0, viewer.spoke, viewer.heard)) if idle else None

    def stale(self, now: int) -> list[Viewer]:
        """The connections that the sweep that is due, if one is, will close. Whoever calls `wake` reads what lies
        unread there first, so that no request that came in time meets the close."""
        return [viewer for viewer in self.viewers if self._stale(now, viewer)] if now >= self._sweep_at else []

    def _stale(self, now: int, viewer: Viewer) -> bool:
        quiet = now - viewer.began >= bounds.MUTE if not viewer.spoke else now - viewer.heard >= bounds.IDLE
        return quiet and not viewer.open and not viewer.closing

    def _sweep(self, now: int) -> None:
        for viewer in self.stale(now):
            if not viewer.spoke:
                self._shut(now, viewer, 408, "no request came")
            else:
                viewer.closing = True
                self.orders.answer.append(viewer)
        self._sweep_at = now + bounds.SWEEP
        self.timers.set(("sweep", None), self._sweep_at)

    def _served(self, now: int, viewer: Viewer) -> None:
        """A session stands through this connection: somebody reads it, and takes what waited for such a one."""
        viewer.served = now
        while self.owed:
            self._say(viewer, self.owed.popleft())

    def _heard(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        viewer.heard = now
        try:
            if request.method == "SETUP":
                self._setup(now, viewer, request)
            elif request.method == "TEARDOWN":
                self._teardown(now, viewer, request)
            elif request.method == "OPTIONS":
                self._reply(viewer, request, 200 if self.ready and self._ending is None else 503)
            elif request.method not in ("ANNOUNCE", "REDIRECT", "SET_PARAMETER"):
                raise BadHeader(501, f"no such method: {request.method[:40]!r}")
            elif words.session_of(request) not in self.by_id:
                raise BadHeader(454, f"{request.method} for a session that is not here")
            viewer.spoke = True
        except BadHeader as error:
            self.line("request not taken", viewer=viewer.number, text=str(error))
            self._reply(viewer, request, error.status)
            viewer.errors += 1
            if viewer.errors >= bounds.MOST_ERRORS:  # it goes on at full speed else, and the others wait
                self._shut(now, viewer, 0, "too many requests that make no sense")

    def _reply(self, viewer: Viewer, request: rtsp.Request, status: int) -> None:
        session = words.session_of(request)
        self._say(viewer, words.answer(request.cseq, session.hex() if session else "", status))

    def _setup(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        wish = words.parse_wish(request)
        cls = self.classes.get(wish.cls)
        if cls is None:
            raise BadHeader(400, f"no class is named {wish.cls[:40]!r}")
        known = self.by_id.get(wish.session)
        if known is None and len(self.sessions) >= self.platform.held:
            return self._turned_away(viewer, wish)  # more never reach an instance, as the settings have it
        if wish.at is not None:
            if known is None:
                self._carried(now, viewer, wish, cls)
            return
        if known is not None:
            if known.viewer is viewer and not known.stands:
                # two set-ups under one id on one connection: an answer to either could pass for the other's
                self._answer(known, FAILED)
                self._given_up(now, known)
            raise BadHeader(400, "the session is open already")
        if self._ending is not None and now >= self._ending:
            return self._turned_away(viewer, wish)
        self.budget.taken(now)
        asked = self._asked(now, wish, cls)
        session = self._new(asked.ref, wish, viewer)
        viewer.open[session.ref] = session
        self._feed(now, asked)

    def _turned_away(self, viewer: Viewer, wish: Wish) -> None:
        """Refused before the module hears of it; whoever comes again had better not come soon, nor here."""
        later = self.settings.max_retry_after if self.settings.retry_after else 0
        self._say(viewer, words.answer(1, wish.session.hex(), REFUSED, b"", -(-later // bounds.MS)))

    def _asked(self, now: int, wish: Wish, cls: int) -> Request:
        s = self.settings
        top = len(s.rung_kb) - 1 if wish.top is None else wish.top
        if top >= len(s.rung_kb) or wish.home >= s.cells or not 1 <= wish.copies <= s.cells:
            raise BadHeader(400, "X-Facts: a figure is out of range")
        if wish.patience > 2 * s.classes[cls].deadline:
            raise BadHeader(400, f"X-Patience is far over the class's limit: {wish.patience // bounds.MS} ms")
        if wish.at is None and not wish.body:
            raise BadHeader(400, "a set-up without a description")
        moved = self.moved.pop(wish.viewer, self) is None
        self._refs += 1
        return Request(
            self._refs,
            cls,
            top,
            now + wish.patience,
            int(wish.title, 16),
            wish.home,
            wish.copies,
            wish.hint,
            moved,
            wish.again or moved,
        )

    def _new(self, ref: int, wish: Wish, viewer: Viewer) -> Session:
        session = Session(ref, wish, viewer, self.settings.classes[self.classes[wish.cls]].floor)
        self.sessions[ref] = self.by_id[wish.session] = session
        return session

    def _carried(self, now: int, viewer: Viewer, wish: Wish, cls: int) -> None:
        """A session that plays already at a host."""
        host = self.hosts.get(self.fleet.numbers.get(wish.at or "", -1))
        if host is None:
            raise BadHeader(400, f"no host is named {str(wish.at)[:40]!r}")
        asked = self._asked(now, wish, cls)
        session = self._new(asked.ref, wish, viewer)
        session.attempts, session.host, session.stands, session.since = 1, host, True, now
        self._served(now, viewer)
        host.standing[session.ref] = session
        self._feed(now, Carried(asked, host.server))
        self._keep(now, host)
        self._watched(now, host)

    def _teardown(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        cause, id = words.release_cause(request), words.session_of(request)
        session = self.by_id.get(id) if id is not None else None
        if session is None:
            return self._reply(viewer, request, 200 if id in self.ended else 454)
        self._reply(viewer, request, 200)
        if session.stands:
            self._end(now, session, Code.CANCELLED, cause or Cause.NORMAL, False, tell_host=True)
        else:
            self._given_up(now, session)

    def _given_up(self, now: int, session: Session) -> None:
        """The viewer waits no more: whatever is out is given up at its host."""
        attempt = session.attempt
        self._forget(session)
        self._feed(now, Left(session.ref))
        if attempt is not None:
            self._recall(now, attempt, Code.CANCELLED, True)

    def _forget(self, session: Session) -> None:
        self.sessions.pop(session.ref, None)
        if self.by_id.get(session.wish.session) is session:
            del self.by_id[session.wish.session]
        if session.viewer is not None:
            session.viewer.open.pop(session.ref, None)

    def _answer(self, session: Session, status: int, body: bytes = b"", later: int = 0) -> None:
        viewer = session.viewer
        if viewer is not None:
            viewer.open.pop(session.ref, None)
            self._say(viewer, words.answer(1, session.name, status, body, -(-later // bounds.MS)))

    # ---- the module

    def _follow(self, now: int, action: Action) -> None:
        """The list is followed from the start to the end, whether the module asks for it or not."""

    def _timer(self, now: int, action: Action) -> None:
        assert isinstance(action, SetTimer)
        self.timers.set(("module", action.token), action.at)

    def _log(self, now: int, action: Action) -> None:
        assert isinstance(action, Log)
        self.line("module", text=action.text)

    def _send(self, now: int, action: Action) -> None:
        assert isinstance(action, Send)
        session, host = self.sessions.get(action.ref), self.hosts.get(action.server)
        if session is None:
            return
        number = session.attempts
        session.attempts += 1
        if host is None or not host.listed or action.not_past <= now:
            self._feed(now, Outcome(session.ref, number, action.server, Code.MOOT, 0, False))
            return
        attempt = session.attempt = Attempt(session, number, host, now, action.not_past)
        self.timers.set(("limit", attempt), action.not_past)
        self._queue(now, attempt)

    def _queue(self, now: int, attempt: Attempt) -> None:
        host = attempt.host
        link = host.best(self.platform.streams)
        if link is None and len(host.links) >= bounds.MOST_LINKS:
            link = min(host.links, key=lambda one: one.load)
        link = attempt.link = link or self._dial(now, host)
        link.out.append(attempt)
        if link.state is State.UP:
            self.orders.write.append(link)

    def _rate(self, now: int, action: Action) -> None:
        assert isinstance(action, Rate)
        session = self.sessions.get(action.ref)
        if session is None:
            return
        session.rung = action.rung
        if session.stands and session.host is not None:
            self._tell(
                now, session.host, encode(Kind.RUNG, session.wish.session, ((Param.RUNG, str(action.rung).encode()),))
            )

    def _refuse(self, now: int, action: Action) -> None:
        assert isinstance(action, Refuse)
        session = self.sessions.get(action.ref)
        if session is not None and not session.stands:
            self._answer(session, REFUSED, later=action.retry_after)
            self._forget(session)

    def _fail(self, now: int, action: Action) -> None:
        assert isinstance(action, Fail)
        session = self.sessions.get(action.ref)
        if session is not None and not session.stands:
            self._answer(session, FAILED)
            self._forget(session)

    def _cancel(self, now: int, action: Action) -> None:
        assert isinstance(action, Cancel)
        session = self.sessions.get(action.ref)
        if session is not None and session.attempt is not None and session.attempt.number == action.attempt:
            self._recall(now, session.attempt, Code.CANCELLED, False)

    def _move(self, now: int, action: Action) -> None:
        assert isinstance(action, Move)
        session = self.sessions.get(action.ref)
        if session is None or not session.stands:
            return
        if session.wish.viewer:
            self.moved[session.wish.viewer] = None
        while len(self.moved) > bounds.MOST_MOVED:
            del self.moved[next(iter(self.moved))]
        self._to_viewers(session.viewer, words.redirect(session.name))
        self._end(now, session, Code.CANCELLED, Cause.CANCELLED, False, tell_host=True)

    def _probe(self, now: int, action: Action) -> None:
        assert isinstance(action, Probe)
        host = self.hosts.get(action.server)
        if host is None:
            self._feed(now, Probed(action.server, Code.CONNECT_FAILED, 0))
            return
        self._numbers += 1
        test = self.tests[self._numbers.to_bytes(8, "big")] = Test(host, self._numbers.to_bytes(8, "big"), now)
        self.timers.set(("test", test.id), now + self.settings.connect_timeout)
        # a test with cause 0 is answered without a report
        self._tell(now, host, encode(Kind.TEST, test.id, ((Param.CAUSE, b"\1"),)))

    def _tested(self, now: int, id: bytes, code: Code, report: Report | None) -> None:
        test = self.tests.pop(id, None)
        if test is not None:
            self.timers.drop(("test", id))
            self._feed(now, Probed(test.host.server, code, now - test.sent, report))
            self._tidy(test.host)

    # ---- media hosts

    def _dial(self, now: int, host: HostState) -> Link:
        self._numbers += 1
        link = Link(host, self._numbers, now)
        host.links.append(link)
        self.orders.dial.append(link)
        return link

    def _tell(self, now: int, host: HostState, frame: bytes) -> None:
        """A message that any connection may carry."""
        link = host.up() or host.dialling() or next(iter(host.links), None) or self._dial(now, host)
        if len(link.out) >= bounds.MOST_WAITING:  # it takes nothing, or nothing came of dialling it so often
            return self._lose(now, link)
        link.out.append(frame)
        if link.state is State.UP:
            self.orders.write.append(link)

    def link_up(self, now: int, link: Link) -> None:
        """The connection stands."""
        link.state, link.heard, link.host.heard, link.host.misses = State.UP, now, now, 0
        link.host.missing = False
        if link.out:
            self.orders.write.append(link)
        for old in [one for one in link.host.links if one is not link and one.state is State.UP]:
            # it was dialled to see whether the host is there; two that stand idle are one too many
            if not old.attempts and not old.out and now - old.heard >= bounds.WARY:
                self._part(old)

    def _part(self, link: Link) -> None:
        """End a connection on which nothing is out, hearing it to its end: a host's release that crosses a plain close
        is lost, and comes again only on a connection opened after that."""
        link.state = State.PARTING
        link.host.links.remove(link)
        self.timers.drop(("partial", link))
        self.orders.part.append(link)

    def askers(self, link: Link) -> list[Viewer]:
        """The viewers' connections whose set-ups wait on a connection to a host, in the order of these."""
        waiting = (one.session.viewer for one in link.out if not isinstance(one, bytes))
        return list(dict.fromkeys(viewer for viewer in waiting if viewer is not None))

    def frames(self, now: int, link: Link, busy: Collection[Viewer] = ()) -> tuple[bytes, bool]:
        """What waits on a connection, as one piece; from here on it may have left. With it, whether an attempt is
        given up by it. Set-ups of `busy` viewers go on waiting."""
        parts = []
        late: list[Attempt] = []
        spent: list[Attempt] = []
        last, link.gives_up = link.gives_up, False
        waiting, link.out = link.out, []
        for one in waiting:
            if isinstance(one, bytes):
                parts.append(one)
            elif now >= one.limit:  # this process stood still: nothing leaves after its time
                late.append(one)
            elif one.session.viewer in busy:
                link.out.append(one)
            elif one.number and not self.budget.spend(now):
                spent.append(one)
            else:
                one.written, one.wrote = True, now
                link.attempts[one.session.wish.session] = one
                parts.append(one.frame(now))
        for one in late:
            self._recall(now, one, Code.TIMEOUT, False)
        for one in spent:
            self._ended(now, one, Code.MOOT, None)
        return b"".join(parts), last

    def link_down(self, now: int, link: Link, refused: bool = False, silent: bool = False, reset: bool = False) -> None:
        """The connection is at its end, or never came up: `refused` where the host's machine said no, `silent` where
        nobody said anything, neither where this machine had none to give; `reset` where its peer broke it off, which a
        process that dies does, and one that closes in order does not. What may have run there has ended unclear;
        what never left is sent on a new one."""
        host, was = link.host, link.state
        link.state = State.DOWN
        if was in (State.DOWN, State.PARTING):
            return
        host.links.remove(link)
        if was is State.UP:
            host.missing, host.cut = True, now if reset else host.cut
        waiting, link.out = link.out, []
        self.timers.drop(("partial", link))
        for attempt in list(link.attempts.values()):
            self._ended(now, attempt, Code.RESET, None)
        for one in waiting:
            if isinstance(one, bytes):
                if was is State.UP and host.listed and len(waiting) < bounds.MOST_WAITING:
                    self._tell(now, host, one)  # a release that is lost would leave a session standing
                continue
            if was is State.UP and one.moves < 2:  # it stood idle and had ended: nothing left
                one.moves += 1
                self._queue(now, one)
            else:
                # a lack of descriptors here is no fault of the host
                local = was is State.DIALLING and not (refused or silent)
                self._ended(now, one, Code.MOOT if local else Code.CONNECT_FAILED, None)
        if was is State.DIALLING and (refused or silent):
            self._missed(now, host, refused)
        self._keep(now, host)
        self._tidy(host)

    def _missed(self, now: int, host: HostState, refused: bool) -> None:
        """A connection did not come up. Refused just after one that stood was reset: its process has died, and its
        sessions with it. Refused else: it may hold as many connections as it can, and play. Silent: a machine that is
        gone, or a moment's loss. Those two count only when it stays so for a while."""
        if refused and host.up() is not None:
            return  # it takes no more connections, but it is there
        if not refused:
            self._doubt(now)
        host.misses += 1
        if host.misses == 1:
            host.missed = now
        died = refused and now - host.cut < 2 * bounds.REDIAL
        span = bounds.REFUSED if refused else bounds.SECOND
        gone = host.misses >= bounds.MISSES and now - host.missed >= span and now - host.heard >= bounds.WARY
        if died or gone:
            self._lost(now, host)

    def _lost(self, now: int, host: HostState) -> None:
        """A host's process or machine is gone, and with it whatever stood there."""
        if host.standing or host.links:
            self.line("host lost", host=host.name, sessions=len(host.standing), listed=int(host.listed))
        for session in list(host.standing.values()):
            self._end(now, session, Code.RESET, Cause.RESET, True)
        for link in [one for one in host.links if one.state is State.UP]:
            self._lose(now, link)

    def _lose(self, now: int, link: Link) -> None:
        """Close a connection from this side."""
        self.orders.drop.append(link)
        self.link_down(now, link)

    def _quiet(self, now: int) -> int:
        """How long a host that holds sessions may be quiet before it is dialled."""
        return bounds.WARY if now - self._doubted < bounds.DOUBT else bounds.QUIET

    def _watched(self, now: int, host: HostState) -> None:
        if not host.watched:
            host.watched = True
            self.timers.set(("watch", host), max(now + bounds.REDIAL, host.heard + self._quiet(now)))

    def _watch(self, now: int, host: HostState) -> None:
        """A machine that vanishes says nothing: where a host that holds sessions is quiet, one more connection is
        tried."""
        host.watched = False
        if not host.standing:
            return
        if not host.listed:
            if now - host.heard >= bounds.UNLISTED:
                return self._lost(now, host)
        elif now - host.heard >= self._quiet(now) and host.dialling() is None and len(host.links) < bounds.MOST_LINKS:
            self._dial(now, host)
        self._watched(now, host)

    def _doubt(self, now: int) -> None:
        """A host is silent. Hosts of one zone or rack fall together: the others are watched more closely for a while,
        each from a time of its own, as all fronts may have seen the same."""
        if now - self._doubted >= bounds.DOUBT:
            for host in self.hosts.values():
                if host.watched and host.listed:
                    due = max(now, host.heard + bounds.WARY) + self._rng.randrange(bounds.REDIAL)
                    self.timers.set(("watch", host), min(due, host.heard + bounds.QUIET))
        self._doubted = now

    def _stuck(self, now: int, link: Link) -> None:
        """A message began and did not end: whatever comes next on this connection is of no use."""
        if link.state is State.UP and link.decoder.partial:
            self.line("host stopped in a message", host=link.host.name)
            self._spoilt(now, link)

    def _spoilt(self, now: int, link: Link) -> None:
        """End a connection whose peer cannot be understood. What is out on it has run, and may stand there."""
        ids = list(link.attempts)
        self._lose(now, link)
        for id in ids:
            session = self.by_id.get(id)
            again = session.attempt if session is not None else None
            if link.host.listed and (again is None or again.host is not link.host):
                self._tell(now, link.host, _release(id, Cause.NORMAL))

    def _keep(self, now: int, host: HostState) -> None:
        """A host that holds sessions of ours and has no connection, or none since one was lost, gets one at a bounded
        pace: what it had to say of them comes there."""
        if not host.standing or host.links and (not host.missing or host.dialling() is not None):
            return
        if not host.listed:
            return None if host.links else self._lost(now, host)
        due = host.checked + bounds.REDIAL * min(bounds.SLOWEST, 1 + host.misses)
        if now >= due:
            host.checked = now
            self._dial(now, host)
        else:
            self.timers.set(("redial", host), due)

    def _tidy(self, host: HostState) -> None:
        if not host.listed and not host.standing and not host.links and self.hosts.get(host.server) is host:
            del self.hosts[host.server]

    def link_said(self, now: int, link: Link, data: bytes) -> BadMessage | None:
        """Bytes of a host; what is wrong with them, if anything: the connection is of no more use then."""
        if link.state not in (State.UP, State.PARTING):
            return None
        link.heard = link.host.heard = now
        link.suspect, link.host.misses = False, 0
        messages, bad = link.decoder.receive(data)
        for message in messages:
            self._message(now, link, message)
        if bad is not None:
            self.line("host speaks nonsense", host=link.host.name, text=str(bad))
            self._spoilt(now, link)
        elif not link.decoder.partial or link.state is not State.UP:
            self.timers.drop(("partial", link))
        elif messages or ("partial", link) not in self.timers:
            # from when it began: a host that gives a byte now and then must not hold the connection for good
            self.timers.set(("partial", link), now + self.settings.connect_timeout)
        return bad

    def _message(self, now: int, link: Link, message: Message) -> None:
        if message.kind == Kind.ANSWER:
            self._stands(now, link, message)
        elif message.kind == Kind.RELEASE:
            self._released(now, link, message)
        elif message.kind == Kind.NOTE:
            self._note(now, message)
        elif message.kind == Kind.TESTED:
            test = self.tests.get(message.session)
            if test is not None and test.host is link.host:
                self._tested(now, test.id, Code.OK if message.cause == 1 else Code.ERROR, self._report(message))

    def _report(self, message: Message) -> Report | None:
        text = message.text(Param.REPORT)
        return report_of(parse_report(text)) if text else None

    def _stands(self, now: int, link: Link, message: Message) -> None:
        attempt = link.attempts.pop(message.session, None)
        if attempt is None:
            # the answer crossed the end of its set-up: the host must not go on with it. An id never heard of, or a
            # second copy, is nobody's
            if message.session in self.ended and message.session not in self.by_id:
                self._tell(now, link.host, _release(message.session, Cause.NORMAL))
            return
        session, description = attempt.session, message.params[Param.DESCRIPTION]
        if len(description) > words.MOST_BODY:  # no message to a viewer could hold it
            self._tell(now, link.host, _release(message.session, Cause.NORMAL))
            return self._ended(now, attempt, Code.RESET, None)
        self.timers.drop(("limit", attempt))
        session.attempt, session.host, session.stands, session.since = None, link.host, True, now
        link.host.standing[session.ref] = session
        self._watched(now, link.host)
        self._answer(session, 200, description)
        if session.viewer is not None:
            session.viewer.fresh.append(session)
            self._served(now, session.viewer)
        self._feed(now, Opened(session.ref, attempt.number, link.host.server, now - attempt.sent))

    def _released(self, now: int, link: Link, message: Message) -> None:
        attempt = link.attempts.get(message.session)
        if attempt is not None:
            return self._ended(now, attempt, ENDS.get(message.cause, Code.RESET), self._report(message))
        session = self.by_id.get(message.session)
        # a host that was listed anew keeps connections and sessions from before
        if session is not None and session.stands and session.host is not None and session.host.name == link.host.name:
            code = ENDS_STANDING.get(message.cause, Code.RESET)
            self._end(now, session, code, message.cause, code is not Code.CANCELLED, self._report(message))

    def _note(self, now: int, message: Message) -> None:
        session = self.by_id.get(message.session)
        kind = NOTES.get(message.text(Param.NOTE) or "")
        try:
            value = float(message.text(Param.FIGURE) or "")
        except ValueError:
            return
        if session is not None and session.stands and session.host is not None and kind is not None:
            self._feed(now, Note(session.ref, session.attempts - 1, session.host.server, kind, value))

    # ---- ends

    def _overdue(self, now: int, attempt: Attempt) -> None:
        """The module's time for an attempt is over."""
        if attempt.session.attempt is attempt:
            link = attempt.link
            if attempt.written and link is not None and link.heard <= attempt.wrote:
                link.suspect = True
                self._doubt(now)
            self._recall(now, attempt, Code.TIMEOUT, False)

    def _recall(self, now: int, attempt: Attempt, code: Code, over: bool) -> None:
        """End an attempt from this side. What has left is given up at the host; what has not never ran."""
        link = attempt.link
        if attempt.written and link is not None:
            self._remember(attempt.session.wish.session, attempt.host)
            link.out.append(_release(attempt.session.wish.session, Cause.NORMAL))
            link.gives_up = True
            self.orders.write.append(link)
        elif code is Code.TIMEOUT:
            code = Code.CONNECT_FAILED
        self._ended(now, attempt, code, None, over)

    def _ended(self, now: int, attempt: Attempt, code: Code, report: Report | None, over: bool = False) -> None:
        """An attempt has its one end."""
        session, link = attempt.session, attempt.link
        self.timers.drop(("limit", attempt))
        if link is not None:
            link.attempts.pop(session.wish.session, None)
            if attempt in link.out:
                link.out.remove(attempt)
        if session.attempt is attempt:
            session.attempt = None
        self._remember(session.wish.session, attempt.host)
        self._feed(
            now, Outcome(session.ref, attempt.number, attempt.host.server, code, now - attempt.sent, over, report)
        )

    def _end(
        self,
        now: int,
        session: Session,
        code: Code,
        cause: int,
        owed: bool,
        report: Report | None = None,
        tell_host: bool = False,
    ) -> None:
        """A standing session is over. `owed`: its viewer is to hear of it."""
        host = session.host
        if host is None or not session.stands:
            return
        session.stands = False
        host.standing.pop(session.ref, None)
        self._forget(session)
        self._remember(session.wish.session, host)
        if tell_host:
            self._tell(now, host, _release(session.wish.session, cause))
        if owed:
            self._to_viewers(session.viewer, words.teardown(session.name, cause))
        self._feed(
            now, Outcome(session.ref, session.attempts - 1, host.server, code, now - session.since, True, report)
        )
        self._tidy(host)

    def _to_viewers(self, viewer: Viewer | None, data: bytes) -> None:
        """To a session's viewer, on its own connection or another one through which sessions came to stand; where
        there is none, on the next such one."""
        if viewer is None or viewer.closed or viewer.closing:
            # not any other: most may be of clients that asked once and stayed, who read nothing any more
            readable = [one for one in self.viewers if one.served >= 0 and not one.closing]
            viewer = max(readable, key=_read) if readable else None
        if viewer is None:
            self.owed.append(data)
        else:
            viewer.notices.append(data)
            self._say(viewer, data)

    def _remember(self, id: bytes, host: HostState) -> None:
        self.ended.pop(id, None)
        self.ended[id] = host
        while len(self.ended) > bounds.MOST_ENDED:
            del self.ended[next(iter(self.ended))]

    def line(self, event: str, **fields: str | int) -> None:
        """A line for the log."""
        self.orders.lines.append((event, fields))


def _release(session: bytes, cause: int) -> bytes:
    return encode(Kind.RELEASE, session, ((Param.CAUSE, bytes((cause,))),))


def _read(viewer: Viewer) -> tuple[int, int]:
    """How likely it is that somebody reads a connection."""
    return viewer.served, viewer.number
