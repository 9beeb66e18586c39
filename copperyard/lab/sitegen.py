"""Generates settings of a site of any size, modelled on the site of the first users."""

from __future__ import annotations

import random

from lxml import etree


def site_xml(hosts: int, gateways: int, racks: int, titles: int, seed: int) -> bytes:
    """Return settings with the given numbers of stand-in hosts, gateways, racks and titles.

    A title has between 3 holders and about a twelfth of the hosts; the first titles, which are the most popular, have
    the most.
    """
    rng = random.Random(seed)
    root = etree.Element("copperyard")
    _add(_add(root, "zones"), "zone", name="room")
    place = _add(root, "gateways")
    for n in range(gateways):
        _add(place, "gateway", name=f"gw-{n + 1}", listen="127.0.0.1:0")
    ladder = _add(root, "ladder")
    for rate, worth in ((230, 0.22), (420, 0.45), (680, 0.66), (1100, 0.85), (1900, 1.0)):
        _add(ladder, "rung", rate=f"{rate}kB/s", worth=str(worth))
    classes = _add(root, "classes")
    _add(classes, "class", name="preview", path="/", aim="1500ms", deadline="5s")
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
        scale="1.2",
        seats="12",
        **{"set-up": "once"},
    )
    _add(
        root,
        "fleet",
        cells=str(hosts),
        racks=str(racks),
        link="9MB/s",
        places="32",
        uplink=f"{max(9, round(9 * hosts / racks * 0.72))}MB/s",
        **{"warm-within": "12s"},
    )
    _add(
        root,
        "rules",
        attempts="3",
        further="3",
        fall="3s",
        **{"drain-grace": "250ms", "fall-multiple": "3", "further-share": "0.2", "retry-after": "1s"},
    )
    _add(root, "reports", **{"told-every": "3s"})
    _add(root, "prices", probe="0.01")
    _add(root, "list", url="http://127.0.0.1:0/hosts", wait="2s", timeout="3s")
    _add(root, "limits", stall="4s", idle="30s", silence="2s", dead="6s", queue="256kB")
    shelf = _add(root, "titles")
    for n in range(titles):
        most = max(3, hosts // 12)
        title = _add(
            shelf,
            "title",
            path=f"/classes/{n + 1}",
            name=f"Film {n + 1}",
            length="30s",
            cell=str(rng.randrange(hosts)),
            holders=str(min(hosts, max(3, round(most / (n + 1) ** 0.5)))),
        )
        _add(title, "track", kind="video", codec="JPEG", clock="90000", **{"payload-type": "26"})
    lab = _add(root, "lab", **{"media-scale": "0.002", "list-late": "800ms"})
    for n in range(hosts):
        link = round(9000 * rng.uniform(0.85, 1.15))
        _add(lab, "host", name=f"streamer-{n + 1:03d}", cell=str(n), link=f"{link}kB/s")
    text: bytes = etree.tostring(root, pretty_print=True, xml_declaration=True, encoding="UTF-8")
    return text


def _add(parent: etree._Element, tag: str, **attributes: str) -> etree._Element:
    return etree.SubElement(parent, tag, attributes)
