"""Links between gateways: each gateway sends on connections that it dials and receives on those of the others.

Guarantees (tests/contracts): a message arrives at most once and in the order of sending, also across a reconnect;
sending never blocks; the outbox of a peer is bounded in bytes and age; a peer that does not read, or a link with only
one working direction, is detected by missing acks and dialled again. A hello of another fleet or of an unknown
name, or any invalid frame, closes its link only.
"""

from __future__ import annotations

import math
import random
import struct
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import trio
from trio import TaskStatus

from ...control import peer_limits as bounds
from ...protocol.peers import Codec, FrameError, FrameReader, Hello, encode_hello, parse_hello
from ..net import CONNECTION_ERRORS, AutoResetEvent, Listener, Network, Stream, now

READ_BYTES = 65536
_ACK = struct.Struct(">I")

Logger = Callable[[str, Mapping[str, str | int]], None]
MessageHandler = Callable[[str, object], None]


class _Outbox:
    """Frames that wait for one peer."""

    def __init__(self) -> None:
        self.queue: deque[tuple[int, bytes]] = deque()
        self.size = 0
        self.wake = AutoResetEvent()
        self.running = False
        self.dropped = 0
        self.backoff = bounds.REDIAL_BACKOFF_S[0]

    def put(self, now_ns: int, frame: bytes) -> bool:
        while self.queue and now_ns - self.queue[0][0] > bounds.MAX_MESSAGE_AGE_NS:
            self.size -= len(self.queue.popleft()[1])
            self.dropped += 1
        if self.size + len(frame) > bounds.MAX_QUEUE_BYTES:
            self.dropped += 1
            return False
        self.queue.append((now_ns, frame))
        self.size += len(frame)
        self.wake.set()
        return True

    def next(self, now_ns: int) -> bytes | None:
        """Remove and return the next frame that is not too old; None if there is none."""
        while self.queue:
            at, frame = self.queue.popleft()
            self.size -= len(frame)
            if now_ns - at <= bounds.MAX_MESSAGE_AGE_NS:
                return frame
            self.dropped += 1
        return None

    def clear(self) -> None:
        self.dropped += len(self.queue)
        self.queue.clear()
        self.size = 0


class _Outboxes(dict[str, _Outbox]):
    """Outboxes by peer, created at the first message: of all gateways that may ask a voter, few do. KeyError for a name
    that is not in `names`.
    """

    def __init__(self, names: Iterable[str]) -> None:
        super().__init__()
        self.names = frozenset(names)

    def __missing__(self, name: str) -> _Outbox:
        if name not in self.names:
            raise KeyError(name)
        out = self[name] = _Outbox()
        return out


class _PeerSilentError(OSError):
    """The peer sends no acks any more."""


class Links:
    """All links of one gateway. `fleet`: digest of the settings that all gateways have to agree on; `addresses`: of the
    others by name; `on_message` is called with the sender and each message.
    """

    def __init__(
        self,
        network: Network,
        me: str,
        fleet: bytes,
        life: int,
        addresses: Mapping[str, str],
        codec: Codec,
        heard: MessageHandler,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.network, self.me, self.fleet, self.life = network, me, fleet, life
        self.addresses, self.codec, self.on_message, self.log, self.random = addresses, codec, heard, log, rng
        self.address = ""
        self._outboxes = _Outboxes(name for name in addresses if name != me)
        # (life, number, scope) of the newest link, by sender
        self._incoming: dict[str, tuple[int, int, trio.CancelScope]] = {}
        self.written = self.received = 0  # frames, since the start
        self._number = 0
        self._pending_hellos = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, listen: str, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all links until cancelled; reports the listening address."""
        listener = await self.network.listen(listen)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.address = listener.address
                task_status.started(listener.address)
                try:
                    await self._accept(listener)
                finally:
                    # before the nursery closes: a send during cancellation would find it closed
                    self._nursery = None
        finally:
            listener.close()

    @property
    def dropped(self) -> int:
        """Messages that were never sent, since the start: too old, or the outbox was full."""
        return sum(out.dropped for out in self._outboxes.values())

    def waiting(self, to: str) -> int:
        """Return the bytes that wait for a peer."""
        return self._outboxes[to].size

    # ---- sending

    def send(self, to: str, message: object) -> None:
        """Queue a message if there is room; never blocks. KeyError for a name that is not of the site."""
        outbox = self._outboxes[to]
        if self._nursery is None or not outbox.put(now(), self.codec.frame(message)):
            return
        if not outbox.running:
            outbox.running = True
            self._nursery.start_soon(self._dial, to, outbox)

    async def _dial(self, to: str, outbox: _Outbox) -> None:
        """Dial until the outbox is empty."""
        try:
            while outbox.queue:
                stream: Stream | None = None
                try:
                    with trio.move_on_after(bounds.CONNECT_TIMEOUT_S):
                        stream = await self.network.connect(self.addresses[to])
                    if stream is None:
                        raise OSError("no connection in time")
                    await self._write_link(to, outbox, stream)
                except CONNECTION_ERRORS:
                    pass  # waiting frames expire by themselves; links do not judge whether a peer is alive
                finally:
                    if stream is not None:
                        stream.close()
                if outbox.queue:
                    await trio.sleep(outbox.backoff * (0.5 + self.random.random()))
                    outbox.backoff = min(bounds.REDIAL_BACKOFF_S[1], 2 * outbox.backoff)
        finally:
            outbox.running = False

    async def _write_link(self, to: str, outbox: _Outbox, stream: Stream) -> None:
        self._number += 1
        first = encode_hello(Hello(self.fleet, self.me, to, self.life, self._number))
        unacked: deque[float] = deque()  # time of writing of each frame without an ack
        errors: list[BaseException] = []
        # cancelled when the oldest written frame got no ack in time. (A task that polled for it cost a gateway with
        # forty links more than all its messages.)
        silent = trio.CancelScope()

        def wait_for_count() -> None:
            silent.deadline = unacked[0] + bounds.ACK_TIMEOUT_S if unacked else math.inf

        async def write() -> None:
            await send_all(stream, first)
            while True:
                frame = outbox.next(now())
                if frame is None:
                    with trio.move_on_after(bounds.IDLE_TIMEOUT_S) as idle:
                        await outbox.wake.wait()
                    if idle.cancelled_caught and not outbox.queue and not unacked:
                        return
                    continue
                unacked.append(trio.current_time())
                wait_for_count()
                await send_all(stream, frame)
                self.written += 1

        async def count() -> None:
            kept, counted = b"", 0
            with silent:
                while data := await stream.receive_some(READ_BYTES):
                    outbox.backoff = bounds.REDIAL_BACKOFF_S[0]
                    kept += data
                    while len(kept) >= _ACK.size:
                        total, kept = _ACK.unpack_from(kept)[0], kept[_ACK.size :]
                        if not counted <= total <= counted + len(unacked):
                            raise OSError("the peer acknowledges frames that were not sent")
                        for _ in range(total - counted):
                            unacked.popleft()
                        counted = total
                    wait_for_count()
                raise OSError("closed by the peer")
            raise _PeerSilentError("no acks")

        async def guarded(task: Callable[[], object], scope: trio.CancelScope) -> None:
            try:
                await task()  # type: ignore[misc]
            except CONNECTION_ERRORS as error:
                errors.append(error)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            for task in (write, count):
                nursery.start_soon(guarded, task, nursery.cancel_scope)
        if any(isinstance(error, _PeerSilentError) for error in errors):
            self.log("link silent", {"to": to})

    # ---- receiving

    async def _accept(self, listener: Listener) -> None:
        nursery = self._nursery
        assert nursery is not None
        while True:
            stream = await listener.accept()
            if self._pending_hellos >= bounds.MAX_PENDING_HELLOS:
                stream.close()
                continue
            self._pending_hellos += 1
            nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: Stream) -> None:
        reader, bodies = FrameReader(), deque[bytes]()
        accepted = False
        try:
            with trio.move_on_after(bounds.HELLO_TIMEOUT_S):
                while not bodies:
                    data = await stream.receive_some(READ_BYTES)
                    if not data:
                        return
                    bodies.extend(reader.receive(data))
            if not bodies:
                return
            one = self._check_hello(parse_hello(bodies.popleft()))
            self._pending_hellos -= 1
            accepted = True
            with trio.CancelScope() as scope:
                self._incoming[one.sender] = (one.life, one.number, scope)
                await self._read_link(one.sender, stream, reader, bodies)
        except FrameError as error:
            self.log("link refused" if not accepted else "link broken", {"peer": stream.peer, "text": str(error)[:200]})
        except CONNECTION_ERRORS:
            pass
        finally:
            self._pending_hellos -= not accepted
            stream.close()

    def _check_hello(self, one: Hello) -> Hello:
        """Accept a hello or raise the reason. The newest link of a gateway closes its earlier ones: messages left in an
        older link must not arrive after those of a newer one.
        """
        if one.fleet != self.fleet:
            raise FrameError(f"a gateway of another fleet, or of other settings, as {one.sender!r}")
        if one.sender not in self._outboxes.names:
            raise FrameError(f"{one.sender!r} is none of the gateways that may connect to this one")
        if one.to != self.me:
            raise FrameError(f"{one.sender!r} expects {one.to!r} here")
        before = self._incoming.get(one.sender)
        if before is not None:
            if (one.life, one.number) <= before[:2]:
                raise FrameError(f"an older link of {one.sender!r}")
            before[2].cancel()
        return one

    async def _read_link(self, sender: str, stream: Stream, reader: FrameReader, bodies: deque[bytes]) -> None:
        received, unsent = 0, b""
        while True:
            while bodies:
                self.on_message(sender, self.codec.read(bodies.popleft()))
                self.received += 1
                received += 1
                if not unsent:
                    unsent = _ACK.pack(received & 0xFFFFFFFF)
                    unsent = unsent[stream.send_now(unsent) :]
            if unsent:
                unsent = unsent[stream.send_now(unsent) :]
                if not unsent:
                    unsent = _ACK.pack(received & 0xFFFFFFFF)
                    unsent = unsent[stream.send_now(unsent) :]
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return
            bodies.extend(reader.receive(data))


async def send_all(stream: Stream, data: bytes) -> None:
    """Send all bytes; waits for the stream."""
    while data:
        data = data[await stream.send_some(data) :]
