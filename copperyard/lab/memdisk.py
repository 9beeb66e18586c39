"""An in-memory disk with scripted faults; a power cut loses data that was not synced."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

import trio

from ..gateway.disk import LockedError
from ..gateway.net import now
from ..state.journal_writer import Append, Create, Remove, Rename, Step


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


class CrashedError(Exception):
    """The scripted crash point is reached: the simulated process dies here."""


class MemoryDisk:
    """Files in their current state, and in the state that a power cut leaves.

    Each step consists of operations (write, fsync, fsync of the folder, rename, remove). `operations` counts them.
    Before operation number `crash_at` the process dies: `crashed` is set. `pause` delays each operation by so many s;
    `error` (an errno) makes each one fail, or only those of steps of type `error_on`.
    """

    def __init__(self, rng: random.Random, pause: float = 0.0) -> None:
        self.rng, self.pause = rng, pause
        self.error: int | None = None
        self.error_on: type[Step] | None = None
        self.operations = 0
        self.crash_at: int | None = None
        self.crashed = trio.Event()
        self._files: dict[str, _File] = {}
        self._durable_files: dict[str, _File] = {}  # by the names in the folder that are synced
        self._lock_owner = ""
        self._written_at: int | None = None

    def lock(self, owner: str) -> None:
        """Lock the folder. Raise LockedError if it is locked."""
        if self._lock_owner:
            raise LockedError(f"held by {self._lock_owner}")
        self._lock_owner = owner

    def close(self) -> None:
        """Release the lock."""
        self._lock_owner = ""

    def wall(self) -> int:
        """Return the time, ns; the virtual clock stands for the wall clock."""
        return now()

    def touched(self) -> int | None:
        """Return when the last operation succeeded, ns."""
        return self._written_at

    def names(self) -> list[str]:
        """Return the names of all files."""
        return list(self._files)

    def read(self, name: str) -> bytes:
        """Return a file's contents."""
        return bytes(self._files[name].data)

    async def _begin_operation(self, step: Step) -> None:
        """Begin an operation: here it is delayed, fails, or the process dies."""
        if self.crash_at is not None and self.operations >= self.crash_at:
            self.crashed.set()
            await trio.sleep_forever()
        self.operations += 1
        await trio.sleep(self.pause)
        if self.error is not None and (self.error_on is None or isinstance(step, self.error_on)):
            raise OSError(self.error, errno.errorcode[self.error])
        self._written_at = now()

    async def do(self, step: Step) -> None:
        """Perform a step. Raise OSError if it fails."""
        await self._begin_operation(step)
        if isinstance(step, Create):
            if step.name in self._files:
                raise FileExistsError(errno.EEXIST, "exists")
            self._files[step.name] = _File(bytearray(step.data))
            await self._sync(step, step.name)
            await self._begin_operation(step)
            self._durable_files = dict(self._files)
        elif isinstance(step, Append):
            file = self._files[step.name]
            # a process that dies during a write leaves a part of it
            file.data += step.data[: len(step.data) // 2]
            await self._begin_operation(step)
            file.data += step.data[len(step.data) // 2 :]
            if step.sync:
                await self._sync(step, step.name)
        elif isinstance(step, Rename):
            self._files[step.to] = self._files.pop(step.name)
            await self._begin_operation(step)
            self._durable_files = dict(self._files)
        else:
            assert isinstance(step, Remove)
            self._files.pop(step.name, None)

    async def _sync(self, step: Step, name: str) -> None:
        await self._begin_operation(step)
        self._files[name].synced = len(self._files[name].data)

    def power_cut(self) -> None:
        """Simulate a power cut.

        Any part of the unsynced data may survive, or zeros in its place; names that are not synced may be there or not.
        """
        found: dict[str, _File] = {}
        for name, file in {**self._durable_files, **self._files}.items():
            if name not in self._durable_files and self.rng.random() < 0.5:
                continue
            if name not in self._files and self.rng.random() < 0.5:
                continue  # the removal reached the disk
            data = bytearray(file.data[: self.rng.randint(file.synced, len(file.data))])
            if len(data) < len(file.data) and self.rng.random() < 0.5:
                data += bytes(
                    self.rng.randint(0, len(file.data) - len(data))
                )  # the size reached the disk, the data did not
            found[name] = _File(data, len(data))
        self._files, self._durable_files = found, dict(found)
        self.process_died()

    def process_died(self) -> None:
        """Simulate the death of the process alone: written data stays, the lock is released and faults are cleared."""
        self._lock_owner = ""
        self.error, self.crash_at, self.crashed = None, None, trio.Event()
