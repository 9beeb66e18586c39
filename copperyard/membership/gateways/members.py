"""Failure detection and membership of the site's gateways.

SWIM (Das, Gupta, Motivala 2002): each gateway probes one other per period, asks others for indirect probes if it gets
no answer, and piggybacks what it finds on these messages, so that load and detection time do not grow with the fleet.
Lifeguard (Dadgar, Phillips, Currey 2018): a gateway that misses answers or stalled first assumes that it is slow itself
and waits longer; a suspicion is shorter the more gateways confirm it; a suspected member is told so at once.

Zones are an addition: one suspect causes the other members of its zone to be probed next, so that a lost zone is
detected in about the time of one lost gateway. Helpers for indirect probes are drawn from the own zone, the target's
zone and other zones. Dead members are still probed now and then, so that the halves of a partitioned site find each
other again. The possible members are those of the settings.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .messages import Ack, GossipUpdate, MemberState, Message, Nack, Ping, PingRequest
from .reachability import Reachability

SECOND = 1_000_000_000
MAX_LOCAL_HEALTH = 8  # greatest local health multiplier; each step lengthens all times by their base value
INDIRECT_PROBES = 3  # helpers asked for an indirect probe
SUSPICION_PERIODS = 3.0  # shortest suspicion, periods times the logarithm of the fleet
SUSPICION_MAX_FACTOR = 4.0  # an unconfirmed suspicion lasts so many times longer
MAX_CONFIRMATIONS = 3  # confirmations by others after which a suspicion is shortest
MAX_PIGGYBACK = 16  # updates on one message
DISSEMINATION_FACTOR = 4.0  # an update is sent so many times, times the logarithm of the fleet
MAX_ROWS = 3  # rows on one message, including the own one
MAX_URGENT_PROBES = 4  # extra probes in a period if a zone may be lost
# members told at once: of its zone by a gateway that suspects first-hand; of all by a suspected one
SUSPICION_FANOUT = 6
CONFIRMING_PROBERS = 6  # expected number of members that probe the suspect when they hear of a suspicion
DEAD_PROBE_PERIODS = 10  # one in so many periods probes a dead member
MAX_INCARNATION = 1 << 60  # no life reaches it; the next number would not fit into a frame
STALL_THRESHOLD_NS = 500_000_000  # a timer later than this counts as a stall of this process


@dataclass(frozen=True, slots=True)
class ProbeTiming:
    """Times in ns: the probe period, and how long an answer may take before indirect probes are requested."""

    period: int = SECOND
    timeout: int = SECOND * 2 // 5


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Action: send a message to a gateway; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Action: the state of a member changed. `first_hand`: this gateway detected it itself."""

    name: str
    state: MemberState
    first_hand: bool


@dataclass(frozen=True, slots=True)
class Stalled:
    """Action: this process stalled for `ns`: its probes of that time prove nothing."""

    ns: int


Action = SendMessage | StateChanged | Stalled


@dataclass(slots=True)
class Member:
    """What this gateway knows of another one."""

    name: str
    zone: int
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    state_since: int = 0
    suspicion_ends_at: int = 0
    suspectors: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    """A probe without an answer yet."""

    target: str
    sent_at: int
    indirect_at: int
    deadline: int
    helpers: tuple[str, ...] = ()
    nacks: set[str] = field(default_factory=set)  # helpers that got no answer either


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another gateway."""

    requester: str
    number: int
    nack_at: int
    deadline: int


class Membership:
    """One gateway's view of the membership.

    `roster` maps the gateways that it knows, including itself, to their zones: its cell and its contacts (cells.py).
    `watchers` are other gateways that have this one as a contact: their probes are answered, but no state of them is
    kept. `incarnation` has to be greater than in any earlier life (the date in ms is; if the clock was set back, the
    gateway refutes its old state with a greater incarnation).
    """

    def __init__(
        self,
        me: str,
        roster: Mapping[str, int],
        zones: int,
        pace: ProbeTiming,
        seed: int,
        now: int,
        incarnation: int,
        watchers: Mapping[str, int] | None = None,
    ) -> None:
        self.me, self.zone, self.pace = me, roster[me], pace
        self.watchers = watchers if watchers is not None else {}
        self.random = random.Random(seed)
        self.incarnation = incarnation
        self.members = {name: Member(name, zone, state_since=now) for name, zone in roster.items() if name != me}
        self.reachability = Reachability(me, dict(roster), zones)
        self.local_health = 0
        self.leaving = False
        self.stalled_at = now - 3600 * SECOND  # when this process last stalled
        self._number = 0
        self._suspects: dict[str, Member] = {}
        self._probes: dict[int, Probe] = {}
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._probe_order: list[str] = []
        self._urgent_targets: deque[str] = deque()
        self._urgent_left = 0
        self._period_count = 0
        self._next_period_at = now + int(self.random.random() * pace.period)
        self._updates: dict[str, list[int]] = {}  # by name: [transmissions left]; the content is the current state
        self._actions: list[Action] = []
        self.sent = self.sent_updates = 0

    # ---- interface

    def take_actions(self) -> list[Action]:
        """Return the pending actions in order and clear them."""
        out, self._actions = self._actions, []
        return out

    def living(self) -> list[str]:
        """Return the sorted names of alive and suspect members and this gateway."""
        return sorted([self.me, *(m.name for m in self.members.values() if m.state <= MemberState.SUSPECT)])

    def cut_off(self, now: int) -> bool:
        """Whether this gateway, perhaps with its zone, is isolated, by its own observations alone: nothing was heard
        recently from at least two other zones. A single lost zone would leave the rest. (Member states show this
        later: a gateway that gets no answers first assumes that it is slow itself.)
        """
        return now - self.stalled_at > self.reachability.window and self.reachability.cut_off(now)

    def next_wake(self) -> int:
        """Return when `wake` is due."""
        times = [
            self._next_period_at,
            *(p.deadline for p in self._probes.values()),
            *(p.indirect_at for p in self._probes.values() if not p.helpers),
            *(member.suspicion_ends_at for member in self._suspects.values()),
            *(e.nack_at for e in self._indirect_probes.values() if e.nack_at),
        ]
        return min(times)

    def probe_soon(self, name: str) -> None:
        """Probe a gateway soon because of some other sign that it may be dead."""
        member = self.members.get(name)
        if member is not None and member.state is not MemberState.DEAD and name not in self._urgent_targets:
            self._urgent_targets.append(name)

    def disseminate_now(self, now: int, names: Sequence[str], subject: str) -> None:
        """Probe all these gateways at once, so that the state of `subject` spreads with each of the probes."""
        for name in names:
            self._queue_update(subject)
            self._probe(now, name)

    def leave(self, now: int) -> None:
        """Announce a planned end to some members at once; they tell the others."""
        self.leaving = True
        self._queue_update(self.me)
        living = [m.name for m in self.members.values() if m.state is MemberState.ALIVE]
        for name in self.random.sample(living, min(len(living), INDIRECT_PROBES * 2)):
            self._probe(now, name)

    # ---- time

    def wake(self, now: int) -> None:
        """Handle all timers that are due."""
        due = self.next_wake()
        if now - due > STALL_THRESHOLD_NS:
            self._on_stall(now, now - due)
        for number, probe in list(self._probes.items()):
            if now >= probe.deadline:
                del self._probes[number]
                self._probe_failed(now, probe)
            elif now >= probe.indirect_at and not probe.helpers:
                self._probe_indirectly(now, number, probe)
        for number, request in list(self._indirect_probes.items()):
            if request.nack_at and now >= request.nack_at:
                request.nack_at = 0
                self._send(request.requester, Nack(request.number))
            if now >= request.deadline:
                del self._indirect_probes[number]
        for member in list(self._suspects.values()):
            if now >= member.suspicion_ends_at:
                self._set_state(now, member, MemberState.DEAD, member.incarnation, self.me)
        if now >= self._next_period_at and not self.leaving:
            self._next_period_at = now + self._scaled(self.pace.period)
            self._urgent_left = MAX_URGENT_PROBES
            self._start_period(now)
        while self._urgent_targets and self._urgent_left and not self.leaving:
            self._urgent_left -= 1
            self._probe(now, self._urgent_targets.popleft())

    def _on_stall(self, now: int, stall: int) -> None:
        """Handle a stall of this process: missing answers prove nothing about the others then, so the local health
        multiplier grows and each suspicion is extended by the time of the stall.
        """
        self._actions.append(Stalled(stall))
        self.stalled_at = now
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 2)
        self._probes.clear()
        self._indirect_probes.clear()
        for member in self._suspects.values():
            member.suspicion_ends_at = max(member.suspicion_ends_at, now) + stall
        self.reachability.drop_unanswered(now)

    def _scaled(self, duration: int) -> int:
        return duration * (1 + self.local_health)

    def _start_period(self, now: int) -> None:
        self._period_count += 1
        self.reachability.start_period(now, self.incarnation, self.pace.period)
        name = self._next_target()
        if name is not None:
            self._probe(now, name)

    def _next_target(self) -> str | None:
        """Return the next member to probe: in random order, each once before any is probed again."""
        if self._period_count % DEAD_PROBE_PERIODS == 0:
            dead = [m.name for m in self.members.values() if m.state > MemberState.SUSPECT]
            if dead:
                return self.random.choice(dead)
        for _ in range(2):
            while self._probe_order:
                member = self.members[self._probe_order.pop()]
                if member.state <= MemberState.SUSPECT:
                    return member.name
            self._probe_order = sorted(self.members)
            self.random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    # ---- probes

    def _probe(self, now: int, name: str) -> None:
        self._number += 1
        self._probes[self._number] = Probe(
            name, now, now + self._scaled(self.pace.timeout), now + self._scaled(self.pace.period)
        )
        self.reachability.probe_sent(now, name)
        self._send(
            name,
            Ping(
                self._number,
                self.incarnation,
                self._piggyback(name),
                self.reachability.rows_to_send(self.random, MAX_ROWS),
            ),
        )

    def _probe_indirectly(self, now: int, number: int, probe: Probe) -> None:
        target = self.members[probe.target]
        others = [m for m in self.members.values() if m.state is MemberState.ALIVE and m.name != target.name]
        self.random.shuffle(others)
        groups: list[list[Member]] = [
            [m for m in others if m.zone == self.zone],
            [m for m in others if m.zone == target.zone],
            [m for m in others if m.zone not in (self.zone, target.zone)],
        ]
        helpers = [side[0].name for side in groups if side]
        helpers += [m.name for m in others if m.name not in helpers][: max(0, INDIRECT_PROBES - len(helpers))]
        probe.helpers = tuple(dict.fromkeys(helpers)) or ("",)
        for helper in helpers:
            self._send(helper, PingRequest(number, probe.target, self._piggyback(helper)))

    def _probe_failed(self, now: int, probe: Probe) -> None:
        """Handle a probe without a direct or indirect answer.

        If no helper sent a nack, this gateway may itself be the cause. (An earlier version counted each silent helper.
        If a zone was lost, whose gateways are asked to help as well, all gateways took themselves for slow, and the
        loss was known to all only after two minutes.)
        """
        if not probe.nacks:
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        member = self.members[probe.target]
        if member.state is MemberState.ALIVE:
            self._set_state(now, member, MemberState.SUSPECT, member.incarnation, self.me)
        elif member.state is not MemberState.SUSPECT or not self._confirm_suspicion(member, self.me):
            return
        # with periodic probes alone it takes seconds until the suspecting members know of each other, which prolongs
        # the suspicion
        zone_peers = [
            other.name
            for other in self.members.values()
            if other.zone == self.zone == member.zone and other.state is MemberState.ALIVE
        ]
        self.disseminate_now(now, self.random.sample(zone_peers, min(len(zone_peers), SUSPICION_FANOUT)), member.name)

    def _confirm_suspicion(self, member: Member, by: str) -> bool:
        """Add a gateway that suspects the member first-hand; return whether it was new."""
        if by in member.suspectors or len(member.suspectors) > MAX_CONFIRMATIONS:
            return False
        member.suspectors.add(by)
        member.suspicion_ends_at = min(
            member.suspicion_ends_at, member.state_since + self._suspicion_timeout(len(member.suspectors) - 1)
        )
        self._queue_update(member.name)
        return True

    # ---- messages

    def hear(self, now: int, sender: str, message: Message) -> None:
        """Handle a message of a member or of a watcher."""
        member = self.members.get(sender)
        if member is None:
            self._hear_watcher(now, sender, message)
            return
        if isinstance(message, Ping | Ack | PingRequest):
            for update in message.updates:
                self._update_received(now, update)
        if isinstance(message, Ping | Ack):
            for row in message.rows:
                self.reachability.merge_row(now, row)
        if isinstance(message, Ping):
            self.reachability.heard_from(now, sender)
            # a sender with a new incarnation is alive, whatever the state of its earlier life
            if message.incarnation > member.incarnation:
                self._set_state(now, member, MemberState.ALIVE, message.incarnation, sender)
            self._send(
                sender,
                Ack(
                    message.number,
                    self.me,
                    self._piggyback(sender),
                    self.reachability.rows_to_send(self.random, MAX_ROWS),
                ),
            )
        elif isinstance(message, PingRequest):
            self._probe_for(now, sender, message)
        elif isinstance(message, Nack):
            probe = self._probes.get(message.number)
            if probe is not None and sender in probe.helpers:
                probe.nacks.add(sender)
        else:
            self._ack_received(now, sender, message)

    def _hear_watcher(self, now: int, sender: str, message: Message) -> None:
        """Handle a probe of a watcher: use its updates on known members and answer it; it also shows that its zone is
        reachable. Messages of unknown senders are ignored.
        """
        zone = self.watchers.get(sender)
        if zone is None or not isinstance(message, Ping | PingRequest):
            return
        for update in message.updates:
            self._update_received(now, update)
        if isinstance(message, PingRequest):
            self._probe_for(now, sender, message)
            return
        self.reachability.heard_from_watcher(now, zone)
        self._send(
            sender,
            Ack(
                message.number, self.me, self._piggyback(sender), self.reachability.rows_to_send(self.random, MAX_ROWS)
            ),
        )

    def _probe_for(self, now: int, sender: str, message: PingRequest) -> None:
        if message.target not in self.members:
            # the target is not known here; the nack tells the requester that its own link works
            self._send(sender, Nack(message.number))
            return
        if len(self._indirect_probes) > 2 * len(self.members):
            return
        self._number += 1
        self._indirect_probes[self._number] = IndirectProbe(
            sender, message.number, now + self.pace.timeout * 4 // 5, now + self.pace.period
        )
        self._send(message.target, Ping(self._number, self.incarnation, self._piggyback(message.target), ()))

    def _ack_received(self, now: int, sender: str, message: Ack) -> None:
        request = self._indirect_probes.pop(message.number, None)
        if request is not None and message.target == sender:
            self._send(request.requester, Ack(request.number, sender, (), ()))
            return
        probe = self._probes.get(message.number)
        if probe is None or probe.target != message.target:
            return
        del self._probes[message.number]
        if message.target == sender:
            self.reachability.probe_answered(now, sender, now - probe.sent_at > self.pace.timeout)
        self.local_health = max(0, self.local_health - 1)

    def _update_received(self, now: int, update: GossipUpdate) -> None:
        if update.name == self.me and update.incarnation < MAX_INCARNATION:
            refutable = update.state is not MemberState.ALIVE or update.incarnation > self.incarnation
            if refutable and update.incarnation >= self.incarnation and not self.leaving:
                # refute at once with a greater incarnation; others may suspect this gateway because it is slow
                self.incarnation = update.incarnation + 1
                self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
                peers = [member.name for member in self.members.values() if member.state is not MemberState.LEFT]
                self.disseminate_now(now, self.random.sample(peers, min(len(peers), SUSPICION_FANOUT)), self.me)
            return
        member = self.members.get(update.name)
        if member is None or not member.incarnation <= update.incarnation < MAX_INCARNATION:
            return
        newer = update.incarnation > member.incarnation
        if newer or update.state > member.state:
            self._set_state(now, member, update.state, update.incarnation, update.by)
            # a few of all members probe it themselves: right suspicions are confirmed and wrong ones refuted sooner
            if update.state is MemberState.SUSPECT and self.random.random() * len(self.members) < CONFIRMING_PROBERS:
                self.probe_soon(member.name)
        elif update.state is MemberState.SUSPECT and member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, update.by)

    def _set_state(self, now: int, member: Member, state: MemberState, incarnation: int, by: str) -> None:
        """Set the state of a member and queue it for dissemination."""
        changed = state is not member.state
        member.state, member.incarnation = state, incarnation
        if state is MemberState.SUSPECT:
            self._suspects[member.name] = member
        else:
            self._suspects.pop(member.name, None)
        if changed or state is MemberState.SUSPECT:
            member.state_since = now
            member.suspectors = {by}
        self._queue_update(member.name)
        if state is MemberState.SUSPECT:
            member.suspicion_ends_at = now + self._suspicion_timeout(0)
            for other in self.members.values():
                if (
                    other.zone == member.zone
                    and other.state is MemberState.ALIVE
                    and other.name not in self._urgent_targets
                    and other.zone != self.zone
                    and by == self.me
                ):
                    self._urgent_targets.append(other.name)
        if changed:
            self._actions.append(StateChanged(member.name, state, by == self.me))

    def _suspicion_timeout(self, confirmations: int) -> int:
        """Return how long a suspicion lasts that `confirmations` others confirm, ns."""
        shortest = SUSPICION_PERIODS * max(1.0, math.log10(len(self.members) + 1)) * self.pace.period
        longest = SUSPICION_MAX_FACTOR * shortest
        part = math.log(min(confirmations, MAX_CONFIRMATIONS) + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return self._scaled(int(max(shortest, longest - (longest - shortest) * part)))

    # ---- dissemination

    def _queue_update(self, name: str) -> None:
        times = math.ceil(DISSEMINATION_FACTOR * math.log10(len(self.members) + 2))
        self._updates[name] = [times]

    def _update_about(self, name: str) -> GossipUpdate:
        if name == self.me:
            return GossipUpdate(
                self.me, MemberState.LEFT if self.leaving else MemberState.ALIVE, self.incarnation, self.me
            )
        member = self.members[name]
        # a random one of several: always naming the same one made a suspicion by four members last as long as one by a
        # single member, since each member passed on only one of the suspecting members that it knew
        by = (
            self.me
            if self.me in member.suspectors or not member.suspectors
            else self.random.choice(sorted(member.suspectors))
        )
        return GossipUpdate(name, member.state, member.incarnation, by)

    def _piggyback(self, to: str) -> tuple[GossipUpdate, ...]:
        """Return the updates to send along: first the receiver's own state unless it is alive, then those sent least
        often.
        """
        names: list[str] = []
        member = self.members.get(to)
        if member is not None and member.state is not MemberState.ALIVE:
            names.append(to)
        waiting = sorted(self._updates, key=lambda name: -self._updates[name][0])
        names += [name for name in waiting if name not in names][: MAX_PIGGYBACK - len(names)]
        for name in names:
            left = self._updates.get(name)
            if left is not None:
                left[0] -= 1
                if left[0] <= 0:
                    del self._updates[name]
        return tuple(self._update_about(name) for name in names)

    def _send(self, to: str, message: Message) -> None:
        self.sent += 1
        self._actions.append(SendMessage(to, message))
