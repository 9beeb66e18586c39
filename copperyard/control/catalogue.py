"""The titles that viewers may ask for, and where each lies."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..protocol import sdp
from ..protocol.rtsp.headers import quote_path


@dataclass(frozen=True, slots=True)
class Track:
    """One track of a title, as its description announces it: `clock` ticks a second of its RTP time."""

    kind: str
    payload_type: int
    codec: str
    clock: int


@dataclass(frozen=True, slots=True)
class Title:
    """A film. It lies on the hosts of `holders` cells in a row from `home`; `length` in ns, None: live."""

    number: int
    path: str
    name: str
    length: int | None
    home: int
    holders: int
    tracks: tuple[Track, ...]


class Catalogue:
    """Titles by path. ValueError where two titles have one path or one number."""

    def __init__(self, titles: Iterable[Title]) -> None:
        self._titles: dict[str, Title] = {}
        numbers: set[int] = set()
        for title in titles:
            if title.path in self._titles or title.number in numbers:
                raise ValueError(f"two titles are {title.path} or share its number {title.number}")
            self._titles[title.path] = title
            numbers.add(title.number)

    def find(self, path: str) -> Title | None:
        return self._titles.get(path)

    def __len__(self) -> int:
        return len(self._titles)


def describe(title: Title, base: str, query: str) -> sdp.Description:
    """The session description of a title (RFC 2326 appendix C). Control URLs are absolute and carry the
    query, so that a code reaches SETUP with every client."""
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
