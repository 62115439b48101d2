#!/usr/bin/env python3
"""A randomized soak: real gateways on loopback before the stand-in of the platform, faults
drawn from a seed, and the promises checked by what callers and engines saw.

usage: soak/run.py BUILD_FOLDER [--seeds N] [--first SEED] [--seconds S] [--gateways N]
"""

import argparse
import asyncio
import concurrent.futures
import http.client
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "test"), str(ROOT / "soak")]

import gateways  # noqa: E402
import promises  # noqa: E402
import teams  # noqa: E402
from callers import Callers  # noqa: E402
from engine_faults import VERSIONS  # noqa: E402
from faults import Faults, Proxy, draw, host_options  # noqa: E402
from record import Record  # noqa: E402

ONLINE_CALLERS = 6
THREADS = 200
GRACE_MS = 4000
HEAL = 25  # seconds that accepted jobs may need once all has healed


async def play(fleet, proxy, seed, seconds):
    # Waits for processes take a thread each; with too few, the end of a fault waits for them.
    asyncio.get_running_loop().set_default_executor(concurrent.futures.ThreadPoolExecutor(THREADS))
    record, clock = Record(), time.monotonic
    callers = Callers(fleet, record, seed, clock)
    faults = Faults(fleet, proxy, record, clock, callers)
    traffic = [asyncio.ensure_future(callers.online()) for _ in range(ONLINE_CALLERS)]
    traffic += [asyncio.ensure_future(callers.jobs()), asyncio.ensure_future(callers.probes())]
    begun, struck = clock(), []
    for fault in draw(seed, seconds):
        await asyncio.sleep(max(0, begun + fault.at - clock()))
        struck.append(asyncio.ensure_future(faults.strike(fault)))
    await asyncio.sleep(max(0, begun + seconds - clock()))
    await asyncio.gather(*struck)
    await faults.heal()
    await finish(fleet, callers, record, traffic + faults.followers)
    return record


async def finish(fleet, callers, record, traffic):
    callers.submitting = False
    end = time.monotonic() + HEAL
    while time.monotonic() < end:
        await asyncio.sleep(0.5)
        ready = await asyncio.gather(*(asyncio.to_thread(is_ready, g) for g in fleet.gateways))
        record.all_ready = all(ready)
        done = [await callers.read_all(job) == len(job.outputs) for job in record.jobs
                if job.accepted and not job.end_asked]
        if record.all_ready and all(done):
            break
    callers.open = False
    await asyncio.gather(*traffic)
    for n in range(40):
        gateway = fleet.gateways[n % len(fleet.gateways)]
        request = await callers.ask(gateways.Connection(gateway.callers), gateway, "resumable")
        record.final.append(request.status if request.whole else 0)
    record.runs = await asyncio.to_thread(fleet.world.runs)
    record.memory_kb = {gateway.name: gateway.memory_kb() for gateway in fleet.gateways}


def is_ready(gateway):
    try:
        return gateway.ready()
    except (OSError, gateways.http.client.HTTPException):
        return False


class NotPlayed(Exception):
    """A seed that could not be started, or not be played to its end."""

    def __init__(self, why, folder):
        super().__init__(str(why))
        self.folder = folder


def run(build, seed, seconds, count=3):
    """The breaks of one seed, the record, and the folder of the logs. The last of `count`
    gateways reaches the store by way of the fault proxy. Raises NotPlayed."""
    fleet = gateways.Fleet(build, gateways=0, engines=4, services=2, seed=seed,
                           options=("--shutdown-grace-ms", str(GRACE_MS), *teams.OPTIONS))
    proxy = None
    try:
        engines = fleet.world.engines[:2]
        proxy = Proxy(fleet.build, [f"127.0.0.1:{port}" for port in engines] + [fleet.world.store])
        for index, link in enumerate(proxy.links[:-1]):
            fleet.world.do("engine", index=index, path=link)
        for i in range(count - 1):
            fleet.add(i, options=host_options(seed) if i == 0 else ())
        fleet.add(count - 1, store=proxy.links[-1])
        for index, version in enumerate(VERSIONS):
            fleet.world.do("engine", index=index, version=version)
        with fleet:
            teams.begin(fleet)
            record = asyncio.run(play(fleet, proxy, seed, seconds))
    except (AssertionError, OSError, ValueError, http.client.HTTPException) as problem:
        raise NotPlayed(problem, fleet.folder) from problem
    finally:
        if proxy:
            proxy.stop()
        fleet.__exit__(None)
    return promises.broken(record), record, fleet.folder


def regressions():
    """Seed and seconds of each line."""
    lines = (ROOT / "soak" / "regressions.txt").read_text().splitlines()
    words = [line.split() for line in lines if line and not line.startswith("#")]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in words]


def report(seed, seconds, breaks, record):
    served = sum(r.whole and r.status == 200 for r in record.requests)
    resumed = [r for r in record.requests if r.kind == "resumed"]
    streams = {r.stream for r in resumed}
    went_on = len({r.stream for r in resumed if r.got})
    accepted = sum(job.accepted for job in record.jobs)
    struck = " ".join(fault.kind for fault in draw(seed, seconds))
    print(f"seed {seed}: {served} of {len(record.requests)} requests served, "
          f"{went_on} of {len(streams)} resumed streams went on, {accepted} of "
          f"{len(record.jobs)} jobs accepted, {len(breaks)} promises broken ({struck})")
    for line in breaks[:20]:
        print(f"    {line}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--regressions", action="store_true", help="first those that ever failed")
    arguments = parser.parse_args()
    plan = [(seed, arguments.seconds)
            for seed in range(arguments.first, arguments.first + arguments.seeds)]
    if arguments.regressions:
        plan = regressions() + plan
    failed, not_played = [], []
    for seed, seconds in plan:
        try:
            breaks, record, folder = run(arguments.build, seed, seconds, arguments.gateways)
            report(seed, seconds, breaks, record)
            if breaks:
                failed.append(seed)
        except NotPlayed as problem:
            folder = problem.folder
            not_played.append(seed)
            print(f"seed {seed}: not played: {problem}")
        if seed in failed + not_played:
            print(f"    logs are in {folder}")
        sys.stdout.flush()
    kept = len(plan) - len(failed) - len(not_played)
    print(f"{kept} seeds kept all promises, {len(failed)} did not: {failed}, "
          f"{len(not_played)} could not be played: {not_played}")
    return 1 if failed or not_played else 0


if __name__ == "__main__":
    sys.exit(main())
