"""How facts lie in files: segments of records, and snapshots. Pure bytes.

    segment   MAGIC_S | major u8 | minor u8 | number u64 | first sequence u64 | check u64 | records
    record    length u32 | check u64 | sequence u64 | payload | END
    snapshot  MAGIC_P | major u8 | minor u8 | 0 u64 | last sequence u64 | check u64 | records | trailer
    trailer   MAGIC_E | count of records u64 | check u64

All numbers are little endian. A check is XXH3-64 over what stands before it in its header, and for a record over its
sequence and payload: a record that was copied to another place, or whose length was hit, does not pass. END tells a
write that was torn (the file grew, its bytes did not come) from a whole one that was damaged later. Sequences run
without a gap over all segments, so a segment that is missing or doubled shows. A snapshot without its trailer is
unfinished and counts for nothing. Its records number from 1.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from .facts import MAJOR, MAX_RECORD, MINOR

MAGIC_S, MAGIC_P, MAGIC_E = b"CYJS", b"CYJP", b"CYJE"
LOOK = 1 << 20  # bytes behind an unreadable record that are searched for a whole one
_HEAD = struct.Struct("<4sBBQQ")
_CHECK = struct.Struct("<Q")
_RECORD = struct.Struct("<IQ")
_SEQUENCE = struct.Struct("<Q")
_TAIL = struct.Struct("<4sQ")
END = b"\xa5"
TAIL_SIZE = _TAIL.size + _CHECK.size
HEAD_SIZE = _HEAD.size + _CHECK.size
RECORD_SIZE = _RECORD.size + _SEQUENCE.size + len(END)  # of an empty payload


class BadFrame(ValueError):
    """Bytes that are no segment or snapshot. `newer`: they are of a schema that this program does not read."""

    def __init__(self, text: str, newer: bool = False) -> None:
        super().__init__(text)
        self.newer = newer


@dataclass(frozen=True, slots=True)
class Head:
    """A segment's header: its number and the sequence of its first record. For a snapshot `number` is 0 and `first`
    the last sequence that it holds for certain."""

    number: int
    first: int
    minor: int


class Record(NamedTuple):
    """A record as it lies: where it begins, its sequence, its fact's bytes."""

    offset: int
    sequence: int
    payload: bytes


def _sum(data: bytes | memoryview) -> int:
    return int(xxhash.xxh3_64_intdigest(data))


def _head(magic: bytes, number: int, first: int, major: int = MAJOR, minor: int = MINOR) -> bytes:
    head = _HEAD.pack(magic, major, minor, number, first)
    return head + _CHECK.pack(_sum(head))


def segment_head(number: int, first: int) -> bytes:
    """The bytes with which segment `number` begins; `first` is the sequence of its first record."""
    return _head(MAGIC_S, number, first)


def record(sequence: int, payload: bytes) -> bytes:
    """A record's bytes. ValueError for a payload over MAX_RECORD."""
    if len(payload) > MAX_RECORD:
        raise ValueError(f"a record of {len(payload)} bytes: at most {MAX_RECORD} are kept")
    body = sequence.to_bytes(8, "little") + payload
    return _RECORD.pack(len(payload), _sum(body)) + body + END


def snapshot_head(last: int) -> bytes:
    """The bytes with which a snapshot begins that holds all up to sequence `last`."""
    return _head(MAGIC_P, 0, last)


def snapshot_tail(count: int) -> bytes:
    """The bytes with which a snapshot of `count` records ends."""
    tail = _TAIL.pack(MAGIC_E, count)
    return tail + _CHECK.pack(_sum(tail))


def read_head(data: bytes, magic: bytes) -> Head:
    """The header of a file. BadFrame where it is none."""
    if len(data) < HEAD_SIZE:
        raise BadFrame(f"only {len(data)} bytes of a header of {HEAD_SIZE}")
    found, major, minor, number, first = _HEAD.unpack_from(data)
    if found != magic:
        raise BadFrame(f"begins with {found!r}, not {magic!r}")
    if _CHECK.unpack_from(data, _HEAD.size)[0] != _sum(bytes(data[: _HEAD.size])):
        raise BadFrame("its header's check does not hold")
    if major != MAJOR:
        raise BadFrame(f"schema {major}.{minor}; this program reads {MAJOR}.x", newer=major > MAJOR)
    return Head(number, first, minor)


def records(data: bytes, offset: int = HEAD_SIZE) -> Iterator[Record | str]:
    """The records that lie one after another, as far as they are whole; then, where bytes are left, why not."""
    size, view, head = len(data), memoryview(data), _RECORD.size
    while offset < size:
        if size - offset < RECORD_SIZE:
            yield f"{size - offset} bytes at {offset} are less than a record's header"
            return
        length, check = _RECORD.unpack_from(data, offset)
        begin = offset + head
        end = begin + 8 + length
        if length > MAX_RECORD or end + 1 > size:
            yield f"the record at {offset} claims {length} bytes, {size - begin - 8} follow"
            return
        if _sum(view[begin:end]) != check:
            yield f"the check of the record at {offset} does not hold"
            return
        yield Record(offset, _SEQUENCE.unpack_from(data, begin)[0], data[begin + 8 : end])
        offset = end + 1


def whole_after(data: bytes, offset: int, beyond: int) -> int | None:
    """The sequence of a whole record of more than `beyond` that lies somewhere after `offset`: then what does not read
    there is no torn end but damage within. A torn write leaves nothing whole behind it."""
    # a wrong guess passes a 64-bit check once in 10^19: no need to look for neighbours
    for at in range(offset + 1, min(offset + LOOK, len(data) - RECORD_SIZE + 1)):
        length, check = _RECORD.unpack_from(data, at)
        begin = at + _RECORD.size
        sequence, end = _SEQUENCE.unpack_from(data, begin)[0], begin + 8 + length
        if beyond < sequence < beyond + (1 << 32) and end < len(data) and _sum(data[begin:end]) == check:
            return int(sequence)
    return None


def snapshot_body(data: bytes) -> Iterator[Record]:
    """All records of a finished snapshot. BadFrame, perhaps after some of them, where it is not whole."""
    read_head(data, MAGIC_P)
    at = len(data) - TAIL_SIZE
    if (
        at < HEAD_SIZE
        or data[at : at + len(MAGIC_E)] != MAGIC_E
        or _CHECK.unpack_from(data, at + _TAIL.size)[0] != _sum(data[at : at + _TAIL.size])
    ):
        raise BadFrame("unfinished: it has no trailer")
    count = 0
    for one in records(data[:at]):
        if isinstance(one, str):
            raise BadFrame(one)
        count += 1
        if one.sequence != count:
            raise BadFrame(f"record {count} is numbered {one.sequence}")
        yield one
    if count != _TAIL.unpack_from(data, at)[1]:
        raise BadFrame(f"{count} records of {_TAIL.unpack_from(data, at)[1]}")


def segment_name(number: int) -> str:
    return f"journal-{number:012d}.seg"


def snapshot_name(last: int) -> str:
    return f"snapshot-{last:016d}.snap"


def number_of(name: str) -> tuple[str, int] | None:
    """The kind ("seg" or "snap") and number of a file of ours, None for any other."""
    for prefix, suffix, digits in (("journal-", "seg", 12), ("snapshot-", "snap", 16)):
        middle = name.removeprefix(prefix).removesuffix(f".{suffix}")
        if name == f"{prefix}{middle}.{suffix}" and len(middle) == digits and middle.isascii() and middle.isdigit():
            return suffix, int(middle)
    return None
