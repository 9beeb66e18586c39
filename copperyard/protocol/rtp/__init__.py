"""RTP and RTCP (RFC 3550): encode and parse headers, reports and APP packets, without I/O."""

from .rtcp import App, Block, Bye, ReceiverReport, SenderReport, encode_compound, parse_compound
from .rtp import Packet, pack, parse, rewrite

__all__ = [
    "App",
    "Block",
    "Bye",
    "Packet",
    "ReceiverReport",
    "SenderReport",
    "encode_compound",
    "pack",
    "parse",
    "parse_compound",
    "rewrite",
]
