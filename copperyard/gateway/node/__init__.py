"""The I/O of a node on trio: sockets of viewers, media hosts and the name service. It decides nothing.

The platform forbids a node to start programs. On import, trio makes the standard library search for a C library to name
threads with, and that search runs ldconfig, then gcc and ld. Here the search finds nothing, so threads stay unnamed.
"""

import ctypes.util

_find = ctypes.util.find_library
ctypes.util.find_library = lambda name: None
try:
    import trio  # noqa: F401
finally:
    ctypes.util.find_library = _find
