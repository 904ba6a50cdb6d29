"""Tests of large values that instances read from the reader of their zone.

They guard against configurations that fill narrow links: each instance fetched each
version from the store, 0.5 MB a second on links of 5 Mbit/s, and half of the callers'
answers were late for as long as versions followed each other.
"""

import socket
import unittest

from fescueflow.core import Revision, SeededRandomSource, SystemClock
from fescueflow.gateway import Gateway
from fescueflow.gateway.caller_memory import CallerMemory
from fescueflow.gateway.caller_requests import CallerRules
from fescueflow.gateway.server import GatewayServer
from fescueflow.gateway.shared_values import (
    ANSWERS_MAX,
    VALUES_PATH,
    SharedValue,
    SharedValues,
    ValueApplication,
)
from fescueflow.gateway.unanswered import UnansweredRequests
from fescueflow.gateway.value_reader import (
    READ_LIMITS,
    ReaderValues,
    connect_from,
    is_worthwhile,
)
from fescueflow.metrics import Metrics
from fescueflow.platform import StoreItem
from tests.gateway.builders import make_boot, make_peer
from tests.standins.fleet import find_free_port

KEY = "op/config"
LARGE = b'{"routes":[' + b'{"prefix":"/a/","timeout_ms":1000},' * 200 + b"{}]}"


class SharedValuesTest(unittest.TestCase):
    def setUp(self):
        self.values = SharedValues()

    def record(self, revision, value=LARGE, era=0):
        self.values.record([StoreItem(KEY, value, Revision(revision))], era)

    def find_revision(self):
        found = self.values.find(KEY)
        return found and (found.era, found.revision)

    def test_values_of_later_revisions_and_eras(self):
        self.record(5)
        self.record(4)
        self.assertEqual(self.find_revision(), (0, 5))
        self.record(2, era=1)
        self.record(9, era=0)
        self.assertEqual(self.find_revision(), (1, 2))

    def test_deleted_and_small_values(self):
        self.record(5)
        self.record(6, None)
        self.assertIsNone(self.find_revision())
        self.record(7, b"small")
        self.assertIsNone(self.find_revision())

    def test_small_value_after_a_large_one(self):
        """Guards against an old configuration that is served as the last one."""
        self.record(5)
        self.record(4, b"small")
        self.assertEqual(self.find_revision(), (0, 5))
        self.record(6, b"small")
        self.assertIsNone(self.find_revision())

    def test_response_that_is_overtaken_by_a_small_value(self):
        """Guards against an old value that is served as the last one."""
        for value in (None, b"small"):
            with self.subTest(value=value):
                self.setUp()
                self.record(8, value)
                self.record(5)
                self.assertIsNone(self.find_revision())

    def test_compression(self):
        self.record(5)
        shared = self.values.find(KEY)
        self.assertIsInstance(shared, SharedValue)
        self.assertLess(len(shared.compressed), len(LARGE) / 8)


class WorthwhileTest(unittest.TestCase):
    """Guards against a reader that is asked by a zone that its link can't serve."""

    def test_capacities(self):
        narrow, wide = make_peer(capacity=4.0), make_peer(capacity=12.0)
        self.assertTrue(is_worthwhile(narrow, wide))
        for own, reader in ((wide, wide), (narrow, narrow), (narrow, None)):
            self.assertFalse(is_worthwhile(own, reader))
        self.assertFalse(is_worthwhile(make_peer(), wide))


class ReaderValuesTest(unittest.TestCase):
    def setUp(self):
        self.values, self.metrics = SharedValues(), Metrics()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.reader = make_peer(host="127.0.0.1", capacity=12.0)
        self.source = ReaderValues(
            find_reader=lambda: self.reader,
            get_own=lambda: make_peer(capacity=4.0),
            port=self.port,
            metrics=self.metrics,
        )

    def serve(self):
        server = GatewayServer(
            application=ValueApplication(
                self.values, self.metrics, lambda: {"127.0.0.1"}
            ),
            addresses=[f"127.0.0.1:{self.port}"],
            threads=1,
            is_leaving=lambda: False,
            unanswered=UnansweredRequests(Metrics()),
            rules=CallerRules(CallerMemory(256e6), lambda: None, self.metrics),
        )
        server.start()
        self.addCleanup(server.stop)

    def read(self, revision, era=0):
        return self.source.read(KEY, Revision(revision), era)

    def test_value_of_the_reader(self):
        self.serve()
        self.values.record([StoreItem(KEY, LARGE, Revision(7))], 1)
        self.assertEqual(self.read(6, 1), StoreItem(KEY, LARGE, Revision(7)))

    def test_reader_that_does_not_have_it_yet(self):
        """The store is asked, which has what other instances have told of."""
        self.serve()
        self.assertIsNone(self.read(1))
        self.values.record([StoreItem(KEY, LARGE, Revision(7))], 1)
        self.assertIsNone(self.read(8, 1))
        self.assertIsNone(self.read(7, 2))

    def test_value_that_was_batched_with_later_changes(self):
        """Guards against a value that counts as outdated: the update is later."""
        self.serve()
        self.values.record([StoreItem(KEY, LARGE, Revision(7))], 1)
        self.values.record_complete(Revision(9), 0)
        self.assertIsNone(self.read(9, 1))
        self.values.record_complete(Revision(9), 1)
        self.assertEqual(self.read(9, 1), StoreItem(KEY, LARGE, Revision(7)))
        self.assertIsNone(self.read(10, 1))

    def test_reader_that_is_gone(self):
        self.assertIsNone(self.read(1))
        self.reader = None
        self.assertIsNone(self.read(1))


class AnswersTest(unittest.TestCase):
    """Guards against a reader whose link passes so many answers that all are late."""

    def setUp(self):
        self.values, self.port = SharedValues(), find_free_port("127.0.0.1")
        self.values.record([StoreItem(KEY, LARGE, Revision(5))])
        self.application = ValueApplication(
            self.values, Metrics(), lambda: {"127.0.0.1"}
        )

    def ask(self, key=KEY, host="127.0.0.1"):
        """Return the status and the body that the server takes."""
        statuses = []
        environ = {
            "PATH_INFO": VALUES_PATH,
            "QUERY_STRING": f"key={key}",
            "REMOTE_ADDR": host,
        }
        body = self.application(environ, lambda status, _: statuses.append(status))
        return int(statuses[0][:3]), body

    def test_answers_at_a_time(self):
        answers = [self.ask() for _ in range(ANSWERS_MAX + 1)]
        self.assertEqual([s for s, _ in answers], [200] * ANSWERS_MAX + [404])
        body = answers[0][1]
        self.assertEqual(b"".join(body), self.values.find(KEY).compressed)
        self.assertEqual(self.ask()[0], 404)
        body.close()
        body.close()
        self.assertEqual([self.ask()[0], self.ask()[0]], [200, 404])

    def test_other_keys_and_hosts(self):
        """Guards against API keys that leave the fleet."""
        self.values.record([StoreItem("op/other", LARGE, Revision(5))])
        self.assertEqual(self.ask("op/other")[0], 404)
        for host in ("127.0.0.2", "", None):
            self.assertEqual(self.ask(host=host)[0], 404)
        self.assertEqual(self.ask()[0], 200)

    def test_own_address_of_a_connection(self):
        """Guards against a refusal because of another address of the machine."""
        with socket.create_server(("127.0.0.1", self.port)) as server:
            address = f"127.0.0.1:{self.port}"
            with connect_from("127.0.0.2", address, 1.0):
                connection, (host, _) = server.accept()
                connection.close()
        self.assertEqual(host, "127.0.0.2")

    def test_time_of_a_read(self):
        """The store's call, of up to 0.7 s without an answer, comes after it."""
        self.assertLessEqual(READ_LIMITS.connect_s, 0.2)
        self.assertLessEqual(READ_LIMITS.total_s, 0.4)


class OccupiedPortTest(unittest.TestCase):
    """Guards against an instance that doesn't start because of another's port."""

    def test_start_without_the_value_server(self):
        names = ("peer_port", "callers", "ready", "directory", "store")
        ports = {name: find_free_port("127.0.0.1") for name in names}
        with socket.socket() as occupant:
            occupant.bind(("127.0.0.1", ports["peer_port"]))
            occupant.listen()
            boot = make_boot(grace_s=0.2, **ports)
            gateway = Gateway(boot, SystemClock(), SeededRandomSource(1))
            gateway.start()
            gateway.leave()
        self.assertEqual(gateway._metrics.get_count("value_server_failures"), 1)


if __name__ == "__main__":
    unittest.main()
