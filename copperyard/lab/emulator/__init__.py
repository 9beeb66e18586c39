"""A simulation model of media hosts and their faults, without I/O."""

from .model import HostModel, HostSpec, QueuedSetup, RackModel, Stream

__all__ = ["HostModel", "HostSpec", "RackModel", "Stream", "QueuedSetup"]
