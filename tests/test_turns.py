"""Rule 4 by arithmetic: what fronts that cannot talk send to one cold server, all together, in any window."""

import random
from dataclasses import replace

import pytest

from copperyard import interface as api
from copperyard.decide import Controller
from tests.helpers import MS, SECOND, entry, request, sends, settings

FALL, WARM, WAY = 3 * SECOND, 40 * SECOND, 250 * MS
BOX = dict(fall=FALL, warm_within=WARM, fall_multiple=1.0, cold_from=1.0, connect_timeout=WAY)


def arrivals(fronts, budget, numbered, seed=1, skew=WAY // 2, seconds=30, start=0):
    """When set-ups reach a server of `budget` set-ups a second that began at 0, while every front always wants to
    send one. `skew` is by how much fronts' clocks differ at most; an attempt's way takes up to twice a connect."""
    rng = random.Random(seed)
    base = settings(fronts=fronts, places_by_kind=(1,), uplink_kb=1e9, weight_kb=1e9, **BOX)
    # cold_from stretches one place to the wanted budget a second: multiple * places * cold_from / warm
    base = replace(base, cold_from=budget * WARM / SECOND, places_by_kind=(1,))
    found = []
    for n in range(fronts):
        off = rng.randint(-skew, skew)
        one = Controller(replace(base, turn=(n, 100 * SECOND - off) if numbered else None), rng.getrandbits(32))
        server = entry(0, started=1)
        one.handle(max(1, start + off), api.ServerList(api.ListKind.FULL, (server,)))
        ref = 1
        for shared in range(start, seconds * SECOND, 250 * MS):
            now = max(1, shared + off)
            one.handle(now, api.Left(ref))
            ref += 1
            for action in sends(one.handle(now, request(ref, holders=4))):
                found.append(shared + rng.randint(0, 2 * WAY))
                # it ends at once, so that the place is free and the front wants again
                one.handle(now, api.Outcome(action.ref, 0, 0, api.Code.CANCELLED, 0, True))
    return sorted(found)


def most_in_a_window(times):
    return max((sum(1 for t in times if at - FALL < t <= at) for at in times), default=0)


@pytest.mark.parametrize("fronts", [1, 2, 3, 40, 250])
@pytest.mark.parametrize("budget", [0.3, 0.7, 1.0, 2.0, 3.0])
def test_numbered_fronts_never_pass_the_budget_of_any_window(fronts, budget):
    allowed = int(budget * FALL / SECOND) + 1
    worst = max(most_in_a_window(arrivals(fronts, budget, True, seed)) for seed in range(4 if fronts < 100 else 1))
    # and the budget is used: a cold server that gets nothing is no promise kept
    assert 1 <= worst <= allowed


def test_fronts_that_draw_do_pass_a_small_budget():
    # the edge's other side: with no number each front draws, and sooner or later too many draw a turn at once
    assert any(most_in_a_window(arrivals(3, 0.3, False, seed)) > 1 for seed in range(40))


def test_clocks_further_apart_than_a_connect_may_break_the_promise():
    assert any(most_in_a_window(arrivals(2, 0.3, True, seed, skew=20 * SECOND)) > 1 for seed in range(40))


def test_a_front_that_came_back_leaves_the_slot_of_its_earlier_life():
    first = arrivals(1, 0.3, True, skew=0)[0]
    again = arrivals(1, 0.3, True, start=first // (250 * MS) * (250 * MS) + 500 * MS, skew=0)
    assert again and most_in_a_window([first, *again]) == 1


def test_all_turns_of_a_slot_go_to_a_single_front_and_to_each_in_turn_where_there_are_more():
    for fronts, budget in ((1, 3.0), (3, 2.0), (40, 3.0)):
        times = arrivals(fronts, budget, True, skew=0, seconds=16)
        turns, slots = (int(budget * 3) + 1) // 2, 16 * SECOND // (FALL + 3 * WAY) - 1
        assert len(times) >= turns * slots


def test_a_server_that_tells_its_start_itself_is_cold_from_then():
    one = Controller(settings(turn=(0, 0), **{**BOX, "cold_from": 0.01}), 1)
    one.handle(SECOND, api.ServerList(api.ListKind.FULL, (entry(0),)))
    assert sends(one.handle(SECOND, request(1)))  # up for long: this front's own start does not make it cold
    one.handle(SECOND, api.Outcome(1, 0, 0, api.Code.MOOT, 0, True))
    one.handle(SECOND, api.ServerList(api.ListKind.DELTA, (entry(0, started=SECOND - 1),)))
    assert not sends(one.handle(SECOND, request(2)))
