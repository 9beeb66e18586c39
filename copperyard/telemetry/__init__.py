"""Structured logs and their format."""
