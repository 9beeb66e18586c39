"""Background work: its share of the loop is kept, nobody starves, a defect shows once."""

import random

import pytest

from copperyard.control.scheduler import PATIENCE, Priority, Scheduler

MS = 1_000_000


def drive(one, until, cost, now=0):
    """Run whatever is picked, each piece taking `cost(job)`; when what ran."""
    ran = []
    while now < until:
        job = one.pick(now)
        if job is None:
            at = one.next(now)
            now = until if at is None else max(now + 1, at)
            continue
        ran.append((now, job.name))
        one.run(now, job)
        now += cost(job)
        one.took(now, job, cost(job))
    return ran


def always(now):
    return now


@pytest.mark.parametrize("share", [0.02, 0.05, 0.5])
@pytest.mark.parametrize("cost", [10_000, MS, 300 * MS])
def test_all_jobs_together_keep_to_their_share(share, cost):
    one = Scheduler(share)
    for n in range(5):
        one.add(0, f"job{n}", Priority(n % 3), always)
    until = 12_000 * MS
    ran = drive(one, until, lambda job: cost)
    spent = len(ran) * cost
    assert spent <= share * until + one.burst + cost
    if cost <= MS:  # while a long piece runs no more than the burst is saved up
        assert spent > share * until * 0.8 - cost


def test_the_urgent_go_first_and_the_others_are_not_forgotten():
    one = Scheduler()
    one.add(0, "house", Priority.IDLE, always)
    one.add(0, "soon", Priority.SOON, always)
    one.add(0, "usual", Priority.USUAL, always)
    ran = drive(one, 60_000 * MS, lambda job: 5 * MS)
    names = [name for _, name in ran]
    assert names.count("soon") > names.count("house") >= 60_000 * MS // PATIENCE - 2
    waits = [
        b - a
        for (a, _), (b, _) in zip(
            [r for r in ran if r[1] == "house"], [r for r in ran if r[1] == "house"][1:], strict=False
        )
    ]
    assert max(waits) <= PATIENCE + 400 * MS


def test_a_job_runs_when_it_wants_and_ends_when_it_says_so():
    one, times = Scheduler(), []

    def piece(now):
        times.append(now)
        return now + 100 * MS if len(times) < 4 else None

    one.add(0, "a", Priority.USUAL, piece, at=50 * MS)
    drive(one, 10_000 * MS, lambda job: 1000)
    assert times == [50 * MS, 150 * MS, 250 * MS, 350 * MS] and one.next(0) is None and not list(one)


def test_hurry_brings_a_job_forward():
    one = Scheduler()
    one.add(0, "a", Priority.IDLE, always, at=10_000 * MS)
    assert one.pick(0) is None and one.next(0) == 10_000 * MS
    one.hurry(MS, "a")
    assert one.pick(MS).name == "a"


def test_a_job_with_a_defect_is_dropped_and_the_others_go_on():
    one = Scheduler()

    def bad(now):
        raise ValueError("no")

    one.add(0, "bad", Priority.SOON, bad)
    one.add(0, "good", Priority.IDLE, always)
    with pytest.raises(ValueError):
        one.run(0, one.pick(0))
    assert one.pick(0).name == "good"


def test_a_clock_that_stands_or_goes_back_gives_no_credit():
    one = Scheduler(0.05, burst=MS)
    one.add(0, "a", Priority.USUAL, always)
    job = one.pick(0)
    one.took(0, job, 10 * MS)
    assert one.pick(0) is None and one.pick(-1000 * MS) is None
    assert one.pick(10_000 * MS) is not None


@pytest.mark.parametrize("share", [0.0, -1.0, 1.5])
def test_a_share_that_makes_no_sense_is_refused(share):
    with pytest.raises(ValueError, match="share"):
        Scheduler(share)


def test_no_order_of_events_loses_a_job():
    rng = random.Random(3)
    one, now, alive = Scheduler(), 0, set()
    for _ in range(3000):
        now += rng.randrange(20 * MS)
        step = rng.randrange(5)
        if step == 0:
            name = f"j{rng.randrange(8)}"
            one.add(now, name, Priority(rng.randrange(3)), lambda at: at + MS)
            alive.add(name)
        elif step == 1 and alive:
            name = rng.choice(sorted(alive))
            one.drop(name)
            alive.discard(name)
        else:
            job = one.pick(now)
            if job is not None:
                one.run(now, job)
                one.took(now, job, rng.randrange(2 * MS))
        assert {job.name for job in one} == alive
