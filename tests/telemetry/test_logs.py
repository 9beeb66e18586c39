"""Logs: codes are redacted, lines are rate-limited and valid JSON."""

import io
import json

from copperyard.telemetry import logs
from copperyard.telemetry.logs import LogWriter


def test_codes_are_redacted():
    sink = io.StringIO()
    LogWriter("json", sink)("viewer mistaken", {"text": "rtsp://h/a?code=SECRET&x=1", "more": "Redeem: SECRET\r\nX: y"})
    assert "SECRET" not in sink.getvalue() and json.loads(sink.getvalue())["event"] == "viewer mistaken"


def test_repeated_lines_are_limited_and_counted(monkeypatch):
    sink, clock = io.StringIO(), [5.0]
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    log = LogWriter("json", sink)
    for _ in range(1000):
        log("viewer malformed", {})
    log("list", {})
    clock[0] = 6.0
    log("viewer malformed", {})
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert len(lines) == logs.MAX_LINES_PER_SECOND + 2 and lines[-1]["held_back"] == 1000 - logs.MAX_LINES_PER_SECOND


def test_console_format():
    sink = io.StringIO()
    LogWriter("console", sink)("list", {"generation": 4})
    assert "list" in sink.getvalue() and "generation=4" in sink.getvalue()
