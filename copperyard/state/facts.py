"""The facts that a gateway keeps, and their bytes.

A fact is written before something is done that would break a rule if it were forgotten, or after something came to
pass that a family counts on. Each is one MessagePack array: its kind, then its fields in order. A newer minor
schema may add fields at the end and kinds; what this one does not know it passes over. A newer major schema is not
read at all.

Times are the gateway's own service time in ns (clock.py), never the machine's date. Codes are kept as digests: whoever
reads the files cannot redeem them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields

import msgpack

MAJOR, MINOR = 1, 0
MOST_TEXT = 4096  # characters of any text but a list body
MOST_BODY = 16 * 1024 * 1024
MAX_RECORD = MOST_BODY + 65536  # bytes of one fact


class BadFact(ValueError):
    """Bytes that are no fact: their place is in the message, nothing of them is used."""


@dataclass(frozen=True, slots=True)
class Began:
    """A process took this state over, as life number `life`. `label` is the front's name in it, `generation` names its
    settings."""

    at: int
    label: str
    generation: str
    life: int


@dataclass(frozen=True, slots=True)
class Carried:
    """A set-up that carries a code fresh is about to leave for a host. From here on the code may be redeemed.
    `request` is its Request-Id, `host` the name of the host that will hear it."""

    at: int
    code: bytes
    request: str
    host: str


@dataclass(frozen=True, slots=True)
class Redeemed:
    """A host said that it redeemed the code, and gave this receipt."""

    at: int
    code: bytes
    receipt: str


@dataclass(frozen=True, slots=True)
class Cleared:
    """It is proven that the last set-up with the code never ran: the code is as good as new."""

    at: int
    code: bytes


@dataclass(frozen=True, slots=True)
class Listed:
    """The list of hosts as it is known now, whole, as a body of the list service."""

    at: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The process came to a planned end; `spent` are the ages (ns) of further attempts of the last window."""

    at: int
    spent: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Passed:
    """Service time passed: written now and then, so that a kill loses little of it."""

    at: int


Fact = Began | Carried | Redeemed | Cleared | Listed | Ended | Passed

_KINDS: dict[int, Callable[..., Fact]] = {1: Began, 2: Carried, 3: Redeemed, 4: Cleared, 5: Listed, 6: Ended, 7: Passed}
_NUMBERS: dict[Callable[..., Fact], int] = {kind: number for number, kind in _KINDS.items()}
_TYPES: dict[str, type] = {"int": int, "str": str, "bytes": bytes, "tuple[int, ...]": list}
_SHAPES: dict[int, tuple[Callable[..., Fact], tuple[type, ...]]] = {
    number: (kind, tuple(_TYPES[str(one.type)] for one in fields(kind)))  # type: ignore[arg-type]
    for number, kind in _KINDS.items()
}


def digest(code: str) -> bytes:
    """What is kept of a code: 16 bytes of BLAKE2b."""
    return hashlib.blake2b(code.encode(), digest_size=16, person=b"copperyard code").digest()


def encode(fact: Fact) -> bytes:
    """The fact's bytes."""
    packed: bytes = msgpack.packb([_NUMBERS[type(fact)], *astuple(fact)])
    return packed


def decode(data: bytes) -> Fact | None:
    """The fact, None for a kind that a newer minor schema added. BadFact where the bytes make no sense."""
    try:
        raw = msgpack.unpackb(
            data, max_str_len=MOST_TEXT, max_bin_len=MOST_BODY, max_array_len=65536, max_map_len=0, max_ext_len=0
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise BadFact(f"not MessagePack: {error}") from None
    if not isinstance(raw, list) or not raw or isinstance(raw[0], bool) or not isinstance(raw[0], int):
        raise BadFact("no array that begins with a kind")
    shape = _SHAPES.get(raw[0])
    if shape is None:
        return None
    kind, types = shape
    values = raw[1 : 1 + len(types)]
    if tuple(map(type, values)) != types:
        raise BadFact(_why(kind, values, types))
    if kind is Ended:
        if not all(type(x) is int for x in values[-1]):
            raise BadFact("Ended.spent holds what is no whole number")
        return Ended(values[0], tuple(values[1]))
    return kind(*values)


def _why(kind: Callable[..., Fact], values: list[object], types: tuple[type, ...]) -> str:
    name = kind.__name__
    if len(values) < len(types):
        return f"{name} has {len(values)} fields of {len(types)}"
    names = [one.name for one in fields(kind)]  # type: ignore[arg-type]
    at = next(n for n, (value, wanted) in enumerate(zip(values, types, strict=True)) if type(value) is not wanted)
    return f"{name}.{names[at]} is {type(values[at]).__name__}"
