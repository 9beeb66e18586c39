"""Carries the journal's steps out on a disk: one task for each of its two lanes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..control.scheduler import Priority
from ..state.book import Book, Step
from .background import Background
from .disk import Disk
from .net import Signal, now


class Store:
    """The tasks of one gateway's journal. `stored` is called whenever more is durable, or something failed."""

    def __init__(self, book: Book, disk: Disk, background: Background, stored: Callable[[], Awaitable[None]]) -> None:
        self.book, self.disk, self.background, self.stored = book, disk, background, stored
        self._made: list[Step | None] = []
        self._making = Signal()
        self._wake = {"commit": Signal(), "chore": Signal()}

    def look(self) -> None:
        """Facts may have been written."""
        for signal in self._wake.values():
            signal.set()

    async def run(self) -> None:
        """Carry steps out until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lane, "commit")
            nursery.start_soon(self._lane, "chore")

    async def _chore(self) -> Step | None:
        """The next step of the second lane. Facts become bytes for it, which is work for the loop: it is made as a
        background job, at once only where the journal waits for it to be well again."""
        if not self.book.wants_chore(now()):
            return None

        def piece(when: int) -> None:
            self._made.append(self.book.chore(when))
            self._making.set()

        self.background.add("snapshot", Priority.SOON if self.book.ailing else Priority.USUAL, piece)
        while not self._made:
            await self._making.wait()
        return self._made.pop()

    async def _lane(self, lane: str) -> None:
        book = self.book
        while True:
            step = book.commit(now()) if lane == "commit" else await self._chore()
            if step is None:
                with trio.move_on_after(max(0.001, (book.wake_at(now()) - now()) / 1e9)):
                    await self._wake[lane].wait()
                continue
            try:
                await self.disk.do(step)
            except OSError as error:
                book.failed(lane, f"{type(step).__name__} {step.name}: {error.strerror or error}", now())
                await self.stored()
            else:
                if book.done(lane, now()):
                    await self.stored()
            self._wake["chore" if lane == "commit" else "commit"].set()
