"""Scenarios for sites of gateway processes: read from XML, checked against schema and site before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib.resources import files

from lxml import etree

from ...config import Mistake, SettingsError, Site
from ...config.document import read_document
from ...config.units import parse_duration

SECOND = 1_000_000_000
LEADER = "leader"
LINKS = ("cut", "cut-one-way", "flap", "slow", "lossy", "resets")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, from `at` s to `until` s.

    `targets` and `others` are gateways (`others` at the other end of links); faults of hosts have numbers of zones
    instead.
    """

    kind: str
    at: float
    until: float
    targets: tuple[str, ...]
    others: tuple[str, ...]
    zones: tuple[int, ...]
    severity: float
    log_store: str


@dataclass(frozen=True, slots=True)
class SiteScenario:
    """Load and faults of a run.

    `rate` viewers a second in all zones together for `seconds`; `epochs` is the largest number of epochs that the run
    may take.
    """

    name: str
    seconds: float
    rate: float
    paid: float
    watch: tuple[float, float]
    faults: tuple[Fault, ...]
    epochs: int


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.lab.sites").joinpath("faults.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


def read_scenario(data: bytes, site: Site, name: str) -> SiteScenario:
    """Reads a scenario. SettingsError lists all mistakes with their lines."""
    root = read_document(data, name, _schema())
    mistakes: list[Mistake] = []
    seconds = float(str(root.get("seconds")))
    faults = tuple(_fault(one, site, seconds, mistakes) for one in root)
    watch = (_seconds(root, "watch-least"), _seconds(root, "watch-most"))
    if watch[0] > watch[1]:
        mistakes.append(Mistake(int(root.sourceline or 0), "watch-least is above watch-most"))
    if mistakes:
        raise SettingsError(name, mistakes)
    return SiteScenario(
        str(root.get("name")),
        seconds,
        float(str(root.get("rate"))),
        float(str(root.get("paid"))),
        watch,
        faults,
        int(str(root.get("epochs"))),
    )


def _seconds(element: etree._Element, key: str) -> float:
    return parse_duration(str(element.get(key))) / SECOND


def _fault(element: etree._Element, site: Site, seconds: float, mistakes: list[Mistake]) -> Fault:
    def wrong(text: str) -> None:
        mistakes.append(Mistake(int(element.sourceline or 0), f"Element 'fault': {text}"))

    kind, at, last = str(element.get("kind")), _seconds(element, "at"), _seconds(element, "for")
    if at + last >= seconds:
        wrong(f"at and for reach to {at + last:g} s of an evening of {seconds:g} s")
    if not last and kind not in ("kill", "restart"):
        wrong(f"'{kind}' without 'for' would never end")
    words = str(element.get("who")).split()
    zones = tuple(site.zones.index(word) for word in words if word in site.zones)
    if kind.startswith("hosts") and len(zones) < len(words):
        wrong(f"who: hosts are named by zones: {', '.join(site.zones)}")
    who = _gateway_names(site, words, wrong)
    others = _gateway_names(site, str(element.get("from") or "").split(), wrong)
    if others and kind not in LINKS:
        wrong(f"from means nothing to '{kind}'")
    everybody = tuple(g.name for g in site.gateways)
    if kind in LINKS and not others:
        others = tuple(name for name in everybody if name not in who)
    return Fault(kind, at, at + last, who, others, zones, float(str(element.get("hard"))), str(element.get("shelf")))


def _gateway_names(site: Site, words: list[str], wrong: object) -> tuple[str, ...]:
    found: list[str] = []
    for word in words:
        here = [g.name for g in site.gateways if word in (g.name, site.zones[g.zone])]
        if word == LEADER:
            here = [LEADER]
        if not here:
            assert callable(wrong)
            wrong(f"'{word}' is no gateway and no zone")
        found += here
    return tuple(dict.fromkeys(found))
