"""Logs of the program."""
