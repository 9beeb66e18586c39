"""What all commands share: settings from a file, times with units, ending on a signal."""

from __future__ import annotations

import re
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import trio
import typer
from trio import TaskStatus

from ..config import BadSettings, Site, load

Settings = Annotated[Path, typer.Argument(help="The site's settings, XML.")]
Form = Annotated[str, typer.Option("--log", help="json or console.")]
_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}


def site_of(path: Path) -> Site:
    try:
        return load(str(path))
    except BadSettings as error:
        typer.echo(str(error), err=True)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    raise typer.Exit(2)


def seconds(text: str | None) -> float:
    if text is None:
        return float("inf")
    found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(ms|s|min|h)", text)
    if not found:
        raise typer.BadParameter(f"'{text}' is not a number and ms, s, min or h")
    return float(found[1]) * _UNITS[found[2]]


async def until_told(
    nursery: trio.Nursery,
    most: float,
    end: Callable[[], Awaitable[None]],
    task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Wait for SIGINT or SIGTERM, or `most` s; then end what runs."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        task_status.started()  # whoever reads that we are ready may send a signal at once
        with trio.move_on_after(most):
            async for _ in signals:
                break
        # a second signal does not wait for the drain
        async with trio.open_nursery() as ending:
            ending.start_soon(_hurry, signals, nursery.cancel_scope)
            await end()
            ending.cancel_scope.cancel()
    nursery.cancel_scope.cancel()


async def _hurry(signals: object, scope: trio.CancelScope) -> None:
    async for _ in signals:  # type: ignore[attr-defined]
        scope.cancel()
