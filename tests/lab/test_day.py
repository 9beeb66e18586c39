"""The scripted bad day in virtual time: no seed violates a rule, and the faults do take effect."""

from pathlib import Path

import pytest

from copperyard.config import load
from copperyard.lab.rehearsal import load_rehearsal
from tests.lab.helpers import play

ROOT = Path(__file__).parent.parent.parent
SITE = load(str(ROOT / "examples" / "caruso.xml"))
BAD = load_rehearsal(str(ROOT / "copperyard" / "lab" / "days" / "bad.xml"), SITE)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bad_day_violates_no_rule(seed):
    result = play(SITE, BAD, seed)
    assert not result.violations, result.violations
    summary = result.summary
    assert summary["redeemed_twice"] == 0 and summary["stream_faults"] <= 1
    assert summary["requests"] > 200 and summary["in_time"] > 0.8
    assert summary["attempts"] > summary["answers"]["played"] + 10  # the faults took effect
    assert {"broken", "left", "watched"} <= set(summary["ends"])
