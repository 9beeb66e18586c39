"""Encoding and parsing of RTP and RTCP packets, and of bytes that are neither."""

from hypothesis import given
from hypothesis import strategies as st

from copperyard.protocol.rtp import (
    App,
    Bye,
    ReceiverReport,
    ReportBlock,
    RtpHeader,
    SenderReport,
    encode_compound,
    encode_packet,
    parse_compound,
    parse_header,
    rewrite_header,
)


def test_header_is_parsed_and_rewritten():
    data = encode_packet(RtpHeader(26, 65535, 1 << 31, 0xDEADBEEF, True), b"abc")
    assert data[:2] == b"\x80\x9a" and data[12:] == b"abc"
    assert parse_header(rewrite_header(data, 65536 + 3, (1 << 32) + 5, 7)) == RtpHeader(26, 3, 5, 7, True)
    assert parse_header(b"\x80" * 11) is None and parse_header(b"\x40" + bytes(11)) is None
    assert parse_header(b"\x8f" + bytes(11)) is None  # fifteen contributing sources announced, none present


def test_compound_starts_with_a_report_and_a_cname():
    data = encode_compound([App(5, "CPYD", 1, b"\0\1\0\0"), Bye((5, 6))], 5, "gw")
    kinds = [type(p).__name__ for p in parse_compound(data)]
    assert kinds == ["ReceiverReport", "Other", "App", "Bye"]
    assert data[8:12] == b"\x81\xca\x00\x03" and b"gw" in data


def test_reports_survive_encoding_and_parsing():
    block = ReportBlock(9, 12, -5, 70000, 3, 4, 5)
    sender = SenderReport(1, 1 << 40, 2, 3, 4, (block,))
    assert parse_compound(encode_compound([sender], 1))[0] == sender
    assert parse_compound(encode_compound([ReceiverReport(1, (block, block))], 1))[0].blocks == (block, block)


def test_invalid_rtcp_is_rejected():
    good = encode_compound([Bye((1,))], 1)
    assert parse_compound(b"") is None and parse_compound(good[:-2]) is None
    assert parse_compound(b"\x80\xc8\x00\x01\0\0\0\1") is None  # a sender report of one word
    assert parse_compound(b"\x85\xcb\x00\x01\0\0\0\1") is None  # five sources announced, one present
    assert parse_compound(b"\x40" + good[1:]) is None


@given(st.binary(max_size=80))
def test_no_input_raises(data):
    parse_header(data)
    parse_compound(data)
