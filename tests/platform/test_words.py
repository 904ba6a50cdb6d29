"""Words of the platform stay in the adapter."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "fescueflow"
ADAPTER = SOURCE / "platform"
# Words of the platform's pages that have another name inside, and names of headers,
# calls and fields on its wire.
WORDS = re.compile(
    r"\b(consumers?|check-ins?|allowances?|disturbances?|payoffs?|tenants?"
    r"|back[ -]ends?|submissions?)\b"
    r"|x[-_](attempt[-_]id|deadline[-_]ms|expect[-_]instance|server[-_]seal"
    r"|not[-_]executed|prefix[-_]hash|token[-_]count|request[-_]priority)"
    r"|\bkv[-_](fetch|from|key|range|watch|events|list|move|pin|token)"
    r"|cold_remaining_ms|weighted_services|api_keys|target_latency_ms|op/(config|evac)",
    re.IGNORECASE,
)


def find_words(text):
    """Yield the numbers of lines with a word of the platform, and the word."""
    for number, line in enumerate(text.splitlines(), 1):
        for found in WORDS.finditer(line):
            yield number, found[0]


class WordsTest(unittest.TestCase):
    """Guards against the platform's names in the rest of the product."""

    def test_only_the_adapter_knows_them(self):
        found = [
            f"{path.relative_to(SOURCE)}:{number}: {word}"
            for path in sorted(SOURCE.rglob("*.py"))
            if ADAPTER not in path.parents
            for number, word in find_words(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_words_are_recognised(self):
        text = 'name = "X-Tenant"\nserves a back end\nHTTP_X_ATTEMPT_ID\nKv-Fetch\nok'
        self.assertEqual([number for number, _ in find_words(text)], [1, 2, 3, 4])


if __name__ == "__main__":
    unittest.main()
