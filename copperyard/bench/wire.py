"""The simulator's wire: frames and settings to and from the types of interface.py.

Only translation happens here. Numbers that make no sense are passed on bounded to what their
type can hold (a count that is not a number becomes 0); what they mean is for decide.py.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .. import interface as api

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


def _figure(value: float) -> float | None:
    return value if math.isfinite(value) else None


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
        return self.data[start:self.at]


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
        by_name = dict(zip(self.columns.get(front, ()), map(_figure, values), strict=False))
        link = by_name.get("x0")
        return api.Report(link if link is not None else by_name.get("busy"), by_name.get("x1"),
                          by_name.get("rif"))

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
            (i, ref, hint, deadline, home, title, _tenant, cls, host, _key, attrs, top,
             holders) = f.take(_CARRIED)
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


def _entry(weight: float, host: int, kind: int, cell: int, zone: int, state: int,
           started: int) -> api.ServerEntry:
    return api.ServerEntry(host, weight if math.isfinite(weight) else 0.0, kind, cell, zone, state, started)


def _request(ref: int, cls: int, top: float, deadline: int, hint: int, title: int, holders: float,
             home: float, attrs: int) -> api.Request:
    return api.Request(ref, cls, _count(top), deadline, title, _count(home), _count(holders),
                       hint if attrs & ATTR_HINT else None, bool(attrs & ATTR_MOVED),
                       bool(attrs & ATTR_AGAIN))


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


class _Reader:
    """Takes checked values out of the settings object; says which key is at fault."""

    def __init__(self, raw: dict[str, Any], path: str = "") -> None:
        self.raw, self.path = raw, path

    def _fault(self, key: str, what: str) -> ValueError:
        return ValueError(f"settings: {self.path}{key} {what}")

    def part(self, key: str, optional: bool = False) -> _Reader:
        value = self.raw.get(key, {} if optional else None)
        if not isinstance(value, dict):
            raise self._fault(key, "is missing" if value is None else "is not an object")
        return _Reader(value, f"{self.path}{key}.")

    def number(self, key: str, low: float = 0.0, default: float | None = None) -> float:
        value = self.raw.get(key, default)
        if value is None:
            raise self._fault(key, "is missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise self._fault(key, "is not a number")
        if value < low:
            raise self._fault(key, f"is under {low:g}")
        return float(value)

    def whole(self, key: str, low: int = 0, default: int | None = None) -> int:
        value = self.number(key, low, default)
        raw = self.raw.get(key, default)
        return raw if isinstance(raw, int) else int(value)

    def flag(self, key: str, default: bool = False) -> bool:
        value = self.raw.get(key, default)
        if not isinstance(value, bool):
            raise self._fault(key, "is not true or false")
        return value

    def text(self, key: str, default: str) -> str:
        value = self.raw.get(key, default)
        if not isinstance(value, str):
            raise self._fault(key, "is not a text")
        return value

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        value = self.raw.get(key, default)
        if not isinstance(value, list):
            raise self._fault(key, "is missing" if value is None else "is not a list")
        return value

    def numbers(self, key: str, low: float = 0.0, default: list[float] | None = None) -> tuple[float, ...]:
        values = self.items(key, default)
        for value in values:
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) \
                    or value < low:
                raise self._fault(key, f"holds something that is not a number of {low:g} or more")
        return tuple(float(value) for value in values)


_EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}


def _classes(top: _Reader, extra: _Reader, rungs: int) -> tuple[api.ClassSettings, ...]:
    raw = top.items("classes")
    n = len(raw)
    if not n:
        raise ValueError("settings: classes is empty")
    floors = extra.numbers("floorByClass", default=[0.0] * n)
    tops = extra.numbers("topByClass", default=[rungs - 1.0] * n)
    scales = extra.numbers("scaleByClass", default=[1.0] * n)
    seats = extra.numbers("classSeats", default=[0.0] * n)
    live = extra.items("live", default=[False] * n)
    for key, column in (("floorByClass", floors), ("topByClass", tops), ("scaleByClass", scales),
                        ("classSeats", seats), ("live", live)):
        if len(column) != n:
            raise ValueError(f"settings: extra.{key} has {len(column)} values for {n} classes")
    found = []
    for k in range(n):
        if not isinstance(raw[k], dict):
            raise ValueError(f"settings: classes[{k}] is not an object")
        one = _Reader(raw[k], f"classes[{k}].")
        effect = one.text("effect", "unsafe")
        if effect not in _EFFECTS:
            raise ValueError(f"settings: classes[{k}].effect is unknown: {effect}")
        if floors[k] >= rungs:
            raise ValueError(f"settings: extra.floorByClass[{k}] is above the ladder")
        if floors[k] > tops[k]:
            raise ValueError(f"settings: extra.floorByClass[{k}] is above extra.topByClass")
        if scales[k] <= 0:
            raise ValueError(f"settings: extra.scaleByClass[{k}] is not above 0")
        deadline = one.whole("hardLimit", 1)
        found.append(api.ClassSettings(
            one.text("name", str(k)), one.whole("aim", 1), deadline, one.number("credit", default=1.0),
            _EFFECTS[effect], int(floors[k]), min(int(tops[k]), rungs - 1), scales[k], int(seats[k]),
            bool(live[k])))
    return tuple(found)


def parse_settings(options: bytes) -> api.Settings:
    """The settings object as Settings; ValueError names the key that is missing or wrong."""
    try:
        raw = json.loads(options.decode("utf-8"))
    except (UnicodeDecodeError, ValueError, RecursionError) as error:
        raise ValueError(f"settings: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ValueError("settings: not an object")
    top = _Reader(raw)
    extra, ceilings, contract = top.part("extra"), top.part("ceilings"), top.part("contract")
    penalties, reporting = top.part("penalties", True), top.part("reporting", True)
    rung_kb = extra.numbers("rungKb")
    worth = extra.numbers("levelWorth")
    if not rung_kb or len(worth) != len(rung_kb):
        raise ValueError("settings: extra.levelWorth and extra.rungKb differ in length or are empty")
    if any(b <= a for a, b in zip((0.0, *rung_kb), rung_kb, strict=False)):
        raise ValueError("settings: extra.rungKb does not rise")
    places = extra.numbers("placesByKind", 1.0)
    if not places:
        raise ValueError("settings: extra.placesByKind is empty")
    rationed = "freeResends" in contract.raw or "furtherRatio" in contract.raw
    columns = reporting.items("columns", default=[])
    via = reporting.text("via", "silent")
    mode = top.text("membershipMode", "automatic")
    if mode not in ("automatic", "subscribe"):
        raise ValueError(f"settings: membershipMode is unknown: {mode}")
    return api.Settings(
        fronts=top.whole("balancers", 1), zone=top.whole("locality", default=0), tick=top.whole("tick", 1),
        classes=_classes(top, extra, len(rung_kb)), rung_kb=rung_kb, rung_worth=worth,
        cells=extra.whole("positions", 1), racks=extra.whole("shelves", 1, 1),
        uplink_kb=extra.number("rackKb", default=0.0), weight_kb=extra.number("kbPerWeight", 1e-9),
        places_by_kind=tuple(int(p) for p in places), full_from=extra.number("fullFrom", default=0.0),
        join_adds=extra.number("joinAdds", default=1.0), told_late=extra.whole("toldLate", default=0),
        told_every=extra.whole("toldEvery", default=0),
        shortfall_cost=extra.number("shortfallCost", default=0.0),
        switch_s=extra.number("switchS", default=0.0), max_attempts=ceilings.whole("maxAttempts", 1),
        max_retry_after=ceilings.whole("maxRetryAfter", default=0),
        retry_after=ceilings.flag("retryAfter"), probes=ceilings.flag("probes"),
        cancelling=ceilings.flag("cancelling"), connect_timeout=ceilings.whole("connectTimeout", default=0),
        subscribe=mode == "subscribe", ask_every=contract.whole("askEvery", default=0),
        cold_from=contract.number("coldFrom", default=0.0),
        warm_within=contract.whole("warmWithin", default=0),
        drain_grace=contract.whole("drainGrace", default=0),
        fall_multiple=contract.number("fallMultiple", default=1.0), fall=contract.whole("fall", default=0),
        free_resends=contract.number("freeResends", default=0.0) if rationed else None,
        further_ratio=contract.number("furtherRatio", default=0.0),
        ratio_span=contract.whole("ratioSpan", 1 if rationed else 0, None if rationed else 0),
        price_cross_zone=penalties.number("crossZone", default=0.0),
        price_late_fail=penalties.number("lateFail", default=0.0),
        price_move=penalties.number("moves", default=0.0), price_probe=penalties.number("probe", default=0.0),
        reports_in_answers=via == "piggyback", reports_uplink="x1" in columns)


def report_columns(options: bytes) -> tuple[str, ...]:
    """The names of the report's values, in order."""
    columns = json.loads(options.decode("utf-8")).get("reporting", {}).get("columns", [])
    return tuple(str(name) for name in columns)
