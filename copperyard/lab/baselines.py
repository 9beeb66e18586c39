"""Policies to hold the module against, in the laboratory only. They share its ledger, guards and answers, and
differ in the choice: which holder, which rung, and whether playing sessions are stepped."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping

from ..decide import Controller, Server, Session
from ..gateway.daemon import Gateway, Station
from ..gateway.net import Network
from ..interface import Action, Event, Settings
from .fleet import Fleet, Make


class Plain(Controller):
    """Common to all: legal holders in a drawn order; nothing that plays is lowered or raised; no room is made."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        raise NotImplementedError

    def _place(self, now: int, session: Session) -> bool:
        if now >= session.deadline:
            return False
        legal = [s for s in self._draw_holders(session) if self._may_send(now, session, s)]
        chosen = self.choose(now, session, legal) if legal else None
        return self._send(now, session, *chosen) if chosen else False

    def _adjust(self, now: int, server: Server, at: int) -> None:
        return


class RandomLowest(Plain):
    """A random holder, at the lowest rung that is allowed."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        return legal[0], session.session_class.floor


class LeastOwn(Plain):
    """Of two drawn holders the one with fewer of this front's own sessions, at a middle rung."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        one = min(legal[:2], key=lambda s: s.streams)
        return one, max(session.session_class.floor, min(session.top, len(self.settings.rung_kb) // 2))


class Middle(Plain):
    """A random holder, at a middle rung."""

    def choose(self, now: int, session: Session, legal: list[Server]) -> tuple[Server, int] | None:
        return legal[0], max(session.session_class.floor, min(session.top, len(self.settings.rung_kb) // 2))


class Reckless(RandomLowest):
    """As random, but blind to whether a host is cold: what a front without that rule does to one."""

    def _may_send_cold(self, now: int, server: Server, since: int) -> bool:
        return True


Truth = Callable[[int], tuple[float, float] | None]


class FullView(Controller):
    """The module with the true load of every host it looks at, which no real front can have: what is left between
    the two is what evidence costs. Hosts that are down, silent or standing still are passed over."""

    def __init__(self, settings: Settings, seed: int, truth: Truth) -> None:
        super().__init__(settings, seed)
        self.truth = truth
        self.now = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        return super().handle(now, event)

    def _draw_holders(self, session: Session) -> Iterator[Server]:
        for server in super()._draw_holders(session):
            seen = self.truth(server.entry.server)
            if seen is not None:
                server.link.observe(self.now, seen[0], self.now, False)
                server.rack.observe(self.now, seen[1], self.now, False)
                yield server


POLICIES: Mapping[str, type[Controller]] = {
    "random": RandomLowest,
    "least-own": LeastOwn,
    "middle": Middle,
    "reckless": Reckless,
    "full-view": FullView,
}


class Maker:
    """Makes gateways that decide by a policy. The fleet is told once it is there, for the full view."""

    def __init__(self, policy: str) -> None:
        self.policy, self.fleet = policy, None

    fleet: Fleet | None

    def see(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def __call__(self, station: Station, network: Network, seed: int, rng: random.Random) -> Gateway:
        assert self.fleet is not None
        gateway = Gateway(station, network, seed, rng, self.fleet.log)
        kind = POLICIES[self.policy]
        if issubclass(kind, FullView):
            gateway.core.session_table.controller = kind(station.rules.settings, seed, self._truth(gateway))
        else:
            gateway.core.session_table.controller = kind(station.rules.settings, seed)
        return gateway

    def _truth(self, gateway: Gateway) -> Truth:
        def truth(server: int) -> tuple[float, float] | None:
            name = gateway.core.roster.names.get(server)
            host = next((h for h in self.fleet.hosts if h.name == name), None) if self.fleet else None
            if host is None or not host.up or host.model.paused or host.faults.vanished:
                return None
            return host.model.load(), host.model.rack.load()

        return truth


def maker(policy: str) -> Maker | None:
    """The maker of a policy's gateways, None for the module's own."""
    return None if policy == "module" else Maker(policy)


__all__ = ["POLICIES", "Maker", "Make", "maker"]
