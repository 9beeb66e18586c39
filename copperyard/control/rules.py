"""An operator's settings for a front besides the controller's. Types only; config/ fills them."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Settings
from ..protocol.rtsp import Limits


@dataclass(frozen=True, slots=True)
class AdmissionRule:
    """Admits requests to a class. The first one whose path prefix matches and whose `paid` agrees with the presence
    of a code applies. `cls` is the index of the class in Settings.classes.
    """

    cls: int
    prefix: str
    paid: bool


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one gateway. Times are ns, sizes bytes.

    `queue`: bytes that wait for one viewer before reading from its host stops; `stall`: how long a viewer may accept
    nothing before its sessions end; `idle`: the RTSP session time-out; `silence`: how long a playing host may send
    nothing before the controller is told; `dead`: how long before its session is given up; `codes`: paid codes
    remembered; `code_life`: time after its last use at which a code expires at the redemption service;
    `open_requests`: unanswered requests at a time.
    """

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
    """Configuration of a front's core. `viewers` and `hosts` limit the RTSP connections to either side."""

    settings: Settings
    admission_rules: tuple[AdmissionRule, ...]
    bounds: Bounds
    viewers: Limits
    hosts: Limits
