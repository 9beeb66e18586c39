"""Stand-ins that follow the operators' protocol page, for the cases of this review. Standard library only.

All addresses are loopback addresses, all ports are free ones, all files lie in a temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000
SECOND = 1_000_000_000
SETUP, ANSWER, RELEASE, HEARD, NOTE, TEST, TESTED, RUNG = 1, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT, TITLE, REPORT, LEVEL, CAUSE, DESCRIPTION = 180, 183, 192, 207, 213, 222, 225
NORMAL, CANCELLED, FULL = 16, 31, 34
FREE, PAID = "preview", "code-viewing"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start, in `record.txt` of a case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.time()
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
        self._file.flush()


def settings(**extra: Any) -> dict[str, Any]:
    """The settings object of a small deployment: the example of the operators' page, with one gateway and 5 cells."""
    return {
        "balancers": 1,
        "ceilings": {
            "cancelling": True,
            "connIdle": 15 * SECOND,
            "connectTimeout": 250 * MS,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 750000,
            "maxAttempts": 3,
            "maxRetryAfter": SECOND,
            "mostHeld": 1500000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 1048576,
        },
        "classes": [
            {"name": "preview", "aim": 1500 * MS, "hardLimit": 5 * SECOND, "effect": "safe", "credit": 1.0},
            {"name": "code-viewing", "aim": SECOND, "hardLimit": 3 * SECOND, "effect": "unsafe", "credit": 2.0},
        ],
        "contract": {
            "answerSlack": 40 * MS,
            "askEvery": 10 * SECOND,
            "coldFrom": 0.4,
            "drainGrace": 250 * MS,
            "fall": 3 * SECOND,
            "fallMultiple": 3.0,
            "freeResends": 3.0,
            "furtherRatio": 0.2,
            "ratioSpan": 5 * SECOND,
            "warmWithin": 12 * SECOND,
        },
        "extra": {
            "allLinksKb": 171743.0,
            "classSeats": [0, 0],
            "floorByClass": [0, 1],
            "fullFrom": 1.0,
            "joinAdds": 1.0,
            "kbPerWeight": 36520.0,
            "levelWorth": [0.26, 0.47, 0.66, 0.83, 1.0],
            "live": [False, False],
            "placesByKind": [38],
            "positions": 5,
            "rackKb": 619150.0,
            "rungKb": [243.0, 411.0, 696.0, 1177.0, 1991.0],
            "scaleByClass": [1.0, 1.2],
            "shelves": 1,
            "shortfallCost": 8.0,
            "switchS": 0.46,
            "toldEvery": 0,
            "toldLate": 459198000,
            "topByClass": [4, 4],
        }
        | extra,
        "kinds": ["three-core"],
        "locality": 0,
        "membershipMode": "automatic",
        "penalties": {"crossZone": 0.0, "lateFail": 0.05, "moves": 0.2, "probe": 0.01},
        "reporting": {"columns": ["x0", "x1"], "via": "pull"},
        "slotNo": 0,
        "tick": 10 * MS,
        "weights": "rough",
        "zones": ["catania"],
    }


def message(kind: int, session: str, *params: tuple[int, bytes]) -> bytes:
    """One message between gateway and media host."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in params)
    return struct.pack(">HB8s", 9 + len(body), kind, bytes.fromhex(session)) + body


def parse_message(frame: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Type, session and parameters of a message without its length."""
    kind, session, rest, params = frame[0], frame[1:9].hex(), frame[9:], {}
    while rest:
        code, size = struct.unpack_from(">BH", rest)
        params[code], rest = rest[3 : 3 + size], rest[3 + size :]
    return kind, session, params


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class MediaHost:
    """A sound media host. Sessions stand from its answer until it ends them or is sent their release; no connection
    owns one. It says what concerns a session on the connection of its set-up, otherwise on any open one, and its
    release on the next one opened as well.
    """

    def __init__(self, record: Record, name: str, cell: int, setup_time: float = 0.03) -> None:
        self.record, self.name, self.cell, self.setup_time = record, name, cell, setup_time
        self.setups: list[tuple[float, str, dict[int, bytes]]] = []
        self.releases: list[tuple[float, str]] = []
        self.standing: dict[str, tuple[bytes, bytes, asyncio.StreamWriter | None]] = {}
        self.connections: list[asyncio.StreamWriter] = []
        self.accepted = 0
        self.is_full: Callable[[dict[int, bytes]], bool] = lambda params: False
        self.on_change: Callable[[], None] = lambda: None
        self._repeat: dict[str, bytes] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = ("127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.connections.append(writer)
        open_setups: dict[str, asyncio.Task[None]] = {}
        for frame in self._repeat.values():
            writer.write(frame)
        self._repeat.clear()
        try:
            while True:
                async with asyncio.timeout(15):  # idle connections are closed after the time in the settings
                    size = struct.unpack(">H", await reader.readexactly(2))[0]
                    kind, session, params = parse_message(await reader.readexactly(size))
                self._handle(writer, open_setups, kind, session, params)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        finally:
            self.connections.remove(writer)
            for task in open_setups.values():  # a connection that closes gives up the set-ups that are open on it
                task.cancel()
            writer.close()

    def _handle(
        self,
        writer: asyncio.StreamWriter,
        open_setups: dict[str, asyncio.Task[None]],
        kind: int,
        session: str,
        params: dict[int, bytes],
    ) -> None:
        if kind == TEST:
            writer.write(message(TESTED, session, (CAUSE, b"\1"), (REPORT, b"x0:0.2;x1:0.2")))
        elif kind == SETUP:
            self.setups.append((time.time(), session, params))
            title, name = params[TITLE].decode(), params[CLASS].decode()
            self.record(f"{self.name} was sent set-up {session} of {name} {title}")
            if self.is_full(params):
                self.record(f"{self.name} refuses {session}: full")
                writer.write(message(RELEASE, session, (CAUSE, bytes((FULL,)))))
                return
            task = asyncio.create_task(self._run(writer, session, params, open_setups))
            open_setups[session] = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif kind == RELEASE:
            self.releases.append((time.time(), session))
            task = open_setups.pop(session, None)
            was = self.standing.pop(session, None)
            self.record(f"{self.name} was sent release of {session} ({'stood' if was else 'open' if task else 'over'})")
            if task is not None:
                task.cancel()
            writer.write(message(HEARD, session))
            self.on_change()

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        session: str,
        params: dict[int, bytes],
        open_setups: dict[str, asyncio.Task[None]],
    ) -> None:
        await asyncio.sleep(self.setup_time)
        open_setups.pop(session, None)
        self.standing[session] = (params[CLASS], params[TITLE], writer)
        self.record(f"{self.name} answers {session}: it stands")
        writer.write(message(ANSWER, session, (DESCRIPTION, f"c=IN IP4 {self.name} {session}\r\n".encode())))
        self.on_change()

    def plays(self, session: str, name: str, title: str) -> None:
        """A session stands here before the gateway starts."""
        self.standing[session] = (name.encode(), title.encode(), None)
        self.record(f"{self.name} plays {session}")

    def end(self, session: str, cause: int = NORMAL) -> None:
        """A session has come to its end here."""
        _, _, own = self.standing.pop(session)
        frame = message(RELEASE, session, (CAUSE, bytes((cause,))))
        writer = own if own in self.connections else next(iter(self.connections), None)
        self.record(f"{self.name} releases {session}, cause {cause}, {'now' if writer else 'on its next connection'}")
        if writer is not None:
            writer.write(frame)
        self._repeat[session] = frame
        self.on_change()


class Proxy:
    """The network in front of one media host: passes bytes on, and can reset, forget, refuse or hold connections."""

    def __init__(self, record: Record, host: MediaHost) -> None:
        self.record, self.host = record, host
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self.made = 0
        self._forgotten: set[asyncio.StreamWriter] = set()
        self._passing = asyncio.Event()
        self._passing.set()
        self._fillers: list[socket.socket] = []
        self.spoil: Callable[[bytes], bool] = lambda data: False
        self._accepting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen; the address is the one that the name service tells."""
        self.address = ("127.0.0.1", 0)
        self._listen()

    def _listen(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self.address)
        self._socket.listen(1)
        self._socket.setblocking(False)
        self.address = self._socket.getsockname()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._socket)
            reader, writer = await asyncio.open_connection(sock=sock)
            task = asyncio.create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.made += 1
        host_reader, host_writer = await asyncio.open_connection(*self.host.address)
        pair = (writer, host_writer)
        self.pairs.append(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, host_writer, writer, writer))
                group.create_task(self._pump(host_reader, writer, None, host_writer))
        except* (OSError, _EndedError):
            pass
        finally:
            if pair in self.pairs:
                self.pairs.remove(pair)
            writer.close()
            host_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        to: asyncio.StreamWriter,
        gateway: asyncio.StreamWriter | None,
        own: asyncio.StreamWriter,
    ) -> None:
        while True:
            data = await reader.read(65536)
            if gateway is not None and gateway in self._forgotten:
                if data:
                    self.record(f"what the gateway writes on a connection that {self.host.name} forgot is answered RST")
                reset(own)
                raise _EndedError
            if gateway is None and to in self._forgotten:
                await asyncio.Event().wait()  # the host's side of a forgotten connection has closed
            await self._passing.wait()
            if not data:
                if to.can_write_eof():
                    to.write_eof()
                return
            if gateway is None and self.spoil(data):
                self.record(f"an answer of {self.host.name} gets lost, and its connection is reset")
                reset(to)
                reset(own)
                raise _EndedError
            to.write(data)

    def reset_all(self) -> None:
        """Reset all connections, on both sides."""
        for gateway, host in self.pairs:
            reset(gateway)
            reset(host)
        self.record(f"the connections to {self.host.name} are reset")

    def forget_all(self) -> None:
        """The host forgets its connections: nothing is sent to the gateway, and what it writes is answered RST."""
        for gateway, host in self.pairs:
            self._forgotten.add(gateway)
            host.close()
        self.record(f"{self.host.name} forgets its idle connections")

    def refuse(self) -> None:
        """From now on new connections are refused."""
        if self._accepting is not None:
            self._accepting.cancel()
        self._socket.close()
        self.record(f"{self.host.name} takes no more connections")

    def accept_again(self) -> None:
        """New connections are taken again, at the same address."""
        self._listen()
        self.record(f"{self.host.name} takes connections again")

    def cut_off(self) -> None:
        """The host is cut off: open connections stay open and silent, new ones never come up."""
        self._passing.clear()
        if self._accepting is not None:
            self._accepting.cancel()
        for _ in range(4):  # a full queue: the system drops further requests to connect
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.address)
            self._fillers.append(one)
        self.record(f"{self.host.name} is cut off")

    def heal(self) -> None:
        """The host is back; what was on its way arrives."""
        for one in self._fillers:
            one.close()
        self._passing.set()
        self._accepting = asyncio.create_task(self._accept())
        self.record(f"{self.host.name} is reachable again")


class _EndedError(Exception):
    """Ends both directions of a proxied connection."""


class NameService(asyncio.DatagramProtocol):
    """Answers each query with the whole list."""

    def __init__(self, record: Record) -> None:
        self.record, self.serial, self.queries = record, 1, 0
        self.entries: dict[str, dict[str, Any]] = {}

    def add(self, name: str, address: tuple[str, int], cell: int, started: int = 0) -> None:
        """List a host."""
        self.entries[name] = {"address": address, "cell": cell, "started": started, "priority": 0}

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = self._transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Answer a query."""
        self.queries += 1
        self._transport.sendto(self.answer(data), source)

    def answer(self, query: bytes) -> bytes:
        """The whole list as a DNS answer."""
        end = 12
        while query[end]:
            end += query[end] + 1
        question = query[12 : end + 5]
        answers, additional = b"", b""
        for name, entry in self.entries.items():
            target = _dns_name(f"{name}.catania.hosts")
            host, port = entry["address"]
            rdata = struct.pack(">HHH", entry["priority"], 10, port) + target
            answers += b"\xc0\x0c" + struct.pack(">HHIH", 33, 1, 0, len(rdata)) + rdata
            additional += target + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton(host)
            texts = ("kind=three-core", f"cell={entry['cell']}", f"started={entry['started']}")
            rdata = b"".join(bytes((len(text),)) + text.encode() for text in texts)
            additional += target + struct.pack(">HHIH", 16, 1, 0, len(rdata)) + rdata
        rdata = b"\0\0" + struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        authority = b"\xc0\x0c" + struct.pack(">HHIH", 6, 1, 0, len(rdata)) + rdata
        count = len(self.entries)
        return (
            query[:2]
            + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
            + question
            + answers
            + authority
            + additional
        )

    def known(self) -> dict[str, Any]:
        """The list as the configuration of a gateway holds it."""
        members = [
            {
                "id": name,
                "host_port": f"{entry['address'][0]}:{entry['address'][1]}",
                "locality": "catania",
                "flavor": "three-core",
                "cell": entry["cell"],
                "phase": "Terminating" if entry["priority"] else "Ready",
                "size": 1,
                "up_since_ms": entry["started"],
            }
            for name, entry in self.entries.items()
        ]
        whole = {"n": self.serial, "members": {"revision": 1, "complete": True, "members": members}}
        return {"n": self.serial, "events": [whole]}


def _dns_name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


class ViewerConnection:
    """A connection of viewers. It reads what it is sent and answers releases."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answers: dict[str, tuple[int, float, bytes]] = {}
        self.told: dict[str, tuple[str, float]] = {}
        self.ended_at: float | None = None
        self.tests: list[int] = []
        self._changed = asyncio.Event()

    async def open(self, address: tuple[str, int]) -> ViewerConnection:
        """Connect."""
        self._reader, self.writer = await asyncio.open_connection(*address)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
                body = await self._reader.readexactly(int(headers.get("Content-Length", "0")))
                session, cseq = headers.get("Session", ""), headers.get("CSeq")
                if head[0].startswith("RTSP/"):
                    status = int(head[0].split(" ")[1])
                    if cseq == "1":
                        self.answers[session] = (status, time.time(), body)
                        self.record(f"{self.name} is answered {status} to set-up {session}")
                    elif cseq == "3":
                        self.tests.append(status)
                else:
                    method = head[0].split(" ")[0]
                    self.told[session] = (method, time.time())
                    self.record(f"{self.name} is sent {method} {session} {headers.get('Reason', '')}")
                    if method == "TEARDOWN":
                        heard = f"RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
                        self.writer.write(heard.encode())
                self._changed.set()
        except (asyncio.IncompleteReadError, OSError):
            self.ended_at = time.time()
            self.record(f"{self.name} has ended")
            self._changed.set()

    def ask(self, session: str, name: str, title: str, patience: int, home: int, copies: int, viewer: str) -> None:
        """Send a set-up."""
        body = f"c=IN IP4 127.0.0.1 {session}\r\n"
        self.record(f"{self.name} asks for {session}, {name} {title}, {patience} ms")
        self.writer.write(
            (
                f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nSubject: {name}\r\n"
                f"X-Patience: {patience}\r\nX-Guess: 60000.0\r\n"
                f"X-Facts: home:{home};copies:{copies};top:4;viewer:{viewer}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )

    def hand_over(self, session: str, name: str, title: str, at: str, home: int, copies: int, viewer: str) -> None:
        """Name a session that plays at a media host already."""
        body = f"c=IN IP4 127.0.0.1 {session}\r\n"
        self.record(f"{self.name} hands over {session}, {name} {title}, at {at}")
        self.writer.write(
            (
                f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nSubject: {name}\r\n"
                f"X-Patience: 2500\r\nX-Guess: 60000.0\r\n"
                f"X-Facts: home:{home};copies:{copies};top:4;viewer:{viewer};at:{at}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )

    def end(self, session: str) -> None:
        """Release a session that stands."""
        self.record(f"{self.name} ends {session}")
        self.writer.write(
            (
                f"TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n"
                "Reason: cause=16\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )

    def test(self) -> None:
        """Send a test."""
        self.writer.write(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")

    async def answer(self, session: str, most: float = 6.0) -> int:
        """The status of the answer to a set-up; 0 if none came."""
        await self.until(lambda: session in self.answers or self.ended_at is not None, most)
        return self.answers[session][0] if session in self.answers else 0

    async def until(self, so: Callable[[], bool], most: float) -> bool:
        """Wait until something is so, `most` seconds at most; returns whether it is."""
        try:
            async with asyncio.timeout(most):
                while not so():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            pass
        return so()

    def reset(self) -> None:
        """Reset the connection."""
        self.record(f"{self.name} is reset")
        reset(self.writer)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Gateway:
    """The gateway, as the deploy file starts it."""

    def __init__(self, record: Record, folder: Path, names: NameService, options: dict[str, Any]) -> None:
        self.record, self.folder, self.names, self.options = record, folder, names, options
        self.process: asyncio.subprocess.Process | None = None
        self.address = ("127.0.0.1", _free_port())

    async def start(self) -> None:
        """Start it and wait until a test has passed."""
        config = self.folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.address[1]}",
                    "seed": f"{random.getrandbits(64):016x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                    "dns": f"{self.names.address[0]}:{self.names.address[1]}",
                    "known": self.names.known(),
                    "settings": self.options,
                }
            )
        )
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder),
            "NODE_NAME": "n0",
            "NODE_LISTEN": f"127.0.0.1:{self.address[1]}",
            "NODE_CONFIG": str(config),
        }
        self.log = (self.folder / "gateway.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=self.log, stderr=self.log
        )
        until = time.time() + 30
        while time.time() < until:
            if self.process.returncode is not None:
                raise CannotRunError("the gateway did not start")
            try:
                connection = await ViewerConnection(self.record, "the first test").open(self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection.test()
            tests = connection.tests
            if await connection.until(lambda tests=tests: bool(tests), 2) and tests[-1] == 200:
                self.record("the gateway has passed its first test")
                connection.close()
                return
        raise CannotRunError("the gateway passed no test in 30 s")

    def log_lines(self) -> list[str]:
        """What it has logged so far."""
        return (self.folder / "gateway.log").read_text("utf-8", "replace").splitlines()

    async def stop(self) -> None:
        """End it at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def _free_port() -> int:
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def new_id() -> str:
    """A session id, a title or a viewer: 16 hex digits."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


class World:
    """A gateway with media hosts behind proxies."""

    def __init__(self, case: Path, hosts: int = 5, **extra: Any) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp())
        self.names = NameService(self.record)
        self.hosts = [MediaHost(self.record, f"s-{n:08x}", n) for n in range(hosts)]
        self.proxies = [Proxy(self.record, host) for host in self.hosts]
        self.gateway = Gateway(self.record, self.folder, self.names, settings(**extra))
        self.viewers: dict[str, ViewerConnection] = {}

    async def start(self) -> None:
        """Start everything."""
        for host, proxy in zip(self.hosts, self.proxies, strict=True):
            await host.start()
            await proxy.start()
            self.names.add(host.name, proxy.address, host.cell)
        await self.names.start()
        await self.gateway.start()

    async def viewer(self, name: str) -> ViewerConnection:
        """A new connection of viewers."""
        return await ViewerConnection(self.record, name).open(self.gateway.address)

    def standing(self, title: str) -> list[str]:
        """The sessions of a title that stand at media hosts, as `session@host`."""
        return [
            f"{session}@{host.name}"
            for host in self.hosts
            for session, (_, what, _) in host.standing.items()
            if what.decode() == title
        ]

    async def ask(self, name: str, kind: str, title: str, session: str, home: int = 0, copies: int = 3) -> int:
        """A viewer asks for a session on a connection of its own, which stays open; returns the answer's status."""
        connection = await self.viewer(name)
        self.viewers[name] = connection
        connection.ask(session, kind, title, 2500, home, copies, new_id())
        return await connection.answer(session)

    async def contact(self, number: int) -> None:
        """Free sessions for titles that only this host holds: the gateway and the host are in contact again."""
        accepted, until = self.hosts[number].accepted, time.time() + 8
        while time.time() < until:
            if await self.ask("another viewer", FREE, new_id(), new_id(), number, 1) == 200:
                self.record(f"the gateway is in contact with {self.hosts[number].name}")
                return
            await asyncio.sleep(0.5)
        raise CannotRunError(f"no session at {self.hosts[number].name} in 8 s, {accepted} connections")

    def host_of(self, session: str) -> int:
        """The number of the host where a session stands, -1 if it stands at none."""
        return next((n for n, host in enumerate(self.hosts) if session in host.standing), -1)

    async def stop(self) -> None:
        """End everything and copy the gateway's log into the record."""
        self.record("end of the case")
        await self.gateway.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for line in self.gateway.log_lines() if (self.folder / "gateway.log").exists() else ():
            self.record(f"log: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run(world: Callable[[], World], body: Callable[[World], Awaitable[bool]]) -> int:
    """Run a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def main() -> int:
        here = world()
        try:
            async with asyncio.timeout(110):
                await here.start()
                held = await body(here)
        except (CannotRunError, TimeoutError) as error:
            here.record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await here.stop()
        here.record(f"the rule {'held' if held else 'was broken'}")
        print("held" if held else "broken")
        return 0 if held else 1

    try:
        return asyncio.run(main())
    except Exception as error:  # noqa: BLE001 a fault of the case itself says nothing about the rule
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
