#!/usr/bin/env python3
"""Measures how fast accepted orders are in force everywhere, with real processes.

usage: test/spread.py BUILD_FOLDER [--agents 100] [--entries 4] [--loss 0.2]

Four operators race 50 orders on few subjects, each operator at an entry of its
own, while the given share of all datagrams is lost. Every process is asked for
its place in the log all the time. Times are from the tool's answer to the first
sight of the last process at that place, so they include the asking.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "bench"))
import capacity  # noqa: E402  the path is set above

ORDERS = 50
OPERATORS = 4
SUBJECTS = 6
LOST_RACE = 4  # the tool's exit code for a conflict
IN_FORCE_SECONDS = 60  # after which an order counts as never in force


class Watch:
    """First sight of each sequence at each process, and any fall."""

    def __init__(self, members):
        self.members = members
        self.at = collections.defaultdict(int)
        self.seen = {}  # (member, sequence) -> time
        self.fallen = 0
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(8)]
        for thread in self.threads:
            thread.start()

    def run(self, part):
        mine = self.members[part::8]
        while not self.over.is_set():
            for member in mine:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.look(member["address"])

    def look(self, address):
        sequence = int(capacity.metric(address, "figmill_control_sequence"))
        now = time.monotonic()
        self.fallen += sequence < self.at[address]
        for reached in range(self.at[address] + 1, sequence + 1):
            self.seen[address, reached] = now
        self.at[address] = max(self.at[address], sequence)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def order(build, entry, operator, number):
    team = f"team-{number % SUBJECTS}"
    statement = f'set limit team "{team}" requests {number + 1}'
    done = subprocess.run(
        [f"{build}/figmill", "--entry", entry, "--author", f"operator-{operator}", "--json",
         "-c", statement], capture_output=True, text=True, check=False)
    answer = json.loads(done.stdout) if done.returncode == 0 else None
    return done.returncode, answer, time.monotonic()


def operate(build, entry, operator):
    return [order(build, entry, operator, number)
            for number in range(operator, ORDERS, OPERATORS)]


def sequence_in(answer):
    return answer["sequence"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("build")
    parser.add_argument("--agents", type=int, default=100)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--loss", type=float, default=0.2)
    options = parser.parse_args()
    lossy = pathlib.Path(options.build).resolve() / "test" / "liblossy_datagrams.so"
    os.environ.update(LD_PRELOAD=str(lossy), FIGMILL_TEST_LOSS=str(options.loss))
    fleet = capacity.Fleet(options.build, options.entries, options.agents)
    for name in ("LD_PRELOAD", "FIGMILL_TEST_LOSS"):
        del os.environ[name]
    with fleet:
        members = fleet.all("entries") + fleet.all("agents")
        watch = Watch(members)
        entries = [each["address"] for each in fleet.all("entries")]
        with concurrent.futures.ThreadPoolExecutor(OPERATORS) as pool:
            done = [each for part in pool.map(
                lambda i: operate(options.build, entries[i % len(entries)], i), range(OPERATORS))
                for each in part]
        accepted = {sequence_in(answer): at for code, answer, at in done if code == 0}
        deadline = time.monotonic() + IN_FORCE_SECONDS
        while (min(watch.at[each["address"]] for each in members) < max(accepted)
               and time.monotonic() < deadline):
            time.sleep(0.05)
        watch.stop()
    codes = collections.Counter(code for code, _, _ in done)
    times = sorted(max(watch.seen.get((each["address"], sequence), float("inf"))
                       for each in members) - at for sequence, at in accepted.items())
    print(json.dumps({
        "members": len(members), "loss": options.loss, "accepted": len(accepted),
        "told_they_lost": codes[LOST_RACE],
        "other_refusals": sum(n for code, n in codes.items() if code not in (0, LOST_RACE)),
        "reverts": watch.fallen,
        "in_force_seconds": {"median": times[len(times) // 2], "worst": times[-1]},
    }, indent=2))


if __name__ == "__main__":
    main()
