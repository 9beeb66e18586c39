"""Links between gateways: each speaks on connections of its own making and listens on those of the others.

What a link promises (tests/contracts): a message arrives once or not at all, in the order of sending, also over a
reconnect; sending never waits; what waits for a peer is bounded in bytes and in age; a peer that reads nothing, or a
link of which only one direction is left, is found out within SILENT and dialled anew. A hello of another fleet, of a
name that is not of the site, or any frame that is none of ours ends its link and no more.
"""

from __future__ import annotations

import math
import random
import struct
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import trio
from trio import TaskStatus

from ...control import neighbours as bounds
from ...protocol.peers import BadFrame, Codec, Hello, Reader, hello, read_hello
from ..net import CLOSED, Listener, Network, Signal, Stream, now

READ = 65536
_COUNT = struct.Struct(">I")

Logger = Callable[[str, Mapping[str, str | int]], None]
Heard = Callable[[str, object], None]


class _Out:
    """What waits for one peer."""

    def __init__(self) -> None:
        self.queue: deque[tuple[int, bytes]] = deque()
        self.size = 0
        self.wake = Signal()
        self.running = False
        self.dropped = 0
        self.back_off = bounds.BACK_OFF[0]

    def put(self, when: int, frame: bytes) -> bool:
        while self.queue and when - self.queue[0][0] > bounds.STALE:
            self.size -= len(self.queue.popleft()[1])
            self.dropped += 1
        if self.size + len(frame) > bounds.QUEUE:
            self.dropped += 1
            return False
        self.queue.append((when, frame))
        self.size += len(frame)
        self.wake.set()
        return True

    def next(self, when: int) -> bytes | None:
        """The next frame that is not stale."""
        while self.queue:
            at, frame = self.queue.popleft()
            self.size -= len(frame)
            if when - at <= bounds.STALE:
                return frame
            self.dropped += 1
        return None

    def clear(self) -> None:
        self.dropped += len(self.queue)
        self.queue.clear()
        self.size = 0


class _Outs(dict[str, _Out]):
    """What waits, by peer; made when a peer is first spoken to: of all that may ask a voter, few do. KeyError for a
    name that is none of `names`."""

    def __init__(self, names: Iterable[str]) -> None:
        super().__init__()
        self.names = frozenset(names)

    def __missing__(self, name: str) -> _Out:
        if name not in self.names:
            raise KeyError(name)
        out = self[name] = _Out()
        return out


class _Silent(OSError):
    """The peer counts nothing any more."""


class Links:
    """All links of one gateway. `fleet` is a digest of what all gateways have to agree on; `addresses` names the
    others; `heard` is called with each message and its sender."""

    def __init__(
        self,
        network: Network,
        me: str,
        fleet: bytes,
        life: int,
        addresses: Mapping[str, str],
        codec: Codec,
        heard: Heard,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.network, self.me, self.fleet, self.life = network, me, fleet, life
        self.addresses, self.codec, self.heard, self.log, self.random = addresses, codec, heard, log, rng
        self.address = ""
        self._outs = _Outs(name for name in addresses if name != me)
        self._in: dict[str, tuple[int, int, trio.CancelScope]] = {}  # life and number of the newest, by sender
        self.written = self.taken = 0  # frames, since the start
        self._number = 0
        self._new = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, listen: str, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen and speak until cancelled; tells the address."""
        listener = await self.network.listen(listen)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.address = listener.address
                task_status.started(listener.address)
                try:
                    await self._accept(listener)
                finally:
                    # before the nursery closes: whoever sends while all is cancelled would find it closed
                    self._nursery = None
        finally:
            listener.close()

    @property
    def dropped(self) -> int:
        return sum(out.dropped for out in self._outs.values())

    def waiting(self, to: str) -> int:
        """Bytes that wait for a peer."""
        return self._outs[to].size

    # ---- speaking

    def send(self, to: str, message: object) -> None:
        """Send, as far as there is room; never waits. KeyError for a name that is not of the site."""
        out = self._outs[to]
        if self._nursery is None or not out.put(now(), self.codec.frame(message)):
            return
        if not out.running:
            out.running = True
            self._nursery.start_soon(self._speak_to, to, out)

    async def _speak_to(self, to: str, out: _Out) -> None:
        """Dial while something waits."""
        try:
            while out.queue:
                stream: Stream | None = None
                try:
                    with trio.move_on_after(bounds.CONNECT):
                        stream = await self.network.connect(self.addresses[to])
                    if stream is None:
                        raise OSError("no connection in time")
                    await self._speak(to, out, stream)
                except CLOSED:
                    pass  # what waits grows stale by itself; whether the peer lives is not for links to say
                finally:
                    if stream is not None:
                        stream.close()
                if out.queue:
                    await trio.sleep(out.back_off * (0.5 + self.random.random()))
                    out.back_off = min(bounds.BACK_OFF[1], 2 * out.back_off)
        finally:
            out.running = False

    async def _speak(self, to: str, out: _Out, stream: Stream) -> None:
        self._number += 1
        first = hello(Hello(self.fleet, self.me, to, self.life, self._number))
        written: deque[float] = deque()  # when each frame that is not counted yet was written
        broke: list[BaseException] = []
        # ends when what was written first was not counted in time. (A task that looked at it from time to time cost a
        # gateway of forty links more than all that it had to say.)
        silent = trio.CancelScope()

        def wait_for_count() -> None:
            silent.deadline = written[0] + bounds.SILENT if written else math.inf

        async def write() -> None:
            await send_all(stream, first)
            while True:
                frame = out.next(now())
                if frame is None:
                    with trio.move_on_after(bounds.IDLE) as idle:
                        await out.wake.wait()
                    if idle.cancelled_caught and not out.queue and not written:
                        return
                    continue
                written.append(trio.current_time())
                wait_for_count()
                await send_all(stream, frame)
                self.written += 1

        async def count() -> None:
            kept, counted = b"", 0
            with silent:
                while data := await stream.receive_some(READ):
                    out.back_off = bounds.BACK_OFF[0]
                    kept += data
                    while len(kept) >= _COUNT.size:
                        total, kept = _COUNT.unpack_from(kept)[0], kept[_COUNT.size :]
                        if not counted <= total <= counted + len(written):
                            raise OSError("the peer counts what was not sent")
                        for _ in range(total - counted):
                            written.popleft()
                        counted = total
                    wait_for_count()
                raise OSError("closed by the peer")
            raise _Silent("nothing is counted")

        async def guarded(task: Callable[[], object], scope: trio.CancelScope) -> None:
            try:
                await task()  # type: ignore[misc]
            except CLOSED as error:
                broke.append(error)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            for task in (write, count):
                nursery.start_soon(guarded, task, nursery.cancel_scope)
        if any(isinstance(error, _Silent) for error in broke):
            self.log("link silent", {"to": to})

    # ---- listening

    async def _accept(self, listener: Listener) -> None:
        nursery = self._nursery
        assert nursery is not None
        while True:
            stream = await listener.accept()
            if self._new >= bounds.NEW:
                stream.close()
                continue
            self._new += 1
            nursery.start_soon(self._listen, stream)

    async def _listen(self, stream: Stream) -> None:
        reader, bodies = Reader(), deque[bytes]()
        known = False
        try:
            with trio.move_on_after(bounds.HELLO):
                while not bodies:
                    data = await stream.receive_some(READ)
                    if not data:
                        return
                    bodies.extend(reader.receive(data))
            if not bodies:
                return
            one = self._welcome(read_hello(bodies.popleft()))
            self._new -= 1
            known = True
            with trio.CancelScope() as scope:
                self._in[one.sender] = (one.life, one.number, scope)
                await self._hear(one.sender, stream, reader, bodies)
        except BadFrame as error:
            self.log("link refused" if not known else "link broken", {"peer": stream.peer, "text": str(error)[:200]})
        except CLOSED:
            pass
        finally:
            self._new -= not known
            stream.close()

    def _welcome(self, one: Hello) -> Hello:
        """Take a hello, or say why not. A gateway's newest link ends the ones before it: what still lay in an older
        one must not come after what the newer one brings."""
        if one.fleet != self.fleet:
            raise BadFrame(f"a gateway of another fleet, or of other settings, as {one.sender!r}")
        if one.sender not in self._outs.names:
            raise BadFrame(f"{one.sender!r} is none of the gateways that speak to this one")
        if one.to != self.me:
            raise BadFrame(f"{one.sender!r} wants {one.to!r} here")
        before = self._in.get(one.sender)
        if before is not None:
            if (one.life, one.number) <= before[:2]:
                raise BadFrame(f"an older link of {one.sender!r}")
            before[2].cancel()
        return one

    async def _hear(self, sender: str, stream: Stream, reader: Reader, bodies: deque[bytes]) -> None:
        counted, owed = 0, b""
        while True:
            while bodies:
                self.heard(sender, self.codec.read(bodies.popleft()))
                self.taken += 1
                counted += 1
                if not owed:
                    owed = _COUNT.pack(counted & 0xFFFFFFFF)
                    owed = owed[stream.send_now(owed) :]
            if owed:
                owed = owed[stream.send_now(owed) :]
                if not owed:
                    owed = _COUNT.pack(counted & 0xFFFFFFFF)
                    owed = owed[stream.send_now(owed) :]
            data = await stream.receive_some(READ)
            if not data:
                return
            bodies.extend(reader.receive(data))


async def send_all(stream: Stream, data: bytes) -> None:
    while data:
        data = data[await stream.send_some(data) :]
