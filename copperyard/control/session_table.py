"""Life cycle of session requests: from the viewer's request to its one answer and to the end of the session.

This is the part of the core that is independent of the viewers' protocol. It passes events to the controller, turns
the controller's actions into I/O actions, numbers the attempts, and tracks what the controller cannot see: which
bytes have already left. A viewer protocol (RTSP, in RtspServer) hands in session requests and learns their outcome
through the callbacks of `RequestOwner`.

Each request is answered exactly once, with played, refused, failed or denied; all four go through `_answer`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..decide import Controller
from ..interface import (
    Action,
    Cancel,
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
    SessionNotice,
    SessionOpened,
    SetRung,
    SetTimer,
    Subscribe,
    TimerDue,
    ViewerLeft,
    ZoneAllocation,
)
from ..protocol.rtp import ReportBlock
from ..state.facts import CodeCleared, CodeRedeemed, CodeSent, digest
from .attempt import (
    Attempt,
    AttemptEnded,
    AttemptPlan,
    AttemptResult,
    ForwardedReply,
    HostChecked,
    HostNote,
    LoadReported,
    MediaData,
    PlaybackStarted,
    ReceiptReceived,
    RungAnswered,
    Stage,
)
from .budget import RetryBudget
from .catalogue import Title
from .controller_driver import ControllerDriver
from .host_reports import NoteRateLimiter
from .hosts import HostBook
from .io_actions import FlushAttempt, FollowList, IoAction, LogLine, ProbeHost, QueryCode, StartAttempt, StopAttempt
from .journal import JOURNAL_TIMEOUT_NS, Journal, NullJournal
from .redemption import ClaimResult, CodeState, Redemptions
from .rules import FrontRules
from .splice import Splice
from .timers import Timers
from .unresolved_codes import SetupFate, UnresolvedCodes, parse_settled

NOT_RUN_OUTCOMES = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.MOOT)
SECOND = 1_000_000_000
CODE_EXPIRY_INTERVAL_NS = 60 * SECOND  # ns between checks for expired codes
MAX_CODES_EXPIRED = 2000  # codes forgotten per run; about 1 ms


class RequestOwner(Protocol):
    """Callbacks of whoever made a session request, implemented by the viewer protocol."""

    def played(self, now: int, infos: tuple[tuple[int, int] | None, ...]) -> None:
        """Answer: the session plays. `infos` is the RTP-Info of each track (sequence number, timestamp), if known."""

    def refused(self, now: int, retry_after: int) -> None:
        """Answer: refused. A retry is safe, best after `retry_after` ns (0: no advice)."""

    def failed(self, now: int, code: OutcomeCode | None) -> None:
        """Answer: failed. Whether anything ran at a host is not known."""

    def denied(self, now: int, status: int, text: str) -> None:
        """Answer: not available to this viewer, regardless of capacity."""

    def media(self, now: int, media: MediaData) -> None:
        """Deliver media of the playing session to the viewer."""

    def forwarded_reply(self, now: int, reply: ForwardedReply) -> None:
        """Deliver the host's answer to a forwarded PAUSE or PLAY."""

    def ended(self, now: int, code: OutcomeCode) -> None:
        """The playing session has ended."""

    def redirected(self, now: int) -> None:
        """The session is about to end and the viewer is to request it again at this front."""

    def blocked(self) -> bool:
        """Return whether the viewer's output queue is full."""


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer's request for a session. `max_rung` is the highest rung that the viewer can use, `start_s` the
    position in the title in seconds, `splices` the RTP state of each requested track, `moved` whether it continues a
    session that was redirected.
    """

    title: Title
    tracks: tuple[int, ...]
    cls: int
    max_rung: int
    code: str | None
    start_s: float
    splices: tuple[Splice, ...]
    moved: bool = False


@dataclass(slots=True)
class RequestState:
    """State of one session request.

    The request's owner is None once the viewer has left. `code_is_fresh` is true while its code may still be sent as
    a new one. `playing` is set when the host plays; `playing_since` and `last_keep_alive` are loop times in ns.
    """

    ref: int
    request: SessionRequest
    owner: RequestOwner | None
    deadline: int
    code_is_fresh: bool
    rung: int = 0
    attempts: int = 0
    attempt: Attempt | None = None
    answered: bool = False
    playing: bool = False
    last_outcome: OutcomeCode | None = None
    host: str = ""
    last_keep_alive: int = 0
    playing_since: int = 0


class SessionObserver:
    """Observer of session requests and their outcomes. This base class ignores all events."""

    def session_requested(self, now: int, cls: int) -> None:
        """A viewer requested a session of class `cls`."""

    def session_ended(self, cls: int, ns: int) -> None:
        """A session of class `cls` ended after playing for `ns`."""

    def setup_finished(self, now: int, server: int, failed: bool) -> None:
        """A set-up at a host failed, or succeeded."""


@dataclass(slots=True)
class Counts:
    """Totals since the start. `_answer` updates the field of each answer by its name."""

    taken: int = 0
    played: int = 0
    refused: int = 0
    failed: int = 0
    denied: int = 0
    left: int = 0
    attempts: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class SessionTable:
    """All session requests of one front. Every method takes the loop's clock in ns; I/O actions are appended to the
    list that is passed in.
    """

    def __init__(
        self, rules: FrontRules, seed: int, name: str, io_actions: list[IoAction], controller: Controller | None = None
    ) -> None:
        s = rules.settings
        self.rules, self.name, self.io_actions = rules, name, io_actions
        self.controller = controller if controller is not None else Controller(s, seed)
        self.hosts = HostBook()
        # How long an attempt that is ready to leave waits for the rest of a server list update that has begun to
        # arrive. A set-up that left later than the drain grace after the update began would violate the grace.
        self.list_update_wait = s.drain_grace
        self.host_restarted: Callable[[int, int, str, int | None], bool] = lambda now, server, boot, age: False
        self.budget = RetryBudget(s.retry_window, s.free_retries, s.retry_ratio)
        self.codes = Redemptions(rules.bounds.codes)
        self.journal: Journal = NullJournal()
        self.observer = SessionObserver()
        self.unresolved_codes = UnresolvedCodes()
        self.host_name: Callable[[int], str] = str
        self.host_address: Callable[[str], str | None] = lambda name: None
        self._awaiting_journal: dict[int, Attempt] = {}  # attempts that wait for the journal, by ref
        self.timers = Timers()
        self.requests: dict[int, RequestState] = {}
        self.unanswered = 0  # number of requests that do not play yet
        self.counts = Counts()
        self._note_limiter = NoteRateLimiter()
        self._next_ref = 1
        self._probe_sent: dict[int, int] = {}
        self._notify_controller = ControllerDriver(
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
                Subscribe: self._watch,
                Log: self._log,
            },
        )

    # ---- controller actions

    def _log(self, now: int, action: Action) -> None:
        assert isinstance(action, Log)
        self.io_actions.append(LogLine("module", (("text", action.text),)))

    def _watch(self, now: int, action: Action) -> None:
        assert isinstance(action, Subscribe)
        self.io_actions.append(FollowList(action.on))

    def _set_timer(self, now: int, action: Action) -> None:
        assert isinstance(action, SetTimer)
        self.timers.set(("module", action.token), action.at)

    def _probe(self, now: int, action: Action) -> None:
        assert isinstance(action, Probe)
        address = self.hosts.address(action.server)
        if address is None:
            self._notify_controller(now, ProbeResult(action.server, OutcomeCode.MOOT, 0))
        else:
            self._probe_sent[action.server] = now
            self.io_actions.append(ProbeHost(action.server, address))

    def _rate(self, now: int, action: Action) -> None:
        assert isinstance(action, SetRung)
        state = self.requests.get(action.ref)
        if state is None:
            return
        state.rung = action.rung
        if state.attempt is not None and state.attempt.stage is Stage.OPEN:
            state.attempt.set_rung(action.rung)
            self.io_actions.append(FlushAttempt(state.attempt))

    def _send(self, now: int, action: Action) -> None:
        assert isinstance(action, Send)
        state = self.requests.get(action.ref)
        if state is None:
            return
        number, state.attempts = state.attempts, state.attempts + 1
        address = self.hosts.address(action.server)
        if state.attempt is not None or address is None or not self.hosts.may_start(action.server):
            # another attempt is still out, or the host is not known as ready: nothing is sent
            self._report_outcome(now, state, number, action.server, OutcomeCode.MOOT, 0, None)
            return
        request = state.request
        receipt = self.codes.receipt(request.code) if request.code is not None and not state.code_is_fresh else ""
        cls = self.rules.settings.classes[request.cls].name
        state.host = self.host_name(action.server)
        plan = AttemptPlan(
            state.ref,
            number,
            action.server,
            address,
            request.title,
            request.tracks,
            cls,
            state.rung,
            self.name,
            request.code if state.code_is_fresh else None,
            receipt,
            request.start_s,
        )
        state.attempt = Attempt(plan, self.rules.hosts, request.splices, now, min(action.deadline, state.deadline))
        if plan.code is not None:
            # The journal write runs while the connection is made; the set-up waits for both.
            fact = CodeSent(
                self.journal.service_time(now),
                digest(plan.code),
                f"{self.name}/{plan.ref}",
                self.host_name(plan.server),
            )
            state.attempt.intent_sequence, state.attempt.hold_play = self.journal.write(now, fact), True
        self.counts.attempts += 1
        self.io_actions.append(StartAttempt(state.attempt))

    def _cancel(self, now: int, action: Action) -> None:
        assert isinstance(action, Cancel)
        state = self.requests.get(action.ref)
        if (
            state is not None
            and state.attempt is not None
            and not state.playing
            and state.attempt.plan.number == action.attempt
        ):
            self._end_attempt(state.attempt, OutcomeCode.CANCELLED)

    def _move(self, now: int, action: Action) -> None:
        assert isinstance(action, Move)
        state = self.requests.get(action.ref)
        if state is not None and state.attempt is not None and state.playing:
            if state.owner is not None:
                state.owner.redirected(now)
            self._end_attempt(state.attempt, OutcomeCode.CANCELLED)

    def _refuse(self, now: int, action: Action) -> None:
        assert isinstance(action, Refuse)
        state = self.requests.get(action.ref)
        if state is not None:
            self._answer(now, state, "refused", lambda c: c.refused(now, action.retry_after))

    def _fail(self, now: int, action: Action) -> None:
        assert isinstance(action, Fail)
        state = self.requests.get(action.ref)
        if state is not None:
            self._answer(now, state, "failed", lambda c: c.failed(now, state.last_outcome))

    # ---- session requests

    def begin(self, now: int, request: SessionRequest, owner: RequestOwner) -> int | None:
        """Accept a session request. The owner is told the answer, possibly before this method returns.

        Returns the request's ref, or None if it was answered without the controller: its code is in use, unclear or
        exceeds the number of codes, the journal is down, or too many requests are unanswered.
        """
        kind = self.rules.settings.classes[request.cls]
        ref, self._next_ref = self._next_ref, self._next_ref + 1
        self.counts.taken += 1
        if self.unanswered >= self.rules.bounds.open_requests:
            self.counts.failed += 1
            owner.denied(now, 503, "too many requests wait for their answer")
            return None
        fresh = True
        if request.code is not None:
            result = self.codes.claim(request.code, ref)
            if result is ClaimResult.UNCLEAR:
                self.unresolved_codes.query_soon(now, digest(request.code))
                self.schedule_code_queries(now)
            elif result is ClaimResult.REDEEM and not self.journal.healthy:
                # Without a working journal a redemption would be lost if the process were killed, so none is started.
                # Free sessions and sessions whose code is already redeemed are not affected.
                self.codes.release(request.code, ref)
                self.counts.denied += 1
                owner.denied(now, 503, "codes cannot be taken just now")
                return None
            fresh = result is ClaimResult.REDEEM
            if result in _CODE_DENIALS:
                self.counts.denied += 1
                owner.denied(now, *_CODE_DENIALS[result])
                return None
        state = RequestState(ref, request, owner, now + kind.deadline, fresh)
        self.requests[ref] = state
        self.unanswered += 1
        self.budget.count_request(now)
        self.observer.session_requested(now, request.cls)
        self.timers.set(("overdue", ref), state.deadline)
        length = request.title.length
        hint = max(0, length - int(request.start_s * SECOND)) if length is not None else None
        title = request.title
        self._notify_controller(
            now,
            Request(
                ref,
                request.cls,
                request.max_rung,
                state.deadline,
                title.number,
                title.home,
                title.holders,
                hint,
                request.moved,
            ),
        )
        return ref

    def viewer_left(self, now: int, ref: int) -> None:
        """End a request because the viewer left or sent TEARDOWN."""
        state = self.requests.get(ref)
        if state is None or state.owner is None:
            return
        state.owner = None
        attempt = state.attempt
        if not state.answered:
            self.counts.left += 1
        if attempt is None:
            self._notify_controller(now, ViewerLeft(ref))
            self._remove(now, state)
        elif state.playing:
            self._end_attempt(attempt, OutcomeCode.OK)
        else:
            self._notify_controller(now, ViewerLeft(ref))
            if not (attempt.sent and attempt.plan.code is not None):
                self._end_attempt(attempt, OutcomeCode.CANCELLED)
            # Otherwise the code may be redeemed at this moment. The attempt continues to its deadline, so that the
            # viewer's next request finds the receipt instead of an unclear code.

    def received_by_viewer(self, ref: int, track: int, blocks: tuple[ReportBlock, ...]) -> None:
        """Forward a viewer's RTCP reception blocks to the host. `track` is the index among the request's tracks."""
        state = self.requests.get(ref)
        if state is not None and state.attempt is not None and state.attempt.forward_receiver_report(track, blocks):
            self.io_actions.append(FlushAttempt(state.attempt))

    def pause(self, now: int, ref: int) -> None:
        """Forward a viewer's PAUSE. `forwarded_reply` or `ended` follows within the class's deadline."""
        state = self.requests[ref]
        if state.attempt is not None:
            state.attempt.pause()
            self._await_forwarded_reply(now, state)

    def resume(self, now: int, ref: int, start: str | None) -> None:
        """Forward a viewer's PLAY after a pause, from `start` (a Range value) or from the paused position."""
        state = self.requests[ref]
        if state.attempt is not None:
            state.attempt.resume(start)
            self._await_forwarded_reply(now, state)

    def _await_forwarded_reply(self, now: int, state: RequestState) -> None:
        assert state.attempt is not None
        self.io_actions.append(FlushAttempt(state.attempt))
        self.timers.set(("asked", state.ref), now + self.rules.settings.classes[state.request.cls].deadline)

    # ---- attempts: called by the I/O

    def connected(self, now: int, attempt: Attempt) -> bool:
        """The connection to the host is established. Returns whether the attempt may continue; if not, the I/O closes
        the connection and reports it.

        This is the last moment at which nothing has run: a drain learned of while connecting, or a retry budget that
        is used up by now, still stops the set-up.
        """
        attempt.last_exchange_ns = now - attempt.decided_at
        if self.rules.settings.rank_and_offset is None or self.hosts.heard_recently(now, attempt.plan.server):
            return self._start_setup(now, attempt)
        # A host that restarted since it was last heard is cold, and the server list may report that later. It is
        # checked before the set-up is sent.
        if attempt.outcome is None and self._is_stale(now, attempt):
            attempt.outcome = OutcomeCode.MOOT
        if attempt.outcome is None:
            self.timers.set(("ask", attempt.plan.ref), now + self.rules.settings.connect_timeout)
            attempt.send_host_check(now)
        return attempt.outcome is None

    def _is_stale(self, now: int, attempt: Attempt) -> bool:
        """Return whether the decision behind an attempt may be outdated: the host has become unavailable or
        restarted, the deadline has passed, or so much time went by (this process was stalled) that the attempt's turn
        at a cold host has passed to another front.
        """
        # The answer takes at least as long as the last exchange. A set-up that is sent later than that is closed
        # while its first byte is still on its way, and the next attempt overtakes it (seed 3091).
        max_age = 2 * self.rules.settings.connect_timeout + (JOURNAL_TIMEOUT_NS if attempt.intent_sequence else 0)
        return (
            now + attempt.last_exchange_ns >= attempt.deadline
            or now - attempt.decided_at > max_age
            or not self.hosts.may_start(attempt.plan.server, attempt.decided_at)
        )

    def _start_setup(self, now: int, attempt: Attempt) -> bool:
        """Send the set-up unless the attempt is outdated or over budget. Returns whether the attempt continues."""
        plan = attempt.plan
        if attempt.outcome is None and self._is_stale(now, attempt):
            attempt.outcome = OutcomeCode.MOOT
        if attempt.outcome is None and not self.journal.durable(attempt.intent_sequence):
            # The intent must be durable first: from here on the code may be redeemed, and that must survive a crash.
            self._awaiting_journal[plan.ref] = attempt
            self.timers.set(("store", plan.ref), now + JOURNAL_TIMEOUT_NS)
            return True
        if attempt.outcome is None and plan.number > 0 and not self.budget.try_spend(now):
            attempt.outcome = OutcomeCode.MOOT
        if attempt.outcome is not None:
            return False
        if plan.code is not None:
            self.codes.mark_sent(plan.code)
        attempt.start_setup(now)
        return True

    def journal_advanced(self, now: int) -> None:
        """More of the journal is durable, or the disk failed. Continues or ends the attempts that waited for it."""
        for ref, attempt in list(self._awaiting_journal.items()):
            if attempt.stage in (Stage.CONNECT, Stage.CHECK):
                if self.journal.durable(attempt.intent_sequence):
                    self._stop_journal_wait(ref)
                    if self._start_setup(now, attempt):
                        self.io_actions.append(FlushAttempt(attempt))
                    else:
                        attempt.tear_down()
                        self.io_actions.append(StopAttempt(attempt))
            elif self.journal.durable(attempt.receipt_sequence):
                self._stop_journal_wait(ref)
                attempt.release_play()
                self.io_actions.append(FlushAttempt(attempt))

    def _stop_journal_wait(self, ref: int) -> None:
        self._awaiting_journal.pop(ref, None)
        self.timers.cancel(("store", ref))

    def _journal_late(self, now: int, ref: int) -> None:
        """End an attempt's wait for the journal.

        A set-up that has not been sent is dropped. A redeemed code is not withheld from its viewer any longer: its
        intent is durable, and a receipt lost in a crash is recovered by querying the host.
        """
        attempt = self._awaiting_journal.pop(ref, None)
        if attempt is None:
            return
        self.io_actions.append(LogLine("journal late", (("ref", ref),)))
        if attempt.sent:
            attempt.release_play()
            self.io_actions.append(FlushAttempt(attempt))
        else:
            self._end_attempt(attempt, OutcomeCode.MOOT)

    # ---- unclear codes

    def schedule_code_queries(self, now: int) -> None:
        """Set the timer for the next query about an unclear code."""
        due = self.unresolved_codes.next_due()
        if due is not None:
            self.timers.set(("settle", 0), max(now, due))

    def _query_unclear_codes(self, now: int) -> None:
        for unclear in self.unresolved_codes.start_due_queries(now, lambda name: self.host_address(name) is not None):
            address = self.host_address(unclear.host)
            assert address is not None
            self.io_actions.append(QueryCode(address, unclear.request, unclear.code))
        self.schedule_code_queries(now)

    def code_query_answered(self, now: int, code: bytes, text: str | None) -> None:
        """Take a host's answer about an unclear code, None if it gave none."""
        answer, receipt = parse_settled(text)
        if self.unresolved_codes.record_answer(now, code, answer):
            self.resolve_code(now, code, receipt if answer is SetupFate.REDEEMED else None)
        self.schedule_code_queries(now)

    def expire_codes(self, now: int) -> int:
        """Forget codes that have expired at the redemption service, a bounded number per run. Returns the time of the
        next run. Runs as a background job.
        """
        before = self.journal.service_time(now) - self.rules.bounds.code_life
        found = self.journal.state.expire(before, MAX_CODES_EXPIRED)
        self.codes.forget(found)
        for code in found:
            self.unresolved_codes.drop(code)
        return now if len(found) == MAX_CODES_EXPIRED else now + CODE_EXPIRY_INTERVAL_NS

    def restore(self, now: int) -> None:
        """Take over the codes that the journal of an earlier run holds."""
        state = self.journal.state
        self.codes.restore(state.codes)
        for code, kept in state.unclear().items():
            self.unresolved_codes.add(now, code, kept.request, kept.host)
        self.schedule_code_queries(now)

    def resolve_code(self, now: int, code: bytes, receipt: str | None) -> None:
        """Record what became of an unclear code: redeemed with `receipt`, or never redeemed if it is None."""
        if self.codes.resolve(code, receipt):
            at = self.journal.service_time(now)
            self.journal.write(now, CodeCleared(at, code) if receipt is None else CodeRedeemed(at, code, receipt))
            self.io_actions.append(LogLine("code settled", (("redeemed", "no" if receipt is None else "yes"),)))

    def _host_checked(self, now: int, attempt: Attempt, check: HostChecked) -> None:
        """The host answered the check before the set-up. If it has restarted, the controller decides again."""
        plan = attempt.plan
        self.timers.cancel(("ask", plan.ref))
        attempt.last_exchange_ns = now - attempt.check_sent_at
        if check.up is not None and self.host_restarted(now, plan.server, *check.up):
            self._end_attempt(attempt, OutcomeCode.MOOT)
        elif not self._start_setup(now, attempt):
            attempt.tear_down()
            self.io_actions.append(StopAttempt(attempt))

    def received(self, now: int, attempt: Attempt, data: bytes) -> None:
        """Process bytes from a host."""
        state = self.requests.get(attempt.plan.ref)
        if state is None or state.attempt is not attempt or attempt.outcome is not None:
            return
        self.hosts.heard(now, attempt.plan.server)
        for result in attempt.receive(now, data):
            if attempt.outcome is not None:
                break
            self._handle_result(now, state, attempt, result)
        if attempt.out and attempt.outcome is None:
            self.io_actions.append(FlushAttempt(attempt))

    def expired(self, now: int, attempt: Attempt) -> None:
        """The attempt's deadline passed; the I/O has closed the connection or is about to."""
        if attempt.outcome is None and attempt.stage is not Stage.OPEN:
            attempt.outcome = OutcomeCode.TIMEOUT if attempt.sent else OutcomeCode.CONNECT_FAILED

    def closed(self, now: int, attempt: Attempt) -> None:
        """The connection to the host is closed. This is the only place where an attempt ends."""
        state = self.requests.get(attempt.plan.ref)
        if state is None or state.attempt is not attempt:
            return
        code = attempt.outcome if attempt.outcome is not None else attempt.connection_lost_code()
        attempt.outcome, attempt.stage = code, Stage.DONE
        state.attempt = None
        plan = attempt.plan
        self._stop_journal_wait(plan.ref)
        if plan.code is not None and (code in NOT_RUN_OUTCOMES or not attempt.sent):
            self._record_never_ran(now, plan.code)
        if state.playing and state.owner is not None:
            state.owner.ended(now, code)
        self._report_outcome(now, state, plan.number, plan.server, code, now - attempt.decided_at, attempt.report)

    def _record_never_ran(self, now: int, code: str) -> None:
        if self.codes.mark_never_ran(code):
            self.journal.write(now, CodeCleared(self.journal.service_time(now), digest(code)))

    def _report_outcome(
        self,
        now: int,
        state: RequestState,
        number: int,
        server: int,
        code: OutcomeCode,
        duration: int,
        report: Report | None,
    ) -> None:
        over = state.playing or state.answered or state.owner is None
        if state.playing:
            self.observer.session_ended(state.request.cls, max(0, now - state.playing_since))
        else:
            self.observer.setup_finished(
                now,
                server,
                code in (OutcomeCode.TIMEOUT, OutcomeCode.CONNECT_FAILED, OutcomeCode.RESET, OutcomeCode.ERROR),
            )
        state.last_outcome = code
        self.counts.outcomes[code.name] = self.counts.outcomes.get(code.name, 0) + 1
        if code is not OutcomeCode.OK:
            self._log_line("attempt ended", state, ("attempt", number), ("server", server), ("outcome", code.name))
        if over:
            self._remove(now, state)
        self._notify_controller(now, Outcome(state.ref, number, server, code, duration, over, report))

    def _end_attempt(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Start to end an attempt. Its outcome is reported once the connection is closed."""
        if attempt.outcome is None:
            attempt.outcome = code
            attempt.tear_down()
            self.io_actions.append(StopAttempt(attempt))

    def _handle_result(self, now: int, state: RequestState, attempt: Attempt, result: AttemptResult) -> None:
        plan = attempt.plan
        if isinstance(result, MediaData):
            if state.owner is not None:
                state.owner.media(now, result)
        elif isinstance(result, PlaybackStarted):
            self._playback_started(now, state, attempt, result)
        elif isinstance(result, HostNote):
            if self._note_limiter.allows(now, plan.server, result.kind):
                self._notify_controller(
                    now, SessionNotice(plan.ref, plan.number, plan.server, result.kind, result.value)
                )
        elif isinstance(result, LoadReported):
            self._notify_controller(now, ProbeResult(plan.server, OutcomeCode.OK, 0, result.report))
        elif isinstance(result, HostChecked):
            self._host_checked(now, attempt, result)
        elif isinstance(result, ReceiptReceived):
            if state.request.code is not None:
                self.codes.mark_redeemed(state.request.code, result.receipt)
                if attempt.hold_play:
                    self._record_receipt(now, attempt, state.request.code, result.receipt)
        elif isinstance(result, RungAnswered):
            if not result.ok:
                self.io_actions.append(LogLine("rung not followed", (("ref", plan.ref), ("rung", result.rung))))
                self._notify_controller(
                    now, SessionNotice(plan.ref, plan.number, plan.server, NoticeKind.RUNG, float(result.rung))
                )
        elif isinstance(result, ForwardedReply):
            self.timers.cancel(("asked", plan.ref))
            if state.owner is not None:
                state.owner.forwarded_reply(now, result)
        else:
            self._attempt_ended(now, state, attempt, result)

    def _record_receipt(self, now: int, attempt: Attempt, code: str, receipt: str) -> None:
        fact = CodeRedeemed(self.journal.service_time(now), digest(code), receipt)
        attempt.receipt_sequence = self.journal.write(now, fact)
        if self.journal.durable(attempt.receipt_sequence):
            attempt.release_play()
        else:
            self._awaiting_journal[attempt.plan.ref] = attempt
            self.timers.set(("store", attempt.plan.ref), now + JOURNAL_TIMEOUT_NS)

    def _attempt_ended(self, now: int, state: RequestState, attempt: Attempt, ended: AttemptEnded) -> None:
        if ended.status == 403 and attempt.plan.code is not None and not state.playing:
            # The redemption service does not accept the code. That is the viewer's error and must not count against
            # the host.
            self._record_never_ran(now, attempt.plan.code)
            self._answer(now, state, "denied", lambda c: c.denied(now, 403, "the code is not valid"))
            self._end_attempt(attempt, OutcomeCode.CANCELLED)
        else:
            self._end_attempt(attempt, ended.code)

    def _playback_started(self, now: int, state: RequestState, attempt: Attempt, started: PlaybackStarted) -> None:
        if state.owner is None or state.answered:
            self._end_attempt(attempt, OutcomeCode.CANCELLED)
        elif now > state.deadline:
            self._end_attempt(attempt, OutcomeCode.TIMEOUT)  # too late to count as an answer
        else:
            state.playing, state.last_keep_alive, state.playing_since = True, now, now
            self.observer.setup_finished(now, attempt.plan.server, False)
            self.unanswered -= 1
            self._answer(now, state, "played", lambda c: c.played(now, started.infos))
            self.timers.set(("alive", state.ref), now + self.rules.bounds.silence)
            plan = attempt.plan
            self._notify_controller(now, SessionOpened(plan.ref, plan.number, plan.server, now - attempt.decided_at))

    # ---- answers

    def _answer(self, now: int, state: RequestState, kind: str, tell: Callable[[RequestOwner], None]) -> None:
        """Answer a request. Every answer goes through here."""
        if state.answered:
            return
        state.answered = True
        if kind != "played":
            self._log_line(kind, state, ("attempts", state.attempts))
        self.timers.cancel(("overdue", state.ref))
        setattr(self.counts, kind, getattr(self.counts, kind) + 1)
        owner = state.owner
        if owner is not None:
            tell(owner)
        if state.attempt is None:
            self._remove(now, state)

    def _log_line(self, event: str, state: RequestState, *fields: tuple[str, str | int]) -> None:
        """Log an event of a session request. All lines of a session share its ref; successful steps are not logged."""
        cls = self.rules.settings.classes[state.request.cls].name
        self.io_actions.append(
            LogLine(event, (("ref", state.ref), ("class", cls), ("title", state.request.title.path), *fields))
        )

    def _remove(self, now: int, state: RequestState) -> None:
        """Remove a finished request and release its code."""
        if self.requests.pop(state.ref, None) is not None and not state.playing:
            self.unanswered -= 1
        for kind in ("overdue", "alive", "asked", "ask"):
            self.timers.cancel((kind, state.ref))
        if state.request.code is not None and self.codes.release(state.request.code, state.ref) is CodeState.UNCLEAR:
            key = digest(state.request.code)
            self.unresolved_codes.add(now, key, f"{self.name}/{state.ref}", state.host)
            self.schedule_code_queries(now)

    # ---- updates and timers

    def set_zone_allocation(self, now: int, allocation: ZoneAllocation) -> None:
        """Pass on the allocation between zones that the gateways agreed on."""
        self._notify_controller(now, allocation)

    def list_updated(self, now: int, update: ServerList, addresses: dict[int, str]) -> None:
        """Take an update of the server list."""
        self.hosts.update(now, update, addresses)
        self._notify_controller(now, update)

    def probed(self, now: int, server: int, code: OutcomeCode, report: Report | None) -> None:
        """Take the result of a probe."""
        self._notify_controller(now, ProbeResult(server, code, now - self._probe_sent.pop(server, now), report))

    def timer_due(self, now: int, key: object) -> None:
        """Handle a timer of this table. The kinds are: module (the controller's timers), settle (queries about
        unclear codes), store (journal wait), overdue (request deadline), alive (host silence), ask (host check),
        asked (forwarded PAUSE or PLAY).
        """
        assert isinstance(key, tuple)
        kind, number = key
        if kind == "module":
            self._notify_controller(now, TimerDue(number))
            return
        if kind == "settle":
            return self._query_unclear_codes(now)
        if kind == "store":
            return self._journal_late(now, number)
        state = self.requests.get(number)
        if state is None:
            return
        if kind == "overdue":
            self._deadline_passed(now, state)
        elif kind == "alive":
            self._check_host_silence(now, state)
        elif kind == "ask":
            if state.attempt is not None and state.attempt.stage is Stage.CHECK:
                self._end_attempt(
                    state.attempt, OutcomeCode.CONNECT_FAILED
                )  # accepts connections but does not answer: nothing ran
        elif kind == "asked" and state.attempt is not None:
            self._end_attempt(state.attempt, OutcomeCode.TIMEOUT)  # the host did not answer a PAUSE or PLAY

    def _deadline_passed(self, now: int, state: RequestState) -> None:
        """The request's deadline passed without an answer: this process was stalled, or the host's bytes were late. A
        late failure is still an answer.
        """
        self._notify_controller(now, ViewerLeft(state.ref))
        attempt = state.attempt
        self._answer(now, state, "failed", lambda c: c.failed(now, OutcomeCode.TIMEOUT))
        if attempt is not None:
            self._end_attempt(attempt, OutcomeCode.TIMEOUT)

    def _check_host_silence(self, now: int, state: RequestState) -> None:
        """Check that the host of a playing session still sends. A host that vanishes without a reset sends nothing,
        not even an end of stream.
        """
        attempt = state.attempt
        if attempt is None or attempt.outcome is not None:
            return
        bounds, plan = self.rules.bounds, attempt.plan
        silent_for = 0 if state.owner is not None and state.owner.blocked() else now - attempt.last_heard
        if silent_for >= bounds.dead:
            self._end_attempt(attempt, OutcomeCode.TIMEOUT)
            return
        if silent_for >= bounds.silence and self._note_limiter.allows(now, plan.server, NoticeKind.SHARE):
            self._notify_controller(now, SessionNotice(plan.ref, plan.number, plan.server, NoticeKind.SHARE, 0.0))
        if silent_for >= bounds.silence or now - state.last_keep_alive >= bounds.idle // 3:
            state.last_keep_alive = now
            attempt.keep_alive()
            self.io_actions.append(FlushAttempt(attempt))
        self.timers.set(("alive", state.ref), now + bounds.silence)


_CODE_DENIALS = {
    ClaimResult.BUSY: (403, "the code is in use"),
    # a refusal would promise that a retry is safe, which is not known for an unclear code
    ClaimResult.UNCLEAR: (500, "whether the code was redeemed is not known"),
    ClaimResult.TABLE_FULL: (503, "too many codes are in use"),
}
