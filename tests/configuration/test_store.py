"""Store: the revision never decreases and refused revisions change nothing."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueflow.audit import AuditKind
from fescueflow.configuration import parse_configuration
from fescueflow.invariants import Invariant, InvariantBreach
from tests.builders import build_configuration
from tests.configuration.fakes import make_store

INVALID = {"engines": {"cold_limit": 0}}


class TestStore(unittest.TestCase):
    def setUp(self):
        self.store, self.metrics, self.audit = make_store()
        self.accepted = []
        self.store.subscribe(lambda c: self.accepted.append(c.revision))

    def list_kinds(self):
        return [record.kind for record in self.audit.read_after(0)]

    def test_lower_revision_is_never_taken(self):
        self.assertTrue(self.store.offer(*build_configuration(5)))
        for revision in (5, 4, 1):
            self.assertFalse(self.store.offer(*build_configuration(revision)))
        self.assertEqual(self.store.get_revision(), 5)
        self.assertEqual(self.accepted, [5])
        self.assertEqual(self.list_kinds(), [AuditKind.CONFIGURATION_ACCEPTED])

    def test_invariant_stops_a_decrease_that_the_check_let_through(self):
        """Guards against an undetected decrease when the revision check fails."""
        self.store.offer(*build_configuration(5))
        before, source = self.store.get(), self.store.get_sections_message()
        with mock.patch.object(self.store, "_is_candidate", return_value=True):
            for revision in (4, 5):
                with self.assertRaises(InvariantBreach):
                    self.store.offer(*build_configuration(revision))
        self.assertIs(self.store.get(), before)
        self.assertIs(self.store.get_sections_message(), source)
        self.assertEqual(self.accepted, [5])
        name = Invariant.REVISION_NEVER_DECREASES.value
        breaches = self.metrics.get_count("invariant_breaches", invariant=name)
        self.assertEqual(breaches, 2)

    def test_equal_revision_with_another_digest_is_refused_and_audited_once(self):
        self.store.offer(*build_configuration(5))
        before = self.store.get()
        other = build_configuration(5, zones={"withdrawn": ["a"]})
        for _ in range(3):
            self.assertFalse(self.store.offer(*other))
        self.assertIs(self.store.get(), before)
        self.assertEqual(self.list_kinds()[1:], [AuditKind.CONFIGURATION_REFUSED])

    def test_refused_revision_changes_nothing_and_later_ones_are_taken(self):
        self.store.offer(*build_configuration(5))
        before, source = self.store.get(), self.store.get_sections_message()
        revision, manifest, sections = build_configuration(6, groups=INVALID)
        for _ in range(2):
            self.assertFalse(self.store.offer(revision, manifest, sections))
        self.assertIs(self.store.get(), before)
        self.assertIs(self.store.get_sections_message(), source)
        self.assertTrue(self.store.is_refused(6))
        record = self.audit.read_after(1)[0]
        self.assertIn("cold_limit", record.fields["problems"][0])
        self.assertEqual(len(self.audit.read_after(0)), 2)
        self.assertTrue(self.store.offer(*build_configuration(7)))

    def test_source_serves_what_was_accepted(self):
        built = build_configuration(5)
        self.store.offer(*built)
        source = self.store.get_sections_message()
        bodies = {section.name: section.body for section in source.sections}
        self.assertEqual((source.revision, source.manifest, bodies), built)
        parse_configuration(source.revision, source.manifest, bodies).unwrap()

    def test_failing_subscriber_does_not_keep_others_from_the_change(self):
        def fail(configuration):
            raise RuntimeError("expected in this test")

        later = []
        self.store.subscribe(fail)
        self.store.subscribe(later.append)
        self.assertTrue(self.store.offer(*build_configuration(1)))
        self.assertEqual(len(later), 1)
        self.assertEqual(self.metrics.get_count("configuration_subscriber_failures"), 1)

    @settings(max_examples=40, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(-1, 6), st.sampled_from("abx")), max_size=12),
    )
    def test_any_order_of_offers_keeps_the_first_highest_valid_one(self, offers):
        self.setUp()
        expected = 0
        for revision, content in offers:
            changes = {"zones": {"withdrawn": [content]}}
            if content == "x":
                changes = {"groups": INVALID}
            taken = self.store.offer(*build_configuration(revision, **changes))
            self.assertEqual(taken, revision > expected and content != "x")
            expected = revision if taken else expected
            self.assertEqual(self.store.get_revision(), expected)
        self.assertEqual(self.accepted, sorted(set(self.accepted)))


if __name__ == "__main__":
    unittest.main()
