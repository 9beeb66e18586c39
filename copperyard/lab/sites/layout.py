"""What a run at scale is asked to be, what the machine has room for, and who shares a process with whom. Nothing starts
here: what cannot be is refused before.
"""

from __future__ import annotations

import math
import os
import random
import resource
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path

from lxml import etree

from ...config import Site, parse
from .drawn import MOST, drawn_site, placed, widened
from .scalefaults import Trouble, read_troubles, usual_troubles

A_PROCESS = 120  # hollow gateways in one, where nobody says how many processes there are to be
MOST_PROCESSES = 300
RACK = 20  # gateways of one zone that fail together
EMPTY_MB, PARENT_MB, REAL_MB = 60, 150, 80  # a process without gateways, this one, a real gateway's
HOLLOW_MB, ROSTER_KB, LINK_KB = 0.5, 0.6, 18.0  # a hollow one: itself, for each other, for each open link (runs)
LINKS = 130  # open at a gateway that does not vote, in and out; a voter may have one each way with everybody
OWN = 64  # descriptors of a process for itself


class Refused(ValueError):
    """The run cannot be: why, in one line."""


@dataclass(frozen=True, slots=True)
class Wish:
    """What was asked for: `processes` for the hollow ones that share some, `seconds` of the run, `rate` viewers a
    second (None: a quarter of the number of real gateways)."""

    gateways: int
    real: int
    processes: int | None
    seconds: float
    seed: int
    rate: float | None = None


@dataclass(frozen=True, slots=True)
class Room:
    """What the machine has for a run: MB, descriptors of a process, processes, and gateways that settings may list."""

    memory_mb: float
    descriptors: int
    processes: int
    listed: int


@dataclass(frozen=True, slots=True)
class Layout:
    """Who is real, and which hollow ones share a process. `troubles` with those drawn in place of words."""

    real: tuple[str, ...]
    groups: tuple[tuple[str, ...], ...]
    troubles: tuple[tuple[Trouble, tuple[str, ...], str], ...]  # whom it hits (none: found when it comes), whole zone

    @property
    def hollow(self) -> tuple[str, ...]:
        return tuple(name for group in self.groups for name in group)


def machine_room() -> Room:
    """Half of this machine's memory (of what this run may have of it), descriptors, some hundred processes."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        memory = min(memory, int(Path("/sys/fs/cgroup/memory.max").read_text()))
    except (OSError, ValueError):
        pass
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    processes = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    schema = etree.fromstring(files("copperyard.config").joinpath("site.xsd").read_bytes())
    listed = schema.find(".//{*}element[@name='gateway']").get("maxOccurs")  # type: ignore[union-attr]
    return Room(
        memory / 2 / 1e6,
        descriptors if descriptors > 0 else 1 << 20,
        min(MOST_PROCESSES, processes if processes > 0 else MOST_PROCESSES),
        min(MOST, int(listed)) if listed and listed != "unbounded" else MOST,
    )


def needs(gateways: int, real: int, voters: int, processes: int | None) -> Room:
    """What a run takes, from trials; `listed` is the number of gateways itself."""
    alone = min(voters, gateways - real)
    rest = max(0, gateways - real - alone)
    shared = processes if processes is not None else math.ceil(rest / A_PROCESS)
    links = min(LINKS, 2 * (gateways - 1))
    each = HOLLOW_MB + (ROSTER_KB * gateways + LINK_KB * links) / 1000
    leader = HOLLOW_MB + (ROSTER_KB + 2 * LINK_KB) * gateways / 1000
    memory = PARENT_MB + (shared + alone) * EMPTY_MB + real * REAL_MB + rest * each + alone * leader
    a_process = math.ceil(rest / shared) if shared else 0
    return Room(
        memory, OWN + max(a_process * (links + 1), 2 * gateways, 8 * real * real), shared + alone + real, gateways
    )


def check_room(wish: Wish, voters: int, room: Room) -> Room:
    """What the wish takes. Refused where it is more than there is, with how many gateways fit."""

    def fits(gateways: int) -> bool:
        n = needs(gateways, wish.real, voters, wish.processes)
        return (
            n.memory_mb <= room.memory_mb
            and n.descriptors <= room.descriptors
            and n.processes <= room.processes
            and n.listed <= room.listed
        )

    if fits(wish.gateways):
        return needs(wish.gateways, wish.real, voters, wish.processes)
    low, high = 0, wish.gateways
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if middle >= wish.real and fits(middle) else (low, middle)
    raise Refused(
        f"--gateways '{wish.gateways}': {low} fit this machine with {wish.real} real ones (half of its "
        f"memory {room.memory_mb:.0f} MB, {room.descriptors} descriptors a process, {room.processes} "
        f"processes, {room.listed} gateways that settings may list)"
    )


def check_wish(wish: Wish, voters: int) -> None:
    """Refused for numbers that cannot be."""
    if wish.gateways < max(1, voters):
        raise Refused(f"--gateways '{wish.gateways}': below the {voters} voters")
    if wish.real < 0 or wish.real > wish.gateways:
        raise Refused(f"--real '{wish.real}': not from 0 up to the {wish.gateways} gateways")
    if wish.processes is not None and not 1 <= wish.processes <= MOST_PROCESSES:
        raise Refused(f"--processes '{wish.processes}': not from 1 up to {MOST_PROCESSES}")
    if not 5 <= wish.seconds <= 86_400:
        raise Refused(f"--for '{wish.seconds:g}s': not from 5 s up to a day")


def prepare(
    text: bytes | None, name: str, wish: Wish, faults: bytes | None, faults_name: str, room: Room
) -> tuple[bytes, Site, Layout, Room]:
    """Settings of the wished size, what they say, who shares a process, and what it takes. BadSettings, Refused;
    nothing is started."""
    voters = 5 if text is None else _voters(text, name)
    check_wish(wish, voters)
    takes = check_room(wish, voters, room)
    text = drawn_site(wish.gateways, wish.seed) if text is None else widened(text, name, wish.gateways)
    names = [str(one.get("name")) for one in etree.fromstring(text).iterfind("gateways/gateway")]
    # checked with addresses of their own already; the run's come when it starts
    text = placed(text, {one: f"127.0.0.1:{n + 1}" for n, one in enumerate(names)})
    site = parse(text, name)
    regions = regions_of(text)
    troubles = (
        usual_troubles(wish.seconds)
        if faults is None
        else read_troubles(faults, site, regions, wish.seconds, faults_name)
    )
    return text, site, lay_out(site, regions, wish, troubles), takes


def _voters(text: bytes, name: str) -> int:
    site = parse(text, name)
    if site.common is None:
        raise Refused(f"{name}: no <common>: its gateways decide nothing together")
    if site.lab is None or not site.lab.hosts:
        raise Refused(f"{name}: no <lab> with hosts: there is nothing to rehearse with")
    return len(site.common.voters)


def regions_of(text: bytes) -> tuple[str, ...]:
    """The region of each zone, by name."""
    return tuple(str(z.get("region", "default")) for z in etree.fromstring(text).iterfind("zones/zone")) or ("default",)


def lay_out(site: Site, regions: tuple[str, ...], wish: Wish, troubles: Sequence[Trouble]) -> Layout:
    """Draw who is hit and say who shares a process with whom. The real ones are spread over the zones; voters are the
    last to be real."""
    assert site.common is not None
    rng = random.Random(wish.seed * 7919 + 1)
    zone_of = {g.name: site.zones[g.zone] for g in site.gateways}
    voters = site.common.voters
    place: Counter[str] = Counter()
    order = []
    for g in site.gateways:
        place[zone_of[g.name]] += 1
        order.append((g.name in voters, place[zone_of[g.name]], g.zone, g.name))
    real = tuple(name for *_, name in sorted(order)[: wish.real])
    hollow = [g.name for g in site.gateways if g.name not in real]
    rest = [name for name in hollow if name not in voters]
    racks = [
        names[n : n + RACK]
        for zone in site.zones
        for names in [[name for name in rest if zone_of[name] == zone]]
        for n in range(0, len(names), RACK)
    ]

    def of_zone(zone: str) -> list[str]:
        return [name for name in zone_of if zone_of[name] == zone]

    def whom(word: str) -> tuple[list[str], str]:
        if word == "gateway":
            return [rng.choice(rest or hollow or list(real))], ""
        if word == "rack":
            return list(rng.choice(racks)) if racks else list(real[:1]), ""
        if word == "zone":
            # not the first: an example's own first zones hold more than one voter at times
            word = rng.choice(site.zones)
        if word == "region":
            word = rng.choice(sorted(set(regions)))
        if word in zone_of:
            return [word], ""
        if word in site.zones:
            return of_zone(word), word
        found = [name for z, region in zip(site.zones, regions, strict=True) if region == word for name in of_zone(z)]
        return found, ""

    drawn = []
    for one in troubles:
        names: list[str] = []
        zone = ""
        for word in one.who:
            if word not in ("leader", "voter"):
                more, zone = whom(word)
                names += more
        if one.kind == "start":
            names = [name for name in names if name in rest]
        drawn.append((one, tuple(dict.fromkeys(names)), zone if len(one.who) == 1 else ""))
    pauses = [set(names) for one, names, _ in drawn if one.kind == "pause"]
    apart: dict[tuple[bool, ...], list[str]] = defaultdict(list)
    for name in sorted(rest, key=lambda n: (site.zones.index(zone_of[n]), n)):
        apart[tuple(name in paused for paused in pauses)].append(name)
    groups: list[tuple[str, ...]] = [(name,) for name in voters if name in hollow]
    for key, names in apart.items():
        count = math.ceil(len(names) / A_PROCESS) if any(key) or wish.processes is None else wish.processes
        size = math.ceil(len(names) / max(1, count))
        groups += [tuple(names[n : n + size]) for n in range(0, len(names), size)]
    return Layout(real, tuple(groups), tuple(drawn))
