"""The command line: exit codes, messages, and the summary line of a scripted day."""

import json
from pathlib import Path

from typer.testing import CliRunner

from copperyard.cli.main import app

ROOT = Path(__file__).parent.parent.parent
SETTINGS = str(ROOT / "examples" / "caruso.xml")


def run(*args):
    return CliRunner().invoke(app, list(args))


def test_check_accepts_the_example():
    good = run("check", SETTINGS)
    assert good.exit_code == 0 and "3 gateways, 2 classes, 12 titles: good" in good.output


def test_check_reports_mistakes_and_exits_2(tmp_path):
    bad = tmp_path / "bad.xml"
    bad.write_text(Path(SETTINGS).read_text().replace('floor="1"', 'floor="7"'))
    found = run("check", str(bad))
    assert found.exit_code == 2 and "floor '7'" in found.output and "line 19" in found.output
    assert run("serve", str(bad)).exit_code == 2
    assert run("check", str(tmp_path / "none.xml")).exit_code == 2


def test_day_prints_its_summary_and_writes_its_report(tmp_path):
    found = run("lab", "day", "calm", "--settings", SETTINGS, "--virtual", "--report", str(tmp_path / "r"))
    summary = json.loads(found.output.strip().splitlines()[-1])
    assert found.exit_code == 0 and summary["answers"]["played"] == summary["requests"]
    assert json.loads((tmp_path / "r" / "summary.json").read_text()) == summary
    assert len((tmp_path / "r" / "viewers.jsonl").read_text().splitlines()) == summary["requests"]


def test_unknown_names_and_values_exit_2(tmp_path):
    assert run("lab", "day", "sunny", "--settings", SETTINGS).exit_code == 2
    assert run("serve", SETTINGS, "--name", "nobody").exit_code == 2
    assert run("lab", "up", SETTINGS, "--for", "soon").exit_code == 2
    without_lab = tmp_path / "bare.xml"
    text = Path(SETTINGS).read_text()
    without_lab.write_text(text[: text.index("  <lab ")] + "</copperyard>")
    assert run("lab", "up", str(without_lab)).exit_code == 2


def test_node_without_its_variables_exits_2(monkeypatch):
    monkeypatch.delenv("NODE_NAME", raising=False)
    assert run("node").exit_code == 2
