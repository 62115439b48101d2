"""Two of a zone's three machines are stopped in turn. As fewer than half of the zone's nodes are in
rotation then, the platform hands new connections to all of them again. The first machine passes
requests on to engines until three seconds before the end of its grace period, and cuts those streams
that last longer than that."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent / "lib"))

from harness import HOST, TERM, TROUBLE, Fleet, play  # noqa: E402

# SYSTEM.md: 35 events, pauses of up to 500 ms, deadline 5,000 ms, `timeoutMs` 5,000.
EVENTS, EVENT_MS, DEADLINE_MS = 35, 90, 5000
GRACE_S = 8  # `graceS`
REST_S = 1.0  # a process that has ended is started again "after a short delay"
GAP_S = 1.3  # site file: roll_term, share 0.45, x 1.0, gap_s 1.3
ZONE = "north-a"
STOPPED = [0, 1]  # 2 of 5 machines
PER_S = 12.0
LENGTH_S = 14
STOP_AT_S = 3.0


class Machine:
    """A gateway as the platform sees it."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.misses = 0
        self.rotation = True
        self.stopped_at = None

    async def probe(self):
        try:
            host, _, port = self.gateway.ready.rpartition(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            ready = line.split(b" ")[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            ready = False
        self.misses = 0 if ready else self.misses + 1
        self.rotation = self.misses < 2


class Balancer:
    """PROTOCOL.md, "Ingress": which node of the clients' zone gets a new connection."""

    def __init__(self, record, machines):
        self.record, self.machines, self.turn = record, machines, 0

    async def watch(self):
        while True:
            before = [machine.rotation for machine in self.machines]
            await asyncio.gather(*(machine.probe() for machine in self.machines))
            after = [machine.rotation for machine in self.machines]
            if after != before:
                names = [m.gateway.name for m in self.machines if m.rotation]
                self.record.write(f"in rotation: {', '.join(names) or 'none'}")
            await asyncio.sleep(1)

    def choose(self):
        """None: the nodes of the nearest zone are used, which this script doesn't play."""
        usable = [machine for machine in self.machines if machine.rotation]
        if not usable:
            return None
        if 2 * len(usable) < len(self.machines):
            usable = self.machines
        self.turn += 1
        return usable[self.turn % len(usable)]


class Attempt:
    def __init__(self, request, machine):
        self.request, self.machine = request, machine
        self.sent_at = self.ended_at = None
        self.status, self.body, self.whole, self.closed = 0, b"", False, False


async def attempt(record, tried):
    """One client attempt on a connection of its own."""
    host, _, port = tried.machine.gateway.front.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        record.write(f"{tried.request} no connection to {tried.machine.gateway.name}")
        return
    try:
        writer.write((f"POST /flags/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {tried.request}\r\n"
                      f"Model: m\r\nTokens: 450,{EVENTS}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                      "Content-Length: 3\r\n\r\nrye").encode())
        await writer.drain()
        tried.sent_at = time.monotonic()
        await asyncio.wait_for(read(reader, tried), DEADLINE_MS / 1000)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        tried.closed = True
    except asyncio.TimeoutError:
        pass
    finally:
        tried.ended_at = time.monotonic()
        writer.close()
    record.write(f"{tried.request} to {tried.machine.gateway.name}: status {tried.status}, "
                 f"{tried.body.count(b'id: ')} events, whole {tried.whole}, "
                 f"closed {tried.closed}, after {tried.ended_at - tried.sent_at:.2f} s")


async def read(reader, tried):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    tried.status = int(head[0].split(" ")[1])
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
    if "chunked" not in headers.get("transfer-encoding", ""):
        tried.body = await reader.readexactly(int(headers.get("content-length", 0)))
        tried.whole = True
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            tried.whole = True
            return
        tried.body += data[:-2]


async def stop_and_start(record, machine):
    """As the platform: SIGTERM, SIGKILL after `graceS`; a process that has ended starts again."""
    machine.stopped_at = time.monotonic()
    record.write(f"SIGTERM to {machine.gateway.name}")
    process = machine.gateway.process
    machine.gateway.signal(TERM)
    while process.poll() is None and time.monotonic() - machine.stopped_at < GRACE_S:
        await asyncio.sleep(0.02)
    machine.gateway.stop()
    record.write(f"{machine.gateway.name} ended with {process.returncode} "
                 f"{time.monotonic() - machine.stopped_at:.2f} s after its SIGTERM")
    await asyncio.sleep(REST_S)
    machine.gateway.start()


async def traffic(record, balancer):
    tasks, attempts = [], []
    end = time.monotonic() + LENGTH_S
    while time.monotonic() < end:
        machine = balancer.choose()
        if machine is not None:
            attempts.append(Attempt(f"flag{len(attempts)}", machine))
            tasks.append(asyncio.create_task(attempt(record, attempts[-1])))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    return attempts


async def day(record, fleet):
    machines = [Machine(g) for g in fleet.gateways if g.zone == ZONE]
    balancer = Balancer(record, machines)
    watch = asyncio.create_task(balancer.watch())
    stops = []

    async def roll():
        await asyncio.sleep(STOP_AT_S)
        for n in STOPPED:
            stops.append(asyncio.create_task(stop_and_start(record, machines[n])))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)

    rolling = asyncio.create_task(roll()) if TROUBLE else None
    attempts = await traffic(record, balancer)
    if rolling:
        await rolling
    watch.cancel()
    return attempts


def is_lost(tried, run):
    """RULES.md, LOST around a SIGTERM of the machine that took the request."""
    if tried.sent_at is None or tried.whole or not tried.closed or run is None:
        return False
    if tried.ended_at - tried.sent_at >= DEADLINE_MS / 1000:
        return False
    stopped = tried.machine.stopped_at
    if stopped is None:
        return not TROUBLE  # without the disruption nothing may be cut at all
    if not stopped <= tried.ended_at <= stopped + GRACE_S + 1:
        return False
    # "the engine was still at work in the last sixth of `graceS` on a request that was sent no later
    # than 3 s after the SIGTERM"
    late_work = (run["ended"] or tried.ended_at) >= stopped + GRACE_S * 5 / 6
    return not (late_work and tried.sent_at <= stopped + 3)


def case(record):
    fleet = Fleet(FOLDER.parent / "lib" / "users_world.py",
                  [ZONE, ZONE, ZONE, "north-b", "north-b"],
                  engines=8, places=8, event_ms=EVENT_MS)
    try:
        fleet.await_ready()
        attempts = asyncio.run(day(record, fleet))
        runs = {run["id"]: run for run in fleet.do("runs")}
    finally:
        fleet.stop()
    broken = []
    for tried in attempts:
        run = runs.get(tried.request)
        if not is_lost(tried, run):
            continue
        since = "" if tried.machine.stopped_at is None else (
            f", sent {tried.sent_at - tried.machine.stopped_at:.2f} s and cut "
            f"{tried.ended_at - tried.machine.stopped_at:.2f} s after the SIGTERM")
        broken.append(f"LOST: {tried.request} at {tried.machine.gateway.name}, run by "
                      f"{run['engine']}{since}")
    return broken


play(case, FOLDER)
