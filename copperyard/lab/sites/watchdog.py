"""Runs the program's command line until its standard input ends.

The parent process holds the other end, so this process ends with its parent, however that ended.

    python -m copperyard.lab.sites.watchdog serve SITE --name NAME
"""

from __future__ import annotations

import os
import runpy
import sys
import threading


def _watch() -> None:
    while os.read(0, 4096):
        pass
    os._exit(9)


if __name__ == "__main__":
    threading.Thread(target=_watch, daemon=True).start()
    sys.argv[0] = "copperyard"
    runpy.run_module("copperyard.cli.main", run_name="__main__", alter_sys=False)
