"""Notices to viewers: who is told that a session is over, on which connection and when."""

import pytest

from copperyard.control.node import bounds
from copperyard.interface import Move
from tests.control.node.helpers import PING, SECOND, CoreDriver, answer, heard, release, setup, sid, teardown


def host_dies(driver, link):
    """The host's process dies: its connections are reset and new ones refused."""
    driver.connect_at_once = False
    driver.link_down(link, reset=True)
    driver.advance(0.6)
    for one in [one for one in driver.dialled if one in one.host.links]:
        driver.link_down(one, refused=True)


def host_releases(driver, link):
    driver.host_sends(link, release(sid(1)))


def host_restarts(driver, link):
    driver.core._session_lost(driver.now, driver.core.sessions_by_id[bytes.fromhex(sid(1))])
    driver.run_actions()


def host_vanishes(driver, link):
    driver.connect_at_once = False
    end, seen = driver.now + 7 * SECOND, len(driver.dialled)
    while driver.now < end and driver.core.sessions:
        driver.advance(0.25)
        for one in [one for one in driver.dialled[seen:] if one in one.host.links]:
            driver.link_down(one, silent=True)
        seen = len(driver.dialled)
    assert not driver.core.sessions


def sends_garbage(driver, viewer):
    driver.send(viewer, b"\0\1\2 no request\r\n\r\n")


def makes_too_many_errors(driver, viewer):
    for _ in range(bounds.MAX_VIEWER_ERRORS):
        driver.send(viewer, setup(sid(99), cls="nobody"))


def is_evicted(driver, viewer):
    driver.core.viewer_disconnected(driver.now, viewer)
    driver.run_actions()


def is_reset(driver, viewer):
    driver.core.viewer_disconnected(driver.now, viewer, undelivered=True)
    driver.run_actions()


ENDS = [host_dies, host_vanishes, host_releases, host_restarts]
LEAVES = [CoreDriver.hang_up, sends_garbage, makes_too_many_errors, is_evicted, is_reset]


def ping(driver, viewer):
    """Send a test; what the viewer hears then but its answer."""
    driver.send(viewer, PING)
    heard = driver.statuses(viewer)
    assert heard[0] == 200
    return heard[1:]


@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize("ends", ENDS)
def test_a_viewer_that_came_back_and_only_tests_is_told(leaves, ends):
    # guards against: a notice that waits for another session to be established though a connection is being read
    driver = CoreDriver()
    viewer, link = driver.established()
    leaves(driver, viewer)
    driver.received.clear()
    back = driver.viewer()
    assert ping(driver, back) == []
    driver.advance(0.1)
    assert ping(driver, back) == []
    ends(driver, link)
    assert driver.statuses(back) == ["TEARDOWN"]


@pytest.mark.parametrize("ends", ENDS)
def test_a_viewer_that_comes_back_after_the_end_is_told(ends):
    # guards against: a notice that waits although its viewer is back and is being answered
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    ends(driver, link)
    back = driver.viewer()
    driver.send(back, PING)
    driver.advance(0.1)
    driver.send(back, PING)
    assert driver.statuses(back).count("TEARDOWN") == 1


def test_a_move_reaches_a_viewer_that_came_back():
    # guards against: a move that waits as long as a release did
    driver = CoreDriver()
    viewer, _ = driver.established()
    driver.hang_up(viewer)
    back = driver.viewer()
    ping(driver, back)
    ping(driver, back)
    (session,) = driver.core.sessions.values()
    driver.core._post_notice(driver.now, session, b"REDIRECT rtsp://media/1 RTSP/1.0\r\n\r\n", driver.now + SECOND)
    driver.run_actions()
    assert driver.statuses(back) == ["REDIRECT"]


@pytest.mark.parametrize(("ends", "limit"), [(host_releases, 1.0), (host_dies, 8.0)])
def test_a_connection_tested_once_is_told_at_the_limit_if_no_other_is_read(ends, limit):
    # guards against: a viewer that sends a single test and then only listens, and is never told
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    back = driver.viewer()
    ping(driver, back)
    heard_at = driver.now
    ends(driver, link)
    while driver.now < heard_at + limit * SECOND and not (heard := driver.statuses(back)):
        driver.advance(0.05)
    assert heard == ["TEARDOWN"] and driver.now < heard_at + limit * SECOND


def test_a_test_after_the_limit_is_answered_with_the_notice():
    # guards against: a viewer that comes back late and sends one test
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    host_releases(driver, link)
    driver.advance(3)
    assert ping(driver, driver.viewer()) == ["TEARDOWN"]


def test_a_client_that_asked_once_and_one_that_is_mute_get_nothing_of_others():
    # guards against: a notice written to a client that may have stopped reading
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    asked, mute = driver.viewer(), driver.viewer()
    driver.send(asked, setup(sid(7), cls="nobody"))
    driver.send(asked, teardown(sid(8)))
    driver.statuses(asked)
    tested = driver.viewer()
    ping(driver, tested)
    reader = driver.viewer()
    ping(driver, reader)
    ping(driver, reader)
    host_releases(driver, link)
    driver.advance(9)
    assert driver.statuses(asked) == [] and driver.statuses(tested) == []
    assert driver.statuses(reader) == ["TEARDOWN"] and b"TEARDOWN" not in driver.received.get(mute, b"")


def test_requests_sent_in_one_piece_do_not_show_that_their_answers_are_read():
    # guards against: a client that sends several requests at once and reads nothing
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    pipelined = driver.viewer()
    driver.send(pipelined, PING * 5)
    assert driver.statuses(pipelined) == [200] * 5
    host_releases(driver, link)
    assert driver.statuses(pipelined) == []


def test_a_notice_on_a_connection_not_known_to_be_read_is_repeated_if_that_ends():
    # guards against: a notice lost on a connection that nobody read
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    tested = driver.viewer()
    ping(driver, tested)
    host_releases(driver, link)
    driver.advance(1)
    assert driver.statuses(tested) == ["TEARDOWN"]
    is_reset(driver, tested)
    reader = driver.viewer()
    assert ping(driver, reader) == ["TEARDOWN"]
    ping(driver, reader)
    driver.hang_up(reader)
    assert not driver.core.pending_notices  # the further test shows that the notice was read


def test_during_a_shutdown_a_connection_tested_once_is_told_at_once():
    # guards against: a process that ends while a notice waits for a better connection
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    tested = driver.viewer()
    ping(driver, tested)
    driver.core.begin_shutdown(driver.now)
    host_releases(driver, link)
    assert driver.statuses(tested) == ["TEARDOWN"] and driver.core.shutdown_complete


def reader(driver):
    """Another viewer's connection that is known to be read."""
    viewer = driver.viewer()
    ping(driver, viewer)
    ping(driver, viewer)
    return viewer


def test_a_notice_written_just_before_a_reset_is_sent_on_another_connection():
    # guards against: a notice that counts as told once it was written, though its connection was reset with it unread
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    host_releases(driver, link)
    assert driver.statuses(viewer) == ["TEARDOWN"]
    is_reset(driver, viewer)
    assert driver.statuses(other) == ["TEARDOWN"]


@pytest.mark.parametrize("after", ["a close", "a reset later", "a reset after a request"])
def test_a_notice_that_was_read_is_not_sent_again(after):
    # guards against: viewers told twice
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    host_releases(driver, link)
    if after == "a reset after a request":
        driver.send(viewer, PING)
    if after == "a reset later":
        driver.advance(1.1)
    driver.core.viewer_disconnected(driver.now, viewer, undelivered=after != "a close")
    driver.run_actions()
    assert driver.statuses(other) == [] and not driver.core.pending_notices


def test_a_buffered_notice_of_a_connection_that_breaks_is_sent_on_another():
    # guards against: a notice lost in the buffer of a connection that its client does not read
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    driver.host_sends(link, release(sid(1)))
    driver.core.outbox_written(driver.now, viewer, True)
    driver.advance(5)
    is_reset(driver, viewer)
    assert driver.statuses(other) == ["TEARDOWN"]


@pytest.mark.parametrize("read", [False, True])
def test_a_notice_behind_buffered_data_is_written_once_that_is_read(read):
    # guards against: a notice forgotten, or told twice, when its connection is slow
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    driver.core.outbox_written(driver.now, viewer, True)
    host_releases(driver, link)
    assert driver.statuses(viewer) == []
    if read:
        driver.core.outbox_written(driver.now, viewer, False)
        driver.run_actions()
    else:
        is_reset(driver, viewer)
    assert driver.statuses(viewer if read else other) == ["TEARDOWN"]
    assert driver.statuses(other if read else viewer) == []


def test_a_connection_is_not_closed_for_being_idle_while_its_session_plays():
    # guards against: a viewer that has been quiet for 30 s and has no connection left to be told on
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.advance(2 * bounds.VIEWER_IDLE_TIMEOUT / SECOND)
    assert viewer.is_open
    host_releases(driver, driver.core.hosts[link.host.server].up_link())
    assert driver.statuses(viewer) == ["TEARDOWN"]
    driver.advance(bounds.VIEWER_IDLE_TIMEOUT / SECOND - 1)
    assert viewer.is_open  # it was in use a moment ago
    driver.advance(2)
    assert not viewer.is_open


def test_a_connection_that_a_session_was_handed_over_on_stays_open_while_that_plays():
    # guards against: the same for a session that the node took over
    driver = CoreDriver()
    viewer = driver.viewer()
    driver.send(viewer, setup(sid(1), facts="home:0;copies:3;top:1;viewer:00;at:s-1"))
    driver.advance(2 * bounds.VIEWER_IDLE_TIMEOUT / SECOND)
    assert viewer.is_open


@pytest.mark.parametrize("tests", [1, 2])
def test_the_connection_that_a_viewer_came_back_on_stays_open_while_its_session_plays(tests):
    # guards against: a viewer that came back and was quiet for 30 s again
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    others = [driver.viewer() for _ in range(3)]
    for one in others:
        ping(driver, one)
    driver.advance(0.1)
    back = driver.viewer()
    for _ in range(tests):
        ping(driver, back)
    driver.advance(2 * bounds.VIEWER_IDLE_TIMEOUT / SECOND)
    assert back.is_open and not any(one.is_open for one in others)
    host_dies(driver, link if link in link.host.links else link.host.up_link())
    driver.advance(8)
    assert driver.statuses(back) == ["TEARDOWN"]


def test_at_the_limit_of_viewers_connections_those_without_a_session_are_closed_first():
    # guards against: a connection closed to make room though the end of a session can be told there only
    driver = CoreDriver()
    holder, _ = driver.established()
    driver.advance(1)
    idle = reader(driver)
    assert driver.core.viewer_to_evict() is idle
    driver.hang_up(idle)
    assert driver.core.viewer_to_evict() is holder


def adopt(driver, viewer, count):
    """Hand over sessions that play at one host."""
    for n in range(1, count + 1):
        driver.send(viewer, setup(sid(n), facts="home:0;copies:3;top:1;viewer:00;at:s-1"))


def test_many_viewers_that_are_away_are_all_told_once_one_connection_is_read():
    # guards against: notices over a fixed number that push the first ones out
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 3000)
    driver.hang_up(viewer)
    (link,) = driver.dialled
    host_dies(driver, link)
    assert len(driver.core.pending_notices) == 3000 and driver.core.notices.dropped == 0
    back = driver.viewer()
    ping(driver, back)
    driver.send(back, PING)
    heard = driver.answers(back)
    assert len({one.header("Session") for one in heard if hasattr(one, "method") and one.method == "TEARDOWN"}) == 3000


def test_notices_that_wait_are_bounded_and_those_dropped_are_counted(monkeypatch):
    # guards against: memory that grows with viewers that never come back, and losses that nobody sees
    monkeypatch.setattr(bounds, "MAX_WAITING_NOTICES", 100)
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 150)
    driver.hang_up(viewer)
    host_dies(driver, driver.dialled[0])
    assert len(driver.core.pending_notices) == 100 and driver.core.notices.dropped == 50
    driver.advance(1)
    assert ("notices to viewers", {"waiting": 100, "late": 0, "dropped": 50}) in driver.lines


def test_notices_long_overdue_make_room():
    # guards against: the notices of viewers that never come back kept for good
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 2)
    driver.hang_up(viewer)
    link = driver.core.sessions_by_id[bytes.fromhex(sid(1))].host.up_link()
    driver.host_sends(link, release(sid(1)))
    driver.advance(bounds.NOTICE_RETENTION_PERIOD / SECOND + 2)
    driver.host_sends(driver.core.sessions_by_id[bytes.fromhex(sid(2))].host.up_link(), release(sid(2)))
    assert len(driver.core.pending_notices) == 1


def test_a_notice_whose_buffer_was_read_a_moment_before_a_reset_is_sent_on_another_connection():
    # guards against: a notice that counts as arrived by the time of its first write, though it lay in a full buffer
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    driver.host_sends(link, release(sid(1)))
    driver.core.outbox_written(driver.now, viewer, True)
    driver.advance(3)
    driver.core.outbox_written(driver.now, viewer, False)
    driver.advance(0.1)
    is_reset(driver, viewer)
    assert driver.statuses(other) == ["TEARDOWN"]


def test_connections_that_only_test_are_told_of_another_viewers_session_a_limited_number_of_times():
    # guards against: a health check that is sent the notices of all absent viewers each time
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    host_releases(driver, link)
    driver.advance(3)
    told = 0
    for _ in range(30):
        check = driver.viewer()
        told += len(ping(driver, check))
        is_reset(driver, check)
        driver.advance(1)
    assert told == bounds.MAX_UNPROVEN_WRITES
    assert ping(driver, back := driver.viewer()) == [] and ping(driver, back) == ["TEARDOWN"]


def test_a_notice_that_comes_back_after_its_retention_is_dropped():
    # guards against: a notice that is kept for good, as it was on its way each time room was made
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    host_releases(driver, link)
    check = driver.viewer()
    ping(driver, check)
    driver.advance(1)
    assert driver.statuses(check) == ["TEARDOWN"]
    for _ in range(3):
        driver.advance(25)
        keep_open(driver, check)
    is_reset(driver, check)
    assert not driver.core.pending_notices and driver.core.notices.dropped == 1


def keep_open(driver, viewer):
    """Keep a connection from being idle, without a sign that it is read."""
    viewer.last_active_at = driver.now


def test_a_connection_with_buffered_data_is_not_chosen_while_another_is_read():
    # guards against: a notice behind data that a client does not read, while another client reads
    driver = CoreDriver()
    viewer, link = driver.established()
    free, stuck = reader(driver), reader(driver)
    driver.core.outbox_written(driver.now, stuck, True)
    driver.hang_up(viewer)
    host_releases(driver, link)
    assert driver.statuses(free) == ["TEARDOWN"] and driver.statuses(stuck) == []


def test_the_notices_of_a_lost_host_are_written_in_parts():
    # guards against: a connection that is cut, as all notices of one host's end do not fit its buffer
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 1000)
    driver.core._host_lost(driver.now, driver.dialled[0].host)
    written = []
    while viewer.has_output:
        written.append(viewer.take_outbox())
        driver.core.outbox_written(driver.now, viewer, False)
    assert len(written) == 4 and sum(data.count(b"TEARDOWN ") for data in written) == 1000
    assert max(map(len, written)) < bounds.MAX_VIEWER_UNSENT_BYTES


def asked_once(driver, n=50):
    """Another viewer's connection that has sent one set-up, which waits for its answer."""
    viewer = driver.viewer()
    driver.send(viewer, setup(sid(n), cls="preview"))
    return viewer


def told_by(driver, viewers, seconds):
    """Let time pass until one of some viewers is told; returns how often each was, and the time that it took."""
    start, counts = driver.now, [0] * len(viewers)
    while driver.now < start + seconds * SECOND and not any(counts):
        driver.advance(0.05)
        counts = [driver.statuses(viewer).count("TEARDOWN") for viewer in viewers]
    return counts, (driver.now - start) / SECOND


@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize(("ends", "limit"), [(host_releases, 1.0), (host_dies, 8.0)])
def test_a_viewer_is_told_on_a_connection_that_has_asked_once(leaves, ends, limit):
    # guards against: a notice that waits for a test, though a connection of a viewer is open (review/7)
    driver = CoreDriver()
    viewer, link = driver.established()
    leaves(driver, viewer)
    other = asked_once(driver)
    ends(driver, link)
    counts, took = told_by(driver, [other], limit)
    assert counts == [1] and took < limit


@pytest.mark.parametrize("seconds", [0.1, 3.0])
def test_a_viewer_is_told_on_a_connection_that_is_newer_than_the_end(seconds):
    # guards against: a notice that waits, though a viewer has come meanwhile and asks for a session
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    host_releases(driver, link)
    driver.advance(seconds)
    counts, _ = told_by(driver, [asked_once(driver)], 1.0 - min(seconds, 0.95))
    assert counts == [1]


@pytest.mark.parametrize("acknowledges", [True, False])
def test_a_notice_that_is_not_acknowledged_is_written_to_another_connection_once(acknowledges):
    # guards against: a notice lost on a connection that nobody reads; one told to each connection in turn
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    others = [asked_once(driver, n) for n in (51, 52, 53)]
    host_releases(driver, link)
    driver.advance(0.7)
    assert [driver.statuses(other) for other in others] == [[], [], ["TEARDOWN"]]
    if acknowledges:
        driver.send(others[2], heard(sid(1)))
    driver.advance(0.29)
    assert [driver.statuses(other).count("TEARDOWN") for other in others] == [0, not acknowledges, 0]
    driver.advance(5)
    assert not any(driver.statuses(other).count("TEARDOWN") for other in others)


def test_a_move_is_written_to_one_connection_as_no_viewer_acknowledges_it():
    # guards against: a move that is repeated for want of an acknowledgement that the platform does not have
    driver = CoreDriver()
    viewer, _ = driver.established()
    driver.hang_up(viewer)
    others = [asked_once(driver, n) for n in (51, 52)]
    session = driver.core.sessions_by_id[bytes.fromhex(sid(1))]
    driver.core._move(driver.now, Move(session.ref))
    driver.run_actions()
    driver.advance(5)
    assert [driver.statuses(other).count("REDIRECT") for other in others] == [0, 1]


@pytest.mark.parametrize("answers", [b"", heard(sid(2)), heard(sid(1))[:-2]])
def test_only_the_acknowledgement_of_the_notice_counts(answers):
    # guards against: any answer taken for the acknowledgement of a notice
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    others = [asked_once(driver, n) for n in (51, 52)]
    host_releases(driver, link)
    driver.advance(0.7)
    driver.send(others[1], answers)
    driver.advance(0.29)
    assert "TEARDOWN" in driver.statuses(others[0])


def test_a_notice_that_was_acknowledged_is_not_sent_again_after_a_reset():
    # guards against: a viewer told twice, as it resets its connection within a second of reading the notice
    driver = CoreDriver()
    viewer, link = driver.established()
    other = reader(driver)
    host_releases(driver, link)
    driver.send(viewer, heard(sid(1)))
    is_reset(driver, viewer)
    assert driver.statuses(other) == [] and not driver.core.pending_notices


@pytest.mark.parametrize("crosses", [False, True])
def test_after_an_orderly_close_a_notice_is_sent_again_only_if_it_has_crossed_the_close(crosses):
    # guards against: a viewer told twice, as it closes its connection in order; a notice that has crossed a close, lost
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    tested = driver.viewer()
    ping(driver, tested)
    host_releases(driver, link)
    driver.advance(0.72)
    assert driver.statuses(tested) == ["TEARDOWN"]
    driver.hang_up(tested)
    assert driver.core.close_may_cross(driver.now, tested)
    if crosses:
        driver.core.close_was_reset(driver.now, tested)
        driver.run_actions()
    driver.advance(1)
    back = driver.viewer()
    assert ping(driver, back) + ping(driver, back) == ["TEARDOWN"] * crosses
    assert not driver.core.pending_notices and driver.core.notices.dropped == 0


def test_a_connection_that_takes_no_data_when_its_notice_is_due_gives_it_to_another():
    # guards against: a notice that waits for a client that reads nothing until its connection is closed (5 s)
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.core.outbox_written(driver.now, viewer, True)
    other = asked_once(driver)
    host_releases(driver, link)
    assert told_by(driver, [other], 1.0)[0] == [1]
    driver.send(other, heard(sid(1)))
    driver.core.outbox_written(driver.now, viewer, False)
    driver.run_actions()
    driver.advance(3)
    assert driver.statuses(viewer) == []


def test_a_mute_connection_is_told_if_there_is_no_other_one():
    # guards against: a viewer that has connected again, has not asked for anything yet, and is not told
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    mute = driver.viewer()
    host_releases(driver, link)
    assert told_by(driver, [mute], 1.0)[0] == [1]


def test_notices_are_written_to_one_mute_connection_at_most():
    # guards against: clients that connect and say nothing using up the writes of a notice
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    mute = [driver.viewer() for _ in range(5)]
    host_releases(driver, link)
    driver.advance(1.5)
    assert sum(driver.statuses(one).count("TEARDOWN") for one in mute) == 1
    assert told_by(driver, [asked_once(driver)], 1.0)[0] == [1]


def test_what_is_remembered_of_a_quiet_connection_that_is_told_of_many_sessions_is_bounded():
    # guards against: memory that grows with each notice on a connection whose client sends nothing more
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 59)
    driver.hang_up(viewer)
    quiet = reader(driver)
    for n in range(1, 60):
        driver.host_sends(driver.core.sessions_by_id[bytes.fromhex(sid(n))].host.up_link(), release(sid(n)))
        driver.advance(0.2)
    assert driver.statuses(quiet) == ["TEARDOWN"] * 59
    assert len(quiet.unconfirmed) <= bounds.NOTICE_RESET_PERIOD / (0.2 * SECOND) + 1


def test_a_shutdown_waits_for_a_connection_as_long_as_a_viewer_can_be_told_in_time():
    # guards against: a process that ends while a viewer that comes back at once could still be told
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    driver.core.begin_shutdown(driver.now)
    host_releases(driver, link)
    assert not driver.core.shutdown_complete
    driver.advance(0.3)
    other = asked_once(driver)
    assert told_by(driver, [other], 0.5)[0] == [1]
    driver.hang_up(other)
    assert driver.core.shutdown_complete


def test_a_shutdown_does_not_wait_for_a_connection_that_would_come_too_late():
    # guards against: a process that does not end, as nobody comes who could be told
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    driver.core.begin_shutdown(driver.now)
    driver.advance(0.2)
    host_releases(driver, link)
    driver.advance(0.9)
    assert not driver.core.shutdown_complete
    driver.advance(0.2)
    assert driver.core.shutdown_complete and driver.core.notices.dropped == 1


@pytest.mark.parametrize("reads_on", [True, False])
def test_a_notice_that_is_still_buffered_when_it_is_due_goes_to_another_connection(reads_on):
    # guards against: a notice in the buffer of a client that reads nothing, until its connection is closed (5 s)
    driver = CoreDriver()
    viewer, link = driver.established()
    other = asked_once(driver)
    driver.core.link_received(driver.now, link, release(sid(1)))
    assert viewer.take_outbox().startswith(b"TEARDOWN")
    driver.core.outbox_written(driver.now, viewer, True)
    driver.run_actions()
    driver.advance(0.3)
    if reads_on:
        driver.core.outbox_written(driver.now, viewer, False)
    driver.advance(0.65)
    assert driver.statuses(other).count("TEARDOWN") == (not reads_on)
    driver.send(other, heard(sid(1)))
    assert not driver.core.pending_notices


def test_a_notice_that_is_not_acknowledged_is_not_written_to_the_same_connection_again():
    # guards against: a viewer told twice on one connection, as its own session is answered there
    driver = CoreDriver()
    viewer, link = driver.established()
    driver.hang_up(viewer)
    other = asked_once(driver)
    host_releases(driver, link)
    driver.advance(1)
    driver.host_sends(next(one for one, session in driver.setups() if session == sid(50)), answer(sid(50)))
    driver.advance(1)
    assert driver.statuses(other).count("TEARDOWN") == 1


def test_many_connections_and_notices_that_nobody_acknowledges_cost_little():
    # guards against: time that grows with the product of waiting notices and open connections
    driver = CoreDriver()
    viewer = driver.viewer()
    adopt(driver, viewer, 2000)
    driver.hang_up(viewer)
    others = [asked_once(driver, 5000 + n) for n in range(100)]
    driver.core._host_lost(driver.now, driver.dialled[0].host)
    driver.run_actions()
    driver.advance(30)
    told = [driver.received.get(other, b"").count(b"TEARDOWN ") for other in others]
    assert sum(told) == 2 * 2000 and sum(count > 0 for count in told) <= 3
