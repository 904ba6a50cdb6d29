"""Exception hierarchy of fescueflow.

Errors that are reported to a caller derive from ``RequestError`` and carry the
HTTP status, a machine-readable type and whether the request ran.
"""

from typing import Any

from fescueflow.core.states import Outcome


class FescueflowError(Exception):
    """Base class of all fescueflow errors."""


class InvalidSettings(FescueflowError):
    """The settings are invalid; ``problems`` lists every problem."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class InvalidConfiguration(FescueflowError):
    """A published configuration is invalid; each problem names its location."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformUnavailable(FescueflowError):
    """The configuration service or instance list returned no usable answer."""


class PeerError(FescueflowError):
    """An exchange with another instance failed.

    Parameters
    ----------
    message : str
    sent : bool
        Whether any byte of the request may have reached the other instance.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RequestError(FescueflowError):
    """An error that is reported to the caller.

    Parameters
    ----------
    message : str
    outcome : Outcome, optional
        Whether the request ran, by default ``default_outcome`` of the class.
    retry_after_ms : int, optional
        Suggested delay before a retry, in milliseconds.
    address : str, optional
        Another instance to send the request to, as ``ip:port``.
    """

    status = 500
    type = "internal_error"
    default_outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        outcome: Outcome | None = None,
        retry_after_ms: int | None = None,
        address: str | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.outcome = outcome or self.default_outcome
        self.retry_after_ms = retry_after_ms
        self.address = address


class InvalidRequest(RequestError):
    """The request is malformed."""

    status = 400
    type = "invalid_request"
    default_outcome = Outcome.NOT_RUN


class InvalidRequestId(InvalidRequest):
    """The request id or token was not issued by this fleet."""

    type = "invalid_request_id"


class BodyTooLarge(InvalidRequest):
    """The request body exceeds the limit."""

    status = 413
    type = "body_too_large"


class HeadTooLarge(InvalidRequest):
    """The head of the request exceeds the limit."""

    status = 431
    type = "head_too_large"


class RequestTooSlow(InvalidRequest):
    """The request did not arrive in time."""

    status = 408
    type = "request_too_slow"


class UnknownCustomer(InvalidRequest):
    """The customer is not in the configuration."""

    status = 404
    type = "unknown_customer"


class UnknownModel(InvalidRequest):
    """The customer's template does not name the model or service."""

    status = 404
    type = "unknown_model"


class RequestIdReused(RequestError):
    """A request id was reused for a different request."""

    status = 422
    type = "request_id_reused"


class Overloaded(RequestError):
    """No upstream can take the request within its deadline."""

    status = 503
    type = "overloaded"
    default_outcome = Outcome.NOT_RUN


class PromptQuarantined(RequestError):
    """Upstreams crash under a part of the request's prompt."""

    status = 503
    type = "prompt_quarantined"
    default_outcome = Outcome.NOT_RUN


class NotReady(RequestError):
    """The instance has no configuration yet or knows no upstream."""

    status = 503
    type = "not_ready"
    default_outcome = Outcome.NOT_RUN


class Moved(RequestError):
    """The instance accepts no new requests; ``address`` names another one."""

    status = 503
    type = "moved"
    default_outcome = Outcome.NOT_RUN


class DeadlineExceeded(RequestError):
    """The deadline passed before the answer was complete."""

    status = 504
    type = "deadline_exceeded"


class UpstreamFailed(RequestError):
    """The upstream failed or its answer was incomplete."""

    status = 502
    type = "upstream_failed"


class OwnerUnavailable(RequestError):
    """The instance that owns the request id can't be reached."""

    status = 504
    type = "owner_unavailable"


class OutcomeUnknown(RequestError):
    """The request may or may not have run."""

    status = 504
    type = "outcome_unknown"


def describe_error(error: RequestError) -> dict[str, Any]:
    """Return the JSON-serializable error that is sent to the caller."""
    return {
        "error": {
            "type": error.type,
            "message": error.message,
            "outcome": error.outcome.value,
            "retry_after_ms": error.retry_after_ms,
            "address": error.address,
        }
    }


__all__ = [
    "BodyTooLarge",
    "DeadlineExceeded",
    "FescueflowError",
    "HeadTooLarge",
    "InvalidConfiguration",
    "InvalidRequest",
    "InvalidRequestId",
    "InvalidSettings",
    "Moved",
    "NotReady",
    "OutcomeUnknown",
    "Overloaded",
    "OwnerUnavailable",
    "PeerError",
    "PlatformUnavailable",
    "PromptQuarantined",
    "RequestError",
    "RequestIdReused",
    "RequestTooSlow",
    "UnknownCustomer",
    "UnknownModel",
    "UpstreamFailed",
    "describe_error",
]
