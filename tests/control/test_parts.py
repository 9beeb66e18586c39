"""The small parts of control/: timers, budget, hosts, outbox, splice, host reports, admission."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from copperyard import interface as api
from copperyard.control.admission import Admission, Denial, admit, highest_rung
from copperyard.control.budget import RetryBudget
from copperyard.control.catalogue import Catalogue, describe
from copperyard.control.host_reports import NoteRateLimiter, encode_note, encode_report, parse_note, parse_report
from copperyard.control.hosts import MAX_UNAVAILABLE_HOSTS, HostBook
from copperyard.control.outbox import Outbox
from copperyard.control.splice import Splice, splice_run
from copperyard.control.timers import Timers
from copperyard.protocol.rtp import RtpHeader, SenderReport, encode_packet, parse_header
from copperyard.protocol.rtsp import Connection
from copperyard.protocol.rtsp.headers import parse_url
from tests.control.helpers import ENTRIES, FILM, MS, SECOND, rules
from tests.helpers import entry


def test_timers_fire_in_order_and_a_key_has_one_time():
    timers = Timers()
    for key, at in (("a", 5), ("b", 3), ("c", 3), ("a", 9)):
        timers.set(key, at)
    timers.cancel("b")
    assert timers.next() == 3 and timers.pop_due(8) == ["c"] and timers.pop_due(9) == ["a"] and timers.next() is None
    for n in range(10_000):
        timers.set("x", n)
    assert len(timers._heap) < 100  # replaced entries do not accumulate


@pytest.mark.parametrize("gap, may", [(5 * SECOND, False), (5 * SECOND + 1, True)])
def test_the_retry_budget_at_the_edge_of_its_window(gap, may):
    budget = RetryBudget(5 * SECOND, 1.0, 0.0)
    assert budget.try_spend(0)
    assert budget.try_spend(gap) is may


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3 * SECOND)), max_size=60))
def test_no_window_exceeds_the_retry_budget(steps):
    budget, now, taken, spent = RetryBudget(5 * SECOND, 2.0, 0.5), 0, [], []
    for take, gap in steps:
        now += gap
        if take:
            budget.count_request(now)
            taken.append(now)
        elif budget.try_spend(now):
            spent.append(now)
            window = now - 5 * SECOND
            assert sum(t >= window for t in spent) <= 2 + 0.5 * sum(t > window for t in taken)


def test_a_draining_host_gets_no_set_up_once_the_drain_is_known():
    book = HostBook()
    book.update(0, api.ServerList(api.ListKind.FULL, (entry(1), entry(2))), {1: "a:1", 2: "b:2"})
    assert book.may_start(1) and book.address(2) == "b:2" and not book.may_start(9)
    book.update(5, api.ServerList(api.ListKind.DELTA, (entry(1, state=api.ServerState.DRAINING),)), {1: "a:1"})
    assert not book.may_start(1) and book.may_start(2)
    book.update(6, api.ServerList(api.ListKind.FAILED), {})
    book.update(7, api.ServerList(api.ListKind.FULL, (entry(1),)), {1: "a:1"})
    assert book.may_start(1) and not book.may_start(2)  # it is no longer listed


def test_the_number_of_unavailable_hosts_kept_is_bounded():
    book = HostBook()
    for n in range(MAX_UNAVAILABLE_HOSTS + 500):
        book.update(n, api.ServerList(api.ListKind.FULL, (entry(n),)), {n: "a:1"})
    assert len(book._hosts) <= MAX_UNAVAILABLE_HOSTS + 1


def test_the_outbox_fills_and_empties_in_order():
    box = Outbox(100, 10)
    box.put(b"x" * 60)
    assert not box.full
    box.put(b"y" * 60)
    assert box.full and box.peek() == b"x" * 60 + b"y" * 60
    box.consume(80)
    assert box.has_room and box.peek() == b"y" * 40
    box.consume(40)
    assert box.peek() == b"" and box.size == 0


def test_a_splice_is_continuous_over_two_hosts():
    splice = Splice(90_000, 7, 65_530, 1000)
    assert splice.announce(0, 300, 50) == (65_530, 1000)
    out = [
        parse_header(splice.packet(n * SECOND, encode_packet(RtpHeader(26, 300 + n, 50 + 90_000 * n, 99), b"data")))
        for n in range(10)
    ]
    assert [p.seq for p in out] == [(65_530 + n) % 65536 for n in range(10)] and {p.ssrc for p in out} == {7}
    # another host continues two seconds later: no number repeats, and the clock has advanced
    seq, ts = splice.announce(11 * SECOND, 7, 4_000_000_000)
    assert seq == (65_540) % 65536 and ts == (1000 + 90_000 * 11) & 0xFFFFFFFF
    after = parse_header(splice.packet(11 * SECOND, encode_packet(RtpHeader(26, 7, 4_000_000_000, 5), b"data")))
    assert (after.seq, after.ts, after.ssrc) == (seq, ts, 7)
    report = splice.viewer_report(SenderReport(5, 1 << 40, 4_000_000_090, 1, 4))
    assert (report.ssrc, report.ts, report.packets, report.octets) == (7, ts + 90, 11, 44)


def test_an_unannounced_source_change_makes_no_jump():
    splice = Splice(8000, 7, 10, 0)
    splice.packet(0, encode_packet(RtpHeader(0, 500, 1000, 1), b""))
    late = splice.packet(0, encode_packet(RtpHeader(0, 499, 840, 1), b""))
    other = parse_header(splice.packet(SECOND, encode_packet(RtpHeader(0, 9, 70, 2), b"")))
    assert (
        parse_header(late).seq
        == (parse_header(splice.packet(SECOND, encode_packet(RtpHeader(0, 10, 230, 2), b""))).seq - 3) & 0xFFFF
    )
    assert other.ssrc == 7 and splice.packet(0, b"no rtp") is None


def test_invalid_values_in_reports_are_left_out():
    assert parse_report("link=0.5; uplink=nan; streams=-4; odd; x=1") == api.Report(0.5, None, None)
    assert parse_report(encode_report(api.Report(0.25, 1.5, 3.0))) == api.Report(0.25, 1.5, 3.0)
    assert parse_report(None) is None


def test_notes_and_their_rate_limit():
    assert parse_note(encode_note(1, api.NoticeKind.SHARE, 0.75)) == (api.NoticeKind.SHARE, 0.75)
    assert parse_note(encode_note(1, api.NoticeKind.RUNG, 1)) is None  # hosts do not report the rung in force
    gate = NoteRateLimiter()
    assert gate.allows(0, 1, 1) and not gate.allows(300 * MS, 1, 1) and gate.allows(300 * MS, 2, 1)
    assert gate.allows(500 * MS, 1, 1)
    for n in range(10_000):
        gate.allows(n * SECOND, n, 1)
    assert len(gate._last) <= 4097


@pytest.mark.parametrize(
    "url, wanted",
    [
        ("rtsp://h/films/a", Admission(ENTRIES[0], None)),
        ("rtsp://h/films/a?code=X1", Admission(ENTRIES[1], "X1")),
        ("rtsp://h/films/a?code=", 400),
        ("rtsp://h/films/a?code=a%20b", 400),
        ("rtsp://h/films/a?code=" + "x" * 129, 400),
    ],
)
def test_the_class_depends_on_path_and_code(url, wanted):
    found = admit(rules(), FILM, parse_url(url))
    assert (found.status if isinstance(found, Denial) else found) == wanted


def test_titles_that_need_a_code_or_take_none():
    from dataclasses import replace

    paid, free = replace(rules(), admission_rules=ENTRIES[1:]), replace(rules(), admission_rules=ENTRIES[:1])
    assert admit(paid, FILM, parse_url("rtsp://h/films/a")).status == 402
    assert admit(free, FILM, parse_url("rtsp://h/films/a?code=X")).status == 403
    assert admit(replace(rules(), admission_rules=()), FILM, parse_url("rtsp://h/films/a")).status == 403


def test_bandwidth_bounds_the_rung():
    assert [highest_rung(rules(), 0, b) for b in (None, 10, 800_000, 1_599_999, 1_600_000, 10**9)] == [2, 0, 0, 0, 1, 2]


def test_an_sdp_has_a_control_url_with_the_query_for_every_track():
    text = describe(FILM, "rtsp://h:1", "code=X1").encode().decode()
    assert "a=control:rtsp://h:1/films/a/track2?code=X1" in text and "a=range:npt=0-8.000" in text
    with pytest.raises(ValueError):
        Catalogue((FILM, FILM))


FRAMES = st.lists(
    st.tuples(
        st.integers(0, 5), st.integers(0, 70_000), st.integers(0, 1 << 33), st.integers(1, 2), st.integers(0, 20)
    ),
    max_size=12,
)


@given(FRAMES)
def test_splice_run_equals_splicing_packet_by_packet(frames):
    fast, plain = ([Splice(90_000, 7 + n, 65_530, 1000, 10 + 2 * n) for n in range(2)] for _ in range(2))
    run, wanted, controls = bytearray(), b"", []
    for channel, seq, ts, ssrc, size in frames:
        data = encode_packet(RtpHeader(26, seq & 0xFFFF, ts & 0xFFFFFFFF, ssrc), b"x" * size) if size > 2 else b"odd"
        run += Connection.encode_frame(channel, data)
        if channel in (0, 2):
            one = plain[channel // 2].packet(5, data)
            wanted += Connection.encode_frame(10 + channel, one) if one is not None else b""
        elif channel in (1, 3):
            controls.append((channel // 2, data))
    kept, control = splice_run(5, run, fast)
    assert b"".join(kept) == wanted and control == controls and fast == plain
