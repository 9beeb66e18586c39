"""The RTSP front without sockets: states, statuses, the order of answers, and what bad input brings."""

import pytest

from copperyard.interface import Code
from copperyard.protocol.rtsp import Frame
from tests.control.helpers import BOUNDS, MS, SECOND, Guest, Hangup, front, play_through, starts

FILM = "rtsp://gw/films/a"
TRANSPORT = (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)


def test_a_film_from_options_to_teardown():
    core = front()
    guest = Guest(core)
    assert "SETUP" in guest.answer(guest.ask("OPTIONS", "*")).header("Public")
    described = guest.answer(guest.ask("DESCRIBE", FILM, (("Accept", "application/sdp"),)))
    assert described.status == 200 and b"m=video 0 RTP/AVP 26" in described.body
    assert described.header("Content-Base") == FILM + "/"
    session = guest.set_up()
    play = guest.ask("PLAY", FILM, session + (("Range", "npt=2-"),))
    (attempt,) = starts(core.take())
    assert guest.answer(play) is None
    host = play_through(core, attempt)
    assert [r.method for r in host.asked] == ["SETUP", "SETUP", "PLAY"]
    assert host.asked[2].header("Range") == "npt=2.000-" and host.asked[0].header("Class") == "free"
    answer = guest.answer(play)
    assert answer.status == 200 and answer.header("Range") == "npt=2.000-8.000"
    assert answer.header("RTP-Info").startswith(f"url={FILM}/track1;seq=")
    assert guest.answer(guest.ask("TEARDOWN", FILM, session)).status == 200
    assert attempt.verdict is Code.OK and b"TEARDOWN" in attempt.out
    core.plays.closed(2 * MS, attempt)
    assert not core.plays.plays and not core.visits.sessions and not core.plays.controller.sessions


@pytest.mark.parametrize(
    "method, url, headers, status",
    [
        ("DESCRIBE", "rtsp://gw/films/none", (), 404),
        ("DESCRIBE", FILM, (("Accept", "text/html"),), 406),
        ("DESCRIBE", FILM, (("Require", "play.nonsense"),), 551),
        ("SETUP", FILM, TRANSPORT, 459),
        ("SETUP", FILM + "/track3", TRANSPORT, 404),
        ("SETUP", FILM + "/track1", (("Transport", "RTP/AVP;unicast;client_port=5000-5001"),), 461),
        ("SETUP", FILM + "/track1", (), 461),
        ("SETUP", FILM + "/track1", (("Session", "none"), *TRANSPORT), 454),
        ("PLAY", FILM, (), 454),
        ("PLAY", FILM, (("Session", "none"),), 454),
        ("PLAY", FILM, (("Session", "a b"),), 400),
        ("RECORD", FILM, (), 405),
        ("ANNOUNCE", FILM, (), 405),
        ("FLY", FILM, (), 501),
        ("PLAY", "http://gw/films/a", (), 400),
        ("OPTIONS", "*", (("X", "y"),), 200),
        ("GET_PARAMETER", FILM, (), 200),
    ],
)
def test_the_status_for_each_mistake(method, url, headers, status):
    core = front()
    guest = Guest(core)
    assert guest.answer(guest.ask(method, url, headers)).status == status
    assert not core.visits.sessions and not starts(core.take())


def test_states_in_which_a_method_is_not_valid():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    assert guest.answer(guest.ask("PAUSE", FILM, session)).status == 455
    assert guest.answer(guest.ask("PLAY", FILM + "/track1", session)).status == 460
    assert guest.answer(guest.ask("PLAY", FILM, session + (("Range", "npt=9-"),))).status == 457
    assert guest.answer(guest.ask("SETUP", "rtsp://gw/films/b/track1", session + TRANSPORT)).status == 459
    clash = (("Transport", "RTP/AVP/TCP;interleaved=1-2"),)
    assert guest.answer(guest.ask("SETUP", "rtsp://gw/films/b/track1", clash)).status == 461
    guest.ask("PLAY", FILM, session)
    assert guest.answer(guest.ask("SET_PARAMETER", FILM, session)) is None  # in the line behind the PLAY
    play_through(core, starts(core.take())[0])
    assert guest.answer(guest.ask("SETUP", FILM + "/track1", session + TRANSPORT)).status == 455


def test_cseq_and_version():
    guest = Guest(front())
    guest.send(b"OPTIONS * RTSP/1.0\r\n\r\nOPTIONS * RTSP/3.0\r\nCSeq: 5\r\n\r\n")
    assert [e.response.status for e in guest.events] == [400, 505]


def test_answers_leave_in_the_order_of_their_requests():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    play = guest.ask("PLAY", FILM, session)
    options = guest.ask("OPTIONS", "*")
    assert guest.answer(options) is None
    play_through(core, starts(core.take())[0])
    guest.hear()
    assert [e.cseq for e in guest.events[-2:]] == [play, options]


def test_the_play_again_while_the_first_is_out_gets_the_same_answer():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    first, again = guest.ask("PLAY", FILM, session), guest.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take())
    play_through(core, attempt)
    assert guest.answer(first).status == guest.answer(again).status == 200
    assert guest.answer(guest.ask("PLAY", FILM, session)).status == 200
    assert not starts(core.take())


def test_a_refusal_says_when_to_come_again_and_the_session_may_try_anew():
    core = front(hosts=0)
    guest = Guest(core)
    session = guest.set_up()
    play = guest.ask("PLAY", FILM, session)
    core.wake(4 * SECOND)
    assert guest.answer(play).status == 453 and guest.answer(play).header("Retry-After") == "1"
    again = guest.ask("PLAY", FILM, session, now=5 * SECOND)
    assert guest.answer(again) is None and len(core.plays.plays) == 1


def test_pause_and_play_again_go_through_to_the_host():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    guest.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take())
    host = play_through(core, attempt)
    pause = guest.ask("PAUSE", FILM, session)
    assert guest.answer(pause) is None
    core.plays.received(2 * MS, attempt, host.good(host.read()[0]))
    assert guest.answer(pause).status == 200 and guest.answer(guest.ask("PAUSE", FILM, session)).status == 200
    play = guest.ask("PLAY", FILM, session + (("Range", "npt=5-"),))
    (request,) = host.read()
    assert request.header("Range") == "npt=5.000-"
    core.plays.received(3 * MS, attempt, host.good(request))
    assert guest.answer(play).status == 200 and not starts(core.take())


def test_a_pause_that_the_host_leaves_open_ends_the_session():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    guest.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take())
    play_through(core, attempt)
    pause = guest.ask("PAUSE", FILM, session)
    core.plays.closed(5 * SECOND, attempt) if core.wake(5 * SECOND) else None
    assert attempt.verdict is Code.TIMEOUT
    core.plays.closed(5 * SECOND, attempt)
    assert guest.answer(pause).status == 504
    assert guest.answer(guest.ask("PLAY", FILM, session)).status == 454


def test_media_of_a_broken_host_end_with_a_bye():
    core = front()
    guest = Guest(core)
    guest.ask("PLAY", FILM, guest.set_up())
    (attempt,) = starts(core.take())
    play_through(core, attempt)
    core.plays.closed(2 * MS, attempt)
    guest.hear()
    assert [e.channel for e in guest.events if isinstance(e, Frame)] == [1, 3]


def test_too_many_requests_in_the_line_end_the_connection():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    guest.send(b"".join(guest.wire.ask("PLAY", FILM, session)[1] for _ in range(2)))
    guest.send(b"OPTIONS * RTSP/1.0\r\nCSeq: 9\r\n\r\n" * 40)
    assert any(isinstance(o, Hangup) for o in core.take())
    assert len(guest.visitor.slots) <= 33


def test_half_a_message_and_oversize_are_one_line_in_the_log():
    core = front()
    guest = Guest(core)
    guest.send(b"DESCRIBE rtsp://gw/fi")
    core.visits.closed(MS, guest.visitor)
    other = Guest(core)
    other.send(b"DESCRIBE rtsp://gw/" + b"x" * 9000)
    orders = core.take()
    assert [o.event for o in orders if hasattr(o, "event")] == ["viewer malformed"]
    assert any(isinstance(o, Hangup) for o in orders) and not core.plays.plays


def test_a_session_without_a_sign_of_life_ends_and_one_with_it_goes_on():
    core = front()
    guest, silent = Guest(core), Guest(core)
    session = guest.set_up()
    silent.set_up()
    guest.send(b"$\x01\x00\x00", now=15 * SECOND)  # a receiver report counts as well
    core.wake(BOUNDS.idle)
    assert list(core.visits.sessions) == [session[0][1]]
    core.wake(36 * SECOND)
    assert not core.visits.sessions
    core.wake(80 * SECOND)  # found late: once more before it is closed
    core.wake(82 * SECOND)
    assert sum(isinstance(o, Hangup) for o in core.take()) == 2  # and then the connections


def test_a_viewer_that_leaves_while_its_set_up_is_out_frees_the_host():
    core = front()
    guest = Guest(core)
    guest.ask("PLAY", FILM, guest.set_up())
    (attempt,) = starts(core.take())
    assert core.plays.connected(MS, attempt)
    core.visits.closed(2 * MS, guest.visitor)
    assert attempt.verdict is Code.CANCELLED
    core.plays.closed(3 * MS, attempt)
    assert not core.plays.plays and not core.plays.controller.sessions and len(core.plays.timers) == 0


def test_bounds_on_connections_sessions_and_open_requests():
    from dataclasses import replace

    core = front(bounds=replace(BOUNDS, connections=2, sessions=1, open_requests=0))
    guest = Guest(core)
    Guest(core)
    assert core.visits.opened(0, "third") is None
    session = guest.set_up()
    more = (("Transport", "RTP/AVP/TCP;interleaved=8-9"),)
    assert guest.answer(guest.ask("SETUP", "rtsp://gw/films/b/track1", more)).status == 503
    assert guest.answer(guest.ask("PLAY", FILM, session)).status == 503


def test_a_front_that_stood_still_reads_before_it_calls_a_session_idle():
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    core.wake(60 * SECOND)  # forty seconds late: the sign of life lies unread in the socket
    assert core.visits.sessions
    assert guest.answer(guest.ask("GET_PARAMETER", FILM, session, now=60 * SECOND + MS)).status == 200
    core.wake(62 * SECOND)
    assert core.visits.sessions
    core.wake(80 * SECOND + 2 * MS)
    assert not core.visits.sessions
