"""DNS answers with the host list: valid ones are parsed, others rejected, and changes of the list are derived."""

import dns.flags
import dns.message
import dns.rrset
import pytest
from hypothesis import given
from hypothesis import strategies as st

from copperyard.decide import Controller
from copperyard.interface import ListKind, ServerState
from copperyard.membership.fleet import Fleet
from copperyard.protocol.node.fleet import Host, HostListError, encode_query, parse_answer, parse_known
from copperyard.settings import parse_settings
from tests.control.node.helpers import OPTIONS

NAME = "_work._tcp.fleet.local."


def reply(asked, serial, hosts, flags=0, address="10.1.0.9", cell=2):
    message = dns.message.make_response(dns.message.from_wire(asked))
    message.flags |= flags
    for name, port, priority in hosts:
        target = f"{name}.east.hosts."
        message.answer.append(dns.rrset.from_text(NAME, 0, "IN", "SRV", f"{priority} 40 {port} {target}"))
        message.additional += [
            dns.rrset.from_text(target, 0, "IN", "A", address),
            dns.rrset.from_text(target, 0, "IN", "TXT", f'"kind=std" "cell={cell}" "started=0"'),
        ]
    message.authority.append(dns.rrset.from_text(NAME, 0, "IN", "SOA", f"a. b. {serial} 1 1 1 1"))
    return message.to_wire()


def test_a_valid_answer_gives_the_serial_and_the_whole_list():
    asked = encode_query(77)
    serial, hosts = parse_answer(reply(asked, 41, [("s-1", 2905, 0), ("s-2", 2906, 1)]), 77)
    assert serial == 41 and hosts == (
        Host("s-1", "10.1.0.9:2905", "east", "std", 2, "Ready", 4.0, 0),
        Host("s-2", "10.1.0.9:2906", "east", "std", 2, "Terminating", 4.0, 0),
    )


def test_unusable_answers_are_rejected():
    asked = encode_query(77)
    good = reply(asked, 41, [("s-1", 2905, 0)])
    failed = dns.message.make_response(dns.message.from_wire(asked))
    failed.set_rcode(2)
    for bad in (
        good[:40],
        b"",
        b"\x00" * 12,
        asked,
        failed.to_wire(),
        reply(encode_query(78), 41, []),
        reply(asked, 41, [], dns.flags.TC),
        dns.message.make_response(dns.message.from_wire(asked)).to_wire(),
    ):
        with pytest.raises(HostListError):
            parse_answer(bad, 77)


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), min_size=1, max_size=6), st.integers(0, 400))
def test_corrupted_answers_raise_only_host_list_errors(changes, cut):
    data = bytearray(reply(encode_query(77), 41, [("s-1", 2905, 0), ("s-2", 2906, 1)]))
    for at, value in changes:
        data[2 + at % (len(data) - 2)] = value
    try:
        parse_answer(bytes(data[:-cut] if cut < len(data) and cut % 2 else data), 77)
    except HostListError:
        pass


def line(name, state="Ready", **more):
    return Host(
        **{
            "name": name,
            "address": "10.1.0.9:2905",
            "zone": "east",
            "kind": "std",
            "cell": 2,
            "state": state,
            "weight": 4.0,
            "started": 0,
            **more,
        }
    )


def test_a_list_gives_its_changes_and_an_older_one_none():
    fleet = Fleet(("east",), ("std",), 1_000)
    first = fleet.load_events(
        1, [(True, (line("a"), line("b"))), (False, (line("b", "Gone"), line("c", "Terminating")))]
    )
    assert first.kind == ListKind.CACHED and [e.state for e in first.entries] == [ServerState.READY, 2]
    assert fleet.update(1, (line("a"),)) is None and fleet.update(0, ()) is None
    update = fleet.update(4, (line("a", started=5), line("c"), line("d")))
    assert update is not None and update.kind == ListKind.DELTA
    assert [(e.server, e.state, e.started) for e in update.entries] == [(0, 1, 5_000_000 - 1_000), (2, 1, 0), (3, 1, 0)]
    gone = fleet.update(5, (line("d"),))
    assert gone is not None and [(e.server, e.state) for e in gone.entries] == [(0, 0), (2, 0)]
    assert fleet.update(6, (line("d"),)) is None and fleet.serial == 6
    back = fleet.update(7, (line("d"), line("a")))  # a name that comes back is another server
    assert back is not None and [e.server for e in back.entries] == [4]


@pytest.mark.parametrize(
    "known",
    [
        None,
        {},
        {"n": 1, "events": [{}]},
        {"n": -1, "events": []},
        {"n": 1, "events": [{"members": {"members": [{"phase": "Odd"}]}}]},
    ],
)
def test_a_configuration_without_a_valid_list_is_rejected(known):
    with pytest.raises(HostListError):
        parse_known(known)


def test_a_kind_unknown_to_the_settings_gets_the_fewest_places():
    """It used to be taken for the first kind, which may have more places."""
    raw = {**OPTIONS, "kinds": ["big", "small"], "extra": {**OPTIONS["extra"], "placesByKind": [50, 3]}}
    fleet = Fleet(("east",), ("big", "small"), 0)
    controller = Controller(parse_settings(raw), 1)
    controller.handle(
        1, fleet.load_events(1, [(True, (line("a", kind="big"), line("b", kind="small"), line("c", kind="new")))])
    )
    assert [controller.servers[n].places for n in range(3)] == [50, 3, 3]
