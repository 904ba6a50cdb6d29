"""HTTP reads from the platform."""

import socket
import threading
import unittest

from fescueflow.core import PlatformUnavailable
from fescueflow.platform.http import (
    Limits,
    connect_directly,
    connect_twice,
    read_url,
)
from fescueflow.platform.store import StoreClient

BODY = b"x" * 50_000


def serve_once(listener, head):
    """Answer the next request; send the body in parts after the head."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        connection.sendall(head)
        for start in range(0, len(BODY), 5_000):
            connection.sendall(BODY[start : start + 5_000])


class ReadUrlTest(unittest.TestCase):
    """Guards against failures to read responses that arrive completely."""

    def test_long_body_with_connection_close(self):
        # http.client closes its socket after a head with "Connection: close"; reading
        # more of the body than was buffered with the head then failed with "Bad file
        # descriptor".
        with socket.create_server(("127.0.0.1", 0)) as listener:
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            head += b"Content-Length: %d\r\n\r\n" % len(BODY)
            thread = threading.Thread(target=serve_once, args=(listener, head))
            thread.start()
            host, port = listener.getsockname()
            url = f"http://{host}:{port}/kv-range"
            answer = read_url(url, Limits(), connect_directly)
            thread.join()
        self.assertEqual(answer.body, BODY)

    def test_each_byte_of_a_cut_head(self):
        """A cut head without its length must not look like an empty response."""
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n",
        )
        for head in heads:
            for size in range(len(head)):
                with self.subTest(head=head[:size]):
                    here, there = socket.socketpair()
                    with here, there:
                        there.sendall(head[:size])
                        there.shutdown(socket.SHUT_WR)
                        with self.assertRaises(PlatformUnavailable):
                            read_url(
                                "http://127.0.0.1/1",
                                Limits(),
                                lambda *_, here=here: here,
                            )


class LostAttemptTest(unittest.TestCase):
    """Guards against calls that fail because one packet was lost."""

    def connect(self, address, timeout_s):
        self.timeouts.append(timeout_s)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, OSError):
            raise outcome
        return outcome

    def run_attempts(self, *outcomes):
        self.timeouts, self.outcomes = [], list(outcomes)
        return connect_twice("127.0.0.1:1", 0.7, self.connect)

    def test_first_attempt_is_not_answered(self):
        self.assertEqual(self.run_attempts(TimeoutError(), "socket"), "socket")
        # Far less than what is left of 2 s after a delay and before a transfer.
        self.assertLessEqual(self.timeouts[0], 0.25)
        self.assertEqual(self.timeouts[1], 0.7)

    def test_no_attempt_is_answered(self):
        with self.assertRaises(TimeoutError):
            self.run_attempts(TimeoutError(), TimeoutError())

    def test_refused_connection_is_not_repeated(self):
        with self.assertRaises(ConnectionRefusedError):
            self.run_attempts(ConnectionRefusedError())
        self.assertEqual(len(self.timeouts), 1)

    def test_calls_of_the_store_repeat_attempts(self):
        self.assertIs(StoreClient("127.0.0.1:1")._connect, connect_twice)


if __name__ == "__main__":
    unittest.main()
