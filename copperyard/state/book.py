"""The writer of the journal, without I/O: facts in, steps for a disk out, and what is durable by now.

Two lanes of steps, each with at most one step out: `commit` steps append what has gathered and sync it (one sync
for all that came while the last one ran); `chore` steps write snapshots and remove what they made needless. A chore
never holds up a commit.

After a failed write or sync nothing is known of the file any more: the system may have dropped the pages and will say
that the next sync went well. So that file is not written again. The book is then `ailing`; after a wait, all that it
knows goes into a new snapshot and a new segment, and only when both are on disk is it well again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .clock import ServiceClock
from .facts import Began, Ended, Fact, Passed, encode
from .frames import record, segment_head, segment_name, snapshot_head, snapshot_name, snapshot_tail
from .recovery import Recovery

SECOND = 1_000_000_000
SEGMENT = 8 << 20  # bytes from which a new segment is begun: recovery reads one at a time
CHUNK = 1 << 16  # bytes of a snapshot that are made and written at a time
MOST_WAITING = 16 << 20  # bytes not yet on disk from which the book takes no more paid work
SNAP_LEAST = 20_000  # records since the last snapshot before another is worth it
SNAP_PER_CODE = 2  # and that many for each code kept, so that a snapshot's cost is spread over what it saves
HEAL_FIRST, HEAL_MOST = SECOND, 30 * SECOND  # waits before another try after a failure, doubling
PASSED_EVERY = 60 * SECOND  # service time is written this often, where nothing else is
PART = ".part"


@dataclass(frozen=True, slots=True)
class Create:
    """A new file with these bytes, on disk and in its folder before the step is done. It must not exist."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Append:
    """Bytes to the end of a file; on disk before the step is done where `sync` says so."""

    name: str
    data: bytes
    sync: bool = True


@dataclass(frozen=True, slots=True)
class Rename:
    """Another name for a file, on disk before the step is done. What has that name is replaced."""

    name: str
    to: str


@dataclass(frozen=True, slots=True)
class Remove:
    """A file is needed no more. One that is not there is no failure."""

    name: str


Step = Create | Append | Rename | Remove


@dataclass(slots=True)
class Tally:
    """What the book did since its start."""

    facts: int = 0
    commits: int = 0
    bytes: int = 0
    snapshots: int = 0
    failures: int = 0


class Book:
    """The journal of one life. `now` is the loop's clock in ns, `down` how long the state was out of service by the
    machine's date. With `begins` a new life begins; without it the files are only put in order."""

    def __init__(self, found: Recovery, label: str, generation: str, now: int, down: int, begins: bool = True) -> None:
        self.state = found.state
        self.clock = ServiceClock(found.state.reached, down, now)
        self.tally = Tally()
        self.ailing = ""
        self._sequence = self._durable = found.sequence
        self._waiting = bytearray()
        self._waiting_to = found.sequence
        self._out_to = found.sequence
        self._segment, self._size = found.segment, 0
        self._name = ""  # the segment that is written; none yet, or none that may be trusted
        self._busy: dict[str, Step | None] = {"commit": None, "chore": None}
        self._since = found.replayed
        self._old = [name for name in found.files if name.endswith(PART)]
        self._files = [name for name in found.files if not name.endswith(PART)]
        self._chores: Iterator[Step] | None = None
        self._heal_at: int | None = None
        self._heal_wait = HEAL_FIRST
        self._healing = 0  # the sequence that a snapshot must hold for the book to be well again
        self._closing = False
        self._last_passed = now
        if begins:
            self.write(now, Began(self.clock.at(now), label, generation, found.state.lives + 1))

    # ---- facts

    def at(self, now: int) -> int:
        """Service time, for the facts that are made now."""
        return self.clock.at(now)

    def write(self, now: int, fact: Fact) -> int:
        """Take a fact: it holds at once for whoever asks `state`, and is on disk once `durable` says so of the number
        that is given."""
        self.state.apply(fact)
        self._sequence += 1
        self._since += 1
        self.tally.facts += 1
        if self.ailing and self._heal_at is not None:
            return self._sequence  # the snapshot with which it gets well again will have it
        if len(self._waiting) >= MOST_WAITING:
            # a disk that hangs neither takes nor fails: nothing more is gathered for it, a snapshot will have it all
            self._ail("too much waits for the disk", now)
            return self._sequence
        self._waiting += record(self._sequence, encode(fact))
        self._waiting_to = self._sequence
        return self._sequence

    def durable(self, sequence: int) -> bool:
        """Whether a fact, and all before it, is on disk."""
        return sequence <= self._durable

    @property
    def sequence(self) -> int:
        return self._sequence

    @property
    def well(self) -> bool:
        """Whether what is written now can be expected on disk soon."""
        return not self.ailing and len(self._waiting) < MOST_WAITING

    def close(self, now: int, spent: tuple[int, ...]) -> int:
        """A planned end: the last fact. The life ends once it is durable, or without it."""
        self._closing = True
        return self.write(now, Ended(self.at(now), spent))

    # ---- steps

    def commit(self, now: int) -> Step | None:
        """The next step of the first lane, None while there is none or one is out."""
        if self._busy["commit"] is not None or self.ailing:
            return None
        if self._healing and not self._closing:
            return None
        step: Step | None = None
        if not self._name or self._size >= SEGMENT and self._waiting:
            if self._waiting or not self._name:
                self._segment += 1
                name = segment_name(self._segment)
                step = Create(name, segment_head(self._segment, self._durable + 1))
        elif self._waiting:
            step = Append(self._name, bytes(self._waiting))
            self._out_to = self._waiting_to
            self._waiting.clear()
        elif now - self._last_passed > PASSED_EVERY and not self._closing:
            self._last_passed = now
            self.write(now, Passed(self.at(now)))
            return self.commit(now)
        self._busy["commit"] = step
        return step

    def wants_chore(self, now: int) -> bool:
        """Whether the second lane may have a step to give."""
        if self._busy["chore"] is not None or self.ailing and self._busy["commit"] is not None:
            return False  # while a commit is still out nobody can say up to where its file reaches
        if self.ailing and not self._healing and self._heal_at is not None and now < self._heal_at:
            return False
        return self._chores is not None or bool(self._old) or self._wants_snapshot()

    def chore(self, now: int) -> Step | None:
        """The next step of the second lane. Making it may take a millisecond: this is background work."""
        if not self.wants_chore(now):
            return None
        if self._chores is None and self._wants_snapshot():
            self._chores = self._snapshot()
        if self._chores is None and self._old:
            step: Step | None = Remove(self._old.pop())
        else:
            step = next(self._chores, None) if self._chores is not None else None
            if step is None:
                self._chores = None
        self._busy["chore"] = step
        return step

    def wake_at(self, now: int) -> int:
        """When to look for steps again although nothing came."""
        if self.ailing and self._heal_at is not None and now < self._heal_at:
            return self._heal_at
        return now + PASSED_EVERY

    def _wants_snapshot(self) -> bool:
        if self.ailing:
            return True
        due = self._since >= max(SNAP_LEAST, SNAP_PER_CODE * len(self.state.codes))
        return due and bool(self._name) and not self._closing

    def compact(self) -> None:
        """Write a snapshot at the next chance, whether it is due or not."""
        self._since = max(self._since, SNAP_LEAST, SNAP_PER_CODE * len(self.state.codes))

    def _snapshot(self) -> Iterator[Step]:
        """All steps of a snapshot, and of the removal of what it makes needless. While it is written facts go on
        coming; those are replayed over it."""
        if self.ailing:
            # nothing of what waits is in a file that may be trusted: all of it goes into the snapshot
            self._sequence += 1  # a snapshot of this number is there in no case
            self._healing = last = self._sequence
            self._waiting_to = self._out_to = self._sequence
            self._heal_at = None  # from here on facts gather again, for the segment that follows on the snapshot
        else:
            last = self._durable
        since, self._since = self._since, 0
        old = [name for name in self._files if name != self._name]
        final, part = snapshot_name(last), snapshot_name(last) + PART
        if final in self._files:
            return  # nothing came since
        done = False
        try:
            yield Remove(part)
            yield Create(part, snapshot_head(last))
            count, chunk = 0, bytearray()
            for count, fact in enumerate(self.state.facts(), 1):
                chunk += record(count, encode(fact))
                if len(chunk) >= CHUNK:
                    yield Append(part, bytes(chunk), sync=False)
                    chunk.clear()
            chunk += snapshot_tail(count)
            yield Append(part, bytes(chunk))
            yield Rename(part, final)
            done = True
        finally:
            if not done:
                self._since += since
        self.tally.snapshots += 1
        self._files.append(final)
        # what the snapshot holds is needed no more, but for the segment that is written, and those begun since
        for name in old:
            yield Remove(name)
            self._files.remove(name)

    # ---- what became of them

    def done(self, lane: str, now: int) -> bool:
        """The lane's step went well. Whether more is durable than before."""
        step, self._busy[lane] = self._busy[lane], None
        assert step is not None
        before = self._durable
        if lane == "commit":
            if isinstance(step, Create):
                if self.ailing:
                    return False  # begun before it ailed: its first sequence is not the one that will follow
                self._name, self._size = step.name, len(step.data)
                self._files.append(step.name)
            elif isinstance(step, Append):
                self._size += len(step.data)
                self._durable = max(self._durable, self._out_to)
                self.tally.commits += 1
                self.tally.bytes += len(step.data)
        elif isinstance(step, Rename) and self._healing:
            self._durable, self._healing = max(self._durable, self._healing), 0
            self.ailing, self._heal_wait = "", HEAL_FIRST
        return self._durable > before

    def failed(self, lane: str, text: str, now: int) -> None:
        """The lane's step failed. What it was to write counts as lost, and its file as unknown."""
        self._busy[lane] = None
        self.tally.failures += 1
        if lane == "chore":
            self._chores = None
            if not self._healing:
                return  # the journal goes on; the snapshot, or the removal, is tried again when one is due
        self._ail(text or "failed", now)

    def _ail(self, text: str, now: int) -> None:
        """No file may be written any more until all that is known went into a new snapshot."""
        self._name, self._healing = "", 0
        self._waiting.clear()  # `state` has it all, and the snapshot will
        self.ailing = text
        self._chores = None
        self._heal_at = now + self._heal_wait
        self._heal_wait = min(HEAL_MOST, 2 * self._heal_wait)
