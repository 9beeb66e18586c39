"""Measures the cost of gateways' common decisions and their distance from the optimum, on a virtual clock.

python -m benchmarks.sites optimum        # water-filling against a linear program (scipy), 2,000 random sites
python -m benchmarks.sites members 250    # detection time, false deaths, messages and bytes a second, by size
python -m benchmarks.sites lost 250       # time from a zone's loss to a plan without it, epochs, traffic, running time
"""

from __future__ import annotations

import random
import statistics
import sys
import time

from copperyard.control.coordinator import MESSAGE_CODEC
from copperyard.control.zones.plan import Terms, ZoneStatus
from copperyard.control.zones.planner import allocate
from copperyard.lab.sites.simulated_network import LinkConditions
from copperyard.lab.sites.simulated_site import SimulatedMembership, SimulatedSite

SECOND = 1_000_000_000
MS = 1_000_000


def optimum() -> None:
    """Lost worth and extra distance, against a linear program that maximizes worth and then minimizes distance."""
    import numpy as np
    from scipy.optimize import linprog

    rng = random.Random(1)
    worth_gap, price_gap, took = [], [], []
    for _ in range(2000):
        n, classes = rng.randint(3, 8), 2
        regions = [rng.randrange(3) for _ in range(n)]
        prices = tuple(
            tuple(0.0 if h == z else 1.0 if regions[h] == regions[z] else 3.0 for z in range(n)) for h in range(n)
        )
        terms = Terms(prices, (1.0, 4.0), (100.0, 200.0), (1,) * n)
        rooms = [0.0 if rng.random() < 0.2 else rng.uniform(500, 1500) for _ in range(n)]
        demand = [[rng.uniform(0, 700), rng.uniform(0, 500)] for _ in range(n)]
        own = [min(sum(demand[z]), rooms[z]) for z in range(n)]
        free = [max(0.0, 0.9 * rooms[z] - own[z]) for z in range(n)]
        begin = time.perf_counter()
        given = allocate(terms, demand, rooms, free, [[1.0] * n for _ in range(n)])
        took.append(time.perf_counter() - begin)
        # variables x[h][c][z]: demand of class c at home zone h served in zone z; worth first, distance second
        gain = np.array(
            [
                terms.worths[c] / terms.loads[c] - 1e-5 * prices[h][z]
                for h in range(n)
                for c in range(classes)
                for z in range(n)
            ]
        )
        rows, limits = [], []
        for h in range(n):
            for c in range(classes):
                row = np.zeros((n, classes, n))
                row[h, c, :] = 1
                rows.append(row.ravel())
                limits.append(demand[h][c])
        for z in range(n):
            home, strangers = np.zeros((n, classes, n)), np.zeros((n, classes, n))
            home[z, :, z] = 1
            strangers[:, :, z] = 1
            strangers[z, :, z] = 0
            rows += [home.ravel(), strangers.ravel()]
            limits += [rooms[z], free[z]]
        best = linprog(-gain, A_ub=np.array(rows), b_ub=np.array(limits), method="highs").x.reshape(n, classes, n)
        ours = np.array(given)
        value = np.array([terms.worths[c] / terms.loads[c] for c in range(classes)])[None, :, None]
        far = np.array(prices)[:, None, :]
        most, got = float((best * value).sum()), float((ours * value).sum())
        worth_gap.append(0.0 if most <= 0 else 1 - got / most)
        if abs(worth_gap[-1]) < 1e-6 and (best * far).sum() > 1:
            price_gap.append(float((ours * far).sum() / (best * far).sum()) - 1)
    print(
        f"worth under the best: mean {statistics.mean(worth_gap):.5f}, worst {max(worth_gap):.4f}; distance over the "
        f"least where worth is equal ({len(price_gap)} sites): mean {statistics.mean(price_gap):.4f}, worst "
        f"{max(price_gap):.3f}; {1e6 * statistics.median(took):.0f} us a plan's filling"
    )


def members(count: int) -> None:
    """Membership alone: traffic, false deaths, and the time until one dead gateway and a dead zone are known."""
    world = SimulatedMembership(1, count, 5, LinkConditions(loss=0.01, delay=(1 * MS, 60 * MS)))
    world.net.message_size = lambda message: len(MESSAGE_CODEC.frame(message))
    world.run(30)
    begin, sent, size = world.net.now, world.net.sent, world.net.bytes
    world.run(30)
    rate = (world.net.sent - sent) / 30 / count
    heavy = (world.net.bytes - size) / 30 / count
    false = len(world.deaths())
    one = next(iter(world.roster))
    begin = world.net.now
    world.net.kill(one)
    world.run(30)
    first = min(at for at, _, whom in world.deaths(begin) if whom == one) - begin
    last = max(at for at, _, whom in world.deaths(begin) if whom == one) - begin
    begin = world.net.now
    lost = [name for name in world.gateways_in(3) if name in world.net.nodes]
    for name in lost:
        world.net.kill(name)
    world.run(60)
    known = [max((at for at, _, whom in world.deaths(begin) if whom == name), default=0) - begin for name in lost]
    print(
        f"{count} gateways: {rate:.2f} messages and {heavy:.0f} bytes a second each; false deaths in 60 s {false}; "
        f"one dead: first known after {first / SECOND:.1f} s, to all {last / SECOND:.1f} s; a zone of {len(lost)}: "
        f"to all {max(known) / SECOND:.1f} s"
    )


def lost(count: int) -> None:
    """The loss of a zone with its hosts: time until it is agreed and known to all, epochs, and the traffic before."""
    each = count // 5
    closed, known, epochs, sizes = [], [], [], []
    begun = time.perf_counter()
    for seed in range(3):
        site = SimulatedSite(seed, 5, each)
        site.net.message_size = lambda message: len(MESSAGE_CODEC.frame(message))
        site.run(25)
        site.net.sent = site.net.bytes = 0
        site.run(10)
        sizes.append((site.net.sent / 10 / count, site.net.bytes / 10 / count))
        before, begin = len(site.plans), site.net.now
        site.lose_zone(3)
        while site.standing(3) is not ZoneStatus.CLOSED and site.net.now - begin < 60 * SECOND:
            site.run(0.25)
        closed.append((site.net.now - begin) / SECOND)
        while any(
            one.core.plan is None or one.core.plan.zones[3].status is not ZoneStatus.CLOSED for one in site.fronts()
        ):
            site.run(0.25)
        known.append((site.net.now - begin) / SECOND)
        site.run(60)
        epochs.append(len(site.plans) - before)
    print(
        f"{count} gateways, 5 zones, one lost with its hosts: agreed after {statistics.mean(closed):.1f} s (worst "
        f"{max(closed):.1f}), known to all after {statistics.mean(known):.1f} s (worst {max(known):.1f}); "
        f"{max(epochs)} epochs at most in the minute after; {statistics.mean(s for s, _ in sizes):.1f} messages and "
        f"{statistics.mean(b for _, b in sizes):.0f} bytes a second each; {time.perf_counter() - begun:.0f} s to run"
    )


def main() -> None:
    """Run the benchmark named on the command line."""
    what = sys.argv[1] if len(sys.argv) > 1 else "optimum"
    if what == "optimum":
        optimum()
    else:
        {"members": members, "lost": lost}[what](int(sys.argv[2]))


if __name__ == "__main__":
    main()
