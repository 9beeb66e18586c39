"""RTSP connections: the events do not depend on how the bytes are split, and malformed input ends the connection."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.protocol.rtsp import (
    Connection,
    Frame,
    FrameBatch,
    Limits,
    MalformedInput,
    MatchedResponse,
    Request,
    Response,
    UnsolicitedResponse,
)
from copperyard.protocol.rtsp.connection import is_supported_version

LIMITS = Limits(line=200, headers=8, body=64, frame=1000, pending=4)
SETUP = (
    b"SETUP rtsp://h/films/a/track1 RTSP/1.0\r\nCSeq: 2\r\nTransport: RTP/AVP/TCP;unicast;\r\n"
    b" interleaved=0-1\r\n\r\n"
)
BODY = b"SET_PARAMETER * RTSP/1.0\r\nCSeq: 3\r\ncontent-length: 7\r\n\r\nrung: 2"


def events_of(data, sizes=None, limits=LIMITS):
    wire = Connection(limits)
    if sizes is None:
        return wire.receive(data)
    events, offset = [], 0
    for size in sizes:
        events += wire.receive(data[offset : offset + size])
        offset += size
    return events + wire.receive(data[offset:])


def test_messages_and_frames_in_one_read():
    data = SETUP + b"$\x01\x00\x03abc" + b"\r\n" + BODY + b"$\x07\x00\x00"
    setup, frame, body, empty = events_of(data)
    assert setup.method == "SETUP" and setup.cseq == 2
    assert setup.header("transport") == "RTP/AVP/TCP;unicast; interleaved=0-1"
    assert frame == Frame(1, b"abc") and empty == Frame(7, b"")
    assert body.body == b"rung: 2"


def test_single_byte_reads_give_the_same_events():
    data = SETUP + b"$\x00\x00\x05\r\n$\r\n" + BODY + b"RTSP/1.0 200 OK\r\nCSeq: 9\r\n\r\n"
    assert events_of(data, [1] * len(data)) == events_of(data)


def test_ten_thousand_tiny_frames_in_one_read():
    events = events_of(b"".join(b"$\x02\x00\x01" + bytes((n % 256,)) for n in range(10_000)))
    assert len(events) == 10_000 and events[-1] == Frame(2, bytes((9_999 % 256,)))


def test_largest_frame_is_parsed_and_one_over_the_limit_is_malformed():
    large_limits = Limits(200, 8, 64, 65535, 4)
    assert events_of(b"$\x00\xff\xff" + b"x" * 65535, limits=large_limits) == [Frame(0, b"x" * 65535)]
    assert [type(e) for e in events_of(b"$\x00\xff\xff" + b"x" * 10)] == [MalformedInput]


@pytest.mark.parametrize(
    "data, status",
    [
        (b"PLAY rtsp://h/" + b"x" * 300 + b" RTSP/1.0\r\n", 414),
        (b"PLAY * RTSP/1.0\r\nX: " + b"y" * 300, 400),
        (b"PLAY * RTSP/1.0\r\n" + b"X: y\r\n" * 20, 400),
        (b"PLAY * RTSP/1.0\r\nContent-Length: -4\r\n\r\n", 400),
        (b"PLAY * RTSP/1.0\r\nContent-Length: 99999999999999999999\r\n\r\n", 413),
        (b"PLAY * RTSP/1.0\r\nContent-Length: 65\r\n\r\n", 413),
        (b"PLAY * RTSP/1.0\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n", 400),
        (b"PLAY *\r\n\r\n", 400),
        (b"PLAY  * RTSP/1.0\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"PLAY * RTSP/1.0\r\n folded\r\n\r\n", 400),
        (b"PLAY * RTSP/1.0\r\nno colon\r\n\r\n", 400),
        (b"PLAY * RTSP/1.0\r\nX: \xff\xfe\r\n\r\n", 400),
        (b"PLAY * RTSP/1.0\r\nX: a\0b\r\n\r\n", 400),
        (b"RTSP/1.0 99 Odd\r\n\r\n", 400),
    ],
)
def test_malformed_input_ends_the_connection(data, status):
    wire = Connection(LIMITS)
    events = wire.receive(data)
    assert [type(e) for e in events] == [MalformedInput] and events[0].status == status
    assert wire.receive(SETUP) == []
    assert events_of(data, [1] * len(data)) == events


def test_responses_are_matched_by_cseq_in_any_order():
    wire = Connection(LIMITS)
    first, _ = wire.make_request("SETUP", "rtsp://h/a")
    second, data = wire.make_request("PLAY", "rtsp://h/a", (("Session", "s"),))
    assert data == b"PLAY rtsp://h/a RTSP/1.0\r\nCSeq: 2\r\nSession: s\r\n\r\n"
    events = wire.receive(
        b"RTSP/1.0 200 OK\r\nCSeq: 2\r\n\r\nRTSP/1.0 453\r\nCSeq: 1\r\n\r\n"
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\nRTSP/1.0 200 OK\r\nCSeq: 7\r\n\r\n"
    )
    assert [(e.cseq, e.method, e.response.status) for e in events[:2]] == [(second, "PLAY", 200), (first, "SETUP", 453)]
    assert [type(e) for e in events[2:]] == [UnsolicitedResponse, UnsolicitedResponse]
    assert wire.pending == 0


def test_provisional_response_is_not_matched_and_pending_requests_are_bounded():
    wire = Connection(LIMITS)
    for _ in range(4):
        wire.make_request("OPTIONS", "*")
    with pytest.raises(RuntimeError):
        wire.make_request("OPTIONS", "*")
    assert type(wire.receive(b"RTSP/1.0 100 Continue\r\nCSeq: 1\r\n\r\n")[0]) is UnsolicitedResponse
    assert type(wire.receive(b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n")[0]) is MatchedResponse


def test_response_has_the_cseq_and_no_injected_header():
    request = Request("PLAY", "*", (("CSeq", "17"),))
    data = Connection.encode_response(request, Response(200, (("X", "a\r\nEvil: 1"),), b"hi"))
    assert data == b"RTSP/1.0 200 OK\r\nCSeq: 17\r\nX: a  Evil: 1\r\nContent-Length: 2\r\n\r\nhi"
    assert not is_supported_version(Request("PLAY", "*", (), b"", "RTSP/2.0"))
    assert Request("PLAY", "*", (("CSeq", "-1"),)).cseq is None


TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=0x2FF, exclude_characters="\x7f"), max_size=12)
MESSAGE = st.one_of(
    st.builds(
        lambda m, h, b: Request(m, "rtsp://h/a", h, b).encode(),
        st.sampled_from(("PLAY", "SETUP", "OPTIONS")),
        st.lists(st.tuples(st.sampled_from(("CSeq", "Range", "X-y")), TEXT), max_size=4).map(tuple),
        st.binary(max_size=30),
    ),
    st.builds(
        lambda c, p: b"$" + bytes((c,)) + len(p).to_bytes(2, "big") + p, st.integers(0, 255), st.binary(max_size=300)
    ),
    st.builds(lambda s, b: Response(s, (("CSeq", "1"),), b).encode(), st.integers(100, 599), st.binary(max_size=20)),
    st.binary(max_size=40),
)


@settings(max_examples=300)
@given(st.lists(MESSAGE, max_size=6).map(b"".join), st.lists(st.integers(0, 40), max_size=30))
def test_events_do_not_depend_on_the_split_and_nothing_is_raised(data, sizes):
    assert events_of(data, sizes) == events_of(data)


@settings(max_examples=200)
@given(st.lists(MESSAGE, max_size=6).map(b"".join), st.lists(st.integers(0, 40), max_size=30))
def test_batches_hold_the_same_frames_as_single_events(data, sizes):
    def unbatched(events):
        frames = []
        for event in events:
            frames += events_of(bytes(event.data)) if isinstance(event, FrameBatch) else [event]
        return frames

    wire, events, offset = Connection(LIMITS, batch_frames=True), [], 0
    for size in (*sizes, len(data)):
        events += wire.receive(data[offset : offset + size])
        offset += size
    assert unbatched(events) == events_of(data)
