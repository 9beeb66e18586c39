"""Cells of a site: the same for every gateway, each gateway in one, few moved by changes, contacts known both ways."""

import os
import random
import subprocess
import sys

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from copperyard.membership.gateways.cells import CONTACTS_PER_ZONE, MAX_CELL_SIZE, MEAN_CELL_SIZE, CellMap, weight

ZONES = 5
LETTERS = st.characters(codec="utf-8", exclude_categories=["Cs"])


def site(*sizes, key="g"):
    return {f"{key}{zone}-{n}": zone for zone, size in enumerate(sizes) for n in range(size)}


def drawn(rng, size, zones=1):
    return {f"{rng.choice(('edge', 'gw', 'n'))}-{rng.getrandbits(40):x}.example": n % zones for n in range(size)}


def of(cells):
    """Which cell each gateway is in."""
    return {name: cell.key for zone in cells.zones for cell in zone for name in cell.names}


@settings(max_examples=60)
@given(size=st.integers(1, 1500), key=st.integers(0, 1 << 40))
@example(size=1, key=0)
@example(size=MEAN_CELL_SIZE, key=0)
@example(size=MEAN_CELL_SIZE + 1, key=0)
@example(size=1480, key=0)
@example(size=1500, key=0)
def test_each_gateway_is_in_one_cell_of_its_zone_and_none_is_too_large(size, key):
    roster = drawn(random.Random(key), size)
    cells = CellMap(roster, 1)
    names = [name for cell in cells.zones[0] for name in cell.names]
    assert sorted(names) == sorted(roster)
    assert len(cells.zones[0]) == -(-size // MEAN_CELL_SIZE)
    assert max(len(cell.names) for cell in cells.zones[0]) <= min(MAX_CELL_SIZE, size)
    # a cell with one dead member still has two delegates, if the zone is large enough
    assert min(len(cell.names) for cell in cells.zones[0]) >= min(3, size)
    assert all(cells.of(name).key == key for name, key in of(cells).items())


@given(
    names=st.dictionaries(st.text(LETTERS, max_size=12), st.integers(0, ZONES - 1), min_size=1, max_size=150),
    order=st.randoms(use_true_random=False),
)
def test_any_names_fall_into_cells_and_in_the_same_whatever_their_order(names, order):
    cells = CellMap(names, ZONES)
    assert of(cells).keys() == names.keys()
    assert all(key.startswith(f"{names[name]}.") for name, key in of(cells).items())
    assert max(len(cell.names) for zone in cells.zones for cell in zone) <= MAX_CELL_SIZE
    shuffled = list(names.items())
    order.shuffle(shuffled)
    other = CellMap(dict(shuffled), ZONES)
    assert other.zones == cells.zones and other.sizes == cells.sizes
    assert all(other.place(name) == cells.place(name) for name in names)


@pytest.mark.parametrize("size", [26, 500, 1480])
def test_full_cells_reject_the_same_gateways_for_any_order_of_the_roster(size):
    """Small rosters rarely fill a cell."""
    rng = random.Random(size)
    names = list(drawn(rng, size))
    cells = CellMap(dict.fromkeys(names, 0), 1)
    assert max(len(cell.names) for cell in cells.zones[0]) > MEAN_CELL_SIZE or size < 100
    for _ in range(3):
        rng.shuffle(names)
        assert CellMap(dict.fromkeys(names, 0), 1).zones == cells.zones


def test_a_process_with_another_hash_seed_computes_the_same_cells():
    code = """
from copperyard.membership.gateways.cells import CellMap, ranked
roster = {f"g{n % 5}-{n}": n % 5 for n in range(700)}
cells = CellMap(roster, 5)
print(sorted(cells.sizes.items()), cells.of("g3-3").ranks(), sorted(cells.place("g3-3").roster),
      sorted(cells.place("g3-3").watchers))
"""
    told = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("0", "1", "4711")
    }
    assert len(told) == 1 and "g3-3" in told.pop()


def test_the_weight_of_a_name_is_fixed():
    """A gateway of another version with different weights would compute different cells."""
    assert weight("cell 0.1", "g0-1") == 1497406912503347955
    assert weight("cell 0.1", "g0-2") != weight("cell 0.1", "g0-1") != weight("cell 0.2", "g0-1")


def moved(before, after):
    one, other = of(before), of(after)
    return sum(one[name] != other[name] for name in one.keys() & other.keys())


def test_one_that_joins_or_goes_moves_few_others():
    """None in most cases; a change of the size limit of a cell moves a few; one cell more or less moves about as many as
    a cell has."""
    rng = random.Random(7)
    same, other = [], []
    for size in [*range(20, 1500, 60), 24, 48, 240, 480, 960, 1440, 1480]:
        roster = drawn(rng, size)
        cells = CellMap(roster, 1)
        with_one = CellMap({**roster, f"new-{rng.getrandbits(40):x}": 0}, 1)
        gone = rng.choice(list(roster))
        without = CellMap({name: 0 for name in roster if name != gone}, 1)
        for changed in (with_one, without):
            (same if len(changed.zones[0]) == len(cells.zones[0]) else other).append(moved(cells, changed))
    assert sum(same) / len(same) <= 1 and max(same) <= MEAN_CELL_SIZE / 2
    assert other and sum(other) / len(other) <= 2 * MEAN_CELL_SIZE and max(other) <= 3 * MEAN_CELL_SIZE


def test_watchers_of_a_gateway_are_exactly_those_that_have_it_as_a_contact():
    cells = CellMap(site(60, 130, 20, 7, 250), ZONES)
    places = {name: cells.place(name) for name in cells.roster}
    for name, place in places.items():
        holders = {other: cells.roster[other] for other, there in places.items() if name in there.contacts}
        assert place.watchers == holders
        assert place.cell.zone not in place.contacts.values()
        for zone in {0, 1, 2, 3, 4} - {place.cell.zone}:
            there = [other for other, z in place.contacts.items() if z == zone]
            assert len(there) == min(CONTACTS_PER_ZONE, min(len(cells.of(other).names) for other in there))
            assert len({cells.of(other).key for other in there}) == 1


def test_at_7400_nobody_holds_or_answers_more_than_some_tens():
    cells = CellMap(site(*[1480] * 5), ZONES)
    places = [cells.place(name) for name in cells.roster]
    assert max(len(place.roster) for place in places) <= MAX_CELL_SIZE + 4 * CONTACTS_PER_ZONE
    assert max(len(place.watchers) for place in places) <= 4 * MAX_CELL_SIZE
    assert sum(not place.watchers for place in places) > len(places) / 2


def test_a_voter_hears_every_cell_and_only_a_voter_holds_their_sizes():
    cells = CellMap(site(*[100] * 5), ZONES)
    voter, other = cells.place("g0-0", votes=True), cells.place("g0-0")
    assert len(voter.watchers) == 499 and len(voter.sizes) == sum(len(zone) for zone in cells.zones) == 25
    assert not other.sizes and len(other.watchers) <= 4 * MAX_CELL_SIZE
    assert voter.cell == other.cell and voter.roster == other.roster


def test_a_site_of_twelve_is_one_in_which_everybody_knows_everybody():
    cells = CellMap(site(3, 3, 2, 2, 2), ZONES)
    assert [len(zone) for zone in cells.zones] == [1] * 5
    assert all(cells.place(name).roster == cells.roster for name in cells.roster)


def test_a_zone_without_gateways_has_one_empty_cell_and_no_contacts():
    cells = CellMap(site(3, 0, 3), 3)
    assert [len(zone) for zone in cells.zones] == [1, 1, 1] and cells.zones[1][0].names == ()
    assert cells.place("g0-0").roster == cells.roster
    with pytest.raises(KeyError):
        cells.place("g1-0")


@pytest.mark.parametrize("size", [2, 1, 0, -3, 25, 40])
def test_a_cell_size_that_is_not_possible_is_refused_with_the_value(size):
    with pytest.raises(ValueError, match=f"cells of {size} gateways: 3 to 24 are possible"):
        CellMap(site(30), 1, size)


@settings(max_examples=20)
@given(size=st.integers(3, 24), gateways=st.integers(1, 300))
def test_any_possible_cell_size_bounds_the_cells(size, gateways):
    cells = CellMap(site(gateways), 1, size)
    assert max(len(cell.names) for cell in cells.zones[0]) <= -(-size * 5 // 4)


def held(cells, voters=9):
    """Number of names that each front holds: its cell, contacts, watchers and the voters."""
    return sorted(len(place.roster) + len(place.watchers) + voters for place in map(cells.place, cells.roster))


def test_a_front_holds_at_7400_as_many_names_as_at_250():
    """50.2 and 57.6 in the mean. The greatest number, at a contact of four full cells, depends on the size of cells and
    not of the fleet: 106 with three cells of 17 per zone, 163 with 62 of 24."""
    small, large = held(CellMap(site(*[50] * 5), ZONES)), held(CellMap(site(*[1480] * 5), ZONES))
    assert sum(large) / len(large) <= 1.2 * sum(small) / len(small)
    assert large[-1] <= MAX_CELL_SIZE + 4 * CONTACTS_PER_ZONE + 4 * MAX_CELL_SIZE + 9
    assert held(CellMap(site(*[2960] * 5), ZONES))[-1] <= 1.05 * large[-1]
