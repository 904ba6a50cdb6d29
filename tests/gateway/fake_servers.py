"""Fake servers for the platform's store and for upstreams."""

import base64
import contextlib
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class FakeStore:
    """Key-value store with reads and watches over HTTP."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.is_down = False
        self._changed = threading.Condition()
        self._server = start_server(self._make_handler())
        self.port = self._server.server_address[1]

    def put(self, key, document):
        """Write a document, or delete the key for ``None``."""
        with self._changed:
            revision = len(self.changes) + 1
            entry = {"key": key, "revision": revision}
            if document is None:
                self.items.pop(key, None)
                entry["deleted"] = True
            else:
                raw = document if isinstance(document, bytes) else encode(document)
                entry["value"] = base64.b64encode(raw).decode()
                self.items[key] = entry
            self.changes.append(entry)
            self._changed.notify_all()

    def close(self):
        """Stop the server."""
        with self._changed:
            self.is_down = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def answer(self, path, query):
        """Return status and document for one call."""
        with self._changed:
            if self.is_down:
                return 503, {}
            prefix = query["prefix"]
            if path == "/kv-range":
                found = [
                    self.items[k] for k in sorted(self.items) if k.startswith(prefix)
                ]
                return 200, {
                    "entries": found,
                    "has_more": False,
                    "at": self.latest_revision,
                }
            after, deadline = int(query["after"]), time.monotonic()
            deadline += int(query["wait_ms"]) / 1000
            while True:
                found = [c for c in self.changes[after:] if c["key"].startswith(prefix)]
                remaining_s = deadline - time.monotonic()
                if found or remaining_s <= 0 or self.is_down:
                    return 200, {"events": found, "at": self.latest_revision}
                self._changed.wait(remaining_s)

    @property
    def latest_revision(self):
        """Revision of the last change."""
        return len(self.changes)

    def _make_handler(self):
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
                status, document = store.answer(parts.path, query)
                self.send_with_length(status, [], encode(document))

        return Handler


class FakeUpstream:
    """Upstream with scripted behavior.

    ``script`` is called with the handler of each request for this upstream; requests
    for another one get status 421. With ``reads_body`` false, the script reads the body
    itself.
    """

    reads_body = True

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.arrivals = []
        self.misdirected = 0
        self.cancelled = threading.Event()
        self._server = start_server(self._make_handler())
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def make_entry(self, service="engines", zone="a", **changes):
        """Return the entry of this upstream in the store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        return {**entry, **changes}

    def stop_listening(self):
        """Refuse new connections."""
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()

    def _make_handler(self):
        upstream = self

        class Handler(QuietHandler):
            upstream_name = upstream.name
            cancelled = upstream.cancelled

            def do_POST(self):
                length = int(self.headers.get("Content-Length", 0))
                self.body = self.rfile.read(length) if upstream.reads_body else b""
                if self.headers["X-Expect-Instance"] != upstream.name:
                    upstream.misdirected += 1
                    echo = [("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))]
                    self.send_with_length(421, echo, b"")
                    return
                upstream.arrivals.append((self.path, dict(self.headers), self.body))
                upstream.script(self)

            do_GET = do_HEAD = do_POST

        return Handler


class QuietHandler(BaseHTTPRequestHandler):
    """Request handler with the responses that scripts use."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Print nothing."""

    def send_with_length(self, status, headers, body):
        """Send a response with a Content-Length header."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_sealed(self, status=200, body=b"answer", headers=()):
        """Send a response with the headers that mark it as the upstream's own."""
        self.send_with_length(status, [*self.make_seal(), *headers], body)

    def make_seal(self):
        """Return the headers of every response of an upstream."""
        attempt_id = self.headers.get("X-Attempt-Id", "")
        seal = f"{self.upstream_name}.{attempt_id}"
        return [("X-Attempt-Id", attempt_id), ("X-Server-Seal", seal)]

    def start_stream(self):
        """Send the head of an event stream."""
        self.send_response(200)
        for name, value in self.make_seal():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_event(self, number):
        """Send one event of a stream."""
        self.send_part(make_event(number))

    def send_part(self, data):
        """Send one chunk; sets ``cancelled`` if the connection is closed."""
        try:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        except OSError:
            self.cancelled.set()
            self.close_connection = True

    def end_stream(self):
        """Send the end of a stream."""
        self.wfile.write(b"0\r\n\r\n")

    def reset_connection(self):
        """Reset the connection."""
        linger = b"\x01\0\0\0\0\0\0\0"
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()
        self.close_connection = True


def make_event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: part %d\n\n" % (number, number)


def encode(document):
    """Return a document as bytes."""
    return json.dumps(document).encode()


class QuietServer(ThreadingHTTPServer):
    """Server that doesn't print the errors of connections that tests reset."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Print nothing."""


def start_server(handler):
    """Start an HTTP server on a free port."""
    server = QuietServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server
