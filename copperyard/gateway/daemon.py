"""One running gateway: the listener, a task for each connection, and the core that they all call."""

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
from .background import BackgroundRunner
from .disk import Disk
from .journal_runner import JournalRunner
from .listing import ListEndpoint, ListFollower
from .net import AutoResetEvent, Listener, Network, Stream, now, trio_deadline
from .peers.service import PeerService, PeerSettings
from .upstream import AttemptTask, query_host

Logger = Callable[[str, Mapping[str, str | int]], None]


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """What a gateway needs to know at its start; session lengths are means by class, in ns."""

    name: str
    listen: str
    rules: FrontRules
    catalogue: Catalogue
    zones: tuple[str, ...]
    list_endpoint: ListEndpoint
    disk: Disk | None = None
    generation: str = ""
    accept_loss: bool = False
    peer_settings: PeerSettings | None = None
    session_lengths: tuple[int, ...] = ()
    unix_ms: int = 0


class StateRefusedError(Exception):
    """The state on disk cannot be used to start from; the message says why."""


class ViewerSocket:
    """The socket side of a viewer connection: signals for its tasks, and the attempts that feed it."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.writer_idle = False  # the writer task waits for data, so that others may write to the stream directly
        self.wake = AutoResetEvent()
        self.room_available = AutoResetEvent()
        self.closing = False
        self.attempt_tasks: dict[AttemptTask, None] = {}


class Gateway:
    """Runs the core of a front on a network.

    Every call into the core is followed by `_run_io_actions`. Neither of them ever awaits, so no two tasks are
    inside the core at once.
    """

    def __init__(self, config: GatewayConfig, network: Network, seed: int, rng: random.Random, log: Logger) -> None:
        self.config, self.network, self.log = config, network, log
        self.core = FrontCore(config.rules, config.catalogue, config.zones, seed, rng, config.name)
        self.address = ""
        self._attempt_tasks: dict[Attempt, AttemptTask] = {}
        self._viewers: dict[ViewerConnection, ViewerSocket] = {}
        self._list_scope: trio.CancelScope | None = None
        self._list_follower: ListFollower | None = None
        self._journal: JournalRunner | None = None
        self.peer_service: PeerService | None = None
        if config.peer_settings is not None:
            self._create_peer_service(config.peer_settings, rng)
        self.background = BackgroundRunner(Scheduler())
        self._seen_sequence = -1
        self._journal_failure = ""
        self._timer = AutoResetEvent()
        self._wake_at: int | None = None
        self._nursery: trio.Nursery | None = None
        self._listener: Listener | None = None

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports the address to `task_status` once it listens."""
        self._recover()
        try:
            listener = self._listener = await self.network.listen(self.config.listen)
        except OSError:
            self._release_disk()
            raise
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.background.run)
                if self._journal is not None:
                    nursery.start_soon(self._journal.run)
                self.address = listener.address
                nursery.start_soon(self._run_timer)
                if self.peer_service is not None:
                    await nursery.start(self.peer_service.run)
                self.core.start(now())
                self._run_io_actions()
                task_status.started(listener.address)
                nursery.start_soon(self._accept, listener)
        finally:
            listener.close()
            self._release_disk()

    def _create_peer_service(self, peer_settings: PeerSettings, rng: random.Random) -> None:
        """Create the service that coordinates this gateway with the others of the site."""
        config, session_table = self.config, self.core.session_table
        gauge = Gauge(
            peer_settings.place.name,
            config.unix_ms,
            len(peer_settings.place.zones),
            config.session_lengths,
            peer_settings.place.terms,
            now(),
        )
        session_table.observer = FrontGauge(gauge, lambda: session_table.controller)
        self.peer_service = PeerService(
            peer_settings,
            gauge,
            lambda: session_table.controller,
            self.network,
            self._allocation_changed,
            lambda event, fields: self.log(event, {"front": config.name, **fields}),
            rng,
            config.unix_ms,
        )

    def _allocation_changed(self, allocation: ZoneAllocation) -> None:
        """Pass a new allocation, agreed on by the gateways, to the core."""
        self.core.session_table.set_zone_allocation(now(), allocation)
        self._run_io_actions()

    def _recover(self) -> None:
        """Restore the state that an earlier process left.

        Raises an error if the state must not be used, LockedError if another process holds it, or OSError.
        """
        disk, core = self.config.disk, self.core
        if disk is None:
            return
        disk.lock(core.instance_name)
        try:
            last_write = disk.touched()
            recovery = recover(disk.names(), disk.read)
            for dropped in recovery.dropped:
                self.log(
                    "state dropped",
                    {
                        "front": self.config.name,
                        "file": dropped.name,
                        "text": dropped.text,
                        "harm": "yes" if dropped.harm else "no",
                    },
                )
            refusal = recovery.refusal(self.config.accept_loss)
            if refusal is not None:
                raise StateRefusedError(refusal)
        except BaseException:
            disk.close()
            raise
        state = recovery.state
        spent_retries = state.spent if state.ended else None
        self.log(
            "state recovered",
            {
                "front": self.config.name,
                "codes": len(state.codes),
                "unclear": len(state.unclear()),
                "records": recovery.replayed,
                "lives": state.lives,
                "planned": "yes" if state.ended else "no",
            },
        )
        downtime = disk.wall() - last_write if last_write is not None else 0
        journal_writer = JournalWriter(recovery, core.instance_name, self.config.generation, now(), downtime)
        core.restore(now(), journal_writer, spent_retries)
        self._journal = JournalRunner(journal_writer, disk, self.background, self._journal_advanced)
        self.background.add("expiry", Priority.LOW, core.session_table.expire_codes, now())

    def _save_list(self, time: int) -> None:
        """Background job: write the server list to the journal."""
        self.core.save_list(time)
        self._run_io_actions()

    def _release_disk(self) -> None:
        """Close the disk, which unlocks the state folder."""
        if self._journal is not None and self.config.disk is not None:
            self.config.disk.close()

    async def _journal_advanced(self) -> None:
        """Continue the set-ups that waited for the journal: more of it is durable, or the disk failed.

        What has arrived of the server list is read first, as before a set-up that waited for a connection.
        """
        await self._catch_up()
        journal = self._journal
        if journal is not None and journal.book.degraded != self._journal_failure:
            self._journal_failure = journal.book.degraded
            self.log(
                "journal failed" if self._journal_failure else "journal well again",
                {"front": self.config.name, "text": self._journal_failure},
            )
        self.core.session_table.journal_advanced(now())
        self._run_io_actions()

    async def drain(self, timeout_s: float) -> None:
        """Accept nothing new, let sessions play to their end for at most `timeout_s` seconds, then stop."""
        self.core.rtsp_server.draining = True
        if self.peer_service is not None:
            self.peer_service.leave()
        if self._listener is not None:
            self._listener.close()
        with trio.move_on_after(timeout_s):
            while self.core.session_table.requests:  # noqa: ASYNC110 - polling during a drain costs the sessions nothing
                await trio.sleep(0.05)
        await self._close_journal()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    async def _close_journal(self) -> None:
        """Write the planned end as the last fact; without it the next start takes the end as unplanned."""
        journal = self._journal
        if journal is None:
            return
        last_sequence = journal.book.close(now(), self.core.session_table.budget.spent_ages(now()))
        journal.notify()
        with trio.move_on_after(JOURNAL_TIMEOUT_NS / 1e9):
            while not journal.book.durable(last_sequence):  # noqa: ASYNC110 - polled once, at the end of the process
                await trio.sleep(0.01)

    # ---- I/O actions

    def _run_io_actions(self) -> None:
        """Carry out what the core asks for, schedule its background work and move the timer."""
        nursery = self._nursery
        if nursery is None:
            return
        for action in self.core.take_io_actions():
            if isinstance(action, FlushViewer):
                self._flush_viewer(action.connection)
            elif isinstance(action, FlushAttempt):
                if action.attempt in self._attempt_tasks:
                    self._attempt_tasks[action.attempt].wake.set()
            elif isinstance(action, StartAttempt):
                nursery.start_soon(self._run_guarded, "attempt", self._run_attempt, action.attempt)
            elif isinstance(action, StopAttempt):
                if action.attempt in self._attempt_tasks:
                    self._attempt_tasks[action.attempt].stop()
            elif isinstance(action, CloseViewer):
                viewer = self._viewers.get(action.connection)
                if viewer is not None:
                    viewer.closing = True
                    viewer.wake.set()
            elif isinstance(action, ProbeHost):
                nursery.start_soon(self._run_guarded, "probe", self._probe, action.server, action.address)
            elif isinstance(action, QueryCode):
                nursery.start_soon(self._run_guarded, "settle", self._query_code, action)
            elif isinstance(action, FollowList):
                self._set_list_following(nursery, action.on)
            else:
                assert isinstance(action, LogLine)
                self.log(action.event, {"front": self.config.name, **dict(action.fields)})
        if self._journal is not None and self.core.list_changed:
            self.core.list_changed = False
            self.background.add("list", Priority.NORMAL, self._save_list)
        if self._journal is not None and self._journal.book.sequence != self._seen_sequence:
            self._seen_sequence = self._journal.book.sequence
            self._journal.notify()
        wake = self.core.next_wake()
        if wake != self._wake_at:
            self._wake_at = wake
            self._timer.set()

    def _flush_viewer(self, connection: ViewerConnection) -> None:
        """Write what the socket accepts at once; the writer task handles the rest and all errors."""
        viewer = self._viewers.get(connection)
        if viewer is None:
            return
        if viewer.writer_idle and not viewer.closing:
            try:
                while data := connection.outbox.peek():
                    sent = viewer.stream.send_now(data)
                    connection.outbox.consume(sent)
                    if sent < len(data):
                        break
                else:
                    return
            except OSError:
                pass
        viewer.writer_idle = False
        viewer.wake.set()

    async def _run_guarded(self, task_name: str, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run the task of one connection; log an exception in it, which must not end the other sessions."""
        try:
            await task(*args)
        except Exception as error:
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            raised_at = traceback.extract_tb(error.__traceback__)[-1]
            self.log(
                "defect",
                {
                    "front": self.config.name,
                    "task": task_name,
                    "error": f"{type(error).__name__}: {error}",
                    "place": f"{raised_at.name}:{raised_at.lineno}",
                },
            )

    async def _run_timer(self) -> None:
        """Wake the core whenever its next timer is due."""
        while True:
            wake = self._wake_at
            with trio.CancelScope(deadline=trio_deadline(wake) if wake is not None else float("inf")) as waiting:
                await self._timer.wait()
            if wake is not None and (waiting.cancelled_caught or now() >= wake):
                # the deadline is a float and may expire a nanosecond before the time it stands for; without max() a
                # virtual clock, which advances only when all tasks wait, would never reach that time
                self._wake_at = None
                self.core.wake(max(wake, now()))
                self._run_io_actions()

    def _set_list_following(self, nursery: trio.Nursery, enabled: bool) -> None:
        """Stop following the server list, and start anew if `enabled`."""
        if self._list_scope is not None:
            self._list_scope.cancel()
            self._list_scope = None
        if enabled:
            self._list_scope = trio.CancelScope()
            nursery.start_soon(self._follow_list, self._list_scope)

    async def _follow_list(self, scope: trio.CancelScope) -> None:
        with scope:
            self._list_follower = ListFollower(self.network, self.core, self.config.list_endpoint, self._run_io_actions)
            await self._list_follower.run()

    async def _catch_up(self) -> None:
        """Read what has arrived of the server list, before anything new is sent to a host."""
        if self._list_follower is not None:
            await self._list_follower.catch_up(self.core.session_table.list_update_wait / 1e9)

    async def _probe(self, server: int, address: str) -> None:
        """Probe a host and pass the result to the core."""
        code, report = probe_result(await query_host(self.network, self.core, address))
        self.core.session_table.probed(now(), server, code, report)
        self._run_io_actions()

    async def _query_code(self, query: QueryCode) -> None:
        """Ask a host what became of a set-up with a code."""
        answer = await query_host(self.network, self.core, query.address, ((SETTLE_HEADER, query.request),))
        fate = answer.header(SETTLED_HEADER) if not isinstance(answer, OutcomeCode) else None
        self.core.session_table.code_query_answered(now(), query.code, fate)
        self._run_io_actions()

    async def _run_attempt(self, attempt: Attempt) -> None:
        """Run an attempt, linked to its viewer so that each can hold up or release the other."""
        task = AttemptTask(self.core, self.network, attempt, self._run_io_actions, self._catch_up)
        request = self.core.session_table.requests.get(attempt.plan.ref)
        owner = request.owner if request is not None else None
        connection = getattr(owner, "connection", None)
        viewer = self._viewers.get(connection) if connection is not None else None
        self._attempt_tasks[attempt] = task
        if owner is not None and viewer is not None:
            task.is_blocked = lambda: connection in self._viewers and owner.blocked()
            viewer.attempt_tasks[task] = None
        try:
            if attempt.outcome is not None:
                task.stop()
            await task.run()
        finally:
            self._attempt_tasks.pop(attempt, None)
            if viewer is not None:
                viewer.attempt_tasks.pop(task, None)

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
            self._nursery.start_soon(self._run_guarded, "viewer", self._serve_viewer, stream)

    async def _serve_viewer(self, stream: Stream) -> None:
        """Read and write one viewer connection until it closes."""
        connection = self.core.rtsp_server.opened(now(), stream.peer)
        if connection is None:
            stream.close()
            return
        viewer = self._viewers[connection] = ViewerSocket(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_viewer, stream, connection, viewer, nursery.cancel_scope)
                await self._read_viewer(stream, connection, viewer)
                if not connection.closing:
                    nursery.cancel_scope.cancel()
        finally:
            stream.close()
            del self._viewers[connection]
            self.core.rtsp_server.closed(now(), connection)
            for task in viewer.attempt_tasks:
                task.room_available.set()
            self._run_io_actions()

    async def _read_viewer(self, stream: Stream, connection: ViewerConnection, viewer: ViewerSocket) -> None:
        while not connection.closing:
            try:
                data = await stream.receive_some(16384)
            except OSError:
                return
            if not data:
                return
            self.core.rtsp_server.received(now(), connection, data)
            self._run_io_actions()
            while connection.outbox.full:
                # back-pressure: a viewer that does not read its responses gets no more requests read
                await viewer.room_available.wait()

    async def _write_viewer(
        self, stream: Stream, connection: ViewerConnection, viewer: ViewerSocket, scope: trio.CancelScope
    ) -> None:
        outbox = connection.outbox
        while True:
            data = outbox.peek()
            if not data:
                if viewer.closing:
                    break
                viewer.writer_idle = True
                await viewer.wake.wait()
                viewer.writer_idle = False
                continue
            # the stall timeout starts when the socket accepts nothing: time in which this gateway itself did not
            # run is not the viewer's fault
            try:
                sent = stream.send_now(data)
                if not sent:
                    with trio.move_on_after(outbox.stall_ns / 1e9):
                        sent = await stream.send_some(data)
            except OSError:
                break
            if not sent:
                self.core.rtsp_server.stalled(now(), connection)
                break
            outbox.consume(sent)
            if outbox.has_room:
                viewer.room_available.set()
                for task in viewer.attempt_tasks:
                    task.room_available.set()
        scope.cancel()
