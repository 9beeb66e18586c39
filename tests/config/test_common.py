"""The settings of what gateways decide in common: every mistake is told with its line."""

from pathlib import Path

import pytest

from copperyard.config import BadSettings, parse

PATH = Path(__file__).parent.parent.parent / "examples" / "sites.xml"
GOOD = PATH.read_text()


def mistakes(*changes):
    text = GOOD
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    with pytest.raises(BadSettings) as caught:
        parse(text.encode(), "site.xml")
    return [(m.line, m.text) for m in caught.value.mistakes]


def common_of(text):
    common = parse(text.encode()).common
    assert common is not None
    return common


def line_of(text):
    return GOOD[: GOOD.index(text)].count("\n") + 1


@pytest.mark.parametrize(
    ("changes", "at", "words"),
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
def test_a_mistake_is_told_with_its_line(changes, at, words):
    found = mistakes(*changes)
    assert [line for line, text in found if words in text] == [line_of(at)], found


def test_a_zone_that_lists_its_ways_has_no_others_and_needs_one():
    found = mistakes(('dwell="4s"/>', 'dwell="4s"><way from="catania" to="roma"/></common>'))
    assert not any("no way out" in text for _, text in found)
    way = '<way from="catania" to="milano" distance="2"/>'
    common = common_of(GOOD.replace('dwell="4s"/>', f'dwell="4s">{way}</common>'))
    assert common.terms.prices[0] == (0.0, -1.0, 2.0, -1.0, -1.0)
    assert common.terms.prices[1] == (1.0, 0.0, 3.0, 3.0, 3.0)


def test_links_need_the_common_part():
    with pytest.raises(BadSettings, match="need a <common>"):
        parse(GOOD.replace(GOOD[GOOD.index("  <common") : GOOD.index("  <titles>")], "").encode())


def test_the_digest_is_of_what_all_must_agree_on_and_of_nothing_else():
    common = common_of(GOOD)
    assert common.voters == ("ct-1", "mi-1", "ty-1")
    moved = common_of(GOOD.replace('peers="127.0.0.1:7403"', 'peers="127.0.0.1:7503" reach="127.0.0.1:7603"'))
    assert moved.fleet == common.fleet and moved.reach["ct-3"] == "127.0.0.1:7603"
    assert common_of(GOOD.replace('reserve="0.1"', 'reserve="0.2"')).fleet != common.fleet


def test_what_a_session_lasts_and_asks_comes_from_the_settings():
    common = common_of(GOOD)
    assert common.lengths == (20_000_000_000,) * 2
    assert common.terms.loads == (230.0, 420.0)


def voting(count):
    """The example with so many voters, the first that there are; line of the last."""
    found, marked = [], 0
    for line in GOOD.splitlines():
        if "<gateway " in line and "zone=" in line:
            line = line.replace(' votes="yes"', "")
            if marked < count:
                marked += 1
                line = line.replace(' peers="', ' votes="yes" peers="', 1)
        found.append(line)
    assert marked == count
    return "\n".join(found).encode()


def test_nine_may_vote_and_the_tenth_and_more_are_told():
    assert len(common_of(voting(9).decode()).voters) == 9
    with pytest.raises(BadSettings, match="is voter 11: more than 9"):
        parse(voting(11))


def test_a_site_of_more_gateways_than_the_plan_of_two_years_is_taken_and_there_is_a_bound():
    one = '      <gateway name="more-{0}" zone="catania" listen="127.0.0.1:0" peers="127.1.{1}.{2}:7400"/>'
    end = next(line for line in GOOD.splitlines() if "</gateways>" in line)

    def text(count):
        more = "\n".join(one.format(n, n // 200, n % 200 + 1) for n in range(count - 12))
        return GOOD.replace(end, f"{more}\n{end}", 1).encode()

    assert len(parse(text(7400)).gateways) == 7400
    with pytest.raises(BadSettings, match="not expected"):
        parse(text(16385))
