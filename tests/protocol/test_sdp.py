"""Session descriptions survive encoding and parsing, and errors name their line."""

import pytest

from copperyard.protocol.sdp import Description, Media, SdpError, parse

DESCRIPTION = Description(
    "Class 3B",
    (7, 1),
    "127.0.0.1",
    (("control", "*"), ("range", "npt=0-60")),
    (
        Media("video", 0, "RTP/AVP", ("26",), (("rtpmap", "26 JPEG/90000"), ("control", "track1")), 700),
        Media("audio", 0, "RTP/AVP", ("0", "8"), (("control", "track2"), ("recvonly", ""))),
    ),
)


def test_description_survives_encoding_and_parsing():
    assert parse(DESCRIPTION.encode()) == DESCRIPTION
    assert DESCRIPTION.media[0].get("control") == "track1" and DESCRIPTION.get("range") == "npt=0-60"
    assert parse(b"v=0\no=- 1 2 IN IP4 h\ns=x\nc=IN IP4 1.2.3.4/127\nt=0 0\nk=old\n").address == "1.2.3.4"


@pytest.mark.parametrize(
    "text, expected",
    [
        (b"s=x", "line 1"),
        (b"v=0\nnonsense", "line 2"),
        (b"v=0\no=- 1", "line 2"),
        (b"v=0\nm=video x RTP/AVP 0", "line 2"),
        (b"v=0\nm=video 70000 RTP/AVP 0", "line 2"),
        (b"\xff", "UTF-8"),
        (b"v=0\n" + b"a=x\n" * 300, "200 lines"),
    ],
)
def test_errors_name_their_line(text, expected):
    with pytest.raises(SdpError, match=expected):
        parse(text)
