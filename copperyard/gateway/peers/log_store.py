"""Log stores for a voter's records: a file, or a SQLite database. state.agreement.log_store says what they promise."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from pathlib import Path

import trio
import xxhash

from ...state import file_format
from ...state.agreement.log_store import DamagedStoreError
from ..disk import FolderDisk

LOG_NAME, NEW_LOG_NAME = "votes.log", "votes.next"


class FileLogStore:
    """Records in one file of a folder. A replacement is written to a second file and renamed, so that after a crash
    either the old or the new content is there.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = FolderDisk(folder)  # lock by the kernel, as for the journal
        self._handle: int | None = None
        self._sequence = 0
        self._size = 0
        self._busy = trio.Lock()

    def open(self, owner: str) -> list[bytes]:
        """Lock the store and return its records. LockedError if another process holds it,
        DamagedStoreError if it is corrupt.
        """
        self._lock.lock(owner)
        (self.folder / NEW_LOG_NAME).unlink(missing_ok=True)
        path = self.folder / LOG_NAME
        data = path.read_bytes() if path.exists() else b""
        if not data:
            return []
        try:
            file_format.read_head(data, file_format.SEGMENT_MAGIC)
        except file_format.FileFormatError as error:
            raise DamagedStoreError(f"{path}: {error}") from None
        found: list[bytes] = []
        size = file_format.HEAD_SIZE
        for one in file_format.records(data):
            if isinstance(one, str):
                if (
                    file_format.find_intact_record(data, size, len(found)) is not None
                    or data[-1:] == file_format.RECORD_END
                ):
                    raise DamagedStoreError(f"{path}: {one}")
                break  # torn tail: the process or machine ended during the write
            if one.sequence != len(found) + 1:
                raise DamagedStoreError(f"{path}: record {len(found) + 1} is numbered {one.sequence}")
            found.append(one.payload)
            size = one.offset + file_format.RECORD_SIZE + len(one.payload)
        self._sequence, self._size = len(found), size
        self._handle = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        return found

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records; they are durable when this returns."""
        async with self._busy:
            if self._handle is None:
                await trio.to_thread.run_sync(self._replace, list(records))
            else:
                await trio.to_thread.run_sync(self._append, list(records))

    async def replace_all(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically; durable when this returns."""
        async with self._busy:
            await trio.to_thread.run_sync(self._replace, list(records))

    def _append(self, records: list[bytes]) -> None:
        assert self._handle is not None
        data = b"".join(file_format.record(self._sequence + 1 + n, one) for n, one in enumerate(records))
        # drop bytes behind the last complete record that a failed write left
        os.ftruncate(self._handle, self._size)
        write_fully(self._handle, self._size, data)
        os.fdatasync(self._handle)
        self._size += len(data)
        self._sequence += len(records)

    def _replace(self, records: list[bytes]) -> None:
        data = file_format.segment_head(1, 1) + b"".join(
            file_format.record(1 + n, one) for n, one in enumerate(records)
        )
        path = self.folder / NEW_LOG_NAME
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_fully(handle, 0, data)
            os.fsync(handle)
            os.rename(path, self.folder / LOG_NAME)
        except BaseException:
            os.close(handle)
            raise
        if self._handle is not None:
            os.close(self._handle)
        self._handle, self._size, self._sequence = handle, len(data), len(records)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Close the file and release the lock."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None
        self._lock.close()


def write_fully(handle: int, offset: int, data: bytes) -> None:
    """Write all bytes at the offset."""
    rest = memoryview(data)
    while rest:
        done = os.pwrite(handle, rest, offset)
        rest, offset = rest[done:], offset + done


class SqliteLogStore:
    """Records in a SQLite database; each call is one synced transaction.

    Each record has a checksum, and the number of records is stored beside them: SQLite detects a torn page of its
    journal, but neither a flipped bit in the bytes of a row nor one in the row count of a page, which shortened a
    history in the test.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = FolderDisk(folder)
        self._database: sqlite3.Connection | None = None
        self._busy = trio.Lock()

    def open(self, owner: str) -> list[bytes]:
        """Lock the store and return its records. LockedError if another process holds it,
        DamagedStoreError if it is corrupt.
        """
        self._lock.lock(owner)
        path = self.folder / "votes.db"
        found: list[bytes] = []
        try:
            self._database = self._connect(path)
            rows = self._database.execute("SELECT number, body, sum FROM records ORDER BY number").fetchall()
            if self._database.execute("PRAGMA integrity_check(1)").fetchone()[0] != "ok":
                raise DamagedStoreError(f"{path}: its pages do not fit together")
        except sqlite3.DatabaseError as error:
            if self._database is not None:
                self._database.close()
            path.rename(self.folder / "votes.damaged")
            self._database = self._connect(path)
            raise DamagedStoreError(f"{path}: {error}") from None
        for number, body, check in rows:
            if number != len(found) + 1 or check != self._checksum(number, body):
                raise DamagedStoreError(f"{path}: record {len(found) + 1} does not hold its check")
            found.append(body)
        count = self._database.execute("SELECT count FROM head WHERE one = 1").fetchone()
        if (count[0] if count is not None else 0) != len(found):
            raise DamagedStoreError(f"{path}: {len(found)} records of {count[0] if count is not None else 0}")
        return found

    def _connect(self, path: Path) -> sqlite3.Connection:
        # tables are created only in a new file: in one that lost their names they would be created empty
        new = not path.exists() or path.stat().st_size == 0
        base = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        base.execute("PRAGMA journal_mode=WAL")
        base.execute("PRAGMA synchronous=FULL")
        if new:
            base.executescript(
                "BEGIN; CREATE TABLE records (number INTEGER PRIMARY KEY, body BLOB, sum BLOB);"
                "CREATE TABLE head (one INTEGER PRIMARY KEY, count INTEGER); COMMIT"
            )
        return base

    def _checksum(self, number: int, body: bytes) -> bytes:
        return bytes(xxhash.xxh3_64_digest(number.to_bytes(8, "little") + body))

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records; they are durable when this returns."""
        async with self._busy:
            await trio.to_thread.run_sync(self._write, list(records), False)

    async def replace_all(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically; durable when this returns."""
        async with self._busy:
            await trio.to_thread.run_sync(self._write, list(records), True)

    def _write(self, records: list[bytes], replace_all: bool) -> None:
        base = self._database
        assert base is not None
        try:
            base.execute("BEGIN IMMEDIATE")
            try:
                if replace_all:
                    base.execute("DELETE FROM records")
                last = base.execute("SELECT coalesce(max(number), 0) FROM records").fetchone()[0]
                base.executemany(
                    "INSERT INTO records VALUES (?, ?, ?)",
                    [(last + n, one, self._checksum(last + n, one)) for n, one in enumerate(records, 1)],
                )
                base.execute("INSERT OR REPLACE INTO head VALUES (1, ?)", (last + len(records),))
                base.execute("COMMIT")
            except BaseException:
                base.execute("ROLLBACK")
                raise
        except sqlite3.Error as error:
            raise OSError(f"{type(error).__name__}: {error}") from None

    def close(self) -> None:
        """Close the database and release the lock."""
        if self._database is not None:
            self._database.close()
            self._database = None
        self._lock.close()
