"""Days on which gateways are processes: none of them remains, however the run ends."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.lab.processes import descendants, is_running

GATEWAYS = 12
COMMAND = [sys.executable, "-m", "copperyard.cli.main", "lab", "day", "short", "--faults"]
FAULTS = """<evening name="ended" teaches="a day that is ended" seconds="60" rate="1" paid="0" epochs="25">
  <fault kind="stop" at="0.1s" for="59s" who="leader"/>
</evening>"""
END_TIMEOUT_S = 10.0


def wait_for(condition, seconds):
    """Wait until something holds; returns whether it does."""
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(0.05)
    return condition()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_gateway_remains_when_a_day_is_ended(tmp_path, number):
    # guards against: gateways that go on after their day was ended, and send to ports that others are given
    faults = tmp_path / "faults.xml"
    faults.write_text(FAULTS)
    process = subprocess.Popen(
        [*COMMAND, str(faults)],
        cwd=Path(__file__).parents[2],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    started = []
    try:
        assert any(" stop " in line for line in process.stderr), "the day has not begun"
        time.sleep(0.5)  # the fault that the line announces, a paused gateway, is begun after it
        started = descendants(process.pid)
        assert len(started) == GATEWAYS
        process.send_signal(number)
        process.wait(timeout=END_TIMEOUT_S)
        assert wait_for(lambda: not any(map(is_running, started)), END_TIMEOUT_S), "gateways go on"
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
        for pid in filter(is_running, started):
            os.kill(pid, signal.SIGKILL)
