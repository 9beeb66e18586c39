"""What viewers say on the platform, out of RTSP messages, and the messages they are sent."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from ..rtsp import Request, Response
from ..rtsp.messages import BadHeader, Headers

MS = 1_000_000
_TITLE = re.compile(r"rtsp://media/([0-9a-fA-F]{16})\Z")
_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?\Z")
_CAUSE = re.compile(r"cause=([0-9]{1,3})\Z")
MOST_WAIT = 600_000.0  # ms that a viewer may say it waits
MOST_BODY = 15_000  # bytes of a description: it must fit into a host's message with the rest
MOST_GUESS = 1e11  # ms of a guessed length


@dataclass(frozen=True, slots=True)
class Wish:
    """A set-up as it came. Times are ns; `top` is None where the viewer does not say; `at` names the host where the
    session plays already."""

    session: bytes
    cls: str
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
    """The session's id, None where there is none that makes sense."""
    text = request.header("Session") or ""
    return bytes.fromhex(text) if _ID.match(text) else None


def parse_wish(request: Request) -> Wish:
    """A SETUP's fields; BadHeader says which one is wrong."""
    title = _TITLE.match(request.uri)
    if title is None:
        raise BadHeader(400, "the address is not rtsp://media/ and a title of hex digits")
    session = session_of(request)
    if session is None:
        raise BadHeader(400, "Session is not 16 hex digits")
    if len(request.body) > MOST_BODY:
        raise BadHeader(413, f"a description is over {MOST_BODY} bytes")
    facts = _facts(request.header("X-Facts") or "")
    guess = request.header("X-Guess")
    hint = int(_figure(guess, "X-Guess", MOST_GUESS) * MS) if guess is not None else None
    # a session that plays already waits for no answer: whatever stands there is of no meaning
    patience = 0.0 if "at" in facts else _figure(request.header("X-Patience"), "X-Patience", MOST_WAIT)
    return Wish(
        session,
        _class(request.header("Subject")),
        title[1],
        int(patience * MS),
        hint,
        _count(facts, "home"),
        _count(facts, "copies"),
        _count(facts, "top") if "top" in facts else None,
        facts.get("viewer", ""),
        facts.get("again", "0") == "1",
        facts.get("at"),
        request.body,
    )


def release_cause(request: Request) -> int | None:
    """The cause of a TEARDOWN that releases a standing session; None for one that gives up a set-up."""
    text = request.header("Reason")
    if text is None:
        return None
    found = _CAUSE.match(text.strip())
    if found is None or int(found[1]) > 255:
        raise BadHeader(400, "Reason is not cause=N")
    return int(found[1])


def _class(text: str | None) -> str:
    if not text:
        raise BadHeader(400, "Subject is missing")
    return text


def _facts(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in text.split(";")[:32]:
        name, colon, value = part.partition(":")
        if colon:
            found[name.strip()] = value.strip()
    return found


def _figure(text: str | None, name: str, most: float) -> float:
    if text is None:
        raise BadHeader(400, f"{name} is missing")
    if not _NUMBER.match(text) or not math.isfinite(float(text)) or float(text) > most:
        raise BadHeader(400, f"{name} is no number from 0 to {most:.0f}: {text[:40]!r}")
    return float(text)


def _count(facts: dict[str, str], name: str) -> int:
    text = facts.get(name, "")
    if not _NUMBER.match(text) or float(text) != int(float(text)) or float(text) > 1e6:
        raise BadHeader(400, f"X-Facts: {name} is no whole number")
    return int(float(text))


def _sized(headers: Headers, body: bytes) -> Headers:
    # the codec writes a length only where there is a body; here every message carries one
    return headers if body else (*headers, ("Content-Length", "0"))


def answer(cseq: int | None, session: str, status: int, body: bytes = b"", later_ms: int = 0, text: str = "") -> bytes:
    """A response: `session` is the id's hex digits, empty where the request had none."""
    headers: Headers = (("CSeq", str(cseq)),) if cseq is not None else ()
    if session:
        headers = (*headers, ("Session", session))
    if later_ms > 0:
        headers = (*headers, ("X-Later-Ms", str(later_ms)))
    return Response(status, _sized(headers, body), body, text).encode()


def teardown(session: str, cause: int) -> bytes:
    """The release of a session that stood."""
    return _say("TEARDOWN", session, 2, (("Reason", f"cause={cause}"),))


def redirect(session: str) -> bytes:
    """The viewer is to come again."""
    return _say("REDIRECT", session, 4, ())


def _say(method: str, session: str, cseq: int, more: Headers) -> bytes:
    headers: Headers = (("CSeq", str(cseq)), ("Session", session), *more)
    return Request(method, f"rtsp://media/{session}", _sized(headers, b"")).encode()
