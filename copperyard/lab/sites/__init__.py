"""Rehearsals of whole sites: simulated ones on a virtual clock, and real processes with a relay between them."""
