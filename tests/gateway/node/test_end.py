"""The planned end: every request whose last byte the machine accepted in time gets one whole answer. The node's own
sockets are real; the instant is forced, by a reader that is held back or a process that is stopped."""

import signal
import socket

import pytest
import trio

from copperyard.control.node import bounds
from copperyard.gateway.node.__main__ import main
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import release, setup, sid, teardown
from tests.gateway.node.sockets import Program, answer, beside, within

PING = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


def test_what_lies_unread_when_nothing_is_left_to_do_is_still_answered():
    """On a connection that stands, on one that waits to be accepted, and behind half a request."""

    async def body(world):
        stands, half = world.client(), world.client()
        half.send(setup(sid(2))[:40])
        stands.send(PING)
        assert await stands.answers(1) == [200]
        world.nursery.start_soon(world.node.shut_down)
        await trio.sleep(0.7)
        world.hold_back()
        new = [world.client() for _ in range(5)]
        for n, one in enumerate(new):
            one.send(setup(sid(10 + n)))
        stands.send(setup(sid(1)))
        half.send(setup(sid(2))[40:])
        # refused, as they came late, but answered, each once, and whole
        for one in (stands, half, *new):
            assert await one.answers(2) == [503]
            assert one.at_end
        with trio.fail_after(3):
            await world.node.ended.wait()

    within(body)


def test_bytes_in_the_instant_of_the_last_answer():
    """The last session's answer leaves, and a further request lies unread in that very step."""

    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: None
        one, two = world.client(), world.client()
        one.send(setup(sid(1), "paid", patience="2900"))
        await world.until(lambda: world.setups)
        world.nursery.start_soon(world.node.shut_down)
        await trio.sleep(1.2)
        world.hold_back()
        two.send(setup(sid(2)))
        one.send(PING)
        await host.say(release(sid(1), Cause.ERROR))  # a paid one that may have run: it has failed
        assert await one.answers(3) == [500, 503] and await two.answers(2) == [503]
        with trio.fail_after(3):
            await world.node.ended.wait()
        assert world.is_clean()

    within(body, hosts=1)


def test_a_slow_reader_of_the_last_answer_gets_it_whole():
    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: answer(session, 14000)
        one = world.client()
        one.send(setup(sid(1)))
        await world.until(
            lambda: world.node.core.sessions and any(pipe.unsent for pipe in world.node._viewer_writers.values())
        )
        one.send(teardown(sid(1)))
        await world.until(lambda: not world.node.core.sessions)
        world.nursery.start_soon(world.node.shut_down)
        await trio.sleep(1.5)
        got = b""
        with trio.fail_after(5):
            while True:
                await trio.lowlevel.wait_readable(one.sock)
                data = one.sock.recv(300)
                if not data:
                    break
                got += data
                await trio.sleep(0.001)
        assert [event.response.status for event in one.wire.receive(got)] == [200, 200]
        with trio.fail_after(5):
            await world.node.ended.wait()

    within(body, hosts=1, narrow=True)


def test_a_release_that_waits_for_a_connection_leaves_before_the_end():
    async def body(world):
        (host,) = world.hosts
        one = world.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        world.network.dials = trio.Event()
        await host.streams[0].aclose()
        await trio.sleep(0.1)  # its connection is gone; the next one does not come up yet
        world.nursery.start_soon(world.node.shut_down)
        await trio.sleep(1.2)
        one.send(teardown(sid(1)))
        assert await one.answers(1) == [200]
        await trio.sleep(0.1)
        assert not world.node.core.sessions and not world.node.ended.is_set()
        world.network.dials.set()
        await world.until(lambda: host.releases == [sid(1)])
        with trio.fail_after(3):
            await world.node.ended.wait()

    within(body, hosts=1)


def test_a_peer_that_takes_nothing_does_not_hold_up_the_end():
    async def body(world):
        (host,) = world.hosts
        host.says = lambda session: answer(session, 14000)
        one = world.client()
        one.send(setup(sid(1)))
        await world.until(lambda: any(pipe.unsent for pipe in world.node._viewer_writers.values()))
        one.send(teardown(sid(1)))
        await world.until(lambda: not world.node.core.sessions)
        began = trio.current_time()
        await world.node.shut_down()
        assert (
            trio.current_time() - began
            < (bounds.SHUTDOWN_MIN_PERIOD + bounds.SHUTDOWN_FLUSH_TIMEOUT + bounds.SHUTDOWN_CLOSE_TIMEOUT) / 1e9 + 1
        )

    within(body, hosts=1, narrow=True)


# ---- as a process


def test_a_process_that_was_behind_answers_what_came_meanwhile(tmp_path):
    """Stopped from 0.3 s after the signal until after it was to end: twenty requests, half of them on connections that
    nobody has accepted yet, meet the time of the end in one instant."""

    async def body(program):
        stands = [program.client() for _ in range(10)]
        await trio.sleep(0.1)
        program.signal(signal.SIGTERM)
        await trio.sleep(0.3)
        await program.stopped()
        clients = stands + [program.client() for _ in range(10)]
        for n, one in enumerate(clients):
            one.send(setup(sid(1 + n)))
        await trio.sleep(0.9)
        program.signal(signal.SIGCONT)
        for one in clients:
            assert await one.answers(2) == [503] and one.at_end
        code, said = await program.exit()
        assert code == 0 and "Traceback" not in said

    beside(tmp_path, body)


def test_half_a_request_before_the_signal_and_half_after_it(tmp_path):
    async def body(program):
        one, two = program.client(), program.client()
        request = setup(sid(1), "paid")
        one.send(request[:-1])
        two.send(setup(sid(2))[:9])
        await trio.sleep(0.1)
        program.signal(signal.SIGTERM)
        one.send(request[-1:])
        assert await one.answers(1) == [200]
        await trio.sleep(0.3)
        two.send(setup(sid(2))[9:])
        assert await two.answers(1) == [200]
        one.send(teardown(sid(1)))
        two.send(teardown(sid(2)))
        assert await one.answers(2) == [200] and await two.answers(2) == [200]
        code, said = await program.exit()
        assert code == 0 and "Traceback" not in said
        assert sorted(program.world.hosts[0].releases) == [sid(1), sid(2)]

    beside(tmp_path, body)


def test_what_stands_goes_on_and_what_is_out_gets_its_answer_after_the_signal(tmp_path):
    """A paid set-up is out when the signal comes, and stands 1.5 s later; another one stood before."""

    async def body(program):
        (host,) = program.world.hosts
        one, two = program.client(), program.client()
        one.send(setup(sid(1), "paid"))
        assert await one.answers(1) == [200]
        host.says = lambda session: None
        two.send(setup(sid(2), "paid", patience="2900"))
        await program.world.until(lambda: len(host.setups) == 2)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            program.signal(number)
        await trio.sleep(1.5)
        await host.say(answer(sid(2)))
        assert await two.answers(1) == [200]
        await host.say(release(sid(1)))
        assert await one.answers(1) == ["TEARDOWN"]
        assert program.process.poll() is None
        two.send(teardown(sid(2), "Reason: cause=16\r\n"))
        assert await two.answers(2) == [200]
        code, said = await program.exit()
        assert code == 0 and "Traceback" not in said and host.releases == [sid(2)]

    beside(tmp_path, body)


def test_the_signal_while_a_new_configuration_cannot_be_read(tmp_path):
    async def body(program):
        one = program.client()
        program.path.write_text("{")
        program.signal(signal.SIGHUP)
        await trio.sleep(0.2)
        one.send(setup(sid(1)))
        program.signal(signal.SIGTERM)
        assert await one.answers(1) == [200]
        one.send(teardown(sid(1)))
        code, said = await program.exit()
        assert code == 0 and "configuration not taken" in said and "Traceback" not in said

    beside(tmp_path, body)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_while_the_process_reads_its_configuration(tmp_path, number):
    """The file is a pipe that this test fills: the signal comes between the first line of the program and its ready
    one. SIGHUP ends nothing, and SIGTERM is a planned end like any other."""

    async def main():
        async with trio.open_nursery() as nursery:
            program = Program(nursery, tmp_path, pipe=True)
            try:
                await program.reads()
                program.signal(number)
                await trio.sleep(0.1)
                await program.feed()
                if number == signal.SIGHUP:
                    await program.reads()  # once more, as SIGHUP asks
                    await program.feed()
                await program.start()
                one = program.client()
                one.send(setup(sid(1)))
                assert await one.answers(1) == [200]
                one.send(teardown(sid(1)))
                if number == signal.SIGHUP:
                    program.signal(signal.SIGTERM)
                code, said = await program.exit()
                assert code == 0 and "Traceback" not in said
            finally:
                program.process.kill()
                program.process.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("tenth", range(1, 11))
def test_the_signal_at_each_tenth_of_a_start_leaves_no_mess(tmp_path, tenth):
    async def main():
        async with trio.open_nursery() as nursery:
            program = Program(nursery, tmp_path)
            try:
                await trio.sleep(tenth * 0.05)
                program.signal(signal.SIGTERM)
                code, said = await program.exit()
                assert code in (0, -signal.SIGTERM) and "Traceback" not in said, said
            finally:
                program.process.kill()
                program.process.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_start_in_the_instant_in_which_the_process_of_before_ends(tmp_path):
    """Its address is still in use when the next one wants it: that one waits, and serves once it is free."""

    async def main():
        async with trio.open_nursery() as nursery:
            program = Program(nursery, tmp_path, pipe=True)
            try:
                await program.reads()
                host, port = program.address.rsplit(":", 1)
                with socket.create_server((host, int(port))):
                    await program.feed()
                    await trio.sleep(1)
                    assert program.process.poll() is None
                await program.start()
                one = program.client()
                one.send(setup(sid(1)))
                assert await one.answers(1) == [200]
            finally:
                program.process.kill()
                program.process.wait()
            _, said = await program.exit()
            assert "address in use" in said and "Traceback" not in said
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_signals_are_held_back_for_no_longer_than_the_program_runs(monkeypatch):
    """A program that calls this one's main function goes on to start others, which inherit its mask."""
    monkeypatch.delenv("NODE_NAME", raising=False)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    assert main() == 2
    assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) == before
