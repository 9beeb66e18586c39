"""Shared by all commands: settings from a file, times with units, ending on a signal."""

from __future__ import annotations

import re
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import trio
import typer
from trio import TaskStatus

from ..config import SettingsError, Site, load

SettingsPath = Annotated[Path, typer.Argument(help="The site's settings, XML.")]
LogFormat = Annotated[str, typer.Option("--log", help="json or console.")]
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}


def load_site(path: Path) -> Site:
    """Load settings; on an error print it and exit with status 2."""
    try:
        return load(str(path))
    except SettingsError as error:
        typer.echo(str(error), err=True)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    raise typer.Exit(2)


def parse_seconds(text: str | None) -> float:
    """Return a time with a unit in seconds, infinity for None."""
    if text is None:
        return float("inf")
    found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(ms|s|min|h)", text)
    if not found:
        raise typer.BadParameter(f"'{text}' is not a number and ms, s, min or h")
    return float(found[1]) * _SECONDS_BY_UNIT[found[2]]


async def wait_for_end(
    nursery: trio.Nursery,
    timeout_s: float,
    shutdown: Callable[[], Awaitable[None]],
    task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Wait for SIGINT, SIGTERM or `timeout_s` seconds, then call `shutdown` and cancel the nursery."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        task_status.started()  # a signal may arrive as soon as the caller reports that it is ready
        with trio.move_on_after(timeout_s):
            async for _ in signals:
                break
        # a second signal cancels all tasks at once, without waiting for the drain
        async with trio.open_nursery() as ending:
            ending.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
            await shutdown()
            ending.cancel_scope.cancel()
    nursery.cancel_scope.cancel()


async def _cancel_on_signal(signals: object, scope: trio.CancelScope) -> None:
    async for _ in signals:  # type: ignore[attr-defined]
        scope.cancel()
