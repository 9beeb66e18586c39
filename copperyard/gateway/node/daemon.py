"""One running node: a listener, a task a connection, the core in the middle."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping

import trio
from trio import TaskStatus

from ...control.node import bounds
from ...control.node.core import NodeCore
from ...control.node.links import Link, State
from ...control.node.sessions import Viewer
from ...membership.fleet import Fleet
from ..net import CLOSED, Datagrams, Network, Signal, Stream, UdpSocket, at, now
from .follow import NameFollower
from .place import BadPlace, Place

Logger = Callable[[str, Mapping[str, str | int]], None]


class Pipe:
    """The writing half of one connection: what does not leave at once is written by a task as room comes. A peer that
    takes nothing for `stall` s, or lets more than `most` bytes wait, has broken."""

    def __init__(self, stream: Stream, nursery: trio.Nursery, broke: Callable[[], None], stall: int, most: int,
                 roomy: Callable[[], None] = lambda: None) -> None:
        self.stream, self.nursery, self.broke, self.stall, self.most = stream, nursery, broke, stall / 1e9, most
        self.roomy = roomy  # called when nothing waits any more
        self.rest = bytearray()
        self.empty = Signal()

    def write(self, data: bytes) -> None:
        if self.rest:
            self.rest += data
            if len(self.rest) > self.most:
                self.broke()
            return
        try:
            sent = self.stream.send_now(data)
        except OSError:
            return self.broke()
        if sent < len(data):
            self.rest += data[sent:]
            self.nursery.start_soon(self._drain)

    async def _drain(self) -> None:
        try:
            while self.rest:
                with trio.move_on_after(self.stall) as stalled:
                    sent = await self.stream.send_some(bytes(self.rest[:bounds.READ]))
                    del self.rest[:sent]
                if stalled.cancelled_caught:
                    return self.broke()
        except CLOSED:
            return self.broke()
        self.empty.set()
        self.roomy()


class Node:
    """A node on a network. Every call into the core is followed by `carry_out`; neither ever waits."""

    def __init__(self, place: Place, network: Network, log: Logger,
                 datagrams: Callable[[str], Datagrams] = UdpSocket,
                 unix: Callable[[], int] = time.time_ns) -> None:
        self.place, self.network, self.log, self.datagrams, self.unix = place, network, log, datagrams, unix
        self.rng = random.Random(place.seed)
        self.address = ""
        self._pipes: dict[Link, Pipe] = {}
        self._callers: dict[Viewer, Pipe] = {}
        self._links: dict[Link, trio.CancelScope] = {}
        self.ended = trio.Event()
        self._reading: dict[Viewer, trio.CancelScope] = {}
        self._timer = Signal()
        self._wake_at: int | None = None
        self._busy = self._ending = False

    async def run(self, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; tells the address once it listens."""
        place = self.place
        fleet = Fleet(place.platform.zones, place.platform.kinds, self.unix() - now())
        self.core = NodeCore(place.settings, place.platform, fleet, place.seed, place.sockets)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.names = NameFollower(self.core, self.datagrams, place.dns, self.rng, self.carry_out)
            self.core.start(now(), fleet.start(place.serial, place.events))
            listener = await self.network.listen(place.listen)
            try:
                self.address = listener.address
                nursery.start_soon(self.names.run)
                nursery.start_soon(self._ticks)
                self.carry_out()
                task_status.started(listener.address)
                while True:
                    self._accepted(await listener.accept())
            finally:
                listener.close()

    def _accepted(self, stream: Stream) -> None:
        taken, spare = self.core.makes_room(now(), len(self._callers))
        if spare is not None:
            self._callers[spare].broke()
        if not taken:
            return stream.close()
        self._nursery.start_soon(self._serve, stream)

    # ---- signals

    async def reload(self, read: Callable[[], Place]) -> None:
        """A new configuration: the name service may have moved. One that cannot be read is tried again; the old one
        holds meanwhile."""
        for _ in range(bounds.RELOADS):
            try:
                place = read()
            except BadPlace as error:
                self.log("configuration not taken", {"text": str(error)[:200]})
                await trio.sleep(bounds.RELOAD / 1e9)
                continue
            self.log("configuration taken", {"dns": place.dns})
            self.names.move(place.dns)
            return

    async def end(self) -> None:
        """Planned end: see what was taken through, then stop. The listener stays, as new connections keep coming."""
        self.core.end(now())
        self.carry_out()
        with trio.move_on_after(bounds.END_MOST / 1e9):
            await trio.sleep(bounds.END_LEAST / 1e9)
            self._ending = True
            if not self.core.over:
                await self.ended.wait()
        self.ended.set()

    # ---- orders

    def carry_out(self) -> None:
        """Do what the core wants, until it wants nothing more."""
        if self._busy:
            return
        self._busy = True
        try:
            while orders := self.core.take():
                for event, fields in orders.lines:
                    self.log(event, fields)
                for link in orders.dial:
                    if not self.core.may_dial(len(self._links)):
                        spare = self.core.spare_link()
                        if spare is None:
                            self.core.link_down(now(), link)
                            continue
                        self._close(spare)
                    scope = self._links[link] = trio.CancelScope()
                    self._nursery.start_soon(self._link, link, scope)
                if orders.write:
                    self.names.drain()  # a set-up must not leave on a list that lies unread
                # what ends an attempt leaves before what may be the next one of the same session
                for link in sorted(dict.fromkeys(orders.write), key=lambda one: not one.gives_up):
                    self._write(link)
                for viewer in dict.fromkeys(orders.answer):
                    self._speak(viewer)
                for link in orders.part:
                    self._part(link)
                for link in orders.drop:
                    if link in self._links:
                        self._links[link].cancel()
                    self._cut(link)
        finally:
            self._busy = False
        if self._ending and self.core.over:
            self.ended.set()
        wake = self.core.next_wake()
        if wake is not None and (self._wake_at is None or wake < self._wake_at):
            self._timer.set()

    def _write(self, link: Link) -> None:
        pipe = self._pipes.get(link)
        if pipe is None or link.state is not State.UP or not link.out:
            return
        if not pipe.rest:
            # what cannot leave yet waits in the core, where news of the list and time limits still reach it
            if not self._alive(link, pipe.stream):
                return
            data, last = self.core.frames(now(), link)
            pipe.write(data)
        else:
            last = link.gives_up
        if last and pipe.rest:
            # an attempt given up counts as out until that has left: closing the connection gives it up as well
            self._close(link)

    def _roomy(self, link: Link) -> None:
        self.core.orders.write.append(link)
        self.carry_out()

    def _close(self, link: Link, reset: bool = False) -> None:
        self.core.link_down(now(), link, reset=reset)
        self._links.pop(link).cancel()
        self._cut(link)

    def _part(self, link: Link) -> None:
        """End our writing; the connection's task hears what still comes, for a while."""
        pipe = self._pipes.pop(link, None)
        if pipe is not None:
            pipe.stream.end_writing()
            self._links[link].deadline = trio.current_time() + bounds.PARTING / 1e9

    def _cut(self, link: Link) -> None:
        """Close a connection at once, not when its task comes to run: what is out on it is given up by that."""
        pipe = self._pipes.pop(link, None)
        if pipe is not None:
            pipe.stream.close()

    def _alive(self, link: Link, stream: Stream) -> bool:
        """Look whether a connection has ended unnoticed before a set-up is entrusted to it; one that was written to
        a closed connection could not be proved not to have run."""
        reset = False
        try:
            data = stream.receive_now(bounds.READ)
        except OSError:
            data, reset = b"", True
        if data is None:
            return True
        if data and self.core.link_said(now(), link, data) is None:
            return True
        self._close(link, reset)
        return False

    def _speak(self, viewer: Viewer) -> None:
        pipe = self._callers.get(viewer)
        if pipe is not None and viewer.out:
            data = bytes(viewer.out)
            viewer.out.clear()
            pipe.write(data)
        if pipe is not None and viewer.closing and viewer in self._reading:
            self._reading[viewer].cancel()

    async def _ticks(self) -> None:
        while True:
            self._wake_at = self.core.next_wake()
            deadline = at(self._wake_at) if self._wake_at is not None else float("inf")
            with trio.CancelScope(deadline=deadline):
                await self._timer.wait()
            if self._wake_at is not None and now() >= self._wake_at:
                self._catch_up()
                self.core.wake(now())
                self._wake_at = None
                self.carry_out()

    def _catch_up(self) -> None:
        """Before a time is over: an answer that came in time and lies unread, as after a stall of this process, must
        not be taken for none."""
        for link, pipe in list(self._pipes.items()):
            try:
                data = pipe.stream.receive_now(bounds.READ)
            except OSError:
                continue  # its own task meets the same end
            if data:
                self.core.link_said(now(), link, data)

    # ---- viewers

    async def _serve(self, stream: Stream) -> None:
        viewer = self.core.viewer_came(now())
        scope = trio.CancelScope()
        pipe = self._callers[viewer] = Pipe(stream, self._nursery, scope.cancel, bounds.VIEWER_STALL,
                                            bounds.VIEWER_REST)
        self._reading[viewer] = trio.CancelScope()
        self.carry_out()
        try:
            with scope:
                with self._reading[viewer]:
                    await self._listen(viewer, stream)
                if viewer.closing:
                    with trio.move_on_after(bounds.SEE_OFF / 1e9):
                        await self._see_off(pipe)
        except CLOSED:
            pass
        finally:
            del self._callers[viewer], self._reading[viewer]
            stream.close()
            self.core.viewer_left(now(), viewer)
            self.carry_out()

    async def _listen(self, viewer: Viewer, stream: Stream) -> None:
        while not viewer.closing:
            data = await stream.receive_some(bounds.VIEWER_READ)
            if not data:
                return
            self.core.viewer_said(now(), viewer, data)
            self.carry_out()

    async def _see_off(self, pipe: Pipe) -> None:
        """The last answer has been said: let it reach a client that is still sending. A close over bytes that lie
        unread is a reset, which would throw the answer away at the other end."""
        while pipe.rest:
            await pipe.empty.wait()
        pipe.stream.end_writing()
        left = bounds.DISCARD
        while left > 0:
            data = await pipe.stream.receive_some(4 * bounds.READ)
            if not data:
                return
            left -= len(data)

    # ---- media hosts

    async def _link(self, link: Link, scope: trio.CancelScope) -> None:
        stream: Stream | None = None
        refused = local = reset = False
        try:
            with scope:
                with trio.move_on_after(self.core.settings.connect_timeout / 1e9):
                    try:
                        stream = await self.network.connect(link.host.address)
                    except ConnectionRefusedError:
                        refused = True
                    except OSError as error:  # this machine's own trouble proves nothing of the host
                        local = True
                        self.log("no connection", {"host": link.host.name, "text": str(error)[:100]})
                if stream is None:
                    return
                self._pipes[link] = Pipe(stream, self._nursery, scope.cancel,
                                         self.core.settings.connect_timeout, bounds.HOST_REST,
                                         lambda: self._roomy(link))
                self.core.link_up(now(), link)
                self.carry_out()
                reset = await self._hear(link, stream)
        finally:
            self._pipes.pop(link, None)
            self._links.pop(link, None)
            if stream is not None:
                stream.close()
            self.core.link_down(now(), link, refused, stream is None and not refused and not local, reset)
            self.carry_out()

    async def _hear(self, link: Link, stream: Stream) -> bool:
        """Read to the end of the connection; whether its peer reset it."""
        while link.state in (State.UP, State.PARTING):
            try:
                data = await stream.receive_some(bounds.READ)
            except CLOSED:
                return True
            if not data:
                return False
            self.core.link_said(now(), link, data)
            self.carry_out()
        return False
