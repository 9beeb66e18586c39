"""RTSP server for viewers: parses requests, keeps session states and sends responses.

What the responses promise. SETUP 200: the title exists, the viewer may request it, and the session's channels and
SSRCs are fixed; no host has been asked and no code is spent. PLAY 200: a host plays the title and its code, if any,
is redeemed. The session request is made at PLAY, so a viewer that only sets up costs no host anything.

Responses are sent in the order of their requests (RFC 2326 section 9.1): each request enters a queue when it arrives,
and responses leave from the head of the queue.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from urllib.parse import urlencode

from ..interface import OutcomeCode
from ..protocol.rtp import Bye, ReceiverReport, encode_compound, parse_compound
from ..protocol.rtsp import (
    Connection,
    Frame,
    MalformedInput,
    MatchedResponse,
    Request,
    Response,
    UnsolicitedResponse,
    frame_header,
)
from ..protocol.rtsp.connection import is_supported_version
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
from ..protocol.rtsp.messages import HeaderError, Headers
from .admission import Admission, Denial, admit, highest_rung
from .attempt import ForwardedReply, MediaData
from .catalogue import Catalogue, Title, describe
from .io_actions import CloseViewer, FlushViewer, IoAction, LogLine
from .outbox import Outbox
from .rules import FrontRules
from .session_table import SessionRequest, SessionTable
from .splice import Splice

SECOND = 1_000_000_000
METHODS = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER"
UNSUPPORTED_METHODS = ("ANNOUNCE", "RECORD", "REDIRECT")  # defined in RFC 2326 but not supported here
RECEIVER_REPORT_INTERVAL_NS = SECOND  # ns between receiver reports of one track that are forwarded to the host
SDP_TYPE = "application/sdp"


class RtspState(Enum):
    """Session states of RFC 2326 appendix A.2, and STARTING while the answer to PLAY is not known yet."""

    READY = "ready"
    STARTING = "starting"
    PLAYING = "playing"
    PAUSED = "paused"


@dataclass(slots=True)
class PendingResponse:
    """A request in the response queue; `data` is its encoded response, None until it is answered."""

    request: Request
    data: bytes | None = None


class ViewerConnection:
    """One viewer connection."""

    def __init__(self, rules: FrontRules, peer: str, number: int, now: int) -> None:
        self.number, self.last_heard = number, now
        self.wire = Connection(rules.viewers)
        self.outbox = Outbox(rules.bounds.queue, rules.bounds.stall)
        self.peer = peer
        self.sessions: dict[str, RtspSession] = {}
        self.pending_responses: deque[PendingResponse] = deque()
        self.closing = False
        self.gone = False


@dataclass(eq=False, slots=True)
class RtspSession:
    """One RTSP session. It owns its session request and takes the callbacks of `RequestOwner`.

    `splices` holds the RTP state of each track by number, `playing_splices` those of the current request in track
    order. `ref` is the session request's, None while there is none. `last_heard` is when the viewer last showed
    activity (ns), `bytes_taken` the outbox total at the last idle check, `last_reports` when a receiver report of
    each track was last forwarded.
    """

    rtsp_server: RtspServer
    connection: ViewerConnection
    id: str
    title: Title
    admission: Admission
    base_url: str
    max_rung: int
    splices: dict[int, Splice] = field(default_factory=dict)
    state: RtspState = RtspState.READY
    ref: int | None = None
    pending_responses: list[PendingResponse] = field(default_factory=list)
    start_s: float = 0.0
    last_heard: int = 0
    playing_splices: tuple[Splice, ...] = ()
    bytes_taken: int = 0
    last_reports: dict[int, int] = field(default_factory=dict)

    def played(self, now: int, infos: tuple[tuple[int, int] | None, ...]) -> None:
        """Answer the PLAY with 200."""
        self.state = RtspState.PLAYING
        name: Headers = (("Request-Id", f"{self.rtsp_server.server_header[1]}/{self.ref}"),)
        self._answer_pending(now, Response(200, self._play_headers(infos) + name))

    def refused(self, now: int, retry_after: int) -> None:
        """Answer the PLAY with 453 and, if there is advice, Retry-After."""
        headers: Headers = (("Retry-After", str(-(-retry_after // SECOND))),) if retry_after > 0 else ()
        self._answer_and_reset(now, Response(453, headers))

    def failed(self, now: int, code: OutcomeCode | None) -> None:
        """Answer the PLAY with 504 after a time-out, 503 if no host had room, 502 otherwise."""
        status = {OutcomeCode.TIMEOUT: 504, OutcomeCode.FULL: 503, None: 503}.get(code, 502)
        self._answer_and_reset(now, Response(status))

    def denied(self, now: int, status: int, text: str) -> None:
        """Answer the PLAY with `status`."""
        self._answer_and_reset(now, Response(status, (), b"", text))

    def _answer_and_reset(self, now: int, response: Response) -> None:
        self.state, self.ref = RtspState.READY, None
        self._answer_pending(now, response)

    def _answer_pending(self, now: int, response: Response) -> None:
        """Answer all requests that wait for this outcome: the PLAY and its repetitions."""
        waiting, self.pending_responses = self.pending_responses, []
        with_id = Response(response.status, (("Session", self.id), *response.headers), b"", response.reason)
        for pending in waiting:
            self.rtsp_server.reply(now, self.connection, pending, with_id)

    def media(self, now: int, media: MediaData) -> None:
        """Queue media for the viewer."""
        if not self.connection.gone:
            self.connection.outbox.put(media.data)
            self.rtsp_server.output_added(self.connection)

    def forwarded_reply(self, now: int, reply: ForwardedReply) -> None:
        """Answer the viewer's PAUSE or PLAY with the host's status."""
        ok = reply.response.status == 200
        if reply.method == "PAUSE":
            self.state = RtspState.PAUSED if ok else self.state
            headers: Headers = ()
        else:
            self.state = RtspState.PLAYING if ok else self.state
            headers = self._play_headers(reply.infos) if ok else ()
        self._answer_pending(now, Response(reply.response.status, headers))

    def ended(self, now: int, code: OutcomeCode) -> None:
        """Reset the session. Unless the host ended the stream itself, send RTCP BYE and remove the session."""
        self.state, self.ref = RtspState.READY, None
        self._answer_pending(now, Response(504 if code == OutcomeCode.TIMEOUT else 502))
        if code != OutcomeCode.OK:
            # The host sent no BYE; the viewer must not wait for media that never come.
            for splice in self.playing_splices:
                bye = encode_compound([Bye((splice.ssrc,))], splice.ssrc)
                self.connection.outbox.put(frame_header(splice.channel + 1, len(bye)) + bye)
            # The connection stays open: a TEARDOWN may be on its way and needs its response.
            self.rtsp_server.remove_session(self)
        self.rtsp_server.output_added(self.connection)

    def redirected(self, now: int) -> None:
        """Send the viewer a REDIRECT to the same URL."""
        url = self.base_url + quote_path(self.title.path)
        data = self.connection.wire.make_request("REDIRECT", url, (("Session", self.id), ("Location", url)))[1]
        self.connection.outbox.put(data)
        self.rtsp_server.output_added(self.connection)

    def blocked(self) -> bool:
        """Return whether the viewer's outbox is full."""
        return self.connection.outbox.full

    def _play_headers(self, infos: tuple[tuple[int, int] | None, ...]) -> Headers:
        end_s = self.title.length / SECOND if self.title.length is not None else None
        urls = [f"{self.base_url}{quote_path(self.title.path)}/track{n}" for n in sorted(self.splices)]
        rtp_infos = [RtpInfo(url, *info).encode() for url, info in zip(urls, infos, strict=True) if info]
        headers: Headers = (("Range", Range(self.start_s, end_s).encode()),)
        return headers + ((("RTP-Info", ",".join(rtp_infos)),) if rtp_infos else ())


class RtspServer:
    """All viewer connections and RTSP sessions of one front."""

    def __init__(
        self,
        rules: FrontRules,
        catalogue: Catalogue,
        session_table: SessionTable,
        rng: random.Random,
        io_actions: list[IoAction],
        name: str,
    ) -> None:
        self.rules, self.catalogue, self.session_table = rules, catalogue, session_table
        self.rng, self.io_actions, self.server_header = rng, io_actions, ("Server", name)
        self.connections: dict[int, ViewerConnection] = {}
        self._next = 0
        self.sessions: dict[str, RtspSession] = {}
        self.draining = False

    # ---- connections

    def opened(self, now: int, peer: str) -> ViewerConnection | None:
        """Accept a viewer connection; None if the limit is reached or the front is draining."""
        if len(self.connections) >= self.rules.bounds.connections or self.draining:
            return None
        self._next += 1
        connection = ViewerConnection(self.rules, peer, self._next, now)
        self.connections[self._next] = connection
        self.session_table.timers.set(("quiet", connection.number), now + self.rules.bounds.idle)
        return connection

    def connection_idle(self, now: int, number: int) -> None:
        """Handle the idle timer of a connection: close it if it has no session and sent nothing."""
        connection = self.connections.get(number)
        if connection is None:
            return
        until = connection.last_heard + self.rules.bounds.idle
        if now - until > SECOND and not connection.sessions:
            until = now + SECOND  # the timer is late, as in `session_idle`
            connection.last_heard = until - self.rules.bounds.idle
        if now >= until and not connection.sessions and not connection.pending_responses:
            self.close_after_output(connection)
        else:
            self.session_table.timers.set(("quiet", number), max(until, now + SECOND))

    def closed(self, now: int, connection: ViewerConnection) -> None:
        """The viewer's connection is closed. End its sessions, which cannot continue without it."""
        connection.gone = True
        self.connections.pop(connection.number, None)
        self.session_table.timers.cancel(("quiet", connection.number))
        for session in list(connection.sessions.values()):
            self._end_session(now, session)

    def received(self, now: int, connection: ViewerConnection, data: bytes) -> None:
        """Process bytes from a viewer."""
        connection.last_heard = now
        for event in connection.wire.receive(data):
            if connection.closing:
                return
            if isinstance(event, Request):
                self._handle_request(now, connection, event)
            elif isinstance(event, Frame):
                self._handle_frame(now, connection, event)
            elif isinstance(event, MalformedInput):
                self._handle_malformed(now, connection, event)
            else:
                assert isinstance(
                    event, MatchedResponse | UnsolicitedResponse
                )  # a viewer's response to a REDIRECT changes nothing

    def _handle_frame(self, now: int, connection: ViewerConnection, event: Frame) -> None:
        """Handle an interleaved frame. RTCP from a viewer counts as activity; one receiver report per track is
        forwarded to the host in each RECEIVER_REPORT_INTERVAL_NS.
        """
        for session in connection.sessions.values():
            if not any(event.channel in (x.channel, x.channel + 1) for x in session.splices.values()):
                continue
            session.last_heard = now
            track = next((n for n, x in enumerate(session.playing_splices) if x.channel + 1 == event.channel), None)
            if (
                track is None
                or session.ref is None
                or session.state is not RtspState.PLAYING
                or now - session.last_reports.get(track, -RECEIVER_REPORT_INTERVAL_NS) < RECEIVER_REPORT_INTERVAL_NS
            ):
                continue
            blocks = [
                block
                for one in parse_compound(event.payload) or ()
                if isinstance(one, ReceiverReport)
                for block in one.blocks
            ]
            if blocks:
                session.last_reports[track] = now
                self.session_table.received_by_viewer(session.ref, track, tuple(blocks))

    def _handle_malformed(self, now: int, connection: ViewerConnection, event: MalformedInput) -> None:
        self.io_actions.append(LogLine("viewer malformed", (("peer", connection.peer), ("text", event.text))))
        pending = PendingResponse(Request("", "*"))
        connection.pending_responses.append(pending)
        self.reply(now, connection, pending, Response(event.status, (("Connection", "close"),)))
        self.close_after_output(connection)

    def close_after_output(self, connection: ViewerConnection) -> None:
        """Close the connection once its output is written. No further input is read."""
        connection.closing = True
        self.io_actions.append(CloseViewer(connection))

    def output_added(self, connection: ViewerConnection) -> None:
        """Have the I/O write the connection's outbox."""
        self.io_actions.append(FlushViewer(connection))

    def reply(self, now: int, connection: ViewerConnection, pending: PendingResponse, response: Response) -> None:
        """Answer a request once. The response leaves when all earlier requests are answered."""
        if pending.data is not None or connection.gone:
            return
        headers = (*response.headers, self.server_header)
        pending.data = connection.wire.encode_response(pending.request, replace(response, headers=headers))
        while connection.pending_responses and connection.pending_responses[0].data is not None:
            connection.outbox.put(connection.pending_responses.popleft().data or b"")
        self.output_added(connection)

    # ---- requests

    def _handle_request(self, now: int, connection: ViewerConnection, request: Request) -> None:
        pending = PendingResponse(request)
        connection.pending_responses.append(pending)
        if len(connection.pending_responses) > self.rules.viewers.pending:
            pending.data = connection.wire.encode_response(request, Response(503, (("Connection", "close"),)))
            self.close_after_output(connection)
            return
        try:
            response = self._answer(now, connection, pending, request)
        except HeaderError as error:
            response = Response(error.status, (), b"")
            self.io_actions.append(LogLine("viewer mistaken", (("peer", connection.peer), ("text", str(error)))))
        if response is not None:
            self.reply(now, connection, pending, response)

    def _answer(
        self, now: int, connection: ViewerConnection, pending: PendingResponse, request: Request
    ) -> Response | None:
        """Return the response, or None if it follows later."""
        if request.cseq is None:
            return Response(400, (), b"", "CSeq is missing or no number")
        if not is_supported_version(request):
            return Response(505)
        require = request.header("Require") or request.header("Proxy-Require")
        if require is not None:
            return Response(551, (("Unsupported", require),))
        method = request.method
        if method == "OPTIONS":
            self._refresh_session(now, connection, request)
            return Response(200, (("Public", METHODS),))
        if method in UNSUPPORTED_METHODS:
            return Response(405, (("Allow", METHODS),))
        if method not in METHODS.split(", "):
            return Response(501, (("Public", METHODS),))
        target = parse_url(request.uri, self.rules.viewers.line)
        if method == "DESCRIBE":
            return self._answer_describe(request, target)
        if method == "SETUP":
            return self._answer_setup(now, connection, request, target)
        named = request.header("Session")
        if named is None:
            if method in ("GET_PARAMETER", "SET_PARAMETER"):
                return self._answer_parameter(request)
            return Response(454)
        session = connection.sessions.get(parse_session(named)[0])
        if session is None:
            return Response(454)
        session.last_heard = now
        return self._answer_in_session(now, session, pending, request, target)

    def _refresh_session(self, now: int, connection: ViewerConnection, request: Request) -> None:
        """Refresh the session that an OPTIONS request names. RFC 2326 section 10.1 leaves the session state
        unaffected, but deployed players use OPTIONS as a keep-alive.
        """
        named = request.header("Session")
        session = connection.sessions.get(parse_session(named)[0]) if named is not None else None
        if session is not None:
            session.last_heard = now

    def _answer_in_session(
        self, now: int, session: RtspSession, pending: PendingResponse, request: Request, target: Target
    ) -> Response | None:
        method, state = request.method, session.state
        if method == "TEARDOWN":
            self._end_session(now, session)
            return Response(200, (("Session", session.id),))
        if method in ("GET_PARAMETER", "SET_PARAMETER"):
            return self._answer_parameter(request, session)
        if target.track is not None and len(session.splices) > 1:
            return Response(460, (("Session", session.id),))
        if method == "PLAY":
            return self._answer_play(now, session, pending, request)
        if state is RtspState.PAUSED and not session.pending_responses:
            return Response(200, (("Session", session.id),))
        if state is not RtspState.PLAYING or session.pending_responses or session.ref is None:
            return Response(455, (("Session", session.id), ("Allow", METHODS)))
        session.pending_responses.append(pending)
        self.session_table.pause(now, session.ref)
        return None

    def _answer_parameter(self, request: Request, session: RtspSession | None = None) -> Response:
        """Answer GET_PARAMETER and SET_PARAMETER. An empty body is a keep-alive (RFC 2326 sections 10.8, 10.9); no
        parameters are supported.
        """
        headers: Headers = (("Session", f"{session.id};timeout={self._timeout_s}"),) if session else ()
        if request.body.strip():
            name = request.body.decode("utf-8", "replace").split("\n")[0].split(":")[0].strip()
            return Response(451, headers + (("Content-Type", "text/parameters"),), name.encode()[:256])
        return Response(200, headers)

    @property
    def _timeout_s(self) -> int:
        return max(1, self.rules.bounds.idle // SECOND)

    def _find_title(self, target: Target) -> tuple[Title, Admission] | Response:
        title = self.catalogue.find(target.path)
        if title is None:
            return Response(404)
        admission = admit(self.rules, title, target)
        if isinstance(admission, Denial):
            return Response(admission.status, (), b"", admission.text)
        return title, admission

    def _answer_describe(self, request: Request, target: Target) -> Response:
        accept = request.header("Accept")
        if accept is not None and SDP_TYPE not in accept and "*/*" not in accept:
            return Response(406)
        found = self._find_title(target)
        if isinstance(found, Response):
            return found
        base = f"rtsp://{target.host}"
        body = describe(found[0], base, urlencode(target.query)).encode()
        url = base + quote_path(target.path) + "/"
        return Response(200, (("Content-Base", url), ("Content-Type", SDP_TYPE)), body)

    def _answer_setup(self, now: int, connection: ViewerConnection, request: Request, target: Target) -> Response:
        found = self._find_title(target)
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
        session = connection.sessions.get(parse_session(named)[0]) if named is not None else None
        if named is not None and session is None:
            return Response(454)
        if session is not None and session.title is not title:
            return Response(459)
        if session is not None and session.state is not RtspState.READY:
            return Response(455, (("Session", session.id),))
        channels = self._choose_channels(connection, session, track, transport)
        if channels is None:
            return Response(461)
        if session is None:
            if len(self.sessions) >= self.rules.bounds.sessions or self.draining:
                return Response(503)
            session = self._open_session(now, connection, request, target, title, admission)
        session.last_heard = now
        splice = Splice(
            title.tracks[track - 1].clock,
            self.rng.getrandbits(32),
            self.rng.getrandbits(16),
            self.rng.getrandbits(32),
            channels,
        )
        session.splices[track] = splice
        return Response(
            200,
            (
                ("Transport", Transport((channels, channels + 1), splice.ssrc).encode()),
                ("Session", f"{session.id};timeout={self._timeout_s}"),
            ),
        )

    def _open_session(
        self,
        now: int,
        connection: ViewerConnection,
        request: Request,
        target: Target,
        title: Title,
        admission: Admission,
    ) -> RtspSession:
        top = highest_rung(self.rules, admission.entry.cls, parse_bandwidth(request.header("Bandwidth")))
        session = RtspSession(
            self, connection, f"{self.rng.getrandbits(96):024x}", title, admission, f"rtsp://{target.host}", top
        )
        connection.sessions[session.id] = self.sessions[session.id] = session
        self.session_table.timers.set(("idle", session.id), now + self.rules.bounds.idle)
        return session

    def _choose_channels(
        self, connection: ViewerConnection, session: RtspSession | None, track: int, transport: Transport
    ) -> int | None:
        """Return the first channel of a pair for a track, None if the requested pair or all pairs are taken."""
        taken = {
            channel
            for other in connection.sessions.values()
            for n, splice in other.splices.items()
            if other is not session or n != track
            for channel in (splice.channel, splice.channel + 1)
        }
        if transport.channels is not None:
            return transport.channels[0] if taken.isdisjoint(transport.channels) else None
        return next((n for n in range(0, 256, 2) if n not in taken and n + 1 not in taken), None)

    def _answer_play(
        self, now: int, session: RtspSession, pending: PendingResponse, request: Request
    ) -> Response | None:
        ranged = request.header("Range")
        length = session.title.length
        span = parse_range(ranged, length / SECOND if length is not None else None) if ranged else None
        if session.state is RtspState.STARTING or session.state is RtspState.PLAYING and session.pending_responses:
            session.pending_responses.append(pending)  # a repeated PLAY gets the same answer as the pending one
            return None
        if session.state is RtspState.PLAYING:
            if span is not None and span.start is not None:
                return Response(455, (("Session", session.id), ("Allow", METHODS)))
            return Response(200, (("Session", session.id),))
        if session.state is RtspState.PAUSED and session.ref is not None:
            if session.pending_responses:
                return Response(455, (("Session", session.id),))
            session.pending_responses.append(pending)
            if span is not None and span.start is not None:
                session.start_s = span.start
            self.session_table.resume(
                now, session.ref, span.encode() if span is not None and span.start is not None else None
            )
            return None
        if self.draining:
            return Response(503, (("Session", session.id),))
        session.start_s = span.start if span is not None and span.start is not None else 0.0
        session.state = RtspState.STARTING
        session.pending_responses.append(pending)
        tracks = tuple(sorted(session.splices))
        session.playing_splices = tuple(session.splices[n] for n in tracks)
        session_request = SessionRequest(
            session.title,
            tracks,
            session.admission.entry.cls,
            session.max_rung,
            session.admission.code,
            session.start_s,
            session.playing_splices,
        )
        session.ref = None
        ref = self.session_table.begin(now, session_request, session)
        if session.state in (RtspState.STARTING, RtspState.PLAYING):
            session.ref = ref
        return None

    # ---- end of sessions

    def remove_session(self, session: RtspSession) -> None:
        """Forget a session and its idle timer."""
        session.connection.sessions.pop(session.id, None)
        self.sessions.pop(session.id, None)
        self.session_table.timers.cancel(("idle", session.id))

    def _end_session(self, now: int, session: RtspSession) -> None:
        """End a session that the viewer closed or left. Pending requests are answered first."""
        ref, session.ref = session.ref, None
        session._answer_pending(now, Response(455, (), b"", "The session was torn down"))
        self.remove_session(session)
        if ref is not None:
            self.session_table.viewer_left(now, ref)

    def session_idle(self, now: int, name: str) -> None:
        """Handle the idle timer of a session: end it if its viewer showed no activity for the session time-out."""
        session = self.sessions.get(name)
        if session is None:
            return
        if session.state is RtspState.PLAYING and session.connection.outbox.bytes_taken > session.bytes_taken:
            # A viewer that accepts media is alive even if it sends nothing (RFC 2326 section 12.37 leaves this to the
            # server). A viewer that accepts nothing loses its connection through the stall time-out.
            session.last_heard = now
        session.bytes_taken = session.connection.outbox.bytes_taken
        until = session.last_heard + self.rules.bounds.idle
        if now - until > SECOND and session.state is not RtspState.STARTING:
            # The timer is late because this process was stalled. What the viewer sent meanwhile may still be unread.
            until = now + SECOND
            session.last_heard = until - self.rules.bounds.idle
        if now < until or session.state is RtspState.STARTING:
            self.session_table.timers.set(("idle", name), max(until, now + SECOND))
            return
        self.io_actions.append(LogLine("session idle", (("peer", session.connection.peer),)))
        self._end_session(now, session)

    def stalled(self, now: int, connection: ViewerConnection) -> None:
        """Log that a viewer accepted no bytes for the stall time-out."""
        self.io_actions.append(
            LogLine("viewer stalled", (("peer", connection.peer), ("waiting", connection.outbox.size)))
        )
