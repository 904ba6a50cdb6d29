"""What attempts at real sockets tell the ramp of an upstream."""

import time

import logbook

from tests.gateway.gateway_case import GatewayTestCase


class RampSignalTest(GatewayTestCase):
    """Guards against ramps that learn nothing from the upstream's responses."""

    def setUp(self):
        super().setUp()
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)
        born = round(time.time() * 1000)
        self.upstreams.append(self.start_upstream("u3", born=born, sequence=2))
        self.wait_for(lambda: "upstream listed" in self.list_messages())

    def list_messages(self):
        return [record.message for record in self.handler.records]

    def list_ramps(self):
        """Return upstream, event and reason of the lines about ramps."""
        extras = [r.extra for r in self.handler.records if r.message == "ramp"]
        return [(e["upstream"], e["event"], e["reason"] or None) for e in extras]

    def call_until(self, event):
        """Call with one prompt part after another until a ramp has such an event."""
        self.call_while(
            lambda: event not in [found for _, found, _ in self.list_ramps()]
        )

    def call_while(self, condition):
        """Call with one prompt part after another as long as a condition is true."""
        numbers = iter(range(10**6))

        def has_ended():
            number = next(numbers)
            parts = {"X-Prefix-Hash": f"p{number}:900,q{number}:9"}
            self.call("/safe/1", headers={**parts, "X-Token-Count": "909,9"})
            return not condition()

        self.wait_for(has_ended)

    def test_responses_end_it(self):
        self.set_script(*[lambda handler: handler.send_sealed()] * 3)
        self.call_until("end")
        expected = [("u3", "begin", None), ("u3", "end", "reached")]
        self.assertEqual(self.list_ramps(), expected)
        _, page = self.get_page("directory", "/metrics")
        self.assertIn(b'upstream_ramps_total{end="reached"} 1', page)

    def test_refusal_cuts_it(self):
        refusal = [("X-Not-Executed", "1")]
        refuse = lambda handler: handler.send_sealed(503, b"", refusal)  # noqa: E731
        self.set_script(*[lambda handler: handler.send_sealed()] * 2, refuse)
        self.call_until("cut")
        expected = [("u3", "begin", None), ("u3", "cut", "refused")]
        self.assertEqual(self.list_ramps()[:2], expected)

    def test_error_does_not_raise_it(self):
        """An error is quick also where the upstream would be slow."""
        for status in (404, 400, 501):
            self.set_script(*[lambda h, status=status: h.send_sealed(status)] * 3)
            count = self.count_arrivals()[2] + 2
            self.call_while(lambda count=count: self.count_arrivals()[2] < count)
        self.assertEqual(self.list_ramps(), [("u3", "begin", None)])

    def test_too_many_requests_cuts_it(self):
        self.set_script(
            *[lambda handler: handler.send_sealed()] * 2,
            lambda handler: handler.send_sealed(429),
        )
        self.call_until("cut")
        expected = [("u3", "begin", None), ("u3", "cut", "server_error")]
        self.assertEqual(self.list_ramps()[:2], expected)

    def test_silence_cuts_it(self):
        pause = lambda handler: (time.sleep(2.0), handler.send_sealed())  # noqa: E731
        self.set_script(*[lambda handler: handler.send_sealed()] * 2, pause)
        self.call_until("cut")
        expected = [("u3", "begin", None), ("u3", "cut", "silent")]
        self.assertEqual(self.list_ramps()[:2], expected)


if __name__ == "__main__":
    import unittest

    unittest.main()
