"""Fault injection for upstream stand-ins."""

import threading
from enum import Enum


class Fault(Enum):
    """Kinds of faulty behaviour of an upstream.

    ``CUT`` closes the connection after some tokens, ``CROSSED`` sends the answer
    of another request, ``TRUNCATED`` sends less than the announced length and
    ``UNDELIMITED`` sends a body without a length that ends with the connection.
    """

    REFUSE = "refuse"
    SILENT = "silent"
    CUT = "cut"
    CROSSED = "crossed"
    DUPLICATED_TOKEN = "duplicated_token"
    SLOW = "slow"
    SILENT_AFTER_EXECUTION = "silent_after_execution"
    CLOSE_BEFORE_ANSWER = "close_before_answer"
    TRUNCATED = "truncated"
    UNDELIMITED = "undelimited"


class FaultSwitch:
    """The active fault, for all requests or for a limited number of them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._fault = None
        self._remaining = None
        self.parameter = None

    def set(self, fault, parameter=None, count=None):
        """Activate a fault, optionally for the next ``count`` requests only.

        ``parameter`` is the number of tokens sent before a ``CUT``.
        """
        with self._lock:
            self._fault, self.parameter, self._remaining = fault, parameter, count

    def clear(self):
        self.set(None)

    def take(self):
        """Return the fault for the next request, and count that request."""
        with self._lock:
            fault = self._fault
            if fault is not None and self._remaining is not None:
                self._remaining -= 1
                if self._remaining <= 0:
                    self._fault = None
            return fault
