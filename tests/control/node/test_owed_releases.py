"""Releases that are owed to one host: what counts as arrived, what is written again, and the bounds."""

from copperyard.control.node import bounds
from copperyard.control.node.owed_releases import OwedReleases
from tests.control.node.helpers import SECOND, CoreDriver, answer, host, release, setup, sid, teardown

START = 100 * SECOND
FIRST, SECOND_LINK = 1, 2


def written(*sessions, at=START):
    owed = OwedReleases()
    for session in sessions:
        owed.written(at, FIRST, release(sid(session)))
    return owed


def test_an_acknowledged_release_is_not_written_again():
    owed = written(1, 2)
    owed.acknowledged(bytes.fromhex(sid(1)))
    owed.connection_ended(START, FIRST, undelivered=True)
    assert owed.take_waiting(START) == [release(sid(2))]


def test_what_a_host_read_before_it_closed_the_connection_in_order_is_not_written_again():
    # guards against: a connection opened for releases that arrived, at each close of an idle one
    owed = written(1)
    owed.written(START + 2 * SECOND, FIRST, release(sid(2)))
    owed.connection_ended(START + 2 * SECOND, FIRST, undelivered=False)
    assert owed.take_waiting(START) == [release(sid(2))] and len(owed) == 0


def test_a_connection_that_goes_on_shows_that_releases_arrived():
    owed = written(1, 2)
    owed.connection_heard(START + SECOND // 2, FIRST)  # it may have been on its way
    owed.connection_heard(START + 2 * SECOND, SECOND_LINK)
    assert len(owed) == 2
    owed.connection_heard(START + 2 * SECOND, FIRST)
    assert len(owed) == 0


def test_a_connection_that_makes_room_for_another_host_leaves_nothing_owed():
    # guards against: hosts that make room for each other in turn, as each owes a release to the one closed last
    driver = CoreDriver(hosts=1)
    viewer, link = driver.established()
    driver.send(viewer, teardown(sid(1)))
    assert len(link.host.owed) == 1
    driver.core.link_evicted(driver.now, link)
    assert len(link.host.owed) == 0


def test_a_session_that_is_set_up_again_at_the_host_is_not_released_by_the_earlier_release():
    # guards against: a session released though its viewer holds it (seed 539 of the drawn runs)
    owed = written(1)
    owed.withdraw(bytes.fromhex(sid(1)))
    owed.connection_ended(START, FIRST, undelivered=True)
    assert owed.take_waiting(START) == []


def test_owed_releases_are_bounded_in_number_time_and_writes():
    # guards against: memory for a host that stays away, and a release written to no end
    owed = OwedReleases()
    for n in range(bounds.MAX_OWED_RELEASES + 10):
        owed.wait(START, release(sid(n)), redial=False)
    assert len(owed) == bounds.MAX_OWED_RELEASES
    assert owed.take_waiting(START + bounds.OWED_RELEASE_RETENTION_PERIOD + 1) == []
    writes = 0
    owed.wait(START, release(sid(1)), redial=True)
    while frames := owed.take_waiting(START):
        writes += 1
        owed.written(START, writes, *frames)
        assert not owed.is_worth_redialling
        owed.connection_ended(START, writes, undelivered=True)
    assert writes == bounds.MAX_RELEASE_WRITES


def test_the_new_process_of_a_host_is_sent_no_releases_of_the_old_one():
    # guards against: releases of a process that is gone, sent to the one that took its address
    driver = CoreDriver(connect_at_once=False)
    viewer = driver.viewer()
    driver.send(viewer, setup(sid(1)))
    driver.link_up(driver.dialled[0])
    lost = driver.dialled[0].host
    driver.host_sends(driver.dialled[0], answer(sid(1)))
    driver.link_down(driver.dialled[0], reset=True)
    driver.link_down(driver.dialled[1], refused=True)
    assert len(lost.owed) == 1 and lost.given_up
    driver.advance(1)
    number = int(lost.name.rpartition("-")[2])
    hosts = tuple(host(n, started=(driver.now // 1_000_000 if n == number else 0)) for n in range(3))
    driver.core.list_received(driver.now, 2, hosts)
    assert len(lost.owed) == 0


def test_releases_go_before_the_next_set_up_on_a_new_connection():
    # guards against: a seat that is taken again at the host before it is given back there
    driver = CoreDriver(hosts=1, connect_at_once=False)
    viewer = driver.viewer()
    driver.send(viewer, setup(sid(1)))
    driver.link_up(driver.dialled[0])
    driver.host_sends(driver.dialled[0], answer(sid(1)))
    driver.send(viewer, teardown(sid(1)))
    driver.link_down(driver.dialled[0], reset=True)  # the release may not have arrived
    driver.send(viewer, setup(sid(2)))
    driver.link_up(driver.dialled[1])
    assert [one[1] for one in driver.sent[driver.dialled[1]]] == [sid(1), sid(2)]


def test_a_host_that_has_left_the_list_is_owed_nothing_once_it_counts_as_lost():
    # guards against: releases kept for, and sent to, whatever has the address of a host that is gone
    driver = CoreDriver(hosts=1)
    viewer, link = driver.established()
    driver.send(viewer, teardown(sid(1)))
    driver.core.list_received(driver.now, 2, ())
    driver.run_actions()
    driver.link_down(link, reset=True)
    assert len(link.host.owed) == 0 and not driver.core.hosts
