"""Tests of the caller and the harness: a wrong one would hide or fake failures."""

import json
import socket
import unittest

from fescueflow.transport import SystemNetwork
from tests.standins.caller import Caller
from tests.standins.content import make_answer
from tests.standins.faulty_network import FaultyNetwork, LinkFaults
from tests.standins.fleet import find_free_port, parse_metrics
from tests.standins.results import ResultKind
from tests.standins.server import StandinServer
from tests.standins.test_standins import MESSAGE, StandinCase


class ScriptedInstance(StandinServer):
    """Instance that sends scripted responses, for tests of the caller."""

    def __init__(self, *answers):
        super().__init__()
        self.answers = list(answers)
        self.request_ids = []

    def handle(self, exchange):
        if exchange.path.startswith("/v1/address"):
            answer = {"address": self.address, "keep_for_ms": 60000}
            exchange.send_json(200, {**answer, "request_ids": ["a.1.1.f"]})
            return
        self.request_ids.append(exchange.headers.get("Fescueflow-Request-Id"))
        status, body = self.answers.pop(0)
        if status == 0:
            exchange.drop()
        else:
            exchange.send(status, body)


def make_error(outcome, address=None, kind="moved"):
    error = {"type": kind, "message": "", "outcome": outcome, "address": address}
    return 503, json.dumps({"error": error}).encode()


class CallerTest(StandinCase):
    """Guards against a caller that hides lost, repeated or wrong answers."""

    def chat(self, *answers):
        instance = self.run_standin(ScriptedInstance(*answers))
        caller = Caller(lambda: [instance.address], "c", attempts=3)
        messages = [{"role": "user", "content": MESSAGE}]
        return caller.chat("m", "chat-1", messages).kind, instance

    def test_streams_are_classified(self):
        token = make_answer(MESSAGE)
        event = json.dumps({"index": 0, "choices": [{"delta": {"content": token}}]})
        good = b"data: " + event.encode() + b"\n\n"
        done = b"data: [DONE]\n\n"
        failed = b"event: error\ndata: " + make_error("outcome_unknown")[1] + b"\n\n"
        for body, kind in (
            (good + done, ResultKind.WHOLE),
            (good, ResultKind.CUT),
            (good + failed, ResultKind.CUT),
            (done, ResultKind.WRONG_CONTENT),
            (good + good + done, ResultKind.WRONG_CONTENT),
        ):
            with self.subTest(body=body):
                self.assertIs(self.chat((200, body))[0], kind)

    def test_a_moved_answer_is_followed(self):
        other = self.run_standin(ScriptedInstance(make_error("not_run", None)))
        kind, instance = self.chat(make_error("not_run", other.address), (0, b""))
        self.assertEqual((len(other.request_ids), len(instance.request_ids)), (1, 2))
        self.assertIs(kind, ResultKind.OUTCOME_UNKNOWN)

    def test_a_payout_is_repeated_only_with_its_id(self):
        answers = [(0, b""), make_error("not_run", kind="overloaded"), (0, b"")]
        instance = self.run_standin(ScriptedInstance(*answers))
        caller = Caller(lambda: [instance.address], "c", attempts=3)
        result = caller.call_service("s", "POST", "/payouts", b"{}")
        self.assertEqual(instance.request_ids, ["a.1.1.f"] * 3)
        self.assertIs(result.kind, ResultKind.OUTCOME_UNKNOWN)

    def test_an_unknown_outcome_is_final(self):
        answer = make_error("outcome_unknown", kind="outcome_unknown")
        instance = self.run_standin(ScriptedInstance(answer))
        caller = Caller(lambda: [instance.address], "c", attempts=3)
        result = caller.call_service("s", "POST", "/payouts", b"{}")
        self.assertIs(result.kind, ResultKind.OUTCOME_UNKNOWN)
        self.assertEqual(len(instance.request_ids), 1)


class FaultyNetworkTest(unittest.TestCase):
    """Guards against cut links that let bytes through."""

    def setUp(self):
        self.left, self.right = LinkFaults("127.0.0.2"), LinkFaults("127.0.0.3")
        self.networks = [FaultyNetwork(SystemNetwork(), self.left)]
        self.networks.append(FaultyNetwork(SystemNetwork(), self.right))

    def connect(self):
        listener = self.networks[1].listen("127.0.0.3:0")
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        client = self.networks[0].connect(f"127.0.0.3:{port}", 5.0)
        server, _ = listener.accept()
        self.addCleanup(client.close)
        self.addCleanup(server.close)
        server.settimeout(5.0)
        return client, server, f"127.0.0.3:{port}"

    def test_a_cut_connection_goes_silent_and_stays_so(self):
        client, server, address = self.connect()
        client.sendall(b"one")
        self.assertEqual(server.recv(10), b"one")
        self.right.cut("127.0.0.2")
        client.sendall(b"two")
        server.settimeout(0.05)
        with self.assertRaises(TimeoutError):
            server.recv(10)
        self.left.cut("127.0.0.3")
        client.sendall(b"lost")
        with self.assertRaises(TimeoutError):
            self.networks[0].connect(address, 0.05)
        self.left.heal()
        self.right.heal()
        server.settimeout(5.0)
        self.assertEqual(server.recv(10), b"two")
        server.sendall(b"answer")
        client.settimeout(0.05)
        with self.assertRaises(TimeoutError):
            client.recv(10)

    def test_silenced_connections_differ_from_new_ones(self):
        client, server, _ = self.connect()
        self.left.silence("127.0.0.3")
        client.sendall(b"lost")
        server.settimeout(0.05)
        with self.assertRaises(TimeoutError):
            server.recv(10)
        client, server, _ = self.connect()
        client.sendall(b"new")
        self.assertEqual(server.recv(10), b"new")

    def test_datagrams_are_dropped_when_cut_or_lost(self):
        a = self.networks[0].bind_datagram("127.0.0.2:0")
        b = self.networks[1].bind_datagram("127.0.0.3:0")
        self.addCleanup(a.close)
        self.addCleanup(b.close)
        self.left.cut("127.0.0.3")
        a.send(b"cut", b.address)
        self.left.heal()
        self.left.loss = 1.0
        a.send(b"lost", b.address)
        self.left.loss = 0.0
        self.left.zone_delay_s = 0.01
        a.send(b"seen", b.address)
        self.assertEqual(b.receive(5.0)[0], b"seen")


class HarnessTest(unittest.TestCase):
    """Guards against misparsed metrics and ports that are in use."""

    def test_metrics_and_ports(self):
        text = 'a_total{x="1"} 3\nb 0.5\n# comment\n'
        self.assertEqual(parse_metrics(text), {'a_total{x="1"}': 3.0, "b": 0.5})
        port = find_free_port("127.0.0.4")
        with socket.create_server(("127.0.0.4", port)) as server:
            self.assertEqual(server.getsockname()[1], port)

    def test_ports_that_others_may_get_meanwhile(self):
        """Guards against two servers that are told the same port."""
        ports = [find_free_port("127.0.0.4") for _ in range(500)]
        self.assertEqual(len(set(ports)), len(ports))
        with socket.create_server(("127.0.0.4", 0)) as server:
            self.assertLess(max(ports), server.getsockname()[1])
