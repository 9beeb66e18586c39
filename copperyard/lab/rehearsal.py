"""Rehearsals as XML: read, checked against their schema and against the site before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from itertools import combinations

from lxml import etree

from ..config import BadSettings, Mistake, Site
from ..config.document import read_document
from ..config.units import duration
from .strikes import SHARES, USUAL, Strike, Whom

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """Open-loop arrivals: `rate` a second (Poisson), a share of them with a code; `watch` s from and to; titles by
    Zipf's law with exponent `zipf`; `misbehave` is the share of viewers with bad habits."""

    rate: float
    paid: float = 0.0
    watch: tuple[float, float] = (3.0, 9.0)
    zipf: float = 0.8
    misbehave: float = 0.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """So many viewers come for one title within a time, beside the load: a class of thirty in ten seconds."""

    at: float
    within: float
    viewers: int
    title: str
    paid: float = 0.0


@dataclass(frozen=True, slots=True)
class Rehearsal:
    """A whole evening: `seconds` of arrivals, and what strikes meanwhile."""

    name: str
    teaches: str
    seconds: float
    load: Load
    crowds: tuple[Crowd, ...] = ()
    strikes: tuple[Strike, ...] = ()


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.lab").joinpath("rehearsal.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


def load_rehearsal(path: str, site: Site) -> Rehearsal:
    """Read a file for a site. BadSettings with all mistakes."""
    with open(path, "rb") as source:
        return parse_rehearsal(source.read(1 << 20), site, path)


def parse_rehearsal(data: bytes, site: Site, name: str = "rehearsal") -> Rehearsal:
    """Read a rehearsal; what names nobody, ends before it starts, lies past the end or overlaps itself is told."""
    root = read_document(data, name, _schema())
    mistakes: list[Mistake] = []
    seconds = float(str(root.attrib["seconds"]))
    first = root.find("load")
    assert first is not None
    a = _attrs(first)
    load = Load(
        float(a["rate"]),
        float(a["paid"]),
        (_s(a["watch-least"]), _s(a["watch-most"])),
        float(a["zipf"]),
        float(a["misbehave"]),
    )
    if load.watch[0] > load.watch[1]:
        mistakes.append(_wrong(first, f"watch-least '{a['watch-least']}' is above watch-most '{a['watch-most']}'"))
    crowds = tuple(_crowd(one, site, seconds, mistakes) for one in root.iterfind("crowd"))
    elements = list(root.iterfind("strike"))
    strikes = tuple(_strike(one, site, seconds, mistakes) for one in elements)
    for (one, first_strike), (other, second) in combinations(zip(elements, strikes, strict=True), 2):
        same = first_strike.kind == second.kind and first_strike.whom == second.whom
        if same and first_strike.at < second.until and second.at < first_strike.until:
            mistakes.append(_wrong(other, f"{second.kind} strikes the same at the same time as line {one.sourceline}"))
    if mistakes:
        raise BadSettings(name, mistakes)
    return Rehearsal(str(root.attrib["name"]), str(root.attrib["teaches"]), seconds, load, crowds, strikes)


def _attrs(element: etree._Element) -> dict[str, str]:
    return {str(k): str(v) for k, v in element.attrib.items()}


def _s(text: str) -> float:
    return duration(text) / SECOND


def _wrong(element: etree._Element, text: str) -> Mistake:
    return Mistake(int(element.sourceline or 0), f"Element '{element.tag!s}': {text}")


def _crowd(element: etree._Element, site: Site, seconds: float, mistakes: list[Mistake]) -> Crowd:
    a = _attrs(element)
    if a["title"] not in {t.path for t in site.titles}:
        mistakes.append(_wrong(element, f"title '{a['title']}' is none of the site's"))
    if _s(a["at"]) >= seconds:
        mistakes.append(_wrong(element, f"at '{a['at']}' lies past the end, {seconds:g} s"))
    return Crowd(_s(a["at"]), _s(a["within"]), int(a["viewers"]), a["title"], float(a["paid"]))


def _strike(element: etree._Element, site: Site, seconds: float, mistakes: list[Mistake]) -> Strike:
    a = _attrs(element)
    kind, at, last = a["kind"], _s(a["at"]), _s(a["for"])
    known = {h.name for h in site.lab.hosts} if site.lab else set()
    hosts, gateways = tuple(a.get("hosts", "").split()), tuple(a.get("gateways", "").split())
    for host in hosts:
        if host not in known:
            mistakes.append(_wrong(element, f"hosts names '{host}', which is none of the site's"))
    for gateway in gateways:
        if gateway not in {g.name for g in site.gateways}:
            mistakes.append(_wrong(element, f"gateways names '{gateway}', which is none of the site's"))
    if "zone" in a and a["zone"] not in site.zones:
        mistakes.append(_wrong(element, f"zone '{a['zone']}' is none of {', '.join(site.zones)}"))
    if "rack" in a and int(a["rack"]) >= site.rules.settings.racks:
        mistakes.append(_wrong(element, f"rack '{a['rack']}' is not under {site.rules.settings.racks}"))
    if kind in ("zone-cut", "zone-loss") and "zone" not in a:
        mistakes.append(_wrong(element, f"{kind} names no zone"))
    if kind.startswith(("gateway", "disk", "power")) and not gateways and "share" not in a:
        mistakes.append(_wrong(element, f"{kind} names no gateways and no share of them"))
    if not kind.startswith(("gateway", "zone", "list", "uplink", "disk", "power")) and not (
        hosts or {"share", "rack", "zone"} & set(a)
    ):
        mistakes.append(_wrong(element, f"{kind} names no host: hosts, share, rack or zone is wanted"))
    if last <= 0:
        mistakes.append(_wrong(element, f"for '{a['for']}' ends before it starts"))
    if at >= seconds:
        mistakes.append(_wrong(element, f"at '{a['at']}' lies past the end, {seconds:g} s"))
    hard = float(a.get("hard", USUAL.get(kind, 1.0)))
    if kind in SHARES and hard > 1:
        mistakes.append(_wrong(element, f"hard '{a['hard']}' is a share of at most 1 for {kind}"))
    every = _s(a["every"]) if "every" in a else None
    if every is not None and every <= 0:
        mistakes.append(_wrong(element, f"every '{a['every']}' is not above 0"))
    whom = Whom(
        hosts,
        float(a["share"]) if "share" in a else None,
        int(a["rack"]) if "rack" in a else None,
        a.get("zone"),
        gateways,
    )
    return Strike(kind, at, at + last, whom, hard, every)
