"""A gateway process that is stopped and continued (SIGSTOP, SIGCONT) reads what arrived meanwhile of the host list
before it sends anything new to a host.

Guards against a set-up at a host whose drain is still unread. On sockets the system decides in which order the tasks
become ready; seeds in tests/lab/test_world.py choose the order and show that the guard is needed.
"""

import json
import os
import random
import signal
import subprocess
import sys

import trio

from copperyard.gateway.net import TcpNetwork
from copperyard.lab.audit import Auditor
from copperyard.lab.fleet import Fleet
from copperyard.lab.viewers import Client
from tests.gateway.test_gateway import opened
from tests.lab.helpers import MS, site, site_text


class NoGateways(Fleet):
    """Hosts and a list service; the gateway runs as a separate process."""

    async def start_gateway(self, one):
        pass


async def _read_json_line(stream):
    data = b""
    while not data.endswith(b"\n"):
        data += await stream.receive_some(4096)
    return json.loads(data)


def test_continued_gateway_reads_of_drains_before_it_sends(tmp_path):
    one = site(gateways=1, grace="100ms")

    async def main():
        fleet = NoGateways(one, TcpNetwork(), 1, lambda event, fields: None)
        async with trio.open_nursery() as nursery:
            await nursery.start(fleet.run)
            path = tmp_path / "site.xml"
            text = site_text(gateways=1, grace="100ms")
            path.write_text(text.replace("127.0.0.1:1/", f"{fleet.lists.address}/"))
            command = [sys.executable, "-m", "copperyard.cli.main", "serve", str(path)]
            program = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
            try:
                with trio.fail_after(20):
                    address = (await _read_json_line(program.stdout))["gateways"][0].removeprefix("rtsp://")
                    await _stop_and_continue(fleet, program.pid, address)
            finally:
                program.kill()
                await program.wait()
            nursery.cancel_scope.cancel()
        return fleet

    fleet = trio.run(main)
    later = [
        t
        for side in fleet.tap.hosts
        for t in side.messages
        if t[2].__class__.__name__ == "Request" and t[2].method == "SETUP" and t[0] > fleet.stopped
    ]
    assert not later and not Auditor(one.rules, fleet.tap, 50 * MS, 500 * MS).check()
    assert fleet.answers[0] == 200 and all(status == 453 for status in fleet.answers[1:])


async def _stop_and_continue(fleet, pid, address):
    rng = random.Random(1)

    async def client():
        return Client(await fleet.network.connect(address), fleet.tap.viewer_connection("gw-0"))

    while not fleet.tap.lists:  # noqa: ASYNC110
        await trio.sleep(0.02)
    await trio.sleep(0.1)
    first = await client()
    _, answer = await opened(first)
    fleet.answers = [answer.status]
    waiting = []
    for _ in range(5):
        waiting.append(await client())
        named = (
            (
                "Session",
                (
                    await waiting[-1].call(
                        "SETUP", f"rtsp://{address}/f/0/track1", (("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),)
                    )
                )
                .header("Session")
                .split(";")[0],
            ),
        )
        waiting[-1].named = named
    os.kill(pid, signal.SIGSTOP)
    fleet.stopped = round(trio.current_time() * 1e9)
    async with trio.open_nursery() as nursery:

        async def play(one):
            fleet.answers.append((await one.call("PLAY", f"rtsp://{address}/f/0", one.named)).status)

        for one in waiting:
            nursery.start_soon(play, one)  # these requests arrive before the news of the drains, and are read first
        await trio.sleep(0.1)
        for host in rng.sample(fleet.hosts, len(fleet.hosts)):
            fleet.lists.publish(host, "draining")
        await trio.sleep(0.5)
        fleet.tap.gateway_stalled(fleet.stopped, round(trio.current_time() * 1e9), "gw-0")
        os.kill(pid, signal.SIGCONT)
