"""Tests of the auditor: for each rule it reports a gateway that does not enforce the rule, and no intact gateway."""

import pytest

from copperyard.control.hosts import HostBook
from copperyard.control.redemption import ClaimResult, Redemptions
from copperyard.control.rtsp_server import RtspSession
from copperyard.control.session_table import SessionTable
from copperyard.interface import Effect, ListKind, ServerState
from copperyard.lab.audit import Auditor, Tap
from tests.lab.helpers import MS, SECOND, classes, day, fault, play, site, weakened

CROWD = day()


def broken(result):
    return {b.rule for b in result.violations}


def both(one, script, make):
    """Check that the intact gateway violates no rule in this rehearsal; return the rules that the other violates."""
    whole = play(one, script)
    assert not whole.violations, whole.violations[:3]
    return broken(play(one, script, make=make))


def test_detects_missing_answer(monkeypatch):
    script = day(fault("errors", 0.0, 5.0, 0, 1, 2, 3, hard=1.0), paid=1.0)
    assert not play(site(), script).violations
    monkeypatch.setattr(RtspSession, "failed", lambda self, now, code: None)
    assert 1 in broken(play(site(), script))


def test_detects_duplicate_answer(monkeypatch):
    assert not play(site(), CROWD).violations
    whole = RtspSession.played

    def twice(self, now, infos):
        (slot,) = self.pending_responses
        whole(self, now, infos)
        self.connection.outbox.put(slot.data)

    monkeypatch.setattr(RtspSession, "played", twice)
    assert broken(play(site(), CROWD)) == {1}


def test_detects_late_answer():
    one = site(further="")
    script = day(fault("hang", 1.0, 7.0, 0, 1, 2, 3))
    slow = tuple(10**10 if c.effect == Effect.SAFE else c.deadline for c in one.rules.settings.classes)
    changed = classes(one, deadline=slow[0], answer_target=8 * 10**9)
    assert 1 in both(one, script, weakened(classes=changed))


def test_detects_repeated_paid_setup():
    one = site()
    script = day(fault("answers-lost", 2.0, 7.0, 0, 1, 2, 3, hard=0.5), rate=16.0)
    assert 2 in both(one, script, weakened(classes=classes(one, effect=Effect.SAFE)))


def test_detects_code_sent_twice(monkeypatch):
    script = day(misbehave=0.9, paid=1.0, rate=8.0)
    assert not play(site(), script).violations
    monkeypatch.setattr(Redemptions, "claim", lambda self, code, ref: ClaimResult.REDEEM)
    assert 2 in broken(play(site(), script))


def test_detects_concurrent_attempts(monkeypatch):
    script = day(fault("answers-lost", 1.0, 6.0, 0, 1), paid=0.0)
    assert not play(site(), script).violations
    whole = SessionTable._send

    def doubled(self, now, action):
        whole(self, now, action)
        first = self.requests[action.ref].attempt if action.ref in self.requests else None
        if first is not None:
            from copperyard.control.io_actions import StartAttempt

            second = type(first)(first.plan, first.limits, first.splices, now, first.deadline)
            self.io_actions.append(StartAttempt(second))

    monkeypatch.setattr(SessionTable, "_send", doubled)
    assert 2 in broken(play(site(), script))


def test_detects_setup_on_draining_host(monkeypatch):
    script = day(fault("drain", 2.0, 8.0, 0))
    assert not play(site(), script).violations
    whole = SessionTable.list_updated

    def deaf(self, now, news, addresses):
        if news.kind != ListKind.DELTA or all(e.state == ServerState.READY for e in news.entries):
            whole(self, now, news, addresses)

    monkeypatch.setattr(SessionTable, "list_updated", deaf)
    assert broken(play(site(), script)) == {3}


def test_drain_during_connect_is_respected_by_last_check(monkeypatch):
    # connects take 300 ms, longer than the grace: an attempt decided before the drain was known would be sent too late
    from copperyard.lab import virtual
    from copperyard.lab.memnet import Manners, MemoryNetwork
    from copperyard.lab.run import run_rehearsal
    from tests.lab.helpers import MS

    one = site(further="", grace="50ms")
    slow = weakened(connect_timeout=10**9)
    script = day(fault("drain", 3.0, 8.0, 0, 1, 2), rate=40.0, seconds=5.0, watch=(0.5, 1.0))

    def run():
        network = MemoryNetwork(Manners(connect=0.3))
        return virtual.run(lambda: run_rehearsal(one, script, network, 1, 5 * MS, 10 * MS, make=slow), 1)

    assert 3 not in broken(run())
    monkeypatch.setattr(HostBook, "may_start", lambda self, server, decided=None: True)
    assert 3 in broken(run())


def test_detects_overloaded_cold_host():
    one = site(hosts=2, gateways=3, places=24, link="90MB/s", scale="0.001", warm="6s")
    script = day(fault("crash", 1.0, 3.0, 0, 1), rate=24.0, seconds=9.0, paid=0.0)
    assert 4 in both(one, script, weakened(warm_up_time=1))


def test_detects_violated_floor_and_seats():
    one = site(seats=3, titles=1, link="1MB/s")
    assert both(one, CROWD, weakened(classes=classes(one, floor=0))) == {5}
    assert both(one, CROWD, weakened(classes=classes(one, seats=0))) == {5}


def test_detects_exceeded_retry_budget():
    one = site(hosts=24)
    script = day(fault("errors", 2.0, 5.0, *range(24), hard=1.0), paid=0.0)
    assert both(one, script, weakened(free_retries=None)) == {6}


@pytest.mark.parametrize("seed", [2, 3])
def test_same_seed_gives_same_result(seed):
    script = day(fault("errors", 1.0, 8.0, 0, 1, hard=0.5), fault("crash", 2.0, 4.0, 2))
    first, again = (play(site(gateways=2), script, seed) for _ in range(2))
    assert first.summary == again.summary and first.visits == again.visits
    assert first.visits != play(site(gateways=2), script, seed + 10).visits


@pytest.mark.parametrize("killed, excused", [(None, False), (1, False), (2, True), (4, True), (7, True), (9, False)])
def test_missing_answer_is_excused_only_by_kill_between_connect_and_deadline(killed, excused):
    # connected at 2 s, request at 4 s, never answered: the answer was due by 9 s
    one, tap = site(), Tap()
    side = tap.viewer_connection("gw-0")
    side.sent(2 * SECOND, b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n")
    side.received(2 * SECOND, b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n")
    side.sent(4 * SECOND, b"OPTIONS * RTSP/1.0\r\nCSeq: 2\r\n\r\n")
    if killed is not None:
        tap.gateway_killed(killed * SECOND + (SECOND // 2 if killed == 9 else 0), "gw-0")
    breaks = Auditor(one.rules, tap, 5 * MS, 10 * MS).check()
    assert [b.rule for b in breaks] == ([] if excused else [1])
