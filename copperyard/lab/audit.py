"""Auditor: checks the six rules using only the bytes that passed on the sockets.

Taps record the connections at the simulated ends: viewers, hosts and the list service. What a front knew, and when it
received a request, sent a set-up or ended one, is derived from these bytes; the front's own state is never read.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..control.rules import FrontRules
from ..control.unresolved_codes import SETTLE_HEADER, SETTLED_HEADER, SetupFate
from ..interface import ClassSettings, Effect
from ..protocol.rtsp import (
    Connection,
    Event,
    Frame,
    FrameBatch,
    Limits,
    MatchedResponse,
    Request,
    Response,
    UnsolicitedResponse,
)

CAPTURE_LIMITS = Limits(1 << 16, 256, 1 << 20, 65535, 1 << 16)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule: when (ns), by which front, and what was observed."""

    rule: int
    time: int
    front: str
    text: str


class TappedConnection:
    """One tapped connection: its messages in order, each with the time at which it was complete.

    `name` is the gateway of a viewer's connection, or the host of a host's connection; `boot` is that host's boot.
    """

    def __init__(self, name: str, boot: int = 0) -> None:
        self.name, self.boot = name, boot
        self.messages: list[
            tuple[int, bool, Request | Response]
        ] = []  # time (ns), whether the stand-in sent it, message
        self.frames = 0
        self.ended_at: int | None = None
        self.closed_by_stand_in = False
        self._outgoing, self._incoming = Connection(CAPTURE_LIMITS), Connection(CAPTURE_LIMITS)

    def sent(self, time: int, data: bytes) -> None:
        """Record bytes that the stand-in wrote."""
        self._record(time, True, self._outgoing.receive(data))

    def received(self, time: int, data: bytes) -> None:
        """Record bytes that the stand-in read."""
        self._record(time, False, self._incoming.receive(data))

    def ended(self, time: int, by_stand_in: bool = False) -> None:
        """Record the end of the connection, and whether the stand-in closed it; only the first call counts."""
        if self.ended_at is None:
            self.ended_at, self.closed_by_stand_in = time, by_stand_in

    def _record(self, time: int, outgoing: bool, events: Iterable[Event]) -> None:
        for event in events:
            if isinstance(event, Frame | FrameBatch):
                self.frames += 1
            elif isinstance(event, Request):
                self.messages.append((time, outgoing, event))
            elif isinstance(event, UnsolicitedResponse | MatchedResponse):
                self.messages.append((time, outgoing, event.response))


class Tap:
    """Records all traffic and all process events of one rehearsal."""

    def __init__(self) -> None:
        self.viewers: list[TappedConnection] = []
        self.hosts: list[TappedConnection] = []
        self.lists: list[tuple[int, str, bytes]] = []
        self.kills: list[tuple[int, str]] = []
        self.stalls: list[tuple[int, int, str]] = []
        self.host_starts: dict[tuple[str, int], tuple[int, int]] = {}

    def viewer_connection(self, gateway: str) -> TappedConnection:
        """Start recording a viewer's connection to a gateway."""
        self.viewers.append(TappedConnection(gateway))
        return self.viewers[-1]

    def host_connection(self, host: str, boot: int) -> TappedConnection:
        """Start recording a connection that a host accepted."""
        self.hosts.append(TappedConnection(host, boot))
        return self.hosts[-1]

    def list_body(self, time: int, front: str, body: bytes) -> None:
        """Record a body that the list service sent to a front."""
        self.lists.append((time, front, body))

    def gateway_killed(self, time: int, gateway: str) -> None:
        """Record that a gateway's process was killed."""
        self.kills.append((time, gateway))

    def gateway_stalled(self, begin: int, end: int, gateway: str) -> None:
        """Record that a gateway was stalled from `begin` to `end`: nothing went in or out of it."""
        self.stalls.append((begin, end, gateway))

    def host_started(self, time: int, host: str, boot: int, started: int, kind: int) -> None:
        """Record that a host's process listens; `started` is 0 if it is warm already."""
        self.host_starts[host, boot] = (started, kind)


@dataclass(slots=True)
class Attempt:
    """One attempt as seen on a host's connection. `rungs` holds (time, rung) from the SETUP on."""

    time: int
    connection: TappedConnection
    request: Request
    end: int = 1 << 62
    status: int | None = None  # of the first SETUP
    rungs: list[tuple[int, int]] = field(default_factory=list)

    @property
    def front(self) -> str:
        """The front that sent the attempt, from the Via header."""
        return (self.request.header("Via") or "").rpartition(" ")[2]

    @property
    def id(self) -> str:
        """The session request that the attempt belongs to, from the Request-Id header."""
        return self.request.header("Request-Id") or ""

    @property
    def path(self) -> str:
        """The title's path, without the track."""
        return self.request.uri.split("/", 3)[-1].rpartition("/track")[0]

    @property
    def proven_not_run(self) -> bool:
        """Whether the host answered that nothing ran, which is the only proof once bytes have been sent."""
        return self.status in (403, 453)


@dataclass(slots=True)
class PlayRequest:
    """A viewer's PLAY that starts a session request, and its answer."""

    time: int
    front: str
    code: str
    cls: ClassSettings
    status: int | None = None
    answered_at: int | None = None


class Auditor:
    """Checks a tap after the run.

    `slack` (ns) allows for delays in the stand-ins' own reading. `max_lateness` (ns) is how late an answer may be
    because of the machine's scheduling rather than the front's planning. With `keeps_state`, gateways have durable
    state, so a restarted gateway is bound by what it did before the restart.
    """

    def __init__(self, rules: FrontRules, tap: Tap, slack: int, max_lateness: int, keeps_state: bool = False) -> None:
        self.keeps_state = keeps_state
        self._never_run = [found for side in tap.hosts for found in _find_never_run(side)]
        self.rules, self.tap, self.slack, self.max_lateness = rules, tap, slack, max_lateness
        self.violations: list[Violation] = []
        self.play_requests: list[PlayRequest] = []
        self.attempts = [t for side in tap.hosts for t in _find_attempts(side)]
        self.attempts.sort(key=lambda t: t.time)

    def check(self) -> list[Violation]:
        """Check all rules and return the violations in the order of the rules."""
        for side in self.tap.viewers:
            self._check_viewer(side)
        self._check_single_setup()
        self._check_drains()
        self._check_cold_hosts()
        self._check_floors_and_seats()
        self._check_retry_budget()
        return self.violations

    def _report(self, rule: int, time: int, front: str, text: str) -> None:
        self.violations.append(Violation(rule, time, front, text))

    # ---- rule 1: exactly one answer, in time

    def _class_and_code(self, uri: str) -> tuple[ClassSettings, str]:
        path, _, query = uri.partition("?")
        code = next((part[5:] for part in query.split("&") if part.startswith("code=")), "")
        path = "/" + path.split("/", 3)[-1]
        entry = next(
            (e for e in self.rules.admission_rules if path.startswith(e.prefix) and e.paid == bool(code)),
            self.rules.admission_rules[0],
        )
        return self.rules.settings.classes[entry.cls], code

    def _check_viewer(self, side: TappedConnection) -> None:
        pending: dict[str, tuple[int, Request, PlayRequest | None]] = {}
        sessions: dict[str, tuple[ClassSettings, str]] = {}
        front = side.name
        for time, outgoing, message in side.messages:
            if outgoing and isinstance(message, Request):
                play_request = None
                name = (message.header("Session") or "").split(";")[0]
                play_pending = any(
                    r.method == "PLAY" and (r.header("Session") or "").split(";")[0] == name
                    for _, r, _ in pending.values()
                )
                if message.method == "PLAY" and name in sessions and not play_pending:
                    cls, code = sessions[name]
                    play_request = PlayRequest(time, front, code, cls)
                    self.play_requests.append(play_request)
                pending[message.header("CSeq") or ""] = (time, message, play_request)
            elif isinstance(message, Response) and not outgoing:
                front = message.header("Server") or front
                cseq = message.header("CSeq") or ""
                if cseq not in pending:
                    if message.status not in (400, 413, 414):  # answers to malformed requests have no CSeq
                        self._report(
                            1, time, front, f"unexpected answer {message.status}: no request is pending for it"
                        )
                    continue
                self._check_answer(side, time, front, message, pending.pop(cseq), sessions)
        longest = max(c.deadline for c in self.rules.settings.classes)
        for sent, request, _ in pending.values():
            due = self._due_time(side.name, self._due_time(side.name, sent) + longest)
            viewer_left = (
                side.ended_at is not None and side.closed_by_stand_in and side.ended_at <= due + self.max_lateness
            )
            # Excused if the connection's gateway was killed before the answer was due. The kill may precede the
            # request: a viewer that has not noticed it yet still writes into the dead connection.
            first_message = side.messages[0][0]
            gateway_killed = any(
                gateway == side.name and first_message - self.slack <= at <= sent + longest + self.max_lateness
                for at, gateway in self.tap.kills
            )
            if not viewer_left and not gateway_killed:
                self._report(1, sent, front, f"{request.method} {request.uri} was never answered")

    def _check_answer(
        self,
        side: TappedConnection,
        time: int,
        front: str,
        response: Response,
        pending: tuple[int, Request, PlayRequest | None],
        sessions: dict[str, tuple[ClassSettings, str]],
    ) -> None:
        sent, request, play_request = pending
        name = (response.header("Session") or "").split(";")[0]
        if request.method == "SETUP" and response.status == 200:
            sessions[name] = self._class_and_code(request.uri)
        if play_request is not None:
            play_request.status, play_request.answered_at, play_request.front = response.status, time, front
        limit = (
            play_request.cls.deadline
            if play_request is not None
            else max(c.deadline for c in self.rules.settings.classes)
        )
        # a stalled gateway receives what was written to it when it resumes
        received = self._due_time(side.name, sent)
        if time > self._due_time(side.name, received + limit) + self.max_lateness:
            self._report(
                1, time, front, f"{request.method} answered {response.status} after " f"{(time - sent) / 1e9:.3f} s"
            )

    def _due_time(self, gateway: str, due: int) -> int:
        """Return when an answer is due, given the deadline `due`.

        If the deadline passes while the gateway is stalled, the answer is due as soon as the gateway resumes. Bytes
        that were in flight (within `slack`) when the stall began count as received during the stall.
        """
        return next(
            (end for begin, end, name in self.tap.stalls if name == gateway and begin - self.slack <= due <= end), due
        )

    # ---- rule 2: no set-up runs twice

    def _check_single_setup(self) -> None:
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        by_code: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        unsafe_classes = {c.name for c in self.rules.settings.classes if c.effect != Effect.SAFE}
        for attempt in self.attempts:
            by_id[attempt.id].append(attempt)
            code = attempt.request.header("Redeem")
            if code:
                by_code[self._accountable_front(attempt.front), code].append(attempt)
        for attempts in by_id.values():
            for before, after in zip(attempts, attempts[1:], strict=False):
                # An attempt that the front has already closed may reach its host after the next attempt reached a
                # nearer host: its bytes and its end then arrive together, and it gets no answer (seed 3091).
                crossed = (
                    after.status is None
                    and after.end - after.time <= self.slack
                    and after.time - before.time <= self.slack
                )
                if after.time < before.end - self.slack and not crossed:
                    self._report(2, after.time, after.front, f"{after.id}: two attempts open at the same time")
                if after.request.header("Class") in unsafe_classes and not before.proven_not_run:
                    self._report(2, after.time, after.front, f"{after.id}: sent again though it may have run")
        for (front, _), attempts in by_code.items():
            for before, after in zip(attempts, attempts[1:], strict=False):
                if not before.proven_not_run and not self._proven_not_run(before, after.time):
                    self._report(
                        2,
                        after.time,
                        front,
                        f"{after.id}: a code sent again though {before.id} may have " "redeemed it",
                    )
        for play_request in self.play_requests:
            if play_request.status == 453 and play_request.code and play_request.answered_at is not None:
                for attempt in by_code.get((self._accountable_front(play_request.front), play_request.code), ()):
                    if self._proven_not_run(attempt, play_request.answered_at):
                        continue
                    if (
                        play_request.time - self.slack <= attempt.time <= play_request.answered_at
                        and not attempt.proven_not_run
                    ):
                        self._report(
                            2, play_request.answered_at, play_request.front, f"refused though {attempt.id} may have run"
                        )

    def _accountable_front(self, front: str) -> str:
        """The front that is bound by the promise: with durable state, a gateway and all its restarts are one."""
        return front.partition(".")[0] if self.keeps_state else front

    def _proven_not_run(self, attempt: Attempt, by: int) -> bool:
        """Whether a host had confirmed by the time `by` that this set-up never ran and never will."""
        return any(time <= by and request == attempt.id for time, request in self._never_run)

    # ---- rule 3: drains

    def _check_drains(self) -> None:
        histories: dict[str, list[tuple[int, dict[str, int]]]] = {}
        known: dict[str, dict[str, int]] = {}
        for time, front, body in self.tap.lists:
            raw = json.loads(body)
            before = known.get(front, {})
            states = {h["id"]: h.get("state", "ready") for h in raw["hosts"]}
            ended = (
                dict(before)
                if raw.get("since") is not None
                else {name: before.get(name, time) for name in self._host_names() if name not in states}
            )
            for name, state in states.items():
                if state == "ready":
                    ended.pop(name, None)
                else:
                    ended[name] = before.get(name, time)
            known[front] = ended
            histories.setdefault(front, []).append((time, ended))
        grace = self.rules.settings.drain_grace
        for attempt in self.attempts:
            ended = next((e for t, e in reversed(histories.get(attempt.front, [])) if t <= attempt.time), {})
            since = ended.get(attempt.connection.name)
            if since is not None and attempt.time > since + grace + self.slack:
                self._report(
                    3,
                    attempt.time,
                    attempt.front,
                    f"{attempt.id} went to {attempt.connection.name} "
                    f"{(attempt.time - since) / 1e9:.3f} s after the list announced its drain or end",
                )

    def _host_names(self) -> set[str]:
        return {name for name, _ in self.tap.host_starts}

    # ---- rule 4: cold hosts

    def _check_cold_hosts(self) -> None:
        s = self.rules.settings
        for (host, boot), (started, kind) in self.tap.host_starts.items():
            times = [t.time for t in self.attempts if t.connection.name == host and t.connection.boot == boot]
            for n, time in enumerate(times):
                if not started or time - started >= s.warm_up_time:
                    continue
                recent = sum(1 for t in times[: n + 1] if t > time - s.cold_window)
                warmth = s.cold_ratio + (1 - s.cold_ratio) * (time - started) / s.warm_up_time
                capacity = s.cold_budget_multiple * s.places_by_kind[kind] * warmth * s.cold_window / s.warm_up_time
                if recent > capacity + 1:
                    self._report(
                        4,
                        time,
                        "all",
                        f"{host} got {recent} set-ups in {s.cold_window / 1e9:g} s, limit while cold: {capacity:.1f}",
                    )

    # ---- rule 5: floors and seats

    def _check_floors_and_seats(self) -> None:
        classes = {c.name: c for c in self.rules.settings.classes}
        changes: dict[tuple[str, str, str], list[tuple[int, int]]] = defaultdict(list)
        for attempt in self.attempts:
            cls = classes.get(attempt.request.header("Class") or "")
            if cls is None:
                self._report(5, attempt.time, attempt.front, f"{attempt.id} names no class")
                continue
            for time, rung in attempt.rungs:
                if rung < cls.floor:
                    self._report(5, time, attempt.front, f"{attempt.id}: rung {rung} under the floor {cls.floor}")
            if cls.seats:
                changes[attempt.front, attempt.path, cls.name] += [(attempt.time, 1), (attempt.end - self.slack, -1)]
        for (front, path, name), steps in changes.items():
            held = 0
            for time, step in sorted(steps):
                held += step
                if held > classes[name].seats:
                    self._report(5, time, front, f"{held} sessions of {path}, {name}: {classes[name].seats} seats")

    # ---- rule 6: the retry budget

    def _check_retry_budget(self) -> None:
        s = self.rules.settings
        if s.free_retries is None:
            return
        known_ids: set[str] = set()
        further: dict[str, list[int]] = defaultdict(list)
        taken: dict[str, list[int]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.id in known_ids:
                further[attempt.front].append(attempt.time)
            known_ids.add(attempt.id)
        for play_request in self.play_requests:
            taken[play_request.front].append(play_request.time)
        for front, times in further.items():
            for n, time in enumerate(times):
                spent = sum(1 for t in times[: n + 1] if t > time - s.retry_window + self.slack)
                took = sum(1 for t in taken[front] if time - s.retry_window - self.slack < t <= time + self.slack)
                if spent > s.free_retries + s.retry_ratio * took:
                    self._report(
                        6, time, front, f"{spent} further attempts in {s.retry_window / 1e9:g} s for {took} requests"
                    )


def _find_never_run(side: TappedConnection) -> Iterator[tuple[int, str]]:
    """Yield (time, Request-Id) for each set-up that a host confirmed as never run."""
    queried: dict[str, str] = {}
    for time, outgoing, message in side.messages:
        if isinstance(message, Request) and not outgoing and message.header(SETTLE_HEADER):
            queried[message.header("CSeq") or ""] = message.header(SETTLE_HEADER) or ""
        elif isinstance(message, Response) and outgoing and message.header(SETTLED_HEADER) == SetupFate.NEVER.value:
            yield time, queried.get(message.header("CSeq") or "", "")


def _find_attempts(side: TappedConnection) -> Iterator[Attempt]:
    """Yield the attempts on one host connection."""
    current: Attempt | None = None
    pending: dict[str, Request] = {}
    for time, outgoing, message in side.messages:
        if isinstance(message, Request) and not outgoing:
            pending[message.header("CSeq") or ""] = message
            if message.method == "SETUP" and message.header("Session") is None:
                if current is not None:
                    yield current
                current = Attempt(time, side, message)
                current.rungs.append((time, int(message.header("Rung") or 0)))
            elif message.method == "SET_PARAMETER" and current is not None and message.body.startswith(b"rung:"):
                current.rungs.append((time, int(message.body.partition(b":")[2])))
            elif message.method == "TEARDOWN" and current is not None:
                current.end = min(current.end, time)
        elif isinstance(message, Response) and outgoing and current is not None:
            request = pending.pop(message.header("CSeq") or "", None)
            if request is None:
                continue
            if request.method == "SETUP" and request.header("Session") is None:
                current.status = message.status
            if request.method in ("SETUP", "PLAY") and message.status != 200 and current.end == 1 << 62:
                current.end = time
    if current is not None:
        if side.ended_at is not None:
            current.end = min(current.end, side.ended_at)
        yield current


def redeemed(side: TappedConnection) -> Iterator[str]:
    """Yield the codes that a host reported as redeemed on this connection."""
    for attempt in _find_attempts(side):
        if attempt.status == 200 and attempt.request.header("Redeem"):
            yield attempt.request.header("Redeem") or ""
