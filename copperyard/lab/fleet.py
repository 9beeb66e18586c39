"""A whole site in one process: list service, stand-in hosts and gateways, on sockets or in memory."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import trio
from trio import TaskStatus

from ..config import Site
from ..control.catalogue import Catalogue
from ..gateway.daemon import Gateway, Station
from ..gateway.listing import list_place
from ..gateway.net import Network, now
from .audit import Tap
from .emulator import HostModel, HostSpec, RackModel
from .faultnet import FaultNetwork
from .host import Office, StandIn
from .listservice import ListService
from .memdisk import MemoryDisk

Make = Callable[[Station, Network, int, random.Random], Gateway]


@dataclass(eq=False, slots=True)
class Running:
    """One gateway that may be killed and started again."""

    name: str
    station: Station
    address: str = ""
    gateway: Gateway | None = None
    network: FaultNetwork | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    starts: int = 0


class Fleet:
    """Everything of a site. All chance comes from `seed`."""

    def __init__(
        self,
        site: Site,
        network: Network,
        seed: int,
        log: Callable[[str, Mapping[str, str | int]], None],
        make: Make | None = None,
    ) -> None:
        if site.lab is None:
            raise ValueError("the settings have no <lab>: there are no stand-in hosts to start")
        self.site, self.network, self.seed, self.log = site, network, seed, log
        self.make = make
        self.tap = Tap()
        self.office = Office()
        settings = site.rules.settings
        self.racks = [RackModel(settings.uplink_kb) for _ in range(settings.racks)]
        self.lists = ListService(network, self.tap, site.lab.list_late, site.zones)
        catalogue = site.catalogue()
        self.hosts = [
            self._host(h.name, h.cell, h.kind, h.zone, h.weight, h.link, n, catalogue)
            for n, h in enumerate(site.lab.hosts)
        ]
        self.cut: set[int] = set()  # zones that the others cannot reach
        self.gone: list[StandIn] = []
        self._replaced = 0
        self.gateways: list[Running] = []
        self.disks: dict[str, MemoryDisk] = {}  # of gateways that keep state: they outlive them
        self._nursery: trio.Nursery | None = None

    def _host(
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
            self.office,
            catalogue,
            self.network,
            self.tap,
            lab.scale,
            self.seed * 1009 + n,
        )

    async def replace(self, host: StandIn) -> None:
        """A host's machine is taken away and another one, of a new name and cold, stands in its place."""
        assert self._nursery is not None
        if host not in self.hosts:
            return  # two waves met at one host: the first has replaced it already
        self.model_gone(host)
        n = self.hosts.index(host)
        self._replaced += 1
        plan = self.site.lab.hosts[n % len(self.site.lab.hosts)] if self.site.lab else None
        link = plan.link if plan is not None else host.model.spec.link
        other = self._host(
            f"{host.name.split('+')[0]}+{self._replaced}",
            host.cell,
            host.kind,
            host.zone,
            host.weight,
            link,
            n + 5000 * self._replaced,
            self.site.catalogue(),
        )
        other.model.restart(now())
        self.hosts[n] = other
        await self._nursery.start(other.run)
        self.lists.later(other, "ready")

    def model_gone(self, host: StandIn) -> None:
        self.gone.append(host)
        self.crash(host)
        host.model.rack.hosts.remove(host.model)

    async def run(self, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start all; tells when all listen. Ends when cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address = await nursery.start(self.lists.run)
            for host in self.hosts:
                await nursery.start(host.run)
                self.lists.publish(host, "ready")
            site = self.site
            path = "/" + site.list_url.split("/", 3)[-1] if site.list_url.count("/") > 2 else "/"
            place = list_place(f"http://{address}{path}", site.list_wait, site.list_timeout)
            for one in site.gateways:
                station = Station(one.name, one.listen, site.rules_of(one.name, 0), site.catalogue(), site.zones, place)
                if site.state is not None:
                    disk = self.disks[one.name] = MemoryDisk(random.Random(self.seed * 31 + len(self.disks)))
                    station = replace(station, disk=disk, generation=site.state.generation)
                running = Running(one.name, station)
                self.gateways.append(running)
                await self.start_gateway(running)
            task_status.started()

    async def ready(self) -> None:
        """Return once every gateway knows hosts."""
        while any(g.gateway is None or not g.gateway.core.roster.addresses for g in self.gateways):  # noqa: ASYNC110
            await trio.sleep(0.02)

    async def start_gateway(self, one: Running) -> None:
        """Start a gateway, at the address that it had before; one that runs is left alone."""
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
        one.address = await self._nursery.start(self._gateway, one)

    def _is_cut(self, zone: int, address: str) -> bool:
        """Whether a zone cut lies between a gateway's zone and an address."""
        if not self.cut:
            return False
        other = next((h.zone for h in self.hosts if h.address == address), zone)
        return other != zone and (zone in self.cut or other in self.cut)

    async def _gateway(self, one: Running, task_status: TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        assert one.gateway is not None
        with one.scope:
            await one.gateway.run(task_status=task_status)

    def kill_gateway(self, one: Running) -> None:
        """End it as a kill does: sockets close, nothing is said."""
        self.tap.front_killed(now(), one.name)
        one.gateway = None
        if one.network is not None:
            # what is killed stands still no longer, and a cut does not keep its tasks and its listener alive (seed
            # 1869)
            one.network.standing = False
            one.network.cut = lambda address: False
        one.scope.cancel()
        if one.name in self.disks:
            self.disks[one.name].process_died()

    def crash(self, host: StandIn) -> None:
        """A host's process dies; the list service learns of it in its own time."""
        host.crash()
        self.lists.later(host, "gone")

    async def revive(self, host: StandIn) -> None:
        """It starts again, cold, at its address."""
        assert self._nursery is not None
        if not host.up and host in self.hosts:
            host.reborn()
            await self._nursery.start(host.run, host.address)
            self.lists.later(host, "ready")
