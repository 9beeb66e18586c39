"""A whole site in one process: list service, stand-in hosts and gateways, on sockets or on the in-memory network."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import trio
from trio import TaskStatus

from ..config import Site
from ..control.catalogue import Catalogue
from ..gateway.daemon import Gateway, GatewayConfig
from ..gateway.listing import parse_list_url
from ..gateway.net import Network, now
from .audit import Tap
from .emulator import HostModel, HostSpec, RackModel
from .faultnet import FaultNetwork
from .host import RedemptionService, StandIn
from .listservice import ListService
from .memdisk import MemoryDisk

GatewayFactory = Callable[[GatewayConfig, Network, int, random.Random], Gateway]


@dataclass(eq=False, slots=True)
class GatewayHandle:
    """A gateway that can be killed and started again; `gateway` is None while it is down."""

    name: str
    station: GatewayConfig
    address: str = ""
    gateway: Gateway | None = None
    network: FaultNetwork | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    starts: int = 0


class Fleet:
    """All hosts and gateways of a site. All random choices come from `seed`."""

    def __init__(
        self,
        site: Site,
        network: Network,
        seed: int,
        log: Callable[[str, Mapping[str, str | int]], None],
        make: GatewayFactory | None = None,
    ) -> None:
        if site.lab is None:
            raise ValueError("the settings have no <lab>: there are no stand-in hosts to start")
        self.site, self.network, self.seed, self.log = site, network, seed, log
        self.make = make
        self.tap = Tap()
        self.redemption = RedemptionService()
        settings = site.rules.settings
        self.racks = [RackModel(settings.uplink_kb) for _ in range(settings.racks)]
        self.lists = ListService(network, self.tap, site.lab.list_delay, site.zones)
        catalogue = site.catalogue()
        self.hosts = [
            self._make_host(h.name, h.cell, h.kind, h.zone, h.weight, h.link, n, catalogue)
            for n, h in enumerate(site.lab.hosts)
        ]
        self.cut_zones: set[int] = set()  # indices of zones that are cut off from the others
        self.removed_hosts: list[StandIn] = []
        self._replacements = 0
        self.gateways: list[GatewayHandle] = []
        self.disks: dict[str, MemoryDisk] = {}  # of gateways with durable state; they survive restarts
        self._nursery: trio.Nursery | None = None

    def _make_host(
        self, name: str, cell: int, kind: int, zone: int, weight: float, link: float, n: int, catalogue: Catalogue
    ) -> StandIn:
        settings, lab = self.site.rules.settings, self.site.lab
        assert lab is not None
        spec = HostSpec(link, settings.places_by_kind[kind])
        model = HostModel(spec, settings, self.racks[cell % settings.racks], self.seed * 1000 + n)
        return StandIn(
            name,
            cell,
            kind,
            zone,
            weight,
            model,
            self.redemption,
            catalogue,
            self.network,
            self.tap,
            lab.media_scale,
            self.seed * 1009 + n,
        )

    async def replace(self, host: StandIn) -> None:
        """Replace a host's machine by a cold one with a new name."""
        assert self._nursery is not None
        if host not in self.hosts:
            return  # two faults target this host and the first one has replaced it already
        self.remove_host(host)
        n = self.hosts.index(host)
        self._replacements += 1
        plan = self.site.lab.hosts[n % len(self.site.lab.hosts)] if self.site.lab else None
        link = plan.link if plan is not None else host.model.spec.link
        replacement = self._make_host(
            f"{host.name.split('+')[0]}+{self._replacements}",
            host.cell,
            host.kind,
            host.zone,
            host.weight,
            link,
            n + 5000 * self._replacements,
            self.site.catalogue(),
        )
        replacement.model.restart(now())
        self.hosts[n] = replacement
        await self._nursery.start(replacement.run)
        self.lists.publish_later(replacement, "ready")

    def remove_host(self, host: StandIn) -> None:
        """Crash a host for good and free its part of the rack's uplink."""
        self.removed_hosts.append(host)
        self.crash(host)
        host.model.rack.hosts.remove(host.model)

    async def run(self, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start the site, report when everything listens, and run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address = await nursery.start(self.lists.run)
            for host in self.hosts:
                await nursery.start(host.run)
                self.lists.publish(host, "ready")
            site = self.site
            path = "/" + site.list_url.split("/", 3)[-1] if site.list_url.count("/") > 2 else "/"
            place = parse_list_url(f"http://{address}{path}", site.list_wait, site.list_timeout)
            for one in site.gateways:
                station = GatewayConfig(
                    one.name, one.listen, site.rules_for(one.name, 0), site.catalogue(), site.zones, place
                )
                if site.state is not None:
                    disk = self.disks[one.name] = MemoryDisk(random.Random(self.seed * 31 + len(self.disks)))
                    station = replace(station, disk=disk, generation=site.state.generation)
                running = GatewayHandle(one.name, station)
                self.gateways.append(running)
                await self.start_gateway(running)
            task_status.started()

    async def ready(self) -> None:
        """Wait until every gateway knows hosts."""
        while any(g.gateway is None or not g.gateway.core.roster.addresses for g in self.gateways):  # noqa: ASYNC110
            await trio.sleep(0.02)

    async def start_gateway(self, one: GatewayHandle) -> None:
        """Start a gateway at the address that it had before; do nothing if it runs."""
        assert self._nursery is not None
        if one.gateway is not None:
            return
        seed = self.seed * 77 + len(self.gateways) * 7 + one.starts
        one.starts += 1
        rng = random.Random(seed)
        station = one.station
        if one.address:
            station = replace(station, listen=one.address)
        zone = one.station.rules.settings.zone
        one.network = FaultNetwork(self.network, lambda address: self._is_cut(zone, address))
        one.gateway = (
            self.make(station, one.network, seed, rng)
            if self.make
            else Gateway(station, one.network, seed, rng, self.log)
        )
        one.scope = trio.CancelScope()
        one.address = await self._nursery.start(self._run_gateway, one)

    def _is_cut(self, zone: int, address: str) -> bool:
        """Whether a gateway's zone is cut off from the zone of an address."""
        if not self.cut_zones:
            return False
        other = next((h.zone for h in self.hosts if h.address == address), zone)
        return other != zone and (zone in self.cut_zones or other in self.cut_zones)

    async def _run_gateway(self, one: GatewayHandle, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        assert one.gateway is not None
        with one.scope:
            await one.gateway.run(task_status=task_status)

    def kill_gateway(self, one: GatewayHandle) -> None:
        """Kill a gateway: its sockets close and nothing more is sent."""
        self.tap.gateway_killed(now(), one.name)
        one.gateway = None
        if one.network is not None:
            # end its stall and its cut, which would otherwise keep its tasks and its listener alive (seed 1869)
            one.network.stalled = False
            one.network.is_cut = lambda address: False
        one.scope.cancel()
        if one.name in self.disks:
            self.disks[one.name].process_died()

    def crash(self, host: StandIn) -> None:
        """Crash a host's process; the list service publishes it after its delay."""
        host.crash()
        self.lists.publish_later(host, "gone")

    async def revive(self, host: StandIn) -> None:
        """Start a crashed host again, cold, at its address; do nothing if it runs or was replaced."""
        assert self._nursery is not None
        if not host.up and host in self.hosts:
            host.reset_for_restart()
            await self._nursery.start(host.run, host.address)
            self.lists.publish_later(host, "ready")
