"""On real loopback sockets: an ordinary client that nobody here wrote, the program, and a short day."""

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
def test_an_ordinary_client_opens_plays_and_closes_a_film_over_tcp(up, query):
    program, ready = up
    assert ready["event"] == "ready" and len(ready["gateways"]) == 3
    options = {"rtsp_transport": "tcp", "analyzeduration": "500000", "probesize": "32768"}
    film = av.open(ready["gateways"][0] + ready["titles"][0] + query, options=options, timeout=10)
    assert {s.type: s.codec_context.name for s in film.streams} == {"video": "mjpeg", "audio": "pcm_mulaw"}
    pictures, sounds = 0, 0
    last = -1
    for packet in film.demux():
        for frame in packet.decode() if packet.dts is not None else ():
            if packet.stream.type == "video":
                assert (frame.width, frame.height) == (96, 64) and frame.pts > last
                last = frame.pts
                pictures += 1
            else:
                sounds += frame.samples
        if pictures >= 8 and sounds >= 1000:
            break
    film.close()
    assert pictures >= 8 and sounds >= 1000
    program.send_signal(signal.SIGTERM)
    assert program.wait(10) == 0


def test_a_calm_day_on_sockets():
    site = load(SETTINGS)
    calm = load_rehearsal(str(ROOT / "copperyard" / "lab" / "days" / "calm.xml"), site)
    result = trio.run(run_rehearsal, site, calm, TcpNetwork(), 1, 100 * MS, 300 * MS)
    assert not result.breaks, result.breaks
    assert result.summary["requests"] == len(result.visits) > 20
    assert all(v.statuses == [200] for v in result.visits)
    assert not any(v.faults for v in result.visits)


def test_serve_says_where_it_listens_and_drains_on_a_signal(tmp_path):
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
    assert {"list failed", "draining"} <= {line["event"] for line in lines}  # there is no list service here
