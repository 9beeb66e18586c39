"""Limits of the connections between gateways. The I/O applies these and defines none of its own."""

SECOND = 1_000_000_000
CONNECT_TIMEOUT_S = 2.0  # s for a connection to be established
HELLO_TIMEOUT_S = 3.0  # s for a hello to arrive
IDLE_TIMEOUT_S = 90.0  # s after which a silent link is closed; a gateway polls each of its peers, at most 42, in turn
ACK_TIMEOUT_S = 3.0  # s for the peer to count a written frame
MAX_MESSAGE_AGE_NS = 3 * SECOND  # ns after which an unsent message is dropped
MAX_QUEUE_BYTES = 2 * 1024 * 1024  # bytes that wait for one peer: two frames of the greatest length
REDIAL_BACKOFF_S = (0.1, 2.0)  # s between dials: minimum and maximum
MAX_PENDING_HELLOS = 64  # incoming connections whose hello has not arrived
WRITE_RETRY_S = 1.0  # s between tries to write what the disk did not take
MAX_PENDING_WRITES = (
    1024  # I/O actions that may wait for the disk; above it a voter ignores other voters until it has written them
)
