"""Cells: which gateways of a zone know each other by name, worked out by all alike from the settings.

A gateway that knows all others by name pays for each of them: in memory, in rumours, in reports to whoever leads. So
each zone's gateways fall into cells of some tens, by rendezvous hashing (Thaler, Ravishankar 1998) with bounded loads:
one that joins or goes moves few others. SWIM runs within a cell; towards each other zone a cell knows a few contacts,
all of one cell there. A site small enough for one cell a zone, with no more gateways in it than contacts, is one in
which everybody knows everybody.

No I/O, no clock, no chance: who has the same roster has the same cells.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

CELL = 24  # gateways that a cell has in the mean: SWIM's time to detect grows with the logarithm, reports fall with 1/n
MOST_CELL = 30  # that it has at most: a bit each in a report's masks, and 1.25 times the mean
CONTACTS = 3  # known of each other zone: the least of which a majority can tell one dead gateway from a lost zone
DELEGATES = 2  # who report for a cell: one may die, or be cut off, unnoticed for the time that it takes to see it
MASK = (1 << 62) - 1  # what fits into a frame's whole number


def weight(key: str, name: str) -> int:
    """How much `name` is drawn by `key`, alike everywhere: 64 bits."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()))


def ranked(key: str, names: Sequence[str]) -> list[str]:
    """Names by their weight for `key`, the greatest first."""
    return sorted(names, key=lambda name: (-weight(key, name), name))


@dataclass(frozen=True, slots=True)
class Cell:
    """Gateways of one zone that know each other. `names` in their order; `digest` tells two rosters apart."""

    zone: int
    number: int
    names: tuple[str, ...]
    digest: int = field(default=0)

    @property
    def key(self) -> str:
        return f"{self.zone}.{self.number}"

    def ranks(self) -> list[str]:
        """Names in the order in which they are delegates; contacts are taken from its end."""
        return ranked(f"rank {self.key}", self.names)


@dataclass(frozen=True, slots=True)
class CellPlace:
    """What one gateway holds of the site's cells. `contacts`: names known of other zones, with their zones; `watchers`:
    gateways that hold this one for a contact; `sizes`: (digest, members) of every cell, and
    `numbers`: the cell of every gateway, by zone, at voters only."""

    cell: Cell
    contacts: Mapping[str, int]
    watchers: Mapping[str, int]
    sizes: Mapping[tuple[int, int], tuple[int, int]]
    numbers: Mapping[str, tuple[int, int]]

    @property
    def zone(self) -> int:
        """The gateway's own."""
        return self.cell.zone

    @property
    def roster(self) -> dict[str, int]:
        """Whom SWIM knows here: the cell and its contacts, by zone."""
        return {**dict.fromkeys(self.cell.names, self.cell.zone), **self.contacts}


class CellMap:
    """All cells of a site. `roster` names all its gateways with their zones' numbers."""

    def __init__(self, roster: Mapping[str, int], zones: int, size: int = CELL) -> None:
        if size < 3 or size * 5 // 4 > MOST_CELL:
            raise ValueError(f"cells of {size} gateways: 3 to {MOST_CELL * 4 // 5} are possible")
        self.roster = roster
        self.size = size
        names: list[list[str]] = [[] for _ in range(zones)]
        for name, zone in roster.items():
            names[zone].append(name)
        self.zones = tuple(self._cells(zone, found) for zone, found in enumerate(names))
        self._cell_of = {name: cell for cells in self.zones for cell in cells for name in cell.names}
        self._contacts = {cell.key: tuple(sorted(cell.ranks()[-CONTACTS:])) for cells in self.zones for cell in cells}
        self._watching: dict[str, list[Cell]] = {}  # key of a cell: those that have their contacts in it
        for cells in self.zones:
            for cell in cells:
                for there in self._opposite(cell):
                    self._watching.setdefault(there.key, []).append(cell)
        self.sizes = {
            (cell.zone, cell.number): (cell.digest, len(cell.names)) for cells in self.zones for cell in cells
        }
        self.numbers = {name: (cell.zone, cell.number) for name, cell in self._cell_of.items()}

    def _cells(self, zone: int, names: Sequence[str]) -> tuple[Cell, ...]:
        count = max(1, -(-len(names) // self.size))
        most = -(-len(names) * 5 // (4 * count))
        keys = [f"cell {zone}.{n}" for n in range(count)]
        members: list[list[str]] = [[] for _ in range(count)]
        for name in ranked(f"zone {zone}", names) if count > 1 else names:
            order = sorted(range(count), key=lambda n: weight(keys[n], name), reverse=True) if count > 1 else (0,)
            members[next(n for n in order if count == 1 or len(members[n]) < most)].append(name)
        return tuple(
            Cell(zone, n, tuple(sorted(found)), int(xxhash.xxh3_64_intdigest("\0".join(sorted(found)).encode())) & MASK)
            for n, found in enumerate(members)
        )

    def _opposite(self, cell: Cell) -> list[Cell]:
        """The cell of each other zone that this one has its contacts in: by number, so that each is watched by as many
        as any other."""
        return [
            cells[cell.number % len(cells)]
            for zone, cells in enumerate(self.zones)
            if zone != cell.zone and cells[0].names
        ]

    def of(self, name: str) -> Cell:
        """The cell of a gateway. KeyError for one that is none of the site's."""
        return self._cell_of[name]

    def contacts(self, cell: Cell) -> dict[str, int]:
        """Whom a cell knows of other zones, with their zones."""
        return {name: there.zone for there in self._opposite(cell) for name in self._contacts[there.key]}

    def place(self, name: str, votes: bool = False) -> CellPlace:
        """What the gateway of that name holds. A voter hears every cell, so it holds their sizes, and knows of all."""
        cell = self.of(name)
        contacts = self.contacts(cell)
        if votes:
            known = {other: zone for other, zone in self.roster.items() if other != name}
            return CellPlace(cell, contacts, known, self.sizes, self.numbers)
        watching = self._watching.get(cell.key, ()) if name in self._contacts[cell.key] else ()
        watchers = {other: one.zone for one in watching for other in one.names}
        return CellPlace(cell, contacts, watchers, {}, {})
