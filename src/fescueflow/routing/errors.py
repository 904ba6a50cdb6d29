"""Failures of routed requests that the product's own interface does not have."""

from fescueflow.core import InvalidRequest, RequestError


class NoRoute(InvalidRequest):
    """No route matches."""

    status = 404
    type = "no_route"


class UnknownKey(InvalidRequest):
    """The key belongs to no customer."""

    status = 401
    type = "unknown_key"


class CallerGone(RequestError):
    """The caller closed its connection."""

    status = 499
    type = "caller_gone"


__all__ = ["CallerGone", "NoRoute", "UnknownKey"]
