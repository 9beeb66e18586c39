"""Limits of the connections between gateways. The I/O applies these and defines none of its own."""

SECOND = 1_000_000_000
CONNECT = 2.0  # s for a connection to be established
HELLO = 3.0  # s for a hello to arrive
IDLE = 90.0  # s after which a silent link is closed; a gateway polls each of its peers, at most 42, in turn
SILENT = 3.0  # s for the peer to count a written frame
STALE = 3 * SECOND  # ns after which an unsent message is dropped
QUEUE = 2 * 1024 * 1024  # bytes that wait for one peer: two frames of the greatest length
BACK_OFF = (0.1, 2.0)  # s between dials: minimum and maximum
NEW = 64  # incoming connections whose hello has not arrived
AGAIN = 1.0  # s between tries to write what the disk did not take
WAITING = (
    1024  # I/O actions that may wait for the disk; above it a voter ignores other voters until it has written them
)
