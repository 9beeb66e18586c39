"""The RTSP front: what each viewer's connection asked, in which state its sessions are, what it is answered.

What the answers promise. SETUP 200: the title exists, this viewer may ask for it, and the session's channels and
sources are fixed; no host has been asked and nothing is paid. PLAY 200: a host plays it, a code is redeemed. The
wish that the module hears of is the PLAY; a viewer that sets up and goes away costs no host anything.

Responses leave in the order of their requests (RFC 2326 section 9.1), so each request takes a place in a line
when it comes, and the line moves when its head is answered.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from urllib.parse import urlencode

from ..interface import Code
from ..protocol.rtp import Bye, ReceiverReport, encode_compound, parse_compound
from ..protocol.rtsp import Connection, Frame, Malformed, Reply, Request, Response, Unasked, frame_header
from ..protocol.rtsp.connection import supported
from ..protocol.rtsp.headers import (
    Range,
    RtpInfo,
    Target,
    Transport,
    parse_bandwidth,
    parse_range,
    parse_session,
    parse_transport,
    parse_url,
    quote_path,
)
from ..protocol.rtsp.messages import BadHeader, Headers
from .admission import Admission, Denial, admit, top_rung
from .attempt import Done, Media
from .catalogue import Catalogue, Title, describe
from .orders import Hangup, Line, Order, Wrote
from .outbox import Outbox
from .plays import Plays, Wish
from .rules import FrontRules
from .splice import Splice

SECOND = 1_000_000_000
METHODS = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER"
KNOWN = ("ANNOUNCE", "RECORD", "REDIRECT")  # of RFC 2326, and not served here
REPORT_GAP = SECOND  # ns between receiver reports of one track that go on to its host
SDP_TYPE = "application/sdp"


class State(Enum):
    """RFC 2326 appendix A.2, with the time in which the answer to PLAY is not known yet."""

    READY = "ready"
    STARTING = "starting"
    PLAYING = "playing"
    PAUSED = "paused"


@dataclass(slots=True)
class Slot:
    """A request's place in the line of responses."""

    request: Request
    data: bytes | None = None


class Visitor:
    """One viewer connection."""

    def __init__(self, rules: FrontRules, peer: str, number: int, now: int) -> None:
        self.number, self.heard = number, now
        self.wire = Connection(rules.viewers)
        self.outbox = Outbox(rules.bounds.queue, rules.bounds.stall)
        self.peer = peer
        self.sessions: dict[str, Session] = {}
        self.slots: deque[Slot] = deque()
        self.closing = False
        self.gone = False


@dataclass(eq=False, slots=True)
class Session:
    """One RTSP session; it is the Customer of its wish."""

    visits: Visits
    visitor: Visitor
    id: str
    title: Title
    admission: Admission
    base: str
    top: int
    legs: dict[int, Splice] = field(default_factory=dict)
    state: State = State.READY
    ref: int | None = None
    slots: list[Slot] = field(default_factory=list)
    start: float = 0.0
    heard: int = 0
    order: tuple[Splice, ...] = ()
    taken: int = 0
    reported: dict[int, int] = field(default_factory=dict)

    def played(self, now: int, infos: tuple[tuple[int, int] | None, ...]) -> None:
        self.state = State.PLAYING
        name: Headers = (("Request-Id", f"{self.visits.server[1]}/{self.ref}"),)
        self._say(now, Response(200, self._play_headers(infos) + name))

    def refused(self, now: int, retry_after: int) -> None:
        headers: Headers = (("Retry-After", str(-(-retry_after // SECOND))),) if retry_after > 0 else ()
        self._back(now, Response(453, headers))

    def failed(self, now: int, code: Code | None) -> None:
        status = {Code.TIMEOUT: 504, Code.FULL: 503, None: 503}.get(code, 502)
        self._back(now, Response(status))

    def denied(self, now: int, status: int, text: str) -> None:
        self._back(now, Response(status, (), b"", text))

    def _back(self, now: int, response: Response) -> None:
        self.state, self.ref = State.READY, None
        self._say(now, response)

    def _say(self, now: int, response: Response) -> None:
        """Answer all that waits for this outcome: the PLAY, and its repeats while it was out."""
        slots, self.slots = self.slots, []
        with_id = Response(response.status, (("Session", self.id), *response.headers), b"", response.reason)
        for slot in slots:
            self.visits.reply(now, self.visitor, slot, with_id)

    def media(self, now: int, media: Media) -> None:
        if not self.visitor.gone:
            self.visitor.outbox.put(media.data)
            self.visits.wrote(self.visitor)

    def done(self, now: int, done: Done) -> None:
        ok = done.response.status == 200
        if done.method == "PAUSE":
            self.state = State.PAUSED if ok else self.state
            headers: Headers = ()
        else:
            self.state = State.PLAYING if ok else self.state
            headers = self._play_headers(done.infos) if ok else ()
        self._say(now, Response(done.response.status, headers))

    def ended(self, now: int, code: Code) -> None:
        self.state, self.ref = State.READY, None
        self._say(now, Response(504 if code == Code.TIMEOUT else 502))
        if code != Code.OK:
            # the host did not say goodbye: the viewer must not wait for media that never come
            for leg in self.order:
                bye = encode_compound([Bye((leg.ssrc,))], leg.ssrc)
                self.visitor.outbox.put(frame_header(leg.channel + 1, len(bye)) + bye)
            # the connection stays: a TEARDOWN may be on its way and is owed its answer
            self.visits.forget(self)
        self.visits.wrote(self.visitor)

    def moved(self, now: int) -> None:
        url = self.base + quote_path(self.title.path)
        data = self.visitor.wire.ask("REDIRECT", url, (("Session", self.id), ("Location", url)))[1]
        self.visitor.outbox.put(data)
        self.visits.wrote(self.visitor)

    def blocked(self) -> bool:
        return self.visitor.outbox.full

    def _play_headers(self, infos: tuple[tuple[int, int] | None, ...]) -> Headers:
        end = self.title.length / SECOND if self.title.length is not None else None
        urls = [f"{self.base}{quote_path(self.title.path)}/track{n}" for n in sorted(self.legs)]
        told = [RtpInfo(url, *info).encode() for url, info in zip(urls, infos, strict=True) if info]
        headers: Headers = (("Range", Range(self.start, end).encode()),)
        return headers + ((("RTP-Info", ",".join(told)),) if told else ())


class Visits:
    """All viewer connections of one front."""

    def __init__(
        self, rules: FrontRules, catalogue: Catalogue, plays: Plays, rng: random.Random, orders: list[Order], name: str
    ) -> None:
        self.rules, self.catalogue, self.plays = rules, catalogue, plays
        self.random, self.orders, self.server = rng, orders, ("Server", name)
        self.visitors: dict[int, Visitor] = {}
        self._next = 0
        self.sessions: dict[str, Session] = {}
        self.draining = False

    # ---- the connection

    def opened(self, now: int, peer: str) -> Visitor | None:
        """A viewer connected; None where there are too many."""
        if len(self.visitors) >= self.rules.bounds.connections or self.draining:
            return None
        self._next += 1
        visitor = Visitor(self.rules, peer, self._next, now)
        self.visitors[self._next] = visitor
        self.plays.timers.set(("quiet", visitor.number), now + self.rules.bounds.idle)
        return visitor

    def quiet(self, now: int, number: int) -> None:
        """The timer of a connection came up: one that holds no session and says nothing is closed."""
        visitor = self.visitors.get(number)
        if visitor is None:
            return
        until = visitor.heard + self.rules.bounds.idle
        if now - until > SECOND and not visitor.sessions:
            until = now + SECOND  # found late, as for a session
            visitor.heard = until - self.rules.bounds.idle
        if now >= until and not visitor.sessions and not visitor.slots:
            self.hang_up(visitor)
        else:
            self.plays.timers.set(("quiet", number), max(until, now + SECOND))

    def closed(self, now: int, visitor: Visitor) -> None:
        """The viewer's connection is gone: so are its sessions, which cannot go on without it."""
        visitor.gone = True
        self.visitors.pop(visitor.number, None)
        self.plays.timers.drop(("quiet", visitor.number))
        for session in list(visitor.sessions.values()):
            self._end(now, session)

    def received(self, now: int, visitor: Visitor, data: bytes) -> None:
        """Bytes of a viewer."""
        visitor.heard = now
        for event in visitor.wire.receive(data):
            if visitor.closing:
                return
            if isinstance(event, Request):
                self._request(now, visitor, event)
            elif isinstance(event, Frame):
                self._frame(now, visitor, event)
            elif isinstance(event, Malformed):
                self._malformed(now, visitor, event)
            else:
                assert isinstance(event, Reply | Unasked)  # what a viewer says to a REDIRECT changes nothing

    def _frame(self, now: int, visitor: Visitor, event: Frame) -> None:
        """A viewer's RTCP is a sign of life; its receiver reports go on to the host, one a track in REPORT_GAP."""
        for session in visitor.sessions.values():
            if not any(event.channel in (x.channel, x.channel + 1) for x in session.legs.values()):
                continue
            session.heard = now
            track = next((n for n, x in enumerate(session.order) if x.channel + 1 == event.channel), None)
            if (
                track is None
                or session.ref is None
                or session.state is not State.PLAYING
                or now - session.reported.get(track, -REPORT_GAP) < REPORT_GAP
            ):
                continue
            blocks = [
                block
                for one in parse_compound(event.payload) or ()
                if isinstance(one, ReceiverReport)
                for block in one.blocks
            ]
            if blocks:
                session.reported[track] = now
                self.plays.received_by_viewer(session.ref, track, tuple(blocks))

    def _malformed(self, now: int, visitor: Visitor, event: Malformed) -> None:
        self.orders.append(Line("viewer malformed", (("peer", visitor.peer), ("text", event.text))))
        slot = Slot(Request("", "*"))
        visitor.slots.append(slot)
        self.reply(now, visitor, slot, Response(event.status, (("Connection", "close"),)))
        self.hang_up(visitor)

    def hang_up(self, visitor: Visitor) -> None:
        """Close once all is written; nothing that comes after is read."""
        visitor.closing = True
        self.orders.append(Hangup(visitor))

    def wrote(self, visitor: Visitor) -> None:
        self.orders.append(Wrote(visitor))

    def reply(self, now: int, visitor: Visitor, slot: Slot, response: Response) -> None:
        """Answer one request, once; it leaves when all before it are answered."""
        if slot.data is not None or visitor.gone:
            return
        headers = (*response.headers, self.server)
        slot.data = visitor.wire.answer(slot.request, replace(response, headers=headers))
        while visitor.slots and visitor.slots[0].data is not None:
            visitor.outbox.put(visitor.slots.popleft().data or b"")
        self.wrote(visitor)

    # ---- requests

    def _request(self, now: int, visitor: Visitor, request: Request) -> None:
        slot = Slot(request)
        visitor.slots.append(slot)
        if len(visitor.slots) > self.rules.viewers.pending:
            slot.data = visitor.wire.answer(request, Response(503, (("Connection", "close"),)))
            self.hang_up(visitor)
            return
        try:
            response = self._answer(now, visitor, slot, request)
        except BadHeader as error:
            response = Response(error.status, (), b"")
            self.orders.append(Line("viewer mistaken", (("peer", visitor.peer), ("text", str(error)))))
        if response is not None:
            self.reply(now, visitor, slot, response)

    def _answer(self, now: int, visitor: Visitor, slot: Slot, request: Request) -> Response | None:
        """The response, or None where it comes later."""
        if request.cseq is None:
            return Response(400, (), b"", "CSeq is missing or no number")
        if not supported(request):
            return Response(505)
        require = request.header("Require") or request.header("Proxy-Require")
        if require is not None:
            return Response(551, (("Unsupported", require),))
        method = request.method
        if method == "OPTIONS":
            self._alive(now, visitor, request)
            return Response(200, (("Public", METHODS),))
        if method in KNOWN:
            return Response(405, (("Allow", METHODS),))
        if method not in METHODS.split(", "):
            return Response(501, (("Public", METHODS),))
        target = parse_url(request.uri, self.rules.viewers.line)
        if method == "DESCRIBE":
            return self._describe(request, target)
        if method == "SETUP":
            return self._setup(now, visitor, request, target)
        named = request.header("Session")
        if named is None:
            if method in ("GET_PARAMETER", "SET_PARAMETER"):
                return self._parameter(request)
            return Response(454)
        session = visitor.sessions.get(parse_session(named)[0])
        if session is None:
            return Response(454)
        session.heard = now
        return self._in_session(now, session, slot, request, target)

    def _alive(self, now: int, visitor: Visitor, request: Request) -> None:
        """OPTIONS that names a session is a sign of life for it (RFC 2326 section 10.1 leaves it without influence
        on the state, and players in the field use it to keep a session)."""
        named = request.header("Session")
        session = visitor.sessions.get(parse_session(named)[0]) if named is not None else None
        if session is not None:
            session.heard = now

    def _in_session(self, now: int, session: Session, slot: Slot, request: Request, target: Target) -> Response | None:
        method, state = request.method, session.state
        if method == "TEARDOWN":
            self._end(now, session)
            return Response(200, (("Session", session.id),))
        if method in ("GET_PARAMETER", "SET_PARAMETER"):
            return self._parameter(request, session)
        if target.track is not None and len(session.legs) > 1:
            return Response(460, (("Session", session.id),))
        if method == "PLAY":
            return self._play(now, session, slot, request)
        if state is State.PAUSED and not session.slots:
            return Response(200, (("Session", session.id),))
        if state is not State.PLAYING or session.slots or session.ref is None:
            return Response(455, (("Session", session.id), ("Allow", METHODS)))
        session.slots.append(slot)
        self.plays.pause(now, session.ref)
        return None

    def _parameter(self, request: Request, session: Session | None = None) -> Response:
        """An empty one is a sign of life (sections 10.8, 10.9); there is no parameter to read or to set."""
        headers: Headers = (("Session", f"{session.id};timeout={self._timeout}"),) if session else ()
        if request.body.strip():
            name = request.body.decode("utf-8", "replace").split("\n")[0].split(":")[0].strip()
            return Response(451, headers + (("Content-Type", "text/parameters"),), name.encode()[:256])
        return Response(200, headers)

    @property
    def _timeout(self) -> int:
        return max(1, self.rules.bounds.idle // SECOND)

    def _title(self, target: Target) -> tuple[Title, Admission] | Response:
        title = self.catalogue.find(target.path)
        if title is None:
            return Response(404)
        admission = admit(self.rules, title, target)
        if isinstance(admission, Denial):
            return Response(admission.status, (), b"", admission.text)
        return title, admission

    def _describe(self, request: Request, target: Target) -> Response:
        accept = request.header("Accept")
        if accept is not None and SDP_TYPE not in accept and "*/*" not in accept:
            return Response(406)
        found = self._title(target)
        if isinstance(found, Response):
            return found
        base = f"rtsp://{target.host}"
        body = describe(found[0], base, urlencode(target.query)).encode()
        url = base + quote_path(target.path) + "/"
        return Response(200, (("Content-Base", url), ("Content-Type", SDP_TYPE)), body)

    def _setup(self, now: int, visitor: Visitor, request: Request, target: Target) -> Response:
        found = self._title(target)
        if isinstance(found, Response):
            return found
        title, admission = found
        track = target.track if target.track is not None else 1
        if target.track is None and len(title.tracks) > 1:
            return Response(459)
        if not 1 <= track <= len(title.tracks):
            return Response(404)
        transport = parse_transport(request.header("Transport") or "")
        named = request.header("Session")
        session = visitor.sessions.get(parse_session(named)[0]) if named is not None else None
        if named is not None and session is None:
            return Response(454)
        if session is not None and session.title is not title:
            return Response(459)
        if session is not None and session.state is not State.READY:
            return Response(455, (("Session", session.id),))
        channels = self._channels(visitor, session, track, transport)
        if channels is None:
            return Response(461)
        if session is None:
            if len(self.sessions) >= self.rules.bounds.sessions or self.draining:
                return Response(503)
            session = self._session(now, visitor, request, target, title, admission)
        session.heard = now
        splice = Splice(
            title.tracks[track - 1].clock,
            self.random.getrandbits(32),
            self.random.getrandbits(16),
            self.random.getrandbits(32),
            channels,
        )
        session.legs[track] = splice
        return Response(
            200,
            (
                ("Transport", Transport((channels, channels + 1), splice.ssrc).encode()),
                ("Session", f"{session.id};timeout={self._timeout}"),
            ),
        )

    def _session(
        self, now: int, visitor: Visitor, request: Request, target: Target, title: Title, admission: Admission
    ) -> Session:
        top = top_rung(self.rules, admission.entry.cls, parse_bandwidth(request.header("Bandwidth")))
        session = Session(
            self, visitor, f"{self.random.getrandbits(96):024x}", title, admission, f"rtsp://{target.host}", top
        )
        visitor.sessions[session.id] = self.sessions[session.id] = session
        self.plays.timers.set(("idle", session.id), now + self.rules.bounds.idle)
        return session

    def _channels(self, visitor: Visitor, session: Session | None, track: int, transport: Transport) -> int | None:
        """The channel pair for a track, None where the wanted one is taken or all are."""
        taken = {
            channel
            for one in visitor.sessions.values()
            for n, leg in one.legs.items()
            if one is not session or n != track
            for channel in (leg.channel, leg.channel + 1)
        }
        if transport.channels is not None:
            return transport.channels[0] if taken.isdisjoint(transport.channels) else None
        return next((n for n in range(0, 256, 2) if n not in taken and n + 1 not in taken), None)

    def _play(self, now: int, session: Session, slot: Slot, request: Request) -> Response | None:
        ranged = request.header("Range")
        length = session.title.length
        span = parse_range(ranged, length / SECOND if length is not None else None) if ranged else None
        if session.state is State.STARTING or session.state is State.PLAYING and session.slots:
            session.slots.append(slot)  # the PLAY again while the first is out: the same answer for both
            return None
        if session.state is State.PLAYING:
            if span is not None and span.start is not None:
                return Response(455, (("Session", session.id), ("Allow", METHODS)))
            return Response(200, (("Session", session.id),))
        if session.state is State.PAUSED and session.ref is not None:
            if session.slots:
                return Response(455, (("Session", session.id),))
            session.slots.append(slot)
            if span is not None and span.start is not None:
                session.start = span.start
            self.plays.resume(now, session.ref, span.encode() if span is not None and span.start is not None else None)
            return None
        if self.draining:
            return Response(503, (("Session", session.id),))
        session.start = span.start if span is not None and span.start is not None else 0.0
        session.state = State.STARTING
        session.slots.append(slot)
        tracks = tuple(sorted(session.legs))
        session.order = tuple(session.legs[n] for n in tracks)
        wish = Wish(
            session.title,
            tracks,
            session.admission.entry.cls,
            session.top,
            session.admission.code,
            session.start,
            session.order,
        )
        session.ref = None
        ref = self.plays.begin(now, wish, session)
        if session.state in (State.STARTING, State.PLAYING):
            session.ref = ref
        return None

    # ---- ends

    def forget(self, session: Session) -> None:
        session.visitor.sessions.pop(session.id, None)
        self.sessions.pop(session.id, None)
        self.plays.timers.drop(("idle", session.id))

    def _end(self, now: int, session: Session) -> None:
        """The viewer wants no more of a session, or is gone. What it still waited for is answered first."""
        ref, session.ref = session.ref, None
        session._say(now, Response(455, (), b"", "The session was torn down"))
        self.forget(session)
        if ref is not None:
            self.plays.leave(now, ref)

    def idle(self, now: int, name: str) -> None:
        """The timer of a session came up: it ends if nothing was heard of its viewer for the time-out."""
        session = self.sessions.get(name)
        if session is None:
            return
        if session.state is State.PLAYING and session.visitor.outbox.taken > session.taken:
            # a viewer that takes its media is there, though it says nothing (RFC 2326 section 12.37 leaves it to the
            # server); one that takes nothing any more loses its connection to `stall`
            session.heard = now
        session.taken = session.visitor.outbox.taken
        until = session.heard + self.rules.bounds.idle
        if now - until > SECOND and session.state is not State.STARTING:
            # found late: this front stood still, and what the viewer said meanwhile waits unread
            until = now + SECOND
            session.heard = until - self.rules.bounds.idle
        if now < until or session.state is State.STARTING:
            self.plays.timers.set(("idle", name), max(until, now + SECOND))
            return
        self.orders.append(Line("session idle", (("peer", session.visitor.peer),)))
        self._end(now, session)

    def stalled(self, now: int, visitor: Visitor) -> None:
        """The viewer took nothing for the time that a stall may last."""
        self.orders.append(Line("viewer stalled", (("peer", visitor.peer), ("waiting", visitor.outbox.size))))
