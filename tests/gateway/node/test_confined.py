"""What the fleet's platform refuses a node's process: other programs, fork, named Unix sockets, files elsewhere.

The terms are those of the standing fleet test: one process ended by `exec`, linked dynamically, TCP and UDP over IPv4,
nothing written outside $TMPDIR. The hook sees what passes through Python, imports included; that imported extension
modules do none of it below Python is what the fleet test itself shows.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.control.node.helpers import setup, sid
from tests.gateway.node import confined
from tests.gateway.node.test_node import ONE, config

ROOT = Path(__file__).parents[3]


def port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def run(tmp_path, plant=None):
    """A node's life: up, a set-up whose host refuses, a new configuration, a planned end. What it did that is
    forbidden."""
    folder = tmp_path / "tmp"
    folder.mkdir()
    told = tmp_path / "told"
    told.touch()
    place = tmp_path / "config.json"
    place.write_text(json.dumps(config(dns=f"127.0.0.1:{port(socket.SOCK_DGRAM)}")))
    listen = port()
    words = [sys.executable, str(Path(confined.__file__)), str(told), *([plant] if plant else [])]
    env = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(ROOT),
        "TMPDIR": str(folder),
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"127.0.0.1:{listen}",
        "NODE_CONFIG": str(place),
    }
    node = subprocess.Popen(words, env=env, cwd=tmp_path)
    try:
        viewer = None
        while viewer is None:
            assert node.poll() is None, "the node ended before it was ready"
            try:
                viewer = socket.create_connection(("127.0.0.1", listen), timeout=20)
            except ConnectionRefusedError:
                continue
        with viewer:
            viewer.sendall(setup(sid(1), facts=ONE, patience="1200"))
            answer = viewer.recv(65536)
        node.send_signal(signal.SIGHUP)
        if plant:
            while not told.read_text():
                assert node.poll() is None
        node.send_signal(signal.SIGTERM)
        assert node.wait(timeout=30) == 0
    finally:
        node.kill()
        node.wait()
    assert answer.startswith(b"RTSP/1.0 "), answer
    return told.read_text()


def test_a_node_starts_nothing_and_writes_nothing_outside(tmp_path):
    assert run(tmp_path) == ""


@pytest.mark.parametrize("plant", confined.PLANTS)
def test_what_is_forbidden_is_seen(tmp_path, plant):
    assert run(tmp_path, plant) != ""


def test_the_deploy_file_ends_in_one_process():
    """`run` replaces the shell by the interpreter, which is linked against the C library."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    first, program, *rest = deploy["run"].split()
    assert first == "exec" and program == ".venv/bin/python" and rest == ["-m", "copperyard.gateway.node"]
    with open(os.path.realpath(sys.executable), "rb") as source:
        assert b"libc.so.6" in source.read()
