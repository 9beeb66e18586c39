"""Reads a site's settings: XML, its XSD, then checks that a schema cannot express. Reports all mistakes at once."""

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
from .common import CoordinationSettings, read_common
from .document import Mistake, SettingsError, read_document
from .units import parse_duration, parse_rate_kb, parse_size

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """A gateway of the site; `zone` is the zone's number."""

    name: str
    listen: str
    zone: int


@dataclass(frozen=True, slots=True)
class HostSettings:
    """A stand-in host; `link` is the true rate of its link in kB per second."""

    name: str
    cell: int
    kind: int
    zone: int
    weight: float
    link: float


@dataclass(frozen=True, slots=True)
class LabSettings:
    """What the lab starts beside the gateways: hosts, media at a fraction of full size, and a delayed list."""

    hosts: tuple[HostSettings, ...]
    media_scale: float
    list_delay: int


@dataclass(frozen=True, slots=True)
class StateSettings:
    """Where gateways store durable state: `folder` has a folder for each of them, by name.

    `generation` is the digest that identifies these settings in the journal.
    """

    folder: str
    generation: str


@dataclass(frozen=True, slots=True)
class Site:
    """All settings of a site; times in ns."""

    gateways: tuple[GatewaySettings, ...]
    zones: tuple[str, ...]
    rules: FrontRules
    titles: tuple[Title, ...]
    list_url: str
    list_wait: int
    list_timeout: int
    lab: LabSettings | None
    state: StateSettings | None = None
    common: CoordinationSettings | None = None

    def rules_for(self, name: str, clock_offset: int) -> FrontRules:
        """Return the rules of one gateway; KeyError if no gateway has that name.

        The second parameter is added to the gateway's clock (ns) to give a time that all gateways share.
        """
        rank = next((n for n, one in enumerate(self.gateways) if one.name == name), None)
        if rank is None:
            raise KeyError(name)
        settings = self.rules.settings
        # the ranks of gateways that are listed in other files are not known here
        rank_and_offset = (rank, clock_offset) if settings.fronts == len(self.gateways) else None
        return replace(
            self.rules, settings=replace(settings, zone=self.gateways[rank].zone, rank_and_offset=rank_and_offset)
        )

    def catalogue(self) -> Catalogue:
        """Return the catalogue of all titles."""
        return Catalogue(self.titles)


def load(path: str) -> Site:
    """Read a settings file. Raises an error with all mistakes, or OSError if it cannot be read."""
    with open(path, "rb") as source:
        data = source.read(MAX_DOCUMENT_BYTES + 1)
    return parse(data, path)


def parse(data: bytes, name: str = "settings") -> Site:
    """Read settings from bytes; `name` stands for the file in error messages."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise SettingsError(name, [Mistake(1, f"more than {MAX_DOCUMENT_BYTES} bytes")])
    root = read_document(data, name, _schema(), _reword_schema_message)
    reader = _Reader()
    site = reader.read_site(root)
    if reader.mistakes:
        raise SettingsError(name, reader.mistakes)
    assert site is not None
    return site


@cache
def _schema() -> etree.XMLSchema:
    text = files("copperyard.config").joinpath("site.xsd").read_bytes()
    return etree.XMLSchema(etree.fromstring(text), attribute_defaults=True)


_PATTERN_DESCRIPTIONS = {
    "(ns|us|ms|s|min|h)": "a number and ns, us, ms, s, min or h, as in 250ms",
    "(B|kB|MB|GB)/s": "a number and B/s, kB/s, MB/s or GB/s, as in 700kB/s",
    "(B|kB|MB)": "a whole number and B, kB or MB, as in 64kB",
    ":[0-9]{1,5}": "host:port, as in 127.0.0.1:554",
}


def _reword_schema_message(message: str) -> str:
    """Return a message of libxml2, with the pattern that a value violates described in words."""
    found = re.search(r"The value '(.*)' is not accepted by the pattern '(.*)'\.", message)
    if found:
        for tail, allowed in _PATTERN_DESCRIPTIONS.items():
            if found[2].endswith(tail):
                head = message[: message.index("[facet")]
                return f"{head}the value '{found[1]}' is not {allowed}."
    return message


class _Reader:
    """Builds a Site from a valid document and collects the mistakes that the schema cannot detect."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def _report(self, element: etree._Element, text: str) -> None:
        self.mistakes.append(Mistake(int(element.sourceline or 0), f"Element '{element.tag!s}': {text}"))

    def read_site(self, root: etree._Element) -> Site | None:
        zones = self._zones(root)
        gateways = self._gateways(root, zones)
        fleet, rules, limits = _child(root, "fleet"), _child(root, "rules"), _child(root, "limits")
        rungs = self._ladder(_child(root, "ladder"))
        classes, entries = self._classes(root, len(rungs))
        cells = int(_attrs(fleet)["cells"])
        titles = self._titles(root, cells)
        lab = self._lab(root, zones, cells, fleet)
        list_element = _child(root, "list")
        url = _attrs(list_element)["url"]
        if not re.fullmatch(r"http://[^/\s?#]+(/[^\s?#]*)?", url):
            self._report(list_element, f"url '{url}' is no http URL without a query")
        if parse_duration(_attrs(list_element)["timeout"]) <= parse_duration(_attrs(list_element)["wait"]):
            self._report(list_element, "timeout is not above wait: every poll without news would count as failed")
        fronts = int(_child(root, "gateways").get("fronts", len(gateways)))
        if fronts < len(gateways):
            self._report(_child(root, "gateways"), f"fronts {fronts} is under the {len(gateways)} listed here")
        if self.mistakes:
            return None
        settings = self._settings(root, fronts, classes, rungs)
        bounds = _read_bounds(limits)
        state_element = root.find("state")
        state = None
        if state_element is not None:
            bounds = replace(bounds, code_life=parse_duration(_attrs(state_element)["code-life"]))
            state = StateSettings(
                _attrs(state_element)["folder"], hashlib.sha256(etree.tostring(root)).hexdigest()[:12]
            )
        if bounds.dead <= bounds.silence:
            self._report(limits, "dead is not above silence")
        protocol_limits = Limits(
            parse_size(_attrs(limits)["line"]),
            int(_attrs(limits)["headers"]),
            parse_size(_attrs(limits)["body"]),
            min(65535, parse_size(_attrs(limits)["frame"])),
            int(_attrs(limits)["pending"]),
        )
        if settings.connect_timeout >= min(c.deadline for c in classes):
            self._report(rules, "connect is not under every class's deadline")
        front_rules = FrontRules(settings, entries, bounds, protocol_limits, protocol_limits)
        common = read_common(root, zones, [(g.name, g.zone) for g in gateways], front_rules, titles, self._report)
        return Site(
            gateways,
            zones,
            front_rules,
            titles,
            url,
            parse_duration(_attrs(list_element)["wait"]),
            parse_duration(_attrs(list_element)["timeout"]),
            lab,
            state,
            common,
        )

    def _zones(self, root: etree._Element) -> tuple[str, ...]:
        names = [_attrs(zone)["name"] for zone in root.iterfind("zones/zone")]
        self._check_unique(root.iterfind("zones/zone"), "name")
        return tuple(names) or ("default",)

    def _check_unique(self, elements: Iterable[etree._Element], key: str) -> None:
        seen: dict[str, int] = {}
        for element in elements:
            value = _attrs(element)[key]
            if value in seen:
                self._report(element, f"{key} '{value}' is already that of line {seen[value]!s}")
            seen.setdefault(value, int(element.sourceline or 0))

    def _zone(self, element: etree._Element, zones: tuple[str, ...]) -> int:
        name = element.get("zone", zones[0])
        if name not in zones:
            self._report(element, f"zone '{name}' is none of {', '.join(zones)}")
            return 0
        return zones.index(name)

    def _gateways(self, root: etree._Element, zones: tuple[str, ...]) -> tuple[GatewaySettings, ...]:
        elements = list(root.iterfind("gateways/gateway"))
        self._check_unique(elements, "name")
        for element in elements:
            if int(_attrs(element)["listen"].rpartition(":")[2]) > 65535:
                self._report(element, f"listen '{_attrs(element)['listen']}' has no port up to 65535")
        self._check_unique([g for g in elements if not _attrs(g)["listen"].endswith(":0")], "listen")
        return tuple(GatewaySettings(_attrs(g)["name"], _attrs(g)["listen"], self._zone(g, zones)) for g in elements)

    def _ladder(self, ladder: etree._Element) -> list[tuple[float, float]]:
        rungs: list[tuple[float, float]] = []
        for element in ladder.iterfind("rung"):
            rate, worth = parse_rate_kb(_attrs(element)["rate"]), float(_attrs(element)["worth"])
            if rungs and rate <= rungs[-1][0]:
                self._report(element, f"rate '{_attrs(element)['rate']}' does not rise above the rung before")
            if rungs and worth < rungs[-1][1]:
                self._report(element, f"worth '{_attrs(element)['worth']}' falls under that of the rung before")
            if rate <= 0:
                self._report(element, f"rate '{_attrs(element)['rate']}' is not above 0")
            rungs.append((rate, worth))
        return rungs

    def _classes(
        self, root: etree._Element, rungs: int
    ) -> tuple[tuple[api.ClassSettings, ...], tuple[AdmissionRule, ...]]:
        elements = list(root.iterfind("classes/class"))
        self._check_unique(elements, "name")
        classes, entries = [], []
        for n, element in enumerate(elements):
            attrs = _attrs(element)
            floor, top = int(attrs["floor"]), int(element.get("top", rungs - 1))
            if floor >= rungs:
                self._report(element, f"floor '{floor}' is above the ladder's highest rung {rungs - 1}")
            elif floor > top:
                self._report(element, f"floor '{floor}' is above top '{top}'")
            if top >= rungs:
                self._report(element, f"top '{top}' is above the ladder's highest rung {rungs - 1}")
            aim, deadline = parse_duration(attrs["aim"]), parse_duration(attrs["deadline"])
            if aim <= 0 or deadline < aim:
                self._report(element, f"aim '{attrs['aim']}' is not above 0 and up to deadline '{attrs['deadline']}'")
            paid = attrs["code"] == "required"
            once = attrs["set-up"] == "once"
            if paid and not once:
                self._report(element, "a class with a code is set up once: set-up must be 'once'")
            classes.append(
                api.ClassSettings(
                    attrs["name"],
                    aim,
                    deadline,
                    float(attrs["worth"]),
                    api.Effect.UNSAFE if once else api.Effect.SAFE,
                    floor,
                    top,
                    float(attrs["scale"]),
                    int(attrs["seats"]),
                    attrs["live"] == "yes",
                )
            )
            entries.append((attrs["path"], AdmissionRule(n, attrs["path"], paid)))
        # longest prefix first, so that a narrower class takes precedence whatever the order in the file
        entries.sort(key=lambda pair: -len(pair[0]))
        return tuple(classes), tuple(entry for _, entry in entries)

    def _titles(self, root: etree._Element, cells: int) -> tuple[Title, ...]:
        elements = list(root.iterfind("titles/title"))
        self._check_unique(elements, "path")
        titles = []
        for n, element in enumerate(elements, 1):
            attrs = _attrs(element)
            if int(attrs["cell"]) >= cells:
                self._report(element, f"cell '{attrs['cell']}' is not under the fleet's {cells}")
            if int(attrs["holders"]) > cells:
                self._report(element, f"holders '{attrs['holders']}' are more than the fleet's {cells} cells")
            if re.search("/track[0-9]+/?$", attrs["path"]):
                self._report(element, f"path '{attrs['path']}' ends like a track")
            tracks = tuple(
                Track(_attrs(t)["kind"], int(_attrs(t)["payload-type"]), _attrs(t)["codec"], int(_attrs(t)["clock"]))
                for t in element.iterfind("track")
            )
            length = parse_duration(attrs["length"]) if "length" in attrs else None
            titles.append(
                Title(
                    n,
                    attrs["path"].rstrip("/") or "/",
                    attrs["name"],
                    length,
                    int(attrs["cell"]),
                    int(attrs["holders"]),
                    tracks,
                )
            )
        return tuple(titles)

    def _lab(
        self, root: etree._Element, zones: tuple[str, ...], cells: int, fleet: etree._Element
    ) -> LabSettings | None:
        lab = root.find("lab")
        if lab is None:
            return None
        elements = list(lab.iterfind("host"))
        self._check_unique(elements, "name")
        kinds = len(_attrs(fleet)["places"].split())
        hosts = []
        for element in elements:
            attrs = _attrs(element)
            if int(attrs["cell"]) >= cells:
                self._report(element, f"cell '{attrs['cell']}' is not under the fleet's {cells}")
            if int(attrs["kind"]) >= kinds:
                self._report(element, f"kind '{attrs['kind']}' is none of the {kinds} in the fleet's places")
            weight = float(attrs["weight"])
            link = parse_rate_kb(attrs["link"]) if "link" in attrs else weight * parse_rate_kb(_attrs(fleet)["link"])
            hosts.append(
                HostSettings(
                    attrs["name"], int(attrs["cell"]), int(attrs["kind"]), self._zone(element, zones), weight, link
                )
            )
        return LabSettings(tuple(hosts), float(_attrs(lab)["media-scale"]), parse_duration(_attrs(lab)["list-late"]))

    def _settings(
        self,
        root: etree._Element,
        fronts: int,
        classes: tuple[api.ClassSettings, ...],
        rungs: list[tuple[float, float]],
    ) -> api.Settings:
        fleet, rules = _attrs(_child(root, "fleet")), _attrs(_child(root, "rules"))
        reports, prices = _attrs(_child(root, "reports")), _attrs(_child(root, "prices"))
        max_retry_after = parse_duration(rules["retry-after"])
        has_retry_budget = "further" in rules
        return api.Settings(
            fronts=fronts,
            zone=0,
            tick=parse_duration(rules["tick"]),
            classes=classes,
            rung_kb=tuple(rate for rate, _ in rungs),
            rung_worth=tuple(worth for _, worth in rungs),
            cells=int(fleet["cells"]),
            racks=int(fleet["racks"]),
            uplink_kb=parse_rate_kb(fleet["uplink"]),
            kb_per_weight=parse_rate_kb(fleet["link"]),
            places_by_kind=tuple(map(int, fleet["places"].split())),
            full_threshold=float(fleet["full-from"]),
            join_ratio=float(fleet["join-adds"]),
            notice_delay=parse_duration(reports["told-late"]),
            notice_interval=parse_duration(reports["told-every"]),
            shortfall_cost=float(prices["shortfall"]),
            switch_cost_s=parse_duration(prices["switch"]) / 1e9,
            max_attempts=int(rules["attempts"]),
            max_retry_after=max_retry_after,
            retry_after=max_retry_after > 0,
            probes=reports["probes"] == "yes",
            cancelling=True,
            connect_timeout=parse_duration(rules["connect"]),
            subscribe=True,
            list_poll_interval=0,
            cold_ratio=float(fleet["cold-from"]),
            warm_up_time=parse_duration(fleet["warm-within"]),
            drain_grace=parse_duration(rules["drain-grace"]),
            cold_budget_multiple=float(rules["fall-multiple"]),
            cold_window=parse_duration(rules["fall"]),
            free_retries=float(rules["further"]) if has_retry_budget else None,
            retry_ratio=float(rules["further-share"]) if has_retry_budget else 0.0,
            retry_window=parse_duration(rules["further-span"]) if has_retry_budget else 0,
            price_cross_zone=float(prices["crossing"]),
            price_late_fail=float(prices["late-fail"]),
            price_move=float(prices["move"]),
            price_probe=float(prices["probe"]),
            reports_in_answers=reports["in-answers"] == "yes",
            reports_uplink=reports["uplink"] == "yes",
        )


def _read_bounds(limits: etree._Element) -> Bounds:
    attrs = _attrs(limits)
    return Bounds(
        connections=int(attrs["connections"]),
        sessions=int(attrs["sessions"]),
        open_requests=int(attrs["open-requests"]),
        queue=parse_size(attrs["queue"]),
        stall=parse_duration(attrs["stall"]),
        idle=parse_duration(attrs["idle"]),
        silence=parse_duration(attrs["silence"]),
        dead=parse_duration(attrs["dead"]),
        codes=int(attrs["codes"]),
    )


def _attrs(element: etree._Element) -> dict[str, str]:
    return {str(key): str(value) for key, value in element.attrib.items()}


def _child(root: etree._Element, name: str) -> etree._Element:
    found = root.find(name)
    assert found is not None  # required by the schema
    return found
