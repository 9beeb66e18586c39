"""Writes the HTML report of an experiment: figures with standard errors, causes of lost worth, load of the hosts."""

from __future__ import annotations

import base64
import io
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
import pyarrow.parquet as pq

from .experiment import FIGURES, mean_and_error

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402


def write(folder: Path, title: str, teaches: str, summaries: list[dict[str, object]]) -> Path:
    """Write `index.html` to the folder, from the summaries and any Parquet records; return its path."""
    policies = list(dict.fromkeys(str(s["policy"]) for s in summaries))
    by_policy = {p: [s for s in summaries if s["policy"] == p] for p in policies}
    first: Any = summaries[0]
    causes = list(first["lost"])
    page = _template().render(
        title=title,
        teaches=teaches,
        runs=len(summaries),
        figures=FIGURES,
        causes=causes,
        summaries=summaries,
        broken=[f"{s['policy']}, seed {s['seed']}: {b}" for s in summaries for b in _string_list(s["breaks"])],
        void=sum(bool(s["void"]) for s in summaries),
        table=[(p, [mean_and_error(rows, f) for f in FIGURES]) for p, rows in by_policy.items()],
        losses=[
            (p, [sum(_number_at(s["lost"], c) for s in rows) / len(rows) for c in causes])
            for p, rows in by_policy.items()
        ],
        pictures=[
            ("What hosts were asked", _plot_host_load(folder, p, int(str(rows[0]["seed"]))))
            for p, rows in by_policy.items()
            if (folder / p).is_dir()
        ]
        + [("Time to play", _plot_play_times(folder, by_policy))],
    )
    place = folder / "index.html"
    place.write_text(page)
    return place


def _template() -> jinja2.Template:
    loader = jinja2.PackageLoader("copperyard.lab", ".")
    return jinja2.Environment(loader=loader, autoescape=True).get_template("report.html.j2")


def _string_list(value: object) -> list[str]:
    return [str(x) for x in value] if isinstance(value, list) else []


def _number_at(value: object, key: str) -> float:
    return float(value[key]) if isinstance(value, dict) else 0.0


def _encode_figure(figure: Any) -> str:
    sink = io.BytesIO()
    figure.savefig(sink, format="png", dpi=80, bbox_inches="tight")
    plt.close(figure)
    return base64.b64encode(sink.getvalue()).decode()


def _plot_host_load(folder: Path, policy: str, seed: int) -> str:
    """Plot the link load of every host over the seconds of one run."""
    rows = pq.read_table(folder / policy / f"hosts-{seed}.parquet").to_pydict()
    names = list(dict.fromkeys(rows["host"]))
    seconds = max(rows["second"], default=0)
    grid = [[0.0] * seconds for _ in names]
    for second, host, load in zip(rows["second"], rows["host"], rows["link_load"], strict=True):
        grid[names.index(host)][second - 1] = load
    figure, axes = plt.subplots(figsize=(9, max(2, min(8, len(names) / 5))))
    shown = axes.imshow(grid, aspect="auto", vmin=0, vmax=1.5, cmap="viridis", interpolation="nearest")
    axes.set_xlabel("second")
    axes.set_ylabel("host")
    axes.set_title(f"{policy}, seed {seed}: asked of the link over what it gives")
    figure.colorbar(shown)
    return _encode_figure(figure)


def _plot_play_times(folder: Path, by_policy: dict[str, list[dict[str, object]]]) -> str:
    """Plot the cumulative distribution of viewers' time to play, one curve for each policy."""
    figure, axes = plt.subplots(figsize=(9, 4))
    for policy, rows in by_policy.items():
        waits: list[float] = []
        for row in rows:
            file = folder / policy / f"sessions-{row['seed']}.parquet"
            if file.exists():
                waits += [w for w in pq.read_table(file, columns=["play_ms"]).to_pydict()["play_ms"] if w is not None]
        if waits:
            axes.plot(sorted(waits), [(n + 1) / len(waits) for n in range(len(waits))], label=policy)
    axes.set_xscale("log")
    axes.set_xlabel("ms from the intended start to playing")
    axes.set_ylabel("share of those that played")
    if by_policy:
        axes.legend()
    return _encode_figure(figure)
