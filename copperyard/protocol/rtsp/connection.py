"""One RTSP connection as a state machine that takes bytes and returns events, for either side.

Both sides may send requests (RFC 2326 section 10), so there is one class for both. The events do not depend on how
the bytes were split into reads. No buffer grows beyond `Limits`.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .messages import (
    FRAME_MARKER,
    VERSION,
    Frame,
    FrameBatch,
    Headers,
    MalformedInput,
    Request,
    Response,
    frame_header,
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a peer may send.

    `line`: bytes of a line; `headers`: header lines of a message; `body` and `frame`: bytes of a body and of an
    interleaved frame; `pending`: requests of this side that may wait for their response.
    """

    line: int
    headers: int
    body: int
    frame: int
    pending: int


@dataclass(frozen=True, slots=True)
class MatchedResponse:
    """A response, with the number and method of the request of this side that it answers."""

    cseq: int
    method: str
    response: Response


@dataclass(frozen=True, slots=True)
class UnsolicitedResponse:
    """A provisional response, or one whose CSeq belongs to no pending request."""

    response: Response


Event = Request | MatchedResponse | UnsolicitedResponse | Frame | FrameBatch | MalformedInput


class Connection:
    """Parses what the peer sends and numbers the requests of this side.

    Optionally, complete interleaved frames that follow each other in the buffer come as one event and not as a Frame
    each, so that a relay looks at each of them only once.
    """

    def __init__(self, limits: Limits, batch_frames: bool = False) -> None:
        self.limits, self.batch_frames = limits, batch_frames
        self.failed = False
        self._data = bytearray()
        self._scanned = 0  # bytes of _data already searched for a line end
        self._head: list[bytes] = []
        self._message: Request | Response | None = None
        self._body_size = 0
        self._next_cseq = 1
        self._pending: OrderedDict[int, str] = OrderedDict()

    # ---- sending

    @property
    def pending(self) -> int:
        """Number of requests of this side without a response."""
        return len(self._pending)

    def make_request(self, method: str, uri: str, headers: Headers = (), body: bytes = b"") -> tuple[int, bytes]:
        """Encode a request of this side; returns its CSeq and bytes. RuntimeError beyond `Limits.pending`."""
        if len(self._pending) >= self.limits.pending:
            raise RuntimeError("too many requests without a response")
        cseq, self._next_cseq = self._next_cseq, self._next_cseq + 1
        self._pending[cseq] = method
        return cseq, Request(method, uri, (("CSeq", str(cseq)), *headers), body).encode()

    @staticmethod
    def encode_response(request: Request, response: Response) -> bytes:
        """Encode a response with the request's CSeq (section 12.17)."""
        number = request.cseq
        cseq: Headers = (("CSeq", str(number)),) if number is not None else ()
        return Response(response.status, cseq + response.headers, response.body, response.reason).encode()

    @staticmethod
    def encode_frame(channel: int, payload: bytes) -> bytes:
        """Encode an interleaved frame (section 10.12)."""
        return frame_header(channel, len(payload)) + payload

    # ---- receiving

    def receive(self, data: bytes) -> list[Event]:
        """Parse bytes from the peer; returns the events that they complete, in order.

        After the event for malformed input there is never another one.
        """
        events: list[Event] = []
        if self.failed:
            return events
        self._data += data
        offset = 0
        buffer = self._data
        try:
            while True:
                if self._message is not None:
                    if len(buffer) - offset < self._body_size:
                        break
                    events.append(self._finish_message(bytes(buffer[offset : offset + self._body_size])))
                    offset += self._body_size
                    self._body_size = self._scanned = 0
                elif self.batch_frames and not self._head and offset < len(buffer) and buffer[offset] == FRAME_MARKER:
                    end = self._batch_end(offset)
                    if end == offset:
                        break
                    events.append(FrameBatch(buffer[offset:end]))
                    offset = end
                    self._scanned = 0
                elif not self._head and offset < len(buffer) and buffer[offset] == FRAME_MARKER:
                    if len(buffer) - offset < 4:
                        break
                    size = buffer[offset + 2] << 8 | buffer[offset + 3]
                    if size > self.limits.frame:
                        raise _ParseError(413, f"an interleaved frame of {size} bytes is over {self.limits.frame}")
                    if len(buffer) - offset < 4 + size:
                        break
                    events.append(Frame(buffer[offset + 1], bytes(buffer[offset + 4 : offset + 4 + size])))
                    offset += 4 + size
                    self._scanned = 0
                else:
                    end = buffer.find(b"\n", offset + self._scanned)
                    if end < 0:
                        # the line may still end in CR LF, so only a longer one is certainly over the limit
                        if len(buffer) - offset > self.limits.line + 1:
                            raise _ParseError(
                                414 if not self._head else 400, f"a line is over {self.limits.line} bytes"
                            )
                        self._scanned = len(buffer) - offset
                        break
                    line = bytes(buffer[offset:end]).removesuffix(b"\r")
                    offset = end + 1
                    self._scanned = 0
                    if len(line) > self.limits.line:
                        raise _ParseError(414 if not self._head else 400, f"a line is over {self.limits.line} bytes")
                    self._add_line(line)
        except _ParseError as error:
            events.append(MalformedInput(error.status, str(error)))
            self.failed = True
            offset = len(buffer)
        del buffer[:offset]
        return events

    def _batch_end(self, offset: int) -> int:
        """Return the end of the complete frames that start at `offset`."""
        buffer, size, limit = self._data, len(self._data), self.limits.frame
        while offset + 4 <= size and buffer[offset] == FRAME_MARKER:
            length = buffer[offset + 2] << 8 | buffer[offset + 3]
            if length > limit:
                raise _ParseError(413, f"an interleaved frame of {length} bytes is over {limit}")
            if offset + 4 + length > size:
                break
            offset += 4 + length
        return offset

    def _add_line(self, line: bytes) -> None:
        if line:
            if len(self._head) > self.limits.headers:
                raise _ParseError(400, f"a message has more than {self.limits.headers} header lines")
            self._head.append(line)
        elif self._head:
            head, self._head = self._head, []
            self._message, self._body_size = _parse_head(head, self.limits)
        # an empty line before a message is skipped, as in HTTP/1.1 (RFC 2068 section 4.1)

    def _finish_message(self, body: bytes) -> Event:
        message, self._message = self._message, None
        if isinstance(message, Request):
            return Request(message.method, message.uri, message.headers, body, message.version)
        assert message is not None
        response = Response(message.status, message.headers, body, message.reason)
        text = response.header("CSeq") or ""
        cseq = int(text) if text.isascii() and text.isdigit() and len(text) < 10 else -1
        if cseq not in self._pending or response.status < 200:
            return UnsolicitedResponse(response)
        return MatchedResponse(cseq, self._pending.pop(cseq), response)


class _ParseError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


_TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


def _is_token(data: bytes) -> bool:
    return bool(data) and _TOKEN_BYTES.issuperset(data)


def _decode_text(data: bytes) -> str:
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError:
        raise _ParseError(400, "a header section is not UTF-8") from None
    if any(c < " " and c != "\t" or c == "\x7f" for c in text):
        raise _ParseError(400, "a header section contains a control character")
    return text


def _parse_head(head: list[bytes], limits: Limits) -> tuple[Request | Response, int]:
    """Parse start line and headers; returns the message without its body, and the size of the body in bytes."""
    headers = _parse_headers(head[1:])
    line = head[0]
    message: Request | Response
    if line.startswith(b"RTSP/"):
        parts = line.split(b" ", 2)
        if len(parts) < 2 or len(parts[1]) != 3 or not parts[1].isdigit():
            raise _ParseError(400, "a status line without a three-digit status")
        message = Response(int(parts[1]), headers, b"", _decode_text(parts[2]) if len(parts) > 2 else "")
    else:
        parts = line.split(b" ")
        if len(parts) != 3 or not _is_token(parts[0]) or not parts[1] or not parts[2].startswith(b"RTSP/"):
            raise _ParseError(400, "a request line that is not METHOD URI RTSP/1.0")
        message = Request(_decode_text(parts[0]), _decode_text(parts[1]), headers, b"", _decode_text(parts[2]))
    return message, _body_length(headers, limits)


def _parse_headers(lines: list[bytes]) -> Headers:
    headers: list[tuple[str, str]] = []
    for line in lines:
        if line[0] in b" \t":  # folded line: continues the value before it (RFC 2068 section 4.2)
            if not headers:
                raise _ParseError(400, "the first header line is a folded line")
            name, value = headers[-1]
            headers[-1] = (name, f"{value} {_decode_text(line.strip())}".strip())
            continue
        raw_name, colon, rest = line.partition(b":")
        if not colon or not _is_token(raw_name.rstrip()):
            raise _ParseError(400, "a header line without a name and a colon")
        headers.append((_decode_text(raw_name.rstrip()), _decode_text(rest.strip())))
    return tuple(headers)


def _body_length(headers: Headers, limits: Limits) -> int:
    values = {value for name, value in headers if name.lower() == "content-length"}
    if not values:
        return 0
    if len(values) > 1:
        raise _ParseError(400, "Content-Length headers that differ")
    (text,) = values
    if not (text.isascii() and text.isdigit()):
        raise _ParseError(400, "Content-Length is not a number")
    if len(text) > 12 or int(text) > limits.body:
        raise _ParseError(413, f"a body is over {limits.body} bytes")
    return int(text)


def is_supported_version(request: Request) -> bool:
    """Whether a request has the protocol version that is implemented here."""
    return request.version == VERSION
