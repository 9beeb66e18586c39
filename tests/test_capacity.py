"""Tests of the capacity page (data file, fits, figures and the runs they name) and of the benchmarks behind it."""

from __future__ import annotations

import json
import math
import os
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import numpy as np
import pytest
import trio

from benchmarks import capacity, shards, viewers
from benchmarks.capacity import CLOSE, MIDDLE, OPEN, InputError, PageData, Value, fit_best_form, main, run_from_result
from copperyard.gateway.net import TcpNetwork

ROOT = Path(__file__).resolve().parent.parent
RESULT: dict[str, Any] = {
    "what": "some.kind",
    "commit": "0123abc",
    "command": "python -m benchmarks.some 100 --seed 1",
    "seed": 1,
    "size": 100,
    "values": {"cost": 10.0},
    "machine": "a machine",
    "at": "2026-12-02T01:00:00Z",
    "trial": False,
}


def result(**changes: Any) -> dict[str, Any]:
    return {**RESULT, **changes}


def line_of(size: int, value: float, seed: int = 1, **changes: Any) -> dict[str, Any]:
    return result(size=size, seed=seed, values={"cost": value}, **changes)


class Workspace:
    """Temporary data file, template and page of one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.data, self.template, self.page = folder / "runs.jsonl", folder / "page.md.j2", folder / "PAGE.md"
        self.words = ["--data", str(self.data), "--template", str(self.template), "--page", str(self.page)]

    def add(self, *results: object, more: tuple[str, ...] = ()) -> int:
        names = []
        for number, one in enumerate(results):
            name = self.folder / f"result{number}.json"
            name.write_text(one if isinstance(one, str) else json.dumps(one) + "\n")
            names.append(str(name))
        return main([*self.words, "add", *more, *names])

    def run(self, *words: str) -> int:
        return main([*self.words, *words])

    def write(self, template: str) -> int:
        self.template.write_text(template)
        return self.run()

    @property
    def records(self) -> list[dict[str, Any]]:
        return capacity.read_records(self.data)


@pytest.fixture
def place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Workspace:
    monkeypatch.setattr(capacity, "commit_here", lambda: "0123abc")
    monkeypatch.setattr(viewers, "commit", lambda: "0123abc")
    return Workspace(tmp_path)


@pytest.fixture
def sizes(place: Workspace) -> Workspace:
    """Runs of three sizes and two seeds, with a cost of 2 + 0.1 n."""
    runs = [line_of(n, (2 + 0.1 * n) * (1 + 0.001 * seed), seed) for n in (100, 1000, 2500) for seed in (1, 2)]
    assert place.add(*runs) == 0
    return place


def test_committed_page_matches_committed_data(capsys):
    assert main(["--check"]) == 0, capsys.readouterr().out


def test_committed_page_has_at_most_450_lines():
    assert len(capacity.PAGE.read_text().splitlines()) <= 450


# ---- the page and its figures


def test_check_names_the_line_where_the_page_differs(sizes, capsys):
    assert sizes.write('cost\n{{ m("some.kind", "cost", 100) }}\n') == 0
    assert sizes.run("--check") == 0
    assert "`some.kind@100`" in sizes.page.read_text()
    sizes.page.write_text(sizes.page.read_text().replace("12", "11"))
    assert sizes.run("--check") == 1
    assert "PAGE.md line 2: " in capsys.readouterr().out


@pytest.mark.parametrize("more", ["one more line\n", ""])
def test_check_finds_added_or_missing_last_lines(sizes, capsys, more):
    assert sizes.write("a\nb\n") == 0
    sizes.page.write_text("a\nb\n" + more if more else "a\n")
    assert sizes.run("--check") == 1
    assert f"PAGE.md line {3 if more else 2}: " in capsys.readouterr().out


def test_check_finds_a_missing_final_newline(sizes):
    assert sizes.write("a\nb\n") == 0
    sizes.page.write_text("a\nb")
    assert sizes.run("--check") == 1


def test_check_finds_a_typed_figure(sizes, capsys):
    assert sizes.write('words\nit costs 41 kB, {{ m("some.kind", "cost", 100) }}\n') == 1
    assert "PAGE.md line 2: 41: names no run" in capsys.readouterr().out
    assert sizes.run("--check") == 1
    assert "line 2: 41: names no run" in capsys.readouterr().out


@pytest.mark.parametrize(
    "text", ["in `a 41 b` quotes\n", "[words](a41.md)\n", "```\n41\n```\n", "{{ plan.gateways }}\n"]
)
def test_names_links_code_and_operators_figures_need_no_run(sizes, text):
    assert sizes.write(text) == 0


def test_figure_without_its_runs_on_the_line_is_found(sizes, capsys):
    assert sizes.write('{{ m("some.kind", "cost", 100).bare }}\n') == 1
    assert "its run some.kind@100 is not named on the line" in capsys.readouterr().out


@pytest.mark.parametrize("source, said", [("", "names no run"), ("gone@100", "its run gone@100 is not in the data")])
def test_figure_of_a_missing_run_is_found(sizes, source, said):
    faults = capacity.figures_without_runs(f"`gone@100` {OPEN}{source}{MIDDLE}12{CLOSE}\n", sizes.records)
    assert [said in fault for fault in faults] == [True]


def test_missing_values_print_not_measured_until_a_run_is_added(sizes):
    text = (
        '{{ m("some.kind", "cost", 7400) }} {{ calc("v*gateways", v=m("some.kind", "cost", 7400)) }} '
        '{{ factor(m("some.kind", "cost", 7400), plan.cpu_ms) }}\n'
    )
    assert sizes.write(text) == 0
    assert sizes.page.read_text() == "not measured not measured not measured\n"
    assert sizes.add(line_of(7400, 24.0)) == 0
    assert sizes.run("--check") == 1
    assert sizes.run() == 0
    assert sizes.page.read_text() == "24 `some.kind@7400` 177,600 `some.kind@7400` 2× **over**\n"


def test_formula_with_an_unknown_name_is_refused(sizes, capsys):
    assert sizes.write('{{ calc("gateways*secret") }}\n') == 2
    assert "'secret' is none of its names" in capsys.readouterr().err


def test_broken_template_gives_a_one_line_error(sizes, capsys):
    assert sizes.write("{{ unknown }}\n") == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_formula_carries_the_range_of_its_values(sizes):
    found = PageData(sizes.records).calc("gateways*v", v=PageData(sizes.records).measured("some.kind", "cost", 100))
    assert (found.low, found.high) == pytest.approx((7400 * 12.012, 7400 * 12.024))


def test_trial_runs_are_used_only_without_other_runs(place):
    assert place.add(line_of(100, 50.0, trial=True, commit="")) == 0
    assert PageData(place.records).measured("some.kind", "cost", 100).qualifier == "trial"
    assert place.add(line_of(100, 10.0)) == 0
    found = PageData(place.records).measured("some.kind", "cost", 100)
    assert (found.value, found.low, found.qualifier) == (10.0, 10.0, "")


def test_ranking_puts_the_largest_excess_first():
    rows = [("a", Value(1.0), Value(10.0)), ("b", Value(None), Value(1.0)), ("c", Value(30.0), Value(10.0))]
    assert [name for name, _, _ in PageData([]).ranking(rows)] == ["c", "a", "b"]


def test_size_at_budget_is_where_the_fit_reaches_it(sizes):
    book = PageData(sizes.records)
    wall = book.size_at_budget("some.kind", "cost", 52.0)
    assert isinstance(wall, Value) and wall.value == pytest.approx(500, rel=0.01)
    assert book.size_at_budget("some.kind", "cost", 1.0) == "over at any size `some.kind`"
    assert book.size_at_budget("some.kind", "other", 1.0) == "not measured"


# ---- the data file


def edited(text: str) -> str:
    return text.replace('"cost": 10.0', '"cost": 11.0')


@pytest.mark.parametrize(
    "damage, said",
    [
        (lambda text: text.replace('"version": 1', '"version": 2'), "line 1: version: 2: this reads 1"),
        (lambda text: text.replace(capacity.FORMAT, "other"), 'line 1: format: "other"'),
        (lambda text: text[:-30], "line 4: "),
        (lambda text: text[: len(text) // 2], "line 2: "),
        (lambda text: "".join(text.splitlines(True)[:-1]), "line 3: "),
        (lambda text: text[:-1], "half written, no end"),
        (lambda text: "", "line 1: format: null"),
        (edited, "line 2: id: "),
        (lambda text: "".join(line for n, line in enumerate(text.splitlines(True)) if n != 1), "lines lost or moved"),
        (lambda text: "".join(text.splitlines(True)[n] for n in (0, 2, 1, 3)), "lines lost or moved"),
        (lambda text: "".join(text.splitlines(True)[n] for n in (0, 1, 1, 3)), "is on line 2 already"),
        (lambda text: text.replace(text.splitlines()[1], "[1]"), "line 2: '[1]': no object"),
    ],
    ids=[
        "version",
        "format",
        "cut in its end",
        "cut in a line",
        "no end",
        "no last end of line",
        "empty",
        "edited",
        "line lost",
        "lines moved",
        "line twice",
        "no object",
    ],
)
@pytest.mark.parametrize("words", [(), ("--check",), ("predict", "--what", "some.kind", "--size", "7"), ("add",)])
def test_damaged_data_is_reported_and_not_changed(place, capsys, damage, said, words):
    assert place.add(line_of(100, 10.0), line_of(200, 20.0)) == 0
    place.template.write_text("")
    damaged = damage(place.data.read_text())
    place.data.write_text(damaged)
    capsys.readouterr()
    assert (place.add(line_of(300, 30.0)) if words == ("add",) else place.run(*words)) == 2
    error = capsys.readouterr().err
    assert len(error.splitlines()) == 1 and "runs.jsonl" in error and said in error
    assert place.data.read_text() == damaged


def test_invalid_record_with_a_correct_id_is_reported(place, capsys):
    bad = {**capacity.run_from_result("x", result(), {}), "size": 0}
    bad["id"] = capacity.digest(bad)
    capacity.write_records(place.data, [bad])
    assert place.run("--check") == 2
    assert "runs.jsonl line 2: size: 0: " in capsys.readouterr().err


def test_missing_data_file_gives_a_one_line_error(place, capsys):
    assert place.run("--check") == 2
    assert "runs.jsonl: " in capsys.readouterr().err


def test_full_disk_leaves_the_data_unchanged(place, capsys, monkeypatch):
    assert place.add(line_of(100, 10.0)) == 0
    before = place.data.read_text()

    def full(number: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    assert place.add(line_of(200, 20.0)) == 2
    assert "runs.jsonl: not written" in capsys.readouterr().err
    assert place.data.read_text() == before
    assert [one.name for one in place.folder.iterdir() if one.name.startswith(".")] == []


def test_concurrent_additions_lose_nothing(place, monkeypatch):
    assert place.add(line_of(1, 1.0)) == 0
    whole = capacity.read_records

    def slow(path: Path) -> list[dict[str, Any]]:
        found = whole(path)
        time.sleep(0.02)
        return found

    monkeypatch.setattr(capacity, "read_records", slow)
    tasks = [
        threading.Thread(
            target=capacity.add_records,
            args=(place.data, lambda records, n=n: [run_from_result("x", line_of(n, 1.0), {})]),
        )
        for n in range(2, 8)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    assert sorted(one["size"] for one in whole(place.data)) == list(range(1, 8))


# ---- results


def test_a_result_added_twice_is_one_run(place, capsys):
    assert place.add(result()) == 0
    assert place.add(result(), result()) == 0
    assert len(place.records) == 1
    assert "0 of 2 runs are new" in capsys.readouterr().out


@pytest.mark.parametrize(
    "bad, said",
    [
        ("", "result1.json line 1: ''"),
        ('{"what": "a', "half written, no JSON"),
        ("[1]", "no object"),
        ('{"what": "x"}\n{"what', "half written, no JSON"),
        (result(what="Some Kind"), 'what: "Some Kind"'),
        (result(commit="HEAD"), 'commit: "HEAD"'),
        (result(commit=""), 'commit: ""'),
        (result(size=0), "size: 0"),
        (result(size=True), "size: true"),
        (result(size=1.5), "size: 1.5"),
        (result(values={}), "values: {}"),
        (result(values=7), "values: 7"),
        (json.dumps(result(values={"cost": math.nan})), "values: cost: NaN"),
        (json.dumps(result(values={"cost": math.inf})), "values: cost: Infinity"),
        (result(values={"cost": [1.0, "2"]}), 'values: cost[1]: "2"'),
        (result(raw={"cost": [1.0, None]}), "raw.cost[1]: null"),
        (result(raw=[1]), "raw: [1]"),
        (result(seed="1"), 'seed: "1"'),
        (result(seed=True), "seed: true"),
        (result(at="today"), 'at: "today"'),
        (result(machine=""), 'machine: ""'),
        (result(command=""), 'command: ""'),
        (result(command="python /home/me/x.py"), "a path of this machine"),
        (result(trial=1), "trial: 1"),
        ({"gateways": 250, "cpu_ms_per_s": {"median": 1}}, "bytes_per_s: null"),
        ({"gateways": 250, "cpu_ms_per_s": {"median": 1}, "bytes_per_s": {}, "clock": "wall"}, 'clock: "wall"'),
        ({"gateways": 250, "cpu_ms_per_s": {"median": 1}, "bytes_per_s": {}, "mechanism": "tree"}, 'mechanism: "tree"'),
        ({"gateways": 250, "cpu_ms_per_s": {"median": 1}, "bytes_per_s": {}}, "commit: null"),
    ],
)
def test_bad_result_is_reported_and_nothing_is_added(place, capsys, bad, said):
    assert place.add(result()) == 0
    before = place.data.read_text()
    capsys.readouterr()
    assert place.add(line_of(200, 20.0), bad) == 2
    error = capsys.readouterr().err
    assert len(error.splitlines()) == 1 and "result1.json" in error and said in error
    assert place.data.read_text() == before


def test_missing_result_file_gives_a_one_line_error(place, capsys):
    assert place.run("add", str(place.folder / "none.json")) == 2
    assert "none.json: " in capsys.readouterr().err


SCALE = {
    "gateways": 250,
    "real": 0,
    "hollow": 250,
    "clock": "virtual",
    "mechanism": "cells",
    "seed": 3,
    "voters": 9,
    "cpu_ms_per_s": {"median": 1.5, "p99": 2.0, "leader": 30, "relay": None},
    "bytes_per_s": {"median": 1800},
    "control_mb": 0.5,
    "false_deaths": 0,
    "zone_known_s": None,
    "rules": "held",
    "histories": 1,
    "load": 9.5,
    "delay_ms": [1, 60],
    "played": ["calm"],
    "stopped": None,
    "held": {f"k{n}": n for n in range(20)},
    "kinds": {"Ping": [7, 9]},
    "week_grown": {"a": [1, 2], "b": [1, 3]},
    "commit": "0123abc-dirty",
}


def test_add_reads_the_last_line_of_a_scale_run(place):
    text = "250 gateways, seed 3: all follow one plan\ncalm {}\n" + json.dumps(SCALE) + "\n"
    assert place.add(text, more=("--here",)) == 0
    (run,) = place.records
    assert (run["what"], run["size"], run["seed"], run["commit"]) == ("scale.cells.virtual", 250, 3, "0123abc+")
    values = run["values"]
    assert values["cpu_ms_per_s.median"] == 1.5 and values["rules"] == 1 and values["held.sum"] == 190
    assert values["week_grown.names"] == 2 and values["kinds.names"] == 1 and run["raw"] == {}
    assert "zone_known_s" not in values and "voters" not in values and "delay_ms" not in values
    assert "load average 9.5" in run["note"]
    assert run["command"] == "python -m benchmarks.scale 250 --seed 3 --faults calm"


@pytest.mark.parametrize(
    "more, what",
    [
        ({"mechanism": None, "clock": None}, None),
        ({"cells": True}, "scale.cells.virtual"),
        ({}, "scale.flat.virtual"),
        ({"real": 12}, "scale.flat.sockets"),
    ],
)
def test_kind_of_a_scale_run_comes_from_its_result(more, what):
    bare = {key: value for key, value in SCALE.items() if key not in ("mechanism", "clock")} | more
    fill = {"machine": "m", "at": "2026-12-02"}
    if what is None:
        with pytest.raises(InputError, match="mechanism: null"):
            run_from_result("x", bare, fill)
    else:
        assert run_from_result("x", bare, fill)["what"] == what


@pytest.mark.parametrize("rules, kept", [("held", 1), ([], 1), (["broken"], 0), ("rule 4 broken", 0), (True, 1)])
def test_broken_rules_become_a_value(rules, kept):
    found = run_from_result("x", {**SCALE, "rules": rules}, {"machine": "m", "at": "2026-12-02"})
    assert found["values"]["rules"] == kept


# ---- fits and predictions


def points(of: Any, wobble: float = 0.02) -> list[tuple[int, float, int]]:
    rng = np.random.default_rng(5)
    return [
        (n, of(n) * (1 + wobble * float(rng.uniform(-1, 1))), seed)
        for n in (100, 400, 1000, 4000)
        for seed in (1, 2, 3)
    ]


@pytest.mark.parametrize(
    "of, form",
    [
        (lambda n: 7.0, "flat"),
        (lambda n: 3 + 2 * math.log(n), "logarithmic"),
        (lambda n: 5 + 0.3 * n, "linear"),
        (lambda n: 90 - 8 * math.log(n), "logarithmic"),
    ],
)
def test_best_fitting_form_is_chosen(of, form):
    found = fit_best_form(points(of))
    assert found is not None and found.form == form
    assert found.residue < 0.03 and found.predict(7400) == pytest.approx(of(7400), rel=0.05)
    low, high = found.range(7400)
    assert low <= found.predict(7400) <= high and len(found.seed_fits) == 3


def test_data_of_another_form_give_a_large_residue():
    found = fit_best_form(points(lambda n: float(n) ** 2))
    assert found is not None and found.residue > capacity.MAX_RESIDUE


def test_two_sizes_are_too_few_for_a_fit(place):
    assert fit_best_form([(100, 1.0, 1), (200, 2.0, 1), (200, 2.1, 2)]) is None
    assert place.add(line_of(100, 1.0), line_of(200, 2.0)) == 0
    assert PageData(place.records).fitted("some.kind", "cost", 7400) == capacity.MISSING


def test_later_run_verifies_a_prediction(sizes, capsys):
    assert sizes.run("predict", "--what", "some.kind", "--size", "7400") == 0
    said = sizes.records[-1]
    assert said["values"]["cost"]["form"] == "linear"
    assert said["values"]["cost"]["value"] == pytest.approx(743, rel=0.01)
    (row,) = PageData(sizes.records).predictions()
    assert "not measured" in row and said["id"] in row
    assert sizes.add(line_of(7400, 1486.0, at="2999-01-01T00:00:00Z")) == 0
    (row,) = PageData(sizes.records).predictions()
    assert "+100%" in row and "some.kind@7400" in row
    held = PageData(sizes.records).fit("some.kind", "cost")
    assert held is not None and held.sizes == (100, 1000, 2500)


def test_earlier_run_does_not_verify_a_prediction(sizes):
    assert sizes.run("predict", "--what", "some.kind", "--size", "7400") == 0
    assert sizes.add(line_of(7400, 1486.0, at="2020-01-01T00:00:00Z")) == 0
    (row,) = PageData(sizes.records).predictions()
    assert "not measured" in row and "+100%" not in row


def test_prediction_without_a_commit_is_not_written(sizes, capsys, monkeypatch):
    monkeypatch.setattr(capacity, "commit_here", lambda: "")
    before = sizes.data.read_text()
    assert sizes.run("predict", "--what", "some.kind", "--size", "7400") == 2
    assert 'commit: ""' in capsys.readouterr().err
    assert sizes.data.read_text() == before


@pytest.mark.parametrize(
    "words, said",
    [
        (("--what", "some.kind", "--size", "1000"), "has measured it already"),
        (("--what", "none", "--size", "7"), "--what: none"),
        (("--what", "some.kind", "--size", "0"), "--size: 0"),
        (("--what", "few.kind", "--size", "7"), "a fit needs 3"),
    ],
)
def test_impossible_prediction_is_refused(sizes, capsys, words, said):
    assert sizes.add(result(what="few.kind")) == 0
    before = sizes.data.read_text()
    capsys.readouterr()
    assert sizes.run("predict", *words) == 2
    error = capsys.readouterr().err
    assert said in error and len(error.splitlines()) == 1
    assert sizes.data.read_text() == before


# ---- the benchmarks


@pytest.mark.parametrize(
    "words, said",
    [
        (("viewers", "idle", "0"), "N: 0: "),
        (("viewers", "playing", "99999999"), "N: 99999999: "),
        (("viewers", "delivery", "12"), "B: 12: "),
        (("shards", "flat", "9"), "GATEWAYS: 9: "),
        (("shards", "cells", "9000"), "GATEWAYS: 9000: "),
        (("shards", "jump", "100", "--shards", "99"), "--shards: 99: "),
    ],
)
def test_size_out_of_range_gives_a_one_line_error(words, said):
    done = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{words[0]}", *words[1:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr


def test_setups_are_measured_and_leave_no_process(place):
    found = viewers.measure("setups", 20, 1)
    assert place.add(found) == 0
    assert found["values"]["ms_each"] > 0
    for child in Path("/proc/self/task").glob("*/children"):
        for pid in child.read_text().split():
            assert "_gateway" not in Path(f"/proc/{pid}/cmdline").read_text()


def test_viewer_that_is_always_refused_ends_the_run_with_a_message(monkeypatch):
    monkeypatch.setattr(viewers, "MAX_ATTEMPTS", 2)
    came = []

    async def play() -> None:
        listener = await TcpNetwork().listen("127.0.0.1:0")

        async def close() -> None:
            while True:
                came.append(await listener.accept())
                came[-1].close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(close)
            await viewers.open_many(1, viewers.ViewerPool(listener.address).open)

    with pytest.raises(BaseExceptionGroup) as caught:
        trio.run(play)
    assert str(viewers.measurement_error_in(caught.value)) == "viewer 0: 0: refused 2 times"
    assert len(came) == 2
    assert viewers.measurement_error_in(BaseExceptionGroup("", [OSError()])) is None


@pytest.mark.parametrize("way", ["flat", "cells", "jump"])
def test_only_shards_of_dead_gateways_move(way, place):
    found = shards.measure(way, 100, 5000, 1)
    assert place.add(found) == 0
    assert found["values"]["needless_one"] == found["values"]["needless_rack"] == found["values"]["needless_zone"] == 0
    assert sum(found["raw"]["moved_one"]) > 0


def test_bounded_rendezvous_keeps_loads_in_bounds():
    found = shards.measure("bounded", 100, 5000, 1)["values"]
    assert found["load_most"] <= math.ceil(1.1 * 50) and found["listed"] > 0


def test_lookup_agrees_with_computed_owners():
    words = shards.keys(50, 7)
    for way in (shards.Flat, shards.Cells, shards.Jump):
        made = way(words.copy(), 60, 7)
        find, _, _ = made.lookup()
        source = made.shards if way is shards.Jump else words
        assert [find(int(word)) for word in source] == made.owners(np.array([], dtype=np.int64)).tolist()


def test_jump_hash_moves_shards_to_the_new_place_only():
    words = shards.keys(2000, 3)
    before, after = shards.jump_hash(words, 40), shards.jump_hash(words, 41)
    assert set(after[before != after].tolist()) == {40}
    assert 0 < (before != after).sum() < 150


def test_values_that_fit_no_form_are_not_extrapolated():
    """Quadratic growth: the least bad form would predict less for a larger size than was measured at a smaller one."""
    values = [(size, size**2 / 1000 * (1 + seed / 100), seed) for size in (50, 250, 1000, 2500) for seed in (1, 2, 3)]
    records = [
        {
            "kind": "run",
            "id": f"{n:08d}",
            "what": "scale.flat.virtual",
            "size": size,
            "seed": seed,
            "trial": False,
            "values": {"cpu_ms_per_s.leader": value},
        }
        for n, (size, value, seed) in enumerate(values)
    ]
    page = PageData(records)
    found = page.fitted("scale.flat.virtual", "cpu_ms_per_s.leader", 7400)
    assert (
        found.value is not None and found.value >= 2500**2 / 1000 and found.qualifier == "already there, no form fits"
    )
    assert "over at the greatest size measured" in str(
        page.size_at_budget("scale.flat.virtual", "cpu_ms_per_s.leader", 500.0)
    )
    assert "room at the greatest size measured" in str(
        page.size_at_budget("scale.flat.virtual", "cpu_ms_per_s.leader", 1e6)
    )
