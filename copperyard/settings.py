"""Parses the platform's settings object, from the simulator's first message or a node's configuration.

Shared by the adapter and the node, which give the same Settings to the same Controller. Standard library only, as the
adapter has no other packages.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from . import interface as api


class _ObjectReader:
    """Reads checked values from a JSON object; errors name the key by its path."""

    def __init__(self, raw: dict[str, Any], path: str = "") -> None:
        self.raw, self.path = raw, path

    def _error(self, key: str, fault: str) -> ValueError:
        """An error with path, fault and value, on one line."""
        shown = f": {str(self.raw[key])[:60]!r}" if key in self.raw else ""
        return ValueError(f"settings: {self.path}{key} {fault}{shown}")

    def child(self, key: str, optional: bool = False) -> _ObjectReader:
        """A reader of a nested object, an empty one if it is optional and missing."""
        value = self.raw.get(key, {} if optional else None)
        if not isinstance(value, dict):
            raise self._error(key, "is missing" if value is None else "is not an object")
        return _ObjectReader(value, f"{self.path}{key}.")

    def number(self, key: str, minimum: float = 0.0, default: float | None = None) -> float:
        """A finite number of at least `minimum`."""
        value = self.raw.get(key, default)
        if value is None:
            raise self._error(key, "is missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise self._error(key, "is not a number")
        if value < minimum:
            raise self._error(key, f"is under {minimum:g}")
        return float(value)

    def integer(self, key: str, minimum: int = 0, default: int | None = None) -> int:
        """A number as an integer; a fraction is cut off."""
        value = self.number(key, minimum, default)
        raw = self.raw.get(key, default)
        return raw if isinstance(raw, int) else int(value)

    def flag(self, key: str, default: bool = False) -> bool:
        """A JSON true or false."""
        value = self.raw.get(key, default)
        if not isinstance(value, bool):
            raise self._error(key, "is not true or false")
        return value

    def text(self, key: str, default: str) -> str:
        """A string."""
        value = self.raw.get(key, default)
        if not isinstance(value, str):
            raise self._error(key, "is not a text")
        return value

    def array(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """A list of any values."""
        value = self.raw.get(key, default)
        if not isinstance(value, list):
            raise self._error(key, "is missing" if value is None else "is not a list")
        return value

    def numbers(self, key: str, minimum: float = 0.0, default: list[float] | None = None) -> tuple[float, ...]:
        """A list of finite numbers of at least `minimum`."""
        values = self.array(key, default)
        for value in values:
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not math.isfinite(value)
                or value < minimum
            ):
                raise self._error(key, f"holds something that is not a number of {minimum:g} or more")
        return tuple(float(value) for value in values)


_EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}


def _classes(top: _ObjectReader, extra: _ObjectReader, rungs: int) -> tuple[api.ClassSettings, ...]:
    raw = top.array("classes")
    count = len(raw)
    if not count:
        raise ValueError("settings: classes is empty")
    floors = extra.numbers("floorByClass", default=[0.0] * count)
    tops = extra.numbers("topByClass", default=[rungs - 1.0] * count)
    scales = extra.numbers("scaleByClass", default=[1.0] * count)
    seats = extra.numbers("classSeats", default=[0.0] * count)
    live = extra.array("live", default=[False] * count)
    for key, column in (
        ("floorByClass", floors),
        ("topByClass", tops),
        ("scaleByClass", scales),
        ("classSeats", seats),
        ("live", live),
    ):
        if len(column) != count:
            raise ValueError(f"settings: extra.{key} has {len(column)} values for {count} classes")
    classes = []
    for index in range(count):
        if not isinstance(raw[index], dict):
            raise ValueError(f"settings: classes[{index}] is not an object")
        reader = _ObjectReader(raw[index], f"classes[{index}].")
        effect = reader.text("effect", "unsafe")
        if effect not in _EFFECTS:
            raise ValueError(f"settings: classes[{index}].effect is unknown: {effect}")
        if floors[index] >= rungs:
            raise ValueError(f"settings: extra.floorByClass[{index}] is above the ladder")
        if floors[index] > tops[index]:
            raise ValueError(f"settings: extra.floorByClass[{index}] is above extra.topByClass")
        if scales[index] <= 0:
            raise ValueError(f"settings: extra.scaleByClass[{index}] is not above 0")
        deadline = reader.integer("hardLimit", 1)
        classes.append(
            api.ClassSettings(
                reader.text("name", str(index)),
                reader.integer("aim", 1),
                deadline,
                reader.number("credit", default=1.0),
                _EFFECTS[effect],
                int(floors[index]),
                min(int(tops[index]), rungs - 1),
                scales[index],
                int(seats[index]),
                bool(live[index]),
            )
        )
    return tuple(classes)


def parse_options(options: bytes) -> dict[str, Any]:
    """Decode the settings object from JSON; ValueError if it is not an object."""
    try:
        raw = json.loads(options.decode("utf-8"))
    except (UnicodeDecodeError, ValueError, RecursionError) as error:
        raise ValueError(f"settings: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ValueError("settings: not an object")
    return raw


def parse_settings(raw: dict[str, Any]) -> api.Settings:
    """Build Settings from the settings object; ValueError names the key that is missing or wrong."""
    top = _ObjectReader(raw)
    extra, ceilings, contract = top.child("extra"), top.child("ceilings"), top.child("contract")
    penalties, reporting = top.child("penalties", True), top.child("reporting", True)
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
    columns = reporting.array("columns", default=[])
    via = reporting.text("via", "silent")
    mode = top.text("membershipMode", "automatic")
    if mode not in ("automatic", "subscribe"):
        raise ValueError(f"settings: membershipMode is unknown: {mode}")
    return api.Settings(
        fronts=top.integer("balancers", 1),
        zone=top.integer("locality", default=0),
        tick=top.integer("tick", 1),
        classes=_classes(top, extra, len(rung_kb)),
        rung_kb=rung_kb,
        rung_worth=worth,
        cells=extra.integer("positions", 1),
        racks=extra.integer("shelves", 1, 1),
        uplink_kb=extra.number("rackKb", default=0.0),
        kb_per_weight=extra.number("kbPerWeight", 1e-9),
        places_by_kind=tuple(int(p) for p in places),
        full_threshold=extra.number("fullFrom", default=0.0),
        join_ratio=extra.number("joinAdds", default=1.0),
        notice_delay=extra.integer("toldLate", default=0),
        notice_interval=extra.integer("toldEvery", default=0),
        shortfall_cost=extra.number("shortfallCost", default=0.0),
        switch_cost_s=extra.number("switchS", default=0.0),
        max_attempts=ceilings.integer("maxAttempts", 1),
        max_retry_after=ceilings.integer("maxRetryAfter", default=0),
        retry_after=ceilings.flag("retryAfter"),
        probes=ceilings.flag("probes"),
        cancelling=ceilings.flag("cancelling"),
        connect_timeout=ceilings.integer("connectTimeout", default=0),
        subscribe=mode == "subscribe",
        list_poll_interval=contract.integer("askEvery", default=0),
        cold_ratio=contract.number("coldFrom", default=0.0),
        warm_up_time=contract.integer("warmWithin", default=0),
        drain_grace=contract.integer("drainGrace", default=0),
        cold_budget_multiple=contract.number("fallMultiple", default=1.0),
        cold_window=contract.integer("fall", default=0),
        free_retries=contract.number("freeResends", default=0.0) if budgeted else None,
        retry_ratio=contract.number("furtherRatio", default=0.0),
        retry_window=contract.integer("ratioSpan", 1 if budgeted else 0, None if budgeted else 0),
        price_cross_zone=penalties.number("crossZone", default=0.0),
        price_late_fail=penalties.number("lateFail", default=0.0),
        price_move=penalties.number("moves", default=0.0),
        price_probe=penalties.number("probe", default=0.0),
        reports_in_answers=via == "piggyback",
        reports_uplink="x1" in columns,
    )


def report_columns(raw: dict[str, Any]) -> tuple[str, ...]:
    """The names of the columns of load reports, in order."""
    columns = raw.get("reporting", {}).get("columns", [])
    return tuple(str(name) for name in columns)


def make_report(values: dict[str, float]) -> api.Report:
    """Build a load report from values by column name; a value that is not finite counts as missing."""
    numbers = {name: value for name, value in values.items() if math.isfinite(value)}
    return api.Report(numbers.get("x0", numbers.get("busy")), numbers.get("x1"), numbers.get("rif"))


@dataclass(frozen=True, slots=True)
class Platform:
    """Names and limits for a node: set-ups on one connection (`streams_per_connection`) and sessions (`max_held`)."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    columns: tuple[str, ...]
    streams_per_connection: int
    max_held: int


def parse_platform(raw: dict[str, Any]) -> Platform:
    """Build Platform from the settings object; ValueError names the key that is missing or wrong."""
    top = _ObjectReader(raw)
    ceilings = top.child("ceilings")
    zones, kinds = top.array("zones", default=[]), top.array("kinds", default=[])
    return Platform(
        tuple(map(str, zones)),
        tuple(map(str, kinds)),
        report_columns(raw),
        ceilings.integer("streamsPerConn", 1, 1 << 20),
        ceilings.integer("mostHeld", 1, 1 << 20),
    )
