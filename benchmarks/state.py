"""Measures the cost of durable state: commits, paid set-ups, recovery and the index of codes.

All figures come from one run on a real folder.

    python -m benchmarks.state [commits|paid|recovery|index|all] [--folder DIR] [--most RECORDS]
"""

from __future__ import annotations

import gc
import heapq
import os
import platform
import random
import shutil
import sqlite3
import statistics
import tempfile
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import trio
import typer

from benchmarks.gateway import Host, one_host_site, print_figures, resident_bytes, serve_host_list
from copperyard.control.scheduler import Scheduler
from copperyard.gateway.background import BackgroundRunner
from copperyard.gateway.daemon import Gateway, GatewayConfig
from copperyard.gateway.disk import FolderDisk
from copperyard.gateway.journal_runner import JournalRunner
from copperyard.gateway.listing import parse_list_url
from copperyard.gateway.net import AutoResetEvent, TcpNetwork, now
from copperyard.lab.audit import TappedConnection
from copperyard.lab.viewers import Client
from copperyard.state import file_format
from copperyard.state.durable_state import DurableState
from copperyard.state.facts import CodeRedeemed, CodeSent, digest, encode
from copperyard.state.journal_writer import Append, Create, JournalWriter, Step
from copperyard.state.recovery import Recovery, recover

WRITERS, FACTS_PER_WRITER = 32, 40  # concurrent writers; facts that each writes one after another


def percentiles(took: list[float]) -> dict[str, float]:
    """Median and 99th percentile in ms, of times in seconds."""
    parts = statistics.quantiles(took, n=100)
    return {"p50_ms": round(parts[49] * 1e3, 2), "p99_ms": round(parts[98] * 1e3, 2)}


def sample_fact(n: int) -> CodeSent:
    """A fact about code number `n`, of a typical size."""
    return CodeSent(n, digest(str(n)), f"gw-1.5b3ce9b3/{n}", "streamer-07")


async def run_writers(name: str, one: Callable[[int], Awaitable[None]], **more: object) -> None:
    """Run WRITERS tasks that each make FACTS_PER_WRITER facts durable in turn, and print the figures."""
    took: list[float] = []

    async def session(k: int) -> None:
        for n in range(FACTS_PER_WRITER):
            begun = time.perf_counter()
            await one(k * FACTS_PER_WRITER + n)
            took.append(time.perf_counter() - begun)

    begun = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for k in range(WRITERS):
            nursery.start_soon(session, k)
    print_figures(
        name, facts=len(took), a_second=round(len(took) / (time.perf_counter() - begun)), **percentiles(took), **more
    )


async def commits(folder: Path) -> None:
    """Compare group commit, one fsync per fact, and SQLite in WAL mode both ways."""
    async with trio.open_nursery() as nursery:
        disk = FolderDisk(folder / "book")
        disk.lock("a measurement")
        book = JournalWriter(Recovery(), "gw", "g", now(), 0)
        waiting: deque[tuple[int, trio.Event]] = deque()

        async def stored() -> None:
            while waiting and book.durable(waiting[0][0]):
                waiting.popleft()[1].set()

        background = BackgroundRunner(Scheduler())
        store = JournalRunner(book, disk, background, stored)

        async def through_book(n: int) -> None:
            done = trio.Event()
            waiting.append((book.write(now(), sample_fact(n)), done))
            store.notify()
            await done.wait()

        for task in (background.run, store.run):
            nursery.start_soon(task)
        await run_writers("group commit", through_book)
        print_figures("group commit", syncs=book.stats.commits, bytes_a_fact=round(book.stats.bytes / book.stats.facts))
        nursery.cancel_scope.cancel()
    disk.close()

    single = FolderDisk(folder / "single")
    single.lock("a measurement")
    one_at_a_time = trio.Lock()
    await single.do(Create("a.seg", file_format.segment_head(1, 1)))

    async def each_synced(n: int) -> None:
        async with one_at_a_time:
            await single.do(Append("a.seg", file_format.record(n + 1, encode(sample_fact(n)))))

    await run_writers("one sync each", each_synced)
    single.close()
    await sqlite(folder / "each.db", False)
    await sqlite(folder / "grouped.db", True)


async def sqlite(path: Path, grouped: bool) -> None:
    """Measure SQLite with a transaction for each fact, or for all facts that wait when the writer is free."""
    base = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("create table codes (code blob primary key, at integer, request text, host text) without rowid")
    waiting: list[tuple[CodeSent, trio.Event]] = []
    wake, lock = AutoResetEvent(), trio.Lock()

    def write(some: list[CodeSent]) -> None:
        base.execute("begin")
        base.executemany(
            "insert or replace into codes values (?, ?, ?, ?)", [(f.code, f.at, f.request, f.host) for f in some]
        )
        base.execute("commit")

    async def each(n: int) -> None:
        async with lock:
            await trio.to_thread.run_sync(write, [sample_fact(n)])

    async def group(n: int) -> None:
        done = trio.Event()
        waiting.append((sample_fact(n), done))
        wake.set()
        await done.wait()

    async def writer() -> None:
        while True:
            await wake.wait()
            while waiting:
                some = waiting[:]
                waiting.clear()
                await trio.to_thread.run_sync(write, [f for f, _ in some])
                for _, done in some:
                    done.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer)
        await run_writers("sqlite, grouped" if grouped else "sqlite, a transaction each", group if grouped else each)
        nursery.cancel_scope.cancel()
    base.close()


class SlowDisk(FolderDisk):
    """A folder on which every tenth step takes 100 ms longer."""

    steps = 0

    async def do(self, step: Step) -> None:
        """Do a step, every tenth after a delay."""
        self.steps += 1
        if self.steps % 10 == 0:
            await trio.sleep(0.1)
        await super().do(step)


class PaidHost(Host):
    """A host that redeems every code."""

    async def _answer(self, stream, request, nursery):  # type: ignore[no-untyped-def]
        if request.method == "SETUP" and request.header("Redeem"):
            from copperyard.protocol.rtsp import Connection, Response

            data = Connection.encode_response(
                request,
                Response(
                    200,
                    (("Session", "s;timeout=60"), ("Transport", request.header("Transport") or ""), ("Receipt", "r")),
                ),
            )
            while data:
                data = data[await stream.send_some(data) :]
            return
        await super()._answer(stream, request, nursery)


async def paid(folder: Path) -> None:
    """Time paid set-ups in turn through gateways without durable state, with it, and with a disk that pauses.

    The three take turns, so that drift of the machine's speed affects all alike.
    """
    found: dict[str, list[float]] = {"off": [], "on": [], "pausing": []}
    for turn in range(3):
        for name, disk in (
            ("off", None),
            ("on", FolderDisk(folder / f"on{turn}")),
            ("pausing", SlowDisk(folder / f"slow{turn}")),
        ):
            await _time_paid_setups(disk, 150, found[name])
    for name, took in found.items():
        print_figures("paid set-ups", journal=name, count=len(took), **percentiles(took))


async def _time_paid_setups(disk: FolderDisk | None, count: int, took: list[float]) -> None:
    site, host = one_host_site(), PaidHost()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(host.run)
        place = parse_list_url(f"http://{await nursery.start(serve_host_list, address)}/", 3600 * 10**9, 7200 * 10**9)
        station = replace(
            GatewayConfig("gw", "127.0.0.1:0", site.rules, site.catalogue(), site.zones, place), disk=disk
        )
        gateway = Gateway(station, TcpNetwork(), 1, random.Random(1), lambda event, fields: None)
        where = await nursery.start(gateway.run)
        while not gateway.core.roster.addresses:  # noqa: ASYNC110
            await trio.sleep(0.01)
        for n in range(count):
            stream = await TcpNetwork().connect(where)
            client, url = Client(stream, TappedConnection("x")), f"rtsp://{where}/classes/{n % 8 + 1}"
            query = f"?code=c{n}x{len(took)}"
            answer = await client.call(
                "SETUP", f"{url}/track1{query}", (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)
            )
            session = (answer.header("Session") or "").split(";")[0]
            begun = time.perf_counter()
            played = await client.call("PLAY", url + query, (("Session", session),))
            took.append(time.perf_counter() - begun)
            if played.status != 200:
                raise SystemExit(f"a PLAY was answered {played.status}")
            stream.close()
        nursery.cancel_scope.cancel()


async def recovery(folder: Path, most: int) -> None:
    """Time and memory of recovery from files, for up to `most` records, a tenth of which are codes that are kept."""
    size = 10_000
    while size <= most:
        path = folder / f"recovery{size}"
        path.mkdir()
        _write_journal(path, size)
        for name in ("journal", "snapshot"):
            disk = FolderDisk(path)
            gc.collect()
            before, begun = resident_bytes(), time.perf_counter()
            found = recover(disk.names(), disk.read)
            taken = time.perf_counter() - begun
            print_figures(
                "recovery",
                records=size,
                of=name,
                seconds=round(taken, 3),
                codes=len(found.state.codes),
                us_a_record=round(taken / size * 1e6, 2),
                mb=round((resident_bytes() - before) / 2**20),
                bytes=sum(p.stat().st_size for p in path.iterdir()),
            )
            if name == "journal":
                await _write_snapshot(found, disk)
            disk.close()
            del found
        shutil.rmtree(path)
        size *= 10


def _write_journal(path: Path, size: int) -> None:
    number, sequence, data = 1, 1, bytearray(file_format.segment_head(1, 1))
    for n in range(size):
        code = n // 2 % max(1, size // 10)
        one = sample_fact(code) if n % 2 == 0 else CodeRedeemed(n, digest(str(code)), f"receipt-{code}")
        data += file_format.record(sequence, encode(one))
        sequence += 1
        if len(data) > 8 << 20 or n == size - 1:
            (path / file_format.segment_name(number)).write_bytes(data)
            number += 1
            data = bytearray(file_format.segment_head(number, sequence))


async def _write_snapshot(found: Recovery, disk: FolderDisk) -> None:
    book = JournalWriter(found, "gw", "g", 0, 0, begins=False)
    book.compact()
    while (step := book.commit_step(0) or book.background_step(0)) is not None:
        lane = "commit" if book._in_flight["commit"] is step else "chore"
        await disk.do(step)
        book.done(lane, 0)


async def index(folder: Path) -> None:
    """Compare two ways to order codes by age: a dict whose entries move to its end, and a dict with a heap."""
    count, rng = 300_000, random.Random(1)
    keys = [digest(str(n)) for n in range(count)]
    touched = [keys[rng.randrange(count)] for _ in range(count)]
    for _ in range(2):  # the first round is a warm-up
        state = DurableState()
        begun = time.perf_counter()
        for n, key in enumerate([*keys, *touched]):
            state.apply(CodeRedeemed(n, key, "r"))
        filled = time.perf_counter() - begun
        begun = time.perf_counter()
        while state.expire(count, 2000):
            pass
        moved = (filled, time.perf_counter() - begun)
        begun = time.perf_counter()
        plain: dict[bytes, tuple[int, str]] = {}
        heap: list[tuple[int, bytes]] = []
        for n, key in enumerate([*keys, *touched]):
            one = CodeRedeemed(n, key, "r")
            plain[one.code] = (one.at, one.receipt)
            heapq.heappush(heap, (n, key))
        filled = time.perf_counter() - begun
        begun = time.perf_counter()
        while heap and heap[0][0] < count:
            at, key = heapq.heappop(heap)
            if key in plain and plain[key][0] == at:
                del plain[key]
        heaped = (filled, time.perf_counter() - begun)
    print_figures(
        "index",
        codes=count,
        moved_fill_s=round(moved[0], 3),
        heap_fill_s=round(heaped[0], 3),
        moved_expire_s=round(moved[1], 3),
        heap_expire_s=round(heaped[1], 3),
    )


def main(what: Annotated[str, typer.Argument()] = "all", folder: Path | None = None, most: int = 1_000_000) -> None:
    """Run benchmarks; `most` is the largest number of journal records for recovery."""
    benches: dict[str, Callable[[Path], Awaitable[None]]] = {
        "commits": commits,
        "paid": paid,
        "recovery": lambda path: recovery(path, most),
        "index": index,
    }
    print_figures("machine", cores=os.cpu_count(), python=platform.python_version(), sqlite=sqlite3.sqlite_version)
    for name in benches if what == "all" else (what,):
        with tempfile.TemporaryDirectory(dir=folder) as place:
            trio.run(benches[name], Path(place))


if __name__ == "__main__":
    typer.run(main)
