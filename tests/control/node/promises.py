"""A reference model of what the platform's protocol promises, from what clients and media hosts can see.

Each check names its sentence of the protocol ("The rules on sockets", or the brief's rules). Times are in ns.
"""

from dataclasses import dataclass, field

MS, SECOND = 1_000_000, 1_000_000_000
SLACK = 50 * MS  # "every time limit being 50 ms longer"
RELEASE_LIMIT = SECOND + SLACK  # "within 1 s of the release by the media host or the gateway"
LOSS_LIMIT = 8 * SECOND + SLACK  # "within 8 s of its end where no release could be sent"
DRAIN_GRACE = 250 * MS + SLACK  # the settings' drainGrace
ANSWER_LIMIT = 500 * MS + SLACK  # "Up to half a second after its time it only earns nothing; later it is lost"
MAX_TOLD_UNREAD = 2  # open connections that are not read and were told of the same end
RETURN_TIME = 600 * MS  # in which a viewer that came back has shown that it reads, and been told


class BrokenPromiseError(AssertionError):
    """A promise was broken; the text names it and the session."""


@dataclass
class SessionView:
    """A session as its client and its hosts see it."""

    client: object
    paid: bool
    deadline: int
    status: int | None = None
    withdrawn: bool = False
    attempt_out: bool = False
    may_have_run: bool = False
    host: int | None = None
    told_by: int | None = None
    told_on: object | None = None
    told_at: int = -1
    told_to_non_readers: list[object] = field(default_factory=list)
    was_read: bool = False
    released: bool = False


class Promises:
    """Records events, and raises BrokenPromiseError with the one that breaks a promise. Without a monitor, which tests
    a connection all the time, a viewer that has left can be told nowhere.
    """

    def __init__(self, clock, has_monitor=True):
        self._clock, self._has_monitor = clock, has_monitor
        self.sessions = {}
        self._away_since, self._left, self._connected_at = {}, set(), 0
        self._may_repeat = set()
        self._open, self._only_readers_since = set(), None

    def _break(self, promise, session):
        raise BrokenPromiseError(f"{self._clock() / SECOND:.3f} s: {promise}: session {session}")

    # ---- clients

    def connected(self, client):
        """A viewer's connection was opened: from here on it takes a moment until it is known to be read."""
        if client.reads:
            self._connected_at = self._clock()
        self._open.add(client)
        self._note_readers()

    def _note_readers(self):
        """Note since when there are connections of viewers, and all of them are read."""
        if not self._open or not all(client.reads for client in self._open):
            self._only_readers_since = None
        elif self._only_readers_since is None:
            self._only_readers_since = self._clock()

    def sent(self, client):
        """A viewer sent something on its connection after it read what was written there."""
        for view in self.sessions.values():
            if view.told_on is client:
                view.told_at, view.was_read = -1, True

    def left(self, client, reset):
        """A viewer's connection has ended; set-ups that are open on it are withdrawn."""
        self._left.add(client)
        self._open.discard(client)
        self._note_readers()
        self._may_tell_again(client, reset)
        for session in self.sessions.values():
            if session.client is client and session.status is None:
                session.withdrawn = True
        self._connected_at = self._clock()

    def connection_of(self, session):
        """The connection on which a session was asked for, None once that has ended."""
        client = self.sessions[session].client if session in self.sessions else None
        return None if client in self._left else client

    def asked(self, session, client, paid, deadline):
        """A set-up was sent."""
        self.sessions[session] = SessionView(client, paid, deadline)

    def answered(self, session, status):
        """A set-up got an answer. "Each request taken gets one answer in time"."""
        view = self.sessions[session]
        if view.status is not None:
            self._break("a second answer", session)
        if status == 200 and view.host is None:
            self._break("served with something no media host made for it", session)
        if status in (453, 454, 503) and view.paid and view.may_have_run:
            self._break("a paid set-up refused that may have run", session)
        if self._clock() > view.deadline + ANSWER_LIMIT and not view.withdrawn:
            self._break("an answer after its time", session)
        view.status = status

    def told(self, session, client):
        """A viewer was told on a connection that is read, or on its own, that a session is over."""
        view = self.sessions[session]
        if view.told_on is not None and session not in self._may_repeat:
            self._break("told twice", session)
        self._may_repeat.discard(session)
        view.told_on, view.told_at, view.was_read = client, self._clock(), False

    def acknowledged(self, session):
        """A viewer has answered the release of its session."""
        self.sessions[session].was_read = True

    def told_where_nobody_reads(self, session, client):
        """It was told on another viewer's connection, which nobody reads. Whether that one is read cannot be known as
        long as its client has sent one request only; but one that is known to be read goes first.
        """
        if any(one.showed_reading or one.served for one in self._open):
            self._break("told to a client that does not read beside one that does", session)
        view = self.sessions[session]
        if client in view.told_to_non_readers:
            self._break("told twice", session)
        view.told_to_non_readers.append(client)
        if sum(one in self._open for one in view.told_to_non_readers) > MAX_TOLD_UNREAD:
            self._break("told to one connection after the other", session)

    def closed_by_node(self, client):
        """The node has closed a viewer's connection. "A gateway may close a connection on which no set-up is open"."""
        for name, view in self.sessions.items():
            if view.client is client and view.status is None and not view.withdrawn:
                self._break("closed with a set-up open", name)
        self._open.discard(client)
        self._note_readers()
        self._may_tell_again(client, False)

    def _may_tell_again(self, client, reset):
        """After a reset it cannot be known what was read on a connection, unless its client did something after it."""
        for name, view in self.sessions.items():
            if view.told_on is client and reset and not view.was_read:
                self._may_repeat.add(name)
                if reset and view.told_at == self._clock():  # the notice was on its way
                    view.told_on = None

    def released_by_viewer(self, session):
        """A viewer has released or withdrawn a session: no notice is owed for it any more."""
        view = self.sessions[session]
        view.released = True
        view.withdrawn = view.withdrawn or view.status is None
        view.told_by = None

    # ---- media hosts

    def attempt_arrived(self, session, host):
        """A set-up has arrived at a host. "Never two attempts out at once"; "Drains are kept"."""
        view = self.sessions[session]
        if view.attempt_out:
            self._break("two attempts out", session)
        if view.paid and view.may_have_run:
            self._break("a paid set-up sent again though it may have run", session)
        if view.withdrawn:
            self._break("an attempt for a client that has gone", session)
        if self._clock() > self._away_since.get(host, self._clock()) + DRAIN_GRACE:
            self._break("sent to a draining or removed host", session)
        view.attempt_out = True

    def is_awaited(self, session):
        """Whether a set-up that was on its way for long is still wanted: nobody has withdrawn it or been answered."""
        view = self.sessions[session]
        return not view.withdrawn and view.status is None and not view.attempt_out

    def attempt_ended(self, session, ran):
        """An attempt has ended at its host, which may have run it."""
        view = self.sessions[session]
        view.attempt_out = False
        view.may_have_run = view.may_have_run or ran

    def stands(self, session, host):
        """A session stands at a host."""
        self.attempt_ended(session, True)
        self.sessions[session].host = host

    def ended(self, session, released):
        """A session is over at its host, which released it (`released`) or could not.

        "Whatever has stood and is over must be released towards its client within 1 s ... 8 s".
        """
        view = self.sessions[session]
        if not view.released and not view.withdrawn:
            view.told_by = self._clock() + (RELEASE_LIMIT if released else LOSS_LIMIT)

    def release_arrived(self, session):
        """A viewer's release, or one of the node's own, has reached the host."""
        self.sessions[session].host = None

    def host_told_away(self, host):
        """An answer told that a host drains or is gone."""
        self._away_since.setdefault(host, self._clock())

    def host_told_back(self, host):
        """An answer told that a host is ready again."""
        self._away_since.pop(host, None)

    # ---- as time passes

    def check(self):
        """Check what had to happen by now."""
        now = self._clock()
        for name, view in self.sessions.items():
            if view.status is None and not view.withdrawn and now > view.deadline + ANSWER_LIMIT:
                self._break("no answer", name)
            can_be_told = self._has_monitor or view.client not in self._left or self._are_all_read()
            late = view.told_by is not None and now > max(view.told_by, self._connected_at + RETURN_TIME)
            if can_be_told and late and view.told_on is None and view.status == 200:
                self._break("the viewer was not told of the end", name)

    def _are_all_read(self):
        """Whether there has been a connection for a while, and none that is not read: "whatever ends it may come on any
        connection from viewers".
        """
        return self._only_readers_since is not None and self._clock() > self._only_readers_since + RETURN_TIME
