"""Host messages: complete ones are parsed however the bytes were split, and protocol errors end the connection."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from copperyard.protocol.node.messages import (
    MAX_MESSAGE_BYTES,
    Cause,
    Decoder,
    MessageKind,
    Param,
    encode,
    parse_report,
)

ID = bytes(range(8))
GOOD = [
    encode(MessageKind.ANSWER, ID, ((Param.DESCRIPTION, b"\xff\x00d"),)),
    encode(MessageKind.RELEASE, ID, ((Param.CAUSE, b"\x22"), (Param.REPORT, b"x0:1.25;x1:nan;q:zz;;w:3"))),
    encode(MessageKind.NOTE, ID, ((Param.NOTE, b"share"), (Param.FIGURE, b"0.5"))),
    encode(MessageKind.TESTED, ID, ((Param.CAUSE, b"\1"),)),
    encode(MessageKind.HEARD, ID),
    encode(MessageKind.PROGRESS, ID),
]


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_messages_are_parsed_however_the_bytes_were_split(cuts):
    data, decoder, found = b"".join(GOOD), Decoder(), []
    while data:
        size = cuts[len(found) % len(cuts)]
        messages, bad = decoder.receive(data[:size])
        assert bad is None
        found += messages
        data = data[size:]
    assert [one.kind for one in found] == [9, 12, 44, 53, 16, 6] and not decoder.partial
    assert found[0].params == {225: b"\xff\x00d"} and found[1].cause == Cause.FULL
    assert parse_report(found[1].text(Param.REPORT)) == {"x0": 1.25, "w": 3.0}


@pytest.mark.parametrize(
    "bad",
    [
        b"\x00\x08" + bytes(8),
        b"\xff\xff\x09" + bytes(20),
        b"\x00\x09\x07" + ID,
        encode(MessageKind.SETUP, ID),
        encode(MessageKind.ANSWER, ID),
        encode(MessageKind.RELEASE, ID),
        encode(MessageKind.RELEASE, ID, ((Param.CAUSE, b"\1\2"),)),
        encode(MessageKind.NOTE, ID, ((Param.NOTE, b"share"),)),
        encode(MessageKind.RELEASE, ID, ((Param.CAUSE, b"\1"), (Param.CAUSE, b"\1"))),
        b"\x00\x0b\x09" + ID + b"\xe1\x00",
        b"\x00\x0d\x09" + ID + b"\xe1\x00\x09a",
    ],
)
def test_a_protocol_error_is_reported_after_valid_messages_and_ends_parsing(bad):
    decoder = Decoder()
    messages, error = decoder.receive(GOOD[0] + bad + GOOD[0])
    assert [one.kind for one in messages] == [9] and error is not None
    assert decoder.receive(GOOD[0]) == ([], None)


@given(st.binary(max_size=200))
def test_random_bytes_never_raise(noise):
    decoder = Decoder()
    decoder.receive(noise)
    decoder.receive(noise)


def test_a_message_that_is_too_long_is_not_encoded():
    with pytest.raises(ValueError):
        encode(MessageKind.SETUP, ID, ((Param.DESCRIPTION, bytes(MAX_MESSAGE_BYTES)),))
