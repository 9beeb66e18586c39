"""The network as the gateway sees it, and its form on TCP sockets. A virtual one fills the same shapes."""

from __future__ import annotations

import errno
import socket as plain
from typing import Protocol

import trio

# what a system out of descriptors or memory says for a while, which may not end a listener
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CLOSED = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Stream(Protocol):
    """One connection. Reading gives b"" at the peer's end; both raise OSError once it broke."""

    peer: str

    async def receive_some(self, most: int) -> bytes:
        """Bytes as they come, at most `most`."""

    def receive_now(self, most: int) -> bytes | None:
        """Bytes that are there already, None where none are; b"" at the peer's end."""

    async def send_some(self, data: bytes) -> int:
        """Write what fits now, at least a byte; how many were written."""

    def send_now(self, data: bytes) -> int:
        """Write what fits without waiting, 0 where nothing does."""

    def end_writing(self) -> None:
        """Close the writing half; the peer may still be read."""

    def close(self) -> None:
        """Close at once, without waiting for anything."""


class Listener(Protocol):
    """A listening address."""

    address: str

    async def accept(self) -> Stream:
        """The next connection; trio.ClosedResourceError once the listener is closed."""

    def accept_now(self) -> Stream | None:
        """The next connection that waits already, None where none does or no descriptor is free."""

    def close(self) -> None:
        """Listen no more."""


class Network(Protocol):
    """Where connections come from. Addresses are `host:port`."""

    async def connect(self, address: str) -> Stream:
        """A connection; OSError where there is none to be had."""

    async def listen(self, address: str) -> Listener:
        """Listen; port 0 lets the system choose."""


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port` or `[v6]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class TcpStream:
    """A TCP connection."""

    def __init__(self, sock: plain.socket, peer: str) -> None:
        self._sock, self.peer = sock, peer
        sock.setblocking(False)
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)

    async def receive_some(self, most: int) -> bytes:
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self._sock.recv(most)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._sock)

    def receive_now(self, most: int) -> bytes | None:
        try:
            return self._sock.recv(most)
        except BlockingIOError:
            return None

    async def send_some(self, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self._sock.send(data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._sock)

    def send_now(self, data: bytes) -> int:
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def end_writing(self) -> None:
        try:
            self._sock.shutdown(plain.SHUT_WR)
        except OSError:
            pass  # it is gone both ways already

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class TcpListener:
    """A listening TCP socket."""

    def __init__(self, sock: plain.socket) -> None:
        self._sock = sock
        sock.setblocking(False)
        host, port = sock.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def accept(self) -> TcpStream:
        await trio.lowlevel.checkpoint()
        while True:
            if self._sock.fileno() < 0:
                raise trio.ClosedResourceError("the listener was closed")
            try:
                return self._take()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._sock)
            except OSError as error:
                if error.errno not in NO_ROOM:
                    raise
                await trio.sleep(0.1)

    def accept_now(self) -> TcpStream | None:
        try:
            return self._take()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            return None

    def _take(self) -> TcpStream:
        while True:
            try:
                sock, peer = self._sock.accept()
            except OSError as error:
                # a peer that was gone before it was accepted
                if error.errno in (errno.ECONNABORTED, errno.EPERM, errno.EPROTO):
                    continue
                raise
            return TcpStream(sock, f"{peer[0]}:{peer[1]}")

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class TcpNetwork:
    """TCP of this machine. `backlog`: connections that wait to be accepted."""

    def __init__(self, backlog: int = 1024) -> None:
        self.backlog = backlog

    async def connect(self, address: str) -> TcpStream:
        host, port = split_address(address)
        sock = trio.socket.socket(plain.AF_INET6 if ":" in host else plain.AF_INET, plain.SOCK_STREAM)
        try:
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        return TcpStream(_plain(sock), address)

    async def listen(self, address: str) -> TcpListener:
        host, port = split_address(address)
        sock = trio.socket.socket(plain.AF_INET6 if ":" in host else plain.AF_INET, plain.SOCK_STREAM)
        try:
            sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
            await sock.bind((host, port))
            sock.listen(self.backlog)
        except BaseException:
            sock.close()
            raise
        return TcpListener(_plain(sock))


def _plain(sock: trio.socket.SocketType) -> plain.socket:
    """The same connection as a socket of the standard library, which can also write without waiting."""
    return plain.socket(sock.family, sock.type, sock.proto, sock.detach())


def now() -> int:
    """The clock of everything here, in ns: trio's, so that a virtual one serves as well."""
    return round(trio.current_time() * 1e9)


def at(ns: int) -> float:
    """A time of that clock as trio's deadlines want it."""
    return ns / 1e9


class Datagrams(Protocol):
    """A UDP socket with one peer."""

    async def readable(self) -> None:
        """Wait until something lies unread."""

    def receive_now(self) -> bytes | None:
        """The next datagram, None where none is there; OSError where the peer's machine said that nobody listens."""

    def send_now(self, data: bytes) -> None:
        """Send one datagram; where it finds no room it is lost, as any may be."""

    def close(self) -> None:
        """Close at once."""


class UdpSocket:
    """UDP with one peer: the system drops what others send."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._sock = plain.socket(plain.AF_INET6 if ":" in host else plain.AF_INET, plain.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.connect((host, port))
        except BaseException:
            self._sock.close()
            raise

    async def readable(self) -> None:
        await trio.lowlevel.wait_readable(self._sock)

    def receive_now(self) -> bytes | None:
        try:
            return self._sock.recv(65535)
        except BlockingIOError:
            return None

    def send_now(self, data: bytes) -> None:
        try:
            self._sock.send(data)
        except BlockingIOError:
            pass

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class Signal:
    """Wakes one waiting task; a set while nobody waits is kept."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        self._event.set()

    async def wait(self) -> None:
        await self._event.wait()
        self._event = trio.Event()
