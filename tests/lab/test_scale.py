"""Scale tests: layout, refused options, statistics, whole runs, and that no process remains."""

import json
import math
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
import trio
from lxml import etree
from typer.testing import CliRunner

from copperyard.cli.main import app
from copperyard.config import SettingsError, parse
from copperyard.gateway.net import TcpNetwork
from copperyard.lab.sites import layout, scale, site_settings
from copperyard.lab.sites.hollow import CountingNetwork, plan_digest
from copperyard.lab.sites.run_statistics import (
    OUTAGE_GRACE_S,
    DeathReport,
    Outage,
    PlanAdoption,
    RunStatistics,
    UsageSample,
    byte_rates,
    cpu_rates,
    quantile,
    weighted_quantile,
)
from copperyard.lab.sites.scale_faults import ScaleFault, default_faults, read_scale_faults
from copperyard.lab.sites.site_settings import AddressBlock, add_gateways, generate_site, with_addresses
from copperyard.protocol.peers import Hello, encode_hello
from tests.lab.processes import descendants, is_running

ROOT = Path(__file__).parents[2]
SITES = ROOT / "examples" / "sites.xml"
AMPLE = layout.Resources(1e6, 1 << 20, 300, 60_000)
COMMAND = [sys.executable, "-m", "copperyard.cli.main", "lab", "scale"]


def settings(gateways, seed=1):
    text = generate_site(gateways, seed)
    names = [str(g.get("name")) for g in etree.fromstring(text).iterfind("gateways/gateway")]
    return with_addresses(text, {name: f"127.0.0.1:{n + 1}" for n, name in enumerate(names)})


def prepare(gateways=40, real=4, processes=None, seconds=60.0, seed=1, text=None, faults=None, room=AMPLE):
    wish = layout.ScaleOptions(gateways, real, processes, seconds, seed)
    return layout.prepare(text, "site.xml", wish, faults, "faults.xml", room)


def faults(body):
    return f'<scale name="x">\n{body}\n</scale>'.encode()


# ---- layout


def test_generated_site_has_two_regions_five_zones_and_a_voter_in_each():
    site = parse(settings(61))
    assert len(site.gateways) == 61 and len(site.zones) == 5
    assert site.common.terms.regions == (0, 0, 0, 1, 1)
    assert sorted(site.common.roster[name] for name in site.common.voters) == [0, 1, 2, 3, 4]
    assert generate_site(61, 1) == generate_site(61, 1) != generate_site(61, 2)


def test_link_addresses_do_not_change_the_fleet_digest():
    one = generate_site(12, 1)
    names = [str(g.get("name")) for g in etree.fromstring(one).iterfind("gateways/gateway")]
    first, other = (
        parse(with_addresses(one, {name: f"127.{k}.0.{n + 1}:7400" for n, name in enumerate(names)})) for k in (64, 65)
    )
    assert first.common.digest == other.common.digest and first.common.dial_addresses != other.common.dial_addresses
    assert first.common.digest != parse(settings(13)).common.digest


def test_concurrent_runs_take_different_address_blocks():
    one, other = AddressBlock(), AddressBlock()
    try:
        assert one.number != other.number and one.gateway_address(251) != one.gateway_address(
            250
        ) != other.gateway_address(250)
    finally:
        one.close()
        other.close()


def test_add_gateways_fills_zones_evenly_and_keeps_the_listed_gateways():
    text = add_gateways(SITES.read_bytes(), "sites.xml", 30)
    names = [str(g.get("name")) for g in etree.fromstring(text).iterfind("gateways/gateway")]
    assert names[:12] == [g.name for g in parse(SITES.read_bytes()).gateways] and len(set(names)) == 30
    zones = [g.get("zone") for g in etree.fromstring(text).iterfind("gateways/gateway")]
    assert [zones.count(zone) for zone in dict.fromkeys(zones)] == [6] * 5


def test_real_gateways_are_spread_over_zones_and_voters_are_the_last_to_be_real():
    _, site, plan, _ = prepare(40, 10)
    zones = [site.common.roster[name] for name in plan.real]
    assert [zones.count(z) for z in range(5)] == [2] * 5
    assert not set(plan.real) & set(site.common.voters)
    _, site, plan, _ = prepare(12, 12)
    assert set(plan.real) == set(site.common.roster) and plan.groups == ()


def test_each_hollow_voter_has_its_own_process_and_others_share_the_requested_number():
    _, site, plan, takes = prepare(100, 4, processes=3)
    assert plan.groups[:5] == tuple((name,) for name in site.common.voters)
    assert [len(group) for group in plan.groups[5:]] == [31, 31, 29]
    assert sorted(plan.hollow + plan.real) == sorted(site.common.roster)
    assert takes.processes == 12


def test_gateways_to_be_paused_share_a_process_with_no_others():
    body = '<fault kind="pause" at="5s" for="3s" who="rack"/><fault kind="pause" at="9s" for="3s" who="z4"/>'
    _, site, plan, _ = prepare(60, 4, faults=faults(body))
    paused = [set(names) for _, names, _ in plan.faults]
    assert all(paused)
    for group in plan.groups:
        for names in paused:
            assert set(group) <= names or not set(group) & names


def test_drawn_fault_targets_depend_on_the_seed_only():
    def drawn(seed):
        return [names for _, names, _ in prepare(60, 4, seed=seed)[2].faults]

    assert drawn(3) == drawn(3) and len({tuple(map(tuple, drawn(n))) for n in range(5)}) > 1


def test_default_faults_kill_one_gateway_after_a_third_and_later_restart_a_zone():
    one, zone = default_faults(60.0)
    assert (one.kind, one.at, one.targets) == ("kill", 20.0, ("gateway",)) and one.until == one.at
    assert zone.targets == ("zone",) and zone.at > one.at + 12 and 15 < zone.until - zone.at < 60 - zone.at


# ---- refusals, with nothing started


def test_too_many_gateways_are_refused_with_the_number_that_fits():
    room = layout.Resources(3000, 20_000, 40, 1000)
    with pytest.raises(layout.InfeasibleRunError, match="--gateways '5000': [0-9]+ fit this machine") as caught:
        prepare(5000, 4, room=room)
    most = int(str(caught.value).split("': ")[1].split()[0])
    assert 100 < most <= 1000 and prepare(most, 4, room=room)
    with pytest.raises(layout.InfeasibleRunError):
        prepare(most + 1, 4, room=room)


@pytest.mark.parametrize(
    "room",
    [
        layout.Resources(1000, 1 << 20, 300, 60_000),
        layout.Resources(1e6, 300, 300, 60_000),
        layout.Resources(1e6, 1 << 20, 10, 60_000),
        layout.Resources(1e6, 1 << 20, 300, 150),
    ],
)
def test_memory_descriptors_processes_and_settings_each_limit_the_run(room):
    assert prepare(600)
    with pytest.raises(layout.InfeasibleRunError, match="fit this machine"):
        prepare(600, room=room)


IMPOSSIBLE = [
    (["--gateways", "4"], "--gateways '4': below the 5 voters"),
    (["--gateways", "2", str(SITES)], "--gateways '2': below the 3 voters"),
    (["--gateways", "12", "--real", "13"], "--real '13': not from 0 up to the 12 gateways"),
    (["--real=-1"], "--real '-1'"),
    (["--gateways", "12", "--processes", "0"], "--processes '0'"),
    (["--for", "1s"], "--for '1s'"),
    (["--gateways", "5", str(SITES)], "sites.xml:line 18: gateways '5': these settings are of 12"),
    (["--gateways", "9999999"], "--gateways '9999999': "),
    (["{folder}/none.xml"], "none.xml: No such file"),
    (["--faults", "{folder}/none.xml"], "none.xml: No such file"),
    ([str(ROOT / "examples" / "caruso.xml")], "no <common>"),
]


@pytest.mark.parametrize(("words", "said"), IMPOSSIBLE)
def test_impossible_options_print_one_line_and_start_nothing(words, said, monkeypatch, tmp_path):
    monkeypatch.setattr(scale, "run_scale", None)
    found = CliRunner().invoke(app, ["lab", "scale", *(word.format(folder=tmp_path) for word in words)])
    assert found.exit_code == 2, found.output
    assert len(found.output.splitlines()) == 1 and said in found.output


@pytest.mark.parametrize(
    ("body", "said"),
    [
        ('<fault kind="melt" at="1s" who="zone"/>', "'melt'"),
        ('<fault kind="kill" at="1s" who="roma"/>', "who 'roma' is no gateway, zone or region of this site"),
        ('<fault kind="kill" at="1s"/>', "kind 'kill' without 'who'"),
        ('<fault kind="pause" at="1s" who="rack"/>', "kind 'pause' without 'for' would never end"),
        ('<fault kind="kill" at="50s" for="10s" who="rack"/>', "at '50s' and for '10s' reach to 60 s of a run of 60 s"),
        ('<fault kind="churn" at="1s" for="3s" who="rack"/>', "who 'rack' means nothing to 'churn'"),
        ('<fault kind="start" at="1s" who="leader"/>', "who 'leader' cannot be held back"),
        ('<fault kind="change" at="1s"/>', "kind 'change': a change of settings is a restart of all today"),
    ],
)
def test_an_impossible_fault_prints_one_line_with_file_and_line(body, said, monkeypatch, tmp_path):
    monkeypatch.setattr(scale, "run_scale", None)
    place = tmp_path / "faults.xml"
    place.write_bytes(faults(body))
    found = CliRunner().invoke(app, ["lab", "scale", "--faults", str(place)])
    assert found.exit_code == 2 and len(found.output.splitlines()) == 1, found.output
    assert said in found.output and f"{place}:line 2:" in found.output


def test_every_kind_of_fault_except_a_settings_change_is_read():
    site = parse(settings(20))
    body = (
        "".join(
            f'<fault kind="{kind}" at="1s" for="2s" who="{who}"/>'
            for kind, who in (
                ("kill", "rack"),
                ("kill", "zone"),
                ("kill", "voter leader"),
                ("pause", "gateway"),
                ("cut", "south"),
                ("start", "z2"),
                ("kill", "z1-0001"),
            )
        )
        + '<fault kind="churn" at="1s" for="2s"/>'
    )
    found = read_scale_faults(faults(body), site, ("north",) * 3 + ("south",) * 2, 60.0, "x")
    assert [one.kind for one in found] == ["kill"] * 3 + ["pause", "cut", "start", "kill", "churn"]
    assert found[-1] == ScaleFault("churn", 1.0, 3.0, (), 0.1)


def test_settings_of_a_part_of_a_site_are_refused():
    text = SITES.read_bytes().replace(b"<gateways>", b'<gateways fronts="14">')
    with pytest.raises(SettingsError, match="fronts '14': settings of other gateways"):
        prepare(20, text=text)


def test_no_free_address_block_is_reported_in_one_line(monkeypatch):
    monkeypatch.setattr(site_settings, "BLOCK_NUMBERS", range(0))
    found = CliRunner().invoke(app, ["lab", "scale", "--gateways", "12"])
    assert isinstance(found.exception, SystemExit) and found.exit_code == 1
    assert "no block of loopback addresses is free" in found.output.splitlines()[-1]
    assert len(found.output.splitlines()) == 2  # the first line tells the resources that the run takes


def test_processes_that_do_not_start_are_reported_in_one_line(monkeypatch):
    monkeypatch.setattr(sys, "executable", "/bin/false")
    found = CliRunner().invoke(app, ["lab", "scale", "--gateways", "6", "--real", "0"])
    assert isinstance(found.exception, SystemExit) and found.exit_code == 1
    assert "a process of 1 hollow gateways ended by itself" in found.output.splitlines()[-1]


def test_hollow_process_refuses_settings_with_another_fleet_digest(tmp_path):
    (tmp_path / "site.xml").write_bytes(settings(12))
    other = parse(settings(13)).common.digest.hex()
    found = subprocess.run(
        [sys.executable, "-m", "copperyard.lab.sites.hollow", str(tmp_path / "site.xml"), str(tmp_path), "1", other],
        input=b"",
        capture_output=True,
        timeout=60,
    )
    lines = found.stderr.decode().splitlines()
    assert found.returncode == 2 and len(lines) == 1 and "settings of other gateways" in lines[0] and other in lines[0]


def test_hollow_process_executes_commands_in_order(tmp_path):
    """Start, kill and start again without a pause, voters included: all gateways run, each once."""
    block = AddressBlock()
    text = generate_site(12, 1)
    names = [str(g.get("name")) for g in etree.fromstring(text).iterfind("gateways/gateway")]
    text = with_addresses(text, {name: block.gateway_address(n) for n, name in enumerate(names)})
    (tmp_path / "site.xml").write_bytes(text)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "copperyard.lab.sites.hollow",
            str(tmp_path / "site.xml"),
            str(tmp_path),
            "1",
            parse(text).common.digest.hex(),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        orders = [{"do": what, "names": names} for what in ("start", "kill", "start")] + [{"do": "tell"}]
        process.stdin.write(b"".join(json.dumps(one).encode() + b"\n" for one in orders))
        process.stdin.flush()
        notes = []
        for line in process.stdout:
            said = json.loads(line)
            notes += said.get("notes", [])
            if "state" in said:
                break
        assert sorted(said["state"]) == sorted(names)
        kinds = [kind for _, _, kind, *_ in notes]
        assert kinds.count("started") == 24 and "failed" not in kinds
    finally:
        process.stdin.close()
        assert process.wait(timeout=60) == 0
        process.stdout.close()
        block.close()


# ---- statistics


def statistics(downs=(), begin=100.0, end=200.0):
    found = RunStatistics(frozenset("abcd"), frozenset("r"), begin, end, outages=list(downs))
    for name in "abcdr":
        found.starts[name].append(50.0)
    return found


def test_a_death_report_is_false_unless_its_subject_had_an_outage():
    one = statistics([Outage("kill", frozenset("a"), 120.0, 130.0)])
    one.deaths = [DeathReport(125.0, "b", "a", True), DeathReport(130.0 + OUTAGE_GRACE_S / 2, "c", "a", False)]
    assert len(one.false_deaths()) == 0
    one.deaths.append(DeathReport(110.0, "b", "a", True))
    assert len(one.false_deaths()) == 1
    one.deaths = [
        DeathReport(131.0 + OUTAGE_GRACE_S, "c", "a", False),
        DeathReport(125.0, "a", "b", True),
        DeathReport(99.0, "c", "d", True),
    ]
    assert len(one.false_deaths()) == 2


def test_during_a_cut_each_side_may_report_only_the_other_side_dead():
    one = statistics([Outage("cut", frozenset("ab"), 120.0, 130.0)])
    one.deaths = [
        DeathReport(125.0, "a", "c", True),
        DeathReport(125.0, "c", "a", True),
        DeathReport(135.0, "c", "d", False),
    ]
    assert len(one.false_deaths()) == 0
    one.deaths = [DeathReport(125.0, "a", "b", True), DeathReport(125.0, "c", "d", True)]
    assert len(one.false_deaths()) == 2


def test_a_paused_gateway_may_report_others_dead_within_the_grace():
    one = statistics([Outage("pause", frozenset("a"), 120.0, 130.0)])
    one.deaths = [DeathReport(131.0, "a", "b", True)]
    assert len(one.false_deaths()) == 0
    one.deaths = [DeathReport(131.0, "c", "b", False)]
    assert len(one.false_deaths()) == 1


def test_death_detection_lasts_until_the_last_running_gateway_knows():
    one = statistics(
        [Outage("kill", frozenset("a"), 120.0, math.inf), Outage("kill", frozenset("bc"), 150.0, math.inf)]
    )
    one.deaths = [
        DeathReport(125.0, "d", "a", True),
        DeathReport(128.0, "r", "a", False),
        DeathReport(129.0, "r", "a", False),
        DeathReport(160.0, "d", "b", True),
    ]
    # b and c had an outage and do not count as observers
    assert one.death_detection() == {
        "dead_known_s": 8.0,
        "dead_first_s": 5.0,
        "dead_median_s": 8.0,
        "dead_known_by": [2, 2],
    }


def test_zone_loss_detection_lasts_until_all_running_gateways_adopt_the_plan_without_it():
    one = statistics([Outage("kill", frozenset("ab"), 120.0, 160.0, "z1")])
    for name, at in (("c", 130.0), ("d", 132.0)):
        one.plans[name] = [
            PlanAdoption(110.0, 1, "x", ()),
            PlanAdoption(125.0, 2, "y", ("z2",)),
            PlanAdoption(at, 3, "z", ("z1",)),
        ]
    assert one.zone_loss_detection()["zone_known_s"] is None and one.zone_loss_detection()["zone_known_by"] == [2, 3]
    one.plans["r"] = [PlanAdoption(133.5, 3, "z", ("z1",))]
    assert one.zone_loss_detection() == {"zone_known_s": 13.5, "zone_agreed_s": 10.0, "zone_known_by": [3, 3]}


def test_a_plan_is_in_force_where_it_or_a_later_one_was_adopted():
    one = statistics([Outage("kill", frozenset("d"), 105.0, 130.0)])
    one.plans["a"] = [PlanAdoption(60.0, 1, "x", ()), PlanAdoption(110.0, 2, "y", ()), PlanAdoption(120.0, 3, "z", ())]
    one.plans["b"] = [PlanAdoption(61.0, 1, "x", ()), PlanAdoption(121.0, 3, "z", ())]
    one.plans["c"] = [PlanAdoption(61.0, 1, "x", ()), PlanAdoption(110.5, 2, "y", ())]
    one.plans["d"] = [PlanAdoption(61.0, 1, "x", ()), PlanAdoption(140.0, 3, "z", ())]
    assert one.plan_propagation() == {"p50": 0.5, "p99": 11.0, "last": 11.0, "epochs": 2, "missing": 1}
    assert statistics().plan_propagation() is None


def test_two_plans_of_one_epoch_count_as_two_histories():
    one = statistics()
    assert one.history_count() == 0
    one.plans["a"], one.plans["b"] = (
        [PlanAdoption(1.0, 1, "x", ()), PlanAdoption(2.0, 2, "y", ())],
        [PlanAdoption(1.5, 1, "x", ())],
    )
    assert one.history_count() == 1
    one.plans["b"].append(PlanAdoption(3.0, 2, "other", ()))
    assert one.history_count() == 2


def test_a_rejoin_lasts_until_a_plan_is_in_force_after_that_start():
    one = statistics([Outage("kill", frozenset("a"), 110.0, 120.0)])
    one.starts["a"] += [120.0, 150.0]
    one.plans["a"] = [PlanAdoption(60.0, 1, "x", ()), PlanAdoption(123.0, 4, "y", ())]
    assert one.rejoin_times() == {"rejoin_s": 3.0, "rejoin_median_s": 3.0, "rejoin_missing": 1}
    assert statistics().rejoin_times()["rejoin_s"] is None


def test_a_plan_has_the_same_digest_in_a_note_and_in_a_log_line():
    fields = {"epoch": 3, "index": 9, "z1": "open 1.00"}
    line = {"event": "plan", "front": "a", "timestamp": "t", "held_back": 2, **fields}
    assert plan_digest(fields) == plan_digest(line) != plan_digest({**fields, "z1": "closed 0.00"})


@pytest.mark.parametrize(
    ("lags", "void"),
    [([], False), ([(110.0, 0.4), (150.0, 0.5)], False), ([(99.0, 3.0), (202.0, 3.0)], False), ([(150.0, 0.6)], True)],
)
def test_a_run_is_void_if_a_process_lagged_between_begin_and_end(lags, void, tmp_path):
    text, site, plan, _ = prepare(12, 0)
    block = AddressBlock()
    try:
        run = scale.ScaleRun(
            site,
            text,
            layout.zone_regions(text),
            plan,
            layout.ScaleOptions(12, 0, None, 60.0, 1),
            tmp_path,
            block,
            lambda words: None,
            lambda done: None,
        )
    finally:
        block.close()
    run.statistics.begin, run.statistics.end = 100.0, 200.0
    run.hollow_processes[0].lags = lags
    assert run._result().figures["void"] is void


def test_usage_is_computed_by_gateway_and_second():
    samples = [
        UsageSample(10.0, 1.0, 0, {"a": (0, 0)}),
        UsageSample(11.0, 1.1, 0, {"a": (100, 50)}),
        UsageSample(13.0, 1.5, 0, {"a": (20, 10)}),
        UsageSample(14.0, 2.5, 0, {"a": (40, 30)}),
    ]
    assert cpu_rates(samples, 10.0, 13.0, 10) == pytest.approx([10.0, 20.0])
    assert byte_rates(samples, 10.0, 20.0) == {"a": [(100.0, 50.0), (20.0, 20.0)]}  # at 13 s: after a restart
    assert quantile([1, 2, 3, 4], 0.5) == 2 and quantile([1, 2, 3, 4], 0.99) == 4
    assert (
        weighted_quantile([(5.0, 1), (1.0, 98), (9.0, 1)], 0.5) == 1.0
        and weighted_quantile([(5.0, 1), (1.0, 99)], 0.995) == 5.0
    )


def test_a_cut_closes_open_connections_and_refuses_new_ones_in_both_directions():
    trio.run(_cut)


async def _cut():
    networks = {}
    network = TcpNetwork()
    listeners = {name: await network.listen("127.0.0.1:0") for name in "ab"}
    names = {one.address: name for name, one in listeners.items()}
    networks["a"], networks["b"] = CountingNetwork(network, names), CountingNetwork(network, names)
    for one in listeners.values():
        one.close()
    address = {name: one for one, name in names.items()}
    listener = await networks["b"].listen(address["b"])
    first = encode_hello(Hello(b"f", "a", "b", 1, 1))

    async def link():
        out = await networks["a"].connect(address["b"])
        came = await listener.accept()
        await out.send_some(first)
        return out, came

    out, came = await link()
    assert await came.receive_some(1000) == first and came.name == "a"
    assert (networks["a"].sent, networks["b"].received, networks["a"].max_open) == (len(first), len(first), 1)
    networks["b"].set_refused(["a"])
    assert not networks["b"].open_streams and await out.receive_some(10) == b""
    out.close()
    out, came = await link()
    with pytest.raises(OSError):
        await came.receive_some(1000)  # the hello of the incoming connection names a refused peer
    networks["a"].set_refused(["b"])
    with pytest.raises(OSError):
        await networks["a"].connect(address["b"])
    networks["a"].set_refused([])
    networks["b"].set_refused([])
    out, came = await link()
    assert await came.receive_some(1000) == first
    out.close()
    came.close()
    listener.close()


# ---- whole runs


def play(tmp_path, *words, body=""):
    place = tmp_path / "faults.xml"
    place.write_bytes(faults(body))
    found = subprocess.run([*COMMAND, *words, "--faults", str(place)], capture_output=True, timeout=200, text=True)
    return found, json.loads(found.stdout.splitlines()[-1]) if found.stdout else {}


def test_120_gateways_recover_when_a_rack_is_killed_and_restarted(tmp_path):
    """A short run; it checks counts and no times.

    200 gateways took 42 s on eight cores with a load of 18, and more than a minute with a load of 20.
    """
    found, last = play(
        tmp_path,
        "--gateways",
        "120",
        "--real",
        "2",
        "--processes",
        "4",
        "--for",
        "7s",
        "--rate",
        "0.5",
        body='<fault kind="kill" at="2s" for="3s" who="rack"/>',
    )
    assert found.returncode == 0, found.stderr
    assert (last["gateways"], last["real"], last["hollow"], last["processes"]) == (120, 2, 118, 11)
    assert last["histories"] == 1 and last["rules"] == {str(n): 0 for n in range(1, 7)} and last["faults"] == []
    state = last["state"]
    # one cell of 24 in each zone and three contacts in each other zone; a voter has one report for each cell
    assert state["living"] == 118 and state["members_least"] == state["members_most"] == 23 + 4 * 3
    assert state["reports_most"] <= 5 and 5 <= last["links_most"] <= 2 * 119
    # bounds on messages, the restarted rack included: no gateway is silent, and none floods
    assert 118 * 10 < state["frames"] < 118 * 60 * 60 and state["events"]["plan"] >= 118
    assert state["events"].get("defect", 0) == 0 and "plan refused" not in state["events"]
    keys = {
        "cpu_ms_per_s",
        "bytes_per_s",
        "control_mb",
        "dead_known_s",
        "zone_known_s",
        "false_deaths",
        "change_in_force_s",
        "rejoin_s",
        "seed",
        "for_s",
        "mechanism",
    }
    assert keys <= set(last) and set(last["cpu_ms_per_s"]) == {"median", "p99", "leader", "relay"}
    assert set(last["bytes_per_s"]) == {"median", "p99", "leader", "relay"} and last["cpu_ms_per_s"]["leader"] > 0


def begin(tmp_path, *words, body=""):
    """Starts a run of 12 gateways; returns its process and descendants once all gateways run."""
    place = tmp_path / "faults.xml"
    place.write_bytes(faults(body))
    process = subprocess.Popen(
        [*COMMAND, "--gateways", "12", "--for", "60s", "--faults", str(place), *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    said = ""
    for line in process.stderr:
        said = line
        if ("a plan everywhere" in line and not body) or " pause " in line:
            break
    time.sleep(0.5)  # the signal that the line announces is sent after it
    return process, descendants(process.pid), said


@pytest.mark.parametrize("body", ["", '<fault kind="pause" at="1s" for="50s" who="rack"/>'])
def test_no_process_remains_when_the_run_is_killed(tmp_path, body):
    process, started, said = begin(tmp_path, "--real", "2", body=body)
    try:
        assert len(started) >= 8, said
        process.kill()
        process.wait()
        for _ in range(300):
            if not any(is_running(pid) for pid in started):
                break
            time.sleep(0.1)
        assert not [pid for pid in started if is_running(pid)]
    finally:
        for pid in started:
            if is_running(pid):
                os.kill(pid, signal.SIGKILL)
        process.kill()
        process.communicate()


def test_a_process_that_ends_by_itself_is_reported_and_fails_the_run(tmp_path):
    process, started, said = begin(tmp_path, "--real", "0", "--for", "5s")
    try:
        assert len(started) == 6, said
        os.kill(started[-1], signal.SIGKILL)
        out, errors = process.communicate(timeout=100)
        last = json.loads(out.splitlines()[-1])
        assert process.returncode == 1 and "ended by itself" in errors
        assert any("ended by itself" in text for text in last["faults"])
        assert not [pid for pid in started if is_running(pid)]
    finally:
        process.kill()
        process.wait()
