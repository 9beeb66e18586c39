"""A network that can be held: one gateway standing still, a zone cut off. Wraps either network."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..gateway.net import Listener, Network, Stream

LOOK = 0.01  # s between looks while held


class HeldStream:
    """A stream on which nothing moves while `held()`."""

    def __init__(self, inner: Stream, held: Callable[[], bool]) -> None:
        self._inner, self._held, self.peer = inner, held, inner.peer
        self._kept = b""  # read from below during a hold: for a process that stands still it lies in its socket yet

    async def _pass(self) -> None:
        """Wait out a hold. Deadlines that pass meanwhile are found late, as a process that stood still finds them:
        after what its sockets had."""
        with trio.CancelScope(shield=True):
            while self._held():  # noqa: ASYNC110 - a fault ends by time, and the end wakes nobody
                await trio.sleep(LOOK)

    async def receive_some(self, most: int) -> bytes:
        if self._held():
            await self._pass()
            with trio.CancelScope(shield=True), trio.move_on_after(LOOK / 10) as waiting:
                found = await self._inner.receive_some(most)
            if not waiting.cancelled_caught:
                return found
        while not self._kept:
            data = await self._inner.receive_some(most)
            if not self._held():
                return data
            self._kept = data
            await self._pass()
            if not data:
                return data
            # who reads without waiting may take what is kept before this task goes on
        return self._take_kept(most)

    def _take_kept(self, most: int) -> bytes:
        data, self._kept = self._kept[:most], self._kept[most:]
        return data

    def receive_now(self, most: int) -> bytes | None:
        if self._held():
            return None
        return self._take_kept(most) if self._kept else self._inner.receive_now(most)

    async def send_some(self, data: bytes) -> int:
        if self._held():
            await self._pass()
            sent = self._inner.send_now(data)
            if sent:
                return sent
        return await self._inner.send_some(data)

    def send_now(self, data: bytes) -> int:
        return 0 if self._held() else self._inner.send_now(data)

    def end_writing(self) -> None:
        self._inner.end_writing()

    def close(self) -> None:
        self._inner.close()


class HeldListener:
    def __init__(self, inner: Listener, network: FaultNetwork) -> None:
        self._inner, self._network, self.address = inner, network, inner.address

    async def accept(self) -> Stream:
        stream = await self._inner.accept()
        return HeldStream(stream, lambda: self._network.standing)

    def accept_now(self) -> Stream | None:
        stream = self._inner.accept_now()
        return HeldStream(stream, lambda: self._network.standing) if stream is not None else None

    def close(self) -> None:
        self._inner.close()


class FaultNetwork:
    """One gateway's way to the network. `standing`: nothing goes in or out; `cut(address)`: that peer cannot be
    reached, and what is under way to it neither arrives nor fails."""

    def __init__(self, inner: Network, cut: Callable[[str], bool]) -> None:
        self._inner, self.cut = inner, cut
        self.standing = False

    async def connect(self, address: str) -> Stream:
        while self.standing or self.cut(address):  # noqa: ASYNC110
            await trio.sleep(LOOK)
        stream = await self._inner.connect(address)
        return HeldStream(stream, lambda: self.standing or self.cut(address))

    async def listen(self, address: str) -> Listener:
        return HeldListener(await self._inner.listen(address), self)
