"""State machine of a node, without I/O: viewers on one side, media hosts on the other, the controller in between.

The I/O calls one method per event, passing its clock, and then performs the I/O actions that `take_actions` returns.
The controller decides about sessions. This module translates between it and both protocols, tracks whether an attempt
never left this process or may have run at its host, and makes sure that each set-up gets exactly one answer.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from ...decide import NOT_RUN_CODES, Controller
from ...interface import (
    Action,
    Cancel,
    CarriedSession,
    Effect,
    Fail,
    Log,
    Move,
    NoticeKind,
    Outcome,
    OutcomeCode,
    Probe,
    ProbeResult,
    Refuse,
    Report,
    Request,
    Send,
    ServerList,
    ServerState,
    SessionNotice,
    SessionOpened,
    SetRung,
    SetTimer,
    Settings,
    Subscribe,
    TimerDue,
    ViewerLeft,
)
from ...membership.fleet import Fleet
from ...protocol import rtsp
from ...protocol.node import viewer as viewer_protocol
from ...protocol.node.fleet import Host
from ...protocol.node.messages import (
    Cause,
    Message,
    MessageError,
    MessageKind,
    Param,
    encode,
    frame_kind,
    parse_report,
)
from ...protocol.node.viewer import SetupRequest
from ...protocol.rtsp.messages import HeaderError
from ...settings import Platform, make_report
from ..budget import RetryBudget
from ..controller_driver import ControllerDriver
from ..timers import Timers
from . import bounds
from .connection_limit import ConnectionLimit, idle_links, link_to_evict
from .ended_sessions import EndedSessions
from .idle_viewers import IdleViewers
from .links import HostState, Link, LinkState, PendingProbe
from .notices import Notice, NoticeDelivery
from .sessions import Attempt, Session, Viewer

NOTE_KINDS = {"share": NoticeKind.SHARE, "step": NoticeKind.RUNG, "asked": NoticeKind.LINK, "rack": NoticeKind.UPLINK}
ATTEMPT_CODES: dict[int, OutcomeCode] = {
    Cause.FULL: OutcomeCode.FULL,
    Cause.ERROR: OutcomeCode.ERROR,
    Cause.MOOT: OutcomeCode.MOOT,
}
SESSION_CODES: dict[int, OutcomeCode] = {Cause.NORMAL: OutcomeCode.OK, Cause.CANCELLED: OutcomeCode.CANCELLED}
NOT_RUN_CAUSES = (Cause.FULL, Cause.MOOT)
STATUS_REFUSED, STATUS_FAILED = 503, 500


@dataclass(slots=True)
class IoActions:
    """What the I/O is to do."""

    dial: list[Link] = field(default_factory=list)
    write_links: list[Link] = field(default_factory=list)
    close: list[Link] = field(default_factory=list)
    half_close: list[Link] = field(default_factory=list)
    write_viewers: list[Viewer] = field(default_factory=list)
    log_lines: list[tuple[str, dict[str, str | int]]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(
            self.dial or self.write_links or self.close or self.half_close or self.write_viewers or self.log_lines
        )


class NodeCore:
    """The state machine of one node. `fleet` is empty until `start`."""

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        fleet: Fleet,
        seed: int,
        sockets: int,
        memory_mb: float | None = None,
    ) -> None:
        self.settings, self.platform, self.fleet, self.sockets = settings, platform, fleet, sockets
        self.controller = Controller(settings, seed)
        self.class_numbers = {kind.name: n for n, kind in enumerate(settings.classes)}
        self.budget = RetryBudget(settings.retry_window, settings.free_retries, settings.retry_ratio)
        self.timers = Timers()
        self.io_actions = IoActions()
        self.sessions: dict[int, Session] = {}
        self.sessions_by_id: dict[bytes, Session] = {}
        self.hosts: dict[int, HostState] = {}
        self.viewers: dict[Viewer, None] = {}
        self.probes: dict[bytes, PendingProbe] = {}
        self.notices = NoticeDelivery(
            self.viewers, self._write_viewer, min(platform.max_held, bounds.MAX_WAITING_NOTICES)
        )
        self._idle_viewers = IdleViewers(self.viewers, self.sessions, self.notices)
        self.moved_viewers: dict[str, None] = {}
        self.ended_sessions = EndedSessions(bounds.MAX_ENDED_SESSIONS)
        self.max_sessions = bounds.max_sessions(memory_mb, platform.max_held)
        self.ready = False
        self._last_ref = 0
        self._last_number = 0
        self._accept_until: int | None = None
        self._next_sweep = 0
        self._viewer_limit = ConnectionLimit(
            "clients' connections", bounds.max_viewer_connections(sockets), self.log_line
        )
        self._host_limit = ConnectionLimit("connections to hosts", bounds.max_host_connections(sockets), self.log_line)
        self._rng = random.Random(seed)
        self._last_suspicion = -bounds.SUSPICION_PERIOD
        self._feed = ControllerDriver(
            lambda: self.controller,
            {
                Send: self._send,
                SetRung: self._rate,
                Refuse: self._refuse,
                Fail: self._fail,
                Cancel: self._cancel,
                Move: self._move,
                Probe: self._probe,
                SetTimer: self._set_timer,
                Log: self._log,
                Subscribe: self._watch_list,
            },
        )

    # ---- called by the I/O

    def start(self, now: int, servers: ServerList) -> None:
        """Apply the host list of the configuration; the node can serve from then on."""
        self.apply_list(now, servers)
        self.ready = True
        self._next_sweep = now + bounds.SWEEP_INTERVAL
        self.timers.set(("sweep", None), self._next_sweep)

    def begin_shutdown(self, now: int) -> None:
        """Start the planned shutdown: requests are accepted for another SHUTDOWN_ACCEPT_PERIOD, and sessions go on
        until the process is killed or none is left.
        """
        if self._accept_until is None:
            self._accept_until = now + bounds.SHUTDOWN_ACCEPT_PERIOD
            self.notices.begin_shutdown(now)
            self._schedule_notices(now)
            self.log_line(
                "ending", open=sum(len(viewer.open_setups) for viewer in self.viewers), sessions=len(self.sessions)
            )

    @property
    def shutdown_complete(self) -> bool:
        """Whether a shutdown was started, no session is left, and no viewer can still be told of an end in time."""
        return self._accept_until is not None and not self.sessions and not self.notices.delays_shutdown

    @property
    def pending_notices(self) -> list[bytes]:
        """The notices that wait for a connection that is being read."""
        return [notice.data for notice in self.notices.waiting]

    @property
    def has_unsent(self) -> bool:
        """Whether any message to a host waits for its connection."""
        return any(host.awaits_releases or any(link.outbox for link in host.links) for host in self.hosts.values())

    def may_accept(self, connections: int) -> bool:
        """Whether one more connection of a viewer may be accepted beside `connections`. Over the limit it replaces
        `viewer_to_evict`; if there is none, it is not accepted.
        """
        return self._viewer_limit.allows_more(connections)

    def may_dial(self, connections: int) -> bool:
        """Whether a descriptor is available for one more connection to a host. If not, one may replace
        `link_to_evict`.
        """
        return self._host_limit.allows_more(connections)

    def link_to_evict(self, now: int = 0, dialled: HostState | None = None) -> Link | None:
        """The connection to a host that may be closed to free a descriptor for one to `dialled`."""
        return link_to_evict(now, self.hosts.values(), dialled)

    def take_actions(self) -> IoActions:
        """The I/O actions since the last call."""
        actions, self.io_actions = self.io_actions, IoActions()
        return actions

    def next_timer(self) -> int | None:
        """The time of the next timer in ns, None if no timer is set."""
        return self.timers.next()

    def run_timers(self, now: int) -> None:
        """Run all timers that are due."""
        for key in self.timers.pop_due(now):
            assert isinstance(key, tuple)
            timer, subject = key
            if timer == "controller":
                self._feed(now, TimerDue(subject))
            elif timer == "deadline":
                self._attempt_timed_out(now, subject)
            elif timer == "probe":
                self._finish_probe(now, subject, OutcomeCode.TIMEOUT, None)
            elif timer == "redial":
                self._ensure_link(now, subject)
            elif timer == "silence":
                self._check_host(now, subject)
            elif timer == "partial":
                self._partial_overdue(now, subject)
            elif timer in ("notices", "acknowledgements"):
                self._check_notices(now)
            elif timer == "sweep":
                self._sweep(now)

    def apply_list(self, now: int, changes: ServerList) -> None:
        """Apply changes of the host list."""
        lost: list[Session] = []
        gone: list[HostState] = []
        for entry in changes.entries:
            host = self.hosts.get(entry.server)
            if entry.state == ServerState.GONE:
                if host is not None:
                    host.listed = False
                    gone.append(host)
                continue
            name = self._host_name(entry.server)
            if host is None:
                host = self.hosts[entry.server] = HostState(entry.server, name, self.fleet.hosts[name].address)
            host.address = self.fleet.hosts[name].address
            if entry.started:  # sessions from before the start of the host's process ended with the previous process
                lost += [session for session in host.sessions.values() if session.established_at < entry.started]
                host.owed.process_started(entry.started)
        self._feed(now, changes)
        for entry in changes.entries:
            host = self.hosts.get(entry.server)
            if host is not None and entry.state != ServerState.READY:
                self._withdraw_unsent(now, host)
        for session in lost:
            self._session_lost(now, session)
        for host in gone:
            # another host may answer at this address from now on: only a connection opened before shows that
            # this host is still there
            if host.up_link() is None or any(one.address == host.address and one.listed for one in self.hosts.values()):
                self._host_lost(now, host)
            self._remove_if_unused(host)

    def _withdraw_unsent(self, now: int, host: HostState) -> None:
        """Withdraw the set-ups that wait for a connection to a host that drains or is gone: they must not be sent."""
        for link in list(host.links):
            for one in [one for one in link.outbox if not isinstance(one, bytes)]:
                self._finish_attempt(now, one, OutcomeCode.MOOT, None)

    def _host_name(self, server: int) -> str:
        return next(name for name, number in self.fleet.numbers.items() if number == server)

    def list_received(self, now: int, serial: int, hosts: tuple[Host, ...]) -> None:
        """Apply a valid answer of the name service."""
        changes = self.fleet.update(serial, hosts)
        if changes is not None:
            self.log_line("list", serial=serial, changed=len(changes.entries))
            self.apply_list(now, changes)

    # ---- viewers

    def viewer_connected(self, now: int) -> Viewer:
        """Register a new connection of a viewer."""
        self._last_number += 1
        viewer = Viewer(self._last_number, connected_at=now, last_active_at=now)
        self.viewers[viewer] = None
        return viewer

    def viewer_received(self, now: int, viewer: Viewer, data: bytes) -> None:
        """Process bytes received from a viewer."""
        for event in viewer.parser.receive(data):
            if viewer.closing:
                return
            if isinstance(event, rtsp.MalformedInput):
                return self._close_viewer(now, viewer, event.status, event.text)
            if isinstance(event, rtsp.Request):
                self._handle_request(now, viewer, event)
            elif isinstance(event, rtsp.UnsolicitedResponse):
                self._handle_response(now, viewer, event.response)
            elif isinstance(event, rtsp.Frame):
                return self._close_viewer(now, viewer, 400, "interleaved frames are not supported")

    def viewer_disconnected(self, now: int, viewer: Viewer, undelivered: bool = False) -> None:
        """The connection has ended: its unanswered set-ups are abandoned, established sessions go on. `undelivered`:
        the last bytes written to it have not arrived.
        """
        viewer.closed = True
        self.viewers.pop(viewer, None)
        for session in list(viewer.open_setups.values()):
            self._abandon_setup(now, session)
        established, viewer.newly_established = viewer.newly_established, []
        for session in established:  # the viewer left before the answer was sent: nobody will use or end the session
            self._end_session(now, session, OutcomeCode.CANCELLED, Cause.NORMAL, tell_host=True)
        self.notices.connection_ended(now, viewer, undelivered)
        self._schedule_notices(now)

    def close_may_cross(self, now: int, viewer: Viewer) -> bool:
        """Whether a connection that its client has closed in order may turn out to be reset: what was written to it
        last may have crossed the close.
        """
        return self.notices.has_recent_writes(now, viewer)

    def close_was_reset(self, now: int, viewer: Viewer) -> None:
        """What was written to a connection has crossed its close, and was not read."""
        self.notices.close_was_reset(now, viewer)
        self._schedule_notices(now)

    def outbox_written(self, now: int, viewer: Viewer, has_unsent: bool) -> None:
        """What `Viewer.take_outbox` returned was written; `has_unsent`: some of it is buffered still."""
        self.notices.written(now, viewer, has_unsent)
        self._schedule_retry()
        if has_unsent:
            self._schedule_notices(now)

    def _close_viewer(self, now: int, viewer: Viewer, status: int, text: str) -> None:
        """Close a connection after a protocol error or a limit, with response `status` unless 0. Its open set-ups get
        no answer, as such a client cannot be served.
        """
        self.log_line("viewer shut out", viewer=viewer.number, text=text)
        if status:
            self._send_to_viewer(viewer, viewer_protocol.encode_response(None, "", status))
        self._end_writing(now, viewer)
        for session in list(viewer.open_setups.values()):
            self._abandon_setup(now, session)

    def _end_writing(self, now: int, viewer: Viewer) -> None:
        """Write what was queued for a connection, but no more notices, and close it."""
        viewer.closing = True
        self._write_viewer(viewer)
        self.notices.connection_closing(now, viewer)
        self._schedule_notices(now)

    def _write_viewer(self, viewer: Viewer) -> None:
        self.io_actions.write_viewers.append(viewer)

    def _send_to_viewer(self, viewer: Viewer, data: bytes) -> None:
        if viewer.is_open:
            viewer.outbox += data
            self._write_viewer(viewer)

    def viewer_to_evict(self) -> Viewer | None:
        """The viewer connection that may be closed to make room, None without one."""
        return self._idle_viewers.to_evict()

    def viewers_to_close(self, now: int) -> list[Viewer]:
        """The connections that the next sweep will close, if it is due. The caller of `run_timers` reads unread data
        of these first, so that a request that came in time is served instead.
        """
        return self._idle_viewers.overdue(now) if now >= self._next_sweep else []

    def _sweep(self, now: int) -> None:
        for viewer in self.viewers_to_close(now):
            if not viewer.has_requested:
                self._close_viewer(now, viewer, 408, "no request received in time")
            else:
                self._end_writing(now, viewer)
        self._check_notices(now)
        self._log_notices(now)
        self._next_sweep = now + bounds.SWEEP_INTERVAL
        self.timers.set(("sweep", None), self._next_sweep)

    def _log_notices(self, now: int) -> None:
        """Log at times that notices wait for a connection, or that some were late or dropped."""
        counts = self.notices.counts_to_log(now)
        if counts is not None:
            self.log_line("notices to viewers", waiting=counts.waiting, late=counts.late, dropped=counts.dropped)

    def _handle_request(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        viewer.last_active_at = now
        try:
            if request.method == "SETUP":
                self._setup(now, viewer, request)
            elif request.method == "TEARDOWN":
                self._teardown(now, viewer, request)
            elif request.method == "OPTIONS":
                self._respond(viewer, request, 200 if self.ready and self._accept_until is None else 503)
            elif request.method not in ("ANNOUNCE", "REDIRECT", "SET_PARAMETER"):
                raise HeaderError(501, f"no such method: {request.method[:40]!r}")
            elif viewer_protocol.session_of(request) not in self.sessions_by_id:
                raise HeaderError(454, f"{request.method} for an unknown session")
            viewer.has_requested = True
            viewer.has_tested = viewer.has_tested or request.method == "OPTIONS"
            if viewer.was_written and not viewer.has_unsent:
                self.notices.connection_read(now, viewer)
            else:
                self.notices.connection_requested(now, viewer)
        except HeaderError as error:
            self.log_line("request not taken", viewer=viewer.number, text=str(error))
            self._respond(viewer, request, error.status)
            viewer.errors += 1
            if viewer.errors >= bounds.MAX_VIEWER_ERRORS:  # it would go on at full speed and delay the other viewers
                self._close_viewer(now, viewer, 0, "too many invalid requests")

    def _handle_response(self, now: int, viewer: Viewer, response: rtsp.Response) -> None:
        """A client has answered something, which is the acknowledgement of a notice if it names its session."""
        session_id = viewer_protocol.session_of(response)
        if session_id is not None:
            self.notices.acknowledged(now, viewer, session_id)

    def _respond(self, viewer: Viewer, request: rtsp.Request, status: int) -> None:
        session = viewer_protocol.session_of(request)
        self._send_to_viewer(
            viewer, viewer_protocol.encode_response(request.cseq, session.hex() if session else "", status)
        )

    def _setup(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        setup = viewer_protocol.parse_setup(request)
        cls = self.class_numbers.get(setup.class_name)
        if cls is None:
            raise HeaderError(400, f"no class is named {setup.class_name[:40]!r}")
        known = self.sessions_by_id.get(setup.session_id)
        if known is None and len(self.sessions) >= self.max_sessions:
            return self._reject(viewer, setup)
        if setup.at is not None:
            if known is None:
                self._adopt_session(now, viewer, setup, cls)
            return
        if known is not None:
            if known.viewer is viewer and not known.established:
                # two set-ups under one id on one connection: their answers could not be told apart
                self._answer_setup(known, STATUS_FAILED)
                self._abandon_setup(now, known)
            raise HeaderError(400, "the session already exists")
        if self.settings.classes[cls].effect != Effect.SAFE and self.ended_sessions.may_have_run(setup.session_id):
            raise HeaderError(400, "the session was set up before, and must not run twice")
        if len(viewer.open_setups) >= bounds.MAX_OPEN_SETUPS:
            return self._reject(viewer, setup)  # a client that floods must not delay the others
        if self._accept_until is not None and now >= self._accept_until:
            return self._reject(viewer, setup)
        self.budget.count_request(now)
        session_request = self._session_request(now, setup, cls)
        session = self._add_session(session_request.ref, setup, viewer)
        viewer.open_setups[session.ref] = session
        self._feed(now, session_request)

    def _reject(self, viewer: Viewer, setup: SetupRequest) -> None:
        """Refuse a set-up without passing it to the controller, with the longest retry delay the settings allow."""
        retry_after = self.settings.max_retry_after if self.settings.retry_after else 0
        self._send_to_viewer(
            viewer,
            viewer_protocol.encode_response(
                1, setup.session_id.hex(), STATUS_REFUSED, b"", -(-retry_after // bounds.MS)
            ),
        )

    def _session_request(self, now: int, setup: SetupRequest, cls: int) -> Request:
        s = self.settings
        top = len(s.rung_kb) - 1 if setup.top is None else setup.top
        if top >= len(s.rung_kb) or setup.home >= s.cells or not 1 <= setup.copies <= s.cells:
            raise HeaderError(400, "X-Facts: a figure is out of range")
        if setup.patience > 2 * s.classes[cls].deadline:
            raise HeaderError(
                400, f"X-Patience exceeds twice the deadline of the class: {setup.patience // bounds.MS} ms"
            )
        if setup.at is None and not setup.body:
            raise HeaderError(400, "the set-up has no description")
        moved = self.moved_viewers.pop(setup.viewer, self) is None
        self._last_ref += 1
        return Request(
            self._last_ref,
            cls,
            top,
            now + setup.patience,
            int(setup.title, 16),
            setup.home,
            setup.copies,
            setup.hint,
            moved,
            setup.again or moved,
        )

    def _add_session(self, ref: int, setup: SetupRequest, viewer: Viewer) -> Session:
        session = Session(ref, setup, viewer, self.settings.classes[self.class_numbers[setup.class_name]].floor)
        self.sessions[ref] = self.sessions_by_id[setup.session_id] = session
        return session

    def _adopt_session(self, now: int, viewer: Viewer, setup: SetupRequest, cls: int) -> None:
        """Take over a session that already plays at a host."""
        host = self.hosts.get(self.fleet.numbers.get(setup.at or "", -1))
        if host is None:
            raise HeaderError(400, f"no host is named {str(setup.at)[:40]!r}")
        session_request = self._session_request(now, setup, cls)
        session = self._add_session(session_request.ref, setup, viewer)
        session.attempts, session.host, session.established, session.established_at = 1, host, True, now
        self.notices.connection_serves(now, viewer)
        viewer.established_sessions[session.ref] = session
        host.sessions[session.ref] = session
        self._feed(now, CarriedSession(session_request, host.server))
        cause = self.ended_sessions.cause_at(setup.session_id, host.name)
        if cause is not None:
            self.log_line("handed over after its end", session=session.id_text, host=host.name, cause=cause)
            return self._session_released(now, session, cause)
        self._ensure_link(now, host)
        self._schedule_check(now, host)

    def _teardown(self, now: int, viewer: Viewer, request: rtsp.Request) -> None:
        cause, id = viewer_protocol.release_cause(request), viewer_protocol.session_of(request)
        session = self.sessions_by_id.get(id) if id is not None else None
        if session is None:
            return self._respond(viewer, request, 200 if id in self.ended_sessions else 454)
        self._respond(viewer, request, 200)
        if session.established:
            self._end_session(now, session, OutcomeCode.CANCELLED, cause or Cause.NORMAL, tell_host=True)
        else:
            self._abandon_setup(now, session)

    def _abandon_setup(self, now: int, session: Session) -> None:
        """The viewer has withdrawn or gone: the attempt in flight, if any, is released at its host."""
        attempt = session.attempt
        self._remove_session(session)
        self._feed(now, ViewerLeft(session.ref))
        if attempt is not None:
            self._abort_attempt(now, attempt, OutcomeCode.CANCELLED, True)

    def _remove_session(self, session: Session) -> None:
        self.sessions.pop(session.ref, None)
        if self.sessions_by_id.get(session.setup.session_id) is session:
            del self.sessions_by_id[session.setup.session_id]
        if session.viewer is not None:
            session.viewer.open_setups.pop(session.ref, None)
            session.viewer.established_sessions.pop(session.ref, None)

    def _answer_setup(self, session: Session, status: int, body: bytes = b"", retry_after: int = 0) -> None:
        viewer = session.viewer
        if viewer is not None:
            viewer.open_setups.pop(session.ref, None)
            self._send_to_viewer(
                viewer, viewer_protocol.encode_response(1, session.id_text, status, body, -(-retry_after // bounds.MS))
            )

    # ---- actions of the controller

    def _watch_list(self, now: int, action: Action) -> None:
        """Nothing to do: the list is always followed, whether the controller asks for it or not."""

    def _set_timer(self, now: int, action: Action) -> None:
        assert isinstance(action, SetTimer)
        self.timers.set(("controller", action.token), action.at)

    def _log(self, now: int, action: Action) -> None:
        assert isinstance(action, Log)
        self.log_line("module", text=action.text)

    def _send(self, now: int, action: Action) -> None:
        assert isinstance(action, Send)
        session, host = self.sessions.get(action.ref), self.hosts.get(action.server)
        if session is None:
            return
        number = session.attempts
        session.attempts += 1
        if host is None or not host.listed or action.deadline <= now:
            self._feed(now, Outcome(session.ref, number, action.server, OutcomeCode.MOOT, 0, False))
            return
        attempt = session.attempt = Attempt(session, number, host, now, action.deadline)
        self.timers.set(("deadline", attempt), action.deadline)
        self._enqueue(now, attempt)

    def _enqueue(self, now: int, attempt: Attempt) -> None:
        host = attempt.host
        link = host.best_link(self.platform.streams_per_connection)
        if link is None and len(host.links) >= bounds.MAX_LINKS_PER_HOST:
            link = min(host.links, key=lambda one: one.load)
        link = attempt.link = link or self._dial(now, host)
        link.outbox.append(attempt)
        if link.state is LinkState.UP:
            self.io_actions.write_links.append(link)

    def _rate(self, now: int, action: Action) -> None:
        assert isinstance(action, SetRung)
        session = self.sessions.get(action.ref)
        if session is None:
            return
        session.rung = action.rung
        if session.established and session.host is not None:
            self._send_to_host(
                now,
                session.host,
                encode(MessageKind.RUNG, session.setup.session_id, ((Param.RUNG, str(action.rung).encode()),)),
            )

    def _refuse(self, now: int, action: Action) -> None:
        assert isinstance(action, Refuse)
        session = self.sessions.get(action.ref)
        if session is not None and not session.established:
            self._answer_setup(session, STATUS_REFUSED, retry_after=action.retry_after)
            self._remove_session(session)

    def _fail(self, now: int, action: Action) -> None:
        assert isinstance(action, Fail)
        session = self.sessions.get(action.ref)
        if session is not None and not session.established:
            self._answer_setup(session, STATUS_FAILED)
            self._remove_session(session)

    def _cancel(self, now: int, action: Action) -> None:
        assert isinstance(action, Cancel)
        session = self.sessions.get(action.ref)
        if session is not None and session.attempt is not None and session.attempt.number == action.attempt:
            self._abort_attempt(now, session.attempt, OutcomeCode.CANCELLED, False)

    def _move(self, now: int, action: Action) -> None:
        assert isinstance(action, Move)
        session = self.sessions.get(action.ref)
        if session is None or not session.established:
            return
        if session.setup.viewer:
            self.moved_viewers[session.setup.viewer] = None
        while len(self.moved_viewers) > bounds.MAX_MOVED_VIEWERS:
            del self.moved_viewers[next(iter(self.moved_viewers))]
        redirect = viewer_protocol.encode_redirect(session.id_text)
        self._post_notice(now, session, redirect, now + bounds.RELEASE_NOTICE_LIMIT, wants_answer=False)
        self._end_session(now, session, OutcomeCode.CANCELLED, Cause.CANCELLED, tell_host=True)

    def _probe(self, now: int, action: Action) -> None:
        assert isinstance(action, Probe)
        host = self.hosts.get(action.server)
        if host is None:
            self._feed(now, ProbeResult(action.server, OutcomeCode.CONNECT_FAILED, 0))
            return
        self._last_number += 1
        probe = self.probes[self._last_number.to_bytes(8, "big")] = PendingProbe(
            host, self._last_number.to_bytes(8, "big"), now
        )
        self.timers.set(("probe", probe.id), now + self.settings.connect_timeout)
        self._send_to_host(now, host, _encode_test(probe.id))

    def _finish_probe(self, now: int, id: bytes, code: OutcomeCode, report: Report | None) -> None:
        probe = self.probes.pop(id, None)
        if probe is not None:
            self.timers.cancel(("probe", id))
            self._feed(now, ProbeResult(probe.host.server, code, now - probe.sent_at, report))
            self._remove_if_unused(probe.host)

    # ---- media hosts

    def _dial(self, now: int, host: HostState) -> Link:
        self._last_number += 1
        link = Link(host, self._last_number, now)
        host.links.append(link)
        self.io_actions.dial.append(link)
        return link

    def _send_to_host(self, now: int, host: HostState, frame: bytes) -> None:
        """Queue a message that may go on any connection to the host."""
        link = host.up_link() or host.dialling_link() or next(iter(host.links), None) or self._dial(now, host)
        if len(link.outbox) >= bounds.MAX_LINK_OUTBOX:  # the host reads nothing, or dialling it keeps failing
            host.keep_unsent(now, frame)
            return self._close_link(now, link)
        link.outbox.append(frame)
        if link.state is LinkState.UP:
            self.io_actions.write_links.append(link)

    def link_up(self, now: int, link: Link) -> None:
        """The connection is established."""
        host = link.host
        link.state, link.up_at, link.last_heard = LinkState.UP, now, now
        host.last_heard, host.failed_dials, host.link_lost, host.given_up = now, 0, False, False
        link.outbox[:0] = host.owed.take_waiting(now)
        if link.outbox:
            self.io_actions.write_links.append(link)
        for old in [one for one in host.links if one is not link and one.state is LinkState.UP]:
            # the new connection was dialled to check that the host is there; of two idle ones the older is not needed
            if not old.attempts and not old.outbox and now - old.last_heard >= bounds.SUSPICION_SILENCE_TIMEOUT:
                self._half_close(old)

    def _half_close(self, link: Link) -> None:
        """Half-close an idle connection and read it to its end: a release of the host that crosses a full close would
        be lost, and hosts repeat it only on a connection opened later.
        """
        link.state = LinkState.HALF_CLOSED
        link.host.links.remove(link)
        self.timers.cancel(("partial", link))
        self.io_actions.half_close.append(link)

    def waiting_viewers(self, link: Link) -> list[Viewer]:
        """The viewers whose set-ups wait on a connection to a host, in the order of the set-ups."""
        waiting = (one.session.viewer for one in link.outbox if not isinstance(one, bytes))
        return list(dict.fromkeys(viewer for viewer in waiting if viewer is not None))

    def take_frames(self, now: int, link: Link, busy: Collection[Viewer] = ()) -> tuple[bytes, bool]:
        """Take the outbox of a connection as one piece of bytes, which may have been sent from then on.

        Also returns whether it contains the release of an aborted attempt. Set-ups of `busy` viewers stay queued.
        """
        parts = []
        overdue: list[Attempt] = []
        over_budget: list[Attempt] = []
        aborts_attempt, link.aborts_attempt = link.aborts_attempt, False
        queued, link.outbox = link.outbox, []
        for one in queued:
            if isinstance(one, bytes):
                parts.append(one)
                if frame_kind(one) == MessageKind.RELEASE:
                    link.host.owed.written(now, link.number, one)
            elif now >= one.deadline:  # after a stall of this process: nothing is sent past its deadline
                overdue.append(one)
            elif one.session.viewer in busy:
                link.outbox.append(one)
            elif one.number and not self.budget.try_spend(now):
                over_budget.append(one)
            else:
                one.written, one.written_at = True, now
                link.attempts[one.session.setup.session_id] = one
                link.host.owed.withdraw(one.session.setup.session_id)
                parts.append(one.encode(now))
        for one in overdue:
            self._abort_attempt(now, one, OutcomeCode.TIMEOUT, False)
        for one in over_budget:
            self._finish_attempt(now, one, OutcomeCode.MOOT, None)
        return b"".join(parts), aborts_attempt

    def link_evicted(self, now: int, link: Link) -> None:
        """An idle connection was closed to make room. If sessions play at its host, the next check connects again."""
        link.state = LinkState.DOWN
        link.host.links.remove(link)
        link.host.link_lost = True
        link.host.owed.connection_closed(link.number)
        self.timers.cancel(("partial", link))
        self._remove_if_unused(link.host)

    def link_down(
        self,
        now: int,
        link: Link,
        refused: bool = False,
        silent: bool = False,
        reset: bool = False,
        undelivered: bool = False,
    ) -> None:
        """The connection has ended or was never established. `refused`: the host's machine refused it; `silent`: it got
        no answer; neither: this machine could not open one. `reset`: the peer reset it, as happens when its process
        dies, but not on an orderly close. `undelivered`: what was written to it may not have arrived for another
        reason. Attempts that may have run end with an unknown outcome; those that were never sent go on a new
        connection.
        """
        host, previous_state = link.host, link.state
        link.state = LinkState.DOWN
        host.owed.connection_ended(now, link.number, reset or undelivered)
        if previous_state in (LinkState.DOWN, LinkState.HALF_CLOSED):
            return
        host.links.remove(link)
        if previous_state is LinkState.UP:
            host.link_lost, host.last_reset = True, now if reset else host.last_reset
        unsent, link.outbox = link.outbox, []
        self.timers.cancel(("partial", link))
        in_flight = list(link.attempts)
        for attempt in list(link.attempts.values()):
            self._finish_attempt(now, attempt, OutcomeCode.RESET, None)
        self._owe_releases(now, host, in_flight)
        for one in unsent:
            if isinstance(one, bytes):
                # a lost release would leave a session open at the host
                if previous_state is LinkState.UP and host.listed and len(unsent) < bounds.MAX_LINK_OUTBOX:
                    self._send_to_host(now, host, one)
                elif host.listed:
                    host.keep_unsent(now, one)
                continue
            if previous_state is LinkState.UP and one.requeues < 2:
                # an idle connection that had ended unnoticed: nothing was sent
                one.requeues += 1
                self._enqueue(now, one)
            else:
                # running out of descriptors here is no failure of the host
                local = previous_state is LinkState.DIALLING and not (refused or silent)
                self._finish_attempt(now, one, OutcomeCode.MOOT if local else OutcomeCode.CONNECT_FAILED, None)
        if previous_state is LinkState.DIALLING and (refused or silent):
            self._dial_failed(now, host, refused)
        self._send_owed_releases(host, now)
        self._ensure_link(now, host)
        self._remove_if_unused(host)

    def _owe_releases(self, now: int, host: HostState, session_ids: Collection[bytes]) -> None:
        """Owe a host the releases of sessions that may stand there, without a connection to send them on. Not of those
        that are being set up there again.
        """
        for session_id in session_ids if host.listed else ():
            session = self.sessions_by_id.get(session_id)
            current = session.attempt if session is not None else None
            if current is None or current.host is not host:
                host.owed.wait(now, _encode_release(session_id, Cause.NORMAL), redial=False)

    def _send_owed_releases(self, host: HostState, now: int) -> None:
        """Send the releases that wait, if a connection is up."""
        link = host.up_link()
        if link is not None and host.owed.has_waiting:
            link.outbox += host.owed.take_waiting(now)
            self.io_actions.write_links.append(link)

    def _dial_failed(self, now: int, host: HostState, refused: bool) -> None:
        """A connection could not be established.

        Refused just after an established one was reset: the host's process has died, and its sessions with it. Refused
        otherwise: the host may be at its limit of connections and still play. Silent: the machine is gone, or packets
        were lost. The last two count only if they persist for a while.
        """
        link = host.up_link()
        if refused and link is not None:  # the host accepts no more connections, but it is alive if it knows this one
            if now - link.last_heard >= bounds.SUSPICION_SILENCE_TIMEOUT:
                self._test_link(link)
            return
        # otherwise what is owed to it waits for a connection opened for another purpose
        host.given_up = not host.sessions and not host.owed.is_worth_redialling
        if not refused:
            self._suspect_hosts(now)
        host.failed_dials += 1
        if host.failed_dials == 1:
            host.first_failed_dial = now
        died = refused and now - host.last_reset < 2 * bounds.REDIAL_INTERVAL
        span = bounds.REFUSED_TIMEOUT if refused else bounds.SECOND
        gone = (
            host.failed_dials >= bounds.FAILED_DIALS_THRESHOLD
            and now - host.first_failed_dial >= span
            and now - host.last_heard >= bounds.SUSPICION_SILENCE_TIMEOUT
        )
        if died or gone:
            self._host_lost(now, host)

    def _test_link(self, link: Link) -> None:
        """Write a test on a connection, whose answer is of no interest: a host that has forgotten it resets it."""
        self._last_number += 1
        link.outbox.append(_encode_test(self._last_number.to_bytes(8, "big")))
        self.io_actions.write_links.append(link)

    def _host_lost(self, now: int, host: HostState) -> None:
        """A host counts as gone, and all its sessions as over. As it may only have been out of reach, it is owed their
        releases until the list tells that it is gone or that its process has started again.
        """
        if host.sessions or host.links:
            self.log_line("host lost", host=host.name, sessions=len(host.sessions), listed=int(host.listed))
        sessions = list(host.sessions.values())
        for session in sessions:
            self._session_lost(now, session)
        host.given_up = True
        if not host.listed:
            host.owed.clear()
        self._owe_releases(now, host, [session.setup.session_id for session in sessions])
        for link in [one for one in host.links if one.state is LinkState.UP]:
            self._close_link(now, link)

    def _close_link(self, now: int, link: Link) -> None:
        """Close a connection from this side at once."""
        self.io_actions.close.append(link)
        self.link_down(now, link, undelivered=True)

    def _silence_timeout(self, now: int) -> int:
        """How long (ns) a host that holds sessions may be silent before it is dialled."""
        return (
            bounds.SUSPICION_SILENCE_TIMEOUT
            if now - self._last_suspicion < bounds.SUSPICION_PERIOD
            else bounds.SILENCE_TIMEOUT
        )

    def _schedule_check(self, now: int, host: HostState) -> None:
        if not host.check_scheduled:
            host.check_scheduled = True
            self.timers.set(
                ("silence", host), max(now + bounds.REDIAL_INTERVAL, host.last_heard + self._silence_timeout(now))
            )

    def _check_host(self, now: int, host: HostState) -> None:
        """Dial a host that holds sessions and is silent once more: a machine that vanishes sends nothing."""
        host.check_scheduled = False
        if not host.sessions:
            return
        if not host.listed:
            if now - host.last_heard >= bounds.UNLISTED_SILENCE_TIMEOUT:
                return self._host_lost(now, host)
        elif now - host.last_heard >= self._silence_timeout(now) and host.dialling_link() is None:
            self._dial_check(now, host)
        self._schedule_check(now, host)

    def _dial_check(self, now: int, host: HostState) -> None:
        """Dial a silent host by one connection beyond the bound at most: over that, an idle one makes room first."""
        if len(host.links) > bounds.MAX_LINKS_PER_HOST:
            for link in idle_links(host)[:1]:
                self._half_close(link)
        if len(host.links) <= bounds.MAX_LINKS_PER_HOST:
            self._dial(now, host)

    def _suspect_hosts(self, now: int) -> None:
        """A host is silent: check the others sooner for a while, as hosts of one zone or rack often fail together.

        Each check gets random jitter, as all fronts may have seen the same failure.
        """
        if now - self._last_suspicion >= bounds.SUSPICION_PERIOD:
            for host in self.hosts.values():
                if host.check_scheduled and host.listed:
                    due = max(now, host.last_heard + bounds.SUSPICION_SILENCE_TIMEOUT) + self._rng.randrange(
                        bounds.REDIAL_INTERVAL
                    )
                    self.timers.set(("silence", host), min(due, host.last_heard + bounds.SILENCE_TIMEOUT))
        self._last_suspicion = now

    def _partial_overdue(self, now: int, link: Link) -> None:
        """A message was begun and not completed in time: the connection cannot be used any more."""
        if link.state is LinkState.UP and link.decoder.partial:
            self.log_line("host stopped in a message", host=link.host.name)
            self._close_link(now, link)

    def _ensure_link(self, now: int, host: HostState) -> None:
        """Dial a host that holds sessions, or for which releases wait, if it has no connection, or none opened since
        one was lost.

        Dials are rate-limited. They are needed as the host repeats its releases on a new connection only.
        """
        if not host.sessions and not host.awaits_releases:
            return
        if host.links and (not host.link_lost or host.dialling_link() is not None):
            return
        if not host.listed:
            return None if host.links else self._host_lost(now, host)
        due = host.last_redial + bounds.REDIAL_INTERVAL * min(bounds.MAX_REDIAL_BACKOFF, 1 + host.failed_dials)
        if not host.sessions and self._accept_until is None:
            due = max(due, host.owed.waiting_since + bounds.OWED_RELEASE_DIAL_DELAY)
        if now >= due:
            host.last_redial = now
            self._dial(now, host)
        else:
            self.timers.set(("redial", host), due)

    def _remove_if_unused(self, host: HostState) -> None:
        if not host.listed and not host.must_be_reached and not host.links and self.hosts.get(host.server) is host:
            del self.hosts[host.server]

    def link_received(self, now: int, link: Link, data: bytes) -> MessageError | None:
        """Process bytes received from a host. Returns the protocol error, if any; the connection is closed then."""
        if link.state not in (LinkState.UP, LinkState.HALF_CLOSED):
            return None
        link.last_heard = link.host.last_heard = now
        link.suspect, link.host.failed_dials = False, 0
        link.host.owed.connection_heard(now, link.number)
        messages, error = link.decoder.receive(data)
        for message in messages:
            self._handle_message(now, link, message)
        if error is not None:
            self.log_line("host speaks nonsense", host=link.host.name, text=str(error))
            self._close_link(now, link)
        elif not link.decoder.partial or link.state is not LinkState.UP:
            self.timers.cancel(("partial", link))
        elif messages or ("partial", link) not in self.timers:
            # timed from the start of the message: a host that trickles bytes must not hold the connection for good
            self.timers.set(("partial", link), now + self.settings.connect_timeout)
        return error

    def _handle_message(self, now: int, link: Link, message: Message) -> None:
        if message.kind == MessageKind.ANSWER:
            self._setup_answered(now, link, message)
        elif message.kind == MessageKind.RELEASE:
            self._released(now, link, message)
        elif message.kind == MessageKind.HEARD:
            link.host.owed.acknowledged(message.session)
        elif message.kind == MessageKind.NOTE:
            self._note(now, message)
        elif message.kind == MessageKind.TESTED:
            probe = self.probes.get(message.session)
            if probe is not None and probe.host is link.host:
                self._finish_probe(
                    now, probe.id, OutcomeCode.OK if message.cause == 1 else OutcomeCode.ERROR, self._report(message)
                )

    def _report(self, message: Message) -> Report | None:
        text = message.text(Param.REPORT)
        return make_report(parse_report(text)) if text else None

    def _setup_answered(self, now: int, link: Link, message: Message) -> None:
        attempt = link.attempts.pop(message.session, None)
        if attempt is None:
            # the answer crossed the end of its set-up: the host must end the session. Unknown ids and duplicates are
            # ignored
            if message.session in self.ended_sessions and message.session not in self.sessions_by_id:
                self._send_to_host(now, link.host, _encode_release(message.session, Cause.NORMAL))
            return
        session, description = attempt.session, message.params[Param.DESCRIPTION]
        if len(description) > viewer_protocol.MAX_BODY_BYTES:  # too long for a message to a viewer
            self._send_to_host(now, link.host, _encode_release(message.session, Cause.NORMAL))
            return self._finish_attempt(now, attempt, OutcomeCode.RESET, None)
        self.timers.cancel(("deadline", attempt))
        session.attempt, session.host, session.established, session.established_at = None, link.host, True, now
        link.host.sessions[session.ref] = session
        self._schedule_check(now, link.host)
        self._answer_setup(session, 200, description)
        if session.viewer is not None:
            session.viewer.newly_established.append(session)
            session.viewer.established_sessions[session.ref] = session
            self.notices.connection_serves(now, session.viewer)
        self._feed(now, SessionOpened(session.ref, attempt.number, link.host.server, now - attempt.queued_at))

    def _released(self, now: int, link: Link, message: Message) -> None:
        attempt = link.attempts.get(message.session)
        if attempt is not None:
            return self._finish_attempt(
                now, attempt, ATTEMPT_CODES.get(message.cause, OutcomeCode.RESET), self._report(message)
            )
        session = self.sessions_by_id.get(message.session)
        if session is None:  # it may still be handed over
            self.ended_sessions.add(message.session, link.host.name, message.cause, message.cause not in NOT_RUN_CAUSES)
            return
        # a host that left the list and came back keeps its connections and sessions
        if session.established and session.host is not None and session.host.name == link.host.name:
            self._session_released(now, session, message.cause, self._report(message))

    def _session_released(self, now: int, session: Session, cause: int, report: Report | None = None) -> None:
        """The host of an established session has released it."""
        code = SESSION_CODES.get(cause, OutcomeCode.RESET)
        notice_due = None if code is OutcomeCode.CANCELLED else now + bounds.RELEASE_NOTICE_LIMIT
        self._end_session(now, session, code, cause, notice_due, report)

    def _session_lost(self, now: int, session: Session) -> None:
        """The host of an established session is gone, some time after it was last heard."""
        last_heard = session.host.last_heard if session.host is not None else now
        due = max(now, last_heard + bounds.LOSS_NOTICE_LIMIT)
        self._end_session(now, session, OutcomeCode.RESET, Cause.RESET, due)

    def _note(self, now: int, message: Message) -> None:
        session = self.sessions_by_id.get(message.session)
        kind = NOTE_KINDS.get(message.text(Param.NOTE) or "")
        try:
            value = float(message.text(Param.FIGURE) or "")
        except ValueError:
            return
        if session is not None and session.established and session.host is not None and kind is not None:
            self._feed(now, SessionNotice(session.ref, session.attempts - 1, session.host.server, kind, value))

    # ---- ends of attempts and sessions

    def _attempt_timed_out(self, now: int, attempt: Attempt) -> None:
        """The controller's deadline for an attempt has passed."""
        if attempt.session.attempt is attempt:
            link = attempt.link
            if attempt.written and link is not None and link.last_heard <= attempt.written_at:
                link.suspect = True
                self._suspect_hosts(now)
            self._abort_attempt(now, attempt, OutcomeCode.TIMEOUT, False)

    def _abort_attempt(self, now: int, attempt: Attempt, code: OutcomeCode, session_over: bool) -> None:
        """Abort an attempt. If it may have been sent, a release is queued for the host; otherwise it never ran."""
        link = attempt.link
        if attempt.written and link is not None:
            self.ended_sessions.add(attempt.session.setup.session_id, attempt.host.name, Cause.NORMAL)
            link.outbox.append(_encode_release(attempt.session.setup.session_id, Cause.NORMAL))
            link.aborts_attempt = True
            self.io_actions.write_links.append(link)
        elif code is OutcomeCode.TIMEOUT:
            code = OutcomeCode.CONNECT_FAILED
        self._finish_attempt(now, attempt, code, None, session_over)

    def _finish_attempt(
        self, now: int, attempt: Attempt, code: OutcomeCode, report: Report | None, session_over: bool = False
    ) -> None:
        """Report the outcome of an attempt, which it gets once."""
        session, link = attempt.session, attempt.link
        self.timers.cancel(("deadline", attempt))
        if link is not None:
            link.attempts.pop(session.setup.session_id, None)
            if attempt in link.outbox:
                link.outbox.remove(attempt)
        if session.attempt is attempt:
            session.attempt = None
        may_have_run = attempt.written and code not in NOT_RUN_CODES
        self.ended_sessions.add(session.setup.session_id, attempt.host.name, Cause.RESET, may_have_run)
        self._feed(
            now,
            Outcome(
                session.ref, attempt.number, attempt.host.server, code, now - attempt.queued_at, session_over, report
            ),
        )

    def _end_session(
        self,
        now: int,
        session: Session,
        code: OutcomeCode,
        cause: int,
        notice_due: int | None = None,
        report: Report | None = None,
        tell_host: bool = False,
    ) -> None:
        """End an established session. `notice_due`: the latest time for its viewer to be sent a TEARDOWN, None if it is
        owed none; `tell_host`: send the host a release.
        """
        host = session.host
        if host is None or not session.established:
            return
        session.established = False
        host.sessions.pop(session.ref, None)
        self._remove_session(session)
        self.ended_sessions.add(session.setup.session_id, host.name, cause)
        if tell_host:
            self._send_to_host(now, host, _encode_release(session.setup.session_id, cause))
        if notice_due is not None:
            teardown = viewer_protocol.encode_teardown(session.id_text, cause)
            self._post_notice(now, session, teardown, notice_due)
        self._feed(
            now,
            Outcome(session.ref, session.attempts - 1, host.server, code, now - session.established_at, True, report),
        )
        self._remove_if_unused(host)

    def _post_notice(self, now: int, session: Session, data: bytes, limit: int, wants_answer: bool = True) -> None:
        """Have a notice sent to the viewer of a session, by `limit`. `wants_answer`: viewers acknowledge such a one."""
        notice = Notice(data, limit - bounds.NOTICE_MARGIN, session.setup.session_id, wants_answer)
        self.notices.post(now, notice, session.viewer)
        self._schedule_notices(now)

    def _schedule_notices(self, now: int) -> None:
        """Set the timer for notices that wait, unless it is set: each run of it looks at all of them."""
        if not self.notices.waiting or ("notices", None) in self.timers:
            return
        due = self.notices.next_check(now)
        if due is not None:
            self.timers.set(("notices", None), min(due, now + bounds.RELEASE_NOTICE_LIMIT - bounds.NOTICE_MARGIN))

    def _schedule_retry(self) -> None:
        """Set the timer for notices that are not acknowledged in time."""
        retry_at = self.notices.next_retry
        if retry_at is not None and ("acknowledgements", None) not in self.timers:
            self.timers.set(("acknowledgements", None), retry_at)

    def _check_notices(self, now: int) -> None:
        self.notices.check(now)
        self._schedule_notices(now)
        self._schedule_retry()

    def log_line(self, event: str, **fields: str | int) -> None:
        """Queue a line for the log."""
        self.io_actions.log_lines.append((event, fields))


def _encode_test(test: bytes) -> bytes:
    # a host answers one with cause 0 without a report
    return encode(MessageKind.TEST, test, ((Param.CAUSE, b"\1"),))


def _encode_release(session: bytes, cause: int) -> bytes:
    return encode(MessageKind.RELEASE, session, ((Param.CAUSE, bytes((cause,))),))
