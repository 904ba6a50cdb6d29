"""HTTP reads from the platform."""

import socket
import threading
import unittest

from fescueflow.core import PlatformUnavailable
from fescueflow.platform.http import Limits, connect_directly, read_url

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


if __name__ == "__main__":
    unittest.main()
