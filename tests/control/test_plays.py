"""The life of a wish: each hard case by hand, then drawn interleavings of all that can happen."""

import random
from collections import Counter

import pytest

from copperyard.control.attempt import Stage
from copperyard.interface import Code, ListKind, ServerList, ServerState
from copperyard.protocol.rtsp.messages import Response
from tests.control.helpers import (
    MS,
    SECOND,
    Ask,
    Flush,
    Guest,
    Host,
    Line,
    Stop,
    front,
    listing,
    play_through,
    starts,
)
from tests.helpers import entry

FILM = "rtsp://gw/films/a"


def begun(core, query="", now=0):
    """A viewer whose PLAY is out: the guest, the PLAY's number, its first attempt."""
    guest = Guest(core, now)
    session = guest.set_up(query=query)
    play = guest.ask("PLAY", FILM, session, now=now)
    found = starts(core.take())
    return guest, play, found[0] if found else None


def set_up(core, attempt, now=MS):
    """The host answers every SETUP and is quiet from the PLAY on."""
    host = Host(attempt)
    assert core.plays.connected(now, attempt)
    while requests := [r for r in host.read() if r.method == "SETUP"]:
        for request in requests:
            core.plays.received(now, attempt, host.good(request))
    return host


def expire(core, attempt):
    core.plays.expired(attempt.limit, attempt)
    core.plays.closed(attempt.limit, attempt)


def asked_first(**changes):
    """A core that asks first, its viewer's PLAY out, the connection up: all, and the host's end of it."""
    core = front(turn=(0, 0), **changes)
    guest, play, attempt = begun(core)
    host = Host(attempt)
    assert core.plays.connected(MS, attempt)
    return core, guest, play, attempt, host


def test_a_host_not_heard_of_lately_is_asked_before_a_set_up_leaves():
    core, guest, play, attempt, host = asked_first()
    (question,) = host.read()
    assert question.method == "GET_PARAMETER" and attempt.stage is Stage.ASK and not attempt.sent
    core.plays.received(2 * MS, attempt, host.reply(question, 501))  # one that knows no such question
    assert [r.method for r in host.read()] == ["SETUP"] and attempt.sent
    # heard of just now: the next one goes there at once, and later it is asked again
    assert core.plays.hosts.sure(50 * MS, attempt.plan.server)
    assert not core.plays.hosts.sure(200 * MS, attempt.plan.server)


def test_a_host_that_says_that_it_began_anew_gets_nothing_that_was_decided_before():
    core, guest, play, attempt, host = asked_first(cold_from=0.001)
    core.roster._entries[attempt.plan.server] = entry(attempt.plan.server)  # as the list told it: up for long
    core.roster.addresses[attempt.plan.server] = attempt.plan.address
    (question,) = host.read()
    core.plays.received(2 * MS, attempt, host.reply(question, 200, (("Host-Up", "boot=9; ms=20"),)))
    assert not host.read() and attempt.verdict is Code.MOOT and not attempt.sent
    lines = [o.event for o in core.take() if isinstance(o, Line)]
    assert "host began anew" in lines
    core.plays.closed(3 * MS, attempt)
    # the module knows: it is cold, and its like get nothing out of turn
    assert core.plays.controller.servers[attempt.plan.server].entry.started == max(1, 2 * MS - 20 * MS)


@pytest.mark.parametrize("end", ["silence", "nonsense", "close"])
def test_a_host_that_does_not_say_that_it_is_there_has_run_nothing(end):
    core, guest, play, attempt, host = asked_first()
    if end == "silence":
        core.wake(MS + core.rules.settings.connect_timeout)
    elif end == "nonsense":
        core.plays.received(2 * MS, attempt, b"\x00\xff nonsense\r\n\r\n")
    core.plays.closed(300 * MS, attempt)
    assert core.plays.counts.outcomes == {"CONNECT_FAILED": 1}


def test_a_set_up_decided_long_ago_does_not_leave_after_a_stand():
    core = front()
    guest, play, attempt = begun(core)
    assert not core.plays.connected(600 * MS, attempt) and attempt.verdict is Code.MOOT


def test_standing_still_is_told():
    core = front()
    begun(core)
    core.wake(core.next_wake() + 400 * MS)
    assert any(isinstance(o, Line) and o.event == "stood still" for o in core.take())


def test_a_host_quiet_before_play_a_free_session_is_placed_elsewhere_in_time():
    core = front()
    guest, play, attempt = begun(core)
    set_up(core, attempt)
    expire(core, attempt)
    core.wake(attempt.limit + 300 * MS)
    (second,) = starts(core.take())
    assert second.plan.server != attempt.plan.server and second.plan.number == 1
    play_through(core, second, second.began + MS)
    assert guest.answer(play).status == 200


def test_a_host_quiet_before_play_a_paid_session_fails_once_and_its_receipt_is_kept():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    set_up(core, attempt)
    expire(core, attempt)
    core.wake(4 * SECOND)
    orders = core.take()
    assert guest.answer(play).status == 504 and not starts(orders)
    lines = [o for o in orders if isinstance(o, Line) and o.event != "module"]
    assert [line.event for line in lines] == ["attempt ended", "failed"]
    assert {dict(line.fields)["ref"] for line in lines} == {1} and "X1" not in str(lines)
    # the family comes again with the same code: it is not redeemed a second time
    _, again, second = begun(core, "?code=X1", 5 * SECOND)
    host = play_through(core, second, 5 * SECOND)
    first = host.asked[0]
    assert first.header("Redeem") is None and first.header("Receipt") == "r-X1"


def test_a_code_whose_set_up_was_never_answered_is_not_sent_again():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    assert core.plays.connected(MS, attempt)
    expire(core, attempt)
    assert guest.answer(play).status == 504
    other, again, second = begun(core, "?code=X1", 5 * SECOND)
    assert second is None and other.answer(again).status == 500  # no refusal: that would promise too much


def test_the_same_code_on_another_connection_while_the_first_is_out():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    other, again, second = begun(core, "?code=X1")
    assert second is None and other.answer(again).status == 403
    play_through(core, attempt)
    assert guest.answer(play).status == 200


def test_a_full_answer_proves_that_the_code_is_still_good():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    assert core.plays.connected(MS, attempt)
    host = Host(attempt)
    core.plays.received(2 * MS, attempt, host.reply(host.read()[0], 453))
    core.plays.closed(2 * MS, attempt)
    core.wake(300 * MS)
    (second,) = starts(core.take())
    assert play_through(core, second, 301 * MS).asked[0].header("Redeem") == "X1"
    assert guest.answer(play).status == 200


def test_a_full_answer_after_the_redemption_proves_nothing():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    host = set_up(core, attempt)
    request = next(r for r in host.asked if r.method == "PLAY")
    core.plays.received(2 * MS, attempt, host.reply(request, 453))
    core.plays.closed(2 * MS, attempt)
    core.wake(4 * SECOND)
    assert guest.answer(play).status == 502 and not starts(core.take())


def test_a_code_that_the_office_does_not_know_is_the_viewers_matter():
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    assert core.plays.connected(MS, attempt)
    host = Host(attempt)
    core.plays.received(2 * MS, attempt, host.reply(host.read()[0], 403))
    assert guest.answer(play).status == 403
    core.plays.closed(2 * MS, attempt)
    assert not core.plays.plays and core.plays.controller.servers[attempt.plan.server].bad == 0


def test_the_viewer_leaves_mid_redemption_and_finds_its_receipt():
    core = front()
    guest, _, attempt = begun(core, "?code=X1")
    assert core.plays.connected(MS, attempt)
    core.visits.closed(2 * MS, guest.visitor)
    assert attempt.verdict is None  # the answer may be under way: it is waited for
    host = Host(attempt)
    while requests := host.read():
        for request in requests:
            core.plays.received(3 * MS, attempt, host.good(request))
    assert attempt.verdict is Code.CANCELLED and host.asked[-1].method == "TEARDOWN"
    core.plays.closed(4 * MS, attempt)
    assert not core.plays.plays
    assert core.plays.codes.receipt("X1") == "r-X1"


@pytest.mark.parametrize("drained, leaves", [(False, True), (True, False)])
def test_a_drain_heard_while_connecting_stops_the_set_up(drained, leaves):
    core = front()
    _, _, attempt = begun(core)
    if drained:
        news = (entry(attempt.plan.server, state=ServerState.DRAINING),)
        core.plays.listed(MS, ServerList(ListKind.DELTA, news), {})
    assert core.plays.connected(2 * MS, attempt) is leaves
    assert bool(attempt.out) is leaves
    if drained:
        core.plays.closed(2 * MS, attempt)
        assert attempt.verdict is Code.MOOT
        assert all(a.plan.server != attempt.plan.server for a in starts(core.take()))


def test_the_200_in_the_moment_of_the_limit():
    # heard before the limit fired: it plays; after the connection was given up: it counts for nothing
    for late in (False, True):
        core = front()
        guest, play, attempt = begun(core, "?code=X1")
        host = set_up(core, attempt)
        good = host.good(next(r for r in host.asked if r.method == "PLAY"))
        if late:
            core.plays.expired(attempt.limit, attempt)
        core.plays.received(attempt.limit, attempt, good)
        if late:
            core.plays.closed(attempt.limit, attempt)
        core.wake(attempt.limit + SECOND)
        assert guest.answer(play).status == (504 if late else 200)


def test_a_cancel_that_crosses_a_success():
    core = front()
    guest, play, attempt = begun(core)
    host = set_up(core, attempt)
    good = host.good(next(r for r in host.asked if r.method == "PLAY"))
    guest.ask("TEARDOWN", FILM, (("Session", next(iter(core.visits.sessions))),))
    core.plays.received(2 * MS, attempt, good)
    assert attempt.verdict is Code.CANCELLED and guest.answer(play).status == 455
    core.plays.closed(3 * MS, attempt)
    assert not core.plays.plays


def test_a_teardown_races_with_the_hosts_own_end():
    from copperyard.protocol.rtp import Bye, encode_compound

    core = front()
    guest, play, attempt = begun(core)
    host = play_through(core, attempt)
    byes = b"".join(host.wire.frame(c, encode_compound([Bye((1,))], 1)) for c in (1, 3))
    session = next(iter(core.visits.sessions))
    core.plays.received(2 * MS, attempt, byes)
    assert attempt.verdict is Code.OK
    teardown = guest.ask("TEARDOWN", FILM, (("Session", session),))
    core.plays.closed(3 * MS, attempt)
    assert guest.answer(teardown).status == 200 and not core.plays.plays
    assert guest.answer(play).status == 200


def test_rungs_go_to_the_host_one_at_a_time_and_a_refused_one_is_told():
    core = front()
    _, _, attempt = begun(core)
    host = play_through(core, attempt)
    attempt.set_rung(1)
    attempt.set_rung(0)
    (first,) = host.read()
    assert first.body == b"rung: 1\r\n"
    core.plays.received(2 * MS, attempt, host.good(first))
    (second,) = host.read()
    assert second.body == b"rung: 0\r\n"
    core.plays.received(3 * MS, attempt, host.reply(second, 451))
    assert attempt.rung == 1 and core.plays.controller.sessions[attempt.plan.ref].rung == 1


def test_a_host_that_falls_silent_is_told_of_and_then_given_up():
    core = front()
    _, _, attempt = begun(core)
    play_through(core, attempt)
    core.take()
    core.wake(1500 * MS)
    assert core.plays.controller.servers[attempt.plan.server].bad > 0
    assert any(isinstance(o, Flush) for o in core.take()) and b"GET_PARAMETER" in attempt.out
    for n in range(2, 5):
        core.wake(n * SECOND)
    assert attempt.verdict is Code.TIMEOUT and any(isinstance(o, Stop) for o in core.take())


def test_an_attempt_for_a_host_without_an_address_never_leaves():
    core = front()
    core.plays.hosts._known.clear()
    guest, play, attempt = begun(core)
    assert attempt is None
    core.wake(5 * SECOND)
    assert guest.answer(play).status == 453


@pytest.mark.parametrize(
    "reply",
    [
        b"RTSP/1.0 200 OK\r\nCSeq: 77\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"$\xff\xff",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: a b\r\n\r\n",
    ],
)
def test_bytes_of_a_host_that_make_no_sense(reply):
    core = front()
    guest, play, attempt = begun(core, "?code=X1")
    assert core.plays.connected(MS, attempt)
    core.plays.received(2 * MS, attempt, reply)
    core.plays.closed(3 * MS, attempt)
    core.wake(4 * SECOND)
    assert guest.answer(play).status in (502, 504) and not starts(core.take())


class World:
    """The I/O with drawn luck: connects, answers, losses, limits, drains and viewers in any order."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.core = front(seed, free_resends=2.0, further_ratio=0.2, ratio_span=5 * SECOND)
        self.now = 0
        self.guests, self.plays = [], []
        self.live = {}
        self.carried = Counter()
        self.out = Counter()
        self.denied = set()

    def orders(self):
        for order in self.core.take():
            if type(order).__name__ == "Start":
                attempt = order.attempt
                assert not self.out[attempt.plan.ref], "two attempts out at once"
                self.out[attempt.plan.ref] += 1
                self.live[attempt] = None
            elif isinstance(order, Ask):
                self.core.plays.probed(self.now, order.server, Code.TIMEOUT, None)

    def close(self, attempt):
        del self.live[attempt]
        self.out[attempt.plan.ref] -= 1
        code = attempt.plan.code
        self.core.plays.closed(self.now, attempt)
        if code and attempt.sent and (attempt.verdict is Code.FULL or attempt in self.denied):
            self.carried[code] -= 1
        assert all(n <= 1 for n in self.carried.values()), "a code was carried twice"

    def host_step(self):
        attempt = self.random.choice(list(self.live))
        luck = self.random.random()
        if attempt.verdict is not None or luck < 0.07:
            if self.random.random() < 0.3 and attempt.verdict is None:
                self.core.plays.expired(self.now, attempt)
            self.close(attempt)
        elif attempt.stage is Stage.CONNECT:
            if not self.core.plays.connected(self.now, attempt):
                self.close(attempt)
            else:
                self.live[attempt] = Host(attempt)
                if attempt.plan.code:
                    self.carried[attempt.plan.code] += 1
        else:
            host = self.live[attempt]
            for request in host.read():
                status = self.random.choices((200, 453, 500, 403, 0), (20, 2, 1, 1, 1))[0]
                if status:
                    data = host.good(request) if status == 200 else host.reply(request, status)
                    if status == 403 and attempt.verdict is None and request.header("Redeem"):
                        self.denied.add(attempt)
                    self.core.plays.received(self.now, attempt, data)

    def viewer_step(self):
        luck = self.random.random()
        if luck < 0.4 or not self.guests:
            guest = Guest(self.core, self.now)
            code = self.random.choice(("", "", "?code=A", "?code=B", f"?code=N{len(self.guests)}"))
            session = guest.set_up(query=code)
            self.guests.append((guest, session))
            self.plays.append((guest, guest.ask("PLAY", FILM, session, now=self.now)))
        elif luck < 0.7:
            guest, session = self.random.choice(self.guests)
            if not guest.visitor.gone and not guest.visitor.closing:
                cseq = guest.ask(
                    self.random.choice(("PLAY", "PAUSE", "TEARDOWN", "GET_PARAMETER")), FILM, session, now=self.now
                )
                self.plays.append((guest, cseq))
        else:
            guest, _ = self.random.choice(self.guests)
            if not guest.visitor.gone:
                self.core.visits.closed(self.now, guest.visitor)

    def step(self):
        self.now += self.random.choice((0, MS, 20 * MS, 150 * MS))
        self.core.wake(self.now)
        luck = self.random.random()
        if luck < 0.03:
            state = self.random.choice((ServerState.READY, ServerState.DRAINING))
            listing(self.core, self.random.randrange(2, 5), state, self.now)
        elif luck < 0.25:
            self.viewer_step()
        elif self.live:
            self.host_step()
        self.orders()

    def finish(self):
        for guest, _ in self.guests:
            if not guest.visitor.gone:
                self.core.visits.closed(self.now, guest.visitor)
        self.orders()
        for _ in range(200):
            self.now += 100 * MS
            self.core.wake(self.now)
            self.orders()
            for attempt in list(self.live):
                if attempt.verdict is not None or self.now >= attempt.limit:
                    self.core.plays.expired(self.now, attempt)
                    self.close(attempt)
                    self.orders()


@pytest.mark.parametrize("seed", range(60))
def test_any_interleaving_gives_each_request_one_answer_and_leaves_nothing(seed):
    world = World(seed)
    for _ in range(400):
        world.step()
    # viewers that stayed get their answers once their time is up
    for _ in range(60):
        world.now += 100 * MS
        world.core.wake(world.now)
        for attempt in list(world.live):
            if attempt.verdict is not None or attempt.stage is not Stage.OPEN and world.now >= attempt.limit:
                world.core.plays.expired(world.now, attempt)
                world.close(attempt)
        world.orders()
    for guest, cseq in world.plays:
        guest.hear()
        answers = [e for e in guest.events if getattr(e, "cseq", None) == cseq]
        assert len(answers) <= 1
        assert answers or guest.visitor.gone, "a request was left without an answer"
        assert not any(type(e).__name__ == "Unasked" for e in guest.events)
    world.finish()
    core = world.core
    assert not core.plays.plays and not core.visits.sessions and not world.live and core.plays.waiting == 0
    assert not core.plays.controller.sessions and not core.plays.controller.held and not core.plays.controller.seats
    assert all(c.ref is None for c in core.plays.codes._codes.values())


def test_a_response_without_a_reason_is_whole():
    assert Response(453).encode() == b"RTSP/1.0 453 Not Enough Bandwidth\r\n\r\n"
