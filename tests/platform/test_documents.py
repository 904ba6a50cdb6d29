"""Decoding of documents in the platform's store."""

import json
import unittest

from fescueflow.platform import MalformedResponse, parse_table, parse_upstream
from fescueflow.routing import RouteKind, UpstreamState

ENTRY = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 17,
    "later_field": [],
}
TABLE = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 600,
            "priority": 0,
            "weighted_services": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "s1",
            "max_connections": 630,
            "cold_start_s": 3.0,
            "cold_per_s": 20.0,
            "engine": {"slots": 128, "kv_capacity": 690039},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "c1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def encode(document, **changes):
    """Return the JSON encoding of a document with some fields changed."""
    return json.dumps({**document, **changes}).encode()


class ParseUpstreamTest(unittest.TestCase):
    """Guards against requests to upstreams that an entry does not describe."""

    def test_entry(self):
        upstream = parse_upstream("servers/i-1", encode(ENTRY), 100.0)
        self.assertEqual(upstream.id, "i-1")
        self.assertEqual(upstream.state, UpstreamState.READY)
        self.assertEqual(upstream.cold_until, 101.5)

    def test_invalid_entries(self):
        invalid = [
            b"",
            b"\xff\x00",
            b"[]",
            encode(ENTRY, state="unsure"),
            encode(ENTRY, state=["ready"]),
            encode(ENTRY, slots="8"),
            encode(ENTRY, slots=True),
            encode(ENTRY, address="10.0.0.1"),
            encode(ENTRY, zone=None),
            encode({key: ENTRY[key] for key in ENTRY if key != "service"}),
        ]
        for value in invalid:
            with self.subTest(value=value), self.assertRaises(MalformedResponse):
                parse_upstream("servers/i-1", value, 0.0)

    def test_entries_of_other_writers(self):
        """Guards against errors other than those for malformed entries."""
        nested = b"[" * 100_000
        odd = [
            nested,
            encode(ENTRY)[:-1] + b', "more": ' + nested,
            encode(ENTRY).replace(b"1500", b"9" * 400),
            encode(ENTRY).replace(b"1500", b"9" * 5000),
            encode(ENTRY).replace(b"1500", b"1e999"),
            encode(ENTRY, slots=0),
            encode(ENTRY, slots=10**400),
            encode(ENTRY, address="10.0.0.1:0"),
            encode(ENTRY, address="10.0.0.1:65536"),
            encode(ENTRY, address="10.0.0.1:8\u00b2"),
            encode(ENTRY, address="upstream.example:80"),
        ]
        for value in odd:
            with self.subTest(value=value[:80]), self.assertRaises(MalformedResponse):
                parse_upstream("servers/i-1", value, 0.0)
        for key in ("servers/", "servers/i 1", "servers/i\r\nX: 1", "servers/\ud800"):
            with self.subTest(key=key), self.assertRaises(MalformedResponse):
                parse_upstream(key, encode(ENTRY), 0.0)


class ParseTableTest(unittest.TestCase):
    """Guards against a configuration that is applied in part."""

    def test_table(self):
        table = parse_table(encode(TABLE))
        route = table.routes["h.example"][0]
        self.assertEqual(route.kind, RouteKind.STREAM)
        self.assertEqual(route.targets, (("s1", 90), ("s2", 10)))
        self.assertEqual((route.timeout_s, route.target_s), (12.0, 0.6))
        self.assertEqual(table.customers["k2"].id, "c1")
        self.assertEqual(table.services["s1"].engine.slots, 128)

    def test_time_for_heads(self):
        limits = TABLE["limits"]
        self.assertIsNone(parse_table(encode(TABLE)).limits.head_s)
        table = parse_table(encode(TABLE, limits={**limits, "header_timeout_ms": 3000}))
        self.assertEqual(table.limits.head_s, 3.0)

    def test_copy_rate_of_engines(self):
        # At 35,136 bytes per token, 550 Gbit/s are 1,957 tokens per millisecond.
        service = TABLE["services"][0]
        engine = {
            **service["engine"],
            "kv_token_bytes": 35136,
            "link_mbps": 550000.0,
        }
        table = parse_table(encode(TABLE, services=[{**service, "engine": engine}]))
        rate = table.services["s1"].engine.copy_tokens_per_ms
        self.assertAlmostEqual(rate, 1956.7, places=1)
        self.assertEqual(
            parse_table(encode(TABLE)).services["s1"].engine.copy_tokens_per_ms, 0.0
        )

    def test_malformed(self):
        route = TABLE["routes"][0]
        invalid = [
            encode(TABLE, version="7"),
            encode(TABLE, routes={}),
            encode(TABLE, routes=[{**route, "kind": "odd"}]),
            encode(TABLE, routes=[{**route, "kind": []}]),
            encode(TABLE, routes=[{**route, "weighted_services": [3]}]),
            encode(TABLE, limits=None),
            encode(TABLE, tenants=[{"name": "c1"}]),
            encode(TABLE, tenants=7),
            encode(
                TABLE,
                services=[
                    {
                        **TABLE["services"][0],
                        "engine": {
                            "slots": 8,
                            "kv_capacity": 9,
                            "kv_token_bytes": "x",
                            "link_mbps": 1,
                        },
                    }
                ],
            ),
            encode(TABLE, routes=[{**route, "max_attempts": "2"}]),
        ]
        for value in invalid:
            with self.subTest(value=value), self.assertRaises(MalformedResponse):
                parse_table(value)


if __name__ == "__main__":
    unittest.main()
