"""Load reports and notes as hosts send them, made fit for the module.

A report is a header, `Load-Report: link=0.52; uplink=0.31; streams=12`; a note is an RTCP APP packet named
CPYD whose subtype is interface.NoteKind and whose data is a value in 65536ths (docs/host-protocol.md).
"""

from __future__ import annotations

import math

from ..interface import NoteKind, Report
from ..protocol.rtp import App

REPORT_HEADER = "Load-Report"
UP_HEADER = "Host-Up"
MOST_UP = 1 << 60  # ns; longer than any process has been up
NOTE_NAME = "CPYD"
NOTE_GAP = 400_000_000  # ns; a host tells once a second, on one session of each front, or on all of them
_KINDS = (NoteKind.SHARE, NoteKind.LINK, NoteKind.UPLINK)


def parse_report(text: str | None) -> Report | None:
    """A report; figures that are no number, negative or unknown are left out. None: there is no report."""
    if text is None:
        return None
    values: dict[str, float] = {}
    for part in text[:512].split(";")[:16]:
        name, _, value = part.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number) and number >= 0:
            values[name.strip()] = number
    return Report(values.get("link"), values.get("uplink"), values.get("streams"))


def encode_report(report: Report) -> str:
    """The header's value."""
    pairs = (("link", report.link), ("uplink", report.uplink), ("streams", report.streams))
    return "; ".join(f"{name}={value:.6g}" for name, value in pairs if value is not None)


def parse_up(text: str | None) -> tuple[str, int | None] | None:
    """What a host says of its own process: its boot, and for how long (ns) it is up, None where long. None: it says
    nothing, or nothing that makes sense."""
    if text is None:
        return None
    fields = dict(part.strip().partition("=")[::2] for part in text[:256].split(";")[:8])
    boot, age = fields.get("boot", ""), fields.get("ms")
    if not 0 < len(boot) <= 64 or age is not None and not (age.isascii() and age.isdigit() and len(age) <= 15):
        return None
    return boot, min(MOST_UP, int(age) * 1_000_000) if age is not None else None


def encode_up(boot: str, age: int | None) -> str:
    """The header's value; `age` in ns."""
    return f"boot={boot}" + (f"; ms={age // 1_000_000}" if age is not None else "")


def note_of(app: App) -> tuple[NoteKind, float] | None:
    """What an APP packet tells, None where it is another's."""
    if app.name != NOTE_NAME or len(app.data) < 4:
        return None
    kind = next((k for k in _KINDS if k == app.subtype), None)
    return None if kind is None else (kind, int.from_bytes(app.data[:4], "big") / 65536)


def note_app(ssrc: int, kind: NoteKind, value: float) -> App:
    """The packet that tells `value`."""
    return App(ssrc, NOTE_NAME, int(kind), min(0xFFFFFFFF, round(value * 65536)).to_bytes(4, "big"))


class NoteGate:
    """Passes one note of a kind and host in NOTE_GAP: the module wants news of a host, not one for each of its
    sessions, which would have it act on the same second many times."""

    def __init__(self) -> None:
        self._last: dict[tuple[int, int], int] = {}

    def passes(self, now: int, server: int, kind: int) -> bool:
        last = self._last.get((server, kind))
        if last is not None and now - last < NOTE_GAP:
            return False
        if len(self._last) > 4096:
            self._last = {key: at for key, at in self._last.items() if now - at < NOTE_GAP}
        self._last[server, kind] = now
        return True
