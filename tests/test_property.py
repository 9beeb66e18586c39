"""Arbitrary legal event sequences; the six rules are checked on the actions."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from copperyard import interface as api
from copperyard.decide import Controller
from tests.helpers import LIVE, MS, PAID, SAFE, SECOND, entry
from tests.helpers import settings as make

KEYED = replace(SAFE, effect=api.Effect.KEYED, name="keyed")
NOT_RUN = (api.OutcomeCode.FULL, api.OutcomeCode.CONNECT_FAILED, api.OutcomeCode.MOOT)
VARIANTS = [
    {},
    {"probes": True, "reports_in_answers": False},
    {"free_retries": 2.0, "retry_ratio": 0.2, "retry_window": 5 * SECOND},
    {"fronts": 4, "cold_budget_multiple": 2.0},
    {"notice_interval": SECOND, "probes": True},
    {"uplink_kb": 0.0, "racks": 3},
    {"subscribe": True},
    {"kb_per_weight": 300.0, "max_attempts": 5},
    {"cold_ratio": 0.0},
    {"warm_up_time": 0},
    {"fronts": 80, "probes": True, "reports_in_answers": False},
    {"fronts": 250, "cells": 150, "racks": 17},
    {"fronts": 250, "notice_interval": 2 * SECOND, "probes": True},
]


class World:
    """A legal environment of one front. It records the events and actions, and checks each action."""

    def __init__(self, seed, changes):
        self.settings = make(classes=(SAFE, PAID, LIVE, KEYED), **changes)
        self.rng = random.Random(seed)
        self.now, self.seed, self.ref = SECOND, seed, 0
        self.servers = {k: entry(k) for k in range(4)}
        self.restart()

    def restart(self):
        self.seed += 1
        self.front = Controller(self.settings, self.seed)
        self.open, self.pending, self.playing, self.rung = {}, {}, {}, {}
        self.attempts, self.may_have_run, self.timers = {}, {}, []
        self.closed, self.cold_since, self.sent = {}, {}, {}
        self.request_times, self.retry_times = [], []
        self.seats = {}
        self.start = self.now
        self.feed(api.ServerList(api.ListKind.CACHED, tuple(self.servers.values())))

    def feed(self, event):
        if isinstance(event, api.ServerList) and event.kind != api.ListKind.FAILED:
            listed = {e.server: e for e in event.entries}
            if event.kind != api.ListKind.DELTA:
                for k in self.servers:
                    if k not in listed:
                        self.closed[k] = True
            for k, e in listed.items():
                self.closed[k] = e.state != api.ServerState.READY
                if e.started:
                    self.cold_since[k] = e.started
        for action in self.front.handle(self.now, event):
            self.check(action)

    def check(self, a):
        s = self.settings
        if isinstance(a, api.Send):
            r = self.open[a.ref]  # an open request of this front
            kind = s.classes[r.cls]
            assert a.ref not in self.pending, "two attempts at once"
            assert a.ref not in self.playing
            assert not self.closed.get(a.server, True), "sent to a drained, gone or unknown server"
            assert (self.servers[a.server].cell - r.home) % s.cells < r.holders, "not a holder"
            assert self.attempts.get(a.ref, 0) < s.max_attempts
            assert not (
                self.may_have_run.get(a.ref) and kind.effect != api.Effect.SAFE
            ), "a set-up sent again though it may have run"
            assert kind.floor <= self.rung.get(a.ref, kind.floor) <= r.top
            assert self.now < a.deadline < min(r.deadline, self.began[a.ref] + kind.deadline)
            if self.attempts.get(a.ref, 0) and s.free_retries is not None:
                since = self.now - s.retry_window
                self.retry_times = [t for t in self.retry_times if t > since] + [self.now]
                requests = sum(t > since for t in self.request_times)
                assert len(self.retry_times) <= s.free_retries + s.retry_ratio * requests, "retry budget"
            seat = (r.cls, r.title)
            self.seats[seat] = self.seats.get(seat, 0) + 1
            assert not kind.seats or self.seats[seat] <= kind.seats, "seats"
            start = self.cold_since.get(a.server)
            sent = self.sent.setdefault(a.server, [])
            sent.append(self.now)
            if start is not None and self.now < start + s.warm_up_time:
                budget = s.cold_budget_multiple * 20 / s.warm_up_time * s.cold_ratio * s.cold_window / s.fronts
                recent = [t for t in sent if t >= max(start, self.now - s.cold_window)]
                assert len(recent) <= max(1.0, budget), "over the budget of a cold server"
            n = self.attempts[a.ref] = self.attempts.get(a.ref, 0) + 1
            self.pending[a.ref] = (n - 1, a.server, a.deadline)
        elif isinstance(a, api.SetRung):
            kind = s.classes[(self.open.get(a.ref) or self.playing[a.ref][0]).cls]
            assert kind.floor <= a.rung <= min(kind.top, (self.open.get(a.ref) or self.playing[a.ref][0]).top)
            self.rung[a.ref] = a.rung
        elif isinstance(a, api.Refuse | api.Fail):
            r = self.open.pop(a.ref)  # once, and only while it is open
            assert a.ref not in self.pending
            if isinstance(a, api.Refuse):
                assert not (self.may_have_run.get(a.ref) and s.classes[r.cls].effect != api.Effect.SAFE)
                assert 0 <= a.retry_after <= s.max_retry_after
        elif isinstance(a, api.SetTimer):
            self.timers.append((a.at, a.token))
        elif isinstance(a, api.Probe):
            assert s.probes and a.server in self.servers
        else:
            assert isinstance(a, api.Log | api.Subscribe)

    def advance(self, step):
        """Advance the clock; timers that are due fire, and attempts at their limit time out."""
        end = self.now + step
        while self.now < end:
            self.now += min(50 * MS, end - self.now)
            for ref, (n, server, limit) in list(self.pending.items()):
                if limit <= self.now:
                    self.finish(ref, n, server, api.OutcomeCode.TIMEOUT)
            due = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            for _, token in due:
                self.feed(api.TimerDue(token))
            slack = 40 * MS + 50 * MS
            for ref, r in self.open.items():
                last = min(r.deadline, self.began[ref] + self.settings.classes[r.cls].deadline)
                assert ref in self.pending or self.now < last + slack, "not answered in time"

    def finish(self, ref, n, server, code):
        del self.pending[ref]
        r = self.open[ref]
        self.seats[(r.cls, r.title)] -= 1
        self.may_have_run[ref] = self.may_have_run.get(ref) or code not in NOT_RUN
        self.feed(api.Outcome(ref, n, server, code, MS, False, self.report()))

    def report(self):
        value = self.rng.choice([None, 0.0, 0.3, 0.9, 1.1, 50.0, -3.0, float("nan"), float("inf")])
        return None if value is None else api.Report(value, self.rng.choice([None, 0.2, 1.2, float("nan")]))

    def request(self, crowd=False):
        rng, self.ref = self.rng, self.ref + 1
        cls = 1 if crowd else rng.choice([0, 1, 1, 2, 3])
        deadline = self.now + rng.choice([300 * MS, 2 * SECOND, 9 * SECOND])
        r = api.Request(
            self.ref,
            cls,
            2 if crowd else rng.randrange(3),
            deadline,
            0 if crowd else rng.randrange(3),
            rng.randrange(4),
            rng.choice([1, 3, 4]),
            rng.choice([None, 0, 20 * SECOND]),
        )
        self.open[self.ref] = r
        self.began = {**getattr(self, "began", {}), self.ref: self.now}
        self.request_times.append(self.now)
        self.feed(r)

    def act(self, op):
        rng, pending, playing = self.rng, list(self.pending.items()), list(self.playing.items())
        if op == 0:
            for _ in range(4):  # several requests for one title of the class with seats
                self.request(crowd=True)
        elif op <= 4:
            self.request()
        elif op <= 6 and pending:
            ref, (n, server, _) = rng.choice(pending)
            self.playing[ref] = (self.open.pop(ref), n, server)
            del self.pending[ref]
            self.feed(api.SessionOpened(ref, n, server, rng.randrange(SECOND)))
        elif op <= 8 and pending:
            ref, (n, server, _) = rng.choice(pending)
            self.finish(ref, n, server, rng.choice([2, 3, 4, 5, 6, 8]))
        elif op == 9 and playing:
            ref, (r, n, server) = rng.choice(playing)
            if rng.random() < 0.3:
                self.feed(api.ViewerLeft(ref))
            self.seats[(r.cls, r.title)] -= 1
            del self.playing[ref]
            self.feed(api.Outcome(ref, n, server, rng.choice([1, 6, 7]), SECOND, True, self.report()))
        elif op == 10 and playing:
            ref, (_, n, server) = rng.choice(playing)
            value = rng.choice([0.0, 0.1, 0.5, 0.9, 1.0, 1.7, -1.0, float("nan"), float("inf")])
            self.feed(api.SessionNotice(ref, n, server, rng.choice([1, 3, 4, 7]), value))
        elif op == 11:
            k = rng.randrange(4)
            started = rng.choice([self.servers[k].started, self.now])
            self.servers[k] = replace(self.servers[k], state=rng.choice([0, 1, 1, 1, 2, 7]), started=started)
            self.feed(api.ServerList(api.ListKind.DELTA, (self.servers[k],)))
        elif op == 12:
            kept = [e for e in self.servers.values() if rng.random() < 0.8]
            self.feed(api.ServerList(rng.choice([0, 2, 4]), tuple(kept)))
        elif op == 13:
            k = rng.randrange(4)
            self.feed(api.ProbeResult(k, rng.choice([1, 4, 5]), MS, self.report()))
        elif op == 14:
            for event in (
                api.ViewerLeft(10**6),
                api.Outcome(10**6, 0, 1, 1, MS, True),
                api.SessionOpened(10**6, 0, 1, MS),
                api.SessionNotice(10**6, 0, 77, 1, 0.5),
                api.TimerDue(10**9),
            ):
                self.feed(event)
        elif op == 15 and rng.random() < 0.2:
            self.restart()
        else:
            self.advance(rng.choice([10 * MS, 200 * MS, SECOND, 6 * SECOND]))


@given(
    seed=st.integers(0, 10**6),
    variant=st.integers(0, len(VARIANTS) - 1),
    ops=st.lists(st.integers(0, 22), min_size=20, max_size=250),
)
def test_any_legal_sequence_keeps_the_rules(seed, variant, ops):
    world = World(seed, VARIANTS[variant])
    for op in ops:
        world.act(op)
    world.advance(12 * SECOND)
    assert not world.open and not world.front.held
    assert all(server.link.own_kb >= 0 for server in world.front.servers.values())


@given(seed=st.integers(0, 10**6))
def test_the_same_events_give_the_same_actions(seed):
    def run():
        world = World(seed, VARIANTS[seed % len(VARIANTS)])
        rng, log = random.Random(seed), []
        for _ in range(80):
            world.act(rng.randrange(23))
            log.extend(world.front.actions)
        return log

    assert run() == run()
