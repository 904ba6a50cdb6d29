"""Parsing: invalid input is refused and every problem names its location."""

import hashlib
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from fescueflow.configuration import (
    Affinity,
    SectionCache,
    describe_configuration,
    make_manifest,
    parse_configuration,
)
from fescueflow.core import Priority
from tests.builders import build_configuration, build_customers, read_example_sections

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def list_paths(value, path=()):
    """Return the paths of a JSON value and of all values in it."""
    items = {}
    if isinstance(value, dict):
        items = value
    elif isinstance(value, list):
        items = dict(enumerate(value))
    inner = [p for key, item in items.items() for p in list_paths(item, (*path, key))]
    return [path, *inner]


def replace_at(value, path, new):
    """Return a JSON value with the value at one path replaced."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


class TestParsing(unittest.TestCase):
    def parse(self, **changes):
        return parse_configuration(*build_configuration(**changes))

    def assert_problem(self, location, **changes):
        result = self.parse(**changes)
        self.assertIsInstance(result, Failure)
        problems = result.failure().problems
        self.assertTrue(any(p.startswith(location) for p in problems), problems)
        return problems

    def test_example_is_parsed_with_parameters_of_the_customer(self):
        parsed = self.parse(revision=7).unwrap()
        customer = parsed.customers["pension-fund"]
        self.assertEqual((customer.share, customer.zones), (6, {"a", "b"}))
        self.assertEqual(customer.affinity, Affinity.CHAT)
        self.assertEqual(customer.models["assistant"].version, "2026-09")
        self.assertEqual(parsed.revision, 7)
        self.assertEqual(len(parsed.customers), 10)
        described = describe_configuration(parsed, "pension-fund")
        self.assertEqual(json.loads(json.dumps(described)), described)
        self.assertEqual(described["customer"]["share"], 6)

    def test_equal_numbers_of_other_types_are_not_confused(self):
        # True == 1 in Python, so a parsed value cached for 1 must not be used for True.
        one = {"template": "booking", "parameters": {"version": "1", "share": 1}}
        flag = {"template": "booking", "parameters": {"version": "1", "share": True}}
        self.assert_problem("customers-x: flag", customers_x={"one": one, "flag": flag})

    def test_limits_out_of_range_are_refused(self):
        for change, location in (
            ({"cold_limit": 0}, "engines.cold_limit"),
            ({"cold_limit": 33}, "engines.cold_limit"),
            ({"warm_limit": 2.5}, "engines.warm_limit"),
            ({"load_factor": 0.99}, "engines.load_factor"),
            ({"load_factor": float("nan")}, ""),
            ({"load_factor": True}, "engines.load_factor"),
            ({"kind": "other"}, "engines.kind"),
            ({"export_after_leave_ms": 3999}, "engines.export_after_leave_ms"),
            ({"export_after_leave_ms": 600_001}, "engines.export_after_leave_ms"),
            ({"colour": 1}, "engines.colour: unknown key"),
        ):
            with self.subTest(change=change):
                self.assert_problem(f"groups: {location}", groups={"engines": change})

    def test_invalid_customers_are_refused(self):
        for body, location in (
            ({"template": "none"}, "c.template: unknown template"),
            ({"template": ["booking"]}, "c.template: unknown template"),
            ({"template": "booking"}, "c.parameters.version: missing"),
            ({"template": "booking", "x": 1}, "c.x: unknown key"),
            ({"parameters": {}}, "c.template: missing"),
            (7, "c: must be an object"),
            (
                {"template": "booking", "parameters": {"version": "1", "share": "1"}},
                "c: template booking: share",
            ),
            (
                {"template": "booking", "parameters": {"version": {}, "share": 1}},
                "c.parameters.version",
            ),
        ):
            with self.subTest(body=body):
                self.assert_problem(f"customers-x: {location}", customers_x={"c": body})

    def test_invalid_templates_are_reported_once_at_the_template(self):
        models = {"m": {"group": "services", "model": "m", "version": "${no}"}}
        problems = self.assert_problem(
            "templates: booking.models: ${no} is not a declared",
            templates={"booking": {"models": models, "affinity": "none"}},
        )
        self.assertEqual(len(problems), 3, problems)
        self.assertIn("kind engine", " ".join(problems))
        self.assert_problem(
            "templates: stock.services.s.group: unknown group",
            templates={"stock": {"services": {"s": {"group": "absent"}}}},
        )

    def test_group_from_a_parameter_is_checked_for_the_customer(self):
        templates = {
            "t": {
                "parameters": ["g"],
                "models": {"m": {"group": "${g}", "model": "m", "version": "1"}},
            }
        }
        for group in ("absent", "services", "${g}", ""):
            customers = {"c": {"template": "t", "parameters": {"g": group}}}
            self.assert_problem(
                "customers-x: c: template t: models.m.group",
                templates=templates,
                customers_x=customers,
            )

    def test_duplicate_customers_are_refused(self):
        again = {"seed-bank": build_customers(1).popitem()[1]}
        self.assert_problem(
            "customers-x: seed-bank: also in section customers-stock", customers_x=again
        )
        self.assert_problem("zones: key", zones=b'{"withdrawn":[],"withdrawn":["a"]}')

    def test_missing_and_unknown_sections_are_refused(self):
        # A manifest without zones would silently put withdrawn zones back into service.
        for name in ("zones", "groups", "upstreams", "templates"):
            self.assert_problem(f"manifest: sections.{name}: missing", **{name: None})
        self.assert_problem("manifest: sections.extra: unknown section", extra={})

    def test_damaged_and_oversized_sections_are_refused(self):
        revision, manifest, sections = build_configuration()
        zones = sections.pop("zones")
        for damaged in ({}, {"zones": zones + b" "}, {"zones": zones, "x": b""}):
            result = parse_configuration(revision, manifest, sections | damaged)
            self.assertIsInstance(result, Failure)
        self.assert_problem("zones: 10", zones=b" " * (1 << 20) + b'{"withdrawn":[]}')
        large = manifest + b" " * (1 << 20)
        result = parse_configuration(revision, large, sections | {"zones": zones})
        self.assertIn("manifest: 10", result.failure().problems[0])

    def test_invalid_json_is_reported(self):
        deep = b"[" * 100_000
        digits = b'{"withdrawn": ' + b"9" * 5000 + b"}"
        for body in (b"", b"\xff", b"{", deep, digits, b"NaN", b"1e999"):
            self.assert_problem("zones: ", zones=body)

    def test_changed_section_keeps_the_others_parsed(self):
        sections = {
            f"customers_{number}": build_customers(20, prefix=f"c{number}")
            for number in range(5)
        }
        cache = SectionCache()
        first = parse_configuration(*build_configuration(1, **sections), cache=cache)
        sections["customers_3"] = build_customers(20, prefix="c3", version="new")
        changed = build_configuration(
            2, groups={"engines": {"warm_limit": 9}}, **sections
        )
        second = parse_configuration(*changed, cache=cache).unwrap()
        self.assertEqual(second, parse_configuration(*changed).unwrap())
        old, new = first.unwrap().customers, second.customers
        self.assertIs(old["c1-000001"], new["c1-000001"])
        self.assertEqual(new["c3-000001"].models["assistant"].version, "new")

    def test_cache_does_not_outlive_a_changed_template(self):
        cache = SectionCache()
        parse_configuration(*build_configuration(1), cache=cache)
        changed = build_configuration(2, templates={"booking": {"affinity": "chat"}})
        parsed = parse_configuration(*changed, cache=cache).unwrap()
        self.assertEqual(parsed.customers["city-museums"].affinity, Affinity.CHAT)


class TestRandomInput(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.data())
    def test_mutated_json_never_raises(self, data):
        contents = read_example_sections()
        name = data.draw(st.sampled_from(sorted(contents)))
        path = data.draw(st.sampled_from(list_paths(contents[name])))
        new = data.draw(JSON_VALUES)
        contents[name] = replace_at(contents[name], path, new)
        bodies = {key: json.dumps(value).encode() for key, value in contents.items()}
        result = parse_configuration(1, make_manifest(bodies), bodies)
        self.assertIsInstance(result, Success | Failure)
        if isinstance(result, Failure):
            locations = {
                problem.split(": ")[0] for problem in result.failure().problems
            }
            self.assertLessEqual(locations, contents.keys())
        else:
            json.dumps(describe_configuration(result.unwrap())).encode()

    @settings(max_examples=100, deadline=None)
    @given(st.binary(max_size=64) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_random_bytes_never_raise(self, body):
        for name in ("groups", "templates", "customers-x"):
            _, _, sections = build_configuration()
            sections[name] = body
            parse_configuration(1, make_manifest(sections), sections)
        self.assertIsInstance(parse_configuration(1, body, {}), Failure)
        digest = hashlib.sha256(body).hexdigest()
        manifest = json.dumps({"sections": {"zones": digest}}).encode()
        result = parse_configuration(1, manifest, {"zones": body})
        self.assertIsInstance(result, Failure)


class TestOperationMatch(unittest.TestCase):
    def setUp(self):
        parsed = parse_configuration(*build_configuration()).unwrap()
        self.services = parsed.customers["harbour-hotels"].services

    def test_undeclared_operations_are_not_idempotent(self):
        bookings = self.services["bookings"]
        self.assertTrue(bookings.match("GET", "/bookings/7?x=1").idempotent)
        for method, path in (
            ("POST", "/bookings"),
            ("PATCH", "/bookings/7"),
            ("get", "/bookings/7"),
            ("GET", "/other"),
        ):
            self.assertFalse(bookings.match(method, path).idempotent)

    def test_paths_that_resolve_elsewhere_are_not_idempotent(self):
        archive = self.services["archive"]
        self.assertEqual(archive.match("GET", "/archive/a").priority, Priority.LOOKUP)
        for path in ("/archive/../payouts", "/archive/%2E%2e/payouts", "/archive//x"):
            self.assertFalse(archive.match("GET", path).idempotent)


if __name__ == "__main__":
    unittest.main()
