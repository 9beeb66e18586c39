"""Settings of sites for scale tests: generated ones, and an operator's own with more gateways added.

A generated site has 5 zones in 2 regions (three and two), one voter in each zone, and four stand-in hosts a zone,
whose links grow with the number of gateways.
"""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Mapping

from lxml import etree

from ...config import Mistake, SettingsError

ZONES = (("z1", "north"), ("z2", "north"), ("z3", "north"), ("z4", "south"), ("z5", "south"))
HOSTS_PER_ZONE = 4  # stand-in hosts in each zone
TITLES = 8
HOST_LINK_KB = 2000.0  # kB/s of a host's link in a site of twelve gateways
PORT = 7400
BLOCK_NUMBERS = range(64, 127)  # second byte of the loopback addresses; each run takes one
GATEWAYS_PER_SUBNET = 250  # gateways in one 127.A.B.0/24
MAX_GATEWAYS = 250 * GATEWAYS_PER_SUBNET


def generate_site(gateways: int, seed: int) -> bytes:
    """Settings of a generated site with so many gateways, spread evenly over the zones.

    The links of its hosts are drawn from the seed. Addresses are placeholders, for `with_addresses`.
    """
    rng = random.Random(seed)
    root = etree.Element("copperyard")
    zones = _add(root, "zones")
    for name, region in ZONES:
        _add(zones, "zone", name=name, region=region)
    gateway_list = _add(root, "gateways")
    for n in range(gateways):
        zone = ZONES[n % len(ZONES)][0]
        gateway = _add(
            gateway_list,
            "gateway",
            name=f"{zone}-{n // len(ZONES) + 1:04d}",
            zone=zone,
            listen="127.0.0.1:0",
            peers="127.0.0.1:0",
        )
        if n < len(ZONES):
            gateway.set("votes", "yes")
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
    cells = len(ZONES) * HOSTS_PER_ZONE
    link = HOST_LINK_KB * max(1.0, gateways / 12)
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
    title_list = _add(root, "titles")
    for n in range(TITLES):
        title = _add(
            title_list,
            "title",
            path=f"/classes/{n + 1}",
            name=f"Film {n + 1}",
            length="20s",
            cell="0",
            holders=str(cells),
        )
        _add(title, "track", kind="video", codec="JPEG", clock="90000", **{"payload-type": "26"})
    lab = _add(root, "lab", **{"media-scale": "0.002", "list-late": "300ms"})
    for n in range(cells):
        zone = ZONES[n // HOSTS_PER_ZONE][0]
        _add(
            lab,
            "host",
            name=f"{zone}-h{n % HOSTS_PER_ZONE + 1}",
            cell=str(n),
            zone=zone,
            link=f"{link * rng.uniform(0.9, 1.1):.0f}kB/s",
        )
    return _serialize(root)


def add_gateways(text: bytes, name: str, gateways: int) -> bytes:
    """The same settings with so many gateways; each missing one is added to the zone with the fewest.

    SettingsError if the settings list more than that, or only a part of a site.
    """
    root = etree.fromstring(text)
    gateway_list = root.find("gateways")
    assert gateway_list is not None
    listed = list(gateway_list.iterfind("gateway"))
    fronts = int(gateway_list.get("fronts", len(listed)))
    if fronts != len(listed):
        raise SettingsError(
            name,
            [
                Mistake(
                    int(gateway_list.sourceline or 0),
                    f"fronts '{fronts}': settings of other gateways "
                    f"than the {len(listed)} listed here; all of a site are needed",
                )
            ],
        )
    if gateways < len(listed):
        raise SettingsError(
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
    zones = [str(gateway.get("name")) for gateway in root.iterfind("zones/zone")]
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
        one = _add(gateway_list, "gateway", name=label, listen="127.0.0.1:0", peers="127.0.0.1:0")
        if zone:
            one.set("zone", zone)
    return _serialize(root)


def with_addresses(text: bytes, addresses: Mapping[str, str]) -> bytes:
    """The settings with these addresses for links between gateways; viewers' ports are left to the system."""
    root = etree.fromstring(text)
    for one in root.iterfind("gateways/gateway"):
        one.set("listen", "127.0.0.1:0")
        one.set("peers", addresses[str(one.get("name"))])
        one.attrib.pop("reach", None)
    return _serialize(root)


class AddressBlock:
    """Loopback addresses of one run.

    They are fixed before the run starts, so that settings name them and a restart keeps them. A listening socket
    reserves the block while the object is open.
    """

    def __init__(self) -> None:
        for number in BLOCK_NUMBERS:
            self._lock_socket = socket.socket()
            try:
                self._lock_socket.bind((f"127.{number}.255.254", PORT))
                self._lock_socket.listen()
            except OSError:
                self._lock_socket.close()
                continue
            self.number = number
            return
        raise OSError(f"no block of loopback addresses is free: {len(BLOCK_NUMBERS)} runs are under way")

    def gateway_address(self, n: int) -> str:
        """Where gateway number n of the settings listens."""
        return f"127.{self.number}.{n // GATEWAYS_PER_SUBNET}.{n % GATEWAYS_PER_SUBNET + 1}:{PORT}"

    def close(self) -> None:
        """Releases the block."""
        self._lock_socket.close()


def _add(parent: etree._Element, tag: str, **attributes: str) -> etree._Element:
    return etree.SubElement(parent, tag, attributes)


def _serialize(root: etree._Element) -> bytes:
    text: bytes = etree.tostring(root, pretty_print=True, xml_declaration=True, encoding="UTF-8")
    return text
