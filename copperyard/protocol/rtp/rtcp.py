"""RTCP packets (RFC 3550 section 6): SR, RR, SDES, BYE, APP, and compounds of them."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

SR, RR, SDES, BYE, APP = 200, 201, 202, 203, 204
_HEAD = struct.Struct(">BBH")
_SENDER = struct.Struct(">IQIII")
_BLOCK = struct.Struct(">IIIIII")


@dataclass(frozen=True, slots=True)
class Block:
    """One reception report (section 6.4.1). `lost_share` is in 256ths, `highest` the extended sequence number,
    `jitter` in timestamp units, `last_sr` and `delay` in 65536ths of a second."""

    ssrc: int
    lost_share: int
    lost: int
    highest: int
    jitter: int = 0
    last_sr: int = 0
    delay: int = 0


@dataclass(frozen=True, slots=True)
class SenderReport:
    """A sender report (section 6.4.1); `ntp` is the 64 bit wall clock, `ts` the RTP clock of the same moment."""

    ssrc: int
    ntp: int
    ts: int
    packets: int
    octets: int
    blocks: tuple[Block, ...] = ()


@dataclass(frozen=True, slots=True)
class ReceiverReport:
    """A receiver report (section 6.4.2)."""

    ssrc: int
    blocks: tuple[Block, ...] = ()


@dataclass(frozen=True, slots=True)
class Bye:
    """The sources that leave (section 6.6)."""

    sources: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class App:
    """An application packet (section 6.7): four letters of name, a subtype, data in whole words."""

    ssrc: int
    name: str
    subtype: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Other:
    """A packet of another kind, as it came."""

    kind: int
    raw: bytes


Rtcp = SenderReport | ReceiverReport | Bye | App | Other


def parse_compound(data: bytes) -> list[Rtcp] | None:
    """The packets of a compound, in order; None where the bytes are no RTCP (section 6.1, A.2)."""
    found: list[Rtcp] = []
    at = 0
    while at < len(data):
        if len(data) - at < 4:
            return None
        first, kind, words = _HEAD.unpack_from(data, at)
        end = at + 4 + 4 * words
        if first >> 6 != 2 or end > len(data):
            return None
        body = data[at + 4 : end]
        if first & 0x20 and body and body[-1] <= len(body):
            body = body[: len(body) - body[-1]]
        one = _one(kind, first & 31, body)
        if one is None:
            return None
        found.append(one)
        at = end
    return found or None


def _one(kind: int, count: int, body: bytes) -> Rtcp | None:
    if kind == SR:
        if len(body) < 24 + 24 * count:
            return None
        ssrc, ntp, ts, packets, octets = _SENDER.unpack_from(body)
        return SenderReport(ssrc, ntp, ts, packets, octets, _blocks(body, 24, count))
    if kind == RR:
        if len(body) < 4 + 24 * count:
            return None
        return ReceiverReport(int.from_bytes(body[:4], "big"), _blocks(body, 4, count))
    if kind == BYE:
        if len(body) < 4 * count:
            return None
        return Bye(struct.unpack_from(f">{count}I", body))
    if kind == APP:
        if len(body) < 8:
            return None
        return App(int.from_bytes(body[:4], "big"), body[4:8].decode("latin-1"), count, body[8:])
    return Other(kind, body)


def _blocks(body: bytes, at: int, count: int) -> tuple[Block, ...]:
    found = []
    for n in range(count):
        ssrc, lost, highest, jitter, last, delay = _BLOCK.unpack_from(body, at + 24 * n)
        total = lost & 0xFFFFFF
        found.append(Block(ssrc, lost >> 24, total - (1 << 24) if total >> 23 else total, highest, jitter, last, delay))
    return tuple(found)


def _block(b: Block) -> bytes:
    return _BLOCK.pack(
        b.ssrc,
        (b.lost_share & 255) << 24 | b.lost & 0xFFFFFF,
        b.highest & 0xFFFFFFFF,
        b.jitter & 0xFFFFFFFF,
        b.last_sr,
        b.delay,
    )


def _packet(kind: int, count: int, body: bytes) -> bytes:
    body += b"\0" * (-len(body) % 4)
    return _HEAD.pack(0x80 | count, kind, len(body) // 4) + body


def encode(one: Rtcp) -> bytes:
    """The bytes of one packet."""
    if isinstance(one, SenderReport):
        head = _SENDER.pack(one.ssrc, one.ntp, one.ts & 0xFFFFFFFF, one.packets & 0xFFFFFFFF, one.octets & 0xFFFFFFFF)
        return _packet(SR, len(one.blocks), head + b"".join(map(_block, one.blocks)))
    if isinstance(one, ReceiverReport):
        return _packet(RR, len(one.blocks), one.ssrc.to_bytes(4, "big") + b"".join(map(_block, one.blocks)))
    if isinstance(one, Bye):
        return _packet(BYE, len(one.sources), struct.pack(f">{len(one.sources)}I", *one.sources))
    if isinstance(one, App):
        name = one.name.encode("latin-1")[:4].ljust(4)
        return _packet(APP, one.subtype, one.ssrc.to_bytes(4, "big") + name + one.data)
    return _packet(one.kind, 0, one.raw)


def cname(ssrc: int, name: str) -> bytes:
    """An SDES packet with a CNAME, which each compound carries (section 6.5.1)."""
    text = name.encode("utf-8")[:255]
    body = ssrc.to_bytes(4, "big") + bytes((1, len(text))) + text + b"\0"
    return _packet(SDES, 1, body)


def encode_compound(packets: Sequence[Rtcp], ssrc: int, name: str = "copperyard") -> bytes:
    """A valid compound: a report first, then the CNAME, then the rest (section 6.1)."""
    first: Rtcp = (
        packets[0] if packets and isinstance(packets[0], SenderReport | ReceiverReport) else ReceiverReport(ssrc)
    )
    rest = packets[1:] if packets and packets[0] is first else packets
    return encode(first) + cname(ssrc, name) + b"".join(map(encode, rest))
