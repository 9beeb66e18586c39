"""What one front may do by the plan that it holds.

A plan is in force for a time after it was proposed or renewed; that time is counted on this front's clock from the
latest moment at which it can have been (state.agreement.council.Dates), less what clocks may drift. After it the caps
abroad run out, evenly over the same time again; what is left then is the own zone. A front that never had a plan keeps
to its own zone as well: two halves of a cut site must not both fill the third.
"""

from __future__ import annotations

from ...interface import Ways
from .plan import Plan, Terms

STEPS = 8  # parts in which caps run out


def near(terms: Terms, zone: int) -> Ways:
    """Without a plan: the own zone, by own evidence."""
    return Ways(
        tuple(((zone, 1.0),) for _ in terms.loads), tuple(None if z == zone else 0.0 for z in range(terms.zones))
    )


class PlanBook:
    """The plan in force at one front of `zone`."""

    def __init__(self, terms: Terms, zone: int) -> None:
        self.terms, self.zone = terms, zone
        self.plan: Plan | None = None
        self.since: int | None = None  # when it was proposed or renewed at the latest, by this front's clock

    def take(self, plan: Plan) -> None:
        """A plan was committed. Its time is told by `dated`; until then the time of the one before goes on, so that
        nothing runs out by a plan's coming."""
        if self.plan is None or plan.epoch > self.plan.epoch:
            self.plan = plan

    def dated(self, at: int) -> None:
        """The plan held, or its renewal, was proposed at `at` or later."""
        self.since = at if self.since is None else max(self.since, at)

    def _holds(self) -> int:
        assert self.plan is not None
        return int(self.plan.holds * (1 - 2 * self.terms.drift))

    def strength(self, now: int) -> float:
        """1 while the plan holds, then less in steps, 0 once it has run out."""
        if self.plan is None or self.since is None:
            return 0.0
        holds = self._holds()
        late = now - self.since - holds
        if late <= 0:
            return 1.0
        return max(0.0, 1 - (1 + late * STEPS // holds) / STEPS)

    def next_change(self, now: int) -> int | None:
        """When `ways` will say something else by itself."""
        strength = self.strength(now)
        if self.plan is None or self.since is None or strength <= 0:
            return None
        holds = self._holds()
        late = now - self.since - holds
        done = late * STEPS // holds + 1 if late > 0 else 0
        return self.since + holds + max(1, done * holds // STEPS)

    def ways(self, now: int) -> Ways:
        """What this front may do now."""
        strength = self.strength(now)
        if self.plan is None or strength <= 0:
            return near(self.terms, self.zone)
        mine = self.plan.zones[self.zone]
        fronts = max(1, self.terms.fronts[self.zone])
        caps = tuple(None if z == self.zone else cap / fronts * strength for z, cap in enumerate(mine.caps))
        if strength >= 1:
            return Ways(mine.shares, caps)
        # what may no longer go abroad stays near
        shares = []
        for row in mine.shares:
            kept = [(z, part if z == self.zone else part * strength) for z, part in row]
            home = sum(part for z, part in kept if z == self.zone)
            gone = sum(part for _, part in row) - sum(part for _, part in kept)
            shares.append(tuple([(z, part) for z, part in kept if z != self.zone] + [(self.zone, home + gone)]))
        return Ways(tuple(shares), caps)
