"""Tests of frames: exchanges, timeouts and the ``sent`` flag of failures.

A client releases the slot that a failed request may have obtained only if ``sent``
is True. With a wrong False, the slot stays taken until its home reclaims it.
"""

import errno
import socket
import threading
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueflow.core import Overloaded, PeerError
from fescueflow.metrics import Metrics
from fescueflow.schema import (
    Acknowledgement,
    Frame,
    MintAnswer,
    MintRequest,
    SlotRelease,
    SubmitAnswer,
    SubmitRequest,
)
from fescueflow.transport import FrameClient, FrameServer, Keyring, PeerFailure
from fescueflow.transport import SystemNetwork as Network
from fescueflow.transport.framing import encode_frame
from tests.fakes import find_free_address, make_faulty_network, wait_until

KEYS = "11" * 16
RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN)


def has_only_idle(server):
    connections = list(server._connections)
    return all(connection.idle_since is not None for connection in connections)


class FrameCase(unittest.TestCase):
    def make_server(self, connections_max=8, keys=KEYS):
        server = FrameServer(
            network=Network(),
            address="127.0.0.1:0",
            keyring=Keyring(keys),
            instance="s",
            incarnation=1,
            metrics=Metrics(),
            connections_max=connections_max,
        )
        server.register(MintRequest, self.mint)
        server.start()
        self.addCleanup(server.stop)
        return server

    def make_client(self, network=None, silence_timeout_s=5.0, keys=KEYS):
        client = FrameClient(
            network=network or Network(),
            keyring=Keyring(keys),
            instance="c",
            incarnation=1,
            metrics=Metrics(),
            silence_timeout_s=silence_timeout_s,
        )
        self.addCleanup(client.close)
        return client

    @staticmethod
    def mint(sender, request):
        return MintAnswer([f"{sender.instance}.{n}" for n in range(request.count)])

    def assert_not_sent(self, client, address, content=None, **options):
        with self.assertRaises(PeerError) as caught:
            client.exchange(address, content or MintRequest(1), 2.0, **options)
        self.assertFalse(caught.exception.sent)

    def assert_sent(self, client, address, timeout_s=20.0, **options):
        with self.assertRaises(PeerError) as caught:
            client.exchange(address, MintRequest(1), timeout_s, **options)
        self.assertTrue(caught.exception.sent)


class TestExchange(FrameCase):
    def test_connection_is_reused_and_bytes_are_counted(self):
        """Guards against a new connection for each exchange."""
        server, client = self.make_server(), self.make_client()
        for count in (1, 2, 3):
            answer = client.exchange(server.address, MintRequest(count), 20.0)
            self.assertEqual(len(answer.request_ids), count)
        opened = client._metrics.get_count("peer_connections", direction="opened")
        self.assertEqual(opened, 1)
        sent = client._metrics.get_count(
            "frame_bytes", direction="sent", type="mintRequest"
        )
        received = server._metrics.get_count(
            "frame_bytes", direction="received", type="mintRequest"
        )
        self.assertEqual(sent, received)
        client.exchange(server.address, MintRequest(1), 20.0, reuse=False)
        opened = client._metrics.get_count("peer_connections", direction="opened")
        self.assertEqual(opened, 2)

    def test_concurrent_exchanges_get_their_own_answers(self):
        """Guards against a caller that gets the answer to another caller's request."""
        server, client = self.make_server(connections_max=32), self.make_client()
        wrong = []

        def run(count):
            for _ in range(20):
                answer = client.exchange(server.address, MintRequest(count), 20.0)
                if len(answer.request_ids) != count:
                    wrong.append(count)

        threads = [threading.Thread(target=run, args=(n,)) for n in range(1, 9)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong, [])

    def test_large_answer_is_complete(self):
        """Guards against an answer that ends at a chunk boundary."""
        server, client = self.make_server(), self.make_client()
        body = bytes(range(256)) * 4096
        server.register(SubmitRequest, lambda _, r: SubmitAnswer(200, [], r.body))
        answer = client.exchange(server.address, SubmitRequest(body=body), 20.0)
        self.assertEqual(answer.body, body)

    def test_handler_exceptions_become_failure_frames(self):
        """Guards against an exception that closes the connection without an answer."""
        server, client = self.make_server(), self.make_client()

        def refuse(sender, content):
            raise Overloaded("no slot")

        server.register(SubmitRequest, refuse)
        server.register(SlotRelease, lambda sender, content: 1 / 0)
        cases = {
            "overloaded": SubmitRequest(),
            "internal_error": SlotRelease(),
            "unsupported": Acknowledgement(),
        }
        for error_type, content in cases.items():
            with self.assertRaises(PeerFailure) as caught:
                client.exchange(server.address, content, 20.0)
            self.assertEqual(
                (caught.exception.type, caught.exception.sent), (error_type, True)
            )
        self.assertTrue(client.exchange(server.address, MintRequest(1), 20.0))

    def test_pending_frames_keep_a_slow_exchange_alive(self):
        """Guards against a silence timeout while the handler still runs."""
        server, client = self.make_server(), self.make_client(silence_timeout_s=1.0)
        release = threading.Event()

        def handle(sender, content):
            release.wait(30)
            return Acknowledgement(True)

        def count_pending():
            return client._metrics.get_count(
                "frames", direction="received", type="pending"
            )

        server.register(SlotRelease, handle)
        threading.Thread(
            target=lambda: (
                wait_until(lambda: count_pending() >= 6, 25) and release.set()
            )
        ).start()
        answer = client.exchange(server.address, SlotRelease(), 30.0)
        self.assertEqual(answer, Acknowledgement(True))
        self.assertGreaterEqual(count_pending(), 6)


class TestFailures(FrameCase):
    def test_failure_before_the_first_byte_is_reported_as_not_sent(self):
        """Guards against ``sent`` being True although no byte was written."""
        client = self.make_client()
        self.assert_not_sent(client, find_free_address())
        self.assert_not_sent(client, "not an address")
        self.assert_not_sent(
            client, find_free_address(), SubmitRequest(body=bytes(3 << 20))
        )

    def test_stopped_server_on_pooled_connection(self):
        """A new connection is refused; the pooled one may have transferred bytes."""
        server, client = self.make_server(), self.make_client()
        client.exchange(server.address, MintRequest(1), 20.0)
        server.stop()
        with self.assertRaises(PeerError):
            client.exchange(server.address, MintRequest(1), 20.0)
        self.assert_not_sent(client, server.address, reuse=False)

    def test_pooled_connection_closed_by_the_server_is_retried(self):
        """Guards against a failure just because an idle connection was closed."""
        server, client = self.make_server(), self.make_client()
        client.exchange(server.address, MintRequest(1), 20.0)
        for connection in list(server._connections):
            connection.abort()
        answer = client.exchange(server.address, MintRequest(2), 20.0)
        self.assertEqual(len(answer.request_ids), 2)

    def test_cut_link_times_out_and_a_new_connection_works(self):
        """Guards against an exchange that waits until its deadline on a cut link."""
        network, faults = make_faulty_network()
        server = self.make_server()
        client = self.make_client(network, silence_timeout_s=0.3)
        client.exchange(server.address, MintRequest(1), 20.0)
        faults.cut(server.address)
        self.assert_sent(client, server.address)
        self.assert_not_sent(client, server.address)
        faults.heal(server.address)
        self.assertTrue(client.exchange(server.address, MintRequest(1), 20.0))

    def test_late_answer_is_not_returned_to_the_next_exchange(self):
        """Guards against the reuse of a connection whose exchange timed out."""
        server, client = self.make_server(), self.make_client()
        release = threading.Event()

        def handle(sender, content):
            release.wait(30)
            return Acknowledgement(True)

        server.register(SlotRelease, handle)
        with self.assertRaises(PeerError) as caught:
            client.exchange(server.address, SlotRelease(), 0.4)
        self.assertTrue(caught.exception.sent)
        release.set()
        answer = client.exchange(server.address, MintRequest(1), 20.0)
        self.assertIsInstance(answer, MintAnswer)

    def test_frame_with_another_key_is_rejected(self):
        """Guards against a handler that runs for a sender with another key."""
        server, client = self.make_server(), self.make_client(keys="22" * 16)
        self.assert_sent(client, server.address, reuse=False)
        rejected = server._metrics.get_count("frames_rejected", reason="mac")
        self.assertEqual(rejected, 1)

    def test_full_server_closes_only_idle_connections(self):
        """Guards against a new connection that ends a running exchange."""
        server = self.make_server(connections_max=2)
        clients = [self.make_client() for _ in range(4)]
        for client in clients:
            client.exchange(server.address, MintRequest(1), 20.0)
            # The server marks a connection as idle after it has sent the answer.
            self.assertTrue(wait_until(lambda: has_only_idle(server)))
        release = threading.Event()
        self.addCleanup(release.set)
        running = threading.Semaphore(0)

        def handle(sender, content):
            running.release()
            release.wait(30)
            return Acknowledgement(True)

        server.register(SlotRelease, handle)
        answers = []
        threads = [
            threading.Thread(
                target=lambda c=c: answers.append(
                    c.exchange(server.address, SlotRelease(), 30.0)
                )
            )
            for c in clients[:2]
        ]
        for thread in threads:
            thread.start()
        for _ in threads:
            self.assertTrue(running.acquire(timeout=20))
        self.assert_connection_refused(clients[3], server)
        release.set()
        for thread in threads:
            thread.join()
        self.assertEqual(len(answers), 2)

    def assert_connection_refused(self, client, server):
        with self.assertRaises(PeerError):
            client.exchange(server.address, MintRequest(1), 20.0, reuse=False)
        refused = server._metrics.get_count("peer_connections", direction="refused")
        self.assertGreaterEqual(refused, 1)


class TestRandomBytes(FrameCase):
    def setUp(self):
        self.calls = []
        self.server = self.make_server(connections_max=64)
        self.server.register(MintRequest, lambda *a: self.calls.append(a))
        frame = Frame("c", 1, MintRequest(3))
        self.valid_frame = encode_frame(frame, Keyring(KEYS))

    def send(self, data):
        """Send bytes, end the stream and wait until the server closes it."""
        host, port = self.server.address.split(":")
        with socket.create_connection((host, int(port)), 20) as connection:
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(4096):
                    pass
            except OSError as error:
                # The server may have reset the connection already.
                if error.errno not in RESET_ERRORS:
                    raise

    @settings(max_examples=60)
    @given(st.binary(max_size=200))
    def test_random_bytes_reach_no_handler(self, data):
        self.send(data)
        self.assertEqual(self.calls, [])

    @settings(max_examples=60)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_changed_frame_reaches_no_handler(self, position, mask):
        data = bytearray(self.valid_frame)
        data[position % len(data)] ^= mask
        self.send(bytes(data))
        self.assertEqual(self.calls, [])

    @settings(max_examples=60)
    @given(st.binary(min_size=1, max_size=300))
    def test_signed_malformed_payload_does_not_stop_the_server(self, payload):
        """A faulty peer or another version may sign a payload that can't be decoded."""
        mac = Keyring(KEYS).sign(b"frame\0" + payload)
        self.send(len(payload).to_bytes(4, "big") + mac + payload)
        self.calls.clear()
        self.send(self.valid_frame)
        self.assertEqual(len(self.calls), 1)

    def test_announced_length_above_the_limit_is_rejected(self):
        """Guards against memory that is allocated for an announced length."""
        self.send((3 << 20).to_bytes(4, "big") + bytes(100))
        rejected = self.server._metrics.get_count("frames_rejected", reason="oversized")
        self.assertEqual(rejected, 1)


if __name__ == "__main__":
    unittest.main()
