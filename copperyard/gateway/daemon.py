"""One running gateway: listeners, a nursery of connections, the core in the middle."""

from __future__ import annotations

import random
import traceback
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import trio
from trio import TaskStatus

from ..control.attempt import Attempt, probe_result
from ..control.catalogue import Catalogue
from ..control.core import FrontCore
from ..control.io_actions import (
    CloseViewer,
    FlushAttempt,
    FlushViewer,
    FollowList,
    LogLine,
    ProbeHost,
    QueryCode,
    StartAttempt,
    StopAttempt,
)
from ..control.journal import JOURNAL_TIMEOUT_NS
from ..control.rtsp_server import ViewerConnection
from ..control.rules import FrontRules
from ..control.scheduler import Priority, Scheduler
from ..control.unresolved_codes import SETTLE_HEADER, SETTLED_HEADER
from ..control.zones.facts import FrontGauge, Gauge
from ..interface import OutcomeCode, ZoneAllocation
from ..state.journal_writer import JournalWriter
from ..state.recovery import recover
from .background import Background
from .disk import Disk
from .journal_runner import JournalRunner
from .listing import Follower, ListPlace
from .net import AutoResetEvent, Listener, Network, Stream, now, trio_deadline
from .peers.service import PeerService, PeerSettings
from .upstream import Link, ask

Logger = Callable[[str, Mapping[str, str | int]], None]


@dataclass(frozen=True, slots=True)
class Station:
    """What a gateway needs to know at its start."""

    name: str
    listen: str
    rules: FrontRules
    catalogue: Catalogue
    zones: tuple[str, ...]
    hosts: ListPlace
    disk: Disk | None = None
    generation: str = ""
    accept_loss: bool = False
    hood: PeerSettings | None = None
    lengths: tuple[int, ...] = ()
    unix_ms: int = 0


class StateRefused(Exception):
    """The state on disk must not be started on: why."""


class Caller:
    """A viewer's connection, as the rest of the gateway sees it."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.idle = False  # the writer waits for work: whoever has some may write it at once
        self.wake = AutoResetEvent()
        self.roomy = AutoResetEvent()
        self.hanging_up = False
        self.feeds: dict[Link, None] = {}


class Gateway:
    """A front on a network. Every call into the core is followed by `_carry_out`; neither ever waits, so no
    two tasks are within the core at once."""

    def __init__(self, station: Station, network: Network, seed: int, rng: random.Random, log: Logger) -> None:
        self.station, self.network, self.log = station, network, log
        self.core = FrontCore(station.rules, station.catalogue, station.zones, seed, rng, station.name)
        self.address = ""
        self._links: dict[Attempt, Link] = {}
        self._callers: dict[ViewerConnection, Caller] = {}
        self._following: trio.CancelScope | None = None
        self._follower: Follower | None = None
        self._store: JournalRunner | None = None
        self.neighbours: PeerService | None = None
        if station.hood is not None:
            self._meet(station.hood, rng)
        self.background = Background(Scheduler())
        self._written = -1
        self._ailing = ""
        self._timer = AutoResetEvent()
        self._wake_at: int | None = None
        self._nursery: trio.Nursery | None = None
        self._listener: Listener | None = None

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; tells the address once it listens."""
        self._recover()
        try:
            listener = self._listener = await self.network.listen(self.station.listen)
        except OSError:
            self._let_go()
            raise
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.background.run)
                if self._store is not None:
                    nursery.start_soon(self._store.run)
                self.address = listener.address
                nursery.start_soon(self._ticks)
                if self.neighbours is not None:
                    await nursery.start(self.neighbours.run)
                self.core.start(now())
                self._carry_out()
                task_status.started(listener.address)
                nursery.start_soon(self._accept, listener)
        finally:
            listener.close()
            self._let_go()

    def _meet(self, hood: PeerSettings, rng: random.Random) -> None:
        """Decide in common with the site's other gateways."""
        station, plays = self.station, self.core.session_table
        gauge = Gauge(hood.place.name, station.unix_ms, len(hood.place.zones), station.lengths, hood.place.terms, now())
        plays.observer = FrontGauge(gauge, lambda: plays.controller)
        self.neighbours = PeerService(
            hood,
            gauge,
            lambda: plays.controller,
            self.network,
            self._agreed,
            lambda event, fields: self.log(event, {"front": station.name, **fields}),
            rng,
            station.unix_ms,
        )

    def _agreed(self, ways: ZoneAllocation) -> None:
        self.core.session_table.set_zone_allocation(now(), ways)
        self._carry_out()

    def _recover(self) -> None:
        """Take over the state that an earlier life left. StateRefused, LockedError, or OSError."""
        disk, core = self.station.disk, self.core
        if disk is None:
            return
        disk.lock(core.instance_name)
        try:
            touched = disk.touched()
            found = recover(disk.names(), disk.read)
            for one in found.dropped:
                self.log(
                    "state dropped",
                    {
                        "front": self.station.name,
                        "file": one.name,
                        "text": one.text,
                        "harm": "yes" if one.harm else "no",
                    },
                )
            refusal = found.refusal(self.station.accept_loss)
            if refusal is not None:
                raise StateRefused(refusal)
        except BaseException:
            disk.close()
            raise
        state = found.state
        spent = state.spent if state.ended else None
        self.log(
            "state recovered",
            {
                "front": self.station.name,
                "codes": len(state.codes),
                "unclear": len(state.unclear()),
                "records": found.replayed,
                "lives": state.lives,
                "planned": "yes" if state.ended else "no",
            },
        )
        down = disk.wall() - touched if touched is not None else 0
        book = JournalWriter(found, core.instance_name, self.station.generation, now(), down)
        core.restore(now(), book, spent)
        self._store = JournalRunner(book, disk, self.background, self._stored)
        self.background.add("expiry", Priority.LOW, core.session_table.expire_codes, now())

    def _keep_list(self, when: int) -> None:
        self.core.save_list(when)
        self._carry_out()

    def _let_go(self) -> None:
        if self._store is not None and self.station.disk is not None:
            self.station.disk.close()

    async def _stored(self) -> None:
        """More is durable, or the disk failed. Set-ups that waited for it leave now: as for those that waited for a
        connection, what lies unread of the list comes first."""
        await self._catch_up()
        store = self._store
        if store is not None and store.book.degraded != self._ailing:
            self._ailing = store.book.degraded
            self.log(
                "journal failed" if self._ailing else "journal well again",
                {"front": self.station.name, "text": self._ailing},
            )
        self.core.session_table.journal_advanced(now())
        self._carry_out()

    async def drain(self, most: float) -> None:
        """Take nothing new, let what plays come to its end for at most `most` s, then stop serving."""
        self.core.rtsp_server.draining = True
        if self.neighbours is not None:
            self.neighbours.leave()
        if self._listener is not None:
            self._listener.close()
        with trio.move_on_after(most):
            while self.core.session_table.requests:  # noqa: ASYNC110 - a drain looks now and then, and no session pays for it
                await trio.sleep(0.05)
        await self._close_book()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    async def _close_book(self) -> None:
        """A planned end is the last fact; a disk that does not take it makes the end an unplanned one."""
        store = self._store
        if store is None:
            return
        last = store.book.close(now(), self.core.session_table.budget.spent_ages(now()))
        store.notify()
        with trio.move_on_after(JOURNAL_TIMEOUT_NS / 1e9):
            while not store.book.durable(last):  # noqa: ASYNC110 - once in a process's life
                await trio.sleep(0.01)

    # ---- orders

    def _carry_out(self) -> None:
        nursery = self._nursery
        if nursery is None:
            return
        for order in self.core.take_io_actions():
            if isinstance(order, FlushViewer):
                self._wrote(order.connection)
            elif isinstance(order, FlushAttempt):
                if order.attempt in self._links:
                    self._links[order.attempt].wake.set()
            elif isinstance(order, StartAttempt):
                nursery.start_soon(self._guarded, "attempt", self._upstream, order.attempt)
            elif isinstance(order, StopAttempt):
                if order.attempt in self._links:
                    self._links[order.attempt].stop()
            elif isinstance(order, CloseViewer):
                caller = self._callers.get(order.connection)
                if caller is not None:
                    caller.hanging_up = True
                    caller.wake.set()
            elif isinstance(order, ProbeHost):
                nursery.start_soon(self._guarded, "probe", self._probe, order.server, order.address)
            elif isinstance(order, QueryCode):
                nursery.start_soon(self._guarded, "settle", self._settle, order)
            elif isinstance(order, FollowList):
                self._follow(nursery, order.on)
            else:
                assert isinstance(order, LogLine)
                self.log(order.event, {"front": self.station.name, **dict(order.fields)})
        if self._store is not None and self.core.list_changed:
            self.core.list_changed = False
            self.background.add("list", Priority.NORMAL, self._keep_list)
        if self._store is not None and self._store.book.sequence != self._written:
            self._written = self._store.book.sequence
            self._store.notify()
        wake = self.core.next_wake()
        if wake != self._wake_at:
            self._wake_at = wake
            self._timer.set()

    def _wrote(self, visitor: ViewerConnection) -> None:
        """Write at once what the socket takes; the rest, and every error, is the writer's."""
        caller = self._callers.get(visitor)
        if caller is None:
            return
        if caller.idle and not caller.hanging_up:
            try:
                while data := visitor.outbox.peek():
                    sent = caller.stream.send_now(data)
                    visitor.outbox.consume(sent)
                    if sent < len(data):
                        break
                else:
                    return
            except OSError:
                pass
        caller.idle = False
        caller.wake.set()

    async def _guarded(self, what: str, task: Callable[..., Awaitable[None]], *words: object) -> None:
        """Run one connection's task: a defect in it must show, and must not end every other session here."""
        try:
            await task(*words)
        except Exception as error:
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            place = traceback.extract_tb(error.__traceback__)[-1]
            self.log(
                "defect",
                {
                    "front": self.station.name,
                    "task": what,
                    "error": f"{type(error).__name__}: {error}",
                    "place": f"{place.name}:{place.lineno}",
                },
            )

    async def _ticks(self) -> None:
        while True:
            wake = self._wake_at
            with trio.CancelScope(deadline=trio_deadline(wake) if wake is not None else float("inf")) as waiting:
                await self._timer.wait()
            if wake is not None and (waiting.cancelled_caught or now() >= wake):
                # the deadline is a float and may come up a nanosecond before the time it stands for: without this
                # a clock that moves only when all wait would never get there
                self._wake_at = None
                self.core.wake(max(wake, now()))
                self._carry_out()

    def _follow(self, nursery: trio.Nursery, on: bool) -> None:
        if self._following is not None:
            self._following.cancel()
            self._following = None
        if on:
            self._following = trio.CancelScope()
            nursery.start_soon(self._follow_list, self._following)

    async def _follow_list(self, scope: trio.CancelScope) -> None:
        with scope:
            self._follower = Follower(self.network, self.core, self.station.hosts, self._carry_out)
            await self._follower.run()

    async def _catch_up(self) -> None:
        """What lies unread of the list comes before anything new for a host."""
        if self._follower is not None:
            await self._follower.catch_up(self.core.session_table.list_update_wait / 1e9)

    async def _probe(self, server: int, address: str) -> None:
        code, report = probe_result(await ask(self.network, self.core, address))
        self.core.session_table.probed(now(), server, code, report)
        self._carry_out()

    async def _settle(self, order: QueryCode) -> None:
        answer = await ask(self.network, self.core, order.address, ((SETTLE_HEADER, order.request),))
        text = answer.header(SETTLED_HEADER) if not isinstance(answer, OutcomeCode) else None
        self.core.session_table.code_query_answered(now(), order.code, text)
        self._carry_out()

    async def _upstream(self, attempt: Attempt) -> None:
        link = Link(self.core, self.network, attempt, self._carry_out, self._catch_up)
        play = self.core.session_table.requests.get(attempt.plan.ref)
        customer = play.owner if play is not None else None
        visitor = getattr(customer, "connection", None)
        caller = self._callers.get(visitor) if visitor is not None else None
        self._links[attempt] = link
        if customer is not None and caller is not None:
            link.blocked = lambda: visitor in self._callers and customer.blocked()
            caller.feeds[link] = None
        try:
            if attempt.outcome is not None:
                link.stop()
            await link.run()
        finally:
            self._links.pop(attempt, None)
            if caller is not None:
                caller.feeds.pop(link, None)

    # ---- viewers

    async def _accept(self, listener: Listener) -> None:
        assert self._nursery is not None
        while True:
            try:
                stream = await listener.accept()
            except (OSError, trio.ClosedResourceError):
                if self.core.rtsp_server.draining:
                    return
                raise
            self._nursery.start_soon(self._guarded, "viewer", self._viewer, stream)

    async def _viewer(self, stream: Stream) -> None:
        visitor = self.core.rtsp_server.opened(now(), stream.peer)
        if visitor is None:
            stream.close()
            return
        caller = self._callers[visitor] = Caller(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream, visitor, caller, nursery.cancel_scope)
                await self._read(stream, visitor, caller)
                if not visitor.closing:
                    nursery.cancel_scope.cancel()
        finally:
            stream.close()
            del self._callers[visitor]
            self.core.rtsp_server.closed(now(), visitor)
            for link in caller.feeds:
                link.roomy.set()
            self._carry_out()

    async def _read(self, stream: Stream, visitor: ViewerConnection, caller: Caller) -> None:
        while not visitor.closing:
            try:
                data = await stream.receive_some(16384)
            except OSError:
                return
            if not data:
                return
            self.core.rtsp_server.received(now(), visitor, data)
            self._carry_out()
            while visitor.outbox.full:
                # one that asks and asks and reads no answer is read no further itself
                await caller.roomy.wait()

    async def _write(self, stream: Stream, visitor: ViewerConnection, caller: Caller, scope: trio.CancelScope) -> None:
        outbox = visitor.outbox
        while True:
            data = outbox.peek()
            if not data:
                if caller.hanging_up:
                    break
                caller.idle = True
                await caller.wake.wait()
                caller.idle = False
                continue
            # the time of a stall begins when the viewer is found to take nothing: what this gateway itself was
            # late with, standing still for a while, is not the viewer's fault
            try:
                sent = stream.send_now(data)
                if not sent:
                    with trio.move_on_after(outbox.stall_ns / 1e9):
                        sent = await stream.send_some(data)
            except OSError:
                break
            if not sent:
                self.core.rtsp_server.stalled(now(), visitor)
                break
            outbox.consume(sent)
            if outbox.has_room:
                caller.roomy.set()
                for link in caller.feeds:
                    link.roomy.set()
        scope.cancel()
