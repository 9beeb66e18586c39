"""Builds small sites and rehearsals for tests, and runs them in memory on a virtual clock."""

from __future__ import annotations

from dataclasses import replace

from copperyard.config import parse
from copperyard.gateway.daemon import Gateway
from copperyard.lab import virtual
from copperyard.lab.faults import DEFAULT_STRENGTH, Fault, Whom
from copperyard.lab.memnet import MemoryNetwork
from copperyard.lab.rehearsal import Load, Rehearsal
from copperyard.lab.run import run_rehearsal

MS, SECOND = 1_000_000, 1_000_000_000
TRACKS = (
    '<track kind="video" payload-type="26" codec="JPEG" clock="90000"/>'
    '<track kind="audio" payload-type="0" codec="PCMU" clock="8000"/>'
)


def site(**changes):
    return parse(site_text(**changes).encode())


def site_text(
    hosts=4,
    gateways=1,
    titles=2,
    seats=50,
    further='further="3" further-share="0.2"',
    link="9MB/s",
    limits='stall="2s" idle="20s" silence="1s" dead="3s"',
    scale="0.01",
    length="6s",
    places=32,
    warm="1s",
    grace="250ms",
):
    return f"""<copperyard>
  <gateways>{''.join(f'<gateway name="gw-{n}" listen="127.0.0.1:0"/>' for n in range(gateways))}</gateways>
  <ladder><rung rate="200kB/s" worth="0.3"/><rung rate="400kB/s" worth="0.6"/><rung rate="800kB/s" worth="1"/></ladder>
  <classes>
    <class name="preview" path="/" aim="1500ms" deadline="5s"/>
    <class name="paid" path="/" code="required" set-up="once" aim="1s" deadline="3s" worth="2" floor="1"
           seats="{seats}"/>
  </classes>
  <fleet cells="{hosts}" racks="1" link="{link}" uplink="900MB/s" places="{places}" warm-within="{warm}"/>
  <rules drain-grace="{grace}" fall-multiple="3" fall="3s" attempts="3" {further} retry-after="1s"/>
  <reports told-every="2s"/><prices/><list url="http://127.0.0.1:1/hosts" wait="2s" timeout="3s"/>
  <limits {limits}/>
  <titles>{''.join(f'<title path="/f/{n}" name="F" length="{length}" cell="0" holders="{hosts}">{TRACKS}</title>'
                   for n in range(titles))}</titles>
  <lab media-scale="{scale}" list-late="100ms">{''.join(f'<host name="h{n}" cell="{n}"/>' for n in range(hosts))}</lab>
</copperyard>"""


def play(one, day, seed=1, make=None):
    """Run a rehearsal in virtual time and return its result."""
    return virtual.run(lambda: run_rehearsal(one, day, MemoryNetwork(), seed, 5 * MS, 10 * MS, make=make), seed)


def fault(kind, at, until, *hosts, hard=None, **whom):
    """Return a fault for the hosts with these numbers."""
    names = tuple(f"h{n}" for n in hosts)
    return Fault(kind, at, until, Whom(hosts=names, **whom), DEFAULT_STRENGTH.get(kind, 1.0) if hard is None else hard)


def day(*faults, rate=10.0, seconds=8.0, paid=0.4, misbehave=0.0, watch=(3.0, 5.0), crowds=()):
    return Rehearsal("test", "a rule", seconds, Load(rate, paid, watch, 0.8, misbehave), crowds, faults)


def weakened(**changes):
    """Return a factory of gateways whose settings differ from the site's, so that they do not enforce a rule."""

    def make(station, network, seed, rng):
        rules = replace(station.rules, settings=replace(station.rules.settings, **changes))
        return Gateway(replace(station, rules=rules), network, seed, rng, lambda event, fields: None)

    return make


def classes(one, **changes):
    """Return the site's classes with these changes to each."""
    return tuple(replace(c, **changes) for c in one.rules.settings.classes)
