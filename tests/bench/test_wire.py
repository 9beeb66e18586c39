"""The codec on hand-made frames, the settings, and the loop over standard input and output."""

import io
import json
import struct
import subprocess
import sys

import pytest

from copperyard import interface as api
from copperyard.bench import wire, wirehost
from copperyard.decide import Controller
from copperyard.settings import parse_options, parse_settings
from tests.helpers import MS

SETTINGS = {
    "balancers": 2,
    "tick": 10_000_000,
    "locality": 0,
    "membershipMode": "automatic",
    "classes": [{"name": "a", "aim": 10**9, "hardLimit": 4 * 10**9, "credit": 1.0, "effect": "safe"}],
    "ceilings": {"maxAttempts": 3, "retryAfter": True, "maxRetryAfter": 10**9},
    "contract": {
        "coldFrom": 0.4,
        "warmWithin": 10**10,
        "drainGrace": 10**9,
        "fall": 10**9,
        "fallMultiple": 3.0,
    },
    "extra": {
        "positions": 4,
        "shelves": 2,
        "rungKb": [100.0, 200.0],
        "levelWorth": [0.5, 1.0],
        "placesByKind": [20],
        "kbPerWeight": 1000.0,
        "rackKb": 5000.0,
    },
    "reporting": {"via": "piggyback", "columns": ["x0", "x1"]},
}


def changed(path, value=None):
    made = json.loads(json.dumps(SETTINGS))
    at = made
    *way, last = path.split(".")
    for key in way:
        at = at[key]
    if value is None:
        del at[last]
    else:
        at[last] = value
    return json.dumps(made).encode()


def record(code, data):
    return struct.pack("<BI", code, len(data)) + data


def frame(now, *records, batch=1):
    body = b"".join(records)
    return struct.pack("<IQII", len(body), now, len(records), batch) + body


def decode(*records):
    return list(wire.Decoder().decode(b"".join(records), len(records)))


def create(options, front=3):
    return record(1, struct.pack("<HQI", front, 42, len(options)) + options)


def table(*entries):
    return record(
        13,
        struct.pack("<HI", 0, len(entries))
        + b"".join(struct.pack("<fIHHBBQ", 1.0, host, 0, host, 0, 1, 0) for host in entries),
    )


MEMBERSHIP = record(2, struct.pack("<HQHB", 3, 41, 0, 4))
REQ = record(3, struct.pack("<HQBfQIQQffBQ", 3, 77, 0, 1.0, 9 * 10**9, 0, 5, 6, 3.0, 1.0, 1 | 16, 8))


def test_the_request_record():
    assert decode(REQ) == [(3, api.Request(77, 0, 1, 9 * 10**9, 6, 1, 3, 5, False, True))]


def test_counts_that_are_not_numbers_become_zero():
    data = struct.pack("<HQBfQIQQffBQ", 3, 77, 0, float("nan"), 1, 0, 5, 6, float("inf"), 1.0, 0, 8)
    assert decode(record(3, data)) == [(3, api.Request(77, 0, 0, 1, 6, 1, 0))]


def test_the_outcome_record_with_and_without_a_report():
    decoder = wire.Decoder()
    decoder.columns[3] = ("x0", "new", "x1")
    data = struct.pack("<HQBIBQBB3f", 3, 77, 0, 9, 1, MS, 1, 3, 0.5, 8.0, float("nan"))
    assert list(decoder.decode(record(5, data), 1)) == [
        (3, api.Outcome(77, 0, 9, 1, MS, True, api.Report(0.5, None, None)))
    ]
    assert decode(record(5, struct.pack("<HQBIBQBB", 3, 77, 0, 9, 4, MS, 0, 0))) == [
        (3, api.Outcome(77, 0, 9, 4, MS, False, None))
    ]


def test_the_small_records():
    assert decode(record(4, struct.pack("<HQBIQ", 3, 77, 1, 9, MS))) == [(3, api.SessionOpened(77, 1, 9, MS))]
    note = record(12, struct.pack("<HQBfIB", 3, 77, 1, 0.5, 9, 0))
    assert decode(note) == [(3, api.SessionNotice(77, 0, 9, 1, 0.5))]
    assert decode(record(6, struct.pack("<HQ", 3, 77))) == [(3, api.ViewerLeft(77))]
    assert decode(record(7, struct.pack("<HQ", 3, 77))) == [(3, api.TimerDue(77))]
    assert decode(record(10, struct.pack("<H", 3))) == [(3, wire.Crash())]
    assert decode(record(8, struct.pack("<HIBQB", 3, 9, 4, MS, 0))) == [(3, api.ProbeResult(9, 4, MS, None))]
    carried = struct.pack("<HQQQfQIBIQBff", 3, 77, 5, 9, 1.0, 6, 0, 0, 4, 8, 1, 1.0, 3.0)
    assert decode(record(11, carried)) == [(3, api.CarriedSession(api.Request(77, 0, 1, 9, 6, 1, 3, 5), 4))]


def test_lists_are_resolved_in_event_order():
    events = decode(table(1), MEMBERSHIP, table(2), MEMBERSHIP)
    assert [e[1].entries[0].server for e in events] == [1, 2]
    failed = record(2, struct.pack("<HQHB", 3, 41, 9, 0))
    assert decode(failed) == [(3, api.ServerList(0))]


def test_unknown_codes_and_longer_records_are_skipped():
    longer = record(6, struct.pack("<HQ", 3, 77) + b"new")
    assert decode(record(200, b"xyz"), record(9, b"\0" * 8), longer) == [(3, api.ViewerLeft(77))]


@pytest.mark.parametrize(
    "body",
    [
        b"\3",
        record(6, b"\0"),
        record(6, b"\0" * 10)[:-1],
        record(6, b"\0" * 10) + b"x",
        MEMBERSHIP,
        record(13, struct.pack("<HI", 0, 5)),
    ],
)
def test_malformed_records(body):
    with pytest.raises(wire.MalformedFrameError):
        list(wire.Decoder().decode(body, 1))


@pytest.mark.parametrize(
    ("action", "code", "data"),
    [
        (api.Send(7, 9, 5), 66, struct.pack("<HQQI", 3, 7, 5, 9)),
        (api.SetRung(7, 2), 74, struct.pack("<HQB", 3, 7, 2)),
        (api.SetTimer(5, 1), 70, struct.pack("<HQQ", 3, 5, 1)),
        (api.Refuse(7, 5), 69, struct.pack("<HQQ", 3, 7, 5)),
        (api.Fail(7), 65, struct.pack("<HQ", 3, 7)),
        (api.Cancel(7, 1), 72, struct.pack("<HQB", 3, 7, 1)),
        (api.Move(7), 75, struct.pack("<HQ", 3, 7)),
        (api.Probe(9), 67, struct.pack("<HI", 3, 9)),
        (api.Subscribe(True), 78, struct.pack("<HB", 3, 1)),
        (api.Log("hi"), 77, struct.pack("<HH", 3, 2) + b"hi"),
    ],
)
def test_actions(action, code, data):
    assert wire.encode(3, action) == record(code, data)


def test_settings_are_read_and_unknown_keys_skipped():
    made = parse_settings(parse_options(changed("extra.brandNew", [1])))
    assert made.fronts == 2 and made.rung_kb == (100.0, 200.0) and made.free_retries is None
    assert made.classes[0].top == 1 and made.reports_uplink


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("extra", None, "extra"),
        ("extra.rungKb", None, "extra.rungKb"),
        ("classes", None, "classes"),
        ("classes", [], "classes"),
        ("extra.rungKb", [200.0, 100.0], "extra.rungKb"),
        ("extra.levelWorth", [1.0], "extra.levelWorth"),
        ("tick", "x", "tick"),
        ("tick", 0, "tick"),
        ("balancers", True, "balancers"),
        ("extra.floorByClass", [2], "extra.floorByClass"),
        ("extra.floorByClass", [0, 0], "extra.floorByClass"),
        ("extra.scaleByClass", [0], "extra.scaleByClass"),
        ("extra.placesByKind", [], "extra.placesByKind"),
        ("ceilings.maxAttempts", None, "ceilings.maxAttempts"),
        ("contract.furtherRatio", 0.2, "contract.ratioSpan"),
        ("membershipMode", "guess", "membershipMode"),
        ("ceilings", [], "ceilings"),
        ("ceilings.probes", 1, "ceilings.probes"),
        ("classes", [3], "classes[0]"),
        ("extra.kbPerWeight", 0, "extra.kbPerWeight"),
    ],
)
def test_bad_settings_name_the_key(path, value, named):
    with pytest.raises(ValueError, match="settings: ") as caught:
        parse_settings(parse_options(changed(path, value)))
    assert named in str(caught.value)


def reply_records(data):
    size, batch = struct.unpack_from("<II", data)
    assert size == len(data) - 8
    at, found = 8, []
    while at < len(data):
        code, n = struct.unpack_from("<BI", data, at)
        found.append((code, data[at + 5 : at + 5 + n]))
        at += 5 + n
    return batch, found


def run(*frames):
    out = io.BytesIO()
    wirehost.serve(io.BytesIO(b"".join(frames)), out)
    return out.getvalue()


def test_the_loop_answers_a_request():
    start = (create(changed("extra.x", 1)), table(0, 1, 2, 3), MEMBERSHIP)
    batch, records = reply_records(run(frame(10, *start, REQ)))
    assert batch == 1 and [code for code, _ in records][-2:] == [74, 66]


def test_an_empty_batch():
    assert run(frame(5, batch=9)) == struct.pack("<II", 0, 9)


def test_settings_that_fail_end_as_bail_out_with_the_text():
    _, records = reply_records(run(frame(10, create(changed("tick")), table(0), MEMBERSHIP)))
    assert records[0][0] == 76 and b"tick is missing" in records[0][1]


def test_an_exception_in_the_module_ends_as_bail_out(monkeypatch):
    def broken(self, now, event):
        raise KeyError("gone")

    monkeypatch.setattr(Controller, "handle", broken)
    _, records = reply_records(run(frame(10, create(changed("extra.x", 1)), REQ)))
    assert records == [(76, struct.pack("<HH", 3, 16) + b"KeyError: 'gone'")]


@pytest.mark.parametrize("data", [b"abc", frame(10, REQ)[:-3], frame(10, record(6, b"\0"))])
def test_a_malformed_frame_is_one_line_and_a_non_zero_exit(data):
    good = frame(5, batch=9)
    done = subprocess.run([sys.executable, "-m", "copperyard.bench.wirehost"], input=good + data, capture_output=True)
    assert done.returncode != 0 and done.stdout == struct.pack("<II", 0, 9)
    assert done.stderr.count(b"\n") == 1 and b"malformed frame" in done.stderr


def test_fronts_are_independent_and_repeatable():
    def records_of(front):
        member = record(2, struct.pack("<HQHB", front, 41, 0, 4))
        asked = [
            record(3, struct.pack("<HQBfQIQQffBQ", front, k, 0, 1.0, 9 * 10**9, 0, 5, k, 3.0, 1.0, 0, 8))
            for k in range(20)
        ]
        return [create(changed("extra.x", 1), front), table(0, 1, 2, 3), member, *asked]

    together = reply_records(run(frame(10, *records_of(3), *records_of(4))))[1]
    alone = reply_records(run(frame(10, *records_of(3))))[1] + reply_records(run(frame(10, *records_of(4))))[1]
    assert together == alone
