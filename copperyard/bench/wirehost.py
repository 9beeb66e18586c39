"""Hosts one Controller for each instance on the simulator's wire: standard input to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import wire
from ..decide import Controller
from ..interface import Event
from ..settings import parse_options, parse_settings, report_columns


def _exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer where the stream ends."""
    parts = []
    while size:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


class Host:
    """All fronts of this process. They share the decoder's lists and nothing else."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.fronts: dict[int, Controller] = {}
        self.broken: dict[int, None] = {}

    def reply(self, now: int, body: bytes, records: int, batch: int) -> bytes:
        out: list[bytes] = []
        for front, event in self.decoder.batch(body, records):
            try:
                self._event(now, front, event, out)
            except wire.MalformedFrame:
                raise
            except Exception as error:  # a failure of the decisions must show, never pass as silence
                self.broken[front] = None
                out.append(wire.bail_out(front, f"{type(error).__name__}: {error}"))
        data = b"".join(out)
        return wire.REPLY.pack(len(data), batch) + data

    def _event(self, now: int, front: int, event: wire.Create | wire.Crash | Event, out: list[bytes]) -> None:
        if isinstance(event, wire.Create):
            self.fronts.pop(front, None)
            self.broken.pop(front, None)
            options = parse_options(event.options)
            settings = parse_settings(options)
            self.decoder.columns[front] = report_columns(options)
            self.fronts[front] = Controller(settings, event.seed)
        elif isinstance(event, wire.Crash):
            self.fronts.pop(front, None)
            self.broken.pop(front, None)
        elif front in self.fronts and front not in self.broken:
            for action in self.fronts[front].handle(now, event):
                out.append(wire.encode(front, action))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends."""
    host = Host()
    while True:
        header = _exactly(source, wire.HEADER.size)
        if not header:
            return
        if len(header) < wire.HEADER.size:
            raise wire.MalformedFrame("the input ends inside a header")
        size, now, records, batch = wire.HEADER.unpack(header)
        body = _exactly(source, size)
        if len(body) < size:
            raise wire.MalformedFrame("the input ends inside a frame")
        sink.write(host.reply(now, body, records, batch))
        sink.flush()


def main() -> int:
    """Run the loop; a malformed frame is one line on standard error and exit 1."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.MalformedFrame as error:
        print(f"copperyard: malformed frame: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
