"""Bytes that the build of e6d08e3 wrote, before its names changed: this build reads them and writes the same.

One link message, log entry and journal fact of each kind, and the hello of a link, by the class names of that build in
`bytes_of_e6d08e3.json`. Guards against a changed kind number, field order or field count."""

import json
from pathlib import Path

import pytest

from copperyard.control.coordinator import ENTRY_CODEC, MESSAGE_CODEC
from copperyard.protocol.peers import FrameReader, Hello, encode_hello, parse_hello
from copperyard.state import facts

EARLIER = json.loads(Path(__file__).with_name("bytes_of_e6d08e3.json").read_text())


def body_of(frame):
    (body,) = FrameReader().receive(frame)
    return body


def outer_name(one):
    return getattr(type(one), "OUTER_NAME", type(one).__name__)


@pytest.mark.parametrize(
    ("codec", "name", "data"),
    [(MESSAGE_CODEC, *item) for item in EARLIER["messages"].items()]
    + [(ENTRY_CODEC, *item) for item in EARLIER["entries"].items()],
)
def test_link_messages_and_log_entries_of_the_earlier_build(codec, name, data):
    frame = bytes.fromhex(data)
    message = codec.read(body_of(frame))
    assert outer_name(message) == name and codec.frame(message) == frame


def test_every_kind_of_message_entry_and_fact_is_covered():
    assert set(EARLIER["messages"]) == {getattr(kind, "OUTER_NAME", kind.__name__) for kind in MESSAGE_CODEC._numbers}
    assert set(EARLIER["entries"]) == {getattr(kind, "OUTER_NAME", kind.__name__) for kind in ENTRY_CODEC._numbers}
    assert len(EARLIER["facts"]) == len(facts._KINDS)


@pytest.mark.parametrize(("name", "data"), list(EARLIER["facts"].items()))
def test_journal_facts_of_the_earlier_build(name, data):
    fact = facts.decode(bytes.fromhex(data))
    assert fact is not None
    assert outer_name(fact) == name and facts.encode(fact) == bytes.fromhex(data)


def test_the_hello_of_the_earlier_build():
    frame = bytes.fromhex(EARLIER["hello"])
    hello = parse_hello(body_of(frame))
    assert hello == Hello(b"fleet", "a", "b", 7, 2) and encode_hello(hello) == frame
