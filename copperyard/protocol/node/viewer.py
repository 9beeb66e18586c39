"""RTSP requests of viewers on the platform, and the messages that are sent to viewers."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from ..rtsp import Request, Response
from ..rtsp.messages import HeaderError, Headers

MS = 1_000_000
_TITLE = re.compile(r"rtsp://media/([0-9a-fA-F]{16})\Z")
_SESSION_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?\Z")
_CAUSE = re.compile(r"cause=([0-9]{1,3})\Z")
MAX_PATIENCE_MS = 600_000.0  # the longest X-Patience accepted
MAX_BODY_BYTES = 15_000  # of a description, which must fit into a host message with the other parameters
MAX_GUESS_MS = 1e11  # the longest X-Guess accepted, an estimated length


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """The fields of a SETUP. Times are in ns; `top` is None if the viewer gives none; `at` names the host where the
    session plays already, None for a new session.
    """

    session_id: bytes
    class_name: str
    title: str
    patience: int
    hint: int | None
    home: int
    copies: int
    top: int | None
    viewer: str
    again: bool
    at: str | None
    body: bytes


def session_of(request: Request | Response) -> bytes | None:
    """The session id, None if it is missing or invalid."""
    text = request.header("Session") or ""
    return bytes.fromhex(text) if _SESSION_ID.match(text) else None


def parse_setup(request: Request) -> SetupRequest:
    """Parse a SETUP; raises HeaderError naming the invalid field."""
    title = _TITLE.match(request.uri)
    if title is None:
        raise HeaderError(400, "the URI is not rtsp://media/ and a title of 16 hex digits")
    session = session_of(request)
    if session is None:
        raise HeaderError(400, "Session is not 16 hex digits")
    if len(request.body) > MAX_BODY_BYTES:
        raise HeaderError(413, f"the description exceeds {MAX_BODY_BYTES} bytes")
    facts = _parse_facts(request.header("X-Facts") or "")
    guess = request.header("X-Guess")
    hint = int(_parse_number(guess, "X-Guess", MAX_GUESS_MS) * MS) if guess is not None else None
    # a session that plays already waits for no answer, so its X-Patience is ignored
    patience = 0.0 if "at" in facts else _parse_number(request.header("X-Patience"), "X-Patience", MAX_PATIENCE_MS)
    return SetupRequest(
        session,
        _class_name(request.header("Subject")),
        title[1],
        int(patience * MS),
        hint,
        _fact_count(facts, "home"),
        _fact_count(facts, "copies"),
        _fact_count(facts, "top") if "top" in facts else None,
        facts.get("viewer", ""),
        facts.get("again", "0") == "1",
        facts.get("at"),
        request.body,
    )


def release_cause(request: Request) -> int | None:
    """The cause of a TEARDOWN that releases an established session; None for one that withdraws a set-up."""
    text = request.header("Reason")
    if text is None:
        return None
    found = _CAUSE.match(text.strip())
    if found is None or int(found[1]) > 255:
        raise HeaderError(400, "Reason is not cause=N")
    return int(found[1])


def _class_name(text: str | None) -> str:
    if not text:
        raise HeaderError(400, "Subject is missing")
    return text


def _parse_facts(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in text.split(";")[:32]:
        name, colon, value = part.partition(":")
        if colon:
            found[name.strip()] = value.strip()
    return found


def _parse_number(text: str | None, name: str, maximum: float) -> float:
    if text is None:
        raise HeaderError(400, f"{name} is missing")
    if not _NUMBER.match(text) or not math.isfinite(float(text)) or float(text) > maximum:
        raise HeaderError(400, f"{name} is not a number from 0 to {maximum:.0f}: {text[:40]!r}")
    return float(text)


def _fact_count(facts: dict[str, str], name: str) -> int:
    text = facts.get(name, "")
    if not _NUMBER.match(text) or float(text) != int(float(text)) or float(text) > 1e6:
        raise HeaderError(400, f"X-Facts: {name} is not a whole number")
    return int(float(text))


def _with_length(headers: Headers, body: bytes) -> Headers:
    # the codec writes Content-Length only with a body; here every message carries it
    return headers if body else (*headers, ("Content-Length", "0"))


def encode_response(
    cseq: int | None, session: str, status: int, body: bytes = b"", later_ms: int = 0, text: str = ""
) -> bytes:
    """A response as bytes. `session` is the id in hex digits, empty if the request had none."""
    headers: Headers = (("CSeq", str(cseq)),) if cseq is not None else ()
    if session:
        headers = (*headers, ("Session", session))
    if later_ms > 0:
        headers = (*headers, ("X-Later-Ms", str(later_ms)))
    return Response(status, _with_length(headers, body), body, text).encode()


def encode_teardown(session: str, cause: int) -> bytes:
    """A TEARDOWN that tells a viewer that its established session was released."""
    return _encode_request("TEARDOWN", session, 2, (("Reason", f"cause={cause}"),))


def encode_redirect(session: str) -> bytes:
    """A REDIRECT, which asks the viewer to set up its session again."""
    return _encode_request("REDIRECT", session, 4, ())


def _encode_request(method: str, session: str, cseq: int, extra_headers: Headers) -> bytes:
    headers: Headers = (("CSeq", str(cseq)), ("Session", session), *extra_headers)
    return Request(method, f"rtsp://media/{session}", _with_length(headers, b"")).encode()
