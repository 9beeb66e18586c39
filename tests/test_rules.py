"""The six rules, each by events in and actions out."""

from dataclasses import replace

from copperyard import interface as api
from copperyard.decide import Controller
from tests.helpers import MS, SAFE, SECOND, entry, front, full_list, of_type, request, sends, settings


def end_attempt(controller, ref, code, now, attempt=0, server=0, over=False):
    return controller.handle(now, api.Outcome(ref, attempt, server, code, MS, over))


def test_with_no_server_listed_the_request_is_held_then_refused_in_time():
    controller = Controller(settings(), 1)
    controller.handle(0, api.ServerList(api.ListKind.CACHED))
    actions = controller.handle(SECOND, request(1, deadline=3 * SECOND))
    timers = [t for t in of_type(actions, api.SetTimer) if t.token]
    assert timers and timers[0].at < 3 * SECOND
    end = controller.handle(timers[0].at, api.TimerDue(timers[0].token))
    assert [a.ref for a in of_type(end, api.Refuse)] == [1]
    assert of_type(end, api.Refuse)[0].retry_after == 1000 * MS
    assert not controller.handle(4 * SECOND, api.TimerDue(timers[0].token))


def test_the_clients_own_deadline_counts_when_earlier_than_the_class():
    actions = front().handle(SECOND, request(1, deadline=SECOND + 500 * MS))
    assert sends(actions)[0].deadline < SECOND + 500 * MS


def test_a_timeout_at_the_deadline_is_still_answered():
    controller = front(max_attempts=1)
    server = sends(controller.handle(SECOND, request(1)))[0].server
    assert of_type(end_attempt(controller, 1, api.OutcomeCode.TIMEOUT, 5 * SECOND, server=server), api.Refuse)


def test_unsafe_classes_are_sent_again_only_when_nothing_ran():
    for code in api.OutcomeCode:
        controller = front()
        server = sends(controller.handle(SECOND, request(1, cls=1)))[0].server
        actions = end_attempt(controller, 1, code, SECOND + 10 * MS, server=server, over=code == api.OutcomeCode.OK)
        if code in (api.OutcomeCode.FULL, api.OutcomeCode.CONNECT_FAILED, api.OutcomeCode.MOOT):
            assert not of_type(actions, api.Fail)
        elif code != api.OutcomeCode.OK:
            assert of_type(actions, api.Fail) and not sends(actions) and not of_type(actions, api.Refuse)


def test_an_unsafe_attempt_waits_to_the_deadline_and_a_safe_one_leaves_time_for_another():
    controller = front()
    assert sends(controller.handle(SECOND, request(1, cls=1)))[0].deadline == 4 * SECOND - 25 * MS
    assert sends(controller.handle(SECOND, request(2)))[0].deadline <= 2 * SECOND - 250 * MS


def test_never_two_attempts_at_once():
    controller = front()
    assert sends(controller.handle(SECOND, request(1)))
    for k in range(8):
        assert not sends(controller.handle(SECOND + k * 250 * MS, api.TimerDue(0)))


def test_nothing_new_goes_to_a_server_that_drains_or_is_gone():
    for state in (api.ServerState.DRAINING, api.ServerState.GONE):
        controller = front()
        controller.handle(SECOND, api.ServerList(api.ListKind.DELTA, (entry(0, state=state),)))
        assert not sends(controller.handle(2 * SECOND, request(1, home=0, holders=1)))
    controller = front()
    controller.handle(SECOND, api.ServerList(api.ListKind.FULL, (entry(1), entry(2), entry(3))))
    assert not sends(controller.handle(2 * SECOND, request(1, home=0, holders=1)))


def cold_sends(controller, start, seconds):
    count = 0
    for k in range(seconds * 10):
        now = start + k * 100 * MS
        for s in sends(controller.handle(now, request(1000 + k, home=0, holders=1, top=0))):
            count += 1
            controller.handle(now, api.SessionOpened(s.ref, 0, 0, MS))
            controller.handle(now, api.Outcome(s.ref, 0, 0, api.OutcomeCode.OK, MS, True))
    return count


def test_a_cold_server_gets_this_fronts_part_of_the_cold_budget():
    controller = front(fronts=3)
    start = 10 * SECOND
    controller.handle(start, api.ServerList(api.ListKind.DELTA, (entry(0, started=start),)))
    budget = 3.0 * 20 / 12 * 0.4 * 3 / 3  # multiple x places / warm-up x cold share x window / fronts
    assert 1 <= cold_sends(controller, start, 3) <= budget


def test_a_server_seen_to_fail_counts_as_cold_before_the_list_says_so():
    controller = front(fronts=3)
    server = sends(controller.handle(SECOND, request(1, home=0, holders=1)))[0].server
    controller.handle(SECOND, api.SessionOpened(1, 0, server, MS))
    end_attempt(controller, 1, api.OutcomeCode.RESET, 9 * SECOND, server=server, over=True)
    assert cold_sends(controller, 10 * SECOND, 3) <= 2


def test_after_its_own_restart_a_front_treats_every_server_as_cold():
    controller = Controller(settings(fronts=3), 1)
    controller.handle(10 * SECOND, full_list())
    assert cold_sends(controller, 10 * SECOND, 3) <= 2


def test_the_floor_holds_at_set_up_and_when_lowered():
    controller = front()
    actions = controller.handle(SECOND, request(1, cls=1))
    server = sends(actions)[0].server
    controller.handle(SECOND, api.SessionOpened(1, 0, server, MS))
    for k in range(3, 60, 6):
        for a in of_type(
            controller.handle(k * SECOND, api.SessionNotice(1, 0, server, api.NoticeKind.SHARE, 0.4)), api.SetRung
        ):
            assert a.rung >= 1
    assert controller.sessions[1].rung == 1


def test_a_viewer_that_cannot_use_the_floor_is_refused_at_once():
    assert of_type(front().handle(SECOND, request(1, cls=1, top=0)), api.Refuse)


def test_seats_count_set_ups_and_carried_sessions():
    controller = front()
    controller.handle(SECOND, api.CarriedSession(request(1, cls=1), 0))
    assert sends(controller.handle(SECOND, request(2, cls=1)))
    assert not sends(controller.handle(SECOND, request(3, cls=1)))
    assert sends(controller.handle(SECOND, request(4, cls=1, title=8)))
    controller.handle(2 * SECOND, api.ViewerLeft(1))  # the viewer left, but its attempt has no outcome yet
    assert not sends(controller.handle(2 * SECOND, request(5, cls=1)))
    ended = controller.handle(2 * SECOND, api.Outcome(1, 0, 0, api.OutcomeCode.OK, SECOND, True))
    assert [s.ref for s in sends(ended)] == [3]


def test_retries_keep_to_the_retry_budget():
    controller = front(free_retries=2.0, retry_ratio=0.0, retry_window=5 * SECOND, max_attempts=9)
    retries = 0
    for ref in range(1, 9):
        sent = sends(controller.handle(SECOND + ref * MS, request(ref, title=ref)))
        if sent:
            retries += len(
                sends(end_attempt(controller, ref, api.OutcomeCode.ERROR, SECOND + ref * MS, server=sent[0].server))
            )
    assert retries == 2


def test_attempts_stop_at_the_limit():
    controller = front(max_attempts=2)
    first = sends(controller.handle(SECOND, request(1)))[0]
    second = sends(end_attempt(controller, 1, api.OutcomeCode.ERROR, SECOND + MS, server=first.server))
    if second:
        last = end_attempt(controller, 1, api.OutcomeCode.ERROR, SECOND + 2 * MS, attempt=1, server=second[0].server)
        assert not sends(last) and of_type(last, api.Refuse)


def test_late_repeated_and_unknown_events_change_nothing():
    controller = front()
    server = sends(controller.handle(SECOND, request(1)))[0].server
    controller.handle(SECOND, api.SessionOpened(1, 0, server, MS))
    end_attempt(controller, 1, api.OutcomeCode.OK, 2 * SECOND, server=server, over=True)
    for event in (
        api.Outcome(1, 0, server, 1, MS, True),
        api.Outcome(77, 0, 99, 4, MS, False),
        api.ViewerLeft(1),
        api.ViewerLeft(78),
        api.SessionOpened(1, 0, server, MS),
        api.SessionNotice(1, 0, 99, 1, 0.5),
        api.TimerDue(12345),
        api.ProbeResult(99, 1, MS, api.Report(1.0)),
        api.ServerList(9, (entry(7),)),
    ):
        assert not controller.handle(3 * SECOND, event)
    assert not controller.handle(3 * SECOND, request(5, cls=200))


def test_a_failed_subscription_is_requested_again():
    controller = Controller(settings(subscribe=True), 1)
    first = controller.handle(0, full_list())
    assert of_type(first, api.Subscribe)
    timers = of_type(controller.handle(SECOND, api.ServerList(api.ListKind.FAILED)), api.SetTimer)
    assert of_type(controller.handle(timers[0].at, api.TimerDue(timers[0].token)), api.Subscribe)


def test_no_retry_advice_where_the_settings_give_none():
    controller = front(retry_after=False, classes=(replace(SAFE, floor=1),))
    assert of_type(controller.handle(SECOND, request(1, top=0)), api.Refuse)[0].retry_after == 0


def test_a_viewer_that_left_during_set_up_is_not_touched_when_the_set_up_completes():
    controller = front()
    server = sends(controller.handle(SECOND, request(1, home=0, holders=1)))[0].server
    controller.handle(SECOND + MS, api.ViewerLeft(1))
    assert not controller.handle(SECOND + 2 * MS, api.SessionOpened(1, 0, server, MS))
    for k in range(4):
        loaded = api.ProbeResult(server, api.OutcomeCode.OK, MS, api.Report(2.0, 2.0))
        assert not of_type(controller.handle((3 + k) * SECOND, loaded), api.SetRung)


def test_a_refusal_is_early_enough_to_reach_the_viewer():
    # with 200 fronts, one in twenty refusals of a crowd was sent a millisecond before the viewer's deadline and arrived
    # after it
    controller = front()
    for k in range(3):
        controller.handle(SECOND, api.ProbeResult(k, api.OutcomeCode.OK, MS, api.Report(1.2, 1.2)))
    held = controller.handle(SECOND, request(1, deadline=2 * SECOND))
    last = [a for a in held if isinstance(a, api.SetTimer) and a.token == 3]
    assert last and last[0].at <= 2 * SECOND - 20 * MS
    assert of_type(controller.handle(last[0].at, api.TimerDue(3)), api.Refuse)
