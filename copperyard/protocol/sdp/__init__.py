"""Session descriptions (SDP: RFC 4566, and RFC 2326 appendix C for RTSP), without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

Attributes = tuple[tuple[str, str], ...]


class SdpError(ValueError):
    """The text is not a session description; the message names the line."""


@dataclass(frozen=True, slots=True)
class Media:
    """A media section: kind (`video`, `audio`), port, profile, payload types, attributes, bandwidth in kbit/s."""

    kind: str
    port: int
    profile: str
    formats: tuple[str, ...]
    attributes: Attributes = ()
    bandwidth: int | None = None

    def get(self, name: str) -> str | None:
        """Return the first attribute of that name, None if absent."""
        return _find_attribute(self.attributes, name)


@dataclass(frozen=True, slots=True)
class Description:
    """A session description. `origin` is session id and version, `address` that of the connection line."""

    name: str
    origin: tuple[int, int] = (0, 0)
    address: str = "0.0.0.0"
    attributes: Attributes = ()
    media: tuple[Media, ...] = ()

    def get(self, name: str) -> str | None:
        """Return the first session attribute of that name, None if absent."""
        return _find_attribute(self.attributes, name)

    def encode(self) -> bytes:
        """Return the description as text with CR LF line ends."""
        lines = [
            "v=0",
            f"o=- {self.origin[0]} {self.origin[1]} IN IP4 {self.address}",
            f"s={self.name or '-'}",
            f"c=IN IP4 {self.address}",
            "t=0 0",
            *_attribute_lines(self.attributes),
        ]
        for section in self.media:
            lines.append(f"m={section.kind} {section.port} {section.profile} {' '.join(section.formats)}")
            if section.bandwidth is not None:
                lines.append(f"b=AS:{section.bandwidth}")
            lines += _attribute_lines(section.attributes)
        return ("\r\n".join(lines) + "\r\n").encode()


def _find_attribute(attributes: Attributes, name: str) -> str | None:
    return next((value for key, value in attributes if key == name), None)


def _attribute_lines(attributes: Attributes) -> list[str]:
    return [f"a={key}:{value}" if value else f"a={key}" for key, value in attributes]


def parse(data: bytes, limit: int = 200) -> Description:
    """Parse a description of at most `limit` lines; SdpError says what is wrong.

    Lines of types that are not used here are ignored.
    """
    try:
        lines = data.decode("utf-8").replace("\r\n", "\n").rstrip("\n").split("\n")
    except UnicodeDecodeError:
        raise SdpError("not UTF-8") from None
    if len(lines) > limit:
        raise SdpError(f"more than {limit} lines")
    if lines[0] != "v=0":
        raise SdpError("line 1: expected v=0")
    name, address, origin = "", "0.0.0.0", (0, 0)
    session: list[tuple[str, str]] = []
    media: list[tuple[Media, list[tuple[str, str]], list[int]]] = []
    for number, line in enumerate(lines[1:], 2):
        kind, equal, value = line[:1], line[1:2], line[2:]
        if equal != "=" or not kind.isalpha():
            raise SdpError(f"line {number}: expected x=value")
        if kind == "s":
            name = value
        elif kind == "o":
            origin = _parse_origin(value, number)
        elif kind == "c" and not media:
            address = value.split(" ")[-1].split("/")[0]
        elif kind == "b" and media and re.fullmatch("AS:[0-9]{1,9}", value):
            media[-1][2].append(int(value[3:]))
        elif kind == "a":
            key, _, rest = value.partition(":")
            (media[-1][1] if media else session).append((key, rest))
        elif kind == "m":
            media.append((_parse_media(value, number), [], []))
    sections = tuple(Media(m.kind, m.port, m.profile, m.formats, tuple(a), b[0] if b else None) for m, a, b in media)
    return Description(name, origin, address, tuple(session), sections)


def _parse_origin(value: str, number: int) -> tuple[int, int]:
    parts = value.split(" ")
    if len(parts) != 6 or not (parts[1].isdigit() and parts[2].isdigit()):
        raise SdpError(f"line {number}: an origin has six fields")
    return int(parts[1][:18]), int(parts[2][:18])


def _parse_media(value: str, number: int) -> Media:
    parts = value.split(" ")
    port = parts[1].split("/")[0] if len(parts) > 3 else ""
    if len(parts) < 4 or not port.isdigit() or int(port) > 65535:
        raise SdpError(f"line {number}: media needs kind, port, profile and formats")
    return Media(parts[0], int(port), parts[2], tuple(parts[3:]))
