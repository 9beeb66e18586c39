"""Bounds of what goes on between gateways, in one place: the I/O keeps them and has none of its own."""

SECOND = 1_000_000_000
CONNECT = 2.0  # s for a connection to come up
HELLO = 3.0  # s for a hello to come
IDLE = 90.0  # s after which a link that says nothing is closed: a gateway asks each that it knows, 42 at most, by turns
SILENT = 3.0  # s for what was written to be counted at the other end
STALE = 3 * SECOND  # ns after which a message that did not leave is of no use
QUEUE = 2 * 1024 * 1024  # bytes that wait for one peer: two of the longest frames
BACK_OFF = (0.1, 2.0)  # s between dials, from and to
NEW = 64  # connections at a time whose hello has not come
AGAIN = 1.0  # s between tries to write what the disk did not take
WAITING = 1024  # orders that may wait for the disk; a voter with more hears no other voter until it has written them
