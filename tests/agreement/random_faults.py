"""Random faults on a group of voters: one-way and full partitions, pauses, crashes, lost or old log stores, message
loss and slow links.
"""

import random

from tests.agreement.helpers import MS, SECOND, LinkConditions, Replica, World


def run_random_faults(seed, make=Replica, steps=40, bad_stores=True):
    """Run it and return the world. AssertionError if an invariant breaks or nothing can be committed at the end.

    A log store is lost, or replaced by an older copy, only while all other voters hold everything: the voters survive
    the loss of as many stores at a time as voters may die, and no more.
    """
    rng = random.Random(seed)
    world = World(
        seed,
        rng.choice((3, 3, 5)),
        LinkConditions(rng.choice((0.0, 0.05, 0.2)), 0.05, (MS, rng.choice((5, 100, 400)) * MS)),
        make=make,
    )
    for _ in range(steps):
        world.net.run(world.net.now + rng.randint(100, 2500) * MS)
        world.propose()
        what, name = rng.randrange(8), rng.choice(world.voters)
        if what == 0:
            world.net.partition([name], [x for x in world.voters if x != name], rng.random() < 0.5)
        elif what == 1:
            world.net.heal()
        elif what == 2:
            world.net.pause(name, rng.randint(100, 6000) * MS)
        elif what == 3:
            world.net.kill(name)
        elif what == 4:
            revive(world)
        elif (
            what == 5
            and bad_stores
            and len(world.up()) == len(world.voters)
            and all(
                not world.core(x).recovering and world.core(x).last_index >= max(world.history, default=0)
                for x in world.voters
            )
        ):
            world.net.kill(name)
            if rng.random() < 0.5:
                world.stores[name].clear()
            elif world.copies[name]:
                world.stores[name][:] = world.copies[name]
            world.start(name)
        elif what == 6:
            world.copies[name] = list(world.stores[name])
    world.net.heal()
    revive(world)
    world.net.run(world.net.now + 20 * SECOND)
    assert world.leader() is not None, "no leader after the faults"
    world.propose(b"end")
    world.net.run(world.net.now + 5 * SECOND)
    assert b"end" in world.data(), "nothing is committed after the faults"
    return world


def revive(world):
    for name in world.voters:
        if name not in world.net.nodes:
            world.start(name)
