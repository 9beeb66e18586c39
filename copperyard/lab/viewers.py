"""Simulated viewers: they play a title over RTSP as a player app does, and misbehave according to their habit."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..gateway.net import CONNECTION_ERRORS, Network, Stream, now
from ..protocol import sdp
from ..protocol.rtp import Bye, parse_compound, parse_header
from ..protocol.rtsp import Connection, Frame, Limits, MalformedInput, MatchedResponse, Response
from ..protocol.rtsp.headers import parse_rtp_info, parse_session
from ..protocol.rtsp.messages import Headers
from .audit import Tap, TappedConnection

SECOND = 1_000_000_000
RTSP_LIMITS = Limits(8192, 64, 65536, 65535, 64)
HABITS = ("plain", "resend", "resend-elsewhere", "hang-up", "stop-reading", "half-message", "pause")


@dataclass(slots=True)
class Visit:
    """The outcome of one viewer's attempt to watch a title, over all its connections.

    `habit` is one of HABITS. `watch` is in s, `played_after` in ns. `ended` says how the last connection ended.
    """

    title: str
    code: str
    habit: str
    began: int  # ns, intended arrival: a delay of the load generator counts as waiting time
    watch: float = 0.0
    request_ids: list[str] = field(default_factory=list)
    rungs: list[int] = field(default_factory=list)
    worth_asked: float = 0.0
    worth: float = 0.0
    in_time: bool = False
    statuses: list[int] = field(default_factory=list)
    played_after: int | None = None
    frames: int = 0
    ended: str = ""
    faults: list[str] = field(default_factory=list)


class ConnectionBrokenError(Exception):
    """The connection ended, or the data on it is malformed."""


class Client:
    """A tapped RTSP connection to a gateway."""

    def __init__(self, stream: Stream, side: TappedConnection) -> None:
        self.stream, self.tapped = stream, side
        self.parser = Connection(RTSP_LIMITS)
        self.replies: dict[int, Response] = {}
        self.frames: list[Frame] = []

    async def write(self, data: bytes) -> None:
        """Write all bytes."""
        while data:
            sent = await self.stream.send_some(data)
            self.tapped.sent(now(), data[:sent])
            data = data[sent:]

    async def send_request(self, method: str, url: str, headers: Headers = ()) -> int:
        """Send a request and return its CSeq."""
        cseq, data = self.parser.make_request(method, url, headers)
        await self.write(data)
        return cseq

    async def read(self) -> None:
        """Read some bytes and collect their frames and responses.

        Raise an error if the connection ended or a message is malformed.
        """
        data = await self.stream.receive_some(65536)
        self.tapped.received(now(), data)
        if not data:
            raise ConnectionBrokenError("closed by the gateway")
        for event in self.parser.receive(data):
            if isinstance(event, Frame):
                self.frames.append(event)
            elif isinstance(event, MatchedResponse):
                self.replies[event.cseq] = event.response
            elif isinstance(event, MalformedInput):
                raise ConnectionBrokenError(event.text)

    async def wait_response(self, cseq: int) -> Response:
        """Read until the response to a request arrives."""
        while cseq not in self.replies:
            await self.read()
        return self.replies.pop(cseq)

    async def call(self, method: str, url: str, headers: Headers = ()) -> Response:
        """Send a request and wait for its response."""
        return await self.wait_response(await self.send_request(method, url, headers))

    def close(self) -> None:
        """Close the connection and record that this end closed it."""
        self.tapped.ended(now(), True)
        self.stream.close()


class TrackChecker:
    """Checks one RTP track: a single source, sequence numbers without gaps, timestamps that do not decrease."""

    def __init__(self) -> None:
        self.ssrc: int | None = None
        self.seq: int | None = None
        self.ts = 0

    def check(self, payload: bytes) -> str:
        """Check the next packet; describe the fault, or return "" if there is none."""
        head = parse_header(payload)
        if head is None:
            return "not an RTP packet"
        text = ""
        if self.ssrc is not None and head.ssrc != self.ssrc:
            text = "the SSRC changed"
        elif self.seq is not None and head.seq != self.seq:
            text = f"sequence number {head.seq}, expected {self.seq}"
        elif self.seq is not None and (head.ts - self.ts) & 0xFFFFFFFF > 1 << 31:
            text = "the timestamp decreased"
        self.ssrc, self.seq, self.ts = head.ssrc, head.seq + 1 & 0xFFFF, head.ts
        return text


class Viewer:
    """One viewer of one title. `pick` returns (name, address) of the gateway for the next connection.

    `patience` (ns) is how long after the intended arrival it still tries again.
    """

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
        """Try until the title plays, is denied or the patience is exhausted; watch for `watch` s once it plays."""
        visit = self.visit
        for _ in range(tries):
            delay = await self._attempt(watch)
            if delay is None or now() - visit.began > self.patience:
                return
            await trio.sleep(delay + self.random.uniform(0.2, 0.8))

    async def _connect(self) -> Client | None:
        gateway, address = self.pick()
        try:
            with trio.move_on_after(2):
                stream = await self.network.connect(address)
                return Client(stream, self.tap.viewer_connection(gateway))
        except OSError:
            pass
        return None

    async def _attempt(self, watch: float) -> float | None:
        """Make one try; return the delay before the next one in s, or None if there is no other."""
        client = await self._connect()
        if client is None:
            return 1.0
        try:
            with trio.move_on_after(self.patience / SECOND + watch + 10):
                return await self._play_title(client, watch)
            self.visit.ended = "gave up"
            return None
        except (ConnectionBrokenError, *CONNECTION_ERRORS) as error:
            if not client.tapped.ended_at:
                client.tapped.ended(now(), bool(getattr(client.stream, "broken_by_network", False)))
            self.visit.ended = f"broken: {error}"
            return None if self.visit.code and self.visit.statuses[-1:] in ([502], [504]) else 1.0
        finally:
            client.close()

    async def _play_title(self, client: Client, watch: float) -> float | None:
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
            checkers[2 * n] = TrackChecker()
        session_header: Headers = (("Session", session),)
        cseq = await client.send_request("PLAY", url, (*session_header, ("Range", "npt=0-")))
        repeated = await self._misbehave(client, url, session_header)
        if repeated is None:
            return None
        async with trio.open_nursery() as nursery:
            # in parallel, so that waiting on the second connection never delays reading the first answer
            if visit.habit == "resend-elsewhere" and visit.code:
                nursery.start_soon(self._resend_elsewhere, url)
            broken: Exception | None = None
            try:
                answer = await client.wait_response(cseq)
            except (ConnectionBrokenError, *CONNECTION_ERRORS) as error:
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
        visit.request_ids.append(answer.header("Request-Id") or "")
        for info in parse_rtp_info(answer.header("RTP-Info") or ""):
            n = next((k for k, c in enumerate(controls) if c.split("?")[0] == info.url), 0)
            checkers[2 * n].seq, checkers[2 * n].ts = info.seq, info.rtptime
        if visit.played_after is None:
            visit.played_after = now() - visit.began
        for repeated_cseq in repeated:
            if (await client.wait_response(repeated_cseq)).status != 200:
                visit.faults.append("a repeated PLAY was not answered with 200")
        return await self._watch(client, url, session_header, checkers, watch)

    async def _misbehave(self, client: Client, url: str, session_header: Headers) -> list[int] | None:
        """Do what the habit does while PLAY is pending; return the CSeqs of repeated PLAYs, or None if it hung up."""
        visit = self.visit
        if visit.habit == "hang-up":
            await trio.sleep(self.random.uniform(0, 0.03))
            visit.ended = "left"
            return None
        if visit.habit == "resend":
            return [await client.send_request("PLAY", url, (*session_header, ("Range", "npt=0-")))]
        return []

    async def _resend_elsewhere(self, url: str) -> None:
        second = await self._connect()
        if second is not None:
            try:
                await self._resend_code(second, url)
            except (ConnectionBrokenError, *CONNECTION_ERRORS):
                second.tapped.ended(now(), bool(getattr(second.stream, "broken_by_network", False)))
            finally:
                second.close()

    async def _resend_code(self, client: Client, url: str) -> None:
        """Use the same code on another connection: any answer is correct as long as it is not redeemed twice."""
        path, _, query = url.split("/", 3)[-1].partition("?")
        base = f"rtsp://{client.stream.peer}/{path}"
        answer = await client.call(
            "SETUP", f"{base}/track1?{query}", (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)
        )
        if answer.status == 200:
            session_header = (("Session", parse_session(answer.header("Session") or "")[0]),)
            await client.call("PLAY", f"{base}?{query}", session_header)

    async def _watch(
        self, client: Client, url: str, session_header: Headers, checkers: dict[int, TrackChecker], watch: float
    ) -> float | None:
        visit, byes, begin = self.visit, 0, now()
        paused = False
        with trio.move_on_after(watch) as scope:
            while byes < len(checkers):
                if visit.habit == "stop-reading" and visit.frames > 5:
                    await trio.sleep_forever()
                if visit.habit == "pause" and visit.frames > 10 and not paused:
                    paused = True
                    status = (await client.call("PAUSE", url, session_header)).status
                    if status == 200:
                        await trio.sleep(0.5)
                        status = (await client.call("PLAY", url, session_header)).status
                    if status not in (200, 454, 455, 502, 504):
                        visit.faults.append(f"unexpected status {status} for PAUSE or the PLAY after it")
                    continue
                if not client.frames:
                    await client.read()
                frames, client.frames = client.frames, []
                for frame in frames:
                    if frame.channel in checkers:
                        visit.frames += 1
                        fault = checkers[frame.channel].check(frame.payload)
                        if fault:
                            visit.faults.append(fault)
                    else:
                        byes += any(isinstance(p, Bye) for p in parse_compound(frame.payload) or ())
        visit.ended = "watched" if scope.cancelled_caught else "film ended"
        if not scope.cancelled_caught and (now() - begin) / SECOND < 0.8 * visit.watch - 1:
            visit.ended = "broken: the film ended early"  # its host was lost: most viewers try again
            return self.random.uniform(0.5, 1.5)
        if visit.habit != "stop-reading":
            with trio.move_on_after(5):
                await client.call("TEARDOWN", url, session_header)
        return None
