"""Limits and timings of a node that are chosen here, not given by the settings or the protocol. Times are in ns.

The core and the I/O both read them here, so that each value is defined once.
"""

from __future__ import annotations

from ...protocol.rtsp import Limits

MS = 1_000_000
SECOND = 1_000_000_000

# memory: what is remembered, and what may be queued
SESSION_MEMORY_BYTES = 4096  # what one session takes in the core and in the controller
MAX_OPEN_SETUPS = 512  # set-ups without an answer on one viewer connection
MAX_MOVED_VIEWERS = 4096  # viewers remembered as moved away by this front
MAX_ENDED_SESSIONS = 8192  # ids of ended sessions, to recognise messages that crossed their end
MAX_WAITING_NOTICES = 16384  # notices to viewers that wait for a connection that is being read
MAX_NOTICES_PER_WRITE = 256  # notices written to one connection before the next ones wait until it has taken them
MAX_UNPROVEN_WRITES = 8  # writes of one notice to connections that are not known to be read
MAX_UNACKNOWLEDGED_WRITES = 2  # of these, writes that have neither been acknowledged nor come back
MAX_LINK_OUTBOX = 1024  # frames and set-ups queued on one connection to a host
MAX_OWED_RELEASES = 16384  # releases kept for one host that may not have arrived there
MAX_RELEASE_WRITES = 4  # writes of one release: a host that resets idle connections need not acknowledge any
MAX_DATAGRAMS_PER_TURN = 64  # datagrams of the name service read in one turn
MAX_OPEN_QUERIES = 48  # queries to the name service whose answers are accepted; a forged one has to match its id
MAX_VIEWER_UNSENT_BYTES = 1 << 18  # unsent bytes on one viewer connection, above which it is closed
MAX_HOST_UNSENT_BYTES = 1 << 22  # the same for a connection to a host; what is written at once is far less
# bytes read and discarded after a last answer: the 60 MB of a misbehaving client, with a margin
MAX_DISCARDED_BYTES = 1 << 27
HOST_READ_BYTES = 65536  # bytes read from a host in one turn
VIEWER_READ_BYTES = 8192  # the same for viewers, so that a flood on one connection does not delay the others
# a message has at most 16 KiB, so one connection makes the node hold no more than a header and a body of that order
VIEWER_LIMITS = Limits(line=1024, headers=16, body=16384, frame=0, pending=1)
MAX_READS_PER_TURN = 8  # consecutive reads of one connection before a write that its unread data may forbid
MAX_LOG_LINES_PER_S = 50  # log lines per second

# connections
MIN_SOCKETS = 64  # descriptors below which a node does not start
MAX_MEMORY_MB = 1 << 30  # above which a limit of memory makes no difference
MIN_MEMORY_MB = 1  # the least limit of memory that a configuration may name
RESERVED_SOCKETS = 24  # listener, name service, event loop, logs, and a connection being opened or closed
MAX_LINKS_PER_HOST = 4  # connections to one host, beside one that is dialled to check that the host is there
MAX_VIEWER_ERRORS = 12  # invalid requests, after which a viewer connection is closed

# times
REDIAL_INTERVAL = 500 * MS  # between dials of a host that holds sessions
MIN_LINK_UPTIME = SECOND  # before a connection may make room for another host's; a host repeats its releases within it
# A host that holds sessions and was silent for so long is dialled to check that it is alive. Viewers must be told of a
# vanished host within 8 s, and FAILED_DIALS_THRESHOLD dials at REDIAL_INTERVAL, each up to the connect timeout, come
# after this. A shorter time costs many connections: with two hundred fronts of a few sessions each, most hosts are
# silent towards most fronts most of the time
SILENCE_TIMEOUT = 4500 * MS
SUSPICION_SILENCE_TIMEOUT = 2 * SECOND  # the same while another host is suspected, as hosts often fail together
SUSPICION_PERIOD = 5 * SECOND  # how long a suspicion shortens the silence timeout of the other hosts
UNLISTED_SILENCE_TIMEOUT = 6 * SECOND  # silence after which an unlisted host that still has a connection is lost
RELEASE_ARRIVAL_PERIOD = SECOND  # after which a release has arrived if its connection goes on or is closed in order
OWED_RELEASE_DIAL_DELAY = SECOND  # for a connection opened for another purpose, before one is opened for releases alone
OWED_RELEASE_RETENTION_PERIOD = 600 * SECOND  # for which a release waits for a host that cannot be reached
REFUSED_TIMEOUT = 4 * SECOND  # a host without a connection that refuses for so long is dead; until then it may be full
MAX_REDIAL_BACKOFF = 3  # factor up to which REDIAL_INTERVAL grows with each failed dial, to spare a full host
FAILED_DIALS_THRESHOLD = 3  # consecutive failed dials from which a host counts as gone
# the platform's limits for telling a viewer that its session is over: after the release of a host or of this node, and
# after the end of a session whose host could not release it
RELEASE_NOTICE_LIMIT = SECOND
LOSS_NOTICE_LIMIT = 8 * SECOND
NOTICE_MARGIN = 300 * MS  # before these limits, left for the way and for a process that is late
NOTICE_CHECK_INTERVAL = 100 * MS  # between looks for overdue notices
# in which a client acknowledges a notice that it reads; NOTICE_MARGIN leaves time for it and another write
ACKNOWLEDGEMENT_TIMEOUT = 150 * MS
CLOSE_CROSSING_PERIOD = 50 * MS  # the platform's time for what crosses the close of a connection
NOTICE_RESET_PERIOD = SECOND  # a notice written no longer than this before a reset may not have arrived
NOTICE_RETENTION_PERIOD = 60 * SECOND  # for which an overdue notice goes on waiting for its viewer
NOTICE_LOG_INTERVAL = 60 * SECOND  # between log lines about notices that wait
SWEEP_INTERVAL = 500 * MS  # between checks of the viewer connections
FIRST_REQUEST_TIMEOUT = 2 * SECOND  # without a request a connection is closed; the platform requires it within 3 s
VIEWER_IDLE_TIMEOUT = 30 * SECOND  # a connection without requests and open set-ups is closed
VIEWER_WRITE_TIMEOUT = 5 * SECOND  # in which a viewer must read some of its unsent data
LAST_ANSWER_TIMEOUT = 6 * SECOND  # for a last answer to reach a client that goes on sending
# until a failed socket to the name service is reopened; QueryPacer paces the queries
NAME_SERVICE_RETRY_INTERVAL = 250 * MS
SHUTDOWN_ACCEPT_PERIOD = 650 * MS  # requests are accepted for so long after a shutdown starts
SHUTDOWN_MIN_PERIOD = SECOND  # a shutdown takes at least so long, for the refusals of later requests to be sent
WRITE_RETRY_INTERVAL = 5 * MS  # until a set-up is retried whose client has more unread data than one turn reads
SHUTDOWN_POLL_INTERVAL = 5 * MS  # between checks for unread data once no session is left
# bounds these checks if a peer reads nothing, or goes on sending requests, which are refused
SHUTDOWN_FLUSH_TIMEOUT = SECOND
SHUTDOWN_CLOSE_TIMEOUT = 200 * MS  # for clients to read the last answers; requests that cross this are sent again
# bounds a shutdown even if sessions still play; the platform kills the process much earlier
SHUTDOWN_TIMEOUT = 60 * SECOND
HALF_CLOSE_TIMEOUT = SECOND  # a half-closed connection is read for so long; a host sends a crossing release within it
LISTEN_RETRY_INTERVAL = 200 * MS  # between attempts to bind an address that is in use
MAX_LISTEN_RETRIES = 100  # attempts to bind; the platform waits 30 s for a node to be ready
RELOAD_RETRY_INTERVAL = SECOND  # between attempts to read an invalid configuration
MAX_RELOAD_ATTEMPTS = 20


def max_sessions(memory_mb: float | None, max_held: int) -> int:
    """Most sessions and open set-ups at a time: those that the settings allow, in half of the memory at most."""
    if memory_mb is None:
        return max_held
    return min(max_held, int(min(memory_mb, MAX_MEMORY_MB) * (1 << 20)) // 2 // SESSION_MEMORY_BYTES)


def max_viewer_connections(sockets: int) -> int:
    """Most connections of viewers at a time; the rest of the descriptors is kept for hosts."""
    return sockets // 2


def max_host_connections(sockets: int) -> int:
    """Most connections to hosts at a time."""
    return sockets // 2 - RESERVED_SOCKETS
