"""Core of one front, without I/O: RTSP connections, session requests, the server list and timers.

The I/O calls a method for each event, passing its clock, and then executes the I/O actions that the core hands out.
"""

from __future__ import annotations

import random

from ..interface import ListKind, ServerList
from ..membership.roster import ListError, Roster
from ..state.facts import HostListStored
from .catalogue import Catalogue
from .io_actions import IoAction, LogLine
from .journal import Journal
from .rtsp_server import RtspServer
from .rules import FrontRules
from .session_table import SessionTable

STALL_THRESHOLD_NS = 250_000_000  # lateness of a timer above which the front logs that this process was stalled


class FrontCore:
    """A front. `seed` seeds the controller's random choices; `rng` draws session ids and SSRCs."""

    def __init__(
        self, rules: FrontRules, catalogue: Catalogue, zones: tuple[str, ...], seed: int, rng: random.Random, name: str
    ) -> None:
        self.rules = rules
        # A restarted front gets another name, as its request numbers start again.
        name = self.instance_name = f"{name}.{rng.getrandbits(32):08x}"
        self._io_actions: list[IoAction] = []
        self.roster = Roster(zones, rules.settings.cells)
        self.session_table = SessionTable(rules, seed, name, self._io_actions)
        self._cached_list = b""
        self.list_changed = False  # since it was last saved
        self.session_table.host_restarted = self._host_restarted
        self.session_table.host_name = lambda server: self.roster.names.get(server, "")
        self.session_table.host_address = lambda host: self.roster.addresses.get(self.roster.numbers.get(host, -1))
        self.rtsp_server = RtspServer(rules, catalogue, self.session_table, rng, self._io_actions, name)

    def take_io_actions(self) -> list[IoAction]:
        """Return the pending I/O actions in order and clear them."""
        orders = self._io_actions[:]
        self._io_actions.clear()
        return orders

    def restore(self, now: int, journal: Journal, spent: tuple[int, ...] | None) -> None:
        """Take over the state of an earlier run, before the start. `spent` are the ages of its last further attempts,
        None if it did not end as planned.
        """
        plays = self.session_table
        plays.journal = journal
        plays.restore(now)
        if spent is None:
            plays.budget.assume_spent(now)
        else:
            plays.budget.restore(now, spent)
        self._cached_list = journal.state.body

    def _use_cached_list(self, now: int) -> None:
        """Use the last server list of an earlier run, if the list service does not answer at the start. It is not
        used earlier, because an answer of the service is newer.
        """
        body, self._cached_list = self._cached_list, b""
        if not body or self.roster.generation is not None:
            return
        try:
            news = self.roster.apply_body(now, body)
        except ListError as error:
            self._io_actions.append(LogLine("list not taken", (("text", f"kept from before: {error}"),)))
            return
        if news is not None:
            self._io_actions.append(LogLine("list kept from before", (("generation", self.roster.generation or 0),)))
            self.session_table.list_updated(now, ServerList(ListKind.CACHED, news.entries), self.roster.addresses)

    def start(self, now: int) -> None:
        """Start without a server list; the controller asks to follow it with its first event."""
        self.session_table.list_updated(now, ServerList(ListKind.CACHED), {})

    def list_received(self, now: int, body: bytes) -> bool:
        """Take an answer of the list service. Returns False if it is invalid and the full list is needed."""
        try:
            news = self.roster.apply_body(now, body)
        except ListError as error:
            self._io_actions.append(LogLine("list not taken", (("text", str(error)),)))
            return False
        if news is not None:
            self._io_actions.append(
                LogLine("list", (("generation", self.roster.generation or 0), ("lines", len(news.entries))))
            )
            self.session_table.list_updated(now, news, self.roster.addresses)
            self.list_changed = True
        return True

    def _host_restarted(self, now: int, server: int, boot: str, age: int | None) -> bool:
        """Take the boot id and uptime that a host reports. Returns True if the host has restarted since the list's
        last report; the controller has been told then.
        """
        entry = self.roster.host_started(now, server, boot, age)
        if entry is None:
            return False
        self._io_actions.append(LogLine("host began anew", (("server", server), ("boot", boot))))
        self.session_table.list_updated(now, ServerList(ListKind.DELTA, (entry,)), self.roster.addresses)
        return True

    def save_list(self, now: int) -> None:
        """Write the server list to the journal, for a restart without a list service. Runs as a background job, so
        that changes in quick succession are written once.
        """
        self.list_changed = False
        journal = self.session_table.journal
        journal.write(now, HostListStored(journal.service_time(now), self.roster.export(now)))

    def list_failed(self, now: int, text: str) -> None:
        """Handle a failed poll of the list service; the controller decides when to poll again."""
        self._io_actions.append(LogLine("list failed", (("text", text),)))
        self.session_table.list_updated(now, ServerList(ListKind.FAILED), {})
        self._use_cached_list(now)

    def next_wake(self) -> int | None:
        """Return the time of the next timer, None if there is none."""
        return self.session_table.timers.next()

    def wake(self, now: int) -> None:
        """Handle all timers that are due."""
        due = self.next_wake()
        if due is not None and now - due > STALL_THRESHOLD_NS:
            self._io_actions.append(LogLine("stood still", (("ms", (now - due) // 1_000_000),)))
        for key in self.session_table.timers.pop_due(now):
            assert isinstance(key, tuple)
            if key[0] == "idle":
                self.rtsp_server.session_idle(now, key[1])
            elif key[0] == "quiet":
                self.rtsp_server.connection_idle(now, key[1])
            else:
                self.session_table.timer_due(now, key)
