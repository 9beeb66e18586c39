"""RTSP messages (RFC 2326 sections 4 to 7) and interleaved binary frames (section 10.12)."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

VERSION = "RTSP/1.0"
_FRAME_HEADER = struct.Struct(">BBH")
FRAME_MARKER = 0x24

Headers = tuple[tuple[str, str], ...]

REASON_PHRASES = {
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


def reason_phrase(status: int) -> str:
    """Return the reason phrase of RFC 2326 section 7.1.1, or "Unknown"."""
    return REASON_PHRASES.get(status, "Unknown")


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; its name is case-insensitive (RFC 2326 section 4.2). None if absent."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class Request:
    """An RTSP request. `uri` is absolute or `*`, as received; `version` is the text after the last space."""

    method: str
    uri: str
    headers: Headers = ()
    body: bytes = b""
    version: str = VERSION

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if absent."""
        return find_header(self.headers, name)

    @property
    def cseq(self) -> int | None:
        """The CSeq number (section 12.17); None if it is missing or not a number of up to 9 digits."""
        text = self.header("CSeq")
        return int(text) if text is not None and text.isascii() and text.isdigit() and len(text) < 10 else None

    def encode(self) -> bytes:
        """Return the request as sent, with a Content-Length if there is a body."""
        return _encode_message(f"{self.method} {self.uri} {self.version}", self.headers, self.body)


@dataclass(frozen=True, slots=True)
class Response:
    """An RTSP response; an empty `reason` stands for the usual phrase of the status."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    reason: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if absent."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the response as sent, with a Content-Length if there is a body."""
        line = f"{VERSION} {self.status} {self.reason or reason_phrase(self.status)}"
        return _encode_message(line, self.headers, self.body)


@dataclass(frozen=True, slots=True)
class Frame:
    """An interleaved frame without its `$` header."""

    channel: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class FrameBatch:
    """Complete consecutive interleaved frames with their headers; the receiver may modify the bytes."""

    data: bytearray


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """Event: the peer's bytes cannot be parsed any further, so this is the last event.

    `status` is the status of the response that a server should send before it closes the connection.
    """

    status: int
    text: str


class HeaderError(ValueError):
    """A header value violates its grammar; `status` is the status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _encode_message(line: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    parts = [line, *(f"{name}: {_without_line_breaks(value)}" for name, value in headers)]
    if body:
        parts.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(parts) + "\r\n\r\n").encode("utf-8", "replace") + body


def _without_line_breaks(value: str) -> str:
    # a value from a peer must not be able to end its line and inject another header
    return value.translate({13: " ", 10: " ", 0: " "})


def frame_header(channel: int, size: int) -> bytes:
    """Return the four bytes before an interleaved frame of `size` bytes (0 to 65535)."""
    return _FRAME_HEADER.pack(FRAME_MARKER, channel, size)
