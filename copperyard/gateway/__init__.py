"""The I/O of a gateway on trio: sockets, files and timers call the core, which makes all decisions."""
