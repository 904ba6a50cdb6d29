"""Errors that only the callers' interface raises."""

from fescueflow.core import InvalidRequest


class UnknownPath(InvalidRequest):
    """No such path, or not with this method."""

    status = 404
    type = "unknown_path"


__all__ = ["UnknownPath"]
