"""Reads a site's settings: XML, its XSD, then what a schema cannot say. All mistakes are told at once."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import cache
from importlib.resources import files

from lxml import etree

from .. import interface as api
from ..control.catalogue import Catalogue, Title, Track
from ..control.rules import AdmissionRule, Bounds, FrontRules
from ..protocol.rtsp import Limits
from .common import CommonPlan, read_common
from .document import BadSettings, Mistake, read_document
from .units import duration, rate_kb, size

MOST_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class GatewayPlace:
    """One gateway of the site."""

    name: str
    listen: str
    zone: int


@dataclass(frozen=True, slots=True)
class HostPlan:
    """A stand-in host. `link` is what its link truly gives, kB a second."""

    name: str
    cell: int
    kind: int
    zone: int
    weight: float
    link: float


@dataclass(frozen=True, slots=True)
class LabPlan:
    """What the laboratory starts beside the gateways. Media bytes are `scale` times full size."""

    hosts: tuple[HostPlan, ...]
    scale: float
    list_late: int


@dataclass(frozen=True, slots=True)
class StatePlan:
    """Where gateways keep what must outlive them: `folder` has one folder for each, by its name. `generation` names
    these settings in the journal."""

    folder: str
    generation: str


@dataclass(frozen=True, slots=True)
class Site:
    """All settings of a site. `settings(zone)` are the module's for a gateway there."""

    gateways: tuple[GatewayPlace, ...]
    zones: tuple[str, ...]
    rules: FrontRules
    titles: tuple[Title, ...]
    list_url: str
    list_wait: int
    list_timeout: int
    lab: LabPlan | None
    state: StatePlan | None = None
    common: CommonPlan | None = None

    def rules_of(self, name: str, shared: int) -> FrontRules:
        """The rules of the gateway of that name. `shared` is what makes its clock (ns, added) one that all gateways
        share. KeyError where there is none of that name."""
        place = next((n for n, one in enumerate(self.gateways) if one.name == name), None)
        if place is None:
            raise KeyError(name)
        settings = self.rules.settings
        # gateways that other files list have numbers that this one cannot know
        turn = (place, shared) if settings.fronts == len(self.gateways) else None
        return replace(self.rules, settings=replace(settings, zone=self.gateways[place].zone, rank_and_offset=turn))

    def catalogue(self) -> Catalogue:
        return Catalogue(self.titles)


def load(path: str) -> Site:
    """Read a file. BadSettings with all mistakes; OSError where it cannot be read."""
    with open(path, "rb") as source:
        data = source.read(MOST_BYTES + 1)
    return parse(data, path)


def parse(data: bytes, name: str = "settings") -> Site:
    """Read settings from bytes."""
    if len(data) > MOST_BYTES:
        raise BadSettings(name, [Mistake(1, f"more than {MOST_BYTES} bytes")])
    root = read_document(data, name, _schema(), _plain)
    reader = _Reader()
    site = reader.site(root)
    if reader.mistakes:
        raise BadSettings(name, reader.mistakes)
    assert site is not None
    return site


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.config").joinpath("site.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


_ALLOWED = {
    "(ns|us|ms|s|min|h)": "a number and ns, us, ms, s, min or h, as in 250ms",
    "(B|kB|MB|GB)/s": "a number and B/s, kB/s, MB/s or GB/s, as in 700kB/s",
    "(B|kB|MB)": "a whole number and B, kB or MB, as in 64kB",
    ":[0-9]{1,5}": "host:port, as in 127.0.0.1:554",
}


def _plain(message: str) -> str:
    """libxml2's words, with a pattern put as an operator reads it."""
    found = re.search(r"The value '(.*)' is not accepted by the pattern '(.*)'\.", message)
    if found:
        for tail, allowed in _ALLOWED.items():
            if found[2].endswith(tail):
                head = message[: message.index("[facet")]
                return f"{head}the value '{found[1]}' is not {allowed}."
    return message


class _Reader:
    """Turns a valid document into a Site, gathering what the schema could not see."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def _wrong(self, at: etree._Element, text: str) -> None:
        self.mistakes.append(Mistake(int(at.sourceline or 0), f"Element '{at.tag!s}': {text}"))

    def site(self, root: etree._Element) -> Site | None:
        zones = self._zones(root)
        gateways = self._gateways(root, zones)
        fleet, rules, limits = _child(root, "fleet"), _child(root, "rules"), _child(root, "limits")
        rungs = self._ladder(_child(root, "ladder"))
        classes, entries = self._classes(root, len(rungs))
        cells = int(_attrs(fleet)["cells"])
        titles = self._titles(root, cells)
        lab = self._lab(root, zones, cells, fleet)
        place = _child(root, "list")
        url = _attrs(place)["url"]
        if not re.fullmatch(r"http://[^/\s?#]+(/[^\s?#]*)?", url):
            self._wrong(place, f"url '{url}' is no http URL without a query")
        if duration(_attrs(place)["timeout"]) <= duration(_attrs(place)["wait"]):
            self._wrong(place, "timeout is not above wait: every poll without news would count as failed")
        fronts = int(_child(root, "gateways").get("fronts", len(gateways)))
        if fronts < len(gateways):
            self._wrong(_child(root, "gateways"), f"fronts {fronts} is under the {len(gateways)} listed here")
        if self.mistakes:
            return None
        settings = self._settings(root, fronts, classes, rungs)
        bounds = _bounds(limits)
        kept = root.find("state")
        state = None
        if kept is not None:
            bounds = replace(bounds, code_life=duration(_attrs(kept)["code-life"]))
            state = StatePlan(_attrs(kept)["folder"], hashlib.sha256(etree.tostring(root)).hexdigest()[:12])
        if bounds.dead <= bounds.silence:
            self._wrong(limits, "dead is not above silence")
        wire = Limits(
            size(_attrs(limits)["line"]),
            int(_attrs(limits)["headers"]),
            size(_attrs(limits)["body"]),
            min(65535, size(_attrs(limits)["frame"])),
            int(_attrs(limits)["pending"]),
        )
        if settings.connect_timeout >= min(c.deadline for c in classes):
            self._wrong(rules, "connect is not under every class's deadline")
        front = FrontRules(settings, entries, bounds, wire, wire)
        common = read_common(root, zones, [(g.name, g.zone) for g in gateways], front, titles, self._wrong)
        return Site(
            gateways,
            zones,
            front,
            titles,
            url,
            duration(_attrs(place)["wait"]),
            duration(_attrs(place)["timeout"]),
            lab,
            state,
            common,
        )

    def _zones(self, root: etree._Element) -> tuple[str, ...]:
        names = [_attrs(zone)["name"] for zone in root.iterfind("zones/zone")]
        self._unique(root.iterfind("zones/zone"), "name")
        return tuple(names) or ("default",)

    def _unique(self, elements: Iterable[etree._Element], key: str) -> None:
        seen: dict[str, int] = {}
        for element in elements:
            value = _attrs(element)[key]
            if value in seen:
                self._wrong(element, f"{key} '{value}' is already that of line {seen[value]!s}")
            seen.setdefault(value, int(element.sourceline or 0))

    def _zone(self, element: etree._Element, zones: tuple[str, ...]) -> int:
        name = element.get("zone", zones[0])
        if name not in zones:
            self._wrong(element, f"zone '{name}' is none of {', '.join(zones)}")
            return 0
        return zones.index(name)

    def _gateways(self, root: etree._Element, zones: tuple[str, ...]) -> tuple[GatewayPlace, ...]:
        found = list(root.iterfind("gateways/gateway"))
        self._unique(found, "name")
        for one in found:
            if int(_attrs(one)["listen"].rpartition(":")[2]) > 65535:
                self._wrong(one, f"listen '{_attrs(one)['listen']}' has no port up to 65535")
        self._unique([g for g in found if not _attrs(g)["listen"].endswith(":0")], "listen")
        return tuple(GatewayPlace(_attrs(g)["name"], _attrs(g)["listen"], self._zone(g, zones)) for g in found)

    def _ladder(self, ladder: etree._Element) -> list[tuple[float, float]]:
        rungs: list[tuple[float, float]] = []
        for one in ladder.iterfind("rung"):
            rate, worth = rate_kb(_attrs(one)["rate"]), float(_attrs(one)["worth"])
            if rungs and rate <= rungs[-1][0]:
                self._wrong(one, f"rate '{_attrs(one)['rate']}' does not rise above the rung before")
            if rungs and worth < rungs[-1][1]:
                self._wrong(one, f"worth '{_attrs(one)['worth']}' falls under that of the rung before")
            if rate <= 0:
                self._wrong(one, f"rate '{_attrs(one)['rate']}' is not above 0")
            rungs.append((rate, worth))
        return rungs

    def _classes(
        self, root: etree._Element, rungs: int
    ) -> tuple[tuple[api.ClassSettings, ...], tuple[AdmissionRule, ...]]:
        elements = list(root.iterfind("classes/class"))
        self._unique(elements, "name")
        classes, entries = [], []
        for n, one in enumerate(elements):
            a = _attrs(one)
            floor, top = int(a["floor"]), int(one.get("top", rungs - 1))
            if floor >= rungs:
                self._wrong(one, f"floor '{floor}' is above the ladder's highest rung {rungs - 1}")
            elif floor > top:
                self._wrong(one, f"floor '{floor}' is above top '{top}'")
            if top >= rungs:
                self._wrong(one, f"top '{top}' is above the ladder's highest rung {rungs - 1}")
            aim, deadline = duration(a["aim"]), duration(a["deadline"])
            if aim <= 0 or deadline < aim:
                self._wrong(one, f"aim '{a['aim']}' is not above 0 and up to deadline '{a['deadline']}'")
            paid = a["code"] == "required"
            once = a["set-up"] == "once"
            if paid and not once:
                self._wrong(one, "a class with a code is set up once: set-up must be 'once'")
            classes.append(
                api.ClassSettings(
                    a["name"],
                    aim,
                    deadline,
                    float(a["worth"]),
                    api.Effect.UNSAFE if once else api.Effect.SAFE,
                    floor,
                    top,
                    float(a["scale"]),
                    int(a["seats"]),
                    a["live"] == "yes",
                )
            )
            entries.append((a["path"], AdmissionRule(n, a["path"], paid)))
        # the longest prefix first, so that a narrower class wins over a wider one whatever the file's order
        entries.sort(key=lambda pair: -len(pair[0]))
        return tuple(classes), tuple(entry for _, entry in entries)

    def _titles(self, root: etree._Element, cells: int) -> tuple[Title, ...]:
        elements = list(root.iterfind("titles/title"))
        self._unique(elements, "path")
        found = []
        for n, one in enumerate(elements, 1):
            a = _attrs(one)
            if int(a["cell"]) >= cells:
                self._wrong(one, f"cell '{a['cell']}' is not under the fleet's {cells}")
            if int(a["holders"]) > cells:
                self._wrong(one, f"holders '{a['holders']}' are more than the fleet's {cells} cells")
            if re.search("/track[0-9]+/?$", a["path"]):
                self._wrong(one, f"path '{a['path']}' ends like a track")
            tracks = tuple(
                Track(_attrs(t)["kind"], int(_attrs(t)["payload-type"]), _attrs(t)["codec"], int(_attrs(t)["clock"]))
                for t in one.iterfind("track")
            )
            length = duration(a["length"]) if "length" in a else None
            found.append(
                Title(n, a["path"].rstrip("/") or "/", a["name"], length, int(a["cell"]), int(a["holders"]), tracks)
            )
        return tuple(found)

    def _lab(self, root: etree._Element, zones: tuple[str, ...], cells: int, fleet: etree._Element) -> LabPlan | None:
        lab = root.find("lab")
        if lab is None:
            return None
        hosts = list(lab.iterfind("host"))
        self._unique(hosts, "name")
        kinds = len(_attrs(fleet)["places"].split())
        found = []
        for one in hosts:
            a = _attrs(one)
            if int(a["cell"]) >= cells:
                self._wrong(one, f"cell '{a['cell']}' is not under the fleet's {cells}")
            if int(a["kind"]) >= kinds:
                self._wrong(one, f"kind '{a['kind']}' is none of the {kinds} in the fleet's places")
            weight = float(a["weight"])
            link = rate_kb(a["link"]) if "link" in a else weight * rate_kb(_attrs(fleet)["link"])
            found.append(HostPlan(a["name"], int(a["cell"]), int(a["kind"]), self._zone(one, zones), weight, link))
        return LabPlan(tuple(found), float(_attrs(lab)["media-scale"]), duration(_attrs(lab)["list-late"]))

    def _settings(
        self,
        root: etree._Element,
        fronts: int,
        classes: tuple[api.ClassSettings, ...],
        rungs: list[tuple[float, float]],
    ) -> api.Settings:
        fleet, rules = _attrs(_child(root, "fleet")), _attrs(_child(root, "rules"))
        reports, prices = _attrs(_child(root, "reports")), _attrs(_child(root, "prices"))
        retry = duration(rules["retry-after"])
        budgeted = "further" in rules
        return api.Settings(
            fronts=fronts,
            zone=0,
            tick=duration(rules["tick"]),
            classes=classes,
            rung_kb=tuple(rate for rate, _ in rungs),
            rung_worth=tuple(worth for _, worth in rungs),
            cells=int(fleet["cells"]),
            racks=int(fleet["racks"]),
            uplink_kb=rate_kb(fleet["uplink"]),
            kb_per_weight=rate_kb(fleet["link"]),
            places_by_kind=tuple(map(int, fleet["places"].split())),
            full_threshold=float(fleet["full-from"]),
            join_ratio=float(fleet["join-adds"]),
            notice_delay=duration(reports["told-late"]),
            notice_interval=duration(reports["told-every"]),
            shortfall_cost=float(prices["shortfall"]),
            switch_cost_s=duration(prices["switch"]) / 1e9,
            max_attempts=int(rules["attempts"]),
            max_retry_after=retry,
            retry_after=retry > 0,
            probes=reports["probes"] == "yes",
            cancelling=True,
            connect_timeout=duration(rules["connect"]),
            subscribe=True,
            list_poll_interval=0,
            cold_ratio=float(fleet["cold-from"]),
            warm_up_time=duration(fleet["warm-within"]),
            drain_grace=duration(rules["drain-grace"]),
            cold_budget_multiple=float(rules["fall-multiple"]),
            cold_window=duration(rules["fall"]),
            free_retries=float(rules["further"]) if budgeted else None,
            retry_ratio=float(rules["further-share"]) if budgeted else 0.0,
            retry_window=duration(rules["further-span"]) if budgeted else 0,
            price_cross_zone=float(prices["crossing"]),
            price_late_fail=float(prices["late-fail"]),
            price_move=float(prices["move"]),
            price_probe=float(prices["probe"]),
            reports_in_answers=reports["in-answers"] == "yes",
            reports_uplink=reports["uplink"] == "yes",
        )


def _bounds(limits: etree._Element) -> Bounds:
    a = _attrs(limits)
    return Bounds(
        connections=int(a["connections"]),
        sessions=int(a["sessions"]),
        open_requests=int(a["open-requests"]),
        queue=size(a["queue"]),
        stall=duration(a["stall"]),
        idle=duration(a["idle"]),
        silence=duration(a["silence"]),
        dead=duration(a["dead"]),
        codes=int(a["codes"]),
    )


def _attrs(element: etree._Element) -> dict[str, str]:
    return {str(key): str(value) for key, value in element.attrib.items()}


def _child(root: etree._Element, name: str) -> etree._Element:
    found = root.find(name)
    assert found is not None  # the schema has seen to it
    return found
