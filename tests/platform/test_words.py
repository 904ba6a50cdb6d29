"""Terms of the platform are used only in its adapter."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "fescueflow"
ADAPTER = SOURCE / "platform"
# Terms of the platform's documentation that have another name in this project, and
# names of its headers, calls and fields.
PLATFORM_TERMS = re.compile(
    r"\b(consumers?|check-ins?|allowances?|disturbances?|payoffs?|tenants?"
    r"|back[ -]ends?|submissions?)\b"
    r"|x[-_](attempt[-_]id|deadline[-_]ms|expect[-_]instance|server[-_]seal"
    r"|not[-_]executed|prefix[-_]hash|token[-_]count|request[-_]priority)"
    r"|\bkv[-_](fetch|from|key|range|watch|events|list|move|pin|token)"
    r"|cold_remaining_ms|weighted_services|api_keys|target_latency_ms|op/(config|evac)",
    re.IGNORECASE,
)


def find_terms(text):
    """Yield the line number and text of each term of the platform."""
    for number, line in enumerate(text.splitlines(), 1):
        for found in PLATFORM_TERMS.finditer(line):
            yield number, found[0]


class TermsTest(unittest.TestCase):
    """Guards against the platform's terms in the rest of the source."""

    def test_only_the_adapter_uses_them(self):
        found = [
            f"{path.relative_to(SOURCE)}:{number}: {term}"
            for path in sorted(SOURCE.rglob("*.py"))
            if ADAPTER not in path.parents
            for number, term in find_terms(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_terms_are_recognised(self):
        text = 'name = "X-Tenant"\nserves a back end\nHTTP_X_ATTEMPT_ID\nKv-Fetch\nok'
        self.assertEqual([number for number, _ in find_terms(text)], [1, 2, 3, 4])


if __name__ == "__main__":
    unittest.main()
