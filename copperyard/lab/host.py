"""A stand-in media host: the emulator's model behind the host side of docs/host-protocol.md."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import trio
from trio import TaskStatus

from ..control.attempt import HOST_FEATURE
from ..control.catalogue import Catalogue
from ..control.host_reports import HOST_UP_HEADER, LOAD_REPORT_HEADER, encode_host_up, encode_note, encode_report
from ..control.unresolved_codes import SETTLE_HEADER, SETTLED_HEADER, SetupFate
from ..gateway.net import CONNECTION_ERRORS, AutoResetEvent, Listener, Network, Stream, now
from ..interface import NoticeKind, Report
from ..protocol.rtp import Bye, RtpHeader, SenderReport, encode_compound, encode_packet
from ..protocol.rtsp import Connection, Limits, Request, Response
from ..protocol.rtsp.headers import RtpInfo, parse_range, parse_session, parse_transport, parse_url
from ..protocol.rtsp.messages import HeaderError, Headers
from .audit import Tap, TappedConnection
from .emulator import HostModel
from .emulator import Stream as ModelStream
from .emulator.model import SAMPLE_INTERVAL
from .media import AUDIO_CLOCK, VIDEO_CLOCK, fragments, picture, tone

SECOND = 1_000_000_000
FRAME_INTERVAL = 200_000_000  # ns between video frames, and between talkspurts
RTSP_LIMITS = Limits(8192, 64, 65536, 65535, 256)
NTP_EPOCH = 2_208_988_800


class RedemptionService:
    """The service that redeems paid codes for hosts: it issues one receipt per code, once, and verifies receipts."""

    def __init__(self) -> None:
        self.receipts: dict[str, str] = {}
        self.calls: list[tuple[int, str, str]] = []
        self.refused = 0
        self.receipts_by_request: dict[str, str] = {}

    def redeem(self, time: int, code: str, host: str, request: str = "") -> str | None:
        """Return a new receipt, or None if the code is already redeemed or starts with "bad"."""
        self.calls.append((time, code, host))
        if code in self.receipts or code.startswith("bad"):
            self.refused += 1
            return None
        self.receipts[code] = f"r-{len(self.receipts)}-{code}"
        self.receipts_by_request[request] = self.receipts[code]
        return self.receipts[code]

    def knows(self, receipt: str) -> bool:
        """Whether the service issued this receipt."""
        return receipt.rpartition("-")[2] in self.receipts


@dataclass(slots=True)
class Faults:
    """Injected protocol faults of a host; faults of its resources are in the model.

    `lose_answers` and `errors` are shares of the set-ups.
    """

    quiet_before_play: bool = False  # SETUP is answered; PLAY is read and gets no answer
    lose_answers: float = 0.0  # the set-up runs, but its answer is not sent
    errors: float = 0.0
    full: bool = False
    vanished: bool = False  # connections stay open, but requests are ignored and nothing more is sent


@dataclass(eq=False, slots=True)
class HostSession:
    """The RTSP and RTP state of a session at this host. Lists have one element per track."""

    id: str
    request: str
    stream: ModelStream
    length: float
    channels: list[int] = field(default_factory=list)
    tracks: list[int] = field(default_factory=list)
    position: float = 0.0
    play_count: int = 0
    seq: list[int] = field(default_factory=list)
    ts: list[int] = field(default_factory=list)
    ssrc: list[int] = field(default_factory=list)
    packets_sent: list[int] = field(default_factory=list)
    octets: list[int] = field(default_factory=list)
    frame_credit: float = 0.0
    frame_index: int = 0


class StandIn:
    """One host on a network: the emulator's model behind the host protocol.

    `scale` is the share of the media bytes that is actually sent; the model counts full size.
    """

    def __init__(
        self,
        name: str,
        cell: int,
        kind: int,
        zone: int,
        weight: float,
        model: HostModel,
        redemption: RedemptionService,
        catalogue: Catalogue,
        network: Network,
        tap: Tap,
        scale: float,
        seed: int,
    ) -> None:
        self.name, self.cell, self.kind, self.zone, self.weight = name, cell, kind, zone, weight
        self.model, self.settings, self.redemption, self.catalogue = model, model.settings, redemption, catalogue
        self.network, self.tap, self.scale = network, tap, scale
        self.random = random.Random(seed)
        self.faults = Faults()
        self.sessions: dict[str, HostSession] = {}
        self.streams_by_request: dict[str, list[ModelStream]] = {}  # by Request-Id, to compute the worth of visits
        self.writers: dict[str, _Writer] = {}
        self.address = ""
        self.boot = 0
        self._scope: trio.CancelScope | None = None
        self._streams: dict[Stream, None] = {}
        self._shortfall_reported: dict[str, bool] = {}
        self.setups_in_progress: set[str] = set()  # by Request-Id
        self.cancelled_requests: set[str] = set()

    # ---- process life cycle

    async def run(self, address: str = "127.0.0.1:0", task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until crashed or cancelled."""
        listener = await self.network.listen(address)
        self.address = listener.address
        self.tap.host_started(now(), self.name, self.boot, self.model.started, self.kind)
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._accept, listener, nursery)
                nursery.start_soon(self._send_notes)
                task_status.started(self.address)
        listener.close()

    def crash(self) -> None:
        """Simulate the death of the process: connections break and sessions end."""
        for stream in list(self._streams):
            stream.close()
        for session in self.sessions.values():
            self.model.close(now(), session.stream)
        self.sessions.clear()
        if self._scope is not None:
            self._scope.cancel()

    def reset_for_restart(self) -> None:
        """Prepare the next start: a new boot, a cold model and no faults."""
        self.boot += 1
        self.model.restart(now())
        self.faults = Faults()

    @property
    def up(self) -> bool:
        """Whether the process runs."""
        return self._scope is not None and not self._scope.cancel_called

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                nursery.start_soon(self._serve, await listener.accept())
        finally:
            listener.close()

    # ---- notes to fronts

    async def _send_notes(self) -> None:
        """Once a second, send at most one note of each kind to each front, on one of its sessions."""
        ticks, interval = 0, max(1, self.settings.notice_interval)
        while True:
            await trio.sleep(SAMPLE_INTERVAL / SECOND)
            time = now()
            self.model.sample(time)
            ticks += 1
            if ticks % 10:
                continue
            load_due = (
                self.settings.notice_interval > 0
                and (ticks * SAMPLE_INTERVAL) // interval != (ticks - 10) * SAMPLE_INTERVAL // interval
            )
            share = self.model.reported_share(time, self.settings.notice_delay)
            session_by_front: dict[str, HostSession] = {}
            for session in self.sessions.values():
                self.model.account(time, session.stream)
                if session.stream.playing:
                    session_by_front.setdefault(session.stream.front, session)
            link, uplink, _ = self.model.report(time)
            for front, session in session_by_front.items():
                short = share < 0.98
                if short or self._shortfall_reported.get(front):
                    self._send_note(session, NoticeKind.SHARE, share)
                self._shortfall_reported[front] = short
                if load_due:
                    self._send_note(session, NoticeKind.LINK, link)
                    self._send_note(session, NoticeKind.UPLINK, uplink)

    def _send_note(self, session: HostSession, kind: NoticeKind, value: float) -> None:
        writer = self.writers.get(session.id)
        if writer is not None and not self.faults.vanished and not self.model.paused:
            app = encode_note(session.ssrc[0], kind, value)
            writer.frame(session.channels[0] + 1, encode_compound([app], session.ssrc[0]))

    # ---- connections

    async def _serve(self, stream: Stream) -> None:
        """Read without pause, so that the tap records when bytes arrive; requests are processed at the model's pace."""
        wire = Connection(RTSP_LIMITS)
        tapped = self.tap.host_connection(self.name, self.boot)
        writer = _Writer(stream, tapped)
        own_sessions: dict[str, HostSession] = {}
        requests: deque[Request] = deque()
        wake = AutoResetEvent()
        self._streams[stream] = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                nursery.start_soon(self._process_requests, requests, wake, writer, own_sessions, nursery)
                while True:
                    data = await stream.receive_some(65536)
                    tapped.received(now(), data)
                    if not data:
                        break
                    for event in wire.receive(data):
                        if isinstance(event, Request):
                            if (
                                event.method == "SETUP"
                                and event.header("Session") is None
                                and not self.model.arrive(now())
                            ):
                                self.crash()
                            requests.append(event)
                            wake.set()
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            tapped.ended(now())
            self._streams.pop(stream, None)
            stream.close()
            for name, session in own_sessions.items():
                self.model.close(now(), session.stream)
                self.sessions.pop(name, None)
                self.writers.pop(name, None)

    async def _process_requests(
        self,
        requests: deque[Request],
        wake: AutoResetEvent,
        writer: _Writer,
        own_sessions: dict[str, HostSession],
        nursery: trio.Nursery,
    ) -> None:
        while True:
            while requests:
                while self.model.paused:  # noqa: ASYNC110 - the end of a pause signals nobody
                    await trio.sleep(0.02)
                await self._process_request(requests.popleft(), writer, own_sessions, nursery)
            await wake.wait()

    async def _process_request(
        self, request: Request, writer: _Writer, own_sessions: dict[str, HostSession], nursery: trio.Nursery
    ) -> None:
        if self.faults.vanished:
            return
        try:
            response, lost = await self._respond(request, writer, own_sessions, nursery)
        except HeaderError as error:
            response, lost = Response(error.status, (), b"", str(error)), False
        if not lost:
            age = now() - self.model.started if self.model.started else None
            load: Headers = (
                (LOAD_REPORT_HEADER, encode_report(Report(*self.model.report(now())))),
                (HOST_UP_HEADER, encode_host_up(str(self.boot), age)),
            )
            writer.put(
                Connection.encode_response(
                    request, Response(response.status, response.headers + load, response.body, response.reason)
                )
            )
        if request.method == "PLAY" and response.status == 200 and not lost:
            session = own_sessions[parse_session(request.header("Session") or "")[0]]
            if not session.stream.playing:
                session.play_count += 1
                self.model.play(now(), session.stream, True)
                nursery.start_soon(self._stream_media, session, writer)

    async def _respond(
        self, request: Request, writer: _Writer, own_sessions: dict[str, HostSession], nursery: trio.Nursery
    ) -> tuple[Response, bool]:
        method, session_header = request.method, request.header("Session")
        if method == "GET_PARAMETER" and session_header is None:
            queried = request.header(SETTLE_HEADER)
            return Response(200, ((SETTLED_HEADER, self._settle(queried)),) if queried else ()), False
        if method == "SETUP" and session_header is None:
            return await self._set_up(request, writer, own_sessions)
        session = own_sessions.get(parse_session(session_header or "")[0])
        if session is None:
            return Response(454), False
        headers: Headers = (("Session", session.id),)
        if method == "SETUP":
            return Response(200, headers + (("Transport", self._add_track(request, session)),)), False
        if method == "PLAY":
            if self.faults.quiet_before_play:
                return Response(200), True
            at = parse_range(request.header("Range") or "npt=now-", None).start
            session.position = at if at is not None else session.position
            base = request.uri.rstrip("/")
            infos = ",".join(
                RtpInfo(f"{base}/track{n}", seq, ts).encode()
                for n, seq, ts in zip(session.tracks, session.seq, session.ts, strict=True)
            )
            return Response(200, headers + (("RTP-Info", infos),)), False
        if method == "PAUSE":
            self.model.play(now(), session.stream, False)
        elif method == "TEARDOWN":
            self.model.close(now(), session.stream)
            own_sessions.pop(session.id, None)
            self.sessions.pop(session.id, None)
        elif method == "SET_PARAMETER":
            return self._change_rung(request, session), False
        return Response(200, headers), False

    def _settle(self, request: str) -> str:
        """Return the outcome of a set-up. One that has not run here is cancelled, so that it never will."""
        if request in self.setups_in_progress:
            return SetupFate.RUNNING.value
        receipt = self.redemption.receipts_by_request.get(request)
        if receipt is not None:
            return f"{SetupFate.REDEEMED.value}; receipt={receipt}"
        self.cancelled_requests.add(request)
        return SetupFate.NEVER.value

    async def _set_up(
        self, request: Request, writer: _Writer, own_sessions: dict[str, HostSession]
    ) -> tuple[Response, bool]:
        if request.header("Require") != HOST_FEATURE:
            return Response(551, (("Unsupported", request.header("Require") or ""),)), False
        s, faults, model = self.settings, self.faults, self.model
        title = self.catalogue.find(parse_url(request.uri).path)
        if title is None or (self.cell - title.home) % s.cells >= title.holders:
            return Response(404), False
        name = request.header("Request-Id") or ""
        if name in self.cancelled_requests:
            return Response(453), False
        ticket = model.enqueue(now())
        if ticket is None:
            return Response(453), False
        self.setups_in_progress.add(name)
        try:
            while now() < ticket.done:  # noqa: ASYNC110 - a pause postpones it
                await trio.sleep((ticket.done - now()) / SECOND)
        finally:
            self.setups_in_progress.discard(name)
        if self.random.random() < faults.errors:
            return Response(500), False
        if faults.full or not model.has_room():
            return Response(453), False
        headers: Headers = ()
        code, receipt = request.header("Redeem"), request.header("Receipt")
        if code is not None:
            receipt = self.redemption.redeem(now(), code, self.name, request.header("Request-Id") or "")
            if receipt is None:
                return Response(403), False
            headers = (("Receipt", receipt),)
        elif receipt is not None and not self.redemption.knows(receipt):
            return Response(403), False
        cls = next((n for n, c in enumerate(s.classes) if c.name == request.header("Class")), 0)
        rung = min(len(s.rung_kb) - 1, int(request.header("Rung") or 0))
        length = title.length / SECOND if title.length is not None else 3600.0
        via = (request.header("Via") or "").rpartition(" ")[2]
        stream = model.open(now(), via, cls, title.number, rung)
        name = request.header("Request-Id") or ""
        session = HostSession(f"{self.random.getrandbits(64):016x}", name, stream, length)
        self.streams_by_request.setdefault(name, []).append(stream)
        own_sessions[session.id] = self.sessions[session.id] = session
        self.writers[session.id] = writer
        headers += (("Session", f"{session.id};timeout=60"), ("Transport", self._add_track(request, session)))
        return Response(200, headers), self.random.random() < faults.lose_answers

    def _add_track(self, request: Request, session: HostSession) -> str:
        offer = parse_transport(request.header("Transport") or "")
        track = parse_url(request.uri).track
        assert offer.channels is not None and track is not None
        session.channels.append(offer.channels[0])
        session.tracks.append(track)
        session.seq.append(self.random.getrandbits(16))
        session.ts.append(self.random.getrandbits(32))
        session.ssrc.append(self.random.getrandbits(32))
        session.packets_sent.append(0)
        session.octets.append(0)
        return offer.encode()

    def _change_rung(self, request: Request, session: HostSession) -> Response:
        name, _, value = request.body.decode("utf-8", "replace").partition(":")
        if name.strip() != "rung" or not value.strip().isdigit() or int(value) >= len(self.settings.rung_kb):
            return Response(451)
        self.model.change_rung(now(), session.stream, int(value))
        return Response(200, (("Session", session.id),))

    # ---- media

    async def _stream_media(self, session: HostSession, writer: _Writer) -> None:
        """Send video frames and talkspurts until the title ends or the session is paused or torn down."""
        play_count = session.play_count
        while session.stream.playing and session.play_count == play_count and session.position < session.length:
            session.frame_credit += 0.0 if self.faults.vanished else self.model.share()
            if session.frame_credit >= 1:
                session.frame_credit -= 1
                self._send_frame(session, writer)
            self._advance(session)
            await trio.sleep(FRAME_INTERVAL / SECOND)
        if session.stream.playing and session.play_count == play_count:
            for n, ssrc in enumerate(session.ssrc):
                writer.frame(session.channels[n] + 1, encode_compound([Bye((ssrc,))], ssrc))
            self.model.play(now(), session.stream, False)

    def _advance(self, session: HostSession) -> None:
        session.position += FRAME_INTERVAL / SECOND
        session.frame_index += 1
        for n, track in enumerate(session.tracks):
            clock = VIDEO_CLOCK if track == 1 else AUDIO_CLOCK
            session.ts[n] = session.ts[n] + clock * FRAME_INTERVAL // SECOND & 0xFFFFFFFF

    def _send_frame(self, session: HostSession, writer: _Writer) -> None:
        stamp = (now() // SECOND + NTP_EPOCH) << 32 & 0xFFFFFFFFFFFFFFFF
        for n, track in enumerate(session.tracks):
            if track == 1:
                kind = self.settings.classes[session.stream.cls]
                kb = self.model.true_kb[session.stream.rung] * kind.rate_scale
                size = int(kb * 1000 * self.scale * FRAME_INTERVAL / SECOND)
                parts = fragments(*picture(max(64, size), session.frame_index % 4))
                for k, part in enumerate(parts):
                    self._send_packet(session, n, 26, part, k == len(parts) - 1, writer)
            else:
                self._send_packet(session, n, 0, tone(session.frame_index % 16), True, writer)
            if session.frame_index % 5 == 0:
                report = SenderReport(session.ssrc[n], stamp, session.ts[n], session.packets_sent[n], session.octets[n])
                writer.frame(session.channels[n] + 1, encode_compound([report], session.ssrc[n], self.name))

    def _send_packet(
        self, session: HostSession, track: int, kind: int, payload: bytes, marker: bool, writer: _Writer
    ) -> None:
        packet = RtpHeader(kind, session.seq[track], session.ts[track], session.ssrc[track], marker)
        if writer.frame(session.channels[track], encode_packet(packet, payload)):
            session.seq[track] = session.seq[track] + 1 & 0xFFFF
            session.packets_sent[track] += 1
            session.octets[track] += len(payload)


class _Writer:
    """Write buffer of a gateway connection; media that do not fit are dropped."""

    MAX_BUFFERED = 262_144

    def __init__(self, stream: Stream, tapped: TappedConnection) -> None:
        self._stream, self._tapped = stream, tapped
        self._buffer = bytearray()
        self._wake = AutoResetEvent()

    def put(self, data: bytes) -> None:
        """Queue bytes, whatever the buffer's size."""
        self._buffer += data
        self._wake.set()

    def frame(self, channel: int, payload: bytes) -> bool:
        """Queue an interleaved frame; False if the buffer is full."""
        if len(self._buffer) > self.MAX_BUFFERED:
            return False
        self.put(Connection.encode_frame(channel, payload))
        return True

    async def run(self) -> None:
        """Write queued bytes until cancelled."""
        while True:
            while self._buffer:
                sent = await self._stream.send_some(bytes(self._buffer[:65536]))
                self._tapped.sent(now(), bytes(self._buffer[:sent]))
                del self._buffer[:sent]
            await self._wake.wait()
