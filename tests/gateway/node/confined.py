"""Runs a node's process as the platform does, with a hook that tells each thing that the platform refuses there.

Usage: python confined.py FORBIDDEN_FILE [PLANT]. Each forbidden act is a line of FORBIDDEN_FILE. PLANT, one of PLANTS,
is done when the node has come up: a hook that sees nothing would pass any node.
"""

import os
import socket
import subprocess
import sys
import threading
from pathlib import Path

told = -1
temporary = os.path.realpath(os.environ.get("TMPDIR", "/tmp"))
STARTS = (
    "os.fork",
    "os.forkpty",
    "os.exec",
    "os.posix_spawn",
    "os.spawn",
    "os.system",
    "pty.spawn",
    "subprocess.Popen",
)
WRITES = (
    "os.remove",
    "os.rename",
    "os.mkdir",
    "os.rmdir",
    "os.link",
    "os.symlink",
    "os.truncate",
    "os.chmod",
    "os.chown",
    "os.utime",
    "os.setxattr",
)


def outside(path):
    return isinstance(path, str | bytes) and not os.path.realpath(os.fsdecode(path)).startswith(temporary + os.sep)


def hook(event, args):
    if event in STARTS:
        tell(event, args)
    elif event in ("socket.bind", "socket.connect", "socket.sendto", "socket.sendmsg"):
        # an unnamed pair within the process (trio's own bell) has nobody to come to it; a name would
        family = args[0].family
        if family != socket.AF_INET and not (family == socket.AF_UNIX and event == "socket.sendmsg"):
            tell(event, args)
    elif event == "socket.__new__" and args[1] not in (socket.AF_INET, socket.AF_UNIX):
        tell(event, args)
    elif event == "socket.__new__" and args[2] not in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        tell(event, args)
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        # bytecode of modules that the platform's build has compiled already
        if outside(args[0]) and "__pycache__" not in os.fsdecode(args[0]):
            tell(event, args)
    elif event in WRITES and outside(args[0]) and "__pycache__" not in os.fsdecode(args[0]):
        tell(event, args)


def tell(event, args):
    os.write(told, f"{event} {args[:3]!r}\n".encode())


def fork():
    if os.fork() == 0:
        os._exit(0)
    os.wait()


def unix():
    with socket.socket(socket.AF_UNIX) as one:
        one.bind(os.path.join(temporary, "socket"))


PLANTS = {
    "fork": fork,
    "program": lambda: subprocess.run(["true"], check=True),
    "unix": unix,
    "six": lambda: socket.socket(socket.AF_INET6).close(),
    "file": lambda: (Path(temporary).parent / "outside").write_text("x"),
    "folder": lambda: os.mkdir(Path(temporary).parent / "folder"),
}

if __name__ == "__main__":
    told = os.open(sys.argv[1], os.O_WRONLY | os.O_APPEND)
    sys.addaudithook(hook)
    from copperyard.gateway.node.__main__ import main

    if len(sys.argv) > 2:
        threading.Timer(0.2, PLANTS[sys.argv[2]]).start()
    sys.exit(main())
