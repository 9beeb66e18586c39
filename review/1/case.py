"""A media host stands still for 12 s; a session's end falls into that time; its viewer must be told of it."""

from __future__ import annotations

import asyncio
import signal

from kit import standins
from kit.standins import TROUBLE, Case, Client, Gateway, Host, HostProcess, NameService

TITLE, SESSION = "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"
KIND = "short-clips"
HOSTS = 13  # one of them is 8 in 100; the page's limit is 19
LIFE = 24.0  # seconds that a session lasts at the host that stands still; the page has 22 to 54
IDLE = 30  # seconds after which hosts of this deployment close an idle connection
BEFORE = 16.0  # seconds from the set-up until the host stands still
STILL = 12.0  # seconds for which it stands still; the page's limits are 6.5 and 22
LIMIT = 1.0 + 0.05  # "within 1 s of the release by the media host", every limit 50 ms longer
SLACK = 8.0  # how much longer than the limit the case waits


async def body(case: Case) -> None:
    """The hosts, the first one a process of its own."""
    record = case.record
    first = HostProcess(record, "s-1", 0, case.scratch, LIFE, IDLE)
    hosts = [first, *(Host(record, f"s-{n + 1}", n) for n in range(1, HOSTS))]
    names = NameService(record, hosts)
    gateway = Gateway(record, case.scratch, names, standins.settings("wa-linen-training", HOSTS))
    try:
        for host in hosts:
            await host.listen()
        await names.listen()
        await gateway.start()
        await scene(case, first, gateway)
    finally:
        await gateway.stop()
        for line in await first.stop():
            record.copy(line)


async def scene(case: Case, host: HostProcess, gateway: Gateway) -> None:
    """The run: a session at the host, which then stands still; meanwhile, set-ups at the other hosts go on."""
    record = case.record
    client = await Client(record, "viewers").connect(gateway.address)
    client.setup(SESSION, TITLE, KIND)
    answer = await client.wait(SESSION, "RTSP/1.0 200", 5)
    case.need(answer, "the session stands")
    others = asyncio.ensure_future(traffic(client))
    await asyncio.sleep(BEFORE)
    if TROUBLE:
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(STILL)
        host.signal(signal.SIGCONT)
    else:
        await asyncio.sleep(STILL)
    await asyncio.sleep(1)
    released = next((float(line.split()[0]) for line in host.lines() if f"session {SESSION} ends" in line), None)
    case.need(released is not None, "the host has released the session")
    await asyncio.sleep(max(0.0, released + LIMIT + SLACK - record.now))
    others.cancel()
    case.need(gateway.alive and client.ended is None, "gateway and the viewers' connection are there at the end")
    told = client.find(SESSION, "TEARDOWN")
    if told is None:
        case.broken(f"{record.now - released:.1f} s after the host's release the viewer has not been told")
    elif told[0] - released > LIMIT:
        case.broken(f"the viewer was told only {told[0] - released:.2f} s after the host's release")


async def traffic(client: Client) -> None:
    """A set-up a second for a title of the other hosts, each released after 2 s."""
    for n in range(100):
        session = f"9b1f03aa5c7f{n:04x}"
        client.setup(session, "7f3a9c21e0b4d656", KIND, home=1, copies=HOSTS - 1)
        asyncio.get_running_loop().call_later(2, client.teardown, session)
        await asyncio.sleep(1)


if __name__ == "__main__":
    standins.main(__file__, body)
