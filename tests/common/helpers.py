"""The simulated site, which has its home in the laboratory: benchmarks use it as well."""

from copperyard.control.zones.plan import Standing
from copperyard.lab.sites.events import Manner
from copperyard.lab.sites.simulated import MS, RATE, SECOND, Front, Site

__all__ = ["MS", "RATE", "SECOND", "Front", "Manner", "Site", "Standing"]
