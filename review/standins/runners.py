"""Stand-ins for runners, after PROTOCOL.md: a model runner that streams, and a plain service."""

import asyncio
import json
import secrets

import http1

EVENT_STRIDE = 8
HEARTBEAT_S = 1.2
SILENT_BEATS = 3


class Run:
    """One run of a request at a runner."""

    def __init__(self, request):
        self.id = request.head.get("request-id", "")
        self.path = request.path
        self.body = request.body


class Runner:
    """What both kinds share: the entry in the store, and the checks before a run."""

    def __init__(self, store, record, service, zone, slots):
        self.store, self.record = store, record
        self.service, self.zone, self.slots = service, zone, slots
        self.id = None
        self.server = None
        self.active = 0
        self.runs = []

    async def start(self, ip):
        """Starts with a new id and port, and registers."""
        self.id = f"i-{secrets.token_hex(4)}"
        self.server = http1.Server(self.handle)
        address = await self.server.start(ip)
        entry = {
            "service": self.service,
            "address": f"{address[0]}:{address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        await self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self):
        """Ends like a crashed process. Its entry is removed after three reports of silence."""
        old = self.id
        self.server.reset()

        async def remove_entry():
            await asyncio.sleep(HEARTBEAT_S * SILENT_BEATS)
            await self.store.put("keyed.servers", old, b"")

        self.store.spawn(remove_entry())

    def load(self):
        return f"{min(self.active, self.slots)},{max(self.active - self.slots, 0)},{self.slots}"

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            writer.write(http1.encode_response(200, [("Instance-Id", self.id)]))
            return
        request_id = request.head.get("request-id", "")
        target = request.head.get("target-instance")
        if target is not None and target != self.id:
            writer.write(http1.encode_response(421, [("Instance-Id", self.id)]))
            return
        if not request_id:
            writer.write(http1.encode_response(400, [("Not-Executed", "1")]))
            return
        self.active += 1
        try:
            await self.run(request, reader, writer)
        finally:
            self.active -= 1

    def answer_headers(self, request_id):
        return [
            ("Request-Id", request_id),
            ("Response-Signature", f"{self.id}.{request_id}"),
            ("Server-Load", self.load()),
            ("Keep-Alive", "timeout=30"),
        ]


class ModelRunner(Runner):
    """Streams as many tokens as the request allows, in events of `EVENT_STRIDE` tokens.

    `event_text` gives the data of an event; `pause_s` is the time between two events.
    """

    def __init__(self, store, record, service, zone, event_text, pause_s):
        super().__init__(store, record, service, zone, slots=16)
        self.event_text, self.pause_s = event_text, pause_s

    async def run(self, request, reader, writer):
        run = Run(request)
        self.runs.append(run)
        self.record(f"runner {self.id}: runs {run.id}, body {len(run.body)} B")
        tokens = int(request.head.get("token-usage", "0,80").split(",")[1])
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.answer_headers(run.id)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, tokens // EVENT_STRIDE + 1):
            if writer.is_closing() or reader.at_eof():
                # Most runners drop a request when its channel closes.
                raise http1.Closed("the sender left")
            event = f"id: {number}\ndata: {self.event_text(number)}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if self.pause_s:
                await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class PlainRunner(Runner):
    """A plain service: runs a request for `work_s`, and answers with a short body.

    A request for which `crashes(run)` is true ends the process as it begins to run; the runner is
    back after `away_s` with a new id.
    """

    def __init__(self, store, record, service, zone, ip, crashes, away_s, work_s=0.03):
        super().__init__(store, record, service, zone, slots=6)
        self.ip, self.crashes, self.away_s, self.work_s = ip, crashes, away_s, work_s

    async def run(self, request, _reader, writer):
        run = Run(request)
        self.runs.append(run)
        if self.crashes(run):
            self.record(f"runner {self.id}: runs {run.id} {run.path}, and crashes")
            self.store.spawn(self.crash_and_return())
            raise http1.Closed("crashed")
        self.record(f"runner {self.id}: runs {run.id} {run.path}")
        await asyncio.sleep(self.work_s)
        body = f"done {run.id}".encode()
        writer.write(http1.encode_response(200, self.answer_headers(run.id), body))

    async def crash_and_return(self):
        self.crash()
        await asyncio.sleep(self.away_s)
        await self.start(self.ip)
        self.record(f"runner {self.id}: back")
