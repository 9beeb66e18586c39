"""A disk in memory that fails by script, and forgets at a crash what was not synced."""

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
    """The scripted crash point is reached: the process dies here."""


class MemoryDisk:
    """Files as they are, and as they would be found after the machine went down. Each step is made of operations
    (write, sync, sync of the folder, rename, remove); `operations` counts them, and `crash_at` is the number of one
    before which the process dies: `crashed` is called. `pause` holds every operation up by so many s, `error` fails
    each."""

    def __init__(self, rng: random.Random, pause: float = 0.0) -> None:
        self.rng, self.pause = rng, pause
        self.error: int | None = None
        self.error_on: type[Step] | None = None
        self.operations = 0
        self.crash_at: int | None = None
        self.crashed = trio.Event()
        self._live: dict[str, _File] = {}
        self._safe: dict[str, _File] = {}  # names that the folder is sure to have
        self._holder = ""
        self._touched: int | None = None

    def lock(self, owner: str) -> None:
        if self._holder:
            raise LockedError(f"held by {self._holder}")
        self._holder = owner

    def close(self) -> None:
        self._holder = ""

    def wall(self) -> int:
        return now()

    def touched(self) -> int | None:
        return self._touched

    def names(self) -> list[str]:
        return list(self._live)

    def read(self, name: str) -> bytes:
        return bytes(self._live[name].data)

    async def _operation(self, step: Step) -> None:
        """One more operation begins: the place of pauses, errors and crashes."""
        if self.crash_at is not None and self.operations >= self.crash_at:
            self.crashed.set()
            await trio.sleep_forever()
        self.operations += 1
        await trio.sleep(self.pause)
        if self.error is not None and (self.error_on is None or isinstance(step, self.error_on)):
            raise OSError(self.error, errno.errorcode[self.error])
        self._touched = now()

    async def do(self, step: Step) -> None:
        await self._operation(step)
        if isinstance(step, Create):
            if step.name in self._live:
                raise FileExistsError(errno.EEXIST, "exists")
            self._live[step.name] = _File(bytearray(step.data))
            await self._sync(step, step.name)
            await self._operation(step)
            self._safe = dict(self._live)
        elif isinstance(step, Append):
            file = self._live[step.name]
            # what a write has put down so far when the process dies within it
            file.data += step.data[: len(step.data) // 2]
            await self._operation(step)
            file.data += step.data[len(step.data) // 2 :]
            if step.sync:
                await self._sync(step, step.name)
        elif isinstance(step, Rename):
            self._live[step.to] = self._live.pop(step.name)
            await self._operation(step)
            self._safe = dict(self._live)
        else:
            assert isinstance(step, Remove)
            self._live.pop(step.name, None)

    async def _sync(self, step: Step, name: str) -> None:
        await self._operation(step)
        self._live[name].synced = len(self._live[name].data)

    def power_cut(self) -> None:
        """The machine goes down: of what was not synced any part may be there, or zeros in its place; names that were
        not synced may be there or not."""
        found: dict[str, _File] = {}
        for name, file in {**self._safe, **self._live}.items():
            if name not in self._safe and self.rng.random() < 0.5:
                continue
            if name not in self._live and self.rng.random() < 0.5:
                continue  # its removal reached the disk
            data = bytearray(file.data[: self.rng.randint(file.synced, len(file.data))])
            if len(data) < len(file.data) and self.rng.random() < 0.5:
                data += bytes(self.rng.randint(0, len(file.data) - len(data)))  # it grew, its bytes did not come
            found[name] = _File(data, len(data))
        self._live, self._safe = found, dict(found)
        self.process_died()

    def process_died(self) -> None:
        """The process is gone and the machine is not: what was written stays, its lock does not."""
        self._holder = ""
        self.error, self.crash_at, self.crashed = None, None, trio.Event()
