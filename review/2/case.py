"""Sessions stand at as many hosts as a gateway has connections for; one vanishes; its viewers must be told in time."""

from __future__ import annotations

import asyncio

from kit import standins
from kit.standins import TROUBLE, Case, Client, Gateway, Host, NameService

TITLE, KIND = "7f3a9c21e0b4d655", "short-clips"
HOSTS, RACK = 128, 8
SOCKETS = 256  # "256 to 1,024 descriptors"
MOST = 400  # set-ups sent at most, 25 a second
ENOUGH = 75  # set-ups in a row after which no further host has got a session
LIMIT = 8.0 + 0.05  # "within 8 s of its end where no release could be sent", every limit 50 ms longer
SLACK = 0.5


async def body(case: Case) -> None:
    """A fleet of quiet hosts that all hold the title, and one gateway with few descriptors."""
    record = case.record
    hosts = [Host(record, f"s-{n + 1}", n) for n in range(HOSTS)]
    names = NameService(record, hosts)
    options = standins.settings("wa-linen-training", HOSTS)
    options["extra"]["shelves"] = HOSTS // RACK
    gateway = Gateway(record, case.scratch, names, options, SOCKETS)
    try:
        for host in hosts:
            await host.listen()
        await names.listen()
        await gateway.start()
        await scene(case, hosts, gateway)
    finally:
        await gateway.stop()


async def scene(case: Case, hosts: list[Host], gateway: Gateway) -> None:
    """The run: 6 s for the gateway to hold its hosts for warm, the set-ups, and one host vanishes."""
    record = case.record
    await asyncio.sleep(6)
    client = await Client(record, "viewers").connect(gateway.address)
    sessions, reached, since = [], 0, 0
    while len(sessions) < MOST and since < ENOUGH:
        sessions.append(f"9b1f03aa5c7e{len(sessions):04x}")
        client.setup(sessions[-1], TITLE, KIND, copies=HOSTS)
        await asyncio.sleep(0.04)
        standing = sum(bool(host.standing) for host in hosts)
        reached, since = (standing, 0) if standing > reached else (reached, since + 1)
    await asyncio.sleep(1)
    missing = [session for session in sessions if client.find(session, "RTSP/1.0") is None]
    record("judge", f"{len(sessions)} set-ups; sessions stand at {reached} hosts; {len(missing)} not answered yet")
    case.need(reached >= 90, "sessions stand at most hosts")

    host = next(one for one in hosts[4:] if one.standing)
    lost, start = sorted(host.standing), record.now
    if TROUBLE:
        host.vanish()
    await asyncio.sleep(start + LIMIT + SLACK - record.now)
    case.need(gateway.alive and client.ended is None, "gateway and the viewers' connection are there at the end")
    for session in lost if TROUBLE else ():
        told = client.find(session, "TEARDOWN")
        if told is None:
            case.broken(f"{record.now - start:.1f} s after the host vanished the viewer of {session} was not told")
        elif told[0] - start > LIMIT:
            case.broken(f"the viewer of {session} was told only {told[0] - start:.2f} s after the host vanished")
    ended = [one for one in sessions if (not TROUBLE or one not in lost) and client.find(one, "TEARDOWN")]
    if ended:
        case.broken(f"sessions at hosts that are there were ended: {ended}")


if __name__ == "__main__":
    standins.main(__file__, body)
