"""Stand-in for the platform's store: reads and watches of PROTOCOL.md.

Operators and servers write by calls of their own (``/put``, ``/delete``), which the
pages leave open. While the store is down (``/mode``), it answers nothing but ``/mode``.
"""

import asyncio
import base64
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from wire import read_request, render

HISTORY_S = 20.0


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}  # key -> item
        self.lapses = {}  # key -> time at which the entry lapses
        self.history = []  # (time, revision, event)
        self.mode = "up"
        self.changed = asyncio.Event()

    def write(self, key, value, ttl_s=0.0, quiet=False):
        if ttl_s:
            self.lapses[key] = time.monotonic() + ttl_s
        if quiet and key in self.items:
            return self.revision
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.lapses.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": self.items.get(key, {}).get("created", self.revision),
                "lease_id": 0,
            }
            self.items[key] = event
        now = time.monotonic()
        self.history.append((now, self.revision, event))
        while self.history[0][0] < now - HISTORY_S:
            self.history.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.mode == "up":
                now = time.monotonic()
                for key in [k for k, at in self.lapses.items() if at < now]:
                    self.write(key, None)

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/mode":
            self.mode = query["mode"]
            if self.mode == "up":
                # Entries that ran out meanwhile are written again within two seconds.
                for key in self.lapses:
                    self.lapses[key] = max(self.lapses[key], time.monotonic() + 2.0)
            return 200, {}
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if parts.path == "/put":
            ttl_s = float(query.get("ttl_s", 0))
            at = self.write(query["key"], body, ttl_s, query.get("quiet") == "1")
            return 200, {"at": at}
        if parts.path == "/delete":
            return 200, {"at": self.write(query["key"], None)}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if parts.path == "/kv-range":
            entries = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            page = {"entries": entries[:500], "has_more": len(entries) > 500}
            return 200, {**page, "at": self.revision}
        if parts.path == "/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query["wait_ms"]))
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            oldest = self.history[0][1] if self.history else self.revision + 1
            if after + 1 < oldest and after < self.revision:
                return 410, {}
            events = [
                event
                for _, revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                method, target, _, body = request
                status, document = await self.answer(method, target, body)
                content = json.dumps(document).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(render(f"HTTP/1.1 {status} X", headers, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main(host, port):
    store = Store()
    server = await asyncio.start_server(store.serve, host, port)
    asyncio.get_running_loop().create_task(store.expire())
    await server.serve_forever()


asyncio.run(main(sys.argv[1], int(sys.argv[2])))
