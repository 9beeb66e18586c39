"""What waits for one viewer: bounded, and with an end for a viewer that takes nothing.

Nothing is dropped from the middle of a stream: numbering stays whole. Once `limit` bytes wait, the host that
feeds the viewer is read no further, which pushes back to it over TCP; each session has a host connection of
its own, so no other is held up. A viewer that takes no byte for `stall` loses its sessions.
"""

from __future__ import annotations

from collections import deque

CHUNK = 65536


class Outbox:
    """Bytes for one peer, first in first out. `limit` bytes hold back media; answers always fit, as a peer's
    unanswered requests are bounded."""

    def __init__(self, limit: int, stall: int) -> None:
        self.limit, self.stall = limit, stall
        self.size = 0
        self.taken = 0  # bytes that the peer took so far
        self._parts: deque[bytes] = deque()

    def put(self, data: bytes) -> None:
        self._parts.append(data)
        self.size += len(data)

    @property
    def full(self) -> bool:
        """Whether what feeds this box should wait."""
        return self.size >= self.limit

    @property
    def roomy(self) -> bool:
        """Whether what feeds this box may go on: half empty, so that it does not stop and go at every byte."""
        return self.size * 2 <= self.limit

    def peek(self) -> bytes:
        """The next bytes to write, empty where nothing waits."""
        if len(self._parts) > 1:
            parts, size = [], 0
            while self._parts and size < CHUNK:
                parts.append(self._parts.popleft())
                size += len(parts[-1])
            self._parts.appendleft(b"".join(parts))
        return self._parts[0] if self._parts else b""

    def took(self, size: int) -> None:
        """The peer took `size` of the bytes that peek gave."""
        if size:
            head = self._parts.popleft()
            if size < len(head):
                self._parts.appendleft(head[size:])
            self.size -= size
            self.taken += size
