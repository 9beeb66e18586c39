"""RTP and RTCP (RFC 3550): encode and parse headers, reports and APP packets, without I/O."""

from .rtcp import App, Bye, ReceiverReport, ReportBlock, SenderReport, encode_compound, parse_compound
from .rtp import RtpHeader, encode_packet, parse_header, rewrite_header

__all__ = [
    "App",
    "ReportBlock",
    "Bye",
    "RtpHeader",
    "ReceiverReport",
    "SenderReport",
    "encode_compound",
    "encode_packet",
    "parse_header",
    "parse_compound",
    "rewrite_header",
]
