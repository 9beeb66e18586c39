"""The RTSP server without sockets: session states, status codes, the order of responses, and invalid input."""

import pytest

from copperyard.interface import OutcomeCode
from copperyard.protocol.rtsp import Frame
from tests.control.helpers import BOUNDS, MS, SECOND, CloseViewer, Viewer, front, play_through, starts

FILM = "rtsp://gw/films/a"
TRANSPORT = (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)


def test_a_session_from_options_to_teardown():
    core = front()
    viewer = Viewer(core)
    assert "SETUP" in viewer.answer(viewer.ask("OPTIONS", "*")).header("Public")
    described = viewer.answer(viewer.ask("DESCRIBE", FILM, (("Accept", "application/sdp"),)))
    assert described.status == 200 and b"m=video 0 RTP/AVP 26" in described.body
    assert described.header("Content-Base") == FILM + "/"
    session = viewer.set_up()
    play = viewer.ask("PLAY", FILM, session + (("Range", "npt=2-"),))
    (attempt,) = starts(core.take_io_actions())
    assert viewer.answer(play) is None
    host = play_through(core, attempt)
    assert [r.method for r in host.asked] == ["SETUP", "SETUP", "PLAY"]
    assert host.asked[2].header("Range") == "npt=2.000-" and host.asked[0].header("Class") == "free"
    answer = viewer.answer(play)
    assert answer.status == 200 and answer.header("Range") == "npt=2.000-8.000"
    assert answer.header("RTP-Info").startswith(f"url={FILM}/track1;seq=")
    assert viewer.answer(viewer.ask("TEARDOWN", FILM, session)).status == 200
    assert attempt.outcome is OutcomeCode.OK and b"TEARDOWN" in attempt.out
    core.session_table.closed(2 * MS, attempt)
    assert (
        not core.session_table.requests and not core.rtsp_server.sessions and not core.session_table.controller.sessions
    )


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
    viewer = Viewer(core)
    assert viewer.answer(viewer.ask(method, url, headers)).status == status
    assert not core.rtsp_server.sessions and not starts(core.take_io_actions())


def test_states_in_which_a_method_is_not_valid():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    assert viewer.answer(viewer.ask("PAUSE", FILM, session)).status == 455
    assert viewer.answer(viewer.ask("PLAY", FILM + "/track1", session)).status == 460
    assert viewer.answer(viewer.ask("PLAY", FILM, session + (("Range", "npt=9-"),))).status == 457
    assert viewer.answer(viewer.ask("SETUP", "rtsp://gw/films/b/track1", session + TRANSPORT)).status == 459
    clash = (("Transport", "RTP/AVP/TCP;interleaved=1-2"),)
    assert viewer.answer(viewer.ask("SETUP", "rtsp://gw/films/b/track1", clash)).status == 461
    viewer.ask("PLAY", FILM, session)
    assert viewer.answer(viewer.ask("SET_PARAMETER", FILM, session)) is None  # queued behind the PLAY
    play_through(core, starts(core.take_io_actions())[0])
    assert viewer.answer(viewer.ask("SETUP", FILM + "/track1", session + TRANSPORT)).status == 455


def test_cseq_and_version():
    viewer = Viewer(front())
    viewer.send(b"OPTIONS * RTSP/1.0\r\n\r\nOPTIONS * RTSP/3.0\r\nCSeq: 5\r\n\r\n")
    assert [e.response.status for e in viewer.events] == [400, 505]


def test_responses_leave_in_the_order_of_their_requests():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    play = viewer.ask("PLAY", FILM, session)
    options = viewer.ask("OPTIONS", "*")
    assert viewer.answer(options) is None
    play_through(core, starts(core.take_io_actions())[0])
    viewer.hear()
    assert [e.cseq for e in viewer.events[-2:]] == [play, options]


def test_a_repeated_play_gets_the_same_answer_as_the_pending_one():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    first, again = viewer.ask("PLAY", FILM, session), viewer.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take_io_actions())
    play_through(core, attempt)
    assert viewer.answer(first).status == viewer.answer(again).status == 200
    assert viewer.answer(viewer.ask("PLAY", FILM, session)).status == 200
    assert not starts(core.take_io_actions())


def test_a_refusal_has_retry_after_and_play_may_be_repeated():
    core = front(hosts=0)
    viewer = Viewer(core)
    session = viewer.set_up()
    play = viewer.ask("PLAY", FILM, session)
    core.wake(4 * SECOND)
    assert viewer.answer(play).status == 453 and viewer.answer(play).header("Retry-After") == "1"
    again = viewer.ask("PLAY", FILM, session, now=5 * SECOND)
    assert viewer.answer(again) is None and len(core.session_table.requests) == 1


def test_pause_and_resume_are_forwarded_to_the_host():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    viewer.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take_io_actions())
    host = play_through(core, attempt)
    pause = viewer.ask("PAUSE", FILM, session)
    assert viewer.answer(pause) is None
    core.session_table.received(2 * MS, attempt, host.good(host.read()[0]))
    assert viewer.answer(pause).status == 200 and viewer.answer(viewer.ask("PAUSE", FILM, session)).status == 200
    play = viewer.ask("PLAY", FILM, session + (("Range", "npt=5-"),))
    (request,) = host.read()
    assert request.header("Range") == "npt=5.000-"
    core.session_table.received(3 * MS, attempt, host.good(request))
    assert viewer.answer(play).status == 200 and not starts(core.take_io_actions())


def test_a_pause_that_the_host_does_not_answer_ends_the_session():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    viewer.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take_io_actions())
    play_through(core, attempt)
    pause = viewer.ask("PAUSE", FILM, session)
    core.session_table.closed(5 * SECOND, attempt) if core.wake(5 * SECOND) else None
    assert attempt.outcome is OutcomeCode.TIMEOUT
    core.session_table.closed(5 * SECOND, attempt)
    assert viewer.answer(pause).status == 504
    assert viewer.answer(viewer.ask("PLAY", FILM, session)).status == 454


def test_media_of_a_lost_host_end_with_a_bye():
    core = front()
    viewer = Viewer(core)
    viewer.ask("PLAY", FILM, viewer.set_up())
    (attempt,) = starts(core.take_io_actions())
    play_through(core, attempt)
    core.session_table.closed(2 * MS, attempt)
    viewer.hear()
    assert [e.channel for e in viewer.events if isinstance(e, Frame)] == [1, 3]


def test_too_many_pending_requests_close_the_connection():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    viewer.send(b"".join(viewer.wire.make_request("PLAY", FILM, session)[1] for _ in range(2)))
    viewer.send(b"OPTIONS * RTSP/1.0\r\nCSeq: 9\r\n\r\n" * 40)
    assert any(isinstance(o, CloseViewer) for o in core.take_io_actions())
    assert len(viewer.connection.pending_responses) <= 33


def test_a_malformed_request_is_logged_and_a_partial_one_is_not():
    core = front()
    viewer = Viewer(core)
    viewer.send(b"DESCRIBE rtsp://gw/fi")
    core.rtsp_server.closed(MS, viewer.connection)
    other = Viewer(core)
    other.send(b"DESCRIBE rtsp://gw/" + b"x" * 9000)
    actions = core.take_io_actions()
    assert [o.event for o in actions if hasattr(o, "event")] == ["viewer malformed"]
    assert any(isinstance(o, CloseViewer) for o in actions) and not core.session_table.requests


def test_an_idle_session_ends_and_an_active_one_goes_on():
    core = front()
    viewer, silent = Viewer(core), Viewer(core)
    session = viewer.set_up()
    silent.set_up()
    viewer.send(b"$\x01\x00\x00", now=15 * SECOND)  # a receiver report counts as well
    core.wake(BOUNDS.idle)
    assert list(core.rtsp_server.sessions) == [session[0][1]]
    core.wake(36 * SECOND)
    assert not core.rtsp_server.sessions
    core.wake(80 * SECOND)  # late timers allow one more second before closing
    core.wake(82 * SECOND)
    assert sum(isinstance(o, CloseViewer) for o in core.take_io_actions()) == 2  # then the connections


def test_a_viewer_that_leaves_during_its_set_up_frees_the_host():
    core = front()
    viewer = Viewer(core)
    viewer.ask("PLAY", FILM, viewer.set_up())
    (attempt,) = starts(core.take_io_actions())
    assert core.session_table.connected(MS, attempt)
    core.rtsp_server.closed(2 * MS, viewer.connection)
    assert attempt.outcome is OutcomeCode.CANCELLED
    core.session_table.closed(3 * MS, attempt)
    assert (
        not core.session_table.requests
        and not core.session_table.controller.sessions
        and len(core.session_table.timers) == 0
    )


def test_limits_on_connections_sessions_and_open_requests():
    from dataclasses import replace

    core = front(bounds=replace(BOUNDS, connections=2, sessions=1, open_requests=0))
    viewer = Viewer(core)
    Viewer(core)
    assert core.rtsp_server.opened(0, "third") is None
    session = viewer.set_up()
    more = (("Transport", "RTP/AVP/TCP;interleaved=8-9"),)
    assert viewer.answer(viewer.ask("SETUP", "rtsp://gw/films/b/track1", more)).status == 503
    assert viewer.answer(viewer.ask("PLAY", FILM, session)).status == 503


def test_a_stalled_front_reads_before_it_ends_an_idle_session():
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    core.wake(60 * SECOND)  # forty seconds late: the keep-alive is still unread in the socket
    assert core.rtsp_server.sessions
    assert viewer.answer(viewer.ask("GET_PARAMETER", FILM, session, now=60 * SECOND + MS)).status == 200
    core.wake(62 * SECOND)
    assert core.rtsp_server.sessions
    core.wake(80 * SECOND + 2 * MS)
    assert not core.rtsp_server.sessions
