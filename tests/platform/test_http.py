"""HTTP reads from the platform."""

import socket
import threading
import unittest

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


if __name__ == "__main__":
    unittest.main()
