"""Learners: those that fetched lately get hints of newer entries and fetch them, bad sources delay nobody for long, and
the age of an entry is never underestimated.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.state.agreement import learner, subscribers
from copperyard.state.agreement.learner import Learner, PendingRequests
from copperyard.state.agreement.messages import (
    AppendEntries,
    AppendReply,
    CommitHint,
    Entry,
    EntryKind,
    FetchReply,
    FetchRequest,
    Snapshot,
)
from copperyard.state.agreement.replica import PersistentState, ProposalTime, Replica, SendMessage, fetch_reply
from copperyard.state.agreement.subscribers import Subscribers
from tests.agreement.helpers import MS, SECOND, LinkConditions, World, replica


class Node:
    """A learner on the network. Records what it sends and when it first held each entry with its age."""

    def __init__(self, core, said):
        self.core, self.said = core, said
        self.held = {}  # index: when it was held with its age

    def hear(self, now, sender, message):
        self.core.hear(now, sender, message)

    def wake(self, now):
        self.core.wake(now)

    def next_wake(self):
        return self.core.next_wake()

    def collect(self, now):
        out = [(order.to, order.message) for order in self.core.take() if isinstance(order, SendMessage)]
        self.said += [(now, *one) for one in out]
        if self.core.wants_snapshot:
            self.core.compact(b"all")
        dates = self.core.proposal_time
        if dates.index and dates.index <= self.core.applied:
            self.held.setdefault(dates.index, now)
        return out


class Fleet(World):
    """A leader, and learners. Checked at each step: no learner underestimates the age of an entry."""

    def __init__(self, seed=1, manner=None, voters=1):
        super().__init__(seed, voters, manner)
        self.begun = {}  # index: when it was proposed
        self.learners = {}
        self.asks = self.hints_received = 0
        self.net.run(8 * SECOND)
        assert self.leader()

    def follow(self, name, *sources, make=Learner):
        """Add a learner with these sources, the best first."""
        node = Node(make(lambda: list(sources), self.seed * 1009 + len(self.learners), self.net.now), [])
        self.learners[name] = node
        self.net.add(name, node)
        return node

    def propose(self, data=None):
        name = self.leader()
        self.proposed += 1
        index = self.core(name).propose(self.net.now, data or b"d%d" % self.proposed)
        self.begun[index] = self.net.now
        self.net._flush(name)
        return index

    def check(self, now):
        super().check(now)
        for name, node in getattr(self, "learners", {}).items():
            dates = node.core.proposal_time
            if dates.index in self.begun:
                assert dates.at <= self.begun[dates.index], f"{name} takes {dates.index} for younger than it is"

    def run(self, seconds):
        self.net.run(self.net.now + round(seconds * SECOND))

    def renew(self, count, every=2.0):
        """Propose `count` entries; the time of each by index."""
        found = {}
        for _ in range(count):
            found[self.propose()] = self.net.now
            self.run(every)
        return found

    def late(self, node, proposed_at):
        """For each index the seconds until the learner held it, or a later one, with its age."""
        return [
            min((at for i, at in node.held.items() if i >= index), default=1 << 62) / SECOND - since / SECOND
            for index, since in proposed_at.items()
        ]


def asked(node, name=None, since=0, until=1 << 62):
    """The times of its fetch requests."""
    return [
        at
        for at, to, message in node.said
        if isinstance(message, FetchRequest) and name in (None, to) and since <= at < until
    ]


def hinted(node, name=None):
    """The indices of the hints that it sent."""
    return [message.index for _, to, message in node.said if isinstance(message, CommitHint) and name in (None, to)]


def entries(*indices):
    return tuple(Entry(1, EntryKind.DATA, b"e%d" % n) for n in indices)


def alone(now=0, names=("a", "b", "c"), seed=1):
    """A learner without a network."""
    return Learner(lambda: list(names), seed, now)


def fetch_requests(core):
    return [
        (order.to, order.message)
        for order in core.take()
        if isinstance(order, SendMessage) and isinstance(order.message, FetchRequest)
    ]


def answer(core, now, sender, ask, index, dated=None, age=0, commit=None):
    """Deliver a reply with the entries up to `index`."""
    core.hear(
        now,
        sender,
        FetchReply(
            None,
            core.applied,
            entries(*range(core.applied + 1, index + 1)),
            index if commit is None else commit,
            "v0",
            index if dated is None else dated,
            age,
            ask,
        ),
    )


def told(core, now=0, index=5):
    """Let it send its first request and receive the entries up to `index`; the time of that."""
    now = max(now, core.request_at)
    core.wake(now)
    [(name, since)] = fetch_requests(core)
    answer(core, now, name, since.request_id, index)
    core.take()
    return now


# ---- who gets hints


def test_each_subscriber_gets_one_hint_per_index_and_only_if_it_lacks_it():
    one = Subscribers()
    for name, index in (("a", 3), ("b", 5), ("c", 4)):
        one.subscribe(0, name, index)
    assert one.outdated(SECOND, 5) == ["a", "c"] and one.outdated(SECOND, 5) == []
    one.acknowledge("b", 6)
    assert one.outdated(SECOND, 6) == ["a", "c"]
    one.subscribe(2 * SECOND, "a", 6)
    assert one.outdated(2 * SECOND, 7) == ["b", "c", "a"]


def test_a_subscriber_that_stops_fetching_is_dropped():
    one = Subscribers()
    one.subscribe(0, "a", 0)
    one.subscribe(4 * SECOND, "b", 0)
    assert one.outdated(subscribers.SUBSCRIPTION_PERIOD, 1) == ["b"] and len(one) == 1
    assert one.outdated(4 * SECOND + subscribers.SUBSCRIPTION_PERIOD, 2) == [] and len(one) == 0


def test_subscribers_are_bounded_and_the_one_with_the_oldest_request_is_dropped():
    one = Subscribers()
    for n in range(subscribers.MAX_SUBSCRIBERS):
        one.subscribe(n, f"n{n}", 0)
    one.subscribe(subscribers.MAX_SUBSCRIBERS, "n0", 0)
    one.subscribe(subscribers.MAX_SUBSCRIBERS + 1, "new", 0)
    found = one.outdated(subscribers.MAX_SUBSCRIBERS + 2, 1)
    assert len(found) == subscribers.MAX_SUBSCRIBERS and "n1" not in found and {"n0", "n2", "new"} <= set(found)


def test_a_hint_waits_for_the_age_of_its_entry_but_no_longer_than_the_grace():
    one = Subscribers()
    one.subscribe(0, "a", 0)
    assert one.hints_due(0, 5, 4) == ["a"] and one.hinted_index == 4
    assert one.hints_due(100 * MS, 5, 4) == []
    assert one.hints_due(200 * MS, 5, 5) == ["a"] and one.hinted_index == 5
    assert one.hints_due(SECOND, 5, 5) == []
    assert one.hints_due(2 * SECOND, 6, 5) == [] and one.hints_due(2 * SECOND + subscribers.GRACE - 1, 6, 5) == []
    assert one.hints_due(2 * SECOND + subscribers.GRACE, 6, 5) == ["a"] and one.hinted_index == 6
    assert one.hints_due(5 * SECOND, 6, 6) == []


def test_a_voter_hints_only_at_committed_entries():
    core = Replica("v0", ("v0", "v1", "v2"), PersistentState(), replica.ElectionTiming(), 1, 0, trusted=True)
    core.hear(9 * SECOND, "v1", AppendEntries(1, 0, 0, entries(1, 2), 1, 1))
    core.proposal_time.record(1, 9 * SECOND)
    core.hear(9 * SECOND, "f", FetchRequest(0, 7))
    said = [order for order in core.take() if isinstance(order, SendMessage)]
    assert said[1:] == [SendMessage("f", FetchReply(None, 0, entries(1), 1, "v1", 1, 0, 7))] and isinstance(
        said[0].message, AppendReply
    )
    core.hear(10 * SECOND, "v1", AppendEntries(1, 2, 1, entries(3, 4), 1, 2))
    assert [type(o.message) for o in core.take() if isinstance(o, SendMessage)] == [AppendReply]
    core.hear(11 * SECOND, "v1", AppendEntries(1, 4, 1, (), 3, 3))
    core.proposal_time.record(3, 0)  # as a reply of the leader does
    assert SendMessage("f", CommitHint(3)) in core.take()  # not 4, which is not committed
    core.hear(11 * SECOND, "v1", AppendEntries(1, 4, 1, (), 3, 4))
    assert not [o for o in core.take() if isinstance(o, SendMessage) and isinstance(o.message, CommitHint)]


def test_a_partitioned_leader_sends_no_hints_and_voters_get_none():
    world = Fleet(voters=3)
    name = world.leader()
    node = world.follow("f", name)
    world.run(3)
    world.net.partition([name], [v for v in world.voters if v != name])
    heard = []
    node.core._on_commit_hint = lambda now, sender, index: heard.append(index)
    world.core(name).propose(world.net.now, b"held by one")
    world.net._flush(name)
    world.run(1)
    assert heard == []
    core = world.core(name)
    core.hear(world.net.now, "v1" if name != "v1" else "v2", FetchRequest(0, 1))
    assert "f" in core.subscribers._subscribers and not {*world.voters} & {*core.subscribers._subscribers}


def test_a_voter_ignores_hints():
    for trusted in (True, False):
        core = Replica("v0", ("v0", "v1", "v2"), PersistentState(), replica.ElectionTiming(), 1, 0, trusted=trusted)
        core.take()
        core.hear(SECOND, "v1", CommitHint(99))
        assert core.take() == []


# ---- effects of a hint


def test_the_sender_of_a_hint_is_asked_at_once():
    core = alone()
    now = told(core) + SECOND
    core.hear(now, "c", CommitHint(7))
    [(name, since)] = fetch_requests(core)
    assert name == "c" and since.index == 5
    answer(core, now + 9 * MS, "c", since.request_id, 7)
    assert core.applied == 7 and core.proposal_time.index == 7
    core.hear(now + 10 * MS, "c", CommitHint(8))  # a sender whose hint brought entries may be asked again at once
    assert [name for name, _ in fetch_requests(core)] == ["c"]


def test_repeated_late_and_reordered_hints_cause_one_request():
    core = alone()
    now = told(core) + SECOND
    for sender, index in (("a", 7), ("a", 7), ("b", 6), ("b", 7), ("a", 5), ("b", 2)):
        core.hear(now, sender, CommitHint(index))
    [(name, since)] = fetch_requests(core)
    answer(core, now + 9 * MS, name, since.request_id, 7)
    core.take()
    for sender, index in (("a", 7), ("b", 6), ("a", 1), ("c", 7)):
        core.hear(now + 20 * MS, sender, CommitHint(index))
    assert fetch_requests(core) == []


def test_a_hint_at_an_entry_held_without_its_age_causes_a_request():
    core = alone()
    now = told(core) + SECOND
    core.hear(now, "a", CommitHint(6))
    [(_, since)] = fetch_requests(core)
    answer(core, now, "a", since.request_id, 6, dated=5, age=2 * SECOND)
    core.hear(now + 300 * MS, "a", CommitHint(6))
    [(_, since)] = fetch_requests(core)
    answer(core, now + 310 * MS, "a", since.request_id, 6)
    assert core.proposal_time.index == 6


def test_a_hint_during_a_pending_request_to_its_sender_is_followed_up_within_half_a_second():
    core = alone()
    now = told(core)
    now = core.request_at
    core.wake(now)
    [(name, since)] = fetch_requests(core)
    core.hear(now + MS, name, CommitHint(6))
    assert fetch_requests(core) == []
    answer(core, now + 2 * MS, name, since.request_id, 5)  # sent before there was more
    assert core.next_wake() <= now + 650 * MS


@pytest.mark.parametrize("answers", [False, True])
def test_endless_hints_that_bring_nothing_cause_a_bounded_number_of_requests(answers):
    core = alone()
    now = begin = told(core)
    count = liar = 0
    while now < begin + 60 * SECOND:
        now += 10 * MS
        core.hear(now, "liar", CommitHint(1000 + (now - begin) // (10 * MS)))
        if now >= core.next_wake():
            core.wake(now)
        for name, since in fetch_requests(core):
            count += 1
            liar += name == "liar"
            if name != "liar" or answers:
                answer(core, now, name, since.request_id, 5)
    # a hinting sender that replies is asked twice a second besides the usual requests; a silent one only now and then
    assert 25 <= count <= 60 * (2 + 2) * 1.2
    assert 1 < liar <= (60 * 2 if answers else 60 * SECOND // learner.AVOID_PERIOD + 1)


def test_many_hints_at_once_leave_few_requests_pending():
    core = alone()
    now = told(core) + SECOND
    for n in range(100):
        core.hear(now + n, f"n{n}", CommitHint(10 + n))
    assert len(fetch_requests(core)) == learner.MAX_HINTED_REQUESTS


def test_two_learners_that_fetch_from_each_other_do_not_hint_forever():
    world = Fleet()
    a, b = world.follow("a", "v0", "b"), world.follow("b", "a", "v0")
    world.propose()
    world.run(3)
    world.net.kill("v0")
    for node in (a, b):
        node.said.clear()
    world.run(20)
    assert hinted(a) + hinted(b) == []


# ---- intervals of requests


def counts(node, seconds=60):
    """Requests per second."""
    return len(asked(node)) / seconds


def test_an_idle_learner_fetches_every_two_seconds():
    world = Fleet()
    world.propose()
    node = world.follow("f", "v0")
    world.run(1)
    assert node.core.applied
    node.said.clear()
    proposed_at = world.renew(30)
    assert 0.45 <= counts(node) <= 0.6
    assert max(world.late(node, proposed_at)) < 0.05


@pytest.mark.parametrize("answers", [False, True])
def test_an_empty_learner_fetches_twice_a_second(answers):
    core = alone()
    now = count = 0
    while now < 60 * SECOND:
        now = core.request_at
        core.wake(now)
        for name, since in fetch_requests(core):
            count += 1
            if answers:
                core.progress_at = now  # so that it is not stalled
                answer(core, now, name, since.request_id, 0)
    assert 1.6 * 60 <= count <= 2.4 * 60


def test_an_unanswered_request_goes_to_the_next_source_after_half_a_second():
    core = alone(names=("a", "b", "c", "d"))
    now = told(core)
    now = core.request_at
    core.wake(now)
    first = fetch_requests(core)[0][0]
    order = [name for name in "abcd" if name != first]
    for name in order:
        assert 375 * MS <= core.request_at - now <= 625 * MS
        now = core.request_at
        core.wake(now)
        assert [to for to, _ in fetch_requests(core)] == [name]


def test_a_thousand_learners_starting_at_once_are_spread_over_half_a_second():
    world = Fleet()
    world.propose()
    begin = world.net.now
    nodes = [world.follow(f"f{n}", "v0") for n in range(1000)]
    world.run(0.5)
    slots = [0] * 10
    for node in nodes:
        slots[(asked(node)[0] - begin) // (50 * MS)] += 1
    assert sum(slots) == 1000 and 60 <= min(slots) and max(slots) <= 140
    assert all(len(asked(node)) == 1 for node in nodes)
    world.run(1.5)
    assert all(node.core.applied for node in nodes)
    world.renew(4)
    per_second = [
        sum(len(asked(node, since=begin + s * SECOND, until=begin + (s + 1) * SECOND)) for node in nodes)
        for s in range(10)
    ]
    # one request each per renewal, every two seconds, and hardly any others
    assert per_second[0] == 1000 and sum(per_second) <= 5200 and max(per_second[1:]) <= 1000


# ---- bad sources


@pytest.mark.parametrize("seed", range(10))
def test_a_silent_delegate_delays_nobody(seed):
    world = Fleet(seed)
    world.follow("d1", "v0"), world.follow("d2", "v0")
    node = world.follow("m", "d1", "d2")
    world.net.partition(["d1"], ["m"], both=False)
    world.renew(3)
    late = world.late(node, world.renew(30))
    assert max(late) < 1.0
    # it is tried again only now and then
    assert len(asked(node, "d1")) < 0.4 * len(asked(node))


@pytest.mark.parametrize("seed", range(10))
def test_a_third_source_is_found_after_both_others_die(seed):
    world = Fleet(seed)
    for name in ("d1", "d2", "x"):
        world.follow(name, "v0")
    node = world.follow("m", "d1", "d2", "x")
    world.renew(5)
    for name in ("d1", "d2"):
        world.net.kill(name)
        del world.learners[name]
    late = world.late(node, world.renew(10))
    # an idle interval, and two unanswered requests
    assert max(late) < 2.5 + 2 * 0.625 + 0.1 and max(late[3:]) < 1.3


@pytest.mark.parametrize("seed", range(20))
def test_of_two_delegates_the_connected_one_is_found(seed):
    """d1 still replies but has nothing new."""
    world = Fleet(seed)
    world.follow("d1", "v0"), world.follow("d2", "v0")
    node = world.follow("m", "d1", "d2")
    world.renew(4)
    world.net.partition(["d1"], ["v0"])
    late = world.late(node, world.renew(20))
    assert max(late) <= (learner.STALL_THRESHOLD + learner.IDLE_INTERVAL * 5 // 4) / SECOND + 1.25


class First:
    """Replaces the random source: always the first source, and near the longest intervals."""

    def random(self):
        return 0.74

    def expovariate(self, _):
        return 0.0


@pytest.mark.parametrize("good", ["b", "c"])
def test_a_stalled_learner_tries_each_source_whatever_is_drawn(good):
    """The other sources reply without anything new."""
    core = alone(names=("a", "b", "c"))
    core.rng = First()
    begin = now = told(core)
    asked_of = []
    while core.applied == 5 and now - begin < 30 * SECOND:
        now = core.request_at
        core.wake(now)
        [(name, since)] = fetch_requests(core)
        asked_of.append((now - begin, name))
        answer(core, now, name, since.request_id, 6 if name == good else 5)
    assert now - begin <= learner.STALL_THRESHOLD + learner.IDLE_INTERVAL * 5 // 4 + 1250 * MS
    assert {name for at, name in asked_of if at < learner.STALL_THRESHOLD} == {"a"}
    now = core.request_at
    core.wake(now)
    assert fetch_requests(core)[0][0] == "a"


def test_a_source_that_lacks_long_held_entries_is_avoided():
    core = alone(names=("a", "b"))
    now = told(core)
    while now < 20 * SECOND:
        now = core.request_at
        core.wake(now)
        [(name, since)] = fetch_requests(core)
        answer(core, now, name, since.request_id, core.applied + 1 if name == "b" else 5, commit=None)
        if name == "a" and core.applied > 5:
            assert core._choose_source(now, ["a", "b"], True) == "b" or now - core.progress_at < learner.SETTLED_PERIOD


def test_the_latest_reply_times_are_kept_for_a_bounded_number_of_sources():
    core = alone()
    now = told(core)
    assert core.last_reply_at("zz") is None
    name = next(name for name in "abc" if core.last_reply_at(name) is not None)
    assert core.last_reply_at(name) == now
    for n in range(200):
        core._request(now + n, f"n{n}")
        [(to, since)] = fetch_requests(core)
        answer(core, now + n, to, since.request_id, 5)
    assert core.last_reply_at("n199") == now + 199 and core.last_reply_at("n0") is None
    assert (
        max(
            len(x)
            for x in (
                core._replied_at,
                core._requested_at,
                core._avoided_since,
                core._hint_requested_at,
                core.requests._pending,
            )
        )
        <= learner.MAX_TRACKED
    )


# ---- ages


def test_the_age_in_a_reply_is_counted_from_its_own_request():
    core = alone()
    first, second = core.requests.add(1 * SECOND, "a"), core.requests.add(3 * SECOND, "a")
    answer(core, 4 * SECOND, "a", first, 5, age=SECOND)
    assert core.proposal_time.at == 0  # proposed at 0 s or later, not 2 s
    answer(core, 4 * SECOND, "a", second, 5, age=2 * SECOND)
    assert core.proposal_time.at == SECOND


def test_a_reply_without_a_pending_request_is_ignored():
    core = alone()
    number = core.requests.add(SECOND, "a")
    for sender, ask in (("b", number), ("a", number + 1), ("a", 0)):
        answer(core, SECOND, sender, ask, 5)
        assert core.applied == 0
    answer(core, SECOND, "a", number, 5)
    assert core.applied == 5
    answer(core, SECOND, "a", number, 9)  # a second time
    assert core.applied == 5


def test_unanswered_requests_are_forgotten():
    one = PendingRequests(7)
    first = one.add(0, "a")
    assert first == 8
    one.add(learner.REPLY_TIMEOUT + 1, "b")
    assert one.complete("a", first) is None
    for n in range(500):
        one.add(n, "c")
    assert len(one._pending) <= learner.MAX_TRACKED


def test_entries_arriving_by_two_paths_in_different_order_are_applied_once():
    core = alone()
    request_ids = {name: core.requests.add(SECOND, name) for name in "abc"}
    answer(core, 2 * SECOND, "b", request_ids["b"], 6, age=100 * MS)
    held, dates = list(core.log), (core.proposal_time.index, core.proposal_time.at)
    core.take()
    core.hear(3 * SECOND, "a", FetchReply(None, 0, entries(1, 2, 3, 4, 5), 5, "v0", 5, 0, request_ids["a"]))
    core.hear(3 * SECOND, "c", FetchReply(Snapshot(4, 1, (), b"s"), 4, entries(5), 5, "v0", 5, 0, request_ids["c"]))
    assert core.log == held and (core.proposal_time.index, core.proposal_time.at) == dates
    assert not [order for order in core.take() if not isinstance(order, SendMessage)]


def whole(seed, hops, delays, loss, twice, make=Learner):
    """Paths of `hops`, two and one hops from the leader to one learner, each link with its own delays."""
    world = Fleet(seed)
    names = ["v0", *(f"h{n}" for n in range(hops - 1))]
    world.follow("side", "v0", make=make)
    for source, name in zip(names, names[1:], strict=False):
        world.follow(name, source, "side", make=make)
    end = world.follow("end", names[-1], "side", "v0", make=make)
    everybody = [*names, "side", "end"]
    for n, (a, b) in enumerate((a, b) for a in everybody for b in everybody):
        low, high = sorted((delays[n % len(delays)], delays[(n * 7 + 3) % len(delays)]))
        world.net.link_conditions[a, b] = LinkConditions(loss, twice, (low * MS, high * MS))
    world.renew(12, 1.5)
    world.run(20)
    assert end.core.proposal_time.index
    return world


DRAWN = dict(
    seed=st.integers(1, 10_000),
    hops=st.integers(1, 4),
    delays=st.lists(st.integers(0, 3000), min_size=1, max_size=12),
    loss=st.sampled_from((0.0, 0.05)),
    twice=st.sampled_from((0.0, 0.1)),
)


@settings(max_examples=60)
@given(**DRAWN)
def test_ages_are_never_underestimated_at_any_number_of_hops(seed, hops, delays, loss, twice):
    """Fleet.check runs after every event."""
    whole(seed, hops, delays, loss, twice)


class FromNewest(Learner):
    """Defect: an age is counted from the newest request to the sender."""

    def hear(self, now, sender, message):
        if isinstance(message, FetchReply):
            mine = [n for n, (name, _) in self.requests._pending.items() if name == sender]
            if mine:
                message = FetchReply(
                    message.snapshot,
                    message.index,
                    message.entries,
                    message.commit,
                    message.leader,
                    message.dated_index,
                    message.age_ns,
                    mine[-1],
                )
        super().hear(now, sender, message)


class FromArrival(Learner):
    """Defect: an age is counted from the arrival of the reply."""

    def _on_fetch_reply(self, now, sender, message, requested_at):
        super()._on_fetch_reply(now, sender, message, now)


@pytest.mark.parametrize("defect", [FromNewest, FromArrival])
def test_a_planted_defect_of_ages_is_found(defect):
    def broke(seed):
        try:
            whole(seed, 3, [1500, 3000, 100], 0.0, 0.0, defect)
        except AssertionError as error:
            return "younger" in str(error)
        return False

    assert any(broke(seed) for seed in range(1, 6))


# ---- restarts


def test_a_restarted_learner_gets_the_snapshot_and_later_entries_in_few_replies():
    world = Fleet()
    relay = world.follow("r", "v0")
    for _ in range(400):
        world.propose()
        world.run(0.03)
    world.run(3)
    assert relay.core.snapshot.index and relay.core.applied == world.core("v0").commit
    node = world.follow("f", "r")
    world.run(1.5)
    assert node.core.applied == relay.core.applied
    assert len(asked(node)) <= 1 + learner.RETAINED_ENTRIES // replica.MAX_BATCH_ENTRIES + 1


def test_a_learner_that_lacks_few_entries_gets_only_these():
    log = list(entries(*range(11, 21)))
    found = fetch_reply(FetchRequest(18, 9), Snapshot(10, 1, (), b"all"), log, 20, "v0", 20, 5)
    assert found == FetchReply(None, 18, entries(19, 20), 20, "v0", 20, 5, 9)


def test_the_known_proposal_time_only_advances():
    one = ProposalTime()
    for index, at in ((3, 30), (2, 99), (3, 20), (3, 31), (4, 10)):
        one.record(index, at)
    assert (one.index, one.at) == (4, 10)
