"""Connections to hosts: one task for each attempt, one for each probe."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..control.attempt import Attempt, HostQuery, Stage
from ..control.core import FrontCore
from ..interface import OutcomeCode
from ..protocol.rtsp import Response
from ..protocol.rtsp.messages import Headers
from .net import AutoResetEvent, Network, Stream, now, trio_deadline

READ = 65536


class Link:
    """The task that runs an attempt, as the rest of the gateway sees it."""

    def __init__(
        self,
        core: FrontCore,
        network: Network,
        attempt: Attempt,
        carry_out: Callable[[], None],
        catch_up: Callable[[], Awaitable[None]],
    ) -> None:
        self.core, self.network, self.attempt = core, network, attempt
        self.carry_out, self.catch_up = carry_out, catch_up
        self.wake = AutoResetEvent()
        self.roomy = AutoResetEvent()
        self.scope = trio.CancelScope()
        self.blocked: Callable[[], bool] = lambda: False

    @property
    def _connect_s(self) -> float:
        return self.core.rules.settings.connect_timeout / 1e9

    async def run(self) -> None:
        """Connect, talk, close; the core hears of the end only after the close."""
        stream: Stream | None = None
        self.scope.deadline = trio_deadline(self.attempt.deadline)
        try:
            with self.scope:
                with trio.move_on_after(self._connect_s):
                    try:
                        stream = await self.network.connect(self.attempt.plan.address)
                    except OSError:
                        stream = None
                if stream is not None and await self._connected():
                    await self._talk(stream)
            if self.scope.cancelled_caught and stream is not None:
                self.core.session_table.expired(now(), self.attempt)
            if stream is not None and self.attempt.out and self.attempt.sent:
                await self._last_words(stream)
        finally:
            if stream is not None:
                stream.close()
            self.core.session_table.closed(now(), self.attempt)
            self.carry_out()

    async def _connected(self) -> bool:
        # a process that stood still since the attempt was decided has not read yet what ended meanwhile
        await self.catch_up()
        return self.core.session_table.connected(now(), self.attempt)

    def stop(self) -> None:
        """The core ended the attempt."""
        self.scope.cancel()

    async def _talk(self, stream: Stream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, stream)
            await self._read(stream)
            nursery.cancel_scope.cancel()

    async def _read(self, stream: Stream) -> None:
        while True:
            try:
                data = await stream.receive_some(READ)
            except OSError:
                return
            if not data:
                return
            if self.attempt.stage is Stage.CHECK:
                await self.catch_up()  # what comes is the leave to send the set-up
            self.core.session_table.received(now(), self.attempt, data)
            self.carry_out()
            if self.attempt.stage is Stage.OPEN:
                self.scope.deadline = float("inf")
            while self.blocked():
                await self.roomy.wait()

    async def _write(self, stream: Stream) -> None:
        out = self.attempt.out
        while True:
            while out:
                try:
                    sent = await stream.send_some(bytes(out))
                except OSError:
                    return  # the reader sees the end as well, with what the host said before it
                del out[:sent]
            await self.wake.wait()

    async def _last_words(self, stream: Stream) -> None:
        """A TEARDOWN, where the host takes it within the time for a connect."""
        out = self.attempt.out
        with trio.move_on_after(self._connect_s):
            try:
                while out:
                    del out[: await stream.send_some(bytes(out))]
            except OSError:
                return


async def ask(network: Network, core: FrontCore, address: str, headers: Headers = ()) -> Response | OutcomeCode:
    """Ask a host one question, within the time for a connect: its answer, or why there is none."""
    probing = HostQuery(address, core.rules.hosts, headers)
    stream: Stream | None = None
    code = OutcomeCode.CONNECT_FAILED
    try:
        with trio.move_on_after(core.rules.settings.connect_timeout / 1e9):
            stream = await network.connect(address)
            code, out = OutcomeCode.TIMEOUT, probing.out
            while out:
                out = out[await stream.send_some(out) :]
            while data := await stream.receive_some(READ):
                found = probing.receive(data)
                if found is not None:
                    return found
            code = OutcomeCode.RESET
    except OSError:
        code = code if code is OutcomeCode.CONNECT_FAILED else OutcomeCode.RESET
    finally:
        if stream is not None:
            stream.close()  # also when the gateway is cancelled in the middle of a probe
    return code
