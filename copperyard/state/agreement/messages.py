"""The messages of the replicated log and the records that a voter stores. Types only.

They are written as arrays of their fields: order and number of fields are the format on the wire and on disk.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar


class EntryKind(IntEnum):
    """The kind of a log entry."""

    NOOP = 0  # no-op, a new leader's first entry: entries before it are committed with it
    DATA = 1
    VOTERS = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry. For VOTERS `data` holds the voters' names, joined by newlines."""

    term: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all entries up to `index`, with the voters in force there."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Raft's RequestVote; with `pre_vote` only a question that promises nothing.

    `nonce` is random and comes back in the reply: a vote that an earlier incarnation asked for, with another log, must
    not count for this one.
    """

    OUTER_NAME: ClassVar[str] = "Poll"  # key in benchmark results

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    nonce: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The reply to a vote request of that term."""

    OUTER_NAME: ClassVar[str] = "Ballot"  # key in benchmark results

    term: int
    pre_vote: bool
    granted: bool
    nonce: int


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Raft's AppendEntries: entries after `prev_index`; a heartbeat if there are none.

    `round` numbers the leader's broadcasts and comes back in the reply, so it proves which broadcast was received.
    """

    OUTER_NAME: ClassVar[str] = "Append"  # key in benchmark results

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Raft's InstallSnapshot, for a voter that lacks entries before the leader's snapshot."""

    OUTER_NAME: ClassVar[str] = "Install"  # key in benchmark results

    term: int
    snapshot: Snapshot
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """The reply to appended entries and to a snapshot.

    The log agrees with the leader's up to `index`; without `success` it agrees at most up to there.
    """

    OUTER_NAME: ClassVar[str] = "Taken"  # key in benchmark results

    term: int
    success: bool
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """Sent by a voter that started: asks the others what it may have promised and lost.

    `nonce` is drawn once per start, so a repeated request does not count as another incarnation.
    """

    OUTER_NAME: ClassVar[str] = "Recall"  # key in benchmark results

    voter_incarnation: int
    nonce: int


@dataclass(frozen=True, slots=True)
class RecoveryReply:
    """The reply to a recovery request, with the replying voter's term and the end of its log.

    `known_incarnation`: the sender's highest incarnation that this voter heard of before this start; `recovered`: this
    voter has finished its own recovery; `is_leader`: it leads in `term`.
    """

    OUTER_NAME: ClassVar[str] = "Recalled"  # key in benchmark results

    voter_incarnation: int
    known_incarnation: int
    term: int
    last_index: int
    last_term: int
    recovered: bool
    is_leader: bool


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A learner asks for the entries committed after `index`.

    `request_id` comes back in the reply: the age in a reply is counted from its own request, not from a later one to
    the same gateway.
    """

    OUTER_NAME: ClassVar[str] = "Since"  # key in benchmark results

    index: int
    request_id: int = 0


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Committed entries: `snapshot` if the log no longer reaches back that far, then the entries after `index`.

    The entry `dated_index` was proposed at most `age_ns` before this message was sent; 0 if the sender knows no such
    entry.
    """

    OUTER_NAME: ClassVar[str] = "News"  # key in benchmark results

    snapshot: Snapshot | None
    index: int
    entries: tuple[Entry, ...]
    commit: int
    leader: str
    dated_index: int
    age_ns: int
    request_id: int = 0


@dataclass(frozen=True, slots=True)
class CommitHint:
    """A hint that the sender holds the committed entries up to `index` and can be asked for them.

    It carries neither entries nor ages, so a hint that waited in a socket for long cannot make an entry look younger
    than it is: the receiver fetches, and counts ages from its own request.
    """

    OUTER_NAME: ClassVar[str] = "Newer"  # key in benchmark results

    index: int


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | InstallSnapshot
    | AppendReply
    | RecoveryRequest
    | RecoveryReply
    | FetchRequest
    | FetchReply
    | CommitHint
)


# ---- records that a voter stores


@dataclass(frozen=True, slots=True)
class Promise:
    """What the voter must not forget: its term, whom it voted for in it (empty: nobody), and its incarnation number."""

    term: int
    voted_for: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """The entry at `index`; it replaces the stored entries from there on."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class VoteFloor:
    """Set by a recovery: no vote for a candidate whose log ends before this position."""

    index: int
    term: int


Record = Promise | EntryRecord | VoteFloor | Snapshot
