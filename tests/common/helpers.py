"""Re-exports the simulated site, which benchmarks use as well."""

from copperyard.control.zones.plan import ZoneStatus
from copperyard.lab.sites.simulated_network import LinkConditions
from copperyard.lab.sites.simulated_site import MS, SECOND, SESSION_KB, SimulatedFront, SimulatedSite

__all__ = ["MS", "SESSION_KB", "SECOND", "SimulatedFront", "LinkConditions", "SimulatedSite", "ZoneStatus"]
