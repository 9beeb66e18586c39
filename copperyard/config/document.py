"""Reads an XML document against its schema, and says what is wrong and where."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lxml import etree


@dataclass(frozen=True, slots=True)
class Mistake:
    """One thing that is wrong, and where."""

    line: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


class BadSettings(ValueError):
    """The settings cannot be used; `mistakes` holds all that was found, in the order of the lines."""

    def __init__(self, name: str, mistakes: Iterable[Mistake]) -> None:
        self.mistakes = tuple(sorted(mistakes, key=lambda m: m.line))
        super().__init__("\n".join(f"{name}:{m}" for m in self.mistakes))


def read_document(data: bytes, name: str, schema: etree.XMLSchema, words: Callable[[str], str] = str) -> etree._Element:
    """The root of a document that its schema has passed; BadSettings else. `words` puts a schema's message as an
    operator reads it."""
    # no entities and no network: a document must not be able to read other files
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise BadSettings(name, [Mistake(error.lineno or 1, str(error.msg))]) from None
    if root.getroottree().docinfo.doctype:
        raise BadSettings(name, [Mistake(1, "a document type is not allowed: it could hold entities")])
    if not schema.validate(root):
        raise BadSettings(name, [Mistake(e.line, words(e.message)) for e in schema.error_log])
    return root
