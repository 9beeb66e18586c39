"""Numbers with units in settings; the schema has already validated their form."""

from __future__ import annotations

import re
from decimal import Decimal

_NS_BY_UNIT = {"ns": 1, "us": 1000, "ms": 10**6, "s": 10**9, "min": 60 * 10**9, "h": 3600 * 10**9}
_BYTES_BY_UNIT = {"B": 1, "kB": 1000, "MB": 10**6, "GB": 10**9}


def _split(text: str) -> tuple[Decimal, str]:
    found = re.fullmatch(r"([0-9.]+)([A-Za-z/]+)", text)
    assert found is not None  # validated by the schema
    return Decimal(found[1]), found[2]


def parse_duration(text: str) -> int:
    """Parse a duration; returns ns."""
    number, unit = _split(text)
    return int(number * _NS_BY_UNIT[unit])


def parse_rate_kb(text: str) -> float:
    """Parse a rate; returns kB per second."""
    number, unit = _split(text)
    return float(number * _BYTES_BY_UNIT[unit.removesuffix("/s")] / 1000)


def parse_size(text: str) -> int:
    """Parse a size; returns bytes."""
    number, unit = _split(text)
    return int(number * _BYTES_BY_UNIT[unit])
