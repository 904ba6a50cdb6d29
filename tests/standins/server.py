"""HTTP server that the stand-ins for external systems are based on."""

import json
import select
import socket
import socketserver
import sys
import threading
from abc import ABC, abstractmethod
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

POLL_CLOSED = select.POLLIN | select.POLLHUP | select.POLLERR | select.POLLRDHUP
STOP_TIMEOUT_S = 5.0


class Exchange(BaseHTTPRequestHandler):
    """HTTP request handler with helpers to inject faults."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length)
        if len(self.body) == length:
            self.server.standin.handle(self)

    do_GET = do_POST = do_PUT = do_PATCH = do_DELETE = do_HEAD = do_any

    def log_message(self, format, *args):
        """Disable the access log."""

    def send(self, status, body, headers=(), length=None):
        """Send a response; ``length`` overrides the Content-Length."""
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("Content-Length", len(body) if length is None else length)
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, status, value, headers=()):
        body = json.dumps(value).encode()
        self.send(status, body, {"Content-Type": "application/json", **dict(headers)})

    def start_stream(self, headers):
        self.send_response(200)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self):
        self.wfile.write(b"0\r\n\r\n")

    def wait_closed(self, seconds):
        """Wait up to ``seconds`` and return whether the caller has disconnected."""
        poll = select.poll()
        poll.register(self.connection, POLL_CLOSED)
        if not poll.poll(max(0.0, seconds) * 1000):
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self.connection.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def drop(self):
        """Shut down the connection without sending anything more."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class TrackingServer(ThreadingHTTPServer):
    """Threading server that can close its open connections."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def __init__(self, address, standin):
        self.standin = standin
        self.connections = set()
        self.lock = threading.Lock()
        super().__init__(address, Exchange)

    def server_bind(self):
        """Bind without the reverse DNS lookup of the base class."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def process_request(self, request, client_address):
        with self.lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def drop_connections(self):
        with self.lock:
            for connection in self.connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def handle_error(self, request, client_address):
        error = sys.exception() if hasattr(sys, "exception") else sys.exc_info()[1]
        if not isinstance(error, ConnectionError | TimeoutError):
            self.standin.errors.append(error)


class StandinServer(ABC):
    """HTTP server on one loopback port, run by threads of this process.

    Parameters
    ----------
    host : str, optional
        A loopback address.

    Attributes
    ----------
    errors : list of Exception
        Unexpected exceptions of handlers; tests check that it is empty.
    """

    def __init__(self, host="127.0.0.1"):
        self.errors = []
        self.host, self.port = host, 0
        self._server = None
        self._thread = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    @property
    def url(self):
        return f"http://{self.address}"

    def start(self):
        """Start listening; after ``stop_listening``, on the same port."""
        if self._server is None:
            self._server = TrackingServer((self.host, self.port), self)
            self.port = self._server.server_port
            self._thread = threading.Thread(
                target=self._server.serve_forever, args=(0.05,), daemon=True
            )
            self._thread.start()
        return self

    def stop_listening(self):
        """Stop accepting connections and close the open ones."""
        server, self._server = self._server, None
        if server is not None:
            server.shutdown()
            server.server_close()
            server.drop_connections()
            self._thread.join(STOP_TIMEOUT_S)

    def stop(self):
        self.stop_listening()

    def __enter__(self):
        return self.start()

    def __exit__(self, *details):
        self.stop()

    @abstractmethod
    def handle(self, exchange):
        """Handle one request."""
