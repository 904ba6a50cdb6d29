"""Conversion between generated dataclasses and deflate-compressed Cap'n Proto.

The packed encoding of Cap'n Proto is not used: pycapnp aborts the process on some
malformed packed bytes, and raw deflate of the unpacked encoding is smaller. A preset
dictionary of typical messages improves the compression of short messages.
"""

import zlib
from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import capnp

from fescueflow.schema import messages_generated
from fescueflow.schema.converters_generated import (
    read_datagram,
    read_frame,
    write_datagram,
    write_frame,
)
from fescueflow.schema.dictionary import DICTIONARY
from fescueflow.schema.messages_generated import Datagram, Frame

SCHEMA_PATH = Path(__file__).with_name("messages.capnp")
TRAVERSAL_LIMIT_WORDS = 1 << 20
# A frame holds at most 2 MiB; a message that inflates to more than 4 MiB is refused.
MESSAGE_BYTES_MAX = 4 << 20
# The higher level makes a ping 12% smaller and takes 16 us; on large frames it would
# take milliseconds.
SMALL_MESSAGE_BYTES_MAX = 4096
SMALL_DEFLATE_LEVEL = 6
LARGE_DEFLATE_LEVEL = 1
DEFLATE_MEMORY_LEVEL = 8
RAW_DEFLATE_WINDOW_BITS = -15
WORD_BYTES = 8
# Exceptions that pycapnp and the converters raise on malformed bytes; RuntimeError
# is raised for a null pointer in place of a struct or an unknown union member.
DECODE_ERRORS = (
    capnp.KjException,
    ValueError,
    AttributeError,
    KeyError,
    RuntimeError,
    TypeError,
)
READERS: dict[type, Callable[[Any], Any]] = {Datagram: read_datagram, Frame: read_frame}
WRITERS: dict[type, Callable[[Any, Any], None]] = {
    Datagram: write_datagram,
    Frame: write_frame,
}

Message = TypeVar("Message", Datagram, Frame)


class DecodeError(Exception):
    """Raised for bytes that are not a valid message."""


@cache
def load_wire_schema() -> Any:
    """Return the Cap'n Proto schema, which is loaded once per process."""
    return capnp.load(str(SCHEMA_PATH))


def encode_unpacked(message: Datagram | Frame) -> bytes:
    """Return the unpacked Cap'n Proto encoding of a message."""
    builder = getattr(load_wire_schema(), type(message).__name__).new_message()
    WRITERS[type(message)](builder, message)
    flat: bytes = builder.to_bytes()
    return flat


def encode_message(message: Datagram | Frame) -> bytes:
    """Return the compressed encoding of a message.

    Parameters
    ----------
    message : Datagram or Frame

    Returns
    -------
    bytes
    """
    flat = encode_unpacked(message)
    small = len(flat) <= SMALL_MESSAGE_BYTES_MAX
    deflater = zlib.compressobj(
        SMALL_DEFLATE_LEVEL if small else LARGE_DEFLATE_LEVEL,
        zlib.DEFLATED,
        RAW_DEFLATE_WINDOW_BITS,
        DEFLATE_MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        DICTIONARY,
    )
    return deflater.compress(flat) + deflater.flush()


def inflate(data: bytes) -> bytes:
    """Return the unpacked encoding of a message.

    Raises
    ------
    ValueError
        If the data is not exactly one complete deflate stream within the size limit.
    """
    inflater = zlib.decompressobj(RAW_DEFLATE_WINDOW_BITS, DICTIONARY)
    try:
        flat = inflater.decompress(data, MESSAGE_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not inflater.eof or inflater.unused_data or len(flat) % WORD_BYTES:
        raise ValueError("truncated, oversized or followed by other bytes")
    return flat


def decode_message(data: bytes, message_type: type[Message]) -> Message:
    """Return the message decoded from its compressed encoding.

    Parameters
    ----------
    data : bytes
    kind : type
        ``Datagram`` or ``Frame``.

    Returns
    -------
    Datagram or Frame

    Raises
    ------
    DecodeError
        If the bytes are not a valid message of this type.
    """
    struct_schema = getattr(load_wire_schema(), message_type.__name__)
    try:
        with struct_schema.from_bytes(
            inflate(data), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            message: Message = READERS[message_type](reader)
            return message
    except DECODE_ERRORS as error:
        raise DecodeError(f"not a valid {message_type.__name__}: {error}") from error


__all__ = ["DecodeError", "decode_message", "encode_message", "messages_generated"]
