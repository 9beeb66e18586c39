"""Measures the gateway against simple baselines in the same run, and prints figures and ratios as JSON lines.

    python -m benchmarks.gateway relay|setups|latency|memory|all

All benchmarks run over loopback, are bounded and end by themselves. The hosts do as little as possible, so that the
figures show the gateway's own cost.
"""

from __future__ import annotations

import gc
import json
import os
import platform
import random
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
from trio import TaskStatus

from copperyard.config import Site, load
from copperyard.gateway.daemon import Gateway, GatewayConfig
from copperyard.gateway.listing import parse_list_url
from copperyard.gateway.net import Stream, TcpNetwork
from copperyard.lab.audit import TappedConnection
from copperyard.lab.viewers import Client
from copperyard.protocol.rtp import RtpHeader, encode_packet
from copperyard.protocol.rtsp import Connection, Limits, Request, Response
from copperyard.protocol.rtsp.messages import Headers

RTSP_LIMITS = Limits(8192, 64, 65536, 65535, 256)
FRAME_BYTES = 1400
RELAY_BYTES = 200_000_000
READ_BYTES = 65536


def print_figures(name: str, **figures: object) -> None:
    """Print a benchmark's figures as one line of JSON."""
    print(json.dumps({"bench": name, **figures}), flush=True)


class Host:
    """A host that answers every request at once.

    After PLAY it sends `burst` bytes of frames, or a frame every `interval_s` seconds.
    """

    def __init__(self, burst: int = 0, interval_s: float = 0.0) -> None:
        self.writes, self.interval_s, self.address = frames_of(burst), interval_s, ""

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen on loopback and serve until cancelled; `task_status` gets the address."""
        listener = await TcpNetwork().listen("127.0.0.1:0")
        self.address = listener.address
        async with trio.open_nursery() as nursery:
            task_status.started(listener.address)
            while True:
                nursery.start_soon(self._serve, await listener.accept())

    async def _serve(self, stream: Stream) -> None:
        wire = Connection(RTSP_LIMITS)
        try:
            async with trio.open_nursery() as nursery:
                while data := await stream.receive_some(READ_BYTES):
                    for event in wire.receive(data):
                        if isinstance(event, Request):
                            await self._answer(stream, event, nursery)
                nursery.cancel_scope.cancel()
        except* OSError:
            pass
        finally:
            stream.close()

    async def _answer(self, stream: Stream, request: Request, nursery: trio.Nursery) -> None:
        headers: Headers = (("Session", "s;timeout=60"), ("Load-Report", "link=0.01; uplink=0.01"))
        if request.method == "SETUP":
            headers += (("Transport", request.header("Transport") or ""),)
        await send(stream, Connection.encode_response(request, Response(200, headers)))
        if request.method == "PLAY" and (self.writes or self.interval_s):
            nursery.start_soon(self._media, stream)

    async def _media(self, stream: Stream) -> None:
        if self.interval_s:
            seq = 0
            while True:
                seq += 1
                await send(
                    stream, Connection.encode_frame(0, encode_packet(RtpHeader(26, seq, seq * 3600, 9), b"x" * 200))
                )
                await trio.sleep(self.interval_s)
        for data in self.writes:
            await send(stream, data)


def frames_of(size: int) -> list[bytes]:
    """Interleaved frames of FRAME_BYTES, joined into writes of about READ_BYTES."""
    per = READ_BYTES // (FRAME_BYTES + 4)
    writes, seq = [], 0
    for _ in range(size // (per * (FRAME_BYTES + 4))):
        frames = []
        for _ in range(per):
            frames.append(
                Connection.encode_frame(0, encode_packet(RtpHeader(26, seq, seq * 90, 9), b"x" * (FRAME_BYTES - 12)))
            )
            seq += 1
        writes.append(b"".join(frames))
    return writes


async def send(stream: Stream, data: bytes) -> None:
    """Send all of the data."""
    while data:
        data = data[await stream.send_some(data) :]


async def serve_host_list(address: str, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
    """Run a list service with one host; it never answers a long poll."""
    listener = await TcpNetwork().listen("127.0.0.1:0")
    body = json.dumps(
        {"generation": 1, "hosts": [{"id": "h", "address": address, "cell": 0, "weight": 100000}]}
    ).encode()

    async def serve(stream: Stream) -> None:
        data = await stream.receive_some(READ_BYTES)
        if b"after=" not in data:
            await send(stream, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        task_status.started(listener.address)
        while True:
            nursery.start_soon(serve, await listener.accept())


def one_host_site() -> Site:
    """The example site with room for everything on one host, which never counts as cold."""
    site = load("examples/caruso.xml")
    settings = replace(
        site.rules.settings,
        fronts=1,
        cells=1,
        racks=1,
        uplink_kb=1e12,
        places_by_kind=(10**9,),
        warm_up_time=1,
        probes=False,
        classes=tuple(replace(c, seats=0) for c in site.rules.settings.classes),
    )
    bounds = replace(site.rules.bounds, queue=512_000, open_requests=10_000, silence=10**12, idle=10**12)
    titles = tuple(replace(t, home=0, holders=1, length=10**12, tracks=t.tracks[:1]) for t in site.titles)
    return replace(site, rules=replace(site.rules, settings=settings, bounds=bounds), titles=titles)


async def with_gateway(host: Host, body: Callable[[Gateway, str], Awaitable[None]]) -> None:
    """Run `body` with a gateway, which serves in this process, and its address."""
    site = one_host_site()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(host.run)
        place = parse_list_url(f"http://{await nursery.start(serve_host_list, address)}/", 3600 * 10**9, 7200 * 10**9)
        station = GatewayConfig("gw", "127.0.0.1:0", site.rules, site.catalogue(), site.zones, place)
        gateway = Gateway(station, TcpNetwork(), 1, random.Random(1), lambda event, fields: None)
        where = await nursery.start(gateway.run)
        while not gateway.core.roster.addresses:  # noqa: ASYNC110
            await trio.sleep(0.01)
        await body(gateway, where)
        nursery.cancel_scope.cancel()


async def play_as_viewer(address: str, path: str = "/classes/1") -> Client:
    """Connect a viewer and start a title; exits if PLAY is refused."""
    stream = await TcpNetwork().connect(address)
    client = Client(stream, TappedConnection("x"))
    url = f"rtsp://{address}{path}"
    answer = await client.call("SETUP", f"{url}/track1", (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),))
    session = (answer.header("Session") or "").split(";")[0]
    played = await client.call("PLAY", url, (("Session", session),))
    if played.status != 200:
        raise SystemExit(f"a PLAY was answered {played.status}")
    return client


async def time_read(stream: Stream, size: int) -> float:
    """The seconds that it takes to read `size` bytes."""
    begin = time.perf_counter()
    while size > 0:
        data = await stream.receive_some(READ_BYTES)
        if not data:
            raise SystemExit("the stream ended early")
        size -= len(data)
    return time.perf_counter() - begin


async def time_bare_pump(writes: list[bytes]) -> float:
    """The seconds that the same bytes take through a bare trio byte pump of three tasks: source, pump and sink."""
    network = TcpNetwork()
    source, out = await network.listen("127.0.0.1:0"), await network.listen("127.0.0.1:0")

    async def feed() -> None:
        stream = await source.accept()
        for data in writes:
            await send(stream, data)

    async def pump() -> None:
        inward, outward = await network.connect(source.address), await out.accept()
        while data := await inward.receive_some(READ_BYTES):
            await send(outward, data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(feed)
        nursery.start_soon(pump)
        taken = await time_read(await network.connect(out.address), sum(map(len, writes)))
        nursery.cancel_scope.cancel()
    return taken


async def relay() -> None:
    """Throughput of one stream through the gateway, against a bare byte pump."""
    writes = frames_of(RELAY_BYTES)
    total = sum(map(len, writes))
    ratios, rates = [], []
    for _ in range(5):
        bare = await time_bare_pump(writes)
        found: list[float] = []

        async def body(gateway: Gateway, where: str, found: list[float] = found) -> None:
            client = await play_as_viewer(where)
            found.append(await time_read(client.stream, total - READ_BYTES))

        await with_gateway(Host(burst=RELAY_BYTES), body)
        ratios.append(bare / found[0])
        rates.append(total / found[0] / 1e6)
    print_figures(
        "relay",
        frame_bytes=FRAME_BYTES,
        mb=round(total / 1e6),
        gateway_mb_s=round(statistics.median(rates)),
        ratio_to_bare_pump=round(statistics.median(ratios), 3),
        ratios=[round(r, 3) for r in ratios],
    )


async def setups() -> None:
    """Set-ups a second, and the decision module's share of the processor time."""

    async def body(gateway: Gateway, where: str) -> None:
        spent = [0.0]
        whole = gateway.core.session_table.controller.handle

        def timed(now: int, event: object) -> object:
            begin = time.perf_counter()
            try:
                return whole(now, event)  # type: ignore[arg-type]
            finally:
                spent[0] += time.perf_counter() - begin

        gateway.core.session_table.controller.handle = timed  # type: ignore[assignment, method-assign]
        count, begin, cpu = 1500, time.perf_counter(), time.process_time()
        limit = trio.CapacityLimiter(32)

        async def one() -> None:
            async with limit:
                (await play_as_viewer(where)).stream.close()

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(one)
        taken, used = time.perf_counter() - begin, time.process_time() - cpu
        print_figures(
            "setups",
            count=count,
            a_second=round(count / taken),
            module_share_of_cpu=round(spent[0] / used, 3),
            module_us=round(spent[0] / count * 1e6),
            note="viewers and host in the same process",
        )

    await with_gateway(Host(), body)


async def latency() -> None:
    """Set-up latency through the gateway and directly at the host, in alternation."""

    async def body(gateway: Gateway, where: str) -> None:
        direct: list[float] = []
        through: list[float] = []
        for n in range(1000):
            for place, found in ((host.address, direct), (where, through)):
                begin = time.perf_counter()
                client = await play_as_viewer(place, f"/classes/{n % 8 + 1}")
                found.append((time.perf_counter() - begin) * 1e3)
                client.stream.close()
            await trio.lowlevel.checkpoint()
        cuts = [statistics.quantiles(x, n=100) for x in (direct, through)]
        print_figures(
            "latency",
            pairs=1000,
            direct_ms={"p50": round(cuts[0][49], 2), "p99": round(cuts[0][98], 2)},
            gateway_ms={"p50": round(cuts[1][49], 2), "p99": round(cuts[1][98], 2)},
            added_ms={"p50": round(cuts[1][49] - cuts[0][49], 2), "p99": round(cuts[1][98] - cuts[0][98], 2)},
        )

    host = Host()
    await with_gateway(host, body)


def resident_bytes() -> int:
    """Resident memory of this process, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm") as source:
        return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def memory() -> None:
    """Resident memory of an idle connection and of a playing session."""

    async def body(gateway: Gateway, where: str) -> None:
        network = TcpNetwork()
        idle = [await network.connect(where) for _ in range(50)]
        before = resident_bytes()
        idle += [await network.connect(where) for _ in range(1000)]
        await trio.sleep(0.5)
        idles = resident_bytes() - before
        before = resident_bytes()
        playing = [await play_as_viewer(where, f"/classes/{n % 8 + 1}") for n in range(1000)]
        await trio.sleep(3)
        plays = resident_bytes() - before
        print_figures(
            "memory",
            idle_connection_kb=round(idles / 1000 / 1024, 1),
            playing_session_kb=round(plays / 1000 / 1024, 1),
            note="the other ends of each connection are in the same process and counted too",
        )
        for one in idle:
            one.close()
        for client in playing:
            client.stream.close()

    await with_gateway(Host(interval_s=1.0), body)


BENCHES = {"relay": relay, "setups": setups, "latency": latency, "memory": memory}


def main() -> None:
    """Run the benchmarks named on the command line, all by default."""
    wanted = sys.argv[1:] or ["all"]
    print_figures("machine", cores=os.cpu_count(), python=platform.python_version(), trio=trio.__version__)
    for name in BENCHES if wanted == ["all"] else wanted:
        trio.run(BENCHES[name])


if __name__ == "__main__":
    main()
