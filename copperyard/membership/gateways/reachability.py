"""Reachability between zones.

A majority vote that zone C is dead cannot tell a lost zone from a broken link, or an isolated observer from a lost
rest of the site. So each gateway counts by zone which gateways it recently probed, which answered, and which sent a
probe themselves. These rows travel with its messages, and all fresh rows form a matrix of zones: how X reaches Y and
how Y reaches X are two separate entries.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from .messages import ReachabilityRow

SECOND = 1_000_000_000
# periods that a row covers; in it a gateway probes most others of a small fleet, some of a large one
WINDOW_PERIODS = 12
ROW_MAX_AGE_PERIODS = 16  # periods after which a row that was not renewed is ignored
GOOD_RATIO = 0.5


class PathState(IntEnum):
    """State of the path from one zone to another."""

    UNKNOWN = 0
    GOOD = 1
    SLOW = 2
    DEAF = 3  # its probes get no answers, but it receives probes from there: one direction is cut
    SILENT = 4


class ZoneReachability(IntEnum):
    """How other zones reach a zone."""

    UNKNOWN = 0
    SEEN = 1
    SLOW = 2
    HALF_CUT = 3  # some zones reach it, others do not
    SILENT = 4  # no other zone reaches it or hears from it: lost or cut off, which look the same from outside


@dataclass(slots=True)
class _Contact:
    probed: int = -1
    answered: int = -1
    heard: int = -1
    late: bool = False


class Reachability:
    """One gateway's row, and the newest rows of the others."""

    def __init__(self, me: str, zone_of: Mapping[str, int], zones: int) -> None:
        self.me, self.zone_of, self.zones = me, zone_of, zones
        self._contacts = {name: _Contact() for name in zone_of if name != me}
        self.rows: dict[str, tuple[int, ReachabilityRow]] = {}  # (time it was received, row)
        self._watcher_heard = [-1] * zones  # by zone, when a gateway that is not known by name last sent a probe
        self._number = 0
        self.window = WINDOW_PERIODS * SECOND
        self._row_max_age = ROW_MAX_AGE_PERIODS * SECOND

    # ---- own observations

    def probe_sent(self, now: int, name: str) -> None:
        """Record a probe of a gateway."""
        contact = self._contacts[name]
        # the last answer belongs to the probe before this one
        contact.probed = now

    def probe_answered(self, now: int, name: str, late: bool) -> None:
        """Record the answer to a probe, and whether it was late."""
        contact = self._contacts[name]
        contact.answered, contact.late = now, late

    def heard_from(self, now: int, name: str) -> None:
        """Record a probe that a gateway sent."""
        self._contacts[name].heard = now

    def heard_from_watcher(self, now: int, zone: int) -> None:
        """Record a probe of a gateway of that zone that is not known here by name."""
        self._watcher_heard[zone] = now

    def counts_since(self, now: int, since: int, period: int) -> list[tuple[int, int, int, int]]:
        """Return by zone, as in a ReachabilityRow, the gateways probed since then, those that answered, those that sent
        a probe, and those that answered late. A probe of the last `period` without an answer is not counted yet.
        """
        counts = [[0, 0, 0, 0] for _ in range(self.zones)]
        since = max(0, since)
        for name, contact in self._contacts.items():
            if contact.probed >= since and (contact.answered >= contact.probed or now - contact.probed >= period):
                row = counts[self.zone_of[name]]
                row[0] += 1
                if contact.answered >= contact.probed:
                    row[1] += 1
                    row[3] += contact.late
            if contact.heard >= since:
                counts[self.zone_of[name]][2] += 1
        for zone, at in enumerate(self._watcher_heard):
            counts[zone][2] += at >= since
        return [(a, b, c, d) for a, b, c, d in counts]

    def drop_unanswered(self, now: int) -> None:
        """Drop unanswered probes after a stall of this process: they prove nothing about the others."""
        for contact in self._contacts.values():
            if contact.probed > contact.answered:
                contact.probed = -1

    def start_period(self, now: int, incarnation: int, period: int) -> None:
        """Rebuild the own row at the start of a period."""
        self.window, self._row_max_age = WINDOW_PERIODS * period, ROW_MAX_AGE_PERIODS * period
        self._number += 1
        self.rows[self.me] = (
            now,
            ReachabilityRow(
                self.me, incarnation, self._number, tuple(self.counts_since(now, now - self.window, period))
            ),
        )

    # ---- the others' rows

    def merge_row(self, now: int, row: ReachabilityRow) -> None:
        """Store a row, received directly or through others; one older than the known row is ignored."""
        if row.name == self.me or row.name not in self.zone_of or len(row.zones) != self.zones:
            return
        known = self.rows.get(row.name)
        if known is None or (row.incarnation, row.number) > (known[1].incarnation, known[1].number):
            self.rows[row.name] = (now, row)

    def rows_to_send(self, rng: random.Random, most: int) -> tuple[ReachabilityRow, ...]:
        """Return rows to piggyback: the own one, and random ones of the most recently received."""
        own = self.rows.get(self.me)
        others = sorted((at, name) for name, (at, _) in self.rows.items() if name != self.me)[-4 * most :]
        chosen = rng.sample(others, min(len(others), most - 1))
        return ((own[1],) if own is not None else ()) + tuple(self.rows[name][1] for _, name in chosen)

    # ---- the matrix

    def path_states(self, now: int) -> list[list[PathState]]:
        """Return states[x][y]: how zone x reaches zone y, from the fresh rows of x's gateways."""
        sums = [[[0, 0, 0, 0] for _ in range(self.zones)] for _ in range(self.zones)]
        for at, row in self.rows.values():
            if now - at <= self._row_max_age:
                for total, (asked, reached, heard, late) in zip(sums[self.zone_of[row.name]], row.zones, strict=True):
                    total[0] += asked
                    total[1] += reached
                    total[2] += heard
                    total[3] += late
        return [[_path_state(*sums[x][y]) for y in range(self.zones)] for x in range(self.zones)]

    def zone_states(self, now: int, paths: list[list[PathState]] | None = None) -> list[ZoneReachability]:
        """Return the reachability of each zone in the view of the other zones with known paths."""
        paths = self.path_states(now) if paths is None else paths
        return [self._zone_state(paths, y) for y in range(self.zones)]

    def _zone_state(self, paths: list[list[PathState]], y: int) -> ZoneReachability:
        views = [paths[x][y] for x in range(self.zones) if x != y and paths[x][y] is not PathState.UNKNOWN]
        if not views:
            return ZoneReachability.UNKNOWN if paths[y][y] is PathState.UNKNOWN else ZoneReachability.SEEN
        good = sum(1 for path in views if path in (PathState.GOOD, PathState.SLOW))
        if good == len(views):
            return ZoneReachability.SLOW if all(way is PathState.SLOW for way in views) else ZoneReachability.SEEN
        if good:
            return ZoneReachability.HALF_CUT
        return ZoneReachability.HALF_CUT if PathState.DEAF in views else ZoneReachability.SILENT

    def cut_off(self, now: int) -> bool:
        """Whether nothing was heard recently from any other zone, though there are at least two."""
        here = self.zone_of[self.me]
        last: dict[int, int] = {zone: at for zone, at in enumerate(self._watcher_heard) if zone != here and at >= 0}
        for name, contact in self._contacts.items():
            zone = self.zone_of[name]
            if zone != here:
                last[zone] = max(last.get(zone, -1), contact.answered, contact.heard)
        return len(last) > 1 and all(0 <= at < now - self.window for at in last.values())


def _path_state(asked: int, reached: int, heard: int, late: int) -> PathState:
    if not asked:
        return PathState.UNKNOWN
    if reached >= GOOD_RATIO * asked:
        return PathState.SLOW if late >= GOOD_RATIO * reached and late else PathState.GOOD
    if reached:
        return PathState.SLOW  # some answers are lost, so the zone is reachable
    return PathState.DEAF if heard else PathState.SILENT
