"""A voter: one replica of the log that gives every gateway the same history of decisions.

After Raft (Ongaro, Ousterhout 2014; Ongaro 2014 for membership changes, pre-vote, check-quorum and leases), with two
differences:

- A voter that starts does not trust its log store. The store may be an older copy or empty; the voter could then vote
  twice in a term or help to lose committed entries, and an older copy cannot be told from the newest by its contents.
  So each start runs a recovery as in Viewstamped Replication (Liskov, Cowling 2012): the voter votes and acknowledges
  entries only after other voters have told it what it may have promised. See `_on_recovery_reply`.
- Nothing in this module is durable when a method returns. `take` returns actions in order; an action that follows a
  write of records (a message, but also an applied entry) may be carried out only once these records are on disk.

Times are in ns of this process's clock. Its rate may differ from that of other clocks by at most the configured drift.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .messages import (
    AppendEntries,
    AppendReply,
    CommitHint,
    Entry,
    EntryKind,
    EntryRecord,
    FetchReply,
    FetchRequest,
    InstallSnapshot,
    Message,
    Promise,
    Record,
    RecoveryReply,
    RecoveryRequest,
    RequestVote,
    Snapshot,
    VoteFloor,
    VoteReply,
)
from .subscribers import Subscribers

MS = 1_000_000
MAX_VOTERS = 9  # tolerates four dead voters, or the loss of any one of five zones; more voters slow each decision down
MAX_BATCH_ENTRIES = 64  # entries per message
MAX_BATCH_BYTES = 256 * 1024  # per message
SNAPSHOT_THRESHOLD = 256  # applied entries after which a snapshot is made
MAX_UNCOMMITTED = 64  # entries proposed but not yet committed
CLOCK_STALL_THRESHOLD = 500 * MS  # a timer this late means that the process was suspended


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """The heartbeat interval and the bounds of the election timeout (ns), and the greatest clock drift (a ratio)."""

    heartbeat_interval: int = 250 * MS
    min_election_timeout: int = 1500 * MS
    max_election_timeout: int = 3000 * MS
    max_drift: float = 0.05


class Role(Enum):
    """Raft roles. The values are logged: they stay as they are."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether it would be elected, without starting a term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Make these records durable before any later action is carried out. `replace_all`: instead of all stored ones."""

    records: tuple[Record, ...]
    replace_all: bool = False


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply this committed entry."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the applied state with this snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReplicaLogLine:
    """Write a log event."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


ReplicaAction = SendMessage | Persist | Apply | Restore | ReplicaLogLine


@dataclass(slots=True)
class PersistentState:
    """The persistent state of a voter, as its log store held it at the start."""

    promise: Promise = Promise(0, "", 0)
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    log: list[Entry] = field(default_factory=list)
    floor: VoteFloor = VoteFloor(0, 0)

    @classmethod
    def read(cls, records: Iterable[Record]) -> PersistentState:
        """Replay records. ValueError where an entry leaves a gap: the store has lost records."""
        state = cls()
        for record in records:
            if isinstance(record, Promise):
                state.promise = record
            elif isinstance(record, VoteFloor):
                state.floor = record
            elif isinstance(record, Snapshot):
                dropped = record.index - state.snapshot.index
                state.log = state.log[dropped:] if 0 <= dropped <= len(state.log) else []
                state.snapshot = record
            else:
                position = record.index - state.snapshot.index - 1
                if not 0 <= position <= len(state.log):
                    raise ValueError(
                        f"log index out of sequence: entry {record.index} follows on "
                        f"{state.snapshot.index + len(state.log)}, the last index"
                    )
                del state.log[position:]
                state.log.append(record.entry)
        return state


@dataclass(slots=True)
class PeerProgress:
    """A leader's view of another voter."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0  # newest broadcast round that it has answered
    sent_at: int = -1  # time of the last message to it


class Replica:
    """One voter.

    `voters` come from the settings and are in force until an entry of the log changes them. `trusted`: an operator
    vouches that the log store is the newest, so recovery is skipped.
    """

    def __init__(
        self,
        name: str,
        voters: Iterable[str],
        stored: PersistentState,
        timing: ElectionTiming,
        seed: int,
        now: int,
        trusted: bool = False,
    ) -> None:
        self.name, self.timing = name, timing
        self.rng = random.Random(seed)
        self.initial_voters = tuple(sorted(voters))
        self.term, self.voted_for = stored.promise.term, stored.promise.voted_for
        self.incarnation = stored.promise.incarnation + 1
        self.snapshot, self.log, self.floor = stored.snapshot, list(stored.log), stored.floor
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = stored.snapshot.index
        self.peers: dict[str, PeerProgress] = {}
        self.votes: set[str] = set()
        self.vote_nonce = 0
        self.round_sent_at: dict[int, int] = {}  # send time of each round that may still be answered
        self.round = 0
        self.term_start_index = 0  # index of the first entry of this leader's term
        self.peer_incarnations: dict[str, tuple[int, int, int]] = {}  # incarnation, its nonce, highest earlier one
        self.proposal_time = ProposalTime()
        self.subscribers = Subscribers()
        self._now = now  # time of the latest call
        self._proposed_at: dict[int, int] = {}  # when this leader proposed each uncommitted entry
        self.recovering = True
        self.recovery_replies: dict[str, RecoveryReply] = {}
        self.recovery_retry_at = now
        self.leader_heard_at = now - 2 * timing.max_election_timeout
        self.recovery_nonce = self.rng.getrandbits(62)
        self.election_at = now + self._draw_election_timeout()
        self.heartbeat_at = now
        self._actions: list[ReplicaAction] = []
        self._persist(Promise(self.term, self.voted_for, self.incarnation))
        if self.snapshot.index:
            self._actions.append(Restore(self.snapshot))
        if trusted or not self._other_voters():
            self._finish_recovery(now)

    # ---- interface

    def take(self) -> list[ReplicaAction]:
        """Actions since the last call, in order; those after a write of records wait until it is durable.

        Adds hints for learners that fetched lately and lack committed entries. Voters need none: replication tells
        them the commit index.
        """
        for name in self.subscribers.hints_due(self._now, self.commit, self.proposal_time.index):
            self._send_message(name, CommitHint(self.subscribers.hinted_index))
        actions, self._actions = self._actions, []
        return actions

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log, committed or not."""
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self.log[position].term if 0 <= position < len(self.log) else None

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters named by the newest configuration entry, committed or not."""
        for entry in reversed(self.log):
            if entry.kind is EntryKind.VOTERS:
                return decode_voters(entry.data)
        return self.snapshot.voters or self.initial_voters

    @property
    def quorum(self) -> int:
        """The size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def holds_lease(self, now: int) -> bool:
        """Whether this voter is the leader and no other can be elected yet.

        True while a quorum has heard it within the minimum election timeout, less twice the clock drift: until that
        ends none of them votes for another.
        """
        if self.role is not Role.LEADER or self.commit < self.term_start_index:
            return False
        confirmed = sorted(
            [self.round_sent_at.get(peer.acked_round, -1) for name, peer in self.peers.items() if name in self.voters]
            + ([now] if self.name in self.voters else []),
            reverse=True,
        )
        if len(confirmed) < self.quorum or confirmed[self.quorum - 1] < 0:
            return False
        return now - confirmed[self.quorum - 1] < self.timing.min_election_timeout * (1 - 2 * self.timing.max_drift)

    def propose(self, now: int, data: bytes) -> int | None:
        """Append an entry to the log. Its index; None if this voter does not lead or too many entries wait."""
        return self._propose(now, Entry(self.term, EntryKind.DATA, data))

    def propose_voters(self, now: int, voters: Iterable[str]) -> int | None:
        """Propose voters that differ by one from the present ones. ValueError for a greater change.

        None if this voter does not lead, another change is uncommitted, or this term has no committed entry yet.
        """
        new = tuple(sorted(set(voters)))
        if len(set(new) ^ set(self.voters)) > 1 or not new:
            raise ValueError(f"voters change one at a time: {', '.join(self.voters)} to {', '.join(new)}")
        change_pending = any(e.kind is EntryKind.VOTERS for e in self.log[self.commit - self.snapshot.index :])
        # until an entry of its own term is committed, another leader could still change the voters (Ongaro, 2015)
        if change_pending or self.commit < self.term_start_index:
            return None
        return self._propose(now, Entry(self.term, EntryKind.VOTERS, "\n".join(new).encode()))

    def _propose(self, now: int, entry: Entry) -> int | None:
        if self.role is not Role.LEADER or self.last_index - self.commit >= MAX_UNCOMMITTED:
            return None
        self._now = now
        self._write_entries([(self.last_index + 1, entry)])
        index = self.last_index
        self._proposed_at[index] = now
        self._broadcast(now)
        self._advance_commit(now)
        return index

    def next_wake(self) -> int:
        """When to call `wake` next."""
        if self.recovering:
            return self.recovery_retry_at
        if self.role is Role.LEADER:
            return min(self.heartbeat_at, self.election_at)
        return self.election_at

    def compact(self, data: bytes) -> None:
        """Replace the log up to the last applied entry by a snapshot with `data`; call it if `wants_snapshot`."""
        term = self.term_at(self.applied)
        assert term is not None
        voters = self._voters_at(self.applied)
        self.log = self.log[self.applied - self.snapshot.index :]
        self.snapshot = Snapshot(self.applied, term, voters, data)
        self._persist_all()

    @property
    def wants_snapshot(self) -> bool:
        """Whether enough entries were applied since the last snapshot."""
        return self.applied - self.snapshot.index >= SNAPSHOT_THRESHOLD

    def _voters_at(self, index: int) -> tuple[str, ...]:
        for entry in reversed(self.log[: index - self.snapshot.index]):
            if entry.kind is EntryKind.VOTERS:
                return decode_voters(entry.data)
        return self.snapshot.voters or self.initial_voters

    def fetch_reply(self, now: int, request: FetchRequest) -> FetchReply:
        """The committed entries that a learner lacks."""
        dated_index, age = self.proposal_time.newest_age(now)
        return fetch_reply(request, self.snapshot, self.log, self.commit, self.leader, dated_index, age)

    # ---- persistence

    def _persist(self, *records: Record) -> None:
        last = self._actions[-1] if self._actions else None
        if isinstance(last, Persist):
            self._actions[-1] = Persist(last.records + records, last.replace_all)
        else:
            self._actions.append(Persist(records))

    def _persist_all(self) -> None:
        self._actions.append(
            Persist(
                (
                    Promise(self.term, self.voted_for, self.incarnation),
                    self.floor,
                    self.snapshot,
                    *(EntryRecord(self.snapshot.index + 1 + n, e) for n, e in enumerate(self.log)),
                ),
                True,
            )
        )

    def _set_term(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._persist(Promise(term, voted_for, self.incarnation))

    def _write_entries(self, entries: list[tuple[int, Entry]]) -> None:
        for index, entry in entries:
            del self.log[index - self.snapshot.index - 1 :]
            self.log.append(entry)
        self._persist(*(EntryRecord(index, entry) for index, entry in entries))

    # ---- recovery

    def _other_voters(self) -> list[str]:
        return [name for name in self.voters if name != self.name]

    def _request_recovery(self, now: int) -> None:
        self.recovery_retry_at = now + self.timing.heartbeat_interval * 2
        for name in self._other_voters():
            self._send_message(name, RecoveryRequest(self.incarnation, self.recovery_nonce))

    def _on_recovery_request(self, now: int, sender: str, message: RecoveryRequest) -> None:
        incarnation, nonce, known = self.peer_incarnations.get(sender, (0, -1, 0))
        if message.nonce != nonce:
            known = max(known, incarnation)
            self.peer_incarnations[sender] = (message.voter_incarnation, message.nonce, known)
        # sent only after earlier writes are durable, so the reply states what is on disk
        self._send_message(
            sender,
            RecoveryReply(
                message.voter_incarnation,
                known,
                self.term,
                self.last_index,
                self.term_at(self.last_index) or 0,
                not self.recovering,
                self.role is Role.LEADER,
            ),
        )

    def _on_recovery_reply(self, now: int, sender: str, message: RecoveryReply) -> None:
        if message.voter_incarnation != self.incarnation or sender not in self._other_voters():
            return
        self.recovery_replies[sender] = message
        replies, others = self.recovery_replies, self._other_voters()
        if not self.recovering:
            return self._lower_floor()
        # Any quorum with this voter has quorum - 1 other members, so this many replies from recovered voters intersect
        # each such quorum. The leader of the highest term must be among them: it holds every entry that this voter
        # acknowledged and no other voter has yet. If all others replied, nothing more can be learned.
        recovered = [reply for reply in replies.values() if reply.recovered]
        term = max(one.term for one in replies.values())
        enough = len(recovered) >= len(self.voters) - self.quorum + 1 and any(
            reply.is_leader and reply.term == term for reply in recovered
        )
        if enough or all(name in replies for name in others):
            self._finish_recovery(now)

    def _lower_floor(self) -> None:
        """Lower the floor to the longest log that any voter still holds, once all other voters replied.

        The floor may stem from an uncommitted entry whose only holder has lost it since. No log will then ever reach
        the floor, and it would block every election.
        """
        if not all(name in self.recovery_replies for name in self._other_voters()):
            return
        newest = max(
            (self.term_at(self.last_index) or 0, self.last_index),
            *((reply.last_term, reply.last_index) for reply in self.recovery_replies.values()),
        )
        if self._below_floor(*newest):
            self.floor = VoteFloor(newest[1], newest[0])
            self._persist(self.floor)
            self._log_event("floor lowered", ("index", newest[1]), ("term", newest[0]))

    def _finish_recovery(self, now: int) -> None:
        self.recovering = False
        term = max((reply.term for reply in self.recovery_replies.values()), default=0)
        known = max((one.known_incarnation for one in self.recovery_replies.values()), default=0)
        floor = max(((one.last_term, one.last_index) for one in self.recovery_replies.values()), default=(0, 0))
        own = (self.term_at(self.last_index) or 0, self.last_index)
        # this voter may already have voted in any term that a reply names
        if term > self.term:
            self._set_term(term, "?")
        elif term == self.term and not self.voted_for and self.recovery_replies:
            self._set_term(term, "?")
        if floor > (self.floor.term, self.floor.index):
            self.floor = VoteFloor(floor[1], floor[0])
            self._persist(self.floor)
        condition = "as it was left"
        if known >= self.incarnation:
            condition = "an older copy, or none"
            self.incarnation = known + 1
            self._persist(Promise(self.term, self.voted_for, self.incarnation))
        elif floor > own:
            condition = "behind the others"
        self._log_event(
            "voter recovered",
            ("folder", condition),
            ("term", self.term),
            ("life", self.incarnation),
            ("floor", self.floor.index),
            ("last", self.last_index),
        )
        # a leader may have been heard just before the crash, which forbids voting for the minimum election timeout
        self.leader_heard_at = now
        self.election_at = now + self._draw_election_timeout()

    # ---- timers

    def _draw_election_timeout(self) -> int:
        return self.rng.randint(self.timing.min_election_timeout, self.timing.max_election_timeout)

    def wake(self, now: int) -> None:
        """Run the timers that are due."""
        self._now = now
        due = self.next_wake()
        if now - due > CLOCK_STALL_THRESHOLD:
            # the process was suspended: unread messages may include heartbeats, so do not call an election yet
            self.election_at = max(self.election_at, now + self.timing.heartbeat_interval)
        if self.recovering:
            if now >= self.recovery_retry_at:
                self._request_recovery(now)
            return
        if self.role is Role.LEADER:
            if now >= self.heartbeat_at:
                self._broadcast(now)
            if now >= self.election_at:
                self._check_quorum(now)
        elif now >= self.election_at:
            self._start_election(now, True)

    def _check_quorum(self, now: int) -> None:
        """Step down if no quorum has answered within the maximum election timeout.

        The others then elect another leader, and this one must no longer report itself as the leader.
        """
        responsive = [
            peer
            for name, peer in self.peers.items()
            if name in self.voters
            and now - self.round_sent_at.get(peer.acked_round, -self.timing.max_election_timeout * 9)
            < self.timing.max_election_timeout
        ]
        if len(responsive) + (self.name in self.voters) < self.quorum:
            self._log_event("leader steps down", ("term", self.term), ("why", "no quorum answers"))
            self._become_follower(now, "")
        else:
            self.election_at = now + self.timing.max_election_timeout

    # ---- elections

    def _start_election(self, now: int, pre_vote: bool) -> None:
        self.election_at = now + self._draw_election_timeout()
        self.leader = ""
        if self._below_floor(self.term_at(self.last_index) or 0, self.last_index):
            # perhaps no voter holds the entry behind the floor any more: ask all of them again
            self.recovery_replies.clear()
            self._request_recovery(now)
            return
        if self.name not in self.voters:
            return
        if pre_vote:
            self.role, self.votes = Role.PRE_CANDIDATE, {self.name}
        else:
            self._set_term(self.term + 1, self.name)
            self.role, self.votes = Role.CANDIDATE, {self.name}
        term, self.vote_nonce = self.term + 1 if pre_vote else self.term, self.rng.getrandbits(62)
        for name in self._other_voters():
            self._send_message(
                name, RequestVote(term, self.last_index, self.term_at(self.last_index) or 0, pre_vote, self.vote_nonce)
            )
        self._count_votes(now)

    def _below_floor(self, last_term: int, last_index: int) -> bool:
        return (last_term, last_index) < (self.floor.term, self.floor.index)

    def _on_request_vote(self, now: int, sender: str, message: RequestVote) -> None:
        # no votes while a leader is heard; the leader's lease relies on this
        if (
            self.recovering
            or sender not in self.voters
            or self.role is Role.LEADER
            and self.holds_lease(now)
            or self.role is not Role.LEADER
            and now - self.leader_heard_at < self.timing.min_election_timeout
        ):
            return
        candidate_last = (message.last_term, message.last_index)
        up_to_date = candidate_last >= (self.term_at(self.last_index) or 0, self.last_index) and not self._below_floor(
            *candidate_last
        )
        if message.pre_vote:
            granted = up_to_date and message.term > self.term
            self._send_message(sender, VoteReply(message.term if granted else self.term, True, granted, message.nonce))
            return
        if message.term > self.term:
            self._enter_term(now, message.term)
        granted = message.term == self.term and up_to_date and self.voted_for in ("", sender)
        if granted:
            self._set_term(self.term, sender)
            self.election_at = now + self._draw_election_timeout()
        self._send_message(sender, VoteReply(self.term, False, granted, message.nonce))

    def _on_vote_reply(self, now: int, sender: str, message: VoteReply) -> None:
        if message.term > self.term + (1 if message.pre_vote and message.granted else 0):
            self._enter_term(now, message.term)
            return
        expected = (
            self.role is Role.PRE_CANDIDATE
            and message.pre_vote
            and message.term == self.term + 1
            or self.role is Role.CANDIDATE
            and not message.pre_vote
            and message.term == self.term
        )
        if expected and message.granted and message.nonce == self.vote_nonce and sender in self.voters:
            self.votes.add(sender)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if len(self.votes & set(self.voters)) < self.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now, False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _enter_term(self, now: int, term: int) -> None:
        """Adopt a higher term as a follower."""
        self._set_term(term, "")
        self._become_follower(now, "")

    def _become_follower(self, now: int, leader: str) -> None:
        if self.role is Role.LEADER:
            self.peers.clear()
            self.round_sent_at.clear()
            self._proposed_at.clear()
            self.election_at = now + self._draw_election_timeout()
        self.role, self.leader = Role.FOLLOWER, leader

    def _become_leader(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self.peers = {name: PeerProgress(self.last_index + 1) for name in self._other_voters()}
        self.round_sent_at.clear()
        self.election_at = now + self.timing.max_election_timeout
        self._log_event("leads", ("term", self.term), ("last", self.last_index))
        self.term_start_index = self.last_index + 1
        self._write_entries([(self.term_start_index, Entry(self.term, EntryKind.NOOP, b""))])
        self._broadcast(now)
        self._advance_commit(now)

    # ---- the log

    def _broadcast(self, now: int) -> None:
        self.heartbeat_at = now + self.timing.heartbeat_interval
        self.round += 1
        self.round_sent_at[self.round] = now
        for round_ in [n for n, at in self.round_sent_at.items() if now - at > 4 * self.timing.max_election_timeout]:
            del self.round_sent_at[round_]
        for name in self._other_voters():
            self._replicate_to(now, name)

    def _replicate_to(self, now: int, name: str) -> None:
        peer = self.peers.setdefault(name, PeerProgress(self.last_index + 1))
        peer.sent_at = now
        prev = peer.next_index - 1
        term = self.term_at(prev)
        if term is None:
            self._send_message(name, InstallSnapshot(self.term, self.snapshot, self.round))
            return
        self._send_message(
            name,
            AppendEntries(self.term, prev, term, batch(self.log, prev - self.snapshot.index), self.commit, self.round),
        )

    def _on_append_entries(self, now: int, sender: str, message: AppendEntries) -> None:
        if not self._accept_leader(now, sender, message.term, message.round):
            return
        prev, own_term = message.prev_index, self.term_at(message.prev_index)
        if prev < self.snapshot.index:
            # entries up to the snapshot are committed, so the leader has the same ones
            own_term, prev = self.snapshot.term, self.snapshot.index
            message = AppendEntries(
                message.term,
                prev,
                own_term,
                message.entries[prev - message.prev_index :],
                message.commit,
                message.round,
            )
        if own_term != message.prev_term:
            hint = min(self.last_index, prev - 1)
            while hint > self.commit and self.term_at(hint) == own_term and own_term is not None:
                hint -= 1
            self._send_message(sender, AppendReply(self.term, False, max(hint, self.commit), message.round))
            return
        new = [(prev + 1 + n, e) for n, e in enumerate(message.entries)]
        first_new = next((k for k, (index, e) in enumerate(new) if self.term_at(index) != e.term), len(new))
        if new[first_new:]:
            if new[first_new][0] <= self.commit:
                raise AssertionError(f"entry {new[first_new][0]} is committed here and differs at {sender}")
            self._write_entries(new[first_new:])
        last = prev + len(message.entries)
        self._commit_to(min(message.commit, last))
        self._send_message(sender, AppendReply(self.term, True, last, message.round))

    def _on_install_snapshot(self, now: int, sender: str, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, sender, message.term, message.round):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            matches = self.term_at(snapshot.index) == snapshot.term
            self.log = self.log[snapshot.index - self.snapshot.index :] if matches else []
            self.snapshot = snapshot
            self.commit = self.applied = snapshot.index
            self._persist_all()
            self._actions.append(Restore(snapshot))
        self._send_message(sender, AppendReply(self.term, True, snapshot.index, message.round))

    def _accept_leader(self, now: int, sender: str, term: int, round_: int) -> bool:
        """Whether to accept a message from the leader of `term`; adopts that leader and restarts the election timer."""
        if term < self.term:
            if not self.recovering:
                self._send_message(sender, AppendReply(self.term, False, self.commit, round_))
            return False
        if self.recovering:
            return False  # an acknowledgement could break a promise that was lost with the store
        if term > self.term:
            self._set_term(term, "")
        self._become_follower(now, sender)
        self.leader_heard_at = now
        self.election_at = now + self._draw_election_timeout()
        return True

    def _on_append_reply(self, now: int, sender: str, message: AppendReply) -> None:
        if message.term > self.term:
            self._enter_term(now, message.term)
            return
        peer = self.peers.get(sender)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return
        peer.acked_round = max(peer.acked_round, message.round)
        if message.success:
            peer.match_index = max(peer.match_index, message.index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit(now)
        else:
            # a voter that lost its log store has fewer entries than it acknowledged before
            peer.match_index = min(peer.match_index, message.index)
            peer.next_index = max(peer.match_index + 1, min(message.index + 1, peer.next_index - 1))
        if (
            self.role is Role.LEADER
            and peer.next_index <= self.last_index
            and (not message.success or message.index < self.last_index)
        ):
            self._replicate_to(now, sender)

    def _advance_commit(self, now: int) -> None:
        """Commit up to the newest entry that a quorum holds, if it is of this term (Raft, section 5.4.2)."""
        while True:
            voters = self.voters
            match_indices = sorted(
                [
                    self.last_index if name == self.name else self.peers[name].match_index if name in self.peers else 0
                    for name in voters
                ],
                reverse=True,
            )
            index = match_indices[self.quorum - 1]
            if index <= self.commit or self.term_at(index) != self.term:
                return
            self._commit_to(index)
            if self.name not in self.voters:
                self._log_event("leader steps down", ("term", self.term), ("why", "no voter any more"))
                self._become_follower(now, "")
                return

    def _commit_to(self, index: int) -> None:
        self.commit = max(self.commit, index)
        while self.applied < self.commit:
            self.applied += 1
            proposed_at = self._proposed_at.pop(self.applied, None)
            if proposed_at is not None:
                self.proposal_time.record(self.applied, proposed_at)
            self._actions.append(Apply(self.applied, self.log[self.applied - self.snapshot.index - 1]))

    # ---- messages

    def hear(self, now: int, sender: str, message: Message) -> None:
        """Handle a message from another gateway."""
        self._now = now
        if isinstance(message, FetchRequest):
            self._send_message(sender, self.fetch_reply(now, message))
            if sender not in self.voters:
                self.subscribers.subscribe(now, sender, min(self.commit, self.proposal_time.index))
        elif isinstance(message, RecoveryRequest):
            self._on_recovery_request(now, sender, message)
        elif isinstance(message, RecoveryReply):
            self._on_recovery_reply(now, sender, message)
        elif isinstance(message, AppendEntries):
            self._on_append_entries(now, sender, message)
        elif isinstance(message, InstallSnapshot):
            self._on_install_snapshot(now, sender, message)
        elif self.recovering:
            return
        elif isinstance(message, RequestVote):
            self._on_request_vote(now, sender, message)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(now, sender, message)
        elif isinstance(message, AppendReply):
            self._on_append_reply(now, sender, message)

    def _send_message(self, to: str, message: Message) -> None:
        self._actions.append(SendMessage(to, message))

    def _log_event(self, event: str, *fields: tuple[str, str | int]) -> None:
        self._actions.append(ReplicaLogLine(event, fields))


def decode_voters(data: bytes) -> tuple[str, ...]:
    """The names in the data of a configuration entry."""
    return tuple(data.decode().split("\n"))


def batch(log: list[Entry], start: int, max_entries: int = MAX_BATCH_ENTRIES) -> tuple[Entry, ...]:
    """Entries of `log` from position `start` on, as many as fit into one message."""
    entries: list[Entry] = []
    size = 0
    for entry in log[start : start + max_entries]:
        size += len(entry.data) + 16
        if entries and size > MAX_BATCH_BYTES:
            break
        entries.append(entry)
    return tuple(entries)


def fetch_reply(
    request: FetchRequest, snapshot: Snapshot, log: list[Entry], commit: int, leader: str, dated_index: int, age: int
) -> FetchReply:
    """The committed entries after the requested index; preceded by the snapshot if the log starts later."""
    committed = log[: max(0, commit - snapshot.index)]
    if request.index < snapshot.index:
        return FetchReply(
            snapshot, snapshot.index, batch(committed, 0), commit, leader, dated_index, age, request.request_id
        )
    return FetchReply(
        None,
        request.index,
        batch(committed, request.index - snapshot.index),
        commit,
        leader,
        dated_index,
        age,
        request.request_id,
    )


class ProposalTime:
    """The earliest possible proposal time, on this gateway's clock, of the newest entry for which one is known.

    Gateways' clocks are not comparable, and a message may wait in a socket for long. But a gateway knows when it sent
    a fetch request, and an entry is at least as old as the age in the reply, counted from the request. So the age of an
    entry is never underestimated. Only the leader that proposed an entry knows its proposal time; for entries of former
    leaders nobody does.
    """

    def __init__(self) -> None:
        self.index = 0
        self.at = 0

    def record(self, index: int, at: int) -> None:
        """Note that the entry `index` was proposed at `at` or later."""
        if index > self.index or index == self.index and at > self.at:
            self.index, self.at = index, at

    def newest_age(self, now: int) -> tuple[int, int]:
        """The index of the newest entry whose age is known, and its greatest possible age (ns); (0, 0) if none."""
        return self.index, max(0, now - self.at) if self.index else 0
