"""Makes the zone plan: viewers are served by their own zone where that is safe.

The hosts of a zone serve its own viewers first. Only demand that does not fit goes to other zones, the most valuable
class first, to the nearest zone that has room after its own demand and its reserve; two zones that want the same room
share it in proportion to what they want. Demand that fits nowhere is refused. This is a water-filling over pairs of
zones in the order of their distance; its distance from the optimal cost, which a linear program finds, is measured in
benchmarks/zones.py.

A plan builds on the previous one: the caps of other zones at a zone grow by a limited part per second, shares that
hardly changed are kept, and a zone that returns does so in steps, more slowly the more often it was lost.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .plan import Plan, Terms, ZonePlan, ZoneStatus

SECOND = 1_000_000_000
MIN_PATH_HEALTH = 0.5  # a path on which fewer set-ups succeed gets no new sessions
PREALLOCATED_RATIO = 0.75  # part of the unwanted room granted in advance; the rest avoids plans at small changes
DEFERRED_PLAN_FACTOR = 5  # a plan that is not urgent waits this many plan intervals
PREALLOCATION_KEEP_RATIO = 0.4  # advance caps that use less of the free room than this are granted anew
HEALTHY_PATH_THRESHOLD = 0.9  # a path with at least this health counts as faultless


@dataclass(slots=True)
class ZoneReturn:
    """The return of a lost zone. `step_started_at`: when its current step began; `losses`: recent losses."""

    step: int = -1  # -1: it is not returning
    step_started_at: int = 0
    losses: int = 0
    lost_at: int = -(1 << 60)
    healthy_since: int | None = None
    unreachable: bool = False  # no other zone reached it when it was closed: its fronts may run in isolation


@dataclass(frozen=True, slots=True)
class PlannerInput:
    """What a plan is made from: demand[home][class], rooms[zone], path_health[home][zone] (0 to 1: the part of set-ups
    that succeed), and by zone whether no other zone reaches it.
    """

    demand: Sequence[Sequence[float]]
    rooms: Sequence[float]
    path_health: Sequence[Sequence[float]]
    unreachable: Sequence[bool]


def allocate(
    terms: Terms,
    demand: Sequence[Sequence[float]],
    rooms: Sequence[float],
    free: Sequence[float],
    path_health: Sequence[Sequence[float]],
) -> list[list[list[float]]]:
    """Return allocation[home][class][zone]: the part of each demand, kB/s, that each zone gets.

    `rooms` limits what a zone gives to its own viewers, `free` what it gives to those of other zones.
    """
    n, classes = terms.zones, range(len(terms.loads))
    allocation = [[[0.0] * n for _ in classes] for _ in range(n)]
    left = [list(row) for row in demand]
    order = sorted(classes, key=lambda c: (-terms.worths[c] / terms.loads[c], c))
    for h in range(n):
        room = rooms[h] * path_ratio(path_health[h][h])
        for c in order:
            got = min(left[h][c], room)
            allocation[h][c][h] = got
            left[h][c] -= got
            room -= got
    free = list(free)
    for c in order:
        distances = {terms.prices[h][z] for h in range(n) for z in range(n) if h != z}
        for distance in sorted(one for one in distances if one >= 0):
            # each home splits its remaining demand over the zones at this distance in proportion to their free
            # room; then each zone splits its room over the homes that ask for it. A second pass uses up what
            # the first one left
            for _ in range(2):
                asks = [[0.0] * n for _ in range(n)]
                for h in range(n):
                    near = [
                        z
                        for z in range(n)
                        if z != h
                        and terms.prices[h][z] == distance
                        and free[z] > 0
                        and path_health[h][z] >= MIN_PATH_HEALTH
                    ]
                    total = sum(free[z] for z in near)
                    for z in near:
                        asks[h][z] = left[h][c] * free[z] / total
                for z in range(n):
                    wanted = sum(asks[h][z] for h in range(n))
                    part = min(1.0, free[z] / wanted) if wanted > 0 else 0.0
                    for h in range(n):
                        got = asks[h][z] * part
                        allocation[h][c][z] += got
                        left[h][c] -= got
                        free[z] = max(0.0, free[z] - got)
    return allocation


def path_ratio(health: float) -> float:
    """Return the part of the room that a path can use: one that is almost faultless counts as faultless."""
    return 1.0 if health >= HEALTHY_PATH_THRESHOLD else max(0.0, health)


class Planner:
    """Makes plans one after another. Only a leader with a lease uses it. A new leader starts with a new planner and the
    last plan, and relies on nothing that it has not observed itself.
    """

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.started_at = terms, now
        self.returns = [ZoneReturn() for _ in range(terms.zones)]
        self.proposed_at = now - terms.every
        self.superseded: dict[int, int] = {}  # by epoch: when this planner learned that a newer plan was committed
        self._committed: Plan | None = None

    def committed(self, now: int, plan: Plan) -> None:
        """Record a committed plan: earlier plans begin to expire."""
        if self._committed is None or plan.epoch > self._committed.epoch:
            if self._committed is not None:
                self.superseded[self._committed.epoch] = now
            self._committed = plan
            for old in [e for e in self.superseded if e < plan.epoch - 64]:
                del self.superseded[old]

    def next_plan(self, now: int, previous: Plan | None, view: PlannerInput, epochs: Sequence[int]) -> Plan | None:
        """Return the plan to propose next, None if the current one is good enough. `epochs`: the oldest epoch that any
        front of each zone may follow, 0 if not known.
        """
        if now - self.proposed_at < self.terms.every or previous is None and not any(view.rooms):
            return None  # too early, or no host is known yet
        statuses = self._zone_statuses(now, previous, view)
        plan = self._make_plan(now, previous, view, epochs, statuses)
        urgency = self._urgency(previous, plan) if previous is not None else 2
        if not urgency or urgency == 1 and now - self.proposed_at < DEFERRED_PLAN_FACTOR * self.terms.every:
            return None
        self.proposed_at = now
        return plan

    # ---- lost and returning zones

    def _zone_statuses(self, now: int, previous: Plan | None, view: PlannerInput) -> list[tuple[ZoneStatus, float]]:
        found = []
        for z in range(self.terms.zones):
            was = previous.zones[z].status if previous is not None else ZoneStatus.OPEN
            lost = view.unreachable[z] or view.rooms[z] <= 0
            if view.unreachable[z]:
                self.returns[z].unreachable = True
            found.append(
                self._zone_status(now, z, was, lost, previous.zones[z].usable_ratio if previous is not None else 1.0)
            )
        return found

    def _zone_status(self, now: int, z: int, was: ZoneStatus, lost: bool, part: float) -> tuple[ZoneStatus, float]:
        back, terms = self.returns[z], self.terms
        if lost:
            if was is not ZoneStatus.CLOSED:
                again = now - back.lost_at < terms.memory
                back.losses = back.losses + 1 if again else 1
                back.lost_at = now
            back.step, back.healthy_since = -1, None
            return ZoneStatus.CLOSED, 0.0
        if was is ZoneStatus.CLOSED:
            # a flapping zone would shift the traffic of all zones: it has to be healthy for a while first
            back.healthy_since = now if back.healthy_since is None else back.healthy_since
            if now - back.healthy_since < self._dwell(back):
                return ZoneStatus.CLOSED, 0.0
            back.step, back.step_started_at, back.unreachable = 0, now, False
            return ZoneStatus.RETURNING, terms.steps[0]
        if was is ZoneStatus.RETURNING:
            if back.step < 0:  # an earlier leader began its return
                back.step = min((n for n, s in enumerate(terms.steps) if s >= part - 1e-9), default=0)
                back.step_started_at = now
            if now - back.step_started_at >= self._dwell(back):
                back.step, back.step_started_at = back.step + 1, now
            if back.step < len(terms.steps):
                return ZoneStatus.RETURNING, terms.steps[back.step]
            back.step = -1
        return ZoneStatus.OPEN, 1.0

    def _dwell(self, back: ZoneReturn) -> int:
        return min(self.terms.dwell_most, self.terms.dwell << max(0, back.losses - 1))

    # ---- the plan itself

    def _make_plan(
        self,
        now: int,
        previous: Plan | None,
        view: PlannerInput,
        epochs: Sequence[int],
        statuses: list[tuple[ZoneStatus, float]],
    ) -> Plan:
        terms, n = self.terms, self.terms.zones
        rooms = [view.rooms[z] * terms.mark * statuses[z][1] for z in range(n)]
        full = [view.rooms[z] * terms.mark for z in range(n)]
        reserve = [full[z] * terms.reserve for z in range(n)]
        own = [min(sum(view.demand[z]), rooms[z] * path_ratio(view.path_health[z][z])) for z in range(n)]
        outstanding = self._outstanding(now, previous, epochs)
        free = [max(0.0, rooms[z] - own[z] - reserve[z]) for z in range(n)]
        # what other zones may get at once; what earlier plans still allow to others is not granted twice
        allowed = [self._grantable(now, previous, z, free[z], view.rooms[z] * terms.mark) for z in range(n)]
        # a zone that was unreachable keeps no paths while it flaps, until it has been healthy for a while
        unreachable = [self.returns[z].unreachable for z in range(n)]
        path_health = [
            [0.0 if h != z and (unreachable[h] or unreachable[z]) else view.path_health[h][z] for z in range(n)]
            for h in range(n)
        ]
        allocation = allocate(terms, view.demand, rooms, allowed, path_health)
        caps = [
            [sum(allocation[h][c][z] for c in range(len(terms.loads))) if z != h else 0.0 for z in range(n)]
            for h in range(n)
        ]
        for z in range(n):
            self._preallocate(previous, view, caps, z, allowed[z], unreachable, statuses[z][0] is ZoneStatus.CLOSED)
            self._fit_caps(previous, caps, outstanding, z, free[z])
        closed = [statuses[z][0] is ZoneStatus.CLOSED for z in range(n)]
        shares = [self._shares(previous, view, allocation, caps, h, closed) for h in range(n)]
        zones = []
        for h in range(n):
            status, part = statuses[h]
            if status is ZoneStatus.OPEN and any(dict(row).get(h, 0.0) < 1 - self.terms.band for row in shares[h]):
                status = ZoneStatus.SHEDDING
            zones.append(
                ZonePlan(status, full[h], own[h], reserve[h], part, shares[h], tuple(caps[h]), tuple(outstanding[h]))
            )
        return Plan(previous.epoch + 1 if previous is not None else 1, terms.holds, tuple(zones))

    def _outstanding(self, now: int, previous: Plan | None, epochs: Sequence[int]) -> list[list[float]]:
        """Return outstanding[home][zone]: the caps that fronts may still follow of plans before the new one.

        These are the caps of the previous plan, and what was outstanding then, unless every front of the home is
        known to follow the previous plan or the plans before it have expired.
        """
        n = self.terms.zones
        if previous is None:
            return [[0.0] * n for _ in range(n)]
        # plans superseded before this planner started began to expire at its start at the latest
        since = self.superseded.get(previous.epoch - 1, self.started_at)
        over = now - since > 2 * previous.holds * (1 + 2 * self.terms.drift)
        found = []
        for h in range(n):
            zone = previous.zones[h]
            known = over or epochs[h] >= previous.epoch
            found.append([zone.caps[z] if known else max(zone.caps[z], zone.outstanding[z]) for z in range(n)])
        return found

    def _grantable(self, now: int, previous: Plan | None, z: int, free: float, full: float) -> float:
        """Return the free room that may be granted to other zones now: it grows by `pace` per second."""
        if previous is None:
            return free
        had = sum(previous.zones[h].caps[z] for h in range(self.terms.zones) if h != z)
        dt = min(10.0, (now - self.proposed_at) / SECOND)
        return min(free, had + self.terms.pace * full * dt)

    def _preallocate(
        self,
        previous: Plan | None,
        view: PlannerInput,
        caps: list[list[float]],
        z: int,
        allowed: float,
        unreachable: list[bool],
        closed: bool,
    ) -> None:
        """Grant unwanted room of a zone in advance, so that a front whose own zone is lost can use it at once, before
        the voters agree on a new plan. It is split by demand, more to nearer homes. Earlier grants are kept while
        they fit, since measured demand always fluctuates.
        """
        homes = [
            h
            for h in range(self.terms.zones)
            if h != z
            and self.terms.prices[h][z] >= 0
            and not unreachable[h]
            and view.path_health[h][z] >= MIN_PATH_HEALTH
        ]
        left = (allowed - sum(caps[h][z] for h in homes)) * PREALLOCATED_RATIO
        if closed or unreachable[z] or left <= 0 or not homes:
            return
        old = {h: previous.zones[h].caps[z] if previous is not None else 0.0 for h in homes}
        if PREALLOCATION_KEEP_RATIO * allowed < sum(old.values()) <= allowed and all(
            caps[h][z] <= old[h] for h in homes
        ):
            for h in homes:
                caps[h][z] = old[h]
            return
        weights = {h: (sum(view.demand[h]) + 1.0) / (1.0 + self.terms.prices[h][z]) for h in homes}
        total = sum(weights.values())
        for h in homes:
            caps[h][z] += left * weights[h] / total

    def _fit_caps(
        self, previous: Plan | None, caps: list[list[float]], outstanding: list[list[float]], z: int, free: float
    ) -> None:
        """Lower the growing caps at a zone until they fit beside the outstanding caps of earlier plans."""
        homes = [h for h in range(self.terms.zones) if h != z]
        old = [previous.zones[h].caps[z] if previous is not None else 0.0 for h in range(self.terms.zones)]
        held = sum(max(caps[h][z], outstanding[h][z]) for h in homes)
        if held > free:
            above = {h: max(0.0, caps[h][z] - max(old[h], outstanding[h][z])) for h in homes}
            grown = sum(above.values())
            keep = 1.0 - (held - free) / grown if grown > 0 else 0.0
            for h in homes:
                # if the caps of earlier plans fill the zone by themselves, no cap grows
                caps[h][z] = caps[h][z] - above[h] * (1 - keep) if keep > 0 else min(caps[h][z], old[h])
        total = sum(caps[h][z] for h in homes)
        if total > free:
            for h in homes:
                caps[h][z] *= free / total

    def _shares(
        self,
        previous: Plan | None,
        view: PlannerInput,
        allocation: list[list[list[float]]],
        caps: list[list[float]],
        h: int,
        closed: list[bool],
    ) -> tuple[tuple[tuple[int, float], ...], ...]:
        found = []
        for c in range(len(self.terms.loads)):
            wanted = view.demand[h][c]
            row: list[tuple[int, float]] = []
            for z in range(self.terms.zones):
                got = allocation[h][c][z]
                if z != h:  # the share is reduced where the cap is smaller than the allocation
                    total = sum(allocation[h][k][z] for k in range(len(self.terms.loads)))
                    got = got * min(1.0, caps[h][z] / total) if total > 0 else 0.0
                share = got / wanted if wanted > 0 else 0.0
                if wanted <= 0 and z == h and not closed[h]:
                    share = 1.0  # without demand any request is served by the own zone
                if share > 1e-4:
                    row.append((z, min(1.0, share)))
            found.append(self._damp_shares(previous, h, c, row, closed))
        return tuple(found)

    def _damp_shares(
        self, previous: Plan | None, h: int, c: int, row: list[tuple[int, float]], closed: list[bool]
    ) -> tuple[tuple[int, float], ...]:
        """Return the previous plan's shares if the new ones differ little from them, else the new ones."""
        total = sum(part for _, part in row)
        if total > 1:
            row = [(z, part / total) for z, part in row]
        if total > 1 - self.terms.band / 2 and any(z == h for z, _ in row):
            # almost all demand fits: the rest is within the error of measurement
            row = [(z, part + (max(0.0, 1 - total) if z == h else 0.0)) for z, part in row]
        if previous is None:
            return tuple(row)
        old = dict(previous.zones[h].shares[c])
        new = dict(row)
        same = set(old) == set(new) and all(abs(old[z] - new[z]) < self.terms.band and not closed[z] for z in new)
        return previous.zones[h].shares[c] if same else tuple(row)

    def _urgency(self, previous: Plan, plan: Plan) -> int:
        """Return how urgent a new plan is: 0 not needed, 1 can wait, 2 now.

        Changed caps alone can wait. A zone that was lost or returns, changed shares, or caps of other zones that
        exceed the free room and the reserve of a zone cannot.
        """
        found = 0
        for h, (old, new) in enumerate(zip(previous.zones, plan.zones, strict=True)):
            closed = ZoneStatus.CLOSED in (old.status, new.status) and old.status is not new.status
            if closed or old.usable_ratio != new.usable_ratio or old.shares != new.shares:
                return 2
            free = max(0.0, new.room * new.usable_ratio - new.own - new.reserve)
            granted = sum(previous.zones[k].caps[h] for k in range(self.terms.zones) if k != h)
            if granted > free + new.reserve + 1e-6:
                return 2
            if granted > free * (1 + self.terms.band) + 1e-6 or old.status is not new.status:
                found = 1
            for z in range(self.terms.zones):
                if z != h and abs(old.caps[z] - new.caps[z]) > 2 * self.terms.band * max(1.0, plan.zones[z].room):
                    found = 1
        return found
