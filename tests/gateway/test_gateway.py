"""The running gateway on an in-memory network and a virtual clock: slow, broken and malicious connections."""

import random

import trio

from copperyard.gateway.daemon import Gateway
from copperyard.lab import virtual
from copperyard.lab.audit import Auditor, TappedConnection
from copperyard.lab.fleet import Fleet
from copperyard.lab.memnet import MemoryNetwork
from copperyard.lab.viewers import Client, ConnectionBrokenError
from tests.lab.helpers import MS, site

QUIET = {"log": lambda event, fields: None}


def run_site(one, body, seed=1, log=lambda event, fields: None):
    """Run `body(fleet)` against a whole site and return the fleet."""

    async def main():
        network = MemoryNetwork()
        fleet = Fleet(one, network, seed, log)
        async with trio.open_nursery() as nursery:
            await nursery.start(fleet.run)
            await fleet.ready()
            await trio.sleep(1.5)
            await body(fleet)
            nursery.cancel_scope.cancel()
        return fleet

    return virtual.run(main, seed)


async def connect(fleet):
    stream = await fleet.network.connect(fleet.gateways[0].address)
    return Client(stream, fleet.tap.viewer_connection(fleet.gateways[0].name))


async def opened(client, path="/f/0", query=""):
    """SETUP both tracks and PLAY; returns the Session header and the response to PLAY."""
    named: tuple[tuple[str, str], ...] = ()
    url = f"rtsp://{client.stream.peer}{path}"
    for n in (1, 2):
        transport = (("Transport", f"RTP/AVP/TCP;unicast;interleaved={2 * n - 2}-{2 * n - 1}"),)
        answer = await client.call("SETUP", f"{url}/track{n}{query}", transport + named)
        named = (("Session", answer.header("Session").split(";")[0]),)
    return named, await client.call("PLAY", url, named)


def assert_rules_kept(fleet):
    breaks = Auditor(fleet.site.rules, fleet.tap, 5 * MS, 10 * MS).check()
    assert not breaks, breaks


def test_viewer_that_reads_nothing_is_bounded_and_disconnected_without_effect_on_others():
    # full-size media: 1.6 MB/s into an outbox of 100 kB and a window of 64 kB
    one = site(scale="1", length="30s", limits='stall="2s" idle="20s" silence="1s" dead="3s" queue="100kB"')
    seen = {}

    async def body(fleet):
        core = fleet.gateways[0].gateway.core
        not_reading, other = await connect(fleet), await connect(fleet)
        await opened(not_reading)
        await opened(other)
        visitors = list(core.rtsp_server.connections.values())
        most, frames = 0, 0
        with trio.move_on_after(5):
            while True:
                await other.read()
                frames += len(other.frames)
                other.frames.clear()
                most = max([most, *(v.outbox.size for v in visitors)])
        seen.update(
            most=most,
            frames=frames,
            sessions=len(core.rtsp_server.sessions),
            plays=len(core.session_table.requests),
            hosts=sum(len(h.sessions) for h in fleet.hosts),
        )

    assert_rules_kept(run_site(one, body))
    assert seen["most"] < 100_000 + 2 * 65536
    assert seen["frames"] > 100  # the viewer that reads was served all the time
    assert seen["sessions"] == seen["plays"] == seen["hosts"] == 1


def test_malformed_input_of_one_viewer_does_not_affect_others():
    lines = []

    async def body(fleet):
        good = await connect(fleet)
        _, answer = await opened(good)
        assert answer.status == 200
        for data in (
            b"\xff\xfe\r\n\r\n",
            b"PLAY " + b"x" * 9000,
            b"SETUP * RTSP/1.0\r\nContent-Length: -1\r\n\r\n",
            b"$\xff\xff\xff",
            b"RTSP/1.0 200 OK\r\nCSeq: 3\r\n\r\n",
            b"\r\n" * 500,
            b"OPTIONS",
        ):
            bad = await connect(fleet)
            await bad.write(data)
            with trio.move_on_after(1):
                try:
                    while True:
                        await bad.read()
                except ConnectionBrokenError:
                    pass
            bad.stream.close()
        good.frames.clear()
        await good.read()
        await good.read()
        assert good.frames

    run_site(site(), body, log=lambda event, fields: lines.append(event))
    assert lines.count("viewer malformed") == 3 and "defect" not in lines


def test_invalid_list_is_ignored_and_the_old_one_kept():
    lines = []

    async def body(fleet):
        original_body = fleet.lists.body

        def body_with_duplicate_id(after):
            return (
                b'{"generation": 99, "hosts": [{"id": "h0", "address": "a:1", "cell": 0},'
                b'{"id": "h0", "address": "a:2", "cell": 0}]}'
            )

        fleet.lists.body = body_with_duplicate_id
        fleet.lists.publish(fleet.hosts[0], "ready")
        await trio.sleep(2)
        _, answer = await opened(await connect(fleet))
        assert answer.status == 200
        fleet.lists.body = original_body
        fleet.lists.publish_later(fleet.hosts[0], "draining")
        await trio.sleep(2)
        core = fleet.gateways[0].gateway.core
        assert not core.session_table.hosts.may_start(core.roster.numbers["h0"])

    run_site(site(), body, log=lambda event, fields: lines.append((event, dict(fields))))
    assert any(event == "list not taken" and "two hosts" in fields["text"] for event, fields in lines)


def test_list_service_that_was_down_is_polled_again():
    async def body(fleet):
        fleet.lists.fail(True)
        fleet.lists.publish(fleet.hosts[1], "draining")
        await trio.sleep(5)
        core = fleet.gateways[0].gateway.core
        assert core.session_table.hosts.may_start(core.roster.numbers["h1"])  # the list service is down
        fleet.lists.fail(False)
        await trio.sleep(2)
        assert not core.session_table.hosts.may_start(core.roster.numbers["h1"])

    run_site(site(), body)


def test_unreachable_hosts_cost_a_viewer_without_a_code_only_a_further_attempt():
    async def body(fleet):
        for host in fleet.hosts[:3]:
            host.crash()  # not yet known to the list service
        _, answer = await opened(await connect(fleet))
        assert answer.status in (200, 453)
        assert fleet.gateways[0].gateway.core.session_table.counts.outcomes.get("RESET", 0) == 0

    assert_rules_kept(run_site(site(), body))


def test_drain_lets_sessions_end_and_accepts_nothing_new():
    async def body(fleet):
        client = await connect(fleet)
        named, answer = await opened(client)
        assert answer.status == 200
        gateway = fleet.gateways[0].gateway
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.drain, 30)
            await trio.sleep(0.5)
            refused = await client.call(
                "SETUP", f"rtsp://{client.stream.peer}/f/1/track1", (("Transport", "RTP/AVP/TCP;interleaved=8-9"),)
            )
            assert refused.status == 503
            try:
                await connect(fleet)
                raise AssertionError("it still listens")
            except ConnectionRefusedError:
                pass
            assert (await client.call("TEARDOWN", f"rtsp://{client.stream.peer}/f/0", named)).status == 200
        assert not gateway.core.session_table.requests

    run_site(site(), body)


def test_killed_gateway_leaves_no_session_on_any_host_and_restarts():
    async def body(fleet):
        clients = [await connect(fleet) for _ in range(6)]
        for client in clients:
            await opened(client)
        assert sum(len(h.sessions) for h in fleet.hosts) == 6
        fleet.kill_gateway(fleet.gateways[0])
        await trio.sleep(0.1)
        assert sum(len(h.sessions) for h in fleet.hosts) == 0
        await fleet.start_gateway(fleet.gateways[0])
        await fleet.ready()
        await trio.sleep(1.5)
        _, answer = await opened(await connect(fleet))
        assert answer.status == 200

    run_site(site(), body)


def test_exception_in_one_connection_is_logged_and_ends_only_that_one():
    lines = []

    async def body(fleet):
        client = await connect(fleet)
        _, answer = await opened(client)
        core = fleet.gateways[0].gateway.core
        original, core.rtsp_server.received = core.rtsp_server.received, lambda *words: 1 / 0
        bad = await connect(fleet)
        await bad.write(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n")
        try:
            await bad.read()
            raise AssertionError("the connection went on")
        except ConnectionBrokenError:
            pass
        core.rtsp_server.received = original
        assert (await client.call("OPTIONS", "*")).status == 200

    run_site(site(), body, log=lambda event, fields: lines.append((event, dict(fields))))
    (defect,) = [fields for event, fields in lines if event == "defect"]
    assert "ZeroDivisionError" in defect["error"]


def test_gateway_cancelled_at_any_time_closes_all_its_sockets():
    # cancel at many times of a set-up: whatever a task waits for, hosts and viewers see the connection close
    for delay in range(0, 60, 4):

        async def body(fleet, delay=delay):
            client = await connect(fleet)

            async def ask():
                try:
                    await opened(client)
                    while True:
                        await client.read()
                except (ConnectionBrokenError, OSError):
                    return

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(delay / 1000)
                fleet.kill_gateway(fleet.gateways[0])
            await trio.sleep(0.1)
            assert sum(len(h._streams) for h in fleet.hosts) == 0

        run_site(site(), body)


def test_gateway_that_cannot_listen_raises_an_error():
    async def main():
        network = MemoryNetwork()
        taken = await network.listen("127.0.0.1:5")
        one = site()
        from copperyard.gateway.daemon import GatewayConfig
        from copperyard.gateway.listing import parse_list_url

        station = GatewayConfig(
            "g", taken.address, one.rules, one.catalogue(), one.zones, parse_list_url("http://a:1/", 1, 2)
        )
        try:
            await Gateway(station, network, 1, random.Random(1), QUIET["log"]).run()
        except OSError as error:
            return str(error)

    assert "in use" in virtual.run(main, 1)


def test_tap_parses_messages_however_they_are_split():
    side = TappedConnection("x")
    for byte in b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n$\0\0\1x":
        side.sent(5, bytes((byte,)))
    assert side.messages[0][2].method == "OPTIONS" and side.frames == 1
