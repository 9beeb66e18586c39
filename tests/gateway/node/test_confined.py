"""A node does nothing that the platform forbids: other programs, fork, named Unix sockets, files elsewhere.

The rules are those of the fleet test: one process started by `exec` and linked dynamically, TCP and UDP over IPv4,
nothing written outside $TMPDIR. The audit hook sees only operations of Python code, imports included; the fleet test
itself covers extension modules.
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


def run(tmp_path, violation=None):
    """Run a node through a start, a set-up that its host refuses, a reload and a planned shutdown; returns the report
    of forbidden operations."""
    folder = tmp_path / "tmp"
    folder.mkdir()
    report = tmp_path / "report"
    report.touch()
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(config(dns=f"127.0.0.1:{port(socket.SOCK_DGRAM)}")))
    listen = port()
    command = [sys.executable, str(Path(confined.__file__)), str(report), *([violation] if violation else [])]
    env = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(ROOT),
        "TMPDIR": str(folder),
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"127.0.0.1:{listen}",
        "NODE_CONFIG": str(config_path),
    }
    node = subprocess.Popen(command, env=env, cwd=tmp_path)
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
        if violation:
            while not report.read_text():
                assert node.poll() is None
        node.send_signal(signal.SIGTERM)
        assert node.wait(timeout=30) == 0
    finally:
        node.kill()
        node.wait()
    assert answer.startswith(b"RTSP/1.0 "), answer
    return report.read_text()


def test_a_node_starts_nothing_and_writes_nothing_outside(tmp_path):
    assert run(tmp_path) == ""


@pytest.mark.parametrize("violation", confined.VIOLATIONS)
def test_the_hook_reports_each_violation(tmp_path, violation):
    assert run(tmp_path, violation) != ""


def test_the_deploy_file_ends_in_one_process():
    """`run` replaces the shell by the interpreter, which is linked dynamically against the C library."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    first, program, *rest = deploy["run"].split()
    assert first == "exec" and program == ".venv/bin/python" and rest == ["-m", "copperyard.gateway.node"]
    with open(os.path.realpath(sys.executable), "rb") as source:
        assert b"libc.so.6" in source.read()
