"""The pace of queries to the name service: few in all, quick where one was lost."""

import random

from copperyard.membership.asking import (
    FAST_RETRIES,
    MS,
    QUERY_INTERVAL,
    RETRY_INTERVAL,
    SLOW_RETRY_INTERVAL,
    QueryPacer,
)

TOLD = 1500 * MS  # an event counts as told so long after it happened


def run(seconds, answered, seed=1):
    """The times of queries; `answered(n)` says whether the n-th got a good answer."""
    one, now, times = QueryPacer(random.Random(seed)), 0, []
    while now < seconds * 1000 * MS:
        times.append(now)
        one.query_sent(now)
        if answered(len(times)):
            one.answer_received()
        now = one.due
    return times


def test_an_event_is_heard_of_before_it_counts_as_told_with_two_answers_lost_after_it():
    for seed in range(50):
        for first in (2, 3, 4):
            times = run(10, lambda n, lost=(first, first + 1): n not in lost, seed)
            # it happens just after the query before those that are lost
            assert times[first + 1] - times[first - 2] <= TOLD


def test_two_hundred_fronts_ask_far_less_than_one_answer_each_quarter_of_a_second():
    total = sum(len(run(30, lambda n: True, seed)) for seed in range(200))
    assert total <= 200 * 30 * 1.1


def test_fronts_that_began_together_do_not_go_on_asking_together():
    fifth = {run(10, lambda n: True, seed)[5] // (50 * MS) for seed in range(200)}
    assert len(fifth) > 5


def test_a_service_that_is_down_is_asked_steadily_and_found_again_soon():
    times = run(20, lambda n: n < 3)
    gaps = [b - a for a, b in zip(times[3:], times[4:], strict=False)]
    assert max(gaps) <= SLOW_RETRY_INTERVAL and min(gaps[FAST_RETRIES:]) > RETRY_INTERVAL
    assert max(gaps) + QUERY_INTERVAL < 4500 * MS


def test_an_answer_that_comes_again_does_not_put_the_next_query_off():
    one = QueryPacer(random.Random(1))
    one.query_sent(0)
    one.answer_received()
    due = one.due
    one.answer_received()
    assert one.due == due
