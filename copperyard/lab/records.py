"""Writes a run's records as Parquet: one row per visit, per attempt, and per second and host."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq

from .audit import Attempt
from .run import HostSecond, Result
from .viewers import Visit

SESSIONS = pa.schema(
    [
        ("title", pa.string()),
        ("paid", pa.bool_()),
        ("habit", pa.string()),
        ("began_s", pa.float64()),
        ("watch_s", pa.float64()),
        ("play_ms", pa.float64()),
        ("asked", pa.float64()),
        ("worth", pa.float64()),
        ("tries", pa.int32()),
        ("last_status", pa.int32()),
        ("ended", pa.string()),
        ("rungs", pa.list_(pa.int8())),
        ("frames", pa.int64()),
    ]
)
ATTEMPTS = pa.schema(
    [
        ("request", pa.string()),
        ("front", pa.string()),
        ("host", pa.string()),
        ("boot", pa.int32()),
        ("at_s", pa.float64()),
        ("end_s", pa.float64()),
        ("status", pa.int32()),
        ("rung", pa.int8()),
        ("paid", pa.bool_()),
    ]
)
HOSTS = pa.schema(
    [
        ("second", pa.int32()),
        ("host", pa.string()),
        ("asked_kb_s", pa.float64()),
        ("link_load", pa.float64()),
        ("uplink_load", pa.float64()),
        ("share", pa.float64()),
        ("streams", pa.int32()),
    ]
)


def _session_row(v: Visit) -> tuple[object, ...]:
    # codes are not recorded: whoever reads them could redeem them
    return (
        v.title,
        bool(v.code),
        v.habit,
        v.began / 1e9,
        v.watch,
        None if v.played_after is None else v.played_after / 1e6,
        v.worth_asked,
        v.worth,
        len(v.statuses),
        v.statuses[-1] if v.statuses else None,
        v.ended,
        v.rungs,
        v.frames,
    )


def _attempt_row(t: Attempt) -> tuple[object, ...]:
    return (
        t.id,
        t.front,
        t.connection.name,
        t.connection.boot,
        t.time / 1e9,
        t.end / 1e9 if t.end < 1 << 62 else None,
        t.status,
        t.rungs[0][1],
        bool(t.request.header("Redeem") or t.request.header("Receipt")),
    )


def _host_row(s: HostSecond) -> tuple[object, ...]:
    return s.second, s.host, s.demand, s.link_load, s.uplink_load, s.share, s.streams


def _table(rows: Sequence[tuple[object, ...]], schema: pa.Schema) -> pa.Table:
    columns = list(zip(*rows, strict=True)) if rows else [()] * len(schema)
    return pa.table(
        [pa.array(column, field.type) for column, field in zip(columns, schema, strict=True)], schema=schema
    )


def write(folder: Path, result: Result) -> None:
    """Write three files whose names contain the seed."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, rows, schema in (
        ("sessions", [_session_row(v) for v in result.visits], SESSIONS),
        ("attempts", [_attempt_row(t) for t in result.attempts], ATTEMPTS),
        ("hosts", [_host_row(s) for s in result.host_seconds], HOSTS),
    ):
        pq.write_table(_table(rows, schema), folder / f"{name}-{result.seed}.parquet", compression="zstd")
