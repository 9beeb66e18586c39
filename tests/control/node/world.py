"""Media hosts, viewers and a name service around a node's core, without I/O and on a clock of their own.

They do what the platform's protocol allows them. What they send and receive is reported to a model of the promises
(`promises.py`), which knows nothing of the core.
"""

import itertools

from copperyard.control.node import bounds
from copperyard.control.node.core import NodeCore
from copperyard.control.node.links import LinkState
from copperyard.membership.fleet import Fleet
from copperyard.protocol.node.fleet import DRAINING, READY
from copperyard.protocol.node.messages import Cause, MessageKind
from copperyard.protocol.rtsp import Connection
from copperyard.settings import parse_platform, parse_settings
from tests.control.node.helpers import (
    LIMITS,
    MS,
    OPTIONS,
    PING,
    SECOND,
    answer,
    heard,
    host,
    messages,
    release,
    setup,
    teardown,
)
from tests.control.node.promises import Promises

WAY = MS  # one way between the node and a host
HAS_A_MACHINE = ("up", "refusing", "dead")  # one that answers what comes on an unknown connection with a reset
PATIENCE = 2 * SECOND
MONITOR_INTERVAL = SECOND // 4


class HostModel:
    """A media host: up, refusing further connections, cut off, dead, or vanished. `reply` is what it does with a
    set-up. `on_its_way` is what arrives when it is not cut off any more.
    """

    def __init__(self, number):
        self.number, self.state, self.reply = number, "up", "answer"
        self.links, self.standing, self.held, self.unrepeated = [], set(), {}, []
        self.reset_at, self.on_its_way, self.was_cut_off = -1 << 62, [], False


class Client:
    """A connection of a viewer. One that does not `read` sends requests only; `served`: it was sent a session."""

    def __init__(self, viewer, reads):
        self.viewer, self.reads, self.parser = viewer, reads, Connection(LIMITS)
        self.served = self.has_asked = False
        self.was_written = self.showed_reading = False

    @property
    def has_unread(self):
        """Whether there is data that the client has not read, so that its system resets the connection as it closes."""
        return self.was_written and not self.reads


class World:
    """A core with `hosts` hosts that may hold `connections` connections to them."""

    def __init__(self, hosts=3, connections=2, has_monitor=True):
        raw = {**OPTIONS, "extra": {**OPTIONS["extra"], "positions": hosts}}
        sockets = 2 * (connections + bounds.RESERVED_SOCKETS)
        fleet = Fleet(("catania",), ("three-core",), 0)
        self.core = NodeCore(parse_settings(raw), parse_platform(raw), fleet, 1, sockets)
        self.now, self.serial = 100 * SECOND, 1
        self.events, self.order = [], itertools.count()
        self.hosts = [HostModel(n) for n in range(hosts)]
        self.states = {n: READY for n in range(hosts)}
        self.started = dict.fromkeys(range(hosts), 0)
        self.open_links, self.clients, self.numbers = set(), {}, itertools.count(1)
        self.promises = Promises(lambda: self.now, has_monitor)
        self.core.start(self.now, fleet.load_events(1, [(True, self._listed())]))
        self.perform()
        self.advance(6 * SECOND)
        self.monitor = self.connect()
        if has_monitor:
            self._ping_monitor()
        self.advance(SECOND)

    # ---- time

    def at(self, time, action):
        """Have an action done at a time."""
        self.events.append((time, next(self.order), action))
        self.events.sort(key=lambda one: one[:2])

    def advance(self, duration):
        """Let time pass, with all that happens meanwhile."""
        end = self.now + duration
        while True:
            timer = self.core.next_timer()
            event = self.events[0][0] if self.events else None
            times = [time for time in (timer, event) if time is not None and time <= end]
            if not times:
                break
            self.now = max(self.now, min(times))
            if event is not None and event <= self.now:
                self.events.pop(0)[2]()
            else:
                self.core.run_timers(self.now)
            self.perform()
        self.now = end
        self.promises.check()

    def _ping_monitor(self):
        """The monitor is a viewer that tests its connection all the time, and comes back at once if that ends."""
        if not self.is_open(self.monitor):
            self.monitor = self.connect()
        self.send(self.monitor, PING)
        self.at(self.now + MONITOR_INTERVAL, self._ping_monitor)

    # ---- what the core orders

    def perform(self):
        """Carry out the core's actions, as the daemon does."""
        while actions := self.core.take_actions():
            for link in actions.dial:
                self._dial(link)
            for link in sorted(dict.fromkeys(actions.write_links), key=lambda one: not one.aborts_attempt):
                if link.state is LinkState.UP and link.outbox:
                    self._deliver(link, self.core.take_frames(self.now, link)[0])
            for viewer in dict.fromkeys(actions.write_viewers):
                self._write_viewer(viewer)
                self._see_close(viewer)
            for link in actions.half_close:
                self.at(self.now + WAY, lambda link=link: self._half_closed(link))
            for link in actions.close:
                self._closed_here(link)

    def _dial(self, link):
        if not self.core.may_dial(len(self.open_links)):
            evicted = self.core.link_to_evict(self.now, link.host)
            if evicted is None:
                return self.core.link_down(self.now, link)
            self.core.link_evicted(self.now, evicted)
            self._closed_here(evicted)
        self.open_links.add(link)
        silent = self._host(link).state in ("vanished", "cut off")
        self.at(self.now + (250 * MS if silent else 2 * WAY), lambda: self._dialled(link, silent))

    def _dialled(self, link, silent):
        if link.state is not LinkState.DIALLING:
            return
        model = self._host(link)
        if silent or model.state != "up":
            self.open_links.discard(link)
            silent = silent or model.state in ("vanished", "cut off")
            return self.core.link_down(self.now, link, refused=not silent, silent=silent)
        model.links.append(link)
        self.core.link_up(self.now, link)
        frames, model.unrepeated = model.unrepeated, []
        for frame in frames:
            self._host_sends(model, link, frame)

    def _half_closed(self, link):
        self._closed_here(link)
        self.core.link_down(self.now, link)

    def _closed_here(self, link):
        self.open_links.discard(link)
        model = self._host(link)
        if link in model.links:
            model.links.remove(link)
        for session in [session for session, one in model.held.items() if one is link]:
            del model.held[session]
            self.promises.attempt_ended(session, ran=True)

    def _host(self, link):
        return self.hosts[int(link.host.name.rpartition("-")[2])]

    def _write_viewer(self, viewer):
        client = self.clients.get(viewer)
        if client is None or not viewer.has_output or viewer.closed:
            return
        data = viewer.take_outbox()
        client.was_written = True
        self.core.outbox_written(self.now, viewer, False)
        for event in client.parser.receive(data):
            if hasattr(event, "response"):
                client.served = client.served or event.response.status == 200 and bool(event.response.body)
                if event.response.header("CSeq") == "1":
                    self.promises.answered(event.response.header("Session"), event.response.status)
            else:
                own = self.promises.connection_of(event.header("Session")) is client
                if client.reads or own or client.served:
                    self.promises.told(event.header("Session"), client)
                    if client.reads and event.method == "TEARDOWN":
                        self._acknowledge_soon(client, event.header("Session"))
                else:
                    self.promises.told_where_nobody_reads(event.header("Session"), client)

    def _acknowledge_soon(self, client, session):
        def acknowledge():
            if self.is_open(client):
                self.promises.acknowledged(session)
                self.core.viewer_received(self.now, client.viewer, heard(session))

        self.at(self.now + WAY, acknowledge)

    # ---- media hosts

    def _deliver(self, link, data, late=False):
        model = self._host(link)
        if link not in model.links and model.state in HAS_A_MACHINE and link.state is LinkState.UP and not late:
            self.open_links.discard(link)
            self.at(self.now + WAY, lambda: self.core.link_down(self.now, link, reset=True))
            return
        if model.state in ("dead", "vanished") or link not in model.links and not late:
            return
        if model.state == "cut off":
            for kind, session, _ in messages(data):
                if kind == MessageKind.RELEASE and model.held.pop(session, None) is not None:
                    self.promises.attempt_ended(session, ran=True)  # it is given up when that is written
            model.on_its_way.append(lambda: self._deliver(link, data, late=True))
            return
        for kind, session, _ in messages(data):
            if (
                kind == MessageKind.SETUP
                and late
                and (link not in model.links or not self.promises.is_awaited(session))
            ):
                continue  # its release or the end of its connection is right behind it
            if kind == MessageKind.SETUP:
                self.promises.attempt_arrived(session, model.number)
                model.held[session] = link
                self.at(self.now + WAY, lambda session=session: self.reply(model, session))
            elif kind == MessageKind.RELEASE:
                if model.held.pop(session, None) is not None:
                    self.promises.attempt_ended(session, ran=True)
                if session in model.standing:
                    model.standing.discard(session)
                    self.promises.release_arrived(session)

    def reply(self, model, session):
        """The host replies to a set-up, if it still has it and replies at all."""
        link = model.held.get(session)
        if link is None or model.reply == "hold" or model.state in ("dead", "vanished"):
            return
        del model.held[session]
        if model.reply == "answer":
            model.standing.add(session)
            self.promises.stands(session, model.number)
            self._host_sends(model, link, answer(session))
        else:
            full = model.reply == "full"
            self.promises.attempt_ended(session, ran=not full)
            self._host_sends(model, link, release(session, Cause.FULL if full else Cause.ERROR))

    def _host_sends(self, model, link, data):
        if model.state == "cut off":
            model.on_its_way.append(lambda: self._host_sends(model, link, data))
        elif link in model.links and link.state in (LinkState.UP, LinkState.HALF_CLOSED):
            self.core.link_received(self.now, link, data)
            self.perform()

    def end_session(self, model, session):
        """A session comes to its end at its host."""
        model.standing.discard(session)
        known = model.state != "cut off" and any(link.state is LinkState.UP for link in model.links)
        self.promises.ended(session, released=known)
        frame = release(session, Cause.NORMAL)
        model.unrepeated.append(frame)
        if model.links:
            self._host_sends(model, model.links[0], frame)

    def close_links(self, model, reset=False):
        """The host closes or resets all its connections."""
        links, model.links = model.links, []
        model.reset_at = self.now if reset else model.reset_at
        for session in list(model.held):
            del model.held[session]
            self.promises.attempt_ended(session, ran=True)
        for link in links:
            self.open_links.discard(link)
            self.core.link_down(self.now, link, reset=reset)
        self.perform()

    def forget(self, model):
        """The host forgets its connections: what the node writes there is not read, and answered with a reset."""
        model.links.clear()

    def lose_an_answer(self, model, session):
        """The host carries out a set-up; its answer is lost as the connection is reset."""
        link = model.held[session]
        if link not in model.links:
            return
        del model.held[session]
        model.standing.add(session)
        self.promises.stands(session, model.number)
        model.links.remove(link)
        self.open_links.discard(link)
        self.core.link_down(self.now, link, reset=True)
        self.perform()

    def cut_off(self, model, duration):
        """Connections stay open and silent and new ones never come up, for a while."""
        model.state, model.was_cut_off = "cut off", True
        self.at(self.now + duration, lambda: self._heal(model))

    def _heal(self, model):
        if model.state == "cut off":
            model.state = "up"
            arriving, model.on_its_way = model.on_its_way, []
            for arrive in arriving:
                arrive()

    def contact(self, model):
        """Viewers ask for sessions at one host until the node is connected to it; whether that came about."""
        client = self.connect()
        for _ in range(10):
            if model.state in ("dead", "vanished"):
                return False
            session = f"{next(self.numbers):016x}"
            self.promises.asked(session, client, False, self.now + PATIENCE)
            self.send(
                client, setup(session, "preview", str(PATIENCE // MS), f"home:{model.number};copies:1;top:1;viewer:00")
            )
            self.advance(SECOND)
            if any(link.state is LinkState.UP for link in model.links):
                return True
        return False

    def refuse(self, model):
        """The host closes its idle connections and refuses further ones for 2 s, as one does that has all it takes."""
        self.close_links(model, reset=self.now - model.reset_at < 2 * SECOND)
        model.state = "refusing"
        self.at(self.now + 2 * SECOND, lambda: self._accept_again(model))

    def _accept_again(self, model):
        if model.state == "refusing":
            model.state = "up"

    def die(self, model):
        """The process dies: its sessions are cut, its connections reset, further ones refused."""
        model.state = "dead"
        self._cut_sessions(model)
        self.close_links(model, reset=True)

    def come_back(self, model):
        """Another process has started after a death; the name service tells its start."""
        model.state = "up"
        self.started[model.number] = self.now // MS
        self.list_host(model, self.states[model.number])

    def vanish(self, model):
        """The machine vanishes for good, and says nothing."""
        model.state = "vanished"
        for session in list(model.held):
            del model.held[session]
            self.promises.attempt_ended(session, ran=True)
        self._cut_sessions(model)
        model.links.clear()

    def _cut_sessions(self, model):
        for session in model.standing:
            self.promises.ended(session, released=False)
        model.standing.clear()
        model.unrepeated.clear()

    def list_host(self, model, state):
        """The name service tells that a host is ready or drains, or (None) is gone."""
        self.states[model.number] = state
        self.serial += 1
        if state is None or state == DRAINING:
            self.promises.host_told_away(model.number)
        else:
            self.promises.host_told_back(model.number)
        self.core.list_received(self.now, self.serial, self._listed())
        self.perform()

    def _listed(self):
        return tuple(
            host(n, state=state, started=self.started[n]) for n, state in self.states.items() if state is not None
        )

    # ---- viewers

    def connect(self, reads=True):
        """A viewer opens a connection."""
        viewer = self.core.viewer_connected(self.now)
        client = self.clients[viewer] = Client(viewer, reads)
        self.promises.connected(client)
        self.perform()
        return client

    def _see_close(self, viewer):
        """If the node has closed a viewer's connection, its viewer closes it, too."""
        client = self.clients.get(viewer)
        if viewer.closing and client is not None:
            del self.clients[viewer]
            self.promises.closed_by_node(client)
            self.core.viewer_disconnected(self.now, viewer, undelivered=client.has_unread)

    def is_open(self, client):
        """Whether a viewer's connection is open."""
        return client.viewer in self.clients

    def send(self, client, data):
        """A viewer sends bytes on its connection."""
        if self.is_open(client):
            client.showed_reading = client.was_written
            self.promises.sent(client)
            self.core.viewer_received(self.now, client.viewer, data)
            self.perform()

    def leave(self, client, reset):
        """A viewer closes or resets its connection."""
        if client.viewer not in self.clients:
            return
        del self.clients[client.viewer]
        reset = reset or client.has_unread
        self.promises.left(client, reset)
        self.core.viewer_disconnected(self.now, client.viewer, undelivered=reset)
        self.perform()

    def set_up(self, client, home, paid):
        """A viewer asks for a session; returns its id."""
        if not self.is_open(client):
            return None
        client.has_asked = True
        session = f"{next(self.numbers):016x}"
        self.promises.asked(session, client, paid, self.now + PATIENCE)
        facts = f"home:{home};copies:{len(self.hosts)};top:1;viewer:00"
        self.send(client, setup(session, "paid" if paid else "preview", str(PATIENCE // MS), facts))
        return session

    def tear_down(self, client, session):
        """A viewer releases or withdraws its session on any connection."""
        if self.is_open(client):
            self.promises.released_by_viewer(session)
            self.send(client, teardown(session))
