"""Paid codes: what became of each, and what a request that brings one may do.

A code is redeemed by the first set-up that carries it to a host. From then on it must never be carried as a
fresh one again; a session that paid may come back with the receipt that the host gave.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Fate(Enum):
    """What is known of a code. UNCLEAR: a set-up may have run and no host said so."""

    OUT = "out"
    REDEEMED = "redeemed"
    UNCLEAR = "unclear"


class Verdict(Enum):
    """What a request with a code may do."""

    REDEEM = "redeem"
    RESUME = "resume"
    BUSY = "busy"
    UNCLEAR = "unclear"
    CROWDED = "crowded"


@dataclass(slots=True)
class _Code:
    fate: Fate
    ref: int | None
    receipt: str = ""
    carried: bool = False


class Redemptions:
    """The ledger of codes of one front, `most` at a time. None is ever forgotten to make room, the redeemed ones
    neither: seeds 1145 and 1454 of the drawn worlds sent such a code out as a fresh one, and only the office stood
    between a family and a second payment. A full ledger takes no new codes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._codes: dict[str, _Code] = {}

    def __len__(self) -> int:
        return len(self._codes)

    def claim(self, code: str, ref: int) -> Verdict:
        """A request `ref` brings a code. REDEEM and RESUME bind the code to it until `settle`."""
        known = self._codes.get(code)
        if known is None:
            if len(self._codes) >= self.most:
                return Verdict.CROWDED
            self._codes[code] = _Code(Fate.OUT, ref)
            return Verdict.REDEEM
        if known.ref is not None:
            return Verdict.BUSY
        if known.fate is Fate.UNCLEAR:
            return Verdict.UNCLEAR
        known.ref = ref
        return Verdict.RESUME

    def receipt(self, code: str) -> str:
        """The receipt that a resumed set-up shows; empty where the code is not redeemed yet."""
        known = self._codes.get(code)
        return known.receipt if known is not None else ""

    def carried(self, code: str) -> None:
        """A set-up's bytes with the code leave for a host: from here on it may have been redeemed."""
        known = self._codes.get(code)
        if known is not None and known.fate is Fate.OUT:
            known.carried = True

    def never_ran(self, code: str) -> None:
        """The host proved that the set-up did not run: the code is as it was before it left."""
        known = self._codes.get(code)
        if known is not None and known.fate is Fate.OUT:
            known.carried = False

    def redeemed(self, code: str, receipt: str) -> None:
        """A host says that it redeemed the code."""
        known = self._codes.get(code)
        if known is not None:
            known.fate, known.receipt = Fate.REDEEMED, receipt or known.receipt

    def settle(self, code: str, ref: int) -> Fate | None:
        """The request `ref` and all its attempts are over. What is left of the code: None, where it is as good
        as new."""
        known = self._codes.get(code)
        if known is None or known.ref != ref:
            return None
        known.ref = None
        if known.fate is Fate.OUT and not known.carried:
            del self._codes[code]
            return None
        if known.fate is Fate.OUT:
            known.fate = Fate.UNCLEAR
        return known.fate
