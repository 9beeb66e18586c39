"""What a gateway is told of its neighbours, from the settings."""

from __future__ import annotations

from pathlib import Path

from ...config.common import CommonPlan
from .neighbours import Neighbourhood
from .shelf import FolderShelf, SqliteShelf


def neighbourhood(plan: CommonPlan, name: str, base: Path, trusted: bool) -> Neighbourhood:
    """For the gateway of that name; folders lie beside `base`."""
    folder = base / plan.folder / name
    shelf = None
    if name in plan.voters:
        shelf = SqliteShelf(folder) if plan.store == "sqlite" else FolderShelf(folder)
    place = plan.place(name)
    reach = {other: plan.reach[other] for other in sorted(place.peers())}
    return Neighbourhood(place, plan.listen[name], reach, plan.fleet, shelf, trusted)
