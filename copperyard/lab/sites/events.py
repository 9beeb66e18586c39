"""Cores of gateways on a network of events: no sockets, no tasks, time jumps. For thousands of seeds.

A core here has `hear(now, sender, message)`, `wake(now)`, `next_wake()`, and `collect(now)` that gives (to, message)
pairs. Links lose, delay, double and cut what passes, one way or both; a core stands still, dies, and is made anew.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

MS = 1_000_000


class CoreLike(Protocol):
    """What runs here."""

    def hear(self, now: int, sender: str, message: Any) -> None: ...

    def wake(self, now: int) -> None: ...

    def next_wake(self) -> int: ...

    def collect(self, now: int) -> list[tuple[str, Any]]: ...


@dataclass(slots=True)
class Manner:
    """How a link behaves: chances of loss and of a second delivery, delay in ns from and to."""

    loss: float = 0.0
    twice: float = 0.0
    delay: tuple[int, int] = (1 * MS, 5 * MS)


@dataclass(eq=False, slots=True)
class _Node:
    core: CoreLike
    clock: tuple[int, float] = (0, 1.0)  # what its clock is ahead, and how fast it runs
    until: int = 0  # stands still up to here
    inbox: list[tuple[str, Any]] = field(default_factory=list)
    wake_at: int = -1


class Events:
    """The network. All chance comes from the seed."""

    def __init__(self, seed: int, manner: Manner | None = None) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.manner = manner if manner is not None else Manner()
        self.manners: dict[tuple[str, str], Manner] = {}
        self.walls: list[tuple[frozenset[str], frozenset[str]]] = []  # from any of these, to any of those: cut
        self.nodes: dict[str, _Node] = {}
        self.sent = self.lost = 0
        self.sizes: Callable[[Any], int] | None = None
        self.bytes = 0
        self.watch: Callable[[int], None] | None = None  # called after every event
        self.sending: Callable[[str, str, Any], None] | None = None  # from, to, message: also of what gets lost
        self.arriving: Callable[[str, str, Any], None] | None = None
        self.joined: Callable[[str, CoreLike], None] | None = None  # a core begins; before it says a word
        self.gone: Callable[[str, CoreLike], None] | None = None  # it was killed, or another takes its place
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    # ---- scripts

    def at(self, time: int, do: Callable[[], None]) -> None:
        self._at(max(time, self.now), do)

    def _at(self, time: int, do: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, do, args))

    def add(self, name: str, core: CoreLike, ahead: int = 0, speed: float = 1.0) -> None:
        """A core begins, or begins anew. Its clock is `ahead` ns and runs at `speed`."""
        self.kill(name)
        self.nodes[name] = _Node(core, (ahead, speed))
        if self.joined is not None:
            self.joined(name, core)
        self._turn(name)

    def time_of(self, name: str) -> int:
        """What a node's clock shows."""
        ahead, speed = self.nodes[name].clock
        return ahead + int(self.now * speed)

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node is not None and self.gone is not None:
            self.gone(name, node.core)

    def stop(self, name: str, time: int) -> None:
        """It stands still for so long; what reaches it meanwhile lies in its sockets."""
        if name in self.nodes:
            self.nodes[name].until = self.now + time
            self.at(self.now + time, lambda: self._go_on(name))

    def part(self, one: list[str], other: list[str], both: bool = True) -> None:
        """Cut every link from the ones to the others, and back."""
        ones, others = frozenset(one), frozenset(other)
        self.walls.append((ones, others))
        if both:
            self.walls.append((others, ones))

    def heal(self) -> None:
        self.walls.clear()

    def cut(self, sender: str, to: str) -> bool:
        """Whether the link is cut that way."""
        return any(sender in ones and to in others for ones, others in self.walls)

    # ---- running

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self._heap)
            do(*args)
            if self.watch is not None:
                self.watch(self.now)
        self.now = until

    def _go_on(self, name: str) -> None:
        node = self.nodes.get(name)
        if node is None or self.now < node.until:
            return
        now = self.time_of(name)
        # a process that wakes finds its timers due as well as its sockets full; which it sees first is its loop's
        # matter: here the timers, the worse of the two
        if now >= node.core.next_wake():
            node.core.wake(now)
        waiting, node.inbox = node.inbox, []
        for sender, message in waiting:
            node.core.hear(now, sender, message)
        self._turn(name)

    def _turn(self, name: str) -> None:
        """Send what a core wants to say and see to its next time."""
        node = self.nodes.get(name)
        if node is None:
            return
        for to, message in node.core.collect(self.time_of(name)):
            self._send(name, to, message)
        ahead, speed = node.clock
        at = max(self.now + 1, int((node.core.next_wake() - ahead) / speed) + 1)
        if node.wake_at != at:
            node.wake_at = at
            self._at(at, self._wake, name, node, at)

    def _wake(self, name: str, node: _Node, at: int) -> None:
        if self.nodes.get(name) is not node or node.wake_at != at or self.now < node.until:
            return
        node.wake_at = -1
        node.core.wake(self.time_of(name))
        self._turn(name)

    def _send(self, sender: str, to: str, message: Any) -> None:
        manner = self.manners.get((sender, to), self.manner)
        self.sent += 1
        if self.sizes is not None:
            self.bytes += self.sizes(message)
        if self.sending is not None:
            self.sending(sender, to, message)
        if self.walls and self.cut(sender, to) or self.random.random() < manner.loss:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < manner.twice else 1):
            self._at(self.now + self.random.randint(*manner.delay), self._arrive, sender, to, message)

    def _arrive(self, sender: str, to: str, message: Any) -> None:
        node = self.nodes.get(to)
        if node is None or self.walls and self.cut(sender, to):
            return
        if self.arriving is not None:
            self.arriving(sender, to, message)
        if self.now < node.until:
            node.inbox.append((sender, message))
            return
        node.core.hear(self.time_of(to), sender, message)
        self._turn(to)
