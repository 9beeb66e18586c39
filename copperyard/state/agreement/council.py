"""A voter of the council: one replicated log, so that every gateway follows the same history of decisions.

After Raft (Ongaro, Ousterhout 2014; Ongaro 2014 for changes of voters, pre-vote, check of quorum and leases). What is
done otherwise, and why:

- A voter that starts does not trust its folder. It may be an older copy, or gone, and then the voter could vote twice
  in a term or help to forget what was committed; an older copy looks from within like the newest. So each start
  recovers as in Viewstamped Replication (Liskov, Cowling 2012): it votes and acknowledges only after others told what
  it may have promised. See `_on_recalled`.
- Nothing here is durable when it returns. `take` gives orders in a row; a message after a Keep may leave only once the
  Keep is on disk. That includes what is applied.

Time is ns of this process's clock, which may run faster or slower than others' by at most `drift`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .listeners import Listeners
from .messages import (
    Append,
    Ballot,
    Entry,
    Floor,
    Install,
    Kind,
    Message,
    Newer,
    News,
    Poll,
    Recall,
    Recalled,
    Record,
    Since,
    Snapshot,
    Taken,
    Vow,
    Written,
)

MS = 1_000_000
MOST_VOTERS = 9  # four of them may die, or any of five zones; with more each decision waits for more
BATCH = 64  # entries in one message
BATCH_BYTES = 256 * 1024
LOG_MOST = 256  # entries after which a snapshot is made
QUEUE_MOST = 64  # entries that may wait for their commit
STOOD = 500 * MS


@dataclass(frozen=True, slots=True)
class Beat:
    """Times in ns: a leader's signs of life, the least and most time without one after which a voter asks for votes,
    and the most by which a clock gains or loses in a second."""

    heart: int = 250 * MS
    least: int = 1500 * MS
    most: int = 3000 * MS
    drift: float = 0.05


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # would it be elected?
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Say:
    """Send a message; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Keep:
    """Write these records durably before anything that follows is done. `anew`: they replace all."""

    records: tuple[Record, ...]
    anew: bool = False


@dataclass(frozen=True, slots=True)
class Apply:
    """This entry is committed."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    """All up to the snapshot's index is what it says."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Tell:
    """A line for the log."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


Order = Say | Keep | Apply | Restore | Tell


@dataclass(slots=True)
class Kept:
    """What a shelf held at the start."""

    vow: Vow = Vow(0, "", 0)
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    log: list[Entry] = field(default_factory=list)
    floor: Floor = Floor(0, 0)

    @classmethod
    def read(cls, records: Iterable[Record]) -> Kept:
        """Put records together. ValueError where they do not follow on each other: a shelf that lost some."""
        kept = cls()
        for one in records:
            if isinstance(one, Vow):
                kept.vow = one
            elif isinstance(one, Floor):
                kept.floor = one
            elif isinstance(one, Snapshot):
                after = one.index - kept.snapshot.index
                kept.log = kept.log[after:] if 0 <= after <= len(kept.log) else []
                kept.snapshot = one
            else:
                at = one.index - kept.snapshot.index - 1
                if not 0 <= at <= len(kept.log):
                    raise ValueError(f"entry {one.index} follows on {kept.snapshot.index + len(kept.log)}")
                del kept.log[at:]
                kept.log.append(one.entry)
        return kept


@dataclass(slots=True)
class Peer:
    """What a leader knows of another voter."""

    next: int
    match: int = 0
    round: int = 0  # the newest round that it has answered
    sent: int = -1  # when something was last sent


class Council:
    """One voter. `voters` are those of the settings, in force until the log says otherwise. `state` gives what is to
    stand in a snapshot: all that was applied so far. `trusted`: an operator vouches for the folder."""

    def __init__(
        self, me: str, voters: Iterable[str], kept: Kept, beat: Beat, seed: int, now: int, trusted: bool = False
    ) -> None:
        self.me, self.beat = me, beat
        self.random = random.Random(seed)
        self.first_voters = tuple(sorted(voters))
        self.term, self.vote = kept.vow.term, kept.vow.vote
        self.life = kept.vow.life + 1
        self.snapshot, self.log, self.floor = kept.snapshot, list(kept.log), kept.floor
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = kept.snapshot.index
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.asked = 0
        self.rounds: dict[int, int] = {}  # when each round that may still be answered was sent
        self.round = 0
        self.began = 0  # index of this leader's first entry
        self.lives: dict[str, tuple[int, int, int]] = {}  # life, start, the highest life before it
        self.dates = Dates()
        self.listeners = Listeners()
        self._now = now  # of the last call
        self._pending: dict[int, int] = {}  # when this leader proposed what is not committed yet
        self.recovering = True
        self.recalled: dict[str, Recalled] = {}
        self.recall_at = now
        self.heard = now - 2 * beat.most  # when a leader was last heard
        self.start = self.random.getrandbits(62)
        self.elect_at = now + self._patience()
        self.heart_at = now
        self._out: list[Order] = []
        self._keep(Vow(self.term, self.vote, self.life))
        if self.snapshot.index:
            self._out.append(Restore(self.snapshot))
        if trusted or not self._others():
            self._recovered(now)

    # ---- what others ask of this object

    def take(self) -> list[Order]:
        """Orders since the last call; what follows a Keep waits for it. Followers that asked of late are told where
        more is committed; voters hear of that by what they are sent as voters."""
        for name in self.listeners.due(self._now, self.commit, self.dates.index):
            self._say(name, Newer(self.listeners.index))
        out, self._out = self._out, []
        return out

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where this log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    @property
    def voters(self) -> tuple[str, ...]:
        """Those of the newest entry that names them, committed or not."""
        for entry in reversed(self.log):
            if entry.kind is Kind.VOTERS:
                return names(entry.data)
        return self.snapshot.voters or self.first_voters

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def lease(self, now: int) -> bool:
        """Whether this voter leads and nobody else can: a quorum heard it so lately that none of them votes yet,
        even if all clocks are as far apart as they may be."""
        if self.role is not Role.LEADER or self.commit < self.began:
            return False
        heard = sorted(
            [self.rounds.get(p.round, -1) for name, p in self.peers.items() if name in self.voters]
            + ([now] if self.me in self.voters else []),
            reverse=True,
        )
        if len(heard) < self.quorum or heard[self.quorum - 1] < 0:
            return False
        return now - heard[self.quorum - 1] < self.beat.least * (1 - 2 * self.beat.drift)

    def propose(self, now: int, data: bytes) -> int | None:
        """Put an entry into the log; its index, or None where this voter may not: it does not lead, or too much
        waits."""
        return self._propose(now, Entry(self.term, Kind.DATA, data))

    def propose_voters(self, now: int, voters: Iterable[str]) -> int | None:
        """Change the voters by one. None where that cannot be now; ValueError for a change of more."""
        new = tuple(sorted(set(voters)))
        if len(set(new) ^ set(self.voters)) > 1 or not new:
            raise ValueError(f"voters change one at a time: {', '.join(self.voters)} to {', '.join(new)}")
        waits = any(e.kind is Kind.VOTERS for e in self.log[self.commit - self.snapshot.index :])
        # before a leader's first entry is committed another one may still change the voters (Ongaro, 2015)
        if waits or self.commit < self.began:
            return None
        return self._propose(now, Entry(self.term, Kind.VOTERS, "\n".join(new).encode()))

    def _propose(self, now: int, entry: Entry) -> int | None:
        if self.role is not Role.LEADER or self.last - self.commit >= QUEUE_MOST:
            return None
        self._now = now
        self._write([(self.last + 1, entry)])
        index = self.last
        self._pending[index] = now
        self._send_all(now)
        self._advance(now)
        return index

    def next_wake(self) -> int:
        if self.recovering:
            return self.recall_at
        if self.role is Role.LEADER:
            return min(self.heart_at, self.elect_at)
        return self.elect_at

    def compact(self, data: bytes) -> None:
        """All that was applied is in `data`: the log before it may go. Called where `wants_snapshot` says so."""
        term = self.term_at(self.applied)
        assert term is not None
        voters = self._voters_at(self.applied)
        self.log = self.log[self.applied - self.snapshot.index :]
        self.snapshot = Snapshot(self.applied, term, voters, data)
        self._keep_anew()

    @property
    def wants_snapshot(self) -> bool:
        return self.applied - self.snapshot.index >= LOG_MOST

    def _voters_at(self, index: int) -> tuple[str, ...]:
        for entry in reversed(self.log[: index - self.snapshot.index]):
            if entry.kind is Kind.VOTERS:
                return names(entry.data)
        return self.snapshot.voters or self.first_voters

    def news(self, now: int, since: Since) -> News:
        """What a follower that asks so lacks."""
        dated, age = self.dates.told(now)
        return news(since, self.snapshot, self.log, self.commit, self.leader, dated, age)

    # ---- what is durable

    def _keep(self, *records: Record) -> None:
        last = self._out[-1] if self._out else None
        if isinstance(last, Keep):
            self._out[-1] = Keep(last.records + records, last.anew)
        else:
            self._out.append(Keep(records))

    def _keep_anew(self) -> None:
        self._out.append(
            Keep(
                (
                    Vow(self.term, self.vote, self.life),
                    self.floor,
                    self.snapshot,
                    *(Written(self.snapshot.index + 1 + n, e) for n, e in enumerate(self.log)),
                ),
                True,
            )
        )

    def _vow(self, term: int, vote: str) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self._keep(Vow(term, vote, self.life))

    def _write(self, entries: list[tuple[int, Entry]]) -> None:
        for index, entry in entries:
            del self.log[index - self.snapshot.index - 1 :]
            self.log.append(entry)
        self._keep(*(Written(index, entry) for index, entry in entries))

    # ---- starting

    def _others(self) -> list[str]:
        return [name for name in self.voters if name != self.me]

    def _recall(self, now: int) -> None:
        self.recall_at = now + self.beat.heart * 2
        for name in self._others():
            self._say(name, Recall(self.life, self.start))

    def _on_recall(self, now: int, sender: str, message: Recall) -> None:
        life, start, known = self.lives.get(sender, (0, -1, 0))
        if message.start != start:
            known = max(known, life)
            self.lives[sender] = (message.life, message.start, known)
        # an answer tells what is on the disk: it comes after all that was kept before
        self._say(
            sender,
            Recalled(
                message.life,
                known,
                self.term,
                self.last,
                self.term_at(self.last) or 0,
                not self.recovering,
                self.role is Role.LEADER,
            ),
        )

    def _on_recalled(self, now: int, sender: str, message: Recalled) -> None:
        if message.life != self.life or sender not in self._others():
            return
        self.recalled[sender] = message
        answers, others = self.recalled, self._others()
        if not self.recovering:
            return self._lower_floor()
        # A quorum that this voter was part of has quorum - 1 others in it; so many sure answers meet each such quorum.
        # Whoever leads the highest term must be among them: what this voter acknowledged and nobody else has yet, it
        # has. Where all others answered, whatever any of them knows is known.
        sure = [one for one in answers.values() if one.sure]
        term = max(one.term for one in answers.values())
        met = len(sure) >= len(self.voters) - self.quorum + 1 and any(a.leads and a.term == term for a in sure)
        if met or all(name in answers for name in others):
            self._recovered(now)

    def _lower_floor(self) -> None:
        """A floor may come from an entry that was never committed and that its only holder has lost since. Where all
        voters were asked and none holds as much, none ever will, and a floor would keep the council from electing."""
        if not all(name in self.recalled for name in self._others()):
            return
        most = max(
            (self.term_at(self.last) or 0, self.last),
            *((one.last_term, one.last_index) for one in self.recalled.values()),
        )
        if self._under_floor(*most):
            self.floor = Floor(most[1], most[0])
            self._keep(self.floor)
            self._tell("floor lowered", ("index", most[1]), ("term", most[0]))

    def _recovered(self, now: int) -> None:
        self.recovering = False
        term = max((one.term for one in self.recalled.values()), default=0)
        known = max((one.known for one in self.recalled.values()), default=0)
        floor = max(((one.last_term, one.last_index) for one in self.recalled.values()), default=(0, 0))
        own = (self.term_at(self.last) or 0, self.last)
        # in any term heard of, this voter's vote may be given already
        if term > self.term:
            self._vow(term, "?")
        elif term == self.term and not self.vote and self.recalled:
            self._vow(term, "?")
        if floor > (self.floor.term, self.floor.index):
            self.floor = Floor(floor[1], floor[0])
            self._keep(self.floor)
        what = "as it was left"
        if known >= self.life:
            what = "an older copy, or none"
            self.life = known + 1
            self._keep(Vow(self.term, self.vote, self.life))
        elif floor > own:
            what = "behind the others"
        self._tell(
            "voter recovered",
            ("folder", what),
            ("term", self.term),
            ("life", self.life),
            ("floor", self.floor.index),
            ("last", self.last),
        )
        # the promise not to vote for a while after hearing a leader may have been given just before the end
        self.heard = now
        self.elect_at = now + self._patience()

    # ---- time

    def _patience(self) -> int:
        return self.random.randint(self.beat.least, self.beat.most)

    def wake(self, now: int) -> None:
        """Time has passed."""
        self._now = now
        due = self.next_wake()
        if now - due > STOOD:
            # this process stood still: it has not heard what lies unread, and is no judge of a leader's silence
            self.elect_at = max(self.elect_at, now + self.beat.heart)
        if self.recovering:
            if now >= self.recall_at:
                self._recall(now)
            return
        if self.role is Role.LEADER:
            if now >= self.heart_at:
                self._send_all(now)
            if now >= self.elect_at:
                self._check_quorum(now)
        elif now >= self.elect_at:
            self._ask(now, True)

    def _check_quorum(self, now: int) -> None:
        """A leader that a quorum does not answer stops being one: its followers elect another, and whoever asks it
        must not believe that it still leads."""
        lately = [
            p
            for name, p in self.peers.items()
            if name in self.voters and now - self.rounds.get(p.round, -self.beat.most * 9) < self.beat.most
        ]
        if len(lately) + (self.me in self.voters) < self.quorum:
            self._tell("leader steps down", ("term", self.term), ("why", "no quorum answers"))
            self._follow(now, "")
        else:
            self.elect_at = now + self.beat.most

    # ---- elections

    def _ask(self, now: int, pre: bool) -> None:
        self.elect_at = now + self._patience()
        self.leader = ""
        if self._under_floor(self.term_at(self.last) or 0, self.last):
            # perhaps nobody has any more what the floor stands for: asked again, all of them
            self.recalled.clear()
            self._recall(now)
            return
        if self.me not in self.voters:
            return
        if pre:
            self.role, self.votes = Role.ASKING, {self.me}
        else:
            self._vow(self.term + 1, self.me)
            self.role, self.votes = Role.CANDIDATE, {self.me}
        term, self.asked = self.term + 1 if pre else self.term, self.random.getrandbits(62)
        for name in self._others():
            self._say(name, Poll(term, self.last, self.term_at(self.last) or 0, pre, self.asked))
        self._count(now)

    def _under_floor(self, last_term: int, last_index: int) -> bool:
        return (last_term, last_index) < (self.floor.term, self.floor.index)

    def _on_poll(self, now: int, sender: str, message: Poll) -> None:
        # whoever hears a leader does not depose it; that is also what a leader's lease rests on
        if (
            self.recovering
            or sender not in self.voters
            or self.role is Role.LEADER
            and self.lease(now)
            or self.role is not Role.LEADER
            and now - self.heard < self.beat.least
        ):
            return
        theirs = (message.last_term, message.last_index)
        good = theirs >= (self.term_at(self.last) or 0, self.last) and not self._under_floor(*theirs)
        if message.pre:
            granted = good and message.term > self.term
            self._say(sender, Ballot(message.term if granted else self.term, True, granted, message.ask))
            return
        if message.term > self.term:
            self._new_term(now, message.term)
        granted = message.term == self.term and good and self.vote in ("", sender)
        if granted:
            self._vow(self.term, sender)
            self.elect_at = now + self._patience()
        self._say(sender, Ballot(self.term, False, granted, message.ask))

    def _on_ballot(self, now: int, sender: str, message: Ballot) -> None:
        if message.term > self.term + (1 if message.pre and message.granted else 0):
            self._new_term(now, message.term)
            return
        asked = (
            self.role is Role.ASKING
            and message.pre
            and message.term == self.term + 1
            or self.role is Role.CANDIDATE
            and not message.pre
            and message.term == self.term
        )
        if asked and message.granted and message.ask == self.asked and sender in self.voters:
            self.votes.add(sender)
            self._count(now)

    def _count(self, now: int) -> None:
        if len(self.votes & set(self.voters)) < self.quorum:
            return
        if self.role is Role.ASKING:
            self._ask(now, False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _new_term(self, now: int, term: int) -> None:
        """A higher term is heard of: whatever this voter was, it follows."""
        self._vow(term, "")
        self._follow(now, "")

    def _follow(self, now: int, leader: str) -> None:
        if self.role is Role.LEADER:
            self.peers.clear()
            self.rounds.clear()
            self._pending.clear()
            self.elect_at = now + self._patience()
        self.role, self.leader = Role.FOLLOWER, leader

    def _lead(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.peers = {name: Peer(self.last + 1) for name in self._others()}
        self.rounds.clear()
        self.elect_at = now + self.beat.most
        self._tell("leads", ("term", self.term), ("last", self.last))
        self.began = self.last + 1
        self._write([(self.began, Entry(self.term, Kind.BEGIN, b""))])
        self._send_all(now)
        self._advance(now)

    # ---- the log

    def _send_all(self, now: int) -> None:
        self.heart_at = now + self.beat.heart
        self.round += 1
        self.rounds[self.round] = now
        for old in [n for n, at in self.rounds.items() if now - at > 4 * self.beat.most]:
            del self.rounds[old]
        for name in self._others():
            self._send(now, name)

    def _send(self, now: int, name: str) -> None:
        peer = self.peers.setdefault(name, Peer(self.last + 1))
        peer.sent = now
        prev = peer.next - 1
        term = self.term_at(prev)
        if term is None:
            self._say(name, Install(self.term, self.snapshot, self.round))
            return
        self._say(
            name, Append(self.term, prev, term, batch(self.log, prev - self.snapshot.index), self.commit, self.round)
        )

    def _on_append(self, now: int, sender: str, message: Append) -> None:
        if not self._leads(now, sender, message.term, message.round):
            return
        prev, known = message.prev_index, self.term_at(message.prev_index)
        if prev < self.snapshot.index:
            # all up to the snapshot is committed, so it is the leader's as well
            known, prev = self.snapshot.term, self.snapshot.index
            message = Append(
                message.term, prev, known, message.entries[prev - message.prev_index :], message.commit, message.round
            )
        if known != message.prev_term:
            hint = min(self.last, prev - 1)
            while hint > self.commit and self.term_at(hint) == known and known is not None:
                hint -= 1
            self._say(sender, Taken(self.term, False, max(hint, self.commit), message.round))
            return
        new = [(prev + 1 + n, e) for n, e in enumerate(message.entries)]
        fresh = next((k for k, (index, e) in enumerate(new) if self.term_at(index) != e.term), len(new))
        if new[fresh:]:
            if new[fresh][0] <= self.commit:
                raise AssertionError(f"entry {new[fresh][0]} is committed here and differs at {sender}")
            self._write(new[fresh:])
        last = prev + len(message.entries)
        self._commit_to(min(message.commit, last))
        self._say(sender, Taken(self.term, True, last, message.round))

    def _on_install(self, now: int, sender: str, message: Install) -> None:
        if not self._leads(now, sender, message.term, message.round):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            same = self.term_at(snapshot.index) == snapshot.term
            self.log = self.log[snapshot.index - self.snapshot.index :] if same else []
            self.snapshot = snapshot
            self.commit = self.applied = snapshot.index
            self._keep_anew()
            self._out.append(Restore(snapshot))
        self._say(sender, Taken(self.term, True, snapshot.index, message.round))

    def _leads(self, now: int, sender: str, term: int, number: int) -> bool:
        """Whether to take what a leader says."""
        if term < self.term:
            if not self.recovering:
                self._say(sender, Taken(self.term, False, self.commit, number))
            return False
        if self.recovering:
            return False  # an acknowledgement might stand against a promise that was forgotten
        if term > self.term:
            self._vow(term, "")
        self._follow(now, sender)
        self.heard = now
        self.elect_at = now + self._patience()
        return True

    def _on_taken(self, now: int, sender: str, message: Taken) -> None:
        if message.term > self.term:
            self._new_term(now, message.term)
            return
        peer = self.peers.get(sender)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return
        peer.round = max(peer.round, message.round)
        if message.ok:
            peer.match = max(peer.match, message.index)
            peer.next = max(peer.next, peer.match + 1)
            self._advance(now)
        else:
            # one that lost its folder has less than it once said it had
            peer.match = min(peer.match, message.index)
            peer.next = max(peer.match + 1, min(message.index + 1, peer.next - 1))
        if self.role is Role.LEADER and peer.next <= self.last and (not message.ok or message.index < self.last):
            self._send(now, sender)

    def _advance(self, now: int) -> None:
        """Commit what a quorum holds, if the newest of it is of this term (Raft, section 5.4.2)."""
        while True:
            voters = self.voters
            held = sorted(
                [
                    self.last if name == self.me else self.peers[name].match if name in self.peers else 0
                    for name in voters
                ],
                reverse=True,
            )
            index = held[self.quorum - 1]
            if index <= self.commit or self.term_at(index) != self.term:
                return
            self._commit_to(index)
            if self.me not in self.voters:
                self._tell("leader steps down", ("term", self.term), ("why", "no voter any more"))
                self._follow(now, "")
                return

    def _commit_to(self, index: int) -> None:
        self.commit = max(self.commit, index)
        while self.applied < self.commit:
            self.applied += 1
            proposed = self._pending.pop(self.applied, None)
            if proposed is not None:
                self.dates.know(self.applied, proposed)
            self._out.append(Apply(self.applied, self.log[self.applied - self.snapshot.index - 1]))

    # ---- hearing

    def hear(self, now: int, sender: str, message: Message) -> None:
        """A message of another gateway."""
        self._now = now
        if isinstance(message, Since):
            self._say(sender, self.news(now, message))
            if sender not in self.voters:
                self.listeners.asked(now, sender, min(self.commit, self.dates.index))
        elif isinstance(message, Recall):
            self._on_recall(now, sender, message)
        elif isinstance(message, Recalled):
            self._on_recalled(now, sender, message)
        elif isinstance(message, Append):
            self._on_append(now, sender, message)
        elif isinstance(message, Install):
            self._on_install(now, sender, message)
        elif self.recovering:
            return
        elif isinstance(message, Poll):
            self._on_poll(now, sender, message)
        elif isinstance(message, Ballot):
            self._on_ballot(now, sender, message)
        elif isinstance(message, Taken):
            self._on_taken(now, sender, message)

    def _say(self, to: str, message: Message) -> None:
        self._out.append(Say(to, message))

    def _tell(self, event: str, *fields: tuple[str, str | int]) -> None:
        self._out.append(Tell(event, fields))


def names(data: bytes) -> tuple[str, ...]:
    return tuple(data.decode().split("\n"))


def batch(log: list[Entry], start: int, most: int = BATCH) -> tuple[Entry, ...]:
    """Entries from a place of a log on, as many as one message takes."""
    found: list[Entry] = []
    size = 0
    for entry in log[start : start + most]:
        size += len(entry.data) + 16
        if found and size > BATCH_BYTES:
            break
        found.append(entry)
    return tuple(found)


def news(since: Since, snapshot: Snapshot, log: list[Entry], commit: int, leader: str, dated: int, age: int) -> News:
    """What one that asks so lacks of what is committed."""
    done = log[: max(0, commit - snapshot.index)]
    if since.index < snapshot.index:
        return News(snapshot, snapshot.index, batch(done, 0), commit, leader, dated, age, since.ask)
    return News(None, since.index, batch(done, since.index - snapshot.index), commit, leader, dated, age, since.ask)


class Dates:
    """When entries were proposed, as far as this gateway can be sure, on its own clock.

    Clocks of gateways tell nothing to each other; a message may lie in a socket for long. But who asks knows when it
    asked: an answer's entry is no younger than the age in the answer, counted from the question. So an entry's age is
    never taken for less than it is. The leader that proposed an entry knows its time; of entries of former leaders
    nobody does."""

    def __init__(self) -> None:
        self.index = 0
        self.at = 0

    def know(self, index: int, at: int) -> None:
        """The entry `index` was proposed at `at` or later."""
        if index > self.index or index == self.index and at > self.at:
            self.index, self.at = index, at

    def told(self, now: int) -> tuple[int, int]:
        """The newest entry whose age is known, and that age."""
        return self.index, max(0, now - self.at) if self.index else 0
