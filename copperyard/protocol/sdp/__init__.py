"""Session descriptions (RFC 4566, and RFC 2326 appendix C for RTSP), without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

Attributes = tuple[tuple[str, str], ...]


class BadDescription(ValueError):
    """The text is no session description; the message names the line."""


@dataclass(frozen=True, slots=True)
class Media:
    """One media section: kind (`video`, `audio`), port, profile, payload types, attributes."""

    kind: str
    port: int
    profile: str
    formats: tuple[str, ...]
    attributes: Attributes = ()
    bandwidth: int | None = None

    def get(self, name: str) -> str | None:
        return _get(self.attributes, name)


@dataclass(frozen=True, slots=True)
class Description:
    """A description. `origin` is the session id and version; `address` of the connection line."""

    name: str
    origin: tuple[int, int] = (0, 0)
    address: str = "0.0.0.0"
    attributes: Attributes = ()
    media: tuple[Media, ...] = ()

    def get(self, name: str) -> str | None:
        return _get(self.attributes, name)

    def encode(self) -> bytes:
        lines = [
            "v=0",
            f"o=- {self.origin[0]} {self.origin[1]} IN IP4 {self.address}",
            f"s={self.name or '-'}",
            f"c=IN IP4 {self.address}",
            "t=0 0",
            *_lines(self.attributes),
        ]
        for one in self.media:
            lines.append(f"m={one.kind} {one.port} {one.profile} {' '.join(one.formats)}")
            if one.bandwidth is not None:
                lines.append(f"b=AS:{one.bandwidth}")
            lines += _lines(one.attributes)
        return ("\r\n".join(lines) + "\r\n").encode()


def _get(attributes: Attributes, name: str) -> str | None:
    return next((value for key, value in attributes if key == name), None)


def _lines(attributes: Attributes) -> list[str]:
    return [f"a={key}:{value}" if value else f"a={key}" for key, value in attributes]


def parse(data: bytes, limit: int = 200) -> Description:
    """Read a description of at most `limit` lines. BadDescription names what is wrong; lines of kinds that are
    not used here are passed over."""
    try:
        lines = data.decode("utf-8").replace("\r\n", "\n").rstrip("\n").split("\n")
    except UnicodeDecodeError:
        raise BadDescription("not UTF-8") from None
    if len(lines) > limit:
        raise BadDescription(f"more than {limit} lines")
    if lines[0] != "v=0":
        raise BadDescription("line 1: not v=0")
    name, address, origin = "", "0.0.0.0", (0, 0)
    session: list[tuple[str, str]] = []
    media: list[tuple[Media, list[tuple[str, str]], list[int]]] = []
    for number, line in enumerate(lines[1:], 2):
        kind, equal, value = line[:1], line[1:2], line[2:]
        if equal != "=" or not kind.isalpha():
            raise BadDescription(f"line {number}: not of the form x=value")
        if kind == "s":
            name = value
        elif kind == "o":
            origin = _origin(value, number)
        elif kind == "c" and not media:
            address = value.split(" ")[-1].split("/")[0]
        elif kind == "b" and media and re.fullmatch("AS:[0-9]{1,9}", value):
            media[-1][2].append(int(value[3:]))
        elif kind == "a":
            key, _, rest = value.partition(":")
            (media[-1][1] if media else session).append((key, rest))
        elif kind == "m":
            media.append((_media(value, number), [], []))
    sections = tuple(Media(m.kind, m.port, m.profile, m.formats, tuple(a), b[0] if b else None) for m, a, b in media)
    return Description(name, origin, address, tuple(session), sections)


def _origin(value: str, number: int) -> tuple[int, int]:
    parts = value.split(" ")
    if len(parts) != 6 or not (parts[1].isdigit() and parts[2].isdigit()):
        raise BadDescription(f"line {number}: an origin has six fields")
    return int(parts[1][:18]), int(parts[2][:18])


def _media(value: str, number: int) -> Media:
    parts = value.split(" ")
    port = parts[1].split("/")[0] if len(parts) > 3 else ""
    if len(parts) < 4 or not port.isdigit() or int(port) > 65535:
        raise BadDescription(f"line {number}: media needs kind, port, profile and formats")
    return Media(parts[0], int(port), parts[2], tuple(parts[3:]))
