"""Tests of upstreams that are silent for some time and go on afterwards."""

import time

from tests.delivery import fakes
from tests.delivery.fakes import FakeDispatchInstance, make_chat, make_stream_step
from tests.delivery.test_dispatcher import DeliveryTestCase
from tests.delivery.test_streams import read_tokens

# Longer than the limit without a byte that the tests set.
SILENCE_TIMEOUT_MS = 200
PAUSE_S = 0.8


class SilentUpstreamTest(DeliveryTestCase):
    """Guards against ending an answer before its replacement has begun."""

    def setUp(self):
        super().setUp()
        self.node = FakeDispatchInstance(
            [self.one], upstream_silence_timeout_ms=SILENCE_TIMEOUT_MS
        )

    def test_stream_without_another_upstream(self):
        def go_on(connection, request):
            time.sleep(PAUSE_S)
            for index in (1, 2):
                connection.sendall(fakes.format_chunk(fakes.format_token(index)))
            connection.sendall(fakes.format_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

        self.one.steps = [make_stream_step([0], False, go_on)]
        answer = self.dispatch(make_chat(stream=True, deadline_ms=3000))
        self.addCleanup(answer.body.close)
        self.assertEqual(read_tokens(list(answer.body)), ([0, 1, 2], "done"))
        self.assertEqual(len(self.one.received), 1)
