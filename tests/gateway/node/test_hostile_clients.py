"""Clients that write slowly, flood, never read or leave: memory stays bounded, and other clients get their answers."""

import statistics
import time
from pathlib import Path

import pytest
import trio

from copperyard.control.node import bounds
from tests.control.node.helpers import PING, answer, setup, sid, teardown
from tests.gateway.node.sockets import MEMORY_MB, run_with_node, run_with_process

# hosts with more places than are asked for, so that nothing is refused for want of one
ROOMY = {"placesByKind": [5000], "kbPerWeight": 9e6, "rackKb": 9e6}
SOCKETS = 1024  # half of which viewers may hold
CLIENTS = 400  # at once
WARM_UP_S = 0.5  # until hosts are warm for a node that has started, and its memory is what it is at rest
FLOOD_PERIOD = 2.5  # seconds
# 16,384 bytes a message and its parsed form for each of them, beside what the process needs at rest
MAX_GROWTH_MB = 64
MAX_WAIT_S = 0.6  # seconds for an answer: the host replies at once, the rest is the node's


def peak_mb(program):
    """The most memory that the process has held, in MB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


class OtherClient:
    """A client that asks for a session each 0.1 s and ends it. `waits` is how long each answer took, `statuses` what
    came."""

    def __init__(self, program):
        self.program, self.waits, self.statuses, self.number = program, [], [], time.monotonic_ns()

    async def run(self, seconds):
        until = trio.current_time() + seconds
        client = self.program.client()
        while trio.current_time() < until:
            self.number += 1
            start = time.monotonic()
            await client.send_all(setup(sid(self.number)))
            self.statuses += await client.answers(1)
            self.waits.append(time.monotonic() - start)
            await client.send_all(teardown(sid(self.number)))
            await client.answers(1)
            await trio.sleep(0.1)

    def figures(self):
        waits = self.waits
        return f"{len(waits)} asked, median {statistics.median(waits):.3f} s, worst {max(waits):.3f} s"


async def measure(program, attack, seconds=FLOOD_PERIOD):
    """Run an attack while another client asks; returns that client and by how many MB the peak has grown."""
    await OtherClient(program).run(WARM_UP_S)
    other, before = OtherClient(program), peak_mb(program)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(attack)
        await trio.sleep(0.2)
        await other.run(seconds)
        nursery.cancel_scope.cancel()
    growth = peak_mb(program) - before
    print(f"  {other.figures()}; memory {before:.0f} + {growth:.1f} MB")
    return other, growth


def check(other, growth):
    assert set(other.statuses) == {200} and max(other.waits) <= MAX_WAIT_S
    assert growth <= MAX_GROWTH_MB


async def write_slowly(client, data, step=7, interval=0.05):
    for start in range(0, len(data), step):
        try:
            client.sock.send(data[start : start + step])
        except OSError:  # the node has closed it
            return
        await trio.sleep(interval)


def long_fields(count, size):
    fields = "".join(f"X-{n}: {'v' * size}\r\n" for n in range(count))
    return f"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\n{fields}".encode()


BEGUN = {
    "slow head": setup(sid(1), more="X-Guess: 1.0\r\n"),
    "half a body": setup(sid(2), body=bytes(16384))[:-8192],
    "long fields": long_fields(12, 900),
    "very many short fields": b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\n" + b"a:b\r\n" * 12000,
}


@pytest.mark.parametrize("what", BEGUN)
def test_hundreds_of_clients_that_write_a_part_of_a_request_cost_bounded_memory(tmp_path, what):
    # guards against: a process killed for its memory under clients that write slowly (issue 52, a)
    async def body(program):
        async def attack():
            async with trio.open_nursery() as nursery:
                for _ in range(CLIENTS):
                    client = program.client()
                    if what == "slow head":
                        nursery.start_soon(write_slowly, client, BEGUN[what])
                    else:
                        nursery.start_soon(write_slowly, client, BEGUN[what], 60_000, 0.0)
                        clients.append(client)
                await trio.sleep_forever()

        clients = []
        check(*await measure(program, attack))

    run_with_process(tmp_path, body, sockets=SOCKETS, extra=ROOMY)


async def flood(program, make, reads, connections=1):
    """Send what `make(n)` returns at full speed; on a new connection whenever the node closes one."""

    async def one(first):
        n, client = first, None
        while True:
            data = b"".join(make(n + i) for i in range(100))
            n += 100
            try:
                client = client or program.client()
                while data:
                    await trio.lowlevel.wait_writable(client.sock)
                    data = data[client.sock.send(data) :]
                    if reads:
                        try:
                            while client.sock.recv(65536):
                                pass
                            raise OSError("closed")
                        except BlockingIOError:
                            pass
                    await trio.lowlevel.checkpoint()
            except OSError:
                if client is not None:
                    client.close()
                client = None
                await trio.sleep(0.001)

    async with trio.open_nursery() as nursery:
        for number in range(connections):
            nursery.start_soon(one, 1 + number * 10_000_000)


def viewer(n):
    return f"home:0;copies:3;top:1;viewer:{n:016x}"


FLOODS = {
    "tests": lambda n: PING,
    "ends of unknown sessions": lambda n: teardown(sid(n)),
    "no class of that name": lambda n: setup(sid(n), f"c{n}", facts=viewer(n)),
    "garbage": lambda n: b"\x00\xff garbage %d\r\n" % n,
    "a method that is unknown": lambda n: b"M%d rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\n\r\n" % n,
    "no such host": lambda n: setup(sid(n), facts=viewer(n) + f";at:s-{n + 100}"),
    "set-ups that are withdrawn": lambda n: setup(sid(n), facts=viewer(n), title=f"{n:016x}") + teardown(sid(n)),
    "notes of unknown sessions": lambda n: b"ANNOUNCE rtsp://media/%d RTSP/1.0\r\nCSeq: 1\r\n\r\n" % n,
}


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("what", FLOODS)
def test_a_flood_on_one_connection_leaves_the_others_their_answers(tmp_path, what, reads):
    # guards against: answers that come late or never, and memory that grows, beside one flooding client (52, b)
    async def body(program):
        check(*await measure(program, lambda: flood(program, FLOODS[what], reads)))

    run_with_process(tmp_path, body, sockets=SOCKETS, extra=ROOMY)


async def both_ways(program, make):
    """The other client and the growth of memory under a flood whose answers are read, and under one that reads none."""
    for reads in (True, False):
        check(*await measure(program, lambda reads=reads: flood(program, make, reads)))


def test_a_flood_of_set_ups_leaves_the_others_their_answers(tmp_path):
    # guards against: others refused as the hosts are on trial after the time-outs of one client's set-ups (52, b)
    async def body(program):
        await both_ways(program, lambda n: setup(sid(n), facts=viewer(n), title=f"{n:016x}"))

    run_with_process(tmp_path, body, sockets=SOCKETS, extra=ROOMY)


def hand_over(n):
    return setup(sid(n), facts=viewer(n) + ";at:s-0")


def test_a_flood_of_sessions_handed_over_leaves_the_others_their_answers(tmp_path):
    # guards against: others refused as hosts are booked full with sessions that nobody has seen there (52, b)
    async def body(program):
        await both_ways(program, hand_over)

    run_with_process(tmp_path, body, sockets=SOCKETS, extra=ROOMY)


def test_sessions_handed_over_take_half_of_the_memory_at_most():
    # guards against: memory that grows without end, as each session that a client names is believed (52, b)
    async def body(harness):
        core, client = harness.node.core, harness.client()
        for n in range(1, core.max_sessions + 1000):
            await client.send_all(hand_over(n))
        with pytest.raises(trio.TooSlowError):
            await harness.until(lambda: len(core.sessions) > core.max_sessions, 2)
        assert len(core.sessions) == core.max_sessions == (8 << 20) // bounds.SESSION_MEMORY_BYTES
        assert (await client.answers(1)) == [503]

    run_with_node(body, memory_mb=16)


def test_many_clients_that_flood_and_never_read_cost_bounded_memory(tmp_path):
    # guards against: buffers of unread answers that together exceed the memory of the process (52, a and b)
    async def body(program):
        await trio.sleep(WARM_UP_S)
        before = peak_mb(program)
        with trio.move_on_after(FLOOD_PERIOD):
            await flood(program, FLOODS["tests"], False, CLIENTS)
        print(f"  memory {before:.0f} + {peak_mb(program) - before:.1f} MB")
        assert peak_mb(program) <= MEMORY_MB / 2

    run_with_process(tmp_path, body, sockets=SOCKETS)


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("goes", ["close", "reset"])
def test_requests_that_lie_unread_as_their_client_goes_are_not_sent_on(goes, cls):
    # guards against: set-ups sent to hosts for a client that has gone (52, c)
    async def body(harness):
        client = harness.client()
        await trio.sleep(0.1)
        harness.block_reads()
        for n in range(1, 300):
            await client.send_all(setup(sid(n), cls, body=bytes(200)))
        getattr(client, goes)()
        await trio.sleep(0.05)
        harness.unblock_reads()
        gone_at = time.monotonic()
        await trio.sleep(0.1)
        sent = len(harness.setups)
        await trio.sleep(1.5)
        print(
            f"  {sent} of 299 sent within {time.monotonic() - gone_at - 1.5:.2f} s, {len(harness.setups) - sent} later"
        )
        assert len(harness.setups) == sent
        await harness.until(harness.is_clean)
        assert set(harness.setups) <= {session for host in harness.hosts for session in host.releases}

    run_with_node(body, extra=ROOMY)


@pytest.mark.parametrize("goes", ["close", "reset"])
@pytest.mark.parametrize("answered", [True, False])
def test_a_paid_id_that_comes_again_after_its_client_has_left_runs_once(answered, goes):
    # guards against: a paid set-up that runs twice, as its id is taken for a new one once its client has left (52, c)
    async def body(harness):
        if not answered:
            for host in harness.hosts:
                host.setup_reply = lambda session: None
        client = harness.client()
        client.send(setup(sid(1), "paid"))
        await harness.until(lambda: harness.setups == [sid(1)])
        if answered:
            assert await client.answers(1) == [200]
            client.send(teardown(sid(1)))
            assert await client.answers(1) == [200]
        getattr(client, goes)()
        await harness.until(harness.is_clean)
        for host in harness.hosts:
            host.setup_reply = answer
        again = harness.client()
        again.send(setup(sid(1), "paid"))
        assert (await again.answers(1))[0] in (400, 500)
        assert harness.setups == [sid(1)]

    run_with_node(body)


@pytest.mark.parametrize("cls", ["preview", "paid"])
def test_an_id_that_was_never_sent_to_a_host_may_come_again(cls):
    # guards against: a request refused for good as it once crossed the end of its connection
    async def body(harness):
        harness.network.dials = trio.Event()
        client = harness.client()
        client.send(setup(sid(1), cls))
        await trio.sleep(0.05)
        client.close()
        await harness.until(harness.is_clean)
        harness.network.dials.set()
        again = harness.client()
        again.send(setup(sid(1), cls))
        assert await again.answers(1) == [200] and harness.setups == [sid(1)]

    run_with_node(body)
