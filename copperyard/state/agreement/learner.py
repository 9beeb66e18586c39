"""A learner: a gateway that does not vote. It fetches committed entries from other gateways and passes them on.

Committed entries never change, so any gateway may serve them, and the voters are not asked by the whole fleet at once.
The source of each request is drawn: mostly one of the first in order, sometimes any. A gateway that fetched lately is
sent a hint (`CommitHint`) about newer entries, and fetches them from the sender of the hint at once. Bad sources:

- A source that does not reply within REQUEST_INTERVAL is avoided for AVOID_PERIOD, and the next in order is asked.
- A source that lacks an entry which was held here for SETTLED_PERIOD is avoided as well.
- If nothing new came for STALL_THRESHOLD, although plans are renewed more often, every other request goes to the first
  source in order that was not asked since. Of two sources one of which is cut off from all news, the other is thus
  asked within STALL_THRESHOLD, an idle interval and two request intervals: 3 + 2.5 + 1.25 s. A plan holds for 10 s.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from .messages import CommitHint, Entry, FetchReply, FetchRequest, Message, Snapshot
from .replica import MAX_BATCH_ENTRIES, Apply, ProposalTime, ReplicaAction, Restore, SendMessage, fetch_reply
from .subscribers import Subscribers

MS = 1_000_000
REQUEST_INTERVAL = 500 * MS  # reply timeout, and interval of requests while something is missing
# Interval of requests otherwise, plus up to a quarter. Plans are renewed as often, so that the hint at a renewal comes
# before the next request; a plan holds for five times that. One hint in a hundred is lost.
IDLE_INTERVAL = 2000 * MS
STALL_THRESHOLD = 3000 * MS  # time without new entries: longer than the interval of plan renewals
SETTLED_PERIOD = 1000 * MS  # a source that is not cut off holds an entry that was held here for so long
AVOID_PERIOD = 5000 * MS  # a bad source is not asked for so long
MAX_HINTED_REQUESTS = 4  # requests pending for less than REQUEST_INTERVAL, above which a hint causes no further one
MAX_TRACKED = 64  # sources of which times are kept
REPLY_TIMEOUT = 10_000 * MS  # the age in a slower reply would be of no use: the plan has expired
RETAINED_ENTRIES = (
    MAX_BATCH_ENTRIES  # log entries kept before a snapshot is made: one reply brings a restarted learner both
)


class PendingRequests:
    """Fetch requests without a reply yet.

    Each has its own number, which the reply repeats: of two requests to the same source the first may be answered last,
    and an age counted from the second request would be too small.
    """

    def __init__(self, first: int) -> None:
        self.number = first
        self._pending: dict[int, tuple[str, int]] = {}

    def add(self, now: int, name: str) -> int:
        """Record a fetch request that is sent to the source `name` now, and return the number of the request."""
        self.number += 1
        self._pending[self.number] = (name, now)
        for expired in [
            n
            for n, (_, sent_at) in self._pending.items()
            if now - sent_at > REPLY_TIMEOUT or n <= self.number - MAX_TRACKED
        ]:
            del self._pending[expired]
        return self.number

    def complete(self, name: str, number: int) -> int | None:
        """When the request that `name` replies to was sent; None if it is unknown or was forgotten."""
        if self._pending.get(number, ("", 0))[0] != name:
            return None
        return self._pending.pop(number)[1]

    def is_pending(self, number: int) -> bool:
        """Whether the request still waits for its reply."""
        return number in self._pending

    def recent(self, now: int) -> list[str]:
        """The sources of requests that have not timed out."""
        return [name for name, sent_at in self._pending.values() if now - sent_at < REQUEST_INTERVAL]


class Learner:
    """Learns the committed entries of the log. `sources` gives the gateways to fetch from, the best first."""

    def __init__(self, sources: Callable[[], list[str]], seed: int, now: int) -> None:
        self.sources = sources
        self.rng = random.Random(seed)
        self.snapshot = Snapshot(0, 0, (), b"")
        self.log: list[Entry] = []
        self.leader = ""
        self.proposal_time = ProposalTime()
        self.subscribers = Subscribers()
        self.requests = PendingRequests(self.rng.getrandbits(31))
        self.request_at = now + int(self.rng.random() * REQUEST_INTERVAL)  # spreads gateways that start at once
        self.progress_at = now  # when something new came
        self._now = now  # time of the latest call
        self._last_request = ("", 0)  # source and number of the newest request
        self._hinted_index, self._hinted_at = 0, now  # newest index that a hint named, and when
        self._round_robin = False  # while nothing new comes, requests alternate between round robin and draws
        self._requested_at: dict[str, int] = {}
        self._replied_at: dict[str, int] = {}
        self._avoided_since: dict[str, int] = {}  # by source: when it was last found bad
        self._hint_requested_at: dict[str, int] = {}  # latest request after a hint that has brought nothing yet
        self._actions: list[ReplicaAction] = []

    @property
    def applied(self) -> int:
        """Index of the newest entry held."""
        return self.snapshot.index + len(self.log)

    def take(self) -> list[ReplicaAction]:
        """Actions since the last call, with hints for learners that fetched lately and lack entries."""
        for name in self.subscribers.hints_due(self._now, self.applied, self.proposal_time.index):
            self._actions.append(SendMessage(name, CommitHint(self.subscribers.hinted_index)))
        actions, self._actions = self._actions, []
        return actions

    def next_wake(self) -> int:
        """When to call `wake` next."""
        return self.request_at

    def last_reply_at(self, name: str) -> int | None:
        """When a source last replied; None if it never did or that was forgotten."""
        return self._replied_at.get(name)

    # ---- requests

    def wake(self, now: int) -> None:
        """Send a request if one is due."""
        self._now = now
        if now < self.request_at:
            return
        self.request_at = now + self._jitter(REQUEST_INTERVAL)
        name, number = self._last_request
        unanswered = self.requests.is_pending(number)
        if unanswered:
            _record_time(self._avoided_since, name, now)
        sources = self.sources()
        if sources:
            self._request(now, self._choose_source(now, sources, unanswered))

    def _choose_source(self, now: int, sources: list[str], unanswered: bool) -> str:
        """The source to ask. Avoided sources come last, the one avoided longest first."""
        avoided = [name for name in sources if self._is_avoided(now, name)]
        order = [name for name in sources if name not in avoided] + sorted(
            avoided, key=lambda name: self._avoided_since[name]
        )
        if unanswered:
            return order[0]
        self._round_robin = self._is_stalled(now) and not self._round_robin
        if self._round_robin:
            return min(order, key=lambda name: max(0, self._requested_at.get(name, 0) - self.progress_at))
        # three of four draws favour the first sources, with geometric weights; the rest is uniform
        near = self.rng.random() < 0.75
        return order[min(int(self.rng.expovariate(1.0)), len(order) - 1) if near else self.rng.randrange(len(order))]

    def _is_avoided(self, now: int, name: str) -> bool:
        return now - self._avoided_since.get(name, now - AVOID_PERIOD) < AVOID_PERIOD

    def _is_stalled(self, now: int) -> bool:
        return now - self.progress_at >= STALL_THRESHOLD

    def _jitter(self, interval: int) -> int:
        return interval * 3 // 4 + int(self.rng.random() * interval / 2)

    def _request(self, now: int, name: str) -> None:
        _record_time(self._requested_at, name, now)
        self._last_request = (name, self.requests.add(now, name))
        self._actions.append(SendMessage(name, FetchRequest(self.applied, self._last_request[1])))
        self.request_at = now + self._jitter(REQUEST_INTERVAL)

    # ---- messages

    def hear(self, now: int, sender: str, message: Message) -> None:
        """Handle a fetch request, a hint, or the reply to one of our requests."""
        self._now = now
        if isinstance(message, FetchRequest):
            dated_index, age = self.proposal_time.newest_age(now)
            self._actions.append(
                SendMessage(
                    sender, fetch_reply(message, self.snapshot, self.log, self.applied, self.leader, dated_index, age)
                )
            )
            self.subscribers.subscribe(now, sender, min(self.applied, dated_index))
        elif isinstance(message, CommitHint):
            self._on_commit_hint(now, sender, message.index)
        elif isinstance(message, FetchReply):
            requested_at = self.requests.complete(sender, message.request_id)
            if requested_at is not None:
                _record_time(self._replied_at, sender, now)
                self._on_fetch_reply(now, sender, message, requested_at)

    def _is_missing(self, index: int) -> bool:
        return index > self.applied or index > self.proposal_time.index

    def _on_commit_hint(self, now: int, sender: str, index: int) -> None:
        """Fetch from the sender of a hint, unless a pending request may bring as much.

        A sender whose hint brought nothing is not asked again because of a hint within REQUEST_INTERVAL; an avoided
        sender is ignored.
        """
        self.subscribers.acknowledge(sender, index)
        if not self._is_missing(index) or self._is_avoided(now, sender):
            return
        recent = self.requests.recent(now)
        if index <= self._hinted_index and now - self._hinted_at < REQUEST_INTERVAL and recent:
            return
        self._hinted_index, self._hinted_at = max(index, self._hinted_index), now
        if (
            sender in recent
            or len(recent) >= MAX_HINTED_REQUESTS
            or now - self._hint_requested_at.get(sender, now - REQUEST_INTERVAL) < REQUEST_INTERVAL
        ):
            self.request_at = min(self.request_at, now + self._jitter(REQUEST_INTERVAL))
            return
        _record_time(self._hint_requested_at, sender, now)
        self._request(now, sender)

    def _on_fetch_reply(self, now: int, sender: str, message: FetchReply, requested_at: int) -> None:
        applied_before, dated_before = self.applied, self.proposal_time.index
        snapshot = message.snapshot
        if snapshot is not None and snapshot.index > self.applied:
            self.snapshot, self.log = snapshot, []
            self._actions.append(Restore(snapshot))
        if message.index <= self.applied:
            for entry in message.entries[self.applied - message.index :]:
                self.log.append(entry)
                self._actions.append(Apply(self.applied, entry))
        if message.commit >= self.applied and message.leader:
            self.leader = message.leader
        if message.dated_index and message.dated_index <= self.applied:
            self.proposal_time.record(message.dated_index, requested_at - message.age_ns)
        self.subscribers.acknowledge(sender, min(message.commit, message.dated_index))
        if requested_at - self.progress_at >= SETTLED_PERIOD and (
            message.commit < applied_before or message.dated_index < dated_before
        ):
            _record_time(self._avoided_since, sender, now)
        else:
            self._avoided_since.pop(sender, None)
        if self.applied > applied_before or self.proposal_time.index > dated_before:
            self.progress_at = now
            self._hint_requested_at.pop(sender, None)
        if self.applied > applied_before and message.commit > self.applied:
            self._request(now, sender)  # more than one batch is missing
            return
        searching = (
            not self.applied
            or self._is_stalled(now)
            or self._is_missing(self._hinted_index)
            and now - self._hinted_at < IDLE_INTERVAL
        )
        self.request_at = now + (
            self._jitter(REQUEST_INTERVAL) if searching else IDLE_INTERVAL + int(self.rng.random() * IDLE_INTERVAL / 4)
        )
        self._last_request = ("", 0)

    @property
    def wants_snapshot(self) -> bool:
        """Whether the log has grown enough for a snapshot."""
        return len(self.log) > RETAINED_ENTRIES

    def compact(self, data: bytes) -> None:
        """Replace all entries by a snapshot with `data`, which is passed on in their place."""
        self.snapshot = Snapshot(self.applied, self.log[-1].term, self.snapshot.voters, data)
        self.log = []


def _record_time(times: dict[str, int], name: str, now: int) -> None:
    """Set the time of a name; only the latest MAX_TRACKED names are kept."""
    times.pop(name, None)
    times[name] = now
    if len(times) > MAX_TRACKED:
        del times[next(iter(times))]


def record_age(dates: ProposalTime, requested_at: int, applied: int, message: FetchReply) -> None:
    """Take the age from a fetch reply. A voter gets entries by replication, but unless it leads no ages."""
    if message.dated_index and message.dated_index <= applied:
        dates.record(message.dated_index, requested_at - message.age_ns)
