"""Errors raised only by the HTTP API."""

from fescueflow.core import InvalidRequest


class UnknownPath(InvalidRequest):
    """The path does not exist or does not support the method."""

    status = 404
    type = "unknown_path"


__all__ = ["UnknownPath"]
