"""The settings of what gateways decide in common: regions, links, who votes, distances and budgets."""

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
from .units import duration, rate_kb

EVERYWHERE = ("0.0.0.0", "[::]")

Wrong = Callable[[etree._Element, str], None]


@dataclass(frozen=True, slots=True)
class CommonPlan:
    """What the gateways of a site decide in common, and how they find each other. `cells`: who knows whom;
    `listen` and `reach`: where each gateway's links listen, and where the others dial; `fleet`: a digest of what all
    have to agree on."""

    cells: CellMap
    zones: tuple[str, ...]
    voters: tuple[str, ...]
    listen: Mapping[str, str]
    reach: Mapping[str, str]
    terms: Terms
    pace: ProbeTiming
    beat: ElectionTiming
    lengths: tuple[int, ...]
    folder: str
    store: str
    fleet: bytes

    @property
    def roster(self) -> Mapping[str, int]:
        """All gateways of the settings, with their zones' numbers."""
        return self.cells.roster

    def place(self, name: str) -> CoordinatorConfig:
        """What the gateway of that name is told."""
        return CoordinatorConfig.of(name, self.cells, self.zones, self.voters, self.terms, self.pace, self.beat)


def read_common(
    root: etree._Element,
    zones: tuple[str, ...],
    gateways: Sequence[tuple[str, int]],
    rules: FrontRules,
    titles: Sequence[Title],
    wrong: Wrong,
) -> CommonPlan | None:
    """The plan of a document that its schema has passed; None without <common>. Mistakes go to `wrong`."""
    common = root.find("common")
    elements = {str(one.get("name")): one for one in root.iterfind("gateways/gateway")}
    if common is None:
        for one in elements.values():
            if one.get("peers") or one.get("reach") or one.get("votes") == "yes":
                wrong(one, "peers, reach and votes need a <common>")
        return None
    a = {str(key): str(value) for key, value in common.attrib.items()}
    listen: dict[str, str] = {}
    for name, one in elements.items():
        listen[name] = str(one.get("peers") or "")
        if not listen[name]:
            wrong(one, "no peers: where its links listen has to be said")
        elif listen[name].rpartition(":")[0] in EVERYWHERE:
            wrong(one, f"peers '{listen[name]}' listens on every address: name one")
    reach = {name: str(one.get("reach") or listen[name]) for name, one in elements.items()}
    seen: dict[str, str] = {}
    for name, address in listen.items():
        if address and not address.endswith(":0") and address in seen:
            wrong(elements[name], f"peers '{address}' is already that of '{seen[address]}'")
        seen.setdefault(address, name)
    roster = dict(gateways)
    _voters(elements, roster, zones, common, wrong)
    found = list(root.iterfind("zones/zone"))
    regions = [str(one.get("region", "default")) for one in found] or ["default"]
    prices = _prices(common, found, zones, regions, wrong)
    settings = rules.settings
    floors = [c.floor for c in settings.classes]
    loads = tuple(settings.rung_kb[f] * c.rate_scale for f, c in zip(floors, settings.classes, strict=True))
    worths = tuple(settings.rung_worth[f] * c.worth for f, c in zip(floors, settings.classes, strict=True))
    fronts = tuple(sum(1 for zone in roster.values() if zone == z) for z in range(len(zones)))
    for z, one in enumerate(found):
        if not fronts[z]:
            wrong(one, "has no gateway: nobody would report for it")
    terms = Terms(
        prices,
        worths,
        loads,
        fronts,
        tuple(sorted(set(regions)).index(r) for r in regions),
        reserve=float(a["reserve"]),
        mark=float(a["mark"]),
        pace=float(a["pace"]),
        band=float(a["band"]),
        every=duration(a["every"]),
        holds=duration(a["holds"]),
        dwell=duration(a["dwell"]),
        dwell_most=duration(a["dwell-most"]),
        drift=float(a["drift"]),
    )
    beat = ElectionTiming(duration(a["heart"]), duration(a["elect-least"]), duration(a["elect-most"]), terms.drift)
    if beat.min_election_timeout < 3 * beat.heartbeat_interval:
        wrong(
            common,
            f"elect-least '{a['elect-least']}' is under three times heart '{a['heart']}': a lost message "
            "or two would depose a leader",
        )
    if beat.max_election_timeout < beat.min_election_timeout * 3 // 2:
        wrong(common, f"elect-most '{a['elect-most']}' is under one and a half times elect-least '{a['elect-least']}'")
    if terms.holds < 4 * terms.every or terms.holds < 2 * beat.max_election_timeout:
        wrong(
            common,
            f"holds '{a['holds']}' is under four times every or twice elect-most: plans would run out where "
            "nothing is lost but a leader",
        )
    if terms.drift >= 0.2:
        wrong(common, f"drift '{a['drift']}' is not under 0.2: no lease could be kept")
    pace = ProbeTiming(duration(a["period"]), duration(a["answer"]))
    if pace.timeout * 2 > pace.period:
        wrong(common, f"answer '{a['answer']}' is over half of period '{a['period']}'")
    _demand(root, found, terms, settings.kb_per_weight, wrong)
    lengths = []
    for cls in range(len(settings.classes)):
        prefixes = [e.prefix for e in rules.admission_rules if e.cls == cls]
        own = [t.length for t in titles if t.length is not None and any(t.path.startswith(p) for p in prefixes)]
        lengths.append(sum(own) // len(own) if own else LIVE_SESSION_NS)
    same = json.dumps(
        [
            sorted(roster.items()),
            zones,
            sorted(_votes(elements)),
            prices,
            a,
            [c.name for c in settings.classes],
            settings.rung_kb,
        ],
        default=str,
    )
    return CommonPlan(
        CellMap(roster, len(zones)),
        zones,
        tuple(_votes(elements)),
        listen,
        reach,
        terms,
        pace,
        beat,
        tuple(lengths),
        a["folder"],
        a["store"],
        hashlib.sha256(same.encode()).digest()[:16],
    )


def _votes(elements: Mapping[str, etree._Element]) -> list[str]:
    return [name for name, one in elements.items() if one.get("votes") == "yes"]


def _voters(
    elements: Mapping[str, etree._Element],
    roster: Mapping[str, int],
    zones: tuple[str, ...],
    common: etree._Element,
    wrong: Wrong,
) -> None:
    voters = _votes(elements)
    if not voters:
        wrong(common, "no gateway votes")
        return
    if len(voters) % 2 == 0:
        wrong(
            elements[voters[-1]],
            f"is voter {len(voters)}: an even council stands no more deaths than one of " f"{len(voters) - 1}",
        )
    if len(voters) > MAX_VOTERS:
        wrong(
            elements[voters[MAX_VOTERS]],
            f"is voter {len(voters)}: more than {MAX_VOTERS} make every decision " "slower and none safer",
        )
    for z, zone in enumerate(zones):
        here = [name for name in voters if roster[name] == z]
        if len(zones) > 1 and 2 * len(here) > len(voters):
            wrong(
                elements[here[-1]],
                f"votes as number {len(here)} of {len(voters)} in zone '{zone}': the council "
                "would be lost with that zone",
            )


def _prices(
    common: etree._Element,
    found: Sequence[etree._Element],
    zones: tuple[str, ...],
    regions: Sequence[str],
    wrong: Wrong,
) -> tuple[tuple[float, ...], ...]:
    n = len(zones)
    prices = [
        [0.0 if h == z else SAME_REGION if regions[h] == regions[z] else OTHER_REGION for z in range(n)]
        for h in range(n)
    ]
    listed: set[int] = set()
    for way in common.iterfind("way"):
        ends = [str(way.get("from")), str(way.get("to"))]
        for name in ends:
            if name not in zones:
                wrong(way, f"zone '{name}' is none of {', '.join(zones)}")
        if not all(name in zones for name in ends):
            continue
        h, z = (zones.index(name) for name in ends)
        if h == z:
            wrong(way, f"leads from '{ends[0]}' to itself")
            continue
        if h not in listed:
            # a zone that lists its ways has no others
            listed.add(h)
            prices[h] = [0.0 if k == h else -1.0 for k in range(n)]
        prices[h][z] = float(str(way.get("distance")))
    for h, one in enumerate(found):
        if n > 1 and all(prices[h][z] < 0 for z in range(n) if z != h):
            wrong(one, "has no way out: what it cannot serve could go nowhere")
    return tuple(tuple(row) for row in prices)


def _demand(root: etree._Element, found: Sequence[etree._Element], terms: Terms, link: float, wrong: Wrong) -> None:
    """Where a zone's greatest demand is announced, it has to fit: at home, or with what its ways' ends have left."""
    hosts = [0.0] * len(found)
    for one in root.iterfind("lab/host"):
        name = str(one.get("zone") or (found[0].get("name") if found else ""))
        names = [str(z.get("name")) for z in found]
        if name in names:
            hosts[names.index(name)] += rate_kb(str(one.get("link"))) if one.get("link") else link
    rooms = [rate_kb(str(one.get("room"))) if one.get("room") else hosts[z] for z, one in enumerate(found)]
    wants = [rate_kb(str(one.get("demand"))) if one.get("demand") else 0.0 for one in found]
    spare = [
        max(0.0, room * terms.mark - want - room * terms.mark * terms.reserve)
        for room, want in zip(rooms, wants, strict=True)
    ]
    for h, one in enumerate(found):
        over = wants[h] - rooms[h] * terms.mark
        out = sum(spare[z] for z in range(len(found)) if z != h and terms.prices[h][z] >= 0)
        if wants[h] and over > out:
            wrong(
                one,
                f"demand {wants[h]:.0f}kB/s: its hosts give {rooms[h] * terms.mark:.0f}kB/s under the mark, and "
                f"its ways lead to {out:.0f}kB/s that others may have",
            )
