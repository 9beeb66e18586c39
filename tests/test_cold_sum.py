"""Rule 4 for the sum over all fronts, on small cases of benchmarks/cold.py; its table is in docs/measurements.md."""

from typing import Any

import pytest

from benchmarks.cold import Case, Simulation
from copperyard.decide import Controller

# uneven traffic, and only the new hosts have room
HARD: dict[str, Any] = dict(uneven=1.2, load=1.7, copies=10, hosts=12, fresh=4)


@pytest.mark.parametrize("fronts, places", [(1, 2), (2, 10), (20, 2), (30, 10), (230, 2)])
def test_all_fronts_together_stay_within_the_allowance_for_chance(fronts, places):
    for seed, multiple in enumerate((1.0, 3.0)):
        assert Simulation(Case(fronts, places, multiple=multiple, **HARD), seed).run().worst_excess() <= 1


def test_fronts_that_ignore_each_other_exceed_the_allowance(monkeypatch):
    monkeypatch.setattr(Controller, "_may_send_cold", lambda *_: True)
    assert Simulation(Case(30, 60, multiple=1.0, **HARD), 1).run().worst_excess() > 1


def test_new_hosts_are_used_while_they_warm():
    result = Simulation(Case(30, 60, **HARD), 1).run()
    assert result.mean_setups() > result.budget  # more than one window's budget over the warm-up
