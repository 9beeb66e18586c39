"""Drives the state machine of a node without sockets: tests read what it sent and inject what peers send."""

import struct
from typing import Any

from copperyard.control.node.core import NodeCore
from copperyard.membership.fleet import Fleet
from copperyard.protocol.node.fleet import READY, Host
from copperyard.protocol.node.messages import Cause, MessageKind, Param, encode
from copperyard.protocol.rtsp import Connection, Limits
from copperyard.settings import parse_platform, parse_settings

MS, SECOND = 1_000_000, 1_000_000_000
LIMITS = Limits(8192, 64, 16384, 0, 1)  # limits of a client's parser
CEILINGS = {
    "maxAttempts": 3,
    "retryAfter": True,
    "maxRetryAfter": SECOND,
    "connectTimeout": 250 * MS,
    "probes": False,
    "cancelling": True,
    "streamsPerConn": 100,
    "connIdle": 15 * SECOND,
}
OPTIONS: dict[str, Any] = {
    "balancers": 1,
    "tick": MS,
    "locality": 0,
    "zones": ["catania"],
    "kinds": ["three-core"],
    "classes": [
        {"name": "preview", "aim": SECOND, "hardLimit": 4 * SECOND, "effect": "safe"},
        {"name": "paid", "aim": SECOND, "hardLimit": 3 * SECOND, "credit": 2.0, "effect": "unsafe"},
    ],
    "ceilings": CEILINGS,
    "contract": {
        "coldFrom": 0.4,
        "warmWithin": 5 * SECOND,
        "drainGrace": 250 * MS,
        "fall": 3 * SECOND,
        "fallMultiple": 3.0,
        "freeResends": 3.0,
        "furtherRatio": 0.2,
        "ratioSpan": 5 * SECOND,
    },
    "extra": {
        "positions": 3,
        "shelves": 1,
        "rungKb": [100.0, 300.0],
        "levelWorth": [0.4, 1.0],
        "placesByKind": [50],
        "kbPerWeight": 10_000.0,
        "rackKb": 60_000.0,
        "floorByClass": [0, 0],
    },
    "reporting": {"via": "pull", "columns": ["x0", "x1"]},
}
TITLE = "7f3a9c21e0b4d655"
PING = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


def host(n, **more):
    return Host(
        **{
            "name": f"s-{n}",
            "address": f"127.0.0.1:{9000 + n}",
            "zone": "catania",
            "kind": "three-core",
            "cell": n,
            "state": READY,
            "weight": 1.0,
            "started": 0,
            **more,
        }
    )


def setup(
    session, cls="preview", patience="2000", facts="home:0;copies:3;top:1;viewer:00", body=b"d", title=TITLE, more=""
):
    head = (
        f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nSubject: {cls}\r\n"
        f"X-Patience: {patience}\r\nX-Facts: {facts}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def sid(n):
    return f"{n:016x}"


def teardown(session, reason=""):
    return (
        f"TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n{reason}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def heard(session):
    """A viewer's acknowledgement of the release of its session."""
    return f"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n".encode()


def answer(session, size=0):
    return encode(
        MessageKind.ANSWER, bytes.fromhex(session), ((Param.DESCRIPTION, b"d:" + session.encode() + bytes(size)),)
    )


def release(session, cause=Cause.NORMAL):
    return encode(MessageKind.RELEASE, bytes.fromhex(session), ((Param.CAUSE, bytes((cause,))),))


def messages(data):
    """Decode what a node sent to a host: (kind, session id in hex, parameters)."""
    found = []
    while data:
        size, kind, session = struct.unpack_from(">HB8s", data)
        params, rest = {}, data[11 : size + 2]
        while rest:
            code, length = struct.unpack_from(">BH", rest)
            params[code], rest = rest[3 : 3 + length], rest[3 + length :]
        found.append((kind, session.hex(), params))
        data = data[size + 2 :]
    return found


class CoreDriver:
    """The core, its clock and its output. Dialled connections come up at once or when the test calls `link_up`."""

    def __init__(self, hosts=3, connect_at_once=True, sockets=256, **options):
        raw = {**OPTIONS, **options}
        fleet = Fleet(("catania",), ("three-core",), 0)
        self.core = NodeCore(parse_settings(raw), parse_platform(raw), fleet, 1, sockets)
        # past the time in which hosts count as cold for a front that has just started
        self.now, self.connect_at_once = 100 * SECOND, connect_at_once
        self.dialled, self.dropped, self.lines = [], [], []
        self.sent, self.received = {}, {}
        self.core.start(self.now, fleet.load_events(1, [(True, tuple(host(n) for n in range(hosts)))]))
        self.run_actions()
        self.advance(6)

    def run_actions(self):
        while actions := self.core.take_actions():
            self.lines += actions.log_lines
            self.dropped += actions.close
            self.dialled += actions.dial
            for link in actions.dial if self.connect_at_once else ():
                self.core.link_up(self.now, link)
            for link in actions.write_links:
                if link in link.host.links:
                    self.sent.setdefault(link, []).extend(messages(self.core.take_frames(self.now, link)[0]))
            for viewer in actions.write_viewers:
                if viewer.has_output:
                    self.received[viewer] = self.received.get(viewer, b"") + viewer.take_outbox()
                    self.core.outbox_written(self.now, viewer, False)

    def advance(self, seconds):
        end = self.now + round(seconds * SECOND)
        while (at := self.core.next_timer()) is not None and at <= end:
            self.now = max(self.now, at)
            self.core.run_timers(self.now)
            self.run_actions()
        self.now = end

    def viewer(self):
        viewer = self.core.viewer_connected(self.now)
        self.run_actions()
        return viewer

    def send(self, viewer, data):
        self.core.viewer_received(self.now, viewer, data)
        self.run_actions()

    def hang_up(self, viewer):
        self.core.viewer_disconnected(self.now, viewer)
        self.run_actions()

    def host_sends(self, link, data):
        self.core.link_received(self.now, link, data)
        self.run_actions()

    def link_down(self, link, **how):
        self.core.link_down(self.now, link, **how)
        self.run_actions()

    def link_up(self, link):
        self.core.link_up(self.now, link)
        self.run_actions()

    def answers(self, viewer):
        """Take the messages that were sent to the viewer since the last call."""
        return Connection(LIMITS).receive(self.received.pop(viewer, b""))

    def statuses(self, viewer):
        return [one.response.status if hasattr(one, "response") else one.method for one in self.answers(viewer)]

    def setups(self, link=None):
        """(link, session) of all set-ups that were sent."""
        return [
            (one, session)
            for one, sent in self.sent.items()
            for kind, session, _ in sent
            if kind == MessageKind.SETUP and link in (None, one)
        ]

    def releases(self):
        return [session for sent in self.sent.values() for kind, session, _ in sent if kind == MessageKind.RELEASE]

    def established(self, n=1, cls="preview"):
        """A viewer with an established session: (viewer, link)."""
        viewer = self.viewer()
        self.send(viewer, setup(sid(n), cls))
        link = self.setups()[-1][0]
        self.host_sends(link, answer(sid(n)))
        assert self.statuses(viewer) == [200]
        return viewer, link
