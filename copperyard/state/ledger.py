"""The state itself: what all facts so far come to.

Each fact about a code says all that is known of it, whatever was known before. So facts may be applied to a state that
holds some of them already, and the same comes out: a snapshot may be written while facts go on coming, as long as all
that came since it began are replayed over it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .facts import Began, Carried, Cleared, Ended, Fact, Listed, Passed, Redeemed


@dataclass(frozen=True, slots=True)
class Kept:
    """What is kept of a code. With a receipt it is redeemed; without one a set-up with it left, for `host` as
    `request`, and nothing is known of what became of that."""

    at: int
    receipt: str | None
    request: str = ""
    host: str = ""


@dataclass(slots=True)
class State:
    """All that a gateway must not forget. `codes` are in the order of their newest fact, oldest first. `ended`: the
    last life came to a planned end; `spent` are its last further attempts, as ages in ns at that end."""

    codes: dict[bytes, Kept] = field(default_factory=dict)
    reached: int = 0
    label: str = ""
    generation: str = ""
    lives: int = 0
    body: bytes = b""
    ended: bool = True
    spent: tuple[int, ...] = ()

    def apply(self, fact: Fact) -> None:
        """Take a fact up."""
        self.reached = max(self.reached, fact.at)
        if isinstance(fact, Carried):
            self._keep(fact.code, Kept(fact.at, None, fact.request, fact.host))
        elif isinstance(fact, Redeemed):
            self._keep(fact.code, Kept(fact.at, fact.receipt))
        elif isinstance(fact, Cleared):
            self.codes.pop(fact.code, None)
        elif isinstance(fact, Listed):
            self.body = fact.body
        elif isinstance(fact, Began):
            self.label, self.generation, self.ended, self.spent = fact.label, fact.generation, False, ()
            self.lives = max(self.lives, fact.life)
        elif isinstance(fact, Ended):
            self.ended, self.spent = True, fact.spent
        else:
            assert isinstance(fact, Passed)

    def _keep(self, code: bytes, kept: Kept) -> None:
        # taken out and put in again, so that the order stays that of the newest facts
        self.codes.pop(code, None)
        self.codes[code] = kept

    def expire(self, before: int, most: int) -> list[bytes]:
        """Forget up to `most` codes whose newest fact is older than `before`, and say which. Only for a `before` at
        which no office takes them any more: a resend can do no harm then."""
        found: list[bytes] = []
        for code, kept in self.codes.items():
            if len(found) >= most or kept.at >= before:
                break
            found.append(code)
        for code in found:
            del self.codes[code]
        return found

    def facts(self) -> Iterator[Fact]:
        """Facts that make up this state. Codes may come and go between two of them; see above."""
        if self.lives:
            yield Began(0, self.label, self.generation, self.lives)
        if self.body:
            yield Listed(0, self.body)
        for code in list(self.codes):
            kept = self.codes.get(code)
            if kept is None:
                continue
            if kept.receipt is not None:
                yield Redeemed(kept.at, code, kept.receipt)
            else:
                yield Carried(kept.at, code, kept.request, kept.host)
        if self.ended and self.lives:
            yield Ended(self.reached, self.spent)
        yield Passed(self.reached)

    def unclear(self) -> dict[bytes, Kept]:
        """Codes of which nobody here can say whether they were redeemed."""
        return {code: kept for code, kept in self.codes.items() if kept.receipt is None}
