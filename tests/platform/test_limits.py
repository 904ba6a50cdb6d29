"""Tests of the header in which upstreams name a limit."""

import unittest

from fescueflow.platform import parse_limit


class LimitHeaderTest(unittest.TestCase):
    """Guards against a value that is taken for a limit, or a limit that is missed."""

    def test_limits(self):
        for text, rate in (
            ("3.8", 3.8),
            (" 2 ", 2.0),
            ("0", 0.0),
            ("0.0", 0.0),
            (".5", 0.5),
            ("1.", 1.0),
            ("25e-1", 2.5),
            ("1e308", 1e6),
            ("1e-308", 1e-308),
            ("9" * 400, 1e6),
        ):
            with self.subTest(text=text[:20]):
                self.assertEqual(parse_limit(text), rate)

    def test_several_headers(self):
        self.assertEqual(parse_limit("3.0, 1.5"), 1.5)
        self.assertEqual(parse_limit("3.0, 3.0"), 3.0)

    def test_no_header(self):
        self.assertIsNone(parse_limit(None))

    def test_values_that_are_no_limit(self):
        for text in (
            *("", " ", "none", "-1", "-0.0", "+2", "nan", "inf", "Infinity", "1,5x"),
            *("1_000", "0x10", "2/s", "\u0663", "1.2.3", "3.0, -1", "3.0,", "1e9999"),
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_limit(text)


if __name__ == "__main__":
    unittest.main()
