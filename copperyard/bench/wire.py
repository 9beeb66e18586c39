"""The simulator's wire: frames to and from the types of interface.py.

Only translation happens here. Numbers that make no sense are passed on bounded to what their
type can hold (a count that is not a number becomes 0); what they mean is for decide.py.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .. import interface as api
from ..settings import report_of

HEADER = struct.Struct("<IQII")
REPLY = struct.Struct("<II")
RECORD = struct.Struct("<BI")
ENTRY = struct.Struct("<fIHHBBQ")

CREATE, MEMBERSHIP, REQ, OPENED, RETURNED, LEFT, WAKEUP, CHECKED, NEIGHBOUR = range(1, 10)
CRASH_NOW, CARRIED, NOTICE, TABLE = range(10, 14)
REPORT_FAILURE, PASS_ON, HEALTH_CHECK, RELOAD, NOT_NOW, SLEEP, SIGNAL, RECALL = range(65, 73)
RELEASE, PITCH, REDIRECT, BAIL_OUT, LOG, TRACK = range(73, 79)

ATTR_HINT, ATTR_MOVED, ATTR_AGAIN = 1, 8, 16


class MalformedFrame(Exception):
    """The bytes on standard input are not a frame of this wire."""


@dataclass(frozen=True, slots=True)
class Create:
    """A front starts."""

    seed: int
    options: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """A front is gone."""


WireEvent = tuple[int, Create | Crash | api.Event]


def _count(value: float) -> int:
    """A whole number carried as f32."""
    return int(value) if math.isfinite(value) else 0


class Fields:
    """Reads a record's fields in order."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes, at: int, end: int) -> None:
        self.data, self.at, self.end = data, at, end

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        start, self.at = self.at, self.at + layout.size
        if self.at > self.end:
            raise MalformedFrame("a record ends inside its fields")
        return layout.unpack_from(self.data, start)

    def raw(self, size: int) -> bytes:
        start, self.at = self.at, self.at + size
        if self.at > self.end:
            raise MalformedFrame("a record ends inside its fields")
        return self.data[start : self.at]


_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_U8 = struct.Struct("<B")
_CREATE = struct.Struct("<HQI")
_MEMBERSHIP = struct.Struct("<HQHB")
_REQ = struct.Struct("<HQBfQIQQffBQ")
_CARRIED = struct.Struct("<HQQQfQIBIQBff")
_OPENED = struct.Struct("<HQBIQ")
_NOTICE = struct.Struct("<HQBfIB")
_RETURNED = struct.Struct("<HQBIBQBB")
_LEFT = struct.Struct("<HQ")
_CHECKED = struct.Struct("<HIBQB")
_TABLE = struct.Struct("<HI")


class Decoder:
    """Turns frames into events. Remembers the shared lists and each front's report columns."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.columns: dict[int, tuple[str, ...]] = {}

    def _report(self, front: int, fields: Fields, n: int) -> api.Report | None:
        values = fields.take(struct.Struct(f"<{n}f"))
        if not n:
            return None
        return report_of(dict(zip(self.columns.get(front, ()), values, strict=False)))

    def batch(self, body: bytes, records: int) -> Iterator[WireEvent]:
        """Yield (front, event) in order; `body` is what follows the header."""
        at = 0
        for _ in range(records):
            if at + RECORD.size > len(body):
                raise MalformedFrame("the frame ends before its last record")
            code, size = RECORD.unpack_from(body, at)
            at += RECORD.size
            if at + size > len(body):
                raise MalformedFrame("a record is longer than its frame")
            found = self._record(code, Fields(body, at, at + size))
            at += size
            if found is not None:
                yield found
        if at != len(body):
            raise MalformedFrame("the frame is longer than its records")

    def _record(self, code: int, f: Fields) -> WireEvent | None:
        if code == REQ:
            (i, ref, cls, top, deadline, _tenant, hint, title, holders, home, attrs, _key) = f.take(_REQ)
            return i, _request(ref, cls, top, deadline, hint, title, holders, home, attrs)
        if code == RETURNED:
            i, ref, attempt, host, status, took, over, n = f.take(_RETURNED)
            return i, api.Outcome(ref, attempt, host, status, took, bool(over), self._report(i, f, n))
        if code == NOTICE:
            i, ref, kind, value, host, attempt = f.take(_NOTICE)
            return i, api.Note(ref, attempt, host, kind, value)
        if code == OPENED:
            i, ref, attempt, host, took = f.take(_OPENED)
            return i, api.Opened(ref, attempt, host, took)
        if code == WAKEUP:
            i, token = f.take(_LEFT)
            return i, api.Wake(token)
        if code == LEFT:
            i, ref = f.take(_LEFT)
            return i, api.Left(ref)
        if code == CHECKED:
            i, host, status, took, n = f.take(_CHECKED)
            return i, api.Probed(host, status, took, self._report(i, f, n))
        if code == CARRIED:
            (i, ref, hint, deadline, home, title, _tenant, cls, host, _key, attrs, top, holders) = f.take(_CARRIED)
            return i, api.Carried(_request(ref, cls, top, deadline, hint, title, holders, home, attrs), host)
        if code == MEMBERSHIP:
            i, _generation, table, scope = f.take(_MEMBERSHIP)
            if scope == api.ListKind.FAILED:
                return i, api.ServerList(scope)
            if table not in self.tables:
                raise MalformedFrame(f"membership names list {table}, which was never sent")
            return i, api.ServerList(scope, self.tables[table])
        if code == TABLE:
            number, n = f.take(_TABLE)
            self.tables[number] = tuple(_entry(*f.take(ENTRY)) for _ in range(n))
            return None
        if code == CREATE:
            i, seed, n = f.take(_CREATE)
            return i, Create(seed, f.raw(n))
        if code == CRASH_NOW:
            (i,) = f.take(_U16)
            return i, Crash()
        return None


def _entry(weight: float, host: int, kind: int, cell: int, zone: int, state: int, started: int) -> api.ServerEntry:
    return api.ServerEntry(host, weight if math.isfinite(weight) else 0.0, kind, cell, zone, state, started)


def _request(
    ref: int, cls: int, top: float, deadline: int, hint: int, title: int, holders: float, home: float, attrs: int
) -> api.Request:
    return api.Request(
        ref,
        cls,
        _count(top),
        deadline,
        title,
        _count(home),
        _count(holders),
        hint if attrs & ATTR_HINT else None,
        bool(attrs & ATTR_MOVED),
        bool(attrs & ATTR_AGAIN),
    )


_A_SEND = struct.Struct("<BIHQQI")
_A_TWO = struct.Struct("<BIHQQ")
_A_ONE = struct.Struct("<BIHQ")
_A_BYTE = struct.Struct("<BIHQB")
_A_HOST = struct.Struct("<BIHI")
_A_TEXT = struct.Struct("<BIHH")
_A_WANT = struct.Struct("<BIHB")


def _text(code: int, front: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:65535]
    return _A_TEXT.pack(code, 4 + len(data), front, len(data)) + data


def bail_out(front: int, text: str) -> bytes:
    """The record that ends the day with a text."""
    return _text(BAIL_OUT, front, text)


def encode(front: int, action: api.Action) -> bytes:
    """One action as a record."""
    if isinstance(action, api.Send):
        return _A_SEND.pack(PASS_ON, 22, front, action.ref, action.not_past, action.server)
    if isinstance(action, api.Rate):
        return _A_BYTE.pack(PITCH, 11, front, action.ref, action.rung)
    if isinstance(action, api.SetTimer):
        return _A_TWO.pack(SLEEP, 18, front, action.at, action.token)
    if isinstance(action, api.Refuse):
        return _A_TWO.pack(NOT_NOW, 18, front, action.ref, action.retry_after)
    if isinstance(action, api.Fail):
        return _A_ONE.pack(REPORT_FAILURE, 10, front, action.ref)
    if isinstance(action, api.Cancel):
        return _A_BYTE.pack(RECALL, 11, front, action.ref, action.attempt)
    if isinstance(action, api.Move):
        return _A_ONE.pack(REDIRECT, 10, front, action.ref)
    if isinstance(action, api.Probe):
        return _A_HOST.pack(HEALTH_CHECK, 6, front, action.server)
    if isinstance(action, api.Watch):
        return _A_WANT.pack(TRACK, 3, front, int(action.on))
    return _text(LOG, front, action.text)
