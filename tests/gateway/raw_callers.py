"""Callers of an instance on bare sockets."""

import socket

from tests.gateway.gateway_case import WAIT_S


def render_request(target, attempt_id="a1", body=b""):
    """Return the bytes of a request."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: fleet.example\r\n"
        f"X-Attempt-Id: {attempt_id}\r\nAuthorization: Token k1\r\n"
        f"X-Deadline-Ms: 9000\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def connect(port, receive_bytes=None):
    """Return a connection to an instance, with a small receive buffer if asked."""
    caller = socket.socket()
    if receive_bytes:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    caller.settimeout(WAIT_S)
    caller.connect(("127.0.0.1", port))
    return caller


def read_all(caller):
    """Return what comes until the connection ends, and whether it was reset."""
    data = b""
    try:
        while part := caller.recv(1 << 16):
            data += part
    except ConnectionResetError:
        return data, True
    return data, False


def list_statuses(data):
    """Return the statuses of the answers in what a caller has read."""
    lines = data.split(b"HTTP/1.1 ")[1:]
    return [int(line[:3]) for line in lines]
