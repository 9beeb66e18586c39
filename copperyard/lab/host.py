"""A stand-in media host: the host's side of docs/host-protocol.md, with a simple model of its links and faults.

Its link and its rack's uplink are shared alike by what is asked of them; it starts cold, and falls over when
it is sent more than the stated multiple of what it can take. The full emulator comes later.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import trio
from trio import TaskStatus

from ..control.attempt import FEATURE
from ..control.catalogue import Catalogue
from ..control.evidence import REPORT_HEADER, encode_report, note_app
from ..gateway.net import CLOSED, Listener, Network, Signal, Stream, now
from ..interface import NoteKind, Report, Settings
from ..protocol.rtp import Bye, Packet, SenderReport, encode_compound, pack
from ..protocol.rtsp import Connection, Limits, Request, Response
from ..protocol.rtsp.headers import RtpInfo, parse_range, parse_session, parse_transport, parse_url
from ..protocol.rtsp.messages import BadHeader, Headers
from .audit import Side, Tap
from .media import AUDIO_CLOCK, VIDEO_CLOCK, fragments, picture, tone

SECOND = 1_000_000_000
FRAME = 200_000_000  # ns between pictures, and between talkspurts
WIRE = Limits(8192, 64, 65536, 65535, 256)
REPORT_EVERY = 300_000_000
NTP_EPOCH = 2_208_988_800


@dataclass(slots=True)
class Rack:
    """The uplink that the hosts of a rack share, kB a second."""

    uplink: float
    weak: float = 1.0
    hosts: list[StandIn] = field(default_factory=list)

    def load(self) -> float:
        return sum(host.asked() for host in self.hosts) / (self.uplink / self.weak)


class Office:
    """The code office that hosts ask: gives one receipt for a code, once, and knows its receipts again."""

    def __init__(self) -> None:
        self.receipts: dict[str, str] = {}
        self.asked: list[tuple[int, str, str]] = []
        self.refused = 0

    def redeem(self, time: int, code: str, host: str) -> str | None:
        self.asked.append((time, code, host))
        if code in self.receipts or code.startswith("bad"):
            self.refused += 1
            return None
        self.receipts[code] = f"r-{len(self.receipts)}-{code}"
        return self.receipts[code]

    def knows(self, receipt: str) -> bool:
        return receipt.rpartition("-")[2] in self.receipts


@dataclass(slots=True)
class Faults:
    """What is wrong with a host now. Shares are of set-ups."""

    quiet_before_play: bool = False  # SETUP is answered, PLAY is taken and nothing comes
    lose_answers: float = 0.0  # the work runs, its answer never leaves
    errors: float = 0.0
    full: bool = False
    standing: bool = False  # nothing is done, sessions get nothing
    weak: float = 1.0  # the link gives so many times less
    late_reports: int = 0


@dataclass(eq=False, slots=True)
class Playing:
    """A session at this host."""

    id: str
    front: str
    kb: float
    rung: int
    scale: float
    length: float
    channels: list[int] = field(default_factory=list)
    tracks: list[int] = field(default_factory=list)
    position: float = 0.0
    playing: bool = False
    run: int = 0
    seq: list[int] = field(default_factory=list)
    ts: list[int] = field(default_factory=list)
    ssrc: list[int] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    octets: list[int] = field(default_factory=list)
    owed: float = 0.0
    step: int = 0


class StandIn:
    """One host. `link` is what its link gives in kB a second, `scale` the share of media bytes really sent."""

    def __init__(self, name: str, cell: int, settings: Settings, kind: int, zone: int, weight: float, link: float,
                 rack: Rack, office: Office, catalogue: Catalogue, network: Network, tap: Tap, scale: float,
                 seed: int) -> None:
        self.name, self.cell, self.kind, self.zone, self.weight = name, cell, kind, zone, weight
        self.settings, self.link, self.rack, self.office = settings, link, rack, office
        self.network, self.tap, self.scale, self.catalogue = network, tap, scale, catalogue
        self.writers: dict[str, _Writer] = {}
        self.random = random.Random(seed)
        self.faults = Faults()
        self.sessions: dict[str, Playing] = {}
        self.address = ""
        self.boot = 0
        self.started = 0  # 0: long ago, and warm
        self.fallen = False
        self._arrivals: deque[int] = deque()
        self._reports: deque[tuple[int, Report]] = deque(maxlen=64)
        self._scope: trio.CancelScope | None = None
        self._streams: dict[Stream, None] = {}
        self._shorted: dict[str, bool] = {}
        rack.hosts.append(self)

    # ---- the model

    def asked(self) -> float:
        return sum(s.kb for s in self.sessions.values() if s.playing)

    def load(self) -> float:
        return self.asked() / (self.link / self.faults.weak)

    def share(self) -> float:
        return 0.0 if self.faults.standing else 1 / max(1.0, self.load(), self.rack.load())

    def warmth(self, time: int) -> float:
        if not self.started:
            return 1.0
        s = self.settings
        return min(1.0, s.cold_from + (1 - s.cold_from) * (time - self.started) / s.warm_within)

    def _arrived(self, time: int) -> None:
        """Count a set-up; a cold host that is sent too many falls over and stays down."""
        s = self.settings
        self._arrivals.append(time)
        while self._arrivals[0] <= time - s.fall:
            self._arrivals.popleft()
        if self.started and time - self.started < s.warm_within:
            places = s.places_by_kind[self.kind]
            can = s.fall_multiple * places * self.warmth(time) * s.fall / s.warm_within
            if len(self._arrivals) > can + 1:
                self.fallen = True
                self.crash()

    # ---- life

    async def run(self, address: str = "127.0.0.1:0",
                  task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until crashed or cancelled."""
        listener = await self.network.listen(address)
        self.address = listener.address
        self.tap.host_up(now(), self.name, self.boot, self.started, self.kind)
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
        self.sessions.clear()
        if self._scope is not None:
            self._scope.cancel()

    def reborn(self) -> None:
        """It will start again: a new boot, cold."""
        self.boot += 1
        self.started = now()
        self.faults = Faults()
        self._reports.clear()
        self._arrivals.clear()

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

    def _report(self, time: int) -> Report:
        wanted = time - self.faults.late_reports
        found = next((r for at, r in reversed(self._reports) if at <= wanted), None)
        return found if found is not None else Report(self.load(), self.rack.load(), float(len(self.sessions)))

    async def _tell(self) -> None:
        """Once a second, one note of each kind to one session of each front; reports are taken in between."""
        shares: deque[float] = deque([1.0, 1.0, 1.0], maxlen=3)
        ticks = 0
        while True:
            await trio.sleep(REPORT_EVERY / SECOND)
            self._reports.append((now(), Report(self.load(), self.rack.load(), float(len(self.sessions)))))
            ticks += 1
            if ticks % 3:
                continue
            shares.append(self.share())
            told = ticks * REPORT_EVERY // max(1, self.settings.told_every) \
                != (ticks - 3) * REPORT_EVERY // max(1, self.settings.told_every) and self.settings.told_every > 0
            fronts: dict[str, Playing] = {}
            for session in self.sessions.values():
                if session.playing:
                    fronts.setdefault(session.front, session)
            for front, session in fronts.items():
                short = shares[-2] < 0.98
                if short or self._shorted.get(front):
                    self._note(session, NoteKind.SHARE, shares[-2])
                self._shorted[front] = short
                if told:
                    self._note(session, NoteKind.LINK, self.load())
                    self._note(session, NoteKind.UPLINK, self.rack.load())

    def _note(self, session: Playing, kind: NoteKind, value: float) -> None:
        writer = self.writers.get(session.id)
        if writer is not None and not self.faults.standing:
            app = note_app(session.ssrc[0], kind, value)
            writer.frame(session.channels[0] + 1, encode_compound([app], session.ssrc[0]))

    # ---- connections

    async def _serve(self, stream: Stream) -> None:
        wire = Connection(WIRE)
        tapped = self.tap.host_connection(self.name, self.boot)
        writer = _Writer(stream, tapped)
        own: dict[str, Playing] = {}
        self._streams[stream] = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                while True:
                    data = await stream.receive_some(65536)
                    tapped.got(now(), data)
                    if not data:
                        break
                    for event in wire.receive(data):
                        if isinstance(event, Request):
                            await self._request(event, writer, own, nursery)
                nursery.cancel_scope.cancel()
        except* CLOSED:
            pass
        finally:
            tapped.ended(now())
            self._streams.pop(stream, None)
            stream.close()
            for name in own:
                self.sessions.pop(name, None)
                self.writers.pop(name, None)

    async def _request(self, request: Request, writer: _Writer, own: dict[str, Playing],
                       nursery: trio.Nursery) -> None:
        first = request.method == "SETUP" and request.header("Session") is None
        if first:
            self._arrived(now())
        if self.faults.standing:
            return
        try:
            response, lost = await self._answer(request, writer, own, nursery)
        except BadHeader as error:
            response, lost = Response(error.status, (), b"", str(error)), False
        if not lost:
            load: Headers = ((REPORT_HEADER, encode_report(self._report(now()))),)
            writer.put(Connection.answer(request, Response(response.status, response.headers + load, response.body,
                                                           response.reason)))
        if request.method == "PLAY" and response.status == 200 and not lost:
            session = own[parse_session(request.header("Session") or "")[0]]
            if not session.playing:
                session.playing, session.run = True, session.run + 1
                nursery.start_soon(self._play, session, writer)

    async def _answer(self, request: Request, writer: _Writer, own: dict[str, Playing],
                      nursery: trio.Nursery) -> tuple[Response, bool]:
        method, named = request.method, request.header("Session")
        if method == "GET_PARAMETER" and named is None:
            return Response(200), False
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
            infos = ",".join(RtpInfo(f"{base}/track{n}", seq, ts).encode()
                             for n, seq, ts in zip(session.tracks, session.seq, session.ts, strict=True))
            return Response(200, headers + (("RTP-Info", infos),)), False
        if method == "PAUSE":
            session.playing = False
        elif method == "TEARDOWN":
            session.playing = False
            own.pop(session.id, None)
            self.sessions.pop(session.id, None)
        elif method == "SET_PARAMETER":
            return self._rung(request, session), False
        return Response(200, headers), False

    async def _set_up(self, request: Request, writer: _Writer, own: dict[str, Playing]) -> tuple[Response, bool]:
        if request.header("Require") != FEATURE:
            return Response(551, (("Unsupported", request.header("Require") or ""),)), False
        s, faults = self.settings, self.faults
        title = self.catalogue.find(parse_url(request.uri).path)
        if title is None or (self.cell - title.home) % s.cells >= title.holders:
            return Response(404), False
        await trio.sleep(self.random.uniform(0.002, 0.02) / self.warmth(now()))
        if faults.standing:
            return Response(200), True
        if self.random.random() < faults.errors:
            return Response(500), False
        if faults.full or self.load() >= s.full_from or len(self.sessions) >= s.places_by_kind[self.kind]:
            return Response(453), False
        headers: Headers = ()
        code, receipt = request.header("Redeem"), request.header("Receipt")
        if code is not None:
            receipt = self.office.redeem(now(), code, self.name)
            if receipt is None:
                return Response(403), False
            headers = (("Receipt", receipt),)
        elif receipt is not None and not self.office.knows(receipt):
            return Response(403), False
        cls = next((c for c in s.classes if c.name == request.header("Class")), s.classes[0])
        rung = min(len(s.rung_kb) - 1, int(request.header("Rung") or 0))
        length = title.length / SECOND if title.length is not None else 3600.0
        via = (request.header("Via") or "").rpartition(" ")[2]
        session = Playing(f"{self.random.getrandbits(64):016x}", via, s.rung_kb[rung] * cls.scale, rung, cls.scale,
                          length)
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
        session.rung = int(value)
        session.kb = self.settings.rung_kb[session.rung] * session.scale
        return Response(200, (("Session", session.id),))

    # ---- media

    async def _play(self, session: Playing, writer: _Writer) -> None:
        """Send pictures and talkspurts until the film ends, is paused or torn down."""
        run = session.run
        while session.playing and session.run == run and session.position < session.length:
            session.owed += self.share()
            if session.owed >= 1:
                session.owed -= 1
                self._send(session, writer)
            self._advance(session)
            await trio.sleep(FRAME / SECOND)
        if session.playing and session.run == run:
            for n, ssrc in enumerate(session.ssrc):
                writer.frame(session.channels[n] + 1, encode_compound([Bye((ssrc,))], ssrc))
            session.playing = False

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
                size = int(session.kb * 1000 * self.scale * FRAME / SECOND)
                parts = fragments(*picture(max(64, size), session.step % 4))
                for k, part in enumerate(parts):
                    self._packet(session, n, 26, part, k == len(parts) - 1, writer)
            else:
                self._packet(session, n, 0, tone(session.step % 16), True, writer)
            if session.step % 5 == 0:
                report = SenderReport(session.ssrc[n], stamp, session.ts[n], session.sent[n], session.octets[n])
                writer.frame(session.channels[n] + 1, encode_compound([report], session.ssrc[n], self.name))

    def _packet(self, session: Playing, track: int, kind: int, payload: bytes, marker: bool,
                writer: _Writer) -> None:
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
        self._wake = Signal()

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
