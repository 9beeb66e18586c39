"""Settings as XML, checked against an XSD and then against each other."""

from .load import BadSettings, Mistake, Site, load, parse

__all__ = ["BadSettings", "Mistake", "Site", "load", "parse"]
