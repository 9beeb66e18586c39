"""A voter's log store in memory, which can have torn, damaged, full or slow writes and outlives its process."""

from __future__ import annotations

import errno
from collections.abc import Sequence

import trio
import xxhash

from ...gateway.disk import LockedError
from ...state.agreement.log_store import DamagedStoreError


class LogDisk:
    """The contents of the disk, which outlive a process.

    `free_bytes` is how many more bytes fit (None: no limit), `pause` how many s each write takes.
    """

    def __init__(self) -> None:
        self.records: list[tuple[bytes, int]] = []
        self.torn: list[bytes] = []
        self.holder = ""
        self.free_bytes: int | None = None
        self.pause = 0.0

    def checksum(self, number: int, body: bytes) -> int:
        """Checksum of a record at its position."""
        return int(xxhash.xxh3_64_intdigest(number.to_bytes(8, "little") + body))


class MemoryLogStore:
    """A log store on a LogDisk."""

    def __init__(self, plate: LogDisk) -> None:
        self.disk = plate
        self._busy = trio.Lock()

    def open(self, owner: str) -> list[bytes]:
        """Takes the lock and returns all records.

        LockedError if another process holds it, Damaged if a checksum is wrong.
        """
        if self.disk.holder:
            raise LockedError(f"held by {self.disk.holder}")
        self.disk.holder = owner
        self.disk.torn.clear()
        for number, (body, check) in enumerate(self.disk.records):
            if self.disk.checksum(number, body) != check:
                raise DamagedStoreError(f"record {number + 1} has a wrong checksum")
        return [body for body, _ in self.disk.records]

    async def append(self, records: Sequence[bytes]) -> None:
        """Appends records. OSError if the disk is full."""
        await self._write(records, self.disk.records)

    async def replace_all(self, records: Sequence[bytes]) -> None:
        """Replaces all records. OSError if the disk is full."""
        await self._write(records, [])

    async def _write(self, records: Sequence[bytes], before: list[tuple[bytes, int]]) -> None:
        async with self._busy:
            with trio.CancelScope(shield=True):
                await trio.sleep(self.disk.pause)
            size = sum(len(one) for one in records)
            if self.disk.free_bytes is not None:
                if size > self.disk.free_bytes:
                    raise OSError(errno.ENOSPC, "no space left")
                self.disk.free_bytes -= size
            rows = list(before)
            rows += [(one, self.disk.checksum(len(before) + n, one)) for n, one in enumerate(records)]
            self.disk.records = rows

    def close(self) -> None:
        """Releases the lock."""
        self.disk.holder = ""
