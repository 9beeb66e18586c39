"""Rule 4 under the sum of all fronts, on small cases of benchmarks/cold.py; its table is in docs/measurements.md."""

from typing import Any

import pytest

from benchmarks.cold import Case, World
from copperyard.decide import Controller

# uneven, and the new hosts are all that has room
HARD: dict[str, Any] = dict(uneven=1.2, load=1.7, copies=10, hosts=12, fresh=4)


@pytest.mark.parametrize("fronts, places", [(1, 2), (2, 10), (20, 2), (30, 10), (230, 2)])
def test_all_fronts_together_stay_within_what_is_put_down_to_chance(fronts, places):
    for seed, multiple in enumerate((1.0, 3.0)):
        assert World(Case(fronts, places, multiple=multiple, **HARD), seed).run().worst() <= 1


def test_a_pace_without_regard_for_the_others_would_be_seen(monkeypatch):
    monkeypatch.setattr(Controller, "_turn", lambda *_: True)
    assert World(Case(30, 60, multiple=1.0, **HARD), 1).run().worst() > 1


def test_new_hosts_are_used_while_they_warm():
    found = World(Case(30, 60, **HARD), 1).run()
    assert found.mean() > found.budget  # more than one window's budget over the warm-up
