"""Runs background jobs on the gateway's loop, as the scheduler says."""

from __future__ import annotations

import trio

from ..control.scheduler import JobStep, Priority, Scheduler
from .net import AutoResetEvent, now, trio_deadline


class Background:
    """The one task in which background work runs."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._wake = AutoResetEvent()

    def add(self, name: str, priority: Priority, piece: JobStep, when: int | None = None) -> None:
        """See Scheduler.add."""
        self.scheduler.add(now(), name, priority, piece, when)
        self._wake.set()

    async def run(self) -> None:
        """Run pieces until cancelled; what a piece raises passes through."""
        scheduler = self.scheduler
        while True:
            due = scheduler.next(now())
            if due is None or due > now():
                with trio.CancelScope(deadline=trio_deadline(due) if due is not None else float("inf")):
                    await self._wake.wait()
            else:
                await trio.lowlevel.checkpoint()  # sessions come between any two pieces
            job = scheduler.pick(now())
            if job is not None:
                began = now()
                try:
                    scheduler.run(began, job)
                finally:
                    scheduler.record_run(now(), job, now() - began)
