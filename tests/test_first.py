"""The mechanism and the rules by events in and actions out."""

from copperyard import interface as api
from tests.helpers import front, request, sends


def test_a_request_is_sent_to_a_holder_at_its_highest_rung():
    one = front()
    actions = one.handle(10, request(1))
    assert [type(a) for a in actions] == [api.Rate, api.Send]
    assert actions[0].rung == 2
    assert sends(actions)[0].server in (0, 1, 2)
