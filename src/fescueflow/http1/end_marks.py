"""Marks of the end of a message body (RFC 9112, section 6.3)."""

from enum import Enum


class EndMark(Enum):
    """What shows where a body ends.

    Attributes
    ----------
    CHUNKS
        The last chunk, of size 0.
    LENGTH
        The length in the head.
    CONNECTION
        Nothing but the end of the connection.
    """

    CHUNKS = "chunks"
    LENGTH = "length"
    CONNECTION = "connection"


__all__ = ["EndMark"]
