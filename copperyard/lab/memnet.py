"""A network in memory with the gateway's own shapes, for virtual time: bounded pipes instead of sockets."""

from __future__ import annotations

import trio

from ..gateway.net import Signal


class _Pipe:
    """One direction. `ended`: the writer closed; `broken`: the reader is gone or the connection was reset."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()
        self.ended = self.broken = False
        self.readable, self.writable = Signal(), Signal()


class MemoryStream:
    """One end of a connection."""

    def __init__(self, inward: _Pipe, outward: _Pipe, peer: str) -> None:
        self._in, self._out, self.peer = inward, outward, peer
        self._closed = False

    async def receive_some(self, most: int) -> bytes:
        await trio.lowlevel.checkpoint()
        while not self._in.data:
            if self._closed or self._in.broken:
                raise ConnectionResetError("the connection was reset")
            if self._in.ended:
                return b""
            await self._in.readable.wait()
        data = bytes(self._in.data[:most])
        del self._in.data[:most]
        self._in.writable.set()
        return data

    async def send_some(self, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        while True:
            if self._closed or self._out.broken:
                raise BrokenPipeError("the peer is gone")
            room = self._out.limit - len(self._out.data)
            if room > 0:
                self._out.data += data[:room]
                self._out.readable.set()
                return min(room, len(data))
            await self._out.writable.wait()

    def send_now(self, data: bytes) -> int:
        if self._closed or self._out.broken:
            raise BrokenPipeError("the peer is gone")
        room = max(0, self._out.limit - len(self._out.data))
        if room:
            self._out.data += data[:room]
            self._out.readable.set()
        return min(room, len(data))

    def close(self) -> None:
        """Close both ways; what was written before still reaches the peer, unless bytes of the peer were left
        unread: then it is a reset, as TCP has it."""
        if self._closed:
            return
        self._closed = True
        self._out.ended = True
        if self._in.data:
            self._out.broken = True
            self._out.data.clear()
        self._in.broken = True
        for pipe in (self._in, self._out):
            pipe.readable.set()
            pipe.writable.set()


class MemoryListener:
    """A listening address."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.address, self._network = address, network
        self._queue: list[MemoryStream] = []
        self._ready = Signal()
        self._closed = False

    async def accept(self) -> MemoryStream:
        await trio.lowlevel.checkpoint()
        while not self._queue:
            if self._closed:
                raise trio.ClosedResourceError("the listener was closed")
            await self._ready.wait()
        return self._queue.pop(0)

    def arrive(self, stream: MemoryStream) -> bool:
        if self._closed or len(self._queue) >= self._network.backlog:
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
    """Addresses and connections; a connect takes `latency` s, a pipe holds `window` bytes."""

    def __init__(self, latency: float = 0.001, window: int = 65536, backlog: int = 1024) -> None:
        self.latency, self.window, self.backlog = latency, window, backlog
        self._listeners: dict[str, MemoryListener] = {}
        self._ports = 40000

    async def connect(self, address: str) -> MemoryStream:
        await trio.sleep(self.latency)
        there, back = _Pipe(self.window), _Pipe(self.window)
        self._ports += 1
        listener = self._listeners.get(address)
        if listener is None or not listener.arrive(MemoryStream(there, back, f"127.0.0.1:{self._ports}")):
            raise ConnectionRefusedError(f"nobody listens at {address}")
        return MemoryStream(back, there, address)

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
