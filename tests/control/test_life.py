"""Signs of life, by the kinds of viewer that the field has, each at the edge of the time-out."""

import pytest

from copperyard.control.orders import Flush
from copperyard.protocol.rtp import Block, Packet, ReceiverReport, encode_compound, pack, parse_compound
from copperyard.protocol.rtsp import Connection, Frame
from tests.control.helpers import BOUNDS, MS, SECOND, WIRE, Guest, front, play_through, starts

FILM = "rtsp://gw/films/a"
IDLE = BOUNDS.idle


def playing():
    """A viewer whose film plays: the core, the viewer, its session, the attempt, the host's end."""
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    guest.ask("PLAY", FILM, session)
    (attempt,) = starts(core.take())
    host = play_through(core, attempt)
    guest.hear()
    core.visits.sessions[session[0][1]].taken = guest.visitor.outbox.taken
    return core, guest, session, attempt, host


def feed(core, attempt, now, n=0):
    """The host sends a picture."""
    core.plays.received(now, attempt, Connection.frame(0, pack(Packet(26, n, n * 3600, 77), b"x" * 40)))


def rr(ssrc, highest=0):
    return encode_compound([ReceiverReport(5, (Block(ssrc, 3, 7, highest, 11, 22, 33),))], 5)


def alive_at(core, now):
    core.wake(now)
    return bool(core.visits.sessions)


@pytest.mark.parametrize("kind", ["GET_PARAMETER", "OPTIONS", "receiver reports"])
def test_a_sign_at_half_the_time_out_keeps_a_session_and_its_end_ends_it(kind):
    core = front()
    guest = Guest(core)
    session = guest.set_up()
    now = 0
    for _ in range(6):
        now += IDLE // 2
        core.wake(now)
        if kind == "receiver reports":
            guest.send(Connection.frame(1, rr(1)), now)
        else:
            assert guest.answer(guest.ask(kind, FILM, session, now)).status == 200
    assert alive_at(core, now + IDLE - MS)
    assert not alive_at(core, now + IDLE + SECOND)


def test_options_without_a_session_keep_none():
    core = front()
    guest = Guest(core)
    guest.set_up()
    guest.ask("OPTIONS", FILM, now=IDLE - SECOND)
    assert not alive_at(core, IDLE + SECOND // 2)


def test_media_taken_and_nothing_said_is_alive():
    core, guest, session, attempt, host = playing()
    now = MS
    for n in range(200):
        now += SECOND // 2
        feed(core, attempt, now, n)
        guest.hear()  # takes what there is, and never speaks
        core.wake(now)
        host.read()
    assert now > 4 * IDLE and core.visits.sessions and attempt.verdict is None


def test_media_not_taken_and_nothing_said_is_not():
    core, guest, session, attempt, host = playing()
    now = MS
    while core.visits.sessions and now < 4 * IDLE:
        now += SECOND // 2
        feed(core, attempt, now)
        core.wake(now)
    assert IDLE <= now <= 2 * IDLE + SECOND and attempt.verdict is not None


def test_a_paused_session_needs_a_sign_though_another_plays_beside_it():
    core, guest, session, attempt, host = playing()
    guest.ask("PAUSE", FILM, session, now=SECOND)
    core.plays.received(SECOND, attempt, host.good(host.read()[-1]))
    now = SECOND
    while core.visits.sessions and now < 4 * IDLE:
        now += SECOND // 2
        guest.visitor.outbox.put(b"bytes of another session")
        guest.visitor.outbox.took(len(guest.visitor.outbox.peek()))
        core.plays.received(now, attempt, b"")
        core.wake(now)
    assert now <= 2 * IDLE


def test_a_stall_of_the_front_in_between_ends_no_session_whose_viewer_is_there():
    core, guest, session, attempt, host = playing()
    for n in range(20):
        feed(core, attempt, (n + 1) * SECOND, n)
        guest.hear()
    late = 3 * IDLE  # the front stands still; the viewer took what was written before
    core.wake(late)
    assert core.visits.sessions
    feed(core, attempt, late + MS, 99)
    guest.hear()
    core.wake(late + SECOND + MS)
    assert core.visits.sessions


def test_receiver_reports_reach_the_host_in_its_own_numbers_and_not_too_many():
    core, guest, session, attempt, host = playing()
    feed(core, attempt, 2 * MS, 500)
    leg = core.visits.sessions[session[0][1]].order[0]
    core.take()
    host.read()
    told = (1 << 16) + leg.seq - 1 & 0xFFFFFFFF
    for n in range(10):
        guest.send(Connection.frame(1, rr(leg.ssrc, told)), SECOND + n * MS)
    assert sum(isinstance(o, Flush) for o in core.take()) == 1
    wire = Connection(WIRE)
    (frame,) = [e for e in wire.receive(bytes(attempt.out)) if isinstance(e, Frame)]
    compound = parse_compound(frame.payload)
    assert compound is not None
    report = compound[0]
    (block,) = report.blocks
    assert frame.channel == 1 and block.ssrc == 77 and block.highest & 0xFFFF == 500
    assert (block.lost_share, block.lost, block.jitter, block.last_sr, block.delay) == (3, 7, 11, 22, 33)


@pytest.mark.parametrize("payload", [b"", b"\x80", b"\x81\xc9\x00\x07" + bytes(8), rr(12345)])
def test_reports_that_make_no_sense_or_are_of_another_source_go_nowhere(payload):
    core, guest, session, attempt, host = playing()
    feed(core, attempt, 2 * MS)
    host.read()
    guest.send(Connection.frame(1, payload), SECOND)
    assert not attempt.out and core.visits.sessions


def test_a_host_that_reads_nothing_gathers_no_reports():
    core, guest, session, attempt, host = playing()
    feed(core, attempt, 2 * MS)
    leg = core.visits.sessions[session[0][1]].order[0]
    for n in range(1000):
        guest.send(Connection.frame(1, rr(leg.ssrc)), (n + 1) * 2 * SECOND)
    assert len(attempt.out) < 8192 + 200
