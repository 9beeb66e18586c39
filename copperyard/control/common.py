"""Coordination of one gateway with the others, without its sockets and disk.

Combines membership (membership.gateways), consensus (state.agreement) and the zone plan of this front (control.zones).
The I/O calls a method for each event and carries out the pending actions: immediate ones at once, durable ones in
order, each after the one before is complete. No session waits for any of this.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..decide import Controller
from ..interface import Ways
from ..membership.gateways import messages as swim
from ..membership.gateways.cells import CellMap, CellPlace
from ..membership.gateways.members import Changed, Members, Pace, Stood
from ..membership.gateways.members import Say as SwimSay
from ..membership.gateways.reachability import ZoneReachability as Seen
from ..protocol.peers import BadFrame, Codec
from ..state.agreement import messages as agreed
from ..state.agreement.council import Apply, Beat, Council, Dates, Keep, Kept, Order, Restore, Say, Tell
from ..state.agreement.follow import Follower, Questions, date_from
from ..state.agreement.messages import Kind, Record
from .cells import REPORT_INTERVAL_NS, DelegateRole, Heard, MemberReport, Resign, rank_collectors
from .neighbours import WAITING
from .zones.check import plan_error
from .zones.facts import MAX_COUNT, Gauge
from .zones.follow import ActivePlan
from .zones.plan import CellReport, Gathered, Plan, Renewed, Terms
from .zones.planner import Planner, PlannerInput
from .zones.rollup import CellReportTable

SECOND = 1_000_000_000
FORWARD_INTERVAL_NS = SECOND // 4  # between batches of cell reports that a voter forwards to the leader
# probe periods that a member reports counts of: short, so that answers from before a loss drop out soon
REACHABILITY_PERIODS = 4
# periods (of at least a second) without a report of a zone's cells before it may count as lost: a partition that heals
# sooner costs less than closing the zone and reopening it in steps, which takes some ten periods
ZONE_SILENT_PERIODS = 6
# without a dated entry a gateway asks the voters itself; a plan is renewed in a third of it
MAX_DATE_AGE_NS = 6 * SECOND
RENEWALS_PER_PLAN = 5  # renewals within the validity of a plan: an election has to fit into the remaining time
ENTRY_CODEC = Codec({1: Plan, 2: Renewed})  # content of log entries
MESSAGES = Codec(
    {
        1: swim.Ping,
        2: swim.Ack,
        3: swim.Look,
        4: swim.Nothing,
        10: agreed.Poll,
        11: agreed.Ballot,
        12: agreed.Append,
        13: agreed.Install,
        14: agreed.Taken,
        15: agreed.Recall,
        16: agreed.Recalled,
        17: agreed.Since,
        18: agreed.News,
        19: agreed.Newer,
        31: MemberReport,
        32: CellReport,
        33: Gathered,
        34: Heard,
        35: Resign,
    }
)  # 30 was a front's report to the leader; do not reuse it


@dataclass(frozen=True, slots=True)
class CommonPlace:
    """What a gateway knows of the others: its cell, contacts, watchers, and the voters with the numbers of their zones.
    It knows no other names of the site.
    """

    name: str
    cells: CellPlace
    zones: tuple[str, ...]
    voters: Mapping[str, int]
    terms: Terms
    pace: Pace = Pace()
    beat: Beat = Beat()

    @classmethod
    def of(
        cls,
        name: str,
        cells: CellMap,
        zones: tuple[str, ...],
        voters: Sequence[str],
        terms: Terms,
        pace: Pace = Pace(),  # noqa: B008 - frozen
        beat: Beat = Beat(),  # noqa: B008 - frozen
    ) -> CommonPlace:
        """Build it for the gateway of that name. KeyError for a name that is not of the site."""
        votes = name in voters
        return cls(
            name, cells.place(name, votes), zones, {voter: cells.roster[voter] for voter in voters}, terms, pace, beat
        )

    def peers(self) -> set[str]:
        """Return all gateways that this one may exchange messages with."""
        return {*self.cells.cell.names, *self.cells.contacts, *self.cells.watchers, *self.voters} - {self.name}


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to a gateway; it may be lost."""

    to: str
    message: object


@dataclass(frozen=True, slots=True)
class Write:
    """Action: make these records durable before any later action; with `anew` they replace all earlier records."""

    records: tuple[Record, ...]
    anew: bool


@dataclass(frozen=True, slots=True)
class Done:
    """Action: call `applied` with this."""

    order: Apply | Restore


@dataclass(frozen=True, slots=True)
class Note:
    """Action: write a log event."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


@dataclass(frozen=True, slots=True)
class Act:
    """Action: these ways apply to this front from now on."""

    ways: Ways


Immediate = Send | Note | Act
Durable = Send | Write | Done | Note


class Common:
    """Coordination of one gateway with the others.

    `kept` is the content of a voter's log store, None for a gateway that is no voter. `unix_ms`, the date, makes the
    numbers of this life greater than those of earlier lives; nothing else depends on its being right.
    """

    def __init__(
        self,
        place: CommonPlace,
        gauge: Gauge,
        controller: Callable[[], Controller],
        kept: Kept | None,
        seed: int,
        now: int,
        unix_ms: int,
        trusted: bool = False,
    ) -> None:
        self.place, self.gauge, self.controller = place, gauge, controller
        self.zone = place.cells.zone
        self.random = random.Random(seed)
        self.members = Members(
            place.name,
            place.cells.roster,
            len(place.zones),
            place.pace,
            self.random.getrandbits(62),
            now,
            unix_ms,
            place.cells.watchers,
        )
        self.collectors = rank_collectors(
            place.name, self.zone, place.cells.cell.key, place.voters, place.terms.prices[self.zone]
        )
        self.duty = DelegateRole(
            place.name,
            place.cells,
            place.terms,
            self.collectors,
            unix_ms,
            self._alive,
            now + int(self.random.random() * REPORT_INTERVAL_NS),
        )
        self._now = now
        self.council: Council | None = None
        self.follower: Follower | None = None
        if kept is not None:
            self.council = Council(
                place.name, tuple(place.voters), kept, place.beat, self.random.getrandbits(62), now, trusted
            )
        else:
            self.follower = Follower(self._news_sources, self.random.getrandbits(62), now)
        self.facts = CellReportTable(place.cells.sizes, place.terms)  # used at a voter
        self.planner: Planner | None = None
        self.book = ActivePlan(place.terms, self.zone)
        self.plan: Plan | None = None
        self.plan_index = 0
        self.renewed_at = now
        self.report_at = now + int(self.random.random() * REPORT_INTERVAL_NS)
        self.forward_at = now + int(self.random.random() * FORWARD_INTERVAL_NS)
        self.plan_at = now
        self.next_broadcast_at = now
        self.next_age_query_at = now  # when a voter next asks the leader for the age of its entries
        self._questions = Questions(self.random.getrandbits(31))
        self.ways: Ways | None = None
        self._ways_basis: tuple[int, float] | None = None  # (epoch, strength) that `ways` was derived from
        self.ways_change_at: int | None = now
        self.epochs = 0
        self.histories: list[tuple[int, int]] = []  # (index, epoch) of the last plans adopted
        self._actions: list[Immediate] = []
        self._durable_actions: list[Durable] = []
        self._zone_states: tuple[Seen, ...] = ()
        self._pending_entries = 0  # committed entries that wait for the disk before they are applied

    # ---- actions

    def take(self) -> list[Immediate]:
        """Return the pending actions to carry out at once."""
        out, self._actions = self._actions, []
        return out

    def take_durable(self) -> list[Durable]:
        """Return the pending actions to carry out in order, each after the one before is complete."""
        out, self._durable_actions = self._durable_actions, []
        return out

    @property
    def disk_behind(self) -> bool:
        """Whether the disk is so far behind that this voter has to count as dead: it ignores other voters and sends
        them nothing, so that the pending actions stay bounded.
        """
        return len(self._durable_actions) >= WAITING

    def _collect_actions(self, now: int) -> None:
        while actions := self.members.take():
            self._add_swim_actions(now, actions)
        core = self.council or self.follower
        assert core is not None
        for order in core.take():
            self._add_durable_action(order)

    def _add_swim_actions(self, now: int, actions: Sequence[SwimSay | Changed | Stood]) -> None:
        for action in actions:
            if isinstance(action, SwimSay):
                self._actions.append(Send(action.to, action.message))
            elif isinstance(action, Changed):
                self._actions.append(
                    Note(
                        "gateway " + action.life.name.lower(),
                        (("gateway", action.name), ("seen", "first-hand" if action.first_hand else "told")),
                    )
                )
                if action.life is swim.Life.DEAD or action.first_hand and action.life is swim.Life.SUSPECT:
                    self._broadcast_suspicion(now, action.name)
            else:
                assert isinstance(action, Stood)
                self._actions.append(Note("stood still", (("ms", action.ns // 1_000_000),)))

    def _broadcast_suspicion(self, now: int, name: str) -> None:
        """Tell the whole cell, if this delegate suspects a member or learns of its death.

        With periodic probes alone it took some seconds more until enough members confirmed a suspicion, and three
        until the last one knew of a death. At most once a second, however many members die.
        """
        if name in self.place.cells.cell.names and now >= self.next_broadcast_at and self.duty.is_delegate(now):
            self.next_broadcast_at = now + SECOND
            self.members.disseminate_now(
                now, [other for other in self.place.cells.cell.names if self._alive(other)], name
            )

    def _add_durable_action(self, order: Order) -> None:
        if isinstance(order, Say):
            self._durable_actions.append(Send(order.to, order.message))
        elif isinstance(order, Keep):
            self._durable_actions.append(Write(order.records, order.anew))
        elif isinstance(order, Tell):
            self._durable_actions.append(Note(order.event, order.fields))
        else:
            self._pending_entries += 1
            self._durable_actions.append(Done(order))

    # ---- messages

    def hear(self, now: int, sender: str, message: object) -> None:
        """Handle a message of a gateway of the roster.

        Absurdly great terms and incarnations are ignored: the next number would not fit into a frame, and a gateway
        that adopted one could send no valid message any more.
        """
        if getattr(message, "term", 0) >= MAX_COUNT or getattr(message, "incarnation", 0) >= MAX_COUNT:
            return
        self._now = now
        if isinstance(message, swim.Ping | swim.Ack | swim.Look | swim.Nothing):
            self.members.hear(now, sender, message)
        elif isinstance(message, MemberReport):
            self.duty.member_reported(now, sender, message)
        elif isinstance(message, CellReport):
            self._cell_report_received(now, sender, message)
        elif isinstance(message, Gathered):
            if sender in self.place.voters:
                for report, lay in message.reports:
                    self.facts.update(now, report, lay)
        elif isinstance(message, Heard):
            self.duty.report_acked(now, sender, message)
        elif isinstance(message, Resign):
            self.duty.delegate_resigned(now, sender, message)
        elif isinstance(message, agreed.Message):
            if self.council is not None and isinstance(message, agreed.News):
                asked = self._questions.answered(sender, message.ask)
                if asked is not None:
                    date_from(self.council.dates, asked, self.council.applied, message)
            elif self.council is not None:
                if not self.disk_behind:
                    self.council.hear(now, sender, message)
            else:
                assert self.follower is not None
                self.follower.hear(now, sender, message)
        self._update(now)

    # ---- time

    def next_wake(self) -> int:
        """Return when `wake` is due."""
        core = self.council or self.follower
        assert core is not None
        times = [
            self.members.next_wake(),
            self.report_at,
            self.duty.report_at,
            *([] if self.disk_behind else [core.next_wake()]),
        ]
        if self.council is not None:
            times.append(self.forward_at)
        if self.ways_change_at is not None:
            times.append(self.ways_change_at)
        return min(times)

    def wake(self, now: int) -> None:
        """Handle all timers that are due."""
        self._now = now
        if now >= self.members.next_wake():
            self.members.wake(now)
        core = self.council or self.follower
        assert core is not None
        if now >= core.next_wake() and not self.disk_behind:
            core.wake(now)
        if now >= self.report_at:
            self.report_at = now + REPORT_INTERVAL_NS * 3 // 4 + int(self.random.random() * REPORT_INTERVAL_NS / 2)
            self._report(now)
            self._log_zone_states(now)
        if now >= self.duty.report_at:
            self._report_cell(now)
        for name in self.duty.overdue_members(now):
            self.members.probe_soon(name)
        if self.council is not None and now >= self.forward_at:
            self.forward_at = now + FORWARD_INTERVAL_NS
            self._forward_cell_reports(now)
        if self.council is not None:
            self._ask_for_age(now)
            self._lead(now)
        self._update(now)

    def _alive(self, name: str) -> bool:
        member = self.members.members.get(name)
        return member is not None and member.life is swim.Life.ALIVE

    def _news_sources(self) -> list[str]:
        """Return whom to ask for new log entries, best first.

        A delegate asks two collectors, the cell's other delegate, then the other voters. Any other member asks the
        delegates and the rest of its cell, and the voters if nothing was dated recently.
        """
        me, delegates = self.place.name, self.duty.delegates(self._now)
        others = [name for name in delegates if name != me]
        voters = [name for name in self.collectors if name != me]
        if me in delegates:
            return voters[:2] + others + voters[2:]
        others += [name for name in self.duty.ranks if name != me and name not in others and self._alive(name)]
        stale = self._now - self._entry_dates().at > MAX_DATE_AGE_NS
        return others + voters if stale or not others else others

    def _leader(self) -> str:
        return self.council.leader if self.council is not None else self.follower.leader if self.follower else ""

    # ---- reports: from members to delegates, on to voters, on to the leader

    def _report(self, now: int) -> None:
        summary = self.gauge.summary(now, self.controller(), self.plan.epoch if self.plan is not None else 0)
        period = self.place.pace.period
        report = MemberReport(
            summary, tuple(self.members.reachability.counts_since(now, now - REACHABILITY_PERIODS * period, period))
        )
        self.duty.member_reported(now, self.place.name, report)
        for name in self.duty.delegates(now):
            if name != self.place.name:
                self._actions.append(Send(name, report))

    def _report_cell(self, now: int) -> None:
        found = self.duty.make_report(now, {name: int(member.life) for name, member in self.members.members.items()})
        if found is None:
            return
        to, report = found
        if to == self.place.name:
            self.facts.update(now, report)
        else:
            self._actions.append(Send(to, report))
        resign = self.duty.resign_if_unheard(now)
        if resign is not None:
            self._actions.append(Note("delegate resigns", (("cell", self.place.cells.cell.key),)))
            self._actions.extend(Send(name, resign) for name in self.place.cells.cell.names if name != self.place.name)

    def _cell_report_received(self, now: int, sender: str, report: CellReport) -> None:
        """Handle a cell's report from one of its delegates, if this gateway is a voter."""
        # only a few reporters are kept for each cell: those of other cells would displace its own delegates
        cell = self.place.cells.numbers.get(sender)
        if self.council is None or report.by != sender or cell != (report.zone, report.cell):
            return
        if self.facts.update(now, report):
            self._actions.append(Send(sender, Heard(report.number)))

    def _forward_cell_reports(self, now: int) -> None:
        """Forward the cell reports that arrived since the last time to the leader."""
        leader = self._leader()
        for batch in self.facts.take_new(now):
            if leader in self.place.voters and leader != self.place.name:
                self._actions.append(Send(leader, batch))

    def _ask_for_age(self, now: int) -> None:
        """Ask the leader for the age of this voter's entries: they may have been delayed in a socket buffer."""
        council = self.council
        assert council is not None
        if council.leader in ("", self.place.name) or now < self.next_age_query_at:
            return
        self.next_age_query_at = now + SECOND // 2
        ask = self._questions.ask(now, council.leader)
        self._actions.append(Send(council.leader, agreed.Since(council.applied, ask)))

    # ---- leading

    def _lead(self, now: int) -> None:
        council = self.council
        assert council is not None
        if not council.lease(now):
            if council.leader != self.place.name:
                self.planner = None
            return
        if self.planner is None:
            self.planner = Planner(self.place.terms, now)
            if self.plan is not None:
                self.planner.committed(now, self.plan)
                self.renewed_at = now - self.plan.holds  # the time without a leader counts: renew at once
        if council.commit < council.last or self._pending_entries:
            return  # the next proposal depends on the last one
        if self.plan is not None and now - self.renewed_at >= self.plan.holds // RENEWALS_PER_PLAN:
            if council.propose(now, ENTRY_CODEC.body(Renewed(self.plan.epoch))) is not None:
                self.renewed_at = now
            return
        if now - self.planner.started_at < 2 * REPORT_INTERVAL_NS or now < self.plan_at:
            return  # reports have to arrive first, and they are not evaluated with each message
        self.plan_at = now + FORWARD_INTERVAL_NS
        plan = self.planner.next_plan(now, self.plan, self.planner_input(now), self.facts.oldest_epochs(now))
        if plan is not None:
            reason = plan_error(self.place.terms, self.plan, plan)
            if reason is not None:
                self._actions.append(Note("plan not proposed", (("why", reason),)))
            elif council.propose(now, ENTRY_CODEC.body(plan)) is not None:
                self.renewed_at = now

    def planner_input(self, now: int) -> PlannerInput:
        """Return the planner's view of the zones.

        A zone counts as lost if no report of its cells arrives and other gateways do not reach it either: by this
        gateway's own contacts there, or by the probes of all other zones' cells. With one faulty delegate, voter or
        link the zone is still heard by another route. A zone does not count as lost soon after a stall of this
        process, which may just not have received anything.
        """
        standings = self.members.reachability.zone_states(now)
        silence_limit = ZONE_SILENT_PERIODS * max(REPORT_INTERVAL_NS, self.place.pace.period)
        unreached = self.facts.unreachable(now)
        silent = [
            zone != self.zone
            and now - self.members.stalled_at > silence_limit
            and self.facts.silence(now, zone) > silence_limit
            and (seen is Seen.SILENT or unreached[zone] or self._zone_dead(zone))
            for zone, seen in enumerate(standings)
        ]
        return PlannerInput(self.facts.demand(now), self.facts.rooms(now), self.facts.path_healths(now), silent)

    def _zone_dead(self, zone: int) -> bool:
        """Whether a zone is lost by the member states: none of its known gateways is alive and half of them are dead.
        (To wait until the last of fifty suspicions ended took twice as long; a zone that lives refutes the first
        ones.)
        """
        lives = [member.life for member in self.members.members.values() if member.zone == zone]
        return (
            bool(lives)
            and all(life is not swim.Life.ALIVE for life in lives)
            and 2 * sum(life >= swim.Life.DEAD for life in lives) >= len(lives)
        )

    # ---- committed entries

    def applied(self, now: int, order: Apply | Restore) -> None:
        """Apply a committed entry or snapshot; all earlier actions are complete."""
        self._pending_entries -= 1
        if isinstance(order, Restore):
            data, index = order.snapshot.data, order.snapshot.index
            kind = Kind.DATA
        else:
            data, index, kind = order.entry.data, order.index, order.entry.kind
        if kind is Kind.DATA and data:
            try:
                self._adopt_entry(now, index, ENTRY_CODEC.read(data), isinstance(order, Restore))
            except BadFrame as error:
                self._actions.append(Note("entry not read", (("index", index), ("text", str(error)))))
        core = self.council or self.follower
        assert core is not None
        if core.wants_snapshot and not self._pending_entries:
            # the core counts entries as applied once it has handed them out: a snapshot made while some still wait
            # would pair an older plan with a newer index, and its receiver would follow that plan
            core.compact(ENTRY_CODEC.body(self.plan) if self.plan is not None else b"")
        self._update(now)

    def _adopt_entry(self, now: int, index: int, content: object, from_snapshot: bool) -> None:
        if isinstance(content, Renewed):
            if self.plan is not None and content.epoch == self.plan.epoch:
                self.plan_index = index
            return
        assert isinstance(content, Plan)
        reason = None if from_snapshot else plan_error(self.place.terms, self.plan, content)
        if reason is not None:
            self._actions.append(Note("plan refused", (("epoch", content.epoch), ("why", reason))))
            return
        if self.plan is not None and content.epoch <= self.plan.epoch:
            return
        self.plan, self.plan_index = content, index
        self.epochs += 1
        self.histories = [*self.histories[-63:], (index, content.epoch)]
        self.book.adopt(content)
        if self.planner is not None:
            self.planner.committed(now, content)
        fields: list[tuple[str, str | int]] = [("epoch", content.epoch), ("index", index)]
        fields += [
            (self.place.zones[z], f"{zone.standing.name.lower()} {zone.part:.2f}")
            for z, zone in enumerate(content.zones)
        ]
        self._actions.append(Note("plan", tuple(fields)))
        kb = ";".join(
            " ".join(f"{max(cap, owed):.0f}" for cap, owed in zip(zone.caps, zone.outstanding, strict=True))
            for zone in content.zones
        )
        self._actions.append(Note("caps", (("epoch", content.epoch), ("kb", kb))))

    def _entry_dates(self) -> Dates:
        core = self.council or self.follower
        assert core is not None
        return core.dates

    def _update(self, now: int) -> None:
        """Collect new actions and update the ways of this front; called after each event."""
        self._collect_actions(now)
        dates = self._entry_dates()
        if self.plan is not None and not self._pending_entries and dates.index >= self.plan_index:
            # a date of an entry that is not applied yet says nothing about the current plan
            self.book.confirm(dates.at)
        basis = (self.plan.epoch if self.plan is not None else 0, self.book.strength(now))
        if basis != self._ways_basis:
            self._ways_basis = basis
            ways = self.book.ways(now)
            if ways != self.ways:
                self.ways = ways
                self._actions.append(Act(ways))
        self.ways_change_at = self.book.next_change(now)

    def _log_zone_states(self, now: int) -> None:
        """Log changes of the zones' reachability. Done once per report and not with each message: the leader of 250
        gateways gets 250 messages a second, and the matrix is computed from as many rows.
        """
        standings = tuple(self.members.reachability.zone_states(now))
        if standings != self._zone_states:
            if self._zone_states:
                self._actions.append(
                    Note(
                        "zones seen", tuple((self.place.zones[z], one.name.lower()) for z, one in enumerate(standings))
                    )
                )
            self._zone_states = standings

    def leave(self, now: int) -> None:
        """Announce a planned end."""
        self.members.leave(now)
        self._update(now)
