"""The log of a small process: JSON lines on standard error, bounded in a storm, by the standard library alone.

Beside logs.py because of memory: structlog takes 7 MB of a node that may have 32 (docs/design/node.md).
"""

from __future__ import annotations

import json
import os
import select
import time
from collections.abc import Mapping

MOST_LINE = select.PIPE_BUF  # bytes of a line, which a pipe takes whole or not at all


class Lines:
    """At most `most` lines a second; what is over is dropped, and counted in the next one. So is what cannot be written
    at once: whoever reads the log may be slow or gone, which must not hold up or end the process. `descriptor` is where
    it goes."""

    def __init__(self, most: int, descriptor: int = 2) -> None:
        self.most, self._descriptor = most, descriptor
        self._room = select.poll()
        self._room.register(descriptor, select.POLLOUT)
        self._second, self._count, self._held = 0, 0, 0

    def __call__(self, event: str, fields: Mapping[str, str | int]) -> None:
        at = time.time()
        if int(at) != self._second:
            self._second, self._count = int(at), 0
        self._count += 1
        if self._count > self.most:
            self._held += 1
            return
        held = {"held_back": self._held} if self._held else {}
        line = json.dumps({"at": round(at, 3), "event": event, **fields, **held}).encode()
        if self._written(line[: MOST_LINE - 1] + b"\n"):
            self._held = 0
        else:
            self._held += 1

    def _written(self, line: bytes) -> bool:
        """A pipe that says it has room takes a line of MOST_LINE without waiting."""
        try:
            return any(what & select.POLLOUT for _, what in self._room.poll(0)) and os.write(self._descriptor, line) > 0
        except OSError:
            return False
