"""Makes the plan: near while that is safe.

What a zone's own hosts give serves its own viewers first. Only what does not fit leaves, the dearest class first, for
the nearest zone that has room after its own demand and its reserve; two zones that want the same room share it by what
they want. What fits nowhere is refused. This is a water-filling over pairs of zones in the order of their distance; how
far it is from the least possible cost, which a linear program finds, is measured in benchmarks/zones.py.

A plan follows on the one before: what strangers may ask of a zone grows by a bounded part a second, shares that hardly
changed stay, a zone that comes back does so in steps, the slower the oftener it was lost.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .plan import Plan, Standing, Terms, ZonePlan

SECOND = 1_000_000_000
LEAST_WAY = 0.5  # a way that breaks more than this carries nobody new
AHEAD = 0.75  # part of what nobody wants yet that is given ahead: the rest spares a plan with each small change
LATER = 5  # a plan that can wait comes so many times rarer
KEEP = 0.4  # part of what is free that given caps must still use, else they are given anew
GREY = 0.9  # a way above this counts as whole


@dataclass(slots=True)
class Return:
    """A zone on its way back. `at`: when its present step began; `losses`: how often it was lost of late."""

    step: int = -1  # -1: it is not returning
    at: int = 0
    losses: int = 0
    lost_at: int = -(1 << 60)
    good_since: int | None = None
    cut: bool = False  # nobody saw it when it was closed: its fronts may be there and reach nobody


@dataclass(frozen=True, slots=True)
class View:
    """What a plan is made of: demand[h][c], room[z], ways[h][z] (0 to 1: what part of set-ups gets through), and which
    zones nobody outside sees."""

    demand: Sequence[Sequence[float]]
    rooms: Sequence[float]
    ways: Sequence[Sequence[float]]
    silent: Sequence[bool]


def fill(
    terms: Terms,
    demand: Sequence[Sequence[float]],
    rooms: Sequence[float],
    free: Sequence[float],
    ways: Sequence[Sequence[float]],
) -> list[list[list[float]]]:
    """given[h][c][z]: how much of each demand goes where. `rooms` is what a zone may give its own viewers, `free` what
    strangers may have; both are bounds that this keeps."""
    n, classes = terms.zones, range(len(terms.loads))
    given = [[[0.0] * n for _ in classes] for _ in range(n)]
    left = [list(row) for row in demand]
    order = sorted(classes, key=lambda c: (-terms.worths[c] / terms.loads[c], c))
    for h in range(n):
        room = rooms[h] * whole(ways[h][h])
        for c in order:
            got = min(left[h][c], room)
            given[h][c][h] = got
            left[h][c] -= got
            room -= got
    free = list(free)
    for c in order:
        distances = {terms.prices[h][z] for h in range(n) for z in range(n) if h != z}
        for distance in sorted(one for one in distances if one >= 0):
            # each zone's want is split over the zones at this distance by what they have; then each of these is
            # split over those who want it. Twice, as what one did not take another may
            for _ in range(2):
                asks = [[0.0] * n for _ in range(n)]
                for h in range(n):
                    near = [
                        z
                        for z in range(n)
                        if z != h and terms.prices[h][z] == distance and free[z] > 0 and ways[h][z] >= LEAST_WAY
                    ]
                    total = sum(free[z] for z in near)
                    for z in near:
                        asks[h][z] = left[h][c] * free[z] / total
                for z in range(n):
                    wanted = sum(asks[h][z] for h in range(n))
                    part = min(1.0, free[z] / wanted) if wanted > 0 else 0.0
                    for h in range(n):
                        got = asks[h][z] * part
                        given[h][c][z] += got
                        left[h][c] -= got
                        free[z] = max(0.0, free[z] - got)
    return given


def whole(way: float) -> float:
    """A way's worth as a part of room: one that is nearly well is taken for well."""
    return 1.0 if way >= GREY else max(0.0, way)


class Planner:
    """Makes plans one after another. Only a leader with a lease asks it; a new leader begins with a new planner and the
    last plan, and takes nothing for granted that it has not seen itself."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.begun = terms, now
        self.returns = [Return() for _ in range(terms.zones)]
        self.proposed_at = now - terms.every
        self.superseded: dict[int, int] = {}  # epoch: when this planner first knew that a newer one was committed
        self._seen: Plan | None = None

    def committed(self, now: int, plan: Plan) -> None:
        """A plan is in force: the ones before begin to run out."""
        if self._seen is None or plan.epoch > self._seen.epoch:
            if self._seen is not None:
                self.superseded[self._seen.epoch] = now
            self._seen = plan
            for old in [e for e in self.superseded if e < plan.epoch - 64]:
                del self.superseded[old]

    def next(self, now: int, before: Plan | None, view: View, epochs: Sequence[int]) -> Plan | None:
        """The plan that should follow, None where the present one will do. `epochs`: the oldest epoch that a front of
        each zone may follow, 0 where that is not known."""
        if now - self.proposed_at < self.terms.every or before is None and not any(view.rooms):
            return None  # too early; or nobody has heard of any host yet
        standings = self._standings(now, before, view)
        plan = self._plan(now, before, view, epochs, standings)
        urgent = self._differs(before, plan) if before is not None else 2
        if not urgent or urgent == 1 and now - self.proposed_at < LATER * self.terms.every:
            return None
        self.proposed_at = now
        return plan

    # ---- zones lost and back

    def _standings(self, now: int, before: Plan | None, view: View) -> list[tuple[Standing, float]]:
        found = []
        for z in range(self.terms.zones):
            was = before.zones[z].standing if before is not None else Standing.OPEN
            lost = view.silent[z] or view.rooms[z] <= 0
            if view.silent[z]:
                self.returns[z].cut = True
            found.append(self._one(now, z, was, lost, before.zones[z].part if before is not None else 1.0))
        return found

    def _one(self, now: int, z: int, was: Standing, lost: bool, part: float) -> tuple[Standing, float]:
        back, terms = self.returns[z], self.terms
        if lost:
            if was is not Standing.CLOSED:
                again = now - back.lost_at < terms.memory
                back.losses = back.losses + 1 if again else 1
                back.lost_at = now
            back.step, back.good_since = -1, None
            return Standing.CLOSED, 0.0
        if was is Standing.CLOSED:
            # a flapping zone would swing everybody's traffic: it has to be well for a while first
            back.good_since = now if back.good_since is None else back.good_since
            if now - back.good_since < self._dwell(back):
                return Standing.CLOSED, 0.0
            back.step, back.at, back.cut = 0, now, False
            return Standing.RETURNING, terms.steps[0]
        if was is Standing.RETURNING:
            if back.step < 0:  # another leader began its return
                back.step = min((n for n, s in enumerate(terms.steps) if s >= part - 1e-9), default=0)
                back.at = now
            if now - back.at >= self._dwell(back):
                back.step, back.at = back.step + 1, now
            if back.step < len(terms.steps):
                return Standing.RETURNING, terms.steps[back.step]
            back.step = -1
        return Standing.OPEN, 1.0

    def _dwell(self, back: Return) -> int:
        return min(self.terms.dwell_most, self.terms.dwell << max(0, back.losses - 1))

    # ---- the plan itself

    def _plan(
        self, now: int, before: Plan | None, view: View, epochs: Sequence[int], standings: list[tuple[Standing, float]]
    ) -> Plan:
        terms, n = self.terms, self.terms.zones
        rooms = [view.rooms[z] * terms.mark * standings[z][1] for z in range(n)]
        full = [view.rooms[z] * terms.mark for z in range(n)]
        reserve = [full[z] * terms.reserve for z in range(n)]
        own = [min(sum(view.demand[z]), rooms[z] * whole(view.ways[z][z])) for z in range(n)]
        owed = self._owed(now, before, epochs)
        free = [max(0.0, rooms[z] - own[z] - reserve[z]) for z in range(n)]
        # how much strangers may have at once: what earlier plans still allow to others is not given twice
        allowed = [self._allowed(now, before, z, free[z], view.rooms[z] * terms.mark) for z in range(n)]
        # one that nobody sees keeps what it had while it flaps: nothing, until it has been well for a while
        cut = [self.returns[z].cut for z in range(n)]
        ways = [[0.0 if h != z and (cut[h] or cut[z]) else view.ways[h][z] for z in range(n)] for h in range(n)]
        given = fill(terms, view.demand, rooms, allowed, ways)
        caps = [
            [sum(given[h][c][z] for c in range(len(terms.loads))) if z != h else 0.0 for z in range(n)]
            for h in range(n)
        ]
        for z in range(n):
            self._ahead(before, view, caps, z, allowed[z], cut, standings[z][0] is Standing.CLOSED)
            self._fit(before, caps, owed, z, free[z])
        shut = [standings[z][0] is Standing.CLOSED for z in range(n)]
        shares = [self._shares(before, view, given, caps, h, shut) for h in range(n)]
        zones = []
        for h in range(n):
            standing, part = standings[h]
            if standing is Standing.OPEN and any(dict(row).get(h, 0.0) < 1 - self.terms.band for row in shares[h]):
                standing = Standing.SHEDDING
            zones.append(
                ZonePlan(standing, full[h], own[h], reserve[h], part, shares[h], tuple(caps[h]), tuple(owed[h]))
            )
        return Plan(before.epoch + 1 if before is not None else 1, terms.holds, tuple(zones))

    def _owed(self, now: int, before: Plan | None, epochs: Sequence[int]) -> list[list[float]]:
        """What fronts may still do by plans before the new one: all of what the last one says, and what was owed then
        unless each front of that home is known to follow the last one, or the time of what was before is over."""
        n = self.terms.zones
        if before is None:
            return [[0.0] * n for _ in range(n)]
        # what was superseded before this leader's time began to run out then at the latest
        since = self.superseded.get(before.epoch - 1, self.begun)
        over = now - since > 2 * before.holds * (1 + 2 * self.terms.drift)
        found = []
        for h in range(n):
            zone = before.zones[h]
            known = over or epochs[h] >= before.epoch
            found.append([zone.caps[z] if known else max(zone.caps[z], zone.owed[z]) for z in range(n)])
        return found

    def _allowed(self, now: int, before: Plan | None, z: int, free: float, full: float) -> float:
        """Of what is free, what may be given now: it grows by `pace` a second."""
        if before is None:
            return free
        had = sum(before.zones[h].caps[z] for h in range(self.terms.zones) if h != z)
        dt = min(10.0, (now - self.proposed_at) / SECOND)
        return min(free, had + self.terms.pace * full * dt)

    def _ahead(
        self,
        before: Plan | None,
        view: View,
        caps: list[list[float]],
        z: int,
        allowed: float,
        cut: list[bool],
        shut: bool,
    ) -> None:
        """Give away ahead of need what nobody wants of a zone yet: a front whose own zone is lost may use it at once,
        before the council has met. Split by demand, the nearer the more; what was given is kept while it fits, since
        measures of demand are never still."""
        homes = [
            h
            for h in range(self.terms.zones)
            if h != z and self.terms.prices[h][z] >= 0 and not cut[h] and view.ways[h][z] >= LEAST_WAY
        ]
        left = (allowed - sum(caps[h][z] for h in homes)) * AHEAD
        if shut or cut[z] or left <= 0 or not homes:
            return
        old = {h: before.zones[h].caps[z] if before is not None else 0.0 for h in homes}
        if KEEP * allowed < sum(old.values()) <= allowed and all(caps[h][z] <= old[h] for h in homes):
            for h in homes:
                caps[h][z] = old[h]
            return
        weights = {h: (sum(view.demand[h]) + 1.0) / (1.0 + self.terms.prices[h][z]) for h in homes}
        total = sum(weights.values())
        for h in homes:
            caps[h][z] += left * weights[h] / total

    def _fit(self, before: Plan | None, caps: list[list[float]], owed: list[list[float]], z: int, free: float) -> None:
        """Lower what grows at a zone until it fits beside what others may still do there by earlier plans."""
        homes = [h for h in range(self.terms.zones) if h != z]
        old = [before.zones[h].caps[z] if before is not None else 0.0 for h in range(self.terms.zones)]
        held = sum(max(caps[h][z], owed[h][z]) for h in homes)
        if held > free:
            above = {h: max(0.0, caps[h][z] - max(old[h], owed[h][z])) for h in homes}
            grown = sum(above.values())
            keep = 1.0 - (held - free) / grown if grown > 0 else 0.0
            for h in homes:
                # what may still be followed of earlier plans fills the zone by itself: then nobody gets more
                caps[h][z] = caps[h][z] - above[h] * (1 - keep) if keep > 0 else min(caps[h][z], old[h])
        total = sum(caps[h][z] for h in homes)
        if total > free:
            for h in homes:
                caps[h][z] *= free / total

    def _shares(
        self,
        before: Plan | None,
        view: View,
        given: list[list[list[float]]],
        caps: list[list[float]],
        h: int,
        shut: list[bool],
    ) -> tuple[tuple[tuple[int, float], ...], ...]:
        found = []
        for c in range(len(self.terms.loads)):
            wanted = view.demand[h][c]
            row: list[tuple[int, float]] = []
            for z in range(self.terms.zones):
                got = given[h][c][z]
                if z != h:  # less is let in where the cap had to be smaller than what was to be given
                    total = sum(given[h][k][z] for k in range(len(self.terms.loads)))
                    got = got * min(1.0, caps[h][z] / total) if total > 0 else 0.0
                share = got / wanted if wanted > 0 else 0.0
                if wanted <= 0 and z == h and not shut[h]:
                    share = 1.0  # nobody asks: whoever does is served at home
                if share > 1e-4:
                    row.append((z, min(1.0, share)))
            found.append(self._steady(before, h, c, row, shut))
        return tuple(found)

    def _steady(
        self, before: Plan | None, h: int, c: int, row: list[tuple[int, float]], shut: list[bool]
    ) -> tuple[tuple[int, float], ...]:
        """Small changes are no changes: what differs little from the last plan's is the last plan's."""
        total = sum(part for _, part in row)
        if total > 1:
            row = [(z, part / total) for z, part in row]
        if total > 1 - self.terms.band / 2 and any(z == h for z, _ in row):
            # nearly all fits: what is missing is within the error of the measures
            row = [(z, part + (max(0.0, 1 - total) if z == h else 0.0)) for z, part in row]
        if before is None:
            return tuple(row)
        old = dict(before.zones[h].shares[c])
        new = dict(row)
        same = set(old) == set(new) and all(abs(old[z] - new[z]) < self.terms.band and not shut[z] for z in new)
        return before.zones[h].shares[c] if same else tuple(row)

    def _differs(self, before: Plan, plan: Plan) -> int:
        """How much a new plan is wanted: 0 not at all, 1 some day, 2 now. Caps that nobody needs yet may wait; a zone
        lost or back, shares that moved, or strangers' caps beyond what a zone has even of its reserve, may not."""
        found = 0
        for h, (old, new) in enumerate(zip(before.zones, plan.zones, strict=True)):
            closed = Standing.CLOSED in (old.standing, new.standing) and old.standing is not new.standing
            if closed or old.part != new.part or old.shares != new.shares:
                return 2
            free = max(0.0, new.room * new.part - new.own - new.reserve)
            given = sum(before.zones[k].caps[h] for k in range(self.terms.zones) if k != h)
            if given > free + new.reserve + 1e-6:
                return 2
            if given > free * (1 + self.terms.band) + 1e-6 or old.standing is not new.standing:
                found = 1
            for z in range(self.terms.zones):
                if z != h and abs(old.caps[z] - new.caps[z]) > 2 * self.terms.band * max(1.0, plan.zones[z].room):
                    found = 1
        return found
