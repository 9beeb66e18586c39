"""Voters: one history through crashes, pauses, partitions, and restarts with a lost or old log store."""

import pytest

from copperyard.state.agreement.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    EntryRecord,
    Promise,
    RequestVote,
    Snapshot,
    VoteReply,
)
from copperyard.state.agreement.replica import PersistentState, Replica, Role
from tests.agreement.helpers import MS, SECOND, LearnerNode, LinkConditions, World, replica
from tests.agreement.random_faults import run_random_faults


def settled(seed=1, **more):
    """A group of voters with a leader and one committed entry."""
    world = World(seed, **more)
    world.net.run(8 * SECOND)
    assert world.leader()
    world.propose(b"first")
    world.net.run(10 * SECOND)
    assert world.data() == [b"first"]
    return world


def others(world, *names):
    return [name for name in world.voters if name not in names]


def test_a_leader_is_elected_and_its_entry_is_committed_by_all_voters():
    world = settled()
    assert {world.core(n).applied for n in world.voters} == {world.core(world.leader()).last_index}


@pytest.mark.parametrize("seed", range(60))
def test_voters_keep_one_history_under_random_faults(seed):
    assert b"end" in run_random_faults(seed).data()


def test_a_dead_leader_is_replaced_and_its_committed_entries_stay():
    world = settled()
    old = world.leader()
    world.net.kill(old)
    world.net.run(world.net.now + 6 * SECOND)
    assert world.leader() not in (None, old)
    world.propose(b"second")
    world.net.run(world.net.now + SECOND)
    assert world.data() == [b"first", b"second"]


def test_a_leader_on_the_minority_side_loses_its_lease_before_another_is_elected():
    """World.check fails if two voters hold a lease at any step."""
    world = settled()
    old = world.leader()
    world.net.partition([old], others(world, old))
    world.net.run(world.net.now + 8 * SECOND)
    assert world.leader() != old
    assert not world.core(old).holds_lease(world.time(old))
    world.propose(b"large side")
    world.net.run(world.net.now + 2 * SECOND)
    world.net.heal()
    world.net.run(world.net.now + 6 * SECOND)
    assert world.data() == [b"first", b"large side"]
    assert world.core(old).role is Role.FOLLOWER


def test_a_leader_that_can_send_but_not_receive_steps_down():
    world = settled()
    old = world.leader()
    world.net.partition(others(world, old), [old], both=False)
    world.net.run(world.net.now + 12 * SECOND)
    assert world.leader() not in (None, old)


def test_a_leader_suspended_for_five_seconds_commits_nothing_old():
    world = settled()
    old = world.leader()
    world.net.pause(old, 5 * SECOND)
    world.net.run(world.net.now + 4900 * MS)
    assert world.leader() not in (None, old)
    world.propose(b"while it stood")
    world.net.run(world.net.now + 5 * SECOND)
    assert world.core(old).role is Role.FOLLOWER
    assert world.data() == [b"first", b"while it stood"]


def test_no_two_leases_with_clocks_two_seconds_apart_at_the_greatest_drift():
    world = World(5)
    for n, name in enumerate(world.voters):
        core = world.net.nodes[name].core
        world.net.kill(name)
        world.net.add(name, core, ahead=2 * SECOND * n, speed=1 + 0.05 * (n - 1))
    for cut in range(8):
        world.net.run(world.net.now + 7 * SECOND)
        leader = world.leader()
        world.net.heal()
        if leader and cut % 2 == 0:
            world.net.partition([leader], others(world, leader))
    assert len(set(world.leaders.values())) > 1


@pytest.mark.parametrize("copy", ["none", "older"])
def test_a_voter_restarted_with_a_lost_or_old_store_neither_votes_twice_nor_loses_entries(copy):
    """It acknowledged an entry that only the leader holds as well; the leader dies as the voter restarts."""
    world = settled()
    leader = world.leader()
    voter, lagging = others(world, leader)
    older = list(world.stores[voter])
    world.net.partition([lagging], [leader, voter])
    world.propose(b"held by two")
    world.net.run(world.net.now + SECOND)
    assert world.data()[-1] == b"held by two"
    world.net.kill(voter)
    world.stores[voter][:] = older if copy == "older" else []
    world.start(voter)
    world.net.heal()
    world.net.kill(leader)
    world.net.run(world.net.now + 20 * SECOND)
    # neither of the two live voters may lead: only the dead one may know what was promised
    assert world.leader() is None and world.core(voter).recovering
    world.start(leader)
    world.net.run(world.net.now + 15 * SECOND)
    assert world.leader() is not None
    assert world.data() == [b"first", b"held by two"]


class Trusting(Replica):
    """Defect: a voter trusts any log store to be its newest."""

    def __init__(self, me, voters, stored, timing, seed, now, trusted=False):
        super().__init__(me, voters, stored, timing, seed, now, True)


def test_a_voter_that_trusts_a_lost_store_loses_an_entry():
    world = settled()
    leader = world.leader()
    voter, lagging = others(world, leader)
    world.net.partition([lagging], [leader, voter])
    world.propose(b"held by two")
    world.net.run(world.net.now + SECOND)
    world.net.kill(voter)
    world.stores[voter].clear()
    world.make = Trusting
    world.start(voter)
    world.net.heal()
    world.net.kill(leader)
    with pytest.raises(AssertionError):
        world.net.run(world.net.now + 20 * SECOND)
        world.propose(b"other")
        world.net.run(world.net.now + 10 * SECOND)
        assert world.data() == [b"first", b"held by two", b"other"]


@pytest.mark.parametrize(
    ("store", "word"),
    [("same", "as it was left"), ("older", "an older copy, or none"), ("none", "an older copy, or none")],
)
def test_the_condition_of_the_store_is_logged_after_recovery(store, word):
    world = settled()
    voter = others(world, world.leader())[0]
    first = list(world.stores[voter])
    for _ in range(2):
        world.net.kill(voter)
        world.start(voter)
        world.net.run(world.net.now + 3 * SECOND)
    world.net.kill(voter)
    world.stores[voter][:] = {"same": world.stores[voter], "older": first, "none": []}[store]
    said = []
    world.start(voter)
    core = world.core(voter)
    core._log_event = lambda event, *fields: said.append((event, dict(fields)))
    world.net.run(world.net.now + 3 * SECOND)
    assert [f["folder"] for e, f in said if e == "voter recovered"] == [word]


def test_a_trusted_voter_joins_without_recovery_while_another_is_dead():
    world = settled()
    leader = world.leader()
    voter, dead = others(world, leader)
    world.net.kill(dead)
    world.net.kill(voter)
    world.start(voter, trusted=True)
    world.net.run(world.net.now + 6 * SECOND)
    world.propose(b"two of three")
    world.net.run(world.net.now + 2 * SECOND)
    assert world.data()[-1] == b"two of three"


def test_all_voters_restarted_at_once_go_on_from_their_stores():
    world = settled()
    for name in world.voters:
        world.net.kill(name)
    for name in world.voters:
        world.start(name)
    world.net.run(world.net.now + 10 * SECOND)
    world.propose(b"after")
    world.net.run(world.net.now + 2 * SECOND)
    assert world.data() == [b"first", b"after"]


def test_voters_change_one_at_a_time_and_a_removed_leader_steps_down():
    world = settled()
    leader = world.leader()
    core = world.core(leader)
    with pytest.raises(ValueError, match="one at a time"):
        core.propose_voters(world.net.now, ["v0"])
    assert core.propose_voters(world.net.now, others(world, leader)) is not None
    assert core.propose_voters(world.net.now, world.voters) is None  # the first change is not committed yet
    world.net._flush(leader)
    world.net.run(world.net.now + 8 * SECOND)
    assert world.leader() not in (None, leader)
    assert world.core(world.leader()).voters == tuple(others(world, leader))


def test_a_learner_follows_from_a_snapshot_and_never_underestimates_an_age():
    world = settled()
    for _ in range(300):
        world.propose()
        world.net.run(world.net.now + 30 * MS)
    world.net.run(world.net.now + SECOND)
    assert world.core(world.leader()).snapshot.index > 0
    late = LinkConditions(delay=(0, 900 * MS))
    for name in world.voters:
        world.net.link_conditions[name, "l"] = world.net.link_conditions["l", name] = late
    world.net.add("l", LearnerNode(world, "l", list(world.voters)))
    for _ in range(40):
        proposed = world.net.now
        world.propose()
        world.net.run(world.net.now + SECOND)
        learner = world.net.nodes["l"].core.core
        if learner.proposal_time.index == world.core(world.leader()).last_index:
            assert learner.proposal_time.at <= proposed
    assert learner.applied >= world.core(world.leader()).commit - 1


def one(name="v0", records=(), voters=("v0", "v1", "v2")):
    """One recovered voter without a network."""
    core = Replica(name, voters, PersistentState.read(records), replica.ElectionTiming(), 1, 0, trusted=True)
    core.take()
    return core


def test_a_reply_that_promises_something_follows_the_write_of_the_promise():
    core = one()
    core.hear(9 * SECOND, "v1", RequestVote(5, 0, 0, False, 77))
    persist, send = core.take()
    assert isinstance(persist, replica.Persist) and persist.records[-1] == Promise(5, "v1", 1)
    assert send == replica.SendMessage("v1", VoteReply(5, False, True, 77))
    core.hear(9 * SECOND, "v1", AppendEntries(5, 0, 0, (Entry(5, EntryKind.NOOP, b""),), 0, 1))
    persist, send = core.take()
    assert persist == replica.Persist((EntryRecord(1, Entry(5, EntryKind.NOOP, b"")),))
    assert isinstance(send, replica.SendMessage)


def test_one_vote_per_term_also_after_a_restart_with_the_same_store():
    core = one(records=[Promise(5, "v1", 1)])
    core.hear(9 * SECOND, "v2", RequestVote(5, 9, 9, False, 1))
    assert core.take() == [replica.SendMessage("v2", VoteReply(5, False, False, 1))]


def test_a_vote_reply_with_another_nonce_does_not_count():
    core = one()
    core.wake(core.next_wake())
    request = next(o.message for o in core.take() if isinstance(o, replica.SendMessage))
    assert request.pre_vote
    core.hear(20 * SECOND, "v1", VoteReply(request.term, True, True, request.nonce + 1))
    assert core.role is Role.PRE_CANDIDATE
    core.hear(20 * SECOND, "v1", VoteReply(request.term, True, True, request.nonce))
    assert core.role is Role.CANDIDATE


def test_records_with_a_gap_are_refused():
    with pytest.raises(ValueError, match="entry 5 follows on 0"):
        PersistentState.read([EntryRecord(5, Entry(1, EntryKind.DATA, b""))])
    stored = PersistentState.read(
        [
            EntryRecord(1, Entry(1, EntryKind.DATA, b"a")),
            EntryRecord(2, Entry(1, EntryKind.DATA, b"b")),
            EntryRecord(2, Entry(2, EntryKind.DATA, b"c")),
            Snapshot(1, 1, (), b"s"),
        ]
    )
    assert [e.data for e in stored.log] == [b"c"] and stored.snapshot.index == 1


class Forgets(Replica):
    """Defect: a vote is not stored."""

    def _set_term(self, term, vote):
        self.term, self.voted_for = term, vote


class Twice(Replica):
    """Defect: a vote is given to every candidate of the term."""

    def _on_request_vote(self, now, sender, message):
        if not message.pre_vote and message.term == self.term:
            self.voted_for = ""
        super()._on_request_vote(now, sender, message)


class Eager(Replica):
    """Defect: an entry that one voter holds is committed."""

    @property
    def quorum(self):
        return 1 if self.role is Role.LEADER else len(self.voters) // 2 + 1


class Old(Replica):
    """Defect: a candidate whose log is behind gets the vote as well."""

    def _on_request_vote(self, now, sender, message):
        super()._on_request_vote(
            now, sender, RequestVote(message.term, 1 << 40, 1 << 40, message.pre_vote, message.nonce)
        )


@pytest.mark.parametrize("defect", [Forgets, Twice, Eager, Old])
def test_a_planted_defect_is_found_by_random_faults(defect):
    def broke(seed):
        try:
            run_random_faults(seed, make=defect)
        except AssertionError:
            return True
        return False

    assert any(broke(seed) for seed in range(40))
