"""Validates a plan before any gateway follows it, whoever proposed it.

The check reads neither the clock nor reports, so every gateway accepts or rejects the same log entry.
"""

from __future__ import annotations

import math

from .plan import Plan, Terms, ZoneStatus

TOLERANCE = 1e-6


def plan_error(terms: Terms, previous: Plan | None, plan: Plan) -> str | None:
    """Return why the plan must not be followed, or None if it is valid.

    The load that other zones may place on a zone's hosts is limited to what the zone has left after its own viewers
    and its reserve. The limit applies to the plan's caps and, where any cap grows, to those caps together with the caps
    of earlier plans that fronts may still follow. So two fronts with different plans can never load a zone beyond
    its room together.
    """
    n = terms.zones
    if plan.epoch != (previous.epoch + 1 if previous is not None else plan.epoch):
        return f"epoch {plan.epoch} does not follow on {previous.epoch if previous else 0}"
    if plan.epoch < 1 or plan.holds <= 0 or plan.holds > 10 * terms.holds or len(plan.zones) != n:
        return "number of zones, epoch or validity does not fit this site's shape"
    for h, zone in enumerate(plan.zones):
        numbers = (zone.room, zone.own, zone.reserve, zone.usable_ratio, *zone.caps, *zone.outstanding)
        if (
            len(zone.caps) != n
            or len(zone.outstanding) != n
            or len(zone.shares) != len(terms.loads)
            or not all(math.isfinite(x) and x >= 0 for x in numbers)
        ):
            return f"zone {h}: not of this site's shape"
        for cls, shares in enumerate(zone.shares):
            if (
                any(not 0 <= z < n or not 0 <= part <= 1 + TOLERANCE for z, part in shares)
                or sum(part for _, part in shares) > 1 + TOLERANCE
                or len({z for z, _ in shares}) != len(shares)
            ):
                return f"zone {h}, class {cls}: shares that are none"
            for z, part in shares:
                if part > TOLERANCE and z != h and terms.prices[h][z] < 0:
                    return f"zone {h}: no way to zone {z}"
                if part > TOLERANCE and plan.zones[z].status is ZoneStatus.CLOSED:
                    return f"zone {h}: a share of {part:.2f} for zone {z}, which is closed"
        if zone.caps[h]:
            return f"zone {h}: a cap for its own hosts"
    for z, zone in enumerate(plan.zones):
        free = max(0.0, zone.room * zone.usable_ratio - zone.own - zone.reserve)
        caps = [plan.zones[h].caps[z] for h in range(n) if h != z]
        if sum(caps) > free + TOLERANCE * max(1.0, zone.room):
            return f"zone {z}: {sum(caps):.0f} kB/s for strangers, {free:.0f} are free"
        # a cap above that of the previous plan counts as growth even if an earlier plan gave as much: the room may have
        # been granted to another zone since
        earlier = [previous.zones[h].caps[z] if previous is not None else 0.0 for h in range(n) if h != z]
        grows = any(new > old + TOLERANCE for new, old in zip(caps, earlier, strict=True))
        held = [max(plan.zones[h].caps[z], plan.zones[h].outstanding[z]) for h in range(n) if h != z]
        if grows and sum(held) > free + TOLERANCE * max(1.0, zone.room):
            return f"zone {z}: {sum(held):.0f} kB/s with what earlier plans still allow, {free:.0f} are free"
    return None
