"""Pytest plugin: tests that KNOWN-RED.txt lists run, are expected to fail, and are printed at the end with their entry.

An entry begins with its number and what fails; its fields follow, indented, as `name: text`. `test` is the id of the
test as pytest prints it; without a parameter in brackets it stands for all of them. A listed test that passes fails the
run until its entry is removed; so does an entry without a field, or for a test that does not exist.
"""

from __future__ import annotations

import ast
import re
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")
ENTRIES = pytest.StashKey[list["KnownRed"]]()


class KnownRedError(ValueError):
    """The list is invalid; the text names the entry and the fault."""


@dataclass
class KnownRed:
    """One entry: the number and text of its first line, and its fields."""

    number: int
    title: str
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def test(self) -> str:
        """The id of the test."""
        return self.fields["test"]

    def lists(self, node_id: str) -> bool:
        """Whether a test is the one that the entry lists, or one of its parameters."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownRed]:
    """The entries of a list; raises KnownRedError if one lacks a field."""
    entries: list[KnownRed] = []
    for line in text.splitlines():
        start, named = re.match(r"(\d+)\. (.+)", line), re.match(r" +(\w+): (.+)", line)
        if start:
            entries.append(KnownRed(int(start[1]), start[2]))
        elif named and entries:
            entries[-1].fields[named[1]] = named[2].strip()
    for entry in entries:
        missing = [name for name in FIELDS if name not in entry.fields]
        if missing:
            raise KnownRedError(f"{FILE_NAME}, entry {entry.number}: no {', '.join(missing)}")
    return entries


def check_test_exists(entry: KnownRed, root: Path) -> None:
    """Raise KnownRedError if no function of that name is in the file that the entry names."""
    path, _, name = entry.test.partition("::")
    function = name.rpartition("::")[2].partition("[")[0]
    file = root / path
    nodes = ast.walk(ast.parse(file.read_text())) if file.is_file() else ()
    if not any(isinstance(one, ast.FunctionDef | ast.AsyncFunctionDef) and one.name == function for one in nodes):
        raise KnownRedError(f"{FILE_NAME}, entry {entry.number}: there is no test {entry.test}")


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; an invalid one ends the run."""
    file = config.rootpath / FILE_NAME
    try:
        entries = parse(file.read_text()) if file.is_file() else []
        for entry in entries:
            check_test_exists(entry, config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[ENTRIES] = entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    for item in items:
        for entry in config.stash[ENTRIES]:
            if entry.lists(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{FILE_NAME}, entry {entry.number}", strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Print each entry with the outcomes of its tests."""
    if not config.stash[ENTRIES]:
        return
    terminalreporter.section(FILE_NAME)
    failed = [report.nodeid for report in terminalreporter.stats.get("xfailed", [])]
    for entry in config.stash[ENTRIES]:
        count = sum(entry.lists(node_id) for node_id in failed)
        terminalreporter.line(f"{entry.number}. {entry.title} ({count} failed as listed)")
        for name in FIELDS:
            terminalreporter.line(f"   {name}: {entry.fields[name]}")
