"""A host that is cut off for some seconds is given up with its sessions, and they are never released there: after it is
back, they stand beside those that took their seats.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2.standins import (  # noqa: E402 the stand-ins lie beside the cases
    FREE,
    PAID,
    TROUBLE,
    CannotRunError,
    World,
    new_id,
    run,
)

SEATS = 2
CUT = 6.0  # seconds, for one host of five


async def body(world: World) -> bool:
    """Two sessions of a title stand; the host of one is cut off; its viewer comes again once it was told of its end."""
    title, other, sessions = new_id(), new_id(), [new_id() for _ in range(3)]
    for number in range(2):
        if await world.ask(f"viewer {number}", PAID, title, sessions[number]) != 200:
            raise CannotRunError("a session was not set up")
    await asyncio.sleep(3)
    host = world.host_of(sessions[1])
    start = time.time()
    if TROUBLE:
        world.proxies[host].cut_off()
    asked = []
    while time.time() < start + CUT:  # other viewers want titles that this host and two others hold
        asked.append(asyncio.create_task(world.ask("another viewer", FREE, other, new_id(), host)))
        await asyncio.sleep(0.4)
    if TROUBLE:
        world.proxies[host].heal()
    await asyncio.gather(*asked)
    if sessions[1] in world.viewers["viewer 1"].told:
        world.record("viewer 1 was told that its session is over, and comes again")
    await asyncio.sleep(1)
    await world.contact(host)
    await world.ask("viewer 1 again", PAID, title, sessions[2])
    await asyncio.sleep(10)
    await world.contact(host)
    standing = world.standing(title)
    world.record(f"{SEATS} seats; 10 s later there stand: {', '.join(standing)}")
    return len(standing) <= SEATS


def main() -> int:
    """Run the case; returns the exit status."""
    return run(lambda: World(HERE, classSeats=[0, SEATS]), body)


if __name__ == "__main__":
    sys.exit(main())
