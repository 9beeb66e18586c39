"""The settings of what gateways decide in common: every mistake is reported with its line."""

from pathlib import Path

import pytest

from copperyard.config import SettingsError, parse

PATH = Path(__file__).parent.parent.parent / "examples" / "sites.xml"
GOOD = PATH.read_text()


def mistakes_of(*changes):
    text = GOOD
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    with pytest.raises(SettingsError) as caught:
        parse(text.encode(), "site.xml")
    return [(m.line, m.text) for m in caught.value.mistakes]


def parse_common(text):
    common = parse(text.encode()).common
    assert common is not None
    return common


def line_of(text):
    return GOOD[: GOOD.index(text)].count("\n") + 1


@pytest.mark.parametrize(
    ("changes", "marker", "expected"),
    [
        (
            [
                (
                    'name="pa-1" zone="palermo" listen="127.0.0.1:0" peers="127.0.0.1:7404"',
                    'name="pa-1" zone="palermo" listen="127.0.0.1:0" peers="127.0.0.1:7404" votes="yes"',
                )
            ],
            '"ty-1"',
            "is voter 4: an even council stands no more deaths than one of 3",
        ),
        (
            [
                ('peers="127.0.0.1:7406" votes="yes"', 'peers="127.0.0.1:7406"'),
                ('peers="127.0.0.1:7402"', 'peers="127.0.0.1:7402" votes="yes"'),
            ],
            '"ct-2"',
            "votes as number 2 of 3 in zone 'catania': the council would be lost with that zone",
        ),
        (
            [('dwell="4s"/>', 'dwell="4s"><way from="catania" to="roma"/></common>')],
            "<common",
            "zone 'roma' is none of catania, palermo",
        ),
        ([('dwell="4s"/>', 'dwell="4s"><way from="catania" to="catania"/></common>')], "<common", "to itself"),
        ([(' peers="127.0.0.1:7403"', "")], '"ct-3"', "no peers"),
        ([("127.0.0.1:7403", "0.0.0.0:7403")], '"ct-3"', "listens on every address"),
        ([("127.0.0.1:7403", "127.0.0.1:7402")], '"ct-3"', "is already that of 'ct-2'"),
        ([('region="east"', 'region="east" demand="900MB/s"')], 'name="taoyuan"', "its hosts give 7200kB/s"),
        ([('holds="10s"', 'holds="3s"')], "<common", "plans would run out where nothing is lost but a leader"),
        ([('period="1s"', 'period="500ms"')], "<common", "answer '400ms' is over half of period '500ms'"),
        ([('store="folder"', 'store="folder" elect-least="500ms"')], "<common", "under three times heart"),
        ([('store="folder"', 'store="folder" elect-most="1600ms"')], "<common", "one and a half times elect-least"),
        ([('store="folder"', 'store="folder" drift="0.5"')], "<common", "no lease could be kept"),
        ([(' votes="yes"', ""), (' votes="yes"', ""), (' votes="yes"', "")], "<common", "no gateway votes"),
    ],
)
def test_mistake_is_reported_with_its_line(changes, marker, expected):
    found = mistakes_of(*changes)
    assert [line for line, text in found if expected in text] == [line_of(marker)], found


def test_zone_that_lists_ways_has_only_these():
    found = mistakes_of(('dwell="4s"/>', 'dwell="4s"><way from="catania" to="roma"/></common>'))
    assert not any("no way out" in text for _, text in found)
    way = '<way from="catania" to="milano" distance="2"/>'
    common = parse_common(GOOD.replace('dwell="4s"/>', f'dwell="4s">{way}</common>'))
    assert common.terms.prices[0] == (0.0, -1.0, 2.0, -1.0, -1.0)
    assert common.terms.prices[1] == (1.0, 0.0, 3.0, 3.0, 3.0)


def test_links_need_the_common_element():
    with pytest.raises(SettingsError, match="need a <common>"):
        parse(GOOD.replace(GOOD[GOOD.index("  <common") : GOOD.index("  <titles>")], "").encode())


def test_digest_covers_only_what_all_must_agree_on():
    common = parse_common(GOOD)
    assert common.voters == ("ct-1", "mi-1", "ty-1")
    moved = parse_common(GOOD.replace('peers="127.0.0.1:7403"', 'peers="127.0.0.1:7503" reach="127.0.0.1:7603"'))
    assert moved.digest == common.digest and moved.dial_addresses["ct-3"] == "127.0.0.1:7603"
    assert parse_common(GOOD.replace('reserve="0.1"', 'reserve="0.2"')).digest != common.digest


def test_session_lengths_and_loads_come_from_the_settings():
    common = parse_common(GOOD)
    assert common.session_lengths == (20_000_000_000,) * 2
    assert common.terms.loads == (230.0, 420.0)


def with_voters(count):
    """The example with its first `count` gateways as voters."""
    lines, marked = [], 0
    for line in GOOD.splitlines():
        if "<gateway " in line and "zone=" in line:
            line = line.replace(' votes="yes"', "")
            if marked < count:
                marked += 1
                line = line.replace(' peers="', ' votes="yes" peers="', 1)
        lines.append(line)
    assert marked == count
    return "\n".join(lines).encode()


def test_nine_voters_are_accepted_and_eleven_rejected():
    assert len(parse_common(with_voters(9).decode()).voters) == 9
    with pytest.raises(SettingsError, match="is voter 11: more than 9"):
        parse(with_voters(11))


def test_7400_gateways_are_accepted_and_16385_rejected():
    # 7400 is more than the site plans to have in two years; the schema allows 16384
    one = '      <gateway name="more-{0}" zone="catania" listen="127.0.0.1:0" peers="127.1.{1}.{2}:7400"/>'
    end = next(line for line in GOOD.splitlines() if "</gateways>" in line)

    def text(count):
        more = "\n".join(one.format(n, n // 200, n % 200 + 1) for n in range(count - 12))
        return GOOD.replace(end, f"{more}\n{end}", 1).encode()

    assert len(parse(text(7400)).gateways) == 7400
    with pytest.raises(SettingsError, match="not expected"):
        parse(text(16385))
