"""`copperyard`: check settings, serve, and rehearse in the laboratory."""

from __future__ import annotations

import json
import random
import re
import secrets
import signal
from collections.abc import Awaitable, Callable
from importlib.resources import files
from pathlib import Path
from typing import Annotated

import trio
import typer
from trio import TaskStatus

from ..config import BadSettings, Site, load
from ..gateway.daemon import Gateway, Station
from ..gateway.listing import list_place
from ..gateway.net import TcpNetwork
from ..lab import virtual
from ..lab.fleet import Fleet
from ..lab.memnet import MemoryNetwork
from ..lab.rehearsal import Rehearsal, load_rehearsal
from ..lab.run import MS, Result, run_rehearsal
from ..telemetry.logs import Logs

app = typer.Typer(no_args_is_help=True, add_completion=False, help="A session front for streamed video.")
lab = typer.Typer(no_args_is_help=True, help="Rehearse with stand-in hosts, all of it simulated.")
app.add_typer(lab, name="lab")

Settings = Annotated[Path, typer.Argument(help="The site's settings, XML.")]
Form = Annotated[str, typer.Option("--log", help="json or console.")]
_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}


def _site(path: Path) -> Site:
    try:
        return load(str(path))
    except BadSettings as error:
        typer.echo(str(error), err=True)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    raise typer.Exit(2)


def _seconds(text: str | None) -> float:
    if text is None:
        return float("inf")
    found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(ms|s|min|h)", text)
    if not found:
        raise typer.BadParameter(f"'{text}' is not a number and ms, s, min or h")
    return float(found[1]) * _UNITS[found[2]]


async def _until_told(nursery: trio.Nursery, most: float, end: Callable[[], Awaitable[None]],
                      task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
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


@app.command()
def check(path: Settings) -> None:
    """Check settings; every mistake is told with its line."""
    site = _site(path)
    typer.echo(f"{path}: {len(site.gateways)} gateways, {len(site.rules.settings.classes)} classes, "
               f"{len(site.titles)} titles: good")


@app.command()
def serve(path: Settings,
          name: Annotated[str | None, typer.Option(help="Which gateway of the site; the first one else.")] = None,
          drain: Annotated[str, typer.Option(help="How long sessions may go on after the first signal.")] = "30s",
          log: Form = "json") -> None:
    """Run one gateway until SIGINT or SIGTERM; then take nothing new and let sessions end."""
    site = _site(path)
    place = next((g for g in site.gateways if name in (None, g.name)), None)
    if place is None:
        typer.echo(f"{path}: no gateway is named '{name}'", err=True)
        raise typer.Exit(2)
    station = Station(place.name, place.listen, site.rules_in(place.zone), site.catalogue(), site.zones,
                      list_place(site.list_url, site.list_wait, site.list_timeout))
    logs, most = Logs(log), _seconds(drain)

    async def main() -> None:
        gateway = Gateway(station, TcpNetwork(), secrets.randbits(64), random.SystemRandom(), logs)

        async def end() -> None:
            logs("draining", {"front": place.name})
            await gateway.drain(most)

        async with trio.open_nursery() as nursery:
            address = await nursery.start(gateway.run)
            await nursery.start(_until_told, nursery, float("inf"), end)
            typer.echo(json.dumps({"event": "ready", "gateways": [f"rtsp://{address}"], "list": site.list_url}))

    try:
        trio.run(main)
    except* OSError as error:
        typer.echo(f"{path}: cannot serve: {error.exceptions[0]}", err=True)
        raise typer.Exit(1) from None


@lab.command("up")
def up(path: Settings,
       last: Annotated[str | None, typer.Option("--for", help="End by itself after this time.")] = None,
       seed: int = 1, log: Form = "json") -> None:
    """Start the list service, stand-in hosts and gateways of a site on loopback."""
    site, most, logs = _lab_site(path), _seconds(last), Logs(log)

    async def main() -> None:
        fleet = Fleet(site, TcpNetwork(), seed, logs)

        async def end() -> None:
            await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            await nursery.start(fleet.run)
            with trio.move_on_after(10):
                await fleet.ready()
            await nursery.start(_until_told, nursery, most, end)
            typer.echo(json.dumps({
                "event": "ready", "gateways": [f"rtsp://{g.address}" for g in fleet.gateways],
                "titles": [t.path for t in site.titles], "list": f"http://{fleet.lists.address}"}))

    trio.run(main)


def _lab_site(path: Path) -> Site:
    site = _site(path)
    if site.lab is None or not site.lab.hosts:
        typer.echo(f"{path}: no <lab> with hosts: there is nothing to rehearse with", err=True)
        raise typer.Exit(2)
    return site


DAYS = ("bad", "calm")


def _rehearsal(path: Path, site: Site) -> Rehearsal:
    try:
        return load_rehearsal(str(path), site)
    except BadSettings as error:
        typer.echo(str(error), err=True)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    raise typer.Exit(2)


@lab.command("day")
def day(name: Annotated[str, typer.Argument(help=f"One of {', '.join(DAYS)}.")],
        settings: Annotated[Path, typer.Option(help="The site's settings.")] = Path("examples/caruso.xml"),
        seed: int = 1,
        in_memory: Annotated[bool, typer.Option("--virtual", help="In memory, on a virtual clock.")] = False,
        report: Annotated[Path | None, typer.Option(help="Folder for the summary and the viewers' rows.")] = None,
        log: Annotated[str, typer.Option(help="json, console or none.")] = "none") -> None:
    """Play a scripted day and audit it; the last line on stdout is the summary. Exit 1 where a rule broke."""
    site = _lab_site(settings)
    if name not in DAYS:
        typer.echo(f"no day is named '{name}': there are {', '.join(DAYS)}", err=True)
        raise typer.Exit(2)
    rehearsal = _rehearsal(Path(str(files("copperyard.lab").joinpath("days", f"{name}.xml"))), site)
    logs = Logs(log) if log != "none" else lambda event, fields: None

    async def sockets() -> Result:
        return await run_rehearsal(site, rehearsal, TcpNetwork(), seed, 100 * MS, 300 * MS, logs)

    async def memory() -> Result:
        return await run_rehearsal(site, rehearsal, MemoryNetwork(), seed, 5 * MS, 10 * MS, logs)

    if not in_memory:
        typer.echo(f"{name}: {rehearsal.seconds:g} s of arrivals, then their ends", err=True)
    result = virtual.run(memory, seed) if in_memory else trio.run(sockets)
    _tell(result)
    if report is not None:
        _write(report, result)
    typer.echo(json.dumps(result.summary))
    if result.breaks:
        raise typer.Exit(1)


def _tell(result: Result) -> None:
    for one in result.breaks[:50]:
        typer.echo(f"rule {one.rule} broken at {one.time / 1e9:.3f} s by {one.front}: {one.text}", err=True)


def _write(folder: Path, result: Result) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "summary.json").write_text(json.dumps(result.summary, indent=1) + "\n")
    with (folder / "viewers.jsonl").open("w") as sink:
        for v in result.visits:
            sink.write(json.dumps({
                "title": v.title, "paid": bool(v.code), "habit": v.habit, "began_s": v.began / 1e9,
                "statuses": v.statuses, "played_after_s": None if v.played_after is None else v.played_after / 1e9,
                "frames": v.frames, "ended": v.ended, "faults": v.faults}) + "\n")


if __name__ == "__main__":
    app()
