"""A stand-in media host: the emulator's model behind the host's side of docs/host-protocol.md."""

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
from ..protocol.rtp import Bye, Packet, SenderReport, encode_compound, pack
from ..protocol.rtsp import Connection, Limits, Request, Response
from ..protocol.rtsp.headers import RtpInfo, parse_range, parse_session, parse_transport, parse_url
from ..protocol.rtsp.messages import BadHeader, Headers
from .audit import Side, Tap
from .emulator import HostModel
from .emulator import Stream as ModelStream
from .emulator.model import SAMPLE
from .media import AUDIO_CLOCK, VIDEO_CLOCK, fragments, picture, tone

SECOND = 1_000_000_000
FRAME = 200_000_000  # ns between pictures, and between talkspurts
WIRE = Limits(8192, 64, 65536, 65535, 256)
NTP_EPOCH = 2_208_988_800


class Office:
    """The code office that hosts ask: gives one receipt for a code, once, and knows its receipts again."""

    def __init__(self) -> None:
        self.receipts: dict[str, str] = {}
        self.asked: list[tuple[int, str, str]] = []
        self.refused = 0
        self.by_request: dict[str, str] = {}

    def redeem(self, time: int, code: str, host: str, request: str = "") -> str | None:
        self.asked.append((time, code, host))
        if code in self.receipts or code.startswith("bad"):
            self.refused += 1
            return None
        self.receipts[code] = f"r-{len(self.receipts)}-{code}"
        self.by_request[request] = self.receipts[code]
        return self.receipts[code]

    def knows(self, receipt: str) -> bool:
        return receipt.rpartition("-")[2] in self.receipts


@dataclass(slots=True)
class Faults:
    """What is wrong with how a host speaks; what is wrong with its resources is the model's. Shares are of
    set-ups."""

    quiet_before_play: bool = False  # SETUP is answered, PLAY is taken and nothing comes
    lose_answers: float = 0.0  # the work runs, its answer never leaves
    errors: float = 0.0
    full: bool = False
    vanished: bool = False  # connections stay, and nothing is read or said any more


@dataclass(eq=False, slots=True)
class Playing:
    """A session at this host, as the wire sees it."""

    id: str
    request: str
    stream: ModelStream
    length: float
    channels: list[int] = field(default_factory=list)
    tracks: list[int] = field(default_factory=list)
    position: float = 0.0
    run: int = 0
    seq: list[int] = field(default_factory=list)
    ts: list[int] = field(default_factory=list)
    ssrc: list[int] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    octets: list[int] = field(default_factory=list)
    owed: float = 0.0
    step: int = 0


class StandIn:
    """One host on a network: the emulator's model behind the host contract. `scale` is the share of media bytes
    that is really sent; the model's ledger is full size."""

    def __init__(
        self,
        name: str,
        cell: int,
        kind: int,
        zone: int,
        weight: float,
        model: HostModel,
        office: Office,
        catalogue: Catalogue,
        network: Network,
        tap: Tap,
        scale: float,
        seed: int,
    ) -> None:
        self.name, self.cell, self.kind, self.zone, self.weight = name, cell, kind, zone, weight
        self.model, self.settings, self.office, self.catalogue = model, model.settings, office, catalogue
        self.network, self.tap, self.scale = network, tap, scale
        self.random = random.Random(seed)
        self.faults = Faults()
        self.sessions: dict[str, Playing] = {}
        self.done: dict[str, list[ModelStream]] = {}  # by request, for the reckoning of worth
        self.writers: dict[str, _Writer] = {}
        self.address = ""
        self.boot = 0
        self._scope: trio.CancelScope | None = None
        self._streams: dict[Stream, None] = {}
        self._shorted: dict[str, bool] = {}
        self.setting: set[str] = set()  # set-ups at work, by Request-Id
        self.barred: set[str] = set()

    # ---- life

    async def run(self, address: str = "127.0.0.1:0", task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until crashed or cancelled."""
        listener = await self.network.listen(address)
        self.address = listener.address
        self.tap.host_up(now(), self.name, self.boot, self.model.started, self.kind)
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._accept, listener, nursery)
                nursery.start_soon(self._tell)
                task_status.started(self.address)
        listener.close()

    def crash(self) -> None:
        """The process is gone: connections break, sessions end."""
        for stream in list(self._streams):
            stream.close()
        for session in self.sessions.values():
            self.model.close(now(), session.stream)
        self.sessions.clear()
        if self._scope is not None:
            self._scope.cancel()

    def reborn(self) -> None:
        """It will start again: a new boot, cold."""
        self.boot += 1
        self.model.restart(now())
        self.faults = Faults()

    @property
    def up(self) -> bool:
        return self._scope is not None and not self._scope.cancel_called

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                nursery.start_soon(self._serve, await listener.accept())
        finally:
            listener.close()

    # ---- what it tells

    async def _tell(self) -> None:
        """Once a second, one note of each kind to one session of each front."""
        ticks, every = 0, max(1, self.settings.notice_interval)
        while True:
            await trio.sleep(SAMPLE / SECOND)
            time = now()
            self.model.sample(time)
            ticks += 1
            if ticks % 10:
                continue
            told = self.settings.notice_interval > 0 and (ticks * SAMPLE) // every != (ticks - 10) * SAMPLE // every
            share = self.model.told_share(time, self.settings.notice_delay)
            fronts: dict[str, Playing] = {}
            for session in self.sessions.values():
                self.model.tick(time, session.stream)
                if session.stream.playing:
                    fronts.setdefault(session.stream.front, session)
            link, uplink, _ = self.model.report(time)
            for front, session in fronts.items():
                short = share < 0.98
                if short or self._shorted.get(front):
                    self._note(session, NoticeKind.SHARE, share)
                self._shorted[front] = short
                if told:
                    self._note(session, NoticeKind.LINK, link)
                    self._note(session, NoticeKind.UPLINK, uplink)

    def _note(self, session: Playing, kind: NoticeKind, value: float) -> None:
        writer = self.writers.get(session.id)
        if writer is not None and not self.faults.vanished and not self.model.paused:
            app = encode_note(session.ssrc[0], kind, value)
            writer.frame(session.channels[0] + 1, encode_compound([app], session.ssrc[0]))

    # ---- connections

    async def _serve(self, stream: Stream) -> None:
        """Read always, so that the tap sees each byte when it came; work comes behind, at the model's pace."""
        wire = Connection(WIRE)
        tapped = self.tap.host_connection(self.name, self.boot)
        writer = _Writer(stream, tapped)
        own: dict[str, Playing] = {}
        work: deque[Request] = deque()
        wake = AutoResetEvent()
        self._streams[stream] = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                nursery.start_soon(self._work, work, wake, writer, own, nursery)
                while True:
                    data = await stream.receive_some(65536)
                    tapped.got(now(), data)
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
                            work.append(event)
                            wake.set()
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            tapped.ended(now())
            self._streams.pop(stream, None)
            stream.close()
            for name, session in own.items():
                self.model.close(now(), session.stream)
                self.sessions.pop(name, None)
                self.writers.pop(name, None)

    async def _work(
        self,
        work: deque[Request],
        wake: AutoResetEvent,
        writer: _Writer,
        own: dict[str, Playing],
        nursery: trio.Nursery,
    ) -> None:
        while True:
            while work:
                while self.model.paused:  # noqa: ASYNC110 - what waits for a host that stands still waits as long
                    await trio.sleep(0.02)
                await self._request(work.popleft(), writer, own, nursery)
            await wake.wait()

    async def _request(self, request: Request, writer: _Writer, own: dict[str, Playing], nursery: trio.Nursery) -> None:
        if self.faults.vanished:
            return
        try:
            response, lost = await self._answer(request, writer, own, nursery)
        except BadHeader as error:
            response, lost = Response(error.status, (), b"", str(error)), False
        if not lost:
            age = now() - self.model.started if self.model.started else None
            load: Headers = (
                (LOAD_REPORT_HEADER, encode_report(Report(*self.model.report(now())))),
                (HOST_UP_HEADER, encode_host_up(str(self.boot), age)),
            )
            writer.put(
                Connection.answer(
                    request, Response(response.status, response.headers + load, response.body, response.reason)
                )
            )
        if request.method == "PLAY" and response.status == 200 and not lost:
            session = own[parse_session(request.header("Session") or "")[0]]
            if not session.stream.playing:
                session.run += 1
                self.model.play(now(), session.stream, True)
                nursery.start_soon(self._play, session, writer)

    async def _answer(
        self, request: Request, writer: _Writer, own: dict[str, Playing], nursery: trio.Nursery
    ) -> tuple[Response, bool]:
        method, named = request.method, request.header("Session")
        if method == "GET_PARAMETER" and named is None:
            asked = request.header(SETTLE_HEADER)
            return Response(200, ((SETTLED_HEADER, self._settled(asked)),) if asked else ()), False
        if method == "SETUP" and named is None:
            return await self._set_up(request, writer, own)
        session = own.get(parse_session(named or "")[0])
        if session is None:
            return Response(454), False
        headers: Headers = (("Session", session.id),)
        if method == "SETUP":
            return Response(200, headers + (("Transport", self._track(request, session)),)), False
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
            own.pop(session.id, None)
            self.sessions.pop(session.id, None)
        elif method == "SET_PARAMETER":
            return self._rung(request, session), False
        return Response(200, headers), False

    def _settled(self, request: str) -> str:
        """What became of a set-up; one that never ran here will not run any more."""
        if request in self.setting:
            return SetupFate.RUNNING.value
        receipt = self.office.by_request.get(request)
        if receipt is not None:
            return f"{SetupFate.REDEEMED.value}; receipt={receipt}"
        self.barred.add(request)
        return SetupFate.NEVER.value

    async def _set_up(self, request: Request, writer: _Writer, own: dict[str, Playing]) -> tuple[Response, bool]:
        if request.header("Require") != HOST_FEATURE:
            return Response(551, (("Unsupported", request.header("Require") or ""),)), False
        s, faults, model = self.settings, self.faults, self.model
        title = self.catalogue.find(parse_url(request.uri).path)
        if title is None or (self.cell - title.home) % s.cells >= title.holders:
            return Response(404), False
        name = request.header("Request-Id") or ""
        if name in self.barred:
            return Response(453), False
        ticket = model.queue_up(now())
        if ticket is None:
            return Response(453), False
        self.setting.add(name)
        try:
            while now() < ticket.done:  # noqa: ASYNC110 - a pause moves it
                await trio.sleep((ticket.done - now()) / SECOND)
        finally:
            self.setting.discard(name)
        if self.random.random() < faults.errors:
            return Response(500), False
        if faults.full or not model.has_room():
            return Response(453), False
        headers: Headers = ()
        code, receipt = request.header("Redeem"), request.header("Receipt")
        if code is not None:
            receipt = self.office.redeem(now(), code, self.name, request.header("Request-Id") or "")
            if receipt is None:
                return Response(403), False
            headers = (("Receipt", receipt),)
        elif receipt is not None and not self.office.knows(receipt):
            return Response(403), False
        cls = next((n for n, c in enumerate(s.classes) if c.name == request.header("Class")), 0)
        rung = min(len(s.rung_kb) - 1, int(request.header("Rung") or 0))
        length = title.length / SECOND if title.length is not None else 3600.0
        via = (request.header("Via") or "").rpartition(" ")[2]
        stream = model.open(now(), via, cls, title.number, rung)
        name = request.header("Request-Id") or ""
        session = Playing(f"{self.random.getrandbits(64):016x}", name, stream, length)
        self.done.setdefault(name, []).append(stream)
        own[session.id] = self.sessions[session.id] = session
        self.writers[session.id] = writer
        headers += (("Session", f"{session.id};timeout=60"), ("Transport", self._track(request, session)))
        return Response(200, headers), self.random.random() < faults.lose_answers

    def _track(self, request: Request, session: Playing) -> str:
        offer = parse_transport(request.header("Transport") or "")
        track = parse_url(request.uri).track
        assert offer.channels is not None and track is not None
        session.channels.append(offer.channels[0])
        session.tracks.append(track)
        session.seq.append(self.random.getrandbits(16))
        session.ts.append(self.random.getrandbits(32))
        session.ssrc.append(self.random.getrandbits(32))
        session.sent.append(0)
        session.octets.append(0)
        return offer.encode()

    def _rung(self, request: Request, session: Playing) -> Response:
        name, _, value = request.body.decode("utf-8", "replace").partition(":")
        if name.strip() != "rung" or not value.strip().isdigit() or int(value) >= len(self.settings.rung_kb):
            return Response(451)
        self.model.step(now(), session.stream, int(value))
        return Response(200, (("Session", session.id),))

    # ---- media

    async def _play(self, session: Playing, writer: _Writer) -> None:
        """Send pictures and talkspurts until the film ends, is paused or torn down."""
        run = session.run
        while session.stream.playing and session.run == run and session.position < session.length:
            session.owed += 0.0 if self.faults.vanished else self.model.share()
            if session.owed >= 1:
                session.owed -= 1
                self._send(session, writer)
            self._advance(session)
            await trio.sleep(FRAME / SECOND)
        if session.stream.playing and session.run == run:
            for n, ssrc in enumerate(session.ssrc):
                writer.frame(session.channels[n] + 1, encode_compound([Bye((ssrc,))], ssrc))
            self.model.play(now(), session.stream, False)

    def _advance(self, session: Playing) -> None:
        session.position += FRAME / SECOND
        session.step += 1
        for n, track in enumerate(session.tracks):
            clock = VIDEO_CLOCK if track == 1 else AUDIO_CLOCK
            session.ts[n] = session.ts[n] + clock * FRAME // SECOND & 0xFFFFFFFF

    def _send(self, session: Playing, writer: _Writer) -> None:
        stamp = (now() // SECOND + NTP_EPOCH) << 32 & 0xFFFFFFFFFFFFFFFF
        for n, track in enumerate(session.tracks):
            if track == 1:
                kind = self.settings.classes[session.stream.cls]
                kb = self.model.true_kb[session.stream.rung] * kind.rate_scale
                size = int(kb * 1000 * self.scale * FRAME / SECOND)
                parts = fragments(*picture(max(64, size), session.step % 4))
                for k, part in enumerate(parts):
                    self._packet(session, n, 26, part, k == len(parts) - 1, writer)
            else:
                self._packet(session, n, 0, tone(session.step % 16), True, writer)
            if session.step % 5 == 0:
                report = SenderReport(session.ssrc[n], stamp, session.ts[n], session.sent[n], session.octets[n])
                writer.frame(session.channels[n] + 1, encode_compound([report], session.ssrc[n], self.name))

    def _packet(self, session: Playing, track: int, kind: int, payload: bytes, marker: bool, writer: _Writer) -> None:
        packet = Packet(kind, session.seq[track], session.ts[track], session.ssrc[track], marker)
        if writer.frame(session.channels[track], pack(packet, payload)):
            session.seq[track] = session.seq[track] + 1 & 0xFFFF
            session.sent[track] += 1
            session.octets[track] += len(payload)


class _Writer:
    """What a host still has to write to one gateway connection; media that find no room are not sent."""

    LIMIT = 262_144

    def __init__(self, stream: Stream, tapped: Side) -> None:
        self._stream, self._tapped = stream, tapped
        self._data = bytearray()
        self._wake = AutoResetEvent()

    def put(self, data: bytes) -> None:
        self._data += data
        self._wake.set()

    def frame(self, channel: int, payload: bytes) -> bool:
        if len(self._data) > self.LIMIT:
            return False
        self.put(Connection.frame(channel, payload))
        return True

    async def run(self) -> None:
        while True:
            while self._data:
                sent = await self._stream.send_some(bytes(self._data[:65536]))
                self._tapped.sent(now(), bytes(self._data[:sent]))
                del self._data[:sent]
            await self._wake.wait()
