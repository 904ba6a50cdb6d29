"""Callers of the soak test: a seeded mix of calls, with every attempt recorded."""

import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass

from tests.standins.caller import FAILURES, Caller
from tests.standins.content import make_message
from tests.standins.deployment import LEDGER, MODEL
from tests.standins.results import ResultKind

SYSTEM_PROMPT = "You answer for the tenants of one housing association. " * 8
HISTORY_MESSAGES_MAX = 8
CHATS_MAX = 4
DEADLINES_S = (0.3, 1.0, 3.0, 10.0, 10.0)


@dataclass(frozen=True)
class AttemptRecord:
    """What a caller saw of one attempt; times are monotonic seconds."""

    started_at: float
    ended_at: float
    tag: str
    address: str
    kind: ResultKind
    status: int
    error_type: str | None
    request_id: str | None
    upstream: str | None
    instance: str | None
    detail: str
    non_idempotent: bool


class RecordingCaller(Caller):
    """Caller that records every attempt.

    Attributes
    ----------
    tag : str
        Identifies the call in the records of its attempts.
    uses_request_ids : bool
        Whether non-idempotent calls carry a request id.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.tag = ""
        self.attempt_records = []
        self.uses_request_ids = True

    def take_request_id(self, service):
        return super().take_request_id(service) if self.uses_request_ids else None

    def _attempt(self, call, address):
        started_at = time.monotonic()
        result = super()._attempt(call, address)
        record = AttemptRecord(
            started_at=started_at,
            ended_at=time.monotonic(),
            tag=self.tag,
            address=address,
            kind=result.kind,
            status=result.status,
            error_type=result.error_type,
            request_id=call.request_id or result.request_id,
            upstream=result.upstream,
            instance=result.instance,
            detail=result.detail[:300],
            non_idempotent=call.query.get("service") is not None
            and not call.idempotent,
        )
        self.attempt_records.append(record)
        return result

    def disconnect(self, chat, message, lines):
        """Start a stream and close the connection after ``lines`` lines of it."""
        answer = self.ask_address(model=MODEL, chat=chat)
        if answer is None:
            return
        connection = self._open(answer["address"], self.timeout_s)
        body = {"model": MODEL, "messages": message, "stream": True}
        headers = {
            "Fescueflow-Customer": self.customer,
            "Fescueflow-Chat": chat,
            "Fescueflow-Deadline-Ms": str(int(self.deadline_s * 1000)),
        }
        try:
            data = json.dumps(body).encode()
            connection.request("POST", "/v1/chat/completions", data, headers)
            response = connection.getresponse()
            for _ in range(lines):
                response.readline()
        except FAILURES:
            pass
        finally:
            connection.close()


class CallerWorker:
    """Thread that makes calls of one customer until it is stopped."""

    def __init__(self, addresses, customer, seed, stop):
        self.random = random.Random(f"caller {seed}")
        self.addresses, self.stop = addresses, stop
        self.name = f"{customer}.{seed}"
        self.caller = RecordingCaller(
            addresses, customer, timeout_s=8.0, attempts=4, seed=f"{seed}"
        )
        self.result_counts = Counter()
        self.call_counts = Counter()
        self.failures = []
        self._chats = {}
        self._call_count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        actions = [
            (self.request_chat, 8),
            (self.request_unstreamed_chat, 3),
            (self.call_non_idempotent, 4),
            (self.call_idempotent, 3),
            (self.abandon_stream, 1),
        ]
        calls, weights = zip(*actions, strict=True)
        while not self.stop.is_set():
            self._call_count += 1
            self.caller.tag = f"{self.name}.{self._call_count}"
            self.caller.deadline_s = self.random.choice(DEADLINES_S)
            call = self.random.choices(calls, weights)[0]
            try:
                call()
            except Exception as error:  # noqa: BLE001
                self.failures.append(f"{self.caller.tag}: {error!r}")
            self.stop.wait(self.random.choice((0.0, 0.01, 0.05, 0.2)))

    def _count_result(self, result, label):
        self.result_counts[result.kind] += 1
        self.call_counts[label] += 1

    def _begin_turn(self):
        rng = self.random
        if not self._chats or rng.random() < 0.2:
            name = f"{self.name}-chat-{self._call_count}"
            self._chats[name] = [{"role": "system", "content": SYSTEM_PROMPT}]
            while len(self._chats) > CHATS_MAX:
                del self._chats[next(iter(self._chats))]
        name = rng.choice(list(self._chats))
        message = make_message(
            self.caller.customer, name, self.caller.tag, rng.choice((4, 16, 48))
        )
        history = self._chats[name][-HISTORY_MESSAGES_MAX:]
        return name, [*history, {"role": "user", "content": message}]

    def request_chat(self, stream=True):
        name, messages = self._begin_turn()
        result = self.caller.chat(MODEL, name, messages, stream=stream)
        self._count_result(result, "stream" if stream else "non-streaming chat")
        if result.whole:
            reply = {"role": "assistant", "content": result.content}
            self._chats[name] = [*messages, reply]

    def request_unstreamed_chat(self):
        self.request_chat(stream=False)

    def abandon_stream(self):
        name, messages = self._begin_turn()
        self.call_counts["abandoned stream"] += 1
        self.caller.disconnect(name, messages, self.random.randint(0, 12))

    def call_non_idempotent(self):
        rng = self.random
        path = rng.choice(("/payouts", "/bookings"))
        body = f'{{"tag": "{self.caller.tag}"}}'.encode()
        self.caller.uses_request_ids = rng.random() < 0.9
        request_id = self.caller.take_request_id(LEDGER)
        # Without an id the instance assigns one, and the call can't be repeated.
        for _ in range(rng.choice((1, 1, 2, 3)) if request_id else 1):
            address = rng.choice(list(self.addresses())) if rng.random() < 0.5 else None
            result = self.caller.call_service(
                LEDGER, "POST", path, body, False, request_id, address
            )
            self._count_result(result, "non-idempotent")

    def call_idempotent(self):
        body = f'{{"tag": "{self.caller.tag}"}}'.encode()
        if self.random.random() < 0.5:
            call = ("POST", "/quotes", body)
        else:
            call = ("GET", f"/archive/{self.caller.tag}", b"")
        result = self.caller.call_service(LEDGER, *call, idempotent=True)
        self._count_result(result, "idempotent service")


class CallerPool:
    """Worker threads of all customers."""

    def __init__(self, fleet, customers, seed, threads):
        self.stop_event = threading.Event()
        self.workers = [
            CallerWorker(
                fleet.get_addresses, customer, f"{seed}.{number}", self.stop_event
            )
            for customer in customers
            for number in range(threads)
        ]

    def start(self):
        for worker in self.workers:
            worker.thread.start()

    def stop(self, timeout_s=60.0):
        """Stop the workers and return the names of those that still run."""
        self.stop_event.set()
        end = time.monotonic() + timeout_s
        for worker in self.workers:
            worker.thread.join(max(0.0, end - time.monotonic()))
        return [w.name for w in self.workers if w.thread.is_alive()]

    def get_attempts(self):
        """Return the attempts of all workers by their start."""
        found = [
            e for worker in self.workers for e in list(worker.caller.attempt_records)
        ]
        return sorted(found, key=lambda record: record.started_at)

    def sum_counts(self, name):
        """Return the sum of a counter of all workers, given its attribute name."""
        return sum((getattr(worker, name) for worker in self.workers), Counter())
