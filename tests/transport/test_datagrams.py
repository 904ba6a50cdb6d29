"""Tests of datagrams: only authentic, well-formed ones reach a handler."""

import threading
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.metrics import Metrics
from fescueflow.schema import (
    CarriedLoad,
    ConfigurationNotice,
    Datagram,
    LeaseRequest,
    LoadDigest,
    Ping,
)
from fescueflow.transport import (
    DatagramEndpoint,
    Keyring,
    SystemNetwork,
    decode_datagram,
    encode_datagram,
)
from fescueflow.transport.datagrams import PROTOCOL_VERSION
from tests.fakes import make_faulty_network, wait_until

KEY_1, KEY_2 = "11" * 16, "22" * 16


def make_endpoint(instance="i1", incarnation=1, network=None, keys=KEY_1):
    return DatagramEndpoint(
        network=network or SystemNetwork(),
        address="127.0.0.1:0",
        keyring=Keyring(keys),
        instance=instance,
        incarnation=incarnation,
        metrics=Metrics(),
    )


def count_rejected(endpoint, reason):
    return endpoint._metrics.get_count("datagrams_rejected", reason=reason)


class TestDatagramEndpoint(unittest.TestCase):
    def start(self, *args, **kwargs):
        endpoint = make_endpoint(*args, **kwargs)
        endpoint.start()
        self.addCleanup(endpoint.stop)
        return endpoint

    def test_invalid_address_does_not_prevent_sending_to_others(self):
        """Guards against a send_all() that stops at the first failed address."""
        sender, receivers = self.start("i1"), [self.start("i2"), self.start("i3")]
        received = []
        for receiver in receivers:
            receiver.register(Ping, lambda sender, ping: received.append(ping))
        first, last = (receiver.address for receiver in receivers)
        sender.send_all([first, "no address", last], Ping(sequence=5))
        self.assertTrue(wait_until(lambda: len(received) == 2))
        labels = {"direction": "sent", "type": "ping"}
        self.assertEqual(sender._metrics.get_count("datagrams", **labels), 2)
        failed = sender._metrics.get_count("datagram_send_errors", reason="invalid")
        self.assertEqual(failed, 1)

    def test_message_arrives_with_sender_and_is_counted(self):
        """Guards against a wrong sender identity or source address in a handler."""
        first, second = self.start("i1", 7), self.start("i2")
        received = []
        second.register(Ping, lambda sender, ping: received.append((sender, ping)))
        first.send(second.address, Ping(sequence=5))
        self.assertTrue(wait_until(lambda: received))
        sender, ping = received[0]
        self.assertEqual((sender.instance, sender.incarnation), ("i1", 7))
        self.assertEqual((sender.address, ping.sequence), (first.address, 5))
        sent = first._metrics.get_count("datagram_bytes", direction="sent", type="ping")
        labels = {"direction": "received", "type": "ping"}
        self.assertGreater(sent, 0)
        self.assertEqual(second._metrics.get_count("datagram_bytes", **labels), sent)
        self.assertEqual(second._metrics.get_count("datagrams", **labels), 1)

    def test_handler_that_raises_does_not_end_the_receive_task(self):
        """Guards against one handler's exception that stops all datagrams."""
        first, second = self.start("i1"), self.start("i2")
        done = threading.Event()

        def fail(sender, ping):
            raise RuntimeError("handler failed")

        second.register(Ping, fail)
        second.register(ConfigurationNotice, lambda sender, notice: done.set())
        first.send(second.address, Ping())
        first.send(second.address, ConfigurationNotice(revision=1))
        self.assertTrue(done.wait(10))
        errors = second._metrics.get_count("datagram_handler_errors", type="ping")
        self.assertEqual(errors, 1)

    def test_send_never_raises(self):
        """Guards against a failed send that ends the task of the caller."""
        endpoint = make_endpoint()
        endpoint.send("127.0.0.1:9", Ping())
        endpoint.start()
        self.addCleanup(endpoint.stop)
        endpoint.send("not an address", Ping())
        # Multiples of a large odd number modulo 2**64 do not compress.
        references = [n * 0x9E37_79B9_7F4A_7C15 % 2**64 for n in range(1, 401)]
        endpoint.send("127.0.0.1:9", LeaseRequest(upstreams=references))
        endpoint.send("127.0.0.1:9", Ping(sequence=-1))
        for reason in ("closed", "oversized"):
            count = endpoint._metrics.get_count("datagram_send_errors", reason=reason)
            self.assertEqual(count, 1, reason)
        invalid = endpoint._metrics.get_count("datagram_send_errors", reason="invalid")
        self.assertEqual(invalid, 2)

    def test_cut_link_and_loss_drop_datagrams(self):
        """Guards against a faulty network that lets datagrams pass in other tests."""
        network, faults = make_faulty_network()
        first, second = self.start("i1", network=network), self.start("i2")
        received = []
        second.register(Ping, lambda sender, ping: received.append(ping.sequence))
        faults.cut(second.address)
        first.send(second.address, Ping(sequence=1))
        faults.heal(second.address)
        faults.loss = 1.0
        first.send(second.address, Ping(sequence=2))
        faults.loss = 0.0
        first.send(second.address, Ping(sequence=3))
        self.assertTrue(wait_until(lambda: received))
        self.assertEqual(received, [3])

    def test_stop_is_idempotent_and_endpoint_restarts(self):
        endpoint = make_endpoint()
        for _ in range(2):
            endpoint.start()
            endpoint.start()
            endpoint.stop()
            endpoint.stop()


class TestRejection(unittest.TestCase):
    def setUp(self):
        self.endpoint = make_endpoint("i1", 1)
        self.received = []
        self.endpoint.register(Ping, lambda *arguments: self.received.append(arguments))

    def encode(self, instance="i2", incarnation=5, keys=KEY_1):
        return encode_datagram(Datagram(instance, incarnation, Ping()), Keyring(keys))

    def test_rejected_datagrams_are_counted_and_reach_no_handler(self):
        """Guards against invalid datagrams that are handled or not counted."""
        valid = self.encode()
        cases = {
            "mac": valid[:-1] + bytes([valid[-1] ^ 1]),
            "version": bytes([9]) + valid[1:],
            "malformed": valid[:10],
            "oversized": valid + bytes(1400),
            "own_id": self.encode("i1", 2),
        }
        for reason, data in cases.items():
            self.endpoint.handle(data, "127.0.0.1:1")
            self.assertEqual(count_rejected(self.endpoint, reason), 1, reason)
        self.endpoint.handle(self.encode(keys=KEY_2), "127.0.0.1:1")
        self.assertEqual(count_rejected(self.endpoint, "mac"), 2)
        self.assertEqual(self.received, [])
        self.endpoint.handle(valid, "127.0.0.1:1")
        self.assertEqual(len(self.received), 1)

    def test_replayed_content_is_rejected(self):
        """Guards against replayed datagrams.

        They kept shares for a home that had ended, raised the load bound and hid
        running requests from the next home.
        """
        for kind in (LeaseRequest, LoadDigest, CarriedLoad):
            received = []
            self.endpoint.register(
                kind, lambda *arguments, r=received: r.append(arguments)
            )

            def send(sequence, incarnation=5, kind=kind):
                message = Datagram("i2", incarnation, kind(sequence=sequence))
                data = encode_datagram(message, Keyring(KEY_1))
                self.endpoint.handle(data, "127.0.0.1:1")

            for sequence in (1, 1, 3, 2, 3):
                send(sequence)
            self.assertEqual([c.sequence for _, c in received], [1, 3], kind)
            send(1, incarnation=6)
            send(1, incarnation=5)
            self.assertEqual([c.sequence for _, c in received], [1, 3, 1], kind)
        self.assertEqual(count_rejected(self.endpoint, "replayed"), 12)

    @given(st.binary(max_size=1500))
    def test_random_bytes_reach_no_handler(self, data):
        self.endpoint.handle(data, "127.0.0.1:1")
        self.assertEqual(self.received, [])

    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_any_changed_byte_is_rejected(self, position, mask):
        data = bytearray(self.encode())
        data[position % len(data)] ^= mask
        self.endpoint.handle(bytes(data), "127.0.0.1:1")
        self.assertEqual(self.received, [])

    @given(st.binary(min_size=1, max_size=600))
    def test_signed_malformed_payload_never_raises(self, payload):
        """A faulty peer or another version may sign a payload that can't be decoded."""
        keyring = Keyring(KEY_1)
        head = bytes((PROTOCOL_VERSION, keyring.key_id))
        data = head + keyring.sign(b"datagram\0" + head + payload) + payload
        self.endpoint.handle(data, "127.0.0.1:1")


class TestKeyring(unittest.TestCase):
    def test_both_keys_verify_and_the_first_signs(self):
        """During key rotation, instances must accept each other in either key order."""
        old, new = Keyring(KEY_1), Keyring(f"{KEY_2},{KEY_1}")
        both = Keyring(f"{KEY_1},{KEY_2}")
        self.assertTrue(new.verify(b"x", old.sign(b"x")))
        self.assertTrue(both.verify(b"x", new.sign(b"x")))
        self.assertFalse(old.verify(b"x", new.sign(b"x")))
        encoded = encode_datagram(Datagram("i1", 1, Ping(3)), new)
        self.assertEqual(decode_datagram(encoded, both).content, Ping(3))

    @given(st.text(max_size=50), st.text(max_size=50))
    def test_text_mac_is_bound_to_its_purpose(self, purpose, text):
        """Guards against a MAC that is valid for another purpose or text."""
        keyring = Keyring(KEY_1)
        mac = keyring.sign_text(purpose, text)
        self.assertEqual(len(mac), 32)
        self.assertTrue(keyring.verify_text(purpose, text, mac))
        self.assertFalse(keyring.verify_text(purpose + "x", text, mac))
        self.assertFalse(keyring.verify_text(purpose, text + "x", mac))
        self.assertFalse(keyring.verify_text(purpose, text, text))


def measure_datagram_cost(content, rounds=2000):
    """Return CPU seconds to encode, sign, verify and decode a datagram."""
    keyring = Keyring(KEY_1)
    message = Datagram("i1", 1, content)
    started_at = time.process_time()
    for _ in range(rounds):
        decode_datagram(encode_datagram(message, keyring), keyring)
    return (time.process_time() - started_at) / rounds


if __name__ == "__main__":
    unittest.main()
