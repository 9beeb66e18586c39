"""A session's media host dies after a long quiet time; its viewer must be told within 8 s, on any connection."""

from __future__ import annotations

import asyncio

from kit import standins
from kit.standins import TROUBLE, Case, Client, Gateway, Host, NameService

TITLE, SESSION = "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"
HOSTS, COPIES = 12, 3  # one that dies is 8 in 100; the page's limit is 21
QUIET = 36.0  # seconds without a request
LIMIT = 8.0 + 0.05  # "within 8 s of its end where no release could be sent", every limit 50 ms longer
SLACK = 1.0  # more than any run of this case needs


async def body(case: Case) -> None:
    """One session, a quiet time, and the death of its host."""
    record = case.record
    hosts = [Host(record, f"s-{n + 1}", n) for n in range(HOSTS)]
    names = NameService(record, hosts)
    gateway = Gateway(record, case.scratch, names, standins.settings("caruso-annuari", HOSTS))
    try:
        for host in hosts:
            await host.listen()
        await names.listen()
        await gateway.start()
        await scene(case, hosts, gateway)
    finally:
        await gateway.stop()


async def scene(case: Case, hosts: list[Host], gateway: Gateway) -> None:
    """The run, from the first set-up on."""
    record = case.record
    first = await Client(record, "viewer-1").connect(gateway.address)
    first.setup(SESSION, TITLE, copies=COPIES)
    case.need(await first.wait(SESSION, "RTSP/1.0 200", 5), "the session stands")
    host = next(one for one in hosts if SESSION in one.standing)

    # nothing happens for a while; a viewer whose connection is closed meanwhile opens another one and tests it
    clients, end = [first], record.now + QUIET
    while record.now < end:
        await asyncio.sleep(0.05)
        if clients[-1].ended is not None:
            clients.append(await Client(record, f"viewer-{len(clients) + 1}").connect(gateway.address))
            clients[-1].ping()
    case.need(gateway.alive and SESSION in host.standing, "the session still stands")
    if not TROUBLE:
        clients[-1].teardown(SESSION)
        case.need(await clients[-1].wait(SESSION, "RTSP/1.0 200", 2), "the viewer's release is heard")
        await asyncio.sleep(0.5)
        if SESSION in host.standing:
            case.broken("the viewer's release did not reach the media host")
        return

    died = record.now
    host.die()
    for _ in range(4):
        await asyncio.sleep(2)
        clients[-1].ping()
    await asyncio.sleep(died + LIMIT + SLACK - record.now)
    pings = sum(line.startswith("RTSP/1.0 200") and at > died for at, line, _, _ in clients[-1].heard)
    case.need(pings == 4, "the viewer's connection is open and read: its tests are answered there")
    told = [found for client in clients if (found := client.find(SESSION, "TEARDOWN")) is not None]
    case.need(gateway.alive and clients[-1].ended is None, "gateway and connection are there at the end")
    if not told:
        case.broken(f"{record.now - died:.1f} s after the host's death the viewer has not been told, on any connection")
    elif told[0][0] - died > LIMIT:
        case.broken(f"the viewer was told only {told[0][0] - died:.2f} s after the host's death")


if __name__ == "__main__":
    standins.main(__file__, body)
