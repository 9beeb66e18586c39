"""Scheduler for background jobs: priorities, and a share of the loop's time that jobs must not exceed.

A job is a function that does one small step and returns when it wants to continue. The caller measures how long each
step took; from that the scheduler computes when the next step may run, so that background work keeps to its share.
Within the share the most urgent job runs first, and a job that has been due for MAX_WAIT_NS runs before all others,
so low priorities are not starved. No clock is read here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

MS = 1_000_000
LOOP_SHARE = 0.05  # of the loop's time for all background work together
BURST_NS = 20 * MS  # ns of work that may run ahead of the share after an idle time
MAX_WAIT_NS = 5_000 * MS  # ns that a due job waits at most behind more urgent ones


class Priority(IntEnum):
    """Urgency of a job."""

    HIGH = 0  # somebody waits for the result
    NORMAL = 1
    LOW = 2  # housekeeping


JobStep = Callable[[int], int | None]
"""Does one step at the given time and returns when (ns, same clock) to run again, None for never."""


@dataclass(slots=True)
class Job:
    """A job, due at `due`. `steps_run`, `total_ns` and `longest_ns` are statistics of its steps."""

    name: str
    priority: Priority
    step: JobStep
    due: int
    steps_run: int = 0
    total_ns: int = 0
    longest_ns: int = 0


class Scheduler:
    """All background jobs of one loop. Every method takes the loop's clock in ns."""

    def __init__(self, share: float = LOOP_SHARE, burst: int = BURST_NS) -> None:
        if not 0 < share <= 1:
            raise ValueError(f"share {share} is not above 0 and at most 1")
        self.share, self.burst = share, burst
        self._jobs: dict[str, Job] = {}
        self._credit = float(burst)
        self._refilled_at: int | None = None

    def add(self, now: int, name: str, priority: Priority, step: JobStep, at: int | None = None) -> None:
        """Add a job that is due at `at`, or now. Replaces a job of the same name."""
        self._jobs[name] = Job(name, priority, step, now if at is None else at)

    def remove(self, name: str) -> None:
        """Remove a job if there is one of that name."""
        self._jobs.pop(name, None)

    def expedite(self, now: int, name: str) -> None:
        """Make a job due now."""
        job = self._jobs.get(name)
        if job is not None:
            job.due = min(job.due, now)

    def __iter__(self) -> Iterator[Job]:
        return iter(self._jobs.values())

    def _refill(self, now: int) -> None:
        if self._refilled_at is not None:
            self._credit = min(self.burst, self._credit + max(0, now - self._refilled_at) * self.share)
        self._refilled_at = now

    def pick(self, now: int) -> Job | None:
        """Return the job to run now, None if none is due or the share is used up."""
        self._refill(now)
        if self._credit <= 0:
            return None
        due = [job for job in self._jobs.values() if job.due <= now]
        if not due:
            return None
        return min(due, key=lambda job: (now - job.due < MAX_WAIT_NS, job.priority, job.due))

    def run(self, now: int, job: Job) -> None:
        """Run the next step of a picked job. If it raises, the job is dropped and the exception passes through, so
        that a defect is reported once and not on every run.
        """
        try:
            next_at = job.step(now)
        except BaseException:
            self._jobs.pop(job.name, None)
            raise
        if self._jobs.get(job.name) is not job:
            return  # the step itself removed or replaced the job
        if next_at is None:
            del self._jobs[job.name]
        else:
            job.due = max(now, next_at)

    def record_run(self, now: int, job: Job, ns: int) -> None:
        """Account for the time that a step took."""
        self._refill(now)
        self._credit -= ns
        job.steps_run, job.total_ns, job.longest_ns = job.steps_run + 1, job.total_ns + ns, max(job.longest_ns, ns)

    def next(self, now: int) -> int | None:
        """Return when to pick again, None if there is no job."""
        if not self._jobs:
            return None
        due = min(job.due for job in self._jobs.values())
        self._refill(now)
        # a step longer than the burst is paid off first
        paid = now if self._credit > 0 else now + int(-self._credit / self.share) + 1
        return max(due, paid, now)
