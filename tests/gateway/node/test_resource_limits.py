"""Exhausted descriptors, a name service that is silent, late or wrong, and floods: the node goes on serving, logs the
condition once, and recovers by itself."""

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
from tests.gateway.node.sockets import run_with_node, run_with_process
from tests.gateway.node.test_node import config
from tests.protocol.node import test_fleet


def limited():
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))


def descriptors(program):
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def reply(query, serial, hosts):
    """An answer of the name service with hosts on this machine; the first holds the titles."""
    return test_fleet.reply(query, serial, hosts, address="127.0.0.1", cell=0)


async def asked(names, most=5.0):
    """The next query to a name service: its bytes and its sender."""
    with trio.fail_after(most):
        await trio.lowlevel.wait_readable(names)
        return names.recvfrom(4096)


def test_idle_clients_use_up_descriptors_while_the_name_service_is_silent(tmp_path):
    """The configuration allows 1,024 descriptors, the system 64. While hundreds of idle clients connect, the name
    service moves, which needs a new socket; the node must still get its answer."""

    async def body(program):
        harness = program.harness
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
        harness.config["dns"] = f"127.0.0.1:{moved.getsockname()[1]}"
        program.save_config()
        program.signal(signal.SIGHUP)
        query, peer = await asked(moved)
        idle += [program.client() for _ in range(40)]
        moved.sendto(reply(query, 7, [("s-0", harness.hosts[0].port, 1)]), peer)  # its only host drains
        await trio.sleep(0.3)
        one = program.client()
        one.send(setup(sid(99), patience="300"))
        assert await one.answers(1) == [503] and sid(99) not in harness.setups
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

    run_with_process(tmp_path, body, preexec=limited, sockets=1024)


def test_the_lower_limit_of_the_system_applies():
    node_config = parse_config("n0", "127.0.0.1:0", config(limits={"sockets": 1024}))
    assert (
        limit_sockets(node_config, 4096) is node_config
        and limit_sockets(node_config, resource.RLIM_INFINITY) is node_config
    )
    assert limit_sockets(node_config, 100).sockets == 100
    with pytest.raises(ConfigError, match="allows 63 open files, under 64"):
        limit_sockets(node_config, 63)


@pytest.mark.parametrize("memory_mb", [0, -1, True, "192", [], float("nan")])
def test_an_invalid_limit_of_memory_is_named(memory_mb):
    # guards against: a limit that is ignored because it cannot be read
    with pytest.raises(ConfigError, match="limits.memory_mb is not a number of 1 or more"):
        parse_config("n0", "127.0.0.1:0", config(limits={"sockets": 1024, "memory_mb": memory_mb}))


@pytest.mark.parametrize(("memory_mb", "most"), [(None, 1000), (2, 256), (2.5, 320), (192, 1000), (float("inf"), 1000)])
def test_sessions_take_half_of_the_memory_and_no_more_than_the_settings_allow(memory_mb, most):
    # guards against: memory that grows up to the settings' bound, whatever the process may use
    assert bounds.max_sessions(memory_mb, 1000) == most


def test_late_truncated_old_and_mismatched_answers_of_the_name_service():
    """The known list stays in force through each of these, and the first valid answer is applied."""

    async def body(harness):
        port = harness.hosts[0].port

        def lines(state):
            return [("s-0", port, state)]

        ready = lines(0)
        query, peer = await asked(harness.names)
        late = reply(query, 5, ready)
        harness.names.sendto(reply(query, 5, lines(1))[:30], peer)  # cut short
        harness.names.sendto(b"", peer)
        harness.names.sendto(bytes((query[0] ^ 255, query[1])) + reply(query, 6, lines(1))[2:], peer)
        truncated = bytearray(reply(query, 8, lines(1)))
        truncated[2] |= 2
        harness.names.sendto(bytes(truncated), peer)
        client = harness.client()
        client.send(setup(sid(1)))
        assert await client.answers(1) == [200]
        assert harness.node.core.fleet.serial == 1
        second, _ = await asked(harness.names)
        harness.names.sendto(reply(second, 0, lines(1)), peer)  # older than the list of the configuration
        for _ in range(bounds.MAX_OPEN_QUERIES - 3):  # later queries stay unanswered
            await asked(harness.names)
        harness.names.sendto(late, peer)
        await harness.until(lambda: harness.node.core.fleet.serial == 5)
        query, peer = await asked(harness.names)
        harness.names.sendto(reply(query, 9, lines(1)), peer)
        await harness.until(lambda: harness.node.core.fleet.serial == 9)
        client.send(setup(sid(2), patience="300"))
        assert await client.answers(1) == [503]

    run_with_node(body, hosts=1)


def test_the_name_service_moves_while_a_query_is_open():
    """Answers of the old address are ignored from then on, and the new one is queried at once."""

    async def body(harness):
        query, peer = await asked(harness.names)
        moved = socket.socket(type=socket.SOCK_DGRAM)
        moved.bind(("127.0.0.1", 0))
        moved.setblocking(False)
        # in one step: the answer of the old address is unread at the move
        harness.names.sendto(reply(query, 50, []), peer)
        harness.node.name_service.set_address(f"127.0.0.1:{moved.getsockname()[1]}")
        harness.node.name_service.read_pending()
        query, peer = await asked(moved, 1)
        assert harness.node.core.fleet.serial == 1
        moved.sendto(reply(query, 3, [("s-0", harness.hosts[0].port, 0)]), peer)
        await harness.until(lambda: harness.node.core.fleet.serial == 3)
        client = harness.client()
        client.send(setup(sid(1)))
        assert await client.answers(1) == [200]

    run_with_node(body, hosts=1)


def test_an_unread_list_change_counts_before_a_set_up_is_sent_in_the_same_step():
    """The drain of the host is unread when a dial to it completes. The reader of the name service is blocked, so only
    the read before the write can see it."""

    async def body(harness):
        sockets = harness.node.name_service
        real = sockets._socket.readable
        held = trio.Event()

        async def readable():
            await held.wait()
            await real()

        sockets._socket.readable = readable
        harness.network.dials = trio.Event()
        client = harness.client()
        client.send(setup(sid(1), "paid", patience="600"))
        await harness.until(lambda: harness.node.core.sessions)
        query, peer = await asked(harness.names)
        harness.names.sendto(reply(query, 9, [("s-0", harness.hosts[0].port, 1)]), peer)
        harness.network.dials.set()
        assert await client.answers(1) == [503] and harness.setups == []

    run_with_node(body, hosts=1)


def test_a_flood_does_not_starve_other_clients():
    """Ten connections send set-ups and their withdrawals as fast as they can, two hundred connections come and go;
    another client's set-ups are answered in time meanwhile."""

    async def body(harness):
        flood = b"".join(setup(sid(10_000 + n)) + teardown(sid(10_000 + n)) for n in range(300))
        took = []

        async def pump():
            one = harness.client()
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
                harness.client().close()
                await trio.sleep(0.005)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(pump)
            nursery.start_soon(comes_and_goes)
            for n in range(15):
                await trio.sleep(0.1)
                one = harness.client()
                began = time.monotonic()
                one.send(setup(sid(1 + n), patience="3900"))
                assert await one.answers(1) == [200]
                took.append(time.monotonic() - began)
            nursery.cancel_scope.cancel()
        # the slowest answer came within the patience of the client
        assert max(took) < 3.9, took

    run_with_node(body, extra={"placesByKind": [5000], "kbPerWeight": 9e6, "rackKb": 9e6})


def test_an_unread_log_does_not_block_the_node(tmp_path):
    """Standard error is a pipe of one page, which first fills up and then loses its reader."""
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

    run_with_process(tmp_path, body, stderr=writes)
