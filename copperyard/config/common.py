"""The settings of what the gateways decide in common: regions, links, voters, distances and budgets."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from lxml import etree

from ..control.catalogue import Title
from ..control.coordinator import CoordinatorConfig
from ..control.rules import FrontRules
from ..control.zones.plan import LIVE_SESSION_NS, OTHER_REGION, SAME_REGION, Terms
from ..membership.gateways.cells import CellMap
from ..membership.gateways.members import ProbeTiming
from ..state.agreement.replica import MAX_VOTERS, ElectionTiming
from .units import parse_duration, parse_rate_kb

WILDCARD_ADDRESSES = ("0.0.0.0", "[::]")

ReportMistake = Callable[[etree._Element, str], None]


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """How the gateways of a site find each other and coordinate.

    `cells` says which gateways know each other. Two maps hold, by gateway, the address where its links listen and the
    one that the others dial. The digest covers all settings that the gateways have to agree on.
    """

    cells: CellMap
    zones: tuple[str, ...]
    voters: tuple[str, ...]
    listen_addresses: Mapping[str, str]
    dial_addresses: Mapping[str, str]
    terms: Terms
    pace: ProbeTiming
    beat: ElectionTiming
    session_lengths: tuple[int, ...]
    folder: str
    store_kind: str
    digest: bytes

    @property
    def roster(self) -> Mapping[str, int]:
        """All gateways of the settings, with the number of their zone."""
        return self.cells.roster

    def coordinator_config(self, name: str) -> CoordinatorConfig:
        """Return the part of the settings that one gateway needs."""
        return CoordinatorConfig.of(name, self.cells, self.zones, self.voters, self.terms, self.pace, self.beat)


def read_common(
    root: etree._Element,
    zones: tuple[str, ...],
    gateways: Sequence[tuple[str, int]],
    rules: FrontRules,
    titles: Sequence[Title],
    report: ReportMistake,
) -> CoordinationSettings | None:
    """Read <common> and the gateways of a valid document; None without <common>. Mistakes go to `report`."""
    common = root.find("common")
    elements = {str(element.get("name")): element for element in root.iterfind("gateways/gateway")}
    if common is None:
        for element in elements.values():
            if element.get("peers") or element.get("reach") or element.get("votes") == "yes":
                report(element, "peers, reach and votes need a <common>")
        return None
    attrs = {str(key): str(value) for key, value in common.attrib.items()}
    listen_addresses: dict[str, str] = {}
    for name, element in elements.items():
        listen_addresses[name] = str(element.get("peers") or "")
        if not listen_addresses[name]:
            report(element, "no peers: the address where its links listen is required")
        elif listen_addresses[name].rpartition(":")[0] in WILDCARD_ADDRESSES:
            report(element, f"peers '{listen_addresses[name]}' listens on every address: name one")
    dial_addresses = {name: str(element.get("reach") or listen_addresses[name]) for name, element in elements.items()}
    owners: dict[str, str] = {}
    for name, address in listen_addresses.items():
        if address and not address.endswith(":0") and address in owners:
            report(elements[name], f"peers '{address}' is already that of '{owners[address]}'")
        owners.setdefault(address, name)
    roster = dict(gateways)
    _check_voters(elements, roster, zones, common, report)
    zone_elements = list(root.iterfind("zones/zone"))
    regions = [str(element.get("region", "default")) for element in zone_elements] or ["default"]
    prices = _read_prices(common, zone_elements, zones, regions, report)
    settings = rules.settings
    floors = [c.floor for c in settings.classes]
    loads = tuple(settings.rung_kb[f] * c.rate_scale for f, c in zip(floors, settings.classes, strict=True))
    worths = tuple(settings.rung_worth[f] * c.worth for f, c in zip(floors, settings.classes, strict=True))
    gateways_by_zone = tuple(sum(1 for zone in roster.values() if zone == z) for z in range(len(zones)))
    for z, element in enumerate(zone_elements):
        if not gateways_by_zone[z]:
            report(element, "has no gateway that could report for it")
    terms = Terms(
        prices,
        worths,
        loads,
        gateways_by_zone,
        tuple(sorted(set(regions)).index(r) for r in regions),
        reserve=float(attrs["reserve"]),
        mark=float(attrs["mark"]),
        pace=float(attrs["pace"]),
        band=float(attrs["band"]),
        every=parse_duration(attrs["every"]),
        holds=parse_duration(attrs["holds"]),
        dwell=parse_duration(attrs["dwell"]),
        dwell_most=parse_duration(attrs["dwell-most"]),
        drift=float(attrs["drift"]),
    )
    timing = ElectionTiming(
        parse_duration(attrs["heart"]),
        parse_duration(attrs["elect-least"]),
        parse_duration(attrs["elect-most"]),
        terms.drift,
    )
    if timing.min_election_timeout < 3 * timing.heartbeat_interval:
        report(
            common,
            f"elect-least '{attrs['elect-least']}' is under three times heart '{attrs['heart']}': a lost message "
            "or two would depose a leader",
        )
    if timing.max_election_timeout < timing.min_election_timeout * 3 // 2:
        report(
            common,
            f"elect-most '{attrs['elect-most']}' is under one and a half times elect-least '{attrs['elect-least']}'",
        )
    if terms.holds < 4 * terms.every or terms.holds < 2 * timing.max_election_timeout:
        report(
            common,
            f"holds '{attrs['holds']}' is under four times every or twice elect-most: plans would run out where "
            "nothing is lost but a leader",
        )
    if terms.drift >= 0.2:
        report(common, f"drift '{attrs['drift']}' is not under 0.2: no lease could be kept")
    probe_timing = ProbeTiming(parse_duration(attrs["period"]), parse_duration(attrs["answer"]))
    if probe_timing.timeout * 2 > probe_timing.period:
        report(common, f"answer '{attrs['answer']}' is over half of period '{attrs['period']}'")
    _check_demand(root, zone_elements, terms, settings.kb_per_weight, report)
    lengths = []
    for cls in range(len(settings.classes)):
        prefixes = [e.prefix for e in rules.admission_rules if e.cls == cls]
        lengths_of_class = [
            t.length for t in titles if t.length is not None and any(t.path.startswith(p) for p in prefixes)
        ]
        lengths.append(sum(lengths_of_class) // len(lengths_of_class) if lengths_of_class else LIVE_SESSION_NS)
    shared = json.dumps(
        [
            sorted(roster.items()),
            zones,
            sorted(_voter_names(elements)),
            prices,
            attrs,
            [c.name for c in settings.classes],
            settings.rung_kb,
        ],
        default=str,
    )
    return CoordinationSettings(
        CellMap(roster, len(zones)),
        zones,
        tuple(_voter_names(elements)),
        listen_addresses,
        dial_addresses,
        terms,
        probe_timing,
        timing,
        tuple(lengths),
        attrs["folder"],
        attrs["store"],
        hashlib.sha256(shared.encode()).digest()[:16],
    )


def _voter_names(elements: Mapping[str, etree._Element]) -> list[str]:
    return [name for name, element in elements.items() if element.get("votes") == "yes"]


def _check_voters(
    elements: Mapping[str, etree._Element],
    roster: Mapping[str, int],
    zones: tuple[str, ...],
    common: etree._Element,
    report: ReportMistake,
) -> None:
    voters = _voter_names(elements)
    if not voters:
        report(common, "no gateway votes")
        return
    if len(voters) % 2 == 0:
        report(
            elements[voters[-1]],
            f"is voter {len(voters)}: an even council stands no more deaths than one of " f"{len(voters) - 1}",
        )
    if len(voters) > MAX_VOTERS:
        report(
            elements[voters[MAX_VOTERS]],
            f"is voter {len(voters)}: more than {MAX_VOTERS} make every decision " "slower and none safer",
        )
    for z, zone in enumerate(zones):
        voters_here = [name for name in voters if roster[name] == z]
        if len(zones) > 1 and 2 * len(voters_here) > len(voters):
            report(
                elements[voters_here[-1]],
                f"votes as number {len(voters_here)} of {len(voters)} in zone '{zone}': the council "
                "would be lost with that zone",
            )


def _read_prices(
    common: etree._Element,
    zone_elements: Sequence[etree._Element],
    zones: tuple[str, ...],
    regions: Sequence[str],
    report: ReportMistake,
) -> tuple[tuple[float, ...], ...]:
    n = len(zones)
    prices = [
        [0.0 if home == z else SAME_REGION if regions[home] == regions[z] else OTHER_REGION for z in range(n)]
        for home in range(n)
    ]
    listed: set[int] = set()
    for way in common.iterfind("way"):
        ends = [str(way.get("from")), str(way.get("to"))]
        for name in ends:
            if name not in zones:
                report(way, f"zone '{name}' is none of {', '.join(zones)}")
        if not all(name in zones for name in ends):
            continue
        home, z = (zones.index(name) for name in ends)
        if home == z:
            report(way, f"leads from '{ends[0]}' to itself")
            continue
        if home not in listed:
            # a zone that lists ways has only these
            listed.add(home)
            prices[home] = [0.0 if k == home else -1.0 for k in range(n)]
        prices[home][z] = float(str(way.get("distance")))
    for home, element in enumerate(zone_elements):
        if n > 1 and all(prices[home][z] < 0 for z in range(n) if z != home):
            report(element, "has no way out: sessions that it cannot serve could not go to another zone")
    return tuple(tuple(row) for row in prices)


def _check_demand(
    root: etree._Element, zone_elements: Sequence[etree._Element], terms: Terms, link: float, report: ReportMistake
) -> None:
    """Check that a zone's announced peak demand fits in the zone and in the spare rate of the zones it has ways to."""
    host_rates = [0.0] * len(zone_elements)
    for element in root.iterfind("lab/host"):
        name = str(element.get("zone") or (zone_elements[0].get("name") if zone_elements else ""))
        names = [str(z.get("name")) for z in zone_elements]
        if name in names:
            host_rates[names.index(name)] += parse_rate_kb(str(element.get("link"))) if element.get("link") else link
    rooms = [
        parse_rate_kb(str(element.get("room"))) if element.get("room") else host_rates[z]
        for z, element in enumerate(zone_elements)
    ]
    demands = [parse_rate_kb(str(element.get("demand"))) if element.get("demand") else 0.0 for element in zone_elements]
    spare = [
        max(0.0, room * terms.mark - want - room * terms.mark * terms.reserve)
        for room, want in zip(rooms, demands, strict=True)
    ]
    for home, element in enumerate(zone_elements):
        excess = demands[home] - rooms[home] * terms.mark
        spare_elsewhere = sum(spare[z] for z in range(len(zone_elements)) if z != home and terms.prices[home][z] >= 0)
        if demands[home] and excess > spare_elsewhere:
            report(
                element,
                f"demand {demands[home]:.0f}kB/s: its hosts give {rooms[home] * terms.mark:.0f}kB/s under the mark, "
                f"and its ways lead to {spare_elsewhere:.0f}kB/s that others may have",
            )
