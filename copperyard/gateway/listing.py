"""Follows the list service over HTTP (h11): long polls on one connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11
import trio

from ..control.core import FrontCore
from .net import AutoResetEvent, Network, Stream, now

MOST_BODY = 16 * 1024 * 1024
READ = 65536


@dataclass(frozen=True, slots=True)
class ListPlace:
    """Where the list is had: `address` and `path`; a poll waits `wait` ns there and `timeout` ns here."""

    address: str
    path: str
    wait: int
    timeout: int


def list_place(url: str, wait: int, timeout: int) -> ListPlace:
    """The place of an http URL. ValueError for another scheme or a URL without a port or host."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"not an http URL: {url}")
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return ListPlace(f"{host}:{parts.port or 80}", parts.path or "/", wait, timeout)


class Follower:
    """Polls the list service. One long poll is out at a time; its answer is taken by whoever looks first: the task
    that waits for it, or a set-up that is about to leave (`catch_up`)."""

    def __init__(self, network: Network, core: FrontCore, place: ListPlace, carry_out: Callable[[], None]) -> None:
        self.network, self.core, self.place, self.carry_out = network, core, place, carry_out
        self._stream: Stream | None = None
        self._wire = h11.Connection(h11.CLIENT)
        self._status = 0
        self._body = bytearray()
        self._begun = self._whole = self._drained = False
        self._error: OSError | None = None
        self._reading: trio.CancelScope | None = None
        self._moved = AutoResetEvent()

    async def run(self) -> None:
        """Poll until something fails; the core hears of that once and says when to go on."""
        try:
            with trio.move_on_after(self.place.timeout / 1e9):
                self._stream = await self.network.connect(self.place.address)
            if self._stream is None:
                raise OSError("no connection in time")
            while True:
                await self._poll(self._stream)
                if self._wire.our_state is not h11.DONE or self._wire.their_state is not h11.DONE:
                    raise OSError("it closed the connection")
                self._wire.start_next_cycle()
        except (OSError, h11.RemoteProtocolError) as error:
            self.core.list_failed(now(), f"{type(error).__name__}: {error}"[:200])
        finally:
            stream, self._stream, self._begun = self._stream, None, False
            self._moved.set()
            if stream is not None:
                stream.close()
        self.carry_out()

    async def _poll(self, stream: Stream) -> None:
        known, place = self.core.roster.generation, self.place
        query = f"?after={known}&wait_ms={place.wait // 1_000_000}" if known is not None else ""
        headers = [("Host", place.address), ("User-Agent", self.core.instance_name)]
        self._status, self._whole = 0, False
        self._body.clear()
        with trio.move_on_after(place.timeout / 1e9) as sending:
            request = h11.Request(method="GET", target=place.path + query, headers=headers)
            for part in (request, h11.EndOfMessage()):
                data = self._wire.send(part)
                while data:
                    data = data[await stream.send_some(data) :]
        if sending.cancelled_caught:
            raise OSError("it took no request in time")
        limits = [trio.current_time() + place.timeout / 1e9]
        while not self._whole:
            self._drained = False
            with trio.CancelScope(deadline=limits[-1]) as self._reading:
                self._take(await stream.receive_some(READ))
                continue
            if self._drained:
                continue  # somebody else looked, and took what this waited for
            # a poll's time that ran out while this process stood still says nothing of the service: what came
            # meanwhile lies unread, and dropping it with the connection lost news of a drain (seed 9000568)
            if len(limits) > 1 or not self._drain():
                raise OSError("no answer in time")
            limits.append(trio.current_time() + place.timeout / 1e9)
        if self._error is not None:
            raise self._error

    async def catch_up(self, most: float) -> None:
        """Take what lies unread. Where an answer has begun and not ended, wait for its end, at most `most` s: a
        service that hangs in the middle of one must not hold up every session here."""
        self._drain()
        if not self._begun:
            return
        with trio.move_on_after(most):
            while self._begun:
                await self._moved.wait()
                self._moved.set()  # for the others that wait

    def _drain(self) -> bool:
        """Read without waiting; whether anything was there."""
        found = False
        try:
            while self._stream is not None and not self._whole:
                data = self._stream.receive_now(READ)
                if data is None:
                    break
                found = True
                self._take(data)
        except (OSError, h11.RemoteProtocolError):
            pass  # the waiting task meets the same end, and tells of it
        if found and self._reading is not None:
            self._drained = True
            self._reading.cancel()
        return found

    def _take(self, data: bytes) -> None:
        """Bytes of an answer; the core is told once it is whole."""
        self._wire.receive_data(data)
        while not self._whole:
            event = self._wire.next_event()
            if event is h11.NEED_DATA:
                self._begun = self._status != 0 or bool(self._wire.trailing_data[0])
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MOST_BODY:
                    raise OSError(f"its answer is over {MOST_BODY} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._ended()
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("it closed the connection")

    def _ended(self) -> None:
        self._whole, self._begun = True, False
        self._moved.set()
        if self._status == 200 and not self.core.list_received(now(), bytes(self._body)):
            self._error = OSError("its answer made no sense")
        elif self._status not in (200, 204):
            self._error = OSError(f"it answered {self._status}")
        self.carry_out()
