"""Tests of the HTTP API: errors, addresses, leaving and request ids."""

import io
import json
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, strategies

from fescueflow.api import make_application
from fescueflow.configuration import describe_configuration
from fescueflow.core import ListState
from fescueflow.platform import ListedInstance, ListSnapshot
from fescueflow.schema import MemberState
from tests.delivery import fakes
from tests.delivery.fakes import FakeDispatchInstance, FakeUpstream, make_configuration
from tests.fakes import ManualClock
from tests.requests.fakes import FakeInstance

CHAT = {"model": "m", "messages": [{"content": "hi"}]}


class FakeRights:
    """Rights service with a settable home for each upstream id."""

    def __init__(self):
        self.homes = {}
        self.recovering = False
        self.last_pause_end = None

    def choose_home(self, upstream):
        return self.homes.get(upstream.id)

    def is_fenced(self):
        return False

    def is_recovering(self):
        return self.recovering

    def get_last_pause_end(self):
        return self.last_pause_end


class Response:
    def __init__(self, status, headers, body):
        self.status = int(status.split()[0])
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json["error"]


class ApplicationTestCase(unittest.TestCase):
    def setUp(self):
        self.upstream = FakeUpstream("u1")
        self.addCleanup(self.upstream.stop)
        self.clock = ManualClock()
        self.node = FakeDispatchInstance([self.upstream], clock=self.clock)
        self.rights = FakeRights()
        self.ready = True
        self.other = FakeInstance(self.node.fleet, "b", 2, None, self.clock, zone="z2")
        self.make_application()

    def make_application(self):
        self.application = make_application(
            settings=self.node.settings,
            dispatcher=self.node.dispatcher,
            requests=self.node.requests,
            placement=self.node.placement,
            rights=self.rights,
            membership=self.node.membership,
            list_service=self.node.list_service,
            store=self.node.store,
            admission=self.node.admission,
            metrics=self.node.metrics,
            audit=self.node.audit,
            readiness=lambda: self.ready,
            clock=self.clock,
        )

    def call(self, method, path, body=b"", query="", **headers):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        environ.update({f"HTTP_{name.upper()}": v for name, v in headers.items()})
        result = []
        parts = self.application(environ, lambda *given: result.extend(given))
        return Response(result[0], result[1], b"".join(parts))

    def chat(self, document=None, customer="c", **headers):
        body = json.dumps(document or CHAT).encode()
        headers["fescueflow_customer"] = customer
        return self.call("POST", "/v1/chat/completions", body, **headers)

    def get(self, path, query=""):
        return self.call("GET", path, query=query)

    def leave(self):
        own = replace(self.node.member, state=MemberState.LEAVING)
        self.node.fleet.add(own)


class CallTest(ApplicationTestCase):
    def test_answer_headers(self):
        answer = self.chat()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["fescueflow-instance"], "a")
        self.assertEqual(answer.headers["fescueflow-upstream"], "u1")
        self.assertEqual(answer.headers["fescueflow-placement"], "token-u1")
        self.node.requests.parse(answer.headers["fescueflow-request-id"])
        self.assertEqual(answer.headers["content-length"], str(len(answer.body)))

    def test_errors_are_json_with_a_type(self):
        chat, large = "/v1/chat/completions", b"x" * (1 << 20) + b"x"
        customer = {"fescueflow_customer": "c"}
        cases = [
            (400, "invalid_request", self.call("POST", chat, b"{", **customer)),
            (400, "invalid_request", self.call("POST", chat, b"{}")),
            (413, "body_too_large", self.call("POST", chat, large, **customer)),
            (404, "unknown_customer", self.chat(customer="x")),
            (404, "unknown_model", self.chat({"model": "x"})),
            (404, "unknown_path", self.get("/nothing")),
            (404, "unknown_path", self.call("POST", "/v1/address")),
            (400, "invalid_request", self.chat(fescueflow_deadline_ms="soon")),
        ]
        for status, kind, answer in cases:
            with self.subTest(kind):
                self.assertEqual((answer.status, answer.error["type"]), (status, kind))
                self.assertEqual(answer.headers["content-type"], "application/json")
                self.assertEqual(answer.error["outcome"], "not_run")
        self.assertEqual(self.upstream.received, [])

    def test_refusal_with_an_id_is_unknown(self):
        """Guards against ``not_run`` for an id whose earlier attempt may have run."""
        request_id = self.node.requests.mint(1)[0]
        for headers in ({"customer": "x"}, {"fescueflow_deadline_ms": "soon"}):
            answer = self.chat(fescueflow_request_id=request_id, **headers)
            self.assertEqual(answer.error["outcome"], "outcome_unknown")

    def test_unknown_outcome_names_the_id_for_repeats(self):
        self.upstream.steps = [fakes.send_truncated_response]
        answer = self.chat({**CHAT, "model": "once"})
        self.assertEqual(answer.error["outcome"], "outcome_unknown")
        request_id = answer.headers["fescueflow-request-id"]
        again = self.chat({**CHAT, "model": "once"}, fescueflow_request_id=request_id)
        self.assertEqual(again.error["type"], "outcome_unknown")
        self.assertEqual(len(self.upstream.received), 1)

    @given(strategies.text(strategies.characters(max_codepoint=255)))
    def test_random_request_ids_and_placement_tokens(self, text):
        answer = self.chat(fescueflow_request_id=text, fescueflow_placement=text)
        self.assertEqual(answer.error["type"], "invalid_request_id")

    def test_every_refusal_is_in_the_audit_trail(self):
        self.call("POST", "/v1/chat/completions", b"{}")
        self.chat(customer="x")
        kinds = [r.kind.value for r in self.node.audit.read_after(0)]
        self.assertEqual(kinds, ["request_refused", "request_refused"])


class AddressTest(ApplicationTestCase):
    def address(self, query="customer=c&model=m&chat=k"):
        return self.get("/v1/address", query)

    def test_address_names_the_home_and_its_request_ids(self):
        self.rights.homes["u1"] = self.other.member
        answer = self.address("customer=c&model=m&chat=k&ids=3").json
        self.assertEqual((answer["instance"], answer["address"]), ("b", "http-b"))
        self.assertEqual(answer["keep_for_ms"], 2000)
        self.assertEqual(answer["placement"], "token-u1")
        owners = {self.node.requests.parse(i).instance for i in answer["request_ids"]}
        self.assertEqual((len(answer["request_ids"]), owners), (3, {"b"}))

    def test_ids_of_this_instance_when_minting_at_the_home_fails(self):
        self.rights.homes["u1"] = self.other.member
        self.node.fleet.faults = ["lost"]
        answer = self.address("customer=c&service=s&ids=1").json
        owner = self.node.requests.parse(answer["request_ids"][0]).instance
        self.assertEqual((answer["instance"], owner), ("b", "a"))

    def test_address_excludes_leaving_instances_and_withdrawn_zones(self):
        self.rights.homes["u1"] = self.other.member
        self.node.store.value = make_configuration(withdrawn=frozenset({"z2"}))
        self.assertEqual(self.address().json["instance"], "a")
        self.node.store.value = make_configuration()
        listed = ListedInstance("b", "z2", "r", "x", "y", ListState.LEAVING)
        self.node.list_service.value = ListSnapshot((listed,), (), 0.0)
        self.assertEqual(self.address().json["instance"], "a")
        self.node.list_service.value = None
        self.leave()
        self.assertEqual(self.address().json["instance"], "b")
        self.node.store.value = make_configuration(withdrawn=frozenset({"z2"}))
        self.assertEqual(self.address().error["type"], "not_ready")

    def test_invalid_queries(self):
        for query, kind in {
            "model=m": "unknown_customer",
            "customer=c": "invalid_request",
            "customer=c&model=m&service=s": "invalid_request",
            "customer=c&service=x": "unknown_model",
            "customer=c&model=m&ids=-1": "invalid_request",
        }.items():
            with self.subTest(query):
                self.assertEqual(self.address(query).error["type"], kind)


class LeavingTest(ApplicationTestCase):
    def test_leaving_instance_serves_while_callers_keep_its_address(self):
        self.leave()
        self.assertEqual(self.get("/readyz").status, 503)
        for callback in self.node.membership.callbacks:
            callback()
        self.clock.now += 1.9
        self.assertEqual(self.chat().status, 200)
        self.clock.now += 0.2
        answer = self.chat()
        self.assertEqual((answer.status, answer.error["type"]), (503, "moved"))
        self.assertEqual(answer.error["address"], "http-b")
        self.assertEqual(answer.error["outcome"], "not_run")
        request_id = self.node.requests.mint(1)[0]
        answer = self.chat(fescueflow_request_id=request_id)
        self.assertEqual(answer.error["outcome"], "outcome_unknown")

    def test_restored_zone_is_served_again(self):
        self.node.store.value = make_configuration(withdrawn=frozenset({"z1"}))
        self.assertEqual(self.chat().status, 200)
        self.clock.now += 3
        self.assertEqual(self.chat().error["type"], "moved")
        self.node.store.value = make_configuration()
        self.assertEqual(self.chat().status, 200)

    def test_no_calls_after_a_pause_in_which_the_zone_was_withdrawn(self):
        """Guards against a resumed instance that serves again in a withdrawn zone."""
        self.rights.recovering = True
        self.assertEqual(self.chat().error["type"], "moved")
        self.assertEqual(self.get("/readyz").status, 503)
        self.node.store.value = make_configuration(withdrawn=frozenset({"z1"}))
        self.assertEqual(self.chat().error["type"], "moved")
        self.rights.recovering = False
        self.assertEqual(self.chat().error["type"], "moved")

    def test_pause_that_ends_with_the_withdrawal(self):
        """Guards against serving after a pause that ends with the withdrawal.

        An instance that learned of the withdrawal and of the end of its pause at once
        kept serving as if it had been advertised until then. A call was served 12 s
        after the withdrawal.
        """
        self.assertEqual(self.chat().status, 200)
        self.clock.now += 10
        self.rights.last_pause_end = self.clock.now
        self.rights.recovering = True
        withdrawn = make_configuration(withdrawn=frozenset({"z1"}))

        def end_pause():
            self.node.store.value = withdrawn
            self.rights.recovering = False
            return False

        with mock.patch.object(self.rights, "is_recovering", end_pause):
            self.assertEqual(self.chat().error["type"], "moved")
        self.assertEqual(self.chat().error["type"], "moved")

    def test_instance_that_starts_in_a_withdrawn_zone_serves_no_calls(self):
        """Guards against new calls long after the withdrawal was published."""
        value, self.node.store.value = self.node.store.value, None
        self.make_application()
        self.node.store.value = make_configuration(withdrawn=frozenset({"z1"}))
        self.assertEqual(self.chat().error["type"], "moved")
        self.node.store.value = value
        self.assertEqual(self.chat().status, 200)

    def test_closed_request_table_names_another_instance(self):
        self.node.requests.close()
        answer = self.chat()
        self.assertEqual(answer.error["type"], "moved")
        self.assertEqual(answer.error["address"], "http-b")


class OperationsTest(ApplicationTestCase):
    def test_readiness(self):
        self.assertEqual(self.get("/readyz").status, 200)
        self.ready = False
        self.assertEqual(self.get("/readyz").status, 503)
        self.assertEqual(self.get("/healthz").status, 200)

    def test_instance_whose_stream_loop_has_failed_is_not_ready(self):
        with mock.patch.object(
            self.node.dispatcher, "has_failed_stream_loop", lambda: True
        ):
            self.assertEqual(self.get("/readyz").status, 503)
            self.assertFalse(self.get("/v1/status").json["ready"])
        self.assertEqual(self.get("/readyz").status, 200)

    def test_endpoints(self):
        self.chat()
        self.assertIn(b"fescueflow_requests_total", self.get("/metrics").body)
        status = self.get("/v1/status").json
        self.assertEqual((status["instance"], status["revision"]), ("a", 7))
        lines = self.get("/v1/audit").body.splitlines()
        self.assertEqual(json.loads(lines[0])["kind"], "request_ran")
        self.assertEqual(self.get("/v1/audit", "after=1").body, b"")
        self.assertEqual(self.get("/v1/audit", "after=x").status, 400)
        self.assertEqual(self.get("/v1/configuration").json["revision"], 7)
        shown = self.get("/v1/configuration", "customer=c").json
        self.assertEqual(shown["customer"]["models"]["m"]["group"], "g")
        # `config diff` compares the two, so they must have the same form.
        described = describe_configuration(make_configuration(), "c")
        self.assertEqual(shown, json.loads(json.dumps(described)))
        self.assertEqual(self.get("/v1/configuration", "customer=x").status, 404)


if __name__ == "__main__":
    unittest.main()
