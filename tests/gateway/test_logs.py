"""Tests of the bounded log output."""

import json
import threading
import time
import unittest

import logbook

from fescueflow.gateway.logs import LINES_PER_S, QUEUED_LINES_MAX, BoundedHandler

log = logbook.Logger("test")


class StalledStream:
    """Output stream that blocks because its reader has stopped."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait()
        self.text += text

    def flush(self):
        """Do nothing."""


class FailingStream(StalledStream):
    """Output stream whose reader is away at first."""

    def __init__(self):
        super().__init__()
        self.failures = 1
        self.released.set()

    def write(self, text):
        if self.failures:
            self.failures -= 1
            raise BrokenPipeError(32, "Broken pipe")
        super().write(text)


class FailingOutputTest(unittest.TestCase):
    """Guards against a log that ends for good with one error of its output."""

    def test_lines_after_an_error(self):
        stream = FailingStream()
        handler = BoundedHandler(stream)
        with handler:
            log.info("first")
            deadline = time.monotonic() + 20
            while stream.failures:
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.01)
            log.info("second")
        handler.flush_within(20)
        self.assertIn("second", stream.text)


class BoundedHandlerTest(unittest.TestCase):
    """Guards against requests that block because the log isn't read."""

    def setUp(self):
        self.stream = StalledStream()
        self.handler = BoundedHandler(self.stream)
        self.handler.instance = "i1"
        self.addCleanup(self.stream.released.set)

    def test_stalled_reader_blocks_no_writer(self):
        done = threading.Event()

        def write_all():
            with self.handler.threadbound():
                for number in range(3 * QUEUED_LINES_MAX):
                    log.error(f"kind {number}", extra={"id": number})
            done.set()

        threading.Thread(target=write_all, daemon=True).start()
        # A write to the stream itself would block forever.
        self.assertTrue(done.wait(60))
        self.assertLessEqual(len(self.handler._lines), QUEUED_LINES_MAX)

    def test_flush_waits_for_lines_that_are_being_written(self):
        """Guards against last lines that are lost when the process exits."""
        with self.handler.threadbound():
            log.info("last line")
        deadline = time.monotonic() + 20
        while self.handler._lines and time.monotonic() < deadline:
            time.sleep(0.01)
        started_at = time.monotonic()
        self.handler.flush_within(0.2)
        self.assertGreaterEqual(time.monotonic() - started_at, 0.2)
        self.stream.released.set()
        self.handler.flush_within(20)
        self.assertIn("last line", self.stream.text)

    def test_flood_of_one_kind_leaves_room_for_failures(self):
        with self.handler.threadbound():
            for _ in range(20 * LINES_PER_S[logbook.INFO]):
                log.info("placed")
            log.warning("not answered", extra={"id": "a1", "status": 503})
        self.stream.released.set()
        deadline = time.monotonic() + 20
        while "not answered" not in self.stream.text:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)
        lines = [json.loads(text) for text in self.stream.text.splitlines()]
        self.assertEqual(lines[-1]["id"], "a1")
        self.assertEqual(lines[-1]["instance"], "i1")
        self.assertLess(len(lines), 10 * LINES_PER_S[logbook.INFO])


if __name__ == "__main__":
    unittest.main()
