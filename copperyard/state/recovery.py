"""Recovers the state from the files of a stopped gateway. Does no I/O but for the `read` that is passed in.

Kept is the longest prefix of facts that is certain: the newest complete snapshot, and all records after it without a
gap. Everything dropped is reported with its file and the reason. A torn tail is no loss: nothing was done yet that
relied on it. Any other loss could break a rule (a code sent twice); it is reported as such, and the gateway starts only
if the operator accepts it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .durable_state import DurableState
from .facts import FactError, decode
from .file_format import (
    HEAD_SIZE,
    RECORD_END,
    RECORD_SIZE,
    SEGMENT_MAGIC,
    SNAPSHOT_MAGIC,
    FileFormatError,
    Head,
    Record,
    find_intact_record,
    parse_file_name,
    read_head,
    records,
    snapshot_records,
)

ReadFile = Callable[[str], bytes]


@dataclass(frozen=True, slots=True)
class Dropped:
    """Data that was not used, and why. `harm`: facts that were on disk may be missing because of it."""

    name: str
    text: str
    harm: bool


@dataclass(slots=True)
class Recovery:
    """The result of a recovery.

    `sequence` is that of the last fact in the state, `segment` the highest segment number on disk, `replayed` the
    number of records applied after the snapshot, `unknown` the number of facts of unknown kind, `newer` a file whose
    schema is too new for this program.
    """

    state: DurableState = field(default_factory=DurableState)
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
        """The dropped data because of which facts may be missing."""
        return [one for one in self.dropped if one.harm]

    def refusal(self, accept_loss: bool) -> str | None:
        """Why a gateway must not start on this state; None if it may.

        Data in a newer schema is never accepted, as its contents are unknown.
        """
        if self.newer:
            return f"{self.newer}: written by a newer program"
        if self.harm and not accept_loss:
            return "; ".join(f"{one.name}: {one.text}" for one in self.harm[:3])
        return None


def recover(names: Iterable[str], read: ReadFile) -> Recovery:
    """Recover from the named files; those with unrelated names are ignored.

    Exceptions of `read` pass through: a disk that cannot be read is not a damaged file.
    """
    recovery = Recovery(files=tuple(sorted(names)))
    parsed = [(parse_file_name(name), name) for name in recovery.files]
    snapshots = sorted(((kind[1], name) for kind, name in parsed if kind and kind[0] == "snap"), reverse=True)
    segments = sorted((kind[1], name) for kind, name in parsed if kind and kind[0] == "seg")
    recovery.segment = max((number for number, _ in segments), default=0)
    bad_snapshots = _load_snapshot(recovery, snapshots, read)
    if not recovery.newer:
        _replay(recovery, segments, read)
    # an unreadable snapshot is no loss if the replay, from an older one or from the start, got at least as far
    for last, drop in bad_snapshots:
        recovery.dropped.append(Dropped(drop.name, drop.text, recovery.sequence < last))
    return recovery


def _load_snapshot(recovery: Recovery, snapshots: list[tuple[int, str]], read: ReadFile) -> list[tuple[int, Dropped]]:
    """Load the newest complete snapshot. The unreadable newer ones, each with the sequence that its name claims."""
    bad_snapshots: list[tuple[int, Dropped]] = []
    for last, name in snapshots:
        try:
            data = read(name)
            if read_head(data, SNAPSHOT_MAGIC).first != last:
                raise FileFormatError("its name and its header do not agree")
            state = DurableState()
            for record in snapshot_records(data):
                _apply_record(recovery, state, record)
            recovery.state, recovery.sequence, recovery.snapshot = state, last, name
            return bad_snapshots
        except (FileFormatError, FactError) as error:
            if isinstance(error, FileFormatError) and error.newer:
                recovery.newer = name
            bad_snapshots.append((last, Dropped(name, str(error), True)))
    return bad_snapshots


def _apply_record(recovery: Recovery, state: DurableState, record: Record) -> None:
    fact = decode(record.payload)
    if fact is None:
        recovery.unknown += 1
    else:
        state.apply(fact)


def _replay(recovery: Recovery, segments: list[tuple[int, str]], read: ReadFile) -> None:
    """Apply the records after the snapshot, segment by segment, up to the first gap."""
    for place, (number, name) in enumerate(segments):
        last = place == len(segments) - 1
        data = read(name)
        try:
            head = read_head(data, SEGMENT_MAGIC)
        except FileFormatError as error:
            if error.newer:
                recovery.newer = name
                return
            # the last file, if cut off within its header or ending in zeros, was being created at the crash
            zero_filled = last and not any(data[-64:])
            recovery.dropped.append(Dropped(name, str(error), not (last and len(data) < HEAD_SIZE or zero_filled)))
            continue
        if head.number != number:
            recovery.dropped.append(Dropped(name, f"it says that it is segment {head.number}: a copy", False))
            continue
        if head.first > recovery.sequence + 1:
            recovery.dropped.append(
                Dropped(
                    name, f"it begins at {head.first}, {recovery.sequence + 1} would follow: a segment is missing", True
                )
            )
            return
        if not _replay_segment(recovery, name, data, head, last):
            return


def _replay_segment(recovery: Recovery, name: str, data: bytes, head: Head, last: bool) -> bool:
    """Apply one segment. Whether to go on with the next one."""
    expected, end = head.first, 0
    for record in records(data):
        if isinstance(record, str):
            _drop_unreadable(recovery, name, data, end, record, last)
            return True  # each process start begins a segment, so the next one may follow; its header tells
        if record.sequence != expected:
            recovery.dropped.append(Dropped(name, f"record {record.sequence} where {expected} would follow", True))
            return False
        expected, end = expected + 1, record.offset + RECORD_SIZE + len(record.payload)
        if record.sequence <= recovery.sequence:
            continue  # in the snapshot, or in a duplicate of this segment
        try:
            _apply_record(recovery, recovery.state, record)
        except FactError as error:
            recovery.dropped.append(Dropped(name, f"record {record.sequence}: {error}", True))
            return False
        recovery.sequence = record.sequence
        recovery.replayed += 1
    return True


def _drop_unreadable(recovery: Recovery, name: str, data: bytes, end: int, text: str, last: bool) -> None:
    """Report unreadable bytes of a segment.

    In the last segment they may be the torn tail of an unacknowledged write: cut off, or without the end byte of a
    record. An intact record behind them, or a complete record that only fails its checksum, means damage instead.
    """
    if not last:
        # the first sequence of the next segment tells whether facts are missing
        recovery.dropped.append(Dropped(name, text, False))
        return
    end = end or HEAD_SIZE
    # these words stand in the texts for data that is cut off
    torn = "claims" in text or "less than" in text or not data.endswith(RECORD_END)
    intact = find_intact_record(data, end, recovery.sequence)
    if intact is not None:
        text += f", though record {intact} behind it is whole"
    recovery.dropped.append(Dropped(name, text, intact is not None or not torn))
