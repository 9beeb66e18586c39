"""Messages of the membership protocol. Types only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member. At the same incarnation the greater value overrides the smaller one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class GossipUpdate:
    """State of a member, spread by gossip. `by` observed it first-hand. Only the member raises its `incarnation`."""

    name: str
    state: MemberState
    incarnation: int
    by: str


@dataclass(frozen=True, slots=True)
class ReachabilityRow:
    """Counts of one gateway by zone: gateways there that it recently probed, that answered, that sent a probe
    themselves, and that answered late. `number` grows with each row.
    """

    name: str
    incarnation: int
    number: int
    zones: tuple[tuple[int, int, int, int], ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Direct probe."""

    number: int
    incarnation: int
    updates: tuple[GossipUpdate, ...]
    rows: tuple[ReachabilityRow, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """Ack of a probe. `target` is the probed gateway: not the sender if that probed it for another one."""

    number: int
    target: str
    updates: tuple[GossipUpdate, ...]
    rows: tuple[ReachabilityRow, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request of an indirect probe (SWIM's ping-req): probe `target` for the sender."""

    number: int
    target: str
    updates: tuple[GossipUpdate, ...]


@dataclass(frozen=True, slots=True)
class Nack:
    """Lifeguard's nack: the indirect probe has no answer yet, but the link of requester and helper works."""

    number: int


Message = Ping | Ack | PingRequest | Nack
