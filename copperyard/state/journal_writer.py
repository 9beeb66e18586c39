"""The journal writer, without I/O: it takes facts, yields steps for a disk, and tells which facts are durable.

There are two queues of steps, each with at most one step in flight. The commit queue ("commit") appends the pending
records and syncs them: group commit, one sync for all records that came during the last one. The background queue
("chore") writes snapshots and removes the files that they replace; it never delays a commit.

After a failed write or sync the contents of the file are unknown: the system may have dropped the pages and may report
the next sync as a success. So that file is never written again. The journal is then degraded; after a wait, the whole
state goes into a new snapshot. Once that is on disk the journal is healthy again and goes on in a new segment.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .clock import ServiceClock
from .facts import Fact, ProcessStarted, ProcessStopped, TimeAdvanced, encode
from .file_format import record, segment_head, segment_name, snapshot_head, snapshot_name, snapshot_tail
from .recovery import Recovery

SECOND = 1_000_000_000
SEGMENT_BYTES = 8 << 20  # size from which a new segment is begun: recovery reads one segment at a time
CHUNK_BYTES = 1 << 16  # part of a snapshot that one step encodes and writes
MAX_PENDING_BYTES = 16 << 20  # bytes not yet on disk from which no more paid work is taken
MIN_SNAPSHOT_RECORDS = 20_000  # records since the last snapshot before the next one
SNAPSHOT_RECORDS_PER_CODE = 2  # and at least so many per stored code: spreads the cost of a snapshot over what it saves
MIN_RETRY_WAIT, MAX_RETRY_WAIT = SECOND, 30 * SECOND  # wait after a failure; doubles with each further one
TIME_RECORD_INTERVAL = 60 * SECOND  # service time is recorded at least so often
PART_SUFFIX = ".part"


@dataclass(frozen=True, slots=True)
class Create:
    """Create a file with these bytes; file and folder entry are synced. It must not exist yet."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Append:
    """Append bytes to a file; with `sync` they are on disk when the step is done."""

    name: str
    data: bytes
    sync: bool = True


@dataclass(frozen=True, slots=True)
class Rename:
    """Rename a file, replacing any file of the new name; the folder is synced."""

    name: str
    to: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a file. It may be missing."""

    name: str


Step = Create | Append | Rename | Remove


@dataclass(slots=True)
class JournalStats:
    """Counters since the start."""

    facts: int = 0
    commits: int = 0
    bytes: int = 0
    snapshots: int = 0
    failures: int = 0


class JournalWriter:
    """Writes the journal during one run of a gateway.

    `now` is the event loop's clock in ns, `downtime` how long the state was out of service by the wall clock. With
    `begins` the start of the process is recorded; without it the files are only compacted.
    """

    def __init__(
        self, recovery: Recovery, label: str, generation: str, now: int, downtime: int, begins: bool = True
    ) -> None:
        self.state = recovery.state
        self.clock = ServiceClock(recovery.state.service_time, downtime, now)
        self.stats = JournalStats()
        self.degraded = ""
        self._sequence = self._durable = recovery.sequence
        self._pending = bytearray()
        self._pending_end = recovery.sequence
        self._in_flight_end = recovery.sequence
        self._segment_number, self._segment_size = recovery.segment, 0
        self._segment_file = ""  # the open segment; empty before the first one and after a failure
        self._in_flight: dict[str, Step | None] = {"commit": None, "chore": None}
        self._records_since_snapshot = recovery.replayed
        self._leftover_parts = [name for name in recovery.files if name.endswith(PART_SUFFIX)]
        self._files = [name for name in recovery.files if not name.endswith(PART_SUFFIX)]
        self._background_steps: Iterator[Step] | None = None
        self._retry_at: int | None = None
        self._retry_wait = MIN_RETRY_WAIT
        self._repair_sequence = 0  # a snapshot up to here ends the degraded state; 0: none in progress
        self._closing = False
        self._time_recorded_at = now
        if begins:
            self.write(now, ProcessStarted(self.clock.at(now), label, generation, recovery.state.lives + 1))

    # ---- facts

    def service_time(self, now: int) -> int:
        """Service time (ns) of a moment of the loop's clock."""
        return self.clock.at(now)

    def write(self, now: int, fact: Fact) -> int:
        """Apply a fact to `state` and record it. Its sequence number; pass that to `durable`."""
        self.state.apply(fact)
        self._sequence += 1
        self._records_since_snapshot += 1
        self.stats.facts += 1
        if self.degraded and self._retry_at is not None:
            return self._sequence  # the repairing snapshot will contain it
        if len(self._pending) >= MAX_PENDING_BYTES:
            # a hanging disk neither completes nor fails: stop collecting for it, a later snapshot contains everything
            self._degrade("too much waits for the disk", now)
            return self._sequence
        self._pending += record(self._sequence, encode(fact))
        self._pending_end = self._sequence
        return self._sequence

    def durable(self, sequence: int) -> bool:
        """Whether the fact of that sequence number and all before it are on disk."""
        return sequence <= self._durable

    @property
    def sequence(self) -> int:
        """The sequence number of the newest fact."""
        return self._sequence

    @property
    def healthy(self) -> bool:
        """Whether a fact written now can be expected to become durable soon."""
        return not self.degraded and len(self._pending) < MAX_PENDING_BYTES

    def close(self, now: int, spent: tuple[int, ...]) -> int:
        """Record a planned stop with the ages of the last retries; its sequence number."""
        self._closing = True
        return self.write(now, ProcessStopped(self.service_time(now), spent))

    # ---- steps

    def commit_step(self, now: int) -> Step | None:
        """The next step of the commit queue; None if there is none or one is in flight."""
        if self._in_flight["commit"] is not None or self.degraded:
            return None
        if self._repair_sequence and not self._closing:
            return None
        step: Step | None = None
        if not self._segment_file or self._segment_size >= SEGMENT_BYTES and self._pending:
            if self._pending or not self._segment_file:
                self._segment_number += 1
                name = segment_name(self._segment_number)
                step = Create(name, segment_head(self._segment_number, self._durable + 1))
        elif self._pending:
            step = Append(self._segment_file, bytes(self._pending))
            self._in_flight_end = self._pending_end
            self._pending.clear()
        elif now - self._time_recorded_at > TIME_RECORD_INTERVAL and not self._closing:
            self._time_recorded_at = now
            self.write(now, TimeAdvanced(self.service_time(now)))
            return self.commit_step(now)
        self._in_flight["commit"] = step
        return step

    def wants_background(self, now: int) -> bool:
        """Whether the background queue may have a step."""
        if self._in_flight["chore"] is not None or self.degraded and self._in_flight["commit"] is not None:
            return False  # the end of the segment is unknown while a commit is in flight
        if self.degraded and not self._repair_sequence and self._retry_at is not None and now < self._retry_at:
            return False
        return self._background_steps is not None or bool(self._leftover_parts) or self._wants_snapshot()

    def background_step(self, now: int) -> Step | None:
        """The next step of the background queue. Encoding it may take a millisecond."""
        if not self.wants_background(now):
            return None
        if self._background_steps is None and self._wants_snapshot():
            self._background_steps = self._snapshot_steps()
        if self._background_steps is None and self._leftover_parts:
            step: Step | None = Remove(self._leftover_parts.pop())
        else:
            step = next(self._background_steps, None) if self._background_steps is not None else None
            if step is None:
                self._background_steps = None
        self._in_flight["chore"] = step
        return step

    def wake_at(self, now: int) -> int:
        """When to ask for steps again even if nothing was written."""
        if self.degraded and self._retry_at is not None and now < self._retry_at:
            return self._retry_at
        return now + TIME_RECORD_INTERVAL

    def _wants_snapshot(self) -> bool:
        if self.degraded:
            return True
        due = self._records_since_snapshot >= max(
            MIN_SNAPSHOT_RECORDS, SNAPSHOT_RECORDS_PER_CODE * len(self.state.codes)
        )
        return due and bool(self._segment_file) and not self._closing

    def compact(self) -> None:
        """Make the next snapshot due now."""
        self._records_since_snapshot = max(
            self._records_since_snapshot, MIN_SNAPSHOT_RECORDS, SNAPSHOT_RECORDS_PER_CODE * len(self.state.codes)
        )

    def _snapshot_steps(self) -> Iterator[Step]:
        """The steps of a snapshot and of the removal of the files that it replaces.

        Facts written meanwhile may or may not be in it; recovery replays them over it.
        """
        if self.degraded:
            # pending records may be in no reliable file: the snapshot has to contain all of them
            self._sequence += 1  # so that no snapshot of this number exists
            self._repair_sequence = last = self._sequence
            self._pending_end = self._in_flight_end = self._sequence
            self._retry_at = None  # from here on records are collected for the segment after the snapshot
        else:
            last = self._durable
        records, self._records_since_snapshot = self._records_since_snapshot, 0
        covered = [name for name in self._files if name != self._segment_file]
        final, part = snapshot_name(last), snapshot_name(last) + PART_SUFFIX
        if final in self._files:
            return  # nothing was written since the last one
        done = False
        try:
            yield Remove(part)
            yield Create(part, snapshot_head(last))
            count, chunk = 0, bytearray()
            for count, fact in enumerate(self.state.facts(), 1):
                chunk += record(count, encode(fact))
                if len(chunk) >= CHUNK_BYTES:
                    yield Append(part, bytes(chunk), sync=False)
                    chunk.clear()
            chunk += snapshot_tail(count)
            yield Append(part, bytes(chunk))
            yield Rename(part, final)
            done = True
        finally:
            if not done:
                self._records_since_snapshot += records
        self.stats.snapshots += 1
        self._files.append(final)
        # remove what the snapshot covers, except the open segment and those begun since
        for name in covered:
            yield Remove(name)
            self._files.remove(name)

    # ---- results

    def done(self, queue: str, now: int) -> bool:
        """The queue's step is done. Whether more facts are durable than before."""
        step, self._in_flight[queue] = self._in_flight[queue], None
        assert step is not None
        before = self._durable
        if queue == "commit":
            if isinstance(step, Create):
                if self.degraded:
                    return False  # begun before the failure: the next record has another sequence number
                self._segment_file, self._segment_size = step.name, len(step.data)
                self._files.append(step.name)
            elif isinstance(step, Append):
                self._segment_size += len(step.data)
                self._durable = max(self._durable, self._in_flight_end)
                self.stats.commits += 1
                self.stats.bytes += len(step.data)
        elif isinstance(step, Rename) and self._repair_sequence:
            self._durable, self._repair_sequence = max(self._durable, self._repair_sequence), 0
            self.degraded, self._retry_wait = "", MIN_RETRY_WAIT
        return self._durable > before

    def failed(self, queue: str, reason: str, now: int) -> None:
        """The queue's step failed: its data counts as lost, the contents of its file as unknown."""
        self._in_flight[queue] = None
        self.stats.failures += 1
        if queue == "chore":
            self._background_steps = None
            if not self._repair_sequence:
                return  # the journal is unaffected; snapshot or removal is retried when due
        self._degrade(reason or "failed", now)

    def _degrade(self, reason: str, now: int) -> None:
        """Stop writing to any file until the whole state is in a new snapshot."""
        self._segment_file, self._repair_sequence = "", 0
        self._pending.clear()  # `state` contains all of it, so the snapshot will
        self.degraded = reason
        self._background_steps = None
        self._retry_at = now + self._retry_wait
        self._retry_wait = min(MAX_RETRY_WAIT, 2 * self._retry_wait)
