"""Harness: a node on real loopback sockets, in this process or another, with hosts and clients controlled by the test.

`Gated` blocks the node's readers of client connections for as long as a test wants, as in a process that lags behind:
data and the end of a connection stay unread in the kernel meanwhile.
"""

import copy
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path

import trio

from copperyard.gateway.net import TcpNetwork
from copperyard.gateway.node.daemon import Node
from copperyard.gateway.node.place import parse_config
from copperyard.protocol.node.messages import MessageKind, encode
from copperyard.protocol.rtsp import Connection
from tests.control.node.helpers import LIMITS, MS, OPTIONS, answer, messages, release

MEMORY_MB = 192  # the limit of the operators' example


class GatedStream:
    def __init__(self, inner, network):
        self.inner, self.network, self.peer = inner, network, inner.peer
        self.receive_now, self.send_now, self.send_some = inner.receive_now, inner.send_now, inner.send_some
        self.end_writing, self.close = inner.end_writing, inner.close

    async def receive_some(self, most):
        while True:
            await trio.lowlevel.wait_readable(self.inner._sock)
            if not self.network.shut.is_set():
                return await self.inner.receive_some(most)
            await self.network.open.wait()


class GatedListener:
    def __init__(self, inner, network):
        self.inner, self.network, self.address = inner, network, inner.address
        self.close = inner.close

    async def accept(self):
        while True:
            await trio.lowlevel.wait_readable(self.inner._sock)
            if not (self.network.shut.is_set() and self.network.accepts_none):
                return self._gated(await self.inner.accept())
            await self.network.open.wait()

    def accept_now(self):
        return self._gated(self.inner.accept_now())

    def _gated(self, stream):
        if stream is not None and self.network.small_buffers:
            stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        return GatedStream(stream, self.network) if stream is not None else None


class Gated(TcpNetwork):
    """A TCP network that can be blocked. While `shut` is set, the node's readers of client connections get nothing, and
    with `accepts_none` its listener neither. Dials to hosts wait for `dials`. `small_buffers`: the node's socket
    buffers are as small as the system allows."""

    def __init__(self):
        super().__init__()
        self.shut, self.open, self.dials = trio.Event(), trio.Event(), trio.Event()
        self.dials.set()
        self.small_buffers = self.accepts_none = False

    async def listen(self, address):
        return GatedListener(await super().listen(address), self)

    async def connect(self, address):
        stream = await super().connect(address)
        if self.small_buffers:
            stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        await self.dials.wait()
        return stream


class Host:
    """A media host. `got` are the messages it was sent, in order. `setup_reply` returns its reply to a set-up, None for
    silence; a reply that ends in `!close` or `!reset` ends the connection in that way. `acknowledges`: it answers
    releases."""

    def __init__(self, name, small_buffers):
        self.name, self.got, self.setup_reply, self.reads = name, [], answer, trio.Event()
        self.reads.set()
        self.acknowledges, self.accepted = False, 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port, self.reserved = self.listener.getsockname()[1], None
        if small_buffers:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self.streams, self.forgotten, self.lock = [], set(), trio.Lock()

    def accept_again(self):
        """Listen, after `refuse` at the same address."""
        assert self.reserved is not None
        self.listener, self.reserved = self.reserved, None
        self.listener.listen()

    def refuse(self):
        """Refuse further connections. The port stays bound, as another test could be given it meanwhile."""
        trio.lowlevel.notify_closing(self.listener)
        self.listener.close()
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind(("127.0.0.1", self.port))
        self.reserved.setblocking(False)

    def reset_all(self):
        """Reset all connections."""
        for stream in self.streams:
            reset(stream)
        self.streams.clear()

    def forget_all(self):
        """Forget all connections: what is written to one of them from here on is answered with a reset."""
        self.forgotten.update(self.streams)
        self.streams.clear()

    async def say(self, data):
        """Send on the oldest connection."""
        async with self.lock:
            await self.streams[0].send_all(data)

    @property
    def setups(self):
        return [session for kind, session, _ in self.got if kind == MessageKind.SETUP]

    @property
    def releases(self):
        return [session for kind, session, _ in self.got if kind == MessageKind.RELEASE]

    async def run(self, nursery):
        while True:
            if self.listener.fileno() < 0:  # it refuses
                await trio.sleep(0.005)
                continue
            try:
                await trio.lowlevel.wait_readable(self.listener)
            except trio.ClosedResourceError:
                continue
            sock, _ = self.listener.accept()
            self.accepted += 1
            sock.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            self.streams.append(stream)
            nursery.start_soon(self._serve, stream)

    async def _serve(self, stream):
        data = b""
        try:
            while True:
                await self.reads.wait()
                more = await stream.receive_some(65536)
                if not more:
                    return
                if stream in self.forgotten:
                    return reset(stream)
                data += more
                while len(data) > 1 and len(data) >= 2 + int.from_bytes(data[:2], "big"):
                    end = 2 + int.from_bytes(data[:2], "big")
                    (one,), data = messages(data[:end]), data[end:]
                    self.got.append(one)
                    back = self.setup_reply(one[1]) if one[0] == MessageKind.SETUP else None
                    if one[0] == MessageKind.RELEASE and self.acknowledges:
                        back = encode(MessageKind.HEARD, bytes.fromhex(one[1]))
                    if back:
                        end_of_connection = next((end for end in (b"!reset", b"!close") if back.endswith(end)), b"")
                        async with self.lock:
                            await stream.send_all(back.removesuffix(end_of_connection))
                        if end_of_connection == b"!reset":
                            return reset(stream)
                        if end_of_connection == b"!close":
                            return stream.socket.close()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def reset(stream):
    """Reset a connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class Client:
    """A client on a plain socket: each operation has taken effect when the call returns."""

    def __init__(self, address, small_buffers=False):
        host, port = address.rsplit(":", 1)
        self.sock = socket.socket()
        if small_buffers:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self.sock.settimeout(5)
        self.sock.connect((host, int(port)))
        self.sock.setblocking(False)
        self.wire, self.heard, self.at_end = Connection(LIMITS), [], False

    def send(self, data):
        assert self.sock.send(data) == len(data)

    async def send_all(self, data):
        """Send, also while the socket's buffer is full."""
        while data:
            await trio.lowlevel.wait_writable(self.sock)
            data = data[self.sock.send(data) :]

    def half_close(self):
        self.sock.shutdown(socket.SHUT_WR)

    def close(self):
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def answers(self, count, most=5.0):
        """The next `count` messages as statuses or methods; fewer if the connection ends first."""
        with trio.fail_after(most):
            while len(self.heard) < count and not self.at_end:
                try:
                    data = self.sock.recv(65536)
                except BlockingIOError:
                    await trio.lowlevel.wait_readable(self.sock)
                    continue
                self.at_end = not data
                self.heard += self.wire.receive(data)
        first, self.heard = self.heard[:count], self.heard[count:]
        return [one.response.status if hasattr(one, "response") else one.method for one in first]


class NodeHarness:
    """A node with `hosts` that hold all titles. `contract`, `extra` and `options` change the settings; by default, a
    host is warm after 50 ms. With `fresh`, the hosts have just started."""

    def __init__(
        self,
        nursery,
        hosts=2,
        sockets=256,
        memory_mb=MEMORY_MB,
        small_buffers=False,
        fresh=False,
        contract=None,
        extra=None,
        **options,
    ):
        settings = copy.deepcopy(OPTIONS)
        settings["contract"] |= {"warmWithin": 50 * MS, **(contract or {})}
        settings["extra"] |= extra or {}
        settings |= options
        self.nursery, self.network, self.lines = nursery, Gated(), []
        self.network.small_buffers = small_buffers
        self.hosts = [Host(f"s-{n}", small_buffers) for n in range(hosts)]
        self.names = socket.socket(type=socket.SOCK_DGRAM)
        self.names.bind(("127.0.0.1", 0))
        self.names.setblocking(False)
        since = round(time.time() * 1e3) - 10 if fresh else 0
        members = [
            {
                "id": host.name,
                "host_port": f"127.0.0.1:{host.port}",
                "locality": "catania",
                "cell": n,
                "flavor": "three-core",
                "phase": "Ready",
                "size": 1,
                "up_since_ms": since,
            }
            for n, host in enumerate(self.hosts)
        ]
        self.config = {
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "settings": settings,
            "dns": f"127.0.0.1:{self.names.getsockname()[1]}",
            "known": {"n": 1, "events": [{"members": {"complete": True, "members": members}}]},
        }
        node_config = parse_config("n0", "127.0.0.1:0", self.config)
        self.node = Node(node_config, self.network, lambda event, fields: self.lines.append((event, dict(fields))))

    async def start(self):
        for host in self.hosts:
            self.nursery.start_soon(host.run, self.nursery)
        await self.nursery.start(self.node.run)
        await trio.sleep(0.1)

    def client(self):
        return Client(self.node.address, self.network.small_buffers)

    @property
    def setups(self):
        return [session for host in self.hosts for session in host.setups]

    async def until(self, so, most=5.0):
        with trio.fail_after(most):
            while not so():  # noqa: ASYNC110
                await trio.sleep(0.002)

    def block_reads(self, accepts_none=True):
        """From here on the node's readers get nothing from clients; with `accepts_none` its listener neither."""
        self.network.accepts_none = accepts_none
        self.network.open = trio.Event()
        self.network.shut.set()

    def unblock_reads(self):
        self.network.shut = trio.Event()
        self.network.open.set()

    def is_clean(self):
        """Whether no session is left, neither in the core nor in the controller's ledger and seats."""
        core, controller = self.node.core, self.node.core.controller
        return not (
            core.sessions
            or core.sessions_by_id
            or controller.sessions
            or controller.held
            or controller.seats
            or any(server.link.own_kb for server in controller.servers.values())
        )


def free_port():
    """A free port for a process that will listen there later. It lies below those that the system gives out, as another
    test could be given it meanwhile.
    """
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


class NodeProcess:
    """The node as a process, with hosts and a name service in this one. While it is stopped, data stays unread and
    timers become due; when it continues, all of that happens in one instant."""

    def __init__(self, nursery, path, hosts=1, pipe=False, preexec=None, stderr=subprocess.PIPE, **more):
        self.harness, self.nursery = NodeHarness(nursery, hosts, **more), nursery
        self.path = path / "config.json"
        self.address = f"127.0.0.1:{free_port()}"
        if pipe:
            os.mkfifo(self.path)
        else:
            self.save_config()
        self.stderr, self.preexec = stderr, preexec
        self.restart()

    def restart(self):
        """Start a process at the same address; an earlier one must have ended."""
        environ = {**os.environ, "NODE_NAME": "n0", "NODE_LISTEN": self.address, "NODE_CONFIG": str(self.path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "copperyard.gateway.node"],
            env=environ,
            cwd=Path(__file__).parents[3],
            stderr=self.stderr,
            stdout=subprocess.PIPE,
            preexec_fn=self.preexec,
        )

    async def start(self):
        for host in self.harness.hosts:
            self.harness.nursery.start_soon(host.run, self.harness.nursery)
        await self.wait_until_started()

    async def wait_until_started(self):
        """Wait until the process listens and can be tested."""
        with trio.fail_after(30):
            while True:
                try:
                    Client(self.address).close()
                    break
                except ConnectionRefusedError:
                    assert self.process.poll() is None, self.process.communicate()
                    await trio.sleep(0.02)
        await trio.sleep(0.2)

    def client(self):
        return Client(self.address)

    def signal(self, number):
        os.kill(self.process.pid, number)

    async def stopped(self):
        self.signal(signal.SIGSTOP)
        with trio.fail_after(5):
            while Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(") ", 1)[1][0] != "T":  # noqa: ASYNC110
                await trio.sleep(0.001)

    def save_config(self):
        """Write the current configuration to its file."""
        self.path.write_text(json.dumps(self.harness.config))

    async def wait_for_config_read(self):
        """Wait until the process opens its configuration for reading."""
        with trio.fail_after(20):
            while True:
                try:
                    self.end = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                    return
                except OSError:  # the process has not opened it yet
                    await trio.sleep(0.002)

    async def send_config(self):
        """Write the configuration to the pipe that the process reads."""
        os.write(self.end, json.dumps(self.harness.config).encode())
        os.close(self.end)
        await trio.sleep(0.05)

    async def exit(self, most=10.0):
        """Its exit code and what it wrote."""
        with trio.fail_after(most):
            while self.process.poll() is None:  # noqa: ASYNC110
                await trio.sleep(0.01)
        out, err = self.process.communicate()
        return self.process.returncode, (out + err).decode()


def run_with_process(path, body, **more):
    """Run `body(program)` with a node that has started as a process."""

    async def main():
        async with trio.open_nursery() as nursery:
            program = NodeProcess(nursery, path, **more)
            try:
                await program.start()
                await body(program)
            finally:
                program.process.kill()
                program.process.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


def run_with_node(body, **more):
    """Run `body(harness)` with a node that has started in this process."""
    run_side_by_side([body], **more)


def run_side_by_side(bodies, **more):
    """Run each of some bodies with a node of its own, all at once: most of their time is waiting."""

    async def one(body):
        async with trio.open_nursery() as nursery:
            harness = NodeHarness(nursery, **more)
            await harness.start()
            await body(harness)
            nursery.cancel_scope.cancel()

    async def main():
        async with trio.open_nursery() as nursery:
            for body in bodies:
                nursery.start_soon(one, body)

    trio.run(main)


__all__ = [
    "Client",
    "Gated",
    "Host",
    "NodeHarness",
    "answer",
    "run_side_by_side",
    "run_with_process",
    "release",
    "run_with_node",
]
