"""A voter's records as bytes, and the interface of the log store that holds them.

Every log store must guarantee (tests/contracts checks it):
- What `append` or `replace_all` returned for survives any end of the process or machine.
- `replace_all` replaces all records or none.
- Records come back intact, in order, each once.
- A torn tail, and only that, is dropped silently. Anything else unreadable raises DamagedStoreError;
  the store never returns a shorter history instead.
- A failed write leaves the earlier records in place, and the next write works.
- One process at a time holds a store.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from ...protocol.peers import Codec, FrameError
from .messages import EntryRecord, Promise, Record, Snapshot, VoteFloor
from .replica import PersistentState

CODEC = Codec({1: Promise, 2: EntryRecord, 3: VoteFloor, 4: Snapshot})


class DamagedStoreError(Exception):
    """The log store does not hold what was written to it. The message says where and what was found."""


class LogStore(Protocol):
    """Storage of a voter's records."""

    def open(self, owner: str) -> list[bytes]:
        """Lock the store for this process and return all records.

        Raises OSError (LockedError if another live process holds the store) or DamagedStoreError. After the latter the
        store stays locked, and `replace_all` may start it afresh.
        """

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records; all are durable, in this order, when this returns.

        After OSError none of them counts as written, but a later `open` may return any of them.
        """

    async def replace_all(self, records: Sequence[bytes]) -> None:
        """Replace all records; durable when this returns. After OSError the earlier records are still in place."""

    def close(self) -> None:
        """Unlock the store."""


def to_bytes(records: Iterable[Record]) -> list[bytes]:
    """The encoded records, one element each."""
    return [CODEC.body(one) for one in records]


def from_bytes(bodies: Iterable[bytes]) -> PersistentState:
    """The state that encoded records add up to. DamagedStoreError if one is unknown or leaves a gap."""
    try:
        return PersistentState.read(CODEC.read(body) for body in bodies)
    except (FrameError, ValueError) as error:
        raise DamagedStoreError(str(error)) from None
