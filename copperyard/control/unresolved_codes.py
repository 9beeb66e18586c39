"""Unclear codes: a set-up with the code was sent and its outcome is not known. The host is queried.

A host answers for the Request-Id of a set-up (docs/host-protocol.md): redeemed, with the receipt; never, after which
it will not run that request any more; or still running. Until a host has answered, the code is neither sent again nor
refused. This module decides which host to query and when; the I/O sends the queries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SETTLE_HEADER, SETTLED_HEADER = "Settle", "Settled"
FIRST_RETRY_WAIT_NS, MAX_RETRY_WAIT_NS = 250 * MS, 60_000 * MS  # waits between queries for one code, doubling
MIN_QUERY_INTERVAL_NS = 100 * MS  # a viewer that returns with the code triggers a query, but not more often than this
MAX_QUERIES = 4  # queries out at a time: a front that restarts with thousands of unclear codes must not flood the hosts
MAX_SETTLED_CHARS = 512


class SetupFate(Enum):
    """What a host says became of a set-up; NONE if it gave no valid answer."""

    REDEEMED = "redeemed"
    NEVER = "never"
    RUNNING = "running"
    NONE = "none"


@dataclass(slots=True)
class UnclearCode:
    """One unclear code, by its digest. `request` is the Request-Id of its set-up; times are loop times in ns."""

    code: bytes
    request: str
    host: str
    next_query_at: int
    retry_wait: int = FIRST_RETRY_WAIT_NS
    last_query_at: int | None = None
    querying: bool = False


def parse_settled(text: str | None) -> tuple[SetupFate, str]:
    """Parse a host's answer and the receipt with it. Returns NONE for an invalid one."""
    if text is None or len(text) > MAX_SETTLED_CHARS:
        return SetupFate.NONE, ""
    word, _, rest = text.partition(";")
    answer = next((a for a in SetupFate if a.value == word.strip()), SetupFate.NONE)
    receipt = rest.strip().removeprefix("receipt=") if rest.strip().startswith("receipt=") else ""
    if answer is SetupFate.REDEEMED and not receipt:
        return SetupFate.NONE, ""  # without the receipt the viewer could not resume the paid session
    return answer, receipt


class UnresolvedCodes:
    """All unclear codes of a front."""

    def __init__(self) -> None:
        self._codes: dict[bytes, UnclearCode] = {}
        self._queries_out = 0

    def __len__(self) -> int:
        return len(self._codes)

    def __iter__(self) -> Iterator[UnclearCode]:
        return iter(self._codes.values())

    def add(self, now: int, code: bytes, request: str, host: str) -> None:
        """Add a code that has become unclear or was found so in the journal."""
        if code not in self._codes:
            self._codes[code] = UnclearCode(code, request, host, now)

    def drop(self, code: bytes) -> None:
        """Remove a code that need not be settled any more."""
        unclear = self._codes.pop(code, None)
        if unclear is not None and unclear.querying:
            self._queries_out -= 1

    def query_soon(self, now: int, code: bytes) -> None:
        """Query soon, because a viewer returned with the code, unless it was queried just before."""
        unclear = self._codes.get(code)
        if unclear is not None and not unclear.querying:
            unclear.next_query_at = min(
                unclear.next_query_at,
                max(now, unclear.last_query_at + MIN_QUERY_INTERVAL_NS if unclear.last_query_at is not None else now),
            )

    def start_due_queries(self, now: int, is_listed: Callable[[str], bool]) -> list[UnclearCode]:
        """Return the codes to query now, longest due first, and mark them as queried. A host that is not listed is
        retried later.
        """
        ready = sorted(
            (c for c in self._codes.values() if not c.querying and c.next_query_at <= now),
            key=lambda c: c.next_query_at,
        )
        found: list[UnclearCode] = []
        for unclear in ready:
            if self._queries_out >= MAX_QUERIES:
                break
            unclear.last_query_at = now
            if not is_listed(unclear.host):
                self._schedule_retry(now, unclear)
                continue
            unclear.querying = True
            self._queries_out += 1
            found.append(unclear)
        return found

    def record_answer(self, now: int, code: bytes, answer: SetupFate) -> bool:
        """Take a host's answer. Returns whether it settles the code; otherwise the query is repeated later."""
        unclear = self._codes.get(code)
        if unclear is None:
            return False
        if unclear.querying:
            unclear.querying = False
            self._queries_out -= 1
        if answer in (SetupFate.REDEEMED, SetupFate.NEVER):
            del self._codes[code]
            return True
        self._schedule_retry(now, unclear)
        return False

    def _schedule_retry(self, now: int, unclear: UnclearCode) -> None:
        unclear.next_query_at = now + unclear.retry_wait
        unclear.retry_wait = min(MAX_RETRY_WAIT_NS, 2 * unclear.retry_wait)

    def next_due(self) -> int | None:
        """Return the time of the next query, None if nothing is due or the maximum number of queries is out."""
        if self._queries_out >= MAX_QUERIES:
            return None
        return min((c.next_query_at for c in self._codes.values() if not c.querying), default=None)
