"""Payments of ordinary callers, beside a crowd of callers that nobody controls."""

import http.client
import subprocess
import sys
import threading
import time
from pathlib import Path

import bed

INSTANCES = 3
# The route of payments on the small deployment `kanga-fleet`.
TIMEOUT_S, DEADLINE_S = 2.0, 4.0
WORK_S = 0.09
# Half a second, in the rules CONFIG and GONE.
LATE_S = 0.5
# Callers that press excuse a machine until 5 s later.
FIRST_S = 6.0
INTERVAL_S = 0.25
SETTLE_S = 4.0
CROWD_SCRIPT = Path(__file__).resolve().parent / "crowd.py"


class Bank:
    """The servers of payments; they note when each request reaches them."""

    def __init__(self, record):
        self.runs, self.lock = {}, threading.Lock()
        bank = self

        class Handler(bed.QuietHandler):
            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                attempt = self.headers["X-Attempt-Id"]
                with bank.lock:
                    bank.runs.setdefault(attempt, []).append(time.monotonic())
                record.write("runs", id=attempt)
                time.sleep(WORK_S)
                headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", f"seal-{attempt}")]
                self.send_whole(200, headers, b"paid " + attempt.encode())

        self.servers = [bed.serve(Handler) for _ in range(3)]

    def list_entries(self):
        for number, server in enumerate(self.servers):
            yield f"servers/i-{number}", {
                "service": "payments",
                "address": f"127.0.0.1:{server.server_address[1]}",
                "zone": bed.ZONES[number],
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": 1,
            }


class Payment(threading.Thread):
    """One request that may run once; its caller leaves at its deadline."""

    def __init__(self, name, instance, record):
        super().__init__(daemon=True)
        self.attempt, self.instance, self.record = name, instance, record
        self.sent_at = self.answered_at = self.closed_at = None

    def run(self):
        connection = http.client.HTTPConnection(
            self.instance.host, self.instance.callers, timeout=1.0
        )
        headers = {
            "Host": bed.HOST,
            "Authorization": f"Token {bed.KEY}",
            "X-Attempt-Id": self.attempt,
            "X-Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        try:
            connection.connect()
            connection.sock.settimeout(DEADLINE_S)
            connection.request("POST", "/pay/1", body=b"pay", headers=headers)
            self.sent_at = time.monotonic()
            self.record.write("sent", id=self.attempt, to=self.instance.name)
            response = connection.getresponse()
            response.read()
            self.answered_at = time.monotonic()
            self.record.write("answered", id=self.attempt, status=response.status)
        except (OSError, http.client.HTTPException) as error:
            self.record.write("leaves", id=self.attempt, why=repr(error))
        finally:
            connection.close()
            self.closed_at = time.monotonic()

    def is_open_after(self, seconds):
        """Return whether there was no answer so long after the last byte was sent."""
        return self.answered_at is None or self.answered_at - self.sent_at > seconds


class Play:
    """One run: the crowd sends its bytes once, then payments are sent for a while.

    Parameters
    ----------
    folder : Path
        Of the case.
    crowd, data : int, bytes
        Callers at each instance, and what each of them sends.
    last_s, wait_s : float
        Until when payments are sent after the crowd's last byte, and the longest wait
        after that for payments that reach a server late.
    """

    def __init__(self, folder, crowd, data, last_s, wait_s):
        self.crowd, self.data, self.last_s, self.wait_s = crowd, data, last_s, wait_s
        self.record = bed.Record(folder / "record.txt")
        self.store, self.bank = bed.Store(), Bank(self.record)
        route = bed.make_route(
            "pay",
            "unsafe",
            "payments",
            timeout_ms=round(TIMEOUT_S * 1000),
            max_attempts=1,
            target_latency_ms=300,
        )
        service = bed.make_service(
            "payments", max_connections=110, cold_per_s=0.0, cold_start_s=0.0
        )
        self.store.put("op/config", bed.make_table(1, [route], [service]))
        for key, entry in self.bank.list_entries():
            self.store.put(key, entry)
        self.fleet = bed.Fleet(self.store, INSTANCES)
        self.payments = []

    def run(self):
        """Play, and return whether the case could run."""
        crowds = []
        try:
            try:
                self.fleet.start()
            except (OSError, RuntimeError) as error:
                self.record.say(f"the case could not run: {error!r}")
                return False
            time.sleep(SETTLE_S)
            crowds = [self._start_crowd(instance) for instance in self.fleet.instances]
            for crowd, instance in zip(crowds, self.fleet.instances):
                line = crowd.stdout.readline().decode().strip()
                self.record.write(
                    "crowd", at=instance.name, bytes_each=len(self.data), callers=line
                )
                if not line.startswith("sent") or int(line.split()[1]) < self.crowd // 2:
                    self.record.say(f"the case could not run: the crowd said {line!r}")
                    return False
            self._pay(time.monotonic())
            return True
        finally:
            for instance in self.fleet.instances:
                if instance.process is not None:
                    ended, memory = instance.process.poll(), instance.read_memory()
                    self.record.write(
                        "process", name=instance.name, ended=ended, memory_mb=round(memory[1])
                    )
            for crowd in crowds:
                crowd.kill()
                crowd.wait()
            self.fleet.close()

    def _start_crowd(self, instance):
        words = [sys.executable, str(CROWD_SCRIPT), instance.host, str(instance.callers)]
        crowd = subprocess.Popen(
            [*words, str(self.crowd)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        crowd.stdin.write(self.data)
        crowd.stdin.close()
        return crowd

    def _pay(self, over_at):
        while (after := time.monotonic() - over_at) < self.last_s:
            if after >= FIRST_S:
                number = len(self.payments)
                instance = self.fleet.instances[number % INSTANCES]
                payment = Payment(f"p{number}", instance, self.record)
                self.payments.append(payment)
                payment.start()
            time.sleep(INTERVAL_S)
        for payment in self.payments:
            payment.join(DEADLINE_S + 2.0)
        until = time.monotonic() + self.wait_s
        while time.monotonic() < until and self.list_unrun():
            time.sleep(0.2)
        time.sleep(0.5)

    def list_unrun(self):
        """Return the payments that have reached no server."""
        return [p for p in self.payments if p.sent_at and p.attempt not in self.bank.runs]

    def list_sent(self):
        return [p for p in self.payments if p.sent_at is not None]

    def list_late(self):
        """Return the requests open at the route's timeout, and those half a second later."""
        open_ = [p for p in self.list_sent() if p.is_open_after(TIMEOUT_S)]
        return open_, [p for p in open_ if p.is_open_after(TIMEOUT_S + LATE_S)]

    def list_gone(self):
        """Return the delays after which requests reached a server without a caller."""
        return [
            at - p.closed_at
            for p in self.list_sent()
            if p.answered_at is None
            for at in self.bank.runs.get(p.attempt, ())
            if at > p.closed_at + LATE_S
        ]

    def describe(self):
        sent, (open_, late), gone = self.list_sent(), self.list_late(), self.list_gone()
        answered = sum(p.answered_at is not None for p in sent)
        self.record.say(
            f"{self.crowd} callers at each of {INSTANCES} instances, {len(self.data)} bytes each;"
            f" payments: {len(sent)} sent, {answered} answered; open at the route's timeout:"
            f" {len(open_)}, of these {LATE_S} s later: {len(late)}; reached a server over"
            f" {LATE_S} s after their callers had left: {len(gone)}"
            f" (at most {max(gone, default=0):.1f} s after)"
        )
