"""Structured logs: JSON lines or console, bounded in a storm, never a code in clear."""

from __future__ import annotations

import re
import sys
import time
from collections.abc import Mapping, MutableMapping
from typing import Any, TextIO

import structlog

MOST_A_SECOND = 20  # lines of one event a second; what is over is counted and told once
_SECRET = re.compile(r"(code=|Redeem: ?|Receipt: ?)[^&\s;,]+", re.IGNORECASE)


class Storm:
    """Lets MOST_A_SECOND lines of an event pass each second, and says how many it held back."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int]] = {}

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        name, second = str(event.get("event", ""))[:64], int(time.monotonic())
        if len(self._seen) > 256:
            self._seen.clear()
        at, count = self._seen.get(name, (second, 0))
        if at != second:
            held = max(0, count - MOST_A_SECOND)
            if held:
                event["held_back"] = held
            at, count = second, 0
        self._seen[name] = (at, count + 1)
        if count >= MOST_A_SECOND:
            raise structlog.DropEvent
        return event


def hide(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Strike out codes and receipts in every text."""
    for key, value in event.items():
        if isinstance(value, str):
            event[key] = _SECRET.sub(r"\1***", value)[:2000]
    return event


class Logs:
    """Where a program's lines go."""

    def __init__(self, form: str, sink: TextIO | None = None) -> None:
        self._sink = sink if sink is not None else sys.stderr
        renderer: Any = (
            structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
        )
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(self._sink),
            processors=[Storm(), hide, structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        )

    def __call__(self, event: str, fields: Mapping[str, str | int]) -> None:
        self._log.info(event, **{key: value for key, value in fields.items() if key != "event"})
