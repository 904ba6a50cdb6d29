"""Formatting, authentication and parsing of request ids."""

import re
from dataclasses import dataclass
from typing import NewType

from fescueflow.core import Incarnation, InstanceId, InvalidRequestId
from fescueflow.transport import Keyring

RequestId = NewType("RequestId", str)

SIGNING_PURPOSE = "request-id"
TEXT_LENGTH_MAX = 256
REQUEST_ID_PATTERN = re.compile(
    r"([A-Za-z0-9_.:-]{1,128})\.([0-9a-f]{16})\.([1-9][0-9]{0,18})\.([0-9a-f]{32})"
)


@dataclass(frozen=True)
class ParsedRequestId:
    """Fields of a request id whose authentication code was verified."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int


class RequestIdCodec:
    """Formats and parses request ids.

    Parameters
    ----------
    keyring : Keyring
        Keys of the authentication code.
    """

    def __init__(self, keyring: Keyring) -> None:
        self._keyring = keyring

    def format(self, parsed: ParsedRequestId) -> RequestId:
        """Return an id as text, with its authentication code."""
        text = f"{parsed.instance}.{parsed.incarnation:016x}.{parsed.sequence}"
        return RequestId(f"{text}.{self._keyring.sign_text(SIGNING_PURPOSE, text)}")

    def parse(self, text: str) -> ParsedRequestId:
        """Return the fields of an id.

        Raises
        ------
        InvalidRequestId
            If the text is malformed or the code was made with an unknown key.
        """
        matched = (
            REQUEST_ID_PATTERN.fullmatch(text) if len(text) <= TEXT_LENGTH_MAX else None
        )
        if matched is None:
            raise InvalidRequestId("the request id is malformed")
        instance, incarnation, sequence, mac = matched.groups()
        signed = f"{instance}.{incarnation}.{sequence}"
        if not self._keyring.verify_text(SIGNING_PURPOSE, signed, mac):
            raise InvalidRequestId("the request id was not issued by this fleet")
        return ParsedRequestId(
            InstanceId(instance), Incarnation(int(incarnation, 16)), int(sequence)
        )


__all__ = ["ParsedRequestId", "RequestId", "RequestIdCodec"]
