"""Connections to hosts: one task for each attempt, one for each probe or query."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..control.attempt import Attempt, HostQuery, Stage
from ..control.core import FrontCore
from ..interface import OutcomeCode
from ..protocol.rtsp import Response
from ..protocol.rtsp.messages import Headers
from .net import AutoResetEvent, Network, Stream, now, trio_deadline

READ_BYTES = 65536


class AttemptTask:
    """Runs one attempt on a connection of its own. `run_io_actions` and `catch_up` are the gateway's."""

    def __init__(
        self,
        core: FrontCore,
        network: Network,
        attempt: Attempt,
        run_io_actions: Callable[[], None],
        catch_up: Callable[[], Awaitable[None]],
    ) -> None:
        self.core, self.network, self.attempt = core, network, attempt
        self.run_io_actions, self.catch_up = run_io_actions, catch_up
        self.wake = AutoResetEvent()
        self.room_available = AutoResetEvent()
        self.scope = trio.CancelScope()
        self.is_blocked: Callable[[], bool] = lambda: False

    @property
    def _connect_timeout_s(self) -> float:
        return self.core.rules.settings.connect_timeout / 1e9

    async def run(self) -> None:
        """Connect, exchange messages, close; the core hears of the end only after the close."""
        stream: Stream | None = None
        self.scope.deadline = trio_deadline(self.attempt.deadline)
        try:
            with self.scope:
                with trio.move_on_after(self._connect_timeout_s):
                    try:
                        stream = await self.network.connect(self.attempt.plan.address)
                    except OSError:
                        stream = None
                if stream is not None and await self._connected():
                    await self._exchange(stream)
            if self.scope.cancelled_caught and stream is not None:
                self.core.session_table.expired(now(), self.attempt)
            if stream is not None and self.attempt.out and self.attempt.sent:
                await self._send_teardown(stream)
        finally:
            if stream is not None:
                stream.close()
            self.core.session_table.closed(now(), self.attempt)
            self.run_io_actions()

    async def _connected(self) -> bool:
        # a process that did not run for a while since the decision has not yet read which hosts ended meanwhile
        await self.catch_up()
        return self.core.session_table.connected(now(), self.attempt)

    def stop(self) -> None:
        """Cancel the task: the core ended the attempt."""
        self.scope.cancel()

    async def _exchange(self, stream: Stream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, stream)
            await self._read(stream)
            nursery.cancel_scope.cancel()

    async def _read(self, stream: Stream) -> None:
        while True:
            try:
                data = await stream.receive_some(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            if self.attempt.stage is Stage.CHECK:
                await self.catch_up()  # what arrives permits the set-up to be sent
            self.core.session_table.received(now(), self.attempt, data)
            self.run_io_actions()
            if self.attempt.stage is Stage.OPEN:
                self.scope.deadline = float("inf")
            while self.is_blocked():
                await self.room_available.wait()

    async def _write(self, stream: Stream) -> None:
        out = self.attempt.out
        while True:
            while out:
                try:
                    sent = await stream.send_some(bytes(out))
                except OSError:
                    return  # the reader sees the end too, after what the host sent before it
                del out[:sent]
            await self.wake.wait()

    async def _send_teardown(self, stream: Stream) -> None:
        """Send the TEARDOWN, unless the host does not accept it within the connect timeout."""
        out = self.attempt.out
        with trio.move_on_after(self._connect_timeout_s):
            try:
                while out:
                    del out[: await stream.send_some(bytes(out))]
            except OSError:
                return


async def query_host(network: Network, core: FrontCore, address: str, headers: Headers = ()) -> Response | OutcomeCode:
    """Send one request to a host, within the connect timeout; return its response, or why there is none."""
    query = HostQuery(address, core.rules.hosts, headers)
    stream: Stream | None = None
    code = OutcomeCode.CONNECT_FAILED
    try:
        with trio.move_on_after(core.rules.settings.connect_timeout / 1e9):
            stream = await network.connect(address)
            code, out = OutcomeCode.TIMEOUT, query.out
            while out:
                out = out[await stream.send_some(out) :]
            while data := await stream.receive_some(READ_BYTES):
                answer = query.receive(data)
                if answer is not None:
                    return answer
            code = OutcomeCode.RESET
    except OSError:
        code = code if code is OutcomeCode.CONNECT_FAILED else OutcomeCode.RESET
    finally:
        if stream is not None:
            stream.close()  # also when the gateway is cancelled during a query
    return code
