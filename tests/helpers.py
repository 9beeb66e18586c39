"""A small fleet with round figures, for tests of the decision module without the simulator."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from copperyard import interface as api
from copperyard.decide import Controller

MS = 1_000_000
SECOND = 1_000_000_000

SAFE = api.ClassSettings("free", 1000 * MS, 4000 * MS, 1.0, api.Effect.SAFE, 0, 2, 1.0, 0, False)
PAID = api.ClassSettings("paid", 1000 * MS, 3000 * MS, 2.0, api.Effect.UNSAFE, 1, 2, 1.0, 2, False)
LIVE = api.ClassSettings("live", 1000 * MS, 4000 * MS, 1.0, api.Effect.SAFE, 0, 2, 1.0, 0, True)

BASE = api.Settings(
    fronts=1,
    zone=0,
    tick=10 * MS,
    classes=(SAFE, PAID, LIVE),
    rung_kb=(100.0, 200.0, 400.0),
    rung_worth=(0.3, 0.6, 1.0),
    cells=4,
    racks=1,
    uplink_kb=100_000.0,
    kb_per_weight=1000.0,
    places_by_kind=(20,),
    full_threshold=1.0,
    join_ratio=0.15,
    notice_delay=500 * MS,
    notice_interval=0,
    shortfall_cost=8.0,
    switch_cost_s=0.5,
    max_attempts=3,
    max_retry_after=1000 * MS,
    retry_after=True,
    probes=False,
    cancelling=True,
    connect_timeout=250 * MS,
    subscribe=False,
    list_poll_interval=0,
    cold_ratio=0.4,
    warm_up_time=12 * SECOND,
    drain_grace=250 * MS,
    cold_budget_multiple=3.0,
    cold_window=3 * SECOND,
    free_retries=None,
    retry_ratio=0.0,
    retry_window=0,
    price_cross_zone=0.0,
    price_late_fail=0.05,
    price_move=0.2,
    price_probe=0.01,
    reports_in_answers=True,
    reports_uplink=True,
)


def settings(**changes: Any) -> api.Settings:
    return replace(BASE, **changes)


def entry(server: int, **changes: Any) -> api.ServerEntry:
    return replace(api.ServerEntry(server, 1.0, 0, server, 0, api.ServerState.READY, 0), **changes)


def full_list(n: int = 4) -> api.ServerList:
    return api.ServerList(api.ListKind.CACHED, tuple(entry(k) for k in range(n)))


def request(ref: int, cls: int = 0, top: int = 2, **changes: Any) -> api.Request:
    made = api.Request(ref, cls, top, 1 << 60, title=7, home=0, holders=3, hint=20 * SECOND)
    return replace(made, **changes)


def front(**changes: Any) -> Controller:
    """A front that knows four servers, all warm, and has one carried session at server 3."""
    controller = Controller(settings(**changes), 5)
    controller.handle(0, full_list())
    controller.handle(0, api.CarriedSession(request(1 << 40, home=3, holders=1, title=99), 3))
    return controller


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def of_type(actions: list[api.Action], kind: type) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]
