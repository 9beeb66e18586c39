"""The life cycle of session requests: single cases, then random interleavings of all events."""

import random
from collections import Counter

import pytest

from copperyard.control.attempt import Stage
from copperyard.interface import ListKind, OutcomeCode, ServerList, ServerState
from copperyard.protocol.rtsp.messages import Response
from tests.control.helpers import (
    MS,
    SECOND,
    FlushAttempt,
    Host,
    LogLine,
    ProbeHost,
    StopAttempt,
    Viewer,
    front,
    play_through,
    publish_hosts,
    starts,
)
from tests.helpers import entry

FILM = "rtsp://gw/films/a"


def request_session(core, query="", now=0):
    """Return a viewer whose PLAY is unanswered, the PLAY's CSeq and its first attempt."""
    viewer = Viewer(core, now)
    session = viewer.set_up(query=query)
    play = viewer.ask("PLAY", FILM, session, now=now)
    found = starts(core.take_io_actions())
    return viewer, play, found[0] if found else None


def answer_setups(core, attempt, now=MS):
    """Let the host answer every SETUP, but not the PLAY."""
    host = Host(attempt)
    assert core.session_table.connected(now, attempt)
    while requests := [r for r in host.read() if r.method == "SETUP"]:
        for request in requests:
            core.session_table.received(now, attempt, host.good(request))
    return host


def expire(core, attempt):
    core.session_table.expired(attempt.deadline, attempt)
    core.session_table.closed(attempt.deadline, attempt)


def host_check_pending(**changes):
    """Return a core with an unanswered PLAY whose attempt waits for the host check, and the host's end."""
    core = front(rank_and_offset=(0, 0), **changes)
    viewer, play, attempt = request_session(core)
    host = Host(attempt)
    assert core.session_table.connected(MS, attempt)
    return core, viewer, play, attempt, host


def test_a_host_not_heard_recently_is_checked_before_the_set_up():
    core, viewer, play, attempt, host = host_check_pending()
    (query,) = host.read()
    assert query.method == "GET_PARAMETER" and attempt.stage is Stage.CHECK and not attempt.sent
    core.session_table.received(2 * MS, attempt, host.reply(query, 501))  # a host without support for the request
    assert [r.method for r in host.read()] == ["SETUP"] and attempt.sent
    # heard just now, so the next attempt skips the check; later ones do not
    assert core.session_table.hosts.heard_recently(50 * MS, attempt.plan.server)
    assert not core.session_table.hosts.heard_recently(200 * MS, attempt.plan.server)


def test_a_host_found_restarted_gets_no_set_up_decided_earlier():
    core, viewer, play, attempt, host = host_check_pending(cold_ratio=0.001)
    core.roster._entries[attempt.plan.server] = entry(attempt.plan.server)  # the list says it has been up for long
    core.roster.addresses[attempt.plan.server] = attempt.plan.address
    (query,) = host.read()
    core.session_table.received(2 * MS, attempt, host.reply(query, 200, (("Host-Up", "boot=9; ms=20"),)))
    assert not host.read() and attempt.outcome is OutcomeCode.MOOT and not attempt.sent
    lines = [o.event for o in core.take_io_actions() if isinstance(o, LogLine)]
    assert "host began anew" in lines
    core.session_table.closed(3 * MS, attempt)
    # the controller knows that the host is cold, so it gets sessions only in turn
    assert core.session_table.controller.servers[attempt.plan.server].entry.started == max(1, 2 * MS - 20 * MS)


@pytest.mark.parametrize("end", ["silence", "nonsense", "close"])
def test_a_host_that_fails_the_check_has_run_nothing(end):
    core, viewer, play, attempt, host = host_check_pending()
    if end == "silence":
        core.wake(MS + core.rules.settings.connect_timeout)
    elif end == "nonsense":
        core.session_table.received(2 * MS, attempt, b"\x00\xff nonsense\r\n\r\n")
    core.session_table.closed(300 * MS, attempt)
    assert core.session_table.counts.outcomes == {"CONNECT_FAILED": 1}


def test_an_outdated_set_up_is_not_sent_after_a_stall():
    core = front()
    viewer, play, attempt = request_session(core)
    assert not core.session_table.connected(600 * MS, attempt) and attempt.outcome is OutcomeCode.MOOT


def test_a_stall_of_the_process_is_logged():
    core = front()
    request_session(core)
    core.wake(core.next_wake() + 400 * MS)
    assert any(isinstance(o, LogLine) and o.event == "stood still" for o in core.take_io_actions())


def test_a_free_session_moves_to_another_host_if_play_is_unanswered():
    core = front()
    viewer, play, attempt = request_session(core)
    answer_setups(core, attempt)
    expire(core, attempt)
    core.wake(attempt.deadline + 300 * MS)
    (second,) = starts(core.take_io_actions())
    assert second.plan.server != attempt.plan.server and second.plan.number == 1
    play_through(core, second, second.decided_at + MS)
    assert viewer.answer(play).status == 200


def test_a_paid_session_fails_if_play_is_unanswered_and_keeps_its_receipt():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    answer_setups(core, attempt)
    expire(core, attempt)
    core.wake(4 * SECOND)
    actions = core.take_io_actions()
    assert viewer.answer(play).status == 504 and not starts(actions)
    lines = [o for o in actions if isinstance(o, LogLine) and o.event != "module"]
    assert [line.event for line in lines] == ["attempt ended", "failed"]
    assert {dict(line.fields)["ref"] for line in lines} == {1} and "X1" not in str(lines)
    # the viewer returns with the same code: it is not redeemed a second time
    _, again, second = request_session(core, "?code=X1", 5 * SECOND)
    host = play_through(core, second, 5 * SECOND)
    first = host.asked[0]
    assert first.header("Redeem") is None and first.header("Receipt") == "r-X1"


def test_a_code_whose_set_up_was_never_answered_is_not_sent_again():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    assert core.session_table.connected(MS, attempt)
    expire(core, attempt)
    assert viewer.answer(play).status == 504
    other, again, second = request_session(core, "?code=X1", 5 * SECOND)
    # not a refusal, which would promise that a retry is safe
    assert second is None and other.answer(again).status == 500


def test_a_code_in_use_is_denied_on_another_connection():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    other, again, second = request_session(core, "?code=X1")
    assert second is None and other.answer(again).status == 403
    play_through(core, attempt)
    assert viewer.answer(play).status == 200


def test_a_453_to_setup_proves_that_the_code_is_unused():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    assert core.session_table.connected(MS, attempt)
    host = Host(attempt)
    core.session_table.received(2 * MS, attempt, host.reply(host.read()[0], 453))
    core.session_table.closed(2 * MS, attempt)
    core.wake(300 * MS)
    (second,) = starts(core.take_io_actions())
    assert play_through(core, second, 301 * MS).asked[0].header("Redeem") == "X1"
    assert viewer.answer(play).status == 200


def test_a_453_to_play_proves_nothing_about_the_code():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    host = answer_setups(core, attempt)
    request = next(r for r in host.asked if r.method == "PLAY")
    core.session_table.received(2 * MS, attempt, host.reply(request, 453))
    core.session_table.closed(2 * MS, attempt)
    core.wake(4 * SECOND)
    assert viewer.answer(play).status == 502 and not starts(core.take_io_actions())


def test_an_invalid_code_does_not_count_against_the_host():
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    assert core.session_table.connected(MS, attempt)
    host = Host(attempt)
    core.session_table.received(2 * MS, attempt, host.reply(host.read()[0], 403))
    assert viewer.answer(play).status == 403
    core.session_table.closed(2 * MS, attempt)
    assert (
        not core.session_table.requests and core.session_table.controller.servers[attempt.plan.server].failure_rate == 0
    )


def test_a_viewer_that_leaves_during_redemption_finds_its_receipt():
    core = front()
    viewer, _, attempt = request_session(core, "?code=X1")
    assert core.session_table.connected(MS, attempt)
    core.rtsp_server.closed(2 * MS, viewer.connection)
    assert attempt.outcome is None  # the answer may be on its way, so the attempt goes on
    host = Host(attempt)
    while requests := host.read():
        for request in requests:
            core.session_table.received(3 * MS, attempt, host.good(request))
    assert attempt.outcome is OutcomeCode.CANCELLED and host.asked[-1].method == "TEARDOWN"
    core.session_table.closed(4 * MS, attempt)
    assert not core.session_table.requests
    assert core.session_table.codes.receipt("X1") == "r-X1"


@pytest.mark.parametrize("drained, leaves", [(False, True), (True, False)])
def test_a_drain_learned_of_while_connecting_stops_the_set_up(drained, leaves):
    core = front()
    _, _, attempt = request_session(core)
    if drained:
        update = (entry(attempt.plan.server, state=ServerState.DRAINING),)
        core.session_table.list_updated(MS, ServerList(ListKind.DELTA, update), {})
    assert core.session_table.connected(2 * MS, attempt) is leaves
    assert bool(attempt.out) is leaves
    if drained:
        core.session_table.closed(2 * MS, attempt)
        assert attempt.outcome is OutcomeCode.MOOT
        assert all(a.plan.server != attempt.plan.server for a in starts(core.take_io_actions()))


def test_a_200_at_the_deadline():
    # The answer counts if it arrives before the deadline fires, and not once the connection was given up.
    for late in (False, True):
        core = front()
        viewer, play, attempt = request_session(core, "?code=X1")
        host = answer_setups(core, attempt)
        good = host.good(next(r for r in host.asked if r.method == "PLAY"))
        if late:
            core.session_table.expired(attempt.deadline, attempt)
        core.session_table.received(attempt.deadline, attempt, good)
        if late:
            core.session_table.closed(attempt.deadline, attempt)
        core.wake(attempt.deadline + SECOND)
        assert viewer.answer(play).status == (504 if late else 200)


def test_a_teardown_that_crosses_a_200():
    core = front()
    viewer, play, attempt = request_session(core)
    host = answer_setups(core, attempt)
    good = host.good(next(r for r in host.asked if r.method == "PLAY"))
    viewer.ask("TEARDOWN", FILM, (("Session", next(iter(core.rtsp_server.sessions))),))
    core.session_table.received(2 * MS, attempt, good)
    assert attempt.outcome is OutcomeCode.CANCELLED and viewer.answer(play).status == 455
    core.session_table.closed(3 * MS, attempt)
    assert not core.session_table.requests


def test_a_teardown_that_races_with_the_hosts_end_of_stream():
    from copperyard.protocol.rtp import Bye, encode_compound

    core = front()
    viewer, play, attempt = request_session(core)
    host = play_through(core, attempt)
    byes = b"".join(host.wire.encode_frame(c, encode_compound([Bye((1,))], 1)) for c in (1, 3))
    session = next(iter(core.rtsp_server.sessions))
    core.session_table.received(2 * MS, attempt, byes)
    assert attempt.outcome is OutcomeCode.OK
    teardown = viewer.ask("TEARDOWN", FILM, (("Session", session),))
    core.session_table.closed(3 * MS, attempt)
    assert viewer.answer(teardown).status == 200 and not core.session_table.requests
    assert viewer.answer(play).status == 200


def test_rung_requests_are_sent_one_at_a_time_and_a_refusal_is_reported():
    core = front()
    _, _, attempt = request_session(core)
    host = play_through(core, attempt)
    attempt.set_rung(1)
    attempt.set_rung(0)
    (first,) = host.read()
    assert first.body == b"rung: 1\r\n"
    core.session_table.received(2 * MS, attempt, host.good(first))
    (second,) = host.read()
    assert second.body == b"rung: 0\r\n"
    core.session_table.received(3 * MS, attempt, host.reply(second, 451))
    assert attempt.rung == 1 and core.session_table.controller.sessions[attempt.plan.ref].rung == 1


def test_a_silent_host_is_reported_and_then_given_up():
    core = front()
    _, _, attempt = request_session(core)
    play_through(core, attempt)
    core.take_io_actions()
    core.wake(1500 * MS)
    assert core.session_table.controller.servers[attempt.plan.server].failure_rate > 0
    assert any(isinstance(o, FlushAttempt) for o in core.take_io_actions()) and b"GET_PARAMETER" in attempt.out
    for n in range(2, 5):
        core.wake(n * SECOND)
    assert attempt.outcome is OutcomeCode.TIMEOUT and any(isinstance(o, StopAttempt) for o in core.take_io_actions())


def test_no_attempt_is_made_at_a_host_without_an_address():
    core = front()
    core.session_table.hosts._hosts.clear()
    viewer, play, attempt = request_session(core)
    assert attempt is None
    core.wake(5 * SECOND)
    assert viewer.answer(play).status == 453


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
def test_invalid_bytes_from_a_host(reply):
    core = front()
    viewer, play, attempt = request_session(core, "?code=X1")
    assert core.session_table.connected(MS, attempt)
    core.session_table.received(2 * MS, attempt, reply)
    core.session_table.closed(3 * MS, attempt)
    core.wake(4 * SECOND)
    assert viewer.answer(play).status in (502, 504) and not starts(core.take_io_actions())


class SimulatedIO:
    """Random I/O: connects, answers, losses, deadlines, drains and viewers in any order."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.core = front(seed, free_retries=2.0, retry_ratio=0.2, retry_window=5 * SECOND)
        self.now = 0
        self.viewers, self.plays = [], []
        self.live = {}
        self.carried = Counter()
        self.out = Counter()
        self.denied = set()

    def run_io_actions(self):
        for action in self.core.take_io_actions():
            if type(action).__name__ == "StartAttempt":
                attempt = action.attempt
                assert not self.out[attempt.plan.ref], "two attempts out at once"
                self.out[attempt.plan.ref] += 1
                self.live[attempt] = None
            elif isinstance(action, ProbeHost):
                self.core.session_table.probed(self.now, action.server, OutcomeCode.TIMEOUT, None)

    def close(self, attempt):
        del self.live[attempt]
        self.out[attempt.plan.ref] -= 1
        code = attempt.plan.code
        self.core.session_table.closed(self.now, attempt)
        if code and attempt.sent and (attempt.outcome is OutcomeCode.FULL or attempt in self.denied):
            self.carried[code] -= 1
        assert all(n <= 1 for n in self.carried.values()), "a code was carried twice"

    def host_step(self):
        attempt = self.random.choice(list(self.live))
        draw = self.random.random()
        if attempt.outcome is not None or draw < 0.07:
            if self.random.random() < 0.3 and attempt.outcome is None:
                self.core.session_table.expired(self.now, attempt)
            self.close(attempt)
        elif attempt.stage is Stage.CONNECT:
            if not self.core.session_table.connected(self.now, attempt):
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
                    if status == 403 and attempt.outcome is None and request.header("Redeem"):
                        self.denied.add(attempt)
                    self.core.session_table.received(self.now, attempt, data)

    def viewer_step(self):
        draw = self.random.random()
        if draw < 0.4 or not self.viewers:
            viewer = Viewer(self.core, self.now)
            code = self.random.choice(("", "", "?code=A", "?code=B", f"?code=N{len(self.viewers)}"))
            session = viewer.set_up(query=code)
            self.viewers.append((viewer, session))
            self.plays.append((viewer, viewer.ask("PLAY", FILM, session, now=self.now)))
        elif draw < 0.7:
            viewer, session = self.random.choice(self.viewers)
            if not viewer.connection.gone and not viewer.connection.closing:
                cseq = viewer.ask(
                    self.random.choice(("PLAY", "PAUSE", "TEARDOWN", "GET_PARAMETER")), FILM, session, now=self.now
                )
                self.plays.append((viewer, cseq))
        else:
            viewer, _ = self.random.choice(self.viewers)
            if not viewer.connection.gone:
                self.core.rtsp_server.closed(self.now, viewer.connection)

    def step(self):
        self.now += self.random.choice((0, MS, 20 * MS, 150 * MS))
        self.core.wake(self.now)
        draw = self.random.random()
        if draw < 0.03:
            state = self.random.choice((ServerState.READY, ServerState.DRAINING))
            publish_hosts(self.core, self.random.randrange(2, 5), state, self.now)
        elif draw < 0.25:
            self.viewer_step()
        elif self.live:
            self.host_step()
        self.run_io_actions()

    def finish(self):
        for viewer, _ in self.viewers:
            if not viewer.connection.gone:
                self.core.rtsp_server.closed(self.now, viewer.connection)
        self.run_io_actions()
        for _ in range(200):
            self.now += 100 * MS
            self.core.wake(self.now)
            self.run_io_actions()
            for attempt in list(self.live):
                if attempt.outcome is not None or self.now >= attempt.deadline:
                    self.core.session_table.expired(self.now, attempt)
                    self.close(attempt)
                    self.run_io_actions()


@pytest.mark.parametrize("seed", range(60))
def test_any_interleaving_gives_each_request_one_answer_and_leaks_nothing(seed):
    io = SimulatedIO(seed)
    for _ in range(400):
        io.step()
    # viewers that stay get their answers by their deadlines
    for _ in range(60):
        io.now += 100 * MS
        io.core.wake(io.now)
        for attempt in list(io.live):
            if attempt.outcome is not None or attempt.stage is not Stage.OPEN and io.now >= attempt.deadline:
                io.core.session_table.expired(io.now, attempt)
                io.close(attempt)
        io.run_io_actions()
    for viewer, cseq in io.plays:
        viewer.hear()
        answers = [e for e in viewer.events if getattr(e, "cseq", None) == cseq]
        assert len(answers) <= 1
        assert answers or viewer.connection.gone, "a request was left without an answer"
        assert not any(type(e).__name__ == "UnsolicitedResponse" for e in viewer.events)
    io.finish()
    core = io.core
    assert (
        not core.session_table.requests
        and not core.rtsp_server.sessions
        and not io.live
        and core.session_table.unanswered == 0
    )
    assert (
        not core.session_table.controller.sessions
        and not core.session_table.controller.held
        and not core.session_table.controller.seats
    )
    assert all(c.ref is None for c in core.session_table.codes._codes.values())


def test_a_response_without_a_reason_is_complete():
    assert Response(453).encode() == b"RTSP/1.0 453 Not Enough Bandwidth\r\n\r\n"
