"""Marks tests that are too long for continuous integration."""

LONG_RUN = "long_run"


def long_run(test):
    """Mark a test or a class of tests; ``make test LONG=1`` runs it.

    Continuous integration has five minutes for everything.
    """
    setattr(test, LONG_RUN, True)
    return test


def is_long_run(test):
    """Return whether a test case's method or class is marked."""
    method = getattr(test, test._testMethodName, None)
    return getattr(method, LONG_RUN, False) or getattr(test, LONG_RUN, False)


__all__ = ["is_long_run", "long_run"]
