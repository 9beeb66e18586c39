"""Background jobs: the share of the loop is kept, no job starves, a defect is reported once."""

import random

import pytest

from copperyard.control.scheduler import MAX_WAIT_NS, Priority, Scheduler

MS = 1_000_000


def drive(scheduler, until, cost, now=0):
    """Run whatever is picked, each step taking `cost(job)`, and return the start times."""
    ran = []
    while now < until:
        job = scheduler.pick(now)
        if job is None:
            at = scheduler.next(now)
            now = until if at is None else max(now + 1, at)
            continue
        ran.append((now, job.name))
        scheduler.run(now, job)
        now += cost(job)
        scheduler.record_run(now, job, cost(job))
    return ran


def always(now):
    return now


@pytest.mark.parametrize("share", [0.02, 0.05, 0.5])
@pytest.mark.parametrize("cost", [10_000, MS, 300 * MS])
def test_all_jobs_together_keep_to_the_share(share, cost):
    scheduler = Scheduler(share)
    for n in range(5):
        scheduler.add(0, f"job{n}", Priority(n % 3), always)
    until = 12_000 * MS
    ran = drive(scheduler, until, lambda job: cost)
    spent = len(ran) * cost
    assert spent <= share * until + scheduler.burst + cost
    if cost <= MS:  # with longer steps only one burst of credit is saved up meanwhile
        assert spent > share * until * 0.8 - cost


def test_urgent_jobs_run_first_and_others_do_not_starve():
    scheduler = Scheduler()
    scheduler.add(0, "house", Priority.LOW, always)
    scheduler.add(0, "soon", Priority.HIGH, always)
    scheduler.add(0, "usual", Priority.NORMAL, always)
    ran = drive(scheduler, 60_000 * MS, lambda job: 5 * MS)
    names = [name for _, name in ran]
    assert names.count("soon") > names.count("house") >= 60_000 * MS // MAX_WAIT_NS - 2
    waits = [
        b - a
        for (a, _), (b, _) in zip(
            [r for r in ran if r[1] == "house"], [r for r in ran if r[1] == "house"][1:], strict=False
        )
    ]
    assert max(waits) <= MAX_WAIT_NS + 400 * MS


def test_a_job_runs_at_the_times_it_returns_and_ends_with_none():
    scheduler, times = Scheduler(), []

    def step(now):
        times.append(now)
        return now + 100 * MS if len(times) < 4 else None

    scheduler.add(0, "a", Priority.NORMAL, step, at=50 * MS)
    drive(scheduler, 10_000 * MS, lambda job: 1000)
    assert times == [50 * MS, 150 * MS, 250 * MS, 350 * MS] and scheduler.next(0) is None and not list(scheduler)


def test_expedite_makes_a_job_due():
    scheduler = Scheduler()
    scheduler.add(0, "a", Priority.LOW, always, at=10_000 * MS)
    assert scheduler.pick(0) is None and scheduler.next(0) == 10_000 * MS
    scheduler.expedite(MS, "a")
    assert scheduler.pick(MS).name == "a"


def test_a_job_that_raises_is_dropped_and_the_others_go_on():
    scheduler = Scheduler()

    def bad(now):
        raise ValueError("no")

    scheduler.add(0, "bad", Priority.HIGH, bad)
    scheduler.add(0, "good", Priority.LOW, always)
    with pytest.raises(ValueError):
        scheduler.run(0, scheduler.pick(0))
    assert scheduler.pick(0).name == "good"


def test_a_clock_that_stands_still_or_goes_back_gives_no_credit():
    scheduler = Scheduler(0.05, burst=MS)
    scheduler.add(0, "a", Priority.NORMAL, always)
    job = scheduler.pick(0)
    scheduler.record_run(0, job, 10 * MS)
    assert scheduler.pick(0) is None and scheduler.pick(-1000 * MS) is None
    assert scheduler.pick(10_000 * MS) is not None


@pytest.mark.parametrize("share", [0.0, -1.0, 1.5])
def test_an_invalid_share_is_refused(share):
    with pytest.raises(ValueError, match="share"):
        Scheduler(share)


def test_no_order_of_events_loses_a_job():
    rng = random.Random(3)
    scheduler, now, alive = Scheduler(), 0, set()
    for _ in range(3000):
        now += rng.randrange(20 * MS)
        step = rng.randrange(5)
        if step == 0:
            name = f"j{rng.randrange(8)}"
            scheduler.add(now, name, Priority(rng.randrange(3)), lambda at: at + MS)
            alive.add(name)
        elif step == 1 and alive:
            name = rng.choice(sorted(alive))
            scheduler.remove(name)
            alive.discard(name)
        else:
            job = scheduler.pick(now)
            if job is not None:
                scheduler.run(now, job)
                scheduler.record_run(now, job, rng.randrange(2 * MS))
        assert {job.name for job in scheduler} == alive
