"""One running node: a listener, a task a connection, the core in the middle."""

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
from ...control.node.links import Link, State
from ...control.node.sessions import Viewer
from ...membership.fleet import Fleet
from ..net import CLOSED, Datagrams, Listener, Network, Signal, Stream, UdpSocket, at, now
from .follow import NameFollower
from .place import BadPlace, Place

Logger = Callable[[str, Mapping[str, str | int]], None]


class Unread(Enum):
    """What lay unread on a client's connection: MORE may still lie there."""

    NONE = 0
    SOME = 1
    MORE = 2


class Pipe:
    """The writing half of one connection: what does not leave at once is written by a task as room comes. A peer that
    takes nothing for `stall` s, or lets more than `most` bytes wait, has broken."""

    def __init__(
        self,
        stream: Stream,
        nursery: trio.Nursery,
        broke: Callable[[], None],
        stall: int,
        most: int,
        roomy: Callable[[], None] = lambda: None,
    ) -> None:
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
                    sent = await self.stream.send_some(bytes(self.rest[: bounds.READ]))
                    del self.rest[:sent]
                if stalled.cancelled_caught:
                    return self.broke()
        except CLOSED:
            return self.broke()
        self.empty.set()
        self.roomy()


class Node:
    """A node on a network. Every call into the core is followed by `carry_out`; neither ever waits."""

    def __init__(
        self,
        place: Place,
        network: Network,
        log: Logger,
        datagrams: Callable[[str], Datagrams] = UdpSocket,
        unix: Callable[[], int] = time.time_ns,
    ) -> None:
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
        self._quiet = Signal()
        self._later: set[Link] = set()
        self._floods: set[Viewer] = set()
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
            self._listener = listener = await self._listens(place.listen)
            try:
                self.address = listener.address
                nursery.start_soon(self.names.run)
                nursery.start_soon(self._ticks)
                self.carry_out()
                task_status.started(listener.address)
                while True:
                    self._accepted(await listener.accept())
                    self._accept_waiting(bounds.MOST_LOOKS)
                    self.carry_out()
            except trio.ClosedResourceError:
                await trio.sleep_forever()  # at the planned end: what is left still leaves
            finally:
                listener.close()

    async def _listens(self, address: str) -> Listener:
        """A process of the same name may not have ended yet when the next one starts: its address is waited for."""
        for _ in range(bounds.LISTENS):
            try:
                return await self.network.listen(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                self.log("address in use", {"address": address})
                await trio.sleep(bounds.LISTEN / 1e9)
        return await self.network.listen(address)

    def _accept_waiting(self, most: int) -> int:
        """Take connections that wait to be accepted, at most so many; how many there were."""
        for taken in range(most):
            stream = self._listener.accept_now()
            if stream is None:
                return taken
            self._accepted(stream)
        return most

    def _accepted(self, stream: Stream) -> None:
        for _ in range(bounds.MOST_LOOKS):
            if self.core.has_room(len(self._callers)):
                break
            spare = self.core.spare()
            if spare is None:
                return stream.close()
            if self._look(spare) is not Unread.NONE and not spare.closed:
                self.carry_out()  # it has just said something, and is not the one that is missed least any more
            else:
                self._dismiss(spare)
        else:
            return stream.close()
        viewer = self.core.viewer_came(now())
        scope = trio.CancelScope()
        # known from here on, not from when its task comes to run: several are accepted in one turn
        self._callers[viewer] = Pipe(
            stream, self._nursery, scope.cancel, bounds.VIEWER_STALL, bounds.VIEWER_REST, lambda: self._emptied(viewer)
        )
        self._reading[viewer] = trio.CancelScope()
        self._nursery.start_soon(self._serve, viewer, scope)

    def _dismiss(self, viewer: Viewer) -> None:
        """Close a client's connection at once, nothing being open or unread there."""
        self.core.viewer_left(now(), viewer)
        pipe = self._callers.pop(viewer, None)
        if pipe is not None:
            pipe.stream.close()
            pipe.broke()

    def _emptied(self, viewer: Viewer) -> None:
        viewer.unsent = False

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
        if self._ending:
            return  # a second signal changes nothing
        self._ending = True
        self.core.end(now())
        self.carry_out()
        with trio.move_on_after(bounds.END_MOST / 1e9):
            await trio.sleep(bounds.END_LEAST / 1e9)
            while True:
                while not self.core.over:
                    await self._quiet.wait()
                with trio.move_on_after(bounds.END_CLEAR / 1e9):
                    await self._clear()
                if self.core.over:
                    break
            await self._part_with_clients()
        self.ended.set()

    async def _clear(self) -> None:
        """Nothing is left of what was taken: what still lies unread, in the accept queue or on a connection, gets
        its answer, and the last answers and releases leave."""
        calm = 0
        while calm < 2 and self.core.over:  # a connection accepted in one pass is read in the next
            calm += 1
            if self._accept_waiting(bounds.MOST_LOOKS):
                calm = 0
            for viewer in list(self._callers):
                calm = calm if self._look(viewer) is Unread.NONE else 0
            self.carry_out()
            if any(pipe.rest for pipe in (*self._callers.values(), *self._pipes.values())) or self.core.unsaid:
                calm = 0
            await trio.sleep(bounds.END_PASS / 1e9)

    async def _part_with_clients(self) -> None:
        """End each connection in order: a close over bytes that lie unread is a reset, which may throw away the last
        answer at the other end. Whoever sends a request from here on sees that nobody took it."""
        self._accept_waiting(self.place.sockets)
        for viewer in list(self._callers):
            self._look(viewer)
        self.carry_out()
        self._listener.close()
        for pipe in self._callers.values():
            if not pipe.rest:
                pipe.stream.end_writing()
        with trio.move_on_after(bounds.END_PART / 1e9):
            while self._callers:
                await self._quiet.wait()

    # ---- orders

    def carry_out(self) -> None:
        """Do what the core wants, until it wants nothing more."""
        if self._busy:
            return
        self._busy = True
        self._floods.clear()
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
            self._quiet.set()
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
            busy = self._look_at_clients(link)
            if link.state is not State.UP:
                return
            data, last = self.core.frames(now(), link, busy)
            pipe.write(data)
            if busy and link not in self._later:
                self._later.add(link)
                self._nursery.start_soon(self._write_later, link)
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
        for _ in range(bounds.MOST_LOOKS):  # its end may lie behind what it said before
            reset = False
            try:
                data = stream.receive_now(bounds.READ)
            except OSError:
                data, reset = b"", True
            if data is None:
                return True
            if not data or self.core.link_said(now(), link, data) is not None:
                self._close(link, reset)
                return False
        return True

    async def _write_later(self, link: Link) -> None:
        await trio.sleep(bounds.LOOK_AGAIN / 1e9)
        self._later.discard(link)
        self.core.orders.write.append(link)
        self.carry_out()

    def _look_at_clients(self, link: Link) -> set[Viewer]:
        """Before set-ups leave on a connection: a client that has hung up or withdrawn its set-up starts nothing, also
        where that lies unread behind a timer, a dial, a host's answer or a stall of this process. The clients that have
        more to say than they get to say in one turn: their set-ups wait until it is read."""
        seen: set[Viewer] = set()
        while fresh := [viewer for viewer in self.core.askers(link) if viewer not in seen]:
            for viewer in fresh:
                seen.add(viewer)
                # once a turn, however many connections to hosts its set-ups wait on
                if viewer not in self._floods and self._look(viewer) is Unread.MORE:
                    self._floods.add(viewer)
        return seen & self._floods

    def _look(self, viewer: Viewer) -> Unread:
        """Take what a client has sent and lies unread, its end included, without waiting. A flood gets one turn as in
        the client's own task, so that the others do not wait for it."""
        pipe = self._callers.get(viewer)
        found = Unread.NONE
        for _ in range(bounds.MOST_LOOKS):
            if pipe is None or viewer.closed or viewer.closing:
                return found
            try:
                data = pipe.stream.receive_now(bounds.VIEWER_READ)
            except OSError:
                data = b""
            if data is None:
                return found
            if not data:
                self.core.viewer_left(now(), viewer)
                pipe.broke()
                return Unread.SOME
            self.core.viewer_said(now(), viewer, data)
            found = Unread.SOME
            if len(data) == bounds.VIEWER_READ:
                break
        return Unread.MORE

    def _speak(self, viewer: Viewer) -> None:
        pipe = self._callers.get(viewer)
        if pipe is not None and (viewer.notices or viewer.fresh):
            self._look(viewer)  # a client that has gone hears neither that a session stands nor that one is over
        if pipe is not None and viewer.out and not viewer.closed:
            pipe.write(viewer.take())
            viewer.unsent = bool(pipe.rest)
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
                for viewer in self.core.stale(now()):
                    self._look(viewer)  # a request that lies unread keeps its connection
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

    async def _serve(self, viewer: Viewer, scope: trio.CancelScope) -> None:
        pipe = self._callers.get(viewer)
        try:
            if pipe is None:
                return  # it has made room for another one already
            with scope:
                with self._reading[viewer]:
                    await self._listen(viewer, pipe.stream)
                if viewer.closing:
                    with trio.move_on_after(bounds.SEE_OFF / 1e9):
                        await self._see_off(pipe)
        except CLOSED:
            pass
        finally:
            self._callers.pop(viewer, None)
            del self._reading[viewer]
            if pipe is not None:
                pipe.stream.close()
            self.core.viewer_left(now(), viewer)
            self.carry_out()
            if not self._callers:
                self._quiet.set()

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
                self._pipes[link] = Pipe(
                    stream,
                    self._nursery,
                    scope.cancel,
                    self.core.settings.connect_timeout,
                    bounds.HOST_REST,
                    lambda: self._roomy(link),
                )
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
