"""A session that has ended at its host while its gateway started is handed over to it, and its end is never told: the
host repeats its release as the gateway connects, which is before that session is named.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2.standins import (  # noqa: E402 the stand-ins lie beside the cases
    FREE,
    TROUBLE,
    ViewerConnection,
    World,
    new_id,
    run,
)

SESSIONS, HOST = 8, 2
APART = 0.02  # seconds between two sessions that are handed over
LIMIT = 8.05  # seconds: the longer limit of the rule, from the end or, if that is later, from the hand-over


class PlayingWorld(World):
    """A world where sessions play before the gateway starts."""

    def __init__(self, case: Path) -> None:
        super().__init__(case)
        self.titles = {new_id(): new_id() for _ in range(SESSIONS)}
        self.ending = list(self.titles)[SESSIONS // 2]

    async def start(self) -> None:
        """Start everything; while the gateway starts, one session comes to its end."""
        for session, title in self.titles.items():
            self.hosts[HOST].plays(session, FREE, title)
        if TROUBLE:
            self.hosts[HOST].end(self.ending)
        await super().start()


async def body(world: PlayingWorld) -> bool:
    """The sessions are handed over, each on the connection of its viewer."""
    host, ending = world.hosts[HOST], world.ending
    own: dict[str, ViewerConnection] = {}
    for session, title in world.titles.items():
        own[session] = await world.viewer(f"viewer of {session}")
        own[session].hand_over(session, FREE, title, host.name, HOST, 1, new_id())
        await asyncio.sleep(APART)
    if not TROUBLE:
        await asyncio.sleep(2)
        host.end(ending)
    at = time.time()
    await own[ending].until(lambda: ending in own[ending].told, LIMIT)
    tests = 0
    for connection in own.values():
        connection.test()
        tests += await connection.until(lambda passed=connection.tests: bool(passed), 1)
    world.record(f"{tests} of {SESSIONS} connections are open, and a test on them is answered")
    told = min((one.told[ending][1] - at for one in own.values() if ending in one.told), default=None)
    world.record(f"the end of {ending} was told after {told:.3f} s" if told is not None else "its end was never told")
    return told is not None


def main() -> int:
    """Run the case; returns the exit status."""
    return run(lambda: PlayingWorld(HERE), body)


if __name__ == "__main__":
    sys.exit(main())
