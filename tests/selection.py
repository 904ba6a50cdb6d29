"""Marker for tests that take too long for continuous integration."""

LONG_RUN = "long_run"


def long_run(test):
    """Mark a test or test class that only ``make test LONG=1`` runs.

    Continuous integration has five minutes for all its steps.
    """
    setattr(test, LONG_RUN, True)
    return test


def is_long_run(test):
    """Return whether the method or the class of a test case is marked."""
    method = getattr(test, test._testMethodName, None)
    return getattr(method, LONG_RUN, False) or getattr(test, LONG_RUN, False)


__all__ = ["is_long_run", "long_run"]
