"""A name service that is slow, loses answers or sends them out of order: lists are taken, and queries stay few."""

import random

import pytest
import trio

from copperyard.lab import virtual
from copperyard.membership.open_queries import QUERY_LIFETIME, SECOND, OpenQueries
from copperyard.membership.query_pacer import KNOWN_AFTER, QUERY_INTERVAL
from copperyard.protocol.node.fleet import encode_query
from tests.control.node.helpers import OPTIONS
from tests.gateway.node.test_node import NameServer, NodeHarness
from tests.protocol.node.test_fleet import reply


class SlowNameService(NameServer):
    """Answers each query after `delay` s, or one drawn up to it, with the list of the moment of the answer, or that of
    the query if the delay is drawn or with `reads_early`. `asked` has the times of the queries."""

    def __init__(self, nursery, delay, loss=0.0, drawn=False):
        super().__init__("127.0.0.1:5300")
        self.nursery, self.delay, self.loss, self.drawn = nursery, delay, loss, drawn
        self.random, self.reads_early = random.Random(3), False
        self.serial, self.hosts = 1, [(f"s-{n}", 9000 + n, 0) for n in range(3)]

    def change(self, serial, hosts):
        self.serial, self.hosts = serial, hosts

    def send_now(self, data):
        self.asked.append(trio.current_time())
        if self.random.random() >= self.loss:
            self.nursery.start_soon(self._answer, data)

    async def _answer(self, query):
        if self.drawn or self.reads_early:  # drawn ones overtake each other, so that older lists come later
            answer = reply(query, self.serial, self.hosts)
            await trio.sleep(self.random.uniform(0, self.delay) if self.drawn else self.delay)
        else:
            await trio.sleep(self.delay)
            answer = reply(query, self.serial, self.hosts)
        self.unread.append(answer)
        self.event.set()


def run_with_service(body, *more):
    async def main():
        async with trio.open_nursery() as nursery:
            service = SlowNameService(nursery, *more)
            harness = NodeHarness()
            harness.node.open_datagrams = lambda address: service
            await nursery.start(harness.node.run)
            await body(harness.node, service)
            nursery.cancel_scope.cancel()

    virtual.run(main, 1)


@pytest.mark.parametrize("loss", [0.0, 1 / 3])
@pytest.mark.parametrize("delay", [0.3, 1.0, 2.5, 5.0, 9.0])
def test_a_change_is_known_soon_after_a_slow_service_told_it(delay, loss):
    # guards against: answers that are ignored because some later queries were sent meanwhile
    async def body(node, service):
        for serial in range(2, 12):
            await trio.sleep(random.Random(serial).uniform(3, 6))
            service.change(serial, [(f"s-{n}", 9000 + n, serial % 2) for n in range(3)])
            await trio.sleep(delay + (1 + 7 * loss) * QUERY_INTERVAL / SECOND)
            assert node.core.fleet.serial == serial

    run_with_service(body, delay, loss)


@pytest.mark.parametrize("loss", [0.0, 1 / 3])
def test_lists_that_arrive_in_the_wrong_order_leave_the_newest_in_force(loss):
    # guards against: an older list that replaces a newer one
    async def body(node, service):
        newest = 1
        for serial in range(2, 200):
            service.change(serial, [(f"s-{n}", 9000 + n, serial % 2) for n in range(3)])
            await trio.sleep(0.2)
            assert node.core.fleet.serial >= newest
            newest = node.core.fleet.serial
        await trio.sleep(6)
        assert node.core.fleet.serial == 199

    run_with_service(body, 3.0, loss, True)


@pytest.mark.parametrize("delay", [0.7, 1.2, 2.5, 9.0])
def test_a_slow_service_is_queried_no_faster_than_changes_have_to_be_known(delay):
    # guards against: queries that crowd a service because it is slow; one whose answers are too late in any case is
    # queried no faster than one that answers at once
    time_limit = (KNOWN_AFTER + OPTIONS["contract"]["drainGrace"]) / SECOND
    interval = (time_limit - delay) / 2 if delay < time_limit else QUERY_INTERVAL / SECOND

    async def body(node, service):
        await trio.sleep(3 * delay + 3)
        before = len(service.asked)
        await trio.sleep(60)
        assert len(service.asked) - before <= 1.15 * 60 / interval

    run_with_service(body, delay)


@pytest.mark.parametrize("delay", [0.0, 0.3, 0.5, 0.7, 1.0, 1.2, 1.4])
def test_a_drain_is_known_in_time_though_answers_hold_the_list_of_their_query(delay):
    # guards against: set-ups to a host that drains, as its drain is told 1.2 s late each 1.2 s (review/8)
    async def body(node, service):
        service.reads_early = True
        await trio.sleep(15)
        for serial in range(2, 42):
            await trio.sleep(random.Random(serial).uniform(2, 4))
            service.change(serial, [(f"s-{n}", 9000 + n, serial % 2) for n in range(3)])
            await trio.sleep((KNOWN_AFTER + OPTIONS["contract"]["drainGrace"]) / SECOND)
            assert node.core.fleet.serial == serial

    run_with_service(body, delay)


def test_a_service_that_is_fast_again_is_queried_as_before():
    # guards against: a response time that stays long, so that a lost answer is noticed late
    async def body(node, service):
        await trio.sleep(20)
        service.delay = 0.001
        await trio.sleep(30)
        service.loss = 1.0
        before = len(service.asked)
        await trio.sleep(3)
        assert len(service.asked) - before >= 8

    run_with_service(body, 2.5)


def test_answers_to_foreign_or_answered_queries_are_refused():
    # guards against: a forged answer that is taken because old ids are accepted for longer
    async def body(node, service):
        await trio.sleep(5)
        open_queries = node.name_service._open_queries
        assert not open_queries or len(open_queries) <= 48
        for query_id in range(0, 65536, 97):
            if query_id not in open_queries:
                service.unread.append(query_id.to_bytes(2, "big") + reply(encode_query(0), 77, [])[2:])
        service.event.set()
        await trio.sleep(1)
        assert node.core.fleet.serial == 1

    run_with_service(body, 0.001)


def test_open_queries_are_bounded_in_number_and_age():
    # guards against: ids kept for good while nobody answers
    queries = OpenQueries(4)
    for n in range(10):
        queries.sent(n * SECOND, n)
    assert [n for n in range(10) if n in queries] == [6, 7, 8, 9]
    assert queries.answered(11 * SECOND, 7) == 4 * SECOND and 7 not in queries
    queries.sent(6 * SECOND + QUERY_LIFETIME, 20)
    assert 6 not in queries and 8 in queries
