"""Header values and URLs, by their grammar."""

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
from copperyard.protocol.rtsp.messages import BadHeader


def status(fn, *words):
    with pytest.raises(BadHeader) as caught:
        fn(*words)
    return caught.value.status


def test_urls_with_tracks_before_and_after_the_query():
    one = parse_url("rtsp://h:554/films/a%20b/track2?code=X1")
    assert (one.path, one.track, one.get("code"), one.host) == ("/films/a b", 2, "X1", "h:554")
    two = parse_url("rtsp://h/films/a?code=X1/track12")
    assert (two.path, two.track, two.get("code")) == ("/films/a", 12, "X1")
    assert parse_url("*").path == "*" and parse_url("rtsp://h").path == "/"


@pytest.mark.parametrize(
    "uri, wanted",
    [
        ("/films/a", 400),
        ("http://h/a", 400),
        ("rtsp://[::1/a", 400),
        ("rtsp://h/" + "a" * 3000, 414),
        ("rtsp://h/a?" + "&".join("x=1" for _ in range(30)), 400),
    ],
)
def test_urls_that_name_nothing(uri, wanted):
    assert status(parse_url, uri) == wanted


def test_the_first_transport_that_is_served_is_taken():
    text = "RTP/AVP;unicast;client_port=4-5, RTP/AVP/TCP;multicast, RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=0A0B0C0D"
    assert parse_transport(text) == Transport((4, 5), 0x0A0B0C0D)
    assert parse_transport("RTP/AVP/TCP;unicast") == Transport(None)
    assert parse_transport("rtp/avp/tcp;interleaved=8") == Transport((8, 9))
    assert Transport((2, 3), 255).encode() == "RTP/AVP/TCP;unicast;interleaved=2-3;ssrc=000000FF"


@pytest.mark.parametrize(
    "text, wanted",
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
def test_transports_that_are_not_served(text, wanted):
    assert status(parse_transport, text) == wanted


def test_ranges():
    assert parse_range("npt=0-", 60.0) == Range(0.0, None)
    assert parse_range("npt=now-", None) == Range(None, None)
    assert parse_range("npt=1:02:03.5-1:02:10;time=19970123T143720Z", 7200.0) == Range(3723.5, 3730.0)
    assert Range(1.5, 8.0).encode() == "npt=1.500-8.000"
    for text in ("npt=60-", "npt=5-4", "npt=x-", "npt=5", "smpte=0:10:20-", "npt=-1-2-3"):
        assert status(parse_range, text, 60.0) == 457


def test_sessions_rtp_info_and_bandwidth():
    assert parse_session("ab-12$; timeout=40") == ("ab-12$", 40)
    assert status(parse_session, "a b") == 400 and status(parse_session, "x" * 65) == 400
    info = (RtpInfo("rtsp://h/a/track1", 7, 9), RtpInfo("rtsp://h/a/track2", 65535, 4294967295))
    assert parse_rtp_info(",".join(i.encode() for i in info)) == info
    assert parse_rtp_info("url=rtsp://h/a;seq=5, nonsense") == ()
    assert parse_bandwidth("64000") == 64000 and parse_bandwidth("-3") is None and parse_bandwidth(None) is None
