"""The I/O of a front on trio: sockets in, core calls, orders out. Nothing is decided here."""
