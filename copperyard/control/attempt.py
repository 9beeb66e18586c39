"""One attempt at one host, from its connect to the end of what plays: the host's side of a session.

The dialogue is SETUP for each track, PLAY, then media and keep-alives on the same connection (docs/
host-protocol.md). Bytes in, results out; bytes to send gather in `out`. The I/O closes the connection before
the core hears of the end, so two attempts are never out at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..interface import Code, NoteKind, Report
from ..protocol.rtp import App, Block, Bye, ReceiverReport, SenderReport, encode_compound, parse_compound
from ..protocol.rtsp import Connection, Event, Limits, Malformed, Reply, Request, Response, Run, Unasked, frame_header
from ..protocol.rtsp.headers import parse_rtp_info, parse_session, quote_path
from ..protocol.rtsp.messages import BadHeader, Headers
from .catalogue import Title
from .evidence import REPORT_HEADER, UP_HEADER, note_of, parse_report, parse_up
from .splice import Splice, splice_run

MOST_REPORTS = 8192  # bytes that wait for a host, beyond which receiver reports are left out
FEATURE = "copperyard.host.1"
TEXT = ("Content-Type", "text/parameters")


class Stage(Enum):
    CONNECT = 0
    ASK = 1
    SETUP = 2
    PLAY = 3
    OPEN = 4
    DONE = 5


@dataclass(frozen=True, slots=True)
class Reported:
    """The host told its load."""

    report: Report


@dataclass(frozen=True, slots=True)
class Ready:
    """The host was asked before the set-up and is there. `up`: its boot and age, where it tells them."""

    up: tuple[str, int | None] | None


@dataclass(frozen=True, slots=True)
class Redeemed:
    """The host redeemed the code, or took the receipt."""

    receipt: str


@dataclass(frozen=True, slots=True)
class Played:
    """The host plays. `infos`: for each track the first packet's number and time as the viewer gets them."""

    infos: tuple[tuple[int, int] | None, ...]


@dataclass(frozen=True, slots=True)
class Media:
    """Interleaved frames for the viewer, on its own channels."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Told:
    """A note on the host's links."""

    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Stepped:
    """The rung that is in force after the host answered; `ok` is false where it did not follow."""

    rung: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Done:
    """A viewer's PAUSE or PLAY that was passed on has its answer."""

    method: str
    response: Response
    infos: tuple[tuple[int, int] | None, ...]


@dataclass(frozen=True, slots=True)
class Over:
    """The attempt is at its end for this reason. `status` is the host's, 0 where it gave none."""

    code: Code
    status: int = 0


Result = Reported | Ready | Redeemed | Played | Media | Told | Stepped | Done | Over


@dataclass(frozen=True, slots=True)
class Plan:
    """What an attempt is to set up. `code` is a fresh code or None, `receipt` that of a redeemed one or empty,
    `start` the place in the film in seconds, `tracks` the numbers of the title's tracks that are wanted, from 1."""

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
    """The dialogue. `limit` is the time in ns by which it must have come to Played. `intent` and `fact` are the
    journal's numbers of what this attempt wrote: that its code is about to leave, and that it was redeemed. With
    `hold` the PLAY waits for `go`: the viewer's answer follows on it, and must not come before its fact is on disk."""

    plan: Plan
    limits: Limits
    splices: tuple[Splice, ...]
    began: int
    limit: int
    stage: Stage = Stage.CONNECT
    verdict: Code | None = None
    report: Report | None = None
    out: bytearray = field(default_factory=bytearray)
    sent: bool = False
    heard: int = 0
    rung: int = 0
    intent: int = 0
    fact: int = 0
    hold: bool = False
    trip: int = 0  # ns that the last exchange with the host took: its connect, or the question before the set-up
    asked: int = 0
    _held: bool = False
    _wire: Connection = field(init=False)
    _session: str = ""
    _tracks: int = 0
    _asked_rung: int | None = None
    _wanted_rung: int | None = None
    _byes: int = 0

    def __post_init__(self) -> None:
        self._wire = Connection(self.limits, runs=True)
        self.rung = self.plan.rung

    # ---- what this side does

    def _url(self, track: int | None = None) -> str:
        tail = f"/track{self.plan.tracks[track]}" if track is not None else ""
        return f"rtsp://{self.plan.address}{quote_path(self.plan.title.path)}{tail}"

    def _ask(self, method: str, url: str, headers: Headers = (), body: bytes = b"") -> None:
        if self._session:
            headers = (("Session", self._session), *headers)
        if self._wire.waiting < self.limits.pending:
            self.out += self._wire.ask(method, url, headers, body)[1]

    def ask_first(self, now: int) -> None:
        """The connection stands: ask for a sign of life, by which the host also tells how long it is up. Nothing of
        the session has left yet."""
        self.stage, self.heard, self.asked = Stage.ASK, now, now
        self._ask("GET_PARAMETER", f"rtsp://{self.plan.address}/")

    def connected(self, now: int) -> None:
        """The first SETUP leaves."""
        self.stage, self.heard, self.sent = Stage.SETUP, now, True
        self._setup()

    def _setup(self) -> None:
        plan, n = self.plan, self._tracks
        headers: Headers = (("Transport", f"RTP/AVP/TCP;unicast;interleaved={2 * n}-{2 * n + 1}"),)
        if n == 0:
            headers += (
                ("Require", FEATURE),
                ("Via", f"RTSP/1.0 {plan.front}"),
                ("Request-Id", f"{plan.front}/{plan.ref}"),
                ("Class", plan.cls),
                ("Rung", str(plan.rung)),
            )
            if plan.code is not None:
                headers += (("Redeem", plan.code),)
            elif plan.receipt:
                headers += (("Receipt", plan.receipt),)
        self._ask("SETUP", self._url(n), headers)

    def set_rung(self, rung: int) -> None:
        """Ask for another rung. One question is out at a time; the newest wish is asked next."""
        self._wanted_rung = rung
        self._step()

    def _step(self) -> None:
        if self._asked_rung is None and self._wanted_rung is not None and self.stage is Stage.OPEN:
            self._asked_rung, self._wanted_rung = self._wanted_rung, None
            self._ask("SET_PARAMETER", self._url(), (TEXT,), f"rung: {self._asked_rung}\r\n".encode())

    def pause(self) -> None:
        self._ask("PAUSE", self._url())

    def resume(self, start: str | None) -> None:
        """PLAY again, from `start` (a Range value) or from where it stands."""
        self._ask("PLAY", self._url(), (("Range", start),) if start else ())

    def keep_alive(self) -> None:
        """Ask for a sign of life, which also brings a report."""
        self._ask("GET_PARAMETER", self._url())

    def receiver_report(self, track: int, blocks: tuple[Block, ...]) -> bool:
        """Pass on what the viewer received of a track, by its place; whether it leaves. One that finds the connection
        full is left out: the next one tells more."""
        blocks = self.splices[track].reception(blocks)
        if self.stage is not Stage.OPEN or not blocks or len(self.out) > MOST_REPORTS:
            return False
        payload = encode_compound([ReceiverReport(self.splices[track].ssrc, blocks)], self.splices[track].ssrc)
        self.out += Connection.frame(2 * track + 1, payload)
        return True

    def tear_down(self) -> None:
        """Say goodbye, where there is a session to end."""
        if self._session and self.stage is not Stage.DONE:
            self._ask("TEARDOWN", self._url())
        self.stage = Stage.DONE

    # ---- what the host does

    def receive(self, now: int, data: bytes) -> list[Result]:
        """Take the host's bytes."""
        self.heard = now
        found: list[Result] = []
        for event in self._wire.receive(data):
            if self.stage is Stage.DONE:
                break
            self._event(now, event, found)
        return found

    def lost(self) -> Code:
        """The connection broke: what that says of the attempt."""
        if not self.sent:
            return Code.CONNECT_FAILED
        return Code.OK if self._byes and self._byes >= self._tracks else Code.RESET

    def _event(self, now: int, event: Event, found: list[Result]) -> None:
        if isinstance(event, Run):
            if self.stage is Stage.OPEN:
                self._media(now, event.data, found)
        elif isinstance(event, Reply):
            self._reply(now, event, found)
        elif isinstance(event, Request):
            self._request(event)
        elif isinstance(event, Malformed | Unasked):
            if not self.sent:
                return self._over(Code.CONNECT_FAILED, 0, found)
            # what does not follow the protocol cannot be trusted to have run or not to have run
            self._over(Code.RESET if self.stage is Stage.OPEN else Code.ERROR, 0, found)

    def _over(self, code: Code, status: int, found: list[Result]) -> None:
        found.append(Over(code, status))

    def _request(self, request: Request) -> None:
        status = 200 if request.method in ("OPTIONS", "GET_PARAMETER") else 501
        self.out += Connection.answer(request, Response(status))

    def _reply(self, now: int, reply: Reply, found: list[Result]) -> None:
        response = reply.response
        report = parse_report(response.header(REPORT_HEADER))
        if report is not None:
            self.report = report
            if self.stage is Stage.OPEN:
                found.append(Reported(report))
        if self.stage is Stage.ASK:
            found.append(Ready(parse_up(response.header(UP_HEADER))))
        elif reply.method == "SETUP":
            self._set_up(response, found)
        elif reply.method == "PLAY" and self.stage is Stage.PLAY:
            self._playing(now, response, found)
        elif reply.method in ("PLAY", "PAUSE"):
            found.append(Done(reply.method, response, self._infos(now, response)))
        elif reply.method == "SET_PARAMETER":
            self._rung_answer(response, found)
        elif response.status == 454:  # a keep-alive for a session that the host no longer has
            self._over(Code.RESET, 454, found)

    def _set_up(self, response: Response, found: list[Result]) -> None:
        first = self._tracks == 0
        if response.status != 200:
            # only the first SETUP's 453 proves that nothing ran: a code is redeemed with it
            full = response.status == 453 and (first or self.plan.code is None)
            return self._over(Code.FULL if full else Code.ERROR, response.status, found)
        if first:
            try:
                self._session = parse_session(response.header("Session") or "")[0]
            except BadHeader:
                return self._over(Code.ERROR, response.status, found)
            if self.plan.code is not None or self.plan.receipt:
                found.append(Redeemed(response.header("Receipt") or ""))
        self._tracks += 1
        if self._tracks < len(self.splices):
            return self._setup()
        self._held = True
        if not self.hold:
            self.go()

    def go(self) -> None:
        """The PLAY leaves, or will as soon as all tracks are set up."""
        self.hold = False
        if self._held and self.stage is Stage.SETUP:
            self.stage = Stage.PLAY
            self._ask("PLAY", self._url(), (("Range", f"npt={self.plan.start:.3f}-"),))

    def _playing(self, now: int, response: Response, found: list[Result]) -> None:
        if response.status != 200:
            full = response.status == 453 and self.plan.code is None
            return self._over(Code.FULL if full else Code.ERROR, response.status, found)
        self.stage = Stage.OPEN
        found.append(Played(self._infos(now, response)))
        self._step()

    def _infos(self, now: int, response: Response) -> tuple[tuple[int, int] | None, ...]:
        """For each track, where the viewer's numbering goes on; None where the host does not say."""
        found: list[tuple[int, int] | None] = [None] * len(self.splices)
        if response.status == 200:
            for info in parse_rtp_info(response.header("RTP-Info") or ""):
                n = info.url.rstrip("/").rpartition("/track")[2]
                if n.isdigit() and int(n[:4]) in self.plan.tracks:
                    at = self.plan.tracks.index(int(n[:4]))
                    found[at] = self.splices[at].announce(now, info.seq, info.rtptime)
        return tuple(found)

    def _rung_answer(self, response: Response, found: list[Result]) -> None:
        asked, self._asked_rung = self._asked_rung, None
        if response.status == 200 and asked is not None:
            self.rung = asked
        found.append(Stepped(self.rung, response.status == 200))
        self._step()

    def _media(self, now: int, run: bytearray, found: list[Result]) -> None:
        kept, control = splice_run(now, run, self.splices)
        found += [Media(data) for data in kept]
        for track, payload in control:
            self._control(track, payload, found)

    def _control(self, track: int, payload: bytes, found: list[Result]) -> None:
        splice = self.splices[track]
        for one in parse_compound(payload) or ():
            if isinstance(one, App):
                note = note_of(one)
                if note is not None:
                    found.append(Told(*note))
            elif isinstance(one, SenderReport):
                found.append(_for_viewer(splice, encode_compound([splice.report(one)], splice.ssrc)))
            elif isinstance(one, Bye):
                self._byes += 1
                found.append(_for_viewer(splice, encode_compound([Bye((splice.ssrc,))], splice.ssrc)))
                if self._byes == self._tracks:
                    self._over(Code.OK, 0, found)


def _for_viewer(splice: Splice, payload: bytes) -> Media:
    return Media(frame_header(splice.channel + 1, len(payload)) + payload)


class Question:
    """One question to a host, on a connection of its own."""

    def __init__(self, address: str, limits: Limits, headers: Headers = ()) -> None:
        self._wire = Connection(limits)
        self.out = self._wire.ask("GET_PARAMETER", f"rtsp://{address}/", headers)[1]

    def receive(self, data: bytes) -> Response | Code | None:
        """The answer, ERROR for what is none, None while there is neither."""
        for event in self._wire.receive(data):
            if isinstance(event, Reply):
                return event.response
            if isinstance(event, Malformed | Unasked):
                return Code.ERROR
        return None


def load_told(answer: Response | Code) -> tuple[Code, Report | None]:
    """What the answer to a probe comes to."""
    if isinstance(answer, Code):
        return answer, None
    return (Code.OK if answer.status == 200 else Code.ERROR), parse_report(answer.header(REPORT_HEADER))
