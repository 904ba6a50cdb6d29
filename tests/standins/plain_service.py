"""Stand-in for a plain HTTP service."""

from dataclasses import dataclass

from tests.standins.content import make_service_answer
from tests.standins.engine_state import EngineState
from tests.standins.faults import Fault, FaultSwitch
from tests.standins.ledger import Ledger, RunningAttempt
from tests.standins.server import StandinServer

SILENT_WAIT_S = 3600.0


@dataclass(frozen=True)
class ServiceOptions:
    """Behaviour of a plain service.

    ``delay_s`` is the response time in seconds, ``padding`` the number of bytes
    appended to each response body.
    """

    delay_s: float = 0.01
    padding: int = 0


class PlainServiceStandin(StandinServer):
    """Service that records each execution of a request."""

    def __init__(self, host="127.0.0.1", options=None):
        super().__init__(host)
        self.options = options or ServiceOptions()
        self.faults = FaultSwitch()
        self.ledger = Ledger()
        self.state = EngineState(1 << 30, 0, 0.0, 0.0, True)

    def handle(self, exchange):
        fault = self.faults.take()
        request_id = exchange.headers.get("X-Request-Id", "")
        if fault is Fault.REFUSE:
            exchange.send_json(503, {"error": "full"}, {"X-Request-Id": request_id})
            return
        body = exchange.body.decode(errors="replace")
        entry = self.ledger.open(request_id, path=exchange.path, message=body)
        attempt = RunningAttempt(self.state, self.ledger, entry)
        try:
            self._execute(exchange, request_id, fault, attempt)
        except ConnectionError:
            attempt.end("cancelled")
        finally:
            attempt.end("failed")

    def _execute(self, exchange, request_id, fault, attempt):
        slow_factor = 20 if fault is Fault.SLOW else 1
        exchange.wait_closed(self.options.delay_s * slow_factor)
        if fault in (Fault.SILENT, Fault.SILENT_AFTER_EXECUTION):
            exchange.wait_closed(SILENT_WAIT_S)
            attempt.end("silent")
            exchange.drop()
            return
        attempt.end("completed" if fault is None else fault.value)
        if fault is Fault.CLOSE_BEFORE_ANSWER:
            exchange.drop()
            return
        crossed = fault is Fault.CROSSED
        body = b"other request" if crossed else exchange.body
        answer = make_service_answer(exchange.command, exchange.path, body)
        answer += b" " * self.options.padding
        headers = {"X-Request-Id": "crossed.1.1.0/1" if crossed else request_id}
        headers["Content-Type"] = "application/json"
        if fault is Fault.TRUNCATED:
            exchange.send(200, answer[:-5], headers, length=len(answer))
            exchange.drop()
            return
        if fault is Fault.UNDELIMITED:
            exchange.send_response(200)
            exchange.send_header("X-Request-Id", headers["X-Request-Id"])
            exchange.send_header("Connection", "close")
            exchange.end_headers()
            exchange.wfile.write(answer)
            exchange.drop()
            return
        exchange.send(200, answer, headers)
