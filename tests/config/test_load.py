"""Settings: all mistakes are reported at once with their lines, and valid settings become rules."""

from dataclasses import replace
from pathlib import Path

import pytest

from copperyard.config import SettingsError, load, parse
from copperyard.config.units import parse_duration, parse_rate_kb, parse_size
from copperyard.interface import Effect

PATH = Path(__file__).parent.parent.parent / "examples" / "caruso.xml"
GOOD = PATH.read_text()


def errors_of(*changes):
    text = GOOD
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    with pytest.raises(SettingsError) as caught:
        parse(text.encode(), "site.xml")
    return caught.value


def line_of(text):
    return GOOD[: GOOD.index(text)].count("\n") + 1


def test_example_becomes_the_settings_of_the_decision_module():
    site = load(str(PATH))
    settings = site.rules.settings
    assert settings.fronts == 3 and settings.rung_kb[1] == 420.0 and settings.drain_grace == 250_000_000
    paid = settings.classes[1]
    assert (paid.effect, paid.floor, paid.seats, paid.deadline) == (Effect.UNSAFE, 1, 6, 3 * 10**9)
    assert (
        site.rules_for("gw-2", 5).settings == replace(settings, rank_and_offset=(1, 5)) and len(site.catalogue()) == 12
    )
    assert site.lab is not None and site.lab.media_scale == 0.01


def test_units_are_converted():
    assert (parse_duration("250ms"), parse_duration("1.5s"), parse_duration("2min")) == (
        250_000_000,
        1_500_000_000,
        120 * 10**9,
    )
    assert (parse_rate_kb("700kB/s"), parse_rate_kb("1.5MB/s"), parse_size("64kB")) == (700.0, 1500.0, 64_000)


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ('aim="1500ms"', 'aim="1500"', "the value '1500' is not a number and ns, us, ms, s, min or h"),
        ('rate="230kB/s"', 'rate="230"', "the value '230' is not a number and B/s"),
        ('aim="1500ms"', 'aim="9s"', "aim '9s' is not above 0 and up to deadline '5s'"),
        ('floor="1"', 'floor="9"', "floor '9' is above the ladder's highest rung 4"),
        ('set-up="once"', 'set-up="repeatable"', "set-up must be 'once'"),
        ('rate="420kB/s"', 'rate="200kB/s"', "rate '200kB/s' does not rise"),
        ('name="gw-2"', 'name="gw-1"', "name 'gw-1' is already that of line"),
        ('name="preview"', 'name="code-viewing"', "already that of line"),
        ("<rules ", '<rules colour="red" ', "colour"),
        ('timeout="3s"', 'timeout="2s"', "timeout is not above wait"),
        ('url="http://127.0.0.1:0/hosts"', 'url="ftp://x"', "no http URL"),
        ('cell="5" holders', 'cell="99" holders', "cell '99' is not under the fleet's 12"),
        ('dead="3s"', 'dead="1s"', "dead is not above silence"),
        ('connect="250ms"', 'connect="3s"', "connect is not under every class's deadline"),
        ('name="streamer-02"', 'name="streamer-01"', "already that of line"),
        ('listen="127.0.0.1:0"', 'listen="127.0.0.1:99999"', "no port up to 65535"),
        ('listen="127.0.0.1:0"', 'listen="nowhere"', "the value 'nowhere' is not host:port"),
        ('path="/classes/1"', 'path="/classes/2"', "path '/classes/2' is already that of line"),
        ("<gateways>", '<gateways fronts="2">', "fronts 2 is under the 3"),
        ('<zone name="catania"/>', '<zone name="catania"/><zone name="catania"/>', "already that of line"),
    ],
)
def test_mistake_is_reported_with_its_line_and_value(old, new, expected):
    error = errors_of((old, new))
    assert any(expected in m.text for m in error.mistakes), str(error)
    assert str(error).startswith("site.xml:line ")
    assert any(abs(m.line - line_of(old)) <= 2 for m in error.mistakes)


def test_all_mistakes_are_reported_at_once():
    error = errors_of(('floor="1"', 'floor="9"'), ('holders="4"', 'holders="40"'), ('cell="11"/>', 'cell="12"/>'))
    assert len(error.mistakes) >= 3 and list(error.mistakes) == sorted(error.mistakes, key=lambda m: m.line)


@pytest.mark.parametrize("data", [b"", b"<copperyard>", b"<other/>", b"\xff\xfe", b"<copperyard/>"])
def test_documents_of_another_kind_are_rejected(data):
    with pytest.raises(SettingsError):
        parse(data)


def test_external_entities_are_not_resolved(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("hidden")
    text = GOOD.replace("<copperyard>", f'<!DOCTYPE copperyard [<!ENTITY x SYSTEM "file://{secret}">]>\n<copperyard>')
    text = text.replace("<zones>", "<zones>&x;")
    with pytest.raises(SettingsError) as caught:
        parse(text.encode())
    assert "hidden" not in str(caught.value)
