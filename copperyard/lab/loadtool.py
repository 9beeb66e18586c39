"""A load generator for gateways on this machine: open-loop arrivals, latency measured from the intended start.

Worker processes each generate a part of the rate. Their histograms (HdrHistogram) are merged, so percentiles cover all
arrivals; one that never played counts with the time at which it gave up.
"""

from __future__ import annotations

import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

import trio
from hdrh.histogram import HdrHistogram

from ..gateway.net import TcpNetwork
from .audit import Tap
from .viewers import Viewer, Visit

SECOND = 1_000_000_000
MAX_LATENCY_US = 3600 * 1_000_000  # us


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """The load of one worker: `rate` arrivals a second for `seconds`, each of which watches for `watch` s.

    `patience` is the time in s after which a viewer does not try again.
    """

    gateways: tuple[str, ...]
    titles: tuple[str, ...]
    rate: float
    seconds: float
    watch: float
    patience: float
    zipf: float
    paid: float
    seed: int


async def _generate_load(spec: LoadSpec) -> tuple[list[Visit], float]:
    rng, max_lag = random.Random(spec.seed), 0.0
    visits: list[Visit] = []
    weights = [1 / (n + 1) ** spec.zipf for n in range(len(spec.titles))]
    network, tap = TcpNetwork(), Tap()

    def pick() -> tuple[str, str]:
        address = rng.choice(spec.gateways)
        return address, address

    async with trio.open_nursery() as nursery:
        begin, at = trio.current_time(), 0.0
        while (at := at + rng.expovariate(spec.rate)) < spec.seconds:
            await trio.sleep_until(begin + at)
            max_lag = max(max_lag, trio.current_time() - begin - at)
            code = f"load{spec.seed}x{len(visits)}" if rng.random() < spec.paid else ""
            visit = Visit(rng.choices(spec.titles, weights)[0], code, "plain", round((begin + at) * 1e9), spec.watch)
            visits.append(visit)
            viewer = Viewer(network, tap, pick, visit, int(spec.patience * SECOND), random.Random(rng.random()))
            nursery.start_soon(viewer.run, spec.watch)
        await trio.lowlevel.checkpoint()
    return visits, max_lag


def run_worker(spec: LoadSpec) -> dict[str, object]:
    """Generate one worker's part of the load; return figures that can be merged."""
    visits, lag = trio.run(_generate_load, spec)
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for visit in visits:
        waited = visit.played_after if visit.played_after is not None else max(1, round(spec.patience * SECOND))
        histogram.record_value(min(MAX_LATENCY_US, max(1, waited // 1000)))
    return {
        "requests": len(visits),
        "played": sum(v.played_after is not None for v in visits),
        "statuses": dict(Counter(s for v in visits for s in v.statuses)),
        "faults": sum(len(v.faults) for v in visits),
        "lag_s": lag,
        "histogram": histogram.encode(),
    }


def run(spec: LoadSpec, workers: int) -> dict[str, object]:
    """Run all workers and return the merged summary.

    The run is void if the load generator itself was late by more than 0.25 s.
    """
    parts = [
        LoadSpec(
            spec.gateways,
            spec.titles,
            spec.rate / workers,
            spec.seconds,
            spec.watch,
            spec.patience,
            spec.zipf,
            spec.paid,
            spec.seed * 1000 + n,
        )
        for n in range(workers)
    ]
    if workers == 1:
        found = [run_worker(parts[0])]
    else:
        with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
            found = list(pool.map(run_worker, parts))
    merged, statuses = HdrHistogram(1, MAX_LATENCY_US, 3), Counter[int]()
    for one in found:
        merged.decode_and_add(one["histogram"])
        assert isinstance(one["statuses"], dict)
        statuses.update(one["statuses"])
    lag = max(float(str(one["lag_s"])) for one in found)
    requests, played = (sum(int(str(x[key])) for x in found) for key in ("requests", "played"))
    return {
        "requests": requests,
        "played": played,
        "statuses": {str(k): v for k, v in sorted(statuses.items())},
        "stream_faults": sum(int(str(x["faults"])) for x in found),
        "play_ms": {f"p{q:g}": round(merged.get_value_at_percentile(q) / 1000, 1) for q in (50, 90, 99, 99.9)},
        "lag_ms": round(lag * 1000, 1),
        "void": lag > 0.25,
    }
