"""Session time-outs: which signs of life keep a session, by kind of viewer, just before and after the time-out."""

import pytest

from copperyard.control.io_actions import FlushAttempt
from copperyard.protocol.rtp import (
    ReceiverReport,
    ReportBlock,
    RtpHeader,
    encode_compound,
    encode_packet,
    parse_compound,
)
from copperyard.protocol.rtsp import Connection, Frame
from tests.control.helpers import BOUNDS, MS, SECOND, WIRE, Viewer, front, play_through, starts

FILM = "rtsp://gw/films/a"
IDLE = BOUNDS.idle


def playing():
    """Return the core, a viewer with a playing session, its Session header, the attempt and the host's end."""
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    viewer.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take_io_actions())
    host = play_through(core, attempt)
    viewer.hear()
    core.rtsp_server.sessions[session[0][1]].bytes_taken = viewer.connection.outbox.bytes_taken
    return core, viewer, session, attempt, host


def send_picture(core, attempt, now, n=0):
    """Let the host send one picture."""
    core.session_table.received(
        now, attempt, Connection.encode_frame(0, encode_packet(RtpHeader(26, n, n * 3600, 77), b"x" * 40))
    )


def receiver_report(ssrc, highest=0):
    return encode_compound([ReceiverReport(5, (ReportBlock(ssrc, 3, 7, highest, 11, 22, 33),))], 5)


def has_session_at(core, now):
    core.wake(now)
    return bool(core.rtsp_server.sessions)


@pytest.mark.parametrize("kind", ["GET_PARAMETER", "OPTIONS", "receiver reports"])
def test_activity_keeps_a_session_and_its_absence_ends_it(kind):
    core = front()
    viewer = Viewer(core)
    session = viewer.set_up()
    now = 0
    for _ in range(6):
        now += IDLE // 2
        core.wake(now)
        if kind == "receiver reports":
            viewer.send(Connection.encode_frame(1, receiver_report(1)), now)
        else:
            assert viewer.answer(viewer.ask(kind, FILM, session, now)).status == 200
    assert has_session_at(core, now + IDLE - MS)
    assert not has_session_at(core, now + IDLE + SECOND)


def test_options_without_a_session_header_keep_no_session():
    core = front()
    viewer = Viewer(core)
    viewer.set_up()
    viewer.ask("OPTIONS", FILM, now=IDLE - SECOND)
    assert not has_session_at(core, IDLE + SECOND // 2)


def test_a_silent_viewer_that_accepts_media_is_alive():
    core, viewer, session, attempt, host = playing()
    now = MS
    for n in range(200):
        now += SECOND // 2
        send_picture(core, attempt, now, n)
        viewer.hear()  # accepts the media and never sends anything
        core.wake(now)
        host.read()
    assert now > 4 * IDLE and core.rtsp_server.sessions and attempt.outcome is None


def test_a_silent_viewer_that_accepts_no_media_times_out():
    core, viewer, session, attempt, host = playing()
    now = MS
    while core.rtsp_server.sessions and now < 4 * IDLE:
        now += SECOND // 2
        send_picture(core, attempt, now)
        core.wake(now)
    assert IDLE <= now <= 2 * IDLE + SECOND and attempt.outcome is not None


def test_a_paused_session_times_out_while_another_plays_on_the_connection():
    core, viewer, session, attempt, host = playing()
    viewer.ask("PAUSE", FILM, session, now=SECOND)
    core.session_table.received(SECOND, attempt, host.good(host.read()[-1]))
    now = SECOND
    while core.rtsp_server.sessions and now < 4 * IDLE:
        now += SECOND // 2
        viewer.connection.outbox.put(b"bytes of another session")
        viewer.connection.outbox.consume(len(viewer.connection.outbox.peek()))
        core.session_table.received(now, attempt, b"")
        core.wake(now)
    assert now <= 2 * IDLE


def test_a_stalled_process_ends_no_session_of_a_live_viewer():
    core, viewer, session, attempt, host = playing()
    for n in range(20):
        send_picture(core, attempt, (n + 1) * SECOND, n)
        viewer.hear()
    late = 3 * IDLE  # the process was stalled; the viewer had accepted what was written before
    core.wake(late)
    assert core.rtsp_server.sessions
    send_picture(core, attempt, late + MS, 99)
    viewer.hear()
    core.wake(late + SECOND + MS)
    assert core.rtsp_server.sessions


def test_receiver_reports_are_translated_for_the_host_and_rate_limited():
    core, viewer, session, attempt, host = playing()
    send_picture(core, attempt, 2 * MS, 500)
    splice = core.rtsp_server.sessions[session[0][1]].playing_splices[0]
    core.take_io_actions()
    host.read()
    told = (1 << 16) + splice.seq - 1 & 0xFFFFFFFF
    for n in range(10):
        viewer.send(Connection.encode_frame(1, receiver_report(splice.ssrc, told)), SECOND + n * MS)
    assert sum(isinstance(o, FlushAttempt) for o in core.take_io_actions()) == 1
    wire = Connection(WIRE)
    (frame,) = [e for e in wire.receive(bytes(attempt.out)) if isinstance(e, Frame)]
    compound = parse_compound(frame.payload)
    assert compound is not None
    report = compound[0]
    (block,) = report.blocks
    assert frame.channel == 1 and block.ssrc == 77 and block.highest_seq & 0xFFFF == 500
    assert (block.fraction_lost, block.cumulative_lost, block.jitter, block.last_sr, block.delay_since_sr) == (
        3,
        7,
        11,
        22,
        33,
    )


@pytest.mark.parametrize("payload", [b"", b"\x80", b"\x81\xc9\x00\x07" + bytes(8), receiver_report(12345)])
def test_invalid_reports_and_those_of_other_sources_are_dropped(payload):
    core, viewer, session, attempt, host = playing()
    send_picture(core, attempt, 2 * MS)
    host.read()
    viewer.send(Connection.encode_frame(1, payload), SECOND)
    assert not attempt.out and core.rtsp_server.sessions


def test_reports_for_a_host_that_reads_nothing_are_bounded():
    core, viewer, session, attempt, host = playing()
    send_picture(core, attempt, 2 * MS)
    splice = core.rtsp_server.sessions[session[0][1]].playing_splices[0]
    for n in range(1000):
        viewer.send(Connection.encode_frame(1, receiver_report(splice.ssrc)), (n + 1) * 2 * SECOND)
    assert len(attempt.out) < 8192 + 200
