"""RTSP messages (RFC 2326 sections 4 to 7) and interleaved binary frames (section 10.12)."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

VERSION = "RTSP/1.0"
_FRAME = struct.Struct(">BBH")
DOLLAR = 0x24

Headers = tuple[tuple[str, str], ...]

REASONS = {
    100: "Continue",
    200: "OK",
    301: "Moved Permanently",
    302: "Moved Temporarily",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    402: "Payment Required",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Time-out",
    410: "Gone",
    411: "Length Required",
    412: "Precondition Failed",
    413: "Request Entity Too Large",
    414: "Request-URI Too Large",
    415: "Unsupported Media Type",
    451: "Parameter Not Understood",
    453: "Not Enough Bandwidth",
    454: "Session Not Found",
    455: "Method Not Valid in This State",
    456: "Header Field Not Valid for Resource",
    457: "Invalid Range",
    458: "Parameter Is Read-Only",
    459: "Aggregate Operation Not Allowed",
    460: "Only Aggregate Operation Allowed",
    461: "Unsupported Transport",
    462: "Destination Unreachable",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Time-out",
    505: "RTSP Version Not Supported",
    551: "Option Not Supported",
}


def reason(status: int) -> str:
    """The reason phrase of RFC 2326 section 7.1.1, or a general one for an unknown status."""
    return REASONS.get(status, "Unknown")


def find(headers: Headers, name: str) -> str | None:
    """The first value of a header, whatever the case of its name (RFC 2326 section 4.2); None if absent."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class Request:
    """One request. `uri` is as it came: absolute, or `*`. `version` is the text after the last space."""

    method: str
    uri: str
    headers: Headers = ()
    body: bytes = b""
    version: str = VERSION

    def header(self, name: str) -> str | None:
        return find(self.headers, name)

    @property
    def cseq(self) -> int | None:
        """The CSeq number, None where it is missing or no number of up to 9 digits (section 12.17)."""
        text = self.header("CSeq")
        return int(text) if text is not None and text.isascii() and text.isdigit() and len(text) < 10 else None

    def encode(self) -> bytes:
        return _encode(f"{self.method} {self.uri} {self.version}", self.headers, self.body)


@dataclass(frozen=True, slots=True)
class Response:
    """One response."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    reason: str = ""

    def header(self, name: str) -> str | None:
        return find(self.headers, name)

    def encode(self) -> bytes:
        line = f"{VERSION} {self.status} {self.reason or reason(self.status)}"
        return _encode(line, self.headers, self.body)


@dataclass(frozen=True, slots=True)
class Frame:
    """One interleaved frame: what a `$` header announced."""

    channel: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Run:
    """Whole interleaved frames that followed each other, with their headers; its owner may change the bytes."""

    data: bytearray


@dataclass(frozen=True, slots=True)
class Malformed:
    """The peer's bytes cannot be followed any further; nothing comes after this. `status` is what a server
    should answer before it closes."""

    status: int
    text: str


class BadHeader(ValueError):
    """A header's value is not what its grammar says; `status` is the response that fits."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _encode(line: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    parts = [line, *(f"{name}: {_clean(value)}" for name, value in headers)]
    if body:
        parts.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(parts) + "\r\n\r\n").encode("utf-8", "replace") + body


def _clean(value: str) -> str:
    # a value that came from a peer must not be able to end its line and start another header
    return value.translate({13: " ", 10: " ", 0: " "})


def frame_header(channel: int, size: int) -> bytes:
    """The four bytes before an interleaved frame of `size` bytes (0 to 65535)."""
    return _FRAME.pack(DOLLAR, channel, size)
