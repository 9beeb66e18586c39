"""On real loopback sockets: a third-party RTSP client (PyAV), the programs, and a short scripted day."""

import json
import signal
import subprocess
import sys
from pathlib import Path

import av
import pytest
import trio

from copperyard.config import load
from copperyard.gateway.net import TcpNetwork
from copperyard.lab.rehearsal import load_rehearsal
from copperyard.lab.run import MS, run_rehearsal

ROOT = Path(__file__).parent.parent.parent
SETTINGS = str(ROOT / "examples" / "caruso.xml")


@pytest.fixture
def up():
    program = subprocess.Popen(
        [sys.executable, "-m", "copperyard.cli.main", "lab", "up", SETTINGS, "--for", "60s"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        yield program, json.loads(program.stdout.readline())
    finally:
        program.kill()
        program.wait()


@pytest.mark.parametrize("query", ["", "?code=family7"])
def test_third_party_client_plays_a_title_over_tcp(up, query):
    program, ready = up
    assert ready["event"] == "ready" and len(ready["gateways"]) == 3
    options = {"rtsp_transport": "tcp", "analyzeduration": "500000", "probesize": "32768"}
    title = av.open(ready["gateways"][0] + ready["titles"][0] + query, options=options, timeout=10)
    assert {s.type: s.codec_context.name for s in title.streams} == {"video": "mjpeg", "audio": "pcm_mulaw"}
    video_frames, audio_samples = 0, 0
    last_pts = -1
    for packet in title.demux():
        for frame in packet.decode() if packet.dts is not None else ():
            if packet.stream.type == "video":
                assert (frame.width, frame.height) == (96, 64) and frame.pts > last_pts
                last_pts = frame.pts
                video_frames += 1
            else:
                audio_samples += frame.samples
        if video_frames >= 8 and audio_samples >= 1000:
            break
    title.close()
    assert video_frames >= 8 and audio_samples >= 1000
    program.send_signal(signal.SIGTERM)
    assert program.wait(10) == 0


def test_calm_day_on_sockets():
    site = load(SETTINGS)
    calm = load_rehearsal(str(ROOT / "copperyard" / "lab" / "days" / "calm.xml"), site)
    result = trio.run(run_rehearsal, site, calm, TcpNetwork(), 1, 100 * MS, 300 * MS)
    assert not result.violations, result.violations
    assert result.summary["requests"] == len(result.visits) > 20
    assert all(v.statuses == [200] for v in result.visits)
    assert not any(v.faults for v in result.visits)


def test_serve_reports_its_address_and_drains_on_a_signal(tmp_path):
    program = subprocess.Popen(
        [sys.executable, "-m", "copperyard.cli.main", "serve", SETTINGS, "--name", "gw-2"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    ready = json.loads(program.stdout.readline())
    assert ready["gateways"][0].startswith("rtsp://127.0.0.1:")
    program.send_signal(signal.SIGINT)
    assert program.wait(10) == 0
    lines = [json.loads(line) for line in program.stderr]
    assert {"list failed", "draining"} <= {line["event"] for line in lines}  # no list service runs here
