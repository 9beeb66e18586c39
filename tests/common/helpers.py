"""Re-exports the simulated site, which benchmarks use as well."""

from copperyard.control.zones.plan import ZoneStatus
from copperyard.lab.sites.events import Manner
from copperyard.lab.sites.simulated import MS, RATE, SECOND, Front, Site

__all__ = ["MS", "RATE", "SECOND", "Front", "Manner", "Site", "ZoneStatus"]
