"""Recovery from files: keeps the certain prefix of facts and reports dropped data and whether facts may be missing."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from copperyard.state import facts, file_format
from copperyard.state.clock import MAX_DOWNTIME, ServiceClock
from copperyard.state.durable_state import CodeRecord, DurableState
from copperyard.state.facts import (
    CodeCleared,
    CodeRedeemed,
    CodeSent,
    HostListStored,
    ProcessStarted,
    ProcessStopped,
    TimeAdvanced,
    digest,
)
from copperyard.state.recovery import recover

A, B, C = digest("A"), digest("B"), digest("C")
LIFE = [
    ProcessStarted(1, "gw.1", "g", 1),
    CodeSent(2, A, "gw.1/1", "h0"),
    CodeRedeemed(3, A, "r-A"),
    CodeSent(4, B, "gw.1/2", "h1"),
    CodeSent(5, C, "gw.1/3", "h1"),
    CodeCleared(6, C),
]


def segment(number, first, some):
    return file_format.segment_head(number, first) + b"".join(
        file_format.record(first + n, facts.encode(one)) for n, one in enumerate(some)
    )


def snapshot(last, some):
    return (
        file_format.snapshot_head(last)
        + b"".join(file_format.record(n, facts.encode(one)) for n, one in enumerate(some, 1))
        + file_format.snapshot_tail(len(some))
    )


def found(files):
    return recover(files, files.__getitem__)


SEG1, SEG2, SEG3 = (file_format.segment_name(n) for n in (1, 2, 3))
TWO = {SEG1: segment(1, 1, LIFE[:3]), SEG2: segment(2, 4, LIFE[3:])}


def test_all_facts_are_recovered():
    whole = found(TWO)
    assert whole.sequence == 6 and not whole.dropped and whole.refusal(False) is None
    assert whole.state.codes == {A: CodeRecord(3, "r-A"), B: CodeRecord(4, None, "gw.1/2", "h1")}
    assert not whole.state.ended and whole.state.lives == 1 and whole.state.service_time == 6


def test_no_files_make_an_empty_state():
    empty = found({})
    assert empty.sequence == 0 and empty.state.ended and empty.refusal(False) is None
    assert found({"lock": b"", "notes.txt": b"x", "journal-1.seg": b"no name of ours"}).refusal(False) is None


@given(
    st.sampled_from(
        [
            ProcessStarted(0, "l", "g", 3),
            CodeSent(1 << 60, A, "r" * 99, ""),
            CodeRedeemed(0, B, "ü"),
            CodeCleared(3, C),
            HostListStored(1, b"\x00" * 5000),
            ProcessStopped(2, (1, 2, 3)),
            TimeAdvanced(9),
        ]
    )
)
def test_a_fact_survives_encoding(fact):
    assert facts.decode(facts.encode(fact)) == fact


@given(st.binary(max_size=80))
def test_invalid_bytes_raise_a_fact_error(data):
    try:
        got = facts.decode(data)
    except facts.FactError:
        return
    assert got is None or facts.decode(facts.encode(got)) == got


def test_kinds_and_fields_of_a_newer_minor_schema_are_ignored():
    import msgpack

    new_kind, new_field = msgpack.packb([99, 1]), msgpack.packb([7, 5, "more", None])
    data = file_format.segment_head(1, 1) + file_format.record(1, new_kind) + file_format.record(2, new_field)
    got = found({SEG1: data})
    assert got.unknown == 1 and got.state.service_time == 5 and not got.harm


@pytest.mark.parametrize(
    "magic,name", [(file_format.SEGMENT_MAGIC, SEG1), (file_format.SNAPSHOT_MAGIC, file_format.snapshot_name(9))]
)
def test_a_newer_major_schema_is_refused_even_if_losses_are_accepted(magic, name):
    data = file_format._head(magic, 1, 1, major=facts.MAJOR + 1)
    assert "newer" in found({name: data, SEG2: TWO[SEG2]}).refusal(True)


def test_a_last_segment_cut_anywhere_keeps_the_longest_prefix_without_harm():
    data = segment(1, 1, LIFE)
    ends = [one.offset for one in file_format.records(data) if not isinstance(one, str)] + [len(data)]
    for size in range(len(data) + 1):
        got = found({SEG1: data[:size]})
        assert not got.harm, (size, got.dropped)
        assert got.sequence == max(0, sum(1 for end in ends[1:] if end <= size))
        # a torn write may also have grown the file without its bytes
        zeros = found({SEG1: data[:size] + bytes(40)})
        assert got.sequence <= zeros.sequence <= got.sequence + 1  # a record that lacks only its end byte is complete


def test_a_flipped_bit_is_harm_and_nothing_behind_it_is_used():
    data = segment(1, 1, LIFE)
    ends = [one.offset for one in file_format.records(data) if not isinstance(one, str)][1:] + [len(data)]
    rng = random.Random(1)
    for at in range(len(data)):
        bad = bytearray(data)
        bad[at] ^= 1 << rng.randrange(8)
        got = found({SEG1: bytes(bad)})
        if at + 1 in ends:  # only the end byte is hit: the record is still complete
            assert got.sequence == 6 and not got.dropped
            continue
        assert got.sequence == (sum(1 for end in ends if end <= at) if at >= file_format.HEAD_SIZE else 0)
        # a damaged length of the last record looks like a torn write; everything else must be reported
        in_last_length = ends[-2] <= at < ends[-2] + 4
        assert got.refusal(False) is not None or in_last_length, (at, got.dropped)
        assert got.refusal(True) is None


def test_a_segment_that_is_missing_is_harm():
    three = {**TWO, SEG3: segment(3, 7, [TimeAdvanced(9)])}
    for name in (SEG1, SEG2):
        got = found({n: d for n, d in three.items() if n != name})
        assert "missing" in got.refusal(False)
    assert found(three).sequence == 7


def test_a_duplicate_segment_changes_nothing():
    copy = {**TWO, SEG3: TWO[SEG2]}  # under another number: its header has the true one
    assert found(copy).state == found(TWO).state and not found(copy).harm
    again = {**TWO, SEG3: segment(3, 4, LIFE[3:])}
    assert found(again).state == found(TWO).state and not found(again).harm


def test_a_torn_tail_before_a_newer_segment_is_no_harm():
    # a crash tore it; the next run began a new segment
    torn = {SEG1: TWO[SEG1] + b"\x05\x00", SEG2: TWO[SEG2]}
    assert found(torn).state == found(TWO).state and not found(torn).harm


def test_a_snapshot_replaces_earlier_segments_and_a_bad_one_is_ignored():
    state = found({SEG1: TWO[SEG1]}).state
    name = file_format.snapshot_name(3)
    whole = snapshot(3, list(state.facts()))
    got = found({name: whole, SEG2: TWO[SEG2]})
    assert got.snapshot == name and got.state.codes == found(TWO).state.codes and got.sequence == 6
    for size in range(0, len(whole), 3):
        # cut anywhere, it is harm only without the segments that it covers
        assert found({name: whole[:size], **TWO}).refusal(False) is None
        assert found({name: whole[:size], SEG2: TWO[SEG2]}).refusal(False) is not None


def test_a_snapshot_may_be_written_while_facts_come():
    rng = random.Random(4)
    for _ in range(200):
        plain, fuzzy = DurableState(), DurableState()
        written: list[facts.Fact] = []
        log: list[facts.Fact] = []
        codes = [digest(str(n)) for n in range(6)]
        for n in range(10):
            fuzzy.apply(CodeSent(n, rng.choice(codes), f"r{n}", "h"))
        begun = list(fuzzy.facts())
        making = fuzzy.facts()
        for n in range(10, 60):
            one: facts.Fact = rng.choice(
                (
                    CodeSent(n, rng.choice(codes), f"r{n}", "h"),
                    CodeRedeemed(n, rng.choice(codes), f"q{n}"),
                    CodeCleared(n, rng.choice(codes)),
                )
            )
            fuzzy.apply(one)
            log.append(one)
            written += [f for f in (next(making, None),) if f is not None]
        written += making
        again = DurableState()
        for fact in [*written, *log]:
            again.apply(fact)
        for fact in [*begun, *log]:
            plain.apply(fact)
        assert again.codes == plain.codes


def test_codes_expire_oldest_first_and_up_to_a_limit():
    state = DurableState()
    for n in range(10):
        state.apply(CodeRedeemed(n, digest(str(n)), "r"))
    state.apply(CodeRedeemed(50, digest("0"), "r"))  # used again
    assert state.expire(5, 2) == [digest("1"), digest("2")]
    assert state.expire(5, 100) == [digest("3"), digest("4")] and state.expire(5, 100) == []
    assert digest("0") in state.codes


@pytest.mark.parametrize("down,counted", [(0, 0), (-5 * 10**18, 0), (10**9, 10**9), (10**18, MAX_DOWNTIME)])
def test_service_time_ignores_jumps_of_the_wall_clock(down, counted):
    clock = ServiceClock(1000, down, 77)
    assert clock.at(77) == 1000 + counted
    assert clock.at(70) == 1000 + counted  # never goes back
    assert clock.at(177) == 1100 + counted
