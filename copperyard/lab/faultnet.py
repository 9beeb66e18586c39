"""A network wrapper that injects stalls of one gateway and partitions between zones, on sockets or in memory."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..gateway.net import Listener, Network, Stream

POLL_INTERVAL_S = 0.01  # between checks during a stall or cut


class PausableStream:
    """A stream that transfers nothing while `paused()`."""

    def __init__(self, inner: Stream, paused: Callable[[], bool]) -> None:
        self._inner, self._paused, self.peer = inner, paused, inner.peer
        self._buffered = b""  # read from the inner stream during a pause; a stalled process would find it in its socket

    async def _wait_while_paused(self) -> None:
        """Wait until the pause ends.

        The wait is shielded, so that deadlines that pass meanwhile take effect only after the sockets' data is read, as
        in a process that was stopped.
        """
        with trio.CancelScope(shield=True):
            while self._paused():  # noqa: ASYNC110 - the end of a fault signals nobody
                await trio.sleep(POLL_INTERVAL_S)

    async def receive_some(self, most: int) -> bytes:
        """Read up to `most` bytes, after the pause if there is one."""
        if self._paused():
            await self._wait_while_paused()
            with trio.CancelScope(shield=True), trio.move_on_after(POLL_INTERVAL_S / 10) as waiting:
                found = await self._inner.receive_some(most)
            if not waiting.cancelled_caught:
                return found
        while not self._buffered:
            data = await self._inner.receive_some(most)
            if not self._paused():
                return data
            self._buffered = data
            await self._wait_while_paused()
            if not data:
                return data
            # a receive_now() may take the buffered data before this task continues
        return self._take_buffered(most)

    def _take_buffered(self, most: int) -> bytes:
        data, self._buffered = self._buffered[:most], self._buffered[most:]
        return data

    def receive_now(self, most: int) -> bytes | None:
        """Read without waiting; None if there is nothing or the stream is paused."""
        if self._paused():
            return None
        return self._take_buffered(most) if self._buffered else self._inner.receive_now(most)

    async def send_some(self, data: bytes) -> int:
        """Write some of the bytes, after the pause if there is one; return how many."""
        if self._paused():
            await self._wait_while_paused()
            sent = self._inner.send_now(data)
            if sent:
                return sent
        return await self._inner.send_some(data)

    def send_now(self, data: bytes) -> int:
        """Write without waiting; 0 if the stream is paused."""
        return 0 if self._paused() else self._inner.send_now(data)

    def end_writing(self) -> None:
        """Close the sending direction."""
        self._inner.end_writing()

    def close(self) -> None:
        """Close the inner stream, even during a pause."""
        self._inner.close()


class PausableListener:
    """A listener whose accepted streams are paused while the network is stalled."""

    def __init__(self, inner: Listener, network: FaultNetwork) -> None:
        self._inner, self._network, self.address = inner, network, inner.address

    async def accept(self) -> Stream:
        """Accept the next connection; a stall does not delay this."""
        stream = await self._inner.accept()
        return PausableStream(stream, lambda: self._network.stalled)

    def accept_now(self) -> Stream | None:
        """Accept a connection without waiting; None if there is none."""
        stream = self._inner.accept_now()
        return PausableStream(stream, lambda: self._network.stalled) if stream is not None else None

    def close(self) -> None:
        """Stop listening."""
        self._inner.close()


class FaultNetwork:
    """One gateway's access to the network.

    While `stalled`, nothing goes in or out. While `is_cut(address)`, that peer cannot be reached: data on the way to it
    neither arrives nor fails.
    """

    def __init__(self, inner: Network, is_cut: Callable[[str], bool]) -> None:
        self._inner, self.is_cut = inner, is_cut
        self.stalled = False

    async def connect(self, address: str) -> Stream:
        """Connect to an address, after the stall or cut if there is one."""
        while self.stalled or self.is_cut(address):  # noqa: ASYNC110
            await trio.sleep(POLL_INTERVAL_S)
        stream = await self._inner.connect(address)
        return PausableStream(stream, lambda: self.stalled or self.is_cut(address))

    async def listen(self, address: str) -> Listener:
        """Listen at an address."""
        return PausableListener(await self._inner.listen(address), self)
