"""The check that a plan passes before anybody follows it, whoever proposed it. It reads no clock and no facts: the same
entry is taken, or refused, by every gateway."""

from __future__ import annotations

import math

from .plan import Plan, Standing, Terms

SLACK = 1e-6


def wrong(terms: Terms, before: Plan | None, plan: Plan) -> str | None:
    """Why a plan must not be followed, None where it may.

    What strangers may ask of a zone's hosts is bounded by what that zone has after its own viewers and its reserve:
    by the plan's own caps, and, where any of them grows, by those together with all that fronts may still follow of
    plans before. So two fronts that hold different plans never may do more, taken together, than the zone has."""
    n = terms.zones
    if plan.epoch != (before.epoch + 1 if before is not None else plan.epoch):
        return f"epoch {plan.epoch} does not follow on {before.epoch if before else 0}"
    if plan.epoch < 1 or plan.holds <= 0 or plan.holds > 10 * terms.holds or len(plan.zones) != n:
        return "not of this site's shape"
    for h, zone in enumerate(plan.zones):
        numbers = (zone.room, zone.own, zone.reserve, zone.part, *zone.caps, *zone.owed)
        if (
            len(zone.caps) != n
            or len(zone.owed) != n
            or len(zone.shares) != len(terms.loads)
            or not all(math.isfinite(x) and x >= 0 for x in numbers)
        ):
            return f"zone {h}: not of this site's shape"
        for cls, shares in enumerate(zone.shares):
            if (
                any(not 0 <= z < n or not 0 <= part <= 1 + SLACK for z, part in shares)
                or sum(part for _, part in shares) > 1 + SLACK
                or len({z for z, _ in shares}) != len(shares)
            ):
                return f"zone {h}, class {cls}: shares that are none"
            for z, part in shares:
                if part > SLACK and z != h and terms.prices[h][z] < 0:
                    return f"zone {h}: no way to zone {z}"
                if part > SLACK and plan.zones[z].standing is Standing.CLOSED:
                    return f"zone {h}: a share of {part:.2f} for zone {z}, which is closed"
        if zone.caps[h]:
            return f"zone {h}: a cap for its own hosts"
    for z, zone in enumerate(plan.zones):
        free = max(0.0, zone.room * zone.part - zone.own - zone.reserve)
        caps = [plan.zones[h].caps[z] for h in range(n) if h != z]
        if sum(caps) > free + SLACK * max(1.0, zone.room):
            return f"zone {z}: {sum(caps):.0f} kB/s for strangers, {free:.0f} are free"
        # more than the last plan gave is growth even where an earlier one gave as much: somebody else has it now
        earlier = [before.zones[h].caps[z] if before is not None else 0.0 for h in range(n) if h != z]
        grows = any(new > old + SLACK for new, old in zip(caps, earlier, strict=True))
        held = [max(plan.zones[h].caps[z], plan.zones[h].owed[z]) for h in range(n) if h != z]
        if grows and sum(held) > free + SLACK * max(1.0, zone.room):
            return f"zone {z}: {sum(held):.0f} kB/s with what earlier plans still allow, {free:.0f} are free"
    return None
