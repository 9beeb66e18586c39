"""Tests of the load generator against a running site, of generated sites and of sweeps."""

import json
import subprocess
import sys
from pathlib import Path

from typer.testing import CliRunner

from copperyard.cli.main import app
from copperyard.config import parse
from copperyard.lab.sitegen import site_xml

ROOT = Path(__file__).parent.parent.parent
SETTINGS = str(ROOT / "examples" / "caruso.xml")
run = CliRunner().invoke


def test_generated_site_is_valid_and_has_requested_size():
    site = parse(site_xml(40, 5, 4, 20, 1))
    assert (len(site.lab.hosts), len(site.gateways), site.rules.settings.racks, len(site.titles)) == (40, 5, 4, 20)
    assert site_xml(40, 5, 4, 20, 1) == site_xml(40, 5, 4, 20, 1) != site_xml(40, 5, 4, 20, 2)


def test_load_generator_plays_at_running_gateways():
    up = subprocess.Popen(
        [sys.executable, "-m", "copperyard.cli.main", "lab", "up", SETTINGS, "--for", "60s"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        ready = json.loads(up.stdout.readline())
        found = run(
            app,
            [
                "lab",
                "load",
                *ready["gateways"],
                "--title",
                ready["titles"][0],
                "--title",
                ready["titles"][1],
                "--rate",
                "8",
                "--for",
                "3s",
                "--watch",
                "1s",
                "--paid",
                "0.3",
            ],
        )
        summary = json.loads(found.output.splitlines()[-1])
        assert summary["played"] == summary["requests"] > 8 and summary["stream_faults"] == 0
        assert 0 < summary["play_ms"]["p50"] <= summary["play_ms"]["p99"]
    finally:
        up.kill()
        up.wait()


def test_load_generator_accepts_only_loopback():
    for place in ("rtsp://10.0.0.1:554", "rtsp://example.org:554", "rtsp://127.0.0.1"):
        assert run(app, ["lab", "load", place, "--title", "/a"]).exit_code == 2


def test_sweep_compares_values_with_the_first(tmp_path):
    incident = tmp_path / "small.xml"
    incident.write_text('<rehearsal name="small" teaches="that it runs" seconds="4"><load rate="5"/></rehearsal>')
    words = ["lab", "sweep", str(incident), "--settings", SETTINGS, "--repeat", "2", "--over"]
    found = run(app, [*words, "rules/attempts=3,1"])
    assert found.exit_code == 0 and found.output.count("service ") == 2 and "attempts=1" in found.output
    assert run(app, [*words, "rules/attempts=3,0"]).exit_code == 2
