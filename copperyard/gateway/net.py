"""Network interfaces of the gateway and their TCP and UDP implementation. The lab implements them in memory."""

from __future__ import annotations

import errno
import socket as stdlib_socket
from typing import Protocol

import trio

# errors of a system out of descriptors or memory: temporary, so they must not end a listener
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Stream(Protocol):
    """One connection. Reading returns b"" once the peer has closed; reading and writing raise OSError once it broke."""

    peer: str

    async def receive_some(self, max_bytes: int) -> bytes:
        """Wait for bytes and return at most `max_bytes`."""

    def receive_now(self, max_bytes: int) -> bytes | None:
        """Bytes that can be read without waiting, None if there are none; b"" once the peer has closed."""

    async def send_some(self, data: bytes) -> int:
        """Write as much as fits, waiting for room for at least a byte; returns the number of bytes written."""

    def send_now(self, data: bytes) -> int:
        """Write as much as fits without waiting; returns the number of bytes written."""

    def end_writing(self) -> None:
        """Close the writing half; the peer can still be read."""

    def close(self) -> None:
        """Close at once, without waiting for anything."""


class Listener(Protocol):
    """A listening address."""

    address: str

    async def accept(self) -> Stream:
        """The next connection; trio.ClosedResourceError once the listener is closed."""

    def accept_now(self) -> Stream | None:
        """The next connection that is pending already, None if there is none or no descriptor is free."""

    def close(self) -> None:
        """Stop listening."""


class Network(Protocol):
    """Opens connections and listeners. Addresses are `host:port`."""

    async def connect(self, address: str) -> Stream:
        """Open a connection; raises OSError if that fails."""

    async def listen(self, address: str) -> Listener:
        """Listen; port 0 lets the system choose."""


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port` or `[v6]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class TcpStream:
    """A TCP connection."""

    def __init__(self, sock: stdlib_socket.socket, peer: str) -> None:
        self._sock, self.peer = sock, peer
        sock.setblocking(False)
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Wait for bytes and return at most `max_bytes`."""
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self._sock.recv(max_bytes)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._sock)

    def receive_now(self, max_bytes: int) -> bytes | None:
        """Bytes that can be read without waiting, None if there are none."""
        try:
            return self._sock.recv(max_bytes)
        except BlockingIOError:
            return None

    async def send_some(self, data: bytes) -> int:
        """Write as much as fits, waiting for room for at least a byte."""
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self._sock.send(data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._sock)

    def send_now(self, data: bytes) -> int:
        """Write as much as fits without waiting."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def end_writing(self) -> None:
        """Close the writing half, if it is still open."""
        try:
            self._sock.shutdown(stdlib_socket.SHUT_WR)
        except OSError:
            pass  # closed in both directions already

    def close(self) -> None:
        """Close at once and wake the tasks that wait on the socket."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class TcpListener:
    """A listening TCP socket."""

    def __init__(self, sock: stdlib_socket.socket) -> None:
        self._sock = sock
        sock.setblocking(False)
        host, port = sock.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def accept(self) -> TcpStream:
        """The next connection; retries after 0.1 s while the system is out of resources."""
        await trio.lowlevel.checkpoint()
        while True:
            if self._sock.fileno() < 0:
                raise trio.ClosedResourceError("the listener was closed")
            try:
                return self._accept()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._sock)
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    raise
                await trio.sleep(0.1)

    def accept_now(self) -> TcpStream | None:
        """The next pending connection, None if there is none or no resources are free."""
        try:
            return self._accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in RESOURCE_ERRNOS:
                raise
            return None

    def _accept(self) -> TcpStream:
        while True:
            try:
                sock, peer = self._sock.accept()
            except OSError as error:
                # the peer had gone before the connection was accepted
                if error.errno in (errno.ECONNABORTED, errno.EPERM, errno.EPROTO):
                    continue
                raise
            return TcpStream(sock, f"{peer[0]}:{peer[1]}")

    def close(self) -> None:
        """Stop listening and wake the task that waits in `accept`."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class TcpNetwork:
    """TCP sockets of this machine. `backlog` bounds the connections that wait to be accepted."""

    def __init__(self, backlog: int = 1024) -> None:
        self.backlog = backlog

    async def connect(self, address: str) -> TcpStream:
        """Open a TCP connection, by IPv6 if the host contains a colon."""
        host, port = split_address(address)
        sock = trio.socket.socket(
            stdlib_socket.AF_INET6 if ":" in host else stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM
        )
        try:
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        return TcpStream(_to_stdlib_socket(sock), address)

    async def listen(self, address: str) -> TcpListener:
        """Listen on a TCP address, which may still have connections in TIME_WAIT."""
        host, port = split_address(address)
        sock = trio.socket.socket(
            stdlib_socket.AF_INET6 if ":" in host else stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM
        )
        try:
            sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_REUSEADDR, 1)
            await sock.bind((host, port))
            sock.listen(self.backlog)
        except BaseException:
            sock.close()
            raise
        return TcpListener(_to_stdlib_socket(sock))


def _to_stdlib_socket(sock: trio.socket.SocketType) -> stdlib_socket.socket:
    """The same connection as a socket of the standard library, which can also read and write without waiting."""
    return stdlib_socket.socket(sock.family, sock.type, sock.proto, sock.detach())


def now() -> int:
    """The time in ns on trio's clock, which may be a virtual one."""
    return round(trio.current_time() * 1e9)


def trio_deadline(ns: int) -> float:
    """A time of that clock in seconds, as trio's deadlines take it."""
    return ns / 1e9


class DatagramSocket(Protocol):
    """A UDP socket with one peer."""

    async def readable(self) -> None:
        """Wait until a datagram can be read."""

    def receive_now(self) -> bytes | None:
        """The next datagram, None if there is none; raises OSError if the peer's machine reports a closed port."""

    def send_now(self, data: bytes) -> None:
        """Send one datagram; without buffer space it is lost, as any datagram may be."""

    def close(self) -> None:
        """Close at once."""


class UdpSocket:
    """A UDP socket with one peer; the system drops datagrams of others."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._sock = stdlib_socket.socket(
            stdlib_socket.AF_INET6 if ":" in host else stdlib_socket.AF_INET, stdlib_socket.SOCK_DGRAM
        )
        self._sock.setblocking(False)
        try:
            self._sock.connect((host, port))
        except BaseException:
            self._sock.close()
            raise

    async def readable(self) -> None:
        """Wait until a datagram can be read."""
        await trio.lowlevel.wait_readable(self._sock)

    def receive_now(self) -> bytes | None:
        """The next datagram, None if there is none."""
        try:
            return self._sock.recv(65535)
        except BlockingIOError:
            return None

    def send_now(self, data: bytes) -> None:
        """Send one datagram, dropping it without buffer space."""
        try:
            self._sock.send(data)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Close at once and wake the task that waits for a datagram."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


class AutoResetEvent:
    """Event for one waiting task, which resets itself; a set without a waiting task is kept."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task, or the next one to wait."""
        self._event.set()

    async def wait(self) -> None:
        """Wait until set, then reset."""
        await self._event.wait()
        self._event = trio.Event()
