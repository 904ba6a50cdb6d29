"""Stand-in for a server: a model engine or a plain service of PROTOCOL.md.

A request's query says how long it takes: ``ms`` for an answer, or ``first_ms``,
``events`` and ``gap_ms`` for a stream. Each request that arrives, begins or ends is
written to the log as one JSON line.
"""

import asyncio
import json
import os
import random
import sys
import time
import zlib
from urllib.parse import parse_qs, quote, urlsplit

from wire import call, read_request, render


class Server:
    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.slots = asyncio.Semaphore(options["slots"])
        self.running = self.waiting = self.connections = 0
        self.born = time.time()
        self.cold_until = time.monotonic() + options.get("cold_s", 0.0)
        self.arrivals = []
        self.sequence = 0
        self.log = open(options["log"], "a", buffering=1)  # noqa: SIM115
        self.load_header = options.get("load_header", True)

    def note(self, event, attempt="", **more):
        line = {"t": time.time(), "server": self.id, "event": event, "id": attempt}
        self.log.write(json.dumps({**line, **more}) + "\n")

    def get_cold_ms(self):
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    async def register(self):
        """Write the entry each check-in interval; it lapses after three of them."""
        host, port = self.options["store"].split(":")
        beat_s = self.options["beat_s"]
        known = None
        while True:
            entry = {
                "service": self.options["service"],
                "address": self.options["address"],
                "zone": self.options["zone"],
                "version": "v1",
                "slots": self.options["slots"],
                "state": "ready",
                "cold_remaining_ms": self.get_cold_ms(),
                "born": int(self.born * 1000),
            }
            quiet = int(entry == known)
            self.sequence += 1
            body = json.dumps({**entry, "sequence": self.sequence}).encode()
            key = quote(f"servers/{self.id}")
            target = f"/put?key={key}&ttl_s={3 * beat_s}&quiet={quiet}"
            try:
                status, _, _ = await call(host, port, "POST", target, (), body, 0.8)
                if status == 200:
                    known = entry
            except (OSError, asyncio.TimeoutError, ValueError):
                pass
            # After a failure, the entry is back within two seconds.
            await asyncio.sleep(beat_s if known == entry else 0.5)

    def make_headers(self, attempt):
        seal = f"{zlib.crc32(f'{self.id}/{attempt}'.encode()):08x}"
        headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", seal)]
        if self.load_header:
            load = f"{self.running},{self.waiting},{self.options['slots']}"
            headers.append(("X-Server-Load", load))
        return headers

    def refuse(self, status, text, attempt):
        headers = [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]
        return render(f"HTTP/1.1 {status} {text}", headers)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            if self.connections > self.options.get("max_connections", 630):
                writer.transport.abort()
                return
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def handle(self, request, reader, writer):
        """Answer one request; return whether the connection stays open."""
        method, target, headers, body = request
        parts = urlsplit(target)
        if parts.path == "/healthz":
            load = f"{self.running},{self.waiting},{self.options['slots']}"
            more = [("X-Instance-Id", self.id), ("X-Server-Load", load)]
            if self.get_cold_ms():
                more.append(("X-Cold-Ms", str(self.get_cold_ms())))
            writer.write(render("HTTP/1.1 200 OK", more))
            await writer.drain()
            return True
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            self.note("misdirected", attempt)
            more = [("X-Instance-Id", self.id)]
            writer.write(render("HTTP/1.1 421 Misdirected Request", more))
            await writer.drain()
            return True
        if not attempt:
            writer.write(self.refuse(400, "Bad Request", ""))
            await writer.drain()
            return True
        cold_ms = self.get_cold_ms()
        self.note("arrived", attempt, cold_ms=cold_ms, target=target)
        self.check_cold(cold_ms)
        if self.waiting >= self.options.get("queue", 64):
            self.note("refused", attempt)
            writer.write(self.refuse(503, "Service Unavailable", attempt))
            await writer.drain()
            return True
        work = asyncio.ensure_future(self.run(attempt, target, headers, writer))
        # A server drops a request when its connection closes.
        gone = asyncio.ensure_future(self.watch_close(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not work.done():
            work.cancel()
            self.note("dropped", attempt)
            return False
        return work.result()

    async def watch_close(self, reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    def check_cold(self, cold_ms):
        """Crash if a cold server gets requests at a rate well above what it bears."""
        now = time.monotonic()
        self.arrivals = [at for at in self.arrivals if now - at < 1.0] + [now]
        limit = self.options.get("crash_per_s")
        if cold_ms and limit and len(self.arrivals) > limit:
            self.note("crashed", why="cold", per_s=len(self.arrivals))
            os._exit(1)

    async def run(self, attempt, target, headers, writer):
        query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.note("began", attempt)
            if "events" in query:
                await self.stream(attempt, query, headers, writer)
                self.note("ended", attempt)
                return not self.options.get("unframed")
            else:
                await asyncio.sleep(float(query.get("ms", 45)) / 1000)
                if random.random() < self.options.get("lose_share", 0.0):
                    # The request has run, and its answer is lost.
                    self.note("lost", attempt)
                    writer.transport.abort()
                    return False
                body = f"{attempt}:{self.id}:".encode().ljust(800, b".")
                writer.write(render("HTTP/1.1 200 OK", self.make_headers(attempt), body))
                await writer.drain()
            self.note("ended", attempt)
            return True
        finally:
            self.running -= 1
            self.slots.release()

    async def crash(self, attempt):
        """Crash on a part, at once or so long after the answer has begun."""
        await asyncio.sleep(self.options.get("crash_ms", 0) / 1000)
        self.note("crashed", attempt, why="part")
        os._exit(1)

    async def stream(self, attempt, query, headers, writer):
        await asyncio.sleep(float(query.get("first_ms", 50)) / 1000)
        parts = headers.get("x-prefix-hash", "").split(",")[:-1]
        fatal = self.options.get("fatal_part")
        if fatal and any(part.partition(":")[0] == fatal for part in parts):
            asyncio.get_running_loop().create_task(self.crash(attempt))
            if not self.options.get("crash_ms"):
                await asyncio.sleep(1.0)
        first = int(headers.get("last-event-id", 0)) + 1
        head = [("Content-Type", "text/event-stream"), *self.make_headers(attempt)]
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head)]
        # Without chunks, the stream ends with its connection.
        is_chunked = not self.options.get("unframed")
        lines.append("Transfer-Encoding: chunked" if is_chunked else "Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        last = int(query["events"])
        # A server may stop in the middle of an event.
        is_stopped = random.random() < self.options.get("stop_share", 0.0)
        is_stopped = is_stopped and os.path.exists(self.options["stop_file"])
        stop_at = random.randint(first, last) if is_stopped else None
        for number in range(first, last + 1):
            if number > first:
                await asyncio.sleep(float(query.get("gap_ms", 60)) / 1000)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            if number == stop_at:
                self.note("stopped inside", attempt, event_id=number)
                event = event[: len(event) // 2]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
            await writer.drain()
            if number == stop_at:
                break
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


async def main(options):
    server = Server(options)
    host, port = options["address"].split(":")
    listening = await asyncio.start_server(server.serve, host, int(port), backlog=512)
    server.note("started")
    asyncio.get_running_loop().create_task(server.register())
    await listening.serve_forever()


asyncio.run(main(json.loads(sys.argv[1])))
