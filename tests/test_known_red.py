"""KNOWN-RED.txt: listed tests run, are expected to fail and are printed; anything else about the list is an error."""

from pathlib import Path

import pytest

from tests.known_red import KnownRedError, parse

ENTRY = """Faults that a test shows.

1. Sums are wrong.
   test: test_sums.py::test_sum
   command: pytest test_sums.py
   seed: none
   seen: 1 + 1 is 3
   issue: 7
"""
TESTS = """
import pytest

@pytest.mark.parametrize("value", [1, 2])
def test_sum(value):
    assert {}

def test_other():
    pass
"""


@pytest.fixture
def project(pytester, monkeypatch):
    """A project whose list has one entry."""
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makeini("[pytest]")
    (pytester.path / "KNOWN-RED.txt").write_text(ENTRY)

    def run(condition="value > 5", *arguments):
        pytester.makepyfile(test_sums=TESTS.format(condition))
        return pytester.runpytest_subprocess("-p", "tests.known_red", *arguments)

    monkeypatch.setenv("PYTHONPATH", str(Path(__file__).parents[1]))
    return run


def test_a_listed_test_that_fails_passes_the_run_and_is_printed(project):
    # guards against: a known fault that fails the run, or is hidden
    result = project()
    result.assert_outcomes(passed=1, xfailed=2)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*KNOWN-RED.txt*", "1. Sums are wrong. (2 failed as listed)", "*seen: 1 + 1 is 3"])


@pytest.mark.parametrize("condition", ["value > 0", "value > 1"])
def test_a_listed_test_that_passes_fails_the_run(project, condition):
    # guards against: an entry that stays after its fault was mended
    result = project(condition)
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*XPASS(strict)*"])


@pytest.mark.parametrize("test", ["test_sums.py::test_gone", "test_gone.py::test_sum"])
def test_a_listed_test_that_does_not_exist_is_an_error(project, pytester, test):
    # guards against: an entry that excuses nothing, as after a rename
    (pytester.path / "KNOWN-RED.txt").write_text(ENTRY.replace("test_sums.py::test_sum", test))
    result = project()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*entry 1: there is no test {test}"])


def test_a_part_of_the_tests_may_be_run(project):
    # guards against: an entry that is an error where its test was not asked for
    result = project("value > 5", "test_sums.py::test_other")
    assert result.ret == 0


@pytest.mark.parametrize("name", ["test", "command", "seed", "seen", "issue"])
def test_an_entry_without_a_field_is_an_error(name):
    # guards against: a known fault of which nobody knows how to see it
    lines = [line for line in ENTRY.splitlines() if not line.startswith(f"   {name}: ")]
    with pytest.raises(KnownRedError, match=f"entry 1: no {name}"):
        parse("\n".join(lines))


def test_a_list_without_entries_is_empty():
    assert parse("Faults that a test shows.\n") == []
