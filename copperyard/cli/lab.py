"""`copperyard lab`: rehearsals with stand-in hosts.

Plots and records are imported only by the commands that need them.
"""

from __future__ import annotations

import json
import re
from importlib.resources import files
from pathlib import Path
from typing import Annotated

import trio
import typer

from ..config import SettingsError, Site, parse
from ..gateway.net import TcpNetwork
from ..lab import virtual
from ..lab.fleet import Fleet
from ..lab.memnet import MemoryNetwork
from ..lab.rehearsal import Rehearsal, load_rehearsal
from ..lab.run import MS, Result, run_rehearsal
from ..lab.sites.faults import read_scenario
from ..lab.sites.scenario_run import run_scenario
from ..telemetry.logs import LogWriter
from .common import LogFormat, SettingsPath, load_site, parse_seconds, wait_for_end

lab = typer.Typer(no_args_is_help=True, help="Run rehearsals with stand-in hosts, all of it simulated.")


@lab.command("up")
def up(
    path: SettingsPath,
    duration: Annotated[str | None, typer.Option("--for", help="End after this time.")] = None,
    seed: int = 1,
    log: LogFormat = "json",
) -> None:
    """Start the list service, stand-in hosts and gateways of a site on loopback."""
    site, timeout_s, logs = _load_lab_site(path), parse_seconds(duration), LogWriter(log)

    async def main() -> None:
        fleet = Fleet(site, TcpNetwork(), seed, logs)

        async def shutdown() -> None:
            await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            await nursery.start(fleet.run)
            with trio.move_on_after(10):
                await fleet.ready()
            await nursery.start(wait_for_end, nursery, timeout_s, shutdown)
            typer.echo(
                json.dumps(
                    {
                        "event": "ready",
                        "gateways": [f"rtsp://{g.address}" for g in fleet.gateways],
                        "titles": [t.path for t in site.titles],
                        "list": f"http://{fleet.lists.address}",
                    }
                )
            )

    trio.run(main)


def _load_lab_site(path: Path) -> Site:
    site = load_site(path)
    if site.lab is None or not site.lab.hosts:
        typer.echo(f"{path}: no <lab> with hosts: there is nothing to rehearse with", err=True)
        raise typer.Exit(2)
    return site


SCRIPTED_DAYS = ("bad", "calm")
# Scripted scenarios ("days") in which each gateway runs as a process of its own.
PROCESS_DAYS = ("short", "council", "sites")


def _load_rehearsal(path: Path, site: Site) -> Rehearsal:
    try:
        return load_rehearsal(str(path), site)
    except SettingsError as error:
        typer.echo(str(error), err=True)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    raise typer.Exit(2)


@lab.command("day")
def day(
    name: Annotated[str, typer.Argument(help=f"One of {', '.join(SCRIPTED_DAYS + PROCESS_DAYS)}.")],
    settings: Annotated[Path | None, typer.Option(help="The site's settings.")] = None,
    seed: int = 1,
    faults: Annotated[
        Path | None, typer.Option(help="Script of faults instead of the named one, for days of processes.")
    ] = None,
    alone: Annotated[bool, typer.Option(help="Processes that do not coordinate.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Folder for what the processes write.")] = None,
    in_memory: Annotated[bool, typer.Option("--virtual", help="In memory, on a virtual clock.")] = False,
    report: Annotated[Path | None, typer.Option(help="Folder for the summary and the viewers' rows.")] = None,
    log: Annotated[str, typer.Option(help="json, console or none.")] = "none",
) -> None:
    """Run a scripted day and audit it; the last line on stdout is the summary. Exit 1 if a rule was broken."""
    if name in PROCESS_DAYS:
        return _run_process_day(name, settings or Path("examples/sites.xml"), seed, faults, alone, keep)
    if name not in SCRIPTED_DAYS:
        typer.echo(f"no day is named '{name}': there are {', '.join(SCRIPTED_DAYS + PROCESS_DAYS)}", err=True)
        raise typer.Exit(2)
    site = _load_lab_site(settings or Path("examples/caruso.xml"))
    rehearsal = _load_rehearsal(Path(str(files("copperyard.lab").joinpath("days", f"{name}.xml"))), site)
    logs = LogWriter(log) if log != "none" else lambda event, fields: None

    async def sockets() -> Result:
        return await run_rehearsal(site, rehearsal, TcpNetwork(), seed, 100 * MS, 300 * MS, logs)

    async def memory() -> Result:
        return await run_rehearsal(site, rehearsal, MemoryNetwork(), seed, 5 * MS, 10 * MS, logs)

    if not in_memory:
        typer.echo(f"{name}: {rehearsal.seconds:g} s of arrivals, then their ends", err=True)
    result = virtual.run(memory, seed) if in_memory else trio.run(sockets)
    _print_rule_violations(result)
    if report is not None:
        _write_report(report, result)
    typer.echo(json.dumps(result.summary))
    if result.violations:
        raise typer.Exit(1)


def _run_process_day(name: str, settings: Path, seed: int, faults: Path | None, alone: bool, keep: Path | None) -> None:
    """Run a day on which gateways are processes with a relay between them."""
    site = _load_lab_site(settings)
    if site.common is None:
        typer.echo(f"{settings}: no <common>: its gateways decide nothing together", err=True)
        raise typer.Exit(2)
    try:
        place = faults or Path(str(files("copperyard.lab.sites").joinpath("evenings", f"{name}.xml")))
        evening = read_scenario(place.read_bytes(), site, str(place))
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    except OSError as error:
        typer.echo(f"{faults}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    outcome = trio.run(
        run_scenario, site, settings.read_bytes(), evening, seed, alone, keep, lambda text: typer.echo(text, err=True)
    )
    for one in outcome.breaks[:50]:
        typer.echo(f"rule {one.rule} broken at {one.time / 1e9:.3f} s by {one.front}: {one.text}", err=True)
    for text in outcome.problems:
        typer.echo(text, err=True)
    typer.echo(json.dumps(outcome.summary))
    if outcome.breaks or outcome.problems:
        raise typer.Exit(1)


@lab.command("scale")
def scale(
    settings: Annotated[Path | None, typer.Argument(help="The site's settings; by default a random site.")] = None,
    gateways: Annotated[int, typer.Option(help="Gateways in total.")] = 60,
    real: Annotated[int, typer.Option(help="How many of them are real, with viewers.")] = 4,
    processes: Annotated[
        int | None, typer.Option(help="Processes for hollow gateways; each voter has its own.")
    ] = None,
    duration: Annotated[
        str, typer.Option("--for", help="Time from the first plan in force everywhere to the end.")
    ] = "60s",
    seed: int = 1,
    faults: Annotated[Path | None, typer.Option(help="What fails, XML; by default one gateway, then a zone.")] = None,
    rate: Annotated[float | None, typer.Option(help="Viewers a second in total.", min=0, max=1000)] = None,
    keep: Annotated[Path | None, typer.Option(help="Folder for what the processes write.")] = None,
) -> None:
    """Run real gateways beside hollow ones, which have no viewers; the last line on stdout is the result.

    Exit 1 if a rule was broken, plans had more than one history, or a process ended by itself; 2 if it cannot run.
    """
    from rich.console import Console
    from rich.progress import Progress

    from ..lab.sites import scale as runs
    from ..lab.sites.layout import InfeasibleRunError, ScaleOptions, machine_resources, prepare

    wish = ScaleOptions(gateways, real, processes, parse_seconds(duration), seed, rate)
    place = settings
    try:
        text = settings.read_bytes() if settings is not None else None
        place = faults
        trouble = faults.read_bytes() if faults is not None else None
        text, site, layout, takes = prepare(
            text, str(settings or "a drawn site"), wish, trouble, str(faults), machine_resources()
        )
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    except InfeasibleRunError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    except OSError as error:
        typer.echo(f"{place}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    console = Console(stderr=True)
    console.print(
        f"{gateways} gateways, {real} real ones and {gateways - real} hollow ones, in {takes.processes} "
        f"processes: some {takes.memory_mb:.0f} MB and up to {takes.descriptors} descriptors in one of them",
        highlight=False,
        soft_wrap=True,
    )
    with Progress(console=console, transient=True, disable=not console.is_terminal) as bar:
        task = bar.add_task("scale", total=wish.seconds)
        failed = ""
        try:
            result = trio.run(
                runs.run_scale,
                site,
                text,
                layout,
                wish,
                keep,
                lambda words: console.print(words, highlight=False, soft_wrap=True),
                lambda done: bar.update(task, completed=done),
            )
        except* (OSError, RuntimeError, trio.TooSlowError) as group:
            first: BaseException = group
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            failed = f"the run failed: {type(first).__name__} {first}"
    if failed:
        typer.echo(failed, err=True)
        raise typer.Exit(1)
    for words in [*result.rules_broken[:50], *result.problems[:50]]:
        typer.echo(words, err=True)
    typer.echo(json.dumps(result.figures))
    if not result.passed:
        raise typer.Exit(1)


def _print_rule_violations(result: Result) -> None:
    for one in result.violations[:50]:
        typer.echo(f"rule {one.rule} broken at {one.time / 1e9:.3f} s by {one.front}: {one.text}", err=True)


def _settings_path_of(path: Path) -> Path:
    """Return the path of the settings that a rehearsal names, relative to it, or of the default site."""
    try:
        found = re.search(r'<rehearsal[^>]*\ssite="([^"]+)"', path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(2) from None
    return path.parent / found[1] if found else Path("examples/caruso.xml")


@lab.command("run")
def run(
    path: Annotated[Path, typer.Argument(help="The rehearsal, XML.")],
    settings: Annotated[
        Path | None, typer.Option(help="The site's settings; by default those that the rehearsal names.")
    ] = None,
    seed: int = 1,
    repeat: Annotated[int, typer.Option(help="Number of consecutive seeds.", min=1, max=10_000)] = 1,
    policy: Annotated[list[str] | None, typer.Option(help="module, or a baseline; may be repeated.")] = None,
    change: Annotated[list[str] | None, typer.Option("--set", help="ELEMENT/ATTRIBUTE=VALUE in the settings.")] = None,
    jobs: Annotated[int, typer.Option(help="Worker processes.", min=1, max=256)] = 1,
    report: Annotated[Path | None, typer.Option(help="Folder for the report page and the records.")] = None,
) -> None:
    """Run a rehearsal in virtual time over seeds and policies; each line is a JSON summary. Exit 1 if the module broke
    a rule.
    """
    from rich.console import Console
    from rich.progress import Progress

    from ..lab import baselines, experiment

    policies = policy or ["module"]
    for one in policies:
        if one not in ("module", *baselines.POLICIES):
            typer.echo(f"no policy is named '{one}': there are module, {', '.join(baselines.POLICIES)}", err=True)
            raise typer.Exit(2)
    settings = settings if settings is not None else _settings_path_of(path)
    site = _load_lab_site(settings)
    rehearsal = _load_rehearsal(path, site)
    try:
        text = experiment.apply_changes(settings.read_bytes(), change or (), str(settings))
        parse(text, str(settings))
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    folder = str(report) if report is not None else None
    todo = [experiment.Job(text, path.read_bytes(), p, n, folder) for p in policies for n in range(seed, seed + repeat)]
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(rehearsal.name, total=len(todo))
        found = experiment.run_all(todo, jobs, lambda n, summary: bar.advance(task))
    for summary in found:
        typer.echo(json.dumps(summary))
    if report is not None:
        from ..lab import report as lab_report

        experiment.save(report, found)
        typer.echo(f"{lab_report.write(report, rehearsal.name, rehearsal.teaches, found)}", err=True)
    if any(s["policy"] == "module" and s["breaks"] for s in found):
        raise typer.Exit(1)


@lab.command("sweep")
def sweep(
    path: Annotated[Path, typer.Argument(help="The rehearsal, XML.")],
    over: Annotated[str, typer.Option(help="ELEMENT/ATTRIBUTE=V1,V2,... of the settings.")],
    settings: Annotated[
        Path | None, typer.Option(help="The site's settings; by default those that the rehearsal names.")
    ] = None,
    seed: int = 1,
    repeat: Annotated[int, typer.Option(min=1, max=10_000)] = 4,
    jobs: Annotated[int, typer.Option(min=1, max=256)] = 1,
) -> None:
    """Run a rehearsal for each value of a setting, over the same seeds; each line compares one value with the first."""
    from ..lab import experiment

    settings = settings if settings is not None else _settings_path_of(path)
    site = _load_lab_site(settings)
    _load_rehearsal(path, site)
    place, _, values = over.partition("=")
    texts = {}
    for value in values.split(","):
        try:
            texts[value] = experiment.apply_changes(settings.read_bytes(), [f"{place}={value}"], str(settings))
            parse(texts[value], f"{settings} with {place}={value}")
        except SettingsError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(2) from None
    todo = [
        experiment.Job(text, path.read_bytes(), "module", n, None)
        for text in texts.values()
        for n in range(seed, seed + repeat)
    ]
    found = experiment.run_all(todo, jobs, lambda n, summary: None)
    rows = {value: found[k * repeat : (k + 1) * repeat] for k, value in enumerate(texts)}
    first = next(iter(rows.values()))
    for value, summaries in rows.items():
        mean, wide = experiment.mean_and_error(summaries, "service")
        verdict = experiment.compare(first, summaries)["service"] if summaries is not first else {"verdict": "-"}
        broken = sum(bool(s["breaks"]) for s in summaries)
        typer.echo(
            f"{place}={value}: service {mean:.3f} +- {wide:.3f}, against the first: {verdict['verdict']}, "
            f"runs with a broken rule: {broken}"
        )


@lab.command("seed")
def seed_(number: Annotated[int, typer.Argument(help="The seed to replay.")]) -> None:
    """Generate a scenario from a seed, run it on the virtual clock, and report broken rules with the last messages.

    Exit 1 if a rule was broken.
    """
    from ..lab import world

    scenario = world.draw(number)
    result = world.run_scenario(scenario)
    for strike in scenario.rehearsal.faults:
        typer.echo(f"{strike.at:6.2f} to {strike.until:6.2f} s  {strike.kind}  {strike.whom}")
    typer.echo(f"network: {scenario.manners}")
    for one in result.violations[:5]:
        typer.echo(f"rule {one.rule} broken at {one.time / 1e9:.4f} s by {one.front}: {one.text}")
        for line in world.explain(result.tap, one):
            typer.echo(f"    {line}")
    for text in result.leftovers:
        typer.echo(f"left behind: {text}")
    typer.echo(json.dumps(result.summary))
    if result.violations or result.leftovers:
        raise typer.Exit(1)


@lab.command("seeds")
def seeds(
    span: Annotated[str, typer.Argument(help="A..B, inclusive.")],
    jobs: Annotated[int, typer.Option(min=1, max=256)] = 1,
) -> None:
    """Run many seeds; print a line for each that broke a rule, and a count. Exit 1 if any did."""
    from concurrent.futures import ProcessPoolExecutor
    from multiprocessing import get_context

    from ..lab.world import verdict

    found = re.fullmatch(r"([0-9]{1,9})\.\.([0-9]{1,9})", span)
    if not found or int(found[2]) < int(found[1]):
        typer.echo(f"'{span}' is not A..B with A up to B", err=True)
        raise typer.Exit(2)
    numbers = range(int(found[1]), int(found[2]) + 1)
    bad = requests = 0
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for row in pool.map(verdict, numbers, chunksize=4):
            requests += int(str(row["requests"]))
            if row["breaks"] or row["left"] or row["faults"]:
                bad += 1
                typer.echo(json.dumps(row))
    typer.echo(json.dumps({"seeds": len(numbers), "bad": bad, "requests": requests}))
    if bad:
        raise typer.Exit(1)


@lab.command("site")
def site(
    hosts: Annotated[int, typer.Option(min=1, max=5000)] = 250,
    gateways: Annotated[int, typer.Option(min=1, max=1000)] = 40,
    racks: Annotated[int, typer.Option(min=1, max=1000)] = 16,
    titles: Annotated[int, typer.Option(min=1, max=10_000)] = 60,
    seed: int = 1,
) -> None:
    """Print the settings of a site of the given size, for rehearsals at scale."""
    from ..lab.sitegen import site_xml

    typer.echo(site_xml(hosts, gateways, racks, titles, seed).decode(), nl=False)


@lab.command("load")
def load(
    gateways: Annotated[list[str], typer.Argument(help="rtsp://HOST:PORT of each gateway; loopback only.")],
    title: Annotated[list[str], typer.Option(help="A title's path; may be repeated, most popular first.")],
    rate: Annotated[float, typer.Option(help="Arrivals a second.", min=0.01, max=10_000)] = 10.0,
    duration: Annotated[str, typer.Option("--for", help="How long viewers arrive.")] = "10s",
    watch: str = "5s",
    patience: str = "5s",
    zipf: float = 0.8,
    paid: Annotated[float, typer.Option(help="Share of viewers with a code.", min=0, max=1)] = 0.0,
    workers: Annotated[int, typer.Option(min=1, max=64)] = 1,
    seed: int = 1,
) -> None:
    """Send open-loop load to running gateways; prints one JSON line. Exit 1 if the tool itself could not keep up."""
    from ..lab.loadtool import LoadSpec
    from ..lab.loadtool import run as run_load

    places = tuple(g.removeprefix("rtsp://").rstrip("/") for g in gateways)
    for place in places:
        if not re.fullmatch(r"(127(\.[0-9]{1,3}){3}|localhost|\[::1\]):[0-9]{1,5}", place):
            typer.echo(f"'{place}' is not HOST:PORT on loopback: load is sent to this machine only", err=True)
            raise typer.Exit(2)
    spec = LoadSpec(
        places,
        tuple(title),
        rate,
        min(3600.0, parse_seconds(duration)),
        parse_seconds(watch),
        parse_seconds(patience),
        zipf,
        paid,
        seed,
    )
    found = run_load(spec, workers)
    typer.echo(json.dumps(found))
    if found["void"]:
        raise typer.Exit(1)


@lab.command("compare")
def compare(
    before: Annotated[Path, typer.Argument(help="A report folder.")],
    after: Annotated[Path, typer.Argument(help="Another report folder, of the same seeds.")],
    policy: str = "module",
) -> None:
    """Compare two runs seed by seed: difference, standard error, and whether it is significant."""
    from ..lab import experiment

    try:
        one, two = ([s for s in experiment.read(f) if s["policy"] == policy] for f in (before, after))
        for figure, row in experiment.compare(one, two).items():
            typer.echo(
                f"{figure:12} {row['difference']:+.4f} +- {row['error']:.4f}  {row['verdict']}"
                f"  ({row['pairs']} pairs)"
            )
    except (OSError, ValueError) as error:
        typer.echo(f"cannot compare: {error}", err=True)
        raise typer.Exit(2) from None


def _write_report(folder: Path, result: Result) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "summary.json").write_text(json.dumps(result.summary, indent=1) + "\n")
    with (folder / "viewers.jsonl").open("w") as sink:
        for v in result.visits:
            sink.write(
                json.dumps(
                    {
                        "title": v.title,
                        "paid": bool(v.code),
                        "habit": v.habit,
                        "began_s": v.began / 1e9,
                        "statuses": v.statuses,
                        "played_after_s": None if v.played_after is None else v.played_after / 1e9,
                        "frames": v.frames,
                        "ended": v.ended,
                        "faults": v.faults,
                    }
                )
                + "\n"
            )
