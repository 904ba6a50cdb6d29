"""Tests of the era that the store's responses name."""

import json
import unittest
from email.message import Message
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from fescueflow.platform.http import PlatformResponse
from fescueflow.platform.records import MalformedResponse
from fescueflow.platform.store import (
    ERA_MAX,
    EraChanged,
    HistoryExpired,
    StoreClient,
    read_era,
)


def make_headers(*eras):
    headers = Message()
    for era in eras:
        headers["store-era"] = era
    return headers


def make_page(key, revision, *eras, has_more=False, status=200):
    """Return a response with one entry."""
    entry = {"key": key, "value": "", "revision": revision}
    document = {"entries": [entry], "events": [], "at": revision, "has_more": has_more}
    return PlatformResponse(status, make_headers(*eras), json.dumps(document).encode())


class StoreEraTest(unittest.TestCase):
    """Guards against contents of one era that are taken for those of another."""

    def call(self, name, *arguments, responses):
        target = "fescueflow.platform.store.read_url"
        with mock.patch(target, side_effect=responses):
            return getattr(StoreClient("127.0.0.1:1"), name)(*arguments)

    def test_era_of_a_read_and_of_a_watch(self):
        for eras, expected in ((), 0), (("0",), 0), (("7",), 7):
            page = make_page("a", 3, *eras)
            result = self.call("read", "", responses=[page])
            self.assertEqual((result.era, result.revision), (expected, 3))
            result = self.call("watch", "", 1, 0.0, responses=[page])
            self.assertEqual(result.era, expected)

    def test_pages_of_several_eras(self):
        """Guards against a mixture of two histories."""
        for eras, revision in (("1", "2"), 4), (("2", "1"), 9), (("2",), None):
            pages = [
                make_page("a", 9, eras[0], has_more=True),
                make_page("b", 4, *eras[1:]),
            ]
            with self.assertRaises(EraChanged) as raised:
                self.call("read", "", responses=pages)
            self.assertEqual(raised.exception.era, 2)
            if revision is not None:
                self.assertEqual(raised.exception.revision, revision)

    def test_era_of_a_lost_history(self):
        with self.assertRaises(HistoryExpired) as raised:
            page = make_page("a", 1, "5", status=410)
            self.call("watch", "", 1, 0.0, responses=[page])
        self.assertEqual(raised.exception.era, 5)

    def test_odd_eras_make_the_response_unusable(self):
        """Guards against an odd header that counts as era 0 or stops the watch."""
        for values in [""], ["x"], ["-1"], ["1.0"], ["²"], ["9" * 5000], ["1", "2"]:
            with self.subTest(values=values), self.assertRaises(MalformedResponse):
                read_era(make_headers(*values))

    @given(st.integers(0, ERA_MAX))
    def test_each_era_is_read(self, era):
        self.assertEqual(read_era(make_headers(f" {era} ")), era)


if __name__ == "__main__":
    unittest.main()
