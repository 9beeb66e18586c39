"""The JSON line log: limited per second, counts dropped lines, and never blocks on its reader."""

import json
import os
import time

from copperyard.telemetry.lines import MAX_LINE_BYTES, JsonLineLogger


def test_lines_over_the_limit_are_dropped_and_counted(monkeypatch):
    clock = [1000.0]
    monkeypatch.setattr(time, "time", lambda: clock[0])
    reads, writes = os.pipe()
    lines = JsonLineLogger(3, writes)
    for n in range(10):
        lines("host lost", {"host": f"s-{n}"})
    clock[0] += 1
    lines("list", {"serial": 4})
    told = [json.loads(line) for line in os.read(reads, 65536).splitlines()]
    assert [one["event"] for one in told] == ["host lost"] * 3 + ["list"]
    assert told[-1] == {"at": 1001.0, "event": "list", "serial": 4, "held_back": 7}
    os.close(reads)
    os.close(writes)


def test_a_slow_or_missing_reader_does_not_block(tmp_path):
    reads, writes = os.pipe()
    lines = JsonLineLogger(10**6, writes)
    for n in range(5000):  # far more than the pipe holds; a blocking write would never return
        lines("storm", {"n": n, "text": "x" * 100})
    got = b""
    while len(got) < 1 << 15:
        got += os.read(reads, 65536)
    lines("after", {})
    got += os.read(reads, 1 << 20)
    told = [json.loads(line) for line in got.splitlines()]
    assert told[0]["n"] == 0 and told[-1]["event"] == "after" and told[-1]["held_back"] > 1000
    os.close(reads)
    lines("nobody", {})
    os.close(writes)
    path = tmp_path / "log"
    with path.open("wb") as file:  # a regular file and a line that is too long
        JsonLineLogger(5, file.fileno())("long", {"text": "x" * 2 * MAX_LINE_BYTES})
    assert path.stat().st_size == MAX_LINE_BYTES
