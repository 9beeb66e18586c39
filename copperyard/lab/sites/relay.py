"""A relay between gateways, with one listener for each pair and direction of dialling.

All their links pass through it, and can be cut, delayed, made lossy or reset there. A lost packet is a delay here, as
TCP makes it one.

A direction is one of space: cutting a->b holds back what a sends to b on links that a dialled and on links that b
dialled, as a cut cable would. What is held back is sent when the direction is restored, if the connection still
stands.
"""

from __future__ import annotations

import random
import socket
from collections import deque
from dataclasses import dataclass

import trio
from trio import TaskStatus

from ...gateway.net import CONNECTION_ERRORS, AutoResetEvent, Listener, Network, Stream

READ_BYTES = 65536
WINDOW_BYTES = 1 << 20  # bytes in transit in one direction of one connection
RETRANSMIT_S = 0.25  # delay of a lost packet; doubled each time that it is lost again


@dataclass(slots=True)
class LinkDirection:
    """Faults of one direction between two gateways.

    `delay` is from and to, in s. `loss` is the probability that a chunk is lost, `reset` the probability that a chunk
    is sent in part only and its connection reset.
    """

    cut: bool = False
    delay: tuple[float, float] = (0.0, 0.0)
    loss: float = 0.0
    reset: float = 0.0


class Relay:
    """Listens for each of `names` towards each other one.

    The caller fills `targets` as the gateways report where they listen.
    """

    def __init__(self, network: Network, names: list[str], seed: int) -> None:
        self.network, self.names = network, names
        self.random = random.Random(seed)
        self.directions = {(a, b): LinkDirection() for a in names for b in names if a != b}
        self.targets: dict[str, str] = {}
        self.addresses: dict[tuple[str, str], str] = {}  # address at which a dials b
        self.bytes = 0
        self.resets = 0
        self._changed = trio.Event()

    def changed(self) -> None:
        """Wakes tasks that wait for a direction to be restored; to be called after a change of `directions`."""
        self._changed.set()
        self._changed = trio.Event()

    def cut(self, ones: list[str], others: list[str], both: bool = True) -> None:
        """Cuts the links from some gateways to others, in one direction or both."""
        self._set(ones, others, both, True)

    def heal(self, ones: list[str], others: list[str], both: bool = True) -> None:
        """Restores the links from some gateways to others, in one direction or both."""
        self._set(ones, others, both, False)

    def _set(self, ones: list[str], others: list[str], both: bool, cut: bool) -> None:
        for a in ones:
            for b in others:
                if a != b:
                    self.directions[a, b].cut = cut
                    if both:
                        self.directions[b, a].cut = cut
        self.changed()

    def restore(self) -> None:
        """Removes all faults."""
        for way in self.directions.values():
            way.cut, way.delay, way.loss, way.reset = False, (0.0, 0.0), 0.0, 0.0
        self.changed()

    async def run(self, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens until cancelled; signals `task_status` when all ports are open."""
        async with trio.open_nursery() as nursery:
            for pair in self.directions:
                listener = await self.network.listen("127.0.0.1:0")
                self.addresses[pair] = listener.address
                nursery.start_soon(self._accept, pair, listener, nursery)
            task_status.started()
            await trio.sleep_forever()

    async def _accept(self, pair: tuple[str, str], listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                nursery.start_soon(self._relay_connection, pair, await listener.accept())
        finally:
            listener.close()

    async def _relay_connection(self, pair: tuple[str, str], near: Stream) -> None:
        far: Stream | None = None
        there, back = self.directions[pair], self.directions[pair[1], pair[0]]
        try:
            while there.cut or back.cut:
                await self._changed.wait()
            if pair[1] not in self.targets:
                return
            far = await self.network.connect(self.targets[pair[1]])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, there, near, far, nursery.cancel_scope)
                nursery.start_soon(self._pump, back, far, near, nursery.cancel_scope)
        except CONNECTION_ERRORS:
            pass
        finally:
            near.close()
            if far is not None:
                far.close()

    async def _pump(self, way: LinkDirection, source: Stream, sink: Stream, scope: trio.CancelScope) -> None:
        waiting: deque[tuple[float, bytes]] = deque()
        size = 0
        came, room = AutoResetEvent(), AutoResetEvent()

        async def write() -> None:
            nonlocal size
            while True:
                while not waiting:
                    await came.wait()
                at, data = waiting[0]
                await trio.sleep_until(at)
                while way.cut:
                    await self._changed.wait()
                if not data:
                    sink.end_writing()
                    return
                if way.reset and self.random.random() < way.reset:
                    self.resets += 1
                    await _send(sink, data[: self.random.randrange(len(data))])
                    _abort(sink)
                    _abort(source)
                    raise ConnectionResetError("by the relay")
                await _send(sink, data)
                waiting.popleft()
                size -= len(data)
                room.set()

        async def guarded() -> None:
            try:
                await write()
            except CONNECTION_ERRORS:
                scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(guarded)
            last = 0.0
            try:
                while True:
                    data = await source.receive_some(READ_BYTES)
                    late, again = self.random.uniform(*way.delay), RETRANSMIT_S
                    while way.loss and self.random.random() < way.loss:
                        late, again = late + again, again * 2
                    last = max(last, trio.current_time() + late)
                    waiting.append((last, data))
                    self.bytes += len(data)
                    size += len(data)
                    came.set()
                    if not data:
                        break
                    while size > WINDOW_BYTES:
                        await room.wait()
            except CONNECTION_ERRORS:
                scope.cancel()


async def _send(stream: Stream, data: bytes) -> None:
    while data:
        data = data[await stream.send_some(data) :]


def _abort(stream: Stream) -> None:
    """Closes a connection so that the other end sees a reset."""
    sock = getattr(stream, "_sock", None)
    if isinstance(sock, socket.socket) and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    stream.close()
