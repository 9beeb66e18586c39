"""Follows the list service over HTTP (h11) with long polls on one connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11
import trio

from ..control.core import FrontCore
from .net import AutoResetEvent, Network, Stream, now

MAX_BODY_BYTES = 16 * 1024 * 1024
READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class ListEndpoint:
    """Where the list service is, how long it may hold a poll, and after how long a poll times out (both ns)."""

    address: str
    path: str
    poll_wait: int
    poll_timeout: int


def parse_list_url(url: str, wait: int, timeout: int) -> ListEndpoint:
    """Parse an http URL; the default port is 80. ValueError for another scheme or a URL without a host."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"not an http URL: {url}")
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return ListEndpoint(f"{host}:{parts.port or 80}", parts.path or "/", wait, timeout)


class ListFollower:
    """Polls the list service, with one long poll in progress at a time.

    The response is read by whichever comes first: the task that waits for it, or a set-up that is about to be sent
    (`catch_up`).
    """

    def __init__(
        self, network: Network, core: FrontCore, endpoint: ListEndpoint, run_io_actions: Callable[[], None]
    ) -> None:
        self.network, self.core, self.endpoint, self.run_io_actions = network, core, endpoint, run_io_actions
        self._stream: Stream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._status = 0
        self._body = bytearray()
        self._response_begun = self._response_complete = self._read_by_other = False
        self._error: OSError | None = None
        self._read_scope: trio.CancelScope | None = None
        self._response_done = AutoResetEvent()

    async def run(self) -> None:
        """Poll until something fails; the core is told once and decides when to poll again."""
        try:
            with trio.move_on_after(self.endpoint.poll_timeout / 1e9):
                self._stream = await self.network.connect(self.endpoint.address)
            if self._stream is None:
                raise OSError("connect timed out")
            while True:
                await self._poll(self._stream)
                if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
                    raise OSError("the service closed the connection")
                self._http.start_next_cycle()
        except (OSError, h11.RemoteProtocolError) as error:
            self.core.list_failed(now(), f"{type(error).__name__}: {error}"[:200])
        finally:
            stream, self._stream, self._response_begun = self._stream, None, False
            self._response_done.set()
            if stream is not None:
                stream.close()
        self.run_io_actions()

    async def _poll(self, stream: Stream) -> None:
        generation, endpoint = self.core.roster.generation, self.endpoint
        query = f"?after={generation}&wait_ms={endpoint.poll_wait // 1_000_000}" if generation is not None else ""
        headers = [("Host", endpoint.address), ("User-Agent", self.core.instance_name)]
        self._status, self._response_complete = 0, False
        self._body.clear()
        with trio.move_on_after(endpoint.poll_timeout / 1e9) as send_scope:
            request = h11.Request(method="GET", target=endpoint.path + query, headers=headers)
            for part in (request, h11.EndOfMessage()):
                data = self._http.send(part)
                while data:
                    data = data[await stream.send_some(data) :]
        if send_scope.cancelled_caught:
            raise OSError("sending the request timed out")
        deadlines = [trio.current_time() + endpoint.poll_timeout / 1e9]
        while not self._response_complete:
            self._read_by_other = False
            with trio.CancelScope(deadline=deadlines[-1]) as self._read_scope:
                self._receive(await stream.receive_some(READ_BYTES))
                continue
            if self._read_by_other:
                continue  # `catch_up` read what this task waited for
            # a timeout that expired while this process did not run says nothing about the service: data that
            # arrived meanwhile is still unread, and closing the connection lost the news of a drain (seed 9000568)
            if len(deadlines) > 1 or not self._read_available():
                raise OSError("no response in time")
            deadlines.append(trio.current_time() + endpoint.poll_timeout / 1e9)
        if self._error is not None:
            raise self._error

    async def catch_up(self, timeout_s: float) -> None:
        """Read what has arrived, and wait for the end of a response that has begun, at most `timeout_s` seconds.

        The wait is bounded because a service that hangs in the middle of a response must not hold up all sessions.
        """
        self._read_available()
        if not self._response_begun:
            return
        with trio.move_on_after(timeout_s):
            while self._response_begun:
                await self._response_done.wait()
                self._response_done.set()  # wakes the next waiting task

    def _read_available(self) -> bool:
        """Read without waiting; returns whether anything was read."""
        any_read = False
        try:
            while self._stream is not None and not self._response_complete:
                data = self._stream.receive_now(READ_BYTES)
                if data is None:
                    break
                any_read = True
                self._receive(data)
        except (OSError, h11.RemoteProtocolError):
            pass  # the polling task meets the same error and reports it
        if any_read and self._read_scope is not None:
            self._read_by_other = True
            self._read_scope.cancel()
        return any_read

    def _receive(self, data: bytes) -> None:
        """Parse bytes of a response; the core gets the response once it is complete."""
        self._http.receive_data(data)
        while not self._response_complete:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._response_begun = self._status != 0 or bool(self._http.trailing_data[0])
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    raise OSError(f"the response body is over {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._response_ended()
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the service closed the connection")

    def _response_ended(self) -> None:
        self._response_complete, self._response_begun = True, False
        self._response_done.set()
        if self._status == 200 and not self.core.list_received(now(), bytes(self._body)):
            self._error = OSError("the response body is not a valid list")
        elif self._status not in (200, 204):
            self._error = OSError(f"the service answered with status {self._status}")
        self.run_io_actions()
