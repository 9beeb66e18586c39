"""The capacity page: its data, its fits, its figures and the runs they name."""

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
from benchmarks.capacity import CLOSE, MIDDLE, OPEN, Bad, Book, Value, as_run, fit, main
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


class Place:
    """A data file, a template and a page of a test's own."""

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
        return capacity.read(self.data)


@pytest.fixture
def place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Place:
    monkeypatch.setattr(capacity, "commit_here", lambda: "0123abc")
    monkeypatch.setattr(viewers, "commit", lambda: "0123abc")
    return Place(tmp_path)


@pytest.fixture
def sizes(place: Place) -> Place:
    """A site of three sizes and two seeds, of a cost of 2 + 0.1 n."""
    runs = [line_of(n, (2 + 0.1 * n) * (1 + 0.001 * seed), seed) for n in (100, 1000, 2500) for seed in (1, 2)]
    assert place.add(*runs) == 0
    return place


def test_the_committed_page_is_what_the_committed_data_gives(capsys):
    assert main(["--check"]) == 0, capsys.readouterr().out


def test_the_committed_page_has_ten_screens_at_most():
    assert len(capacity.PAGE.read_text().splitlines()) <= 450


# ---- the page and its figures


def test_a_page_that_differs_is_named_by_its_line(sizes, capsys):
    assert sizes.write('cost\n{{ m("some.kind", "cost", 100) }}\n') == 0
    assert sizes.run("--check") == 0
    assert "`some.kind@100`" in sizes.page.read_text()
    sizes.page.write_text(sizes.page.read_text().replace("12", "11"))
    assert sizes.run("--check") == 1
    assert "PAGE.md line 2: " in capsys.readouterr().out


@pytest.mark.parametrize("more", ["one more line\n", ""])
def test_a_page_with_more_or_less_at_its_end_differs(sizes, capsys, more):
    assert sizes.write("a\nb\n") == 0
    sizes.page.write_text("a\nb\n" + more if more else "a\n")
    assert sizes.run("--check") == 1
    assert f"PAGE.md line {3 if more else 2}: " in capsys.readouterr().out


def test_a_page_without_its_last_end_of_line_differs(sizes):
    assert sizes.write("a\nb\n") == 0
    sizes.page.write_text("a\nb")
    assert sizes.run("--check") == 1


def test_a_figure_that_was_typed_is_found(sizes, capsys):
    assert sizes.write('words\nit costs 41 kB, {{ m("some.kind", "cost", 100) }}\n') == 1
    assert "PAGE.md line 2: 41: names no run" in capsys.readouterr().out
    assert sizes.run("--check") == 1
    assert "line 2: 41: names no run" in capsys.readouterr().out


@pytest.mark.parametrize(
    "text", ["in `a 41 b` quotes\n", "[words](a41.md)\n", "```\n41\n```\n", "{{ plan.gateways }}\n"]
)
def test_names_links_code_and_the_operators_figures_need_no_run(sizes, text):
    assert sizes.write(text) == 0


def test_a_figure_whose_runs_are_not_named_on_its_line_is_found(sizes, capsys):
    assert sizes.write('{{ m("some.kind", "cost", 100).bare }}\n') == 1
    assert "its run some.kind@100 is not named on the line" in capsys.readouterr().out


@pytest.mark.parametrize("source, said", [("", "names no run"), ("gone@100", "its run gone@100 is not in the data")])
def test_a_figure_of_a_run_that_is_not_there_is_found(sizes, source, said):
    faults = capacity.unnamed(f"`gone@100` {OPEN}{source}{MIDDLE}12{CLOSE}\n", sizes.records)
    assert [said in fault for fault in faults] == [True]


def test_what_was_not_measured_says_so_and_fills_in(sizes):
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


def test_a_formula_of_names_that_nobody_knows_is_refused(sizes, capsys):
    assert sizes.write('{{ calc("gateways*secret") }}\n') == 2
    assert "'secret' is none of its names" in capsys.readouterr().err


def test_a_template_that_does_not_read_is_one_line(sizes, capsys):
    assert sizes.write("{{ unknown }}\n") == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_spread_of_a_figure_goes_through_a_formula(sizes):
    found = Book(sizes.records).calc("gateways*v", v=Book(sizes.records).m("some.kind", "cost", 100))
    assert (found.low, found.high) == pytest.approx((7400 * 12.012, 7400 * 12.024))


def test_trials_are_not_mixed_with_runs(place):
    assert place.add(line_of(100, 50.0, trial=True, commit="")) == 0
    assert Book(place.records).m("some.kind", "cost", 100).how == "trial"
    assert place.add(line_of(100, 10.0)) == 0
    found = Book(place.records).m("some.kind", "cost", 100)
    assert (found.value, found.low, found.how) == (10.0, 10.0, "")


def test_the_ranking_puts_the_largest_miss_first():
    rows = [("a", Value(1.0), Value(10.0)), ("b", Value(None), Value(1.0)), ("c", Value(30.0), Value(10.0))]
    assert [name for name, _, _ in Book([]).ranking(rows)] == ["c", "a", "b"]


def test_the_first_wall_is_where_the_fit_reaches_the_budget(sizes):
    book = Book(sizes.records)
    wall = book.wall("some.kind", "cost", 52.0)
    assert isinstance(wall, Value) and wall.value == pytest.approx(500, rel=0.01)
    assert book.wall("some.kind", "cost", 1.0) == "over at any size `some.kind`"
    assert book.wall("some.kind", "other", 1.0) == "not measured"


# ---- the data file


def edited(text: str) -> str:
    return text.replace('"cost": 10.0', '"cost": 11.0')


@pytest.mark.parametrize(
    "harm, said",
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
def test_harmed_data_is_named_and_left(place, capsys, harm, said, words):
    assert place.add(line_of(100, 10.0), line_of(200, 20.0)) == 0
    place.template.write_text("")
    harmed = harm(place.data.read_text())
    place.data.write_text(harmed)
    capsys.readouterr()
    assert (place.add(line_of(300, 30.0)) if words == ("add",) else place.run(*words)) == 2
    error = capsys.readouterr().err
    assert len(error.splitlines()) == 1 and "runs.jsonl" in error and said in error
    assert place.data.read_text() == harmed


def test_a_line_with_a_true_id_and_no_sense_is_named(place, capsys):
    bad = {**capacity.as_run("x", result(), {}), "size": 0}
    bad["id"] = capacity.digest(bad)
    capacity.write(place.data, [bad])
    assert place.run("--check") == 2
    assert "runs.jsonl line 2: size: 0: " in capsys.readouterr().err


def test_no_data_at_all_is_one_line(place, capsys):
    assert place.run("--check") == 2
    assert "runs.jsonl: " in capsys.readouterr().err


def test_a_disk_that_takes_nothing_leaves_what_was_there(place, capsys, monkeypatch):
    assert place.add(line_of(100, 10.0)) == 0
    before = place.data.read_text()

    def full(number: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    assert place.add(line_of(200, 20.0)) == 2
    assert "runs.jsonl: not written" in capsys.readouterr().err
    assert place.data.read_text() == before
    assert [one.name for one in place.folder.iterdir() if one.name.startswith(".")] == []


def test_two_that_add_at_once_lose_nothing(place, monkeypatch):
    assert place.add(line_of(1, 1.0)) == 0
    whole = capacity.read

    def slow(path: Path) -> list[dict[str, Any]]:
        found = whole(path)
        time.sleep(0.02)
        return found

    monkeypatch.setattr(capacity, "read", slow)
    tasks = [
        threading.Thread(
            target=capacity.change, args=(place.data, lambda records, n=n: [as_run("x", line_of(n, 1.0), {})])
        )
        for n in range(2, 8)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    assert sorted(one["size"] for one in whole(place.data)) == list(range(1, 8))


# ---- results


def test_the_same_result_twice_is_one_run(place, capsys):
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
def test_a_bad_result_is_named_and_takes_nothing_with_it(place, capsys, bad, said):
    assert place.add(result()) == 0
    before = place.data.read_text()
    capsys.readouterr()
    assert place.add(line_of(200, 20.0), bad) == 2
    error = capsys.readouterr().err
    assert len(error.splitlines()) == 1 and "result1.json" in error and said in error
    assert place.data.read_text() == before


def test_a_file_that_is_not_there_is_one_line(place, capsys):
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


def test_the_last_line_of_a_scale_run_is_taken(place):
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
def test_the_kind_of_a_scale_run_is_read_from_it(more, what):
    bare = {key: value for key, value in SCALE.items() if key not in ("mechanism", "clock")} | more
    fill = {"machine": "m", "at": "2026-12-02"}
    if what is None:
        with pytest.raises(Bad, match="mechanism: null"):
            as_run("x", bare, fill)
    else:
        assert as_run("x", bare, fill)["what"] == what


@pytest.mark.parametrize("rules, kept", [("held", 1), ([], 1), (["broken"], 0), ("rule 4 broken", 0), (True, 1)])
def test_rules_that_broke_are_told(rules, kept):
    found = as_run("x", {**SCALE, "rules": rules}, {"machine": "m", "at": "2026-12-02"})
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
def test_the_data_choose_the_form(of, form):
    found = fit(points(of))
    assert found is not None and found.form == form
    assert found.residue < 0.03 and found.at(7400) == pytest.approx(of(7400), rel=0.05)
    low, high = found.range(7400)
    assert low <= found.at(7400) <= high and len(found.spread) == 3


def test_a_form_that_fits_nothing_shows_by_its_residue():
    found = fit(points(lambda n: float(n) ** 2))
    assert found is not None and found.residue > capacity.LOOSE


def test_nothing_is_fitted_on_two_sizes(place):
    assert fit([(100, 1.0, 1), (200, 2.0, 1), (200, 2.1, 2)]) is None
    assert place.add(line_of(100, 1.0), line_of(200, 2.0)) == 0
    assert Book(place.records).f("some.kind", "cost", 7400) == capacity.MISSING


def test_a_prediction_is_checked_by_the_run_after_it(sizes, capsys):
    assert sizes.run("predict", "--what", "some.kind", "--size", "7400") == 0
    said = sizes.records[-1]
    assert said["values"]["cost"]["form"] == "linear"
    assert said["values"]["cost"]["value"] == pytest.approx(743, rel=0.01)
    (row,) = Book(sizes.records).predictions()
    assert "not measured" in row and said["id"] in row
    assert sizes.add(line_of(7400, 1486.0, at="2999-01-01T00:00:00Z")) == 0
    (row,) = Book(sizes.records).predictions()
    assert "+100%" in row and "some.kind@7400" in row
    held = Book(sizes.records).fit("some.kind", "cost")
    assert held is not None and held.sizes == (100, 1000, 2500)


def test_a_run_from_before_its_prediction_checks_nothing(sizes):
    assert sizes.run("predict", "--what", "some.kind", "--size", "7400") == 0
    assert sizes.add(line_of(7400, 1486.0, at="2020-01-01T00:00:00Z")) == 0
    (row,) = Book(sizes.records).predictions()
    assert "not measured" in row and "+100%" not in row


def test_a_prediction_of_no_commit_is_not_written(sizes, capsys, monkeypatch):
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
def test_a_prediction_that_is_none_is_refused(sizes, capsys, words, said):
    assert sizes.add(result(what="few.kind")) == 0
    before = sizes.data.read_text()
    capsys.readouterr()
    assert sizes.run("predict", *words) == 2
    error = capsys.readouterr().err
    assert said in error and len(error.splitlines()) == 1
    assert sizes.data.read_text() == before


# ---- what is measured


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
def test_a_wish_that_does_not_fit_is_one_line(words, said):
    done = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{words[0]}", *words[1:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr


def test_set_ups_are_measured_and_no_process_is_left(place):
    found = viewers.measure("setups", 20, 1)
    assert place.add(found) == 0
    assert found["values"]["ms_each"] > 0
    for child in Path("/proc/self/task").glob("*/children"):
        for pid in child.read_text().split():
            assert "_gateway" not in Path(f"/proc/{pid}/cmdline").read_text()


def test_a_viewer_that_is_always_refused_ends_the_run_in_words(monkeypatch):
    monkeypatch.setattr(viewers, "TRIES", 2)
    came = []

    async def play() -> None:
        listener = await TcpNetwork().listen("127.0.0.1:0")

        async def close() -> None:
            while True:
                came.append(await listener.accept())
                came[-1].close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(close)
            await viewers.many(1, viewers.Crowd(listener.address).open)

    with pytest.raises(BaseExceptionGroup) as caught:
        trio.run(play)
    assert str(viewers.unfit(caught.value)) == "viewer 0: 0: refused 2 times"
    assert len(came) == 2
    assert viewers.unfit(BaseExceptionGroup("", [OSError()])) is None


@pytest.mark.parametrize("way", ["flat", "cells", "jump"])
def test_only_shards_of_the_dead_move(way, place):
    found = shards.measure(way, 100, 5000, 1)
    assert place.add(found) == 0
    assert found["values"]["needless_one"] == found["values"]["needless_rack"] == found["values"]["needless_zone"] == 0
    assert sum(found["raw"]["moved_one"]) > 0


def test_bounded_loads_are_bounded():
    found = shards.measure("bounded", 100, 5000, 1)["values"]
    assert found["load_most"] <= math.ceil(1.1 * 50) and found["listed"] > 0


def test_all_who_reckon_a_place_reckon_the_same():
    words = shards.keys(50, 7)
    for way in (shards.Flat, shards.Cells, shards.Jump):
        made = way(words.copy(), 60, 7)
        find, _, _ = made.lookup()
        source = made.shards if way is shards.Jump else words
        assert [find(int(word)) for word in source] == made.owners(np.array([], dtype=np.int64)).tolist()


def test_jump_moves_shards_to_the_new_place_only():
    words = shards.keys(2000, 3)
    before, after = shards.jump(words, 40), shards.jump(words, 41)
    assert set(after[before != after].tolist()) == {40}
    assert 0 < (before != after).sum() < 150


def test_what_fits_no_form_is_not_extrapolated():
    """Grows with the square: the least bad form would say less of a greater size than was measured at a smaller one."""
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
    page = Book(records)
    found = page.f("scale.flat.virtual", "cpu_ms_per_s.leader", 7400)
    assert found.value is not None and found.value >= 2500**2 / 1000 and found.how == "already there, no form fits"
    assert "over at the greatest size measured" in str(page.wall("scale.flat.virtual", "cpu_ms_per_s.leader", 500.0))
    assert "room at the greatest size measured" in str(page.wall("scale.flat.virtual", "cpu_ms_per_s.leader", 1e6))
