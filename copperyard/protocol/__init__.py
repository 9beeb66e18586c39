"""Codecs and connection state machines without I/O: they take bytes and return events."""
