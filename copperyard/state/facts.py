"""The facts that a gateway stores, and their encoding.

A fact is written before something is done that would break a rule if the fact were lost, or after something happened
that a viewer relies on. Each is one MessagePack array: its kind, then its fields in order. A newer minor schema may add
kinds, and fields at the end; unknown ones are ignored. A newer major schema is not read at all.

Times are the gateway's own service time in ns (clock.py), never the wall clock. Codes are stored as digests: whoever
reads the files cannot redeem them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields

import msgpack

MAJOR, MINOR = 1, 0
MAX_TEXT_BYTES = 4096  # of any text
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a list of hosts
MAX_RECORD_BYTES = MAX_BODY_BYTES + 65536  # of one encoded fact


class FactError(ValueError):
    """Bytes that do not decode as a fact; none of them is used."""


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """A process started on this state, for the `life`-th time. `generation` names its settings.

    `label` is the front's name during this run.
    """

    at: int
    label: str
    generation: str
    life: int


@dataclass(frozen=True, slots=True)
class CodeSent:
    """A set-up with a code is about to be sent to a host; from now on the code may be redeemed.

    `request` is its Request-Id, `host` the name of the host.
    """

    at: int
    code: bytes
    request: str
    host: str


@dataclass(frozen=True, slots=True)
class CodeRedeemed:
    """A host confirmed that it redeemed the code, with this receipt."""

    at: int
    code: bytes
    receipt: str


@dataclass(frozen=True, slots=True)
class CodeCleared:
    """The last set-up with the code is known not to have run: the code is unused."""

    at: int
    code: bytes


@dataclass(frozen=True, slots=True)
class HostListStored:
    """The complete list of hosts as known now, in the format of the list service."""

    at: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProcessStopped:
    """The process stopped as planned. `spent`: the ages (ns) of the retries in the last budget window."""

    at: int
    spent: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TimeAdvanced:
    """Service time has advanced; written periodically so that a kill loses little of it."""

    at: int


Fact = ProcessStarted | CodeSent | CodeRedeemed | CodeCleared | HostListStored | ProcessStopped | TimeAdvanced

_KINDS: dict[int, Callable[..., Fact]] = {
    1: ProcessStarted,
    2: CodeSent,
    3: CodeRedeemed,
    4: CodeCleared,
    5: HostListStored,
    6: ProcessStopped,
    7: TimeAdvanced,
}
_NUMBERS: dict[Callable[..., Fact], int] = {kind: number for number, kind in _KINDS.items()}
# by annotation as it is written in the classes above
_TYPES: dict[str, type] = {"int": int, "str": str, "bytes": bytes, "tuple[int, ...]": list}
_FIELD_TYPES: dict[int, tuple[Callable[..., Fact], tuple[type, ...]]] = {
    number: (kind, tuple(_TYPES[str(one.type)] for one in fields(kind)))  # type: ignore[arg-type]
    for number, kind in _KINDS.items()
}


def digest(code: str) -> bytes:
    """What is stored of a code: 16 bytes of BLAKE2b."""
    return hashlib.blake2b(code.encode(), digest_size=16, person=b"copperyard code").digest()


def encode(fact: Fact) -> bytes:
    """The fact as bytes."""
    packed: bytes = msgpack.packb([_NUMBERS[type(fact)], *astuple(fact)])
    return packed


def decode(data: bytes) -> Fact | None:
    """The fact; None for a kind of a newer minor schema. FactError if the bytes are invalid."""
    try:
        raw = msgpack.unpackb(
            data,
            max_str_len=MAX_TEXT_BYTES,
            max_bin_len=MAX_BODY_BYTES,
            max_array_len=65536,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise FactError(f"not MessagePack: {error}") from None
    if not isinstance(raw, list) or not raw or isinstance(raw[0], bool) or not isinstance(raw[0], int):
        raise FactError("no array that begins with a kind")
    known = _FIELD_TYPES.get(raw[0])
    if known is None:
        return None
    kind, types = known
    values = raw[1 : 1 + len(types)]
    if tuple(map(type, values)) != types:
        raise FactError(_type_error(kind, values, types))
    if kind is ProcessStopped:
        if not all(type(x) is int for x in values[-1]):
            raise FactError("Ended.spent holds what is no whole number")
        return ProcessStopped(values[0], tuple(values[1]))
    return kind(*values)


def _type_error(kind: Callable[..., Fact], values: list[object], types: tuple[type, ...]) -> str:
    name = kind.__name__
    if len(values) < len(types):
        return f"{name} has {len(values)} fields of {len(types)}"
    names = [one.name for one in fields(kind)]  # type: ignore[arg-type]
    position = next(
        n for n, (value, expected) in enumerate(zip(values, types, strict=True)) if type(value) is not expected
    )
    return f"{name}.{names[position]} is {type(values[position]).__name__}"
