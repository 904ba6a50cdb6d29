"""Socket interface, injected so that tests can simulate network faults."""

import ipaddress
import select
import socket
from abc import ABC, abstractmethod
from functools import lru_cache

LISTEN_BACKLOG = 512
# Holds the datagrams that arrive while the receive task is not scheduled, for about
# 0.5 s at 2,000 datagrams/s.
RECEIVE_BUFFER_BYTES = 1 << 20
DATAGRAM_READ_BYTES_MAX = 2048


@lru_cache(maxsize=8192)
def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into IP address and port.

    Unlike in settings, port 0 (any free port) is allowed.

    Raises
    ------
    ValueError
        If the address is not a numeric IP address and a port.
    """
    host, separator, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{address!r} is not ip:port")
    return host, int(port)


def format_address(host: str, port: int) -> str:
    """Return ``ip:port``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def choose_family(host: str) -> socket.AddressFamily:
    """Return the address family of a numeric IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


class DatagramSocket(ABC):
    """A bound UDP socket."""

    address: str

    @abstractmethod
    def send(self, data: bytes, address: str) -> None:
        """Send one datagram; raises ``OSError`` or ``ValueError``."""

    @abstractmethod
    def receive(self, timeout_s: float) -> tuple[bytes, str] | None:
        """Return the next datagram and its source, ``None`` after the timeout."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


class Network(ABC):
    """Factory of sockets; addresses are ``ip:port``."""

    @abstractmethod
    def bind_datagram(self, address: str) -> DatagramSocket:
        """Return a bound UDP socket."""

    @abstractmethod
    def listen(self, address: str) -> socket.socket:
        """Return a listening TCP socket."""

    @abstractmethod
    def connect(self, address: str, timeout_s: float) -> socket.socket:
        """Return a connected TCP socket; raises ``OSError`` or ``ValueError``."""


class SystemDatagramSocket(DatagramSocket):
    """UDP socket of the operating system."""

    def __init__(self, address: str) -> None:
        host, port = parse_address(address)
        self._socket = socket.socket(choose_family(host), socket.SOCK_DGRAM)
        try:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._socket.bind((host, port))
            self._socket.setblocking(False)
        except OSError:
            self._socket.close()
            raise
        self.address = format_address(*self._socket.getsockname()[:2])
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram; raises ``BlockingIOError`` if the buffer is full."""
        self._socket.sendto(data, parse_address(address))

    def receive(self, timeout_s: float) -> tuple[bytes, str] | None:
        """Return the next datagram and its source, ``None`` after the timeout."""
        if not self._readable.poll(timeout_s * 1000):
            return None
        try:
            data, source = self._socket.recvfrom(DATAGRAM_READ_BYTES_MAX)
        except BlockingIOError:
            return None
        return data, format_address(*source[:2])

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class SystemNetwork(Network):
    """Sockets of the operating system."""

    def bind_datagram(self, address: str) -> DatagramSocket:
        """Return a bound UDP socket."""
        return SystemDatagramSocket(address)

    def listen(self, address: str) -> socket.socket:
        """Return a listening TCP socket."""
        host, port = parse_address(address)
        return socket.create_server(
            (host, port), family=choose_family(host), backlog=LISTEN_BACKLOG
        )

    def connect(self, address: str, timeout_s: float) -> socket.socket:
        """Return a connected TCP socket with Nagle's algorithm disabled."""
        connection = socket.create_connection(parse_address(address), timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


__all__ = [
    "DatagramSocket",
    "Network",
    "SystemNetwork",
    "format_address",
    "parse_address",
]
