"""Property tests of the parser of callers' requests."""

import tracemalloc
import unittest

from hypothesis import example, given, seed, settings
from hypothesis import strategies as st
from waitress.adjustments import Adjustments
from waitress.receiver import ChunkedReceiver

from fescueflow.gateway.caller_bodies import BodyBuffer, BoundedChunks, read_whole
from fescueflow.gateway.caller_memory import CallerMemory
from fescueflow.gateway.caller_requests import CallerParser, CallerRules
from fescueflow.gateway.unanswered import UnansweredRequests
from fescueflow.metrics import Metrics
from fescueflow.routing import CallerLimits

BODY_BYTES = 2000
HEAD_BYTES = 400
# Far more than one request of these limits needs.
GROWTH_BYTES = 1 << 20
EXAMPLES = 300
METRICS = Metrics()
MEMORY = CallerMemory(1e8)
RULES = CallerRules(
    memory=MEMORY,
    get_limits=lambda: CallerLimits(HEAD_BYTES, BODY_BYTES, 15.0, 3.0),
    metrics=METRICS,
)
ADJUSTMENTS = Adjustments(
    max_request_body_size=1 << 60, max_request_header_size=1 << 60
)

names = st.sampled_from(
    [b"Host", b"Content-Length", b"Transfer-Encoding", b"Expect", b"Connection"]
)
values = st.sampled_from(
    [b"chunked", b"gzip, chunked", b"0", b"5", b"-1", b"5, 5", b"9" * 5000, b"\xff"]
    + [b"100-continue", b"close", b"a.example", b"1999", b"2001", b" 5", b"0x5"]
)
lines = st.builds(lambda name, value: name + b": " + value + b"\r\n", names, values)
starts = st.sampled_from(
    [b"POST /a HTTP/1.1\r\n", b"POST /a HTTP/1.0\r\n", b"GET http://[ HTTP/1.1\r\n"]
    + [b"GET /\r\n", b"get / HTTP/1.1\r\n", b"\r\n", b"POST /a HTTP/9.9\r\n", b" "]
)
chunks = st.sampled_from(
    [b"1\r\nx\r\n", b"0\r\n\r\n", b"5;a=b\r\nhello\r\n", b"ffffffffffff\r\n", b"-1\r\n"]
    + [b"0" * 5000, b"0\r\nA: b\r\n", b"3\r\nxxxx\r\n", b"7d0\r\n" + b"x" * 2000]
    + [b"GET /b HTTP/1.1\r\n\r\n"]
)
raw = st.binary(max_size=300)


@st.composite
def streams(draw):
    """Return bytes that look more or less like requests."""
    parts = [draw(starts), *draw(st.lists(lines, max_size=4)), b"\r\n"]
    parts += draw(st.lists(st.one_of(chunks, raw), max_size=6))
    return b"".join(parts)


class Unanswered(UnansweredRequests):
    """Records nothing."""

    def record(self, **_):
        """Do nothing."""


class Parser(CallerParser):
    """Parser with the limits of these tests."""

    unanswered = Unanswered(METRICS)
    rules = RULES


def parse(data, cuts=()):
    """Return the requests read from data that arrives in parts."""
    bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    parser, parsers = Parser(ADJUSTMENTS, "127.0.0.1"), []
    for start, end in zip(bounds, bounds[1:], strict=False):
        part = data[start:end]
        while part:
            count = parser.received(part)
            part = part[count:]
            if parser.completed:
                if not parser.empty:
                    parsers.append(parser)
                if parser.error:
                    return parsers, None
                parser = Parser(ADJUSTMENTS, "127.0.0.1")
    return parsers, parser


def read_body(parser):
    """Return the body of a request as the application reads it."""
    length = int(parser.headers.get("CONTENT_LENGTH") or 0)
    return read_whole(parser.get_body_stream(), length)


def describe(parser):
    """Return what a request says, or the status with which it is refused."""
    if parser.error:
        status, _, body = parser.error.to_response("")
        return status, body
    return parser.command, parser.path, read_body(parser)


def render_chunked(pieces):
    """Return a chunked body."""
    parts = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces if piece]
    return b"".join([*parts, b"0\r\n\r\n"])


class RequestFuzzTest(unittest.TestCase):
    """Guards against input that ends the process, grows its memory or is misread."""

    @seed(1)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.one_of(streams(), raw), st.lists(st.integers(0, 3000), max_size=5))
    @example(b"POST /a HTTP/1.1\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", [])
    @example(b"GET http://[ HTTP/1.1\r\n\r\n", [])
    def test_any_input(self, data, cuts):
        parsers, rest = parse(data, cuts)
        for parser in parsers:
            self.assertLessEqual(len(describe(parser)[-1] or b""), BODY_BYTES)
            parser.close()
        if rest is not None:
            self.assertLessEqual(rest.held_bytes, 8 * (HEAD_BYTES + 8192 + len(data)))
            rest.close()
        self.assertEqual(MEMORY.held_bytes, 0)

    @seed(2)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(streams(), st.lists(st.integers(0, 3000), max_size=5))
    def test_parts_do_not_change_what_is_read(self, data, cuts):
        whole = [describe(parser) for parser in parse(data)[0]]
        parts = [describe(parser) for parser in parse(data, cuts)[0]]
        self.assertEqual(whole, parts)

    @seed(3)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.lists(st.binary(max_size=300), max_size=6), st.booleans())
    def test_requests_that_follow_each_other(self, pieces, is_chunked):
        """Guards against bodies that are read as the next request."""
        body = b"".join(pieces)
        head = b"POST /a HTTP/1.1\r\n"
        if is_chunked:
            first = head + b"Transfer-Encoding: chunked\r\n\r\n"
            first += render_chunked(pieces)
        else:
            first = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        parsers, _ = parse(first + b"GET /b HTTP/1.1\r\n\r\n")
        expected = [("POST", "/a", body), ("GET", "/b", b"")]
        self.assertEqual([describe(parser) for parser in parsers], expected)

    @seed(4)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.lists(st.one_of(chunks, raw), max_size=8), st.integers(1, 40))
    def test_chunks_as_the_library_reads_them(self, parts, size):
        """Guards against a shorter way that reads chunks in another way."""
        # Longer size lines are refused here only.
        data = b"".join(part[:500] for part in parts)
        plain, bounded = ChunkedReceiver(BodyBuffer()), BoundedChunks(BodyBuffer())
        for receiver in (plain, bounded):
            for start in range(0, len(data), size):
                if receiver.error or receiver.completed:
                    break
                receiver.received(data[start : start + size])
        self.assertEqual(bool(plain.error), bool(bounded.error))
        if plain.error is None:
            self.assertEqual(plain.completed, bounded.completed)
            self.assertEqual(plain.getfile().read(), bounded.getfile().read())
            self.assertEqual(plain.control_line, bounded.control_line)

    def test_coding_that_an_older_version_does_not_have(self):
        for version in (b"1.0", b"9.9"):
            data = b"POST /a HTTP/%s\r\nTransfer-Encoding: chunked\r\n\r\n" % version
            parsers, _ = parse(data + render_chunked([b"GET /b HTTP/1.1\r\n\r\n"]))
            self.assertEqual([p.error and p.error.code for p in parsers], [400])

    def test_continuation_without_a_body(self):
        data = b"GET /a HTTP/1.1\r\nExpect: 100-continue\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
        parsers, _ = parse(data)
        self.assertEqual([parser.path for parser in parsers], ["/a", "/b"])
        self.assertFalse(parsers[0].expect_continue)

    def test_body_that_is_announced_too_large(self):
        data = b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
        for size, statuses in ((BODY_BYTES, []), (BODY_BYTES + 1, ["413"])):
            parsers, _ = parse(data % size)
            self.assertEqual([describe(p)[0][:3] for p in parsers], statuses)

    def test_endless_input(self):
        """Guards against memory that grows with what is sent."""
        chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            b"POST /a HTTP/1.1\r\nA: ": b"x",
            chunked: b"0",
            chunked + b"1;a=": b"x",
            chunked + b"0\r\n": b"a: b\r\n",
            chunked + b"ffffffff\r\n": b"x",
        }
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for start, rest in cases.items():
            tracemalloc.reset_peak()
            before = tracemalloc.get_traced_memory()[0]
            parser = Parser(ADJUSTMENTS, "127.0.0.1")
            parser.received(start)
            for _ in range(1000):
                parser.received(rest * (4096 // len(rest)))
            peak = tracemalloc.get_traced_memory()[1]
            self.assertTrue(parser.error, start)
            self.assertLess(peak - before, GROWTH_BYTES, start)


if __name__ == "__main__":
    unittest.main()
