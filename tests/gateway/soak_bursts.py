"""Requests that meet the close of a listener or of a connection."""

import contextlib
import http.client
import threading
import time

from tests.gateway.soak_callers import (
    READ_BYTES,
    Attempt,
    CallerConnection,
    Outcome,
    find_problem,
)

BURST_REQUESTS = 60
BURST_SPAN_S = 0.5
BURST_TIMEOUT_S = 6.0
PAIRS = 6
# End of the ids of requests behind another one, for which nobody waits.
MORE = "-more"


def send_burst(instance, extra):
    """Open connections with one request each while the instance stops listening."""
    threads = []
    for number in range(BURST_REQUESTS):
        name = f"burst-{instance.name}-{time.monotonic():.3f}-{number}"
        thread = threading.Thread(
            target=send_alone, args=(instance, name, extra), daemon=True
        )
        thread.start()
        threads.append(thread)
        time.sleep(BURST_SPAN_S / BURST_REQUESTS)
    for thread in threads:
        thread.join(BURST_TIMEOUT_S)


def send_alone(instance, name, extra):
    """Send one request on a connection of its own."""
    attempt = Attempt(name, "/lookup/", instance.callers_address, is_kept=False)
    try:
        connection = CallerConnection(instance.callers_address)
    except OSError:
        return
    attempt.sent_at = attempt.whole_at = time.monotonic()
    answer = b""
    try:
        connection.socket.settimeout(BURST_TIMEOUT_S)
        connection.socket.sendall(render(name, "GET", "/lookup/", 4000))
        attempt.whole_at = time.monotonic()
        answer = connection.socket.recv(65536)
        attempt.status = int(answer[9:12] or 0)
        # The head and the short body of a lookup come in one piece or two.
        attempt.outcome = Outcome.COMPLETE if answer else Outcome.UNANSWERED
        attempt.end = "" if answer else "closed"
    except TimeoutError:
        attempt.outcome = Outcome.ABANDONED
    except OSError as error:
        attempt.end = repr(error)
    attempt.ended_at = time.monotonic()
    connection.socket.close()
    extra.append(attempt)


def send_pairs(instance, extra):
    """Send requests whose connections hold unread bytes when they are closed."""
    threads = []
    for number in range(PAIRS):
        name = f"pair-{instance.name}-{time.monotonic():.3f}-{number}"
        thread = threading.Thread(
            target=send_pair, args=(instance, name, extra), daemon=True
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join(BURST_TIMEOUT_S)


def send_pair(instance, name, extra):
    """Send a request for a stream, and bytes of others while it is answered.

    Notes
    -----
    Only the first one counts: a caller that sends more must expect the close.
    """
    attempt = Attempt(name, "/brief/", instance.callers_address, is_kept=False)
    try:
        connection = CallerConnection(instance.callers_address)
    except OSError:
        return
    attempt.sent_at = time.monotonic()
    try:
        connection.socket.settimeout(attempt.gap_s)
        connection.socket.sendall(render(name, "POST", "/brief/", 12000))
        attempt.whole_at = time.monotonic()
        response = http.client.HTTPResponse(connection, method="POST")
        response.begin()
        attempt.status, body = response.status, b""
        while part := response.read1(READ_BYTES):
            body += part
            attempt.events = body.count(b"\n\n")
            # The connection may be closed before the caller has read its answer.
            with contextlib.suppress(OSError):
                more = render(f"{name}{MORE}", "GET", "/lookup/", 4000)
                connection.socket.sendall(more)
        attempt.outcome = Outcome.COMPLETE
        attempt.problem = find_problem(attempt, response, body)
    except TimeoutError:
        attempt.outcome = Outcome.ABANDONED
    except (OSError, http.client.HTTPException) as error:
        attempt.outcome = Outcome.CUT if attempt.status else Outcome.UNANSWERED
        attempt.end = repr(error)
    attempt.ended_at = time.monotonic()
    connection.socket.close()
    extra.append(attempt)


def render(name, method, path, deadline_ms):
    """Return the bytes of a request."""
    lines = [
        f"{method} {path}x HTTP/1.1",
        "Host: fleet.example",
        f"X-Attempt-Id: {name}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Authorization: Token k1",
        *(["Content-Length: 0"] if method == "POST" else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


__all__ = ["BURST_SPAN_S", "MORE", "send_burst", "send_pairs"]
