"""Structured logs as JSON lines or console text: rate-limited, with paid codes redacted."""

from __future__ import annotations

import re
import sys
import time
from collections.abc import Mapping, MutableMapping
from typing import Any, TextIO

import structlog

MAX_LINES_PER_SECOND = 20  # lines of one event; the rest of a second is counted and reported once
_SECRET = re.compile(r"(code=|Redeem: ?|Receipt: ?)[^&\s;,]+", re.IGNORECASE)


class RateLimiter:
    """Passes MAX_LINES_PER_SECOND lines of an event each second; the next line says how many were dropped."""

    def __init__(self) -> None:
        self._counts: dict[str, tuple[int, int]] = {}

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the event, with the number of dropped lines if any; raise DropEvent over the limit."""
        name, second = str(event.get("event", ""))[:64], int(time.monotonic())
        if len(self._counts) > 256:
            self._counts.clear()
        counted_second, count = self._counts.get(name, (second, 0))
        if counted_second != second:
            suppressed = max(0, count - MAX_LINES_PER_SECOND)
            if suppressed:
                event["held_back"] = suppressed
            counted_second, count = second, 0
        self._counts[name] = (counted_second, count + 1)
        if count >= MAX_LINES_PER_SECOND:
            raise structlog.DropEvent
        return event


def redact(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Replace codes and receipts in every text with `***`."""
    for key, value in event.items():
        if isinstance(value, str):
            event[key] = _SECRET.sub(r"\1***", value)[:2000]
    return event


class LogWriter:
    """Writes log lines as `json` or console text to a stream, by default stderr."""

    def __init__(self, log_format: str, sink: TextIO | None = None) -> None:
        self._sink = sink if sink is not None else sys.stderr
        renderer: Any = (
            structlog.processors.JSONRenderer() if log_format == "json" else structlog.dev.ConsoleRenderer(colors=False)
        )
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(self._sink),
            processors=[RateLimiter(), redact, structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        )

    def __call__(self, event: str, fields: Mapping[str, str | int]) -> None:
        """Write one line; a field named `event` is left out."""
        self._log.info(event, **{key: value for key, value in fields.items() if key != "event"})
