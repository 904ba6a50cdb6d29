"""Tests of a silent stream that sends some bytes while its replacement is at work."""

from tests.gateway.gateway_case import WAIT_S
from tests.gateway.test_replacements import WHOLE, ReplacementCase


class FirstBytesTest(ReplacementCase):
    """Guards against ending a replacement for bytes that are no whole stream."""

    attempts_max = 2

    def replace_slowly(self, handler):
        self.replaced.set()
        self.released.wait(0.4)
        self.go_on(handler)

    def test_stream_that_is_reset_after_one_more_event(self):
        def begin(handler):
            handler.start_stream()
            handler.send_event(1)
            self.replaced.wait(WAIT_S)
            handler.send_event(2)
            self.released.wait(0.1)
            handler.reset_connection()

        self.answer_in_turn(begin, self.replace_slowly)
        self.assertEqual(self.call("/stream/1")[2], WHOLE)

    def test_stalled_stream_that_sends_a_byte(self):
        def stall(handler):
            handler.start_stream()
            handler.send_event(1)
            self.replaced.wait(WAIT_S)
            handler.send_part(b"i")
            self.released.wait(WAIT_S)

        self.answer_in_turn(stall, self.replace_slowly)
        self.assertEqual(self.call("/stream/1")[2], WHOLE)
