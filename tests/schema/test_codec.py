"""Wire codec: messages round-trip, and malformed bytes raise only ``DecodeError``."""

import hashlib
import unittest
import zlib
from dataclasses import fields
from enum import Enum
from typing import get_args, get_origin, get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueflow.schema import (
    DATAGRAM_CONTENT,
    FRAME_CONTENT,
    ConfigurationNotice,
    Datagram,
    DecodeError,
    Frame,
    LeaseGrant,
    LeaseRequest,
    LoadDigest,
    MemberRecord,
    MemberState,
    Ping,
    SlotRefusal,
    SlotRefusalReason,
    UpstreamLoad,
    decode_message,
    encode_message,
)
from fescueflow.schema.codec import MESSAGE_BYTES_MAX, inflate
from fescueflow.schema.dictionary import DICTIONARY
from fescueflow.transport.datagrams import PROTOCOL_VERSION

PING = Datagram(
    sender="i1",
    incarnation=7,
    content=Ping(sequence=3, records=[MemberRecord("i2", state=MemberState.SUSPECT)]),
)

TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=12)
# Fits the smallest integer field, UInt8.
NUMBERS = st.integers(0, 255)
LEAVES = {str: TEXTS, int: NUMBERS, bool: st.booleans(), bytes: st.binary(max_size=12)}


def build(kind):
    """Return a strategy that builds values of a field type or dataclass."""
    if kind in LEAVES:
        return LEAVES[kind]
    if get_origin(kind) is list:
        return st.lists(build(get_args(kind)[0]), max_size=3)
    if issubclass(kind, Enum):
        return st.sampled_from(kind)
    hints = get_type_hints(kind)
    return st.builds(kind, *(build(hints[field.name]) for field in fields(kind)))


class TestCodec(unittest.TestCase):
    def test_datagram_round_trip(self):
        """Guards against nested records and enum values that are lost."""
        self.assertEqual(decode_message(encode_message(PING), Datagram), PING)

    def test_frame_round_trip(self):
        frame = Frame("i1", 1, SlotRefusal(SlotRefusalReason.NOT_HOME, 50))
        self.assertEqual(decode_message(encode_message(frame), Frame), frame)

    @settings(deadline=None)
    @given(st.data())
    def test_every_content_round_trips(self, data):
        """Guards against generated converters that drop or swap a field."""
        for outer, contents in ((Datagram, DATAGRAM_CONTENT), (Frame, FRAME_CONTENT)):
            for kind in contents.values():
                content = data.draw(build(kind))
                message = outer(data.draw(TEXTS), data.draw(NUMBERS), content)
                self.assertEqual(
                    decode_message(encode_message(message), outer), message
                )

    @given(st.binary(max_size=400))
    def test_random_bytes_raise_only_decode_error(self, data):
        """Guards against other exceptions, which are not counted as malformed."""
        for kind in (Datagram, Frame):
            try:
                decode_message(data, kind)
            except DecodeError:
                pass

    @given(st.lists(st.tuples(st.integers(0, 10_000), st.integers(1, 255))))
    def test_mutated_bytes_raise_only_decode_error(self, changes):
        """Guards against a malformed message from a peer that ends the process."""
        for data, wrap in (
            (encode_message(PING), bytes),
            (inflate(encode_message(PING)), deflate),
        ):
            changed = bytearray(data)
            for position, flip in changes:
                changed[position % len(data)] ^= flip
            try:
                decode_message(wrap(changed), Datagram)
            except DecodeError:
                pass

    def test_every_changed_byte_is_decoded_or_refused(self):
        """Guards against other exceptions than ``DecodeError``.

        Covers unknown enum values and union members, lengths and pointers.
        """
        contents = (
            PING.content,
            LeaseRequest(3, [1, 2]),
            LeaseGrant(3, [1, 255]),
            LoadDigest(3, [UpstreamLoad(1, 2, 3, True)]),
            ConfigurationNotice(3, bytes(32), True),
        )
        for content in contents:
            flat = inflate(encode_message(Datagram("i1", 7, content)))
            for position in range(len(flat)):
                for flip in (1, 2, 3, 0x40, 0x80, 0xFF):
                    changed = bytearray(flat)
                    changed[position] ^= flip
                    try:
                        decode_message(deflate(changed), Datagram)
                    except DecodeError:
                        pass

    def test_dictionary_belongs_to_the_version(self):
        """Guards against a new dictionary without a new datagram version.

        During a rolling update, instances could not decode each other's messages.
        """
        digest = hashlib.sha256(DICTIONARY).hexdigest()
        self.assertEqual((PROTOCOL_VERSION, digest[:16]), (3, "dc10011e8674e330"))

    def test_deflate_bomb_is_refused(self):
        """Guards against a small datagram for which the process allocates gigabytes."""
        with self.assertRaises(DecodeError):
            decode_message(deflate(bytes(MESSAGE_BYTES_MAX + 8)), Datagram)


def deflate(data):
    deflater = zlib.compressobj(1, zlib.DEFLATED, -15)
    return deflater.compress(bytes(data)) + deflater.flush()


if __name__ == "__main__":
    unittest.main()
