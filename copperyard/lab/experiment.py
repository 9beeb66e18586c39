"""Experiments: a rehearsal run over seeds, policies and settings, in parallel processes and virtual time."""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

from lxml import etree

from ..config import Mistake, SettingsError, Site, parse
from . import baselines, virtual
from .memnet import MemoryNetwork
from .rehearsal import parse_rehearsal
from .run import MS, Result, run_rehearsal

FIGURES = ("service", "whole", "worst_10s", "worst_class", "in_time")


@dataclass(frozen=True, slots=True)
class Job:
    """One run; settings and rehearsal are XML texts, so that a job can be sent to another process."""

    settings: bytes
    rehearsal: bytes
    policy: str
    seed: int
    folder: str | None


def apply_changes(settings: bytes, changes: Iterable[str], name: str) -> bytes:
    """Return settings with `element/attribute=value` changes applied. Raise SettingsError if a path matches nothing."""
    root = etree.fromstring(settings)
    for change in changes:
        path, equal, value = change.partition("=")
        place, _, attribute = path.rpartition("/")
        found = root.findall(place) if place and equal else []
        if not found or not attribute:
            raise SettingsError(name, [Mistake(1, f"'{change}' is no ELEMENT/ATTRIBUTE=VALUE of these settings")])
        for element in found:
            element.set(attribute, value)
    return etree.tostring(root)


def run_job(job: Job) -> dict[str, object]:
    """Run one job in this process and return its summary."""
    site: Site = parse(job.settings)
    rehearsal = parse_rehearsal(job.rehearsal, site)
    make = baselines.gateway_factory(job.policy)

    async def main() -> Result:
        return await run_rehearsal(
            site,
            rehearsal,
            MemoryNetwork(),
            job.seed,
            5 * MS,
            10 * MS,
            make=make,
            fleet_made=make.attach if make else None,
        )

    result = virtual.run(main, job.seed)
    if job.folder is not None:
        from . import records  # loads pyarrow only if records are wanted

        records.write(Path(job.folder) / job.policy, result)
    return {
        **result.summary,
        "policy": job.policy,
        "breaks": [f"rule {b.rule} at {b.time / 1e9:.3f} s by {b.front}: {b.text}" for b in result.violations[:20]],
    }


def run_all(
    jobs: list[Job], workers: int, progress: Callable[[int, dict[str, object]], None]
) -> list[dict[str, object]]:
    """Run jobs in worker processes and return their summaries in the jobs' order.

    `progress` is called with a job's number and summary when it ends.
    """
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


def mean_and_error(summaries: list[dict[str, object]], figure: str) -> tuple[float, float]:
    """Return mean and standard error of a figure over seeds."""
    values = [float(str(s[figure])) for s in summaries]
    error = statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
    return statistics.fmean(values), error


def compare(before: list[dict[str, object]], after: list[dict[str, object]]) -> dict[str, dict[str, float | str]]:
    """Compare summaries paired by seed: mean difference, standard error and verdict for each figure.

    A difference of at most two standard errors, or at most 0.01, is a tie. Raise ValueError if there is no common seed.
    """
    before_by_seed = {s["seed"]: s for s in before}
    after_by_seed = {s["seed"]: s for s in after}
    seeds = [seed for seed in before_by_seed if seed in after_by_seed]
    if not seeds:
        raise ValueError("the two have no seed in common")
    found: dict[str, dict[str, float | str]] = {}
    for figure in FIGURES:
        differences = [float(str(after_by_seed[s][figure])) - float(str(before_by_seed[s][figure])) for s in seeds]
        mean = statistics.fmean(differences)
        error = statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else float("inf")
        significant = abs(mean) > max(0.01, 2 * error)
        found[figure] = {
            "difference": round(mean, 4),
            "error": round(error, 4),
            "pairs": len(seeds),
            "verdict": ("better" if mean > 0 else "worse") if significant else "tie",
        }
    return found


def save(folder: Path, summaries: list[dict[str, object]]) -> None:
    """Write the summaries to a report folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "summaries.json").write_text(json.dumps(summaries, indent=1) + "\n")


def read(folder: Path) -> list[dict[str, object]]:
    """Read the summaries of a report folder. Raise OSError or ValueError if there are none."""
    found = json.loads((folder / "summaries.json").read_text())
    if not isinstance(found, list) or not all(isinstance(x, Mapping) for x in found):
        raise ValueError(f"{folder}/summaries.json holds no summaries")
    return [dict(x) for x in found]
