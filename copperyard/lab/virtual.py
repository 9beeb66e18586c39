"""Runs trio code on a clock that jumps when all wait, in an order that comes from a seed.

trio shuffles the tasks that are ready with a private random source; the order becomes the seed's by seeding
that source and by having it sort each batch first. Both are private names of the pinned trio release: `run`
says so plainly where they are missing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run(main: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run to the end in virtual time. RuntimeError where this trio cannot be made to repeat itself."""
    from trio._core import _run

    if not hasattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING") or not hasattr(_run, "_r"):
        raise RuntimeError(f"trio {trio.__version__} hides the order of its tasks; 0.35 is known to show it")
    private: Any = _run
    private._ALLOW_DETERMINISTIC_SCHEDULING = True
    private._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
