"""Runs the scheduler's background jobs on the gateway's event loop."""

from __future__ import annotations

import trio

from ..control.scheduler import JobStep, Priority, Scheduler
from .net import AutoResetEvent, now, trio_deadline


class BackgroundRunner:
    """Runs all background jobs in one task."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._wake = AutoResetEvent()

    def add(self, name: str, priority: Priority, step: JobStep, due: int | None = None) -> None:
        """Add a job to the scheduler; `due` in ns, None for now."""
        self.scheduler.add(now(), name, priority, step, due)
        self._wake.set()

    async def run(self) -> None:
        """Run job steps until cancelled; an exception in a step propagates."""
        scheduler = self.scheduler
        while True:
            due = scheduler.next(now())
            if due is None or due > now():
                with trio.CancelScope(deadline=trio_deadline(due) if due is not None else float("inf")):
                    await self._wake.wait()
            else:
                await trio.lowlevel.checkpoint()  # session tasks run between any two steps
            job = scheduler.pick(now())
            if job is not None:
                started_at = now()
                try:
                    scheduler.run(started_at, job)
                finally:
                    scheduler.record_run(now(), job, now() - started_at)
