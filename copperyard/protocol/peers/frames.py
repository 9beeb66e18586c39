"""Frames between gateways.

    link    hello frame*
    frame   length u32, big endian, of what follows | body
    hello   msgpack [MAGIC, VERSION, fleet, from, to, life, number]
    body    msgpack [kind, field, field, ...]

A body's kind names a dataclass; its fields follow in their order and are checked against their types, so that whoever
takes a message never sees a wrong one. A link says once who speaks: its `fleet` is a digest of what all gateways of a
site have to agree on, `life` tells a gateway that came back from the one that it was, `number` its later links from
its earlier ones. Nothing here waits or does I/O.
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
VERSION = 2  # 1: every gateway knew every other and reported to whoever leads
MOST_FRAME = 1 << 20  # bytes of a body; a plan of 64 zones and 32 classes takes a tenth of it
MOST_HELLO = 512
MOST_TEXT = 256
MOST_ITEMS = 16384
_LENGTH = struct.Struct(">I")
_INT = 1 << 63

Plain = Any  # what msgpack takes and gives
Pack = Callable[[Any], Plain]
Unpack = Callable[[Plain, str], Any]


class BadFrame(ValueError):
    """Bytes that are no frame of ours; the link that they came by has to end."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Who speaks on a link, and to whom it believes to speak."""

    fleet: bytes
    sender: str
    to: str
    life: int
    number: int


def hello(one: Hello) -> bytes:
    """The first frame of a link."""
    body: bytes = msgpack.packb([MAGIC, VERSION, one.fleet, one.sender, one.to, one.life, one.number])
    return _LENGTH.pack(len(body)) + body


def read_hello(body: bytes) -> Hello:
    """BadFrame for anything but a hello of this version."""
    found = _plain(body)
    if not isinstance(found, list) or len(found) < 2 or found[0] != MAGIC:
        raise BadFrame("a link that does not begin with a hello of ours")
    if found[1] != VERSION:
        raise BadFrame(f"version {found[1]!r} of the links; this program speaks {VERSION}")
    if len(found) != 7:
        raise BadFrame(f"a hello of {len(found)} parts")
    fleet, sender, to, life, number = found[2:]
    if not isinstance(fleet, bytes) or len(fleet) > 64:
        raise BadFrame("a hello whose fleet is no digest")
    return Hello(
        fleet,
        _text(sender, "hello.from"),
        _text(to, "hello.to"),
        _whole(life, "hello.life"),
        _whole(number, "hello.number"),
    )


def _plain(body: bytes) -> Plain:
    try:
        return msgpack.unpackb(
            body,
            raw=False,
            strict_map_key=True,
            max_str_len=MOST_TEXT * 4,
            max_bin_len=MOST_FRAME,
            max_array_len=MOST_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise BadFrame(f"no msgpack within the bounds: {type(error).__name__}: {error}"[:200]) from None


class Reader:
    """Cuts a link's bytes into bodies. What is not yet whole is kept, a frame's most at a time."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        self.most = most
        self._kept = bytearray()

    def receive(self, data: bytes) -> Iterator[bytes]:
        """Bodies that are whole now. BadFrame where one claims more than `most` bytes, or none."""
        self._kept += data
        while len(self._kept) >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._kept)[0]
            if not 0 < length <= self.most:
                raise BadFrame(f"a frame of {length} bytes; 1 to {self.most} are taken")
            end = _LENGTH.size + length
            if len(self._kept) < end:
                return
            body = bytes(self._kept[_LENGTH.size : end])
            del self._kept[:end]
            yield body

    @property
    def waiting(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return len(self._kept)


class Codec:
    """Encodes and decodes the dataclasses of one table. `kinds` gives each its number, which must never change its
    meaning: a number that is not used any more stays empty. TypeError for a field of a type that has no form here."""

    def __init__(self, kinds: Mapping[int, type]) -> None:
        self._numbers = {one: number for number, one in kinds.items()}
        self._forms = {number: _form(one) for number, one in kinds.items()}

    def body(self, message: object) -> bytes:
        """A message's body, as stores keep it. ValueError over MOST_FRAME bytes."""
        number = self._numbers[type(message)]
        body: bytes = msgpack.packb([number, *self._forms[number][0](message)])
        if len(body) > MOST_FRAME:
            raise ValueError(f"a {type(message).__name__} of {len(body)} bytes; {MOST_FRAME} are taken")
        return body

    def frame(self, message: object) -> bytes:
        """A message as it goes on a link."""
        body = self.body(message)
        return _LENGTH.pack(len(body)) + body

    def read(self, body: bytes) -> Any:
        """The message of a body. BadFrame where it is none of the table, or a field is not of its type."""
        found = _plain(body)
        if not isinstance(found, list) or not found or type(found[0]) is not int:
            raise BadFrame("a body that is no list with a kind")
        form = self._forms.get(found[0])
        if form is None:
            raise BadFrame(f"kind {found[0]}, which is none of ours")
        return form[1](found[1:], "")


def _form(kind: type) -> tuple[Pack, Unpack]:
    """How a dataclass becomes a list and back."""
    hints = typing.get_type_hints(kind)
    fields = [(f.name, *_field(hints[f.name])) for f in dataclasses.fields(kind)]

    def pack(value: Any) -> Plain:
        return [to(getattr(value, name)) for name, to, _ in fields]

    def unpack(value: Plain, place: str) -> Any:
        place = f"{place}.{kind.__name__}" if place else kind.__name__
        if not isinstance(value, list) or len(value) != len(fields):
            raise BadFrame(f"{place} is no list of {len(fields)}")
        return kind(*(back(one, f"{place}.{name}") for (name, _, back), one in zip(fields, value, strict=True)))

    return pack, unpack


def _same(value: Any) -> Plain:
    return value


def _field(hint: Any) -> tuple[Pack, Unpack]:
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union) and len(parts) == 2 and type(None) in parts:
        to, back = _field(next(one for one in parts if one is not type(None)))
        return (lambda v: None if v is None else to(v)), (lambda v, place: None if v is None else back(v, place))
    if origin is tuple and len(parts) == 2 and parts[1] is Ellipsis:
        return _many(*_field(parts[0]))
    if origin is tuple:
        return _few([_field(one) for one in parts])
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _form(hint)
    if isinstance(hint, type) and issubclass(hint, IntEnum):
        return int, _member(hint)
    simple: dict[Any, Unpack] = {int: _whole, float: _number, str: _text, bytes: _bytes, bool: _bool}
    if hint not in simple:
        raise TypeError(f"{hint} has no form in a frame")
    return _same, simple[hint]


def _many(to: Pack, back: Unpack) -> tuple[Pack, Unpack]:
    def unpack(value: Plain, place: str) -> Any:
        if not isinstance(value, list):
            raise BadFrame(f"{place} is no list")
        return tuple(back(one, place) for one in value)

    return (lambda v: [to(one) for one in v]), unpack


def _few(forms: list[tuple[Pack, Unpack]]) -> tuple[Pack, Unpack]:
    def unpack(value: Plain, place: str) -> Any:
        if not isinstance(value, list) or len(value) != len(forms):
            raise BadFrame(f"{place} is no list of {len(forms)}")
        return tuple(back(one, place) for (_, back), one in zip(forms, value, strict=True))

    return (lambda v: [to(one) for (to, _), one in zip(forms, v, strict=True)]), unpack


def _member(kind: type[IntEnum]) -> Unpack:
    def unpack(value: Plain, place: str) -> Any:
        try:
            return kind(_whole(value, place))
        except ValueError as error:
            raise BadFrame(f"{place}: {error}") from None

    return unpack


def _whole(value: Plain, place: str) -> int:
    if type(value) is not int or not -_INT <= value < _INT:
        raise BadFrame(f"{place} is no whole number of 64 bits: {str(value)[:40]!r}")
    return value


def _number(value: Plain, place: str) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise BadFrame(f"{place} is no finite number: {str(value)[:40]!r}")
    return float(value)


def _text(value: Plain, place: str) -> str:
    if not isinstance(value, str) or len(value) > MOST_TEXT:
        raise BadFrame(f"{place} is no text of at most {MOST_TEXT} characters")
    return value


def _bytes(value: Plain, place: str) -> bytes:
    if not isinstance(value, bytes):
        raise BadFrame(f"{place} is no bytes")
    return value


def _bool(value: Plain, place: str) -> bool:
    if not isinstance(value, bool):
        raise BadFrame(f"{place} is neither true nor false")
    return value
