"""Random settings within the platform's documents, and random events with faults under them: the six rules are checked
from the bytes that the node sends."""

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.control.node.core import NodeCore
from copperyard.control.node.links import LinkState
from copperyard.membership.fleet import Fleet
from copperyard.protocol.node.fleet import DRAINING, READY
from copperyard.protocol.node.messages import Cause, MessageKind, Param
from copperyard.protocol.rtsp import Connection
from copperyard.settings import parse_platform, parse_settings
from tests.control.node.helpers import LIMITS, MS, SECOND, CoreDriver, answer, host, messages, release, setup, teardown

EFFECTS = ("safe", "keyed", "unsafe")
COLUMNS = ("x0", "x1", "busy", "rif", "q", "lat_ms", "fail_rate", "rate", "something_new")
NOT_RUN_CAUSES = (Cause.FULL, Cause.MOOT)


def random_settings(rng):
    """Settings of one customer, with each optional part present or absent."""
    rungs = rng.randint(1, 6)
    rates = sorted(rng.sample(range(20, 3000), rungs))
    classes = rng.randint(1, 5)
    floors = [rng.randrange(rungs) for _ in range(classes)]
    raw = {
        "balancers": rng.choice([1, 2, 30, 230]),
        "tick": MS,
        "zones": rng.sample(["a", "zone-b", "c d", "Ω"], 3),
        "locality": rng.randrange(3),
        "kinds": ["k1", "k2"],
        "slotNo": 0,
        "classes": [
            {
                "name": f"class {n}" if rng.random() < 0.3 else f"c{n}",
                "aim": rng.randint(50, 1500) * MS,
                "hardLimit": rng.randint(300, 6000) * MS,
                "credit": rng.choice([0.5, 1, 4.0]),
                "effect": rng.choice(EFFECTS),
            }
            for n in range(classes)
        ],
        "ceilings": {
            "maxAttempts": rng.randint(1, 6),
            "retryAfter": rng.random() < 0.5,
            "probes": rng.random() < 0.5,
            "maxRetryAfter": rng.choice([0, 300, 2000]) * MS,
            "cancelling": True,
            "connectTimeout": rng.choice([100, 250, 1000]) * MS,
            "streamsPerConn": rng.choice([1, 3, 100]),
            "mostHeld": rng.choice([5, 1_500_000, 1_500_000]),
        },
        "contract": {
            "coldFrom": rng.choice([0.1, 0.4, 1.0]),
            "warmWithin": rng.choice([0, 2, 12]) * SECOND,
            "drainGrace": rng.choice([100, 1000]) * MS,
            "fall": rng.choice([500, 3000]) * MS,
            "fallMultiple": rng.choice([1.5, 3.0, 6.0]),
        },
        "extra": {
            "positions": 4,
            "shelves": rng.randint(1, 4),
            "rungKb": [float(x) for x in rates],
            "levelWorth": sorted(rng.random() for _ in range(rungs)),
            "placesByKind": [rng.choice([1, 4, 60]) for _ in range(2)],
            "kbPerWeight": rng.choice([2000.0, 9000.0, 90000.0]),
            "rackKb": rng.choice([0.0, 20000.0, 90000.0]),
            "fullFrom": rng.choice([0, 1.0, 1.2]),
            "joinAdds": rng.choice([1.0, 0.15]),
        },
        "reporting": {
            "via": rng.choice(["pull", "piggyback", "silent"]),
            "columns": rng.sample(COLUMNS, rng.randint(0, 4)),
        },
        "penalties": {"crossZone": rng.choice([0, 0.05]), "probe": rng.choice([0, 0.01, 0.5])},
    }
    if rng.random() < 0.7:
        raw["contract"] |= {
            "freeResends": rng.choice([0, 1, 3]),
            "furtherRatio": rng.choice([0, 0.1, 1.0]),
            "ratioSpan": rng.choice([2, 10]) * SECOND,
        }
    if rng.random() < 0.7:
        raw["extra"] |= {
            "floorByClass": floors,
            "topByClass": [rng.randint(f, rungs + 2) for f in floors],
            "scaleByClass": [rng.choice([0.3, 1, 2.0]) for _ in floors],
            "classSeats": [rng.choice([0, 0, 2]) for _ in floors],
            "live": [rng.random() < 0.3 for _ in floors],
        }
    return raw


class RandomRun(CoreDriver):
    """A driver that checks each rule as bytes are sent."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.raw = raw = random_settings(rng)
        self.settings = parse_settings(raw)
        fleet = Fleet(tuple(raw["zones"]), tuple(raw["kinds"]), 0)
        self.core = NodeCore(self.settings, parse_platform(raw), fleet, seed, rng.choice([64, 1024]))
        self.now, self.connect_at_once = 100 * SECOND, rng.random() < 0.5
        self.dialled, self.dropped, self.lines, self.sent, self.received = [], [], [], {}, {}
        self.asked, self.answered, self.left = {}, {}, {}  # by session id
        self.attempts, self.open, self.unclear = {}, {}, set()
        self.taken, self.further, self.cold, self.away = [], [], {}, set()
        self.wires, self.serial, self.states = {}, 1, [[READY, 0] for _ in range(4)]
        self.core.start(self.now, fleet.load_events(1, [(True, self.hosts())]))
        self.started = self.now
        self.run_actions()

    def hosts(self):
        zones, kinds = self.raw["zones"], self.raw["kinds"]
        return tuple(
            host(n, zone=zones[n % 3], kind=kinds[n % 2], state=state, started=started)
            for n, (state, started) in enumerate(self.states)
            if state is not None
        )

    def run_actions(self):
        while actions := self.core.take_actions():
            self.dialled += actions.dial
            for link in actions.dial if self.connect_at_once else ():
                self.core.link_up(self.now, link)
            for link in dict.fromkeys(actions.close):
                self.link_closed(link)
            for link in sorted(dict.fromkeys(actions.write_links), key=lambda one: not one.aborts_attempt):
                if link in link.host.links and link.state is LinkState.UP:
                    already = len(self.sent.get(link, ()))
                    self.sent.setdefault(link, []).extend(messages(self.core.take_frames(self.now, link)[0]))
                    for kind, session, params in self.sent[link][already:]:
                        self.check_frame(link, kind, session, params)
            for viewer in dict.fromkeys(actions.write_viewers):
                for event in self.wires.setdefault(viewer, Connection(LIMITS)).receive(viewer.take_outbox()):
                    if hasattr(event, "response") and event.response.header("CSeq") == "1":
                        self.check_answer(event.response.header("Session"), event.response.status)
                    elif hasattr(event, "method"):  # an established session is over: its host was lost
                        self.attempt_ended(event.header("Session"), None)
            for data in self.core.pending_notices:  # the same, with no connection to send it on yet
                for event in Connection(LIMITS).receive(data):
                    self.attempt_ended(event.header("Session"), None)

    # ---- the rules

    def check_frame(self, link, kind, session, params):
        if kind == MessageKind.RELEASE:
            self.attempt_ended(session, None)
        if kind != MessageKind.SETUP:
            return
        cls, facts = self.asked[session]
        made = self.attempts.setdefault(session, [])
        assert session not in self.left, "an attempt for a client that has gone"
        assert session not in self.answered, "an attempt after the answer"
        assert session not in self.open, "two attempts out at once"
        assert len(made) < self.settings.max_attempts
        kind_of = self.settings.classes[cls]
        if kind_of.effect != 0:
            assert session not in self.unclear, "what may have run is sent again"
        assert link.host.name not in self.away, "a set-up to a host that drains or is gone"
        rung = int(params[Param.RUNG])
        assert kind_of.floor <= rung <= min(kind_of.top, facts["top"]), (rung, kind_of)
        if made:
            self.further.append(self.now)
            if self.settings.free_retries is not None:
                since = self.now - self.settings.retry_window
                spent = sum(1 for at in self.further if at > since)
                taken = sum(1 for at in self.taken if at > since)
                assert spent <= self.settings.free_retries + self.settings.retry_ratio * taken + 1e-9
        made.append(link.host.name)
        self.open[session] = (cls, facts["title"], link)
        if kind_of.seats:
            same = sum(1 for c, t, _ in self.open.values() if (c, t) == (cls, facts["title"]))
            assert same <= kind_of.seats, "more sessions of a title than seats"
        if self.settings.fronts == 1 and self.now < self.cold.get(link.host.name, 0) + self.settings.warm_up_time:
            self.check_cold_host(link.host.name, kind_of)

    def check_cold_host(self, name, kind):
        s = self.settings
        times = self.cold_sends = getattr(self, "cold_sends", {})
        times.setdefault(name, []).append(self.now)
        n = int(name[2:]) % 2
        budget = s.cold_budget_multiple * s.places_by_kind[n] * s.cold_ratio * s.cold_window / s.warm_up_time
        recent = sum(1 for at in times[name] if at > self.now - s.cold_window)
        assert recent <= budget + 2 * math.sqrt(budget) + 2, (recent, budget)

    def attempt_ended(self, session, cause):
        """An attempt or a session is over, with the `cause` of the host, None without one."""
        if session in self.open:
            del self.open[session]
            if cause not in NOT_RUN_CAUSES:
                self.unclear.add(session)

    def check_answer(self, session, status):
        if status in (400, 408, 413, 414, 454):
            return
        assert session not in self.answered, "a second answer"
        self.answered[session] = status
        if status == 503 and session in self.attempts and self.settings.classes[self.asked[session][0]].effect != 0:
            assert session not in self.unclear and session not in self.open, "refused though it may have run"

    def link_closed(self, link):
        for session in [s for s, (_, _, on) in self.open.items() if on is link and s not in self.answered]:
            self.attempt_ended(session, None)

    # ---- events

    def viewer_arrives(self):
        rng = self.rng
        viewer = rng.choice([*self.core.viewers]) if self.core.viewers and rng.random() < 0.5 else self.viewer()
        session = f"{rng.getrandbits(64):016x}"
        cls = rng.randrange(len(self.settings.classes))
        top, title = rng.randrange(len(self.settings.rung_kb)), rng.choice(["00000000000000aa", "00000000000000bb"])
        patience = rng.randint(50, self.settings.classes[cls].deadline // MS)
        self.asked[session] = (cls, {"top": top, "title": title, "by": self.now + patience * MS, "viewer": viewer})
        held = len(self.core.sessions) >= self.core.platform.max_held
        if not held:
            self.taken.append(self.now)
        self.send(
            viewer,
            setup(
                session,
                self.settings.classes[cls].name,
                str(patience),
                title=title,
                facts=f"home:{rng.randrange(4)};copies:{rng.randint(1, 4)};top:{top};viewer:{session}",
            ),
        )

    def host_speaks(self):
        if not self.open:
            return
        session = self.rng.choice([*self.open])
        link = self.open[session][2]
        if link.state is not LinkState.UP:
            return
        stands = self.answered.get(session) == 200
        cause = self.rng.choice(
            [None, None, Cause.FULL, Cause.MOOT, Cause.ERROR, Cause.RESET]
            if not stands
            else [Cause.NORMAL, Cause.RESET]
        )
        if cause is None:
            return self.host_sends(link, answer(session))
        self.attempt_ended(session, cause)
        self.host_sends(link, release(session, cause))

    def link_fails(self):
        links = [link for one in self.core.hosts.values() for link in one.links]
        if links:
            link = self.rng.choice(links)
            if link.state is LinkState.DIALLING:
                self.link_down(link, refused=self.rng.random() < 0.5, silent=True)
            elif link.state is LinkState.UP:
                self.link_closed(link)
                self.link_down(link, reset=self.rng.random() < 0.5)

    def links_come_up(self):
        for link in [link for one in self.core.hosts.values() for link in one.links]:
            if link.state is LinkState.DIALLING:
                self.link_up(link)

    def client_leaves(self):
        waiting = [s for s in self.asked if s not in self.answered and s not in self.left]
        if not waiting:
            return
        session = self.rng.choice(waiting)
        viewer = self.asked[session][1]["viewer"]
        if viewer.closed:
            return
        if self.rng.random() < 0.5:
            self.left[session] = True
            self.send(viewer, teardown(session))
        else:
            for one, (_, facts) in self.asked.items():
                if facts["viewer"] is viewer and one not in self.answered:
                    self.left[one] = True
            self.hang_up(viewer)

    def list_changes(self):
        n = self.rng.randrange(4)
        state, _ = self.states[n]
        self.states[n] = (
            self.rng.choice([[DRAINING, 0], [None, 0], [READY, self.now // MS]])
            if state == READY
            else [READY, self.now // MS]
        )
        self.serial += 1
        name = f"s-{n}"
        if self.states[n][0] == READY:
            self.away.discard(name)
            self.cold[name] = self.now
            self.cold_sends = {k: v for k, v in getattr(self, "cold_sends", {}).items() if k != name}
        else:
            self.away.add(name)
        self.core.list_received(self.now, self.serial, self.hosts())
        self.run_actions()

    def play(self):
        self.advance(self.rng.choice([0, 0, 13]))
        steps = (
            [self.viewer_arrives] * 6
            + [self.host_speaks] * 20
            + [self.links_come_up] * 6
            + [self.link_fails, self.client_leaves, self.list_changes]
        )
        for _ in range(200):
            self.rng.choice(steps)()
            self.advance(self.rng.choice([0, 0, 0.01, 0.1]))
        self.advance(8)
        for session in self.asked:
            assert session in self.answered or session in self.left, "no answer"
        assert not [one for one in self.core.sessions.values() if not one.established]


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32))
def test_the_rules_hold_under_random_settings(seed):
    RandomRun(seed).play()


def test_two_cores_with_different_settings_share_no_state():
    """Interleaved in one process, each core sends what it sends alone."""

    def sent_messages(runs):
        for _ in range(60):
            for one in runs:
                one.rng.choice([one.viewer_arrives, one.host_speaks, one.links_come_up, one.list_changes])()
                one.advance(0.05)
        return [[(kind, session) for sent in one.sent.values() for kind, session, _ in sent] for one in runs]

    alone = [sent_messages([RandomRun(seed)])[0] for seed in (3, 4, 5)]
    assert sent_messages([RandomRun(seed) for seed in (3, 4, 5)]) == alone
