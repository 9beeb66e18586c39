"""The file formats of the journal: segments of records, and snapshots. Pure encoding, no I/O.

    segment   MAGIC_S | major u8 | minor u8 | number u64 | first sequence u64 | check u64 | records
    record    length u32 | check u64 | sequence u64 | payload | END
    snapshot  MAGIC_P | major u8 | minor u8 | 0 u64 | last sequence u64 | check u64 | records | trailer
    trailer   MAGIC_E | count of records u64 | check u64

All numbers are little endian. A check is an XXH3-64 checksum: in a header of all bytes before it, in a record of its
sequence and payload, so a record that was copied to another place or has a damaged length fails it. END distinguishes a
torn write (the file grew, but the data was not written) from a complete one that was damaged later. Sequences run
without gaps over all segments, which reveals missing and duplicated segments. A snapshot without its trailer is
unfinished and ignored. Its records are numbered from 1.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from .facts import MAJOR, MAX_RECORD_BYTES, MINOR

SEGMENT_MAGIC, SNAPSHOT_MAGIC, TRAILER_MAGIC = b"CYJS", b"CYJP", b"CYJE"
MAX_SCAN_BYTES = 1 << 20  # searched for an intact record behind an unreadable one
_HEAD = struct.Struct("<4sBBQQ")
_CHECK = struct.Struct("<Q")
_RECORD = struct.Struct("<IQ")
_SEQUENCE = struct.Struct("<Q")
_TAIL = struct.Struct("<4sQ")
RECORD_END = b"\xa5"
TAIL_SIZE = _TAIL.size + _CHECK.size
HEAD_SIZE = _HEAD.size + _CHECK.size
RECORD_SIZE = _RECORD.size + _SEQUENCE.size + len(RECORD_END)  # of a record with an empty payload


class FileFormatError(ValueError):
    """Not a valid segment or snapshot. `newer`: written in a newer schema that this program cannot read."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


@dataclass(frozen=True, slots=True)
class Head:
    """The header of a segment: its number and the sequence of its first record.

    For a snapshot `number` is 0, and `first` is the last sequence that it is sure to contain.
    """

    number: int
    first: int
    minor: int


class Record(NamedTuple):
    """A record in a file: its offset, its sequence, its fact as bytes."""

    offset: int
    sequence: int
    payload: bytes


def _sum(data: bytes | memoryview) -> int:
    return int(xxhash.xxh3_64_intdigest(data))


def _head(magic: bytes, number: int, first: int, major: int = MAJOR, minor: int = MINOR) -> bytes:
    head = _HEAD.pack(magic, major, minor, number, first)
    return head + _CHECK.pack(_sum(head))


def segment_head(number: int, first: int) -> bytes:
    """The header of segment `number`; `first` is the sequence of its first record."""
    return _head(SEGMENT_MAGIC, number, first)


def record(sequence: int, payload: bytes) -> bytes:
    """A record as bytes. ValueError for a payload of more than MAX_RECORD_BYTES."""
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(payload)} bytes: at most {MAX_RECORD_BYTES} are kept")
    body = sequence.to_bytes(8, "little") + payload
    return _RECORD.pack(len(payload), _sum(body)) + body + RECORD_END


def snapshot_head(last: int) -> bytes:
    """The header of a snapshot of the facts up to sequence `last`."""
    return _head(SNAPSHOT_MAGIC, 0, last)


def snapshot_tail(count: int) -> bytes:
    """The trailer of a snapshot of `count` records."""
    tail = _TAIL.pack(TRAILER_MAGIC, count)
    return tail + _CHECK.pack(_sum(tail))


def read_head(data: bytes, magic: bytes) -> Head:
    """Parse the header of a file. FileFormatError if it is invalid."""
    if len(data) < HEAD_SIZE:
        raise FileFormatError(f"only {len(data)} bytes of a header of {HEAD_SIZE}")
    found, major, minor, number, first = _HEAD.unpack_from(data)
    if found != magic:
        raise FileFormatError(f"begins with {found!r}, not {magic!r}")
    if _CHECK.unpack_from(data, _HEAD.size)[0] != _sum(bytes(data[: _HEAD.size])):
        raise FileFormatError("its header's check does not hold")
    if major != MAJOR:
        raise FileFormatError(f"schema {major}.{minor}; this program reads {MAJOR}.x", newer=major > MAJOR)
    return Head(number, first, minor)


def records(data: bytes, offset: int = HEAD_SIZE) -> Iterator[Record | str]:
    """The records up to the first unreadable one; then, if bytes are left, a text that says what is wrong with them."""
    size, view, head = len(data), memoryview(data), _RECORD.size
    while offset < size:
        if size - offset < RECORD_SIZE:
            yield f"{size - offset} bytes at {offset} are less than a record's header"
            return
        length, check = _RECORD.unpack_from(data, offset)
        begin = offset + head
        end = begin + 8 + length
        if length > MAX_RECORD_BYTES or end + 1 > size:
            yield f"the record at {offset} claims {length} bytes, {size - begin - 8} follow"
            return
        if _sum(view[begin:end]) != check:
            yield f"the check of the record at {offset} does not hold"
            return
        yield Record(offset, _SEQUENCE.unpack_from(data, begin)[0], data[begin + 8 : end])
        offset = end + 1


def find_intact_record(data: bytes, offset: int, beyond: int) -> int | None:
    """The sequence, above `beyond`, of an intact record somewhere after `offset`; None if there is none.

    A torn write leaves no intact record behind it, so one that is found shows that the bytes before it were damaged.
    """
    # random bytes pass a 64-bit checksum once in 10^19 tries, so a match needs no further confirmation
    for position in range(offset + 1, min(offset + MAX_SCAN_BYTES, len(data) - RECORD_SIZE + 1)):
        length, check = _RECORD.unpack_from(data, position)
        begin = position + _RECORD.size
        sequence, end = _SEQUENCE.unpack_from(data, begin)[0], begin + 8 + length
        if beyond < sequence < beyond + (1 << 32) and end < len(data) and _sum(data[begin:end]) == check:
            return int(sequence)
    return None


def snapshot_records(data: bytes) -> Iterator[Record]:
    """All records of a finished snapshot. FileFormatError, perhaps after some records, if it is incomplete."""
    read_head(data, SNAPSHOT_MAGIC)
    at = len(data) - TAIL_SIZE
    if (
        at < HEAD_SIZE
        or data[at : at + len(TRAILER_MAGIC)] != TRAILER_MAGIC
        or _CHECK.unpack_from(data, at + _TAIL.size)[0] != _sum(data[at : at + _TAIL.size])
    ):
        raise FileFormatError("unfinished: it has no trailer")
    count = 0
    for found in records(data[:at]):
        if isinstance(found, str):
            raise FileFormatError(found)
        count += 1
        if found.sequence != count:
            raise FileFormatError(f"record {count} is numbered {found.sequence}")
        yield found
    if count != _TAIL.unpack_from(data, at)[1]:
        raise FileFormatError(f"{count} records of {_TAIL.unpack_from(data, at)[1]}")


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"journal-{number:012d}.seg"


def snapshot_name(last: int) -> str:
    """The file name of a snapshot of the facts up to sequence `last`."""
    return f"snapshot-{last:016d}.snap"


def parse_file_name(name: str) -> tuple[str, int] | None:
    """The kind ("seg" or "snap") and number in the name of a journal file; None for other files."""
    for prefix, suffix, digits in (("journal-", "seg", 12), ("snapshot-", "snap", 16)):
        middle = name.removeprefix(prefix).removesuffix(f".{suffix}")
        if name == f"{prefix}{middle}.{suffix}" and len(middle) == digits and middle.isascii() and middle.isdigit():
            return suffix, int(middle)
    return None
