"""Errors that callers get for failed attempts."""

from fescueflow.core import (
    DeadlineExceeded,
    Outcome,
    Overloaded,
    RequestError,
    UpstreamFailed,
)
from fescueflow.gateway.exchange import ExchangeFailed
from fescueflow.gateway.requests import RequestContext
from fescueflow.gateway.selection import RETRY_AFTER_MS


def make_error(failure: ExchangeFailed) -> RequestError:
    """Return the caller's error for a failed attempt."""
    if failure.kind.may_have_run:
        return UpstreamFailed(failure.reason)
    return Overloaded(failure.reason, retry_after_ms=RETRY_AFTER_MS)


def adjust_error(context: RequestContext, error: RequestError) -> RequestError:
    """Return the error that describes all attempts of the request."""
    if error.outcome is Outcome.NOT_RUN and context.may_have_run:
        return UpstreamFailed(error.message)
    if isinstance(error, DeadlineExceeded) and not context.attempts_sent:
        return Overloaded(error.message)
    return error


__all__ = ["adjust_error", "make_error"]
