"""The header values that a session needs (Transport, Session, Range, RTP-Info; RFC 2326 section 12) and URLs."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl, quote, unquote, urlsplit

from .messages import HeaderError


@dataclass(frozen=True, slots=True)
class Target:
    """What a request URL names: path, track (None: the aggregate), query values, and host with port."""

    path: str
    track: int | None
    query: tuple[tuple[str, str], ...] = ()
    host: str = ""

    def get(self, name: str) -> str | None:
        """Return the first query value of that name, None if absent."""
        return next((value for key, value in self.query if key == name), None)


_TRACK_SUFFIX = re.compile(r"/track([0-9]{1,3})/?$")


def parse_url(uri: str, limit: int = 2048) -> Target:
    """Parse a request URL (section 3.2). Raises an error with status 400 or 414.

    A track is the last path segment `/trackN`; it is also accepted after the query, where some clients append it.
    """
    if len(uri) > limit:
        raise HeaderError(414, f"a URL is over {limit} characters")
    if uri == "*":
        return Target("*", None)
    try:
        parts = urlsplit(uri)
        host = parts.hostname or ""
    except ValueError:
        raise HeaderError(400, "a URL that cannot be parsed") from None
    if parts.scheme.lower() not in ("rtsp", "rtspu") or not host:
        raise HeaderError(400, "a URL that is not an absolute rtsp URL")
    path, query = parts.path, parts.query
    track = None
    for text in (query, path):
        found = _TRACK_SUFFIX.search(text)
        if found and track is None:
            track = int(found[1])
            if text is query:
                query = query[: found.start()]
            else:
                path = path[: found.start()]
    try:
        pairs = tuple(parse_qsl(query, keep_blank_values=True, max_num_fields=16))
    except ValueError:
        raise HeaderError(400, "a URL with too many query fields") from None
    return Target(unquote(path.rstrip("/")) or "/", track, pairs, parts.netloc)


def quote_path(path: str) -> str:
    """Percent-encode a path for a URL."""
    return quote(path, safe="/-._~")


@dataclass(frozen=True, slots=True)
class Transport:
    """RTP over the RTSP connection; `channels` are those of RTP and RTCP, None if the server is to choose them."""

    channels: tuple[int, int] | None
    ssrc: int | None = None

    def encode(self) -> str:
        """Return the header value; the channels must be set."""
        assert self.channels is not None
        ssrc = f";ssrc={self.ssrc:08X}" if self.ssrc is not None else ""
        return f"RTP/AVP/TCP;unicast;interleaved={self.channels[0]}-{self.channels[1]}{ssrc}"


def parse_transport(text: str) -> Transport:
    """Return the first transport of the list that is interleaved RTP (section 12.39).

    Raises an error with status 461 if there is none, 400 if its channels are invalid.
    """
    for offer in text.split(","):
        profile, *params = (part.strip() for part in offer.split(";"))
        if profile.upper() != "RTP/AVP/TCP" or "multicast" in params:
            continue
        values = dict(part.split("=", 1) for part in params if "=" in part)
        if "mode" in values and values["mode"].strip('"').upper() not in ("PLAY", ""):
            continue
        ssrc = values.get("ssrc", "")
        ssrc_number = int(ssrc, 16) if re.fullmatch("[0-9A-Fa-f]{1,8}", ssrc) else None
        if "interleaved" not in values:
            return Transport(None, ssrc_number)
        match = re.fullmatch(r"([0-9]{1,3})(?:-([0-9]{1,3}))?", values["interleaved"])
        first = int(match[1]) if match else 256
        last = int(match[2]) if match and match[2] else first + 1
        if first > 254 or last != first + 1:
            raise HeaderError(400, "interleaved channels are not two consecutive numbers from 0 to 255")
        return Transport((first, last), ssrc_number)
    raise HeaderError(461, "only RTP/AVP/TCP;unicast;interleaved is served")


@dataclass(frozen=True, slots=True)
class Range:
    """A range of normal play time in seconds; `start` None: from the current position, `end` None: to the end."""

    start: float | None
    end: float | None = None

    def encode(self) -> str:
        """Return the header value."""
        start = f"{self.start:.3f}" if self.start is not None else "now"
        return f"npt={start}-" + (f"{self.end:.3f}" if self.end is not None else "")


def parse_range(text: str, length: float | None) -> Range:
    """Parse a Range header (sections 3.6, 12.29) for a title of `length` seconds (None: live).

    Raises an error with status 457 if the range is outside of the title or not an npt range.
    """
    spec = text.split(";")[0].strip()
    if not spec.startswith("npt="):
        raise HeaderError(457, "only npt ranges are served")
    start_text, dash, end_text = spec[4:].partition("-")
    if not dash:
        raise HeaderError(457, "an npt range without a dash")
    start = None if start_text in ("now", "") else _parse_npt(start_text)
    end = _parse_npt(end_text) if end_text.strip() else None
    if start is not None and length is not None and start >= length:
        raise HeaderError(457, f"the title is {length:g} s long")
    if end is not None and (start or 0.0) >= end:
        raise HeaderError(457, "the range ends before it starts")
    return Range(start, end)


def _parse_npt(text: str) -> float:
    found = re.fullmatch(r"(?:([0-9]{1,6}):([0-5]?[0-9]):)?([0-9]{1,9}(?:\.[0-9]{0,9})?)", text.strip())
    if not found:
        raise HeaderError(457, "not a normal play time")
    value = int(found[1] or 0) * 3600 + int(found[2] or 0) * 60 + float(found[3])
    if not math.isfinite(value):
        raise HeaderError(457, "not a normal play time")
    return value


def parse_session(text: str) -> tuple[str, int | None]:
    """Return session id and timeout in seconds (section 12.37). Raises an error with status 400 for an invalid id."""
    name, *params = (part.strip() for part in text.split(";"))
    if not re.fullmatch(r"[A-Za-z0-9$\-_.+]{1,64}", name):
        raise HeaderError(400, "not a session id")
    timeout = None
    for param in params:
        found = re.fullmatch(r"timeout=([0-9]{1,6})", param)
        if found:
            timeout = int(found[1])
    return name, timeout


@dataclass(frozen=True, slots=True)
class RtpInfo:
    """One stream of an RTP-Info header (section 12.33): the first packet after the PLAY."""

    url: str
    seq: int
    rtptime: int

    def encode(self) -> str:
        """Return the header value of this stream."""
        return f"url={self.url};seq={self.seq};rtptime={self.rtptime}"


def parse_rtp_info(text: str) -> tuple[RtpInfo, ...]:
    """Return the streams of an RTP-Info header, without those that lack seq or rtptime."""
    streams = []
    for url, rest in re.findall(r"url=([^;,\s]+)((?:;[a-z]+=[0-9]{1,10})*)", text):
        values = dict(part.split("=", 1) for part in rest.split(";") if part)
        if "seq" in values and "rtptime" in values:
            streams.append(RtpInfo(url, int(values["seq"]) & 0xFFFF, int(values["rtptime"]) & 0xFFFFFFFF))
    return tuple(streams)


def parse_bandwidth(text: str | None) -> int | None:
    """Return the value of a Bandwidth header (section 12.6) in bits per second, None if absent or invalid."""
    return int(text) if text is not None and text.isascii() and text.isdigit() and len(text) < 16 else None
