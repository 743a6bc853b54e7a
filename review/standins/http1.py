"""Minimal HTTP/1.1 for the stand-ins: reading messages, a server, and a kept client channel."""

import asyncio
import time

# Callers use channels again that were idle for up to four fifths of `idle_timeout_ms`.
MAX_IDLE_S = 12.0


class Closed(Exception):
    """The peer closed or reset the connection before the end of a message."""


class Head:
    """Start line and headers of a message. Header names are in lower case."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from None


async def read_chunks(reader, head):
    """Yields the parts of a body. Raises `Closed` if the body ends early."""
    try:
        if "chunked" in head.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield data[:-2]
        else:
            length = int(head.get("content-length", "0"))
            if length:
                yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(str(error)) from None


async def read_body(reader, head):
    return b"".join([part async for part in read_chunks(reader, head)])


def encode_response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Request:
    """A request that a server has read completely."""

    def __init__(self, head, body, peer):
        self.method, self.target = head.start[0], head.start[1]
        self.head, self.body, self.peer = head, body, peer
        self.path, _, query = self.target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


class Server:
    """Serves `handle(request, reader, writer)` on a loopback address; one task a connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=8 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                request = Request(head, body, writer.get_extra_info("peername"))
                await self.handle(request, reader, writer)
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Closes the listener and resets all connections, as if the process had crashed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Answer:
    """What a caller has received in answer to one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        # Whether the whole answer arrived: with its length, or with the last chunk.
        self.is_complete = False
        self.error = None
        self.sent_at = self.ended_at = None

    def outcome(self):
        if self.status is None:
            return f"no answer ({self.error})"
        whole = "whole" if self.is_complete else f"broken off ({self.error})"
        return f"{self.status}, {whole}, {len(self.body)} B"


class Channel:
    """A caller's kept channel to one address."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        # Requests that were answered whole on this channel.
        self.answered = 0
        self.idle_since = 0.0

    async def request(self, method, path, headers, body=b"", timeout=10.0):
        """Sends one request and reads its answer. The channel is kept while both sides allow it."""
        if time.time() - self.idle_since > MAX_IDLE_S:
            self.close()
        answer = Answer()
        answer.sent_at = time.time()
        try:
            await asyncio.wait_for(self.exchange(method, path, headers, body, answer), timeout)
        except asyncio.TimeoutError:
            answer.error = f"the caller left after {timeout} s"
        except (Closed, OSError) as error:
            answer.error = f"channel closed: {error}"
        answer.ended_at = self.idle_since = time.time()
        if not answer.is_complete or "close" in answer.headers.get("connection", "").lower():
            self.close()
        else:
            self.answered += 1
        return answer

    async def exchange(self, method, path, headers, body, answer):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address, limit=8 << 20)
            self.answered = 0
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines + ["", ""]).encode("latin-1") + body)
        head = await read_head(self.reader)
        answer.status = int(head.start[1])
        answer.headers = head.headers
        async for part in read_chunks(self.reader, head):
            answer.body += part
        answer.is_complete = True

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
