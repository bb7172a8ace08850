"""A small HTTP/1.1 server and client for the stand-ins of the review scripts."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable", 507: "Insufficient Storage"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def encode(first_line, headers, body):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves `handler(request)`, which returns (status, body). The body is bytes or a JSON value.
    A handler that returns None leaves its request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, address, port):
        self.server = await asyncio.start_server(self._serve, address, port, limit=1 << 22)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    continue
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}",
                                    {"Content-Type": "application/json"}, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, port, method, path, host, body=None, deadline_ms=3000):
    """One request on a connection of its own. Returns (status, JSON value); status is None when
    no answer came in time."""
    content = b"" if body is None else json.dumps(body).encode()
    headers = {"Host": host, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms),
               "Connection": "close"}
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port)
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, content))
        return await read_message(reader)

    try:
        first, _, answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
        status = int(first.split(" ")[1])
        try:
            return status, json.loads(answer) if answer else {}
        except ValueError:
            return status, {}
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}
    finally:
        if writer is not None:
            writer.close()
