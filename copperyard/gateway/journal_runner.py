"""Carries out the steps of the journal writer on a disk, in one task for each of its two queues."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..control.scheduler import Priority
from ..state.journal_writer import JournalWriter, Step
from .background import BackgroundRunner
from .disk import Disk
from .net import AutoResetEvent, now


class JournalRunner:
    """The tasks of one gateway's journal. `stored` is called when more facts are durable and when a step failed."""

    def __init__(
        self, writer: JournalWriter, disk: Disk, background: BackgroundRunner, stored: Callable[[], Awaitable[None]]
    ) -> None:
        self.book, self.disk, self.background, self.stored = writer, disk, background, stored
        self._made_steps: list[Step | None] = []
        self._step_made = AutoResetEvent()
        self._wake = {"commit": AutoResetEvent(), "chore": AutoResetEvent()}

    def notify(self) -> None:
        """Wake both tasks; call it after facts were written."""
        for signal in self._wake.values():
            signal.set()

    async def run(self) -> None:
        """Carry out steps until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_queue, "commit")
            nursery.start_soon(self._run_queue, "chore")

    async def _background_step(self) -> Step | None:
        """The next step of the background queue.

        Encoding its facts takes time on the event loop, so the step is made by a background job. The job has a raised
        priority only while the journal is degraded and needs the step to recover.
        """
        if not self.book.wants_background(now()):
            return None

        def make_step(when: int) -> None:
            self._made_steps.append(self.book.background_step(when))
            self._step_made.set()

        self.background.add("snapshot", Priority.HIGH if self.book.degraded else Priority.NORMAL, make_step)
        while not self._made_steps:
            await self._step_made.wait()
        return self._made_steps.pop()

    async def _run_queue(self, queue: str) -> None:
        writer = self.book
        while True:
            step = writer.commit_step(now()) if queue == "commit" else await self._background_step()
            if step is None:
                with trio.move_on_after(max(0.001, (writer.wake_at(now()) - now()) / 1e9)):
                    await self._wake[queue].wait()
                continue
            try:
                await self.disk.do(step)
            except OSError as error:
                writer.failed(queue, f"{type(step).__name__} {step.name}: {error.strerror or error}", now())
                await self.stored()
            else:
                if writer.done(queue, now()):
                    await self.stored()
            self._wake["chore" if queue == "commit" else "commit"].set()
