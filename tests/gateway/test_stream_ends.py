"""Tests of streams whose bodies end in good form, inside an event or whole."""

import http.client
import itertools
import json

import logbook

from fescueflow.http1 import EndMark
from tests.gateway.gateway_case import GatewayTestCase
from tests.gateway.stream_bodies import (
    LINE_ENDS,
    cut_stream,
    list_cuts,
    make_events,
    make_script,
    send_body,
    send_rest,
)

# Whole bodies of streaming routes that are not made of events, with their types.
OTHER_BODIES = (
    ("application/json", b'{\n"id": 1}'),
    ("text/plain", b"id: 1\n\ndata: no event"),
    ("text/event-stream", b"whole"),
    ("text/event-stream", b'{"id": 1}\n\n{"data": 2}'),
    (None, b"one\n\ntwo"),
    (None, b""),
)


class StreamEndTest(GatewayTestCase):
    """Guards against streams cut inside an event that callers take for whole."""

    def setUp(self):
        super().setUp()
        self.lines = logbook.TestHandler(level=logbook.INFO, bubble=True)
        self.lines.push_application()
        self.addCleanup(self.lines.pop_application)

    def answer_in_turn(self, *answers):
        self.set_script(*[make_script(*answers)] * 2)
        for upstream in self.upstreams:
            upstream.arrivals.clear()

    def cut(self, line_end, count, size, end_mark):
        data = cut_stream(line_end, count, size)
        return lambda handler: send_body(handler, data, end_mark)

    def check_cuts(self, line_end, check):
        """Check each place of a cut with each mark of the end."""
        for (count, size), mark in itertools.product(list_cuts(line_end), EndMark):
            with self.subTest(events=count, bytes=size, end_mark=mark):
                before = self.get_early_ends(mark)
                check(line_end, count, size, mark)
                self.assertEqual(self.get_early_ends(mark), before + 1)

    def get_early_ends(self, end_mark):
        return self.gateway._metrics.get_count(
            "early_stream_ends", cut="inside_event", end_mark=end_mark.value
        )

    def check_resumed(self, line_end, count, size, end_mark):
        self.answer_in_turn(
            self.cut(line_end, count, size, end_mark), send_rest(line_end, end_mark)
        )
        status, _, body = self.call("/stream/1")
        self.assertEqual((status, body), (200, b"".join(make_events(line_end))))
        self.assertEqual(sum(self.count_arrivals()), 2)

    def test_resumed_elsewhere(self):
        """The route allows it and another upstream has room."""
        self.check_cuts(b"\n", self.check_resumed)

    def test_resumed_elsewhere_with_lines_that_end_with_crlf(self):
        self.check_cuts(b"\r\n", self.check_resumed)

    def test_resumed_elsewhere_with_lines_that_end_with_cr(self):
        self.check_cuts(b"\r", self.check_resumed)

    def check_told(self, line_end, count, size, end_mark):
        self.answer_in_turn(self.cut(line_end, count, size, end_mark))
        if count:
            with self.assertRaises(http.client.IncompleteRead) as caught:
                self.call("/single/1")
            whole = b"".join(make_events(line_end)[:count])
            self.assertEqual(caught.exception.partial, whole)
        else:
            status, _, body = self.call("/single/1")
            error = json.loads(body)["error"]
            self.assertEqual((status, error["outcome"]), (502, "outcome_unknown"))
        self.assertEqual(sum(self.count_arrivals()), 1)

    def test_told_to_the_caller(self):
        """The route forbids another attempt."""
        for line_end in LINE_ENDS:
            with self.subTest(line_end=line_end):
                self.check_cuts(line_end, self.check_told)

    def test_cut_again_after_a_resumption(self):
        for end_mark in EndMark:
            with self.subTest(end_mark=end_mark):
                second = make_events(after=1)[0] + make_events(after=2)[0][:-1]
                self.answer_in_turn(
                    self.cut(b"\n", 1, 4, end_mark),
                    lambda h, mark=end_mark, data=second: send_body(h, data, mark),
                )
                with self.assertRaises(http.client.IncompleteRead) as caught:
                    self.call("/stream/1")
                whole = b"".join(make_events()[:2])
                self.assertEqual(caught.exception.partial, whole)
                self.assertEqual(sum(self.count_arrivals()), 2)

    def test_resumption_without_the_event_that_had_begun(self):
        """Guards against a whole stream without an event of which a part was seen."""
        for end_mark in EndMark:
            with self.subTest(end_mark=end_mark):
                self.answer_in_turn(
                    self.cut(b"\n", 2, 4, EndMark.CHUNKS),
                    lambda handler, mark=end_mark: send_body(handler, b"", mark),
                )
                with self.assertRaises(http.client.IncompleteRead) as caught:
                    self.call("/stream/1")
                whole = b"".join(make_events()[:2])
                self.assertEqual(caught.exception.partial, whole)
                count = self.gateway._metrics.get_count(
                    "early_stream_ends", cut="before_event", end_mark=end_mark.value
                )
                self.assertEqual(count, 1)

    def test_resumption_with_an_event_without_an_id(self):
        """It is the event that had begun."""
        last = b"event: end\ndata: 3\n\n"
        first = b"".join(make_events()[:2]) + last[:5]
        self.answer_in_turn(
            lambda handler: send_body(handler, first, EndMark.CHUNKS),
            lambda handler: send_body(handler, last, EndMark.CHUNKS),
        )
        body = self.call("/stream/1")[2]
        self.assertEqual(body, b"".join(make_events()[:2]) + last)

    def test_resumption_after_the_last_event(self):
        """Nothing may follow: only the end of the body was lost, or a comment."""
        events = b"".join(make_events())
        for end_mark, tail in itertools.product(EndMark, (b"", b": ping")):
            with self.subTest(end_mark=end_mark, tail=tail):
                self.answer_in_turn(
                    lambda handler, tail=tail: (
                        handler.start_stream(),
                        handler.send_part(events + tail),
                        handler.reset_connection(),
                    ),
                    lambda handler, mark=end_mark: send_body(handler, b"", mark),
                )
                self.assertEqual(self.call("/stream/1")[2], events)

    def test_no_other_upstream_has_room(self):
        refusal = [("X-Not-Executed", "1")]
        for end_mark in EndMark:
            with self.subTest(end_mark=end_mark):
                self.answer_in_turn(
                    self.cut(b"\n", 2, 4, end_mark),
                    lambda handler: handler.send_sealed(503, b"busy", refusal),
                )
                with self.assertRaises(http.client.IncompleteRead) as caught:
                    self.call("/stream/1")
                whole = b"".join(make_events()[:2])
                self.assertEqual(caught.exception.partial, whole)

    def test_caller_of_an_old_protocol_version(self):
        """Without chunks, only a reset shows that the stream is cut."""
        self.answer_in_turn(self.cut(b"\n", 1, 4, EndMark.CHUNKS))
        with self.assertRaises(ConnectionResetError):
            self.read_without_chunks("/single/1")

    def test_first_field_that_is_cut(self):
        """Fields of the platform and comments are parts of events, too."""
        for data in (b": ping", b"x-weight-ver", b"x-weight-versions: 3\nid"):
            with self.subTest(data=data):
                self.answer_in_turn(
                    lambda h, data=data: send_body(h, data, EndMark.CHUNKS),
                    send_rest(b"\n", EndMark.CHUNKS),
                )
                body = self.call("/stream/1")[2]
                self.assertEqual(body, b"".join(make_events()))

    def test_stream_without_a_type(self):
        """Its events tell that it is made of events."""
        data = cut_stream(b"\n", 1, 4)
        for end_mark in EndMark:
            with self.subTest(end_mark=end_mark):
                self.answer_in_turn(
                    lambda h, mark=end_mark: send_body(h, data, mark, None)
                )
                with self.assertRaises(http.client.IncompleteRead):
                    self.call("/single/1")

    def test_event_stream_of_a_route_without_streams(self):
        """It is held until it is whole, so that a retry or an error may follow."""
        for end_mark in EndMark:
            with self.subTest(end_mark=end_mark):
                cut = self.cut(b"\n", 2, 4, end_mark)
                self.answer_in_turn(cut, send_rest(b"\n", end_mark))
                status, _, body = self.call("/safe/1")
                self.assertEqual((status, body), (200, b"".join(make_events())))
                self.answer_in_turn(cut)
                status, _, body = self.call("/once/1")
                error = json.loads(body)["error"]
                self.assertEqual((status, error["outcome"]), (502, "outcome_unknown"))
                self.assertEqual(sum(self.count_arrivals()), 1)

    def test_event_stream_with_another_status(self):
        """Guards against a success that is cut, and against a failure that is lost."""
        data = cut_stream(b"\n", 2, 4)
        for status, expected in ((201, 502), (404, 404)):
            with self.subTest(status=status):
                self.answer_in_turn(
                    lambda h, status=status: send_body(
                        h, data, EndMark.CHUNKS, status=status
                    )
                )
                self.assertEqual(self.call("/single/1")[0], expected)

    def test_other_forms_of_the_type(self):
        """Guards against cut streams whose type is written in another way."""
        data = cut_stream(b"\n", 1, 4)
        for type_ in ("Text/Event-Stream; charset=utf-8", "text/event-stream, x/y", ""):
            with self.subTest(type=type_):
                self.answer_in_turn(
                    lambda h, type_=type_: send_body(h, data, EndMark.CHUNKS, type_)
                )
                with self.assertRaises(http.client.IncompleteRead):
                    self.call("/single/1")

    def test_stream_without_an_event(self):
        """Guards against an empty answer of an upstream that stopped after its head."""
        for end_mark in (EndMark.CHUNKS, EndMark.LENGTH):
            with self.subTest(end_mark=end_mark):
                empty = lambda h, mark=end_mark: send_body(h, b"", mark)  # noqa: E731
                self.answer_in_turn(empty, send_rest(b"\n", end_mark))
                self.assertEqual(self.call("/stream/1")[2], b"".join(make_events()))
                self.answer_in_turn(empty)
                status, _, body = self.call("/single/1")
                error = json.loads(body)["error"]
                self.assertEqual((status, error["outcome"]), (502, "outcome_unknown"))

    def test_nothing_after_the_last_event_of_the_caller(self):
        """A stream that the caller resumes may have no event left."""
        self.answer_in_turn(lambda h: send_body(h, b"", EndMark.CHUNKS))
        headers = {"Last-Event-Id": "3"}
        status, _, body = self.call("/stream/1", headers=headers)
        self.assertEqual((status, body), (200, b""))
        status, _, body = self.call("/single/1", method="HEAD", body=None)
        self.assertEqual((status, body), (200, b""))

    def test_lines_of_a_cut_stream(self):
        self.answer_in_turn(self.cut(b"\n", 1, 4, EndMark.LENGTH))
        with self.assertRaises(http.client.IncompleteRead):
            self.call("/single/1")
        self.wait_for(lambda: "unanswered" in [r.message for r in self.lines.records])
        found = {line.message: line.extra for line in self.lines.records}
        failed, broken = found["attempt failed"], found["stream broken"]
        self.assertEqual(
            (failed["cut"], failed["end_mark"]), ("inside_event", "length")
        )
        self.assertEqual((failed["events"], broken["events"]), (1, 1))
        self.assertNotIn("stream ended", found)
        self.assertEqual(found["unanswered"]["cause"], "broken")

    def test_whole_streams_are_passed_on_unchanged(self):
        for line_end, end_mark in itertools.product(LINE_ENDS, EndMark):
            events = b"".join(make_events(line_end))
            for tail in (b"", line_end, b": end" + line_end * 2):
                with self.subTest(line_end=line_end, end_mark=end_mark, tail=tail):
                    self.check_unchanged(events + tail, end_mark, "text/event-stream")

    def test_bodies_that_are_not_made_of_events(self):
        """They end in good form wherever they end."""
        marks = (EndMark.CHUNKS, EndMark.LENGTH)
        for end_mark, (type_, data) in itertools.product(marks, OTHER_BODIES):
            with self.subTest(end_mark=end_mark, type=type_, data=data):
                self.check_unchanged(data, end_mark, type_)

    def check_unchanged(self, data, end_mark, content_type):
        """Check that a caller gets these bytes of one attempt, on each route."""
        for target in ("/stream/1", "/single/1", "/safe/1", "/once/1"):
            self.answer_in_turn(lambda h: send_body(h, data, end_mark, content_type))
            status, _, body = self.call(target)
            self.assertEqual((status, body), (200, data))
            self.assertEqual(sum(self.count_arrivals()), 1)
