#!/usr/bin/env python3
"""The project's stand-in of the users' platform, with the limits of the store that PROTOCOL.md
gives, and with engines whose events have a size and a rate.

usage: users_world.py [--engines 4] [--places 8] [--services 1] [--seed 1] [--event-ms 4]
                [--event-bytes 0] [--catch-all 0]
"""

import argparse
import asyncio
import base64
import json
import pathlib
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parents[2] / "platform" / "standin"))

import engine  # noqa: E402
import store  # noqa: E402
import world  # noqa: E402
from http_server import answer  # noqa: E402

# PROTOCOL.md: "A call holds at most 100 entries and at most 1 MB."
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
# `rowBytes` of the settings: "`value` (base64 of at most `rowBytes`)".
ROW_BYTES = 65_536
# PROTOCOL.md names no status for a call beyond these limits.
TOO_LARGE = 413


class LateWriter:
    """Holds an answer back. What the store does is done before its answer is late."""

    def __init__(self, writer):
        self.held, self.transport = b"", writer.transport

    def write(self, data):
        self.held += data


class BoundedStore(store.Store):
    """Refuses calls beyond the limits; nothing of them is done."""

    def __init__(self, source):
        super().__init__(source)
        self.refused = []

        self.slow_s = 0.0  # by how much each answer is late

    async def handle(self, request, writer, gone):
        if self.slow_s == 0.0:
            return await super().handle(request, writer, gone)
        late = LateWriter(writer)
        await super().handle(request, late, gone)
        await asyncio.sleep(self.slow_s)
        writer.write(late.held)

    def excess(self, request):
        entries = json.loads(request.body)
        count = sum(len(entries.get(name, [])) for name in ("expectedRev", "puts", "removes"))
        if count > MAX_ENTRIES:
            return f"{count} entries"
        if len(request.body) > MAX_CALL_BYTES:
            return f"a call of {len(request.body)} bytes"
        for put in entries.get("puts", []):
            size = len(base64.b64decode(put["value"]))
            if size > ROW_BYTES:
                return f"a row of {size} bytes in {put['table']}"
        return None

    async def commit(self, request, query, gone):
        why = self.excess(request)
        if why is None:
            return await super().commit(request, query, gone)
        self.refused.append(why)
        return answer(TOO_LARGE)


class Engine(engine.Engine):
    """Records when requests reach it; when a run begins is in the runs."""

    async def handle(self, request, writer, gone):
        self.world.arrivals.append({"id": request.header("Request-Id"), "engine": self.id,
                                    "at": time.monotonic()})
        await super().handle(request, writer, gone)


class World(world.World):
    def __init__(self, arguments):
        super().__init__(arguments)
        self.arrivals = []
        self.store = BoundedStore(self.source)
        self.without = []  # prefixes of routes that the operator has removed

    def configure(self):
        """As the project's stand-in, with the routes that the script asks for."""
        version = super().configure()
        row = self.store.rows[("op", "", "config")]
        config = json.loads(base64.b64decode(row["value"]))
        if self.arguments.catch_all:
            config["routes"].append(world.route("rest", "/", "safe", "app", maxAttempts=3))
        config["routes"] = [each for each in config["routes"]
                            if each["pathPrefix"] not in self.without]
        row["value"] = base64.b64encode(json.dumps(config).encode()).decode()
        return version

    async def do(self, order):
        if order["do"] == "configure":
            self.without = order.get("without", [])
        if order["do"] == "arrivals":
            return self.arrivals
        if order["do"] == "slow":
            self.store.slow_s = order["seconds"]
            return {}
        if order["do"] == "refused":
            return self.store.refused
        if order["do"] == "busy":
            return sum(each.running + len(each.queue) for each in self.engines)
        return await super().do(order)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--places", type=int, default=8)
    parser.add_argument("--services", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--event-ms", type=float, default=4)
    parser.add_argument("--event-bytes", type=int, default=0)
    parser.add_argument("--catch-all", type=int, default=0)
    arguments = parser.parse_args()
    engine.STEP = arguments.event_ms / 1000
    plain = engine.events_of
    engine.events_of = lambda request_id, count, version: [
        text.ljust(arguments.event_bytes, "x") for text in plain(request_id, count, version)]
    world.Engine = Engine
    loop = asyncio.new_event_loop()
    played = World(arguments)
    loop.run_until_complete(played.start())
    loop.run_forever()


if __name__ == "__main__":
    sys.exit(main())
