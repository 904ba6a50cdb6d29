"""Reads load reports of engines over HTTP."""

import json
import socket

from fescueflow.admission.responses import MalformedResponse, read_response
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
        Timeout of connecting and of each request.

    Notes
    -----
    A connection is reused while its responses are complete, because opening one for
    each report takes about a quarter of the processor time of reading it. A pooled
    connection may be dead, so a request that fails on it is repeated on a new one.
    """

    def __init__(self, *, network: Network, clock: Clock, timeout_s: float) -> None:
        self._network = network
        self._clock = clock
        self._timeout_s = timeout_s
        self._pool = ConnectionPool()

    def read(self, upstream: ListedUpstream, after_event: int) -> LoadReport:
        """Return the current report; see ``LoadReader``."""
        pooled = self._pool.take(upstream.address)
        try:
            if pooled is not None:
                try:
                    return self._request_report(pooled, upstream, after_event)
                except (OSError, MalformedResponse):
                    pass
            opened = self._network.connect(upstream.address, self._timeout_s)
            return self._request_report(opened, upstream, after_event)
        except (OSError, ValueError, KeyError, TypeError) as error:
            message = f"load report of {upstream.id}: {error}"
            raise PlatformUnavailable(message) from error

    def close(self) -> None:
        """Close the pooled connections; later ones are not pooled."""
        self._pool.close()

    def _request_report(
        self, opened: socket.socket, upstream: ListedUpstream, after_event: int
    ) -> LoadReport:
        """Read one report and pool the connection if its response was complete."""
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
            response = read_response(timed, REPORT_MAX_BYTES)
            reusable = response.reusable
            if response.status != 200:
                raise PlatformUnavailable(f"load report: HTTP status {response.status}")
            return parse_report(response.body, asked_at)
        finally:
            if reusable:
                self._pool.put(upstream.address, opened)
            else:
                opened.close()


def parse_report(body: bytes, asked_at: float) -> LoadReport:
    """Parse the body of a load report.

    The age is subtracted from the time before the request was sent, so that a
    report never seems newer than it is.
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
