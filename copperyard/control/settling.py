"""Codes that are unclear: a set-up with them left, and nobody said what became of it. Their hosts are asked.

A host answers for a set-up's Request-Id (docs/host-protocol.md): redeemed, with the receipt; never, and from then on it
will not run that request any more; or that it still runs. Until a host has answered, the code is neither sent again nor
refused. Whom to ask, when, and how often is decided here; the asking is the I/O's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SETTLE_HEADER, SETTLED_HEADER = "Settle", "Settled"
FIRST, MOST = 250 * MS, 60_000 * MS  # waits between questions for one code, doubling
URGED = 100 * MS  # a family that asks now has its code asked for at once, but not more often than this
AT_ONCE = 4  # questions out: a front that comes back to thousands of unclear codes must not flood their hosts
MOST_TEXT = 512


class Answer(Enum):
    """What a host says of a set-up."""

    REDEEMED = "redeemed"
    NEVER = "never"
    RUNNING = "running"
    NONE = "none"


@dataclass(slots=True)
class Case:
    """One unclear code. `due` is when to ask next (ns, the loop's clock), `asked` when it was asked last."""

    code: bytes
    request: str
    host: str
    due: int
    wait: int = FIRST
    asked: int | None = None
    out: bool = False


def parse_settled(text: str | None) -> tuple[Answer, str]:
    """A host's answer and the receipt with it. NONE where it says nothing that makes sense."""
    if text is None or len(text) > MOST_TEXT:
        return Answer.NONE, ""
    word, _, rest = text.partition(";")
    answer = next((a for a in Answer if a.value == word.strip()), Answer.NONE)
    receipt = rest.strip().removeprefix("receipt=") if rest.strip().startswith("receipt=") else ""
    if answer is Answer.REDEEMED and not receipt:
        return Answer.NONE, ""  # without it the family could not come back to what it paid
    return answer, receipt


class Settler:
    """All unclear codes of a front."""

    def __init__(self) -> None:
        self._cases: dict[bytes, Case] = {}
        self._out = 0

    def __len__(self) -> int:
        return len(self._cases)

    def __iter__(self) -> Iterator[Case]:
        return iter(self._cases.values())

    def add(self, now: int, code: bytes, request: str, host: str) -> None:
        """A code has become unclear, or was found so."""
        if code not in self._cases:
            self._cases[code] = Case(code, request, host, now)

    def drop(self, code: bytes) -> None:
        """Nobody needs to know any more."""
        case = self._cases.pop(code, None)
        if case is not None and case.out:
            self._out -= 1

    def urge(self, now: int, code: bytes) -> None:
        """A family brings the code: ask now, unless that was done just before."""
        case = self._cases.get(code)
        if case is not None and not case.out:
            case.due = min(case.due, max(now, case.asked + URGED if case.asked is not None else now))

    def due(self, now: int, known: Callable[[str], bool]) -> list[Case]:
        """Whom to ask now: the longest due first. A host that is not on the list is waited for."""
        ready = sorted((c for c in self._cases.values() if not c.out and c.due <= now), key=lambda c: c.due)
        found: list[Case] = []
        for case in ready:
            if self._out >= AT_ONCE:
                break
            case.asked = now
            if not known(case.host):
                self._later(now, case)
                continue
            case.out = True
            self._out += 1
            found.append(case)
        return found

    def answered(self, now: int, code: bytes, answer: Answer) -> bool:
        """What a host said. Whether that settles the code; if not it is asked for again later."""
        case = self._cases.get(code)
        if case is None:
            return False
        if case.out:
            case.out = False
            self._out -= 1
        if answer in (Answer.REDEEMED, Answer.NEVER):
            del self._cases[code]
            return True
        self._later(now, case)
        return False

    def _later(self, now: int, case: Case) -> None:
        case.due = now + case.wait
        case.wait = min(MOST, 2 * case.wait)

    def next(self) -> int | None:
        """When somebody is due next, None while nobody is or all questions that may be are out."""
        if self._out >= AT_ONCE:
            return None
        return min((c.due for c in self._cases.values() if not c.out), default=None)
