"""Failures that a caller of the gateway sees."""

from fescueflow.core import FescueflowError, Outcome


class GatewayError(FescueflowError):
    """A request that ends without an upstream's answer.

    Parameters
    ----------
    message : str
    outcome : Outcome, optional
        Whether the request ran at an upstream.
    retry_after_s : float, optional
        When the caller may return.
    """

    status = 502
    type = "upstream_failed"
    default_outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.outcome = outcome or self.default_outcome
        self.retry_after_s = retry_after_s


class NoRoute(GatewayError):
    """No route matches."""

    status = 404
    type = "no_route"
    default_outcome = Outcome.NOT_RUN


class UnknownKey(GatewayError):
    """The key belongs to no customer."""

    status = 401
    type = "unknown_key"
    default_outcome = Outcome.NOT_RUN


class InvalidCall(GatewayError):
    """The request can't be passed on as it is."""

    status = 400
    type = "invalid_request"
    default_outcome = Outcome.NOT_RUN


class BodyOverLimit(GatewayError):
    """The body is larger than the operator allows."""

    status = 413
    type = "body_too_large"
    default_outcome = Outcome.NOT_RUN


class TurnedAway(GatewayError):
    """The request is turned away and has not run."""

    status = 503
    type = "turned_away"
    default_outcome = Outcome.NOT_RUN


class NoTable(TurnedAway):
    """No configuration is known yet."""

    type = "not_ready"


class NoUpstream(TurnedAway):
    """The service has no upstream that takes work."""

    type = "no_upstream"


class Overloaded(TurnedAway):
    """The answer would come too late."""

    type = "overloaded"


class AnswerFailed(GatewayError):
    """An upstream may have run the request and gave no answer to pass on."""


class DeadlinePassed(GatewayError):
    """The caller's deadline or the route's limit passed."""

    status = 504
    type = "deadline_passed"


class CallerGone(GatewayError):
    """The caller closed its connection."""

    status = 499
    type = "caller_gone"


__all__ = [
    "AnswerFailed",
    "BodyOverLimit",
    "CallerGone",
    "DeadlinePassed",
    "GatewayError",
    "InvalidCall",
    "NoRoute",
    "NoTable",
    "NoUpstream",
    "Overloaded",
    "TurnedAway",
    "UnknownKey",
]
