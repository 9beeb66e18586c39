"""Planned shutdown: every request whose last byte the machine accepted in time gets one whole answer. The node's
sockets are real; races are forced by blocking its readers or stopping its process."""

import signal
import socket

import pytest
import trio

from copperyard.control.node import bounds
from copperyard.gateway.node.__main__ import main
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import PING, release, setup, sid, teardown
from tests.gateway.node.sockets import NodeProcess, answer, run_with_node, run_with_process


def test_requests_unread_when_no_session_is_left_are_still_answered():
    """On an open connection, on one not accepted yet, and after half a request."""

    async def body(harness):
        stands, half = harness.client(), harness.client()
        half.send(setup(sid(2))[:40])
        stands.send(PING)
        assert await stands.answers(1) == [200]
        harness.nursery.start_soon(harness.node.shut_down)
        await trio.sleep(0.7)
        harness.block_reads()
        new = [harness.client() for _ in range(5)]
        for n, one in enumerate(new):
            one.send(setup(sid(10 + n)))
        stands.send(setup(sid(1)))
        half.send(setup(sid(2))[40:])
        # refused, as they came late, but each is answered once and in full
        for one in (stands, half, *new):
            assert await one.answers(2) == [503]
            assert one.at_end
        with trio.fail_after(3):
            await harness.node.ended.wait()

    run_with_node(body)


def test_a_request_that_arrives_with_the_last_answer_is_answered():
    """In the step in which the last session's answer is sent, further requests are unread."""

    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: None
        one, two = harness.client(), harness.client()
        one.send(setup(sid(1), "paid", patience="2900"))
        await harness.until(lambda: harness.setups)
        harness.nursery.start_soon(harness.node.shut_down)
        await trio.sleep(1.2)
        harness.block_reads()
        two.send(setup(sid(2)))
        one.send(PING)
        await host.say(release(sid(1), Cause.ERROR))  # a paid one that may have run fails
        assert await one.answers(3) == [500, 503] and await two.answers(2) == [503]
        with trio.fail_after(3):
            await harness.node.ended.wait()
        assert harness.is_clean()

    run_with_node(body, hosts=1)


def test_a_slow_client_gets_the_last_answer_in_full():
    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: answer(session, 14000)
        one = harness.client()
        one.send(setup(sid(1)))
        await harness.until(
            lambda: harness.node.core.sessions
            and any(writer.unsent for writer in harness.node._viewer_writers.values())
        )
        one.send(teardown(sid(1)))
        await harness.until(lambda: not harness.node.core.sessions)
        harness.nursery.start_soon(harness.node.shut_down)
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
            await harness.node.ended.wait()

    run_with_node(body, hosts=1, small_buffers=True)


def test_a_release_queued_for_a_connection_is_sent_before_the_shutdown_completes():
    async def body(harness):
        (host,) = harness.hosts
        one = harness.client()
        one.send(setup(sid(1)))
        assert await one.answers(1) == [200]
        harness.network.dials = trio.Event()
        await host.streams[0].aclose()
        await trio.sleep(0.1)  # its connection is gone; the next one is not established yet
        harness.nursery.start_soon(harness.node.shut_down)
        await trio.sleep(1.2)
        one.send(teardown(sid(1)))
        assert await one.answers(1) == [200]
        await trio.sleep(0.1)
        assert not harness.node.core.sessions and not harness.node.ended.is_set()
        harness.network.dials.set()
        await harness.until(lambda: host.releases == [sid(1)])
        with trio.fail_after(3):
            await harness.node.ended.wait()

    run_with_node(body, hosts=1)


def test_a_peer_that_reads_nothing_does_not_delay_the_shutdown():
    async def body(harness):
        (host,) = harness.hosts
        host.setup_reply = lambda session: answer(session, 14000)
        one = harness.client()
        one.send(setup(sid(1)))
        await harness.until(lambda: any(writer.unsent for writer in harness.node._viewer_writers.values()))
        one.send(teardown(sid(1)))
        await harness.until(lambda: not harness.node.core.sessions)
        began = trio.current_time()
        await harness.node.shut_down()
        assert (
            trio.current_time() - began
            < (bounds.SHUTDOWN_MIN_PERIOD + bounds.SHUTDOWN_FLUSH_TIMEOUT + bounds.SHUTDOWN_CLOSE_TIMEOUT) / 1e9 + 1
        )

    run_with_node(body, hosts=1, small_buffers=True)


# ---- as a process


def test_a_process_that_was_stopped_answers_requests_that_came_meanwhile(tmp_path):
    """Stopped from 0.3 s after the signal until past its shutdown: twenty requests, half of them on connections that
    were not accepted yet, become readable in the instant in which the shutdown is due."""

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

    run_with_process(tmp_path, body)


def test_a_request_that_arrives_partly_before_and_partly_after_the_signal_is_served(tmp_path):
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
        assert sorted(program.harness.hosts[0].releases) == [sid(1), sid(2)]

    run_with_process(tmp_path, body)


def test_after_the_signal_sessions_go_on_and_set_ups_in_flight_are_answered(tmp_path):
    """A paid set-up is in flight when the signal comes and is established 1.5 s later; another one was before."""

    async def body(program):
        (host,) = program.harness.hosts
        one, two = program.client(), program.client()
        one.send(setup(sid(1), "paid"))
        assert await one.answers(1) == [200]
        host.setup_reply = lambda session: None
        two.send(setup(sid(2), "paid", patience="2900"))
        await program.harness.until(lambda: len(host.setups) == 2)
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

    run_with_process(tmp_path, body)


def test_shutdown_while_a_new_configuration_is_invalid(tmp_path):
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

    run_with_process(tmp_path, body)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_startup_is_handled_after_it(tmp_path, number):
    """The configuration is a pipe that this test fills, so the signal comes before the node is ready. SIGHUP must not
    end the process, and SIGTERM must start a planned shutdown."""

    async def main():
        async with trio.open_nursery() as nursery:
            program = NodeProcess(nursery, tmp_path, pipe=True)
            try:
                await program.wait_for_config_read()
                program.signal(number)
                await trio.sleep(0.1)
                await program.send_config()
                if number == signal.SIGHUP:
                    await program.wait_for_config_read()  # once more, as SIGHUP asks
                    await program.send_config()
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
def test_a_signal_at_any_time_during_startup_ends_cleanly(tmp_path, tenth):
    async def main():
        async with trio.open_nursery() as nursery:
            program = NodeProcess(nursery, tmp_path)
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


def test_a_start_while_the_previous_process_still_listens_waits_for_its_address(tmp_path):
    """The address is still in use when the next process binds it: that one waits, and serves once it is free."""

    async def main():
        async with trio.open_nursery() as nursery:
            program = NodeProcess(nursery, tmp_path, pipe=True)
            try:
                await program.wait_for_config_read()
                host, port = program.address.rsplit(":", 1)
                with socket.create_server((host, int(port))):
                    await program.send_config()
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


def test_the_signal_mask_is_restored_when_main_returns(monkeypatch):
    """A program that calls `main` may start other programs later, which inherit its signal mask."""
    monkeypatch.delenv("NODE_NAME", raising=False)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    assert main() == 2
    assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) == before
