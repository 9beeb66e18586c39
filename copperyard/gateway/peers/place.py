"""Derives from the settings what a gateway has to know of the others."""

from __future__ import annotations

from pathlib import Path

from ...config.common import CommonPlan
from .log_store import FileLogStore, SqliteLogStore
from .service import PeerSettings


def peer_settings(plan: CommonPlan, name: str, base: Path, trusted: bool) -> PeerSettings:
    """Build the settings of the gateway of that name; log stores are in folders under `base`."""
    folder = base / plan.folder / name
    shelf = None
    if name in plan.voters:
        shelf = SqliteLogStore(folder) if plan.store == "sqlite" else FileLogStore(folder)
    place = plan.place(name)
    reach = {other: plan.reach[other] for other in sorted(place.peers())}
    return PeerSettings(place, plan.listen[name], reach, plan.fleet, shelf, trusted)
