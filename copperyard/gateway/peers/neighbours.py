"""A gateway's tasks for what is decided in common: links, one lane for what has to be durable first, and time."""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio
from trio import TaskStatus

from ...control.common import MESSAGES, Act, Common, CommonPlace, Done, Immediate, Note, Send, Write
from ...control.neighbours import AGAIN
from ...control.zones.facts import Gauge
from ...control.zones.follow import near
from ...decide import Controller
from ...interface import Ways
from ...state.agreement.council import Kept
from ...state.agreement.records import Damaged, Shelf, from_bytes, to_bytes
from ..net import Network, Signal, at, now
from .links import Links

Logger = Callable[[str, Mapping[str, str | int]], None]


@dataclass(frozen=True, slots=True)
class Neighbourhood:
    """What a gateway has to know at its start. `shelf` is a voter's, None for who does not vote; `fleet` a digest of
    what all have to agree on; `trusted`: an operator vouches that the shelf is the newest."""

    place: CommonPlace
    listen: str
    addresses: Mapping[str, str]
    fleet: bytes
    shelf: Shelf | None
    trusted: bool = False


class Neighbours:
    """Runs one gateway's part. `act` is told what its front may do, whenever that changes; `unix_ms` is the date."""

    def __init__(
        self,
        hood: Neighbourhood,
        gauge: Gauge,
        controller: Callable[[], Controller],
        network: Network,
        act: Callable[[Ways], None],
        log: Logger,
        rng: random.Random,
        unix_ms: int,
    ) -> None:
        self.hood, self.act, self.log = hood, act, log
        self._timer, self._more = Signal(), Signal()
        self._wake_at: int | None = None
        self._anew = False  # what lies on the shelf is of no use
        kept = self._open() if hood.shelf is not None else None
        self.common = Common(hood.place, gauge, controller, kept, rng.getrandbits(62), now(), unix_ms, hood.trusted)
        self.links = Links(
            network, hood.place.name, hood.fleet, unix_ms, hood.addresses, MESSAGES, self._heard, log, rng
        )

    def _open(self) -> Kept:
        """What the shelf holds. One that is damaged counts as none: a voter without its shelf recovers from the
        others, with a part of it it might not know that it should."""
        shelf = self.hood.shelf
        assert shelf is not None
        try:
            return from_bytes(shelf.open(self.hood.place.name))
        except Damaged as error:
            self.log("shelf damaged", {"text": str(error)[:200]})
            self._anew = True
            return Kept()

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; tells the address of the links. A defect in what is decided in common shows in the log and
        ends that part only: this front keeps to its own zone from then on, and no session ends for it."""
        started = False
        try:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(self.links.run, self.hood.listen)
                nursery.start_soon(self._lane)
                nursery.start_soon(self._ticks)
                self._carry_out()
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
            self.act(near(self.hood.place.terms, self.common.zone))
        finally:
            if self.hood.shelf is not None:
                self.hood.shelf.close()

    def leave(self) -> None:
        """A planned end: the others are told."""
        self.common.leave(now())
        self._carry_out()

    def _heard(self, sender: str, message: object) -> None:
        self.common.hear(now(), sender, message)
        self._carry_out()

    def _carry_out(self) -> None:
        for order in self.common.take():
            self._at_once(order)
        self._more.set()
        wake = self.common.next_wake()
        if self._wake_at is None or wake < self._wake_at:
            self._timer.set()

    def _at_once(self, order: Immediate) -> None:
        if isinstance(order, Send):
            self.links.send(order.to, order.message)
        elif isinstance(order, Act):
            self.act(order.ways)
        else:
            self.log(order.event, dict(order.fields))

    async def _ticks(self) -> None:
        while True:
            self._wake_at = self.common.next_wake()
            with trio.move_on_at(at(self._wake_at)) as waiting:
                await self._timer.wait()
            due, self._wake_at = self._wake_at, None
            if waiting.cancelled_caught or now() >= due:
                # the deadline is a float and may come up a nanosecond before the time it stands for
                self.common.wake(max(due, now()))
                self._carry_out()

    async def _lane(self) -> None:
        """What is agreed on, one after another: a message leaves when all that was to be kept before it is kept."""
        while True:
            orders = self.common.take_durable()
            if not orders:
                await self._more.wait()
            for order in orders:
                if isinstance(order, Write):
                    await self._write(order)
                elif isinstance(order, Done):
                    self.common.applied(now(), order.order)
                    self._carry_out()
                elif isinstance(order, Send):
                    self.links.send(order.to, order.message)
                else:
                    assert isinstance(order, Note)
                    self.log(order.event, dict(order.fields))
            if orders:
                self._carry_out()  # a council that waited for the disk has its times again

    async def _write(self, order: Write) -> None:
        """A voter whose disk takes nothing says nothing: it counts as dead until it does."""
        shelf = self.hood.shelf
        assert shelf is not None
        records = to_bytes(order.records)
        failed = False
        while True:
            try:
                await (shelf.renew(records) if order.anew or self._anew else shelf.append(records))
            except OSError as error:
                if not failed:
                    self.log("shelf failed", {"text": str(error)[:200]})
                failed = True
                await trio.sleep(AGAIN)
                continue
            self._anew = False
            if failed:
                self.log("shelf well again", {})
            return
