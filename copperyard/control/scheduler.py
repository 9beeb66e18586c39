"""Work in the background that never holds up sessions: jobs with priorities, and a budget of the loop's time.

A job is a function that does one small piece and says when it wants to go on. The caller measures how long each
piece took; from that the scheduler knows when the next one may run, so that all background work together keeps to its
share of time. Within that the most urgent goes first, and one that has waited `PATIENCE` goes before all others: a low
priority means later, not never. No clock is read here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

MS = 1_000_000
SHARE = 0.05  # of the loop's time for all background work; sessions pay for no more
BURST = 20 * MS  # ns of work that may run ahead of the share, once nothing ran for a while
PATIENCE = 5_000 * MS  # ns that a due job waits at most behind more urgent ones


class Priority(IntEnum):
    """How urgent a job is."""

    SOON = 0  # somebody waits for what it brings
    USUAL = 1
    IDLE = 2  # housekeeping


Piece = Callable[[int], int | None]
"""Does one piece at the time that it is given; returns when (ns, the same clock) it wants to go on, None for never."""


@dataclass(slots=True)
class Job:
    """A job. `due` is when it wants to run. `ran` and `spent` count pieces and ns, `longest` its longest piece."""

    name: str
    priority: Priority
    piece: Piece
    due: int
    ran: int = 0
    spent: int = 0
    longest: int = 0


class Scheduler:
    """All background jobs of one loop. Every method takes the loop's clock in ns."""

    def __init__(self, share: float = SHARE, burst: int = BURST) -> None:
        if not 0 < share <= 1:
            raise ValueError(f"a share of {share} is not above 0 and at most 1")
        self.share, self.burst = share, burst
        self._jobs: dict[str, Job] = {}
        self._credit = float(burst)
        self._at: int | None = None

    def add(self, now: int, name: str, priority: Priority, piece: Piece, at: int | None = None) -> None:
        """A job of that name from `at` on, in the place of one that had the name."""
        self._jobs[name] = Job(name, priority, piece, now if at is None else at)

    def drop(self, name: str) -> None:
        self._jobs.pop(name, None)

    def hurry(self, now: int, name: str) -> None:
        """Let a job run at the next chance."""
        job = self._jobs.get(name)
        if job is not None:
            job.due = min(job.due, now)

    def __iter__(self) -> Iterator[Job]:
        return iter(self._jobs.values())

    def _refill(self, now: int) -> None:
        if self._at is not None:
            self._credit = min(self.burst, self._credit + max(0, now - self._at) * self.share)
        self._at = now

    def pick(self, now: int) -> Job | None:
        """The job whose piece is to run now; None where none is due or the share is used up."""
        self._refill(now)
        if self._credit <= 0:
            return None
        due = [job for job in self._jobs.values() if job.due <= now]
        if not due:
            return None
        return min(due, key=lambda job: (now - job.due < PATIENCE, job.priority, job.due))

    def run(self, now: int, job: Job) -> None:
        """Run a picked job's next piece. What it raises passes through, and the job is dropped: a defect must show
        once and not each time."""
        try:
            again = job.piece(now)
        except BaseException:
            self._jobs.pop(job.name, None)
            raise
        if self._jobs.get(job.name) is not job:
            return  # dropped, or put in another's place, by its own piece
        if again is None:
            del self._jobs[job.name]
        else:
            job.due = max(now, again)

    def took(self, now: int, job: Job, ns: int) -> None:
        """How long that piece took."""
        self._refill(now)
        self._credit -= ns
        job.ran, job.spent, job.longest = job.ran + 1, job.spent + ns, max(job.longest, ns)

    def next(self, now: int) -> int | None:
        """When to pick again, None while there is no job."""
        if not self._jobs:
            return None
        due = min(job.due for job in self._jobs.values())
        self._refill(now)
        # a piece that was longer than the burst is paid off first
        paid = now if self._credit > 0 else now + int(-self._credit / self.share) + 1
        return max(due, paid, now)
