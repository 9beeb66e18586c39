"""RTSP 1.0 (RFC 2326): messages, headers and the connection state machine, without I/O."""

from .connection import Connection, Event, Limits, MatchedResponse, UnsolicitedResponse
from .messages import Frame, FrameBatch, MalformedInput, Request, Response, frame_header, reason_phrase

__all__ = [
    "Connection",
    "Event",
    "Frame",
    "Limits",
    "MalformedInput",
    "MatchedResponse",
    "Request",
    "Response",
    "FrameBatch",
    "UnsolicitedResponse",
    "frame_header",
    "reason_phrase",
]
