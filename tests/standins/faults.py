"""Fault switches of upstream stand-ins."""

import threading
from enum import Enum


class Fault(Enum):
    """What an upstream does wrong."""

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
    """The fault in force, for all or for the next few requests."""

    def __init__(self):
        self._lock = threading.Lock()
        self._fault = None
        self._remaining = None
        self.parameter = None

    def set(self, fault, parameter=None, count=None):
        """Turn a fault on, optionally for ``count`` requests only."""
        with self._lock:
            self._fault, self.parameter, self._remaining = fault, parameter, count

    def clear(self):
        self.set(None)

    def take(self):
        """Return the fault for one request."""
        with self._lock:
            fault = self._fault
            if fault is not None and self._remaining is not None:
                self._remaining -= 1
                if self._remaining <= 0:
                    self._fault = None
            return fault
