"""Compares methods that compute a shard's owner from the set of live gateways, by calculation at full size.

    python -m benchmarks.shards flat GATEWAYS     # rendezvous hashing over all gateways: the highest score owns
    python -m benchmarks.shards cells GATEWAYS    # hierarchical rendezvous: zone, then cell, then gateway
    python -m benchmarks.shards jump GATEWAYS     # jump hashing over the configured places; a dead one is rehashed
    python -m benchmarks.shards bounded GATEWAYS  # rendezvous with bounded loads; the overflow is listed by name

`--shards N` (3,400,000), `--seed S` (1), `--keep FILE`. Each run fails one gateway, a rack of 40 and a zone, and counts
the shards that move and those of them that need not have moved; a day has the events of `DAILY_RATES`. The last line is
a result for `benchmarks.capacity add`. After Thaler and Ravishankar 1998 (rendezvous), Lamping and Veach 2014 (jump),
Mirrokni, Thorup and Zadimoghaddam 2018 (bounded loads).
"""

from __future__ import annotations

import argparse
import json
import math
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
from numpy.typing import NDArray

from .viewers import MeasurementError, result

Words = NDArray[np.uint64]
Ints = NDArray[np.int64]
SHARDS = 3_400_000
ZONES = 5
CELL = 24
RACK = 40  # gateways behind one rack or switch; assumed, since the operators' number is not known
DAILY_RATES = {"failures": 18, "restarts": 1700}  # events a day at 7,400 gateways, stated by the operators
LISTED_SHARD_BYTES = 9  # bytes of a shard in a list, stated by the operators
BLOCK_SHARDS = 1 << 15
MAX_LOOKUPS = 2000


def mix(words: Words) -> Words:
    """Apply the finalizer of splitmix64 (Steele, Lea and Flood 2014) to each 64-bit word, in place."""
    words ^= words >> np.uint64(30)
    words *= np.uint64(0xBF58476D1CE4E5B9)
    words ^= words >> np.uint64(27)
    words *= np.uint64(0x94D049BB133111EB)
    words ^= words >> np.uint64(31)
    return words


def keys(count: int, seed: int) -> Words:
    """`count` well-mixed words, different for each seed."""
    return mix(np.arange(1, count + 1, dtype=np.uint64) * np.uint64(0x9E3779B97F4A7C15) + np.uint64(seed << 40))


def scores(shards: Words, one: np.uint64, number: int) -> Words:
    """A candidate's scores for some shards; its number in the low 13 bits makes every score unique."""
    found = mix(shards ^ one)
    found &= np.uint64(0xFFFFFFFFFFFFE000)
    found |= np.uint64(number)
    return found


def best_candidates(shards: Words, candidates: Words, count: int, numbers: Ints | None = None) -> Ints:
    """For each shard the `count` candidates with the highest scores, best first: an array of (count, shards)."""
    found = np.empty((count, len(shards)), dtype=np.int64)
    for start in range(0, len(shards), BLOCK_SHARDS):
        part = shards[start : start + BLOCK_SHARDS]
        top = np.zeros((count, len(part)), dtype=np.uint64)
        for number, one in enumerate(candidates):
            rest = scores(part, one, number)
            for row in top:
                higher = np.maximum(row, rest)
                np.minimum(row, rest, out=rest)
                row[:] = higher
        found[:, start : start + len(part)] = (top & np.uint64(8191)).astype(np.int64)
    if numbers is not None:
        found = numbers[found]
    return found


def jump_hash(shards: Words, count: int) -> Ints:
    """The place of each shard among `count` by jump hashing."""
    word, place, ahead = shards.copy(), np.zeros(len(shards), dtype=np.int64), np.zeros(len(shards), dtype=np.int64)
    while True:
        going = ahead < count
        if not going.any():
            return place
        place = np.where(going, ahead, place)
        word = word * np.uint64(2862933555777941757) + np.uint64(1)
        step = (place + 1) * (float(1 << 31) / ((word >> np.uint64(33)).astype(np.float64) + 1.0))
        ahead = np.where(going, step.astype(np.int64), ahead)


class Flat:
    """Rendezvous hashing over all gateways; shards of dead gateways are rehashed among the live, others stay."""

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.gateways = keys(count, seed + 1000)
        self.best = best_candidates(shards, self.gateways, 1)[0]

    def owners(self, dead: Ints) -> Ints:
        """The owner of each shard while some gateways are dead."""
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        found: Ints = self.best.copy()
        left = np.flatnonzero(gone[found])
        if len(left):
            living = np.flatnonzero(~gone)
            found[left] = best_candidates(self.shards[left], self.gateways[living], 1, living)[0]
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        """A plain Python function from shard to owner, the hashes it takes, and what it has to know."""
        names = [int(one) for one in self.gateways]
        return (
            (lambda shard: max(range(len(names)), key=lambda n: mix_word(shard ^ names[n]))),
            len(names),
            "all gateways that live, by name",
        )


def mix_word(word: int) -> int:
    """`mix` of one word in plain Python, to time a lookup."""
    word = (word ^ word >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    word = (word ^ word >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return word ^ word >> 31


class Cells:
    """Rendezvous hashing over zones, then a zone's cells, then a cell's gateways; only a lost zone is skipped."""

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.zones = keys(ZONES, seed + 2000)
        self.gateways = keys(count, seed + 1000)
        self.members = []
        for z in range(ZONES):  # ordered by hash, which spreads a rack over many cells
            here = np.arange(z, count, ZONES)
            here = here[np.argsort(self.gateways[here])]
            self.members.append(np.array_split(here, max(1, math.ceil(len(here) / CELL))))
        self.cells = [keys(len(cells), seed + 3000 + z) for z, cells in enumerate(self.members)]

    def owners(self, dead: Ints) -> Ints:
        """The owner of each shard while some gateways are dead."""
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        alive = [z for z in range(ZONES) if not all(gone[cell].all() for cell in self.members[z])]
        zone = best_candidates(self.shards, self.zones[alive], 1, np.array(alive))[0]
        found = np.empty(len(self.shards), dtype=np.int64)
        for z in alive:
            here = np.flatnonzero(zone == z)
            there = np.array([c for c, cell in enumerate(self.members[z]) if not gone[cell].all()])
            cell = best_candidates(self.shards[here], self.cells[z][there], 1, there)[0]
            for c in there:
                some = here[cell == c]
                living = self.members[z][c][~gone[self.members[z][c]]]
                found[some] = best_candidates(self.shards[some], self.gateways[living], 1, living)[0]
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        """A plain Python function from shard to owner, the hashes it takes, and what it has to know."""
        zones, gateways = [int(one) for one in self.zones], [int(one) for one in self.gateways]
        cells = [[int(one) for one in some] for some in self.cells]
        members = [[[int(one) for one in cell] for cell in some] for some in self.members]

        def find(shard: int) -> int:
            z = max(range(ZONES), key=lambda n: mix_word(shard ^ zones[n]))
            c = max(range(len(cells[z])), key=lambda n: mix_word(shard ^ cells[z][n]))
            return max(members[z][c], key=lambda n: mix_word(shard ^ gateways[n]))

        return find, ZONES + len(cells[0]) + CELL, "zones, cells of a zone, who lives in one cell"


class Jump:
    """Jump hashing over all configured places, dead or alive.

    A shard that falls on a dead gateway is rehashed with another word, so that only shards of the dead move.
    """

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = mix(shards ^ np.uint64(seed)), count

    def owners(self, dead: Ints) -> Ints:
        """The owner of each shard while some gateways are dead."""
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        found, word = jump_hash(self.shards, self.count), self.shards.copy()
        while len(left := np.flatnonzero(gone[found])):
            word[left] = mix(word[left] + np.uint64(0x9E3779B97F4A7C15))
            found[left] = jump_hash(word[left], self.count)
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        """A plain Python function from shard to owner, the hashes it takes, and what it has to know."""
        count = self.count

        def find(word: int) -> int:
            place, ahead = 0, 0
            while ahead < count:
                place = ahead
                word = word * 2862933555777941757 + 1 & 0xFFFFFFFFFFFFFFFF
                ahead = int((place + 1) * ((1 << 31) / ((word >> 33) + 1)))
            return place

        return find, round(math.log(count) + 1), "a bit for each gateway: lives or not"


class Bounded:
    """Rendezvous hashing with each gateway's load bounded by `MAX_LOAD_RATIO` times the mean.

    A shard that its first choice has no room for goes to the next one, by deferred acceptance, whose outcome does not
    depend on the order (Gale and Shapley 1962).
    """

    MAX_LOAD_RATIO = 1.1
    CHOICES = 6

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.choices = best_candidates(shards, keys(count, seed + 1000), self.CHOICES)
        self.listed = self.unplaced = 0

    def owners(self, dead: Ints) -> Ints:
        """The owner of each shard while some gateways are dead."""
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        room = math.ceil(self.MAX_LOAD_RATIO * len(self.shards) / (self.count - len(dead)))
        step = np.zeros(len(self.shards), dtype=np.int64)
        every = np.arange(len(self.shards))
        while True:
            at = self.choices[np.minimum(step, self.CHOICES - 1), every]
            out = gone[at]
            order = np.lexsort((self.shards, step, at))  # gateways prefer first choices, then smaller shard words
            sorted_at = at[order]
            begins = np.r_[0, np.flatnonzero(np.diff(sorted_at)) + 1]
            rank = np.arange(len(at)) - np.repeat(begins, np.diff(np.r_[begins, len(at)]))
            out[order[rank >= room]] = True
            out &= step < self.CHOICES
            if not out.any():
                break
            step[out] += 1
        first = np.zeros(len(self.shards), dtype=np.int64)
        for _ in range(self.CHOICES):
            first += gone[self.choices[np.minimum(first, self.CHOICES - 1), every]]
        self.listed = int((step > first).sum())
        self.unplaced = int((step >= self.CHOICES).sum())
        return np.where(step < self.CHOICES, self.choices[np.minimum(step, self.CHOICES - 1), every], -1)

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        """Not available: an owner depends on all other shards."""
        raise NotImplementedError


METHODS: dict[str, Callable[[Words, int, int], Any]] = {"flat": Flat, "cells": Cells, "jump": Jump, "bounded": Bounded}


def measure(name: str, count: int, shards: int, seed: int) -> dict[str, Any]:
    """Shards moved, loads and the time of a lookup in plain Python, for one method at one size.

    Raises MeasurementError where a size is out of range.
    """
    if not 2 * ZONES <= count <= 8191:
        raise MeasurementError(f"GATEWAYS: {count}: 10 to 8,191 can be simulated here")
    if not count <= shards <= 10_000_000:
        raise MeasurementError(f"--shards: {shards}: at least the number of gateways, 10,000,000 at most")
    begin = time.perf_counter()
    rng = np.random.default_rng(seed)
    words = keys(shards, seed)
    method = METHODS[name](words, count, seed)
    none = np.array([], dtype=np.int64)
    before = method.owners(none)
    loads = np.bincount(before, minlength=count)
    values: dict[str, float] = {
        "load_most": float(loads.max()),
        "load_mean": shards / count,
        "load_most_ratio": float(loads.max() * count / shards),
    }
    raw: dict[str, list[float]] = {}
    if name == "bounded":
        values["listed"] = method.listed
        values["listed_kb"] = method.listed * LISTED_SHARD_BYTES / 1024
    ones = rng.choice(count, 3 if name == "bounded" else 5, replace=False)
    moved, needless = [], []
    for one in ones:
        after = method.owners(np.array([one]))
        change = after != before
        moved.append(float(change.sum()))
        needless.append(float((change & (before != one)).sum()))
    raw["moved_one"], raw["needless_one"] = moved, needless
    values["moved_one"], values["needless_one"] = float(np.mean(moved)), float(np.mean(needless))
    zone = np.arange(3 % ZONES, count, ZONES)
    rack = zone[: min(RACK, len(zone) - 1)]
    for what, dead in (("rack", rack), ("zone", zone)):
        after = method.owners(dead)
        change = after != before
        values[f"moved_{what}"] = float(change.sum())
        values[f"needless_{what}"] = float((change & ~np.isin(before, dead)).sum())
        values[f"load_most_{what}"] = float(np.bincount(after[after >= 0], minlength=count).max())
        if name == "bounded":
            values[f"unplaced_{what}"] = method.unplaced
    # each gateway leaves once and returns once; the daily rates are those of 7,400 gateways
    changes = sum(DAILY_RATES.values()) * count / 7400
    values["moved_day"] = 2 * changes * values["moved_one"]
    values["moved_a_second"] = values["moved_day"] / 86400
    if name != "bounded":
        find, steps, _ = method.lookup()
        some = [int(one) for one in words[: max(20, min(MAX_LOOKUPS, 200_000 // steps))]]
        at = time.process_time()
        for word in some:
            find(word)
        values["lookup_us"] = (time.process_time() - at) / len(some) * 1e6
        values["hashes"] = steps
    values["ran_s"] = time.perf_counter() - begin
    return result(
        f"shards.{name}",
        count,
        seed,
        {key: round(value, 3) for key, value in values.items()},
        raw,
        note=f"numbers only, {shards} shards, a rack taken as {RACK} gateways",
        command=f"python -m benchmarks.shards {name} {count} --shards {shards} --seed {seed}",
    )


def main() -> None:
    """Run the command; exits with code 2 and one line where a size is out of range."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.shards")
    parser.add_argument("what", choices=list(METHODS))
    parser.add_argument("gateways", type=int)
    parser.add_argument("--shards", type=int, default=SHARDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path)
    options = parser.parse_args()
    try:
        found = json.dumps(measure(options.what, options.gateways, options.shards, options.seed))
    except MeasurementError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    if options.keep is not None:
        options.keep.write_text(found + "\n")
    print(found)


if __name__ == "__main__":
    main()
