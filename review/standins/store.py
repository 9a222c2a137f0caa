"""A stand-in for the platform's store, as PROTOCOL.md describes it, and for its list of machines.

Usage: store.py ADDRESS RECORD

Calls below /standin/ are those of the platform itself: runners check in there, operators write there, and the test sets which
answers of writes are lost.
"""

import asyncio
import base64
import json
import random
import sys
import time
from urllib.parse import parse_qs, urlsplit

from http1 import NO_ANSWER, serve

MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1048576
PAGE_ITEMS = 500
HISTORY_S = 20.0
FORBIDDEN_PREFIXES = ("op/", "servers/")


class Store:
    def __init__(self, record_path):
        self.record_path = record_path
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 7000
        self.events = []
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.silence = {}
        self.lost = None

    def record(self, text):
        with open(self.record_path, "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f} store {text}\n")

    # --- state

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append((time.monotonic(), item))

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append((time.monotonic(), {"key": key, "revision": self.revision, "deleted": True}))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Ends leases and removes the entries of runners that do not check in."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
            silent = [key for key, until in self.silence.items() if until <= now]
            for lease in ended:
                self.end_lease(lease)
            for key in silent:
                del self.silence[key]
                self.revision += 1
                self.delete(key)
                self.record(f"entry removed after silence: {key}")
            while self.events and self.events[0][0] <= now - HISTORY_S:
                self.forgotten = self.events.pop(0)[1]["revision"]
            if ended or silent:
                await self.notify()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return True

    # --- calls of the system

    def transact(self, message):
        expect = message.get("expect", [])
        writes = message.get("writes", [])
        removes = message.get("remove", [])
        if len(expect) + len(writes) + len(removes) > MAX_ENTRIES:
            return 400, {"error": "too many entries"}
        keys = [write["key"] for write in writes] + removes
        if any(key.startswith(FORBIDDEN_PREFIXES) for key in keys):
            return 403, None
        if any(len(key.encode()) > MAX_KEY_BYTES for key in keys):
            return 400, {"error": "a key is too long"}
        if any(len(base64.b64decode(write["value"])) > MAX_VALUE_BYTES for write in writes):
            return 400, {"error": "a value is too long"}
        present = {row["key"]: self.items.get(row["key"]) for row in expect}
        matches = all((present[row["key"]] or {"revision": 0})["revision"] == row["revision"] for row in expect)
        if not matches:
            return 412, {"items": [item for item in present.values() if item]}
        if any(write.get("lease", 0) and write["lease"] not in self.leases for write in writes):
            return 404, None
        if keys:
            self.revision += 1
            for write in writes:
                self.put(write["key"], write["value"], write.get("lease", 0))
            for key in removes:
                self.delete(key)
        return 200, {"revision": self.revision}

    def is_lost(self, message):
        if self.lost is None or not (message.get("writes") or message.get("remove")):
            return False
        now = time.monotonic()
        return now < self.lost["until"] and random.random() < self.lost["share"]

    async def transact_late(self, message):
        delay = random.uniform(self.lost["min_s"], self.lost["max_s"])
        keys = " ".join(write["key"] for write in message.get("writes", []))
        self.record(f"write not answered, carried out in {delay:.2f} s: {keys}")
        await asyncio.sleep(delay)
        status, _ = self.transact(message)
        self.record(f"late write carried out with status {status}: {keys}")
        await self.notify()

    async def watch(self, query):
        prefix = query.get("pathPrefix", "")
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self.forgotten:
                return 410, None
            found = [item for _, item in self.events if item["revision"] > after and item["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def list_items(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "storeRevision": self.revision}

    def grant_lease(self, message):
        self.next_lease += 1
        ttl = max(1000, min(600000, int(message["ttlMs"])))
        self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"lease": self.next_lease, "ttlMs": ttl}

    def keep_lease(self, lease):
        if lease not in self.leases:
            return 404, None
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttlMs": ttl}

    # --- calls of the platform itself

    def check_in(self, message):
        """Stores the entry of a runner; it changes only when more than `sequence` changes."""
        key, entry = message["key"], message["entry"]
        old = self.items.get(key)
        stored = json.loads(base64.b64decode(old["value"])) if old else None
        strip = lambda value: {name: field for name, field in value.items() if name not in ("sequence", "clockMs")}
        if stored is None or strip(stored) != strip(entry):
            self.revision += 1
            self.put(key, base64.b64encode(json.dumps(entry).encode()).decode())
        self.silence[key] = time.monotonic() + message["silence_s"]
        return 200, {}

    def check_out(self, message):
        self.silence.pop(message["key"], None)
        self.revision += 1
        self.delete(message["key"])
        self.record(f"entry removed, the runner has left: {message['key']}")
        return 200, {}

    def operate(self, message):
        self.revision += 1
        self.put(message["key"], base64.b64encode(json.dumps(message["value"]).encode()).decode())
        self.record(f"operator wrote {message['key']}")
        return 200, {"revision": self.revision}

    def lose_answers(self, message):
        self.lost = {**message, "until": time.monotonic() + message["for_s"]}
        random.seed(message.get("seed", 1))
        self.record(f"from now on answers of writes are lost: {json.dumps(message)}")
        return 200, {}

    async def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        message = json.loads(body) if body else {}
        match (method, url.path):
            case ("GET", "/kv-key"):
                item = self.items.get(query["key"])
                return (200, {**item, "storeRevision": self.revision}) if item else (404, None)
            case ("GET", "/kv-range"):
                return self.list_items(query)
            case ("GET", "/kv-watch"):
                return await self.watch(query)
            case ("POST", "/kv-lease"):
                return self.grant_lease(message)
            case ("POST", path) if path.startswith("/kv-keep/"):
                return self.keep_lease(int(path.rsplit("/", 1)[1]))
            case ("DELETE", path) if path.startswith("/kv-lease-end/"):
                answer = (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, None)
            case ("POST", "/kv-txn"):
                if self.is_lost(message):
                    asyncio.create_task(self.transact_late(message))
                    return NO_ANSWER
                answer = self.transact(message)
            case ("POST", "/standin/check-in"):
                answer = self.check_in(message)
            case ("POST", "/standin/check-out"):
                answer = self.check_out(message)
            case ("POST", "/standin/operate"):
                answer = self.operate(message)
            case ("POST", "/standin/lose-answers"):
                answer = self.lose_answers(message)
            case _:
                return 404, None
        await self.notify()
        return answer


async def main():
    address, record = sys.argv[1:]
    host, port = address.rsplit(":", 1)
    store = Store(record)
    server = await serve(host, int(port), store.handle)
    asyncio.create_task(store.expire())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
