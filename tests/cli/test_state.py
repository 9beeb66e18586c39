"""`copperyard state` and `serve` on a real folder, also one of a killed gateway."""

import json
import signal
import subprocess
import sys

import pyarrow.parquet
import pytest
import trio
from typer.testing import CliRunner

from copperyard.cli.main import app
from copperyard.gateway.disk import FolderDisk, LockedError
from copperyard.state.facts import CodeRedeemed, CodeSent, digest
from copperyard.state.journal_writer import Append, Create, JournalWriter, Remove, Rename
from copperyard.state.recovery import recover
from tests.lab.helpers import site_text


def run(*words):
    return CliRunner().invoke(app, ["state", *map(str, words)])


def write_run(folder, first=0, count=30, planned=False):
    """Write the journal of one run on a real folder."""

    async def main():
        disk = FolderDisk(folder)
        disk.lock("a test")
        book = JournalWriter(recover(disk.names(), disk.read), "gw.1", "g1", 0, 0)
        for n in range(first, first + count):
            book.write(n, CodeSent(n, digest(str(n)), f"gw.1/{n}", "h1"))
            if n % 3:
                book.write(n, CodeRedeemed(n, digest(str(n)), f"r{n}"))
        if planned:
            book.close(99, (5,))
        while (step := book.commit_step(0)) is not None:
            await disk.do(step)
            book.done("commit", 0)
        disk.close()

    trio.run(main)


def test_show_verify_compact_and_export(tmp_path):
    write_run(tmp_path)
    shown = json.loads(run("show", tmp_path).output)
    assert (shown["codes"], shown["unclear"], shown["lives"], shown["planned_end"]) == (30, 10, 1, False)
    assert run("verify", tmp_path).exit_code == 0
    write_run(tmp_path, 30, planned=True)
    before = json.loads(run("show", tmp_path).output)
    assert run("compact", tmp_path).exit_code == 0
    after = json.loads(run("show", tmp_path).output)
    same = ("codes", "unclear", "lives", "label", "settings", "planned_end")
    assert [after[k] for k in same] == [before[k] for k in same] and after["snapshot"] and len(after["files"]) <= 2
    out = tmp_path / "codes.jsonl"
    assert run("export", tmp_path, out).exit_code == 0 and run("export", tmp_path, out).exit_code == 1
    rows = [json.loads(line) for line in out.read_text().splitlines()]
    assert len(rows) == 60 and rows[0]["code"] == digest("0").hex() and rows[0]["fate"] == "unclear"
    assert run("export", tmp_path, tmp_path / "codes.parquet").exit_code == 0
    assert pyarrow.parquet.read_table(tmp_path / "codes.parquet").to_pylist() == rows


def test_damage_is_reported_and_prevents_compaction(tmp_path):
    write_run(tmp_path)
    path = next(tmp_path.glob("*.seg"))
    data = bytearray(path.read_bytes())
    data[100] ^= 1
    path.write_bytes(data)
    told = run("verify", tmp_path)
    assert told.exit_code == 1 and path.name in told.output and "facts may be missing" in told.output
    assert run("compact", tmp_path).exit_code == 1 and path.read_bytes() == data
    assert run("show", tmp_path / "none").exit_code == 2
    assert run("export", tmp_path, tmp_path / "a.csv").exit_code == 2


def test_a_locked_folder_is_refused_and_a_left_over_lock_file_is_not(tmp_path):
    one, other = FolderDisk(tmp_path), FolderDisk(tmp_path)
    one.lock("gw.1")
    with pytest.raises(LockedError, match="gw.1"):
        other.lock("gw.2")
    assert run("compact", tmp_path).exit_code == 1
    one.close()
    assert (tmp_path / "lock").exists()
    other.lock("gw.2")
    other.close()


def test_a_failing_step_raises(tmp_path):
    async def main():
        disk = FolderDisk(tmp_path)
        await disk.do(Create("a", b"1"))
        with pytest.raises(FileExistsError):
            await disk.do(Create("a", b"2"))
        await disk.do(Append("a", b"23"))
        await disk.do(Rename("a", "b"))
        await disk.do(Remove("a"))
        with pytest.raises(FileNotFoundError):
            await disk.do(Rename("a", "c"))
        assert disk.read("b") == b"123" and disk.names() == ["b"]
        disk.close()

    trio.run(main)


def test_serve_keeps_state_refuses_a_second_process_and_recovers_after_a_kill(tmp_path):
    path = tmp_path / "site.xml"
    path.write_text(site_text().replace("<titles>", '<state folder="kept"/><titles>'))
    command = [sys.executable, "-m", "copperyard.cli.main", "serve", str(path)]

    def start():
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    first = start()
    try:
        assert json.loads(first.stdout.readline())["event"] == "ready"
        second = subprocess.run(command, capture_output=True, text=True, timeout=20)
        assert second.returncode == 1 and "held by" in second.stderr
    finally:
        first.kill()
        first.wait()
    again = start()
    try:
        assert json.loads(again.stdout.readline())["event"] == "ready"
        again.send_signal(signal.SIGTERM)
        assert again.wait(10) == 0
        events = [json.loads(line) for line in again.stderr]
    finally:
        again.kill()
        again.wait()
    recovered = next(e for e in events if e["event"] == "state recovered")
    assert recovered["planned"] == "no" and recovered["lives"] <= 1
    shown = json.loads(run("show", tmp_path / "kept" / "gw-0").output)
    assert shown["planned_end"] and shown["lives"] >= 1
