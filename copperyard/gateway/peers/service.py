"""Runs the coordination of one gateway: links, one task for durable actions in order, and timers."""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio
from trio import TaskStatus

from ...control.coordinator import (
    MESSAGE_CODEC,
    ApplyZoneAllocation,
    Coordinator,
    CoordinatorConfig,
    Immediate,
    LogLine,
    NotifyApplied,
    Send,
    Write,
)
from ...control.peer_limits import WRITE_RETRY_S
from ...control.zones.facts import Gauge
from ...control.zones.follow import own_zone_only
from ...decide import Controller
from ...interface import ZoneAllocation
from ...state.agreement.log_store import DamagedStoreError, LogStore, from_bytes, to_bytes
from ...state.agreement.replica import PersistentState
from ..net import AutoResetEvent, Network, now, trio_deadline
from .links import Links

Logger = Callable[[str, Mapping[str, str | int]], None]


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """What a gateway has to know at its start. `shelf`: log store of a voter, None for others; `fleet`: digest of the
    settings that all gateways have to agree on; `trusted`: an operator asserts that the log store is the newest.
    """

    place: CoordinatorConfig
    listen: str
    addresses: Mapping[str, str]
    fleet: bytes
    log_store: LogStore | None
    trusted: bool = False


class PeerService:
    """Runs the coordination of one gateway. `act` gets the ways of its front on each change; `unix_ms` is the date."""

    def __init__(
        self,
        settings: PeerSettings,
        gauge: Gauge,
        controller: Callable[[], Controller],
        network: Network,
        on_allocation: Callable[[ZoneAllocation], None],
        log: Logger,
        rng: random.Random,
        unix_ms: int,
    ) -> None:
        self.settings, self.on_allocation, self.log = settings, on_allocation, log
        self._timer_wake, self._durable_wake = AutoResetEvent(), AutoResetEvent()
        self._wake_at: int | None = None
        self._rewrite = False  # the content of the log store is unusable: replace it with the next write
        kept = self._open() if settings.log_store is not None else None
        self.coordinator = Coordinator(
            settings.place, gauge, controller, kept, rng.getrandbits(62), now(), unix_ms, settings.trusted
        )
        self.links = Links(
            network,
            settings.place.name,
            settings.fleet,
            unix_ms,
            settings.addresses,
            MESSAGE_CODEC,
            self._message_received,
            log,
            rng,
        )

    def _open(self) -> PersistentState:
        """Read the log store. A damaged one counts as empty: a voter without its log recovers from the others, but with
        a part of it the voter might not notice that it has to.
        """
        shelf = self.settings.log_store
        assert shelf is not None
        try:
            return from_bytes(shelf.open(self.settings.place.name))
        except DamagedStoreError as error:
            self.log("shelf damaged", {"text": str(error)[:200]})
            self._rewrite = True
            return PersistentState()

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; reports the address of the links.

        A defect in the coordination is logged and ends only that: this front uses only its own zone from then on, and
        no session ends because of it.
        """
        started = False
        try:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(self.links.run, self.settings.listen)
                nursery.start_soon(self._durable_loop)
                nursery.start_soon(self._timer_loop)
                self._run_actions()
                started = True
                task_status.started(address)
        except Exception as error:
            if not started:
                raise
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            place = traceback.extract_tb(error.__traceback__)[-1]
            self.log(
                "defect",
                {
                    "task": "common",
                    "error": f"{type(error).__name__}: {error}"[:200],
                    "place": f"{place.name}:{place.lineno}",
                },
            )
            self.on_allocation(own_zone_only(self.settings.place.terms, self.coordinator.zone))
        finally:
            if self.settings.log_store is not None:
                self.settings.log_store.close()

    def leave(self) -> None:
        """Announce a planned end to the others."""
        self.coordinator.leave(now())
        self._run_actions()

    def _message_received(self, sender: str, message: object) -> None:
        self.coordinator.hear(now(), sender, message)
        self._run_actions()

    def _run_actions(self) -> None:
        for order in self.coordinator.take_actions():
            self._run_action(order)
        self._durable_wake.set()
        wake = self.coordinator.next_wake()
        if self._wake_at is None or wake < self._wake_at:
            self._timer_wake.set()

    def _run_action(self, order: Immediate) -> None:
        if isinstance(order, Send):
            self.links.send(order.to, order.message)
        elif isinstance(order, ApplyZoneAllocation):
            self.on_allocation(order.allocation)
        else:
            self.log(order.event, dict(order.fields))

    async def _timer_loop(self) -> None:
        while True:
            self._wake_at = self.coordinator.next_wake()
            with trio.move_on_at(trio_deadline(self._wake_at)) as waiting:
                await self._timer_wake.wait()
            due, self._wake_at = self._wake_at, None
            if waiting.cancelled_caught or now() >= due:
                # the deadline is a float and may fire a nanosecond before the exact time
                self.coordinator.wake(max(due, now()))
                self._run_actions()

    async def _durable_loop(self) -> None:
        """Carry out durable actions in order: a message is sent after all earlier records are durable."""
        while True:
            orders = self.coordinator.take_durable_actions()
            if not orders:
                await self._durable_wake.wait()
            for order in orders:
                if isinstance(order, Write):
                    await self._write(order)
                elif isinstance(order, NotifyApplied):
                    self.coordinator.applied(now(), order.order)
                    self._run_actions()
                elif isinstance(order, Send):
                    self.links.send(order.to, order.message)
                else:
                    assert isinstance(order, LogLine)
                    self.log(order.event, dict(order.fields))
            if orders:
                self._run_actions()  # a council that waited for the disk resumes its timers

    async def _write(self, order: Write) -> None:
        """Write until it succeeds: a voter whose disk fails sends nothing, and counts as dead until it works again."""
        shelf = self.settings.log_store
        assert shelf is not None
        records = to_bytes(order.records)
        failed = False
        while True:
            try:
                await (shelf.replace_all(records) if order.replace_all or self._rewrite else shelf.append(records))
            except OSError as error:
                if not failed:
                    self.log("shelf failed", {"text": str(error)[:200]})
                failed = True
                await trio.sleep(WRITE_RETRY_S)
                continue
            self._rewrite = False
            if failed:
                self.log("shelf well again", {})
            return
