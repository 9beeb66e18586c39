"""Tests of the emulator's model against closed-form results, and at its limits."""

import math
import random

import pytest

from copperyard.lab.emulator import HostModel, HostSpec, RackModel
from tests import helpers

MS, SECOND = 1_000_000, 1_000_000_000


def model(settings=None, rack=None, **spec):
    made = {"link": 10_000.0, "places": 20, "rate_error": 0.0, **spec}
    return HostModel(HostSpec(**made), settings or helpers.settings(), rack or RackModel(1e9), 5)


def mean_wait(one, rate, n=60_000, seed=7):
    """Return the mean time in the queue, in s, of n Poisson arrivals at `rate` a second."""
    rng, now, waited = random.Random(seed), 0.0, 0.0
    for _ in range(n):
        now += rng.expovariate(rate) * 1e9
        before = sorted(one._core_free_at)
        waited += max(0.0, before[0] - now)
        assert one.enqueue(int(now)) is not None
    return waited / n / 1e9


def erlang_wait(rate, service, cores):
    """Return the mean wait of M/M/c, in s."""
    a = rate * service
    top = a**cores / math.factorial(cores) * cores / (cores - a)
    busy = top / (sum(a**k / math.factorial(k) for k in range(cores)) + top)
    return busy * service / (cores - a)


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_wait_on_one_core_matches_pollaczek_khinchine(load):
    for spread in (0.0, 0.5):  # M/D/1 and M/G/1
        one = model(cores=1, service=10 * MS, spread=spread, queue=100_000)
        second = 0.01**2 * math.exp(spread**2)
        known = load / 0.01 * second / (2 * (1 - load))
        assert mean_wait(one, load / 0.01) == pytest.approx(known, rel=0.08)


@pytest.mark.parametrize("cores, load", [(2, 0.7), (4, 0.8)])
def test_wait_on_several_cores_matches_erlang_c(cores, load, monkeypatch):
    one = model(cores=cores, service=10 * MS, spread=0.4, queue=100_000)
    work = random.Random(51)
    monkeypatch.setattr(one.random, "lognormvariate", lambda mu, sigma: work.expovariate(1.0))
    rate = load * cores / 0.01
    assert mean_wait(one, rate, 150_000, 1) == pytest.approx(erlang_wait(rate, 0.01, cores), rel=0.1)


def test_full_queue_rejects_until_it_drains():
    one = model(cores=1, service=10 * MS, spread=0.0, queue=2)
    assert [one.enqueue(0) is not None for _ in range(5)] == [True, True, True, False, False]
    assert one.enqueue(11 * MS) is not None


def test_sessions_share_link_and_uplink_equally():
    rack = RackModel(1500.0)
    one, other = model(rack=rack, link=1000.0), model(rack=rack, link=10_000.0)
    streams = [one.open(0, "f", 0, n, 2) for n in range(5)]  # 400 kB/s each
    for stream in streams:
        one.play(0, stream, True)
    assert one.load() == 2.0 and one.share() == 0.5 and other.share() == pytest.approx(0.75)
    for stream in streams:
        one.account(SECOND, stream)
    # half is missing: 0.48 below 0.98, times the cost of 8, exceeds the whole worth
    assert streams[0].worth_s == 0.0 and streams[0].starved_s == 1.0
    one.change_rung(SECOND, streams[0], 0)
    assert one.demand() == 1700.0
    one.close(SECOND, streams[1])
    assert one.demand() == 1300.0 and len(one.streams) == 4


def test_viewers_of_live_title_share_a_stream():
    one = model()
    streams = [one.open(0, "f", 2, 7, 1) for _ in range(3)]
    for stream in streams:
        one.play(0, stream, True)
    assert one.demand() == pytest.approx(200.0 * 1.3)
    for stream in streams:
        one.close(0, stream)
    assert one.demand() == pytest.approx(0.0) and not one._live_viewers


@pytest.mark.parametrize("extra, stands", [(0, True), (1, False)])
def test_cold_host_fails_just_above_its_limit(extra, stands):
    one = model(places=20)
    one.restart(SECOND)
    # 3 x 20 places x 0.4 warm x 3 s / 12 s = 6 set-ups, and one of tolerance
    results = [one.arrive(SECOND) for _ in range(7 + extra)]
    assert results[-1] is stands and one.fallen is not stands


def test_warm_up_is_linear_and_warm_host_never_fails():
    one = model()
    one.restart(SECOND)
    assert one.warmth(SECOND) == 0.4 and one.warmth(7 * SECOND) == pytest.approx(0.7)
    assert one.warmth(99 * SECOND) == 1.0
    assert all(one.arrive(20 * SECOND) for _ in range(1000))


def test_pause_delays_queued_setups():
    one = model(cores=1, service=10 * MS, spread=0.0)
    first, second = one.enqueue(0), one.enqueue(0)
    one.pause(5 * MS, True)
    assert one.share() == 0.0
    one.pause(105 * MS, False)
    assert (first.done, second.done) == (110 * MS, 120 * MS) and one.share() == 1.0


def test_reports_lag_by_interval_and_delay():
    one = model(report_interval=300 * MS, report_window=100 * MS)
    for tick in range(100):
        if tick == 50:
            one.neighbour_share = 0.5
        one.sample(tick * 100 * MS)
    assert one.report(5400 * MS)[0] == 0.5 and one.report(5000 * MS)[0] == 0.0
    one.report_delay = 3 * SECOND
    assert one.report(7900 * MS)[0] == 0.0 and one.report(8400 * MS)[0] == 0.5
    assert one.reported_share(9 * SECOND, SECOND) == 1.0


def test_restart_clears_all_state():
    one = model()
    stream = one.open(0, "f", 0, 1, 1)
    one.play(0, stream, True)
    one.link_divisor = 3.0
    one.restart(5 * SECOND)
    assert (one.demand(), one.link_divisor, one.started, len(one.streams)) == (0.0, 1.0, 5 * SECOND, 0)
    one.close(6 * SECOND, stream)  # an event of a connection from before the restart
    assert one.demand() == 0.0
