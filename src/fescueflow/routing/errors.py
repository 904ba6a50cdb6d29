"""Errors that only routed requests can raise."""

from fescueflow.core import InvalidRequest, RequestError


class NoRoute(InvalidRequest):
    """No route matches the host and path of the request."""

    status = 404
    type = "no_route"


class UnknownKey(InvalidRequest):
    """The API key belongs to no customer."""

    status = 401
    type = "unknown_key"


class CallerDisconnected(RequestError):
    """The caller closed its connection before the response was complete."""

    status = 499
    type = "caller_gone"


__all__ = ["CallerDisconnected", "NoRoute", "UnknownKey"]
