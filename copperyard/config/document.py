"""Reads and validates an XML document; reports each mistake with its line."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lxml import etree


@dataclass(frozen=True, slots=True)
class Mistake:
    """A mistake in a document, with its line."""

    line: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


class SettingsError(ValueError):
    """The settings cannot be used; `mistakes` holds all mistakes found, ordered by line."""

    def __init__(self, name: str, mistakes: Iterable[Mistake]) -> None:
        self.mistakes = tuple(sorted(mistakes, key=lambda m: m.line))
        super().__init__("\n".join(f"{name}:{m}" for m in self.mistakes))


def read_document(
    data: bytes, name: str, schema: etree.XMLSchema, reword: Callable[[str], str] = str
) -> etree._Element:
    """Parse and validate a document and return its root; raises an error with all mistakes.

    `reword` turns a message of the schema validator into one for operators.
    """
    # no entities and no network access: a document must not be able to read other files
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError(name, [Mistake(error.lineno or 1, str(error.msg))]) from None
    if root.getroottree().docinfo.doctype:
        raise SettingsError(name, [Mistake(1, "a document type declaration is not allowed: it could define entities")])
    if not schema.validate(root):
        raise SettingsError(name, [Mistake(e.line, reword(e.message)) for e in schema.error_log])
    return root
