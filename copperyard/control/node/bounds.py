"""What bounds a node and paces it: every figure that is chosen, not told by the settings or the protocol. Times are ns.

The I/O reads its bounds here as the core does, so that each has one owner.
"""

from __future__ import annotations

from ...protocol.rtsp import Limits

MS = 1_000_000
SECOND = 1_000_000_000

# memory: what is remembered, and what may wait
MOST_MOVED = 4096  # viewers remembered as moved by this front
MOST_ENDED = 2048  # ids remembered after their end, so that what crosses it is known
MOST_OWED = 1024  # releases that wait for a connection of viewers
MOST_WAITING = 1024  # frames and set-ups that wait on one connection to a host
MOST_UNREAD = 64  # datagrams of the name service taken in one turn
LATE_ANSWERS = 8  # queries to the name service whose answers are still taken
VIEWER_REST = 1 << 18  # bytes that wait for one connection of viewers, beyond which it is closed
HOST_REST = 1 << 22  # the same for a host's; what is handed over at once is far less
DISCARD = 1 << 27  # bytes read and thrown away after a last answer: a bad client's 60 MB and some
READ = 65536  # bytes taken from a host in one turn
VIEWER_READ = 8192  # the same of viewers, so that a flood on one connection does not hold up the others
# a message is 16 KiB at most, so what one connection can make us hold is a head and a body of that order
VIEWER_LIMITS = Limits(line=1024, headers=16, body=16384, frame=0, pending=1)
MOST_LOOKS = 8  # reads of one connection in a row, before something is sent that what lies unread there may forbid
LINES_A_SECOND = 50  # of the log

# connections
LEAST_SOCKETS = 64  # descriptors without which a node does not start
RESERVE = 24  # listener, name service, event loop, logs, and a connection on its way in or out
MOST_LINKS = 4  # connections to one host
MOST_ERRORS = 12  # requests that make no sense, after which a viewers' connection is closed

# times
REDIAL = 500 * MS  # pace at which a host that holds sessions is dialled again
# A host that holds sessions and was quiet so long is dialled once more, to see whether it is there. What vanished must
# be told to viewers within 8 s; MISSES dials at REDIAL's pace, each a connect's time, come after this. Shorter is dear:
# with two hundred fronts of a few sessions each, most hosts are quiet at most fronts most of the time
QUIET = 4500 * MS
WARY = 2 * SECOND  # the same while another host was found silent: they often fall together
DOUBT = 5 * SECOND  # how long that lasts
UNLISTED = 6 * SECOND  # the same for one that the list has dropped, whose connection still stands
REFUSED = 4 * SECOND  # refused for so long, a host without a connection of ours is dead; before, it may be full
SLOWEST = 3  # REDIAL grows with each miss up to so many times: a full host is not helped by asking
MISSES = 3  # connections in a row that nobody answered, from which a host counts as gone
SWEEP = 500 * MS  # how often viewers' connections are looked at
MUTE = 2 * SECOND  # a connection on which no request came is closed; the platform wants it within 3 s
IDLE = 30 * SECOND  # a connection without open set-ups and requests is closed
VIEWER_STALL = 5 * SECOND  # in which a viewer must take something of what waits for it
SEE_OFF = 6 * SECOND  # for a last answer to reach a client that goes on sending
RENAME = 250 * MS  # until a socket to the name service is tried again; the pace of queries is membership/asking.py's
LATECOMERS = 650 * MS  # requests are taken so long after the node was told to end
END_LEAST = SECOND  # and the refusals of those after them get so long to leave
LOOK_AGAIN = 5 * MS  # until a set-up is tried again whose client has more to say than was read in one turn
END_PASS = 5 * MS  # between two looks at what may still lie unread, once nothing is left to do
END_CLEAR = SECOND  # how long these go on where a peer takes nothing, or goes on asking; its answer is a refusal
END_PART = 200 * MS  # for the last answers to be read before the process is gone; what crosses is sent again
END_MOST = 60 * SECOND  # when a node that was told to end does, whatever plays; the platform kills it long before
PARTING = SECOND  # a connection that this side ends is heard for so long; a release is to be told within that
LISTEN = 200 * MS  # until an address that is in use is tried again
LISTENS = 100  # how often; the platform waits 30 s for a node to be ready
RELOAD = SECOND  # until a configuration that could not be read is tried again
RELOADS = 20


def viewers_share(sockets: int) -> int:
    """Connections of viewers at a time: they never use up what hosts need."""
    return sockets // 2


def hosts_share(sockets: int) -> int:
    """Connections to hosts at a time."""
    return sockets // 2 - RESERVE
