"""Which class a viewer's request belongs to, and how high it may go, before the module hears of it."""

from __future__ import annotations

from dataclasses import dataclass

from ..protocol.rtsp.headers import Target
from .catalogue import Title
from .rules import Entry, FrontRules

CODE_FIELD = "code"
MOST_CODE = 128


@dataclass(frozen=True, slots=True)
class Denial:
    """The request cannot be a session at all; the module never hears of it. `status` is RTSP's."""

    status: int
    text: str


@dataclass(frozen=True, slots=True)
class Admission:
    """What a viewer may ask of a title."""

    entry: Entry
    code: str | None


def admit(rules: FrontRules, title: Title, target: Target) -> Admission | Denial:
    """The class of a request, by path and by whether it brings a code (403, 402, 400 as Denial)."""
    code = target.get(CODE_FIELD)
    if code is not None and not (0 < len(code) <= MOST_CODE and code.isascii() and code.isalnum()):
        return Denial(400, "a code is 1 to 128 letters and digits")
    reached = [e for e in rules.entries if title.path.startswith(e.prefix)]
    for entry in reached:
        if entry.paid == (code is not None):
            return Admission(entry, code)
    if reached and code is None:
        return Denial(402, "this title is played with a code only")
    if reached:
        # a code that nothing here redeems is not swallowed silently: the viewer would believe it spent
        return Denial(403, "this title takes no code")
    return Denial(403, "no class plays this title")


def top_rung(rules: FrontRules, cls: int, bandwidth: int | None) -> int:
    """The highest rung whose rate fits a viewer's Bandwidth (bits a second), the lowest where none does."""
    rates = rules.settings.rung_kb
    if bandwidth is None:
        return len(rates) - 1
    scale = rules.settings.classes[cls].scale
    return max((n for n, kb in enumerate(rates) if kb * scale * 8000 <= bandwidth), default=0)
