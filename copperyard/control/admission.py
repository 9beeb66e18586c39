"""Admission: which class a viewer's request belongs to and its highest rung, before the controller sees it."""

from __future__ import annotations

from dataclasses import dataclass

from ..protocol.rtsp.headers import Target
from .catalogue import Title
from .rules import AdmissionRule, FrontRules

CODE_PARAMETER = "code"
MAX_CODE_CHARS = 128


@dataclass(frozen=True, slots=True)
class Denial:
    """The request cannot become a session; the controller does not see it. `status` is an RTSP status."""

    status: int
    text: str


@dataclass(frozen=True, slots=True)
class Admission:
    """The class of a request for a title, and its code."""

    entry: AdmissionRule
    code: str | None


def admit(rules: FrontRules, title: Title, target: Target) -> Admission | Denial:
    """Return the class of a request by its path and whether it has a code. A Denial has status 400, 402 or 403."""
    code = target.get(CODE_PARAMETER)
    if code is not None and not (0 < len(code) <= MAX_CODE_CHARS and code.isascii() and code.isalnum()):
        return Denial(400, "a code is 1 to 128 letters and digits")
    matching = [e for e in rules.admission_rules if title.path.startswith(e.prefix)]
    for entry in matching:
        if entry.paid == (code is not None):
            return Admission(entry, code)
    if matching and code is None:
        return Denial(402, "this title is played with a code only")
    if matching:
        # A code that cannot be redeemed here is rejected; if it were ignored, the viewer would think it was spent.
        return Denial(403, "this title takes no code")
    return Denial(403, "no class plays this title")


def highest_rung(rules: FrontRules, cls: int, bandwidth: int | None) -> int:
    """Return the highest rung whose rate fits the viewer's Bandwidth (bits per second), the lowest if none does."""
    rates = rules.settings.rung_kb
    if bandwidth is None:
        return len(rates) - 1
    scale = rules.settings.classes[cls].rate_scale
    return max((n for n, kb in enumerate(rates) if kb * scale * 8000 <= bandwidth), default=0)
