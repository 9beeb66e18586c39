"""A folder on a disk: the steps of the journal carried out in threads, so that no session waits for a slow one."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path
from typing import Protocol

import trio

from ..state.book import Append, Create, Remove, Rename, Step


class Disk(Protocol):
    """Where a gateway keeps its state. All raise OSError."""

    def names(self) -> list[str]:
        """The names of all files."""

    def read(self, name: str) -> bytes:
        """A file's bytes."""

    async def do(self, step: Step) -> None:
        """Carry a step out; it is on disk, as the step says, when this returns."""

    def lock(self, owner: str) -> None:
        """Take the folder for this process. LockedError where a living one has it."""

    def close(self) -> None:
        """Let go of the lock and of open files."""

    def wall(self) -> int:
        """The machine's date in ns."""

    def touched(self) -> int | None:
        """When (that date) something was last written here, None where nothing was."""


class LockedError(OSError):
    """Another living process holds the folder."""


class FolderDisk:
    """A real folder. The lock is the kernel's (flock): it goes with the process that holds it, however that ends, so a
    lock file that is left behind is no lock."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._files: dict[str, int] = {}
        self._lock: int | None = None
        self._limiter = trio.CapacityLimiter(2)  # a thread for each lane of steps

    def lock(self, owner: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(handle, 200).decode("utf-8", "replace").strip()
            os.close(handle)
            raise LockedError(f"{self.folder} is held by {holder or 'another process'}") from None
        os.ftruncate(handle, 0)
        os.write(handle, f"{owner}, process {os.getpid()}".encode())
        self._lock = handle

    def names(self) -> list[str]:
        return [entry.name for entry in os.scandir(self.folder) if entry.is_file()] if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def wall(self) -> int:
        return time.time_ns()

    def touched(self) -> int | None:
        times = [(self.folder / name).stat().st_mtime_ns for name in self.names() if name != "lock"]
        return max(times, default=None)

    async def do(self, step: Step) -> None:
        # a step that was begun is waited for also where the gateway is cancelled: its file must not be written by two
        await trio.to_thread.run_sync(self._do, step, abandon_on_cancel=False, limiter=self._limiter)

    def _do(self, step: Step) -> None:
        if isinstance(step, Create):
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
            handle = os.open(self.folder / step.name, flags, 0o600)
            self._files[step.name] = handle
            self._write(handle, step.data)
            os.fsync(handle)
            self._sync_folder()
        elif isinstance(step, Append):
            handle = self._files[step.name]
            self._write(handle, step.data)
            if step.sync:
                os.fdatasync(handle)
        elif isinstance(step, Rename):
            self._drop(step.name)
            os.rename(self.folder / step.name, self.folder / step.to)
            self._sync_folder()
        else:
            assert isinstance(step, Remove)
            self._drop(step.name)
            (self.folder / step.name).unlink(missing_ok=True)

    def _write(self, handle: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(handle, rest) :]

    def _drop(self, name: str) -> None:
        handle = self._files.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        for name in list(self._files):
            self._drop(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
