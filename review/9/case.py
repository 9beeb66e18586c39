"""A host's answer is lost as its connection is reset: the session stands there and is never released, and its seat is
given to another one.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2.standins import (  # noqa: E402 the stand-ins lie beside the cases
    ANSWER,
    PAID,
    TROUBLE,
    CannotRunError,
    World,
    new_id,
    run,
)

SEATS = 2


async def body(world: World) -> bool:
    """Two sessions of a title are set up; the answer of one gets lost; a third one is set up."""
    title, sessions = new_id(), [new_id() for _ in range(3)]
    if await world.ask("viewer 0", PAID, title, sessions[0]) != 200:
        raise CannotRunError("a session was not set up")
    if TROUBLE:
        for proxy in world.proxies:
            proxy.spoil = lambda data: data[2] == ANSWER and data[3:11].hex() == sessions[1]
    await world.ask("viewer 1", PAID, title, sessions[1])
    host = world.host_of(sessions[1])
    await asyncio.sleep(1)
    await world.contact(host)
    await world.ask("viewer 2", PAID, title, sessions[2])
    await asyncio.sleep(5)
    await world.contact(host)
    standing = world.standing(title)
    world.record(f"{SEATS} seats; 5 s later there stand: {', '.join(standing)}")
    return len(standing) <= SEATS


def main() -> int:
    """Run the case; returns the exit status."""
    return run(lambda: World(HERE, classSeats=[0, SEATS]), body)


if __name__ == "__main__":
    sys.exit(main())
