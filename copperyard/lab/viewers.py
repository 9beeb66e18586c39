"""Scripted viewers: they open a film over RTSP as a family's app would, and misbehave as told."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..gateway.net import CONNECTION_ERRORS, Network, Stream, now
from ..protocol import sdp
from ..protocol.rtp import Bye, parse, parse_compound
from ..protocol.rtsp import Connection, Frame, Limits, Malformed, Reply, Response
from ..protocol.rtsp.headers import parse_rtp_info, parse_session
from ..protocol.rtsp.messages import Headers
from .audit import Side, Tap

SECOND = 1_000_000_000
WIRE = Limits(8192, 64, 65536, 65535, 64)
HABITS = ("plain", "resend", "resend-elsewhere", "hang-up", "stop-reading", "half-message", "pause")


@dataclass(slots=True)
class Visit:
    """What came of one viewer's wish, over all its tries."""

    title: str
    code: str
    habit: str
    began: int  # when it meant to come: a viewer that was sent late waits all the same
    watch: float = 0.0
    requests: list[str] = field(default_factory=list)
    rungs: list[int] = field(default_factory=list)
    asked: float = 0.0
    worth: float = 0.0
    in_time: bool = False
    statuses: list[int] = field(default_factory=list)
    played_after: int | None = None
    frames: int = 0
    ended: str = ""
    faults: list[str] = field(default_factory=list)


class Broken(Exception):
    """The connection ended, or what came over it made no sense."""


class Client:
    """One RTSP connection to a gateway."""

    def __init__(self, stream: Stream, side: Side) -> None:
        self.stream, self.side = stream, side
        self.wire = Connection(WIRE)
        self.replies: dict[int, Response] = {}
        self.frames: list[Frame] = []

    async def write(self, data: bytes) -> None:
        while data:
            sent = await self.stream.send_some(data)
            self.side.sent(now(), data[:sent])
            data = data[sent:]

    async def ask(self, method: str, url: str, headers: Headers = ()) -> int:
        cseq, data = self.wire.ask(method, url, headers)
        await self.write(data)
        return cseq

    async def read(self) -> None:
        """Take some bytes; frames and responses gather. Broken at the end."""
        data = await self.stream.receive_some(65536)
        self.side.got(now(), data)
        if not data:
            raise Broken("closed by the gateway")
        for event in self.wire.receive(data):
            if isinstance(event, Frame):
                self.frames.append(event)
            elif isinstance(event, Reply):
                self.replies[event.cseq] = event.response
            elif isinstance(event, Malformed):
                raise Broken(event.text)

    async def answer(self, cseq: int) -> Response:
        while cseq not in self.replies:
            await self.read()
        return self.replies.pop(cseq)

    async def call(self, method: str, url: str, headers: Headers = ()) -> Response:
        return await self.answer(await self.ask(method, url, headers))

    def close(self) -> None:
        self.side.ended(now(), True)
        self.stream.close()


class Checker:
    """Watches one track: one source, numbers without gaps, time that never runs back."""

    def __init__(self) -> None:
        self.ssrc: int | None = None
        self.seq: int | None = None
        self.ts = 0

    def fault(self, payload: bytes) -> str:
        head = parse(payload)
        if head is None:
            return "no RTP"
        text = ""
        if self.ssrc is not None and head.ssrc != self.ssrc:
            text = "the source changed"
        elif self.seq is not None and head.seq != self.seq:
            text = f"packet {head.seq} where {self.seq} was due"
        elif self.seq is not None and (head.ts - self.ts) & 0xFFFFFFFF > 1 << 31:
            text = "time ran back"
        self.ssrc, self.seq, self.ts = head.ssrc, head.seq + 1 & 0xFFFF, head.ts
        return text


class Viewer:
    """One viewer's wish for one title, through any of the gateways that `pick` names."""

    def __init__(
        self,
        network: Network,
        tap: Tap,
        pick: Callable[[], tuple[str, str]],
        visit: Visit,
        patience: int,
        rng: random.Random,
    ) -> None:
        self.network, self.tap, self.pick, self.visit = network, tap, pick, visit
        self.patience, self.random = patience, rng

    async def run(self, watch: float, tries: int = 4) -> None:
        """Try until it played, was denied, or patience is at its end; then watch for `watch` s."""
        visit = self.visit
        for _ in range(tries):
            again = await self._try(watch)
            if again is None or now() - visit.began > self.patience:
                return
            await trio.sleep(again + self.random.uniform(0.2, 0.8))

    async def _open(self) -> Client | None:
        gateway, address = self.pick()
        try:
            with trio.move_on_after(2):
                stream = await self.network.connect(address)
                return Client(stream, self.tap.viewer_connection(gateway))
        except OSError:
            pass
        return None

    async def _try(self, watch: float) -> float | None:
        """One try; how long to wait before the next, None for no more."""
        client = await self._open()
        if client is None:
            return 1.0
        try:
            with trio.move_on_after(self.patience / SECOND + watch + 10):
                return await self._visit(client, watch)
            self.visit.ended = "gave up"
            return None
        except (Broken, *CONNECTION_ERRORS) as error:
            if not client.side.end:
                client.side.ended(now(), bool(getattr(client.stream, "fell", False)))
            self.visit.ended = f"broken: {error}"
            return None if self.visit.code and self.visit.statuses[-1:] in ([502], [504]) else 1.0
        finally:
            client.close()

    async def _visit(self, client: Client, watch: float) -> float | None:
        visit = self.visit
        query = f"?code={visit.code}" if visit.code else ""
        url = f"rtsp://{client.stream.peer}{visit.title}{query}"
        if visit.habit == "half-message":
            await client.write(f"DESCRIBE {url} RTSP/1.0\r\nCSe".encode())
            visit.ended = "left"
            return None
        described = await client.call("DESCRIBE", url, (("Accept", "application/sdp"),))
        if described.status != 200:
            visit.statuses.append(described.status)
            visit.ended = "denied"
            return None
        session, checkers, controls = "", {}, []
        for n, media in enumerate(sdp.parse(described.body).media):
            controls.append(media.get("control") or "")
            headers: Headers = (("Transport", f"RTP/AVP/TCP;unicast;interleaved={2 * n}-{2 * n + 1}"),)
            if session:
                headers += (("Session", session),)
            answer = await client.call("SETUP", controls[-1], headers)
            if answer.status != 200:
                visit.statuses.append(answer.status)
                return 1.0
            session = parse_session(answer.header("Session") or "")[0]
            checkers[2 * n] = Checker()
        named: Headers = (("Session", session),)
        cseq = await client.ask("PLAY", url, (*named, ("Range", "npt=0-")))
        other = await self._misbehave(client, url, named)
        if other is None:
            return None
        async with trio.open_nursery() as nursery:
            # beside, so that what a second connection waits for never keeps the first answer unread
            if visit.habit == "resend-elsewhere" and visit.code:
                nursery.start_soon(self._elsewhere, url)
            broken: Exception | None = None
            try:
                answer = await client.answer(cseq)
            except (Broken, *CONNECTION_ERRORS) as error:
                broken = error
            nursery.cancel_scope.cancel()
        if broken is not None:
            raise broken
        visit.statuses.append(answer.status)
        if answer.status == 453:
            return float(answer.header("Retry-After") or 1)
        if answer.status != 200:
            visit.ended = "failed" if answer.status >= 500 else "denied"
            return None if visit.code else 1.0
        visit.requests.append(answer.header("Request-Id") or "")
        for info in parse_rtp_info(answer.header("RTP-Info") or ""):
            n = next((k for k, c in enumerate(controls) if c.split("?")[0] == info.url), 0)
            checkers[2 * n].seq, checkers[2 * n].ts = info.seq, info.rtptime
        if visit.played_after is None:
            visit.played_after = now() - visit.began
        for twin in other:
            if (await client.answer(twin)).status != 200:
                visit.faults.append("a repeated PLAY was answered otherwise")
        return await self._watch(client, url, named, checkers, watch)

    async def _misbehave(self, client: Client, url: str, named: Headers) -> list[int] | None:
        """What the habit does while PLAY is out: CSeqs that wait for an answer too, None where it left."""
        visit = self.visit
        if visit.habit == "hang-up":
            await trio.sleep(self.random.uniform(0, 0.03))
            visit.ended = "left"
            return None
        if visit.habit == "resend":
            return [await client.ask("PLAY", url, (*named, ("Range", "npt=0-")))]
        return []

    async def _elsewhere(self, url: str) -> None:
        second = await self._open()
        if second is not None:
            try:
                await self._claim(second, url)
            except (Broken, *CONNECTION_ERRORS):
                second.side.ended(now(), bool(getattr(second.stream, "fell", False)))
            finally:
                second.close()

    async def _claim(self, client: Client, url: str) -> None:
        """The same code on another connection: anything but a second redemption is right."""
        path, _, query = url.split("/", 3)[-1].partition("?")
        again = f"rtsp://{client.stream.peer}/{path}"
        answer = await client.call(
            "SETUP", f"{again}/track1?{query}", (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)
        )
        if answer.status == 200:
            named = (("Session", parse_session(answer.header("Session") or "")[0]),)
            await client.call("PLAY", f"{again}?{query}", named)

    async def _watch(
        self, client: Client, url: str, named: Headers, checkers: dict[int, Checker], watch: float
    ) -> float | None:
        visit, byes, begin = self.visit, 0, now()
        paused = False
        with trio.move_on_after(watch) as scope:
            while byes < len(checkers):
                if visit.habit == "stop-reading" and visit.frames > 5:
                    await trio.sleep_forever()
                if visit.habit == "pause" and visit.frames > 10 and not paused:
                    paused = True
                    status = (await client.call("PAUSE", url, named)).status
                    if status == 200:
                        await trio.sleep(0.5)
                        status = (await client.call("PLAY", url, named)).status
                    if status not in (200, 454, 455, 502, 504):
                        visit.faults.append(f"a pause was answered {status}")
                    continue
                if not client.frames:
                    await client.read()
                frames, client.frames = client.frames, []
                for frame in frames:
                    if frame.channel in checkers:
                        visit.frames += 1
                        fault = checkers[frame.channel].fault(frame.payload)
                        if fault:
                            visit.faults.append(fault)
                    else:
                        byes += any(isinstance(p, Bye) for p in parse_compound(frame.payload) or ())
        visit.ended = "watched" if scope.cancelled_caught else "film ended"
        if not scope.cancelled_caught and (now() - begin) / SECOND < 0.8 * visit.watch - 1:
            visit.ended = "broken: the film ended early"  # its host was lost: most viewers come again
            return self.random.uniform(0.5, 1.5)
        if visit.habit != "stop-reading":
            with trio.move_on_after(5):
                await client.call("TEARDOWN", url, named)
        return None
