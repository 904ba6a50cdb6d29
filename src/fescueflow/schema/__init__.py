"""Message and setting schemas, the code generated from them, and the wire codec."""

from fescueflow.schema import messages_generated, settings_generated
from fescueflow.schema.codec import DecodeError, decode_message, encode_message
from fescueflow.schema.messages_generated import *  # noqa: F403
from fescueflow.schema.settings_generated import (
    SPECIFICATIONS,
    Settings,
    SettingSpecification,
)

__all__ = [
    "DecodeError",
    "SPECIFICATIONS",
    "SettingSpecification",
    "Settings",
    "decode_message",
    "encode_message",
    "messages_generated",
    "settings_generated",
]
__all__ += messages_generated.__all__
