"""Runs a node's process with an audit hook that reports each operation that the platform forbids.

Usage: python confined.py FORBIDDEN_FILE [VIOLATION]. Each forbidden operation is written as a line of FORBIDDEN_FILE.
VIOLATION, one of VIOLATIONS, is committed once the node is up, to test the hook itself.
"""

import os
import socket
import subprocess
import sys
import threading
from pathlib import Path

report_fd = -1
temporary = os.path.realpath(os.environ.get("TMPDIR", "/tmp"))
PROCESS_EVENTS = (
    "os.fork",
    "os.forkpty",
    "os.exec",
    "os.posix_spawn",
    "os.spawn",
    "os.system",
    "pty.spawn",
    "subprocess.Popen",
)
WRITE_EVENTS = (
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
    if event in PROCESS_EVENTS:
        report(event, args)
    elif event in ("socket.bind", "socket.connect", "socket.sendto", "socket.sendmsg"):
        # unnamed Unix sockets within the process (trio wakes itself by them) are allowed, named ones are not
        family = args[0].family
        if family != socket.AF_INET and not (family == socket.AF_UNIX and event == "socket.sendmsg"):
            report(event, args)
    elif event == "socket.__new__" and args[1] not in (socket.AF_INET, socket.AF_UNIX):
        report(event, args)
    elif event == "socket.__new__" and args[2] not in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        report(event, args)
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        # __pycache__: bytecode that the platform's build has compiled already
        if outside(args[0]) and "__pycache__" not in os.fsdecode(args[0]):
            report(event, args)
    elif event in WRITE_EVENTS and outside(args[0]) and "__pycache__" not in os.fsdecode(args[0]):
        report(event, args)


def report(event, args):
    os.write(report_fd, f"{event} {args[:3]!r}\n".encode())


def fork():
    if os.fork() == 0:
        os._exit(0)
    os.wait()


def unix():
    with socket.socket(socket.AF_UNIX) as one:
        one.bind(os.path.join(temporary, "socket"))


VIOLATIONS = {
    "fork": fork,
    "program": lambda: subprocess.run(["true"], check=True),
    "unix": unix,
    "six": lambda: socket.socket(socket.AF_INET6).close(),
    "file": lambda: (Path(temporary).parent / "outside").write_text("x"),
    "folder": lambda: os.mkdir(Path(temporary).parent / "folder"),
}

if __name__ == "__main__":
    report_fd = os.open(sys.argv[1], os.O_WRONLY | os.O_APPEND)
    sys.addaudithook(hook)
    from copperyard.gateway.node.__main__ import main

    if len(sys.argv) > 2:
        threading.Timer(0.2, VIOLATIONS[sys.argv[2]]).start()
    sys.exit(main())
