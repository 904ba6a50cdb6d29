"""Tests of the number of threads of an instance."""

import threading
import time
import unittest
from unittest import mock

from fescueflow.gateway.threads import THREADS_MIN, GrowingDispatcher
from tests.gateway.gateway_case import WAIT_S, GatewayTestCase

IDLE_THREADS_MAX = 16


class BlockingTask:
    """Task that lasts until it is released."""

    def __init__(self):
        self.started = threading.Event()
        self.released = threading.Event()

    def service(self):
        self.started.set()
        self.released.wait(WAIT_S)

    def cancel(self):
        """Do nothing."""


class GrowingDispatcherTest(unittest.TestCase):
    """Guards against pools of idle threads, and against requests that wait for one."""

    def start(self, threads_max, idle_s=0.05):
        dispatcher = GrowingDispatcher(threads_max, idle_s)
        dispatcher.set_thread_count(threads_max)
        self.addCleanup(dispatcher.shutdown)
        return dispatcher

    def run_tasks(self, dispatcher, count):
        tasks = [BlockingTask() for _ in range(count)]
        for task in tasks:
            dispatcher.add_task(task)
        return tasks

    def test_threads_follow_the_tasks(self):
        dispatcher = self.start(128)
        self.assertLessEqual(len(dispatcher.threads), THREADS_MIN)
        tasks = self.run_tasks(dispatcher, 100)
        for task in tasks:
            self.assertTrue(task.started.wait(WAIT_S))
        for task in tasks:
            task.released.set()
        deadline = time.monotonic() + WAIT_S
        while len(dispatcher.threads) > THREADS_MIN:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def test_tasks_beyond_the_limit_wait(self):
        dispatcher = self.start(4)
        first, last = self.run_tasks(dispatcher, 4), self.run_tasks(dispatcher, 2)
        for task in first:
            self.assertTrue(task.started.wait(WAIT_S))
        self.assertEqual(len(dispatcher.threads), 4)
        self.assertFalse(any(task.started.is_set() for task in last))
        first[0].released.set()
        self.assertTrue(last[0].started.wait(WAIT_S))
        for task in (*first, *last):
            task.released.set()
        self.assertTrue(last[1].started.wait(WAIT_S))


class FailingTask(BlockingTask):
    """Task that ends its thread's work by an error that is no ``Exception``."""

    def __init__(self):
        super().__init__()
        self.cancelled = threading.Event()

    def service(self):
        raise SystemExit("unforeseen")

    def cancel(self):
        self.cancelled.set()


class FailingThreadTest(unittest.TestCase):
    """Guards against requests that hang because of an error of their thread."""

    def setUp(self):
        self.dispatcher = GrowingDispatcher(8, idle_s=0.05)
        self.dispatcher.set_thread_count(8)
        self.addCleanup(self.dispatcher.shutdown)

    def test_task_that_fails_is_cancelled(self):
        task, later = FailingTask(), BlockingTask()
        self.dispatcher.logger = mock.Mock()
        self.dispatcher.add_task(task)
        self.assertTrue(task.cancelled.wait(WAIT_S))
        self.dispatcher.add_task(later)
        self.assertTrue(later.started.wait(WAIT_S))
        later.released.set()

    def test_thread_that_can_not_be_started(self):
        """The machine's limit of threads holds for all of its processes."""
        tasks = [BlockingTask() for _ in range(4)]
        for task in tasks[:THREADS_MIN]:
            self.dispatcher.add_task(task)
            self.assertTrue(task.started.wait(WAIT_S))
        error = RuntimeError("can't start new thread")
        with mock.patch.object(threading.Thread, "start", side_effect=error):
            for task in tasks[THREADS_MIN:]:
                self.dispatcher.add_task(task)
        self.assertEqual(len(self.dispatcher.threads), THREADS_MIN)
        for task in tasks:
            task.released.set()
        for task in tasks:
            self.assertTrue(task.started.wait(WAIT_S))


class IdleInstanceTest(GatewayTestCase):
    """Guards against threads that an instance holds without requests."""

    def setUp(self):
        before = set(threading.enumerate())
        super().setUp()
        self.started = set(threading.enumerate()) - before

    def test_threads_of_an_idle_instance(self):
        own = [t for t in self.started if is_of_instance(t)]
        self.assertLessEqual(len(own), IDLE_THREADS_MAX)


def is_of_instance(thread):
    """Return whether a thread does not belong to the test's own servers."""
    return not any(
        word in thread.name for word in ("serve_forever", "process_request", "Main")
    )


if __name__ == "__main__":
    unittest.main()
