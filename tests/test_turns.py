"""Rule 4 in numbers: the set-ups that fronts without contact send to one cold server, in total, in any window."""

import random
from dataclasses import replace

import pytest

from copperyard import interface as api
from copperyard.decide import Controller
from tests.helpers import MS, SECOND, entry, request, sends, settings

WINDOW, WARM_UP, CONNECT_TIMEOUT = 3 * SECOND, 40 * SECOND, 250 * MS
COLD_RULES = dict(
    cold_window=WINDOW, warm_up_time=WARM_UP, cold_budget_multiple=1.0, cold_ratio=1.0, connect_timeout=CONNECT_TIMEOUT
)


def arrivals(fronts, budget, ranked, seed=1, skew=CONNECT_TIMEOUT // 2, seconds=30, start=0):
    """Times at which set-ups reach a server that started at 0 with a budget of `budget` set-ups a second, while each
    front always has one to send. `skew` is the most that a clock is off; an attempt travels for up to twice the connect
    timeout. Without `ranked`, fronts draw their turns."""
    rng = random.Random(seed)
    base = settings(fronts=fronts, places_by_kind=(1,), uplink_kb=1e9, kb_per_weight=1e9, **COLD_RULES)
    # with one place, cold_ratio sets the budget a second: multiple * places * cold_ratio / warm-up
    base = replace(base, cold_ratio=budget * WARM_UP / SECOND, places_by_kind=(1,))
    times = []
    for n in range(fronts):
        clock_offset = rng.randint(-skew, skew)
        controller = Controller(
            replace(base, rank_and_offset=(n, 100 * SECOND - clock_offset) if ranked else None), rng.getrandbits(32)
        )
        server = entry(0, started=1)
        controller.handle(max(1, start + clock_offset), api.ServerList(api.ListKind.FULL, (server,)))
        ref = 1
        for shared in range(start, seconds * SECOND, 250 * MS):
            now = max(1, shared + clock_offset)
            controller.handle(now, api.ViewerLeft(ref))
            ref += 1
            for action in sends(controller.handle(now, request(ref, holders=4))):
                times.append(shared + rng.randint(0, 2 * CONNECT_TIMEOUT))
                # it ends at once, so that the place is free and the front has another to send
                controller.handle(now, api.Outcome(action.ref, 0, 0, api.OutcomeCode.CANCELLED, 0, True))
    return sorted(times)


def most_in_a_window(times):
    return max((sum(1 for t in times if at - WINDOW < t <= at) for at in times), default=0)


@pytest.mark.parametrize("fronts", [1, 2, 3, 40, 250])
@pytest.mark.parametrize("budget", [0.3, 0.7, 1.0, 2.0, 3.0])
def test_ranked_fronts_never_exceed_the_budget_of_any_window(fronts, budget):
    allowed = int(budget * WINDOW / SECOND) + 1
    worst = max(most_in_a_window(arrivals(fronts, budget, True, seed)) for seed in range(4 if fronts < 100 else 1))
    # the budget must also be used: a server that gets nothing would pass the upper bound
    assert 1 <= worst <= allowed


def test_fronts_that_draw_turns_exceed_a_small_budget():
    # the converse: without ranks each front draws, and sooner or later too many draw a turn in one slot
    assert any(most_in_a_window(arrivals(3, 0.3, False, seed)) > 1 for seed in range(40))


def test_clocks_further_apart_than_a_connect_timeout_may_exceed_the_budget():
    assert any(most_in_a_window(arrivals(2, 0.3, True, seed, skew=20 * SECOND)) > 1 for seed in range(40))


def test_a_restarted_front_does_not_use_the_slot_it_may_have_used_before():
    first = arrivals(1, 0.3, True, skew=0)[0]
    again = arrivals(1, 0.3, True, start=first // (250 * MS) * (250 * MS) + 500 * MS, skew=0)
    assert again and most_in_a_window([first, *again]) == 1


def test_all_turns_of_a_slot_go_to_a_single_front_and_to_each_in_turn_where_there_are_more():
    for fronts, budget in ((1, 3.0), (3, 2.0), (40, 3.0)):
        times = arrivals(fronts, budget, True, skew=0, seconds=16)
        turns, slots = (int(budget * 3) + 1) // 2, 16 * SECOND // (WINDOW + 3 * CONNECT_TIMEOUT) - 1
        assert len(times) >= turns * slots


def test_a_server_that_reports_its_own_start_is_cold_from_then():
    controller = Controller(settings(rank_and_offset=(0, 0), **{**COLD_RULES, "cold_ratio": 0.01}), 1)
    controller.handle(SECOND, api.ServerList(api.ListKind.FULL, (entry(0),)))
    assert sends(controller.handle(SECOND, request(1)))  # up for long: the start of this front does not make it cold
    controller.handle(SECOND, api.Outcome(1, 0, 0, api.OutcomeCode.MOOT, 0, True))
    controller.handle(SECOND, api.ServerList(api.ListKind.DELTA, (entry(0, started=SECOND - 1),)))
    assert not sends(controller.handle(SECOND, request(2)))
