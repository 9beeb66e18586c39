"""One attempt at one host, from the connection to the end of the session: the host's side of a session.

The dialogue is SETUP for each track, PLAY, then media and keep-alives on the same connection (docs/host-protocol.md).
Bytes go in and results come out; bytes to send are collected in `out`. The I/O closes the connection before it
reports the end to the core, so two attempts of a request are never out at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..interface import NoticeKind, OutcomeCode, Report
from ..protocol.rtp import App, Bye, ReceiverReport, ReportBlock, SenderReport, encode_compound, parse_compound
from ..protocol.rtsp import (
    Connection,
    Event,
    FrameBatch,
    Limits,
    MalformedInput,
    MatchedResponse,
    Request,
    Response,
    UnsolicitedResponse,
    frame_header,
)
from ..protocol.rtsp.headers import parse_rtp_info, parse_session, quote_path
from ..protocol.rtsp.messages import HeaderError, Headers
from .catalogue import Title
from .host_reports import HOST_UP_HEADER, LOAD_REPORT_HEADER, parse_host_up, parse_note, parse_report
from .splice import Splice, splice_run

MAX_REPORT_BACKLOG_BYTES = 8192  # bytes waiting for a host above which receiver reports are dropped
HOST_FEATURE = "copperyard.host.1"
TEXT_CONTENT_TYPE = ("Content-Type", "text/parameters")


class Stage(Enum):
    """Stages of an attempt, in order. The second one is the check of the host, which may be skipped."""

    CONNECT = 0
    CHECK = 1
    SETUP = 2
    PLAY = 3
    OPEN = 4
    DONE = 5


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The host reported its load."""

    report: Report


@dataclass(frozen=True, slots=True)
class HostChecked:
    """The host answered the check before the set-up. `up` is its boot id and uptime in ns, if it tells them."""

    up: tuple[str, int | None] | None


@dataclass(frozen=True, slots=True)
class ReceiptReceived:
    """The host redeemed the code or accepted the receipt."""

    receipt: str


@dataclass(frozen=True, slots=True)
class PlaybackStarted:
    """The host plays. `infos` is the first sequence number and timestamp of each track, as the viewer gets them."""

    infos: tuple[tuple[int, int] | None, ...]


@dataclass(frozen=True, slots=True)
class MediaData:
    """Interleaved frames for the viewer, on the viewer's channels."""

    data: bytes


@dataclass(frozen=True, slots=True)
class HostNote:
    """A host's note on the load of its links."""

    kind: NoticeKind
    value: float


@dataclass(frozen=True, slots=True)
class RungAnswered:
    """The rung in force after the host's answer; `ok` is false if the host did not follow the request."""

    rung: int
    ok: bool


@dataclass(frozen=True, slots=True)
class ForwardedReply:
    """The host's answer to a forwarded PAUSE or PLAY."""

    method: str
    response: Response
    infos: tuple[tuple[int, int] | None, ...]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The attempt ended with this code. `status` is the host's RTSP status, 0 if it sent none."""

    code: OutcomeCode
    status: int = 0


AttemptResult = (
    LoadReported
    | HostChecked
    | ReceiptReceived
    | PlaybackStarted
    | MediaData
    | HostNote
    | RungAnswered
    | ForwardedReply
    | AttemptEnded
)


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """What an attempt sets up. `code` is a fresh code or None, `receipt` the receipt of a redeemed code or empty,
    `start` the position in the title in seconds, `tracks` the requested track numbers of the title, from 1.
    """

    ref: int
    number: int
    server: int
    address: str
    title: Title
    tracks: tuple[int, ...]
    cls: str
    rung: int
    front: str
    code: str | None
    receipt: str
    start: float


@dataclass(eq=False, slots=True)
class Attempt:
    """The RTSP dialogue of one attempt.

    It must have reached `PlaybackStarted` by its deadline (ns). Two sequence numbers refer to journal records of this
    attempt: the intent to send its code, and the receipt. While the PLAY is held back, it waits for `release_play`,
    because the viewer's answer depends on it and must not precede the durable receipt.
    """

    plan: AttemptPlan
    limits: Limits
    splices: tuple[Splice, ...]
    decided_at: int
    deadline: int
    stage: Stage = Stage.CONNECT
    outcome: OutcomeCode | None = None
    report: Report | None = None
    out: bytearray = field(default_factory=bytearray)
    sent: bool = False
    last_heard: int = 0
    rung: int = 0
    intent_sequence: int = 0
    receipt_sequence: int = 0
    hold_play: bool = False
    last_exchange_ns: int = 0  # duration of the connect, or of the check before the set-up
    check_sent_at: int = 0
    _play_ready: bool = False
    _wire: Connection = field(init=False)
    _session_id: str = ""
    _tracks_set_up: int = 0
    _requested_rung: int | None = None
    _wanted_rung: int | None = None
    _bye_count: int = 0

    def __post_init__(self) -> None:
        self._wire = Connection(self.limits, batch_frames=True)
        self.rung = self.plan.rung

    # ---- requests to the host

    def _url(self, track: int | None = None) -> str:
        tail = f"/track{self.plan.tracks[track]}" if track is not None else ""
        return f"rtsp://{self.plan.address}{quote_path(self.plan.title.path)}{tail}"

    def _send_request(self, method: str, url: str, headers: Headers = (), body: bytes = b"") -> None:
        if self._session_id:
            headers = (("Session", self._session_id), *headers)
        if self._wire.pending < self.limits.pending:
            self.out += self._wire.make_request(method, url, headers, body)[1]

    def send_host_check(self, now: int) -> None:
        """Check the host after connecting: send a keep-alive, whose answer tells the host's uptime. Nothing of the
        session has been sent yet.
        """
        self.stage, self.last_heard, self.check_sent_at = Stage.CHECK, now, now
        self._send_request("GET_PARAMETER", f"rtsp://{self.plan.address}/")

    def start_setup(self, now: int) -> None:
        """Send the first SETUP."""
        self.stage, self.last_heard, self.sent = Stage.SETUP, now, True
        self._send_setup()

    def _send_setup(self) -> None:
        plan, n = self.plan, self._tracks_set_up
        headers: Headers = (("Transport", f"RTP/AVP/TCP;unicast;interleaved={2 * n}-{2 * n + 1}"),)
        if n == 0:
            headers += (
                ("Require", HOST_FEATURE),
                ("Via", f"RTSP/1.0 {plan.front}"),
                ("Request-Id", f"{plan.front}/{plan.ref}"),
                ("Class", plan.cls),
                ("Rung", str(plan.rung)),
            )
            if plan.code is not None:
                headers += (("Redeem", plan.code),)
            elif plan.receipt:
                headers += (("Receipt", plan.receipt),)
        self._send_request("SETUP", self._url(n), headers)

    def set_rung(self, rung: int) -> None:
        """Request another rung. One request is out at a time; the latest wanted rung is requested next."""
        self._wanted_rung = rung
        self._send_wanted_rung()

    def _send_wanted_rung(self) -> None:
        if self._requested_rung is None and self._wanted_rung is not None and self.stage is Stage.OPEN:
            self._requested_rung, self._wanted_rung = self._wanted_rung, None
            self._send_request(
                "SET_PARAMETER", self._url(), (TEXT_CONTENT_TYPE,), f"rung: {self._requested_rung}\r\n".encode()
            )

    def pause(self) -> None:
        """Send PAUSE."""
        self._send_request("PAUSE", self._url())

    def resume(self, start: str | None) -> None:
        """Send PLAY again, from `start` (a Range value) or from the paused position."""
        self._send_request("PLAY", self._url(), (("Range", start),) if start else ())

    def keep_alive(self) -> None:
        """Send a keep-alive, whose answer also carries a load report."""
        self._send_request("GET_PARAMETER", self._url())

    def forward_receiver_report(self, track: int, blocks: tuple[ReportBlock, ...]) -> bool:
        """Forward the viewer's reception blocks of a track (by index) and return whether they were queued. They are
        dropped while the connection is backed up; the next report supersedes them.
        """
        blocks = self.splices[track].host_blocks(blocks)
        if self.stage is not Stage.OPEN or not blocks or len(self.out) > MAX_REPORT_BACKLOG_BYTES:
            return False
        payload = encode_compound([ReceiverReport(self.splices[track].ssrc, blocks)], self.splices[track].ssrc)
        self.out += Connection.encode_frame(2 * track + 1, payload)
        return True

    def tear_down(self) -> None:
        """Send TEARDOWN if a session is established."""
        if self._session_id and self.stage is not Stage.DONE:
            self._send_request("TEARDOWN", self._url())
        self.stage = Stage.DONE

    # ---- messages from the host

    def receive(self, now: int, data: bytes) -> list[AttemptResult]:
        """Process the host's bytes and return what they mean for the session."""
        self.last_heard = now
        found: list[AttemptResult] = []
        for event in self._wire.receive(data):
            if self.stage is Stage.DONE:
                break
            self._handle_event(now, event, found)
        return found

    def connection_lost_code(self) -> OutcomeCode:
        """Return the outcome of the attempt when the connection is lost in the current stage."""
        if not self.sent:
            return OutcomeCode.CONNECT_FAILED
        return OutcomeCode.OK if self._bye_count and self._bye_count >= self._tracks_set_up else OutcomeCode.RESET

    def _handle_event(self, now: int, event: Event, found: list[AttemptResult]) -> None:
        if isinstance(event, FrameBatch):
            if self.stage is Stage.OPEN:
                self._handle_media(now, event.data, found)
        elif isinstance(event, MatchedResponse):
            self._handle_reply(now, event, found)
        elif isinstance(event, Request):
            self._handle_request(event)
        elif isinstance(event, MalformedInput | UnsolicitedResponse):
            if not self.sent:
                return self._ended(OutcomeCode.CONNECT_FAILED, 0, found)
            # after a protocol violation it is not known whether the set-up ran
            self._ended(OutcomeCode.RESET if self.stage is Stage.OPEN else OutcomeCode.ERROR, 0, found)

    def _ended(self, code: OutcomeCode, status: int, found: list[AttemptResult]) -> None:
        found.append(AttemptEnded(code, status))

    def _handle_request(self, request: Request) -> None:
        status = 200 if request.method in ("OPTIONS", "GET_PARAMETER") else 501
        self.out += Connection.encode_response(request, Response(status))

    def _handle_reply(self, now: int, reply: MatchedResponse, found: list[AttemptResult]) -> None:
        response = reply.response
        report = parse_report(response.header(LOAD_REPORT_HEADER))
        if report is not None:
            self.report = report
            if self.stage is Stage.OPEN:
                found.append(LoadReported(report))
        if self.stage is Stage.CHECK:
            found.append(HostChecked(parse_host_up(response.header(HOST_UP_HEADER))))
        elif reply.method == "SETUP":
            self._handle_setup_reply(response, found)
        elif reply.method == "PLAY" and self.stage is Stage.PLAY:
            self._handle_play_reply(now, response, found)
        elif reply.method in ("PLAY", "PAUSE"):
            found.append(ForwardedReply(reply.method, response, self._infos(now, response)))
        elif reply.method == "SET_PARAMETER":
            self._handle_rung_reply(response, found)
        elif response.status == 454:  # keep-alive for a session that the host no longer has
            self._ended(OutcomeCode.RESET, 454, found)

    def _handle_setup_reply(self, response: Response, found: list[AttemptResult]) -> None:
        first = self._tracks_set_up == 0
        if response.status != 200:
            # Only a 453 to the first SETUP proves that nothing ran: the code is redeemed with that SETUP.
            full = response.status == 453 and (first or self.plan.code is None)
            return self._ended(OutcomeCode.FULL if full else OutcomeCode.ERROR, response.status, found)
        if first:
            try:
                self._session_id = parse_session(response.header("Session") or "")[0]
            except HeaderError:
                return self._ended(OutcomeCode.ERROR, response.status, found)
            if self.plan.code is not None or self.plan.receipt:
                found.append(ReceiptReceived(response.header("Receipt") or ""))
        self._tracks_set_up += 1
        if self._tracks_set_up < len(self.splices):
            return self._send_setup()
        self._play_ready = True
        if not self.hold_play:
            self.release_play()

    def release_play(self) -> None:
        """Allow the PLAY. It is sent now, or once all tracks are set up."""
        self.hold_play = False
        if self._play_ready and self.stage is Stage.SETUP:
            self.stage = Stage.PLAY
            self._send_request("PLAY", self._url(), (("Range", f"npt={self.plan.start:.3f}-"),))

    def _handle_play_reply(self, now: int, response: Response, found: list[AttemptResult]) -> None:
        if response.status != 200:
            full = response.status == 453 and self.plan.code is None
            return self._ended(OutcomeCode.FULL if full else OutcomeCode.ERROR, response.status, found)
        self.stage = Stage.OPEN
        found.append(PlaybackStarted(self._infos(now, response)))
        self._send_wanted_rung()

    def _infos(self, now: int, response: Response) -> tuple[tuple[int, int] | None, ...]:
        """Return for each track where the viewer's numbering continues, None if the host does not say."""
        found: list[tuple[int, int] | None] = [None] * len(self.splices)
        if response.status == 200:
            for info in parse_rtp_info(response.header("RTP-Info") or ""):
                n = info.url.rstrip("/").rpartition("/track")[2]
                if n.isdigit() and int(n[:4]) in self.plan.tracks:
                    at = self.plan.tracks.index(int(n[:4]))
                    found[at] = self.splices[at].announce(now, info.seq, info.rtptime)
        return tuple(found)

    def _handle_rung_reply(self, response: Response, found: list[AttemptResult]) -> None:
        asked, self._requested_rung = self._requested_rung, None
        if response.status == 200 and asked is not None:
            self.rung = asked
        found.append(RungAnswered(self.rung, response.status == 200))
        self._send_wanted_rung()

    def _handle_media(self, now: int, run: bytearray, found: list[AttemptResult]) -> None:
        kept, control = splice_run(now, run, self.splices)
        found += [MediaData(data) for data in kept]
        for track, payload in control:
            self._handle_rtcp(track, payload, found)

    def _handle_rtcp(self, track: int, payload: bytes, found: list[AttemptResult]) -> None:
        splice = self.splices[track]
        for one in parse_compound(payload) or ():
            if isinstance(one, App):
                note = parse_note(one)
                if note is not None:
                    found.append(HostNote(*note))
            elif isinstance(one, SenderReport):
                found.append(_for_viewer(splice, encode_compound([splice.viewer_report(one)], splice.ssrc)))
            elif isinstance(one, Bye):
                self._bye_count += 1
                found.append(_for_viewer(splice, encode_compound([Bye((splice.ssrc,))], splice.ssrc)))
                if self._bye_count == self._tracks_set_up:
                    self._ended(OutcomeCode.OK, 0, found)


def _for_viewer(splice: Splice, payload: bytes) -> MediaData:
    return MediaData(frame_header(splice.channel + 1, len(payload)) + payload)


class HostQuery:
    """One GET_PARAMETER to a host, on a connection of its own."""

    def __init__(self, address: str, limits: Limits, headers: Headers = ()) -> None:
        self._wire = Connection(limits)
        self.out = self._wire.make_request("GET_PARAMETER", f"rtsp://{address}/", headers)[1]

    def receive(self, data: bytes) -> Response | OutcomeCode | None:
        """Return the response, ERROR for a malformed one, None while there is none."""
        for event in self._wire.receive(data):
            if isinstance(event, MatchedResponse):
                return event.response
            if isinstance(event, MalformedInput | UnsolicitedResponse):
                return OutcomeCode.ERROR
        return None


def probe_result(answer: Response | OutcomeCode) -> tuple[OutcomeCode, Report | None]:
    """Return the code and the load report of a probe's answer."""
    if isinstance(answer, OutcomeCode):
        return answer, None
    return (OutcomeCode.OK if answer.status == 200 else OutcomeCode.ERROR), parse_report(
        answer.header(LOAD_REPORT_HEADER)
    )
