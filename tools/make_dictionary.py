"""Write the deflate dictionary of messages, ``schema/dictionary.py``.

The dictionary is part of the wire format and is made once for each version of
datagrams; ``generate.py`` therefore does not run this. It holds flat messages
whose texts are zeros, in three sets of text lengths. The most frequent messages
come last, because deflate encodes references to near data in fewer bits.
"""

import base64
import zlib
from pathlib import Path

from fescueflow.schema import (
    ConfigurationNotice,
    Datagram,
    LeaseGrant,
    LeaseRequest,
    LoadDigest,
    MemberRecord,
    MemberState,
    Ping,
    UpstreamLoad,
)
from fescueflow.schema.codec import encode_unpacked

TARGET = Path(__file__).resolve().parent.parent / "src/fescueflow/schema/dictionary.py"
LINE_WIDTH = 76
# Lengths in characters of an instance id, a zone, a region and an address.
TEXT_LENGTHS = ((20, 14, 14, 19), (14, 10, 9, 17), (10, 7, 5, 15))
HEADER = '''"""Deflate dictionary of messages, written by tools/make_dictionary.py.

Most messages are too short for deflate to find repetitions within them. Both
sides must have the same dictionary: a change needs a new version of datagrams.
"""

import base64
import zlib

DICTIONARY = zlib.decompress(
    base64.b85decode(
'''


def make_messages(lengths):
    """Yield flat messages whose texts have the given lengths."""
    name, zone, region, address = ("\0" * length for length in lengths)
    record = MemberRecord(
        name, 0, 0, MemberState.LIVE, zone, region, address, address, 1, [], True
    )
    for content in (
        ConfigurationNotice(1, bytes(32), False),
        Ping(0, [record] * 7),
        LoadDigest(0, [UpstreamLoad()] * 2),
        LeaseRequest(0, [0] * 2, 0),
        LeaseRequest(0, [], 1 << 16),
        LeaseGrant(0, [1 << share for share in range(8)]),
    ):
        yield encode_unpacked(Datagram(name, 0, content))


def main():
    dictionary = b"".join(
        flat for lengths in TEXT_LENGTHS for flat in make_messages(lengths)
    )
    text = base64.b85encode(zlib.compress(dictionary, 9)).decode()
    parts = [text[n : n + LINE_WIDTH] for n in range(0, len(text), LINE_WIDTH)]
    lines = "".join(f'        "{part}"\n' for part in parts)
    TARGET.write_text(HEADER + lines + '    )\n)\n\n__all__ = ["DICTIONARY"]\n')
    print(f"{len(dictionary)} bytes")


if __name__ == "__main__":
    main()
