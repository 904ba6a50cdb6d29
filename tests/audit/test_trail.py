"""Tests of the audit trail."""

import unittest

from fescueflow.audit import (
    AuditKind,
    AuditTrail,
    compute_chain_digest,
    make_record_body,
)
from fescueflow.core import SystemClock


class TestAuditTrail(unittest.TestCase):
    def make_trail(self, count):
        trail = AuditTrail("i1", 1, SystemClock(), records_max=100)
        for index in range(count):
            trail.record(AuditKind.REQUEST_RAN, request=index)
        return trail

    def test_chain_verifies_from_the_first_record(self):
        """Guards against a chain in which an altered record can't be detected."""
        digest = ""
        for entry in self.make_trail(5).read_after(0):
            body = make_record_body(
                entry.sequence, entry.wall_s, entry.kind, entry.fields
            )
            digest = compute_chain_digest(digest, body)
            self.assertEqual(entry.digest, digest)

    def test_read_after_returns_only_newer_records(self):
        """Guards against a collector that misses records or receives them twice."""
        trail = self.make_trail(150)
        sequences = [entry.sequence for entry in trail.read_after(120)]
        self.assertEqual(sequences, list(range(121, 151)))
        self.assertEqual(trail.read_after(0)[0].sequence, 51)


if __name__ == "__main__":
    unittest.main()
