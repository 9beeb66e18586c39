"""Codecs and connection state machines without I/O: bytes in, events out."""
