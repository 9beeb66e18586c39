"""`python -m copperyard.gateway.node`: one node, as the platform starts it."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import replace

import trio

from ...control.node.bounds import LEAST_SOCKETS, LINES_A_SECOND
from ...telemetry.lines import Lines
from ..net import TcpNetwork
from .daemon import Node
from .place import BadPlace, Place, read_place

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def main() -> int:
    """Serve until killed; exit 2 with one line where the configuration is wrong."""
    # a signal that comes before its receiver stands waits for it; it would end the process else
    before = signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        place = bounded(read_place(os.environ), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    except BadPlace as error:
        print(f"copperyard node: {error}", file=sys.stderr)
        return 2
    else:
        gc.freeze()
        trio.run(serve, place)
        return 0
    finally:  # whoever called this may start programs of its own, which would inherit what is held back
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def bounded(place: Place, descriptors: int) -> Place:
    """The configuration with no more sockets than the system lets this process hold; all bounds come from these."""
    if descriptors == resource.RLIM_INFINITY or descriptors >= place.sockets:
        return place
    if descriptors < LEAST_SOCKETS:
        raise BadPlace(f"the system allows {descriptors} open files, under {LEAST_SOCKETS}")
    return replace(place, sockets=descriptors)


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
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # to the very end: a signal then finds nothing left to do
    sys.exit(main())
