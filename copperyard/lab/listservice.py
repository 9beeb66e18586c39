"""Stand-in for the list service: the hosts by generation, over HTTP with long polling; outages can be injected."""

from __future__ import annotations

import json
from collections import deque
from urllib.parse import parse_qs, urlsplit

import h11
import trio
from trio import TaskStatus

from ..gateway.net import CONNECTION_ERRORS, Listener, Network, Stream, now
from .audit import Tap
from .host import StandIn

MAX_CHANGES = 64


class ListService:
    """The published hosts by name; a change is published `delay` ns after it happened."""

    def __init__(self, network: Network, tap: Tap, delay: int, zones: tuple[str, ...] = ()) -> None:
        self.network, self.tap, self.delay, self.zones = network, tap, delay, zones
        self.generation = 1
        self.down = False
        self.address = ""
        self._hosts: dict[str, dict[str, object]] = {}
        self._starts: dict[str, int] = {}
        self._changes: deque[tuple[int, str]] = deque(maxlen=MAX_CHANGES)
        self._changed = trio.Event()
        self._pending: list[tuple[int, StandIn, str]] = []
        self._streams: dict[Stream, None] = {}

    def publish(self, host: StandIn, state: str) -> None:
        """Publish a host's state at once."""
        self.generation += 1
        self._hosts[host.name] = {
            "id": host.name,
            "address": host.address,
            "cell": host.cell,
            "kind": host.kind,
            "weight": host.weight,
            "state": state,
            "boot": str(host.boot),
            **({"zone": self.zones[host.zone]} if self.zones else {}),
        }
        self._starts[host.name] = host.model.started
        self._changes.append((self.generation, host.name))
        self._changed.set()
        self._changed = trio.Event()

    def publish_later(self, host: StandIn, state: str) -> None:
        """Publish a host's state after the delay."""
        self._pending.append((now() + self.delay, host, state))

    def fail(self, down: bool) -> None:
        """Begin an outage, which closes all connections, or end it."""
        self.down = down
        if down:
            for stream in list(self._streams):
                stream.close()

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve on loopback until cancelled; report the address once it listens."""
        listener = await self.network.listen("127.0.0.1:0")
        self.address = listener.address
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept, listener, nursery)
            task_status.started(listener.address)
            while True:
                await trio.sleep(0.02)
                for item in [p for p in self._pending if p[0] <= now()]:
                    self._pending.remove(item)
                    self.publish(item[1], item[2])

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                stream = await listener.accept()
                if self.down:
                    stream.close()
                else:
                    nursery.start_soon(self._serve, stream)
        finally:
            listener.close()

    async def _serve(self, stream: Stream) -> None:
        wire = h11.Connection(h11.SERVER)
        self._streams[stream] = None
        try:
            while True:
                event = wire.next_event()
                if event is h11.NEED_DATA:
                    data = await stream.receive_some(8192)
                    wire.receive_data(data)
                elif isinstance(event, h11.Request):
                    await self._respond(stream, wire, event)
                elif isinstance(event, h11.ConnectionClosed) or wire.our_state is h11.MUST_CLOSE:
                    return
                elif wire.our_state is h11.DONE and wire.their_state is h11.DONE:
                    wire.start_next_cycle()
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            return
        finally:
            self._streams.pop(stream, None)
            stream.close()

    async def _respond(self, stream: Stream, wire: h11.Connection, request: h11.Request) -> None:
        query = parse_qs(urlsplit(request.target.decode("ascii", "replace")).query)
        after = int(query["after"][0]) if "after" in query else None
        wait = min(60_000, int(query.get("wait_ms", ["0"])[0])) / 1000
        agent = next((v.decode() for k, v in request.headers if k == b"user-agent"), "")
        changed = self._changed
        if after == self.generation:
            with trio.move_on_after(wait):
                await changed.wait()
        status, body = (204, b"") if after == self.generation else (200, self.body(after))
        headers = [("Content-Length", str(len(body)))] if status == 200 else []
        data = wire.send(h11.Response(status_code=status, headers=headers, reason=b"")) or b""
        data += wire.send(h11.Data(data=body)) or b""
        data += wire.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await stream.send_some(data) :]
        if body:
            self.tap.list_body(now(), agent, body)

    def body(self, after: int | None) -> bytes:
        """Return the list for a front that knows generation `after`: the changes since, or the whole list."""
        oldest = self._changes[0][0] if self._changes else self.generation
        names = list(self._hosts)
        raw: dict[str, object] = {"generation": self.generation}
        if after is not None and oldest - 1 <= after < self.generation:
            raw["since"] = after
            names = list(dict.fromkeys(name for n, name in self._changes if n > after))
        hosts = []
        for name in names:
            line = dict(self._hosts[name])
            if self._starts[name]:
                line["age_ms"] = (now() - self._starts[name]) // 1_000_000
            hosts.append(line)
        raw["hosts"] = hosts
        return json.dumps(raw).encode()
