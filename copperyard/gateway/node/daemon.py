"""A running node: a listener, one task per connection, and the core that decides."""

from __future__ import annotations

import errno
import random
import time
from collections.abc import Callable, Mapping
from enum import Enum

import trio
from trio import TaskStatus

from ...control.node import bounds
from ...control.node.core import NodeCore
from ...control.node.links import HostState, Link, LinkState
from ...control.node.sessions import Viewer
from ...membership.fleet import Fleet
from ..net import (
    CONNECTION_ERRORS,
    RESOURCE_ERRNOS,
    AutoResetEvent,
    DatagramSocket,
    Listener,
    Network,
    Stream,
    UdpSocket,
    now,
    trio_deadline,
)
from .follow import NameServiceClient
from .place import ConfigError, NodeConfig

Logger = Callable[[str, Mapping[str, str | int]], None]


class ReadResult(Enum):
    """Result of reading a client's connection without waiting. MORE: unread data may be left."""

    NONE = 0
    SOME = 1
    MORE = 2


class BufferedWriter:
    """The writing half of one connection. Bytes that cannot be written at once are buffered and written by a task.

    `on_broken` is called if writing fails, if the peer reads nothing for `write_timeout` ns, or if more than
    `max_unsent` bytes are buffered; `on_drained` when the buffer becomes empty.
    """

    def __init__(
        self,
        stream: Stream,
        nursery: trio.Nursery,
        on_broken: Callable[[], None],
        write_timeout: int,
        max_unsent: int,
        on_drained: Callable[[], None] = lambda: None,
    ) -> None:
        self.stream, self.nursery, self.on_broken, self.write_timeout, self.max_unsent = (
            stream,
            nursery,
            on_broken,
            write_timeout / 1e9,
            max_unsent,
        )
        self.on_drained = on_drained
        self.unsent = bytearray()
        self.failed = False
        self.drained = AutoResetEvent()

    def write(self, data: bytes) -> None:
        """Write at once what fits and buffer the rest; never waits."""
        if self.unsent:
            self.unsent += data
            if len(self.unsent) > self.max_unsent:
                self._break()
            return
        try:
            sent = self.stream.send_now(data)
        except OSError:
            return self._break()
        if sent < len(data):
            self.unsent += data[sent:]
            self.nursery.start_soon(self._drain)

    async def _drain(self) -> None:
        try:
            while self.unsent:
                with trio.move_on_after(self.write_timeout) as timeout:
                    sent = await self.stream.send_some(bytes(self.unsent[: bounds.HOST_READ_BYTES]))
                    del self.unsent[:sent]
                if timeout.cancelled_caught:
                    return self._break()
        except CONNECTION_ERRORS:
            return self._break()
        self.drained.set()
        self.on_drained()

    def _break(self) -> None:
        self.failed = True
        self.on_broken()

    @property
    def has_undelivered(self) -> bool:
        """Whether some of the written bytes cannot have reached the peer."""
        return self.failed or bool(self.unsent)


class Node:
    """A node on a network. Each call into the core is followed by `perform_actions`; neither ever waits."""

    def __init__(
        self,
        config: NodeConfig,
        network: Network,
        log: Logger,
        open_datagrams: Callable[[str], DatagramSocket] = UdpSocket,
        unix_time_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self.config, self.network, self.log, self.open_datagrams, self.unix_time_ns = (
            config,
            network,
            log,
            open_datagrams,
            unix_time_ns,
        )
        self.rng = random.Random(config.seed)
        self.address = ""
        self._host_writers: dict[Link, BufferedWriter] = {}
        self._viewer_writers: dict[Viewer, BufferedWriter] = {}
        self._link_scopes: dict[Link, trio.CancelScope] = {}
        self.ended = trio.Event()
        self._read_scopes: dict[Viewer, trio.CancelScope] = {}
        self._timer_changed = AutoResetEvent()
        self._timer_at: int | None = None
        self._shutdown_progress = AutoResetEvent()
        self._write_retries: set[Link] = set()
        self._flooding: set[Viewer] = set()
        self._performing = self._shutting_down = False

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports the address as started once it listens."""
        config = self.config
        fleet = Fleet(config.platform.zones, config.platform.kinds, self.unix_time_ns() - now())
        self.core = NodeCore(config.settings, config.platform, fleet, config.seed, config.sockets, config.memory_mb)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.name_service = NameServiceClient(
                self.core, self.open_datagrams, config.dns, self.rng, self.perform_actions
            )
            self.core.start(now(), fleet.load_events(config.serial, config.list_events))
            self._listener = listener = await self._open_listener(config.listen)
            try:
                self.address = listener.address
                nursery.start_soon(self.name_service.run)
                nursery.start_soon(self._run_timers)
                self.perform_actions()
                task_status.started(listener.address)
                while True:
                    self._add_viewer(await listener.accept())
                    self._accept_pending(bounds.MAX_READS_PER_TURN)
                    self.perform_actions()
            except trio.ClosedResourceError:
                await trio.sleep_forever()  # planned shutdown: pending data is still being sent
            finally:
                listener.close()

    async def _open_listener(self, address: str) -> Listener:
        """Listen, retrying while the address is in use: the previous process of this node may not have ended yet."""
        for _ in range(bounds.MAX_LISTEN_RETRIES):
            try:
                return await self.network.listen(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                self.log("address in use", {"address": address})
                await trio.sleep(bounds.LISTEN_RETRY_INTERVAL / 1e9)
        return await self.network.listen(address)

    def _accept_pending(self, max_connections: int) -> int:
        """Accept pending connections, at most `max_connections`; returns how many."""
        for taken in range(max_connections):
            stream = self._listener.accept_now()
            if stream is None:
                return taken
            self._add_viewer(stream)
        return max_connections

    def _add_viewer(self, stream: Stream) -> None:
        for _ in range(bounds.MAX_READS_PER_TURN):
            if self.core.may_accept(len(self._viewer_writers)):
                break
            candidate = self.core.viewer_to_evict()
            if candidate is None:
                return stream.close()
            if self._read_unread(candidate) is not ReadResult.NONE and not candidate.closed:
                self.perform_actions()  # it has just sent something, so another one may have to be closed
            else:
                self._evict_viewer(candidate)
        else:
            return stream.close()
        viewer = self.core.viewer_connected(now())
        scope = trio.CancelScope()
        # registered now, not when its task first runs, as several connections are accepted in one turn
        self._viewer_writers[viewer] = BufferedWriter(
            stream,
            self._nursery,
            scope.cancel,
            bounds.VIEWER_WRITE_TIMEOUT,
            bounds.MAX_VIEWER_UNSENT_BYTES,
            lambda: self._viewer_drained(viewer),
        )
        self._read_scopes[viewer] = trio.CancelScope()
        self._nursery.start_soon(self._serve_viewer, viewer, scope)

    def _evict_viewer(self, viewer: Viewer) -> None:
        """Close a client's connection at once; it must have no open set-ups and no unread data."""
        self.core.viewer_disconnected(now(), viewer, undelivered=not viewer.is_read)
        writer = self._viewer_writers.pop(viewer, None)
        if writer is not None:
            writer.stream.close()
            writer.on_broken()

    def _viewer_drained(self, viewer: Viewer) -> None:
        self.core.outbox_written(now(), viewer, False)
        self.perform_actions()

    # ---- signals

    async def reload(self, read: Callable[[], NodeConfig]) -> None:
        """Read the configuration again: the name service may have moved. Invalid ones are retried; the old one stays in
        use meanwhile.
        """
        for _ in range(bounds.MAX_RELOAD_ATTEMPTS):
            try:
                config = read()
            except ConfigError as error:
                self.log("configuration not taken", {"text": str(error)[:200]})
                await trio.sleep(bounds.RELOAD_RETRY_INTERVAL / 1e9)
                continue
            self.log("configuration taken", {"dns": config.dns})
            self.name_service.set_address(config.dns)
            return

    async def shut_down(self) -> None:
        """Planned shutdown: finish what was accepted, then stop. Until then, clients may keep connecting."""
        if self._shutting_down:
            return  # a second signal has no effect
        self._shutting_down = True
        self.core.begin_shutdown(now())
        self.perform_actions()
        with trio.move_on_after(bounds.SHUTDOWN_TIMEOUT / 1e9):
            await trio.sleep(bounds.SHUTDOWN_MIN_PERIOD / 1e9)
            while True:
                while not self.core.shutdown_complete:
                    await self._shutdown_progress.wait()
                with trio.move_on_after(bounds.SHUTDOWN_FLUSH_TIMEOUT / 1e9):
                    await self._flush()
                if self.core.shutdown_complete:
                    break
            await self._close_viewers()
        self.ended.set()

    async def _flush(self) -> None:
        """With no session left, answer the requests that are still unread, in the accept queue or on a connection, and
        wait until the last answers and releases are sent.
        """
        quiet_passes = 0
        while quiet_passes < 2 and self.core.shutdown_complete:  # a connection accepted in one pass is read in the next
            quiet_passes += 1
            if self._accept_pending(bounds.MAX_READS_PER_TURN):
                quiet_passes = 0
            for viewer in list(self._viewer_writers):
                quiet_passes = quiet_passes if self._read_unread(viewer) is ReadResult.NONE else 0
            self.perform_actions()
            if (
                any(writer.unsent for writer in (*self._viewer_writers.values(), *self._host_writers.values()))
                or self.core.has_unsent
            ):
                quiet_passes = 0
            await trio.sleep(bounds.SHUTDOWN_POLL_INTERVAL / 1e9)

    async def _close_viewers(self) -> None:
        """Half-close all client connections: closing one with unread bytes would send a reset, which may discard the
        last answer at the client. Clients that send a request from here on see that it was not read.
        """
        self._accept_pending(self.config.sockets)
        for viewer in list(self._viewer_writers):
            self._read_unread(viewer)
        self.perform_actions()
        self._listener.close()
        for writer in self._viewer_writers.values():
            if not writer.unsent:
                writer.stream.end_writing()
        with trio.move_on_after(bounds.SHUTDOWN_CLOSE_TIMEOUT / 1e9):
            while self._viewer_writers:
                await self._shutdown_progress.wait()

    # ---- I/O actions

    def perform_actions(self) -> None:
        """Perform the I/O actions of the core until there are none left."""
        if self._performing:
            return
        self._performing = True
        self._flooding.clear()
        try:
            while actions := self.core.take_actions():
                for event, fields in actions.log_lines:
                    self.log(event, fields)
                for link in actions.dial:
                    if not self.core.may_dial(len(self._link_scopes)) and not self._make_room(link.host):
                        self.core.link_down(now(), link)
                        continue
                    scope = self._link_scopes[link] = trio.CancelScope()
                    self._nursery.start_soon(self._run_link, link, scope)
                if actions.write_links:
                    self.name_service.read_pending()  # no set-up may be sent while a newer host list is unread
                # the release of an attempt is sent before the next attempt of the same session
                for link in sorted(dict.fromkeys(actions.write_links), key=lambda one: not one.aborts_attempt):
                    self._write_link(link)
                for viewer in dict.fromkeys(actions.write_viewers):
                    self._write_viewer(viewer)
                for link in actions.half_close:
                    self._half_close(link)
                for link in actions.close:
                    if link in self._link_scopes:
                        self._link_scopes[link].cancel()
                    self._close_stream(link)
        finally:
            self._performing = False
        if self._shutting_down and self.core.shutdown_complete:
            self._shutdown_progress.set()
        due = self.core.next_timer()
        if due is not None and (self._timer_at is None or due < self._timer_at):
            self._timer_changed.set()

    def _make_room(self, host: HostState) -> bool:
        """Close another connection so that one to `host` can be opened; returns whether a descriptor is free now."""
        for _ in range(bounds.MAX_READS_PER_TURN):
            link = self.core.link_to_evict(now(), host)
            if link is None:
                return False
            last_heard = link.last_heard
            if not self._is_alive(link, self._host_writers[link].stream):
                return True  # its end was unread, so it has been closed
            if link.state is LinkState.UP and link.last_heard == last_heard:
                self.core.link_evicted(now(), link)
                self._end_link(link)
                return True
        return False

    def _write_link(self, link: Link) -> None:
        writer = self._host_writers.get(link)
        if writer is None or link.state is not LinkState.UP or not link.outbox:
            return
        if not writer.unsent:
            # what cannot be sent yet stays in the core, where list changes and deadlines still apply to it
            if not self._is_alive(link, writer.stream):
                return
            flooding = self._read_waiting_viewers(link)
            if link.state is not LinkState.UP:
                return
            data, aborts_attempt = self.core.take_frames(now(), link, flooding)
            writer.write(data)
            link.has_unsent = bool(writer.unsent)
            if flooding and link not in self._write_retries:
                self._write_retries.add(link)
                self._nursery.start_soon(self._retry_write, link)
        else:
            aborts_attempt = link.aborts_attempt
        if aborts_attempt and writer.unsent:
            # an aborted attempt may run until its release is sent: closing the connection aborts it at once
            self._close_link(link, undelivered=True)

    def _link_writable(self, link: Link) -> None:
        link.has_unsent = False
        self.core.io_actions.write_links.append(link)
        self.perform_actions()

    def _close_link(self, link: Link, reset: bool = False, undelivered: bool = False) -> None:
        self.core.link_down(now(), link, reset=reset, undelivered=undelivered)
        self._end_link(link)

    def _end_link(self, link: Link) -> None:
        self._link_scopes.pop(link).cancel()
        self._close_stream(link)

    def _half_close(self, link: Link) -> None:
        """Close our writing half; the connection's task goes on reading for HALF_CLOSE_TIMEOUT."""
        writer = self._host_writers.pop(link, None)
        if writer is not None:
            writer.stream.end_writing()
            self._link_scopes[link].deadline = trio.current_time() + bounds.HALF_CLOSE_TIMEOUT / 1e9

    def _close_stream(self, link: Link) -> None:
        """Close a connection at once, not when its task next runs: that aborts the attempts in flight on it."""
        writer = self._host_writers.pop(link, None)
        if writer is not None:
            writer.stream.close()

    def _is_alive(self, link: Link, stream: Stream) -> bool:
        """Check that the host has not closed a connection before a set-up is written to it: for one written to a closed
        connection, it would be unknown whether it ran.
        """
        for _ in range(bounds.MAX_READS_PER_TURN):  # the end may follow unread data
            reset = False
            try:
                data = stream.receive_now(bounds.HOST_READ_BYTES)
            except OSError:
                data, reset = b"", True
            if data is None:
                return True
            if not data or self.core.link_received(now(), link, data) is not None:
                self._close_link(link, reset)
                return False
        return True

    async def _retry_write(self, link: Link) -> None:
        await trio.sleep(bounds.WRITE_RETRY_INTERVAL / 1e9)
        self._write_retries.discard(link)
        self.core.io_actions.write_links.append(link)
        self.perform_actions()

    def _read_waiting_viewers(self, link: Link) -> set[Viewer]:
        """Read the clients whose set-ups are about to be sent, so that none is sent for a client that has hung up or
        withdrawn it, even if that is still unread after a timer, a dial, a host's answer or a stall of this process.
        Returns the clients with more unread data than one turn reads: their set-ups wait until it is read.
        """
        seen: set[Viewer] = set()
        while unseen := [viewer for viewer in self.core.waiting_viewers(link) if viewer not in seen]:
            for viewer in unseen:
                seen.add(viewer)
                # only once a turn, however many connections to hosts its set-ups wait on
                if viewer not in self._flooding and self._read_unread(viewer) is ReadResult.MORE:
                    self._flooding.add(viewer)
        return seen & self._flooding

    def _read_unread(self, viewer: Viewer) -> ReadResult:
        """Read what a client has sent, the end of its connection included, without waiting. A flood gets a single turn,
        as in the client's own task, so that it does not delay the others.
        """
        writer = self._viewer_writers.get(viewer)
        found = ReadResult.NONE
        for _ in range(bounds.MAX_READS_PER_TURN):
            if writer is None or viewer.closed or viewer.closing:
                return found
            reset = False
            try:
                data = writer.stream.receive_now(bounds.VIEWER_READ_BYTES)
            except OSError:
                data, reset = b"", True
            if data is None:
                return found
            if not data:
                self.core.viewer_disconnected(now(), viewer, reset or writer.has_undelivered)
                writer.on_broken()
                return ReadResult.SOME
            self.core.viewer_received(now(), viewer, data)
            found = ReadResult.SOME
            if len(data) == bounds.VIEWER_READ_BYTES:
                break
        return ReadResult.MORE

    def _write_viewer(self, viewer: Viewer) -> None:
        writer = self._viewer_writers.get(viewer)
        if writer is not None and (viewer.notices or viewer.newly_established):
            self._read_unread(viewer)  # a client that has gone must get neither an answer nor a notice
        if writer is not None and viewer.has_output and not viewer.closed:
            writer.write(viewer.take_outbox())
            self.core.outbox_written(now(), viewer, bool(writer.unsent))
        if writer is not None and viewer.closing and viewer in self._read_scopes:
            self._read_scopes[viewer].cancel()

    async def _run_timers(self) -> None:
        while True:
            self._timer_at = self.core.next_timer()
            deadline = trio_deadline(self._timer_at) if self._timer_at is not None else float("inf")
            with trio.CancelScope(deadline=deadline):
                await self._timer_changed.wait()
            if self._timer_at is not None and now() >= self._timer_at:
                self._read_hosts()
                for viewer in self.core.viewers_to_close(now()):
                    self._read_unread(viewer)  # an unread request keeps its connection open
                self.core.run_timers(now())
                self._timer_at = None
                self.perform_actions()

    def _read_hosts(self) -> None:
        """Read the hosts before timers run: an answer that came in time but is still unread, as after a stall of this
        process, must not count as missing.
        """
        for link, writer in list(self._host_writers.items()):
            try:
                data = writer.stream.receive_now(bounds.HOST_READ_BYTES)
            except OSError:
                continue  # its own task handles the error
            if data:
                self.core.link_received(now(), link, data)

    # ---- viewers

    async def _serve_viewer(self, viewer: Viewer, scope: trio.CancelScope) -> None:
        writer = self._viewer_writers.get(viewer)
        reset = False
        try:
            if writer is None:
                return  # it was closed already to make room
            with scope:
                with self._read_scopes[viewer]:
                    await self._read_viewer(viewer, writer.stream)
                if viewer.closing:
                    with trio.move_on_after(bounds.LAST_ANSWER_TIMEOUT / 1e9) as timeout:
                        await self._deliver_last_answer(writer)
                    reset = timeout.cancelled_caught  # it has not shown that it reads to the end
        except CONNECTION_ERRORS:
            reset = True
        finally:
            del self._read_scopes[viewer]
            undelivered = reset or writer is not None and writer.has_undelivered
            self.core.viewer_disconnected(now(), viewer, undelivered)
            self.perform_actions()
            try:
                if writer is not None and not undelivered and viewer in self._viewer_writers:
                    await self._watch_close(viewer, writer.stream)
            finally:
                if writer is not None:
                    writer.stream.close()
                self._viewer_writers.pop(viewer, None)
                if not self._viewer_writers:
                    self._shutdown_progress.set()

    async def _watch_close(self, viewer: Viewer, stream: Stream) -> None:
        """After the client's orderly close, see whether what was written last has crossed it: the client's system
        answers that with a reset.
        """
        if not self.core.close_may_cross(now(), viewer):
            return
        await trio.sleep(bounds.CLOSE_CROSSING_PERIOD / 1e9)
        try:
            stream.send_now(b"")  # fails once the connection was reset
        except OSError:
            self.core.close_was_reset(now(), viewer)
            self.perform_actions()

    async def _read_viewer(self, viewer: Viewer, stream: Stream) -> None:
        while not viewer.closing:
            data = await stream.receive_some(bounds.VIEWER_READ_BYTES)
            if not data:
                return
            self.core.viewer_received(now(), viewer, data)
            self.perform_actions()

    async def _deliver_last_answer(self, writer: BufferedWriter) -> None:
        """Let the last answer reach a client that is still sending.

        Closing the connection with unread bytes would send a reset, which may discard the answer at the client.
        """
        while writer.unsent:
            await writer.drained.wait()
        writer.stream.end_writing()
        remaining = bounds.MAX_DISCARDED_BYTES
        while remaining > 0:
            data = await writer.stream.receive_some(4 * bounds.HOST_READ_BYTES)
            if not data:
                return
            remaining -= len(data)

    # ---- media hosts

    async def _run_link(self, link: Link, scope: trio.CancelScope) -> None:
        stream: Stream | None = None
        refused = local = reset = False
        try:
            with scope:
                with trio.move_on_after(self.core.settings.connect_timeout / 1e9):
                    try:
                        stream = await self._connect(link.host)
                    except ConnectionRefusedError:
                        refused = True
                    except OSError as error:  # an error of this machine says nothing about the host
                        local = True
                        self.log("no connection", {"host": link.host.name, "text": str(error)[:100]})
                if stream is None:
                    return
                self._host_writers[link] = BufferedWriter(
                    stream,
                    self._nursery,
                    scope.cancel,
                    self.core.settings.connect_timeout,
                    bounds.MAX_HOST_UNSENT_BYTES,
                    lambda: self._link_writable(link),
                )
                self.core.link_up(now(), link)
                self.perform_actions()
                reset = await self._read_link(link, stream)
        finally:
            writer = self._host_writers.pop(link, None)
            self._link_scopes.pop(link, None)
            if stream is not None:
                stream.close()
            silent = stream is None and not refused and not local
            undelivered = writer is not None and writer.has_undelivered
            self.core.link_down(now(), link, refused, silent, reset, undelivered)
            self.perform_actions()

    async def _connect(self, host: HostState) -> Stream:
        """Connect to a host. If the system is out of descriptors, an idle connection makes room for another try."""
        try:
            return await self.network.connect(host.address)
        except OSError as error:
            if error.errno not in RESOURCE_ERRNOS or not self._make_room(host):
                raise
        return await self.network.connect(host.address)

    async def _read_link(self, link: Link, stream: Stream) -> bool:
        """Read to the end of the connection; returns whether the peer reset it."""
        while link.state in (LinkState.UP, LinkState.HALF_CLOSED):
            try:
                data = await stream.receive_some(bounds.HOST_READ_BYTES)
            except CONNECTION_ERRORS:
                return True
            if not data:
                return False
            self.core.link_received(now(), link, data)
            self.perform_actions()
        return False
