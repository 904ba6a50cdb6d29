"""Builders of streams and of upstreams that end them in some place and way."""

import socket

from fescueflow.http1 import EndMark
from tests.gateway.fake_servers import make_event

EVENT_COUNT = 3
LINE_ENDS = (b"\n", b"\r\n", b"\r")


def make_events(line_end=b"\n", after=0):
    """Return the events of a stream after the one with a number."""
    numbers = range(after + 1, EVENT_COUNT + 1)
    return [make_event(number).replace(b"\n", line_end) for number in numbers]


def list_cuts(line_end):
    """Return how many whole events and bytes of the next one a cut stream has.

    The first byte, the name of a field, a line, all but the last byte.
    """
    event = make_events(line_end)[0]
    line_bytes = len(b"id: 1" + line_end)
    sizes = (1, 2, line_bytes, len(event) - 1)
    return [(count, size) for count in range(EVENT_COUNT) for size in sizes]


def cut_stream(line_end, count, size):
    """Return the bytes of a stream that stops in the event after ``count``."""
    events = make_events(line_end)
    return b"".join(events[:count]) + events[count][:size]


def send_body(handler, data, end_mark, content_type="text/event-stream", status=200):
    """Send an answer that ends in good form after the data."""
    handler.send_response(status)
    for name, value in handler.make_seal():
        handler.send_header(name, value)
    if content_type is not None:
        handler.send_header("Content-Type", content_type)
    if end_mark is EndMark.CHUNKS:
        handler.send_header("Transfer-Encoding", "chunked")
    elif end_mark is EndMark.LENGTH:
        handler.send_header("Content-Length", str(len(data)))
    handler.end_headers()
    if end_mark is EndMark.CHUNKS:
        if data:
            handler.send_part(data)
        handler.end_stream()
        return
    handler.wfile.write(data)
    if end_mark is EndMark.CONNECTION:
        handler.close_connection = True
        # The reading side would otherwise be reset for unread data.
        handler.connection.shutdown(socket.SHUT_WR)


def make_script(*answers):
    """Return a script that gives these answers in turn, whichever upstream is asked.

    An answer is a function of the handler; the last one is repeated.
    """
    left = list(answers)

    def answer(handler):
        (left.pop(0) if len(left) > 1 else left[0])(handler)

    return answer


def send_rest(line_end, end_mark):
    """Return an answer with the events after the one that the request names."""

    def answer(handler):
        after = int(handler.headers.get("Last-Event-Id", 0))
        send_body(handler, b"".join(make_events(line_end, after)), end_mark)

    return answer
