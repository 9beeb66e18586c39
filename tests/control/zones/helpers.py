"""Small sites for the planner tests."""

from typing import Any

from copperyard.control.zones.plan import Terms
from copperyard.control.zones.planner import Planner, PlannerInput

SECOND = 1_000_000_000


def terms(n=3, **more):
    """Zones in a row: the distance of two is the difference of their numbers."""
    prices = tuple(tuple(float(abs(h - z)) for z in range(n)) for h in range(n))
    return Terms(**{"prices": prices, "worths": (1.0, 4.0), "loads": (100.0, 200.0), "fronts": (2,) * n, **more})


def view(demand, rooms, silent=(), ways=None):
    n = len(rooms)
    return PlannerInput(
        [list(row) if isinstance(row, tuple) else [row, 0.0] for row in demand],
        rooms,
        ways or [[1.0] * n for _ in range(n)],
        [z in silent for z in range(n)],
    )


class Site:
    """A planner, the plan in force, and time."""

    def __init__(self, one=None):
        self.terms = one or terms()
        self.now = 100 * SECOND
        self.planner = Planner(self.terms, self.now)
        self.plan: Any = None
        self.plans: list[Any] = []

    def step(self, seen, seconds=2.0, known=True):
        """Let time pass and plan for the input; return the plan if there is a new one."""
        self.now += round(seconds * SECOND)
        epochs = [self.plan.epoch if self.plan is not None and known else 0] * self.terms.zones
        plan = self.planner.next_plan(self.now, self.plan, seen, epochs)
        if plan is not None:
            self.plan = plan
            self.plans.append(plan)
            self.planner.committed(self.now, plan)
        return plan

    def until_still(self, seen, most=40):
        for _ in range(most):
            if self.step(seen) is None and self.step(seen, 8.0) is None and self.step(seen, 16.0) is None:
                return self.plan
        raise AssertionError("plans go on and on")

    def share(self, h, z, cls=0):
        return dict(self.plan.zones[h].shares[cls]).get(z, 0.0)
