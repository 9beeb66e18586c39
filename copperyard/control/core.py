"""One front without its sockets: the viewers' side, the life of wishes, the list, and time, in one piece.

The I/O calls a method for each thing that happens, passing its clock, and then carries out what `take` gives.
"""

from __future__ import annotations

import random

from ..interface import ListKind, ServerList
from ..membership.roster import BadList, Roster
from ..state.facts import Listed
from .catalogue import Catalogue
from .memory import Memory
from .orders import Line, Order
from .plays import Plays
from .rules import FrontRules
from .visits import Visits

STOOD = 250_000_000  # ns by which a timer is late before the front says that it stood still


class Core:
    """A front. `seed` feeds the module's draws and, through `rng`, session ids and sources."""

    def __init__(
        self, rules: FrontRules, catalogue: Catalogue, zones: tuple[str, ...], seed: int, rng: random.Random, name: str
    ) -> None:
        self.rules = rules
        # a front that comes back under its name is another one to hosts: its requests are numbered anew
        name = self.label = f"{name}.{rng.getrandbits(32):08x}"
        self._orders: list[Order] = []
        self.roster = Roster(zones, rules.settings.cells)
        self.plays = Plays(rules, seed, name, self._orders)
        self._cached = b""
        self.list_changed = False  # since it was written down
        self.plays.reborn = self._reborn
        self.plays.host_name = lambda server: self.roster.names.get(server, "")
        self.plays.host_address = lambda host: self.roster.addresses.get(self.roster.numbers.get(host, -1))
        self.visits = Visits(rules, catalogue, self.plays, rng, self._orders, name)

    def take(self) -> list[Order]:
        """The orders since the last call, in order."""
        orders = self._orders[:]
        self._orders.clear()
        return orders

    def remember(self, now: int, memory: Memory, spent: tuple[int, ...] | None) -> None:
        """Before the start: take over what an earlier life left. `spent` are the ages of its last further attempts,
        None where it did not come to a planned end."""
        plays = self.plays
        plays.memory = memory
        plays.restore(now)
        if spent is None:
            plays.budget.assume_spent(now)
        else:
            plays.budget.restore(now, spent)
        self._cached = memory.state.body

    def _use_cached(self, now: int) -> None:
        """The list service does not answer at the start: the last list that an earlier life heard is better than none.
        It is not used before: where the service answers, what it says is newer."""
        body, self._cached = self._cached, b""
        if not body or self.roster.generation is not None:
            return
        try:
            news = self.roster.take(now, body)
        except BadList as error:
            self._orders.append(Line("list not taken", (("text", f"kept from before: {error}"),)))
            return
        if news is not None:
            self._orders.append(Line("list kept from before", (("generation", self.roster.generation or 0),)))
            self.plays.listed(now, ServerList(ListKind.CACHED, news.entries), self.roster.addresses)

    def start(self, now: int) -> None:
        """The front starts knowing no list; with its first event the module asks to follow it."""
        self.plays.listed(now, ServerList(ListKind.CACHED), {})

    def list_body(self, now: int, body: bytes) -> bool:
        """An answer of the list service. False where it made no sense and the whole list is needed."""
        try:
            news = self.roster.take(now, body)
        except BadList as error:
            self._orders.append(Line("list not taken", (("text", str(error)),)))
            return False
        if news is not None:
            self._orders.append(
                Line("list", (("generation", self.roster.generation or 0), ("lines", len(news.entries))))
            )
            self.plays.listed(now, news, self.roster.addresses)
            self.list_changed = True
        return True

    def _reborn(self, now: int, server: int, boot: str, age: int | None) -> bool:
        """A host tells its boot and age. True where it is another process than the list told of so far; the module
        knows then."""
        entry = self.roster.heard(now, server, boot, age)
        if entry is None:
            return False
        self._orders.append(Line("host began anew", (("server", server), ("boot", boot))))
        self.plays.listed(now, ServerList(ListKind.DELTA, (entry,)), self.roster.addresses)
        return True

    def keep_list(self, now: int) -> None:
        """Write the list down, for a new life whose list service does not answer. A background job: many changes that
        come one after another are written once."""
        self.list_changed = False
        memory = self.plays.memory
        memory.write(now, Listed(memory.at(now), self.roster.export(now)))

    def list_failed(self, now: int, text: str) -> None:
        """The list service did not answer, or its answer was of no use; the module says when to ask again."""
        self._orders.append(Line("list failed", (("text", text),)))
        self.plays.listed(now, ServerList(ListKind.FAILED), {})
        self._use_cached(now)

    def next_wake(self) -> int | None:
        return self.plays.timers.next()

    def wake(self, now: int) -> None:
        """Time has passed: whatever is due happens."""
        due = self.next_wake()
        if due is not None and now - due > STOOD:
            self._orders.append(Line("stood still", (("ms", (now - due) // 1_000_000),)))
        for key in self.plays.timers.due(now):
            assert isinstance(key, tuple)
            if key[0] == "idle":
                self.visits.idle(now, key[1])
            elif key[0] == "quiet":
                self.visits.quiet(now, key[1])
            else:
                self.plays.due(now, key)
