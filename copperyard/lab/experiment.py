"""Experiments: a rehearsal over seeds, policies and settings, in parallel over the cores; all in virtual time."""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

from lxml import etree

from ..config import BadSettings, Mistake, Site, parse
from . import baselines, virtual
from .memnet import MemoryNetwork
from .rehearsal import parse_rehearsal
from .run import MS, Result, run_rehearsal

FIGURES = ("service", "whole", "worst_10s", "worst_class", "in_time")


@dataclass(frozen=True, slots=True)
class Job:
    """One run: the texts of settings and rehearsal, so that it can go to another process as it is."""

    settings: bytes
    rehearsal: bytes
    policy: str
    seed: int
    folder: str | None


def changed(settings: bytes, changes: Iterable[str], name: str) -> bytes:
    """Settings with `element/attribute=value` changes put in. BadSettings where a path names nothing."""
    root = etree.fromstring(settings)
    for change in changes:
        path, equal, value = change.partition("=")
        place, _, attribute = path.rpartition("/")
        found = root.findall(place) if place and equal else []
        if not found or not attribute:
            raise BadSettings(name, [Mistake(1, f"'{change}' is no ELEMENT/ATTRIBUTE=VALUE of these settings")])
        for element in found:
            element.set(attribute, value)
    return etree.tostring(root)


def run_job(job: Job) -> dict[str, object]:
    """Run one job in this process; its summary."""
    site: Site = parse(job.settings)
    rehearsal = parse_rehearsal(job.rehearsal, site)
    make = baselines.maker(job.policy)

    async def main() -> Result:
        return await run_rehearsal(
            site,
            rehearsal,
            MemoryNetwork(),
            job.seed,
            5 * MS,
            10 * MS,
            make=make,
            fleet_made=make.see if make else None,
        )

    result = virtual.run(main, job.seed)
    if job.folder is not None:
        from . import records  # pyarrow is loaded by those who want records

        records.write(Path(job.folder) / job.policy, result)
    return {
        **result.summary,
        "policy": job.policy,
        "breaks": [f"rule {b.rule} at {b.time / 1e9:.3f} s by {b.front}: {b.text}" for b in result.breaks[:20]],
    }


def run_all(
    jobs: list[Job], workers: int, progress: Callable[[int, dict[str, object]], None]
) -> list[dict[str, object]]:
    """Run jobs over worker processes; `progress` hears of each as it ends. Summaries in the jobs' order."""
    found: dict[int, dict[str, object]] = {}
    if workers <= 1:
        for n, job in enumerate(jobs):
            found[n] = run_job(job)
            progress(n, found[n])
        return [found[n] for n in range(len(jobs))]
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        futures = {pool.submit(run_job, job): n for n, job in enumerate(jobs)}
        from concurrent.futures import as_completed

        for future in as_completed(futures):
            found[futures[future]] = future.result()
            progress(futures[future], found[futures[future]])
    return [found[n] for n in range(len(jobs))]


def spread(summaries: list[dict[str, object]], figure: str) -> tuple[float, float]:
    """Mean and standard error over seeds."""
    values = [float(str(s[figure])) for s in summaries]
    error = statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
    return statistics.fmean(values), error


def compare(before: list[dict[str, object]], after: list[dict[str, object]]) -> dict[str, dict[str, float | str]]:
    """Paired by seed: the mean difference of each figure, its standard error, and a verdict: a difference under two
    errors, or under 0.01 of worth, is a tie. ValueError where no seed is in both."""
    one = {s["seed"]: s for s in before}
    two = {s["seed"]: s for s in after}
    seeds = [seed for seed in one if seed in two]
    if not seeds:
        raise ValueError("the two have no seed in common")
    found: dict[str, dict[str, float | str]] = {}
    for figure in FIGURES:
        gaps = [float(str(two[s][figure])) - float(str(one[s][figure])) for s in seeds]
        mean = statistics.fmean(gaps)
        error = statistics.stdev(gaps) / len(gaps) ** 0.5 if len(gaps) > 1 else float("inf")
        sure = abs(mean) > max(0.01, 2 * error)
        found[figure] = {
            "difference": round(mean, 4),
            "error": round(error, 4),
            "pairs": len(seeds),
            "verdict": ("better" if mean > 0 else "worse") if sure else "tie",
        }
    return found


def save(folder: Path, summaries: list[dict[str, object]]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "summaries.json").write_text(json.dumps(summaries, indent=1) + "\n")


def read(folder: Path) -> list[dict[str, object]]:
    """The summaries of a report folder. OSError, ValueError where there are none."""
    found = json.loads((folder / "summaries.json").read_text())
    if not isinstance(found, list) or not all(isinstance(x, Mapping) for x in found):
        raise ValueError(f"{folder}/summaries.json holds no summaries")
    return [dict(x) for x in found]
