"""A simulated network with virtual time, for gateways' state machines.

It has no sockets and no tasks, and is fast enough for thousands of seeds. A node has `hear(now, sender, message)`,
`wake(now)`, `next_wake()`, and `collect(now)`, which returns (receiver, message) pairs. Links lose, delay, duplicate
and cut messages, in one direction or both; a node can be paused, killed and restarted.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

MS = 1_000_000


class CoreLike(Protocol):
    """What a node of the network implements."""

    def hear(self, now: int, sender: str, message: Any) -> None:
        """Handles a message."""
        ...

    def wake(self, now: int) -> None:
        """Handles timers that are due."""
        ...

    def next_wake(self) -> int:
        """Returns the time of the next timer, ns on the node's clock."""
        ...

    def collect(self, now: int) -> list[tuple[str, Any]]:
        """Returns and forgets the (receiver, message) pairs to send."""
        ...


@dataclass(slots=True)
class LinkConditions:
    """Behaviour of a link: probabilities of loss and of a second delivery, and the delay in ns, from and to."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[int, int] = (1 * MS, 5 * MS)


@dataclass(eq=False, slots=True)
class _Node:
    core: CoreLike
    clock: tuple[int, float] = (0, 1.0)  # offset of its clock in ns, and its speed
    paused_until: int = 0  # paused up to this time
    inbox: list[tuple[str, Any]] = field(default_factory=list)
    wake_at: int = -1


class SimulatedNetwork:
    """The network. All randomness comes from the seed."""

    def __init__(self, seed: int, manner: LinkConditions | None = None) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.default_conditions = manner if manner is not None else LinkConditions()
        self.link_conditions: dict[tuple[str, str], LinkConditions] = {}
        # links from any of the first to any of the second are cut
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.nodes: dict[str, _Node] = {}
        self.sent = self.lost = 0
        self.message_size: Callable[[Any], int] | None = None
        self.bytes = 0
        self.on_event: Callable[[int], None] | None = None  # called after every event
        # callbacks with from, to, message; the first one also for messages that get lost
        self.on_send: Callable[[str, str, Any], None] | None = None
        self.on_deliver: Callable[[str, str, Any], None] | None = None
        self.on_start: Callable[[str, CoreLike], None] | None = None  # a node starts; called before it sends
        self.on_stop: Callable[[str, CoreLike], None] | None = None  # a node was killed or replaced
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    # ---- control by a test

    def at(self, time: int, do: Callable[[], None]) -> None:
        """Schedules a call at a time, ns."""
        self._schedule(max(time, self.now), do)

    def _schedule(self, time: int, do: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, do, args))

    def add(self, name: str, core: CoreLike, ahead: int = 0, speed: float = 1.0) -> None:
        """Starts or restarts a node. Its clock is `ahead` ns and runs at `speed`."""
        self.kill(name)
        self.nodes[name] = _Node(core, (ahead, speed))
        if self.on_start is not None:
            self.on_start(name, core)
        self._flush(name)

    def time_of(self, name: str) -> int:
        """The time that a node's clock shows."""
        ahead, speed = self.nodes[name].clock
        return ahead + int(self.now * speed)

    def kill(self, name: str) -> None:
        """Removes a node."""
        node = self.nodes.pop(name, None)
        if node is not None and self.on_stop is not None:
            self.on_stop(name, node.core)

    def pause(self, name: str, time: int) -> None:
        """Pauses a node for `time` ns; messages that arrive meanwhile wait."""
        if name in self.nodes:
            self.nodes[name].paused_until = self.now + time
            self.at(self.now + time, lambda: self._resume(name))

    def partition(self, one: list[str], other: list[str], both: bool = True) -> None:
        """Cuts every link from `one` to `other`, and back if `both`."""
        ones, others = frozenset(one), frozenset(other)
        self.cuts.append((ones, others))
        if both:
            self.cuts.append((others, ones))

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()

    def is_cut(self, sender: str, to: str) -> bool:
        """Whether the link is cut in that direction."""
        return any(sender in ones and to in others for ones, others in self.cuts)

    # ---- running

    def run(self, until: int) -> None:
        """Runs all events up to a time, ns."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self._heap)
            do(*args)
            if self.on_event is not None:
                self.on_event(self.now)
        self.now = until

    def _resume(self, name: str) -> None:
        node = self.nodes.get(name)
        if node is None or self.now < node.paused_until:
            return
        now = self.time_of(name)
        # a resumed process finds timers due and messages waiting, and which it handles first
        # depends on its event loop; here the timers come first, which is the worse case
        if now >= node.core.next_wake():
            node.core.wake(now)
        waiting, node.inbox = node.inbox, []
        for sender, message in waiting:
            node.core.hear(now, sender, message)
        self._flush(name)

    def _flush(self, name: str) -> None:
        """Sends what a node has to say, and schedules its next timer."""
        node = self.nodes.get(name)
        if node is None:
            return
        for to, message in node.core.collect(self.time_of(name)):
            self._send(name, to, message)
        ahead, speed = node.clock
        at = max(self.now + 1, int((node.core.next_wake() - ahead) / speed) + 1)
        if node.wake_at != at:
            node.wake_at = at
            self._schedule(at, self._wake, name, node, at)

    def _wake(self, name: str, node: _Node, at: int) -> None:
        if self.nodes.get(name) is not node or node.wake_at != at or self.now < node.paused_until:
            return
        node.wake_at = -1
        node.core.wake(self.time_of(name))
        self._flush(name)

    def _send(self, sender: str, to: str, message: Any) -> None:
        manner = self.link_conditions.get((sender, to), self.default_conditions)
        self.sent += 1
        if self.message_size is not None:
            self.bytes += self.message_size(message)
        if self.on_send is not None:
            self.on_send(sender, to, message)
        if self.cuts and self.is_cut(sender, to) or self.random.random() < manner.loss:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < manner.duplication else 1):
            self._schedule(self.now + self.random.randint(*manner.delay), self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        node = self.nodes.get(to)
        if node is None or self.cuts and self.is_cut(sender, to):
            return
        if self.on_deliver is not None:
            self.on_deliver(sender, to, message)
        if self.now < node.paused_until:
            node.inbox.append((sender, message))
            return
        node.core.hear(self.time_of(to), sender, message)
        self._flush(to)
