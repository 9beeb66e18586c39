"""Who asked of late, and is told when there is more.

A hint (`Newer`) spares questions and is nothing to rely on: it may be lost, late, or come twice. Who gets none asks
all the same, only later.
"""

from __future__ import annotations

MS = 1_000_000
MOST = 1024  # the one that asked longest ago falls out; it goes on asking by itself
FORGET = 6000 * MS  # three questions of a quiet follower: one or two may have gone elsewhere, or been lost
GRACE = 600 * MS  # a voter asks for ages twice a second: what is committed has its date by then, as a rule


class Listeners:
    """Names, the index each was last told, and when each asked."""

    def __init__(self) -> None:
        self.index = 0  # the newest that a hint was given for
        self._asked: dict[str, tuple[int, int]] = {}  # when, told; who asked longest ago stands first
        self._held = 0
        self._since = 0  # when `_held` was first held

    def __len__(self) -> int:
        return len(self._asked)

    def asked(self, now: int, name: str, told: int) -> None:
        """`name` asked, and was told all up to `told`."""
        self._asked.pop(name, None)
        self._asked[name] = (now, told)
        if len(self._asked) > MOST:
            del self._asked[next(iter(self._asked))]

    def holds(self, name: str, index: int) -> None:
        """`name` said that it holds all up to `index`."""
        if name in self._asked:
            at, told = self._asked[name]
            self._asked[name] = (at, max(told, index))

    def grown(self, now: int, index: int) -> list[str]:
        """What is held reaches up to `index`: those that lack it, each once."""
        while self._asked:
            name = next(iter(self._asked))
            if now - self._asked[name][0] < FORGET:
                break
            del self._asked[name]
        lack = [name for name, (_, told) in self._asked.items() if told < index]
        for name in lack:
            self._asked[name] = (self._asked[name][0], index)
        return lack

    def due(self, now: int, applied: int, dated: int) -> list[str]:
        """Whom to tell of `self.index`, nobody where that is nothing new. All up to `applied` is held, and of `dated`
        the age is known. An entry is told of with its date, so that one question brings both; one that nobody dates
        (its leader is gone) after a while without."""
        if applied > self._held:
            self._held, self._since = applied, now
        index = applied if now - self._since >= GRACE else min(applied, dated)
        if index <= self.index:
            return []
        self.index = index
        return self.grown(now, index)
