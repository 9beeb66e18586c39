"""A network in memory with the gateway's own shapes, for virtual time: it behaves like TCP, and fails like it.

Bytes take a latency that is drawn for each connection, arrive cut anywhere, wait in bounded windows; a close with
bytes unread is a reset; accept queues fill; a connect may hang. All chance comes from one seeded source.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import trio

from ..gateway.net import AutoResetEvent


@dataclass(frozen=True, slots=True)
class Manners:
    """How connections behave. `latency` s one way, from and to; `chop` is the chance that a read or write takes only
    a part, down to a byte; `window` bytes wait in one direction; `backlog` connections wait to be accepted; a
    connect takes `connect` s more than a round trip; `hang` is the chance that a connect never ends, `reset` that a
    connection breaks at a drawn byte."""

    latency: tuple[float, float] = (0.0005, 0.0005)
    chop: float = 0.0
    window: int = 65536
    backlog: int = 1024
    connect: float = 0.0
    hang: float = 0.0
    reset: float = 0.0


class _Pipe:
    """One direction. `ended`: the writer closed; `broken`: the reader is gone or the connection was reset."""

    def __init__(self, network: MemoryNetwork, latency: float, breaks_after: int | None) -> None:
        self.network, self.latency, self.breaks_after = network, latency, breaks_after
        self.parts: deque[tuple[float, bytes]] = deque()
        self.size = 0
        self.last = 0.0  # when the newest byte arrives; none overtakes another
        self.ended = self.broken = False
        self.fell = False  # the network broke it, neither end did
        self.readable, self.writable = AutoResetEvent(), AutoResetEvent()

    def room(self) -> int:
        return max(0, self.network.manners.window - self.size)

    def push(self, data: bytes) -> int:
        """Take what fits, or a part of it; how much was taken."""
        data = data[: self.network.cut(min(self.room(), len(data)))]
        if data:
            self.last = max(self.last, trio.current_time() + self.latency)
            self.parts.append((self.last, data))
            self.size += len(data)
            self.readable.set()
            if self.breaks_after is not None:
                self.breaks_after -= len(data)
        return len(data)

    def fell_apart(self) -> bool:
        return self.breaks_after is not None and self.breaks_after < 0

    def pull(self, most: int) -> bytes:
        """What has arrived, or a part of it."""
        at, data = self.parts[0]
        take = self.network.cut(min(most, len(data)))
        self.parts[0] = (at, data[take:])
        if take == len(data):
            self.parts.popleft()
        self.size -= take
        self.writable.set()
        return data[:take]


class MemoryStream:
    """One end of a connection."""

    def __init__(self, inward: _Pipe, outward: _Pipe, peer: str) -> None:
        self._in, self._out, self.peer = inward, outward, peer
        self._closed = False

    @property
    def fell(self) -> bool:
        """Whether the network broke this connection."""
        return self._in.fell or self._out.fell

    async def receive_some(self, most: int) -> bytes:
        await trio.lowlevel.checkpoint()
        pipe = self._in
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
        pipe = self._in
        if self._closed or pipe.broken:
            raise ConnectionResetError("the connection was reset")
        if pipe.parts:
            return pipe.pull(most) if pipe.parts[0][0] <= trio.current_time() else None
        return b"" if pipe.ended else None

    async def send_some(self, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        while True:
            sent = self.send_now(data)
            if sent:
                return sent
            await self._out.writable.wait()

    def send_now(self, data: bytes) -> int:
        if self._closed or self._out.broken:
            raise BrokenPipeError("the peer is gone")
        sent = self._out.push(data)
        if self._out.fell_apart():
            self._in.fell = self._out.fell = True
            self._reset()
            raise ConnectionResetError("the connection was reset")
        return sent

    def _reset(self) -> None:
        for pipe in (self._in, self._out):
            pipe.broken = True
            pipe.parts.clear()
            pipe.size = 0
            pipe.readable.set()
            pipe.writable.set()

    def end_writing(self) -> None:
        """The peer reads to the end; what it still says can be read."""
        self._out.ended = True
        self._out.readable.set()

    def close(self) -> None:
        """Close both ways; what was written before still reaches the peer, unless bytes of the peer were left
        unread: then it is a reset, as TCP has it."""
        if self._closed:
            return
        self._closed = True
        if self._in.parts:
            self._reset()
        self._out.ended = self._in.broken = True
        for pipe in (self._in, self._out):
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
        await trio.lowlevel.checkpoint()
        while not self._queue:
            if self._closed:
                raise trio.ClosedResourceError("the listener was closed")
            await self._ready.wait()
        return self._queue.popleft()

    def accept_now(self) -> MemoryStream | None:
        return self._queue.popleft() if self._queue and not self._closed else None

    def arrive(self, stream: MemoryStream) -> bool:
        if self._closed or len(self._queue) >= self._network.manners.backlog:
            return False
        self._queue.append(stream)
        self._ready.set()
        return True

    def close(self) -> None:
        self._closed = True
        self._network.forget(self.address, self)
        for stream in self._queue:
            stream.close()
        self._ready.set()


class MemoryNetwork:
    """Addresses and connections."""

    def __init__(self, manners: Manners | None = None, seed: int = 0) -> None:
        self.manners = manners if manners is not None else Manners()
        self.random = random.Random(seed)
        self._listeners: dict[str, MemoryListener] = {}
        self._ports = 40000

    def cut(self, size: int) -> int:
        """How much of `size` bytes one read or write takes."""
        if size > 1 and self.manners.chop and self.random.random() < self.manners.chop:
            return 1 if self.random.random() < 0.3 else self.random.randint(1, size)
        return size

    async def connect(self, address: str) -> MemoryStream:
        manners = self.manners
        latency = self.random.uniform(*manners.latency)
        await trio.sleep(2 * latency + manners.connect)
        if manners.hang and self.random.random() < manners.hang:
            await trio.sleep_forever()
        there, back = (_Pipe(self, latency, self._breaks()) for _ in range(2))
        self._ports += 1
        listener = self._listeners.get(address)
        if listener is None or not listener.arrive(MemoryStream(there, back, f"127.0.0.1:{self._ports}")):
            raise ConnectionRefusedError(f"nobody listens at {address}")
        return MemoryStream(back, there, address)

    def _breaks(self) -> int | None:
        """After how many bytes a direction falls apart; most never do."""
        if self.manners.reset and self.random.random() < self.manners.reset:
            return int(self.random.expovariate(1 / 2000))
        return None

    async def listen(self, address: str) -> MemoryListener:
        await trio.lowlevel.checkpoint()
        host, _, port = address.rpartition(":")
        if port == "0":
            self._ports += 1
            address = f"{host}:{self._ports}"
        if address in self._listeners:
            raise OSError(f"{address} is in use")
        self._listeners[address] = listener = MemoryListener(self, address)
        return listener

    def forget(self, address: str, listener: MemoryListener) -> None:
        if self._listeners.get(address) is listener:
            del self._listeners[address]
