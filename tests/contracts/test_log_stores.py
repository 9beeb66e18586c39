"""Contract of the log stores of a voter: a file, a SQLite database, memory. For each guarantee a broken implementation
shows that its test can fail."""

import errno
import os
import shutil

import pytest
import trio
import trio.testing

from copperyard.gateway.disk import LockedError
from copperyard.gateway.peers import log_store as module
from copperyard.gateway.peers.log_store import FileLogStore, SqliteLogStore
from copperyard.lab.sites.memory_log_store import LogDisk, MemoryLogStore
from copperyard.state.agreement.log_store import DamagedStoreError


class OfFolder:
    """A log store in a file, and faults of its disk."""

    def __init__(self, folder, make=FileLogStore):
        self.folder, self.make = folder, make
        self.monkeys = pytest.MonkeyPatch()

    def store(self):
        return self.make(self.folder)

    def file(self):
        return self.folder / "votes.log"

    def fill_disk(self, after):
        """The disk accepts `after` more bytes."""
        left, real = [after], os.pwrite

        def write(handle, data, at):
            if left[0] <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            done = real(handle, data[: left[0]], at)
            left[0] -= done
            return done

        self.monkeys.setattr(os, "pwrite", write)

    def free_disk(self):
        self.monkeys.undo()

    def died(self, store):
        """The process is killed; leaves a torn tail if the store can have one."""
        store.close()
        with open(self.file(), "ab") as out:
            out.write(b"\x07\x00\x00\x00torn")

    def flips(self):
        return range(0, self.file().stat().st_size)

    def flip(self, at):
        self.saved = self.file().read_bytes()
        data = bytearray(self.saved)
        data[at] ^= 0x10
        self.file().write_bytes(data)

    def mend(self):
        for name in ("votes.db-wal", "votes.db-shm", "votes.damaged"):
            (self.folder / name).unlink(missing_ok=True)
        self.file().write_bytes(self.saved)


class OfSqlite(OfFolder):
    def __init__(self, folder, make=SqliteLogStore):
        super().__init__(folder, make)

    def file(self):
        return self.folder / "votes.db"

    def fill_disk(self, after):
        self.pages = max(1, after // 4096)
        real = module.SqliteLogStore._connect

        def connect(store, path):
            base = real(store, path)
            base.execute(f"PRAGMA max_page_count={self.pages}")
            return base

        self.monkeys.setattr(module.SqliteLogStore, "_connect", connect)

    def died(self, store):
        store.close()
        wal = self.folder / "votes.db-wal"
        wal.write_bytes(b"\x37\x7f\x06\x82torn" * 5)

    def flips(self):
        return range(0, self.file().stat().st_size, 37)


class OfMemory:
    def __init__(self, folder, make=MemoryLogStore):
        self.plate, self.make = LogDisk(), make

    def store(self):
        return self.make(self.plate)

    def fill_disk(self, after):
        self.plate.free_bytes = after

    def free_disk(self):
        self.plate.free_bytes = None

    def died(self, store):
        store.close()
        self.plate.torn.append(b"torn")

    def flips(self):
        return range(len(self.plate.records))

    def flip(self, at):
        self.saved = list(self.plate.records)
        body, check = self.plate.records[at]
        self.plate.records[at] = (bytes([body[0] ^ 16]) + body[1:], check)

    def mend(self):
        self.plate.records = self.saved


def read(kind):
    store = kind.store()
    try:
        return store.open("reader")
    finally:
        store.close()


async def kept(kind):
    """Appended records are there, complete, in order, once; also after a replacement and further records."""
    store = kind.store()
    assert store.open("a") == []
    await store.append([b"one", b"two"])
    await store.append([b"three" * 100])
    store.close()
    assert read(kind) == [b"one", b"two", b"three" * 100]
    store = kind.store()
    store.open("a")
    await store.append([b"four"])
    await store.replace_all([b"new", b""])
    await store.append([b"five"])
    store.close()
    assert read(kind) == [b"new", b"", b"five"]


async def torn(kind):
    """A torn write leaves the earlier records, and the next write works."""
    store = kind.store()
    store.open("a")
    await store.append([b"one", b"two"])
    kind.died(store)
    store = kind.store()
    assert store.open("a") == [b"one", b"two"]
    await store.append([b"three"])
    store.close()
    assert read(kind) == [b"one", b"two", b"three"]


async def full(kind):
    """A full disk gives OSError, loses nothing, and writes work again once there is room."""
    store = kind.store()
    store.open("a")
    await store.append([b"one"])
    store.close()
    kind.fill_disk(9000)
    store = kind.store()
    store.open("a")
    with pytest.raises(OSError):
        await store.append([b"x" * 30_000] * 3)
    with pytest.raises(OSError):
        await store.replace_all([b"y" * 100_000])
    kind.free_disk()
    store.close()
    found = read(kind)
    assert found == [b"one"] or found[1:] == [b"x" * 30_000] * (len(found) - 1)
    store = kind.store()
    before = store.open("a")
    await store.append([b"two"])
    store.close()
    assert read(kind) == [*before, b"two"] and before[0] == b"one"


async def full_and_on(kind):
    """The same log store goes on after a write that failed half-way."""
    store = kind.store()
    store.open("a")
    await store.append([b"one"])
    kind.fill_disk(20)
    with pytest.raises(OSError):
        await store.append([b"x" * 300])
    kind.free_disk()
    await store.append([b"two"])
    store.close()
    assert read(kind) in ([b"one", b"two"], [b"one", b"x" * 300, b"two"])


async def flipped(kind):
    """A flipped bit is detected or without effect; it never gives a different or shorter history."""
    store = kind.store()
    store.open("a")
    rows = [bytes([65 + n]) * 40 for n in range(6)]
    await store.append(rows)
    store.close()
    damaged = 0
    for at in kind.flips():
        kind.flip(at)
        one = kind.store()
        try:
            assert one.open("a") == rows, f"bit {at}"
        except DamagedStoreError:
            damaged += 1
        finally:
            one.close()
        kind.mend()
    assert damaged > 0


async def held(kind):
    """One process at a time; the lock ends with its holder."""
    store, other = kind.store(), kind.store()
    store.open("first")
    with pytest.raises(LockedError, match="first"):
        other.open("second")
    await store.append([b"one"])
    store.close()
    other.open("second")
    other.close()
    assert read(kind) == [b"one"]


async def cancelled(kind):
    """A cancelled write is complete or absent, and the log store goes on."""
    store = kind.store()
    store.open("a")
    if isinstance(kind, OfMemory):
        kind.plate.pause = 0.01
    for n in range(10):
        with trio.move_on_after(0.0002 * n):
            await store.append([b"%d" % n, b"%d" % n])
    await store.append([b"end"])
    store.close()
    found = read(kind)
    assert found[-1] == b"end" and found[:-1:2] == found[1:-1:2]


KINDS = [OfFolder, OfSqlite, OfMemory]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("promise", [kept, torn, full, flipped, held, cancelled])
def test_a_promise_is_kept(promise, kind, tmp_path):
    trio.run(promise, kind(tmp_path))


@pytest.mark.parametrize("kind", [OfFolder, OfMemory])
def test_a_log_store_goes_on_after_a_write_that_failed_half_way(kind, tmp_path):
    trio.run(full_and_on, kind(tmp_path))


def test_a_replacement_that_was_not_renamed_is_ignored(tmp_path):
    async def main():
        kind = OfFolder(tmp_path)
        store = kind.store()
        store.open("a")
        await store.append([b"one"])
        store.close()
        shutil.copy(tmp_path / "votes.log", tmp_path / "votes.next")
        assert read(kind) == [b"one"] and not (tmp_path / "votes.next").exists()

    trio.run(main)


class Unlocked(MemoryLogStore):
    def open(self, owner):
        self.disk.holder = ""
        return super().open(owner)


class Unchecked(MemoryLogStore):
    def open(self, owner):
        self.disk.records = [(body, self.disk.checksum(n, body)) for n, (body, _) in enumerate(self.disk.records)]
        return super().open(owner)


class Loses(MemoryLogStore):
    """A defect: records reach the disk only with the next write."""

    async def append(self, records):
        waiting, self.waiting = getattr(self, "waiting", []), list(records)
        await super().append(waiting)


class Half(MemoryLogStore):
    """A defect: records are written one by one, and a cancelled write stays incomplete."""

    async def append(self, records):
        for one in records:
            await super().append([one])
            await trio.lowlevel.checkpoint()


class Garbage(FileLogStore):
    """A defect: bytes of a failed write are not removed."""

    def _append(self, records):
        self._size = os.fstat(self._handle).st_size
        super()._append(records)


class Silent(MemoryLogStore):
    """A defect: a full disk is not reported."""

    async def _write(self, records, before):
        try:
            await super()._write(records, before)
        except OSError:
            pass


class Takes(MemoryLogStore):
    """A defect: a torn tail counts as records."""

    def open(self, owner):
        torn = list(self.disk.torn)
        return super().open(owner) + torn


@pytest.mark.parametrize(
    ("broken", "kind", "promise"),
    [
        (Unlocked, OfMemory, held),
        (Unchecked, OfMemory, flipped),
        (Loses, OfMemory, kept),
        (Half, OfMemory, cancelled),
        (Garbage, OfFolder, full_and_on),
        (Silent, OfMemory, full),
        (Takes, OfMemory, torn),
    ],
)
def test_a_broken_one_is_found(broken, kind, promise, tmp_path):
    with pytest.raises((AssertionError, DamagedStoreError, pytest.fail.Exception)):
        trio.run(promise, kind(tmp_path, broken))
