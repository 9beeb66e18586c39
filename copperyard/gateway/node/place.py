"""What a node is told at its start: NODE_* variables and the JSON file that NODE_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ...control.node.bounds import LEAST_SOCKETS
from ...interface import Settings
from ...protocol.node.fleet import BadAnswer, Host, parse_known
from ...settings import Platform, parse_platform, parse_settings
from ..net import split_address


class BadPlace(ValueError):
    """The configuration is wrong: which key, and how."""


@dataclass(frozen=True, slots=True)
class Place:
    """A node's configuration."""

    name: str
    listen: str
    seed: int
    sockets: int
    dns: str
    serial: int
    events: tuple[tuple[bool, tuple[Host, ...]], ...]
    settings: Settings
    platform: Platform


def read_place(environ: Mapping[str, str]) -> Place:
    """The configuration as the environment names it; BadPlace tells key and value."""
    for key in ("NODE_NAME", "NODE_LISTEN", "NODE_CONFIG"):
        if not environ.get(key):
            raise BadPlace(f"{key} is not set")
    path = Path(environ["NODE_CONFIG"])
    try:
        raw = json.loads(path.read_bytes())
    except OSError as error:
        raise BadPlace(f"NODE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise BadPlace(f"NODE_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise BadPlace(f"NODE_CONFIG: {path}: not an object")
    return parse_place(environ["NODE_NAME"], environ["NODE_LISTEN"], raw)


def parse_place(name: str, listen: str, raw: dict[str, Any]) -> Place:
    settings, limits = raw.get("settings"), raw.get("limits", {})
    if not isinstance(settings, dict):
        raise BadPlace("settings is not an object")
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < LEAST_SOCKETS:
        raise BadPlace(f"limits.sockets is no number of {LEAST_SOCKETS} or more: {sockets!r}")
    seed = raw.get("seed", "0")
    try:
        number = int(str(seed), 16)
    except ValueError:
        raise BadPlace(f"seed is no hex number: {seed!r}") from None
    try:
        serial, events = parse_known(raw.get("known"))
        return Place(
            name,
            address(listen, "NODE_LISTEN"),
            number,
            sockets,
            address(raw.get("dns"), "dns"),
            serial,
            tuple(events),
            parse_settings(settings),
            parse_platform(settings),
        )
    except BadAnswer as error:
        raise BadPlace(str(error)) from None
    except BadPlace:
        raise
    except ValueError as error:
        raise BadPlace(str(error)) from None


def address(value: Any, key: str) -> str:
    """`host:port`, checked."""
    try:
        host, port = split_address(value)
    except (AttributeError, ValueError):
        raise BadPlace(f"{key} is no host:port: {value!r}") from None
    if not host or not 0 <= port < 65536:
        raise BadPlace(f"{key} is no host:port: {value!r}")
    return str(value)
