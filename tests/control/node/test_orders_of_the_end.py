"""Each order in which the signal, the request, the host's word, the client's close and the end of the time for
latecomers may come: enumerated, for a free and a paid set-up, for each way a host may answer. Every request that was
heard gets one answer or its client has gone, no set-up stays at a host that nobody holds, and the end is reached."""

from itertools import permutations

import pytest

from copperyard.control.node import bounds
from copperyard.protocol.node.messages import Cause
from tests.control.node.helpers import SECOND, Desk, answer, release, setup, sid, teardown

STEPS = ("signal", "request", "word", "close", "late")
WORDS = {
    "stands": answer(sid(1)),
    "full": release(sid(1), Cause.FULL),
    "error": release(sid(1), Cause.ERROR),
    "reset": None,
}


@pytest.mark.parametrize("cls", ["preview", "paid"])
@pytest.mark.parametrize("word", WORDS)
@pytest.mark.parametrize("close", ["close", "teardown"])
def test_every_order(cls, word, close):
    for order in permutations(STEPS):
        for apart in (0.0, 0.1):  # in one instant, and with time between
            play(order, cls, word, close, apart)


def finals(desk, viewer):
    """What was said of the set-up, CSeq 1; the answer to its TEARDOWN carries CSeq 2."""
    return [
        one.response.status if hasattr(one, "response") else one.method
        for one in desk.answers(viewer)
        if hasattr(one, "method") or one.response.header("CSeq") == "1"
    ]


def play(order, cls, word, close, apart):
    desk = Desk()
    viewer = desk.viewer()
    asked = gone = withdrawn = ended = False
    heard = []
    for step in order:
        desk.wait(apart)
        if step == "signal":
            ended = True
            desk.core.begin_shutdown(desk.now)
            desk.turn()
        elif step == "request" and not gone:
            asked = True
            desk.say(viewer, setup(sid(1), cls))
        elif step == "word" and desk.setups():
            link = desk.setups()[-1][0]
            if WORDS[word] is None:
                desk.down(link, reset=True)
            else:
                desk.host_says(link, WORDS[word])
        elif step == "close":
            heard += finals(desk, viewer)
            if close == "close":
                gone = True
                desk.hang_up(viewer)
            else:
                withdrawn = asked
                desk.say(viewer, teardown(sid(1)))
        elif step == "late" and ended:
            desk.wait(bounds.SHUTDOWN_ACCEPT_PERIOD / SECOND)
    # every host answers what is out from here on; what then stands is ended by its client, as clients do
    for _ in range(4):
        for link, session in desk.setups():
            if session not in desk.releases():
                desk.host_says(link, answer(session))
        desk.wait(1)
    heard += finals(desk, viewer)
    where = f"{order} {cls} {word} {close} {apart}: {heard}"
    if desk.core.sessions:  # it stands: no connection owns it, and its client ends it on any
        assert 200 in heard or gone, where
        desk.say(desk.viewer(), teardown(sid(1)))
    desk.wait(6)
    answers = [one for one in heard if one != "TEARDOWN"]
    if asked and not (gone or withdrawn):
        assert len(answers) == 1, where
    else:
        assert len(answers) <= 1, where
    assert not desk.core.sessions and not desk.core.sessions_by_id and not desk.core.controller.sessions, where
    assert not ended or desk.core.shutdown_complete, where
    attempts = [session for _, session in desk.setups()]
    if cls == "paid" and word != "full":
        assert len(attempts) <= 1, where  # it may have run: never again
    assert not any(link.attempts for host in desk.core.hosts.values() for link in host.links), where
