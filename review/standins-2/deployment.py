"""A small deployment on loopback for the cases 6 to 10: a store, runners, clients, and the project's gateways.

Everything but the gateways runs in this process. Each gateway has a store port of its own, so that the store can
turn one of them away and serve the others, as PROTOCOL.md names it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "desk.example"
ENGINE, PLAIN = "engine-1", "ledger-1"
STRIDE = 8


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_ports(ip, count):
    """Returns free ports of `ip`, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(12000, 31000)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((ip, port))
                udp.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """Reads a head; returns its first line and its headers with lowercase names, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    return lines[0].decode("latin-1"), headers


async def read_body(reader, headers):
    """Reads the body of a request, or of a response with a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def abort(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store: topics of records, and keyed topics with the newest record of each key."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.changed = asyncio.Condition()
        self.retention_s = None
        self.troubles = {}
        self.channels = {}
        self.silent = set()
        self.answer_s = 0.0

    def silence(self):
        """Lets all channels that are open now go silent for good, without a reset; new ones work."""
        for name, channels in self.channels.items():
            self.record(f"{len(channels)} open channels of {name} to the store go silent")
            self.silent |= channels

    async def listen(self, name):
        """Serves the gateway `name` at a port of its own; returns the port."""
        server = await asyncio.start_server(lambda r, w: self.serve(name, r, w), "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def first(self, rows):
        if self.retention_s is None:
            return 0
        limit = time.monotonic() - self.retention_s
        count = 0
        while count < len(rows) and rows[count][0] < limit:
            count += 1
        return count

    async def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        await self.append((topic, 0), [bytes([len(name)]) + name + data])

    async def append(self, place, records):
        rows = self.partitions.setdefault(place, [])
        offset = len(rows)
        now = time.monotonic()
        rows.extend((now, row) for row in records)
        async with self.changed:
            self.changed.notify_all()
        return offset, len(rows)

    async def serve(self, name, reader, writer):
        channels = self.channels.setdefault(name, set())
        channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if writer in self.silent:
                    continue
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                trouble = self.troubles.get(name)
                action = trouble(method, url.path, query) if trouble else None
                if action == "reset":
                    abort(writer)
                    return
                if action == "silent":
                    await asyncio.sleep(3600)
                if action in ("503", "429"):
                    status, kind, data = int(action), "application/json", b"{}"
                else:
                    if isinstance(action, tuple) and action[0] == "late":
                        # Done later, and not answered.
                        asyncio.get_running_loop().create_task(self.later(action[1], url.path, query, body))
                        await asyncio.sleep(3600)
                    delay = action if isinstance(action, (int, float)) else self.answer_s
                    if delay:
                        await asyncio.sleep(delay)
                    status, kind, data = await self.handle(url.path, query, body)
                    if action == "lost":
                        await asyncio.sleep(3600)
                if writer in self.silent:
                    continue
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            channels.discard(writer)
            writer.close()

    async def later(self, delay, path, query, body):
        await asyncio.sleep(delay)
        await self.handle(path, query, body)

    async def handle(self, path, query, body):
        place = (query.get("topic", ""), int(query.get("part", "0")))
        rows = self.partitions.setdefault(place, [])
        is_keyed = place[0].startswith("keyed.")
        if path == "/v1/log-append":
            records, at = [], 0
            while at < len(body):
                size = struct.unpack(">I", body[at : at + 4])[0]
                records.append(body[at + 4 : at + 4 + size])
                at += 4 + size
            offset, end = await self.append(place, records)
            return 200, "application/json", json.dumps({"offset": offset, "end": end}).encode()
        if path == "/v1/log-read":
            start = int(query.get("from", "0"))
            deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                first = 0 if is_keyed else self.first(rows)
                if start < first:
                    return 410, "application/json", json.dumps({"first": first}).encode()
                left = deadline - time.monotonic()
                if len(rows) > start or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            data, size = struct.pack(">QQ", len(rows), first), 0
            for _, row in rows[start:]:
                if size and size + len(row) > int(query.get("max_kb", "1024")) * 1024:
                    break
                size += len(row) + 4
                data += struct.pack(">I", len(row)) + row
            return 200, "application/octet-stream", data
        if path == "/v1/log-newest":
            newest = {}
            for offset, (_, row) in enumerate(rows):
                key = row[1 : 1 + row[0]].decode("utf-8", "replace")
                newest[key] = (offset, row[1 + row[0] :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value and key > query.get("after", "")
            ]
            page = {"items": items[:500], "has_more": len(items) > 500, "end": len(rows)}
            return 200, "application/json", json.dumps(page).encode()
        return 404, "application/json", b"{}"


class Runner:
    """A runner. `answer` is a coroutine that answers one request; the default is a sound runner's answer."""

    def __init__(self, deployment, service, name, slots=16):
        self.deployment = deployment
        self.service = service
        self.name = name
        self.slots = slots
        self.answer = self.sound_answer
        self.sequence = 0
        self.runs = []
        self.is_listed = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.pause_s = 0.02
        self.events = 4
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.task = asyncio.create_task(self.beats())

    async def beat(self):
        if not self.is_listed:
            return
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": "north-a", "version": "v1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born,
        }
        await self.deployment.store.put("keyed.servers", self.name, entry)

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    def stop(self):
        """Ends the runner: its requests, its channels and its reports."""
        self.server.close()
        self.task.cancel()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note_run(self, line, headers, body):
        request = headers.get("request-id", "")
        self.runs.append((time.monotonic(), request, line, headers, body))
        self.deployment.record(f"runner {self.name} runs {request} {line.split(' ')[0]} body={len(body)}")

    async def sound_answer(self, line, headers, body, writer):
        """Runs a request and answers it; returns whether the channel stays open."""
        target = headers.get("target-instance")
        if target not in (None, self.name):
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.note_run(line, headers, body)
        request = headers.get("request-id", "")
        if self.service == ENGINE:
            await self.stream(request, writer)
        else:
            await asyncio.sleep(self.pause_s)
            data = f"{self.name} has run {request}".encode()
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data
            )
            await writer.drain()
        return True

    async def stream(self, request, writer, events=None):
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, (events or self.events) + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """What a client has received."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.error = None, {}, b"", False, None
        self.took = 0.0

    def __str__(self):
        whole = "whole" if self.is_whole else "not whole"
        return f"status={self.status} body={len(self.body)} {whole} error={self.error} took_s={self.took:.3f}"


class Client:
    """A client's channel, which is kept for many requests."""

    def __init__(self, deployment, address):
        self.deployment, self.address = deployment, address
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 24), 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, headers, body=b"", timeout=10.0, name="client"):
        """Sends a request and reads its answer."""
        answer = Answer()
        start = time.monotonic()
        request = headers.get("Request-Id")
        self.deployment.record(f"{name} sends {request} {method} {path} to {self.address[0]}")
        try:
            await asyncio.wait_for(self.exchange(method, path, headers, body, answer), timeout)
        except asyncio.TimeoutError:
            answer.error = "timeout"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            answer.error = answer.error or type(error).__name__
        answer.took = time.monotonic() - start
        if answer.error or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.deployment.record(f"{name} gets {request} {answer}")
        return answer

    async def exchange(self, method, path, headers, body, answer):
        if self.writer is None:
            await self.open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        head = await read_head(self.reader)
        if head is None:
            answer.error = "closed"
            return
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await self.reader.readuntil(b"\r\n")), 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        else:
            left = int(answer.headers.get("content-length", "0"))
            while left:
                data = await self.reader.read(left)
                if not data:
                    answer.error = "closed"
                    return
                answer.body += data
                left -= len(data)
        answer.is_whole = True


class Gateway:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, deployment, number, memory_mb=130):
        self.deployment, self.number, self.memory_mb = deployment, number, memory_mb
        self.name = f"front-north-a-{number}"
        # Two gateways can't start at one address, even with other ports; scripts may run side by side.
        self.ip = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{10 + number}"
        self.process = None
        self.ports = None

    async def start(self, bootstrap=True):
        if self.ports is None:
            self.ports = free_ports(self.ip, 4)
            self.store_port = await self.deployment.store.listen(self.name)
        front, ready, control, link = self.ports
        path = os.path.join(self.deployment.folder, f"{self.name}.yaml")
        settings = {
            "node_name": self.name, "role": "gateway", "machine_class": "front", "serves": ["front"], "ip": self.ip,
            "zone": "north-a", "region": "north", "zones": {"north-a": "north"},
            "listen_addrs": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}"},
            "internal_ports": [link, link], "seed_nodes": [], "bootstrap": bootstrap,
            "limits": {"cpu_share": 0.5, "cpu_cores": 1, "memory_mb": self.memory_mb, "max_fds": 8200},
            "data_dir": None, "discovery": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
            "bounds": self.deployment.bounds,
            "platform": dict(self.deployment.platform, address=f"127.0.0.1:{self.store_port}"),
        }
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["FLAMINGOTRAIL_SETTINGS"] = path
        self.process = subprocess.Popen(
            ["target/release/flamingotraild", "--role", "gateway"], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.deployment.record(f"start {self.name} pid={self.process.pid}")
        await self.wait_until_ready()

    async def is_ready(self):
        client = Client(self.deployment, (self.ip, self.ports[1]))
        answer = Answer()
        try:
            await asyncio.wait_for(client.exchange("GET", "/v1/ready", {}, b"", answer), 0.5)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        client.close()
        return answer.status == 200

    async def wait_until_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                lines = " | ".join(self.log().splitlines()[-3:])
                raise RuntimeError(f"{self.name} has ended with {self.process.returncode}: {lines}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    @property
    def address(self):
        return (self.ip, self.ports[0])

    def client(self):
        return Client(self.deployment, self.address)

    def signal(self, number):
        self.deployment.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) / 1000 for line in file if line.startswith("VmHWM"))

    def log(self):
        with open(os.path.join(self.deployment.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Deployment:
    """All parts; `close` ends every process that was started."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(record)
        self.gateways, self.runners = [], []
        self.bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "drain_ms": 3000,
            "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250,
            "max_stretch_ms": 6000, "recover_s": 12,
        }
        self.platform = {
            "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
            "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
            "retention_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
        }
        self.version = 0
        self.retention_s = 60.0

    def config(self, **changes):
        """The operator's configuration, like that of a small site."""
        self.version += 3
        stream = {
            "hostname": HOST, "route_type": "streaming", "timeout_ms": 4000, "target_latency_ms": 400, "priority": 0,
            "service": ENGINE, "max_attempts": 2, "retain": True, "retention_s": self.retention_s,
            "sticky_sessions": True, "resumable": False, "gap_aim_ms": 200,
        }
        plain = {"hostname": HOST, "target_latency_ms": 400, "priority": 2, "service": PLAIN}
        config = {
            "version": self.version,
            "routes": [
                dict(stream, name="r-turn", path_prefix="/turn/"),
                dict(plain, name="r-safe", path_prefix="/safe/", route_type="safe", timeout_ms=2000, max_attempts=2),
                dict(plain, name="r-unsafe", path_prefix="/unsafe/", route_type="unsafe", timeout_ms=3000, max_attempts=1),
            ],
            "services": [
                {"name": ENGINE, "health_path": "/health", "max_conns": 180, "protocol": "h1", "tls": False,
                 "engine": {"slots": 16, "kv_capacity": 114805, "event_stride": STRIDE, "models": [{"name": "m"}]}},
                {"name": PLAIN, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        }
        for name, value in changes.items():
            for route in config["routes"]:
                if route["name"] == "r-" + name:
                    route.update(value)
        return config

    async def publish(self, config):
        await self.store.put("keyed.op", "config", config)
        self.record(f"operator publishes version {config['version']}")

    async def start(self, gateways=2, engines=2, plain=2, memory_mb=130, config=None):
        await self.publish(config or self.config())
        for number in range(engines):
            self.runners.append(Runner(self, ENGINE, f"i-engine{number}"))
        for number in range(plain):
            self.runners.append(Runner(self, PLAIN, f"i-ledger{number}", slots=6))
        for runner in self.runners:
            await runner.start()
        self.gateways = [Gateway(self, number + 1, memory_mb) for number in range(gateways)]
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.sleep(1.5)

    def engines(self):
        return [runner for runner in self.runners if runner.service == ENGINE]

    def ledgers(self):
        return [runner for runner in self.runners if runner.service == PLAIN]

    def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return "%016x" % random.getrandbits(64)


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case, limit_s=110):
    """Runs `case(deployment, record)`, which returns what was seen of a broken rule; exits as a case has to."""
    record = Record(os.path.join(folder, "record.txt"))
    record(f"TROUBLE={'1' if is_troubled() else '0'}")

    async def play():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record), limit_s)
        finally:
            deployment.close()

    try:
        broken = asyncio.run(play())
    except Exception as error:  # The case could not run.
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
