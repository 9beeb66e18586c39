"""`python -m copperyard.gateway.node`: one node, as the platform starts it."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import AsyncIterator

import trio

from ...control.node.bounds import LINES_A_SECOND
from ...telemetry.lines import Lines
from ..net import TcpNetwork
from .daemon import Node
from .place import BadPlace, Place, read_place

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def main() -> int:
    """Serve until killed; exit 2 with one line where the configuration is wrong."""
    # a signal that comes before its receiver stands waits for it; it would end the process else
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        place = read_place(os.environ)
    except BadPlace as error:
        print(f"copperyard node: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    trio.run(serve, place)
    return 0


async def serve(place: Place) -> None:
    """Run the node; SIGHUP reads the configuration again, SIGTERM is the planned end."""
    node = Node(place, TcpNetwork(), Lines(LINES_A_SECOND))
    with trio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            nursery.start_soon(_signals, signals, node, nursery)
            await node.ended.wait()
            nursery.cancel_scope.cancel()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # one more changes nothing now


async def _signals(signals: AsyncIterator[int], node: Node, nursery: trio.Nursery) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            nursery.start_soon(node.reload, lambda: read_place(os.environ))
        else:
            nursery.start_soon(node.end)


if __name__ == "__main__":
    sys.exit(main())
