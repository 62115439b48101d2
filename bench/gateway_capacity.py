#!/usr/bin/env python3
"""What gateways cost: processor time, memory and bytes between them, idle and under load,
by how many there are. Real processes on loopback before the stand-in of the platform.

usage: bench/gateway_capacity.py BUILD_FOLDER [--gateways 2,6,12] [--seconds 8]
"""

import argparse
import asyncio
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

import gateways  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
CALLERS = 4  # to each gateway, one request after another


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def megabytes(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def metric(gateway, name):
    text = gateways.call(gateway.metrics, "GET", "/metrics")[2].decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith(name) and not line.startswith("#"))


def sample(fleet):
    return [(processor_seconds(g.process.pid), metric(g, "figmill_peer_bytes_total"),
             metric(g, "figmill_peer_datagrams_total"), metric(g, "figmill_requests_total"))
            for g in fleet.gateways]


def show(what, fleet, before, seconds):
    rows = [[(b - a) / seconds for a, b in zip(old, new)]
            for old, new in zip(before, sample(fleet))]
    mean = [sum(column) / len(rows) for column in zip(*rows)]
    memory = max(megabytes(g.process.pid) for g in fleet.gateways)
    per_request = f", {1e6 * mean[0] / mean[3]:.0f} us a request" if mean[3] > 1 else ""
    print(f"{len(fleet.gateways):3} gateways {what:5}: {100 * mean[0]:5.2f}% of a core, "
          f"{memory:5.1f} MB, {mean[1] / 1000:6.2f} kB/s in {mean[2]:5.1f} datagrams/s, "
          f"{mean[3]:5.1f} requests/s{per_request}", flush=True)


async def caller(gateway, name, until):
    connection, n = gateways.Connection(gateway.callers), 0
    while time.monotonic() < until:
        n += 1
        await connection.request("POST", "/notes/1", {
            "Request-Id": f"{name}-{n}", "Model": "m", "Tokens": "10,20", "Deadline-Ms": 3000})


async def load(fleet, seconds):
    until = time.monotonic() + seconds
    await asyncio.gather(*(caller(gateway, f"{gateway.name}-{i}", until)
                           for gateway in fleet.gateways for i in range(CALLERS)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--gateways", default="2,6,12")
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    for count in map(int, arguments.gateways.split(",")):
        with gateways.Fleet(arguments.build, gateways=count, engines=2 * count, services=1) as fleet:
            before = sample(fleet)
            time.sleep(arguments.seconds)
            show("idle", fleet, before, arguments.seconds)
            before = sample(fleet)
            asyncio.run(load(fleet, arguments.seconds))
            show("busy", fleet, before, arguments.seconds)


if __name__ == "__main__":
    sys.exit(main())
