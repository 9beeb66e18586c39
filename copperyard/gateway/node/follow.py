"""Polls the host list by DNS over UDP."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from ...control.node import bounds
from ...control.node.core import NodeCore
from ...membership.open_queries import OpenQueries
from ...membership.query_pacer import QueryPacer
from ...protocol.node.fleet import HostListError, encode_query, parse_answer
from ..net import DatagramSocket, now, trio_deadline


class NameServiceClient:
    """Polls the name service and applies every valid answer to an open query, unless it holds an older list."""

    def __init__(
        self,
        core: NodeCore,
        connect: Callable[[str], DatagramSocket],
        address: str,
        rng: random.Random,
        perform_actions: Callable[[], None],
    ) -> None:
        self.core, self.connect, self.address, self.rng, self.perform_actions = (
            core,
            connect,
            address,
            rng,
            perform_actions,
        )
        self._socket: DatagramSocket | None = None
        self._open_queries = OpenQueries(bounds.MAX_OPEN_QUERIES)
        self._pacer = QueryPacer(rng, core.settings.drain_grace)
        self._last_answer = b""
        self._scope: trio.CancelScope | None = None

    def set_address(self, address: str) -> None:
        """Switch to another address of the name service; late answers of the old one are ignored."""
        if address == self.address:
            return
        self.address = address
        self._open_queries.clear()
        self._pacer.reset()
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._run_socket()

    async def _run_socket(self) -> None:
        while True:
            try:
                self._socket = self.connect(self.address)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_queries, self._socket)
                    nursery.start_soon(self._read_answers, self._socket)
            except* OSError as error:
                self.core.log_line("name service", text=str(error.exceptions[0])[:200])
                self.perform_actions()
            finally:
                if self._socket is not None:
                    self._socket.close()
                    self._socket = None
            await trio.sleep(bounds.NAME_SERVICE_RETRY_INTERVAL / bounds.SECOND)

    async def _send_queries(self, socket: DatagramSocket) -> None:
        while True:
            await trio.sleep_until(trio_deadline(self._pacer.due))
            if now() < self._pacer.due:
                continue  # an answer came meanwhile and postponed the query
            query_id = self.rng.getrandbits(16)
            self._open_queries.sent(now(), query_id)
            try:
                socket.send_now(encode_query(query_id))
            except ConnectionRefusedError:
                pass  # the service is not running; the next query is due soon anyway
            self._pacer.query_sent(now())

    async def _read_answers(self, socket: DatagramSocket) -> None:
        while True:
            await socket.readable()
            self.read_pending()
            self.perform_actions()

    def read_pending(self) -> None:
        """Process unread answers without waiting. Called before any set-up is sent on the strength of the list."""
        for _ in range(bounds.MAX_DATAGRAMS_PER_TURN):  # a flood must not delay other tasks
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
            self._handle_answer(data)

    def _handle_answer(self, data: bytes) -> None:
        query_id = int.from_bytes(data[:2], "big")
        if query_id not in self._open_queries:
            return
        if data[2:] == self._last_answer:  # the same list with another query id, as most answers are
            self._pacer.answer_received(self._open_queries.answered(now(), query_id))
            return
        try:
            serial, hosts = parse_answer(data, query_id)
        except HostListError as error:
            self.core.log_line("name service", text=f"an answer {error}"[:200])
            return
        response_time = self._open_queries.answered(now(), query_id)
        if serial < self.core.fleet.serial:
            return  # an older list may lack changes, so the query counts as unanswered
        self._pacer.answer_received(response_time)
        self._last_answer = data[2:]
        self.core.list_received(now(), serial, hosts)
