"""A model of media hosts and what happens to them, without I/O. All of it is simulated."""

from .model import HostModel, HostSpec, RackModel, Stream, Ticket

__all__ = ["HostModel", "HostSpec", "RackModel", "Stream", "Ticket"]
