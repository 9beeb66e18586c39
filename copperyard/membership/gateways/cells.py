"""Cells: which gateways of a zone know each other by name. Every gateway computes the same cells from the settings.

A gateway that knows all others by name pays for each of them in memory, gossip and reports to the leader. So the
gateways of each zone are split into cells of some tens by rendezvous hashing (Thaler, Ravishankar 1998) with bounded
loads: a gateway that joins or leaves moves few others. SWIM runs within a cell; of each other zone a cell knows a few
contacts, all of one cell there. In a site with one cell per zone and no more gateways in it than contacts, all gateways
know each other.

No I/O, no clock, no randomness: the same roster gives the same cells.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

MEAN_CELL_SIZE = 24  # SWIM's detection time grows with its logarithm, the number of reports falls with 1/n
MAX_CELL_SIZE = 30  # each member has a bit in the masks of a report; 1.25 times the mean
CONTACTS_PER_ZONE = 3  # the least of which a majority can tell one dead gateway from a lost zone
DELEGATES_PER_CELL = 2  # one may be dead or cut off until that is detected
DIGEST_MASK = (1 << 62) - 1  # digests have to fit into an integer of a frame


def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of `name` for `key`: 64 bits, the same in every process and version."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()))


def ranked(key: str, names: Sequence[str]) -> list[str]:
    """Return the names by their weight for `key`, greatest first."""
    return sorted(names, key=lambda name: (-weight(key, name), name))


@dataclass(frozen=True, slots=True)
class Cell:
    """Gateways of one zone that know each other. `names` are sorted; `digest` tells two rosters apart."""

    zone: int
    number: int
    names: tuple[str, ...]
    digest: int = field(default=0)

    @property
    def key(self) -> str:
        """The cell's name, `zone.number`."""
        return f"{self.zone}.{self.number}"

    def ranks(self) -> list[str]:
        """Return the names in the order in which they become delegates; contacts are taken from the end."""
        return ranked(f"rank {self.key}", self.names)


@dataclass(frozen=True, slots=True)
class CellPlace:
    """What one gateway knows of the site's cells. `contacts`: known names of other zones, with their zones; `watchers`:
    gateways that have this one as a contact; at voters only: `sizes`, (digest, members) of every cell, and `numbers`,
    the (zone, cell) of every gateway.
    """

    cell: Cell
    contacts: Mapping[str, int]
    watchers: Mapping[str, int]
    sizes: Mapping[tuple[int, int], tuple[int, int]]
    numbers: Mapping[str, tuple[int, int]]

    @property
    def zone(self) -> int:
        """The gateway's own zone."""
        return self.cell.zone

    @property
    def roster(self) -> dict[str, int]:
        """The members that SWIM knows here, with their zones: the cell and its contacts."""
        return {**dict.fromkeys(self.cell.names, self.cell.zone), **self.contacts}


class CellMap:
    """All cells of a site. `roster` maps all its gateways to the numbers of their zones."""

    def __init__(self, roster: Mapping[str, int], zones: int, size: int = MEAN_CELL_SIZE) -> None:
        if size < 3 or size * 5 // 4 > MAX_CELL_SIZE:
            raise ValueError(f"cells of {size} gateways: 3 to {MAX_CELL_SIZE * 4 // 5} are possible")
        self.roster = roster
        self.size = size
        names: list[list[str]] = [[] for _ in range(zones)]
        for name, zone in roster.items():
            names[zone].append(name)
        self.zones = tuple(self._cells(zone, found) for zone, found in enumerate(names))
        self._cell_of = {name: cell for cells in self.zones for cell in cells for name in cell.names}
        self._contacts = {
            cell.key: tuple(sorted(cell.ranks()[-CONTACTS_PER_ZONE:])) for cells in self.zones for cell in cells
        }
        self._watching: dict[str, list[Cell]] = {}  # by key of a cell: the cells that have their contacts in it
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
        limit = -(-len(names) * 5 // (4 * count))
        keys = [f"cell {zone}.{n}" for n in range(count)]
        members: list[list[str]] = [[] for _ in range(count)]
        for name in ranked(f"zone {zone}", names) if count > 1 else names:
            order = sorted(range(count), key=lambda n: weight(keys[n], name), reverse=True) if count > 1 else (0,)
            members[next(n for n in order if count == 1 or len(members[n]) < limit)].append(name)
        return tuple(
            Cell(
                zone,
                n,
                tuple(sorted(found)),
                int(xxhash.xxh3_64_intdigest("\0".join(sorted(found)).encode())) & DIGEST_MASK,
            )
            for n, found in enumerate(members)
        )

    def _opposite(self, cell: Cell) -> list[Cell]:
        """Return the cell of each other zone that holds this one's contacts. They are assigned by number, so that all
        cells have about equally many watchers.
        """
        return [
            cells[cell.number % len(cells)]
            for zone, cells in enumerate(self.zones)
            if zone != cell.zone and cells[0].names
        ]

    def of(self, name: str) -> Cell:
        """Return the cell of a gateway. KeyError for a name that is not of the site."""
        return self._cell_of[name]

    def contacts(self, cell: Cell) -> dict[str, int]:
        """Return the contacts of a cell in other zones, with their zones."""
        return {name: there.zone for there in self._opposite(cell) for name in self._contacts[there.key]}

    def place(self, name: str, votes: bool = False) -> CellPlace:
        """Return what one gateway knows. A voter gets reports of every cell, so it knows all names and cell sizes."""
        cell = self.of(name)
        contacts = self.contacts(cell)
        if votes:
            known = {other: zone for other, zone in self.roster.items() if other != name}
            return CellPlace(cell, contacts, known, self.sizes, self.numbers)
        watching = self._watching.get(cell.key, ()) if name in self._contacts[cell.key] else ()
        watchers = {other: one.zone for one in watching for other in one.names}
        return CellPlace(cell, contacts, watchers, {}, {})
