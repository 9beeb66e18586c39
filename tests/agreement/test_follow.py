"""The way down: who asked of late is told of what is newer, asks, and is held back by no bad source for long; and
nothing is ever taken for younger than it is."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.state.agreement import follow, listeners
from copperyard.state.agreement.council import Council, Dates, Kept, Say, news
from copperyard.state.agreement.follow import Follower, Questions
from copperyard.state.agreement.listeners import Listeners
from copperyard.state.agreement.messages import Append, Entry, Kind, Newer, News, Since, Snapshot, Taken
from tests.agreement.helpers import MS, SECOND, Manner, World, council


class Node:
    """A follower on the network. What it says, and when it first held what, is noted."""

    def __init__(self, core, said):
        self.core, self.said = core, said
        self.held = {}  # index: when it was here with its date

    def hear(self, now, sender, message):
        self.core.hear(now, sender, message)

    def wake(self, now):
        self.core.wake(now)

    def next_wake(self):
        return self.core.next_wake()

    def collect(self, now):
        out = [(order.to, order.message) for order in self.core.take() if isinstance(order, Say)]
        self.said += [(now, *one) for one in out]
        if self.core.wants_snapshot:
            self.core.compact(b"all")
        dates = self.core.dates
        if dates.index and dates.index <= self.core.applied:
            self.held.setdefault(dates.index, now)
        return out


class Fleet(World):
    """One voter that leads, and followers. No follower may ever take an entry for younger than it is."""

    def __init__(self, seed=1, manner=None, voters=1):
        super().__init__(seed, voters, manner)
        self.begun = {}  # index: when it was proposed
        self.followers = {}
        self.asks = self.news_heard = 0
        self.net.run(8 * SECOND)
        assert self.leader()

    def follow(self, name, *sources, make=Follower):
        """A follower that asks these, the best first."""
        node = Node(make(lambda: list(sources), self.seed * 1009 + len(self.followers), self.net.now), [])
        self.followers[name] = node
        self.net.add(name, node)
        return node

    def propose(self, data=None):
        name = self.leader()
        self.proposed += 1
        index = self.core(name).propose(self.net.now, data or b"d%d" % self.proposed)
        self.begun[index] = self.net.now
        self.net._turn(name)
        return index

    def check(self, now):
        super().check(now)
        for name, node in getattr(self, "followers", {}).items():
            dates = node.core.dates
            if dates.index in self.begun:
                assert dates.at <= self.begun[dates.index], f"{name} takes {dates.index} for younger than it is"

    def run(self, seconds):
        self.net.run(self.net.now + round(seconds * SECOND))

    def renew(self, count, every=2.0):
        """Propose so often; for each index when that was."""
        found = {}
        for _ in range(count):
            found[self.propose()] = self.net.now
            self.run(every)
        return found

    def late(self, node, begun):
        """By index, the seconds until a follower held it, or a later one, with its date."""
        return [
            min((at for i, at in node.held.items() if i >= index), default=1 << 62) / SECOND - since / SECOND
            for index, since in begun.items()
        ]


def asked(node, name=None, since=0, until=1 << 62):
    """The times at which it asked."""
    return [
        at for at, to, message in node.said if isinstance(message, Since) and name in (None, to) and since <= at < until
    ]


def hinted(node, name=None):
    return [message.index for _, to, message in node.said if isinstance(message, Newer) and name in (None, to)]


def entries(*indices):
    return tuple(Entry(1, Kind.DATA, b"e%d" % n) for n in indices)


def alone(now=0, names=("a", "b", "c"), seed=1):
    """A follower without a network."""
    return Follower(lambda: list(names), seed, now)


def questions(core):
    return [
        (order.to, order.message)
        for order in core.take()
        if isinstance(order, Say) and isinstance(order.message, Since)
    ]


def answer(core, now, sender, ask, index, dated=None, age=0, commit=None):
    """An answer that brings all up to `index`."""
    core.hear(
        now,
        sender,
        News(
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
    """One that has asked `a` at its first wake and holds all up to `index`; the time of that."""
    now = max(now, core.ask_at)
    core.wake(now)
    [(name, since)] = questions(core)
    answer(core, now, name, since.ask, index)
    core.take()
    return now


# ---- who is told


def test_each_listener_is_told_once_of_an_index_and_only_where_it_lacks_it():
    one = Listeners()
    for name, index in (("a", 3), ("b", 5), ("c", 4)):
        one.asked(0, name, index)
    assert one.grown(SECOND, 5) == ["a", "c"] and one.grown(SECOND, 5) == []
    one.holds("b", 6)
    assert one.grown(SECOND, 6) == ["a", "c"]
    one.asked(2 * SECOND, "a", 6)
    assert one.grown(2 * SECOND, 7) == ["b", "c", "a"]


def test_who_does_not_ask_any_more_is_forgotten():
    one = Listeners()
    one.asked(0, "a", 0)
    one.asked(4 * SECOND, "b", 0)
    assert one.grown(listeners.FORGET, 1) == ["b"] and len(one) == 1
    assert one.grown(4 * SECOND + listeners.FORGET, 2) == [] and len(one) == 0


def test_listeners_are_bounded_and_the_one_that_asked_longest_ago_falls_out():
    one = Listeners()
    for n in range(listeners.MOST):
        one.asked(n, f"n{n}", 0)
    one.asked(listeners.MOST, "n0", 0)
    one.asked(listeners.MOST + 1, "new", 0)
    found = one.grown(listeners.MOST + 2, 1)
    assert len(found) == listeners.MOST and "n1" not in found and {"n0", "n2", "new"} <= set(found)


def test_an_entry_is_told_of_with_its_date_and_one_that_nobody_dates_after_a_while():
    one = Listeners()
    one.asked(0, "a", 0)
    assert one.due(0, 5, 4) == ["a"] and one.index == 4
    assert one.due(100 * MS, 5, 4) == []
    assert one.due(200 * MS, 5, 5) == ["a"] and one.index == 5
    assert one.due(SECOND, 5, 5) == []
    assert one.due(2 * SECOND, 6, 5) == [] and one.due(2 * SECOND + listeners.GRACE - 1, 6, 5) == []
    assert one.due(2 * SECOND + listeners.GRACE, 6, 5) == ["a"] and one.index == 6
    assert one.due(5 * SECOND, 6, 6) == []


def test_a_voter_hints_at_what_is_committed_and_at_nothing_else():
    core = Council("v0", ("v0", "v1", "v2"), Kept(), council.Beat(), 1, 0, trusted=True)
    core.hear(9 * SECOND, "v1", Append(1, 0, 0, entries(1, 2), 1, 1))
    core.dates.know(1, 9 * SECOND)
    core.hear(9 * SECOND, "f", Since(0, 7))
    said = [order for order in core.take() if isinstance(order, Say)]
    assert said[1:] == [Say("f", News(None, 0, entries(1), 1, "v1", 1, 0, 7))] and isinstance(said[0].message, Taken)
    core.hear(10 * SECOND, "v1", Append(1, 2, 1, entries(3, 4), 1, 2))
    assert [type(o.message) for o in core.take() if isinstance(o, Say)] == [Taken]
    core.hear(11 * SECOND, "v1", Append(1, 4, 1, (), 3, 3))
    core.dates.know(3, 0)  # what an answer of the leader's brings
    assert Say("f", Newer(3)) in core.take()  # and not 4, which is no more than written
    core.hear(11 * SECOND, "v1", Append(1, 4, 1, (), 3, 4))
    assert not [o for o in core.take() if isinstance(o, Say) and isinstance(o.message, Newer)]


def test_a_leader_that_is_cut_off_hints_at_nothing_and_voters_are_sent_no_hints():
    world = Fleet(voters=3)
    name = world.leader()
    node = world.follow("f", name)
    world.run(3)
    world.net.part([name], [v for v in world.voters if v != name])
    heard = []
    node.core._on_newer = lambda now, sender, index: heard.append(index)
    world.core(name).propose(world.net.now, b"held by one")
    world.net._turn(name)
    world.run(1)
    assert heard == []
    core = world.core(name)
    core.hear(world.net.now, "v1" if name != "v1" else "v2", Since(0, 1))
    assert "f" in core.listeners._asked and not {*world.voters} & {*core.listeners._asked}


def test_a_voter_passes_a_hint_over():
    for trusted in (True, False):
        core = Council("v0", ("v0", "v1", "v2"), Kept(), council.Beat(), 1, 0, trusted=trusted)
        core.take()
        core.hear(SECOND, "v1", Newer(99))
        assert core.take() == []


# ---- what a hint does


def test_who_hints_is_asked_at_once_and_brings_what_it_has():
    core = alone()
    now = told(core) + SECOND
    core.hear(now, "c", Newer(7))
    [(name, since)] = questions(core)
    assert name == "c" and since.index == 5
    answer(core, now + 9 * MS, "c", since.ask, 7)
    assert core.applied == 7 and core.dates.index == 7
    core.hear(now + 10 * MS, "c", Newer(8))  # what brought something may be asked on at once
    assert [name for name, _ in questions(core)] == ["c"]


def test_hints_that_come_twice_late_or_out_of_order_ask_once():
    core = alone()
    now = told(core) + SECOND
    for sender, index in (("a", 7), ("a", 7), ("b", 6), ("b", 7), ("a", 5), ("b", 2)):
        core.hear(now, sender, Newer(index))
    [(name, since)] = questions(core)
    answer(core, now + 9 * MS, name, since.ask, 7)
    core.take()
    for sender, index in (("a", 7), ("b", 6), ("a", 1), ("c", 7)):
        core.hear(now + 20 * MS, sender, Newer(index))
    assert questions(core) == []


def test_a_hint_at_what_is_here_without_its_date_asks_for_that():
    core = alone()
    now = told(core) + SECOND
    core.hear(now, "a", Newer(6))
    [(_, since)] = questions(core)
    answer(core, now, "a", since.ask, 6, dated=5, age=2 * SECOND)
    core.hear(now + 300 * MS, "a", Newer(6))
    [(_, since)] = questions(core)
    answer(core, now + 310 * MS, "a", since.ask, 6)
    assert core.dates.index == 6


def test_a_hint_that_meets_a_question_already_out_is_seen_to_half_a_second_later():
    core = alone()
    now = told(core)
    now = core.ask_at
    core.wake(now)
    [(name, since)] = questions(core)
    core.hear(now + MS, name, Newer(6))
    assert questions(core) == []
    answer(core, now + 2 * MS, name, since.ask, 5)  # it was sent before there was more
    assert core.next_wake() <= now + 650 * MS


@pytest.mark.parametrize("answers", [False, True])
def test_a_sender_that_hints_without_end_and_brings_nothing_does_not_make_it_ask_without_end(answers):
    core = alone()
    now = begin = told(core)
    count = liar = 0
    while now < begin + 60 * SECOND:
        now += 10 * MS
        core.hear(now, "liar", Newer(1000 + (now - begin) // (10 * MS)))
        if now >= core.next_wake():
            core.wake(now)
        for name, since in questions(core):
            count += 1
            liar += name == "liar"
            if name != "liar" or answers:
                answer(core, now, name, since.ask, 5)
    # one that answers is asked twice a second, and others as one that looks on asks; one that does not, now and then
    assert 25 <= count <= 60 * (2 + 2) * 1.2
    assert 1 < liar <= (60 * 2 if answers else 60 * SECOND // follow.AVOID + 1)


def test_many_that_hint_at_once_leave_few_questions_out():
    core = alone()
    now = told(core) + SECOND
    for n in range(100):
        core.hear(now + n, f"n{n}", Newer(10 + n))
    assert len(questions(core)) == follow.OUT_MOST


def test_two_that_follow_each_other_do_not_hint_for_ever():
    world = Fleet()
    a, b = world.follow("a", "v0", "b"), world.follow("b", "a", "v0")
    world.propose()
    world.run(3)
    world.net.kill("v0")
    for node in (a, b):
        node.said.clear()
    world.run(20)
    assert hinted(a) + hinted(b) == []


# ---- when it asks


def counts(node, seconds=60):
    """Questions a second."""
    return len(asked(node)) / seconds


def test_when_all_is_quiet_it_asks_every_two_seconds():
    world = Fleet()
    world.propose()
    node = world.follow("f", "v0")
    world.run(1)
    assert node.core.applied
    node.said.clear()
    begun = world.renew(30)
    assert 0.45 <= counts(node) <= 0.6
    assert max(world.late(node, begun)) < 0.05


@pytest.mark.parametrize("answers", [False, True])
def test_one_that_knows_nothing_asks_twice_a_second(answers):
    core = alone()
    now = count = 0
    while now < 60 * SECOND:
        now = core.ask_at
        core.wake(now)
        for name, since in questions(core):
            count += 1
            if answers:
                core.grown_at = now  # it is not for want of anything new
                answer(core, now, name, since.ask, 0)
    assert 1.6 * 60 <= count <= 2.4 * 60


def test_an_unanswered_question_is_asked_of_the_next_in_order_after_half_a_second():
    core = alone(names=("a", "b", "c", "d"))
    now = told(core)
    now = core.ask_at
    core.wake(now)
    first = questions(core)[0][0]
    order = [name for name in "abcd" if name != first]
    for name in order:
        assert 375 * MS <= core.ask_at - now <= 625 * MS
        now = core.ask_at
        core.wake(now)
        assert [to for to, _ in questions(core)] == [name]


def test_a_thousand_that_start_at_once_on_one_source_are_spread_over_half_a_second():
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
    # one each for what is new, every two seconds, and hardly one besides
    assert per_second[0] == 1000 and sum(per_second) <= 5200 and max(per_second[1:]) <= 1000


# ---- bad sources


@pytest.mark.parametrize("seed", range(10))
def test_a_delegate_that_hears_all_and_says_nothing_holds_nobody_back(seed):
    world = Fleet(seed)
    world.follow("d1", "v0"), world.follow("d2", "v0")
    node = world.follow("m", "d1", "d2")
    world.net.part(["d1"], ["m"], both=False)
    world.renew(3)
    late = world.late(node, world.renew(30))
    assert max(late) < 1.0
    # it is tried again now and then, and no more
    assert len(asked(node, "d1")) < 0.4 * len(asked(node))


@pytest.mark.parametrize("seed", range(10))
def test_both_sources_die_and_the_third_is_found(seed):
    world = Fleet(seed)
    for name in ("d1", "d2", "x"):
        world.follow(name, "v0")
    node = world.follow("m", "d1", "d2", "x")
    world.renew(5)
    for name in ("d1", "d2"):
        world.net.kill(name)
        del world.followers[name]
    late = world.late(node, world.renew(10))
    # a quiet pause, and two questions that nobody answers
    assert max(late) < 2.5 + 2 * 0.625 + 0.1 and max(late[3:]) < 1.3


@pytest.mark.parametrize("seed", range(20))
def test_of_two_delegates_the_one_that_is_not_cut_off_is_found(seed):
    """d1 goes on to answer and has nothing new."""
    world = Fleet(seed)
    world.follow("d1", "v0"), world.follow("d2", "v0")
    node = world.follow("m", "d1", "d2")
    world.renew(4)
    world.net.part(["d1"], ["v0"])
    late = world.late(node, world.renew(20))
    assert max(late) <= (follow.STALE + follow.QUIET * 5 // 4) / SECOND + 1.25


class First:
    """In the place of a random source: always the first, and the longest pauses."""

    def random(self):
        return 0.74

    def expovariate(self, _):
        return 0.0


@pytest.mark.parametrize("good", ["b", "c"])
def test_where_nothing_grows_each_source_is_tried_whatever_is_drawn(good):
    """The others answer, and know what is known here and no more."""
    core = alone(names=("a", "b", "c"))
    core.random = First()
    begin = now = told(core)
    asked_of = []
    while core.applied == 5 and now - begin < 30 * SECOND:
        now = core.ask_at
        core.wake(now)
        [(name, since)] = questions(core)
        asked_of.append((now - begin, name))
        answer(core, now, name, since.ask, 6 if name == good else 5)
    assert now - begin <= follow.STALE + follow.QUIET * 5 // 4 + 1250 * MS
    assert {name for at, name in asked_of if at < follow.STALE} == {"a"}
    now = core.ask_at
    core.wake(now)
    assert questions(core)[0][0] == "a"


def test_one_that_lacks_what_was_here_for_long_is_passed_over():
    core = alone(names=("a", "b"))
    now = told(core)
    while now < 20 * SECOND:
        now = core.ask_at
        core.wake(now)
        [(name, since)] = questions(core)
        answer(core, now, name, since.ask, core.applied + 1 if name == "b" else 5, commit=None)
        if name == "a" and core.applied > 5:
            assert core._choose(now, ["a", "b"], True) == "b" or now - core.grown_at < follow.SETTLED


def test_when_a_source_last_answered_is_told_and_bounded():
    core = alone()
    now = told(core)
    assert core.last_answer("zz") is None
    name = next(name for name in "abc" if core.last_answer(name) is not None)
    assert core.last_answer(name) == now
    for n in range(200):
        core._ask(now + n, f"n{n}")
        [(to, since)] = questions(core)
        answer(core, now + n, to, since.ask, 5)
    assert core.last_answer("n199") == now + 199 and core.last_answer("n0") is None
    assert (
        max(len(x) for x in (core._answered, core._asked, core._avoid, core._vain, core.questions._out))
        <= follow.KNOWN_MOST
    )


# ---- ages


def test_an_answers_age_is_counted_from_its_own_question():
    core = alone()
    first, second = core.questions.ask(1 * SECOND, "a"), core.questions.ask(3 * SECOND, "a")
    answer(core, 4 * SECOND, "a", first, 5, age=SECOND)
    assert core.dates.at == 0  # proposed at 0 or later, and not at 2
    answer(core, 4 * SECOND, "a", second, 5, age=2 * SECOND)
    assert core.dates.at == SECOND


def test_an_answer_that_was_not_asked_for_is_passed_over():
    core = alone()
    number = core.questions.ask(SECOND, "a")
    for sender, ask in (("b", number), ("a", number + 1), ("a", 0)):
        answer(core, SECOND, sender, ask, 5)
        assert core.applied == 0
    answer(core, SECOND, "a", number, 5)
    assert core.applied == 5
    answer(core, SECOND, "a", number, 9)  # a second time
    assert core.applied == 5


def test_questions_that_nobody_answers_are_forgotten():
    one = Questions(7)
    first = one.ask(0, "a")
    assert first == 8
    one.ask(follow.ANSWER + 1, "b")
    assert one.answered("a", first) is None
    for n in range(500):
        one.ask(n, "c")
    assert len(one._out) <= follow.KNOWN_MOST


def test_a_plan_that_arrives_by_two_ways_in_different_order_is_taken_once_and_never_goes_back():
    core = alone()
    ways = {name: core.questions.ask(SECOND, name) for name in "abc"}
    answer(core, 2 * SECOND, "b", ways["b"], 6, age=100 * MS)
    held, dates = list(core.log), (core.dates.index, core.dates.at)
    core.take()
    core.hear(3 * SECOND, "a", News(None, 0, entries(1, 2, 3, 4, 5), 5, "v0", 5, 0, ways["a"]))
    core.hear(3 * SECOND, "c", News(Snapshot(4, 1, (), b"s"), 4, entries(5), 5, "v0", 5, 0, ways["c"]))
    assert core.log == held and (core.dates.index, core.dates.at) == dates
    assert not [order for order in core.take() if not isinstance(order, Say)]


def whole(seed, hops, delays, loss, twice, make=Follower):
    """A way of so many hops and one of a single hop to the same end, each link with a delay of its own."""
    world = Fleet(seed)
    names = ["v0", *(f"h{n}" for n in range(hops - 1))]
    world.follow("side", "v0", make=make)
    for source, name in zip(names, names[1:], strict=False):
        world.follow(name, source, "side", make=make)
    end = world.follow("end", names[-1], "side", "v0", make=make)
    everybody = [*names, "side", "end"]
    for n, (a, b) in enumerate((a, b) for a in everybody for b in everybody):
        low, high = sorted((delays[n % len(delays)], delays[(n * 7 + 3) % len(delays)]))
        world.net.manners[a, b] = Manner(loss, twice, (low * MS, high * MS))
    world.renew(12, 1.5)
    world.run(20)
    assert end.core.dates.index
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
def test_nothing_is_taken_for_younger_than_it_is_at_any_number_of_hops(seed, hops, delays, loss, twice):
    """Fleet.check looks after every event."""
    whole(seed, hops, delays, loss, twice)


class FromNewest(Follower):
    """A defect: an age is counted from the newest question to the sender."""

    def hear(self, now, sender, message):
        if isinstance(message, News):
            mine = [n for n, (name, _) in self.questions._out.items() if name == sender]
            if mine:
                message = News(
                    message.snapshot,
                    message.index,
                    message.entries,
                    message.commit,
                    message.leader,
                    message.dated,
                    message.age,
                    mine[-1],
                )
        super().hear(now, sender, message)


class FromArrival(Follower):
    """A defect: an age is counted from the answer's coming."""

    def _on_news(self, now, sender, message, asked):
        super()._on_news(now, sender, message, now)


@pytest.mark.parametrize("defect", [FromNewest, FromArrival])
def test_a_planted_defect_of_ages_is_found(defect):
    def broke(seed):
        try:
            whole(seed, 3, [1500, 3000, 100], 0.0, 0.0, defect)
        except AssertionError as error:
            return "younger" in str(error)
        return False

    assert any(broke(seed) for seed in range(1, 6))


# ---- one that starts anew


def test_one_that_restarts_gets_a_snapshot_and_what_came_after_it_in_few_answers():
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
    assert len(asked(node)) <= 1 + follow.KEPT // council.BATCH + 1


def test_one_that_lacks_little_gets_little():
    log = list(entries(*range(11, 21)))
    found = news(Since(18, 9), Snapshot(10, 1, (), b"all"), log, 20, "v0", 20, 5)
    assert found == News(None, 18, entries(19, 20), 20, "v0", 20, 5, 9)


def test_dates_only_ever_get_newer():
    one = Dates()
    for index, at in ((3, 30), (2, 99), (3, 20), (3, 31), (4, 10)):
        one.know(index, at)
    assert (one.index, one.at) == (4, 10)
