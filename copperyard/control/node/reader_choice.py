"""Which connection of a viewer is the likeliest to be read, for a notice whose own connection has ended. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import TYPE_CHECKING

from . import bounds

if TYPE_CHECKING:
    from .notices import Notice
    from .sessions import Viewer


def known_reader(viewers: Iterable[Viewer]) -> Viewer | None:
    """The connection whose client showed last that it reads, of those that take data; None without one."""
    readers = [viewer for viewer in viewers if viewer.is_read and _takes_data(viewer)]
    return max(readers, key=_last_read) if readers else None


def candidates(viewers: Iterable[Viewer], count: int) -> list[Viewer]:
    """Up to `count` connections not known to be read that take data, the likeliest to be read first.

    A client that tests is expected to read the answer, and so is one that waits for the answer to its set-up. One
    that was answered may have stopped reading, the sooner the longer ago. One that has said nothing comes last.
    """
    unknown = [viewer for viewer in viewers if not viewer.is_read and _takes_data(viewer)]
    return heapq.nlargest(count, unknown, key=_likelihood)


def may_try(notice: Notice, viewer: Viewer) -> bool:
    """Whether a notice may be written to a connection not known to be read: to each one once, to a limited number of
    them in all and at a time, and to one that has said nothing only as the first.
    """
    writes = notice.lost_writes + len(notice.tried)
    if writes >= bounds.MAX_UNPROVEN_WRITES or len(notice.tried) >= bounds.MAX_UNACKNOWLEDGED_WRITES:
        return False
    return viewer not in notice.tried and (viewer.has_requested or not writes)


def _takes_data(viewer: Viewer) -> bool:
    return viewer.is_open and not viewer.has_unsent


def _last_read(viewer: Viewer) -> tuple[int, int]:
    return viewer.last_read_at, viewer.number


def _likelihood(viewer: Viewer) -> tuple[bool, bool, bool, int, int]:
    return (
        viewer.has_tested,
        bool(viewer.open_setups),
        viewer.has_requested,
        viewer.last_active_at,
        viewer.number,
    )
