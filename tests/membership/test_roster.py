"""The roster: order of generations, invalid bodies, hosts that restart or are removed."""

import json

import pytest

from copperyard.interface import ListKind, ServerState
from copperyard.membership.roster import ListError, Roster

MS = 1_000_000


def host(name, **more):
    return {"id": name, "address": f"127.0.0.1:{5000 + sum(name.encode())}", "cell": 0, **more}


def body(generation, *hosts, **more):
    return json.dumps({"generation": generation, "hosts": list(hosts), **more}).encode()


def roster(*hosts, generation=5):
    one = Roster(("a", "b"), 4)
    one.apply_body(1000 * MS, body(generation, *hosts))
    return one


def test_a_full_list_then_changes():
    one = Roster(("a", "b"), 4)
    full = one.apply_body(0, body(5, host("x", zone="b", cell=3, weight=2), host("y")))
    assert full.kind == ListKind.FULL and [e.server for e in full.entries] == [0, 1]
    assert (full.entries[0].zone, full.entries[0].cell, full.entries[0].weight) == (1, 3, 2.0)
    delta = one.apply_body(0, body(6, host("y", state="draining"), since=5))
    assert delta.kind == ListKind.DELTA and delta.entries[0].state == ServerState.DRAINING
    assert one.apply_body(0, body(6)) is None


def test_changes_that_do_not_follow_request_the_full_list():
    one = roster(host("x"))
    with pytest.raises(ListError, match="since generation 7, but 5"):
        one.apply_body(0, body(8, since=7))
    assert one.generation is None and one.addresses  # the known list stays, the full list is requested
    assert one.apply_body(0, body(8, host("x"))).kind == ListKind.FULL


def test_an_older_list_never_brings_back_removed_hosts():
    one = roster(host("x"))
    with pytest.raises(ListError, match="older"):
        one.apply_body(0, body(4, host("x"), host("old")))
    assert one.generation == 5


@pytest.mark.parametrize(
    "data, wanted",
    [
        (b"\xff", "JSON"),
        (b"[]", "object"),
        (b"[" * 100_000, "JSON"),
        (body(6, host("x"), host("x")), "two hosts are named"),
        (body(6, host("x"), {**host("y"), "address": host("x")["address"]}), "address"),
        (body(6, {**host("x"), "address": "nowhere"}), r"hosts\[0\].address"),
        (body(6, host("x", cell=4)), "cell"),
        (body(6, host("x", cell=True)), "cell"),
        (body(6, host("x", zone="c")), "zone"),
        (body(6, host("x", state="odd")), "state"),
        (body(6, host("x", weight=0)), "weight"),
        (body(6, host("x", weight=float("nan"))), "weight"),
        (body(6, {"id": "x"}), "lacks address"),
        (body(6, host("x" * 65)), "id"),
        (body(-1), "generation"),
        (b'{"generation": 6}', "hosts"),
    ],
)
def test_an_invalid_body_changes_nothing(data, wanted):
    one = roster(host("x"))
    with pytest.raises(ListError, match=wanted):
        one.apply_body(0, data)
    assert one.generation == 5 and list(one.numbers) == ["x"]


def test_a_start_time_is_computed_once_for_each_boot():
    one = roster(host("x", boot="1", age_ms=400))
    # the same boot reported later is no restart; another boot is
    later = one.apply_body(3000 * MS, body(6, host("x", boot="1", age_ms=2390), since=5))
    assert later.entries[0].started == 600 * MS
    again = one.apply_body(9000 * MS, body(7, host("x", boot="2", age_ms=100), since=6))
    assert again.entries[0].started == 8900 * MS


def test_removed_hosts_leave_nothing_behind():
    one = Roster(("a",), 4)
    for n in range(50):
        one.apply_body(0, body(n + 1, host(f"h{n}")))
    assert len(one.addresses) == len(one.numbers) == len(one.names) == 1
    gone = one.apply_body(0, body(60, host("h49", state="gone"), since=50))
    assert gone.entries[0].state == ServerState.GONE and not one.addresses
