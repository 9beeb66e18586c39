"""The RTP header (RFC 3550 section 5.1)."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_HEADER = struct.Struct(">BBHII")
_TAIL = struct.Struct(">HII")


@dataclass(frozen=True, slots=True)
class Packet:
    """The fixed header of an RTP packet. `ts` counts the payload's own clock."""

    payload_type: int
    seq: int
    ts: int
    ssrc: int
    marker: bool = False


def parse(data: bytes) -> Packet | None:
    """The header of a packet, None for what is no RTP of version 2."""
    if len(data) < 12:
        return None
    first, second, seq, ts, ssrc = _HEADER.unpack_from(data)
    if first >> 6 != 2 or len(data) < 12 + 4 * (first & 15):
        return None
    return Packet(second & 0x7F, seq, ts, ssrc, bool(second & 0x80))


def pack(packet: Packet, payload: bytes) -> bytes:
    """A packet without padding, extension or contributing sources."""
    second = packet.payload_type & 0x7F | (0x80 if packet.marker else 0)
    return _HEADER.pack(0x80, second, packet.seq & 0xFFFF, packet.ts & 0xFFFFFFFF, packet.ssrc) + payload


def rewrite(data: bytes, seq: int, ts: int, ssrc: int) -> bytes:
    """The same packet under another sequence number, timestamp and source."""
    return data[:2] + _TAIL.pack(seq & 0xFFFF, ts & 0xFFFFFFFF, ssrc) + data[12:]
