"""The state that all facts up to now add up to.

Each fact about a code replaces everything known of that code. So facts may be applied to a state that contains some of
them already, with the same result. This allows a snapshot to be written while further facts come, as long as all facts
since its begin are replayed over it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .facts import (
    CodeCleared,
    CodeRedeemed,
    CodeSent,
    Fact,
    HostListStored,
    ProcessStarted,
    ProcessStopped,
    TimeAdvanced,
)


@dataclass(frozen=True, slots=True)
class CodeRecord:
    """What is stored of one code.

    With a receipt the code is redeemed. Without one, `request` was sent with it to `host`, with unknown outcome.
    """

    at: int
    receipt: str | None
    request: str = ""
    host: str = ""


@dataclass(slots=True)
class DurableState:
    """Everything that a gateway must remember.

    `codes` are in the order of their newest fact, oldest first; `service_time` is that of the newest fact. `body` is
    the list of hosts as the list service encodes it, `lives` the number of process starts. `ended`: the last process
    stopped as planned; `spent` are then the ages (ns) of its last retries.
    """

    codes: dict[bytes, CodeRecord] = field(default_factory=dict)
    service_time: int = 0
    label: str = ""
    generation: str = ""
    lives: int = 0
    body: bytes = b""
    ended: bool = True
    spent: tuple[int, ...] = ()

    def apply(self, fact: Fact) -> None:
        """Update the state by a fact."""
        self.service_time = max(self.service_time, fact.at)
        if isinstance(fact, CodeSent):
            self._store(fact.code, CodeRecord(fact.at, None, fact.request, fact.host))
        elif isinstance(fact, CodeRedeemed):
            self._store(fact.code, CodeRecord(fact.at, fact.receipt))
        elif isinstance(fact, CodeCleared):
            self.codes.pop(fact.code, None)
        elif isinstance(fact, HostListStored):
            self.body = fact.body
        elif isinstance(fact, ProcessStarted):
            self.label, self.generation, self.ended, self.spent = fact.label, fact.generation, False, ()
            self.lives = max(self.lives, fact.life)
        elif isinstance(fact, ProcessStopped):
            self.ended, self.spent = True, fact.spent
        else:
            assert isinstance(fact, TimeAdvanced)

    def _store(self, code: bytes, record: CodeRecord) -> None:
        # removed first, so that the dict stays ordered by newest fact
        self.codes.pop(code, None)
        self.codes[code] = record

    def expire(self, before: int, limit: int) -> list[bytes]:
        """Remove and return up to `limit` codes whose newest fact is older than `before`.

        `before` must be early enough that these codes are no longer accepted anywhere, so a resend does no harm.
        """
        expired: list[bytes] = []
        for code, record in self.codes.items():
            if len(expired) >= limit or record.at >= before:
                break
            expired.append(code)
        for code in expired:
            del self.codes[code]
        return expired

    def facts(self) -> Iterator[Fact]:
        """Facts that add up to this state. Codes may be added and removed while it is iterated; see the module."""
        if self.lives:
            yield ProcessStarted(0, self.label, self.generation, self.lives)
        if self.body:
            yield HostListStored(0, self.body)
        for code in list(self.codes):
            record = self.codes.get(code)
            if record is None:
                continue
            if record.receipt is not None:
                yield CodeRedeemed(record.at, code, record.receipt)
            else:
                yield CodeSent(record.at, code, record.request, record.host)
        if self.ended and self.lives:
            yield ProcessStopped(self.service_time, self.spent)
        yield TimeAdvanced(self.service_time)

    def unclear(self) -> dict[bytes, CodeRecord]:
        """The codes that may or may not have been redeemed."""
        return {code: kept for code, kept in self.codes.items() if kept.receipt is None}
