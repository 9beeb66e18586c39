"""Defects planted in the core: runs from seeds find each of them within a stated number of seeds."""

import pytest

from copperyard.control.node import connection_limit, core, notices, reader_choice
from copperyard.control.node.core import NodeCore
from copperyard.control.node.idle_viewers import IdleViewers
from copperyard.control.node.links import HostState, LinkState
from copperyard.control.node.notices import NoticeDelivery
from copperyard.interface import OutcomeCode
from copperyard.protocol.node.messages import Cause
from tests.control.node.test_promises import explore

SEEDS = 500


def nothing(*arguments, **named):
    return None


def wait_for_a_session(patch):
    patch.setattr(NodeCore, "_handle_request", _without_evidence(NodeCore._handle_request))
    wait_for_a_known_reader(patch)


def wait_for_a_known_reader(patch):
    patch.setattr(reader_choice, "candidates", lambda viewers, count: [])
    patch.setattr(NoticeDelivery, "connection_requested", nothing)


def wait_for_a_test(patch):
    choose = reader_choice.candidates
    patch.setattr(
        reader_choice, "candidates", lambda viewers, count: [one for one in choose(viewers, count) if one.has_tested]
    )
    patch.setattr(NoticeDelivery, "connection_requested", nothing)


def repeat_after_an_orderly_close(patch):
    patch.setattr(NoticeDelivery, "_unread", lambda self, now, viewer, undelivered: list(viewer.unconfirmed.values()))


def ignore_acknowledgements(patch):
    patch.setattr(NoticeDelivery, "acknowledged", nothing)


def _without_evidence(handle):
    def handled(self, now, viewer, request):
        viewer.was_written = False
        handle(self, now, viewer, request)

    return handled


def close_idle_connections_of_sessions(patch):
    patch.setattr(IdleViewers, "_is_needed", lambda self, viewer: False)
    patch.setattr(NoticeDelivery, "send_overdue", nothing)


def forget_notices_of_an_ended_connection(patch):
    patch.setattr(NoticeDelivery, "connection_ended", nothing)


def tell_twice(patch):
    post = NoticeDelivery.post

    def twice(self, now, notice, own):
        post(self, now, notice, own)
        post(self, now, notices.Notice(notice.data, notice.due), own)

    patch.setattr(NoticeDelivery, "post", twice)


def tell_the_newest_connection(patch):
    patch.setattr(NoticeDelivery, "_known_reader", lambda self: max(self._viewers, key=lambda one: one.number))


def tell_nobody_of_a_lost_host(patch):
    patch.setattr(NodeCore, "_session_lost", lambda self, now, session: self._end_session(now, session, 0, 0))


def stop_checks_at_the_bound(patch):
    choose = connection_limit.link_to_evict
    patch.setattr(core, "link_to_evict", lambda now, hosts, dialled=None: choose(now, hosts))


def evict_busy_connections(patch):
    patch.setattr(connection_limit, "_is_idle", lambda link: link.state is LinkState.UP)


def never_check_a_silent_host(patch):
    patch.setattr(NodeCore, "_schedule_check", nothing)


def ignore_failed_dials(patch):
    patch.setattr(NodeCore, "_dial_failed", nothing)


def never_connect_again(patch):
    patch.setattr(NodeCore, "_ensure_link", nothing)
    patch.setattr(NodeCore, "_check_host", nothing)


def drop_releases_of_failed_dials(patch):
    patch.setattr(HostState, "keep_unsent", nothing)


def forget_late_answers(patch):
    patch.setattr(NodeCore, "_remember_ended", nothing)


def take_an_error_for_full(patch):
    patch.setitem(core.ATTEMPT_CODES, Cause.ERROR, OutcomeCode.FULL)


def take_a_broken_connection_for_no_attempt(patch):
    finish = NodeCore._finish_attempt

    def finished(self, now, attempt, code, report, session_over=False):
        finish(self, now, attempt, OutcomeCode.MOOT if code is OutcomeCode.RESET else code, report, session_over)

    patch.setattr(NodeCore, "_finish_attempt", finished)


def keep_set_ups_of_clients_that_left(patch):
    patch.setattr(NodeCore, "_abandon_setup", nothing)


def answer_twice(patch):
    answered = NodeCore._answer_setup

    def twice(self, session, status, *more, **named):
        answered(self, session, status, *more, **named)
        answered(self, session, status, *more, **named)

    patch.setattr(NodeCore, "_answer_setup", twice)


def answer_nothing(patch):
    patch.setattr(NodeCore, "_fail", nothing)


def send_past_the_deadline(patch):
    patch.setattr(NodeCore, "_attempt_timed_out", nothing)


def keep_sessions_that_are_over(patch):
    patch.setattr(NodeCore, "_released", nothing)


DEFECTS = [
    wait_for_a_session,
    wait_for_a_known_reader,
    wait_for_a_test,
    repeat_after_an_orderly_close,
    ignore_acknowledgements,
    close_idle_connections_of_sessions,
    forget_notices_of_an_ended_connection,
    tell_twice,
    tell_the_newest_connection,
    tell_nobody_of_a_lost_host,
    stop_checks_at_the_bound,
    never_check_a_silent_host,
    ignore_failed_dials,
    never_connect_again,
    drop_releases_of_failed_dials,
    take_an_error_for_full,
    take_a_broken_connection_for_no_attempt,
    keep_set_ups_of_clients_that_left,
    answer_twice,
    answer_nothing,
    send_past_the_deadline,
    keep_sessions_that_are_over,
]


# a connection that is tested all the time hides these, and so does one that is not read
FOUND_AMONG_READERS = [wait_for_a_known_reader, wait_for_a_test]
# no run finds these: an evicted attempt only times out, which breaks no promise, and no answer crosses a withdrawal, as
# hosts hear of one at once
NOT_FOUND = [evict_busy_connections, forget_late_answers]


@pytest.mark.parametrize("plant", DEFECTS)
def test_a_planted_defect_is_found(plant, monkeypatch):
    # guards against: a model of the promises that sees nothing
    plant(monkeypatch)
    assert explore(range(SEEDS), only_readers=plant in FOUND_AMONG_READERS) is not None
