"""One gateway's part in what gateways decide in common, without its sockets and disk.

Holds together who lives (membership.gateways), what was agreed (state.agreement) and what follows for this front
(control.zones). The I/O calls a method for each thing that happens and carries out `take`: at once what is Send, Line
and Act, in order and one after the other what is Durable. No session ever waits for any of it.
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
from ..membership.gateways.sight import Standing as Seen
from ..protocol.peers import BadFrame, Codec
from ..state.agreement import messages as agreed
from ..state.agreement.council import Apply, Beat, Council, Dates, Keep, Kept, Order, Restore, Say, Tell
from ..state.agreement.follow import Follower, Questions, date_from
from ..state.agreement.messages import Kind, Record
from .cells import REPORT, CellDuty, Heard, MemberReport, Resign, collectors
from .neighbours import WAITING
from .zones.check import wrong
from .zones.facts import MOST_COUNT, Gauge
from .zones.follow import PlanBook
from .zones.plan import CellReport, Gathered, Plan, Renewed, Terms
from .zones.planner import Planner, View
from .zones.rollup import CellFacts

SECOND = 1_000_000_000
GATHER = SECOND // 4  # ns between what a voter passes on of cells' reports to whoever leads
WATCH = 4  # periods of which a member tells whom it asked: after a loss all that it reached is out of them
QUIET = 6  # periods (of a second at least) in which no cell of a zone was heard before it may count as lost: a cut that
# heals sooner costs less than closing the zone and bringing it back in steps, which takes some ten
STALE = 6 * SECOND  # ns without a date after which a gateway asks the voters itself: a plan is renewed in a third of it
RENEW = 5  # a plan is renewed so many times while it holds: an election's time has to fit into what is left
ENTRIES = Codec({1: Plan, 2: Renewed})  # what an entry of the log holds
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
)  # 30 was a front's report to the leader


@dataclass(frozen=True, slots=True)
class CommonPlace:
    """What a gateway has to know of the others: its cell, contacts, watchers, and the voters with their zones' numbers.
    Of the rest of the site it holds no names."""

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
        """The place of the gateway of that name in a site of these cells. KeyError for a name that is not of the
        site."""
        votes = name in voters
        return cls(
            name, cells.place(name, votes), zones, {voter: cells.roster[voter] for voter in voters}, terms, pace, beat
        )

    def peers(self) -> set[str]:
        """Everybody who may speak to this gateway, or be spoken to."""
        return {*self.cells.cell.names, *self.cells.contacts, *self.cells.watchers, *self.voters} - {self.name}


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a gateway; it may be lost."""

    to: str
    message: object


@dataclass(frozen=True, slots=True)
class Write:
    """Keep these records, all in place of what was there where `anew`; what follows waits."""

    records: tuple[Record, ...]
    anew: bool


@dataclass(frozen=True, slots=True)
class Done:
    """Call `common.applied` with this."""

    order: Apply | Restore


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


@dataclass(frozen=True, slots=True)
class Act:
    """What this front may do from now on."""

    ways: Ways


Immediate = Send | Note | Act
Durable = Send | Write | Done | Note


class Common:
    """One gateway's part. `kept` is what its shelf held, None for a gateway that does not vote. `unix_ms`, the date,
    makes this life's numbers greater than those of lives before; nothing depends on its being right."""

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
        self.collectors = collectors(
            place.name, self.zone, place.cells.cell.key, place.voters, place.terms.prices[self.zone]
        )
        self.duty = CellDuty(
            place.name,
            place.cells,
            place.terms,
            self.collectors,
            unix_ms,
            self._alive,
            now + int(self.random.random() * REPORT),
        )
        self._now = now
        self.council: Council | None = None
        self.follower: Follower | None = None
        if kept is not None:
            self.council = Council(
                place.name, tuple(place.voters), kept, place.beat, self.random.getrandbits(62), now, trusted
            )
        else:
            self.follower = Follower(self._sources, self.random.getrandbits(62), now)
        self.facts = CellFacts(place.cells.sizes, place.terms)  # a voter's
        self.planner: Planner | None = None
        self.book = PlanBook(place.terms, self.zone)
        self.plan: Plan | None = None
        self.plan_index = 0
        self.renewed_at = now
        self.report_at = now + int(self.random.random() * REPORT)
        self.gather_at = now + int(self.random.random() * GATHER)
        self.plan_at = now
        self.spread_at = now
        self.date_at = now  # a voter's next question for ages
        self._questions = Questions(self.random.getrandbits(31))
        self.ways: Ways | None = None
        self._followed: tuple[int, float] | None = None  # what `ways` was made of: epoch and strength
        self.ways_at: int | None = now
        self.epochs = 0
        self.histories: list[tuple[int, int]] = []  # (index, epoch) of the last plans taken up
        self._out: list[Immediate] = []
        self._durable: list[Durable] = []
        self._standings: tuple[Seen, ...] = ()
        self._waits = 0  # committed entries that wait for the disk before they are taken up

    # ---- orders

    def take(self) -> list[Immediate]:
        """What is to be done at once."""
        out, self._out = self._out, []
        return out

    def take_durable(self) -> list[Durable]:
        """What is to be done one after another, each when the one before is."""
        out, self._durable = self._durable, []
        return out

    @property
    def stuck(self) -> bool:
        """Whether the disk takes so little that the voter has to count as dead: it hears no other voter and says
        nothing of its own, so that what waits stays bounded."""
        return len(self._durable) >= WAITING

    def _gather(self, now: int) -> None:
        while actions := self.members.take():
            self._take_swim(now, actions)
        core = self.council or self.follower
        assert core is not None
        for order in core.take():
            self._order(order)

    def _take_swim(self, now: int, actions: Sequence[SwimSay | Changed | Stood]) -> None:
        for action in actions:
            if isinstance(action, SwimSay):
                self._out.append(Send(action.to, action.message))
            elif isinstance(action, Changed):
                self._out.append(
                    Note(
                        "gateway " + action.life.name.lower(),
                        (("gateway", action.name), ("seen", "first-hand" if action.first else "told")),
                    )
                )
                if action.life is swim.Life.DEAD or action.first and action.life is swim.Life.SUSPECT:
                    self._spread(now, action.name)
            else:
                assert isinstance(action, Stood)
                self._out.append(Note("stood still", (("ms", action.ns // 1_000_000),)))

    def _spread(self, now: int, name: str) -> None:
        """A delegate that suspects a member of its cell, or learns of its death, tells all of the cell: by turns it
        took some seconds more until enough shared the suspicion, and three until the last knew of the death. However
        many die, not more than once a second."""
        if name in self.place.cells.cell.names and now >= self.spread_at and self.duty.serves(now):
            self.spread_at = now + SECOND
            self.members.tell(now, [other for other in self.place.cells.cell.names if self._alive(other)], name)

    def _order(self, order: Order) -> None:
        if isinstance(order, Say):
            self._durable.append(Send(order.to, order.message))
        elif isinstance(order, Keep):
            self._durable.append(Write(order.records, order.anew))
        elif isinstance(order, Tell):
            self._durable.append(Note(order.event, order.fields))
        else:
            self._waits += 1
            self._durable.append(Done(order))

    # ---- hearing

    def hear(self, now: int, sender: str, message: object) -> None:
        """A message of a gateway of the roster. Numbers that no life could have counted to are passed over: one more
        than them would fit into no frame, and who took them over would be understood by nobody from then on."""
        if getattr(message, "term", 0) >= MOST_COUNT or getattr(message, "incarnation", 0) >= MOST_COUNT:
            return
        self._now = now
        if isinstance(message, swim.Ping | swim.Ack | swim.Look | swim.Nothing):
            self.members.hear(now, sender, message)
        elif isinstance(message, MemberReport):
            self.duty.reported(now, sender, message)
        elif isinstance(message, CellReport):
            self._collect(now, sender, message)
        elif isinstance(message, Gathered):
            if sender in self.place.voters:
                for report, lay in message.reports:
                    self.facts.learn(now, report, lay)
        elif isinstance(message, Heard):
            self.duty.heard(now, sender, message)
        elif isinstance(message, Resign):
            self.duty.resigned(now, sender, message)
        elif isinstance(message, agreed.Message):
            if self.council is not None and isinstance(message, agreed.News):
                asked = self._questions.answered(sender, message.ask)
                if asked is not None:
                    date_from(self.council.dates, asked, self.council.applied, message)
            elif self.council is not None:
                if not self.stuck:
                    self.council.hear(now, sender, message)
            else:
                assert self.follower is not None
                self.follower.hear(now, sender, message)
        self._after(now)

    # ---- time

    def next_wake(self) -> int:
        core = self.council or self.follower
        assert core is not None
        times = [
            self.members.next_wake(),
            self.report_at,
            self.duty.report_at,
            *([] if self.stuck else [core.next_wake()]),
        ]
        if self.council is not None:
            times.append(self.gather_at)
        if self.ways_at is not None:
            times.append(self.ways_at)
        return min(times)

    def wake(self, now: int) -> None:
        """Time has passed."""
        self._now = now
        if now >= self.members.next_wake():
            self.members.wake(now)
        core = self.council or self.follower
        assert core is not None
        if now >= core.next_wake() and not self.stuck:
            core.wake(now)
        if now >= self.report_at:
            self.report_at = now + REPORT * 3 // 4 + int(self.random.random() * REPORT / 2)
            self._report(now)
            self._look(now)
        if now >= self.duty.report_at:
            self._report_cell(now)
        for name in self.duty.missed(now):
            self.members.doubt(name)
        if self.council is not None and now >= self.gather_at:
            self.gather_at = now + GATHER
            self._gather_cells(now)
        if self.council is not None:
            self._dates(now)
            self._lead(now)
        self._after(now)

    def _alive(self, name: str) -> bool:
        member = self.members.members.get(name)
        return member is not None and member.life is swim.Life.ALIVE

    def _sources(self) -> list[str]:
        """Whom to ask for news, best first: a delegate asks its collectors, the cell's other delegate, then the rest of
        the voters; everybody else the delegates and others of the cell, and the voters where nothing was dated of
        late."""
        me, delegates = self.place.name, self.duty.delegates(self._now)
        others = [name for name in delegates if name != me]
        voters = [name for name in self.collectors if name != me]
        if me in delegates:
            return voters[:2] + others + voters[2:]
        others += [name for name in self.duty.ranks if name != me and name not in others and self._alive(name)]
        stale = self._now - self._dated().at > STALE
        return others + voters if stale or not others else others

    def _leader(self) -> str:
        return self.council.leader if self.council is not None else self.follower.leader if self.follower else ""

    # ---- reports: from members to delegates, from these to voters, from these to whoever leads

    def _report(self, now: int) -> None:
        summary = self.gauge.summary(now, self.controller(), self.plan.epoch if self.plan is not None else 0)
        period = self.place.pace.period
        report = MemberReport(summary, tuple(self.members.sight.lately(now, now - WATCH * period, period)))
        self.duty.reported(now, self.place.name, report)
        for name in self.duty.delegates(now):
            if name != self.place.name:
                self._out.append(Send(name, report))

    def _report_cell(self, now: int) -> None:
        found = self.duty.report(now, {name: int(member.life) for name, member in self.members.members.items()})
        if found is None:
            return
        to, report = found
        if to == self.place.name:
            self.facts.learn(now, report)
        else:
            self._out.append(Send(to, report))
        resign = self.duty.resigns(now)
        if resign is not None:
            self._out.append(Note("delegate resigns", (("cell", self.place.cells.cell.key),)))
            self._out.extend(Send(name, resign) for name in self.place.cells.cell.names if name != self.place.name)

    def _collect(self, now: int, sender: str, report: CellReport) -> None:
        """A cell's report by one of its delegates, where this gateway votes."""
        # one of another cell would push out what this cell's own delegates say: of these only a few are kept
        cell = self.place.cells.numbers.get(sender)
        if self.council is None or report.by != sender or cell != (report.zone, report.cell):
            return
        if self.facts.learn(now, report):
            self._out.append(Send(sender, Heard(report.number)))

    def _gather_cells(self, now: int) -> None:
        """Pass on to whoever leads what cells told since the last time."""
        leader = self._leader()
        for gathered in self.facts.gather(now):
            if leader in self.place.voters and leader != self.place.name:
                self._out.append(Send(leader, gathered))

    def _dates(self, now: int) -> None:
        """A voter that does not lead asks who does for the age of what it has: its log may have lain in a socket."""
        council = self.council
        assert council is not None
        if council.leader in ("", self.place.name) or now < self.date_at:
            return
        self.date_at = now + SECOND // 2
        ask = self._questions.ask(now, council.leader)
        self._out.append(Send(council.leader, agreed.Since(council.applied, ask)))

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
                self.renewed_at = now - self.plan.holds  # the time without a leader was taken from it
        if council.commit < council.last or self._waits:
            return  # what was proposed last decides what is next
        if self.plan is not None and now - self.renewed_at >= self.plan.holds // RENEW:
            if council.propose(now, ENTRIES.body(Renewed(self.plan.epoch))) is not None:
                self.renewed_at = now
            return
        if now - self.planner.begun < 2 * REPORT or now < self.plan_at:
            return  # reports have to come in first; and what they say together is not read with each message
        self.plan_at = now + GATHER
        plan = self.planner.next(now, self.plan, self.view(now), self.facts.epochs(now))
        if plan is not None:
            reason = wrong(self.place.terms, self.plan, plan)
            if reason is not None:
                self._out.append(Note("plan not proposed", (("why", reason),)))
            elif council.propose(now, ENTRIES.body(plan)) is not None:
                self.renewed_at = now

    def view(self, now: int) -> View:
        """What is known of the zones, for a plan. A zone is lost when its cells are silent to the council and to
        others: by this gateway's own contacts there, or by the questions of all other zones' cells. One bad delegate,
        voter or link leaves other ways to be heard by. Nor is it while this process may only not have listened."""
        standings = self.members.sight.standings(now)
        quiet = QUIET * max(REPORT, self.place.pace.period)
        unreached = self.facts.unreached(now)
        silent = [
            zone != self.zone
            and now - self.members.stood > quiet
            and self.facts.silent(now, zone) > quiet
            and (seen is Seen.SILENT or unreached[zone] or self._gone(zone))
            for zone, seen in enumerate(standings)
        ]
        return View(self.facts.demand(now), self.facts.rooms(now), self.facts.ways(now), silent)

    def _gone(self, zone: int) -> bool:
        """Whether a zone is lost by what is held of its gateways: nobody there is well, and half of them are dead. (To
        wait for the last suspicion of fifty to end took twice as long; a zone that lives refutes the first ones.)"""
        lives = [member.life for member in self.members.members.values() if member.zone == zone]
        return (
            bool(lives)
            and all(life is not swim.Life.ALIVE for life in lives)
            and 2 * sum(life >= swim.Life.DEAD for life in lives) >= len(lives)
        )

    # ---- what was agreed

    def applied(self, now: int, order: Apply | Restore) -> None:
        """An entry is committed, and all before it is done."""
        self._waits -= 1
        if isinstance(order, Restore):
            data, index = order.snapshot.data, order.snapshot.index
            kind = Kind.DATA
        else:
            data, index, kind = order.entry.data, order.index, order.entry.kind
        if kind is Kind.DATA and data:
            try:
                self._take(now, index, ENTRIES.read(data), isinstance(order, Restore))
            except BadFrame as error:
                self._out.append(Note("entry not read", (("index", index), ("text", str(error)))))
        core = self.council or self.follower
        assert core is not None
        if core.wants_snapshot and not self._waits:
            # the core counts as applied what it handed out: a snapshot made while some of that still waits would say
            # of an older plan that it stands at a newer index, and whoever took it over would follow that
            core.compact(ENTRIES.body(self.plan) if self.plan is not None else b"")
        self._after(now)

    def _take(self, now: int, index: int, found: object, whole: bool) -> None:
        if isinstance(found, Renewed):
            if self.plan is not None and found.epoch == self.plan.epoch:
                self.plan_index = index
            return
        assert isinstance(found, Plan)
        reason = None if whole else wrong(self.place.terms, self.plan, found)
        if reason is not None:
            self._out.append(Note("plan refused", (("epoch", found.epoch), ("why", reason))))
            return
        if self.plan is not None and found.epoch <= self.plan.epoch:
            return
        self.plan, self.plan_index = found, index
        self.epochs += 1
        self.histories = [*self.histories[-63:], (index, found.epoch)]
        self.book.take(found)
        if self.planner is not None:
            self.planner.committed(now, found)
        fields: list[tuple[str, str | int]] = [("epoch", found.epoch), ("index", index)]
        fields += [
            (self.place.zones[z], f"{zone.standing.name.lower()} {zone.part:.2f}") for z, zone in enumerate(found.zones)
        ]
        self._out.append(Note("plan", tuple(fields)))
        kb = ";".join(
            " ".join(f"{max(cap, owed):.0f}" for cap, owed in zip(zone.caps, zone.owed, strict=True))
            for zone in found.zones
        )
        self._out.append(Note("caps", (("epoch", found.epoch), ("kb", kb))))

    def _dated(self) -> Dates:
        core = self.council or self.follower
        assert core is not None
        return core.dates

    def _after(self, now: int) -> None:
        """See to what followed from anything that happened."""
        self._gather(now)
        dates = self._dated()
        if self.plan is not None and not self._waits and dates.index >= self.plan_index:
            # (a date of an entry that waits to be taken up says nothing of the plan before it)
            self.book.dated(dates.at)
        followed = (self.plan.epoch if self.plan is not None else 0, self.book.strength(now))
        if followed != self._followed:
            self._followed = followed
            ways = self.book.ways(now)
            if ways != self.ways:
                self.ways = ways
                self._out.append(Act(ways))
        self.ways_at = self.book.next_change(now)

    def _look(self, now: int) -> None:
        """Tell when zones are seen otherwise than before. Once a report and not with each message: a leader of 250
        hears as many a second, and the matrix is read from as many rows."""
        standings = tuple(self.members.sight.standings(now))
        if standings != self._standings:
            if self._standings:
                self._out.append(
                    Note(
                        "zones seen", tuple((self.place.zones[z], one.name.lower()) for z, one in enumerate(standings))
                    )
                )
            self._standings = standings

    def leave(self, now: int) -> None:
        """A planned end."""
        self.members.leave(now)
        self._after(now)
