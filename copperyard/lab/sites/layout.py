"""Plans a scale test: its options, what the machine has room for, and which gateways share a process.

Nothing starts here: what cannot be run is refused before.
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
from .scale_faults import ScaleFault, default_faults, read_scale_faults
from .site_settings import MAX_GATEWAYS, add_gateways, generate_site, with_addresses

GATEWAYS_PER_PROCESS = 120  # hollow gateways a process if `processes` is not given
MAX_PROCESSES = 300
RACK_SIZE = 20  # gateways of one zone that fail together
# memory of a process without gateways, of this process, of a real gateway's process
EMPTY_PROCESS_MB, PARENT_MB, REAL_GATEWAY_MB = 60, 150, 80
# measured memory of a hollow gateway: itself, for each other gateway, for each open link
HOLLOW_GATEWAY_MB, ROSTER_KB, LINK_KB = 0.5, 0.6, 18.0
# open links of a non-voter, in both directions; a voter may have one in each direction with every gateway
MAX_OPEN_LINKS = 130
OWN_DESCRIPTORS = 64  # descriptors of a process besides its links


class InfeasibleRunError(ValueError):
    """The run is not possible; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """Options of a run.

    `processes` is the number of processes for hollow gateways that share some, `seconds` the length of the run,
    `rate` the number of viewers a second (None: a quarter of the number of real gateways).
    """

    gateways: int
    real: int
    processes: int | None
    seconds: float
    seed: int
    rate: float | None = None


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources of the machine or of a run: MB, descriptors a process, processes, gateways that settings may list."""

    memory_mb: float
    descriptors: int
    processes: int
    listable_gateways: int


@dataclass(frozen=True, slots=True)
class Layout:
    """Which gateways are real, and which hollow ones share a process.

    `faults` are the faults with the gateways that were drawn for their targets.
    """

    real: tuple[str, ...]
    groups: tuple[tuple[str, ...], ...]
    # fault, its targets (none: determined when it strikes), the zone if it hits a whole one
    faults: tuple[tuple[ScaleFault, tuple[str, ...], str], ...]

    @property
    def hollow(self) -> tuple[str, ...]:
        """Names of all hollow gateways."""
        return tuple(name for group in self.groups for name in group)


def machine_resources() -> Resources:
    """Resources of this machine that a run may use.

    Half of its memory (or of the cgroup's limit), its limit of descriptors, and at most MAX_PROCESSES processes.
    """
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        memory = min(memory, int(Path("/sys/fs/cgroup/memory.max").read_text()))
    except (OSError, ValueError):
        pass
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    processes = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    schema = etree.fromstring(files("copperyard.config").joinpath("site.xsd").read_bytes())
    listed = schema.find(".//{*}element[@name='gateway']").get("maxOccurs")  # type: ignore[union-attr]
    return Resources(
        memory / 2 / 1e6,
        descriptors if descriptors > 0 else 1 << 20,
        min(MAX_PROCESSES, processes if processes > 0 else MAX_PROCESSES),
        min(MAX_GATEWAYS, int(listed)) if listed and listed != "unbounded" else MAX_GATEWAYS,
    )


def required_resources(gateways: int, real: int, voters: int, processes: int | None) -> Resources:
    """Resources that a run takes, from measured runs. `listable_gateways` is the number of gateways."""
    single = min(voters, gateways - real)
    sharing = max(0, gateways - real - single)
    shared_processes = processes if processes is not None else math.ceil(sharing / GATEWAYS_PER_PROCESS)
    links = min(MAX_OPEN_LINKS, 2 * (gateways - 1))
    per_gateway_mb = HOLLOW_GATEWAY_MB + (ROSTER_KB * gateways + LINK_KB * links) / 1000
    per_voter_mb = HOLLOW_GATEWAY_MB + (ROSTER_KB + 2 * LINK_KB) * gateways / 1000
    memory = (
        PARENT_MB
        + (shared_processes + single) * EMPTY_PROCESS_MB
        + real * REAL_GATEWAY_MB
        + sharing * per_gateway_mb
        + single * per_voter_mb
    )
    per_process = math.ceil(sharing / shared_processes) if shared_processes else 0
    return Resources(
        memory,
        OWN_DESCRIPTORS + max(per_process * (links + 1), 2 * gateways, 8 * real * real),
        shared_processes + single + real,
        gateways,
    )


def check_resources(options: ScaleOptions, voters: int, available: Resources) -> Resources:
    """Returns the resources that a run takes.

    InfeasibleRunError if these are more than are available; the text says how many gateways fit.
    """

    def fits(gateways: int) -> bool:
        required = required_resources(gateways, options.real, voters, options.processes)
        return (
            required.memory_mb <= available.memory_mb
            and required.descriptors <= available.descriptors
            and required.processes <= available.processes
            and required.listable_gateways <= available.listable_gateways
        )

    if fits(options.gateways):
        return required_resources(options.gateways, options.real, voters, options.processes)
    low, high = 0, options.gateways
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if middle >= options.real and fits(middle) else (low, middle)
    raise InfeasibleRunError(
        f"--gateways '{options.gateways}': {low} fit this machine with {options.real} real ones (half of its "
        f"memory {available.memory_mb:.0f} MB, {available.descriptors} descriptors a process, {available.processes} "
        f"processes, {available.listable_gateways} gateways that settings may list)"
    )


def check_options(options: ScaleOptions, voters: int) -> None:
    """InfeasibleRunError if an option is out of its range."""
    if options.gateways < max(1, voters):
        raise InfeasibleRunError(f"--gateways '{options.gateways}': below the {voters} voters")
    if options.real < 0 or options.real > options.gateways:
        raise InfeasibleRunError(f"--real '{options.real}': not from 0 up to the {options.gateways} gateways")
    if options.processes is not None and not 1 <= options.processes <= MAX_PROCESSES:
        raise InfeasibleRunError(f"--processes '{options.processes}': not from 1 up to {MAX_PROCESSES}")
    if not 5 <= options.seconds <= 86_400:
        raise InfeasibleRunError(f"--for '{options.seconds:g}s': not from 5 s up to a day")


def prepare(
    text: bytes | None, name: str, options: ScaleOptions, faults: bytes | None, faults_name: str, available: Resources
) -> tuple[bytes, Site, Layout, Resources]:
    """Prepares a run without starting anything: its settings as XML and parsed, its layout, its resources.

    SettingsError or InfeasibleRunError if it is not possible.
    """
    voters = 5 if text is None else _voters(text, name)
    check_options(options, voters)
    required = check_resources(options, voters, available)
    text = generate_site(options.gateways, options.seed) if text is None else add_gateways(text, name, options.gateways)
    names = [str(one.get("name")) for one in etree.fromstring(text).iterfind("gateways/gateway")]
    # checked with placeholder addresses; those of the run are set when it starts
    text = with_addresses(text, {one: f"127.0.0.1:{n + 1}" for n, one in enumerate(names)})
    site = parse(text, name)
    regions = zone_regions(text)
    scale_faults = (
        default_faults(options.seconds)
        if faults is None
        else read_scale_faults(faults, site, regions, options.seconds, faults_name)
    )
    return text, site, assign_processes(site, regions, options, scale_faults), required


def _voters(text: bytes, name: str) -> int:
    site = parse(text, name)
    if site.common is None:
        raise InfeasibleRunError(f"{name}: no <common>: its gateways decide nothing together")
    if site.lab is None or not site.lab.hosts:
        raise InfeasibleRunError(f"{name}: no <lab> with hosts: a scale test needs stand-in hosts")
    return len(site.common.voters)


def zone_regions(text: bytes) -> tuple[str, ...]:
    """The region of each zone, by name."""
    return tuple(str(z.get("region", "default")) for z in etree.fromstring(text).iterfind("zones/zone")) or ("default",)


def assign_processes(
    site: Site, regions: tuple[str, ...], options: ScaleOptions, faults: Sequence[ScaleFault]
) -> Layout:
    """Draws the targets of the faults and assigns hollow gateways to processes.

    Real gateways are spread over the zones; voters are the last to be real.
    """
    assert site.common is not None
    rng = random.Random(options.seed * 7919 + 1)
    zone_of = {g.name: site.zones[g.zone] for g in site.gateways}
    voters = site.common.voters
    position: Counter[str] = Counter()
    order = []
    for g in site.gateways:
        position[zone_of[g.name]] += 1
        order.append((g.name in voters, position[zone_of[g.name]], g.zone, g.name))
    real = tuple(name for *_, name in sorted(order)[: options.real])
    hollow = [g.name for g in site.gateways if g.name not in real]
    sharing = [name for name in hollow if name not in voters]
    racks = [
        names[n : n + RACK_SIZE]
        for zone in site.zones
        for names in [[name for name in sharing if zone_of[name] == zone]]
        for n in range(0, len(names), RACK_SIZE)
    ]

    def of_zone(zone: str) -> list[str]:
        return [name for name in zone_of if zone_of[name] == zone]

    def resolve(word: str) -> tuple[list[str], str]:
        if word == "gateway":
            return [rng.choice(sharing or hollow or list(real))], ""
        if word == "rack":
            return list(rng.choice(racks)) if racks else list(real[:1]), ""
        if word == "zone":
            # any zone; the first zones of an example may hold more than one voter
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
    for one in faults:
        names: list[str] = []
        zone = ""
        for word in one.targets:
            if word not in ("leader", "voter"):
                more, zone = resolve(word)
                names += more
        if one.kind == "start":
            names = [name for name in names if name in sharing]
        drawn.append((one, tuple(dict.fromkeys(names)), zone if len(one.targets) == 1 else ""))
    paused_sets = [set(names) for one, names, _ in drawn if one.kind == "pause"]
    by_pauses: dict[tuple[bool, ...], list[str]] = defaultdict(list)
    for name in sorted(sharing, key=lambda n: (site.zones.index(zone_of[n]), n)):
        by_pauses[tuple(name in paused for paused in paused_sets)].append(name)
    groups: list[tuple[str, ...]] = [(name,) for name in voters if name in hollow]
    for key, names in by_pauses.items():
        count = (
            math.ceil(len(names) / GATEWAYS_PER_PROCESS) if any(key) or options.processes is None else options.processes
        )
        size = math.ceil(len(names) / max(1, count))
        groups += [tuple(names[n : n + size]) for n in range(0, len(names), size)]
    return Layout(real, tuple(groups), tuple(drawn))
