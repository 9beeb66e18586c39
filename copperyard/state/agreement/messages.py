"""What voters and followers say, and what a voter keeps. Types only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Kind(IntEnum):
    """What an entry of the log is."""

    BEGIN = 0  # a leader's first entry: what stands before it is committed with it
    DATA = 1
    VOTERS = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry. For VOTERS `data` is their names, joined by newlines."""

    term: int
    kind: Kind
    data: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All up to `index` in one piece; `voters` are those in force there."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class Poll:
    """Vote for me in `term`. `pre`: would you, if I asked? Nothing is promised by that. `ask` is drawn and comes back:
    a vote that was asked for by an earlier life, with another log, must not count for this one."""

    term: int
    last_index: int
    last_term: int
    pre: bool
    ask: int


@dataclass(frozen=True, slots=True)
class Ballot:
    """The answer to a Poll of that term."""

    term: int
    pre: bool
    granted: bool
    ask: int


@dataclass(frozen=True, slots=True)
class Append:
    """Entries that follow on `prev`; without any, a sign of life. `round` comes back in the answer: it says which
    sending of the leader's the answer proves to have been heard."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class Install:
    """A snapshot, for who lacks what the log no longer holds."""

    term: int
    snapshot: Snapshot
    round: int


@dataclass(frozen=True, slots=True)
class Taken:
    """The answer to Append and Install: up to `index` the log is the leader's, or (not ok) may be."""

    term: int
    ok: bool
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class Recall:
    """I started. What do you know that I may have promised and forgotten? `start` is drawn once a start: asking again
    is no other life."""

    life: int
    start: int


@dataclass(frozen=True, slots=True)
class Recalled:
    """The answer. `known`: the highest life of the asker that this voter heard of before this start; `sure`: this
    voter itself has recovered; `leads`: it leads in `term`."""

    life: int
    known: int
    term: int
    last_index: int
    last_term: int
    sure: bool
    leads: bool


@dataclass(frozen=True, slots=True)
class Since:
    """A follower asks for what was committed after `index`. `ask` is the asker's own and comes back: an answer's age is
    counted from the question that it answers, and not from a later one to the same."""

    index: int
    ask: int = 0


@dataclass(frozen=True, slots=True)
class News:
    """What was committed: `snapshot` where the log no longer reaches back that far, then entries after `index`.
    The entry `dated` was proposed at most `age` ns before this was sent; 0: the sender knows no such time."""

    snapshot: Snapshot | None
    index: int
    entries: tuple[Entry, ...]
    commit: int
    leader: str
    dated: int
    age: int
    ask: int = 0


@dataclass(frozen=True, slots=True)
class Newer:
    """I hold what was committed up to `index`; ask me. It carries no entry and no date, so nothing is taken for younger
    than it is however long this lay in a socket: who lacks that much asks, and counts from its own question."""

    index: int


Message = Poll | Ballot | Append | Install | Taken | Recall | Recalled | Since | News | Newer


# ---- what a voter keeps


@dataclass(frozen=True, slots=True)
class Vow:
    """The term, whom the vote of it went to (empty: nobody), and the number of this voter's life."""

    term: int
    vote: str
    life: int


@dataclass(frozen=True, slots=True)
class Written:
    """The entry at `index`; whatever was there or after it is gone."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Floor:
    """After a recovery: no vote for a log that ends before this one did."""

    index: int
    term: int


Record = Vow | Written | Floor | Snapshot
