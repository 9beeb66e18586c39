"""Follows the list of hosts by DNS over UDP."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from ...control.node import bounds
from ...control.node.core import NodeCore
from ...membership.asking import Asking
from ...protocol.node.fleet import BadAnswer, parse_answer, query
from ..net import Datagrams, at, now


class NameFollower:
    """Asks again and again, and takes every good answer to one of the last queries."""

    def __init__(
        self,
        core: NodeCore,
        connect: Callable[[str], Datagrams],
        address: str,
        rng: random.Random,
        carry_out: Callable[[], None],
    ) -> None:
        self.core, self.connect, self.address, self.rng, self.carry_out = core, connect, address, rng, carry_out
        self._socket: Datagrams | None = None
        self._asked: dict[int, None] = {}
        self._pace = Asking(rng)
        self._last = b""
        self._scope: trio.CancelScope | None = None

    def move(self, address: str) -> None:
        """The name service is at another address from now on; what the old one still says is not heard."""
        if address == self.address:
            return
        self.address = address
        self._asked.clear()
        self._pace.restart()
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        while True:
            with trio.CancelScope() as self._scope:
                await self._follow()

    async def _follow(self) -> None:
        while True:
            try:
                self._socket = self.connect(self.address)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._ask, self._socket)
                    nursery.start_soon(self._read, self._socket)
            except* OSError as error:
                self.core.line("name service", text=str(error.exceptions[0])[:200])
                self.carry_out()
            finally:
                if self._socket is not None:
                    self._socket.close()
                    self._socket = None
            await trio.sleep(bounds.RENAME / bounds.SECOND)

    async def _ask(self, socket: Datagrams) -> None:
        while True:
            await trio.sleep_until(at(self._pace.due))
            if now() < self._pace.due:
                continue  # an answer came, which put it off
            number = self.rng.getrandbits(16)
            self._asked[number] = None
            while len(self._asked) > bounds.LATE_ANSWERS:
                del self._asked[next(iter(self._asked))]
            try:
                socket.send_now(query(number))
            except ConnectionRefusedError:
                pass  # nobody is there just now; the next query is due soon anyway
            self._pace.asked(now())

    async def _read(self, socket: Datagrams) -> None:
        while True:
            await socket.readable()
            self.drain()
            self.carry_out()

    def drain(self) -> None:
        """Take what lies unread, without waiting. Called before anything is sent on what the list said."""
        for _ in range(bounds.MOST_UNREAD):  # a flood must not hold up the rest
            if self._socket is None:
                return
            try:
                data = self._socket.receive_now()
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            if data is None:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        number = int.from_bytes(data[:2], "big")
        if number not in self._asked:
            return
        if data[2:] == self._last:  # the same list under another number: most answers are
            del self._asked[number]
            self._pace.answered()
            return
        try:
            serial, hosts = parse_answer(data, number)
        except BadAnswer as error:
            self.core.line("name service", text=f"an answer {error}"[:200])
            return
        del self._asked[number]
        if serial < self.core.fleet.serial:
            return  # an older list: what is new is not in it, so the query counts as lost
        self._pace.answered()
        self._last = data[2:]
        self.core.fleet_told(now(), serial, hosts)
