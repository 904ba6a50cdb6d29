"""Tests of the signals and the standard output of an instance's process."""

import os
import signal
import subprocess
import tempfile
import threading
import time
import unittest
from pathlib import Path

from tests.gateway.fake_servers import FakeStore
from tests.gateway.gateway_case import WAIT_S
from tests.gateway.processes import is_listening, start_process

GRACE_S = 1.0
PIPE_WRITE_BYTES = 4096
HANGUPS = 3000


class ProcessTest(unittest.TestCase):
    """Guards against processes that do not end, or not as planned."""

    def setUp(self):
        self.store = FakeStore()
        self.addCleanup(self.store.close)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def start(self, stdout=subprocess.DEVNULL):
        process, ports = start_process(
            self.directory, self.store.port, stdout, grace_s=GRACE_S
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        deadline = time.monotonic() + WAIT_S
        while not is_listening(ports["callers"]):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
        return process

    def check_exit(self, process):
        """Check that the process ends by itself, as planned, and tells no error."""
        self.assertEqual(process.wait(WAIT_S), 0)
        self.assertEqual(process.stderr.read(), b"")

    def test_series_of_hangups(self):
        process = self.start()
        for _ in range(HANGUPS):
            process.send_signal(signal.SIGHUP)
        process.terminate()
        self.check_exit(process)

    def test_hangup_with_invalid_settings(self):
        process = self.start(subprocess.PIPE)
        self.addCleanup(process.stdout.close)
        (path,) = Path(self.directory).iterdir()
        path.write_text("no = settings [", "utf-8")
        process.send_signal(signal.SIGHUP)
        limit = threading.Timer(WAIT_S, process.kill)
        self.addCleanup(limit.cancel)
        limit.start()
        for line in process.stdout:
            if b"settings refused" in line:
                break
        else:
            self.fail("the process ended")
        self.assertIsNone(process.poll())
        process.terminate()
        self.check_exit(process)

    def test_several_terminations(self):
        process = self.start()
        for _ in range(HANGUPS):
            process.terminate()
            if process.poll() is not None:
                break
        self.check_exit(process)

    def test_output_that_nobody_reads(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        try:
            while True:
                os.write(writer, b"x" * PIPE_WRITE_BYTES)
        except BlockingIOError:
            os.set_blocking(writer, True)
        process = self.start(writer)
        process.terminate()
        self.check_exit(process)

    def test_output_that_is_closed(self):
        reader, writer = os.pipe()
        os.close(reader)
        try:
            process = self.start(writer)
        finally:
            os.close(writer)
        process.terminate()
        self.check_exit(process)


if __name__ == "__main__":
    unittest.main()
