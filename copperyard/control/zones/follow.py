"""What one front may do under its current plan.

A plan is valid for some time after it was proposed or renewed. The front counts this time on its own clock, from the
greatest known lower bound of the time of the proposal (state.agreement.council.Dates), less the allowed clock drift.
After that the caps for other zones shrink to zero evenly over the same time again, until only the own zone is left. A
front without a plan uses only its own zone as well: two halves of a partitioned site must not both fill a third zone.
"""

from __future__ import annotations

from ...interface import ZoneAllocation
from .plan import Plan, Terms

EXPIRY_STEPS = 8  # steps in which the caps of an expired plan shrink to zero


def own_zone_only(terms: Terms, zone: int) -> ZoneAllocation:
    """Return the ways of a front without a plan: all requests to its own zone, without a cap there."""
    return ZoneAllocation(
        tuple(((zone, 1.0),) for _ in terms.loads), tuple(None if z == zone else 0.0 for z in range(terms.zones))
    )


class ActivePlan:
    """The plan in force at one front of `zone`, and its age."""

    def __init__(self, terms: Terms, zone: int) -> None:
        self.terms, self.zone = terms, zone
        self.plan: Plan | None = None
        self.proposed_at: int | None = None  # it was proposed or renewed at this time or later, by this front's clock

    def adopt(self, plan: Plan) -> None:
        """Adopt a committed plan. Its age is set by `confirm`; until then the age of the previous plan goes on, so that
        the arrival of a plan makes nothing expire.
        """
        if self.plan is None or plan.epoch > self.plan.epoch:
            self.plan = plan

    def confirm(self, at: int) -> None:
        """Record that the current plan or its renewal was proposed at `at` or later."""
        self.proposed_at = at if self.proposed_at is None else max(self.proposed_at, at)

    def _validity(self) -> int:
        assert self.plan is not None
        return int(self.plan.holds * (1 - 2 * self.terms.drift))

    def strength(self, now: int) -> float:
        """Return the factor on caps for other zones: 1 while the plan is valid, then less in steps, finally 0."""
        if self.plan is None or self.proposed_at is None:
            return 0.0
        validity = self._validity()
        late = now - self.proposed_at - validity
        if late <= 0:
            return 1.0
        return max(0.0, 1 - (1 + late * EXPIRY_STEPS // validity) / EXPIRY_STEPS)

    def next_change(self, now: int) -> int | None:
        """Return when `ways` next changes merely by the passing of time; None if it does not."""
        strength = self.strength(now)
        if self.plan is None or self.proposed_at is None or strength <= 0:
            return None
        validity = self._validity()
        late = now - self.proposed_at - validity
        done = late * EXPIRY_STEPS // validity + 1 if late > 0 else 0
        return self.proposed_at + validity + max(1, done * validity // EXPIRY_STEPS)

    def allocation(self, now: int) -> ZoneAllocation:
        """Return the shares and caps of this front now."""
        strength = self.strength(now)
        if self.plan is None or strength <= 0:
            return own_zone_only(self.terms, self.zone)
        mine = self.plan.zones[self.zone]
        fronts = max(1, self.terms.fronts[self.zone])
        caps = tuple(None if z == self.zone else cap / fronts * strength for z, cap in enumerate(mine.caps))
        if strength >= 1:
            return ZoneAllocation(mine.shares, caps)
        # the part that may no longer go to other zones stays in the own zone
        shares = []
        for row in mine.shares:
            kept = [(z, part if z == self.zone else part * strength) for z, part in row]
            home = sum(part for z, part in kept if z == self.zone)
            removed = sum(part for _, part in row) - sum(part for _, part in kept)
            shares.append(tuple([(z, part) for z, part in kept if z != self.zone] + [(self.zone, home + removed)]))
        return ZoneAllocation(tuple(shares), caps)
