"""Reads load reports of engines over HTTP."""

import json
import socket

from fescueflow.admission.answers import MalformedAnswer, read_answer
from fescueflow.admission.slots import LoadEvent, LoadReader, LoadReport
from fescueflow.core import Clock, PlatformUnavailable
from fescueflow.http1 import TimedConnection
from fescueflow.platform import ListedUpstream
from fescueflow.transport import ConnectionPool, Network

REPORT_MAX_BYTES = 262_144


class HttpLoadReader(LoadReader):
    """Reads ``GET /load?after=N`` of an engine.

    Parameters
    ----------
    network : Network
    clock : Clock
    timeout_s : float

    Notes
    -----
    A connection is kept while its answers are complete, because opening one for
    each report takes about a quarter of the processor time of a reading. A kept
    connection may have gone silent, so its failure is tried again on a new one.
    """

    def __init__(self, *, network: Network, clock: Clock, timeout_s: float) -> None:
        self._network = network
        self._clock = clock
        self._timeout_s = timeout_s
        self._pool = ConnectionPool()

    def read(self, upstream: ListedUpstream, after_event: int) -> LoadReport:
        """Return the present report; see ``LoadReader``."""
        kept = self._pool.take(upstream.address)
        try:
            if kept is not None:
                try:
                    return self._ask(kept, upstream, after_event)
                except (OSError, MalformedAnswer):
                    pass
            opened = self._network.connect(upstream.address, self._timeout_s)
            return self._ask(opened, upstream, after_event)
        except (OSError, ValueError, KeyError, TypeError) as error:
            message = f"load report of {upstream.id}: {error}"
            raise PlatformUnavailable(message) from error

    def close(self) -> None:
        """Close the kept connections; later ones are not kept."""
        self._pool.close()

    def _ask(
        self, opened: socket.socket, upstream: ListedUpstream, after_event: int
    ) -> LoadReport:
        """Read one report and keep the connection if its answer was complete."""
        asked_at = self._clock.monotonic()
        request = f"GET /load?after={after_event} HTTP/1.1\r\nHost: {upstream.address}"
        reusable = False
        try:
            opened.settimeout(self._timeout_s)
            opened.sendall(f"{request}\r\nAccept-Encoding: identity\r\n\r\n".encode())
            timed = TimedConnection(
                opened,
                asked_at + self._timeout_s,
                self._timeout_s,
                self._clock.monotonic,
            )
            answer = read_answer(timed, REPORT_MAX_BYTES)
            reusable = answer.reusable
            if answer.status != 200:
                raise PlatformUnavailable(f"load report: status {answer.status}")
            return parse_report(answer.body, asked_at)
        finally:
            if reusable:
                self._pool.put(upstream.address, opened)
            else:
                opened.close()


def parse_report(body: bytes, asked_at: float) -> LoadReport:
    """Return the report of a response body.

    The age is counted back from before the question was sent, so that the
    report is never taken for newer than it is.
    """
    fields = json.loads(body)
    events = tuple(
        LoadEvent(int(event["sequence"]), str(event["kind"]))
        for event in fields["events"]
    )
    return LoadReport(
        incarnation=str(fields["incarnation"]),
        in_flight=max(0, int(fields["in_flight"])),
        warm=bool(fields["warm"]),
        taken_at=asked_at - max(0.0, float(fields["age_ms"])) / 1000,
        events=events,
    )


__all__ = ["HttpLoadReader", "parse_report"]
