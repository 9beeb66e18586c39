"""Faults of a scale test: read from XML, checked against schema and site before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib.resources import files

from lxml import etree

from ...config import Mistake, SettingsError, Site
from ...config.document import read_document
from ...config.units import parse_duration

SECOND = 1_000_000_000
TARGET_WORDS = ("leader", "voter", "gateway", "rack", "zone", "region")
NEEDS_DURATION = ("pause", "cut", "churn")
NEEDS_TARGETS = ("kill", "pause", "cut", "start")


@dataclass(frozen=True, slots=True)
class ScaleFault:
    """A fault, from `at` s after the beginning to `until`.

    `targets` are words of TARGET_WORDS, or names of gateways, zones and regions. `share` is the share of gateways
    that churn restarts a minute.
    """

    kind: str
    at: float
    until: float
    targets: tuple[str, ...]
    share: float = 0.1


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.lab.sites").joinpath("scale.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


def default_faults(seconds: float) -> tuple[ScaleFault, ...]:
    """The faults of a run without a file: after a calm third a gateway is killed, later a zone, which restarts."""
    return (
        ScaleFault("kill", seconds / 3, seconds / 3, ("gateway",)),
        ScaleFault("kill", seconds * 0.54, seconds * 0.82, ("zone",)),
    )


def read_scale_faults(
    data: bytes, site: Site, regions: tuple[str, ...], seconds: float, name: str
) -> tuple[ScaleFault, ...]:
    """Reads the faults. SettingsError lists all mistakes with their lines.

    `regions` are the names of the regions by zone, `seconds` the length of the run.
    """
    root = read_document(data, name, _schema())
    mistakes: list[Mistake] = []
    known = {*TARGET_WORDS, *regions, *site.zones, *(g.name for g in site.gateways)}
    found = []
    for one in root:

        def wrong(text: str, line: int = int(one.sourceline or 0)) -> None:
            mistakes.append(Mistake(line, f"Element 'fault': {text}"))

        kind, at = str(one.get("kind")), parse_duration(str(one.get("at"))) / SECOND
        until = at + parse_duration(str(one.get("for"))) / SECOND
        who = tuple(str(one.get("who") or "").split())
        if kind == "change":
            wrong("kind 'change': a change of settings is a restart of all today, there is none to be tried")
        if until >= seconds:
            wrong(f"at '{one.get('at')}' and for '{one.get('for')}' reach to {until:g} s of a run of {seconds:g} s")
        if until == at and kind in NEEDS_DURATION:
            wrong(f"kind '{kind}' without 'for' would never end")
        if kind in NEEDS_TARGETS and not who:
            wrong(f"kind '{kind}' without 'who'")
        for word in who:
            if word not in known:
                wrong(f"who '{word}' is no gateway, zone or region of this site and none of {', '.join(TARGET_WORDS)}")
            elif word in ("leader", "voter") and kind == "start":
                wrong(f"who '{word}' cannot be held back from the start: nothing would be agreed on")
        if kind == "churn" and who:
            wrong(f"who '{' '.join(who)}' means nothing to 'churn'")
        found.append(ScaleFault(kind, at, until, who, float(str(one.get("share")))))
    if mistakes:
        raise SettingsError(name, mistakes)
    return tuple(found)
