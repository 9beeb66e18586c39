"""Gateways without viewers, some hundreds in one process: the product's common part on the product's links over
loopback sockets. Stand-ins are only what a front measures (numbers in place of viewers) and what it is allowed (nobody
asks). Settings are read once a process.

    python -m copperyard.lab.sites.hollow SETTINGS FOLDER SEED FLEET

Orders come as JSON lines on standard input: start, kill, cut (all that are cut now), room, tell. Notes go as JSON
lines to standard output, times on the machine's monotonic clock. It ends with its standard input. Exit 2 where the
settings are not of the fleet it was told.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import trio

from ...config import Site, load
from ...control.coordinator import Coordinator
from ...control.zones.facts import Gauge
from ...control.zones.plan import FrontSummary, Terms, ZoneHosts
from ...decide import Controller
from ...gateway.net import Listener, Network, Stream, TcpNetwork, now
from ...gateway.peers.place import peer_settings
from ...gateway.peers.service import PeerService
from ...interface import ZoneAllocation
from ...protocol.peers import FrameError, FrameReader, parse_hello

FLUSH, LOOK = 1.0, 0.5  # s between lines of notes and counts, and between looks at how late this process runs
USED = 0.4  # of its hosts' room is what a zone's viewers ask for
WAVE = 0.2  # by which part of it a front's demand goes up and down
SPAN = 40.0  # s of such a wave


class Wire:
    """One gateway's network: counts bytes and open links, and refuses peers that lie behind a cut. Bytes are those of
    the connections, without what the system adds."""

    def __init__(self, inner: Network, names: Mapping[str, str]) -> None:
        self.inner, self.names = inner, names  # names: of gateways, by address
        self.refused: frozenset[str] = frozenset()
        self.sent = self.received = self.most = 0
        self.open: set[WireStream] = set()

    def refuse(self, names: Iterable[str]) -> None:
        """Speak with these no more: what stands is closed, what comes is refused."""
        self.refused = frozenset(names)
        for stream in [s for s in self.open if s.name in self.refused]:
            stream.close()

    async def connect(self, address: str) -> Stream:
        """OSError where there is none to be had, also behind a cut."""
        name = self.names.get(address, "")
        if name in self.refused:
            raise OSError("cut")
        return self._took(await self.inner.connect(address), name)

    async def listen(self, address: str) -> Listener:
        return WireListener(self, await self.inner.listen(address))

    def _took(self, stream: Stream, name: str | None) -> WireStream:
        found = WireStream(self, stream, name)
        self.open.add(found)
        self.most = max(self.most, len(self.open))
        return found


class WireListener:
    """A listener whose connections are counted."""

    def __init__(self, wire: Wire, inner: Listener) -> None:
        self._wire, self._inner, self.address = wire, inner, inner.address

    async def accept(self) -> Stream:
        return self._wire._took(await self._inner.accept(), None)

    def accept_now(self) -> Stream | None:
        found = self._inner.accept_now()
        return None if found is None else self._wire._took(found, None)

    def close(self) -> None:
        self._inner.close()


class WireStream:
    """A connection that is counted. `name`: the gateway at its other end, None until its hello has come."""

    def __init__(self, wire: Wire, inner: Stream, name: str | None) -> None:
        self._wire, self._inner, self.name, self.peer = wire, inner, name, inner.peer
        self._reader = FrameReader()

    def _meet(self, data: bytes) -> None:
        """Learn from the hello who speaks. OSError where it lies behind a cut."""
        try:
            for body in self._reader.receive(data):
                self.name = parse_hello(body).sender
                break
        except FrameError:
            self.name = ""  # the links say what is wrong with it
        if self.name in self._wire.refused:
            raise OSError("cut")

    async def receive_some(self, most: int) -> bytes:
        data = await self._inner.receive_some(most)
        self._wire.received += len(data)
        if self.name is None:
            self._meet(data)
        return data

    def receive_now(self, most: int) -> bytes | None:
        data = self._inner.receive_now(most)
        if data:
            self._wire.received += len(data)
            if self.name is None:
                self._meet(data)
        return data

    async def send_some(self, data: bytes) -> int:
        count = await self._inner.send_some(data)
        self._wire.sent += count
        return count

    def send_now(self, data: bytes) -> int:
        count = self._inner.send_now(data)
        self._wire.sent += count
        return count

    def end_writing(self) -> None:
        self._inner.end_writing()

    def close(self) -> None:
        self._wire.open.discard(self)
        self._inner.close()


class Numbers(Gauge):
    """What a front without viewers reports: its part of a zone's demand, which goes up and down in a slow wave, each
    zone at its time, so that plans change; and the hosts' room as the settings have it. `lost` names zones whose hosts
    are gone."""

    def __init__(
        self,
        name: str,
        life: int,
        zone: int,
        rooms: list[tuple[float, int]],
        terms: Terms,
        lengths: tuple[int, ...],
        phase: float,
        lost: set[int],
    ) -> None:
        super().__init__(name, life, terms.zones, lengths, terms, now())
        self.zone, self.rooms, self.phase, self.lost = zone, rooms, phase, lost

    def summary(self, now: int, controller: Controller, epoch: int) -> FrontSummary:
        """The report of now; `controller` is not looked at."""
        self._number += 1
        wave = 1.0 + WAVE * math.sin(2 * math.pi * (now / 1e9 / SPAN + self.phase))
        asked = USED * self.rooms[self.zone][0] / max(1, self.terms.fronts[self.zone]) * wave
        parts = len(self.terms.loads)
        return FrontSummary(
            self.name,
            self.life,
            self._number,
            epoch,
            (asked / parts,) * parts,
            tuple(
                ZoneHosts(0.0, 0.0, 0, 0, 0, 0) if z in self.lost else ZoneHosts(room, room * USED, hosts, 0, 0, 0)
                for z, (room, hosts) in enumerate(self.rooms)
            ),
        )


class Hollow:
    """One gateway's life in this process."""

    def __init__(self, owner: Crowd, name: str, life: int) -> None:
        self.owner, self.name = owner, name
        plan, site = owner.site.common, owner.site
        assert plan is not None
        self.wire = Wire(owner.network, owner.names)
        self.wire.refuse(owner.behind_cuts(name))
        rng = random.Random(f"{owner.seed} {name} {life}")
        unix_ms = time.time_ns() // 1_000_000
        gauge = Numbers(
            name,
            unix_ms,
            plan.roster[name],
            owner.rooms,
            plan.terms,
            plan.lengths,
            plan.roster[name] / len(plan.zones) + rng.uniform(-0.05, 0.05),
            owner.lost,
        )
        nobody: Any = SimpleNamespace(sessions={}, servers={})
        self.neighbours = PeerService(
            peer_settings(plan, name, owner.folder, False),
            gauge,
            lambda: nobody,
            self.wire,
            self._act,
            self._log,
            rng,
            unix_ms,
        )
        self.zones = site.zones
        self.scope = trio.CancelScope()
        self.ended = trio.Event()

    async def run(self) -> None:
        """Until killed, as a kill does it: sockets close and nothing is said."""
        try:
            with self.scope:
                await self.neighbours.run()
            if not self.scope.cancelled_caught:
                self.owner.note(self.name, "failed", "ended by itself")
        except Exception as error:  # a port that is taken, a folder that cannot be written
            first: BaseException = error
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            self.owner.note(self.name, "failed", f"{type(first).__name__}: {first}")
        finally:
            self.ended.set()

    def _act(self, ways: ZoneAllocation) -> None:
        pass  # there are no viewers to be sent anywhere

    def _log(self, event: str, fields: Mapping[str, str | int]) -> None:
        self.owner.events[event] += 1
        if event == "plan":
            closed = [z for z in self.zones if str(fields.get(z, "")).startswith("closed")]
            self.owner.note(self.name, "plan", int(fields["epoch"]), plan_digest(fields), closed)
        elif event == "gateway dead":
            self.owner.note(self.name, "dead", str(fields["gateway"]), fields.get("seen") == "first-hand")
        elif event in ("leads", "defect"):
            self.owner.note(self.name, event, " ".join(f"{key}={value}" for key, value in fields.items()))


def plan_digest(fields: Mapping[str, object]) -> str:
    """Of what a line on a plan says: two gateways that took the same plan up have the same one."""
    same = sorted(
        (key, str(value)) for key, value in fields.items() if key not in ("front", "timestamp", "held_back", "event")
    )
    return hashlib.sha256(json.dumps(same).encode()).hexdigest()[:16]


def state_of(common: Coordinator) -> dict[str, int]:
    """Counts of what a gateway holds."""
    return {
        "members": len(common.members.members),
        "reports": len(common.cell_reports.known),
        "plan": common.plan.epoch if common.plan is not None else 0,
    }


class Crowd:
    """All hollow gateways of this process."""

    def __init__(self, site: Site, folder: Path, seed: int) -> None:
        self.site, self.folder, self.seed = site, folder, seed
        self.network = TcpNetwork()
        common = site.common
        assert common is not None and site.lab is not None
        self.names = {address: name for name, address in common.reach.items()}
        self.rooms = [
            (sum(h.link for h in site.lab.hosts if h.zone == z), sum(1 for h in site.lab.hosts if h.zone == z))
            for z in range(len(site.zones))
        ]
        self.lost: set[int] = set()
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.all: dict[str, Hollow] = {}
        self.lives: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.notes: list[list[object]] = []
        self.lag = 0.0
        self.told = trio.Lock()

    def behind_cuts(self, name: str) -> frozenset[str]:
        """Whom a gateway cannot reach now."""
        found: frozenset[str] = frozenset()
        for ones, others in self.cuts:
            found |= others if name in ones else ones if name in others else frozenset()
        return found

    def note(self, name: str, kind: str, *words: object) -> None:
        self.notes.append([round(time.monotonic(), 4), name, kind, *words])

    def _noted(self) -> list[list[object]]:
        notes, self.notes = self.notes, []
        return notes

    async def run(self, orders: trio.abc.ReceiveStream, out: trio.abc.SendStream) -> None:
        """Until the orders end, or nobody reads."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._count, out)
            await self._say(out, {"ready": True, "rss": resident(), "fleet": self._fleet()})
            kept = b""
            while data := await orders.receive_some(65536):
                *lines, kept = (kept + data).split(b"\n")
                for line in lines:
                    await self._obey(json.loads(line), nursery, out)
            nursery.cancel_scope.cancel()

    def _fleet(self) -> str:
        assert self.site.common is not None
        return self.site.common.fleet.hex()

    async def _say(self, out: trio.abc.SendStream, line: Mapping[str, object]) -> None:
        async with self.told:
            await out.send_all(json.dumps(line).encode() + b"\n")

    async def _obey(self, order: dict[str, Any], nursery: trio.Nursery, out: trio.abc.SendStream) -> None:
        what = order["do"]
        if what == "start":
            for name in order["names"]:  # one after another: an order that follows finds them started
                await self._start(name, nursery)
        elif what == "kill":
            for name in order["names"]:
                if name in self.all:
                    self.all[name].scope.cancel()
        elif what == "cut":
            self.cuts = [(frozenset(ones), frozenset(others)) for ones, others in order["pairs"]]
            for name, one in self.all.items():
                one.wire.refuse(self.behind_cuts(name))
        elif what == "room":
            (self.lost.discard if order["there"] else self.lost.add)(order["zone"])
        elif what == "tell":
            await self._say(
                out,
                {
                    "state": {
                        name: {
                            **state_of(one.neighbours.coordinator),
                            "links": len(one.wire.open),
                            "most": one.wire.most,
                            "frames": one.neighbours.links.written,
                            "heard": one.neighbours.links.received,
                            "dropped": one.neighbours.links.dropped,
                        }
                        for name, one in self.all.items()
                        if not one.ended.is_set()
                    },
                    "events": dict(self.events),
                    "notes": self._noted(),
                },
            )

    async def _start(self, name: str, nursery: trio.Nursery) -> None:
        before = self.all.get(name)
        if before is not None:
            await before.ended.wait()
        self.lives[name] += 1
        try:
            self.all[name] = Hollow(self, name, self.lives[name])
        except OSError as error:  # its shelf
            self.note(name, "failed", str(error))
            return
        self.note(name, "started")
        nursery.start_soon(self.all[name].run)

    async def _watch(self) -> None:
        while True:
            due = trio.current_time() + LOOK
            await trio.sleep_until(due)
            self.lag = max(self.lag, trio.current_time() - due)

    async def _count(self, out: trio.abc.SendStream) -> None:
        """A line a second: what this process and each gateway used since its start."""
        due = trio.current_time()
        while True:
            due += FLUSH
            await trio.sleep_until(due)
            lag, self.lag = self.lag, 0.0
            await self._say(
                out,
                {
                    "notes": self._noted(),
                    "at": time.monotonic(),
                    "cpu": time.process_time(),
                    "rss": resident(),
                    "lag": round(lag, 4),
                    "bytes": {
                        name: [one.wire.sent, one.wire.received, one.wire.most]
                        for name, one in self.all.items()
                        if not one.ended.is_set()
                    },
                },
            )


def resident(pid: int | str = "self") -> int:
    """Resident memory of a process in kB, 0 where it is gone. From the system's own figures (/proc)."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


def main() -> int:
    settings, folder, seed, fleet = sys.argv[1:5]
    site = load(settings)
    if site.common is None or site.common.fleet.hex() != fleet:
        found = site.common.fleet.hex() if site.common is not None else "none"
        print(
            f"{settings}: settings of other gateways: their digest is '{found}', this run's '{fleet}'", file=sys.stderr
        )
        return 2
    crowd = Crowd(site, Path(folder), int(seed))

    async def run() -> None:
        # a descriptor of its own for each: the pipes are set not to block
        await crowd.run(trio.lowlevel.FdStream(os.dup(0)), trio.lowlevel.FdStream(os.dup(1)))

    try:
        trio.run(run)
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        pass  # whoever started this is gone
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
