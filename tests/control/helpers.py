"""A small site for tests of the core without I/O: rules, titles, and both ends of its connections."""

from __future__ import annotations

import random
from dataclasses import replace

from copperyard import interface as api
from copperyard.control.catalogue import Catalogue, Title, Track
from copperyard.control.core import FrontCore
from copperyard.control.io_actions import (
    CloseViewer,
    FlushAttempt,
    FlushViewer,
    LogLine,
    ProbeHost,
    StartAttempt,
    StopAttempt,
)
from copperyard.control.rules import AdmissionRule, Bounds, FrontRules
from copperyard.protocol.rtsp import Connection, Limits, MatchedResponse, Request, Response
from copperyard.protocol.rtsp.messages import Headers
from tests import helpers

MS, SECOND = helpers.MS, helpers.SECOND
WIRE = Limits(8000, 64, 65536, 65535, 32)
BOUNDS = Bounds(
    connections=100,
    sessions=100,
    open_requests=50,
    queue=10_000,
    stall=2 * SECOND,
    idle=20 * SECOND,
    silence=SECOND,
    dead=3 * SECOND,
    codes=100,
)
TRACKS = (Track("video", 26, "JPEG", 90_000), Track("audio", 0, "PCMU", 8_000))
FILM = Title(1, "/films/a", "A film", 8 * SECOND, 0, 3, TRACKS)
OTHER = Title(2, "/films/b", "Another", 8 * SECOND, 1, 3, TRACKS[:1])
ENTRIES = (AdmissionRule(0, "/films", False), AdmissionRule(1, "/films", True))


def rules(bounds=BOUNDS, **changes):
    classes = (helpers.SAFE, replace(helpers.PAID, deadline=3 * SECOND))
    made = helpers.settings(classes=classes, subscribe=True, **changes)
    return FrontRules(made, ENTRIES, bounds, WIRE, WIRE)


def catalogue():
    return Catalogue((FILM, OTHER))


def publish_hosts(core, n=4, state=api.ServerState.READY, now=0):
    """Give the core a list of n hosts, bypassing the roster."""
    entries = tuple(replace(helpers.entry(k), state=state) for k in range(n))
    core.session_table.list_updated(
        now, api.ServerList(api.ListKind.FULL, entries), {k: f"127.0.0.1:{7000 + k}" for k in range(n)}
    )


def front(seed=3, hosts=4, **changes):
    """Return a core that knows its hosts and considers none of them cold."""
    core = FrontCore(rules(**changes), catalogue(), ("z",), seed, random.Random(seed), "gw")
    core.start(0)
    publish_hosts(core, hosts)
    core.session_table.controller.has_carried = True
    core.take_io_actions()
    return core


class Host:
    """The host's end of one attempt; `asked` are the requests that it received."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.wire = Connection(WIRE)
        self.asked = []

    def read(self):
        new = [e for e in self.wire.receive(bytes(self.attempt.out)) if isinstance(e, Request)]
        self.attempt.out.clear()
        self.asked += new
        return new

    def reply(self, request, status=200, headers=(), body=b""):
        return Connection.encode_response(request, Response(status, headers, body))

    def good(self, request):
        """Return the answer of a host that accepts the request."""
        if request.method == "SETUP":
            headers: Headers = (("Session", "s1;timeout=60"), ("Transport", request.header("Transport")))
            if request.header("Redeem"):
                headers += (("Receipt", "r-" + request.header("Redeem")),)
            return self.reply(request, 200, headers)
        if request.method == "PLAY":
            info = f"url={request.uri}/track1;seq=5;rtptime=9"
            return self.reply(request, 200, (("Session", "s1"), ("RTP-Info", info)))
        return self.reply(request)


class Viewer:
    """A viewer's end of one connection to a core."""

    def __init__(self, core, now=0):
        self.core, self.now = core, now
        self.connection = core.rtsp_server.opened(now, "viewer")
        self.wire = Connection(WIRE)
        self.events = []

    def send(self, data, now=None):
        self.now = self.now if now is None else now
        self.core.rtsp_server.received(self.now, self.connection, data)
        return self.hear()

    def ask(self, method, url="rtsp://gw/films/a", headers=(), now=None):
        """Send a request and return its CSeq."""
        cseq, data = self.wire.make_request(method, url, headers)
        self.send(data, now)
        return cseq

    def hear(self):
        box = self.connection.outbox
        while data := box.peek():
            box.consume(len(data))
            self.events += self.wire.receive(data)
        return self.events

    def answer(self, cseq):
        self.hear()
        found = [e.response for e in self.events if isinstance(e, MatchedResponse) and e.cseq == cseq]
        return found[0] if found else None

    def set_up(self, url="rtsp://gw/films/a", tracks=2, query=""):
        """SETUP all tracks and return the Session header."""
        headers: Headers = ()
        for n in range(1, tracks + 1):
            transport = (("Transport", f"RTP/AVP/TCP;unicast;interleaved={2 * n - 2}-{2 * n - 1}"),)
            answer = self.answer(self.ask("SETUP", f"{url}/track{n}{query}", transport + headers))
            assert answer.status == 200, answer
            headers = (("Session", answer.header("Session").split(";")[0]),)
        return headers


def starts(actions):
    return [o.attempt for o in actions if isinstance(o, StartAttempt)]


def play_through(core, attempt, now=MS):
    """Connect an attempt and let its host accept all requests until it plays."""
    host = Host(attempt)
    assert core.session_table.connected(now, attempt)
    while requests := host.read():
        for request in requests:
            core.session_table.received(now, attempt, host.good(request))
    return host


__all__ = ["ProbeHost", "FlushAttempt", "CloseViewer", "LogLine", "StopAttempt", "FlushViewer"]
