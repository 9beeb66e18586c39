"""The state machine of a node, without I/O: sessions, attempts, connections to hosts and to viewers."""
