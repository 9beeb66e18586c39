"""Paid codes: what became of each, and what a request that brings one may do.

A code is redeemed by the first set-up that carries it to a host. From then on it must never be carried as a
fresh one again; a session that paid may come back with the receipt that the host gave.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ..state.facts import digest
from ..state.ledger import Kept


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
    between a family and a second payment. A full ledger takes no new codes. Codes are kept by their digests, as on
    disk."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._codes: dict[bytes, _Code] = {}

    def __len__(self) -> int:
        return len(self._codes)

    def restore(self, codes: Mapping[bytes, Kept]) -> None:
        """Take over what an earlier life knew: those without a receipt are unclear."""
        for code, kept in codes.items():
            fate = Fate.UNCLEAR if kept.receipt is None else Fate.REDEEMED
            self._codes[code] = _Code(fate, None, kept.receipt or "", True)

    def claim(self, code: str, ref: int) -> Verdict:
        """A request `ref` brings a code. REDEEM and RESUME bind the code to it until `settle`."""
        key = digest(code)
        known = self._codes.get(key)
        if known is None:
            if len(self._codes) >= self.most:
                return Verdict.CROWDED
            self._codes[key] = _Code(Fate.OUT, ref)
            return Verdict.REDEEM
        if known.ref is not None:
            return Verdict.BUSY
        if known.fate is Fate.UNCLEAR:
            return Verdict.UNCLEAR
        known.ref = ref
        return Verdict.RESUME

    def receipt(self, code: str) -> str:
        """The receipt that a resumed set-up shows; empty where the code is not redeemed yet."""
        known = self._codes.get(digest(code))
        return known.receipt if known is not None else ""

    def carried(self, code: str) -> None:
        """A set-up's bytes with the code leave for a host: from here on it may have been redeemed."""
        known = self._codes.get(digest(code))
        if known is not None and known.fate is Fate.OUT:
            known.carried = True

    def never_ran(self, code: str) -> bool:
        """It is proven that the set-up did not run: the code is as it was before it left. Whether that is news: a code
        that is redeemed stays so."""
        known = self._codes.get(digest(code))
        if known is None or known.fate is not Fate.OUT:
            return False
        known.carried = False
        return True

    def redeemed(self, code: str, receipt: str) -> None:
        """A host says that it redeemed the code."""
        known = self._codes.get(digest(code))
        if known is not None:
            known.fate, known.receipt = Fate.REDEEMED, receipt or known.receipt

    def settle(self, code: str, ref: int) -> Fate | None:
        """The request `ref` and all its attempts are over. What is left of the code: None, where it is as good
        as new."""
        key = digest(code)
        known = self._codes.get(key)
        if known is None or known.ref != ref:
            return None
        known.ref = None
        if known.fate is Fate.OUT and not known.carried:
            del self._codes[key]
            return None
        if known.fate is Fate.OUT:
            known.fate = Fate.UNCLEAR
        return known.fate

    def cleared_up(self, key: bytes, receipt: str | None) -> bool:
        """A host was asked about an unclear code, by its digest: it was redeemed with this receipt, or (None) never
        ran. Whether it still was unclear."""
        known = self._codes.get(key)
        if known is None or known.fate is not Fate.UNCLEAR or known.ref is not None:
            return False
        if receipt is None:
            del self._codes[key]
        else:
            known.fate, known.receipt = Fate.REDEEMED, receipt
        return True

    def forget(self, keys: Iterable[bytes]) -> None:
        """Codes that no office takes any more; those of an open request stay."""
        for key in keys:
            known = self._codes.get(key)
            if known is not None and known.ref is None:
                del self._codes[key]
