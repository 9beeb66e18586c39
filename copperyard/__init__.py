"""Decisions of a session controller for streamed video."""
