"""Settings of sites for runs at scale: drawn ones, and ones that an operator has, widened to more gateways.

A drawn site has 2 regions with 5 zones (three and two), a council of five with one voter in each zone, and four
stand-in hosts a zone whose links grow with the number of gateways, as a fleet's do.
"""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Mapping

from lxml import etree

from ...config import BadSettings, Mistake

ZONES = (("z1", "north"), ("z2", "north"), ("z3", "north"), ("z4", "south"), ("z5", "south"))
HOSTS = 4  # a zone
TITLES = 8
LINK = 2000.0  # kB/s of a host's link in a site of twelve gateways
PORT = 7400
BLOCKS = range(64, 127)  # second numbers of the loopback addresses that runs take: a run, a block
A_ROW = 250  # gateways in one 127.A.B.0/24
MOST = 250 * A_ROW


def drawn_site(gateways: int, seed: int) -> bytes:
    """Settings of a drawn site with so many gateways, an equal number in each zone as far as that goes; the links of
    its hosts come from the seed. The addresses are placeholders, for `placed`."""
    rng = random.Random(seed)
    root = etree.Element("copperyard")
    zones = _add(root, "zones")
    for name, region in ZONES:
        _add(zones, "zone", name=name, region=region)
    place = _add(root, "gateways")
    for n in range(gateways):
        zone = ZONES[n % len(ZONES)][0]
        one = _add(
            place,
            "gateway",
            name=f"{zone}-{n // len(ZONES) + 1:04d}",
            zone=zone,
            listen="127.0.0.1:0",
            peers="127.0.0.1:0",
        )
        if n < len(ZONES):
            one.set("votes", "yes")
    ladder = _add(root, "ladder")
    for rate, worth in ((230, 0.22), (420, 0.45), (680, 0.66), (1100, 0.85)):
        _add(ladder, "rung", rate=f"{rate}kB/s", worth=str(worth))
    classes = _add(root, "classes")
    _add(classes, "class", name="preview", path="/", code="none", aim="1500ms", deadline="5s", worth="1")
    _add(
        classes,
        "class",
        name="code-viewing",
        path="/",
        code="required",
        aim="1s",
        deadline="3s",
        worth="2",
        floor="1",
        seats="200",
        **{"set-up": "once"},
    )
    cells = len(ZONES) * HOSTS
    link = LINK * max(1.0, gateways / 12)
    _add(
        root,
        "fleet",
        cells=str(cells),
        racks=str(cells),
        link=f"{link:.0f}kB/s",
        uplink="900GB/s",
        places="64",
        **{"cold-from": "0.5", "warm-within": "3s"},
    )
    _add(
        root,
        "rules",
        attempts="3",
        further="3",
        fall="1s",
        connect="250ms",
        **{
            "drain-grace": "250ms",
            "fall-multiple": "3",
            "further-share": "0.2",
            "further-span": "5s",
            "retry-after": "2s",
        },
    )
    _add(root, "reports", uplink="yes", probes="yes", **{"in-answers": "yes", "told-late": "500ms", "told-every": "2s"})
    _add(root, "prices", shortfall="8", switch="500ms", probe="0.01", crossing="0.2")
    _add(root, "list", url="http://127.0.0.1:0/hosts", wait="2s", timeout="3s")
    _add(root, "limits", stall="4s", idle="20s", silence="1s", dead="3s", queue="256kB")
    _add(
        root,
        "common",
        folder="common",
        store="folder",
        period="1s",
        answer="400ms",
        every="2s",
        holds="10s",
        reserve="0.1",
        dwell="4s",
    )
    shelf = _add(root, "titles")
    for n in range(TITLES):
        title = _add(
            shelf, "title", path=f"/classes/{n + 1}", name=f"Film {n + 1}", length="20s", cell="0", holders=str(cells)
        )
        _add(title, "track", kind="video", codec="JPEG", clock="90000", **{"payload-type": "26"})
    lab = _add(root, "lab", **{"media-scale": "0.002", "list-late": "300ms"})
    for n in range(cells):
        zone = ZONES[n // HOSTS][0]
        _add(
            lab,
            "host",
            name=f"{zone}-h{n % HOSTS + 1}",
            cell=str(n),
            zone=zone,
            link=f"{link * rng.uniform(0.9, 1.1):.0f}kB/s",
        )
    return _text(root)


def widened(text: bytes, name: str, gateways: int) -> bytes:
    """The same settings with so many gateways: what is missing is added, to the zone with the fewest each time.
    BadSettings where the settings list more than that, or are only a part of a site."""
    root = etree.fromstring(text)
    place = root.find("gateways")
    assert place is not None
    listed = list(place.iterfind("gateway"))
    fronts = int(place.get("fronts", len(listed)))
    if fronts != len(listed):
        raise BadSettings(
            name,
            [
                Mistake(
                    int(place.sourceline or 0),
                    f"fronts '{fronts}': settings of other gateways "
                    f"than the {len(listed)} listed here; all of a site are needed",
                )
            ],
        )
    if gateways < len(listed):
        raise BadSettings(
            name,
            [
                Mistake(
                    int(listed[gateways].sourceline or 0),
                    f"gateways '{gateways}': these "
                    f"settings are of {len(listed)}, '{listed[gateways].get('name')}' and those "
                    "after it would be left out",
                )
            ],
        )
    zones = [str(one.get("name")) for one in root.iterfind("zones/zone")]
    counts = Counter({zone: 0 for zone in zones})
    counts.update(str(one.get("zone")) for one in listed if one.get("zone"))
    names = {str(one.get("name")) for one in listed}
    number = 0
    for _ in range(gateways - len(listed)):
        zone = min(zones, key=lambda z: counts[z]) if zones else ""
        counts[zone] += 1
        while (label := f"{zone or 'gw'}-x{number:04d}") in names:
            number += 1
        names.add(label)
        one = _add(place, "gateway", name=label, listen="127.0.0.1:0", peers="127.0.0.1:0")
        if zone:
            one.set("zone", zone)
    return _text(root)


def placed(text: bytes, addresses: Mapping[str, str]) -> bytes:
    """The settings with the gateways' links at these addresses; where viewers reach them is left to the system."""
    root = etree.fromstring(text)
    for one in root.iterfind("gateways/gateway"):
        one.set("listen", "127.0.0.1:0")
        one.set("peers", addresses[str(one.get("name"))])
        one.attrib.pop("reach", None)
    return _text(root)


class Block:
    """Loopback addresses of one run, fixed before it starts, so that settings name them and a restart keeps them. The
    block is this run's while the object lives: a socket holds it."""

    def __init__(self) -> None:
        for number in BLOCKS:
            self._claim = socket.socket()
            try:
                self._claim.bind((f"127.{number}.255.254", PORT))
                self._claim.listen()
            except OSError:
                self._claim.close()
                continue
            self.number = number
            return
        raise OSError(f"no block of loopback addresses is free: {len(BLOCKS)} runs go on")

    def address(self, n: int) -> str:
        """Where gateway n of the settings listens."""
        return f"127.{self.number}.{n // A_ROW}.{n % A_ROW + 1}:{PORT}"

    def close(self) -> None:
        self._claim.close()


def _add(parent: etree._Element, tag: str, **attributes: str) -> etree._Element:
    return etree.SubElement(parent, tag, attributes)


def _text(root: etree._Element) -> bytes:
    text: bytes = etree.tostring(root, pretty_print=True, xml_declaration=True, encoding="UTF-8")
    return text
