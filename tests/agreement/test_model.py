"""Exhaustive exploration of three voters within small bounds: no invariant breaks, and planted defects are found."""

import pytest

from copperyard.state.agreement.replica import Replica
from tests.agreement.model import Bounds, ModelViolationError, explore
from tests.agreement.test_replica import Eager, Twice


@pytest.mark.parametrize("bounds", [Bounds(1, 1, losses=1), Bounds(1, 1, twice=1), Bounds(2, 0)])
def test_no_invariant_breaks_within_small_bounds(bounds):
    states, whole = explore(Replica, bounds, seconds=90)
    assert whole and states > 1000


@pytest.mark.parametrize(("defect", "bounds"), [(Twice, Bounds(2, 0)), (Eager, Bounds(2, 1))])
def test_a_planted_defect_is_found(defect, bounds):
    with pytest.raises(ModelViolationError):
        explore(defect, bounds, seconds=90)
