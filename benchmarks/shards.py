"""Where shards lie, worked out from who lives: ways weighed at true size, by numbers alone.

    python -m benchmarks.shards flat GATEWAYS     # rendezvous over all gateways: the best score of all owns the shard
    python -m benchmarks.shards cells GATEWAYS    # rendezvous by steps: the zone, its cell, the gateway in it
    python -m benchmarks.shards jump GATEWAYS     # jump hashing over the settings' places; a dead one's are drawn again
    python -m benchmarks.shards bounded GATEWAYS  # rendezvous with a bound on load, what is over it listed by name

`--shards N` (3,400,000), `--seed S` (1), `--keep FILE`. Each loses one gateway, a rack of 40 and a zone, and tells how
many shards move, of them how many need not have moved; a day is that of the rates in `RATES`. The last line is a
result for `benchmarks.capacity add`. After: Thaler and Ravishankar 1998 (rendezvous), Lamping and Veach 2014 (jump),
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

from .viewers import Unfit, result

Words = NDArray[np.uint64]
Ints = NDArray[np.int64]
SHARDS = 3_400_000
ZONES = 5
CELL = 24
RACK = 40  # gateways that one rack or switch takes with it: a choice, the operators' number is not known
RATES = {"failures": 18, "restarts": 1700}  # a day, the operators' words
BYTES = 9  # a shard in a list, the operators' words
BLOCK = 1 << 15
LOOKUPS = 2000


def mix(words: Words) -> Words:
    """The finalizer of splitmix64 (Steele, Lea and Flood 2014), in place: 64 bits in, 64 well mixed bits out."""
    words ^= words >> np.uint64(30)
    words *= np.uint64(0xBF58476D1CE4E5B9)
    words ^= words >> np.uint64(27)
    words *= np.uint64(0x94D049BB133111EB)
    words ^= words >> np.uint64(31)
    return words


def keys(count: int, seed: int) -> Words:
    """`count` well mixed words of their own for each seed."""
    return mix(np.arange(1, count + 1, dtype=np.uint64) * np.uint64(0x9E3779B97F4A7C15) + np.uint64(seed << 40))


def scores(shards: Words, one: np.uint64, number: int) -> Words:
    """The scores of a candidate for some shards; its number is in the low 13 bits, so that no two are equal."""
    found = mix(shards ^ one)
    found &= np.uint64(0xFFFFFFFFFFFFE000)
    found |= np.uint64(number)
    return found


def best(shards: Words, candidates: Words, deep: int, numbers: Ints | None = None) -> Ints:
    """For each shard the `deep` candidates with the highest scores, best first: an array of (deep, shards)."""
    found = np.empty((deep, len(shards)), dtype=np.int64)
    for start in range(0, len(shards), BLOCK):
        part = shards[start : start + BLOCK]
        top = np.zeros((deep, len(part)), dtype=np.uint64)
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


def jump(shards: Words, count: int) -> Ints:
    """Jump hashing: the place of each shard among `count`."""
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
    """Rendezvous over all gateways. What lay on the dead is drawn again among the living; nothing else moves."""

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.gateways = keys(count, seed + 1000)
        self.best = best(shards, self.gateways, 1)[0]

    def owners(self, dead: Ints) -> Ints:
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        found: Ints = self.best.copy()
        left = np.flatnonzero(gone[found])
        if len(left):
            living = np.flatnonzero(~gone)
            found[left] = best(self.shards[left], self.gateways[living], 1, living)[0]
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        names = [int(one) for one in self.gateways]
        return (
            (lambda shard: max(range(len(names)), key=lambda n: word_mix(shard ^ names[n]))),
            len(names),
            "all gateways that live, by name",
        )


def word_mix(word: int) -> int:
    """`mix` of one word in plain Python, for the time of a lookup."""
    word = (word ^ word >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    word = (word ^ word >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return word ^ word >> 31


class Cells:
    """Rendezvous by steps: a zone, a cell of it, a gateway of that. A zone is passed over only when it is lost."""

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.zones = keys(ZONES, seed + 2000)
        self.gateways = keys(count, seed + 1000)
        self.members = []
        for z in range(ZONES):  # by hash, so that a rack's gateways fall into many cells
            here = np.arange(z, count, ZONES)
            here = here[np.argsort(self.gateways[here])]
            self.members.append(np.array_split(here, max(1, math.ceil(len(here) / CELL))))
        self.cells = [keys(len(cells), seed + 3000 + z) for z, cells in enumerate(self.members)]

    def owners(self, dead: Ints) -> Ints:
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        alive = [z for z in range(ZONES) if not all(gone[cell].all() for cell in self.members[z])]
        zone = best(self.shards, self.zones[alive], 1, np.array(alive))[0]
        found = np.empty(len(self.shards), dtype=np.int64)
        for z in alive:
            here = np.flatnonzero(zone == z)
            there = np.array([c for c, cell in enumerate(self.members[z]) if not gone[cell].all()])
            cell = best(self.shards[here], self.cells[z][there], 1, there)[0]
            for c in there:
                some = here[cell == c]
                living = self.members[z][c][~gone[self.members[z][c]]]
                found[some] = best(self.shards[some], self.gateways[living], 1, living)[0]
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        zones, gateways = [int(one) for one in self.zones], [int(one) for one in self.gateways]
        cells = [[int(one) for one in some] for some in self.cells]
        members = [[[int(one) for one in cell] for cell in some] for some in self.members]

        def find(shard: int) -> int:
            z = max(range(ZONES), key=lambda n: word_mix(shard ^ zones[n]))
            c = max(range(len(cells[z])), key=lambda n: word_mix(shard ^ cells[z][n]))
            return max(members[z][c], key=lambda n: word_mix(shard ^ gateways[n]))

        return find, ZONES + len(cells[0]) + CELL, "zones, cells of a zone, who lives in one cell"


class Jump:
    """Jump hashing over the settings' places, dead or alive; where a dead one is drawn, it is drawn again with
    another word, so that only what lay on the dead moves."""

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = mix(shards ^ np.uint64(seed)), count

    def owners(self, dead: Ints) -> Ints:
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        found, word = jump(self.shards, self.count), self.shards.copy()
        while len(left := np.flatnonzero(gone[found])):
            word[left] = mix(word[left] + np.uint64(0x9E3779B97F4A7C15))
            found[left] = jump(word[left], self.count)
        return found

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
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
    """Rendezvous with no gateway above `OVER` times the mean: what does not fit its first choice goes to the next, by
    deferred acceptance, whose outcome is one and the same in any order (Gale and Shapley 1962)."""

    OVER = 1.1
    DEEP = 6

    def __init__(self, shards: Words, count: int, seed: int) -> None:
        self.shards, self.count = shards, count
        self.choices = best(shards, keys(count, seed + 1000), self.DEEP)
        self.listed = self.unplaced = 0

    def owners(self, dead: Ints) -> Ints:
        gone = np.zeros(self.count, dtype=bool)
        gone[dead] = True
        room = math.ceil(self.OVER * len(self.shards) / (self.count - len(dead)))
        step = np.zeros(len(self.shards), dtype=np.int64)
        every = np.arange(len(self.shards))
        while True:
            at = self.choices[np.minimum(step, self.DEEP - 1), every]
            out = gone[at]
            order = np.lexsort((self.shards, step, at))  # a gateway keeps first choices first, then by the shard's word
            sorted_at = at[order]
            begins = np.r_[0, np.flatnonzero(np.diff(sorted_at)) + 1]
            rank = np.arange(len(at)) - np.repeat(begins, np.diff(np.r_[begins, len(at)]))
            out[order[rank >= room]] = True
            out &= step < self.DEEP
            if not out.any():
                break
            step[out] += 1
        first = np.zeros(len(self.shards), dtype=np.int64)
        for _ in range(self.DEEP):
            first += gone[self.choices[np.minimum(first, self.DEEP - 1), every]]
        self.listed = int((step > first).sum())
        self.unplaced = int((step >= self.DEEP).sum())
        return np.where(step < self.DEEP, self.choices[np.minimum(step, self.DEEP - 1), every], -1)

    def lookup(self) -> tuple[Callable[[int], int], int, str]:
        raise NotImplementedError


WAYS: dict[str, Callable[[Words, int, int], Any]] = {"flat": Flat, "cells": Cells, "jump": Jump, "bounded": Bounded}


def measure(name: str, count: int, shards: int, seed: int) -> dict[str, Any]:
    """One way at one size: shards moved, loads, time of a lookup in plain Python. Unfit where sizes make no sense."""
    if not 2 * ZONES <= count <= 8191:
        raise Unfit(f"GATEWAYS: {count}: 10 to 8,191 can be simulated here")
    if not count <= shards <= 10_000_000:
        raise Unfit(f"--shards: {shards}: at least the number of gateways, 10,000,000 at most")
    begin = time.perf_counter()
    rng = np.random.default_rng(seed)
    words = keys(shards, seed)
    way = WAYS[name](words, count, seed)
    none = np.array([], dtype=np.int64)
    before = way.owners(none)
    loads = np.bincount(before, minlength=count)
    values: dict[str, float] = {
        "load_most": float(loads.max()),
        "load_mean": shards / count,
        "load_most_ratio": float(loads.max() * count / shards),
    }
    raw: dict[str, list[float]] = {}
    if name == "bounded":
        values["listed"] = way.listed
        values["listed_kb"] = way.listed * BYTES / 1024
    ones = rng.choice(count, 3 if name == "bounded" else 5, replace=False)
    moved, needless = [], []
    for one in ones:
        after = way.owners(np.array([one]))
        change = after != before
        moved.append(float(change.sum()))
        needless.append(float((change & (before != one)).sum()))
    raw["moved_one"], raw["needless_one"] = moved, needless
    values["moved_one"], values["needless_one"] = float(np.mean(moved)), float(np.mean(needless))
    zone = np.arange(3 % ZONES, count, ZONES)
    rack = zone[: min(RACK, len(zone) - 1)]
    for what, dead in (("rack", rack), ("zone", zone)):
        after = way.owners(dead)
        change = after != before
        values[f"moved_{what}"] = float(change.sum())
        values[f"needless_{what}"] = float((change & ~np.isin(before, dead)).sum())
        values[f"load_most_{what}"] = float(np.bincount(after[after >= 0], minlength=count).max())
        if name == "bounded":
            values[f"unplaced_{what}"] = way.unplaced
    # each goes once and comes back once; on the day of the rates, at 7,400
    changes = sum(RATES.values()) * count / 7400
    values["moved_day"] = 2 * changes * values["moved_one"]
    values["moved_a_second"] = values["moved_day"] / 86400
    if name != "bounded":
        find, steps, _ = way.lookup()
        some = [int(one) for one in words[: max(20, min(LOOKUPS, 200_000 // steps))]]
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
    """0, or 2 with one line where sizes make no sense."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.shards")
    parser.add_argument("what", choices=list(WAYS))
    parser.add_argument("gateways", type=int)
    parser.add_argument("--shards", type=int, default=SHARDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path)
    wish = parser.parse_args()
    try:
        found = json.dumps(measure(wish.what, wish.gateways, wish.shards, wish.seed))
    except Unfit as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    if wish.keep is not None:
        wish.keep.write_text(found + "\n")
    print(found)


if __name__ == "__main__":
    main()
