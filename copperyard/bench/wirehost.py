"""Runs a Controller for each front on the simulator's wire, from standard input to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import wire
from ..decide import Controller
from ..interface import Event
from ..settings import parse_options, parse_settings, report_columns


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer where the stream ends."""
    parts = []
    while size:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


class FrontHost:
    """All fronts of this process. They share only the decoder's server lists."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.fronts: dict[int, Controller] = {}
        self.failed_fronts: dict[int, None] = {}

    def reply(self, now: int, body: bytes, records: int, batch: int) -> bytes:
        """Handle a frame and return the reply frame; a front whose decisions fail gets a BAIL_OUT record."""
        out: list[bytes] = []
        for front, event in self.decoder.decode(body, records):
            try:
                self._event(now, front, event, out)
            except wire.MalformedFrameError:
                raise
            except Exception as error:  # the simulator must see a failure of the decisions, not a missing action
                self.failed_fronts[front] = None
                out.append(wire.bail_out(front, f"{type(error).__name__}: {error}"))
        data = b"".join(out)
        return wire.REPLY.pack(len(data), batch) + data

    def _event(self, now: int, front: int, event: wire.Create | wire.Crash | Event, out: list[bytes]) -> None:
        if isinstance(event, wire.Create):
            self.fronts.pop(front, None)
            self.failed_fronts.pop(front, None)
            options = parse_options(event.options)
            settings = parse_settings(options)
            self.decoder.columns[front] = report_columns(options)
            self.fronts[front] = Controller(settings, event.seed)
        elif isinstance(event, wire.Crash):
            self.fronts.pop(front, None)
            self.failed_fronts.pop(front, None)
        elif front in self.fronts and front not in self.failed_fronts:
            for action in self.fronts[front].handle(now, event):
                out.append(wire.encode(front, action))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; MalformedFrameError if one is invalid or incomplete."""
    host = FrontHost()
    while True:
        header = _read_exactly(source, wire.HEADER.size)
        if not header:
            return
        if len(header) < wire.HEADER.size:
            raise wire.MalformedFrameError("the input ends inside a header")
        size, now, records, batch = wire.HEADER.unpack(header)
        body = _read_exactly(source, size)
        if len(body) < size:
            raise wire.MalformedFrameError("the input ends inside a frame")
        sink.write(host.reply(now, body, records, batch))
        sink.flush()


def main() -> int:
    """Serve standard input; returns 1, with one line on standard error, after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.MalformedFrameError as error:
        print(f"copperyard: malformed frame: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
