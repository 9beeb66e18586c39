"""The titles that viewers may request, and where each is stored."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..protocol import sdp
from ..protocol.rtsp.headers import quote_path


@dataclass(frozen=True, slots=True)
class Track:
    """One track of a title, as its SDP announces it. `clock` is the RTP clock rate in Hz."""

    kind: str
    payload_type: int
    codec: str
    clock: int


@dataclass(frozen=True, slots=True)
class Title:
    """A title. It is stored on the hosts of `holders` consecutive cells from `home`. `length` is in ns, None for a
    live title.
    """

    number: int
    path: str
    name: str
    length: int | None
    home: int
    holders: int
    tracks: tuple[Track, ...]


class Catalogue:
    """Titles by path. Raises ValueError if two titles share a path or a number."""

    def __init__(self, titles: Iterable[Title]) -> None:
        self._titles: dict[str, Title] = {}
        numbers: set[int] = set()
        for title in titles:
            if title.path in self._titles or title.number in numbers:
                raise ValueError(f"two titles share the path {title.path} or the number {title.number}")
            self._titles[title.path] = title
            numbers.add(title.number)

    def find(self, path: str) -> Title | None:
        """Return the title of a path, None if there is none."""
        return self._titles.get(path)

    def __len__(self) -> int:
        return len(self._titles)


def describe(title: Title, base: str, query: str) -> sdp.Description:
    """Return the SDP of a title (RFC 2326 appendix C). Control URLs are absolute and contain the query, so that every
    client sends the code with SETUP.
    """
    tail = f"?{query}" if query else ""
    url = base + quote_path(title.path)
    length = f"npt=0-{title.length / 1e9:.3f}" if title.length is not None else "npt=now-"
    media = tuple(
        sdp.Media(
            t.kind,
            0,
            "RTP/AVP",
            (str(t.payload_type),),
            (("rtpmap", f"{t.payload_type} {t.codec}/{t.clock}"), ("control", f"{url}/track{n}{tail}")),
        )
        for n, t in enumerate(title.tracks, 1)
    )
    return sdp.Description(
        title.name, (title.number, 1), attributes=(("control", url + tail), ("range", length)), media=media
    )
