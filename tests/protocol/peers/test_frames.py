"""Frames between gateways: messages survive a round trip, and anything else is rejected."""

import struct
from dataclasses import dataclass

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from copperyard.control.cells import DelegateResignation, MemberReport, ReportAck
from copperyard.control.coordinator import ENTRY_CODEC, MESSAGE_CODEC
from copperyard.control.zones.plan import (
    CellReport,
    CellReportBatch,
    FrontSummary,
    Plan,
    ZoneAggregate,
    ZoneHosts,
    ZonePlan,
    ZoneStatus,
)
from copperyard.membership.gateways.messages import GossipUpdate, MemberState, Ping, ReachabilityRow
from copperyard.protocol.peers import MAX_FRAME_BYTES, Codec, FrameError, FrameReader, Hello, encode_hello, parse_hello
from copperyard.state.agreement.messages import (
    AppendEntries,
    CommitHint,
    Entry,
    EntryKind,
    FetchReply,
    FetchRequest,
    Snapshot,
)

CELL = CellReport(
    1, 2, 77, "gw-1", 3, 4, 5, 2, 6, 1, 2, 0, (1.5, 0.0), (ZoneAggregate(((1.0, 2), (2.5, 1)), 4, 1, 9, 8, 0, 7),)
)
SAMPLES = [
    Ping(
        1, 2, (GossipUpdate("gw-1", MemberState.SUSPECT, 3, "gw-2"),), (ReachabilityRow("gw-1", 1, 2, ((1, 1, 0, 0),)),)
    ),
    AppendEntries(3, 2, 1, (Entry(3, EntryKind.DATA, b"x"), Entry(3, EntryKind.NOOP, b"")), 1, 9),
    FetchReply(Snapshot(4, 1, ("a", "b"), b"data"), 4, (), 4, "a", 4, 5),
    FetchReply(None, 0, (), 0, "", 0, 0),
    FetchRequest(3, 1 << 31),
    FetchReply(None, 3, (), 3, "a", 2, 1, 1 << 31),
    CommitHint(7),
    MemberReport(FrontSummary("gw-1", 1, 2, 3, (1.5, 0.0), (ZoneHosts(1.0, 0.5, 2, 1, 0, 0),)), ((3, 2, 1, 0),)),
    CELL,
    CellReportBatch(((CELL, 8), (CELL, 9))),
    ReportAck(4),
    DelegateResignation(20),
]


@pytest.mark.parametrize("message", SAMPLES)
def test_a_message_comes_out_as_it_went_in(message):
    reader = FrameReader()
    data = MESSAGE_CODEC.frame(message)
    bodies = [body for n in range(len(data)) for body in reader.receive(data[n : n + 1])]
    assert [MESSAGE_CODEC.read(body) for body in bodies] == [message] and reader.waiting == 0


def test_a_plan_comes_out_as_it_went_in():
    zone = ZonePlan(ZoneStatus.RETURNING, 1.0, 0.5, 0.1, 0.3, (((0, 0.5), (1, 0.25)), ()), (0.0, 2.0), (0.0, 0.0))
    plan = Plan(4, 10, (zone, zone))
    assert ENTRY_CODEC.read(ENTRY_CODEC.body(plan)) == plan


@pytest.mark.parametrize(
    ("body", "word"),
    [
        ([99, 1], "kind 99"),
        ([], "no list with a kind"),
        (["a"], "no list with a kind"),
        ({}, "no list"),
        ([2, 1], "Ack is no list of 4"),
        ([4, "x"], "Nothing.number is no whole number"),
        ([4, 1 << 63], "whole number"),
        ([4, True], "whole number"),
        ([17, 1.5, 0], "Since.index"),
        ([2, 1, "a" * 300, [], []], "no text of at most 256"),
        ([3, 1, "t", [["n", 9, 1, "b"]]], "GossipUpdate.state"),
        ([31, ["a", 1, 1, 1, [float("nan")], []], []], "no finite number"),
        ([30, "a", 1, 1, 1, [1.0], []], "kind 30"),
        ([12, 1, 1, 1, [[1, 1, "text"]], 1, 1], "Entry.data is no bytes"),
        ([18, 5, 0, [], 0, "", 0, 0, 0], "Snapshot"),
    ],
)
def test_an_invalid_body_is_rejected_with_the_place_of_the_fault(body, word):
    with pytest.raises(FrameError, match=word):
        MESSAGE_CODEC.read(msgpack.packb(body))


@given(st.binary(max_size=200))
def test_any_bytes_give_a_message_or_bad_frame(data):
    try:
        MESSAGE_CODEC.read(data)
    except FrameError:
        pass


@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(1 << 63), 1 << 63)
        | st.floats()
        | st.text(max_size=9)
        | st.binary(max_size=9),
        lambda inner: st.lists(inner, max_size=8),
        max_leaves=20,
    ),
    st.sampled_from([1, 2, 10, 12, 14, 16, 18, 19, 31, 32, 33, 34, 35]),
)
def test_any_shape_gives_a_message_that_packs_again_or_bad_frame(parts, kind):
    body = msgpack.packb([kind, *(parts if isinstance(parts, list) else [parts])])
    try:
        found = MESSAGE_CODEC.read(body)
    except FrameError:
        return
    assert MESSAGE_CODEC.read(MESSAGE_CODEC.body(found)) == found


def test_frame_lengths_and_the_buffer_are_bounded():
    reader = FrameReader(100)
    for length in (0, 101, 1 << 31):
        with pytest.raises(FrameError, match="a frame of"):
            list(FrameReader(100).receive(struct.pack(">I", length)))
    assert list(reader.receive(struct.pack(">I", 100) + b"x" * 99)) == []
    assert reader.waiting == 103
    with pytest.raises(ValueError, match="bytes"):
        MESSAGE_CODEC.body(AppendEntries(1, 1, 1, (Entry(1, EntryKind.DATA, b"x" * MAX_FRAME_BYTES),), 1, 1))


def test_a_hello_survives_a_round_trip_and_another_version_is_rejected():
    one = Hello(b"fleet", "gw-1", "gw-2", 7, 8)
    body = next(FrameReader().receive(encode_hello(one)))
    assert parse_hello(body) == one
    for version in (1, 3):
        with pytest.raises(FrameError, match=f"version {version} of the links; this program speaks 2"):
            parse_hello(msgpack.packb(["copperyard", version, b"fleet", "gw-1", "gw-2", 7, 8]))
    with pytest.raises(FrameError, match="hello of ours"):
        parse_hello(msgpack.packb(["other"]))


def test_a_field_of_an_unsupported_type_is_a_programming_error():
    @dataclass
    class Odd:
        one: dict[str, int]

    Odd.__annotations__ = {"one": dict[str, int]}
    with pytest.raises(TypeError, match="no form"):
        Codec({1: Odd})
