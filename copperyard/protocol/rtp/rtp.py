"""The RTP header (RFC 3550 section 5.1)."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_HEADER = struct.Struct(">BBHII")
_SEQ_TS_SSRC = struct.Struct(">HII")


@dataclass(frozen=True, slots=True)
class RtpHeader:
    """The fixed header of an RTP packet; `ts` is in units of the payload's clock."""

    payload_type: int
    seq: int
    ts: int
    ssrc: int
    marker: bool = False


def parse_header(data: bytes) -> RtpHeader | None:
    """Return the header of a packet, None if the bytes are not RTP version 2."""
    if len(data) < 12:
        return None
    first, second, seq, ts, ssrc = _HEADER.unpack_from(data)
    if first >> 6 != 2 or len(data) < 12 + 4 * (first & 15):
        return None
    return RtpHeader(second & 0x7F, seq, ts, ssrc, bool(second & 0x80))


def encode_packet(packet: RtpHeader, payload: bytes) -> bytes:
    """Encode a packet without padding, extension or contributing sources."""
    second = packet.payload_type & 0x7F | (0x80 if packet.marker else 0)
    return _HEADER.pack(0x80, second, packet.seq & 0xFFFF, packet.ts & 0xFFFFFFFF, packet.ssrc) + payload


def rewrite_header(data: bytes, seq: int, ts: int, ssrc: int) -> bytes:
    """Return the packet with another sequence number, timestamp and source."""
    return data[:2] + _SEQ_TS_SSRC.pack(seq & 0xFFFF, ts & 0xFFFFFFFF, ssrc) + data[12:]
