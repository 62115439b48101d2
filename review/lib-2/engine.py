#!/usr/bin/env python3
"""Stand-in of an engine: one process that speaks HTTP/1.1 as the pages say. It runs requests for
tokens as event streams, and requests without `Tokens` as plain ones. It prints one line of JSON for
each request that it runs, and one when it is ready.

usage: engine.py --id ID [--port 0] [--slots 8] [--step 0.02] [--framing chunks|close]
                 [--trouble none|lines]
"""

import argparse
import asyncio
import json
import sys
import time

LINES = b"\n" * (32 << 10)
MAX_WAITING = 1 << 18


def say(**fields):
    print(json.dumps(fields | {"at": round(time.monotonic(), 3)}), flush=True)


class Connection(asyncio.Protocol):
    """Reads requests one after another, as a server does that keeps connections open."""

    def __init__(self, engine):
        self.engine, self.buffer, self.work, self.gone = engine, b"", None, asyncio.Event()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        self.next()

    def connection_lost(self, _why):
        self.gone.set()

    def next(self):
        if self.work is not None or self.gone.is_set():
            return
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        lines = head.decode("latin-1").split("\r\n")
        words = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(words) != 3 or len(rest) < length:
            if len(words) != 3:
                self.transport.close()
            return
        self.buffer = rest[length:]
        self.work = asyncio.ensure_future(
            self.engine.handle(words[0], words[1], headers, rest[:length], self))
        self.work.add_done_callback(self.done)

    def done(self, work):
        if not work.cancelled():
            work.exception()
        self.work = None
        self.next()

    def answer(self, status, body=b"", headers=()):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Engine:
    def __init__(self, arguments):
        self.id, self.step = arguments.id, arguments.step
        self.framing, self.trouble = arguments.framing, arguments.trouble
        self.places = asyncio.Semaphore(arguments.slots)
        self.most, self.held = 4 * arguments.slots, 0

    async def handle(self, method, target, headers, body, connection):
        request = headers.get("request-id", "")
        if target == "/health":
            return connection.answer(200, headers=[("Instance", self.id)])
        if headers.get("expect-instance", self.id) != self.id:
            return connection.answer(421, headers=[("Request-Id", request)])
        if not request:
            return connection.answer(400, headers=[("Not-Run", "1")])
        if self.held >= self.most:
            return connection.answer(503, headers=[("Not-Run", "1"), ("Request-Id", request)])
        self.held += 1
        try:
            async with self.places:
                if not connection.gone.is_set():
                    await self.run(method, target, headers, body, request, connection)
        finally:
            self.held -= 1

    async def run(self, method, target, headers, body, request, connection):
        after = int(headers.get("last-event-id") or 0)
        say(event="run", engine=self.id, request=request, method=method, target=target,
            after=after, body=len(body), tenant=headers.get("tenant"))
        head = [("Request-Id", request), ("Stamp", f"{self.id}.{request}")]
        if "tokens" not in headers:
            await asyncio.sleep(self.step)
            connection.answer(200, b"answer to " + request.encode(), head)
            return say(event="end", engine=self.id, request=request)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in head]
        if self.framing == "chunks":
            lines.append("Transfer-Encoding: chunked")
        connection.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if self.trouble == "lines":
            await self.send_lines(connection)
            return say(event="left", engine=self.id, request=request)
        for n in range(after + 1, int(headers["tokens"].split(",")[1]) + 1):
            await asyncio.sleep(self.step)
            if connection.gone.is_set():
                return say(event="left", engine=self.id, request=request, events=n - 1)
            event = f"id: {n}\ndata: {request}-{n}\n\n".encode()
            if self.framing == "chunks":
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            connection.transport.write(event)
        say(event="end", engine=self.id, request=request)
        if self.framing == "chunks":
            connection.transport.write(b"0\r\n\r\n")
        else:
            connection.transport.close()

    async def send_lines(self, connection):
        """Bytes that are no answer, without end, until the caller closes."""
        while not connection.gone.is_set():
            if connection.transport.get_write_buffer_size() < MAX_WAITING:
                data = LINES
                if self.framing == "chunks":
                    data = f"{len(LINES):x}\r\n".encode() + LINES + b"\r\n"
                connection.transport.write(data)
            await asyncio.sleep(0.002)


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--step", type=float, default=0.02)
    parser.add_argument("--framing", choices=("chunks", "close"), default="chunks")
    parser.add_argument("--trouble", choices=("none", "lines"), default="none")
    arguments = parser.parse_args()
    engine = Engine(arguments)
    server = await asyncio.get_running_loop().create_server(
        lambda: Connection(engine), "127.0.0.1", arguments.port)
    say(event="ready", engine=engine.id, port=server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
