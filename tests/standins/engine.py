"""Stand-in for a model engine."""

import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from tests.standins.cache_exchange import CacheTransfers
from tests.standins.content import make_other_message, make_tokens
from tests.standins.engine_state import BatchSlots, EngineState
from tests.standins.faults import Fault, FaultSwitch
from tests.standins.ledger import Ledger, RunningAttempt
from tests.standins.prefix_cache import PrefixCache
from tests.standins.server import StandinServer

SILENT_WAIT_S = 3600.0
KEEPALIVE = b": keepalive\n\n"
PRIORITIES = {"interactive": 0, "standard": 1, "lookup": 2, "batch": 3}


@dataclass(frozen=True)
class EngineOptions:
    """Behaviour of an engine stand-in; times in seconds, cache size in tokens.

    ``cold_factor`` and ``slow_factor`` multiply the response time while the
    engine is cold and under ``Fault.SLOW``. ``refuse_above`` is the number of
    requests in flight at which the engine starts to respond 503.
    """

    token_s: float = 0.005
    prefill_s_per_token: float = 0.00005
    cold_factor: float = 3.0
    slow_factor: float = 20.0
    keepalive_s: float = 0.5
    cache_tokens: int = 200_000
    batch_size: int = 64
    refuse_above: int = 256
    cold_limit: int = 2
    warm_after: int = 4
    report_lag_s: float = 0.1
    event_lag_s: float = 0.3
    warm: bool = True
    fencing_checked: bool = True


class EngineStandin(StandinServer):
    """Engine that generates deterministic tokens and caches prompt prefixes."""

    def __init__(self, host="127.0.0.1", options=None):
        super().__init__(host)
        self.options = o = options or EngineOptions()
        self.faults = FaultSwitch()
        self.ledger = Ledger()
        self.orders = []
        self.cache = PrefixCache(o.cache_tokens)
        self.transfers = CacheTransfers(self)
        self.batch_slots = BatchSlots(o.batch_size)
        self.state = EngineState(
            o.cold_limit, o.warm_after, o.report_lag_s, o.event_lag_s, o.warm
        )

    def turn_cold(self):
        """Become cold and clear the cache; only the lagging load reports show it."""
        with self.state.lock:
            self.cache.clear()
            self.state.turn_cold()

    def restart(self):
        """Abort all requests and start again, cold and with a new incarnation."""
        self.stop_listening()
        with self.state.lock:
            self.state.renew_incarnation()
            self.turn_cold()
            self.state.add_event("cleared")
        self.start()

    def handle(self, exchange):
        parts = urlsplit(exchange.path)
        if parts.path == "/load":
            after = int(parse_qs(parts.query).get("after", ["0"])[0])
            exchange.send_json(200, self.state.make_report(after))
        elif parts.path == "/orders":
            self._handle_order(exchange)
        elif parts.path == "/v1/chat/completions":
            self._complete(exchange)
        elif not self.transfers.handle(exchange):
            exchange.send_json(404, {"error": "no such path"})

    def _handle_order(self, exchange):
        order = json.loads(exchange.body)
        checked = self.options.fencing_checked
        if self.state.accept_order(order.get("fencing", 0), checked):
            self.orders.append(order)
            exchange.send_json(200, {"accepted": True})
        else:
            exchange.send_json(409, {"accepted": False})

    def _complete(self, exchange):
        fault = self.faults.take()
        request = json.loads(exchange.body)
        request_id = exchange.headers.get("X-Request-Id", "")
        if fault is Fault.SILENT:
            exchange.wait_closed(SILENT_WAIT_S)
            exchange.drop()
            return
        if fault is Fault.REFUSE or self.state.in_flight >= self.options.refuse_above:
            exchange.send_json(503, {"error": "full"}, {"X-Request-Id": request_id})
            return
        messages = request["messages"]
        priority = request.get("priority") or 0
        entry = self.ledger.open(
            request_id,
            message=str(messages[-1]["content"]),
            priority=PRIORITIES.get(priority, priority),
            cache_key=str(request.get("cache_key") or ""),
            resume_from=int(request.get("resume_from") or 0),
        )
        attempt = RunningAttempt(self.state, self.ledger, entry)
        try:
            self._generate(
                EngineResponse(self, exchange, request, entry, fault, attempt)
            )
        except ConnectionError:
            attempt.end("cancelled")
        finally:
            attempt.end("failed")

    def _generate(self, answer):
        is_closed = lambda: answer.exchange.wait_closed(0)
        if not self.batch_slots.acquire(answer.entry.priority, is_closed):
            raise ConnectionAbortedError("caller disconnected while waiting")
        try:
            answer.send()
        finally:
            self.batch_slots.release()

    def look_up_prompt(self, entry, messages):
        """Count the cached tokens, cache the prompt and return the prefill time."""
        with self.state.lock:
            cached, total = self.cache.match(entry.cache_key, messages)
            self.store_prompt(entry, messages)
        entry.cached_tokens, entry.prompt_tokens = cached, total
        return (total - cached) * self.options.prefill_s_per_token

    def store_prompt(self, entry, messages):
        with self.state.lock:
            evicted = self.cache.store(entry.cache_key, messages)
            self.state.add_event("stored")
            for _ in evicted:
                self.state.add_event("evicted")


class EngineResponse:
    """One response of an engine, streamed or not."""

    def __init__(self, engine, exchange, request, entry, fault, attempt):
        self.engine, self.exchange = engine, exchange
        self.request, self.entry, self.fault = request, entry, fault
        self.attempt = attempt
        self.messages = request["messages"]
        factor = engine.options.slow_factor if fault is Fault.SLOW else 1.0
        if not engine.state.warm:
            factor *= engine.options.cold_factor
        self.factor = factor

    def send(self):
        prefill_s = self.engine.look_up_prompt(self.entry, self.messages)
        request_id = self.exchange.headers.get("X-Request-Id", "")
        crossed = self.fault is Fault.CROSSED
        headers = {
            "X-Request-Id": "crossed.1.1.0/1" if crossed else request_id,
            "X-Cached-Tokens": self.entry.cached_tokens,
        }
        message = self.entry.message
        if crossed:
            message = make_other_message(message)
        tokens = make_tokens(message, self.entry.resume_from)
        send = self._stream if self.request.get("stream") else self._send_unstreamed
        send(headers, tokens, prefill_s * self.factor)

    def _finish(self):
        """Cache the conversation with the answer and end the attempt."""
        answer = "".join(make_tokens(self.entry.message))
        reply = {"role": "assistant", "content": answer}
        self.engine.store_prompt(self.entry, [*self.messages, reply])
        self.attempt.end("completed")

    def _abort(self):
        self.attempt.end("cut")
        self.exchange.drop()

    def _stream(self, headers, tokens, prefill_s):
        self.exchange.start_stream(headers)
        self._wait(prefill_s)
        for offset, token in enumerate(tokens):
            if self._should_abort(offset):
                self._abort()
                return
            self._wait(self.engine.options.token_s * self.factor)
            self._send_token(self.entry.resume_from + offset, token)
            if self.fault is Fault.DUPLICATED_TOKEN and offset == 1:
                self._send_token(self.entry.resume_from + offset, token)
        if self._should_abort(len(tokens)):
            self._abort()
            return
        self._finish()
        self.exchange.send_chunk(b"data: [DONE]\n\n")
        self.exchange.end_stream()

    def _should_abort(self, offset):
        limit = self.engine.faults.parameter or 0
        return self.fault is Fault.CUT and offset >= limit

    def _send_token(self, index, token):
        event = {"index": index, "choices": [{"delta": {"content": token}}]}
        self.exchange.send_chunk(b"data: " + json.dumps(event).encode() + b"\n\n")
        self.entry.tokens_sent += 1

    def _wait(self, seconds):
        """Wait while sending keepalives; raise if the caller disconnects."""
        end = time.monotonic() + seconds
        while (remaining_s := end - time.monotonic()) > self.engine.options.keepalive_s:
            self._wait_connected(self.engine.options.keepalive_s)
            self.exchange.send_chunk(KEEPALIVE)
        self._wait_connected(remaining_s)

    def _wait_connected(self, seconds):
        if self.exchange.wait_closed(seconds):
            raise ConnectionAbortedError("caller disconnected")

    def _send_unstreamed(self, headers, tokens, prefill_s):
        pace_s = self.engine.options.token_s * self.factor
        self._wait_connected(prefill_s + pace_s * len(tokens))
        answer = {"role": "assistant", "content": "".join(tokens)}
        choice = {"index": 0, "message": answer, "finish_reason": "stop"}
        usage = {
            "prompt_tokens": self.entry.prompt_tokens,
            "completion_tokens": len(tokens),
        }
        body = json.dumps({"choices": [choice], "usage": usage}).encode()
        headers = {**headers, "Content-Type": "application/json"}
        if self.fault is Fault.CUT:
            self.exchange.send(200, body[: len(body) // 2], headers, length=len(body))
            self._abort()
            return
        self.entry.tokens_sent = len(tokens)
        self._finish()
        self.exchange.send(200, body, headers)
