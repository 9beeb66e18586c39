"""Settings as XML, validated by an XSD and then checked for consistency."""

from .document import BadSettings, Mistake
from .load import Site, load, parse

__all__ = ["BadSettings", "Mistake", "Site", "load", "parse"]
