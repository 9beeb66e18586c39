"""Output queue of one viewer: bounded, with a time-out for a viewer that accepts nothing.

Nothing is dropped from the middle of a stream, so numbering stays continuous. Once `limit` bytes wait, the I/O stops
reading from the host that feeds the viewer, which pushes back over TCP. Each session has its own host connection, so
no other session is affected. A viewer that accepts no byte for the stall time loses its sessions.
"""

from __future__ import annotations

from collections import deque

MAX_WRITE_BYTES = 65536


class Outbox:
    """FIFO of bytes for one peer. `limit` bytes hold back media. Responses always fit, because the number of a peer's
    unanswered requests is bounded.
    """

    def __init__(self, limit: int, stall: int) -> None:
        self.limit, self.stall_ns = limit, stall
        self.size = 0
        self.bytes_taken = 0  # total bytes accepted by the peer
        self._chunks: deque[bytes] = deque()

    def put(self, data: bytes) -> None:
        """Append bytes."""
        self._chunks.append(data)
        self.size += len(data)

    @property
    def full(self) -> bool:
        """Whether the source of this queue should stop."""
        return self.size >= self.limit

    @property
    def has_room(self) -> bool:
        """Whether the source of this queue may resume: at most half full, so that it does not toggle on each byte."""
        return self.size * 2 <= self.limit

    def peek(self) -> bytes:
        """Return the next bytes to write, empty if nothing waits."""
        if len(self._chunks) > 1:
            parts, size = [], 0
            while self._chunks and size < MAX_WRITE_BYTES:
                parts.append(self._chunks.popleft())
                size += len(parts[-1])
            self._chunks.appendleft(b"".join(parts))
        return self._chunks[0] if self._chunks else b""

    def consume(self, size: int) -> None:
        """Remove `size` bytes, which the peer accepted, of those that peek returned."""
        if size:
            head = self._chunks.popleft()
            if size < len(head):
                self._chunks.appendleft(head[size:])
            self.size -= size
            self.bytes_taken += size
