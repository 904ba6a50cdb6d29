"""Event streams (HTML Living Standard, section 9.2) as instances pass them on."""

from fescueflow.event_streams.ends import StreamCut, is_event_stream
from fescueflow.event_streams.splitting import (
    EventSplitter,
    MalformedStream,
    find_body_cut,
)

__all__ = [
    "EventSplitter",
    "MalformedStream",
    "StreamCut",
    "find_body_cut",
    "is_event_stream",
]
