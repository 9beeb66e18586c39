"""Paid codes: what is known of each, and what a request with a code may do.

A code is redeemed by the first set-up that carries it to a host. After that it must never be sent as a fresh code
again; the viewer may return with the receipt that the host gave.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ..state.durable_state import CodeRecord
from ..state.facts import digest


class CodeState(Enum):
    """What is known of a code. UNCLEAR: a set-up may have run and no host confirmed it."""

    PENDING = "out"
    REDEEMED = "redeemed"
    UNCLEAR = "unclear"


class ClaimResult(Enum):
    """What a request with a code may do."""

    REDEEM = "redeem"
    RESUME = "resume"
    BUSY = "busy"
    UNCLEAR = "unclear"
    TABLE_FULL = "crowded"


@dataclass(slots=True)
class _CodeRecord:
    state: CodeState
    ref: int | None
    receipt: str = ""
    sent: bool = False


class Redemptions:
    """The codes of one front, at most `max_codes`, by their digests as in the journal.

    No code is dropped to make room, not even a redeemed one: in the simulated seeds 1145 and 1454 a dropped code was
    sent out as a fresh one, and only the redemption service prevented a second payment. When the table is full, new
    codes are rejected.
    """

    def __init__(self, max_codes: int) -> None:
        self.max_codes = max_codes
        self._codes: dict[bytes, _CodeRecord] = {}

    def __len__(self) -> int:
        return len(self._codes)

    def restore(self, codes: Mapping[bytes, CodeRecord]) -> None:
        """Take over the codes of an earlier run; those without a receipt are unclear."""
        for code, kept in codes.items():
            state = CodeState.UNCLEAR if kept.receipt is None else CodeState.REDEEMED
            self._codes[code] = _CodeRecord(state, None, kept.receipt or "", True)

    def claim(self, code: str, ref: int) -> ClaimResult:
        """Claim a code for the request `ref`. REDEEM and RESUME bind the code to the request until `release`."""
        key = digest(code)
        record = self._codes.get(key)
        if record is None:
            if len(self._codes) >= self.max_codes:
                return ClaimResult.TABLE_FULL
            self._codes[key] = _CodeRecord(CodeState.PENDING, ref)
            return ClaimResult.REDEEM
        if record.ref is not None:
            return ClaimResult.BUSY
        if record.state is CodeState.UNCLEAR:
            return ClaimResult.UNCLEAR
        record.ref = ref
        return ClaimResult.RESUME

    def receipt(self, code: str) -> str:
        """Return the receipt for a resumed set-up, empty if the code is not redeemed yet."""
        record = self._codes.get(digest(code))
        return record.receipt if record is not None else ""

    def mark_sent(self, code: str) -> None:
        """Note that a set-up with the code is being sent: from here on it may be redeemed."""
        record = self._codes.get(digest(code))
        if record is not None and record.state is CodeState.PENDING:
            record.sent = True

    def mark_never_ran(self, code: str) -> bool:
        """Note proof that the set-up did not run, which restores the code. Returns False if nothing changes; a
        redeemed code stays redeemed.
        """
        record = self._codes.get(digest(code))
        if record is None or record.state is not CodeState.PENDING:
            return False
        record.sent = False
        return True

    def mark_redeemed(self, code: str, receipt: str) -> None:
        """Note that a host redeemed the code."""
        record = self._codes.get(digest(code))
        if record is not None:
            record.state, record.receipt = CodeState.REDEEMED, receipt or record.receipt

    def release(self, code: str, ref: int) -> CodeState | None:
        """End the claim of request `ref`, whose attempts are all over. Returns the state of the code, None if it is
        unused.
        """
        key = digest(code)
        record = self._codes.get(key)
        if record is None or record.ref != ref:
            return None
        record.ref = None
        if record.state is CodeState.PENDING and not record.sent:
            del self._codes[key]
            return None
        if record.state is CodeState.PENDING:
            record.state = CodeState.UNCLEAR
        return record.state

    def resolve(self, key: bytes, receipt: str | None) -> bool:
        """Settle an unclear code, given by its digest, by a host's answer: redeemed with `receipt`, or never run if
        it is None. Returns whether the code was still unclear.
        """
        record = self._codes.get(key)
        if record is None or record.state is not CodeState.UNCLEAR or record.ref is not None:
            return False
        if receipt is None:
            del self._codes[key]
        else:
            record.state, record.receipt = CodeState.REDEEMED, receipt
        return True

    def forget(self, keys: Iterable[bytes]) -> None:
        """Drop expired codes, except those of open requests."""
        for key in keys:
            record = self._codes.get(key)
            if record is not None and record.ref is None:
                del self._codes[key]
