"""Load reports and notes from hosts, parsed for the controller.

A report is a header, `Load-Report: link=0.52; uplink=0.31; streams=12`. A note is an RTCP APP packet named CPYD whose
subtype is interface.NoteKind and whose data is a value in units of 1/65536 (docs/host-protocol.md).
"""

from __future__ import annotations

import math

from ..interface import NoticeKind, Report
from ..protocol.rtp import App

LOAD_REPORT_HEADER = "Load-Report"
HOST_UP_HEADER = "Host-Up"
MAX_UPTIME_NS = 1 << 60  # ns; above any real uptime
NOTE_NAME = "CPYD"
MIN_NOTE_INTERVAL_NS = (
    400_000_000  # ns; a host sends a note once a second, on one session of each front or on all of them
)
_KINDS = (NoticeKind.SHARE, NoticeKind.LINK, NoticeKind.UPLINK)


def parse_report(text: str | None) -> Report | None:
    """Parse a report, None if there is none. Values that are negative, unknown or not numbers are left out."""
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
    """Return the value of the Load-Report header."""
    pairs = (("link", report.link), ("uplink", report.uplink), ("streams", report.streams))
    return "; ".join(f"{name}={value:.6g}" for name, value in pairs if value is not None)


def parse_host_up(text: str | None) -> tuple[str, int | None] | None:
    """Parse a host's boot id and uptime in ns (None if it has been up for long). Returns None if missing or invalid."""
    if text is None:
        return None
    fields = dict(part.strip().partition("=")[::2] for part in text[:256].split(";")[:8])
    boot, age = fields.get("boot", ""), fields.get("ms")
    if not 0 < len(boot) <= 64 or age is not None and not (age.isascii() and age.isdigit() and len(age) <= 15):
        return None
    return boot, min(MAX_UPTIME_NS, int(age) * 1_000_000) if age is not None else None


def encode_host_up(boot: str, age: int | None) -> str:
    """Return the value of the Host-Up header; `age` in ns."""
    return f"boot={boot}" + (f"; ms={age // 1_000_000}" if age is not None else "")


def parse_note(app: App) -> tuple[NoticeKind, float] | None:
    """Parse an APP packet, None if it is not a note."""
    if app.name != NOTE_NAME or len(app.data) < 4:
        return None
    kind = next((k for k in _KINDS if k == app.subtype), None)
    return None if kind is None else (kind, int.from_bytes(app.data[:4], "big") / 65536)


def encode_note(ssrc: int, kind: NoticeKind, value: float) -> App:
    """Return the APP packet of a note."""
    return App(ssrc, NOTE_NAME, int(kind), min(0xFFFFFFFF, round(value * 65536)).to_bytes(4, "big"))


class NoteRateLimiter:
    """Passes one note per host and kind in MIN_NOTE_INTERVAL_NS. A host sends the same note on each of its sessions,
    and the controller would react to it many times.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[int, int], int] = {}

    def allows(self, now: int, server: int, kind: int) -> bool:
        """Return whether a note may pass now, and count it if so."""
        last = self._last.get((server, kind))
        if last is not None and now - last < MIN_NOTE_INTERVAL_NS:
            return False
        if len(self._last) > 4096:
            self._last = {key: at for key, at in self._last.items() if now - at < MIN_NOTE_INTERVAL_NS}
        self._last[server, kind] = now
        return True
