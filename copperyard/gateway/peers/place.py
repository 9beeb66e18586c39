"""Derives from the settings what a gateway has to know of the others."""

from __future__ import annotations

from pathlib import Path

from ...config.common import CoordinationSettings
from .log_store import FileLogStore, SqliteLogStore
from .service import PeerSettings


def peer_settings(plan: CoordinationSettings, name: str, base: Path, trusted: bool) -> PeerSettings:
    """Build the settings of the gateway of that name; log stores are in folders under `base`."""
    folder = base / plan.folder / name
    log_store = None
    if name in plan.voters:
        log_store = SqliteLogStore(folder) if plan.store_kind == "sqlite" else FileLogStore(folder)
    place = plan.coordinator_config(name)
    addresses = {other: plan.dial_addresses[other] for other in sorted(place.peers())}
    return PeerSettings(place, plan.listen_addresses[name], addresses, plan.digest, log_store, trusted)
