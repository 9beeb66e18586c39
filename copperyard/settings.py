"""The platform's settings object, as the simulator's first message and a node's configuration hold it.

One place for the adapter and the node: both feed the same Controller with the same Settings. Standard library only,
as the adapter has nothing else.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from . import interface as api


class _Reader:
    """Takes checked values out of the settings object; says which key is at fault."""

    def __init__(self, raw: dict[str, Any], path: str = "") -> None:
        self.raw, self.path = raw, path

    def _fault(self, key: str, what: str) -> ValueError:
        """Place, fault and value, on one line."""
        told = f": {str(self.raw[key])[:60]!r}" if key in self.raw else ""
        return ValueError(f"settings: {self.path}{key} {what}{told}")

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
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < low:
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
    for key, column in (
        ("floorByClass", floors),
        ("topByClass", tops),
        ("scaleByClass", scales),
        ("classSeats", seats),
        ("live", live),
    ):
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
        found.append(
            api.ClassSettings(
                one.text("name", str(k)),
                one.whole("aim", 1),
                deadline,
                one.number("credit", default=1.0),
                _EFFECTS[effect],
                int(floors[k]),
                min(int(tops[k]), rungs - 1),
                scales[k],
                int(seats[k]),
                bool(live[k]),
            )
        )
    return tuple(found)


def parse_options(options: bytes) -> dict[str, Any]:
    """The settings object out of its text."""
    try:
        raw = json.loads(options.decode("utf-8"))
    except (UnicodeDecodeError, ValueError, RecursionError) as error:
        raise ValueError(f"settings: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ValueError("settings: not an object")
    return raw


def parse_settings(raw: dict[str, Any]) -> api.Settings:
    """The settings object as Settings; ValueError names the key that is missing or wrong."""
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
    budgeted = "freeResends" in contract.raw or "furtherRatio" in contract.raw
    columns = reporting.items("columns", default=[])
    via = reporting.text("via", "silent")
    mode = top.text("membershipMode", "automatic")
    if mode not in ("automatic", "subscribe"):
        raise ValueError(f"settings: membershipMode is unknown: {mode}")
    return api.Settings(
        fronts=top.whole("balancers", 1),
        zone=top.whole("locality", default=0),
        tick=top.whole("tick", 1),
        classes=_classes(top, extra, len(rung_kb)),
        rung_kb=rung_kb,
        rung_worth=worth,
        cells=extra.whole("positions", 1),
        racks=extra.whole("shelves", 1, 1),
        uplink_kb=extra.number("rackKb", default=0.0),
        weight_kb=extra.number("kbPerWeight", 1e-9),
        places_by_kind=tuple(int(p) for p in places),
        full_from=extra.number("fullFrom", default=0.0),
        join_adds=extra.number("joinAdds", default=1.0),
        told_late=extra.whole("toldLate", default=0),
        told_every=extra.whole("toldEvery", default=0),
        shortfall_cost=extra.number("shortfallCost", default=0.0),
        switch_s=extra.number("switchS", default=0.0),
        max_attempts=ceilings.whole("maxAttempts", 1),
        max_retry_after=ceilings.whole("maxRetryAfter", default=0),
        retry_after=ceilings.flag("retryAfter"),
        probes=ceilings.flag("probes"),
        cancelling=ceilings.flag("cancelling"),
        connect_timeout=ceilings.whole("connectTimeout", default=0),
        subscribe=mode == "subscribe",
        ask_every=contract.whole("askEvery", default=0),
        cold_from=contract.number("coldFrom", default=0.0),
        warm_within=contract.whole("warmWithin", default=0),
        drain_grace=contract.whole("drainGrace", default=0),
        fall_multiple=contract.number("fallMultiple", default=1.0),
        fall=contract.whole("fall", default=0),
        free_resends=contract.number("freeResends", default=0.0) if budgeted else None,
        further_ratio=contract.number("furtherRatio", default=0.0),
        ratio_span=contract.whole("ratioSpan", 1 if budgeted else 0, None if budgeted else 0),
        price_cross_zone=penalties.number("crossZone", default=0.0),
        price_late_fail=penalties.number("lateFail", default=0.0),
        price_move=penalties.number("moves", default=0.0),
        price_probe=penalties.number("probe", default=0.0),
        reports_in_answers=via == "piggyback",
        reports_uplink="x1" in columns,
    )


def report_columns(raw: dict[str, Any]) -> tuple[str, ...]:
    """The names of the report's values, in order."""
    columns = raw.get("reporting", {}).get("columns", [])
    return tuple(str(name) for name in columns)


def report_of(figures: dict[str, float]) -> api.Report:
    """A load report by its columns' names; what is no number counts as not reported."""
    known = {name: value for name, value in figures.items() if math.isfinite(value)}
    return api.Report(known.get("x0", known.get("busy")), known.get("x1"), known.get("rif"))


@dataclass(frozen=True, slots=True)
class Platform:
    """What of the settings object concerns sockets and names: `streams` set-ups on one connection, `held` sessions."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    columns: tuple[str, ...]
    streams: int
    held: int


def parse_platform(raw: dict[str, Any]) -> Platform:
    """The part that the module does not need; ValueError names the key that is wrong."""
    top = _Reader(raw)
    ceilings = top.part("ceilings")
    zones, kinds = top.items("zones", default=[]), top.items("kinds", default=[])
    return Platform(
        tuple(map(str, zones)),
        tuple(map(str, kinds)),
        report_columns(raw),
        ceilings.whole("streamsPerConn", 1, 1 << 20),
        ceilings.whole("mostHeld", 1, 1 << 20),
    )
