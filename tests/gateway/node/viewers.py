"""Viewers on real sockets that read all the time, to see on which connections the end of a session is told and when."""

import time

import trio

from tests.control.node.helpers import heard, setup
from tests.gateway.node.sockets import Client

RELEASE_LIMIT_S = 1.05  # "within 1 s of the release by the media host or the gateway", and 50 ms
LOSS_LIMIT_S = 8.05  # "within 8 s of its end where no release could be sent", and 50 ms


class ReadingViewer:
    """A connection of a viewer that is read all the time. `told` are the times at which each session was told over or
    moved, `statuses` those of its answers. `acknowledges`: it answers releases, as RTSP has it.
    """

    def __init__(self, harness, acknowledges=True, client=None):
        self.client, self.acknowledges = client or harness.client(), acknowledges
        self.told, self.statuses = {}, []
        harness.nursery.start_soon(self._read)

    async def _read(self):
        client = self.client
        while True:
            try:
                await trio.lowlevel.wait_readable(client.sock)
                data = client.sock.recv(65536)
            except (OSError, trio.ClosedResourceError):
                return
            if not data:
                return
            for event in client.wire.receive(data):
                self._take(event)

    def _take(self, event):
        if hasattr(event, "response"):
            self.statuses.append(event.response.status)
            return
        session = event.header("Session")
        self.told.setdefault(session, []).append(time.monotonic())
        if event.method == "TEARDOWN" and self.acknowledges:
            self.client.send(heard(session))

    def ask(self, session, patience="700", **named):
        """Send a set-up."""
        self.client.send(setup(session, patience=patience, **named))

    def leave(self, way):
        """End the connection: `close`, `reset` or `half_close`."""
        if way != "half_close":
            trio.lowlevel.notify_closing(self.client.sock)
        getattr(self.client, way)()


def times_told(viewers, session):
    """When a session was told over, on all of some connections, in order."""
    return sorted(at for viewer in viewers for at in viewer.told.get(session, ()))


async def assert_told_once(viewers, sessions, since, limit, later=1.3):
    """Each session is told on one of the connections, once, within a limit (s) after `since`, and on none later."""
    with trio.move_on_after(limit + 0.5):
        while not all(times_told(viewers, session) for session in sessions):  # noqa: ASYNC110
            await trio.sleep(0.01)
    await trio.sleep(later)
    times = {session: [round(at - since, 3) for at in times_told(viewers, session)] for session in sessions}
    assert all(len(found) == 1 and found[0] <= limit for found in times.values()), times


__all__ = ["LOSS_LIMIT_S", "RELEASE_LIMIT_S", "Client", "ReadingViewer", "assert_told_once", "times_told"]
