"""The folder of a gateway's state. Steps of the journal run in threads, so that no session waits for a slow disk."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path
from typing import Protocol

import trio

from ..state.journal_writer import Append, Create, Remove, Rename, Step


class Disk(Protocol):
    """Storage of a gateway's state. All methods may raise OSError."""

    def names(self) -> list[str]:
        """The names of all files."""

    def read(self, name: str) -> bytes:
        """The contents of a file."""

    async def do(self, step: Step) -> None:
        """Carry out a step; it is durable, as far as the step demands it, when this returns."""

    def lock(self, owner: str) -> None:
        """Lock the folder for this process. LockedError if another live process holds it."""

    def close(self) -> None:
        """Release the lock and close all files."""

    def wall(self) -> int:
        """The wall clock in ns."""

    def touched(self) -> int | None:
        """When (wall clock, ns) a file was last modified; None if there is none."""


class LockedError(OSError):
    """Another live process holds the folder."""


class FolderDisk:
    """A real folder.

    The lock is the kernel's (flock): it ends with the process that holds it, however that ends, so a left-over lock
    file locks nothing.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._handles: dict[str, int] = {}
        self._lock_handle: int | None = None
        self._limiter = trio.CapacityLimiter(2)  # one thread per queue of steps

    def lock(self, owner: str) -> None:
        """Create the folder if needed and lock it; the lock file names `owner` and the process."""
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
        self._lock_handle = handle

    def names(self) -> list[str]:
        """The names of all files; empty without a folder."""
        return [entry.name for entry in os.scandir(self.folder) if entry.is_file()] if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        """The contents of a file."""
        return (self.folder / name).read_bytes()

    def wall(self) -> int:
        """The wall clock in ns."""
        return time.time_ns()

    def touched(self) -> int | None:
        """The latest modification time (ns) of the files, except the lock file; None if there are none."""
        times = [(self.folder / name).stat().st_mtime_ns for name in self.names() if name != "lock"]
        return max(times, default=None)

    async def do(self, step: Step) -> None:
        """Carry out a step in a thread."""
        # cancellation does not abandon a step that has begun: two threads must never write the same file
        await trio.to_thread.run_sync(self._do, step, abandon_on_cancel=False, limiter=self._limiter)

    def _do(self, step: Step) -> None:
        if isinstance(step, Create):
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
            handle = os.open(self.folder / step.name, flags, 0o600)
            self._handles[step.name] = handle
            self._write(handle, step.data)
            os.fsync(handle)
            self._sync_folder()
        elif isinstance(step, Append):
            handle = self._handles[step.name]
            self._write(handle, step.data)
            if step.sync:
                os.fdatasync(handle)
        elif isinstance(step, Rename):
            self._close_file(step.name)
            os.rename(self.folder / step.name, self.folder / step.to)
            self._sync_folder()
        else:
            assert isinstance(step, Remove)
            self._close_file(step.name)
            (self.folder / step.name).unlink(missing_ok=True)

    def _write(self, handle: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(handle, rest) :]

    def _close_file(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._handles):
            self._close_file(name)
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None
