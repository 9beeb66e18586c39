"""Planned shutdown with its events in every order: the signal, the request, the host's reply, the client's close and
the end of the period for late requests, for free and paid set-ups and each reply of a host. Every request that was read
gets one answer unless its client has gone, no session is left behind at a host, and the shutdown completes."""

from itertools import permutations

import pytest

from copperyard.control.node import bounds
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, CoreDriver, answer, release, setup, sid, teardown

STEPS = ("signal", "request", "reply", "close", "late")
REPLIES = {
    "answer": answer(sid(1)),
    "full": release(sid(1), Cause.FULL),
    "error": release(sid(1), Cause.ERROR),
    "reset": None,
}


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("reply", REPLIES)
@pytest.mark.parametrize("close", ["close", "teardown"])
def test_every_order_of_events_completes_the_shutdown(cls, reply, close):
    for order in permutations(STEPS):
        for interval in (0.0, 0.1):  # all in one instant, and with time between them
            play(order, cls, reply, close, interval)


def setup_answers(driver, viewer):
    """The messages about the set-up, which has CSeq 1; the answer to its TEARDOWN has CSeq 2."""
    return [
        one.response.status if hasattr(one, "response") else one.method
        for one in driver.answers(viewer)
        if hasattr(one, "method") or one.response.header("CSeq") == "1"
    ]


def play(order, cls, reply, close, interval):
    driver = CoreDriver()
    viewer = driver.viewer()
    asked = gone = withdrawn = ended = False
    heard = []
    for step in order:
        driver.advance(interval)
        if step == "signal":
            ended = True
            driver.core.begin_shutdown(driver.now)
            driver.run_actions()
        elif step == "request" and not gone:
            asked = True
            driver.send(viewer, setup(sid(1), cls))
        elif step == "reply" and driver.setups():
            link = driver.setups()[-1][0]
            if REPLIES[reply] is None:
                driver.link_down(link, reset=True)
            else:
                driver.host_sends(link, REPLIES[reply])
        elif step == "close":
            heard += setup_answers(driver, viewer)
            if close == "close":
                gone = True
                driver.hang_up(viewer)
            else:
                withdrawn = asked
                driver.send(viewer, teardown(sid(1)))
        elif step == "late" and ended:
            driver.advance(bounds.SHUTDOWN_ACCEPT_PERIOD / SECOND)
    # from here on hosts answer all set-ups in flight; sessions that become established are ended by their client
    for _ in range(4):
        for link, session in driver.setups():
            if session not in driver.releases():
                driver.host_sends(link, answer(session))
        driver.advance(1)
    heard += setup_answers(driver, viewer)
    where = f"{order} {cls} {reply} {close} {interval}: {heard}"
    if driver.core.sessions:  # established: its client may end it on any connection
        assert 200 in heard or gone, where
        driver.send(driver.viewer(), teardown(sid(1)))
    driver.advance(6)
    answers = [one for one in heard if one != "TEARDOWN"]
    if asked and not (gone or withdrawn):
        assert len(answers) == 1, where
    else:
        assert len(answers) <= 1, where
    assert not driver.core.sessions and not driver.core.sessions_by_id and not driver.core.controller.sessions, where
    assert not ended or driver.core.shutdown_complete, where
    attempts = [session for _, session in driver.setups()]
    if cls == "paid" and reply != "full":
        assert len(attempts) <= 1, where  # it may have run, so it is not repeated
    assert not any(link.attempts for host in driver.core.hosts.values() for link in host.links), where
