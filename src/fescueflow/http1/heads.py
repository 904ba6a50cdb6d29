"""Size-limited reader of HTTP/1.1 response heads (RFC 9112, section 2)."""

import email.errors
import http
import http.client
import io
import re

# Limit of a head together with the interim responses before it; ``http.client``
# allows as much for a single line.
HEAD_BYTES_MAX = 65536
STATUS_LINE_PREFIX = b"HTTP/"
HEAD_END_PATTERN = re.compile(rb"\r?\n\r?\n")
# ``http.client`` also reads statuses such as "+200", "2_00" and 999.
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
# 1xx responses except 101, which ends HTTP on the connection.
INTERIM_PATTERN = re.compile(rb"HTTP/1\.[0-9] 1(?!01)")
# 101 responds to a request for another protocol, which is never made.
SWITCHING_STATUS = 101
# ``http.client`` takes it for the end of a line: a part of a value becomes a header.
BARE_CR_PATTERN = re.compile(rb"\r(?!\n)")
# White space after a value is no part of it (RFC 9112, section 5.1); ``http.client``
# keeps it and then misses the coding "chunked ". A line of white space only stays, as
# an empty one would end the head.
TRAILING_SPACE_PATTERN = re.compile(rb"(?<=[^ \t\r\n])[ \t]+(?=\r?\n)")
# Responses without a body, besides those to HEAD.
BODILESS_STATUSES = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)
# Any length of fewer digits is below the size of a disk.
LENGTH_PATTERN = re.compile(r"[0-9]{1,15}")
# The email parser also misses the parts of a multipart body, which does not come with
# the head. Only defects of the header lines count.
HEADER_DEFECTS = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.InvalidHeaderDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


class HeadSocket:
    """Socket substitute from which ``http.client`` reads a complete head."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, mode: str) -> io.BytesIO:
        """Return a file object with the bytes of the head."""
        return io.BytesIO(self._data)


class HeadReader:
    """Incremental reader of a response head; accepts parts of any size.

    Attributes
    ----------
    unused_data : bytes
        Bytes after the head, once ``feed`` has returned the response.

    Parameters
    ----------
    method : str, optional
        Method of the request; responses to ``HEAD`` have no body.

    Notes
    -----
    ``http.client`` applies the socket timeout to each read of a head separately,
    skips an unlimited number of interim responses, and keeps the connection open for
    as long as the response object exists.
    """

    def __init__(self, method: str | None = None) -> None:
        self.unused_data = b""
        self._method = method
        self._interim_bytes = 0

    def feed(self, data: bytes) -> http.client.HTTPResponse | None:
        """Add received bytes; return the response once its head is complete.

        Raises
        ------
        http.client.HTTPException
            If the bytes are not an HTTP head or exceed the size limit.
        """
        self.unused_data += data
        while True:
            if not STATUS_LINE_PREFIX.startswith(
                self.unused_data[: len(STATUS_LINE_PREFIX)]
            ):
                raise http.client.BadStatusLine(repr(self.unused_data[:40]))
            found = HEAD_END_PATTERN.search(self.unused_data)
            size = found.end() if found else len(self.unused_data)
            if self._interim_bytes + size > HEAD_BYTES_MAX:
                raise http.client.LineTooLong("head")
            if found is None:
                return None
            head, self.unused_data = self.unused_data[:size], self.unused_data[size:]
            if not STATUS_LINE_PATTERN.match(head):
                raise http.client.BadStatusLine(repr(head[:40]))
            if not INTERIM_PATTERN.match(head):
                return parse_head(head, self._method)
            self._interim_bytes += size


def parse_head(head: bytes, method: str | None = None) -> http.client.HTTPResponse:
    """Return the response for a complete head; its body must be read separately.

    Raises
    ------
    http.client.HTTPException
        If the head is malformed.
    """
    if BARE_CR_PATTERN.search(head):
        raise http.client.HTTPException("a carriage return inside a line")
    source = HeadSocket(TRAILING_SPACE_PATTERN.sub(b"", head))
    response = http.client.HTTPResponse(source, method=method)  # type: ignore[arg-type]
    response.begin()
    if response.status == SWITCHING_STATUS:
        raise http.client.BadStatusLine("101 without a request for it")
    check_framing(response, method)
    return response


def check_framing(response: http.client.HTTPResponse, method: str | None) -> None:
    """Check that the headers say unmistakably where the body ends.

    Notes
    -----
    A coding does not matter where no body follows. ``identity`` stands for no coding;
    the length then shows the end.

    Raises
    ------
    http.client.HTTPException
        If they don't. ``http.client`` then takes the end of the connection for that of
        the body, so that a cut body would look complete.
    """
    message = response.msg
    is_malformed = any(isinstance(d, HEADER_DEFECTS) for d in message.defects)
    if is_malformed or not all(message.keys()):
        raise http.client.HTTPException("malformed header")
    codings = message.get_all("Transfer-Encoding", [])
    if codings and (method == "HEAD" or response.status in BODILESS_STATUSES):
        return
    is_identity = [coding.lower() for coding in codings] == ["identity"]
    if codings and not (is_identity and "Content-Length" in message):
        if len(codings) > 1 or not response.chunked:
            raise http.client.UnknownTransferEncoding(repr(codings)[:80])
        return
    lengths = {length.strip(" \t") for length in message.get_all("Content-Length", [])}
    if len(lengths) > 1 or not all(map(LENGTH_PATTERN.fullmatch, lengths)):
        raise http.client.HTTPException(f"lengths {sorted(lengths)!r:.80}")


__all__ = ["HeadReader"]
