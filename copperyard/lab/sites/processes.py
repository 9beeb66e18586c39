"""The gateways of a site as processes of the real program: `copperyard serve`, each with settings of its own that
differ in addresses only. They are started, stopped, woken, killed and started again, with their shelf as it was or not.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

import trio
from lxml import etree

from ...config import Site
from ...gateway.net import now
from ..audit import Tap
from .relay import Relay

READY = 30.0  # s for a gateway to be ready


@dataclass(eq=False, slots=True)
class Process:
    """One gateway. `address`: where viewers reach it, while it lives."""

    name: str
    zone: int
    settings: Path
    address: str = ""
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    stopped: int | None = None
    log: list[Path] = field(default_factory=list)


class Processes:
    """All gateways of a site in `folder`; `text` is the site's XML."""

    def __init__(self, site: Site, text: bytes, folder: Path, relay: Relay, tap: Tap, alone: bool) -> None:
        self.site, self.folder, self.relay, self.tap, self.alone = site, folder, relay, tap, alone
        self.text = text
        self.all = {g.name: Process(g.name, g.zone, folder / f"{g.name}.xml") for g in site.gateways}
        self.copies: dict[str, Path] = {}

    def write_settings(self, list_address: str) -> None:
        """Each gateway's own: where it listens is left to the system, where it finds the others is the relay."""
        for name, process in self.all.items():
            root = etree.fromstring(self.text)
            place = root.find("list")
            assert place is not None
            place.set("url", f"http://{list_address}/hosts")
            for one in root.iterfind("gateways/gateway"):
                self.address(one, name, str(one.get("name")))
            common = root.find("common")
            if self.alone and common is not None:
                root.remove(common)
            process.settings.write_bytes(etree.tostring(root))

    def address(self, one: etree._Element, name: str, other: str) -> None:
        """Where `name` listens, or finds `other`, in its own settings."""
        one.set("listen", "127.0.0.1:0")
        if self.alone:
            for key in ("peers", "reach", "votes"):
                one.attrib.pop(key, None)
        elif other == name:
            one.set("peers", "127.0.0.1:0")
        else:
            one.set("reach", self.relay.ports[name, other])

    async def start(self, name: str) -> None:
        """Start it; returns when it is ready. RuntimeError with what it said where it ended instead."""
        one = self.all[name]
        pipe = self._begin(one)
        line = b""
        with trio.move_on_after(READY):
            line = await trio.to_thread.run_sync(pipe.readline, abandon_on_cancel=True)
        if not line:
            raise RuntimeError(f"{name} is not ready: {one.log[-1].read_text()[-500:]}")
        ready = json.loads(line)
        one.address = ready["gateways"][0].removeprefix("rtsp://")
        if not self.alone:
            self.relay.targets[name] = ready["peers"]

    def _begin(self, one: Process) -> IO[bytes]:
        log = self.folder / f"{one.name}.{one.starts}.log"
        one.log.append(log)
        one.starts += 1
        words = [
            sys.executable,
            "-m",
            "copperyard.cli.main",
            "serve",
            str(one.settings),
            "--name",
            one.name,
            "--drain",
            "2s",
        ]
        with open(log, "wb") as out:
            one.process = subprocess.Popen(
                words, stdout=subprocess.PIPE, stderr=out, env={**os.environ}, start_new_session=True
            )
        assert one.process.stdout is not None
        return one.process.stdout

    async def start_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in self.all:
                nursery.start_soon(self.start, name)

    def signal(self, name: str, number: int) -> None:
        process = self.all[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        one = self.all[name]
        if one.process is None:
            return
        self.tap.front_killed(now(), name)
        self.signal(name, signal.SIGCONT)
        self.signal(name, signal.SIGKILL)
        one.process.wait()
        one.process, one.stopped = None, None

    def stop(self, name: str) -> None:
        self.all[name].stopped = now()
        self.signal(name, signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        one = self.all[name]
        if one.stopped is not None:
            self.signal(name, signal.SIGCONT)
            self.tap.front_stood(one.stopped, now(), name)
            one.stopped = None

    def shelf(self, name: str) -> Path:
        common = self.site.common
        assert common is not None
        return self.folder / common.folder / name

    def copy_shelves(self) -> None:
        """Keep copies of the shelves as they are, for voters that come back with an older one."""
        if self.site.common is None or self.alone:
            return
        for name in self.site.common.voters:
            if self.shelf(name).exists():
                self.copies[name] = self.folder / "copies" / name
                shutil.copytree(self.shelf(name), self.copies[name], dirs_exist_ok=True)

    def spoil_shelf(self, name: str, how: str) -> None:
        """While it is down."""
        if how == "kept" or self.site.common is None or name not in self.site.common.voters:
            return
        shutil.rmtree(self.shelf(name), ignore_errors=True)
        if how == "older" and name in self.copies:
            shutil.copytree(self.copies[name], self.shelf(name))

    def up(self, name: str) -> bool:
        one = self.all[name]
        return one.process is not None and one.process.poll() is None and one.stopped is None

    def crashed(self) -> list[str]:
        """Those that ended by themselves."""
        return [name for name, one in self.all.items() if one.process is not None and one.process.poll() is not None]

    def end(self) -> None:
        """End all that this object started."""
        for one in self.all.values():
            if one.process is not None and one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.send_signal(signal.SIGKILL)
                one.process.wait()
            if one.process is not None and one.process.stdout is not None:
                one.process.stdout.close()

    def lines(self) -> list[tuple[str, dict[str, object]]]:
        """What all of them logged: (gateway, line)."""
        found = []
        for name, one in self.all.items():
            for log in one.log:
                for line in log.read_bytes().splitlines():
                    try:
                        found.append((name, json.loads(line)))
                    except ValueError:
                        found.append((name, {"event": "not a line", "text": line.decode("utf-8", "replace")[:300]}))
        return found
