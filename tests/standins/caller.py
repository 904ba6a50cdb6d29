"""Client of the fleet that follows the rules for callers."""

import http.client
import json
import random
import time
from dataclasses import dataclass
from urllib.parse import urlencode

from tests.standins.content import make_answer, matches_service_answer
from tests.standins.results import (
    KIND_OF_OUTCOME,
    CallResult,
    ResultKind,
    StreamCut,
    StreamFailed,
    parse_error,
    read_events,
)

FAILURES = (OSError, http.client.HTTPException)
BOOTSTRAP_TIMEOUT_S = 2.0
NO_INSTANCE_DELAY_S = 0.1


@dataclass(frozen=True)
class CachedAddress:
    """Address returned by an instance, valid until a monotonic time."""

    address: str
    keep_until: float


class Caller:
    """Client that sends the requests of one customer; not thread-safe.

    Parameters
    ----------
    get_addresses : callable
        Returns the addresses of instances; some may be down.
    customer : str
    attempts : int, optional
        Maximum number of attempts per call.
    timeout_s : float, optional
        Maximum time without a byte from an instance, in seconds.
    deadline_s : float, optional
        Time after which no new attempt starts, in seconds; also sent to the
        instance.
    seed : int, optional
        Seed of the order in which instances are asked for an address.
    """

    def __init__(
        self,
        get_addresses,
        customer,
        attempts=6,
        timeout_s=10.0,
        deadline_s=30.0,
        seed=None,
    ):
        self.get_addresses = get_addresses
        self.customer = customer
        self.attempts, self.timeout_s = attempts, timeout_s
        self.deadline_s = deadline_s
        self._random = random.Random(seed)
        self._cached_addresses = {}
        self._placements = {}
        self._request_ids = []

    def chat(self, model, chat, messages, affinity=None, stream=True, tokens=None):
        """Send a chat completion request and check every byte of the answer.

        The last message must come from ``content.make_message``.
        """
        query = {"model": model, "chat": chat, "affinity": affinity}
        headers = {"Fescueflow-Chat": chat, "Fescueflow-Affinity": affinity}
        body = {"model": model, "messages": messages, "stream": stream}
        call = _Call(
            query=query,
            method="POST",
            path="/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={**headers, "Content-Type": "application/json"},
            read=self._read_stream if stream else self._read_unstreamed,
            expected=make_answer(messages[-1]["content"]),
            idempotent=True,
            placement_key=(model, chat or affinity),
        )
        return self._run(call)

    def call_service(
        self,
        service,
        method,
        path,
        body=b"",
        idempotent=False,
        request_id=None,
        address=None,
    ):
        """Call a plain service and check the response.

        A non-idempotent call without ``request_id`` uses one issued by an
        instance. ``address`` is the instance of the first attempt.
        """
        if not idempotent and request_id is None:
            request_id = self.take_request_id(service)
        call = _Call(
            query={"service": service},
            method=method,
            path=f"/v1/services/{service}{path}",
            body=body,
            headers={"Fescueflow-Request-Id": request_id},
            read=self._read_service,
            expected=(method, path, body),
            idempotent=idempotent,
            first_address=address,
        )
        return self._run(call)

    def take_request_id(self, service):
        """Return an unused request id, or ``None`` if no instance issues one."""
        if not self._request_ids:
            self._request_address({"service": service, "ids": 4})
        return self._request_ids.pop() if self._request_ids else None

    def ask_address(self, **query):
        """Return the address response of any instance, or ``None`` if all fail."""
        return self._request_address(query)

    def _request_address(self, query):
        addresses = list(self.get_addresses())
        self._random.shuffle(addresses)
        named = {k: v for k, v in query.items() if v is not None}
        path = "/v1/address?" + urlencode({"customer": self.customer, **named})
        for address in addresses:
            try:
                connection = self._open(address, BOOTSTRAP_TIMEOUT_S)
                connection.request("GET", path)
                response = connection.getresponse()
                data = response.read()
                if response.status == 200:
                    return self._store_request_ids(json.loads(data))
            except (*FAILURES, ValueError):
                continue
            finally:
                connection.close()
        return None

    def _store_request_ids(self, answer):
        self._request_ids += answer.get("request_ids") or []
        return answer

    def _find_address(self, call):
        key = tuple(sorted((k, str(v)) for k, v in call.query.items()))
        cached = self._cached_addresses.get(key)
        if cached and cached.keep_until > time.monotonic():
            return key, cached.address
        answer = self._request_address(call.query)
        if answer is None:
            return key, None
        until = time.monotonic() + answer["keep_for_ms"] / 1000
        self._cached_addresses[key] = CachedAddress(answer["address"], until)
        if call.placement_key and answer.get("placement"):
            self._placements.setdefault(call.placement_key, answer["placement"])
        return key, answer["address"]

    def _open(self, address, timeout_s):
        host, _, port = address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=timeout_s)

    def _run(self, call):
        """Make attempts until one has a final result, and return it."""
        call.started = time.monotonic()
        result, address = CallResult(), call.first_address
        may_have_run = False
        for _ in range(self.attempts):
            if time.monotonic() - call.started > self.deadline_s:
                break
            key = None
            if address is None:
                key, address = self._find_address(call)
            if address is None:
                result = CallResult(ResultKind.NOT_RUN, detail="no instance answers")
                time.sleep(NO_INSTANCE_DELAY_S)
                continue
            tried = [*result.instances_tried, address]
            refusals_s, attempt_started = result.refusals_s, time.monotonic()
            result = self._attempt(call, address)
            result.refusals_s = refusals_s
            if result.kind is ResultKind.NOT_RUN:
                refusals_s.append(time.monotonic() - attempt_started)
            result.instances_tried = tried
            if result.kind is ResultKind.OUTCOME_UNKNOWN:
                may_have_run = True
            if call.is_final(result):
                break
            self._cached_addresses.pop(key, None)
            address = result.next_address
            time.sleep(result.retry_after_s)
        # Only an instance that tracks the request id can confirm that no earlier
        # attempt ran.
        known = call.request_id and result.error_type
        if result.kind is ResultKind.NOT_RUN and may_have_run and not known:
            result.kind = ResultKind.OUTCOME_UNKNOWN
        result.total_s = time.monotonic() - call.started
        return result

    def _attempt(self, call, address):
        result = _AttemptResult()
        connection = self._open(address, self.timeout_s)
        try:
            connection.connect()
        except OSError as error:
            result.kind, result.detail = ResultKind.NOT_RUN, f"connect: {error}"
            return result
        try:
            connection.request(
                call.method, call.path, call.body, self._make_headers(call)
            )
            response = connection.getresponse()
            self._record_response(call, result, response)
            if response.status != 200:
                self._record_error(result, parse_error(response.read()))
            else:
                call.read(call, response, result)
        except FAILURES as error:
            result.detail = f"{type(error).__name__}: {error}"
            # The caller has used part of an interrupted stream, but nothing of
            # an incomplete body.
            if result.status == 200 and call.read == self._read_stream:
                result.kind = ResultKind.CUT
        finally:
            connection.close()
        return result

    def _make_headers(self, call):
        deadline_ms = int(self.deadline_s * 1000)
        headers = {
            "Fescueflow-Customer": self.customer,
            "Fescueflow-Deadline-Ms": str(deadline_ms),
            "Fescueflow-Placement": self._placements.get(call.placement_key),
            **call.headers,
        }
        return {name: value for name, value in headers.items() if value is not None}

    def _record_response(self, call, result, response):
        result.status = response.status
        result.request_id = response.headers.get("Fescueflow-Request-Id")
        result.upstream = response.headers.get("Fescueflow-Upstream")
        result.instance = response.headers.get("Fescueflow-Instance")
        placement = response.headers.get("Fescueflow-Placement")
        if placement and call.placement_key:
            self._placements[call.placement_key] = placement

    def _record_error(self, result, error):
        if error is None:
            result.detail = "failure without an error object"
            return
        result.kind = KIND_OF_OUTCOME[error.outcome]
        result.error_type, result.detail = error.type, error.message
        result.next_address = error.address
        result.retry_after_s = (error.retry_after_ms or 0) / 1000

    def _read_stream(self, call, response, result):
        last = None
        parts = []
        try:
            for event in read_events(response):
                now = time.monotonic()
                if last is None:
                    result.first_token_s = now - call.started
                else:
                    result.gaps_s.append(now - last)
                last = now
                parts.append(event["choices"][0]["delta"].get("content", ""))
        except StreamFailed as failure:
            self._record_error(result, failure.error)
            result.kind = ResultKind.CUT
        except StreamCut as error:
            result.kind, result.detail = ResultKind.CUT, str(error)
        except (ValueError, KeyError, IndexError, TypeError) as error:
            result.kind, result.detail = ResultKind.WRONG_CONTENT, repr(error)
        else:
            result.kind = ResultKind.WHOLE
        finally:
            result.content = "".join(parts)
        self._check_content(call, result)

    def _read_unstreamed(self, call, response, result):
        result.body = response.read()
        try:
            choice = json.loads(result.body)["choices"][0]
            result.content = choice["message"]["content"]
            result.kind = ResultKind.WHOLE
        except (ValueError, KeyError, IndexError, TypeError) as error:
            result.kind, result.detail = ResultKind.WRONG_CONTENT, repr(error)
        result.first_token_s = time.monotonic() - call.started
        self._check_content(call, result)

    def _check_content(self, call, result):
        """Set ``WRONG_CONTENT`` if the answer is not the expected one."""
        whole = result.kind is ResultKind.WHOLE
        same = result.content == call.expected
        if not (same if whole else call.expected.startswith(result.content)):
            result.kind = ResultKind.WRONG_CONTENT
            result.detail += f" got {result.content!r}, expected {call.expected!r}"

    def _read_service(self, call, response, result):
        result.body = response.read()
        matches = matches_service_answer(result.body, *call.expected)
        result.kind = ResultKind.WHOLE if matches else ResultKind.WRONG_CONTENT
        if not matches:
            result.detail = f"got {result.body[:200]!r}"


@dataclass
class _AttemptResult(CallResult):
    """Result of one attempt, with the address and delay of the next one."""

    next_address: str | None = None
    retry_after_s: float = 0.0


@dataclass
class _Call:
    """One call with its expected response."""

    query: dict
    method: str
    path: str
    body: bytes
    headers: dict
    read: object
    expected: object
    idempotent: bool
    placement_key: object = None
    first_address: str | None = None
    started: float = 0.0

    @property
    def request_id(self):
        return self.headers.get("Fescueflow-Request-Id")

    def is_final(self, result):
        """Return whether no further attempt may follow this result.

        Requests that didn't run are retried unless the status is 4xx. Requests
        with an unknown outcome are retried only if they are idempotent or have
        a request id, and never if an instance reported the outcome as unknown.
        """
        if result.kind is ResultKind.NOT_RUN:
            return result.status in range(400, 500)
        if result.kind is ResultKind.OUTCOME_UNKNOWN:
            answered = result.error_type == "outcome_unknown"
            return answered or not (self.idempotent or self.request_id)
        return True
