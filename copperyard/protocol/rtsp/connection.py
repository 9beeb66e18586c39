"""One RTSP connection as a state machine: bytes in, events out, for either side of it.

Both sides may send requests (RFC 2326 section 10), so there is one class for both. What comes out does not
depend on how the bytes were split. Nothing here grows past `Limits`.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .messages import (
    DOLLAR,
    VERSION,
    Frame,
    Headers,
    Malformed,
    Request,
    Response,
    Run,
    frame_header,
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a peer may send: bytes of a line, lines of a head, bytes of a body and of an interleaved
    frame, and requests of ours that may wait for their response."""

    line: int
    headers: int
    body: int
    frame: int
    pending: int


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request that this side sent as `cseq`."""

    cseq: int
    method: str
    response: Response


@dataclass(frozen=True, slots=True)
class Unasked:
    """A response whose CSeq belongs to no request that waits."""

    response: Response


Event = Request | Reply | Unasked | Frame | Run | Malformed


class Connection:
    """Parses what the peer sends and numbers what this side asks. With `runs`, interleaved frames that stand
    whole in what was received come as one Run and not each as a Frame: relaying looks at each only once."""

    def __init__(self, limits: Limits, runs: bool = False) -> None:
        self.limits, self.runs = limits, runs
        self.dead = False
        self._data = bytearray()
        self._seen = 0  # bytes of _data already searched for the end of the line
        self._head: list[bytes] = []
        self._message: Request | Response | None = None
        self._missing = 0
        self._next = 1
        self._asked: OrderedDict[int, str] = OrderedDict()

    # ---- sending

    @property
    def waiting(self) -> int:
        """Requests of this side that have no response yet."""
        return len(self._asked)

    def ask(self, method: str, uri: str, headers: Headers = (), body: bytes = b"") -> tuple[int, bytes]:
        """A request of this side: its CSeq and its bytes. RuntimeError past `Limits.pending`."""
        if len(self._asked) >= self.limits.pending:
            raise RuntimeError("too many requests wait for their response")
        cseq, self._next = self._next, self._next + 1
        self._asked[cseq] = method
        return cseq, Request(method, uri, (("CSeq", str(cseq)), *headers), body).encode()

    @staticmethod
    def answer(request: Request, response: Response) -> bytes:
        """The bytes of a response, with the request's CSeq (section 12.17)."""
        number = request.cseq
        cseq: Headers = (("CSeq", str(number)),) if number is not None else ()
        return Response(response.status, cseq + response.headers, response.body, response.reason).encode()

    @staticmethod
    def frame(channel: int, payload: bytes) -> bytes:
        """An interleaved frame (section 10.12)."""
        return frame_header(channel, len(payload)) + payload

    # ---- receiving

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes from the peer; give the events that they complete, in order. After a Malformed there is
        never another event."""
        events: list[Event] = []
        if self.dead:
            return events
        self._data += data
        at = 0
        buffer = self._data
        try:
            while True:
                if self._message is not None:
                    if len(buffer) - at < self._missing:
                        break
                    events.append(self._finish(bytes(buffer[at : at + self._missing])))
                    at += self._missing
                    self._missing = self._seen = 0
                elif self.runs and not self._head and at < len(buffer) and buffer[at] == DOLLAR:
                    end = self._run(at)
                    if end == at:
                        break
                    events.append(Run(buffer[at:end]))
                    at = end
                    self._seen = 0
                elif not self._head and at < len(buffer) and buffer[at] == DOLLAR:
                    if len(buffer) - at < 4:
                        break
                    size = buffer[at + 2] << 8 | buffer[at + 3]
                    if size > self.limits.frame:
                        raise _Fault(413, f"an interleaved frame of {size} bytes is over {self.limits.frame}")
                    if len(buffer) - at < 4 + size:
                        break
                    events.append(Frame(buffer[at + 1], bytes(buffer[at + 4 : at + 4 + size])))
                    at += 4 + size
                    self._seen = 0
                else:
                    end = buffer.find(b"\n", at + self._seen)
                    if end < 0:
                        # the line may still end in CR LF: only what is past both is too long for certain
                        if len(buffer) - at > self.limits.line + 1:
                            raise _Fault(414 if not self._head else 400, f"a line is over {self.limits.line} bytes")
                        self._seen = len(buffer) - at
                        break
                    line = bytes(buffer[at:end]).removesuffix(b"\r")
                    at = end + 1
                    self._seen = 0
                    if len(line) > self.limits.line:
                        raise _Fault(414 if not self._head else 400, f"a line is over {self.limits.line} bytes")
                    self._line(line)
        except _Fault as fault:
            events.append(Malformed(fault.status, str(fault)))
            self.dead = True
            at = len(buffer)
        del buffer[:at]
        return events

    def _run(self, at: int) -> int:
        """Where the whole frames from `at` on end."""
        buffer, size, most = self._data, len(self._data), self.limits.frame
        while at + 4 <= size and buffer[at] == DOLLAR:
            length = buffer[at + 2] << 8 | buffer[at + 3]
            if length > most:
                raise _Fault(413, f"an interleaved frame of {length} bytes is over {most}")
            if at + 4 + length > size:
                break
            at += 4 + length
        return at

    def _line(self, line: bytes) -> None:
        if line:
            if len(self._head) > self.limits.headers:
                raise _Fault(400, f"a head has more than {self.limits.headers} header lines")
            self._head.append(line)
        elif self._head:
            head, self._head = self._head, []
            self._message, self._missing = _parse(head, self.limits)
        # an empty line before a message is skipped, as HTTP/1.1 section 4.1 has it

    def _finish(self, body: bytes) -> Event:
        message, self._message = self._message, None
        if isinstance(message, Request):
            return Request(message.method, message.uri, message.headers, body, message.version)
        assert message is not None
        response = Response(message.status, message.headers, body, message.reason)
        text = response.header("CSeq") or ""
        cseq = int(text) if text.isascii() and text.isdigit() and len(text) < 10 else -1
        if cseq not in self._asked or response.status < 200:
            return Unasked(response)
        return Reply(cseq, self._asked.pop(cseq), response)


class _Fault(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


def _token(data: bytes) -> bool:
    return bool(data) and _TOKEN.issuperset(data)


def _text(data: bytes) -> str:
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError:
        raise _Fault(400, "a head is not UTF-8") from None
    if any(c < " " and c != "\t" or c == "\x7f" for c in text):
        raise _Fault(400, "a head holds a control character")
    return text


def _parse(head: list[bytes], limits: Limits) -> tuple[Request | Response, int]:
    """The message of a head and the bytes of its body."""
    headers = _headers(head[1:])
    line = head[0]
    message: Request | Response
    if line.startswith(b"RTSP/"):
        parts = line.split(b" ", 2)
        if len(parts) < 2 or len(parts[1]) != 3 or not parts[1].isdigit():
            raise _Fault(400, "a status line without a status of three digits")
        message = Response(int(parts[1]), headers, b"", _text(parts[2]) if len(parts) > 2 else "")
    else:
        parts = line.split(b" ")
        if len(parts) != 3 or not _token(parts[0]) or not parts[1] or not parts[2].startswith(b"RTSP/"):
            raise _Fault(400, "a request line that is not METHOD URI RTSP/1.0")
        message = Request(_text(parts[0]), _text(parts[1]), headers, b"", _text(parts[2]))
    return message, _length(headers, limits)


def _headers(lines: list[bytes]) -> Headers:
    found: list[tuple[str, str]] = []
    for line in lines:
        if line[0] in b" \t":  # folded: it goes on with the value before (RFC 2068 section 4.2)
            if not found:
                raise _Fault(400, "a head begins with a folded line")
            name, value = found[-1]
            found[-1] = (name, f"{value} {_text(line.strip())}".strip())
            continue
        raw, colon, rest = line.partition(b":")
        if not colon or not _token(raw.rstrip()):
            raise _Fault(400, "a header line without a name and a colon")
        found.append((_text(raw.rstrip()), _text(rest.strip())))
    return tuple(found)


def _length(headers: Headers, limits: Limits) -> int:
    values = {value for name, value in headers if name.lower() == "content-length"}
    if not values:
        return 0
    if len(values) > 1:
        raise _Fault(400, "two Content-Length headers differ")
    (text,) = values
    if not (text.isascii() and text.isdigit()):
        raise _Fault(400, "Content-Length is not a number")
    if len(text) > 12 or int(text) > limits.body:
        raise _Fault(413, f"a body is over {limits.body} bytes")
    return int(text)


def supported(request: Request) -> bool:
    """Whether a request is of the version that is spoken here."""
    return request.version == VERSION
