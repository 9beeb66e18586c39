"""Scenario files for sites of gateway processes, and the simulated network."""

from pathlib import Path

import pytest

from copperyard.config import SettingsError, load
from copperyard.lab.sites.faults import LEADER, read_scenario
from copperyard.lab.sites.simulated_network import LinkConditions, SimulatedNetwork

ROOT = Path(__file__).parents[2]
SITE = load(str(ROOT / "examples" / "sites.xml"))
MS = 1_000_000


def scenario(faults, seconds="30"):
    return (f'<evening name="x" teaches="y" seconds="{seconds}" rate="5">\n{faults}\n</evening>').encode()


@pytest.mark.parametrize("name", ["short", "council", "sites"])
def test_packaged_scenarios_are_valid(name):
    place = ROOT / "copperyard" / "lab" / "sites" / "evenings" / f"{name}.xml"
    found = read_scenario(place.read_bytes(), SITE, name)
    assert found.name == name and found.faults and all(f.until < found.seconds for f in found.faults)


def test_targets_are_zones_gateways_or_the_leader_and_the_other_end_defaults_to_all_others():
    found = read_scenario(scenario('<fault kind="cut" at="1s" for="2s" who="milano leader"/>'), SITE, "x").faults[0]
    assert found.targets == ("mi-1", "mi-2", "mi-3", LEADER) and len(found.others) == 9
    found = read_scenario(scenario('<fault kind="slow" at="1s" for="2s" who="pa-1" from="torino"/>'), SITE, "x").faults[
        0
    ]
    assert found.others == ("to-1", "to-2") and (found.at, found.until) == (1.0, 3.0)


@pytest.mark.parametrize(
    ("fault", "words"),
    [
        ('<fault kind="cut" at="1s" for="40s" who="milano"/>', "reach to 41 s of an evening of 30 s"),
        ('<fault kind="cut" at="1s" who="milano"/>', "without 'for' would never end"),
        ('<fault kind="kill" at="1s" who="roma"/>', "'roma' is no gateway and no zone"),
        ('<fault kind="hosts-lost" at="1s" for="1s" who="mi-1"/>', "hosts are named by zones"),
        ('<fault kind="kill" at="1s" who="mi-1" from="torino"/>', "from means nothing to 'kill'"),
        ('<fault kind="melt" at="1s" who="mi-1"/>', "melt"),
    ],
)
def test_a_mistake_is_reported_with_its_line(fault, words):
    with pytest.raises(SettingsError) as caught:
        read_scenario(scenario(fault), SITE, "x")
    assert any(words in m.text and m.line == 2 for m in caught.value.mistakes), caught.value


class Ticker:
    """Sends a number to another node each second and records what it receives."""

    def __init__(self, to):
        self.to, self.next, self.count, self.heard, self.out = to, 0, 0, [], []

    def hear(self, now, sender, message):
        self.heard.append((now, sender, message))

    def wake(self, now):
        self.next, self.count = self.next + 1000 * MS, self.count + 1
        self.out.append((self.to, self.count))

    def next_wake(self):
        return self.next

    def collect(self, now):
        out, self.out = self.out, []
        return out


def pair(manner=None):
    net = SimulatedNetwork(3, manner or LinkConditions())
    one, two = Ticker("two"), Ticker("one")
    net.add("one", one)
    net.add("two", two)
    return net, one, two


def test_a_one_way_cut_stops_one_direction_only():
    net, one, two = pair()
    net.partition(["one"], ["two"], both=False)
    net.run(5000 * MS)
    assert two.heard == [] and len(one.heard) >= 4
    net.heal()
    net.run(8000 * MS)
    assert two.heard


def test_messages_to_a_paused_node_are_handled_when_it_resumes():
    net, one, two = pair()
    net.run(1500 * MS)
    before = len(two.heard)
    net.pause("two", 4000 * MS)
    net.run(5400 * MS)
    assert len(two.heard) == before
    net.run(5600 * MS)
    assert len(two.heard) >= before + 4


def test_the_same_seed_gives_the_same_run():
    def play():
        net, one, two = pair(LinkConditions(loss=0.3, duplication=0.3, delay=(1 * MS, 900 * MS)))
        net.run(60_000 * MS)
        return one.heard, two.heard, net.lost

    assert play() == play() and play()[2] > 0
