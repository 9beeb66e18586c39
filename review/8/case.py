"""With a name service whose answers take 1.2 s, set-ups go to a host that drains for longer than its grace."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2.standins import (  # noqa: E402 the stand-ins lie beside the cases
    FREE,
    TROUBLE,
    CannotRunError,
    NameService,
    ViewerConnection,
    World,
    new_id,
    run,
)

DELAY = 1.2  # seconds that an answer takes
LIMIT = 1.5 + 0.25 + 0.05  # "no later than 1.5 s after it happened", the grace, and 50 ms


class SlowNameService(NameService):
    """Reads its list when a query comes, and sends the answer some time later."""

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Answer a query late."""
        self.queries += 1
        answer = self.answer(data)
        asyncio.get_running_loop().call_later(DELAY if TROUBLE else 0, self._transport.sendto, answer, source)


class SlowWorld(World):
    """A world with a slow name service."""

    def __init__(self, case: Path) -> None:
        super().__init__(case)
        self.names = self.gateway.names = SlowNameService(self.record)


async def body(world: World) -> bool:
    """Each host drains in turn, under steady traffic."""
    lines = [await world.viewer(f"viewers {number}") for number in range(4)]
    served: list[int] = []
    warm = time.time() + 13  # from when the hosts count as warm to a gateway that has started

    async def one(line: ViewerConnection) -> None:
        session = new_id()
        line.ask(session, FREE, new_id(), 2500, 0, 5, new_id())
        status = await line.answer(session)
        served.append(status)
        if status == 200:
            await asyncio.sleep(0.2)
            line.end(session)

    async def traffic() -> None:
        tasks = set()
        number = 0
        while True:
            task = asyncio.create_task(one(lines[number % 4]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(0.2 if time.time() < warm else 0.04)

    running = asyncio.create_task(traffic())
    await asyncio.sleep(14)
    late = []
    for number in range(16):
        host = world.hosts[number % 5]
        world.names.entries[host.name]["priority"] = 1
        world.names.serial += 1
        at = time.time()
        world.record(f"{host.name} drains")
        await asyncio.sleep(3.3 + 0.17 * (number % 7))
        ages = [when - at for when, _, _ in host.setups if when >= at]
        last = max(ages, default=0.0)
        late += [age for age in ages if age > LIMIT]
        world.record(f"{host.name}: the last set-up came {last:.3f} s after it began to drain")
        world.names.entries[host.name]["priority"] = 0
        world.names.serial += 1
        await asyncio.sleep(1.5)
    running.cancel()
    if served.count(200) < len(served) // 2:
        raise CannotRunError(f"{served.count(200)} of {len(served)} served")
    world.record(f"{served.count(200)} of {len(served)} served; {len(late)} set-ups came more than {LIMIT:.2f} s after")
    return not late


def main() -> int:
    """Run the case; returns the exit status."""
    return run(lambda: SlowWorld(HERE), body)


if __name__ == "__main__":
    sys.exit(main())
