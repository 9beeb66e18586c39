"""Baseline policies to compare the decision module with, for the laboratory only.

They share the module's ledger, guards and answers. They differ in the choice of holder and rung, and in whether playing
sessions change rung.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping

from ..decide import Controller, Server, Session
from ..gateway.daemon import Gateway, GatewayConfig
from ..gateway.net import Network
from ..interface import Action, Event, Settings
from .fleet import Fleet, GatewayFactory


class Baseline(Controller):
    """Base class: permitted holders in random order; playing sessions keep their rung, and no room is made."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        """Choose a host and rung; `legal` holds at least one host."""
        raise NotImplementedError

    def _place(self, now: int, session: Session) -> bool:
        if now >= session.deadline:
            return False
        legal = [s for s in self._draw_holders(session) if self._may_send(now, session, s)]
        chosen = self.choose(now, session, legal) if legal else None
        return self._send(now, session, *chosen) if chosen else False

    def _adjust(self, now: int, server: Server, at: int) -> None:
        return


class RandomLowest(Baseline):
    """A random holder, at the lowest permitted rung."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        return legal[0], session.session_class.floor


class FewestOwnSessions(Baseline):
    """Of two random holders the one with fewer of this front's own sessions, at a middle rung."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        one = min(legal[:2], key=lambda s: s.streams)
        return one, max(session.session_class.floor, min(session.top, len(self.settings.rung_kb) // 2))


class RandomMiddle(Baseline):
    """A random holder, at a middle rung."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        return legal[0], max(session.session_class.floor, min(session.top, len(self.settings.rung_kb) // 2))


class IgnoreColdHosts(RandomLowest):
    """A random holder without the limit on set-ups to cold hosts: shows what that rule prevents."""

    def _may_send_cold(self, now: int, server: Server, since: int) -> bool:
        return True


LoadLookup = Callable[[int], tuple[float, float] | None]


class FullView(Controller):
    """The decision module with the true load of every host that it considers, which no real front has.

    The difference to the module shows the cost of incomplete load reports. Hosts that are down, silent or paused are
    skipped.
    """

    def __init__(self, settings: Settings, seed: int, load_lookup: LoadLookup) -> None:
        super().__init__(settings, seed)
        self.load_lookup = load_lookup
        self.now = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event, and keep its time for the load lookups."""
        self.now = now
        return super().handle(now, event)

    def _draw_holders(self, session: Session) -> Iterator[Server]:
        for server in super()._draw_holders(session):
            seen = self.load_lookup(server.entry.server)
            if seen is not None:
                server.link.observe(self.now, seen[0], self.now, False)
                server.rack.observe(self.now, seen[1], self.now, False)
                yield server


POLICIES: Mapping[str, type[Controller]] = {
    "random": RandomLowest,
    "least-own": FewestOwnSessions,
    "middle": RandomMiddle,
    "reckless": IgnoreColdHosts,
    "full-view": FullView,
}


class PolicyGatewayFactory:
    """Creates gateways that use a policy. FullView needs the fleet, which is attached once it exists."""

    def __init__(self, policy: str) -> None:
        self.policy, self.fleet = policy, None

    fleet: Fleet | None

    def attach(self, fleet: Fleet) -> None:
        """Set the fleet whose gateways are created."""
        self.fleet = fleet

    def __call__(self, station: GatewayConfig, network: Network, seed: int, rng: random.Random) -> Gateway:
        """Create a gateway."""
        assert self.fleet is not None
        gateway = Gateway(station, network, seed, rng, self.fleet.log)
        kind = POLICIES[self.policy]
        if issubclass(kind, FullView):
            gateway.core.session_table.controller = kind(station.rules.settings, seed, self._load_lookup(gateway))
        else:
            gateway.core.session_table.controller = kind(station.rules.settings, seed)
        return gateway

    def _load_lookup(self, gateway: Gateway) -> LoadLookup:
        def load_of(server: int) -> tuple[float, float] | None:
            name = gateway.core.roster.names.get(server)
            host = next((h for h in self.fleet.hosts if h.name == name), None) if self.fleet else None
            if host is None or not host.up or host.model.paused or host.faults.vanished:
                return None
            return host.model.load(), host.model.rack.load()

        return load_of


def gateway_factory(policy: str) -> PolicyGatewayFactory | None:
    """Return the factory of a policy's gateways, None for the module itself."""
    return None if policy == "module" else PolicyGatewayFactory(policy)


__all__ = ["POLICIES", "PolicyGatewayFactory", "GatewayFactory", "gateway_factory"]
