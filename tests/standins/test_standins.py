"""Tests of the stand-ins: a wrong test double would hide or fake failures."""

import http.client
import json
import threading
import unittest

from tests.fakes import wait_until
from tests.standins.configuration_service import (
    ConfigurationServiceStandin,
    PlatformMode,
)
from tests.standins.content import make_answer, make_message, matches_service_answer
from tests.standins.engine import EngineOptions, EngineStandin
from tests.standins.faults import Fault
from tests.standins.fleet import fetch
from tests.standins.instance_list import InstanceListStandin
from tests.standins.plain_service import PlainServiceStandin

MESSAGE = make_message("customer-1", "chat-1", 1, tokens=6)
FAST = EngineOptions(token_s=0.001, report_lag_s=0.0, event_lag_s=0.0)
TIMEOUT_S = 10.0


def open_connection(standin):
    return http.client.HTTPConnection(standin.host, standin.port, timeout=TIMEOUT_S)


def ask(engine, request_id="k/1", key="p", messages=None, **fields):
    """Return (response, body) of one completion."""
    connection = open_connection(engine)
    messages = messages or [{"role": "user", "content": MESSAGE}]
    body = {"model": "m", "messages": messages, "stream": True, "cache_key": key}
    try:
        connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps({**body, **fields}),
            {"X-Request-Id": request_id},
        )
        response = connection.getresponse()
        try:
            return response, response.read()
        except http.client.IncompleteRead as error:
            return response, error.partial
    finally:
        connection.close()


def read_tokens(body):
    lines = [x[6:] for x in body.split(b"\n\n") if x.startswith(b"data: {")]
    events = [json.loads(line) for line in lines]
    return [(e["index"], e["choices"][0]["delta"]["content"]) for e in events]


class StandinCase(unittest.TestCase):
    def run_standin(self, standin):
        standin.start()
        self.addCleanup(lambda: self.assertEqual(standin.errors, []))
        self.addCleanup(standin.stop)
        return standin


class ConfigurationServiceTest(StandinCase):
    """Guards against wrong revisions or modes that hide a configuration fault."""

    def setUp(self):
        self.service = self.run_standin(ConfigurationServiceStandin())
        self.first = self.service.publish({"zones": {"withdrawn": []}})

    def read(self, path):
        connection = open_connection(self.service)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.headers.get("Revision"), response.read()
        finally:
            connection.close()

    def test_sections_are_stored_under_their_digest(self):
        status, revision, manifest = self.read("/v1/keys/manifest")
        self.assertEqual((status, revision), (200, str(self.first)))
        digest = json.loads(manifest)["sections"]["zones"]
        self.assertEqual(
            json.loads(self.read(f"/v1/keys/sections/{digest}")[2]), {"withdrawn": []}
        )

    def test_watch_returns_a_change_and_nothing_without_one(self):
        path = f"/v1/watch/manifest?after={self.first}"
        self.assertEqual(self.read(f"{path}&timeout_ms=20")[0], 304)
        threading.Timer(0.05, self.service.publish, [{"zones": {}}]).start()
        status, revision, _ = self.read(f"{path}&timeout_ms=10000")
        self.assertEqual(status, 200)
        self.assertGreater(int(revision), self.first)

    def test_stale_mode_shows_an_older_revision_and_outage_closes(self):
        self.service.publish({"zones": {"withdrawn": ["a"]}})
        self.service.set_mode(PlatformMode.STALE, self.first)
        self.assertEqual(self.read("/v1/keys/manifest")[1], str(self.first))
        self.service.set_mode(PlatformMode.OUTAGE)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.read("/v1/keys/manifest")
        self.assertEqual(self.service.calls, 2)


class InstanceListTest(StandinCase):
    """Guards against a list that shows changes before the lag has passed."""

    def test_changes_become_visible_after_the_lag(self):
        listing = self.run_standin(InstanceListStandin(lag_s=3600))
        upstream = dict.fromkeys(("group", "zone", "region", "address"), "x")
        listing.add_upstream(id="u", **upstream)
        listing.publish_now()
        listing.mark_leaving("u")
        listing.set_reader_lag("127.0.0.9", 0.0)
        body = json.loads(fetch(listing.address, "/v1/instances")[1])
        self.assertEqual(body["upstreams"][0]["state"], "live")
        early = listing.get_visible("127.0.0.9")
        self.assertEqual(early["upstreams"][0]["state"], "leaving")

    def test_a_stale_list_does_not_change_and_an_outage_closes(self):
        listing = self.run_standin(InstanceListStandin())
        listing.set_mode(PlatformMode.STALE)
        upstream = dict.fromkeys(("group", "zone", "region", "address"), "x")
        listing.add_upstream(id="u", **upstream)
        self.assertEqual(listing.get_visible()["upstreams"], [])
        listing.set_mode(PlatformMode.OUTAGE)
        with self.assertRaises((OSError, http.client.HTTPException)):
            fetch(listing.address, "/v1/instances")


class EngineTest(StandinCase):
    """Guards against an engine that reports wrong load, cache state or content."""

    def setUp(self):
        self.engine = self.run_standin(EngineStandin(options=FAST))

    def test_a_resumed_stream_continues_identically_elsewhere(self):
        other = self.run_standin(EngineStandin(options=FAST))
        self.engine.faults.set(Fault.CUT, 3, count=1)
        _, body = ask(self.engine)
        self.assertNotIn(b"[DONE]", body)
        head = read_tokens(body)
        self.assertEqual(len(head), 3)
        _, body = ask(other, resume_from=3)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        tokens = head + read_tokens(body)
        self.assertEqual([index for index, _ in tokens], list(range(6)))
        self.assertEqual("".join(text for _, text in tokens), make_answer(MESSAGE))

    def test_a_returning_prompt_is_cached_until_memory_runs_out(self):
        _, whole = ask(self.engine, stream=False)
        reply = json.loads(whole)["choices"][0]["message"]
        first = [{"role": "user", "content": MESSAGE}, reply]
        again = [*first, {"role": "user", "content": MESSAGE}]
        response, _ = ask(self.engine, messages=again)
        cached = int(response.headers["X-Cached-Tokens"])
        entry = self.engine.ledger.get_entries()[-1]
        self.assertEqual(cached, entry.cached_tokens)
        self.assertTrue(0 < cached < entry.prompt_tokens)
        self.engine.cache.capacity = 1
        ask(self.engine, key="other")
        response, _ = ask(self.engine, messages=again)
        self.assertEqual(response.headers["X-Cached-Tokens"], "0")
        events = json.loads(fetch(self.engine.address, "/load?after=0")[1])["events"]
        self.assertIn("evicted", [event["kind"] for event in events])

    def test_crossed_and_duplicated_answers_are_visible_to_the_reader(self):
        self.engine.faults.set(Fault.CROSSED, count=1)
        response, crossed = ask(self.engine)
        self.assertNotEqual(response.headers["X-Request-Id"], "k/1")
        self.assertNotEqual(read_tokens(crossed), read_tokens(ask(self.engine)[1]))
        self.engine.faults.set(Fault.DUPLICATED_TOKEN, count=1)
        indexes = [index for index, _ in read_tokens(ask(self.engine)[1])]
        self.assertEqual(indexes.count(1), 2)
        self.assertEqual(ask(self.engine)[0].headers["X-Request-Id"], "k/1")

    def test_more_than_the_cold_limit_is_recorded_until_warm(self):
        for _ in range(self.engine.options.cold_limit):
            self.engine.state.start_request()
        self.engine.turn_cold()
        self.assertEqual(self.engine.state.cold_breaches, [])
        self.engine.state.start_request()
        self.assertEqual(self.engine.state.cold_breaches[0].in_flight, 3)
        for _ in range(3):
            self.engine.state.end_request(completed=False)
        for _ in range(self.engine.options.warm_after):
            ask(self.engine)
        self.assertTrue(self.engine.state.warm)
        self.assertEqual(self.engine.state.peak, 3)

    def test_a_closed_connection_cancels(self):
        connection = open_connection(self.engine)
        message = make_message("c", "1", 1, tokens=100_000)
        messages = [{"role": "user", "content": message}]
        body = json.dumps({"messages": messages, "stream": True})
        connection.request("POST", "/v1/chat/completions", body)
        connection.getresponse().readline()
        self.assertEqual(self.engine.state.in_flight, 1)
        connection.sock and connection.sock.close()
        connection.close()
        self.assertTrue(wait_until(lambda: self.engine.state.in_flight == 0))
        self.assertEqual(self.engine.ledger.get_entries()[0].result, "cancelled")

    def test_a_restart_is_cold_with_a_new_incarnation(self):
        before = json.loads(fetch(self.engine.address, "/load?after=0")[1])
        self.engine.restart()
        after = json.loads(fetch(self.engine.address, "/load?after=0")[1])
        self.assertNotEqual(before["incarnation"], after["incarnation"])
        self.assertEqual((before["warm"], after["warm"]), (True, False))
        self.assertEqual(after["events"], [{"sequence": 1, "kind": "cleared"}])

    def test_an_imported_prefix_is_cached_as_a_computed_one(self):
        other = self.run_standin(EngineStandin(options=FAST))
        ask(self.engine)
        for source, status in ((self.engine, 200), (other, 404)):
            connection = open_connection(other)
            order = {"cache_key": "p", "source": source.address}
            if source is other:
                order["cache_key"] = "unknown"
            connection.request("POST", "/v1/cache/import", json.dumps(order))
            self.assertEqual(connection.getresponse().status, status)
            connection.close()
        response, _ = ask(other)
        entry = other.ledger.get_entries()[-1]
        self.assertEqual(response.headers["X-Cached-Tokens"], str(entry.prompt_tokens))
        self.assertEqual(other.state.in_flight, 0)

    def test_orders_with_an_old_fencing_number_are_refused(self):
        for fencing, status in ((2, 200), (1, 409)):
            connection = open_connection(self.engine)
            connection.request("POST", "/orders", json.dumps({"fencing": fencing}))
            self.assertEqual(connection.getresponse().status, status)
            connection.close()

    def test_a_stopped_listener_refuses_and_comes_back_on_its_port(self):
        address = self.engine.address
        self.engine.stop_listening()
        with self.assertRaises(OSError):
            fetch(address, "/load")
        self.engine.start()
        self.assertEqual(fetch(address, "/load")[0], 200)


class PlainServiceTest(StandinCase):
    """Guards against executions that the service doesn't record."""

    def setUp(self):
        self.service = self.run_standin(PlainServiceStandin())

    def call(self, request_id):
        connection = open_connection(self.service)
        try:
            headers = {"X-Request-Id": request_id}
            connection.request("POST", "/payouts", b"{}", headers)
            return connection.getresponse().read()
        finally:
            connection.close()

    def test_executions_are_counted_by_key_even_without_an_answer(self):
        answer = self.call("a.1.1.f/1")
        self.assertTrue(matches_service_answer(answer, "POST", "/payouts", b"{}"))
        self.assertFalse(matches_service_answer(answer, "POST", "/payouts", b""))
        for fault in (Fault.CLOSE_BEFORE_ANSWER, Fault.TRUNCATED):
            self.service.faults.set(fault, count=1)
            with self.assertRaises((OSError, http.client.HTTPException)):
                self.call("a.1.1.f/2")
        self.assertEqual(self.service.ledger.count_executions(), {"a.1.1.f": 3})
