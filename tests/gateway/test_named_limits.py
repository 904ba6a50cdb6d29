"""Tests of upstreams that name a limit, with one real instance."""

import json
import time
import unittest

from tests.gateway.gateway_case import GatewayTestCase

# Requests a second and the most requests that the rule allows in any four seconds.
LIMIT = 0.5
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * LIMIT + 5


class NamedLimitTest(GatewayTestCase):
    """Guards against requests that an upstream said it does not take."""

    def setUp(self):
        super().setUp()
        self.arrived_at = {upstream.name: [] for upstream in self.upstreams}

    def answer(self, handler, limit=LIMIT, status=200):
        self.arrived_at[handler.upstream_name].append(time.monotonic())
        headers = [("Server-Limit", str(limit))] if limit is not None else []
        if status == 503:
            headers.append(("X-Not-Executed", "1"))
        handler.send_sealed(status, headers=headers)

    def name_limits(self, count=2, **changes):
        """Let upstreams name a limit in their next answers."""
        for upstream in self.upstreams[:count]:
            upstream.script = lambda handler: self.answer(handler, **changes)
        named = self.upstreams[:count]
        self.wait_for(
            lambda: bool(self.call("/safe/1")) and all(u.arrivals for u in named)
        )

    def find_worst(self, name, since):
        """Return the most requests that an upstream got in one window."""
        times = [at for at in self.arrived_at[name] if at >= since]
        return max(
            (sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0
        )

    def test_limit_is_kept_and_the_rest_refused_at_once(self):
        self.name_limits()
        since, refused = time.monotonic(), 0
        while time.monotonic() < since + 2 * WINDOW_S:
            asked_at = time.monotonic()
            status, headers, body = self.call("/once/1")
            if status == 200:
                continue
            refused += 1
            self.assertEqual(status, 503)
            self.assertEqual(json.loads(body)["error"]["outcome"], "not_run")
            self.assertGreater(float(headers["Retry-After"]), 0.0)
            self.assertLessEqual(float(headers["Retry-After"]), 3.0)
            # Far below the deadline of eight seconds: nothing waits in a queue.
            self.assertLess(time.monotonic() - asked_at, 4.0)
            time.sleep(0.02)
        self.assertGreater(refused, 0)
        for upstream in self.upstreams:
            self.assertGreater(len(self.arrived_at[upstream.name]), 0)
            self.assertLessEqual(self.find_worst(upstream.name, since), ALLOWED)

    def test_other_upstream_takes_the_rest(self):
        self.name_limits(count=1)
        since = time.monotonic()
        for number in range(60):
            self.assertEqual(self.call(f"/once/{number}")[0], 200)
        self.assertLessEqual(self.find_worst("u1", since), ALLOWED)
        self.assertGreater(self.count_arrivals()[1], 40)

    def test_limit_in_a_refusal(self):
        self.name_limits(count=1, status=503)
        since = time.monotonic()
        for number in range(60):
            self.assertEqual(self.call(f"/once/{number}")[0], 200)
        self.assertLessEqual(self.find_worst("u1", since), ALLOWED)

    def test_ended_limit_is_used_again(self):
        self.name_limits()
        self.set_script(*[lambda handler: handler.send_sealed()] * 2)
        self.wait_for(lambda: all(self.call(f"/once/{n}")[0] == 200 for n in range(20)))

    def test_values_that_are_no_limit(self):
        for value in ("", "-1", "none", "nan", "inf", "1e308"):
            with self.subTest(value=value):
                self.name_limits(count=1, limit=value)
                for number in range(20):
                    self.assertEqual(self.call(f"/once/{number}")[0], 200)


if __name__ == "__main__":
    unittest.main()
