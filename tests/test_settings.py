"""Invalid settings objects: one line that names the key and its value, and the program exits with 2."""

import copy
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from copperyard.settings import parse_platform, parse_settings
from tests.control.node.helpers import OPTIONS
from tests.gateway.node.test_node import config

INVALID = [
    (("balancers",), 0, "settings: balancers is under 1: '0'"),
    (("balancers",), "three", "settings: balancers is not a number: 'three'"),
    (("tick",), None, "settings: tick is missing"),
    (("classes",), [], "settings: classes is empty"),
    (("classes", 0, "hardLimit"), -5, "settings: classes[0].hardLimit is under 1: '-5'"),
    (("classes", 1, "effect"), "maybe", "settings: classes[1].effect is unknown: maybe"),
    (("classes", 0, "aim"), float("nan"), "settings: classes[0].aim is not a number: 'nan'"),
    (("ceilings", "maxAttempts"), 0, "settings: ceilings.maxAttempts is under 1: '0'"),
    (("ceilings", "probes"), "yes", "settings: ceilings.probes is not true or false: 'yes'"),
    (("ceilings",), 7, "settings: ceilings is not an object: '7'"),
    (("contract", "freeResends"), -1, "settings: contract.freeResends is under 0: '-1'"),
    (("contract", "ratioSpan"), 0, "settings: contract.ratioSpan is under 1: '0'"),
    (("contract", "ratioSpan"), None, "settings: contract.ratioSpan is missing"),
    (("extra", "rungKb"), [], "settings: extra.levelWorth and extra.rungKb differ in length or are empty"),
    (("extra", "rungKb"), [300.0, 100.0], "settings: extra.rungKb does not rise"),
    (("extra", "floorByClass"), [0, 2], "settings: extra.floorByClass[1] is above the ladder"),
    (("extra", "classSeats"), [1], "settings: extra.classSeats has 1 values for 2 classes"),
    (
        ("extra", "placesByKind"),
        [0],
        "settings: extra.placesByKind holds something that is not a number of 1 or more: " "'[0]'",
    ),
    (("extra", "kbPerWeight"), 0, "settings: extra.kbPerWeight is under 1e-09: '0'"),
    (("membershipMode",), "guess", "settings: membershipMode is unknown: guess"),
    (("ceilings", "mostHeld"), 0, "settings: ceilings.mostHeld is under 1: '0'"),
    (("zones",), "a,b", "settings: zones is not a list: 'a,b'"),
]


def changed(place, value):
    raw = copy.deepcopy(OPTIONS)
    at = raw
    for key in place[:-1]:
        at = at[key]
    if value is None:
        del at[place[-1]]
    else:
        at[place[-1]] = value
    return raw


@pytest.mark.parametrize(
    "place, value, text", INVALID, ids=[".".join(map(str, one[0])) + f"={one[1]}" for one in INVALID]
)
def test_an_invalid_value_is_named_with_its_key(place, value, text):
    raw = changed(place, value)
    with pytest.raises(ValueError) as caught:
        parse_settings(raw)
        parse_platform(raw)
    assert str(caught.value) == text and "\n" not in text


def test_the_program_exits_with_one_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(settings=changed(("extra", "rungKb"), [300.0, 100.0]))))
    environ = {**os.environ, "NODE_NAME": "n0", "NODE_LISTEN": "127.0.0.1:0", "NODE_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "copperyard.gateway.node"],
        env=environ,
        capture_output=True,
        cwd=Path(__file__).parents[1],
        text=True,
        timeout=30,
    )
    assert done.returncode == 2 and done.stderr == "copperyard node: settings: extra.rungKb does not rise\n"


def test_optional_keys_may_be_absent():
    raw = copy.deepcopy(OPTIONS)
    for place in (
        ("contract", "freeResends"),
        ("contract", "furtherRatio"),
        ("contract", "ratioSpan"),
        ("reporting",),
        ("extra", "floorByClass"),
        ("extra", "rackKb"),
        ("ceilings", "retryAfter"),
        ("ceilings", "probes"),
        ("zones",),
        ("kinds",),
        ("locality",),
    ):
        at = raw
        for key in place[:-1]:
            at = at[key]
        del at[place[-1]]
    made = parse_settings(raw)
    assert made.free_retries is None and not made.probes and not made.retry_after and made.uplink_kb == 0
    assert parse_platform(raw).zones == ()


def test_unknown_keys_are_ignored():
    raw = copy.deepcopy(OPTIONS)
    raw["something"] = {"new": 1}
    raw["classes"][0]["something"] = "new"
    assert parse_settings(raw) == parse_settings(OPTIONS)
