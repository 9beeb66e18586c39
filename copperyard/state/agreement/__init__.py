"""A replicated log: a few voters agree on its entries, and all gateways learn them. No I/O in this package.

A voter is a Raft replica with its own recovery after a restart; a learner is a gateway that does not vote. Further
modules hold the messages between them, the hints about newly committed entries, and the interface to the log store in
which a voter keeps its records.
"""
