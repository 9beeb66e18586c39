"""Settings as XML, validated by an XSD and then checked for consistency."""

from .document import Mistake, SettingsError
from .load import Site, load, parse

__all__ = ["SettingsError", "Mistake", "Site", "load", "parse"]
