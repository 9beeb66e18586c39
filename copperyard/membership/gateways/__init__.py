"""Membership of gateways: SWIM with suspicion and Lifeguard's local health multiplier.

`members.py` is the protocol, `messages.py` its messages, `reachability.py` which zone reaches which, and `cells.py` the
partition of the gateways into cells. No I/O.
"""
