"""Descriptors at a real limit of the system, a name service that is silent, late or wrong, and floods: the node goes on
serving, says so once, and comes back by itself."""

import fcntl
import os
import resource
import signal
import socket
import time

import pytest
import trio

from copperyard.control.node import bounds
from copperyard.gateway.node.__main__ import limit_sockets
from copperyard.gateway.node.place import ConfigError, parse_config
from tests.control.node.helpers import setup, sid, teardown
from tests.gateway.node.sockets import beside, within
from tests.gateway.node.test_node import config
from tests.protocol.node import test_fleet


def limited():
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))


def descriptors(program):
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def reply(query, serial, hosts):
    """The list as a name service tells it, of hosts on this machine; the first holds the titles."""
    return test_fleet.reply(query, serial, hosts, address="127.0.0.1", cell=0)


async def asked(names, most=5.0):
    """The next query that comes to a name service: its bytes and who asks."""
    with trio.fail_after(most):
        await trio.lowlevel.wait_readable(names)
        return names.recvfrom(4096)


def test_idle_clients_fill_the_descriptors_while_the_name_service_is_silent(tmp_path):
    """The configuration speaks of 1,024 descriptors, the system of 64. Idle clients come by hundreds, the service moves
    meanwhile, and so a new socket is needed for it; when it speaks, the node hears it."""

    async def body(program):
        world = program.world
        idle = [program.client() for _ in range(300)]
        for n in range(10):
            one = program.client()
            one.send(setup(sid(1 + n)))
            assert await one.answers(1) == [200], n
            idle += [program.client() for _ in range(10)]
            assert descriptors(program) <= 64
        moved = socket.socket(type=socket.SOCK_DGRAM)
        moved.bind(("127.0.0.1", 0))
        moved.setblocking(False)
        world.config["dns"] = f"127.0.0.1:{moved.getsockname()[1]}"
        program.write()
        program.signal(signal.SIGHUP)
        query, peer = await asked(moved)
        idle += [program.client() for _ in range(40)]
        moved.sendto(reply(query, 7, [("s-0", world.hosts[0].port, 1)]), peer)  # its only host drains
        await trio.sleep(0.3)
        one = program.client()
        one.send(setup(sid(99), patience="300"))
        assert await one.answers(1) == [503] and sid(99) not in world.setups
        for client in idle:
            client.close()
        await trio.sleep(0.7)
        assert descriptors(program) < 40
        program.signal(signal.SIGTERM)
        for _ in range(2):
            program.signal(signal.SIGTERM)
        await trio.sleep(0.1)
        program.process.kill()
        _, said = await program.exit()
        assert said.count("clients' connections at their bound") <= 2 and "Traceback" not in said
        assert "clients' connections at their bound" in said

    beside(tmp_path, body, preexec=limited, sockets=1024)


def test_the_systems_limit_binds_where_it_is_lower():
    place = parse_config("n0", "127.0.0.1:0", config(limits={"sockets": 1024}))
    assert limit_sockets(place, 4096) is place and limit_sockets(place, resource.RLIM_INFINITY) is place
    assert limit_sockets(place, 100).sockets == 100
    with pytest.raises(ConfigError, match="allows 63 open files, under 64"):
        limit_sockets(place, 63)


def test_the_name_service_answers_late_short_older_or_under_another_id():
    """Through each of these what was known holds, and the first good answer counts."""

    async def body(world):
        port = world.hosts[0].port

        def lines(state):
            return [("s-0", port, state)]

        ready = lines(0)
        query, peer = await asked(world.names)
        late = reply(query, 5, ready)
        world.names.sendto(reply(query, 5, lines(1))[:30], peer)  # cut off
        world.names.sendto(b"", peer)
        world.names.sendto(bytes((query[0] ^ 255, query[1])) + reply(query, 6, lines(1))[2:], peer)
        truncated = bytearray(reply(query, 8, lines(1)))
        truncated[2] |= 2
        world.names.sendto(bytes(truncated), peer)
        client = world.client()
        client.send(setup(sid(1)))
        assert await client.answers(1) == [200]
        assert world.node.core.fleet.serial == 1
        second, _ = await asked(world.names)
        world.names.sendto(reply(second, 0, lines(1)), peer)  # older than what the configuration told
        for _ in range(bounds.MAX_OPEN_QUERIES - 3):  # those that follow stay without an answer
            await asked(world.names)
        world.names.sendto(late, peer)
        await world.until(lambda: world.node.core.fleet.serial == 5)
        query, peer = await asked(world.names)
        world.names.sendto(reply(query, 9, lines(1)), peer)
        await world.until(lambda: world.node.core.fleet.serial == 9)
        client.send(setup(sid(2), patience="300"))
        assert await client.answers(1) == [503]

    within(body, hosts=1)


def test_the_service_moves_while_a_query_is_out():
    """What the old one says from then on is not heard, and the new one is asked at once."""

    async def body(world):
        query, peer = await asked(world.names)
        moved = socket.socket(type=socket.SOCK_DGRAM)
        moved.bind(("127.0.0.1", 0))
        moved.setblocking(False)
        # in one step: the answer of the old service lies unread when the move comes
        world.names.sendto(reply(query, 50, []), peer)
        world.node.name_service.set_address(f"127.0.0.1:{moved.getsockname()[1]}")
        world.node.name_service.read_pending()
        query, peer = await asked(moved, 1)
        assert world.node.core.fleet.serial == 1
        moved.sendto(reply(query, 3, [("s-0", world.hosts[0].port, 0)]), peer)
        await world.until(lambda: world.node.core.fleet.serial == 3)
        client = world.client()
        client.send(setup(sid(1)))
        assert await client.answers(1) == [200]

    within(body, hosts=1)


def test_news_that_lie_unread_count_for_a_set_up_that_leaves_in_that_step():
    """The drain of the host lies unread while a dial to it completes: the reader of the service is held back, and so
    nothing but the look before the write can read it."""

    async def body(world):
        sockets = world.node.name_service
        real = sockets._socket.readable
        held = trio.Event()

        async def readable():
            await held.wait()
            await real()

        sockets._socket.readable = readable
        world.network.dials = trio.Event()
        client = world.client()
        client.send(setup(sid(1), "paid", patience="600"))
        await world.until(lambda: world.node.core.sessions)
        query, peer = await asked(world.names)
        world.names.sendto(reply(query, 9, [("s-0", world.hosts[0].port, 1)]), peer)
        world.network.dials.set()
        assert await client.answers(1) == [503] and world.setups == []

    within(body, hosts=1)


def test_a_flood_leaves_the_usual_clients_their_turn():
    """Thirty connections pump set-ups and their withdrawals as fast as they can, two hundred connections come and go;
    a usual client's set-ups are answered in time all the while."""

    async def body(world):
        flood = b"".join(setup(sid(10_000 + n)) + teardown(sid(10_000 + n)) for n in range(300))
        took = []

        async def pump():
            one = world.client()
            rest = flood
            with trio.move_on_after(3):
                while rest:
                    try:
                        rest = rest[one.sock.send(rest[:65536]) :]
                        one.sock.recv(65536)
                    except BlockingIOError:
                        await trio.sleep(0.002)
                    except OSError:
                        return

        async def comes_and_goes():
            for _ in range(200):
                world.client().close()
                await trio.sleep(0.005)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(pump)
            nursery.start_soon(comes_and_goes)
            for n in range(15):
                await trio.sleep(0.1)
                one = world.client()
                began = time.monotonic()
                one.send(setup(sid(1 + n), patience="3900"))
                assert await one.answers(1) == [200]
                took.append(time.monotonic() - began)
            nursery.cancel_scope.cancel()
        # each has answers for all of its requests or none yet: nothing is lost in the noise
        assert max(took) < 3.9, took

    within(body, extra={"placesByKind": [5000], "kbPerWeight": 9e6, "rackKb": 9e6})


def test_a_log_that_nobody_reads_holds_up_nothing(tmp_path):
    """Standard error is a pipe of one page: first it fills, then its reader goes."""
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)

    async def body(program):
        os.close(writes)
        bad, good = program.client(), program.client()
        for n in range(11):
            bad.send(setup(sid(500 + n), cls="nobody " * 20))
            good.send(setup(sid(1 + n)))
            assert await good.answers(1) == [200]
            if n == 5:
                program.signal(signal.SIGHUP)
        assert await bad.answers(11) == [400] * 11
        many = [program.client() for _ in range(5)]
        for n, one in enumerate(many):
            one.send(setup(sid(600 + n), cls="nobody " * 20) * 11)
            assert await one.answers(11) == [400] * 11
        os.close(reads)
        program.signal(signal.SIGHUP)
        good.send(setup(sid(99)))
        assert await good.answers(1) == [200]
        assert program.process.poll() is None

    beside(tmp_path, body, stderr=writes)
