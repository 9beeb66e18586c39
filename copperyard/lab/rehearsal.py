"""Reads rehearsals from XML and checks them against their schema and the site before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from itertools import combinations

from lxml import etree

from ..config import Mistake, SettingsError, Site
from ..config.document import read_document
from ..config.units import parse_duration
from .faults import DEFAULT_STRENGTH, SHARE_KINDS, Fault, Whom

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """Open-loop arrivals: a Poisson process of `rate` viewers per second.

    `paid` is the share with a code, `misbehave` the share with bad habits, `watch` the range of the watch time in s.
    Titles follow Zipf's law with exponent `zipf`.
    """

    rate: float
    paid: float = 0.0
    watch: tuple[float, float] = (3.0, 9.0)
    zipf: float = 0.8
    misbehave: float = 0.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """Extra viewers of one title, who arrive from `at` on within `within` s: say a class of thirty in ten seconds."""

    at: float
    within: float
    viewers: int
    title: str
    paid: float = 0.0


@dataclass(frozen=True, slots=True)
class Rehearsal:
    """A rehearsal: arrivals for `seconds`, and the faults to inject meanwhile."""

    name: str
    teaches: str
    seconds: float
    load: Load
    crowds: tuple[Crowd, ...] = ()
    faults: tuple[Fault, ...] = ()


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.lab").joinpath("rehearsal.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


def load_rehearsal(path: str, site: Site) -> Rehearsal:
    """Read a rehearsal file for a site. Raise SettingsError with all mistakes."""
    with open(path, "rb") as source:
        return parse_rehearsal(source.read(1 << 20), site, path)


def parse_rehearsal(data: bytes, site: Site, name: str = "rehearsal") -> Rehearsal:
    """Parse a rehearsal. Raise SettingsError with all mistakes.

    Mistakes are unknown or missing targets, times outside the rehearsal, values out of range, and faults of the same
    kind and targets that overlap.
    """
    root = read_document(data, name, _schema())
    mistakes: list[Mistake] = []
    seconds = float(str(root.attrib["seconds"]))
    load_element = root.find("load")
    assert load_element is not None
    a = _attrs(load_element)
    load = Load(
        float(a["rate"]),
        float(a["paid"]),
        (_seconds(a["watch-least"]), _seconds(a["watch-most"])),
        float(a["zipf"]),
        float(a["misbehave"]),
    )
    if load.watch[0] > load.watch[1]:
        mistakes.append(
            _mistake(load_element, f"watch-least '{a['watch-least']}' is above watch-most '{a['watch-most']}'")
        )
    crowds = tuple(_parse_crowd(element, site, seconds, mistakes) for element in root.iterfind("crowd"))
    elements = list(root.iterfind("strike"))
    faults = tuple(_parse_fault(one, site, seconds, mistakes) for one in elements)
    for (one, first), (other_element, second) in combinations(zip(elements, faults, strict=True), 2):
        same = first.kind == second.kind and first.whom == second.whom
        if same and first.at < second.until and second.at < first.until:
            mistakes.append(
                _mistake(other_element, f"{second.kind} strikes the same at the same time as line {one.sourceline}")
            )
    if mistakes:
        raise SettingsError(name, mistakes)
    return Rehearsal(str(root.attrib["name"]), str(root.attrib["teaches"]), seconds, load, crowds, faults)


def _attrs(element: etree._Element) -> dict[str, str]:
    return {str(k): str(v) for k, v in element.attrib.items()}


def _seconds(text: str) -> float:
    return parse_duration(text) / SECOND


def _mistake(element: etree._Element, text: str) -> Mistake:
    return Mistake(int(element.sourceline or 0), f"Element '{element.tag!s}': {text}")


def _parse_crowd(element: etree._Element, site: Site, seconds: float, mistakes: list[Mistake]) -> Crowd:
    a = _attrs(element)
    if a["title"] not in {t.path for t in site.titles}:
        mistakes.append(_mistake(element, f"title '{a['title']}' is none of the site's"))
    if _seconds(a["at"]) >= seconds:
        mistakes.append(_mistake(element, f"at '{a['at']}' lies past the end, {seconds:g} s"))
    return Crowd(_seconds(a["at"]), _seconds(a["within"]), int(a["viewers"]), a["title"], float(a["paid"]))


def _parse_fault(element: etree._Element, site: Site, seconds: float, mistakes: list[Mistake]) -> Fault:
    a = _attrs(element)
    kind, at, duration_s = a["kind"], _seconds(a["at"]), _seconds(a["for"])
    known = {h.name for h in site.lab.hosts} if site.lab else set()
    hosts, gateways = tuple(a.get("hosts", "").split()), tuple(a.get("gateways", "").split())
    for host in hosts:
        if host not in known:
            mistakes.append(_mistake(element, f"hosts names '{host}', which is none of the site's"))
    for gateway in gateways:
        if gateway not in {g.name for g in site.gateways}:
            mistakes.append(_mistake(element, f"gateways names '{gateway}', which is none of the site's"))
    if "zone" in a and a["zone"] not in site.zones:
        mistakes.append(_mistake(element, f"zone '{a['zone']}' is none of {', '.join(site.zones)}"))
    if "rack" in a and int(a["rack"]) >= site.rules.settings.racks:
        mistakes.append(_mistake(element, f"rack '{a['rack']}' is not under {site.rules.settings.racks}"))
    if kind in ("zone-cut", "zone-loss") and "zone" not in a:
        mistakes.append(_mistake(element, f"{kind} names no zone"))
    if kind.startswith(("gateway", "disk", "power")) and not gateways and "share" not in a:
        mistakes.append(_mistake(element, f"{kind} names no gateways and no share of them"))
    if not kind.startswith(("gateway", "zone", "list", "uplink", "disk", "power")) and not (
        hosts or {"share", "rack", "zone"} & set(a)
    ):
        mistakes.append(_mistake(element, f"{kind} names no host: hosts, share, rack or zone is wanted"))
    if duration_s <= 0:
        mistakes.append(_mistake(element, f"for '{a['for']}' ends before it starts"))
    if at >= seconds:
        mistakes.append(_mistake(element, f"at '{a['at']}' lies past the end, {seconds:g} s"))
    strength = float(a.get("hard", DEFAULT_STRENGTH.get(kind, 1.0)))
    if kind in SHARE_KINDS and strength > 1:
        mistakes.append(_mistake(element, f"hard '{a['hard']}' is a share of at most 1 for {kind}"))
    every = _seconds(a["every"]) if "every" in a else None
    if every is not None and every <= 0:
        mistakes.append(_mistake(element, f"every '{a['every']}' is not above 0"))
    whom = Whom(
        hosts,
        float(a["share"]) if "share" in a else None,
        int(a["rack"]) if "rack" in a else None,
        a.get("zone"),
        gateways,
    )
    return Fault(kind, at, at + duration_s, whom, strength, every)
