"""RTCP packets (RFC 3550 section 6): SR, RR, SDES, BYE, APP, and compound packets."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

SR, RR, SDES, BYE, APP = 200, 201, 202, 203, 204
_PACKET_HEADER = struct.Struct(">BBH")
_SENDER_INFO = struct.Struct(">IQIII")
_REPORT_BLOCK = struct.Struct(">IIIIII")


@dataclass(frozen=True, slots=True)
class ReportBlock:
    """A reception report block (section 6.4.1).

    Its fields are: source, fraction of packets lost (in 256ths), cumulative number of packets lost, extended highest
    sequence number received, jitter in timestamp units, time of the last sender report (middle 32 bits of its NTP
    time) and delay since then (both in 65536ths of a second).
    """

    ssrc: int
    fraction_lost: int
    cumulative_lost: int
    highest_seq: int
    jitter: int = 0
    last_sr: int = 0
    delay_since_sr: int = 0


@dataclass(frozen=True, slots=True)
class SenderReport:
    """A sender report (section 6.4.1); `ntp` is the 64-bit wall clock time, `ts` the RTP timestamp of that time."""

    ssrc: int
    ntp: int
    ts: int
    packets: int
    octets: int
    blocks: tuple[ReportBlock, ...] = ()


@dataclass(frozen=True, slots=True)
class ReceiverReport:
    """A receiver report (section 6.4.2)."""

    ssrc: int
    blocks: tuple[ReportBlock, ...] = ()


@dataclass(frozen=True, slots=True)
class Bye:
    """A BYE packet: the sources that leave (section 6.6)."""

    sources: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class App:
    """An APP packet (section 6.7): a name of four characters, a subtype, data in whole 32-bit words."""

    ssrc: int
    name: str
    subtype: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Other:
    """A packet of another type, with its body as received."""

    kind: int
    raw: bytes


RtcpPacket = SenderReport | ReceiverReport | Bye | App | Other


def parse_compound(data: bytes) -> list[RtcpPacket] | None:
    """Return the packets of a compound packet in order, None if the bytes are not RTCP (section 6.1, A.2)."""
    packets: list[RtcpPacket] = []
    offset = 0
    while offset < len(data):
        if len(data) - offset < 4:
            return None
        first, kind, words = _PACKET_HEADER.unpack_from(data, offset)
        end = offset + 4 + 4 * words
        if first >> 6 != 2 or end > len(data):
            return None
        body = data[offset + 4 : end]
        if first & 0x20 and body and body[-1] <= len(body):
            body = body[: len(body) - body[-1]]
        packet = _parse_packet(kind, first & 31, body)
        if packet is None:
            return None
        packets.append(packet)
        offset = end
    return packets or None


def _parse_packet(kind: int, count: int, body: bytes) -> RtcpPacket | None:
    if kind == SR:
        if len(body) < 24 + 24 * count:
            return None
        ssrc, ntp, ts, packets, octets = _SENDER_INFO.unpack_from(body)
        return SenderReport(ssrc, ntp, ts, packets, octets, _parse_blocks(body, 24, count))
    if kind == RR:
        if len(body) < 4 + 24 * count:
            return None
        return ReceiverReport(int.from_bytes(body[:4], "big"), _parse_blocks(body, 4, count))
    if kind == BYE:
        if len(body) < 4 * count:
            return None
        return Bye(struct.unpack_from(f">{count}I", body))
    if kind == APP:
        if len(body) < 8:
            return None
        return App(int.from_bytes(body[:4], "big"), body[4:8].decode("latin-1"), count, body[8:])
    return Other(kind, body)


def _parse_blocks(body: bytes, offset: int, count: int) -> tuple[ReportBlock, ...]:
    blocks = []
    for n in range(count):
        ssrc, lost, highest, jitter, last, delay = _REPORT_BLOCK.unpack_from(body, offset + 24 * n)
        total = lost & 0xFFFFFF
        blocks.append(
            ReportBlock(ssrc, lost >> 24, total - (1 << 24) if total >> 23 else total, highest, jitter, last, delay)
        )
    return tuple(blocks)


def _encode_block(block: ReportBlock) -> bytes:
    return _REPORT_BLOCK.pack(
        block.ssrc,
        (block.fraction_lost & 255) << 24 | block.cumulative_lost & 0xFFFFFF,
        block.highest_seq & 0xFFFFFFFF,
        block.jitter & 0xFFFFFFFF,
        block.last_sr,
        block.delay_since_sr,
    )


def _add_header(kind: int, count: int, body: bytes) -> bytes:
    body += b"\0" * (-len(body) % 4)
    return _PACKET_HEADER.pack(0x80 | count, kind, len(body) // 4) + body


def encode(packet: RtcpPacket) -> bytes:
    """Encode one packet."""
    if isinstance(packet, SenderReport):
        head = _SENDER_INFO.pack(
            packet.ssrc, packet.ntp, packet.ts & 0xFFFFFFFF, packet.packets & 0xFFFFFFFF, packet.octets & 0xFFFFFFFF
        )
        return _add_header(SR, len(packet.blocks), head + b"".join(map(_encode_block, packet.blocks)))
    if isinstance(packet, ReceiverReport):
        return _add_header(
            RR, len(packet.blocks), packet.ssrc.to_bytes(4, "big") + b"".join(map(_encode_block, packet.blocks))
        )
    if isinstance(packet, Bye):
        return _add_header(BYE, len(packet.sources), struct.pack(f">{len(packet.sources)}I", *packet.sources))
    if isinstance(packet, App):
        name = packet.name.encode("latin-1")[:4].ljust(4)
        return _add_header(APP, packet.subtype, packet.ssrc.to_bytes(4, "big") + name + packet.data)
    return _add_header(packet.kind, 0, packet.raw)


def cname(ssrc: int, name: str) -> bytes:
    """Encode an SDES packet with a CNAME, which each compound packet carries (section 6.5.1)."""
    text = name.encode("utf-8")[:255]
    body = ssrc.to_bytes(4, "big") + bytes((1, len(text))) + text + b"\0"
    return _add_header(SDES, 1, body)


def encode_compound(packets: Sequence[RtcpPacket], ssrc: int, name: str = "copperyard") -> bytes:
    """Encode a valid compound packet: a report, the CNAME, then the rest (section 6.1)."""
    first: RtcpPacket = (
        packets[0] if packets and isinstance(packets[0], SenderReport | ReceiverReport) else ReceiverReport(ssrc)
    )
    rest = packets[1:] if packets and packets[0] is first else packets
    return encode(first) + cname(ssrc, name) + b"".join(map(encode, rest))
