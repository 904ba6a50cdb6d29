"""Parts of HTTP/1.1 that the libraries lack or implement less efficiently."""

from fescueflow.http1.channels import DirectChannel
from fescueflow.http1.chunks import ChunkDecoder
from fescueflow.http1.end_marks import EndMark
from fescueflow.http1.heads import HeadReader
from fescueflow.http1.timed import TimedConnection

__all__ = [
    "ChunkDecoder",
    "DirectChannel",
    "EndMark",
    "HeadReader",
    "TimedConnection",
]
