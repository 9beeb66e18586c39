"""I/O of the coordination between gateways: links, a voter's log store, and the tasks that carry out actions.

No decisions are made here.
"""
