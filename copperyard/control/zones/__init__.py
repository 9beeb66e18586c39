"""The zone plan: which zone's hosts serve which zone's viewers, agreed on by all gateways.

`facts.py` collects the reports of gateways, `rollup.py` aggregates them by cell, `planner.py` makes a plan from them,
`check.py` rejects a plan that would overload a zone, and `follow.py` derives what one front may do under its current
plan, also while the plan expires. No I/O. Decisions about a single session are made in decide.py, not here.
"""
