"""A drawn storm over a council: cuts one way and both, pauses, deaths, shelves lost or older, loss, slow links."""

import random

from tests.agreement.helpers import MS, SECOND, Council, Manner, World


def storm(seed, make=Council, steps=40, bad_shelves=True):
    """Play it; the entries that were agreed on. AssertionError where something broke, or nothing works at the end.

    A shelf is lost, or an older copy of it put back, only while all other voters hold everything: a council survives
    the loss of as many shelves at a time as voters may die, and no more."""
    rng = random.Random(seed)
    world = World(
        seed,
        rng.choice((3, 3, 5)),
        Manner(rng.choice((0.0, 0.05, 0.2)), 0.05, (MS, rng.choice((5, 100, 400)) * MS)),
        make=make,
    )
    for _ in range(steps):
        world.net.run(world.net.now + rng.randint(100, 2500) * MS)
        world.propose()
        what, name = rng.randrange(8), rng.choice(world.voters)
        if what == 0:
            world.net.part([name], [x for x in world.voters if x != name], rng.random() < 0.5)
        elif what == 1:
            world.net.heal()
        elif what == 2:
            world.net.stop(name, rng.randint(100, 6000) * MS)
        elif what == 3:
            world.net.kill(name)
        elif what == 4:
            revive(world)
        elif (
            what == 5
            and bad_shelves
            and len(world.up()) == len(world.voters)
            and all(
                not world.core(x).recovering and world.core(x).last >= max(world.history, default=0)
                for x in world.voters
            )
        ):
            world.net.kill(name)
            if rng.random() < 0.5:
                world.shelves[name].clear()
            elif world.copies[name]:
                world.shelves[name][:] = world.copies[name]
            world.start(name)
        elif what == 6:
            world.copies[name] = list(world.shelves[name])
    world.net.heal()
    revive(world)
    world.net.run(world.net.now + 20 * SECOND)
    assert world.leader() is not None, "nobody leads after the storm"
    world.propose(b"end")
    world.net.run(world.net.now + 5 * SECOND)
    assert b"end" in world.data(), "nothing is agreed on after the storm"
    return world


def revive(world):
    for name in world.voters:
        if name not in world.net.nodes:
            world.start(name)
