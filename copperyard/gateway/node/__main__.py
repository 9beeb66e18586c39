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

from ...control.node.bounds import MAX_LOG_LINES_PER_S, MIN_SOCKETS
from ...telemetry.lines import JsonLineLogger
from ..net import TcpNetwork
from .daemon import Node
from .place import ConfigError, NodeConfig, read_config

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def main() -> int:
    """Serve until killed; returns exit status 2, with one line on standard error, if the configuration is invalid."""
    # blocked until the receiver is installed, as a signal before that would end the process
    before = signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        config = limit_sockets(read_config(os.environ), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    except ConfigError as error:
        print(f"copperyard node: {error}", file=sys.stderr)
        return 2
    else:
        gc.freeze()
        trio.run(serve, config)
        return 0
    finally:  # the caller may start programs, which would inherit the signal mask
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def limit_sockets(config: NodeConfig, descriptors: int) -> NodeConfig:
    """The configuration with `sockets` lowered to the limit of the system; all connection limits derive from it."""
    if descriptors == resource.RLIM_INFINITY or descriptors >= config.sockets:
        return config
    if descriptors < MIN_SOCKETS:
        raise ConfigError(f"the system allows {descriptors} open files, under {MIN_SOCKETS}")
    return replace(config, sockets=descriptors)


async def serve(config: NodeConfig) -> None:
    """Run the node; SIGHUP reloads the configuration, SIGTERM and SIGINT start the planned shutdown."""
    node = Node(config, TcpNetwork(), JsonLineLogger(MAX_LOG_LINES_PER_S))
    with trio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            nursery.start_soon(_handle_signals, signals, node, nursery)
            await node.ended.wait()
            nursery.cancel_scope.cancel()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # further signals have no effect now


async def _handle_signals(signals: AsyncIterator[int], node: Node, nursery: trio.Nursery) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            nursery.start_soon(node.reload, lambda: read_config(os.environ))
        else:
            nursery.start_soon(node.shut_down)


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the process exits: a signal then has no effect
    sys.exit(main())
