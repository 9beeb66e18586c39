"""Rate-limited JSON lines on standard error, written with the standard library alone.

Used instead of logs.py to save memory: structlog takes 7 MB of the 32 MB of a node (docs/design/node.md).
"""

from __future__ import annotations

import json
import os
import select
import time
from collections.abc import Mapping

MAX_LINE_BYTES = select.PIPE_BUF  # a pipe takes a line of up to this size whole or not at all


class JsonLineLogger:
    """Writes log lines to the file `descriptor`, at most `max_per_second`. Lines over that, and lines that cannot be
    written at once, are dropped and counted in the next line: a slow or missing reader of the log must neither block
    nor end the process.
    """

    def __init__(self, max_per_second: int, descriptor: int = 2) -> None:
        self.max_per_second, self._descriptor = max_per_second, descriptor
        self._writable_poll = select.poll()
        self._writable_poll.register(descriptor, select.POLLOUT)
        self._second, self._count, self._dropped = 0, 0, 0

    def __call__(self, event: str, fields: Mapping[str, str | int]) -> None:
        """Log an event with its fields, or drop it over the limit."""
        at = time.time()
        if int(at) != self._second:
            self._second, self._count = int(at), 0
        self._count += 1
        if self._count > self.max_per_second:
            self._dropped += 1
            return
        dropped = {"held_back": self._dropped} if self._dropped else {}
        line = json.dumps({"at": round(at, 3), "event": event, **fields, **dropped}).encode()
        if self._try_write(line[: MAX_LINE_BYTES - 1] + b"\n"):
            self._dropped = 0
        else:
            self._dropped += 1

    def _try_write(self, line: bytes) -> bool:
        """Write a line if that does not block. A pipe polled as writable takes a line of MAX_LINE_BYTES at once."""
        try:
            return (
                any(what & select.POLLOUT for _, what in self._writable_poll.poll(0))
                and os.write(self._descriptor, line) > 0
            )
        except OSError:
            return False
