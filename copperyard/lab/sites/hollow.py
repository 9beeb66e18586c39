"""Hollow gateways: gateways without viewers, some hundreds in one process.

They run the product's shared control state over the product's links on loopback sockets. Replaced are only the gauge,
which reports synthetic demand in place of viewers, and the callback for agreed allocations, which does nothing. The
settings are read once for the process.

    python -m copperyard.lab.sites.hollow SETTINGS FOLDER SEED FLEET

Commands come as JSON lines on standard input: start, kill, cut (all cuts that are in force), room, tell. Notes go as
JSON lines to standard output, with times on the machine's monotonic clock. The process ends with its standard input.
Its exit status is 2 if the digest of the settings is not FLEET.
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

# s between lines of notes and counts, and between measurements of how late this process runs
REPORT_INTERVAL, LAG_CHECK_INTERVAL = 1.0, 0.5
DEMAND_RATIO = 0.4  # share of the capacity of its hosts that a zone's viewers ask for
DEMAND_WAVE_RATIO = 0.2  # amplitude of the demand's wave, as a share of the demand
DEMAND_WAVE_PERIOD_S = 40.0  # period of the wave


class CountingNetwork:
    """The network of one gateway: counts bytes and open connections, and refuses peers behind a cut.

    Bytes are those that the connections carry, without the headers that the system adds.
    """

    def __init__(self, inner: Network, names: Mapping[str, str]) -> None:
        self.inner, self.names = inner, names  # names: of gateways by address
        self.refused: frozenset[str] = frozenset()
        self.sent = self.received = self.max_open = 0
        self.open_streams: set[CountingStream] = set()

    def set_refused(self, names: Iterable[str]) -> None:
        """Sets the gateways to refuse: closes connections to them, and refuses new ones."""
        self.refused = frozenset(names)
        for stream in [s for s in self.open_streams if s.name in self.refused]:
            stream.close()

    async def connect(self, address: str) -> Stream:
        """Connects to an address. OSError if that fails or the gateway there is behind a cut."""
        name = self.names.get(address, "")
        if name in self.refused:
            raise OSError("cut")
        return self._wrap(await self.inner.connect(address), name)

    async def listen(self, address: str) -> Listener:
        """Returns a listener whose connections are counted."""
        return CountingListener(self, await self.inner.listen(address))

    def _wrap(self, stream: Stream, name: str | None) -> CountingStream:
        found = CountingStream(self, stream, name)
        self.open_streams.add(found)
        self.max_open = max(self.max_open, len(self.open_streams))
        return found


class CountingListener:
    """A listener whose connections are counted."""

    def __init__(self, network: CountingNetwork, inner: Listener) -> None:
        self._network, self._inner, self.address = network, inner, inner.address

    async def accept(self) -> Stream:
        """Waits for a connection."""
        return self._network._wrap(await self._inner.accept(), None)

    def accept_now(self) -> Stream | None:
        """Returns a connection that waits, or None."""
        found = self._inner.accept_now()
        return None if found is None else self._network._wrap(found, None)

    def close(self) -> None:
        """Closes the listener; its connections stay."""
        self._inner.close()


class CountingStream:
    """A connection that counts its bytes. `name` is the gateway at the other end, None before its hello."""

    def __init__(self, network: CountingNetwork, inner: Stream, name: str | None) -> None:
        self._network, self._inner, self.name, self.peer = network, inner, name, inner.peer
        self._reader = FrameReader()

    def _identify(self, data: bytes) -> None:
        """Reads the peer's name from its hello. OSError if that peer is behind a cut."""
        try:
            for body in self._reader.receive(data):
                self.name = parse_hello(body).sender
                break
        except FrameError:
            self.name = ""  # the links report what is wrong with it
        if self.name in self._network.refused:
            raise OSError("cut")

    async def receive_some(self, most: int) -> bytes:
        """Waits for data and counts it. OSError if the peer turns out to be behind a cut."""
        data = await self._inner.receive_some(most)
        self._network.received += len(data)
        if self.name is None:
            self._identify(data)
        return data

    def receive_now(self, most: int) -> bytes | None:
        """Returns data that has arrived, or None, and counts it. OSError as in `receive_some`."""
        data = self._inner.receive_now(most)
        if data:
            self._network.received += len(data)
            if self.name is None:
                self._identify(data)
        return data

    async def send_some(self, data: bytes) -> int:
        """Sends some of the data, and returns and counts how many bytes."""
        count = await self._inner.send_some(data)
        self._network.sent += count
        return count

    def send_now(self, data: bytes) -> int:
        """Sends what can be sent without waiting, and returns and counts how many bytes."""
        count = self._inner.send_now(data)
        self._network.sent += count
        return count

    def end_writing(self) -> None:
        """Closes the sending side only."""
        self._inner.end_writing()

    def close(self) -> None:
        """Closes the connection, which is no longer counted as open."""
        self._network.open_streams.discard(self)
        self._inner.close()


class SyntheticGauge(Gauge):
    """The reports of a front without viewers.

    It reports its share of its zone's demand, which follows a slow wave with a phase for each zone, so that plans
    change, and the capacity of the hosts as the settings have it. `lost_zones` are zones whose hosts are down.
    """

    def __init__(
        self,
        name: str,
        life: int,
        zone: int,
        zone_capacity: list[tuple[float, int]],
        terms: Terms,
        lengths: tuple[int, ...],
        phase: float,
        lost_zones: set[int],
    ) -> None:
        super().__init__(name, life, terms.zones, lengths, terms, now())
        self.zone, self.zone_capacity, self.phase, self.lost_zones = zone, zone_capacity, phase, lost_zones

    def summary(self, now: int, controller: Controller, epoch: int) -> FrontSummary:
        """The report at `now`. `controller` is not used."""
        self._number += 1
        wave = 1.0 + DEMAND_WAVE_RATIO * math.sin(2 * math.pi * (now / 1e9 / DEMAND_WAVE_PERIOD_S + self.phase))
        asked = DEMAND_RATIO * self.zone_capacity[self.zone][0] / max(1, self.terms.fronts[self.zone]) * wave
        parts = len(self.terms.loads)
        return FrontSummary(
            self.name,
            self.life,
            self._number,
            epoch,
            (asked / parts,) * parts,
            tuple(
                ZoneHosts(0.0, 0.0, 0, 0, 0, 0)
                if z in self.lost_zones
                else ZoneHosts(room, room * DEMAND_RATIO, hosts, 0, 0, 0)
                for z, (room, hosts) in enumerate(self.zone_capacity)
            ),
        )


class HollowGateway:
    """One gateway, from one start to its end."""

    def __init__(self, group: HollowGroup, name: str, life: int) -> None:
        self.group, self.name = group, name
        plan, site = group.site.common, group.site
        assert plan is not None
        self.network = CountingNetwork(group.network, group.names)
        self.network.set_refused(group.unreachable_from(name))
        rng = random.Random(f"{group.seed} {name} {life}")
        unix_ms = time.time_ns() // 1_000_000
        gauge = SyntheticGauge(
            name,
            unix_ms,
            plan.roster[name],
            group.zone_capacity,
            plan.terms,
            plan.session_lengths,
            plan.roster[name] / len(plan.zones) + rng.uniform(-0.05, 0.05),
            group.lost_zones,
        )
        nobody: Any = SimpleNamespace(sessions={}, servers={})
        self.neighbours = PeerService(
            peer_settings(plan, name, group.folder, False),
            gauge,
            lambda: nobody,
            self.network,
            self._ignore_allocation,
            self._log,
            rng,
            unix_ms,
        )
        self.zones = site.zones
        self.scope = trio.CancelScope()
        self.ended = trio.Event()

    async def run(self) -> None:
        """Runs until it is killed; as with a killed process, sockets close without a message."""
        try:
            with self.scope:
                await self.neighbours.run()
            if not self.scope.cancelled_caught:
                self.group.add_note(self.name, "failed", "ended by itself")
        except Exception as error:  # for example a port in use, or a folder that cannot be written
            first: BaseException = error
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            self.group.add_note(self.name, "failed", f"{type(first).__name__}: {first}")
        finally:
            self.ended.set()

    def _ignore_allocation(self, allocation: ZoneAllocation) -> None:
        pass  # there are no viewers to route

    def _log(self, event: str, fields: Mapping[str, str | int]) -> None:
        self.group.events[event] += 1
        if event == "plan":
            closed = [z for z in self.zones if str(fields.get(z, "")).startswith("closed")]
            self.group.add_note(self.name, "plan", int(fields["epoch"]), plan_digest(fields), closed)
        elif event == "gateway dead":
            self.group.add_note(self.name, "dead", str(fields["gateway"]), fields.get("seen") == "first-hand")
        elif event in ("leads", "defect"):
            self.group.add_note(self.name, event, " ".join(f"{key}={value}" for key, value in fields.items()))


def plan_digest(fields: Mapping[str, object]) -> str:
    """Digest of a log line about a plan.

    It is the same for all gateways that adopted the same plan.
    """
    same = sorted(
        (key, str(value)) for key, value in fields.items() if key not in ("front", "timestamp", "held_back", "event")
    )
    return hashlib.sha256(json.dumps(same).encode()).hexdigest()[:16]


def state_counts(common: Coordinator) -> dict[str, int]:
    """Counts of the state that a gateway holds."""
    return {
        "members": len(common.members.members),
        "reports": len(common.cell_reports.known),
        "plan": common.plan.epoch if common.plan is not None else 0,
    }


class HollowGroup:
    """All hollow gateways of this process."""

    def __init__(self, site: Site, folder: Path, seed: int) -> None:
        self.site, self.folder, self.seed = site, folder, seed
        self.network = TcpNetwork()
        common = site.common
        assert common is not None and site.lab is not None
        self.names = {address: name for name, address in common.dial_addresses.items()}
        self.zone_capacity = [
            (sum(h.link for h in site.lab.hosts if h.zone == z), sum(1 for h in site.lab.hosts if h.zone == z))
            for z in range(len(site.zones))
        ]
        self.lost_zones: set[int] = set()
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.gateways: dict[str, HollowGateway] = {}
        self.start_counts: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.notes: list[list[object]] = []
        self.lag = 0.0
        self.output_lock = trio.Lock()

    def unreachable_from(self, name: str) -> frozenset[str]:
        """The gateways that a gateway cannot reach because of cuts."""
        found: frozenset[str] = frozenset()
        for ones, others in self.cuts:
            found |= others if name in ones else ones if name in others else frozenset()
        return found

    def add_note(self, name: str, kind: str, *words: object) -> None:
        """Queues a note for the next line on standard output, with the current time."""
        self.notes.append([round(time.monotonic(), 4), name, kind, *words])

    def _take_notes(self) -> list[list[object]]:
        notes, self.notes = self.notes, []
        return notes

    async def run(self, commands: trio.abc.ReceiveStream, out: trio.abc.SendStream) -> None:
        """Runs until the commands end, or until nobody reads the output."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_lag)
            nursery.start_soon(self._report_usage, out)
            await self._write_line(out, {"ready": True, "rss": resident_kb(), "fleet": self._fleet()})
            kept = b""
            while data := await commands.receive_some(65536):
                *lines, kept = (kept + data).split(b"\n")
                for line in lines:
                    await self._execute(json.loads(line), nursery, out)
            nursery.cancel_scope.cancel()

    def _fleet(self) -> str:
        assert self.site.common is not None
        return self.site.common.digest.hex()

    async def _write_line(self, out: trio.abc.SendStream, line: Mapping[str, object]) -> None:
        async with self.output_lock:
            await out.send_all(json.dumps(line).encode() + b"\n")

    async def _execute(self, command: dict[str, Any], nursery: trio.Nursery, out: trio.abc.SendStream) -> None:
        what = command["do"]
        if what == "start":
            for name in command["names"]:  # sequentially: a command that follows finds them started
                await self._start(name, nursery)
        elif what == "kill":
            for name in command["names"]:
                if name in self.gateways:
                    self.gateways[name].scope.cancel()
        elif what == "cut":
            self.cuts = [(frozenset(ones), frozenset(others)) for ones, others in command["pairs"]]
            for name, one in self.gateways.items():
                one.network.set_refused(self.unreachable_from(name))
        elif what == "room":
            (self.lost_zones.discard if command["there"] else self.lost_zones.add)(command["zone"])
        elif what == "tell":
            await self._write_line(
                out,
                {
                    "state": {
                        name: {
                            **state_counts(one.neighbours.coordinator),
                            "links": len(one.network.open_streams),
                            "most": one.network.max_open,
                            "frames": one.neighbours.links.written,
                            "heard": one.neighbours.links.received,
                            "dropped": one.neighbours.links.dropped,
                        }
                        for name, one in self.gateways.items()
                        if not one.ended.is_set()
                    },
                    "events": dict(self.events),
                    "notes": self._take_notes(),
                },
            )

    async def _start(self, name: str, nursery: trio.Nursery) -> None:
        before = self.gateways.get(name)
        if before is not None:
            await before.ended.wait()
        self.start_counts[name] += 1
        try:
            self.gateways[name] = HollowGateway(self, name, self.start_counts[name])
        except OSError as error:  # of its log store
            self.add_note(name, "failed", str(error))
            return
        self.add_note(name, "started")
        nursery.start_soon(self.gateways[name].run)

    async def _watch_lag(self) -> None:
        while True:
            due = trio.current_time() + LAG_CHECK_INTERVAL
            await trio.sleep_until(due)
            self.lag = max(self.lag, trio.current_time() - due)

    async def _report_usage(self, out: trio.abc.SendStream) -> None:
        """Writes a line a second: what this process and each gateway have used since their start."""
        due = trio.current_time()
        while True:
            due += REPORT_INTERVAL
            await trio.sleep_until(due)
            lag, self.lag = self.lag, 0.0
            await self._write_line(
                out,
                {
                    "notes": self._take_notes(),
                    "at": time.monotonic(),
                    "cpu": time.process_time(),
                    "rss": resident_kb(),
                    "lag": round(lag, 4),
                    "bytes": {
                        name: [one.network.sent, one.network.received, one.network.max_open]
                        for name, one in self.gateways.items()
                        if not one.ended.is_set()
                    },
                },
            )


def resident_kb(pid: int | str = "self") -> int:
    """Resident memory of a process in kB, from /proc; 0 if it is gone."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


def main() -> int:
    """Runs the gateways that the command line names; returns the exit status."""
    settings, folder, seed, fleet = sys.argv[1:5]
    site = load(settings)
    if site.common is None or site.common.digest.hex() != fleet:
        found = site.common.digest.hex() if site.common is not None else "none"
        print(
            f"{settings}: settings of other gateways: their digest is '{found}', this run's '{fleet}'", file=sys.stderr
        )
        return 2
    group = HollowGroup(site, Path(folder), int(seed))

    async def run() -> None:
        # duplicates the descriptors, because the pipes are made non-blocking
        await group.run(trio.lowlevel.FdStream(os.dup(0)), trio.lowlevel.FdStream(os.dup(1)))

    try:
        trio.run(run)
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        pass  # the parent process has ended
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
