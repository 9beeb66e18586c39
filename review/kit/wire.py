"""The platform's messages, written from the protocol page alone: binary messages of hosts, RTSP of viewers, DNS."""

from __future__ import annotations

import struct

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, TEST, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT, TITLE, REPORT, RUNG_PARAM, CAUSE, DESCRIPTION = 180, 183, 192, 207, 213, 222, 225
OK, CANCELLED, FULL, RESET, ERROR = 16, 31, 34, 41, 47


def message(kind: int, session: bytes, *params: tuple[int, bytes]) -> bytes:
    """One binary message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in params)
    return struct.pack(">HB8s", 9 + len(body), kind, session) + body


def release(session: bytes, cause: int) -> bytes:
    """A release with its cause."""
    return message(RELEASE, session, (CAUSE, bytes((cause,))))


def split_messages(data: bytearray) -> list[tuple[int, bytes, dict[int, bytes]]]:
    """Take the complete messages off the front of `data`: type, session, parameters."""
    found = []
    while len(data) >= 2 and len(data) >= 2 + (data[0] << 8 | data[1]):
        end = 2 + (data[0] << 8 | data[1])
        kind, session, params, pos = data[2], bytes(data[3:11]), {}, 11
        while pos < end:
            code, size = struct.unpack_from(">BH", data, pos)
            params[code] = bytes(data[pos + 3 : pos + 3 + size])
            pos += 3 + size
        found.append((kind, session, params))
        del data[:end]
    return found


def rtsp(line: str, body: bytes = b"", **headers: str) -> bytes:
    """One RTSP message; an underscore in a header's name stands for a hyphen."""
    lines = [line, *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())]
    return "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode() + body


def split_rtsp(data: bytearray) -> list[tuple[str, dict[str, str], bytes]]:
    """Take the complete RTSP messages off the front of `data`: first line, headers (names in lower case), body."""
    found = []
    while (end := data.find(b"\r\n\r\n")) >= 0:
        first, *rest = data[:end].decode().split("\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        size = int(headers.get("content-length", "0"))
        if len(data) < end + 4 + size:
            break
        found.append((first, headers, bytes(data[end + 4 : end + 4 + size])))
        del data[: end + 4 + size]
    return found


def _name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def _resource(name: str, kind: int, data: bytes) -> bytes:
    return _name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


def dns_answer(query: bytes, serial: int, hosts: list[dict]) -> bytes:
    """The whole list as the answer to a query: SRV, A and TXT records, and the number of the last event as SOA serial.

    A host has `name`, `address` (ip, port), `cell`, `zone`, `kind`, `weight`, `draining` and `started` (Unix ms, or 0).
    """
    answers, additional = [], []
    for host in hosts:
        target = f"{host['name']}.{host['zone']}.hosts"
        ip, port = host["address"]
        srv = struct.pack(">HHH", int(host["draining"]), round(10 * host["weight"]), port) + _name(target)
        answers.append(_resource("_work._tcp.fleet.local", 33, srv))
        additional.append(_resource(target, 1, bytes(int(part) for part in ip.split("."))))
        texts = (f"kind={host['kind']}", f"cell={host['cell']}", f"started={host['started']}")
        additional.append(_resource(target, 16, b"".join(bytes((len(t),)) + t.encode() for t in texts)))
    soa = _name("ns.fleet.local") + _name("admin.fleet.local") + struct.pack(">IIIII", serial, 1, 1, 1, 1)
    question_end = query.index(b"\0", 12) + 5
    header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(answers), 1, len(additional))
    authority = _resource("fleet.local", 6, soa)
    return header + query[12:question_end] + b"".join(answers) + authority + b"".join(additional)
