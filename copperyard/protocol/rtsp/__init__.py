"""RTSP 1.0 (RFC 2326): messages, headers and the connection state machine, without I/O."""

from .connection import Connection, Event, Limits, Reply, Unasked
from .messages import Frame, Malformed, Request, Response, Run, frame_header, reason_phrase

__all__ = [
    "Connection",
    "Event",
    "Frame",
    "Limits",
    "Malformed",
    "Reply",
    "Request",
    "Response",
    "Run",
    "Unasked",
    "frame_header",
    "reason_phrase",
]
