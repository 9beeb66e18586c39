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
from ..interface import ZoneAllocation
from ..membership.gateways import messages as swim
from ..membership.gateways.cells import CellMap, CellPlace
from ..membership.gateways.members import Membership, ProbeTiming, Stalled, StateChanged
from ..membership.gateways.members import SendMessage as SwimSendMessage
from ..membership.gateways.reachability import ZoneReachability as Seen
from ..protocol.peers import Codec, FrameError
from ..state.agreement import messages as agreed
from ..state.agreement.learner import Learner, PendingRequests, record_age
from ..state.agreement.messages import EntryKind, Record
from ..state.agreement.replica import (
    Apply,
    ElectionTiming,
    Persist,
    PersistentState,
    ProposalTime,
    Replica,
    ReplicaAction,
    ReplicaLogLine,
    Restore,
    SendMessage,
)
from .cells import REPORT_INTERVAL_NS, DelegateResignation, DelegateRole, MemberReport, ReportAck, rank_collectors
from .peer_limits import MAX_PENDING_WRITES
from .zones.check import plan_error
from .zones.facts import MAX_COUNT, Gauge
from .zones.follow import ActivePlan
from .zones.plan import CellReport, CellReportBatch, Plan, Renewed, Terms
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
MESSAGE_CODEC = Codec(
    {
        1: swim.Ping,
        2: swim.Ack,
        3: swim.PingRequest,
        4: swim.Nack,
        10: agreed.RequestVote,
        11: agreed.VoteReply,
        12: agreed.AppendEntries,
        13: agreed.InstallSnapshot,
        14: agreed.AppendReply,
        15: agreed.RecoveryRequest,
        16: agreed.RecoveryReply,
        17: agreed.FetchRequest,
        18: agreed.FetchReply,
        19: agreed.CommitHint,
        31: MemberReport,
        32: CellReport,
        33: CellReportBatch,
        34: ReportAck,
        35: DelegateResignation,
    }
)  # 30 was a front's report to the leader; do not reuse it


@dataclass(frozen=True, slots=True)
class CoordinatorConfig:
    """What a gateway knows of the others: its cell, contacts, watchers, and the voters with the numbers of their zones.
    It knows no other names of the site.
    """

    name: str
    cells: CellPlace
    zones: tuple[str, ...]
    voters: Mapping[str, int]
    terms: Terms
    pace: ProbeTiming = ProbeTiming()
    beat: ElectionTiming = ElectionTiming()

    @classmethod
    def of(
        cls,
        name: str,
        cells: CellMap,
        zones: tuple[str, ...],
        voters: Sequence[str],
        terms: Terms,
        pace: ProbeTiming = ProbeTiming(),  # noqa: B008 - frozen
        beat: ElectionTiming = ElectionTiming(),  # noqa: B008 - frozen
    ) -> CoordinatorConfig:
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
    replace_all: bool


@dataclass(frozen=True, slots=True)
class NotifyApplied:
    """Action: call `applied` with this."""

    order: Apply | Restore


@dataclass(frozen=True, slots=True)
class LogLine:
    """Action: write a log event."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


@dataclass(frozen=True, slots=True)
class ApplyZoneAllocation:
    """Action: these ways apply to this front from now on."""

    allocation: ZoneAllocation


Immediate = Send | LogLine | ApplyZoneAllocation
Durable = Send | Write | NotifyApplied | LogLine


class Coordinator:
    """Coordination of one gateway with the others.

    `kept` is the content of a voter's log store, None for a gateway that is no voter. `unix_ms`, the date, makes the
    numbers of this life greater than those of earlier lives; nothing else depends on its being right.
    """

    def __init__(
        self,
        place: CoordinatorConfig,
        gauge: Gauge,
        controller: Callable[[], Controller],
        kept: PersistentState | None,
        seed: int,
        now: int,
        unix_ms: int,
        trusted: bool = False,
    ) -> None:
        self.place, self.gauge, self.controller = place, gauge, controller
        self.zone = place.cells.zone
        self.random = random.Random(seed)
        self.members = Membership(
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
        self.delegate_role = DelegateRole(
            place.name,
            place.cells,
            place.terms,
            self.collectors,
            unix_ms,
            self._alive,
            now + int(self.random.random() * REPORT_INTERVAL_NS),
        )
        self._now = now
        self.council: Replica | None = None
        self.follower: Learner | None = None
        if kept is not None:
            self.council = Replica(
                place.name, tuple(place.voters), kept, place.beat, self.random.getrandbits(62), now, trusted
            )
        else:
            self.follower = Learner(self._news_sources, self.random.getrandbits(62), now)
        self.cell_reports = CellReportTable(place.cells.sizes, place.terms)  # used at a voter
        self.planner: Planner | None = None
        self.active_plan = ActivePlan(place.terms, self.zone)
        self.plan: Plan | None = None
        self.plan_index = 0
        self.renewed_at = now
        self.report_at = now + int(self.random.random() * REPORT_INTERVAL_NS)
        self.forward_at = now + int(self.random.random() * FORWARD_INTERVAL_NS)
        self.plan_at = now
        self.next_broadcast_at = now
        self.next_age_query_at = now  # when a voter next asks the leader for the age of its entries
        self._questions = PendingRequests(self.random.getrandbits(31))
        self.allocation: ZoneAllocation | None = None
        self._allocation_basis: tuple[int, float] | None = None  # (epoch, strength) that `ways` was derived from
        self.allocation_change_at: int | None = now
        self.epochs = 0
        self.histories: list[tuple[int, int]] = []  # (index, epoch) of the last plans adopted
        self._actions: list[Immediate] = []
        self._durable_actions: list[Durable] = []
        self._zone_states: tuple[Seen, ...] = ()
        self._pending_entries = 0  # committed entries that wait for the disk before they are applied

    # ---- actions

    def take_actions(self) -> list[Immediate]:
        """Return the pending actions to carry out at once."""
        out, self._actions = self._actions, []
        return out

    def take_durable_actions(self) -> list[Durable]:
        """Return the pending actions to carry out in order, each after the one before is complete."""
        out, self._durable_actions = self._durable_actions, []
        return out

    @property
    def disk_behind(self) -> bool:
        """Whether the disk is so far behind that this voter has to count as dead: it ignores other voters and sends
        them nothing, so that the pending actions stay bounded.
        """
        return len(self._durable_actions) >= MAX_PENDING_WRITES

    def _collect_actions(self, now: int) -> None:
        while actions := self.members.take_actions():
            self._add_swim_actions(now, actions)
        core = self.council or self.follower
        assert core is not None
        for order in core.take():
            self._add_durable_action(order)

    def _add_swim_actions(self, now: int, actions: Sequence[SwimSendMessage | StateChanged | Stalled]) -> None:
        for action in actions:
            if isinstance(action, SwimSendMessage):
                self._actions.append(Send(action.to, action.message))
            elif isinstance(action, StateChanged):
                self._actions.append(
                    LogLine(
                        "gateway " + action.state.name.lower(),
                        (("gateway", action.name), ("seen", "first-hand" if action.first_hand else "told")),
                    )
                )
                if (
                    action.state is swim.MemberState.DEAD
                    or action.first_hand
                    and action.state is swim.MemberState.SUSPECT
                ):
                    self._broadcast_suspicion(now, action.name)
            else:
                assert isinstance(action, Stalled)
                self._actions.append(LogLine("stood still", (("ms", action.ns // 1_000_000),)))

    def _broadcast_suspicion(self, now: int, name: str) -> None:
        """Tell the whole cell, if this delegate suspects a member or learns of its death.

        With periodic probes alone it took some seconds more until enough members confirmed a suspicion, and three
        until the last one knew of a death. At most once a second, however many members die.
        """
        if (
            name in self.place.cells.cell.names
            and now >= self.next_broadcast_at
            and self.delegate_role.is_delegate(now)
        ):
            self.next_broadcast_at = now + SECOND
            self.members.disseminate_now(
                now, [other for other in self.place.cells.cell.names if self._alive(other)], name
            )

    def _add_durable_action(self, order: ReplicaAction) -> None:
        if isinstance(order, SendMessage):
            self._durable_actions.append(Send(order.to, order.message))
        elif isinstance(order, Persist):
            self._durable_actions.append(Write(order.records, order.replace_all))
        elif isinstance(order, ReplicaLogLine):
            self._durable_actions.append(LogLine(order.event, order.fields))
        else:
            self._pending_entries += 1
            self._durable_actions.append(NotifyApplied(order))

    # ---- messages

    def hear(self, now: int, sender: str, message: object) -> None:
        """Handle a message of a gateway of the roster.

        Absurdly great terms and incarnations are ignored: the next number would not fit into a frame, and a gateway
        that adopted one could send no valid message any more.
        """
        if getattr(message, "term", 0) >= MAX_COUNT or getattr(message, "incarnation", 0) >= MAX_COUNT:
            return
        self._now = now
        if isinstance(message, swim.Ping | swim.Ack | swim.PingRequest | swim.Nack):
            self.members.hear(now, sender, message)
        elif isinstance(message, MemberReport):
            self.delegate_role.member_reported(now, sender, message)
        elif isinstance(message, CellReport):
            self._cell_report_received(now, sender, message)
        elif isinstance(message, CellReportBatch):
            if sender in self.place.voters:
                for report, lay in message.reports:
                    self.cell_reports.update(now, report, lay)
        elif isinstance(message, ReportAck):
            self.delegate_role.report_acked(now, sender, message)
        elif isinstance(message, DelegateResignation):
            self.delegate_role.delegate_resigned(now, sender, message)
        elif isinstance(message, agreed.Message):
            if self.council is not None and isinstance(message, agreed.FetchReply):
                asked = self._questions.complete(sender, message.request_id)
                if asked is not None:
                    record_age(self.council.proposal_time, asked, self.council.applied, message)
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
            self.delegate_role.report_at,
            *([] if self.disk_behind else [core.next_wake()]),
        ]
        if self.council is not None:
            times.append(self.forward_at)
        if self.allocation_change_at is not None:
            times.append(self.allocation_change_at)
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
        if now >= self.delegate_role.report_at:
            self._report_cell(now)
        for name in self.delegate_role.overdue_members(now):
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
        return member is not None and member.state is swim.MemberState.ALIVE

    def _news_sources(self) -> list[str]:
        """Return whom to ask for new log entries, best first.

        A delegate asks two collectors, the cell's other delegate, then the other voters. Any other member asks the
        delegates and the rest of its cell, and the voters if nothing was dated recently.
        """
        me, delegates = self.place.name, self.delegate_role.delegates(self._now)
        others = [name for name in delegates if name != me]
        voters = [name for name in self.collectors if name != me]
        if me in delegates:
            return voters[:2] + others + voters[2:]
        others += [name for name in self.delegate_role.ranks if name != me and name not in others and self._alive(name)]
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
        self.delegate_role.member_reported(now, self.place.name, report)
        for name in self.delegate_role.delegates(now):
            if name != self.place.name:
                self._actions.append(Send(name, report))

    def _report_cell(self, now: int) -> None:
        found = self.delegate_role.make_report(
            now, {name: int(member.state) for name, member in self.members.members.items()}
        )
        if found is None:
            return
        to, report = found
        if to == self.place.name:
            self.cell_reports.update(now, report)
        else:
            self._actions.append(Send(to, report))
        resign = self.delegate_role.resign_if_unheard(now)
        if resign is not None:
            self._actions.append(LogLine("delegate resigns", (("cell", self.place.cells.cell.key),)))
            self._actions.extend(Send(name, resign) for name in self.place.cells.cell.names if name != self.place.name)

    def _cell_report_received(self, now: int, sender: str, report: CellReport) -> None:
        """Handle a cell's report from one of its delegates, if this gateway is a voter."""
        # only a few reporters are kept for each cell: those of other cells would displace its own delegates
        cell = self.place.cells.numbers.get(sender)
        if self.council is None or report.by != sender or cell != (report.zone, report.cell):
            return
        if self.cell_reports.update(now, report):
            self._actions.append(Send(sender, ReportAck(report.number)))

    def _forward_cell_reports(self, now: int) -> None:
        """Forward the cell reports that arrived since the last time to the leader."""
        leader = self._leader()
        for batch in self.cell_reports.take_new(now):
            if leader in self.place.voters and leader != self.place.name:
                self._actions.append(Send(leader, batch))

    def _ask_for_age(self, now: int) -> None:
        """Ask the leader for the age of this voter's entries: they may have been delayed in a socket buffer."""
        council = self.council
        assert council is not None
        if council.leader in ("", self.place.name) or now < self.next_age_query_at:
            return
        self.next_age_query_at = now + SECOND // 2
        ask = self._questions.add(now, council.leader)
        self._actions.append(Send(council.leader, agreed.FetchRequest(council.applied, ask)))

    # ---- leading

    def _lead(self, now: int) -> None:
        council = self.council
        assert council is not None
        if not council.holds_lease(now):
            if council.leader != self.place.name:
                self.planner = None
            return
        if self.planner is None:
            self.planner = Planner(self.place.terms, now)
            if self.plan is not None:
                self.planner.committed(now, self.plan)
                self.renewed_at = now - self.plan.holds  # the time without a leader counts: renew at once
        if council.commit < council.last_index or self._pending_entries:
            return  # the next proposal depends on the last one
        if self.plan is not None and now - self.renewed_at >= self.plan.holds // RENEWALS_PER_PLAN:
            if council.propose(now, ENTRY_CODEC.body(Renewed(self.plan.epoch))) is not None:
                self.renewed_at = now
            return
        if now - self.planner.started_at < 2 * REPORT_INTERVAL_NS or now < self.plan_at:
            return  # reports have to arrive first, and they are not evaluated with each message
        self.plan_at = now + FORWARD_INTERVAL_NS
        plan = self.planner.next_plan(now, self.plan, self.planner_input(now), self.cell_reports.oldest_epochs(now))
        if plan is not None:
            reason = plan_error(self.place.terms, self.plan, plan)
            if reason is not None:
                self._actions.append(LogLine("plan not proposed", (("why", reason),)))
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
        unreached = self.cell_reports.unreachable(now)
        silent = [
            zone != self.zone
            and now - self.members.stalled_at > silence_limit
            and self.cell_reports.silence(now, zone) > silence_limit
            and (seen is Seen.SILENT or unreached[zone] or self._zone_dead(zone))
            for zone, seen in enumerate(standings)
        ]
        return PlannerInput(
            self.cell_reports.demand(now), self.cell_reports.rooms(now), self.cell_reports.path_healths(now), silent
        )

    def _zone_dead(self, zone: int) -> bool:
        """Whether a zone is lost by the member states: none of its known gateways is alive and half of them are dead.
        (To wait until the last of fifty suspicions ended took twice as long; a zone that lives refutes the first
        ones.)
        """
        lives = [member.state for member in self.members.members.values() if member.zone == zone]
        return (
            bool(lives)
            and all(life is not swim.MemberState.ALIVE for life in lives)
            and 2 * sum(life >= swim.MemberState.DEAD for life in lives) >= len(lives)
        )

    # ---- committed entries

    def applied(self, now: int, order: Apply | Restore) -> None:
        """Apply a committed entry or snapshot; all earlier actions are complete."""
        self._pending_entries -= 1
        if isinstance(order, Restore):
            data, index = order.snapshot.data, order.snapshot.index
            kind = EntryKind.DATA
        else:
            data, index, kind = order.entry.data, order.index, order.entry.kind
        if kind is EntryKind.DATA and data:
            try:
                self._adopt_entry(now, index, ENTRY_CODEC.read(data), isinstance(order, Restore))
            except FrameError as error:
                self._actions.append(LogLine("entry not read", (("index", index), ("text", str(error)))))
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
            self._actions.append(LogLine("plan refused", (("epoch", content.epoch), ("why", reason))))
            return
        if self.plan is not None and content.epoch <= self.plan.epoch:
            return
        self.plan, self.plan_index = content, index
        self.epochs += 1
        self.histories = [*self.histories[-63:], (index, content.epoch)]
        self.active_plan.adopt(content)
        if self.planner is not None:
            self.planner.committed(now, content)
        fields: list[tuple[str, str | int]] = [("epoch", content.epoch), ("index", index)]
        fields += [
            (self.place.zones[z], f"{zone.status.name.lower()} {zone.usable_ratio:.2f}")
            for z, zone in enumerate(content.zones)
        ]
        self._actions.append(LogLine("plan", tuple(fields)))
        kb = ";".join(
            " ".join(f"{max(cap, owed):.0f}" for cap, owed in zip(zone.caps, zone.outstanding, strict=True))
            for zone in content.zones
        )
        self._actions.append(LogLine("caps", (("epoch", content.epoch), ("kb", kb))))

    def _entry_dates(self) -> ProposalTime:
        core = self.council or self.follower
        assert core is not None
        return core.proposal_time

    def _update(self, now: int) -> None:
        """Collect new actions and update the ways of this front; called after each event."""
        self._collect_actions(now)
        dates = self._entry_dates()
        if self.plan is not None and not self._pending_entries and dates.index >= self.plan_index:
            # a date of an entry that is not applied yet says nothing about the current plan
            self.active_plan.confirm(dates.at)
        basis = (self.plan.epoch if self.plan is not None else 0, self.active_plan.strength(now))
        if basis != self._allocation_basis:
            self._allocation_basis = basis
            ways = self.active_plan.allocation(now)
            if ways != self.allocation:
                self.allocation = ways
                self._actions.append(ApplyZoneAllocation(ways))
        self.allocation_change_at = self.active_plan.next_change(now)

    def _log_zone_states(self, now: int) -> None:
        """Log changes of the zones' reachability. Done once per report and not with each message: the leader of 250
        gateways gets 250 messages a second, and the matrix is computed from as many rows.
        """
        standings = tuple(self.members.reachability.zone_states(now))
        if standings != self._zone_states:
            if self._zone_states:
                self._actions.append(
                    LogLine(
                        "zones seen", tuple((self.place.zones[z], one.name.lower()) for z, one in enumerate(standings))
                    )
                )
            self._zone_states = standings

    def leave(self, now: int) -> None:
        """Announce a planned end."""
        self.members.leave(now)
        self._update(now)
