"""The simulated site at scale: its checks detect violations, its counts are reproducible, and bad input is reported."""

import json
import random
from dataclasses import replace

import pytest

from benchmarks import scale
from copperyard.interface import ZoneAllocation
from copperyard.lab.sites.simulated_network import LinkConditions
from copperyard.lab.sites.simulated_site import CHECK_INTERVAL, MS, SECOND, InvariantError, SimulatedSite, spread_voters


def walked(site, zone):
    """Reference for the incremental sum: caps of all running fronts of other zones."""
    return sum(
        front.allocation.caps[zone] or 0.0
        for front in site.fronts()
        if front.zone != zone and front.allocation is not None
    )


def test_incremental_sums_of_caps_equal_a_full_sum_as_fronts_come_and_go():
    rng = random.Random(3)
    site = SimulatedSite(3, 5, 4, manner=LinkConditions(0.05, 0.02, (MS, 60 * MS)))
    site.run(12)
    most = 0.0
    for n in range(60):
        site.run(rng.uniform(0.2, 2))
        name = rng.choice(list(site.roster))
        if n % 3 == 0:
            site.net.kill(name)
        elif n % 3 == 1:
            site.start(name)  # also replaces a running one
        else:
            site.demand[rng.randrange(5)] = rng.choice((1_000.0, 8_000.0, 12_000.0))
        for zone in range(5):
            assert abs(site.allowed_kb(zone) - walked(site, zone)) < 1e-3
            most = max(most, site.allowed_kb(zone))
    assert most > 1000
    front = next(one for one in site.fronts() if one.allocation is not None)  # its own zone has no limit
    site.set_allocation(
        front, ZoneAllocation(front.allocation.shares, tuple(1e9 if z == front.zone else 1.0 for z in range(5)))
    )
    assert abs(site.allowed_kb(front.zone) - walked(site, front.zone)) < 1e-3


@pytest.mark.parametrize("gateways", [10, 200])
def test_a_planted_overrun_is_found_by_the_event_that_makes_it(gateways):
    site = SimulatedSite(1, 5, gateways // 5, room=10_000.0 * gateways, asked=5_000.0 * gateways)
    site.run(12)
    front = site.front("g1-1")
    site.check(site.net.now)
    caps = list(front.allocation.caps)
    free = max(
        zone.room * zone.usable_ratio - zone.own - zone.reserve
        for _, plan in site.committed
        for zone in [plan.zones[3]]
    )
    caps[3] = free - site.allowed_kb(3) + caps[3] + 2.0  # one front exceeds the limit of all by 2 kB/s
    site.net.at(
        site.net.now + 1, lambda: site.set_allocation(front, ZoneAllocation(front.allocation.shares, tuple(caps)))
    )
    with pytest.raises(InvariantError, match="of zone 3 allowed"):
        site.net.run(site.net.now + 1)


def test_free_room_expires_and_an_overrun_caused_by_that_is_found():
    """No front changes anything: the plan that had room for their caps is too old."""
    site = SimulatedSite()
    site.run(12)
    plan = site.committed[-1][1]
    assert site.allowed_kb(3) > 1
    none = [replace(zone, room=0.0, own=0.0, reserve=0.0) for zone in plan.zones]
    site.record_plan(replace(plan, epoch=plan.epoch + 1, zones=tuple(none)))
    site.check(site.net.now + CHECK_INTERVAL)
    with pytest.raises(InvariantError):
        site.check(site.net.now + 2 * site.terms.holds * 12 // 10 + CHECK_INTERVAL)


def test_two_plans_of_an_epoch_are_found():
    site = SimulatedSite()
    site.run(12)
    plan = site.committed[-1][1]
    site.record_plan(plan)
    with pytest.raises(InvariantError, match=f"two plans of epoch {plan.epoch}"):
        site.record_plan(replace(plan, holds=plan.holds + 1))


@pytest.mark.parametrize("voters", [3, 5, 9])
def test_voters_are_spread_over_all_zones(voters):
    names = spread_voters(voters, 5)
    assert len(set(names)) == voters
    each = [sum(name.startswith(f"g{z}-") for name in names) for z in range(5)]
    assert max(each) - min(each) <= 1


def two_hundred(seed):
    """Run 200 gateways from their start; return counts of what they sent and hold."""
    run = scale.Run(200, seed, 9)
    run.begin()
    run.advance(10)
    assert run.settled()
    run.draw_sample()
    sent, sizes = run.site.net.sent, {name: one.sent_bytes for name, one in run.tallies.items()}
    run.advance(3)
    leader = run.site.leader()
    assert leader is not None
    return run, {
        "sent": run.site.net.sent,
        "lost": run.site.net.lost,
        "epochs": len(run.site.plans),
        "rate": (run.site.net.sent - sent) / 3 / 200,
        "bytes": sorted((one.sent_bytes - sizes[name]) / 3 for name, one in run.tallies.items()),
        "links": sorted(len(one.recipients) for one in run.tallies.values()),
        "held": run.max_entries(run.plain()[:4]),
        "held_leader": run.max_entries([leader]),
    }


def test_two_hundred_gateways_send_and_hold_what_is_stated_and_the_same_again_by_the_same_seed():
    run, found = two_hundred(5)
    assert found["rate"] < 9 and found["epochs"] <= 3
    assert run.false_deaths == {}
    assert 0 < max(found["bytes"]) < 18_000
    assert found["held"]["members.members"] <= 199 and found["held"]["members.reachability.rows"] <= 200
    assert two_hundred(5)[1] == found


def test_a_census_finds_growing_state_and_ignores_settings():
    site = SimulatedSite(1, 5, 4)
    site.run(3)
    core = site.front("g1-1").core
    shared = scale.settings_ids(site, "g1-1")
    before, size = scale.count_entries(core, shared), scale.held_bytes(core, shared)
    core.histories = [*core.histories, *[(n, n) for n in range(1000)]]
    core.members.members["g1-2"].suspectors |= {f"x{n}" for n in range(100)}
    after = scale.count_entries(core, shared)
    assert after["histories"] - before["histories"] == 1000
    assert after["members.members[].suspectors"] - before["members.members[].suspectors"] == 100
    assert scale.held_bytes(core, shared) - size > 1000 * 60
    assert not any("terms" in name or name.startswith("place") for name in after)
    assert size < scale.held_bytes(core, set())


def test_one_json_line_has_all_required_figures(capsys, tmp_path):
    assert (
        scale.main(
            [
                "15",
                "--voters",
                "5",
                "--faults",
                "calm",
                "dead",
                "change",
                "killed",
                "zone",
                "storm",
                "--json",
                str(tmp_path / "one.json"),
            ]
        )
        == 0
    )
    found = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert found == json.loads((tmp_path / "one.json").read_text())
    for key in (
        "cpu_ms_per_s",
        "bytes_per_s",
        "control_mb",
        "dead_known_s",
        "zone_known_s",
        "change_in_force_s",
        "links_most",
    ):
        assert found[key] is not None
    assert (found["gateways"], found["real"], found["hollow"], found["histories"]) == (15, 0, 15, 1)
    assert found["rules"] == "held" and found["false_deaths"] is None and found["rejoin_s"] is None
    assert found["dead_known_s"] < 14 and found["zone_in_force_s"] < 20 and found["change_in_force_s"]["last"] < 18


def test_a_run_that_does_not_fit_into_memory_ends_with_a_message_and_exit_1(capsys):
    assert scale.main(["200", "--memory", "1", "--faults", "calm"]) == 1
    found = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert found["stopped"].startswith("memory: ") and "0 of 200 gateways had begun" in found["stopped"]
    assert found["cpu_ms_per_s"] is None and found["played"] == []


@pytest.mark.parametrize(
    "given, told",
    [
        (["7", "--voters", "9"], "gateways: 7 is under 10"),
        (["20", "--voters", "21"], "gateways: 20 is under 21"),
        (["many"], "gateways: invalid int value: 'many'"),
        (["50", "--voters", "4"], "--voters: 4 is no odd number"),
        (["50", "--faults", "calm", "flood"], "--faults: 'flood' is none of calm"),
        (["50", "--for", "0"], "--for: 0.0 is not above 0"),
        (["50", "--calm", "-1"], "--calm: -1.0 is not above 0"),
        (["50", "--for", "nan"], "--for: nan is not above 0"),
        (["50", "--for", "inf"], "--for: inf is not above 0, 1e9 at most"),
        (["50", "--json", "/nowhere/x.json"], "--json: '/nowhere' is no folder"),
    ],
)
def test_bad_input_is_reported_in_one_line_and_nothing_starts(given, told, capsys, monkeypatch):
    monkeypatch.setattr(scale, "Run", None)
    with pytest.raises(SystemExit) as end:
        scale.main(given)
    out = capsys.readouterr()
    assert end.value.code == 2 and out.out == ""
    assert out.err.count("\n") == 1 and told in out.err


def test_a_partition_cuts_one_way_or_both_and_ends_when_healed():
    site = SimulatedSite(1, 5, 2)
    one, other = site.gateways_in(0), site.gateways_in(1)
    site.net.partition(one, other, both=False)
    assert (
        site.net.is_cut("g0-0", "g1-1") and not site.net.is_cut("g1-1", "g0-0") and not site.net.is_cut("g0-0", "g2-0")
    )
    site.net.partition(other, one, both=False)
    assert site.net.is_cut("g1-1", "g0-0")
    site.net.heal()
    assert not site.net.is_cut("g0-0", "g1-1")
    assert site.net.now < SECOND


@pytest.mark.parametrize(
    "planted, rules, histories",
    [
        (
            lambda site: site.set_allocation(
                site.front("g1-1"), ZoneAllocation(site.front("g1-1").allocation.shares, (0.0, 0.0, 0.0, 1e9, 0.0))
            ),
            "of zone 3 allowed",
            1,
        ),
        (lambda site: site.record_plan(replace(site.committed[-1][1], holds=1)), "two plans of epoch", 2),
    ],
)
def test_a_run_in_which_a_rule_breaks_says_which_and_exits_1(planted, rules, histories, capsys, monkeypatch):
    def broken(run, seconds):
        run.site.net.at(run.site.net.now + MS, lambda: planted(run.site))
        run.advance(1)
        return {"reached": True}

    monkeypatch.setitem(scale.SCENARIOS, "broken", broken)
    assert scale.main(["10", "--faults", "broken", "calm"]) == 1
    found = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert rules in found["rules"] and found["histories"] == histories
    assert found["played"] == [] and "reached" not in found and found["cpu_ms_per_s"] is None


def test_what_a_stopped_scenario_had_found_is_kept(capsys, monkeypatch):
    def halted(run, seconds):
        run.found["zone_known_s"] = 7.5
        raise scale.RunStoppedError("time: so it is")

    monkeypatch.setitem(scale.SCENARIOS, "halted", halted)
    assert scale.main(["10", "--faults", "halted"]) == 1
    found = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert found["zone_known_s"] == 7.5 and found["stopped"] == "time: so it is" and found["played"] == []
