"""The kinds of fault: how each is injected into a fleet and undone."""

from __future__ import annotations

import errno
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from ..gateway.net import now
from .faultnet import POLL_INTERVAL_S
from .fleet import Fleet, GatewayHandle
from .host import StandIn

SECOND = 1_000_000_000
POLL_INTERVAL_NS = int(POLL_INTERVAL_S * SECOND)


@dataclass(frozen=True, slots=True)
class Whom:
    """The targets of a fault: hosts by name, random share, rack or zone; gateways by name, random share or zone."""

    hosts: tuple[str, ...] = ()
    share: float | None = None
    rack: int | None = None
    zone: str | None = None
    gateways: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a `kind` from `at` to `until`, in s from the start of the rehearsal.

    The unit of `strength` depends on the kind. With `every`, the fault is injected again each so many s and lasts half
    of that time, until `until`.
    """

    kind: str
    at: float
    until: float
    whom: Whom
    strength: float
    every: float | None = None


def select_hosts(fleet: Fleet, targets: Whom, rng: random.Random) -> list[StandIn]:
    """Return the targeted hosts; a share is drawn from those that match the other criteria."""
    racks = fleet.site.rules.settings.racks
    found = [
        h
        for h in fleet.hosts
        if (not targets.hosts or h.name in targets.hosts)
        and (targets.rack is None or h.cell % racks == targets.rack)
        and (targets.zone is None or fleet.site.zones[h.zone] == targets.zone)
    ]
    if targets.share is None:
        return found
    return rng.sample(found, max(1, round(targets.share * len(found)))) if found else []


def select_gateways(fleet: Fleet, targets: Whom, rng: random.Random) -> list[GatewayHandle]:
    """Return the targeted gateways; a share is drawn from those that match the other criteria."""
    found = [
        g
        for g in fleet.gateways
        if (not targets.gateways or g.name in targets.gateways)
        and (targets.zone is None or fleet.site.zones[g.station.rules.settings.zone] == targets.zone)
    ]
    if targets.share is None:
        return found
    return rng.sample(found, max(1, round(targets.share * len(found)))) if found else []


async def inject_fault(fleet: Fleet, fault: Fault, rng: random.Random, begin: float) -> None:
    """Inject a fault at its time, and undo it."""
    await trio.sleep_until(begin + fault.at)
    if fault.every is None:
        await FAULT_ACTIONS[fault.kind](fleet, fault, rng, begin + fault.until)
        return
    while trio.current_time() < begin + fault.until:
        end = min(begin + fault.until, trio.current_time() + fault.every / 2)
        again = trio.current_time() + fault.every
        await FAULT_ACTIONS[fault.kind](fleet, fault, rng, end)
        await trio.sleep_until(again)


def _set_for_duration(
    attribute: str, of_model: bool, value: Callable[[Fault], object], reset_value: object
) -> Callable[[Fleet, Fault, random.Random, float], Awaitable[None]]:
    """Return an action that sets an attribute of each host's model or protocol faults, and resets it at the end."""

    async def set_hosts(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
        hosts = select_hosts(fleet, fault.whom, rng)
        for host in hosts:
            setattr(host.model if of_model else host.faults, attribute, value(fault))
        await trio.sleep_until(until)
        for host in hosts:
            setattr(host.model if of_model else host.faults, attribute, reset_value)

    return set_hosts


async def _crash(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    hosts = select_hosts(fleet, fault.whom, rng)
    for host in hosts:
        fleet.crash(host)
    await trio.sleep_until(until)
    for host in hosts:
        await fleet.revive(host)


async def _zone_loss(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    gateways = [g for g in select_gateways(fleet, fault.whom, rng) if fault.strength > 1]
    for one in gateways:
        fleet.kill_gateway(one)
    await _crash(fleet, fault, rng, until)
    for one in gateways:
        await fleet.start_gateway(one)


async def _vanish(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    hosts = select_hosts(fleet, fault.whom, rng)
    for host in hosts:
        host.faults.vanished = True
        fleet.lists.publish_later(host, "gone")
    await trio.sleep_until(until)
    for host in hosts:
        host.crash()
        await fleet.revive(host)


async def _hang(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    hosts = select_hosts(fleet, fault.whom, rng)
    for host in hosts:
        host.model.pause(now(), True)
    await trio.sleep_until(until)
    for host in hosts:
        host.model.pause(now(), False)


async def _replace(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    """Drain the hosts as a scheduler does, and at the end replace them with cold ones under new names."""
    hosts = select_hosts(fleet, fault.whom, rng)
    for host in hosts:
        fleet.lists.publish_later(host, "draining")
    await trio.sleep_until(until)
    for host in hosts:
        await fleet.replace(host)


async def _drain(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    hosts = select_hosts(fleet, fault.whom, rng)
    for host in hosts:
        fleet.lists.publish_later(host, "draining")
    await trio.sleep_until(until)
    for host in hosts:
        fleet.lists.publish_later(host, "ready" if host.up else "gone")


async def _gateway_crash(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    gateways = select_gateways(fleet, fault.whom, rng)
    for one in gateways:
        fleet.kill_gateway(one)
    await trio.sleep_until(until)
    for one in gateways:
        await fleet.start_gateway(one)


async def _gateway_stall(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    gateways = [g for g in select_gateways(fleet, fault.whom, rng) if g.network is not None]
    networks = [g.network for g in gateways if g.network is not None]
    begin = now()
    for network in networks:
        network.stalled = True
    await trio.sleep_until(until)
    for network in networks:
        network.stalled = False
    for one in gateways:
        fleet.tap.gateway_stalled(begin, now() + 2 * POLL_INTERVAL_NS, one.name)


async def _weaken_uplinks(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    racks = fleet.racks if fault.whom.rack is None else [fleet.racks[fault.whom.rack]]
    if fault.whom.share is not None:
        racks = rng.sample(racks, max(1, round(fault.whom.share * len(racks))))
    for rack in racks:
        rack.divisor = fault.strength
    await trio.sleep_until(until)
    for rack in racks:
        rack.divisor = 1.0


async def _zone_cut(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    zone = fleet.site.zones.index(fault.whom.zone or "")
    fleet.cut_zones.add(zone)
    await trio.sleep_until(until)
    fleet.cut_zones.discard(zone)


async def _list_down(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    fleet.lists.fail(True)
    await trio.sleep_until(until)
    fleet.lists.fail(False)


async def _disk_pause(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    disks = [fleet.disks[g.name] for g in select_gateways(fleet, fault.whom, rng) if g.name in fleet.disks]
    for disk in disks:
        disk.pause = fault.strength
    await trio.sleep_until(until)
    for disk in disks:
        disk.pause = 0.0


async def _disk_error(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    disks = [fleet.disks[g.name] for g in select_gateways(fleet, fault.whom, rng) if g.name in fleet.disks]
    for disk in disks:
        disk.error = errno.EIO
    await trio.sleep_until(until)
    for disk in disks:
        disk.error = None


async def _power_cut(fleet: Fleet, fault: Fault, rng: random.Random, until: float) -> None:
    """Cut the power of a gateway's machine: data that its disk has not synced may be lost."""
    for one in select_gateways(fleet, fault.whom, rng):
        if one.gateway is not None:
            fleet.kill_gateway(one)
            if one.name in fleet.disks:
                fleet.disks[one.name].power_cut()
    await trio.sleep_until(until)
    for one in select_gateways(fleet, fault.whom, rng):
        await fleet.start_gateway(one)


FaultAction = Callable[[Fleet, Fault, random.Random, float], Awaitable[None]]
FAULT_ACTIONS: dict[str, FaultAction] = {
    "answers-lost": _set_for_duration("lose_answers", False, lambda s: s.strength, 0.0),
    "errors": _set_for_duration("errors", False, lambda s: s.strength, 0.0),
    "full": _set_for_duration("full", False, lambda s: True, False),
    "quiet-before-play": _set_for_duration("quiet_before_play", False, lambda s: True, False),
    "neighbour": _set_for_duration("neighbour_share", True, lambda s: s.strength, 0.0),
    "slow-origin": _set_for_duration("setup_slowdown", True, lambda s: s.strength, 1.0),
    "links-weak": _set_for_duration("link_divisor", True, lambda s: s.strength, 1.0),
    "reports-late": _set_for_duration("report_delay", True, lambda s: int(s.strength * SECOND), 0),
    "crash": _crash,
    "zone-loss": _zone_loss,
    "vanish": _vanish,
    "hang": _hang,
    "replace": _replace,
    "drain": _drain,
    "gateway-crash": _gateway_crash,
    "gateway-stall": _gateway_stall,
    "uplink-weak": _weaken_uplinks,
    "zone-cut": _zone_cut,
    "list-down": _list_down,
    "disk-pause": _disk_pause,
    "disk-error": _disk_error,
    "power-cut": _power_cut,
}
# default of `strength` by kind: a share, a multiple or seconds
DEFAULT_STRENGTH = {
    "answers-lost": 1.0,
    "errors": 0.8,
    "neighbour": 0.5,
    "slow-origin": 5.0,
    "links-weak": 2.5,
    "reports-late": 3.0,
    "disk-pause": 2.0,
    "uplink-weak": 2.0,
}
SHARE_KINDS = ("answers-lost", "errors", "neighbour")
"""Kinds whose `strength` is a share, hence at most 1."""
