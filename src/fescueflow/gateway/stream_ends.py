"""Checks of the end of a stream's body."""

from fescueflow.event_streams import (
    EventSplitter,
    StreamCut,
    find_body_cut,
    is_event_stream,
)
from fescueflow.gateway.exchange import (
    UNSUCCESSFUL_STATUS_MIN,
    ConnectionLost,
    Exchange,
    ExchangeFailed,
)
from fescueflow.http1 import EndMark
from fescueflow.platform import EVENT_FIELDS
from fescueflow.routing import AttemptFailure

CONTENT_TYPE = "Content-Type"

REASONS = {
    StreamCut.INSIDE_EVENT: "the stream ended inside an event",
    StreamCut.BEFORE_EVENT: "the stream ended before an event that had begun",
    StreamCut.NO_EVENT: "the stream ended before its first event",
}


class StreamEndedEarly(ExchangeFailed):
    """The body of a stream has ended in good form, but not the stream.

    Parameters
    ----------
    cut : StreamCut
    end_mark : EndMark
        What marked the end of the body.
    """

    def __init__(self, cut: StreamCut, end_mark: EndMark) -> None:
        super().__init__(AttemptFailure.BROKEN, REASONS[cut])
        self.cut = cut
        self.end_mark = end_mark

    @property
    def may_be_crash(self) -> bool:
        """Whether the upstream's process may have ended, and not the stream alone."""
        return self.end_mark is EndMark.CONNECTION


def check_stream_end(splitter: EventSplitter, exchange: Exchange) -> None:
    """Check that a body which has ended is a whole stream.

    Notes
    -----
    Nothing shows where a body ends that has no blank line at its end, is not made of
    events and ends with its connection.

    Raises
    ------
    ExchangeFailed
        If it is not whole.
    """
    cut = splitter.find_cut()
    if cut is not None:
        raise StreamEndedEarly(cut, exchange.end_mark)
    if splitter.has_remainder and not exchange.has_marked_end:
        raise ConnectionLost("the body ended inside a line or paragraph")


def check_end_before_events(exchange: Exchange, content: bytes, resumes: bool) -> None:
    """Check that a stream which has ended without an event may be whole.

    Parameters
    ----------
    exchange : Exchange
    content : bytes
        What the body holds instead of events.
    resumes : bool
        Whether the caller has events already, so that nothing may follow.

    Raises
    ------
    ExchangeFailed
        If it is not whole: an upstream that answers with a stream has events to send.
    """
    if not exchange.has_marked_end:
        raise ConnectionLost(REASONS[StreamCut.NO_EVENT])
    declares_events = is_event_stream(exchange.get_header(CONTENT_TYPE))
    if declares_events and not (content or resumes or exchange.method == "HEAD"):
        raise StreamEndedEarly(StreamCut.NO_EVENT, exchange.end_mark)


def check_body_end(body: bytes, exchange: Exchange) -> None:
    """Check that a body which was held until its end is whole, if it is a stream.

    Notes
    -----
    The status of a failure already tells the caller that there is no whole answer.

    Raises
    ------
    StreamEndedEarly
        If it is not whole.
    """
    if exchange.status >= UNSUCCESSFUL_STATUS_MIN:
        return
    cut = find_body_cut(body, exchange.get_header(CONTENT_TYPE), EVENT_FIELDS)
    if cut is not None:
        raise StreamEndedEarly(cut, exchange.end_mark)


__all__ = [
    "CONTENT_TYPE",
    "StreamEndedEarly",
    "check_body_end",
    "check_end_before_events",
    "check_stream_end",
]
