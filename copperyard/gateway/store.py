"""Carries the journal's steps out on a disk: one task for each of its two lanes."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..state.book import Book
from .disk import Disk
from .net import Signal, now


class Store:
    """The tasks of one gateway's journal. `stored` is called whenever more is durable, or something failed."""

    def __init__(self, book: Book, disk: Disk, stored: Callable[[], None]) -> None:
        self.book, self.disk, self.stored = book, disk, stored
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

    async def _lane(self, lane: str) -> None:
        book = self.book
        while True:
            step = book.commit(now()) if lane == "commit" else book.chore(now())
            if step is None:
                with trio.move_on_after(max(0.001, (book.wake_at(now()) - now()) / 1e9)):
                    await self._wake[lane].wait()
                continue
            try:
                await self.disk.do(step)
            except OSError as error:
                book.failed(lane, f"{type(step).__name__} {step.name}: {error.strerror or error}", now())
                self.stored()
            else:
                if book.done(lane, now()):
                    self.stored()
            self._wake["chore" if lane == "commit" else "commit"].set()
