"""The simulator's wire format: frames to and from the types of interface.py.

Only translates. Values out of range are bounded to what their type can hold (a count that is not a number becomes 0);
decide.py decides what they mean. The names of events and actions are the simulator's.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .. import interface as api
from ..settings import make_report

HEADER = struct.Struct("<IQII")
REPLY = struct.Struct("<II")
RECORD = struct.Struct("<BI")
ENTRY = struct.Struct("<fIHHBBQ")

CREATE, MEMBERSHIP, REQ, OPENED, RETURNED, LEFT, WAKEUP, CHECKED, NEIGHBOUR = range(1, 10)
CRASH_NOW, CARRIED, NOTICE, TABLE = range(10, 14)
REPORT_FAILURE, PASS_ON, HEALTH_CHECK, RELOAD, NOT_NOW, SLEEP, SIGNAL, RECALL = range(65, 73)
RELEASE, PITCH, REDIRECT, BAIL_OUT, LOG, TRACK = range(73, 79)

ATTR_HINT, ATTR_MOVED, ATTR_AGAIN = 1, 8, 16


class MalformedFrameError(Exception):
    """The input is not a valid frame."""


@dataclass(frozen=True, slots=True)
class Create:
    """Start a front with a seed and its settings object (JSON)."""

    seed: int
    options: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """A front has crashed."""


WireEvent = tuple[int, Create | Crash | api.Event]


def _finite_int(value: float) -> int:
    """A count that is encoded as f32; 0 if it is not finite."""
    return int(value) if math.isfinite(value) else 0


class RecordReader:
    """Reads the fields of a record in order; MalformedFrameError if the record is too short."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes, at: int, end: int) -> None:
        self.data, self.at, self.end = data, at, end

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields, by their layout."""
        start, self.at = self.at, self.at + layout.size
        if self.at > self.end:
            raise MalformedFrameError("a record ends inside its fields")
        return layout.unpack_from(self.data, start)

    def take_bytes(self, size: int) -> bytes:
        """The next `size` bytes."""
        start, self.at = self.at, self.at + size
        if self.at > self.end:
            raise MalformedFrameError("a record ends inside its fields")
        return self.data[start : self.at]


_FRONT_LAYOUT = struct.Struct("<H")
_U32 = struct.Struct("<I")
_U8 = struct.Struct("<B")
_CREATE_LAYOUT = struct.Struct("<HQI")
_MEMBERSHIP_LAYOUT = struct.Struct("<HQHB")
_REQ_LAYOUT = struct.Struct("<HQBfQIQQffBQ")
_CARRIED_LAYOUT = struct.Struct("<HQQQfQIBIQBff")
_OPENED_LAYOUT = struct.Struct("<HQBIQ")
_NOTICE_LAYOUT = struct.Struct("<HQBfIB")
_RETURNED_LAYOUT = struct.Struct("<HQBIBQBB")
_FRONT_U64_LAYOUT = struct.Struct("<HQ")
_CHECKED_LAYOUT = struct.Struct("<HIBQB")
_TABLE_LAYOUT = struct.Struct("<HI")


class Decoder:
    """Decodes frames into events. Keeps the shared server lists and the report columns of each front."""

    def __init__(self) -> None:
        self.server_lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.columns: dict[int, tuple[str, ...]] = {}

    def _report(self, front: int, fields: RecordReader, count: int) -> api.Report | None:
        values = fields.unpack(struct.Struct(f"<{count}f"))
        if not count:
            return None
        return make_report(dict(zip(self.columns.get(front, ()), values, strict=False)))

    def decode(self, body: bytes, records: int) -> Iterator[WireEvent]:
        """Yield (front, event) in order; `body` is the frame without its header."""
        at = 0
        for _ in range(records):
            if at + RECORD.size > len(body):
                raise MalformedFrameError("the frame ends before its last record")
            code, size = RECORD.unpack_from(body, at)
            at += RECORD.size
            if at + size > len(body):
                raise MalformedFrameError("a record is longer than its frame")
            event = self._decode_record(code, RecordReader(body, at, at + size))
            at += size
            if event is not None:
                yield event
        if at != len(body):
            raise MalformedFrameError("the frame is longer than its records")

    def _decode_record(self, code: int, fields: RecordReader) -> WireEvent | None:
        if code == REQ:
            (front, ref, cls, top, deadline, _tenant, hint, title, holders, home, attrs, _key) = fields.unpack(
                _REQ_LAYOUT
            )
            return front, _request(ref, cls, top, deadline, hint, title, holders, home, attrs)
        if code == RETURNED:
            front, ref, attempt, host, status, took, over, count = fields.unpack(_RETURNED_LAYOUT)
            return front, api.Outcome(ref, attempt, host, status, took, bool(over), self._report(front, fields, count))
        if code == NOTICE:
            front, ref, kind, value, host, attempt = fields.unpack(_NOTICE_LAYOUT)
            return front, api.SessionNotice(ref, attempt, host, kind, value)
        if code == OPENED:
            front, ref, attempt, host, took = fields.unpack(_OPENED_LAYOUT)
            return front, api.SessionOpened(ref, attempt, host, took)
        if code == WAKEUP:
            front, token = fields.unpack(_FRONT_U64_LAYOUT)
            return front, api.TimerDue(token)
        if code == LEFT:
            front, ref = fields.unpack(_FRONT_U64_LAYOUT)
            return front, api.ViewerLeft(ref)
        if code == CHECKED:
            front, host, status, took, count = fields.unpack(_CHECKED_LAYOUT)
            return front, api.ProbeResult(host, status, took, self._report(front, fields, count))
        if code == CARRIED:
            (front, ref, hint, deadline, home, title, _tenant, cls, host, _key, attrs, top, holders) = fields.unpack(
                _CARRIED_LAYOUT
            )
            return front, api.CarriedSession(_request(ref, cls, top, deadline, hint, title, holders, home, attrs), host)
        if code == MEMBERSHIP:
            front, _generation, table, scope = fields.unpack(_MEMBERSHIP_LAYOUT)
            if scope == api.ListKind.FAILED:
                return front, api.ServerList(scope)
            if table not in self.server_lists:
                raise MalformedFrameError(f"membership refers to list {table}, which was not sent")
            return front, api.ServerList(scope, self.server_lists[table])
        if code == TABLE:
            number, count = fields.unpack(_TABLE_LAYOUT)
            self.server_lists[number] = tuple(_entry(*fields.unpack(ENTRY)) for _ in range(count))
            return None
        if code == CREATE:
            front, seed, count = fields.unpack(_CREATE_LAYOUT)
            return front, Create(seed, fields.take_bytes(count))
        if code == CRASH_NOW:
            (front,) = fields.unpack(_FRONT_LAYOUT)
            return front, Crash()
        return None


def _entry(weight: float, host: int, kind: int, cell: int, zone: int, state: int, started: int) -> api.ServerEntry:
    return api.ServerEntry(host, weight if math.isfinite(weight) else 0.0, kind, cell, zone, state, started)


def _request(
    ref: int, cls: int, top: float, deadline: int, hint: int, title: int, holders: float, home: float, attrs: int
) -> api.Request:
    return api.Request(
        ref,
        cls,
        _finite_int(top),
        deadline,
        title,
        _finite_int(home),
        _finite_int(holders),
        hint if attrs & ATTR_HINT else None,
        bool(attrs & ATTR_MOVED),
        bool(attrs & ATTR_AGAIN),
    )


_SEND_LAYOUT = struct.Struct("<BIHQQI")
_TWO_U64_LAYOUT = struct.Struct("<BIHQQ")
_U64_LAYOUT = struct.Struct("<BIHQ")
_U64_U8_LAYOUT = struct.Struct("<BIHQB")
_U32_LAYOUT = struct.Struct("<BIHI")
_TEXT_LAYOUT = struct.Struct("<BIHH")
_U8_LAYOUT = struct.Struct("<BIHB")


def _text(code: int, front: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:65535]
    return _TEXT_LAYOUT.pack(code, 4 + len(data), front, len(data)) + data


def bail_out(front: int, text: str) -> bytes:
    """A record that aborts the simulation with a message."""
    return _text(BAIL_OUT, front, text)


def encode(front: int, action: api.Action) -> bytes:
    """Encode an action as a record."""
    if isinstance(action, api.Send):
        return _SEND_LAYOUT.pack(PASS_ON, 22, front, action.ref, action.deadline, action.server)
    if isinstance(action, api.SetRung):
        return _U64_U8_LAYOUT.pack(PITCH, 11, front, action.ref, action.rung)
    if isinstance(action, api.SetTimer):
        return _TWO_U64_LAYOUT.pack(SLEEP, 18, front, action.at, action.token)
    if isinstance(action, api.Refuse):
        return _TWO_U64_LAYOUT.pack(NOT_NOW, 18, front, action.ref, action.retry_after)
    if isinstance(action, api.Fail):
        return _U64_LAYOUT.pack(REPORT_FAILURE, 10, front, action.ref)
    if isinstance(action, api.Cancel):
        return _U64_U8_LAYOUT.pack(RECALL, 11, front, action.ref, action.attempt)
    if isinstance(action, api.Move):
        return _U64_LAYOUT.pack(REDIRECT, 10, front, action.ref)
    if isinstance(action, api.Probe):
        return _U32_LAYOUT.pack(HEALTH_CHECK, 6, front, action.server)
    if isinstance(action, api.Subscribe):
        return _U8_LAYOUT.pack(TRACK, 3, front, int(action.on))
    return _text(LOG, front, action.text)
