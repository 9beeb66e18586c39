"""Who of the site's gateways lives.

After SWIM (Das, Gupta, Motivala 2002): each gateway asks one other a period, has others ask where it hears nothing, and
what it finds travels on the messages that go anyhow, so that load and time to detect do not grow with the fleet. After
Lifeguard (Dadgar, Phillips, Currey 2018): a gateway that misses answers or stood still takes itself for slow first and
waits longer; a suspicion lasts the shorter the more gateways share it; whoever is suspected is told so at once.

Added here: zones. One suspect makes its zone's others be asked next, so that a lost zone is found out in about the time
of one lost gateway. Helpers are drawn from three sides: one's own zone, the target's, any other. Who is dead is still
asked now and then, so that two halves of a cut site find each other again. The gateways that there may be are those of
the settings.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .messages import Ack, Life, Look, Message, Nothing, Ping, Rumour
from .sight import Sight

SECOND = 1_000_000_000
AWARE = 8  # highest count of one's own slowness; each count lengthens all times by one of themselves
HELPERS = 3  # who is asked to ask for me
SUSPECT = 3.0  # a suspicion that all share lasts so many periods, times the logarithm of the fleet
SUSPECT_MOST = 4.0  # one that nobody shares lasts so many times longer
SHARED = 3  # suspicions of others after which it is as short as it gets
CARRIED = 16  # rumours on one message
TOLD = 4.0  # a rumour goes out so many times, times the logarithm of the fleet
ROWS = 3  # rows on one message, the own one among them
URGENT = 4  # asked in a period besides the one whose turn it is, where a zone may be lost
SHARERS = 6  # told at once: of its zone, by one that suspects a gateway first-hand; of all, by one that is suspected
LOOKERS = 6  # of those that know a gateway, who look for themselves when they hear of a suspicion
RETRY = 10  # of so many periods one asks somebody who is dead
MOST_COUNT = 1 << 60  # an incarnation that no life can have: one more would fit into no frame
STOOD = 500_000_000  # ns by which this process may be late before it says that it stood still


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in ns: a period between questions, how long an answer may take before others are asked to ask."""

    period: int = SECOND
    timeout: int = SECOND * 2 // 5


@dataclass(frozen=True, slots=True)
class Say:
    """Send a message to a gateway; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """A gateway is held for something else than before. `first`: this gateway found it out by itself."""

    name: str
    life: Life
    first: bool


@dataclass(frozen=True, slots=True)
class Stood:
    """This process stood still for so long (ns): its questions of that time prove nothing."""

    ns: int


Action = Say | Changed | Stood


@dataclass(slots=True)
class Member:
    """What is held of one other gateway."""

    name: str
    zone: int
    life: Life = Life.ALIVE
    incarnation: int = 0
    since: int = 0
    until: int = 0  # end of a suspicion
    accusers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    """A question that is out."""

    target: str
    sent: int
    ask_others: int
    end: int
    helpers: tuple[str, ...] = ()
    nothings: set[str] = field(default_factory=set)  # helpers that heard nothing either


@dataclass(slots=True)
class Errand:
    """A question asked for another."""

    asker: str
    number: int
    nothing_at: int
    end: int


class Members:
    """One gateway's view. `roster` names whom it knows, itself among them, with their zones' numbers: its cell and its
    contacts (cells.py); `watchers` are others that know this one for a contact: they get answers, nothing is held of
    them. `incarnation` has to be above any that this gateway had before (the date in ms does; a clock set back is found
    out and passed)."""

    def __init__(
        self,
        me: str,
        roster: Mapping[str, int],
        zones: int,
        pace: Pace,
        seed: int,
        now: int,
        incarnation: int,
        watchers: Mapping[str, int] | None = None,
    ) -> None:
        self.me, self.zone, self.pace = me, roster[me], pace
        self.watchers = watchers if watchers is not None else {}
        self.random = random.Random(seed)
        self.incarnation = incarnation
        self.members = {name: Member(name, zone, since=now) for name, zone in roster.items() if name != me}
        self.sight = Sight(me, dict(roster), zones)
        self.awareness = 0
        self.leaving = False
        self.stood = now - 3600 * SECOND  # when this process last stood still
        self._number = 0
        self._suspects: dict[str, Member] = {}
        self._probes: dict[int, Probe] = {}
        self._errands: dict[int, Errand] = {}
        self._order: list[str] = []
        self._urgent: deque[str] = deque()
        self._left_urgent = 0
        self._rounds = 0
        self._round_at = now + int(self.random.random() * pace.period)
        self._rumours: dict[str, list[int]] = {}  # name -> [times left]; what is told is what is held
        self._out: list[Action] = []
        self.sent = self.sent_rumours = 0

    # ---- what others ask of this object

    def take(self) -> list[Action]:
        """What is to be done, in order; forgotten here with that."""
        out, self._out = self._out, []
        return out

    def living(self) -> list[str]:
        """Gateways that are held for alive or only suspected, this one among them, by name."""
        return sorted([self.me, *(m.name for m in self.members.values() if m.life <= Life.SUSPECT)])

    def cut_off(self, now: int) -> bool:
        """Whether this gateway, perhaps with its zone, is cut off from the others, by its own evidence alone: nothing
        came of late from anybody of two other zones or more. One lost zone would leave the rest. (Whom it holds for
        dead tells that later: a gateway that gets no answers takes itself for slow first.)"""
        return now - self.stood > self.sight.span and self.sight.cut_off(now)

    def next_wake(self) -> int:
        times = [
            self._round_at,
            *(p.end for p in self._probes.values()),
            *(p.ask_others for p in self._probes.values() if not p.helpers),
            *(member.until for member in self._suspects.values()),
            *(e.nothing_at for e in self._errands.values() if e.nothing_at),
        ]
        return min(times)

    def doubt(self, name: str) -> None:
        """There is some other reason to doubt that a gateway lives: it is asked soon."""
        member = self.members.get(name)
        if member is not None and member.life is not Life.DEAD and name not in self._urgent:
            self._urgent.append(name)

    def tell(self, now: int, names: Sequence[str], whom: str) -> None:
        """Ask all these at once, so that what is held of one gateway travels with each of the questions."""
        for name in names:
            self._rumour(whom)
            self._ask(now, name)

    def leave(self, now: int) -> None:
        """A planned end: tell some at once; they tell the others."""
        self.leaving = True
        self._rumour(self.me)
        living = [m.name for m in self.members.values() if m.life is Life.ALIVE]
        for name in self.random.sample(living, min(len(living), HELPERS * 2)):
            self._ask(now, name)

    # ---- time

    def wake(self, now: int) -> None:
        """Time has passed."""
        due = self.next_wake()
        if now - due > STOOD:
            self._stood_still(now, now - due)
        for number, probe in list(self._probes.items()):
            if now >= probe.end:
                del self._probes[number]
                self._unanswered(now, probe)
            elif now >= probe.ask_others and not probe.helpers:
                self._ask_others(now, number, probe)
        for number, errand in list(self._errands.items()):
            if errand.nothing_at and now >= errand.nothing_at:
                errand.nothing_at = 0
                self._say(errand.asker, Nothing(errand.number))
            if now >= errand.end:
                del self._errands[number]
        for member in list(self._suspects.values()):
            if now >= member.until:
                self._hold(now, member, Life.DEAD, member.incarnation, self.me)
        if now >= self._round_at and not self.leaving:
            self._round_at = now + self._slow(self.pace.period)
            self._left_urgent = URGENT
            self._round(now)
        while self._urgent and self._left_urgent and not self.leaving:
            self._left_urgent -= 1
            self._ask(now, self._urgent.popleft())

    def _stood_still(self, now: int, late: int) -> None:
        """What seemed silent while this process did not run proves nothing of the others: whoever stood still blames
        itself, and gives every suspicion the time again that it could not listen."""
        self._out.append(Stood(late))
        self.stood = now
        self.awareness = min(AWARE, self.awareness + 2)
        self._probes.clear()
        self._errands.clear()
        for member in self._suspects.values():
            member.until = max(member.until, now) + late
        self.sight.forget(now)

    def _slow(self, time: int) -> int:
        return time * (1 + self.awareness)

    def _round(self, now: int) -> None:
        self._rounds += 1
        self.sight.tick(now, self.incarnation, self.pace.period)
        name = self._next()
        if name is not None:
            self._ask(now, name)

    def _next(self) -> str | None:
        """Whose turn it is: a drawn order in which everybody comes once before anybody comes again."""
        if self._rounds % RETRY == 0:
            gone = [m.name for m in self.members.values() if m.life > Life.SUSPECT]
            if gone:
                return self.random.choice(gone)
        for _ in range(2):
            while self._order:
                member = self.members[self._order.pop()]
                if member.life <= Life.SUSPECT:
                    return member.name
            self._order = sorted(self.members)
            self.random.shuffle(self._order)
        return self._order.pop() if self._order else None

    # ---- asking

    def _ask(self, now: int, name: str) -> None:
        self._number += 1
        self._probes[self._number] = Probe(
            name, now, now + self._slow(self.pace.timeout), now + self._slow(self.pace.period)
        )
        self.sight.asked(now, name)
        self._say(name, Ping(self._number, self.incarnation, self._carry(name), self.sight.carry(self.random, ROWS)))

    def _ask_others(self, now: int, number: int, probe: Probe) -> None:
        target = self.members[probe.target]
        others = [m for m in self.members.values() if m.life is Life.ALIVE and m.name != target.name]
        self.random.shuffle(others)
        sides: list[list[Member]] = [
            [m for m in others if m.zone == self.zone],
            [m for m in others if m.zone == target.zone],
            [m for m in others if m.zone not in (self.zone, target.zone)],
        ]
        helpers = [side[0].name for side in sides if side]
        helpers += [m.name for m in others if m.name not in helpers][: max(0, HELPERS - len(helpers))]
        probe.helpers = tuple(dict.fromkeys(helpers)) or ("",)
        for helper in helpers:
            self._say(helper, Look(number, probe.target, self._carry(helper)))

    def _unanswered(self, now: int, probe: Probe) -> None:
        """Neither it nor anybody for it. Where no helper said a word, this gateway may be the deaf one. (Each silent
        helper counted for itself once: with a lost zone, whose gateways are asked to help as well, everybody took
        itself for slow and the zone was known to all after two minutes.)"""
        if not probe.nothings:
            self.awareness = min(AWARE, self.awareness + 1)
        member = self.members[probe.target]
        if member.life is Life.ALIVE:
            self._hold(now, member, Life.SUSPECT, member.incarnation, self.me)
        elif member.life is not Life.SUSPECT or not self._share(member, self.me):
            return
        # by turns it takes seconds until those that suspect it know of each other, and the suspicion lasts for them
        near = [
            other.name
            for other in self.members.values()
            if other.zone == self.zone == member.zone and other.life is Life.ALIVE
        ]
        self.tell(now, self.random.sample(near, min(len(near), SHARERS)), member.name)

    def _share(self, member: Member, by: str) -> bool:
        """One more gateway suspects it first-hand; whether that was news."""
        if by in member.accusers or len(member.accusers) > SHARED:
            return False
        member.accusers.add(by)
        member.until = min(member.until, member.since + self._patience(len(member.accusers) - 1))
        self._rumour(member.name)
        return True

    # ---- hearing

    def hear(self, now: int, sender: str, message: Message) -> None:
        """A message of another gateway, known or one that knows this one."""
        member = self.members.get(sender)
        if member is None:
            self._watched(now, sender, message)
            return
        if isinstance(message, Ping | Ack | Look):
            for rumour in message.rumours:
                self._heard(now, rumour)
        if isinstance(message, Ping | Ack):
            for row in message.rows:
                self.sight.learn(now, row)
        if isinstance(message, Ping):
            self.sight.heard(now, sender)
            # who speaks lives, whatever was held of the life before this one
            if message.incarnation > member.incarnation:
                self._hold(now, member, Life.ALIVE, message.incarnation, sender)
            self._say(sender, Ack(message.number, self.me, self._carry(sender), self.sight.carry(self.random, ROWS)))
        elif isinstance(message, Look):
            self._errand(now, sender, message)
        elif isinstance(message, Nothing):
            probe = self._probes.get(message.number)
            if probe is not None and sender in probe.helpers:
                probe.nothings.add(sender)
        else:
            self._answered(now, sender, message)

    def _watched(self, now: int, sender: str, message: Message) -> None:
        """A watcher asks. What it says of those that are known here counts, and that it speaks at all: its zone lives.
        One that neither knows the other says nothing to."""
        zone = self.watchers.get(sender)
        if zone is None or not isinstance(message, Ping | Look):
            return
        for rumour in message.rumours:
            self._heard(now, rumour)
        if isinstance(message, Look):
            self._errand(now, sender, message)
            return
        self.sight.spoke(now, zone)
        self._say(sender, Ack(message.number, self.me, self._carry(sender), self.sight.carry(self.random, ROWS)))

    def _errand(self, now: int, sender: str, message: Look) -> None:
        if message.target not in self.members:
            # whom one does not know one cannot ask; but who asked is not the deaf one
            self._say(sender, Nothing(message.number))
            return
        if len(self._errands) > 2 * len(self.members):
            return
        self._number += 1
        self._errands[self._number] = Errand(
            sender, message.number, now + self.pace.timeout * 4 // 5, now + self.pace.period
        )
        self._say(message.target, Ping(self._number, self.incarnation, self._carry(message.target), ()))

    def _answered(self, now: int, sender: str, message: Ack) -> None:
        errand = self._errands.pop(message.number, None)
        if errand is not None and message.target == sender:
            self._say(errand.asker, Ack(errand.number, sender, (), ()))
            return
        probe = self._probes.get(message.number)
        if probe is None or probe.target != message.target:
            return
        del self._probes[message.number]
        if message.target == sender:
            self.sight.reached(now, sender, now - probe.sent > self.pace.timeout)
        self.awareness = max(0, self.awareness - 1)

    def _heard(self, now: int, rumour: Rumour) -> None:
        if rumour.name == self.me and rumour.incarnation < MOST_COUNT:
            wrong = rumour.life is not Life.ALIVE or rumour.incarnation > self.incarnation
            if wrong and rumour.incarnation >= self.incarnation and not self.leaving:
                # slow, or thought to be: say at once that this gateway lives, above what is said of it
                self.incarnation = rumour.incarnation + 1
                self.awareness = min(AWARE, self.awareness + 1)
                near = [member.name for member in self.members.values() if member.life is not Life.LEFT]
                self.tell(now, self.random.sample(near, min(len(near), SHARERS)), self.me)
            return
        member = self.members.get(rumour.name)
        if member is None or not member.incarnation <= rumour.incarnation < MOST_COUNT:
            return
        newer = rumour.incarnation > member.incarnation
        if newer or rumour.life > member.life:
            self._hold(now, member, rumour.life, rumour.incarnation, rumour.by)
            # a few of all look for themselves: a suspicion that some share ends sooner, one that is wrong as well
            if rumour.life is Life.SUSPECT and self.random.random() * len(self.members) < LOOKERS:
                self.doubt(member.name)
        elif rumour.life is Life.SUSPECT and member.life is Life.SUSPECT:
            self._share(member, rumour.by)

    def _hold(self, now: int, member: Member, life: Life, incarnation: int, by: str) -> None:
        """Take up something else about a gateway, and tell others."""
        changed = life is not member.life
        member.life, member.incarnation = life, incarnation
        if life is Life.SUSPECT:
            self._suspects[member.name] = member
        else:
            self._suspects.pop(member.name, None)
        if changed or life is Life.SUSPECT:
            member.since = now
            member.accusers = {by}
        self._rumour(member.name)
        if life is Life.SUSPECT:
            member.until = now + self._patience(0)
            for other in self.members.values():
                if (
                    other.zone == member.zone
                    and other.life is Life.ALIVE
                    and other.name not in self._urgent
                    and other.zone != self.zone
                    and by == self.me
                ):
                    self._urgent.append(other.name)
        if changed:
            self._out.append(Changed(member.name, life, by == self.me))

    def _patience(self, shared: int) -> int:
        """How long a suspicion lasts that `shared` others share."""
        least = SUSPECT * max(1.0, math.log10(len(self.members) + 1)) * self.pace.period
        most = SUSPECT_MOST * least
        part = math.log(min(shared, SHARED) + 1) / math.log(SHARED + 1)
        return self._slow(int(max(least, most - (most - least) * part)))

    # ---- rumours

    def _rumour(self, name: str) -> None:
        times = math.ceil(TOLD * math.log10(len(self.members) + 2))
        self._rumours[name] = [times]

    def _told(self, name: str) -> Rumour:
        if name == self.me:
            return Rumour(self.me, Life.LEFT if self.leaving else Life.ALIVE, self.incarnation, self.me)
        member = self.members[name]
        # (always the same one of several: who heard of two accusers told everybody of one, and a suspicion that four
        # shared went on to last as if one did)
        by = (
            self.me
            if self.me in member.accusers or not member.accusers
            else self.random.choice(sorted(member.accusers))
        )
        return Rumour(name, member.life, member.incarnation, by)

    def _carry(self, to: str) -> tuple[Rumour, ...]:
        """What goes along with a message: first what is held of its receiver, if that is ill; then what was told the
        least often."""
        names: list[str] = []
        member = self.members.get(to)
        if member is not None and member.life is not Life.ALIVE:
            names.append(to)
        waiting = sorted(self._rumours, key=lambda name: -self._rumours[name][0])
        names += [name for name in waiting if name not in names][: CARRIED - len(names)]
        for name in names:
            left = self._rumours.get(name)
            if left is not None:
                left[0] -= 1
                if left[0] <= 0:
                    del self._rumours[name]
        return tuple(self._told(name) for name in names)

    def _say(self, to: str, message: Message) -> None:
        self.sent += 1
        self._out.append(Say(to, message))
