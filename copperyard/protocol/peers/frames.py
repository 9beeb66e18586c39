"""Frames between gateways.

    link    hello frame*
    frame   length u32, big endian, of what follows | body
    hello   msgpack [MAGIC, VERSION, fleet, from, to, life, number]
    body    msgpack [kind, field, field, ...]

The kind of a body identifies a dataclass; its fields follow in order and are checked against their types, so that the
receiver of a message never sees an invalid one. The hello identifies the sender of a link: `fleet` is a digest of the
settings that all gateways of a site have to agree on, `life` tells a restarted gateway from its earlier life, `number`
its later links from its earlier ones. No I/O.
"""

from __future__ import annotations

import dataclasses
import math
import struct
import types
import typing
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

MAGIC = "copperyard"
VERSION = 2  # in version 1 every gateway knew all others and reported to the leader
MAX_FRAME_BYTES = 1 << 20  # bytes of a body; a plan of 64 zones and 32 classes takes a tenth of it
MAX_HELLO_BYTES = 512
MAX_TEXT_LENGTH = 256
MAX_ITEMS = 16384
_LENGTH = struct.Struct(">I")
_INT_LIMIT = 1 << 63

Plain = Any  # a value that msgpack packs and unpacks
Pack = Callable[[Any], Plain]
Unpack = Callable[[Plain, str], Any]


class FrameError(ValueError):
    """Bytes that are no valid frame; their link has to be closed."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Sender and intended receiver of a link."""

    fleet: bytes
    sender: str
    to: str
    life: int
    number: int


def encode_hello(one: Hello) -> bytes:
    """Encode the first frame of a link."""
    body: bytes = msgpack.packb([MAGIC, VERSION, one.fleet, one.sender, one.to, one.life, one.number])
    return _LENGTH.pack(len(body)) + body


def parse_hello(body: bytes) -> Hello:
    """Parse a hello. BadFrame for anything but a hello of this version."""
    found = _unpack(body)
    if not isinstance(found, list) or len(found) < 2 or found[0] != MAGIC:
        raise FrameError("the link does not begin with a hello of ours")
    if found[1] != VERSION:
        raise FrameError(f"version {found[1]!r} of the links; this program speaks {VERSION}")
    if len(found) != 7:
        raise FrameError(f"a hello of {len(found)} parts")
    fleet, sender, to, life, number = found[2:]
    if not isinstance(fleet, bytes) or len(fleet) > 64:
        raise FrameError("a hello whose fleet is no digest")
    return Hello(
        fleet,
        _parse_text(sender, "hello.from"),
        _parse_text(to, "hello.to"),
        _parse_int(life, "hello.life"),
        _parse_int(number, "hello.number"),
    )


def _unpack(body: bytes) -> Plain:
    try:
        return msgpack.unpackb(
            body,
            raw=False,
            strict_map_key=True,
            max_str_len=MAX_TEXT_LENGTH * 4,
            max_bin_len=MAX_FRAME_BYTES,
            max_array_len=MAX_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise FrameError(f"no msgpack within the bounds: {type(error).__name__}: {error}"[:200]) from None


class FrameReader:
    """Splits the bytes of a link into bodies. Buffers an incomplete frame, at most one."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def receive(self, data: bytes) -> Iterator[bytes]:
        """Add bytes; yield the bodies that are complete. BadFrame for a length of 0 or above `max_bytes`."""
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._buffer)[0]
            if not 0 < length <= self.max_bytes:
                raise FrameError(f"a frame of {length} bytes; 1 to {self.max_bytes} are taken")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield body

    @property
    def waiting(self) -> int:
        """Buffered bytes of an incomplete frame."""
        return len(self._buffer)


class Codec:
    """Encodes and decodes the dataclasses of one table. `kinds` gives each its number, which must never be reused for
    another message. TypeError for a field of an unsupported type.
    """

    def __init__(self, kinds: Mapping[int, type]) -> None:
        self._numbers = {one: number for number, one in kinds.items()}
        self._converters = {number: _dataclass_converter(one) for number, one in kinds.items()}

    def body(self, message: object) -> bytes:
        """Encode a message without the length prefix, as log stores keep it. ValueError above MAX_FRAME_BYTES."""
        number = self._numbers[type(message)]
        body: bytes = msgpack.packb([number, *self._converters[number][0](message)])
        if len(body) > MAX_FRAME_BYTES:
            raise ValueError(f"a {type(message).__name__} of {len(body)} bytes; {MAX_FRAME_BYTES} are taken")
        return body

    def frame(self, message: object) -> bytes:
        """Encode a message as a frame for a link."""
        body = self.body(message)
        return _LENGTH.pack(len(body)) + body

    def read(self, body: bytes) -> Any:
        """Decode a body. BadFrame for a kind that is not in the table or a field of a wrong type."""
        found = _unpack(body)
        if not isinstance(found, list) or not found or type(found[0]) is not int:
            raise FrameError("a body that is no list with a kind")
        form = self._converters.get(found[0])
        if form is None:
            raise FrameError(f"kind {found[0]}, which is none of ours")
        return form[1](found[1:], "")


def _dataclass_converter(kind: type) -> tuple[Pack, Unpack]:
    """Return functions that convert a dataclass to a list and back."""
    hints = typing.get_type_hints(kind)
    fields = [(f.name, *_converter(hints[f.name])) for f in dataclasses.fields(kind)]

    def pack(value: Any) -> Plain:
        return [to(getattr(value, name)) for name, to, _ in fields]

    def unpack(value: Plain, place: str) -> Any:
        place = f"{place}.{kind.__name__}" if place else kind.__name__
        if not isinstance(value, list) or len(value) != len(fields):
            raise FrameError(f"{place} is no list of {len(fields)}")
        return kind(*(back(one, f"{place}.{name}") for (name, _, back), one in zip(fields, value, strict=True)))

    return pack, unpack


def _identity(value: Any) -> Plain:
    return value


def _converter(hint: Any) -> tuple[Pack, Unpack]:
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union) and len(parts) == 2 and type(None) in parts:
        to, back = _converter(next(one for one in parts if one is not type(None)))
        return (lambda v: None if v is None else to(v)), (lambda v, place: None if v is None else back(v, place))
    if origin is tuple and len(parts) == 2 and parts[1] is Ellipsis:
        return _list_converter(*_converter(parts[0]))
    if origin is tuple:
        return _tuple_converter([_converter(one) for one in parts])
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _dataclass_converter(hint)
    if isinstance(hint, type) and issubclass(hint, IntEnum):
        return int, _enum_parser(hint)
    simple: dict[Any, Unpack] = {
        int: _parse_int,
        float: _parse_float,
        str: _parse_text,
        bytes: _parse_bytes,
        bool: _parse_bool,
    }
    if hint not in simple:
        raise TypeError(f"{hint} has no form in a frame")
    return _identity, simple[hint]


def _list_converter(to: Pack, back: Unpack) -> tuple[Pack, Unpack]:
    def unpack(value: Plain, place: str) -> Any:
        if not isinstance(value, list):
            raise FrameError(f"{place} is no list")
        return tuple(back(one, place) for one in value)

    return (lambda v: [to(one) for one in v]), unpack


def _tuple_converter(converters: list[tuple[Pack, Unpack]]) -> tuple[Pack, Unpack]:
    def unpack(value: Plain, place: str) -> Any:
        if not isinstance(value, list) or len(value) != len(converters):
            raise FrameError(f"{place} is no list of {len(converters)}")
        return tuple(back(one, place) for (_, back), one in zip(converters, value, strict=True))

    return (lambda v: [to(one) for (to, _), one in zip(converters, v, strict=True)]), unpack


def _enum_parser(kind: type[IntEnum]) -> Unpack:
    def unpack(value: Plain, place: str) -> Any:
        try:
            return kind(_parse_int(value, place))
        except ValueError as error:
            raise FrameError(f"{place}: {error}") from None

    return unpack


def _parse_int(value: Plain, place: str) -> int:
    if type(value) is not int or not -_INT_LIMIT <= value < _INT_LIMIT:
        raise FrameError(f"{place} is no whole number of 64 bits: {str(value)[:40]!r}")
    return value


def _parse_float(value: Plain, place: str) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise FrameError(f"{place} is no finite number: {str(value)[:40]!r}")
    return float(value)


def _parse_text(value: Plain, place: str) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise FrameError(f"{place} is no text of at most {MAX_TEXT_LENGTH} characters")
    return value


def _parse_bytes(value: Plain, place: str) -> bytes:
    if not isinstance(value, bytes):
        raise FrameError(f"{place} is no bytes")
    return value


def _parse_bool(value: Plain, place: str) -> bool:
    if not isinstance(value, bool):
        raise FrameError(f"{place} is neither true nor false")
    return value
