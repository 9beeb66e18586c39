"""Who sees whom between zones.

A majority that says "zone C is dead" cannot tell a lost zone from a bad link, nor a cut-off speaker from a lost world.
So each gateway keeps, zone by zone, whom it asked of late, who answered, and who spoke to it by itself; these rows
travel with its messages, and a verdict is read from all fresh rows as a matrix of zones: what X sees of Y and what Y
sees of X are two cells.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from .messages import Row

SECOND = 1_000_000_000
WINDOW = 12  # periods that a row speaks of; in it a gateway asks most others of a small fleet, some of a large one
FRESH = 16  # periods after which a row that was not renewed speaks no more
HALF = 0.5


class Way(IntEnum):
    """How one zone reaches another."""

    UNKNOWN = 0
    GOOD = 1
    SLOW = 2
    DEAF = 3  # nothing comes back to its questions, but it is heard: the way there, or back, is cut one way
    SILENT = 4


class Standing(IntEnum):
    """What the matrix says of a zone."""

    UNKNOWN = 0
    SEEN = 1
    SLOW = 2
    HALF_CUT = 3  # some zones reach it, others do not
    SILENT = 4  # no other zone reaches or hears it: lost, or cut off; from outside the two look alike


@dataclass(slots=True)
class _Seen:
    asked: int = -1
    reached: int = -1
    heard: int = -1
    late: bool = False


class Sight:
    """One gateway's row, and the newest rows of the others."""

    def __init__(self, me: str, zone_of: Mapping[str, int], zones: int) -> None:
        self.me, self.zone_of, self.zones = me, zone_of, zones
        self._seen = {name: _Seen() for name in zone_of if name != me}
        self.rows: dict[str, tuple[int, Row]] = {}  # when it was learned, the row
        self._spoke = [-1] * zones  # when somebody that is not known by name last spoke, by its zone
        self._number = 0
        self.span = WINDOW * SECOND
        self._fresh = FRESH * SECOND

    # ---- own evidence

    def asked(self, now: int, name: str) -> None:
        seen = self._seen[name]
        # the last answer stands for the question before this one
        seen.asked = now

    def reached(self, now: int, name: str, late: bool) -> None:
        seen = self._seen[name]
        seen.reached, seen.late = now, late

    def heard(self, now: int, name: str) -> None:
        self._seen[name].heard = now

    def spoke(self, now: int, zone: int) -> None:
        """A gateway of that zone that is not known here by name asked something."""
        self._spoke[zone] = now

    def lately(self, now: int, since: int, period: int) -> list[tuple[int, int, int, int]]:
        """By zone, as in a Row: how many gateways were asked since then, how many of them answered, how many spoke by
        themselves, how many answered late. A question of the last `period` that may still be answered is none."""
        cells = [[0, 0, 0, 0] for _ in range(self.zones)]
        since = max(0, since)
        for name, seen in self._seen.items():
            if seen.asked >= since and (seen.reached >= seen.asked or now - seen.asked >= period):
                row = cells[self.zone_of[name]]
                row[0] += 1
                if seen.reached >= seen.asked:
                    row[1] += 1
                    row[3] += seen.late
            if seen.heard >= since:
                cells[self.zone_of[name]][2] += 1
        for zone, at in enumerate(self._spoke):
            cells[zone][2] += at >= since
        return [(a, b, c, d) for a, b, c, d in cells]

    def forget(self, now: int) -> None:
        """This process stood still: what it did not hear meanwhile says nothing of the others."""
        for seen in self._seen.values():
            if seen.asked > seen.reached:
                seen.asked = -1

    def tick(self, now: int, incarnation: int, period: int) -> None:
        """A period has begun: the own row is made anew."""
        self.span, self._fresh = WINDOW * period, FRESH * period
        self._number += 1
        self.rows[self.me] = (
            now,
            Row(self.me, incarnation, self._number, tuple(self.lately(now, now - self.span, period))),
        )

    # ---- the others' rows

    def learn(self, now: int, row: Row) -> None:
        """A row, perhaps at third hand; an older one than is known is passed over."""
        if row.name == self.me or row.name not in self.zone_of or len(row.zones) != self.zones:
            return
        known = self.rows.get(row.name)
        if known is None or (row.incarnation, row.number) > (known[1].incarnation, known[1].number):
            self.rows[row.name] = (now, row)

    def carry(self, rng: random.Random, most: int) -> tuple[Row, ...]:
        """Rows to send along: the own one, and drawn others, the newer the likelier."""
        own = self.rows.get(self.me)
        others = sorted((at, name) for name, (at, _) in self.rows.items() if name != self.me)[-4 * most :]
        chosen = rng.sample(others, min(len(others), most - 1))
        return ((own[1],) if own is not None else ()) + tuple(self.rows[name][1] for _, name in chosen)

    # ---- the matrix

    def ways(self, now: int) -> list[list[Way]]:
        """ways[x][y]: how zone x reaches zone y, from the fresh rows of x's gateways."""
        sums = [[[0, 0, 0, 0] for _ in range(self.zones)] for _ in range(self.zones)]
        for at, row in self.rows.values():
            if now - at <= self._fresh:
                for total, (asked, reached, heard, late) in zip(sums[self.zone_of[row.name]], row.zones, strict=True):
                    total[0] += asked
                    total[1] += reached
                    total[2] += heard
                    total[3] += late
        return [[_way(*sums[x][y]) for y in range(self.zones)] for x in range(self.zones)]

    def standings(self, now: int, ways: list[list[Way]] | None = None) -> list[Standing]:
        """What the zones that say anything see of each zone."""
        ways = self.ways(now) if ways is None else ways
        return [self._standing(ways, y) for y in range(self.zones)]

    def _standing(self, ways: list[list[Way]], y: int) -> Standing:
        views = [ways[x][y] for x in range(self.zones) if x != y and ways[x][y] is not Way.UNKNOWN]
        if not views:
            return Standing.UNKNOWN if ways[y][y] is Way.UNKNOWN else Standing.SEEN
        good = sum(1 for way in views if way in (Way.GOOD, Way.SLOW))
        if good == len(views):
            return Standing.SLOW if all(way is Way.SLOW for way in views) else Standing.SEEN
        if good:
            return Standing.HALF_CUT
        return Standing.HALF_CUT if Way.DEAF in views else Standing.SILENT

    def cut_off(self, now: int) -> bool:
        """Whether nothing at all came lately from any other zone, though there are two or more."""
        here = self.zone_of[self.me]
        last: dict[int, int] = {zone: at for zone, at in enumerate(self._spoke) if zone != here and at >= 0}
        for name, seen in self._seen.items():
            zone = self.zone_of[name]
            if zone != here:
                last[zone] = max(last.get(zone, -1), seen.reached, seen.heard)
        return len(last) > 1 and all(0 <= at < now - self.span for at in last.values())


def _way(asked: int, reached: int, heard: int, late: int) -> Way:
    if not asked:
        return Way.UNKNOWN
    if reached >= HALF * asked:
        return Way.SLOW if late >= HALF * reached and late else Way.GOOD
    if reached:
        return Way.SLOW  # some answers are lost: not gone
    return Way.DEAF if heard else Way.SILENT
