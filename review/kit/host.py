"""A media host as a process: `python -m kit.host RECORD START NAME CELL LIFE IDLE`; prints its port."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from .standins import Host, Record


async def main(path: str, start: str, name: str, cell: str, life: str, idle: str) -> None:
    """Serve; sessions end after LIFE seconds, idle connections after IDLE. START: zero on the monotonic clock."""
    host = Host(Record(Path(path), float(start)), name, int(cell))
    host.life, host.idle = float(life), int(idle)
    await host.listen()
    print(host.address[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
