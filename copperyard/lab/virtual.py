"""Runs trio code on a virtual clock that jumps ahead when all tasks wait, with a task order determined by a seed.

trio shuffles runnable tasks with a private random source. Seeding that source, and making trio sort each batch first,
makes the order reproducible. Both are private names of the pinned trio release: `run` raises if they are missing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run(main: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run to the end in virtual time. Raise RuntimeError if this trio release cannot be made deterministic."""
    from trio._core import _run

    if not hasattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING") or not hasattr(_run, "_r"):
        raise RuntimeError(
            f"trio {trio.__version__} has no deterministic scheduling that can be seeded; 0.35 is known to work"
        )
    private: Any = _run
    private._ALLOW_DETERMINISTIC_SCHEDULING = True
    private._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
