"""Tests of what the command line reads from a running instance."""

import socket
import unittest
from unittest import mock

from fescueflow.cli.remote import RemoteError, get_audit_records, get_body


class AuditRecordsTest(unittest.TestCase):
    """Guards against a traceback for a body of another form."""

    def read(self, body):
        with mock.patch("fescueflow.cli.remote.get_body", return_value=(body, {})):
            return get_audit_records("127.0.0.1:1", 0)

    def test_bodies_without_records(self):
        for body in (b"7", b"null", b'"x"', b"[1]", b'{"records": 7}', b"7\n8", b"{"):
            with self.subTest(body=body), self.assertRaises(RemoteError):
                self.read(body)

    def test_records(self):
        for body in (b'{"a": 1}\n{"a": 2}', b'[{"a": 1}, {"a": 2}]'):
            with self.subTest(body=body):
                self.assertEqual(self.read(body), [{"a": 1}, {"a": 2}])


class CutResponseTest(unittest.TestCase):
    """Guards against a cut response that is printed as a whole one."""

    def test_each_byte(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Last: 1\r\n\r\nwhole"
        for size in range(len(whole) + 1):
            here, there = socket.socketpair()
            with there, mock.patch("socket.create_connection", return_value=here):
                there.sendall(whole[:size])
                there.shutdown(socket.SHUT_WR)
                if size == len(whole):
                    self.assertEqual(get_body("127.0.0.1:1", "/")[0], b"whole")
                    continue
                with self.subTest(size=size), self.assertRaises(RemoteError):
                    get_body("127.0.0.1:1", "/")


if __name__ == "__main__":
    unittest.main()
