"""Follows the list service over HTTP (h11): long polls on one connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11
import trio

from ..control.core import Core
from .net import Network, Stream, now

MOST_BODY = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ListPlace:
    """Where the list is had: `address` and `path`; a poll waits `wait` ns there and `timeout` ns here."""

    address: str
    path: str
    wait: int
    timeout: int


def list_place(url: str, wait: int, timeout: int) -> ListPlace:
    """The place of an http URL. ValueError for another scheme or a URL without a port or host."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"not an http URL: {url}")
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return ListPlace(f"{host}:{parts.port or 80}", parts.path or "/", wait, timeout)


async def follow(network: Network, core: Core, place: ListPlace, carry_out: Callable[[], None]) -> None:
    """Poll until something fails; the core hears of that once and says when to go on."""
    stream: Stream | None = None
    try:
        with trio.move_on_after(place.timeout / 1e9):
            stream = await network.connect(place.address)
        if stream is None:
            raise OSError("no connection in time")
        wire = h11.Connection(h11.CLIENT)
        while True:
            with trio.fail_after(place.timeout / 1e9):
                status, body = await _poll(stream, wire, core, place)
            if status == 200 and not core.list_body(now(), body):
                raise OSError("its answer made no sense")
            if status not in (200, 204):
                raise OSError(f"it answered {status}")
            carry_out()
            if wire.our_state is not h11.DONE or wire.their_state is not h11.DONE:
                raise OSError("it closed the connection")
            wire.start_next_cycle()
    except (OSError, trio.TooSlowError, h11.RemoteProtocolError) as error:
        core.list_failed(now(), f"{type(error).__name__}: {error}"[:200])
    finally:
        if stream is not None:
            stream.close()
    carry_out()


async def _poll(stream: Stream, wire: h11.Connection, core: Core, place: ListPlace) -> tuple[int, bytes]:
    known = core.roster.generation
    query = f"?after={known}&wait_ms={place.wait // 1_000_000}" if known is not None else ""
    headers = [("Host", place.address), ("User-Agent", core.label)]
    request = h11.Request(method="GET", target=place.path + query, headers=headers)
    await _send(stream, wire.send(request))
    await _send(stream, wire.send(h11.EndOfMessage()))
    status, body = 0, bytearray()
    while True:
        event = wire.next_event()
        if event is h11.NEED_DATA:
            wire.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MOST_BODY:
                raise OSError(f"its answer is over {MOST_BODY} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("it closed the connection")


async def _send(stream: Stream, data: bytes | None) -> None:
    while data:
        data = data[await stream.send_some(data):]
