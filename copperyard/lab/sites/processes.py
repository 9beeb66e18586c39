"""The gateways of a site as processes of the real program, `copperyard serve`.

Each has settings of its own, which differ in addresses only. Processes are started, paused, resumed, killed and
restarted, with their log store as it was, with an older copy of it, or without it. They end with this process, however
that ends: through `watchdog`, and a paused one as the system hangs up a stopped process group whose parent is gone.
"""

from __future__ import annotations

import json
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

READY_TIMEOUT_S = 30.0  # for a gateway to be ready


@dataclass(eq=False, slots=True)
class GatewayProcess:
    """One gateway. `address` is where viewers reach it while it runs."""

    name: str
    zone: int
    settings: Path
    address: str = ""
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    stopped: int | None = None
    log: list[Path] = field(default_factory=list)


class GatewayProcesses:
    """All gateways of a site, with their files in `folder`; `text` is the site's XML."""

    def __init__(self, site: Site, text: bytes, folder: Path, relay: Relay, tap: Tap, alone: bool) -> None:
        self.site, self.folder, self.relay, self.tap, self.alone = site, folder, relay, tap, alone
        self.text = text
        self.all = {g.name: GatewayProcess(g.name, g.zone, folder / f"{g.name}.xml") for g in site.gateways}
        self.log_store_copies: dict[str, Path] = {}

    def write_settings(self, list_address: str) -> None:
        """Writes the settings of each gateway: it listens on any port, and finds others at the relay."""
        for name, process in self.all.items():
            root = etree.fromstring(self.text)
            place = root.find("list")
            assert place is not None
            place.set("url", f"http://{list_address}/hosts")
            for one in root.iterfind("gateways/gateway"):
                self.set_address(one, name, str(one.get("name")))
            common = root.find("common")
            if self.alone and common is not None:
                root.remove(common)
            process.settings.write_bytes(etree.tostring(root))

    def set_address(self, one: etree._Element, name: str, other: str) -> None:
        """Sets where `name` listens, or where it finds `other`, in its own settings."""
        one.set("listen", "127.0.0.1:0")
        if self.alone:
            for key in ("peers", "reach", "votes"):
                one.attrib.pop(key, None)
        elif other == name:
            one.set("peers", "127.0.0.1:0")
        else:
            one.set("reach", self.relay.addresses[name, other])

    async def start(self, name: str) -> None:
        """Starts a gateway and returns when it is ready.

        RuntimeError with the end of its log if it ends or is not ready in time.
        """
        one = self.all[name]
        pipe = self._spawn(one)
        line = b""
        with trio.move_on_after(READY_TIMEOUT_S):
            line = await trio.to_thread.run_sync(pipe.readline, abandon_on_cancel=True)
        if not line:
            raise RuntimeError(f"{name} is not ready: {one.log[-1].read_text()[-500:]}")
        ready = json.loads(line)
        one.address = ready["gateways"][0].removeprefix("rtsp://")
        if not self.alone:
            self.relay.targets[name] = ready["peers"]

    def _spawn(self, one: GatewayProcess) -> IO[bytes]:
        log = self.folder / f"{one.name}.{one.starts}.log"
        one.log.append(log)
        one.starts += 1
        words = [
            sys.executable,
            "-m",
            "copperyard.lab.sites.watchdog",
            "serve",
            str(one.settings),
            "--name",
            one.name,
            "--drain",
            "2s",
        ]
        with open(log, "wb") as out:
            one.process = subprocess.Popen(
                words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, process_group=0
            )
        assert one.process.stdout is not None
        return one.process.stdout

    async def start_all(self) -> None:
        """Starts all gateways at once."""
        async with trio.open_nursery() as nursery:
            for name in self.all:
                nursery.start_soon(self.start, name)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a gateway if it runs."""
        process = self.all[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a gateway and waits for its end."""
        one = self.all[name]
        if one.process is None:
            return
        self.tap.gateway_killed(now(), name)
        self.signal(name, signal.SIGCONT)
        self.signal(name, signal.SIGKILL)
        one.process.wait()
        _close_pipes(one.process)
        one.process, one.stopped = None, None

    def pause(self, name: str) -> None:
        """Stops a gateway with SIGSTOP."""
        self.all[name].stopped = now()
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continues a paused gateway, and tells the audit how long it was paused."""
        one = self.all[name]
        if one.stopped is not None:
            self.signal(name, signal.SIGCONT)
            self.tap.gateway_stalled(one.stopped, now(), name)
            one.stopped = None

    def log_store_folder(self, name: str) -> Path:
        """The folder of a voter's log store."""
        common = self.site.common
        assert common is not None
        return self.folder / common.folder / name

    def copy_log_stores(self) -> None:
        """Copies the log stores, for voters that are to come back with an older one."""
        if self.site.common is None or self.alone:
            return
        for name in self.site.common.voters:
            if self.log_store_folder(name).exists():
                self.log_store_copies[name] = self.folder / "copies" / name
                shutil.copytree(self.log_store_folder(name), self.log_store_copies[name], dirs_exist_ok=True)

    def replace_log_store(self, name: str, how: str) -> None:
        """Removes the log store of a voter that is down, or replaces it by the older copy."""
        if how == "kept" or self.site.common is None or name not in self.site.common.voters:
            return
        shutil.rmtree(self.log_store_folder(name), ignore_errors=True)
        if how == "older" and name in self.log_store_copies:
            shutil.copytree(self.log_store_copies[name], self.log_store_folder(name))

    def is_up(self, name: str) -> bool:
        """Whether a gateway runs and is not paused."""
        one = self.all[name]
        return one.process is not None and one.process.poll() is None and one.stopped is None

    def crashed(self) -> list[str]:
        """Gateways that ended by themselves."""
        return [name for name, one in self.all.items() if one.process is not None and one.process.poll() is not None]

    def end(self) -> None:
        """Ends all processes that this object started."""
        for one in self.all.values():
            if one.process is not None and one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.send_signal(signal.SIGKILL)
                one.process.wait()
            if one.process is not None:
                _close_pipes(one.process)

    def lines(self) -> list[tuple[str, dict[str, object]]]:
        """All log lines, as (gateway, line)."""
        found = []
        for name, one in self.all.items():
            for log in one.log:
                for line in log.read_bytes().splitlines():
                    try:
                        found.append((name, json.loads(line)))
                    except ValueError:
                        found.append((name, {"event": "not a line", "text": line.decode("utf-8", "replace")[:300]}))
        return found


def _close_pipes(process: subprocess.Popen[bytes]) -> None:
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            pipe.close()
