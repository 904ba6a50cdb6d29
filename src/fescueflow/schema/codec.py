"""Conversion between the generated dataclasses and deflated Cap'n Proto bytes.

The packed form of Cap'n Proto is not used: pycapnp aborts the process on some
malformed packed bytes, and raw deflate of the flat form is smaller. A dictionary
of typical messages makes up for the shortness of most messages.
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
# A frame holds at most 2 MiB; more than twice that after inflation is refused.
MESSAGE_BYTES_MAX = 4 << 20
# A higher level makes a ping 12% smaller for 16 us; on the bodies of large frames
# it would cost milliseconds.
SMALL_BYTES = 4096
SMALL_DEFLATE_LEVEL = 6
LARGE_DEFLATE_LEVEL = 1
DEFLATE_MEMORY_LEVEL = 8
RAW_DEFLATE_BITS = -15
WORD_BYTES = 8
# What pycapnp and the conversion raise on malformed bytes; RuntimeError is a
# null pointer where a struct or an unknown member of a union is expected.
DECODE_FAULTS = (
    capnp.KjException,
    ValueError,
    AttributeError,
    KeyError,
    RuntimeError,
    TypeError,
)
READ: dict[type, Callable[[Any], Any]] = {Datagram: read_datagram, Frame: read_frame}
WRITE: dict[type, Callable[[Any, Any], None]] = {
    Datagram: write_datagram,
    Frame: write_frame,
}

Message = TypeVar("Message", Datagram, Frame)


class DecodeError(Exception):
    """Bytes that are not a valid message."""


@cache
def load_wire_schema() -> Any:
    """Load the Cap'n Proto schema once per process."""
    return capnp.load(str(SCHEMA_PATH))


def build_flat(message: Datagram | Frame) -> bytes:
    """Return the flat Cap'n Proto bytes of a message."""
    builder = getattr(load_wire_schema(), type(message).__name__).new_message()
    WRITE[type(message)](builder, message)
    flat: bytes = builder.to_bytes()
    return flat


def encode_message(message: Datagram | Frame) -> bytes:
    """Return the deflated bytes of a message.

    Parameters
    ----------
    message : Datagram or Frame

    Returns
    -------
    bytes
    """
    flat = build_flat(message)
    small = len(flat) <= SMALL_BYTES
    deflater = zlib.compressobj(
        SMALL_DEFLATE_LEVEL if small else LARGE_DEFLATE_LEVEL,
        zlib.DEFLATED,
        RAW_DEFLATE_BITS,
        DEFLATE_MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        DICTIONARY,
    )
    return deflater.compress(flat) + deflater.flush()


def inflate(data: bytes) -> bytes:
    """Return the flat bytes of a message.

    Raises
    ------
    ValueError
        If the data is not one complete deflate stream of a permitted size.
    """
    inflater = zlib.decompressobj(RAW_DEFLATE_BITS, DICTIONARY)
    try:
        flat = inflater.decompress(data, MESSAGE_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not inflater.eof or inflater.unused_data or len(flat) % WORD_BYTES:
        raise ValueError("truncated, oversized or followed by other bytes")
    return flat


def decode_message(data: bytes, kind: type[Message]) -> Message:
    """Return the message that the deflated bytes hold.

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
        If the bytes are not a message of this kind.
    """
    wire_type = getattr(load_wire_schema(), kind.__name__)
    try:
        with wire_type.from_bytes(
            inflate(data), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            message: Message = READ[kind](reader)
            return message
    except DECODE_FAULTS as error:
        raise DecodeError(f"not a valid {kind.__name__}: {error}") from error


__all__ = ["DecodeError", "decode_message", "encode_message", "messages_generated"]
