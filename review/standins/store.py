"""Stand-in for the platform's metadata store, after PROTOCOL.md: logs and keyed topics."""

import asyncio
import base64
import json
import time

import http1

ANSWER_S = 0.004
APPEND_S = 0.002
RECORD_BYTES = 262144
CALL_BYTES = 2097152
WRITES_PER_S = 800
READS_PER_S = 2000
PARTS = 12
PAGE_ITEMS = 500
# Topics that the system may not write to.
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


def encode_keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Rate:
    """Token bucket of one second."""

    def __init__(self, per_s):
        self.per_s = self.tokens = per_s
        self.at = time.monotonic()

    def take(self):
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Store:
    """The store. Nothing expires: a case is shorter than the retention of 300 s."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.locks = {}
        self.changed = asyncio.Condition()
        self.writes, self.reads = Rate(WRITES_PER_S), Rate(READS_PER_S)
        self.rejected_records = 0
        self.tasks = set()
        self.server = http1.Server(self.handle)

    async def start(self, ip):
        return await self.server.start(ip)

    def spawn(self, work):
        """Runs `work` beside the case, and keeps it from being collected before its end."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def put(self, topic, key, value):
        """Writes a key as the operator and the runners do. An empty value drops the key."""
        await self.store((topic, 0), [encode_keyed(key, value)])

    async def store(self, partition, records):
        stored = self.partitions.setdefault(partition, [])
        offset = len(stored)
        stored.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def handle(self, request, _reader, writer):
        await asyncio.sleep(ANSWER_S)
        status, body = await self.respond(request)
        writer.write(http1.encode_response(status, [("Content-Type", "application/json")], body))

    async def respond(self, request):
        rate = self.writes if request.method == "POST" else self.reads
        if not rate.take():
            return 429, b"{}"
        topic = request.query.get("topic", "")
        part = int(request.query.get("part", "0"))
        count = 1 if topic.startswith("keyed.") else PARTS
        if not topic or not 0 <= part < count:
            return 400, b"{}"
        if request.path == "/v1/log-append" and request.method == "POST":
            return await self.append(topic, part, request)
        if request.path == "/v1/log-read":
            return await self.read((topic, part), request)
        if request.path == "/v1/log-newest":
            return self.newest((topic, part), request)
        return 404, b"{}"

    async def append(self, topic, part, request):
        if topic in OPERATOR_TOPICS:
            return 403, b"{}"
        records, body = [], request.body
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + length])
            if len(records[-1]) != length:
                return 400, b'{"why":"framing"}'
            body = body[4 + length:]
        total = sum(map(len, records))
        if total > CALL_BYTES or any(len(record) > RECORD_BYTES for record in records):
            # The page names the limits and no status for a call beyond them.
            self.rejected_records += 1
            sizes = [len(record) for record in records]
            self.record(f"store: append to {topic}/{part} rejected, record sizes {sizes}")
            return 413, b'{"why":"size"}'
        lock = self.locks.setdefault((topic, part), asyncio.Lock())
        async with lock:
            await asyncio.sleep(APPEND_S)
            at = request.query.get("at")
            end = len(self.partitions.get((topic, part), []))
            if at is not None and int(at) != end:
                return 412, json.dumps({"end": end}).encode()
            offset = await self.store((topic, part), records)
        return 200, json.dumps({"offset": offset, "end": offset + len(records)}).encode()

    async def read(self, partition, request):
        start = int(request.query.get("from", "0"))
        wait_s = min(int(request.query.get("wait_ms", "0")), 30_000) / 1000
        max_bytes = int(request.query.get("max_kb", "1024")) * 1024
        if wait_s and len(self.partitions.get(partition, [])) <= start:
            await self.wait_for_record(partition, start, wait_s)
        stored = self.partitions.get(partition, [])
        body = len(stored).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in stored[start:]:
            if len(body) > 16 and len(body) + len(record) > max_bytes:
                break
            body += len(record).to_bytes(4, "big") + record
        return 200, body

    async def wait_for_record(self, partition, start, wait_s):
        def has_record():
            return len(self.partitions.get(partition, [])) > start

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(has_record), wait_s)
            except asyncio.TimeoutError:
                pass

    def newest(self, partition, request):
        stored = self.partitions.get(partition, [])
        newest = {}
        for offset, record in enumerate(stored):
            length = record[0]
            newest[record[1:1 + length].decode()] = (offset, record[1 + length:])
        after = request.query.get("after", "")
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items = [
            {"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        return 200, json.dumps({"items": items, "has_more": more, "end": len(stored)}).encode()
