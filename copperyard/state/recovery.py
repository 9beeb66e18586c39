"""From the files of a dead gateway to its state. Pure but for the `read` that is passed in.

What is kept is the longest prefix of facts that is certain: the newest whole snapshot, and all records after it without
a gap. What is dropped is said, each with its file and place. Dropping the end of the last write is no loss: nothing was
done yet that counted on it. Any other loss could break a rule (a code sent twice), and recovery says so; whoever
starts the gateway then must say that it may.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .facts import BadFact, decode
from .frames import (
    END,
    HEAD_SIZE,
    MAGIC_P,
    MAGIC_S,
    RECORD_SIZE,
    BadFrame,
    Head,
    Record,
    number_of,
    read_head,
    records,
    snapshot_body,
    whole_after,
)
from .ledger import State

Read = Callable[[str], bytes]


@dataclass(frozen=True, slots=True)
class Dropped:
    """Something that was not used, and why. `harm`: facts that were on disk may be missing because of it."""

    name: str
    text: str
    harm: bool


@dataclass(slots=True)
class Recovery:
    """What came of it. `sequence` is the last that the state holds, `segment` the highest number of a segment that
    there is, `newer` a file of a schema that this program cannot read."""

    state: State = field(default_factory=State)
    sequence: int = 0
    segment: int = 0
    replayed: int = 0
    unknown: int = 0
    snapshot: str = ""
    dropped: list[Dropped] = field(default_factory=list)
    newer: str = ""
    files: tuple[str, ...] = ()

    @property
    def harm(self) -> list[Dropped]:
        return [one for one in self.dropped if one.harm]

    def refusal(self, accept_loss: bool) -> str | None:
        """Why a gateway must not start on this, None where it may. A newer schema is never accepted: what it holds
        cannot be known."""
        if self.newer:
            return f"{self.newer}: written by a newer program"
        if self.harm and not accept_loss:
            return "; ".join(f"{one.name}: {one.text}" for one in self.harm[:3])
        return None


def recover(names: Iterable[str], read: Read) -> Recovery:
    """Read what there is. Files of other names are passed over. What `read` raises passes through, as a disk that
    cannot be read is not a damaged file."""
    found = Recovery(files=tuple(sorted(names)))
    ours = [(number_of(name), name) for name in found.files]
    snapshots = sorted(((kind[1], name) for kind, name in ours if kind and kind[0] == "snap"), reverse=True)
    segments = sorted((kind[1], name) for kind, name in ours if kind and kind[0] == "seg")
    found.segment = max((number for number, _ in segments), default=0)
    bad = _base(found, snapshots, read)
    if not found.newer:
        _replay(found, segments, read)
    # a snapshot that does not read is no loss where an older one, or none, and all records after it make up for it:
    # then the replay came at least as far as the snapshot had
    for last, drop in bad:
        found.dropped.append(Dropped(drop.name, drop.text, found.sequence < last))
    return found


def _base(found: Recovery, snapshots: list[tuple[int, str]], read: Read) -> list[tuple[int, Dropped]]:
    """Begin with the newest whole snapshot; those that are not whole, with the sequence that they claim."""
    bad: list[tuple[int, Dropped]] = []
    for last, name in snapshots:
        try:
            data = read(name)
            if read_head(data, MAGIC_P).first != last:
                raise BadFrame("its name and its header do not agree")
            state = State()
            for one in snapshot_body(data):
                _take(found, state, one)
            found.state, found.sequence, found.snapshot = state, last, name
            return bad
        except (BadFrame, BadFact) as error:
            if isinstance(error, BadFrame) and error.newer:
                found.newer = name
            bad.append((last, Dropped(name, str(error), True)))
    return bad


def _take(found: Recovery, state: State, one: Record) -> None:
    fact = decode(one.payload)
    if fact is None:
        found.unknown += 1
    else:
        state.apply(fact)


def _replay(found: Recovery, segments: list[tuple[int, str]], read: Read) -> None:
    """Apply the records after the snapshot, segment by segment, as long as each follows on the last."""
    for place, (number, name) in enumerate(segments):
        last = place == len(segments) - 1
        data = read(name)
        try:
            head = read_head(data, MAGIC_S)
        except BadFrame as error:
            if error.newer:
                found.newer = name
                return
            # a file that a crash left half made: nothing can follow it, or it was begun anew
            begun = last and not any(data[-64:])
            found.dropped.append(Dropped(name, str(error), not (last and len(data) < HEAD_SIZE or begun)))
            continue
        if head.number != number:
            found.dropped.append(Dropped(name, f"it says that it is segment {head.number}: a copy", False))
            continue
        if head.first > found.sequence + 1:
            found.dropped.append(
                Dropped(
                    name, f"it begins at {head.first}, {found.sequence + 1} would follow: a segment is missing", True
                )
            )
            return
        if not _segment(found, name, data, head, last):
            return


def _segment(found: Recovery, name: str, data: bytes, head: Head, last: bool) -> bool:
    """Apply one segment; whether the next one may follow."""
    expected, end = head.first, 0
    for one in records(data):
        if isinstance(one, str):
            _unreadable(found, name, data, end, one, last)
            return True  # the next segment says itself whether it follows: a new life begins a new segment
        if one.sequence != expected:
            found.dropped.append(Dropped(name, f"record {one.sequence} where {expected} would follow", True))
            return False
        expected, end = expected + 1, one.offset + RECORD_SIZE + len(one.payload)
        if one.sequence <= found.sequence:
            continue  # the snapshot has it, or a doubled segment had
        try:
            _take(found, found.state, one)
        except BadFact as error:
            found.dropped.append(Dropped(name, f"record {one.sequence}: {error}", True))
            return False
        found.sequence = one.sequence
        found.replayed += 1
    return True


def _unreadable(found: Recovery, name: str, data: bytes, end: int, text: str, last: bool) -> None:
    """Bytes that do not read. In the last segment they are the torn end of a write that never was acknowledged, if they
    look like one: cut off, or without the end that each record has. A whole record behind them, or a record of full
    length and with its end that fails its check, is damage to what was there."""
    if not last:
        found.dropped.append(Dropped(name, text, False))  # the next segment's first sequence tells whether it matters
        return
    end = end or HEAD_SIZE
    torn = "claims" in text or "less than" in text or not data.endswith(END)
    behind = whole_after(data, end, found.sequence)
    if behind is not None:
        text += f", though record {behind} behind it is whole"
    found.dropped.append(Dropped(name, text, behind is not None or not torn))
