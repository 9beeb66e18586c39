"""A release that the gateway writes on a connection that the host has forgotten is lost: the session stays at its host,
and its seat is given to another one.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2.standins import (  # noqa: E402 the stand-ins lie beside the cases
    PAID,
    TROUBLE,
    CannotRunError,
    World,
    new_id,
    run,
)

SEATS = 2


async def body(world: World) -> bool:
    """Two sessions of a title stand, one is ended by its viewer, a third one is set up."""
    title, sessions = new_id(), [new_id() for _ in range(3)]
    for number in range(2):
        if await world.ask(f"viewer {number}", PAID, title, sessions[number]) != 200:
            raise CannotRunError("a session was not set up")
    await asyncio.sleep(3)
    host = world.host_of(sessions[1])
    if TROUBLE:
        world.proxies[host].forget_all()
    await asyncio.sleep(1)
    world.viewers["viewer 1"].end(sessions[1])
    await asyncio.sleep(2)
    await world.contact(host)
    await world.ask("viewer 2", PAID, title, sessions[2])
    await asyncio.sleep(5)
    standing = world.standing(title)
    world.record(f"{SEATS} seats; 5 s later there stand: {', '.join(standing)}")
    return len(standing) <= SEATS


def main() -> int:
    """Run the case; returns the exit status."""
    return run(lambda: World(HERE, classSeats=[0, SEATS]), body)


if __name__ == "__main__":
    sys.exit(main())
