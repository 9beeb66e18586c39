"""Codec of the binary messages between gateways and media hosts.

message   = length:2 type:1 session:8 parameters      length counts the bytes after it; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

MAX_MESSAGE_BYTES = 16384  # bytes of a message, its length field included
_HEADER = struct.Struct(">HB8s")
_PARAM_HEADER = struct.Struct(">BH")
_MIN_LENGTH = _HEADER.size - 2


class MessageKind(IntEnum):
    """Message types."""

    SETUP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    HEARD = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53
    RUNG = 60


class Param(IntEnum):
    """Parameter codes."""

    CLASS = 180
    WAIT = 183
    TITLE = 192
    NOTE = 201
    REPORT = 207
    RUNG = 213
    FIGURE = 216
    CAUSE = 222
    DESCRIPTION = 225


class Cause(IntEnum):
    """Causes of a release."""

    NORMAL = 16
    CANCELLED = 31
    FULL = 34
    RESET = 41
    ERROR = 47
    MOOT = 102


class MessageError(Exception):
    """The peer violated the protocol: nothing that follows on its connection can be trusted."""


@dataclass(frozen=True, slots=True)
class Message:
    """A parsed message; `params` maps parameter codes to values."""

    kind: int
    session: bytes
    params: dict[int, bytes]

    def text(self, code: Param) -> str | None:
        """A parameter as text, None if it is absent."""
        value = self.params.get(code)
        return value.decode("utf-8", "replace") if value is not None else None

    @property
    def cause(self) -> int:
        """The cause parameter, which the type of the message must require."""
        return self.params[Param.CAUSE][0]


def encode(kind: MessageKind, session: bytes, params: Iterable[tuple[Param, bytes]] = ()) -> bytes:
    """One message as bytes; raises ValueError if it would exceed MAX_MESSAGE_BYTES."""
    parts = [_PARAM_HEADER.pack(code, len(value)) + value for code, value in params]
    size = _MIN_LENGTH + sum(map(len, parts))
    if size + 2 > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {size + 2} bytes exceeds {MAX_MESSAGE_BYTES}")
    return b"".join((_HEADER.pack(size, kind, session), *parts))


def frame_kind(frame: bytes) -> int:
    """The type of a message that `encode` returned, 0 if it is too short to have one."""
    return frame[2] if len(frame) > 2 else 0


def frame_session(frame: bytes) -> bytes:
    """The session of a message that `encode` returned."""
    return frame[3 : _HEADER.size]


# the messages that a host may send, and their required parameters
_REQUIRED_PARAMS: dict[int, tuple[Param, ...]] = {
    MessageKind.PROGRESS: (),
    MessageKind.HEARD: (),
    MessageKind.ANSWER: (Param.DESCRIPTION,),
    MessageKind.RELEASE: (Param.CAUSE,),
    MessageKind.NOTE: (Param.NOTE, Param.FIGURE),
    MessageKind.TESTED: (Param.CAUSE,),
}


class Decoder:
    """Splits the bytes of one host connection into messages. After a MessageError it returns no more messages."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._failed = False

    @property
    def partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._data)

    def receive(self, data: bytes) -> tuple[list[Message], MessageError | None]:
        """The messages that these bytes complete, and the protocol error after them, if any."""
        found: list[Message] = []
        if self._failed:
            return found, None
        buffer, pos = self._data, 0
        buffer += data
        try:
            while len(buffer) - pos >= 2:
                size = buffer[pos] << 8 | buffer[pos + 1]
                if not _MIN_LENGTH <= size <= MAX_MESSAGE_BYTES - 2:
                    raise MessageError(f"invalid message length {size}")
                if len(buffer) - pos >= 3 and buffer[pos + 2] not in _REQUIRED_PARAMS:
                    raise MessageError(f"a host must not send message type {buffer[pos + 2]}")
                if len(buffer) - pos < size + 2:
                    break
                found.append(_parse_message(bytes(buffer[pos : pos + 2 + size])))
                pos += 2 + size
        except MessageError as error:
            self._failed = True
            self._data = bytearray()
            return found, error
        del buffer[:pos]
        return found, None


def _parse_message(data: bytes) -> Message:
    _, kind, session = _HEADER.unpack_from(data)
    params: dict[int, bytes] = {}
    pos = _HEADER.size
    while pos < len(data):
        if pos + _PARAM_HEADER.size > len(data):
            raise MessageError("a message ends inside a parameter header")
        code, size = _PARAM_HEADER.unpack_from(data, pos)
        pos += _PARAM_HEADER.size
        if pos + size > len(data):
            raise MessageError(f"parameter {code} exceeds its message")
        if code in params:
            raise MessageError(f"duplicate parameter {code}")
        params[code] = data[pos : pos + size]
        pos += size
    for code in _REQUIRED_PARAMS[kind]:
        if code not in params:
            raise MessageError(f"a message of type {kind} lacks parameter {int(code)}")
    if Param.CAUSE in params and len(params[Param.CAUSE]) != 1:
        raise MessageError("the cause is not one byte")
    return Message(kind, session, params)


def parse_report(text: str | None) -> dict[str, float]:
    """Parse `x0:12;x1:40` into numbers by name. Invalid fields are left out, as reports are only hints."""
    found: dict[str, float] = {}
    for part in (text or "").split(";")[:16]:
        name, colon, value = part.partition(":")
        try:
            figure = float(value)
        except ValueError:
            continue
        if colon and math.isfinite(figure):
            found[name.strip()] = figure
    return found
