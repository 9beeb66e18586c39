"""A node with a fleet of media hosts on an in-memory network and a virtual clock.

The hosts do what the protocol says: sessions belong to no connection, a release is sent on an open connection and on
the next one opened, idle connections are closed, a process that dies resets, and a machine that vanishes says nothing.
"""

import copy
import errno

import trio

from copperyard.gateway.node.daemon import Node
from copperyard.gateway.node.place import parse_config
from copperyard.lab import virtual
from copperyard.lab.memnet import MemoryNetwork
from copperyard.protocol.node.messages import Cause, MessageKind, Param, encode
from tests.control.node.helpers import OPTIONS, answer, messages, release, setup, sid
from tests.gateway.node.test_node import NameServer, Viewer, member

IDLE_S = 15.0


def note(session):
    """A host's note on a session that plays."""
    params = ((Param.NOTE, b"share"), (Param.FIGURE, b"1.0"))
    return encode(MessageKind.NOTE, bytes.fromhex(session), params)


class FleetNetwork(MemoryNetwork):
    """A network on which machines vanish. `dials` has (time, address) of each connection that was asked for;
    `descriptors` is how many connections to hosts the system opens at a time, None for any number."""

    def __init__(self):
        super().__init__()
        self.vanished, self.dials, self.descriptors = set(), [], None
        self.open_streams, self.open_at_once = [], []

    async def connect(self, address):
        if not address.endswith(":2905"):
            self.dials.append((trio.current_time(), address))
            self.open_streams = [one for one in self.open_streams if not one._closed]
            if self.descriptors is not None and len(self.open_streams) >= self.descriptors:
                raise OSError(errno.EMFILE, "no descriptor is left")
        if address in self.vanished:
            await trio.sleep_forever()
        stream = await super().connect(address)
        self.open_streams.append(stream)
        self.open_at_once.append(sum(not one._closed for one in self.open_streams))
        return stream


class MediaHost:
    """A media host. `releases` are those that reached it, `standing` the sessions that play there."""

    def __init__(self, harness, number):
        self.harness, self.name, self.address = harness, f"s-{number}", f"127.0.0.1:{9000 + number}"
        self.streams, self.standing, self.releases, self.unrepeated, self.setups = [], set(), [], [], []
        self.listener, self.silent, self.last_sent = None, False, -IDLE_S
        self.scope = trio.CancelScope()

    async def run(self):
        """Accept connections until the process ends."""
        with self.scope:
            while True:
                if self.listener is None:
                    self.listener = await self.harness.network.listen(self.address)
                try:
                    stream = await self.listener.accept()
                except trio.ClosedResourceError:
                    await trio.sleep_forever()
                self.streams.append(stream)
                for frame in self.unrepeated:
                    stream.send_now(frame)
                self.unrepeated.clear()
                self.harness.nursery.start_soon(self._serve, stream)

    async def _serve(self, stream):
        data = b""
        try:
            while not self.silent:
                with trio.move_on_after(IDLE_S) as idle:
                    more = await stream.receive_some(65536)
                if idle.cancelled_caught and trio.current_time() - self.last_sent < IDLE_S:
                    continue
                if idle.cancelled_caught or not more:
                    break
                data += more
                while len(data) > 1 and len(data) >= 2 + int.from_bytes(data[:2], "big"):
                    end = 2 + int.from_bytes(data[:2], "big")
                    ((kind, session, _),), data = messages(data[:end]), data[end:]
                    self._handle(stream, kind, session)
        except OSError:
            pass
        if not self.silent:
            if stream in self.streams:
                self.streams.remove(stream)
            stream.close()

    def _handle(self, stream, kind, session):
        if self.silent:
            return
        if kind == MessageKind.SETUP:
            self.setups.append(session)
            self.standing.add(session)
            stream.send_now(answer(session))
        elif kind == MessageKind.RELEASE:
            self.releases.append(session)
            self.standing.discard(session)

    def end_session(self, session):
        """A session has come to its end: released on an open connection, and on the next one opened as well."""
        self.standing.discard(session)
        frame = release(session, Cause.NORMAL)
        self.unrepeated.append(frame)
        if self.streams:
            self.streams[0].send_now(frame)

    async def play(self, session, interval):
        """Send a note on a session each `interval` s while that plays, as hosts do."""
        while session in self.standing and not self.silent:
            for stream in self.streams[:1]:
                stream.send_now(note(session))
                self.last_sent = trio.current_time()
            await trio.sleep(interval)

    def close_connections(self):
        """Close all connections in order, as a host does with idle ones."""
        for stream in self.streams:
            stream.close()
        self.streams.clear()

    def refuse(self):
        """Accept no further connections."""
        self.listener.close()

    async def accept_again(self):
        """Accept connections again after `refuse`."""
        self.listener = None
        self.scope.cancel()
        self.scope = trio.CancelScope()
        self.harness.nursery.start_soon(self.run)

    def die(self):
        """The process dies: its connections are reset, and further ones refused."""
        self.refuse()
        self.scope.cancel()
        for stream in self.streams:
            stream._reset()
        self.streams.clear()
        self.standing.clear()

    def vanish(self):
        """The machine vanishes: its connections stay open and silent, further ones never come up."""
        self.silent = True
        self.scope.cancel()
        self.harness.network.vanished.add(self.address)
        self.standing.clear()


class FleetHarness:
    """A node that may hold `sockets // 2 - 24` connections to its `hosts`."""

    def __init__(self, nursery, hosts, sockets):
        self.nursery, self.network, self.lines = nursery, FleetNetwork(), []
        self.hosts = [MediaHost(self, n) for n in range(hosts)]
        settings = copy.deepcopy(OPTIONS)
        settings["extra"] |= {"positions": hosts, "shelves": 1}
        members = [member(n) for n in range(hosts)]
        raw = {
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "dns": "127.0.0.1:5300",
            "settings": settings,
            "known": {"n": 1, "events": [{"members": {"complete": True, "members": members}}]},
        }
        self.node = Node(
            parse_config("n0", "127.0.0.1:2905", raw),
            self.network,
            lambda event, fields: self.lines.append((event, dict(fields))),
            NameServer,
            lambda: 0,
        )

    async def start(self):
        for host in self.hosts:
            self.nursery.start_soon(host.run)
        await self.nursery.start(self.node.run)
        await trio.sleep(6)

    async def viewer(self):
        return Viewer(await self.network.connect("127.0.0.1:2905"))

    async def hand_over(self, viewer):
        """Hand over one session at each host: session n plays at host n."""
        for n, host in enumerate(self.hosts):
            host.standing.add(sid(n))
            viewer.send(setup(sid(n), facts=f"home:{n};copies:1;top:1;viewer:00;at:{host.name}"))
        await trio.sleep(0.2)
        assert len(self.node.core.sessions) == len(self.hosts)

    async def hand_over_more(self, viewer, host, sessions):
        """Hand over further sessions that play at a host."""
        host.standing.update(sessions)
        for session in sessions:
            viewer.send(setup(session, facts=f"home:0;copies:1;top:1;viewer:00;at:{host.name}"))
        await trio.sleep(0.1)

    async def told(self, viewer, seconds):
        """The sessions that the viewer is told to be over within a time, each with how long that took."""
        start, told = trio.current_time(), {}
        with trio.move_on_after(seconds):
            while (method := await viewer.next(1000)) is not None:
                if method == "TEARDOWN":
                    told[viewer.last.header("Session")] = trio.current_time() - start
        return told

    def connections(self):
        """How many connections to hosts the node has open or is opening."""
        return len(self.node._link_scopes)


def run_with_fleet(body, hosts=8, sockets=64):
    """Run `body(harness)` in virtual time."""

    async def main():
        async with trio.open_nursery() as nursery:
            harness = FleetHarness(nursery, hosts, sockets)
            await harness.start()
            await body(harness)
            nursery.cancel_scope.cancel()

    virtual.run(main, 1)
