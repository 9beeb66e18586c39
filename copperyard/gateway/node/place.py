"""The configuration of a node: NODE_* variables and the JSON file that NODE_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ...control.node.bounds import MIN_MEMORY_MB, MIN_SOCKETS
from ...interface import Settings
from ...protocol.node.fleet import Host, HostListError, parse_known
from ...settings import Platform, parse_platform, parse_settings
from ..net import split_address


class ConfigError(ValueError):
    """The configuration is invalid; the text names the key and the fault."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of a node. `sockets` bounds its descriptors, `memory_mb` its memory if it is not None,
    `list_events` are the known host lists.
    """

    name: str
    listen: str
    seed: int
    sockets: int
    dns: str
    serial: int
    list_events: tuple[tuple[bool, tuple[Host, ...]], ...]
    settings: Settings
    platform: Platform
    memory_mb: float | None = None


def read_config(environ: Mapping[str, str]) -> NodeConfig:
    """Read the configuration that the environment names; raises ConfigError with key and value."""
    for key in ("NODE_NAME", "NODE_LISTEN", "NODE_CONFIG"):
        if not environ.get(key):
            raise ConfigError(f"{key} is not set")
    path = Path(environ["NODE_CONFIG"])
    try:
        raw = json.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path}: not an object")
    return parse_config(environ["NODE_NAME"], environ["NODE_LISTEN"], raw)


def parse_config(name: str, listen: str, raw: dict[str, Any]) -> NodeConfig:
    """Check the parsed JSON `raw` and build the configuration; raises ConfigError with key and value."""
    settings, limits = raw.get("settings"), raw.get("limits", {})
    if not isinstance(settings, dict):
        raise ConfigError("settings is not an object")
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets is not a number of {MIN_SOCKETS} or more: {sockets!r}")
    memory_mb = limits.get("memory_mb")
    if memory_mb is not None and (
        isinstance(memory_mb, bool) or not isinstance(memory_mb, int | float) or not memory_mb >= MIN_MEMORY_MB
    ):
        raise ConfigError(f"limits.memory_mb is not a number of {MIN_MEMORY_MB} or more: {memory_mb!r}")
    seed = raw.get("seed", "0")
    try:
        number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed is not a hex number: {seed!r}") from None
    try:
        serial, events = parse_known(raw.get("known"))
        return NodeConfig(
            name,
            checked_address(listen, "NODE_LISTEN"),
            number,
            sockets,
            checked_address(raw.get("dns"), "dns"),
            serial,
            tuple(events),
            parse_settings(settings),
            parse_platform(settings),
            memory_mb,
        )
    except HostListError as error:
        raise ConfigError(str(error)) from None
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(str(error)) from None


def checked_address(value: Any, key: str) -> str:
    """The value, if it is a valid `host:port`; raises ConfigError naming `key` otherwise."""
    try:
        host, port = split_address(value)
    except (AttributeError, ValueError):
        raise ConfigError(f"{key} is no host:port: {value!r}") from None
    if not host or not 0 <= port < 65536:
        raise ConfigError(f"{key} is no host:port: {value!r}")
    return str(value)
