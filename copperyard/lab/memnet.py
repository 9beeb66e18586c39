"""An in-memory network with the gateway's network interface, for virtual time; it behaves and fails like TCP.

Each connection has a random latency. Reads and writes may be partial, windows and accept queues are bounded, a close
with unread bytes resets the connection, and a connect may hang. All random choices come from one seeded source.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import trio

from ..gateway.net import AutoResetEvent


@dataclass(frozen=True, slots=True)
class Manners:
    """Behaviour of the network's connections.

    `latency` is the range of the one-way latency in s. `chop` is the probability that a read or write is partial, down
    to one byte. Up to `window` bytes are in flight in one direction, up to `backlog` connections wait to be accepted.
    A connect takes `connect` s longer than a round trip. `hang` is the probability that a connect never completes,
    `reset` that a direction of a connection breaks after a random number of bytes.
    """

    latency: tuple[float, float] = (0.0005, 0.0005)
    chop: float = 0.0
    window: int = 65536
    backlog: int = 1024
    connect: float = 0.0
    hang: float = 0.0
    reset: float = 0.0


class _Pipe:
    """One direction of a connection. `ended`: the writer closed; `broken`: the reader closed, or there was a reset."""

    def __init__(self, network: MemoryNetwork, latency: float, bytes_until_break: int | None) -> None:
        self.network, self.latency, self.bytes_until_break = network, latency, bytes_until_break
        self.parts: deque[tuple[float, bytes]] = deque()
        self.size = 0
        self.last_arrival = 0.0  # when the newest byte arrives; bytes stay in order
        self.ended = self.broken = False
        self.broken_by_network = False  # rather than by either end
        self.readable, self.writable = AutoResetEvent(), AutoResetEvent()

    def room(self) -> int:
        """Return the free bytes of the window."""
        return max(0, self.network.manners.window - self.size)

    def push(self, data: bytes) -> int:
        """Accept as much as fits, or a part of it; return how many bytes."""
        data = data[: self.network.partial_size(min(self.room(), len(data)))]
        if data:
            self.last_arrival = max(self.last_arrival, trio.current_time() + self.latency)
            self.parts.append((self.last_arrival, data))
            self.size += len(data)
            self.readable.set()
            if self.bytes_until_break is not None:
                self.bytes_until_break -= len(data)
        return len(data)

    def past_break(self) -> bool:
        """Whether the point at which this direction breaks has been passed."""
        return self.bytes_until_break is not None and self.bytes_until_break < 0

    def pull(self, most: int) -> bytes:
        """Return data that has arrived, or a part of it."""
        at, data = self.parts[0]
        take = self.network.partial_size(min(most, len(data)))
        self.parts[0] = (at, data[take:])
        if take == len(data):
            self.parts.popleft()
        self.size -= take
        self.writable.set()
        return data[:take]


class MemoryStream:
    """One end of a connection."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe, peer: str) -> None:
        self._incoming, self._outgoing, self.peer = incoming, outgoing, peer
        self._closed = False

    @property
    def broken_by_network(self) -> bool:
        """Whether the network, rather than an end, broke this connection."""
        return self._incoming.broken_by_network or self._outgoing.broken_by_network

    async def receive_some(self, most: int) -> bytes:
        """Wait for data and read up to `most` bytes; b"" at the end."""
        await trio.lowlevel.checkpoint()
        pipe = self._incoming
        while True:
            if self._closed or pipe.broken:
                raise ConnectionResetError("the connection was reset")
            if pipe.parts:
                if pipe.parts[0][0] <= trio.current_time():
                    return pipe.pull(most)
                with trio.move_on_at(pipe.parts[0][0]):
                    await pipe.readable.wait()
            elif pipe.ended:
                return b""
            else:
                await pipe.readable.wait()

    def receive_now(self, most: int) -> bytes | None:
        """Read without waiting; None if nothing has arrived, b"" at the end."""
        pipe = self._incoming
        if self._closed or pipe.broken:
            raise ConnectionResetError("the connection was reset")
        if pipe.parts:
            return pipe.pull(most) if pipe.parts[0][0] <= trio.current_time() else None
        return b"" if pipe.ended else None

    async def send_some(self, data: bytes) -> int:
        """Wait for room and write some of the bytes; return how many."""
        await trio.lowlevel.checkpoint()
        while True:
            sent = self.send_now(data)
            if sent:
                return sent
            await self._outgoing.writable.wait()

    def send_now(self, data: bytes) -> int:
        """Write what fits without waiting; return how many bytes."""
        if self._closed or self._outgoing.broken:
            raise BrokenPipeError("the peer is gone")
        sent = self._outgoing.push(data)
        if self._outgoing.past_break():
            self._incoming.broken_by_network = self._outgoing.broken_by_network = True
            self._reset()
            raise ConnectionResetError("the connection was reset")
        return sent

    def _reset(self) -> None:
        for pipe in (self._incoming, self._outgoing):
            pipe.broken = True
            pipe.parts.clear()
            pipe.size = 0
            pipe.readable.set()
            pipe.writable.set()

    def end_writing(self) -> None:
        """Close the sending direction; what the peer still sends can be read."""
        self._outgoing.ended = True
        self._outgoing.readable.set()

    def close(self) -> None:
        """Close both directions.

        Data already written still reaches the peer, unless bytes of the peer are unread: then the connection is reset,
        as in TCP.
        """
        if self._closed:
            return
        self._closed = True
        if self._incoming.parts:
            self._reset()
        self._outgoing.ended = self._incoming.broken = True
        for pipe in (self._incoming, self._outgoing):
            pipe.readable.set()
            pipe.writable.set()


class MemoryListener:
    """A listening address."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.address, self._network = address, network
        self._queue: deque[MemoryStream] = deque()
        self._ready = AutoResetEvent()
        self._closed = False

    async def accept(self) -> MemoryStream:
        """Wait for the next connection. Raise trio.ClosedResourceError if the listener is closed."""
        await trio.lowlevel.checkpoint()
        while not self._queue:
            if self._closed:
                raise trio.ClosedResourceError("the listener was closed")
            await self._ready.wait()
        return self._queue.popleft()

    def accept_now(self) -> MemoryStream | None:
        """Accept a connection without waiting; None if there is none."""
        return self._queue.popleft() if self._queue and not self._closed else None

    def enqueue(self, stream: MemoryStream) -> bool:
        """Add a new connection; False if the listener is closed or its backlog is full."""
        if self._closed or len(self._queue) >= self._network.manners.backlog:
            return False
        self._queue.append(stream)
        self._ready.set()
        return True

    def close(self) -> None:
        """Stop listening and close connections that were not accepted."""
        self._closed = True
        self._network.remove_listener(self.address, self)
        for stream in self._queue:
            stream.close()
        self._ready.set()


class MemoryNetwork:
    """The network: its listeners by address, and new connections."""

    def __init__(self, manners: Manners | None = None, seed: int = 0) -> None:
        self.manners = manners if manners is not None else Manners()
        self.random = random.Random(seed)
        self._listeners: dict[str, MemoryListener] = {}
        self._last_port = 40000

    def partial_size(self, size: int) -> int:
        """Return how many of `size` bytes one read or write transfers."""
        if size > 1 and self.manners.chop and self.random.random() < self.manners.chop:
            return 1 if self.random.random() < 0.3 else self.random.randint(1, size)
        return size

    async def connect(self, address: str) -> MemoryStream:
        """Connect to an address. Raise ConnectionRefusedError if nothing listens there or its backlog is full."""
        manners = self.manners
        latency = self.random.uniform(*manners.latency)
        await trio.sleep(2 * latency + manners.connect)
        if manners.hang and self.random.random() < manners.hang:
            await trio.sleep_forever()
        forward, backward = (_Pipe(self, latency, self._draw_break()) for _ in range(2))
        self._last_port += 1
        listener = self._listeners.get(address)
        if listener is None or not listener.enqueue(MemoryStream(forward, backward, f"127.0.0.1:{self._last_port}")):
            raise ConnectionRefusedError(f"nobody listens at {address}")
        return MemoryStream(backward, forward, address)

    def _draw_break(self) -> int | None:
        """Draw after how many bytes a direction breaks; None for never."""
        if self.manners.reset and self.random.random() < self.manners.reset:
            return int(self.random.expovariate(1 / 2000))
        return None

    async def listen(self, address: str) -> MemoryListener:
        """Listen at an address; port 0 chooses a free port. Raise OSError if the address is in use."""
        await trio.lowlevel.checkpoint()
        host, _, port = address.rpartition(":")
        if port == "0":
            self._last_port += 1
            address = f"{host}:{self._last_port}"
        if address in self._listeners:
            raise OSError(f"{address} is in use")
        self._listeners[address] = listener = MemoryListener(self, address)
        return listener

    def remove_listener(self, address: str, listener: MemoryListener) -> None:
        """Free the address of a closed listener."""
        if self._listeners.get(address) is listener:
            del self._listeners[address]
