"""Parsing and encoding of header values and URLs."""

import pytest

from copperyard.protocol.rtsp.headers import (
    Range,
    RtpInfo,
    Transport,
    parse_bandwidth,
    parse_range,
    parse_rtp_info,
    parse_session,
    parse_transport,
    parse_url,
)
from copperyard.protocol.rtsp.messages import HeaderError


def error_status(parse, *args):
    with pytest.raises(HeaderError) as caught:
        parse(*args)
    return caught.value.status


def test_track_is_parsed_before_and_after_the_query():
    before_query = parse_url("rtsp://h:554/films/a%20b/track2?code=X1")
    assert (before_query.path, before_query.track, before_query.get("code"), before_query.host) == (
        "/films/a b",
        2,
        "X1",
        "h:554",
    )
    after_query = parse_url("rtsp://h/films/a?code=X1/track12")
    assert (after_query.path, after_query.track, after_query.get("code")) == ("/films/a", 12, "X1")
    assert parse_url("*").path == "*" and parse_url("rtsp://h").path == "/"


@pytest.mark.parametrize(
    "uri, expected",
    [
        ("/films/a", 400),
        ("http://h/a", 400),
        ("rtsp://[::1/a", 400),
        ("rtsp://h/" + "a" * 3000, 414),
        ("rtsp://h/a?" + "&".join("x=1" for _ in range(30)), 400),
    ],
)
def test_invalid_urls_are_rejected(uri, expected):
    assert error_status(parse_url, uri) == expected


def test_first_supported_transport_is_selected():
    text = "RTP/AVP;unicast;client_port=4-5, RTP/AVP/TCP;multicast, RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=0A0B0C0D"
    assert parse_transport(text) == Transport((4, 5), 0x0A0B0C0D)
    assert parse_transport("RTP/AVP/TCP;unicast") == Transport(None)
    assert parse_transport("rtp/avp/tcp;interleaved=8") == Transport((8, 9))
    assert Transport((2, 3), 255).encode() == "RTP/AVP/TCP;unicast;interleaved=2-3;ssrc=000000FF"


@pytest.mark.parametrize(
    "text, expected",
    [
        ("RTP/AVP;unicast;client_port=4-5", 461),
        ("RTP/AVP/UDP;unicast", 461),
        ("", 461),
        ("RTP/AVP/TCP;mode=record", 461),
        ("RTP/AVP/TCP;interleaved=255-256", 400),
        ("RTP/AVP/TCP;interleaved=4-9", 400),
        ("RTP/AVP/TCP;interleaved=x", 400),
    ],
)
def test_unsupported_transports_are_rejected(text, expected):
    assert error_status(parse_transport, text) == expected


def test_npt_ranges_are_parsed_and_others_rejected():
    assert parse_range("npt=0-", 60.0) == Range(0.0, None)
    assert parse_range("npt=now-", None) == Range(None, None)
    assert parse_range("npt=1:02:03.5-1:02:10;time=19970123T143720Z", 7200.0) == Range(3723.5, 3730.0)
    assert Range(1.5, 8.0).encode() == "npt=1.500-8.000"
    for text in ("npt=60-", "npt=5-4", "npt=x-", "npt=5", "smpte=0:10:20-", "npt=-1-2-3"):
        assert error_status(parse_range, text, 60.0) == 457


def test_session_rtp_info_and_bandwidth_headers():
    assert parse_session("ab-12$; timeout=40") == ("ab-12$", 40)
    assert error_status(parse_session, "a b") == 400 and error_status(parse_session, "x" * 65) == 400
    info = (RtpInfo("rtsp://h/a/track1", 7, 9), RtpInfo("rtsp://h/a/track2", 65535, 4294967295))
    assert parse_rtp_info(",".join(i.encode() for i in info)) == info
    assert parse_rtp_info("url=rtsp://h/a;seq=5, nonsense") == ()
    assert parse_bandwidth("64000") == 64000 and parse_bandwidth("-3") is None and parse_bandwidth(None) is None
