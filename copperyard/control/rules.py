"""What an operator sets for a front beside the module's own settings. Types only; config/ fills them."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Settings
from ..protocol.rtsp import Limits


@dataclass(frozen=True, slots=True)
class Entry:
    """Who may come in as which class: the first entry whose path prefix fits and whose wish for a code is met.
    `cls` is the index of the class in Settings.classes."""

    cls: int
    prefix: str
    paid: bool


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one gateway. Times are ns, sizes bytes.

    `queue`: bytes that wait for one viewer before its host is read no further; `stall`: how long a viewer may
    take nothing before its sessions end; `idle`: the RTSP session time-out; `silence`: how long a playing host
    may send nothing before the module hears of it; `dead`: and before the session is given up; `codes`: paid
    codes remembered; `code_life`: how long after its last use no office takes a code any more; `open_requests`:
    requests without an answer at a time."""

    connections: int
    sessions: int
    open_requests: int
    queue: int
    stall: int
    idle: int
    silence: int
    dead: int
    codes: int
    code_life: int = 30 * 24 * 3600 * 1_000_000_000


@dataclass(frozen=True, slots=True)
class FrontRules:
    """All that a front's core is told at its start."""

    settings: Settings
    entries: tuple[Entry, ...]
    bounds: Bounds
    viewers: Limits
    hosts: Limits
