#!/usr/bin/env python3
"""Tells from the logs of gateways where requests and items of a day were lost, and when.

Reads lines of `figmilld gateway` (of any number of processes, each with the time of the day in
seconds and the process's name before it, as a log collector writes them), and prints

  online   what became of tries, by second: placed at once, after a wait, refused
  refusals when callers were told, and when to come back
  places   how many ran online and batch, by second
  batch    of the items that were accepted: in time, late by what they had got before they were due

usage: bench/worst_load.py LOG [--goal-ms 300] [--due-s 18] [--until S]
"""

import argparse
import collections
import re
import statistics

LINE = re.compile(r"\s*([\d.]+) (\S+) \S+ \w event=(\w+) (.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
WANTED = {"request", "placed", "job_owned", "item_run", "item_stopped", "item_finished"}
# A wait for a place that is worth a column. Unit: ms.
LONG_WAIT_MS = 50


def events(path):
    with open(path, errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if match and match[3] in WANTED:
                fields = {name: value.strip('"') for name, value in FIELD.findall(match[4])}
                yield float(match[1]), match[3], fields


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


class Day:
    def __init__(self, path):
        self.tries = []  # (arrival, fields) of those that had a route
        self.placed = collections.defaultdict(list)  # request: times
        self.jobs = {}  # job: when it was first owned
        self.items = collections.defaultdict(list)  # (job, item): (time, event, fields)
        self.ended = 0.0
        for at, event, fields in events(path):
            self.ended = at
            if event == "request" and "route" in fields:
                self.tries.append((at - int(fields["ms"]) / 1000, fields))
            elif event == "placed":
                self.placed[fields["request"]].append(at)
            elif event == "job_owned":
                self.jobs.setdefault(fields["job"], at)
            elif event.startswith("item_"):
                self.items[(fields["job"], fields["item"])].append((at, event, fields))

    def runs(self, key):
        """(start, end, whole) of an item's runs; one whose end nobody saw lasts to the next."""
        begun = None
        for at, event, fields in sorted(self.items[key], key=lambda each: each[0]):
            if event == "item_run":
                if begun is not None:
                    yield begun, at, False
                begun = at
            elif begun is not None:
                yield begun, at, event == "item_finished" and fields["state"] == "complete"
                begun = None
        if begun is not None:
            yield begun, self.ended, False


def tell_online(day, until):
    print("second  tries  at once  waited  refused  online  batch")
    change = collections.Counter()
    for arrival, fields in day.tries:
        sends = day.placed.get(fields["request"])
        if sends:
            change[(sends[-1], "online")] += 1
            change[(arrival + int(fields["ms"]) / 1000, "online")] -= 1
    for key in day.items:
        for start, end, _ in day.runs(key):
            change[(start, "batch")] += 1
            change[(end, "batch")] -= 1
    in_use, steps = collections.Counter(), sorted(change.items())
    by_second = collections.defaultdict(list)
    for arrival, fields in day.tries:
        by_second[int(arrival)].append((arrival, fields))
    for second in range(int(until)):
        while steps and steps[0][0][0] < second + 0.5:
            (_, work), by = steps.pop(0)
            in_use[work] += by
        count = collections.Counter()
        for arrival, fields in by_second[second]:
            sends = day.placed.get(fields["request"])
            if fields["outcome"] == "refused" and not sends:
                count["refused"] += 1
            elif sends:
                long = (sends[0] - arrival) * 1000 > LONG_WAIT_MS
                count["waited" if long else "at once"] += 1
        print(f"{second:6} {len(by_second[second]):6} {count['at once']:8} {count['waited']:7} "
              f"{count['refused']:8} {in_use['online']:7} {in_use['batch']:6}")


def tell_refusals(day, goal_ms):
    refused = [fields for _, fields in day.tries if fields["outcome"] == "refused"]
    told = [int(fields["ms"]) for fields in refused]
    back = [int(fields["retry_after_ms"] or 0) for fields in refused]
    late = sum(ms > goal_ms / 4 for ms in told)
    print(f"\nrefusals: {len(refused)}; told after p50 {quantile(told, .5)}, p99 "
          f"{quantile(told, .99)} ms, {late} of them after a quarter of the goal; come back after "
          f"p10 {quantile(back, .1)}, p50 {quantile(back, .5)}, p90 {quantile(back, .9)} ms")
    for why, count in collections.Counter(f["why"] for f in refused).most_common(5):
        print(f"  {count:6}  {why}")


def tell_batch(day, due_s):
    in_time, late, work = 0, [], collections.Counter()
    runs_each = []
    for key in day.items:
        runs = list(day.runs(key))
        if key[0] not in day.jobs or not runs or not runs[-1][2]:
            continue
        due = day.jobs[key[0]] + due_s
        before = sum(max(0.0, min(end, due) - min(start, due)) for start, end, _ in runs)
        after = sum(end - start for start, end, _ in runs) - before
        runs_each.append(len(runs))
        if runs[-1][1] <= due:
            in_time += 1
            work["in time"] += before
        else:
            late.append((before, after))
            work["late, before they were due"] += before
            work["late, after that"] += after
    begun = [each for each in late if each[0] > 0]
    print(f"\nitems whole: {in_time} in time, {len(late)} late, {len(begun)} of those begun before "
          f"they were due; runs each {statistics.mean(runs_each or [0]):.2f}")
    if begun:
        print(f"  these had got {statistics.median(b for b, _ in begun):.1f} s (median) then, and "
              f"{statistics.median(a for _, a in begun):.1f} s were left")
    for name, seconds in work.items():
        print(f"  {seconds:8.0f} place seconds for items {name}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("log")
    parser.add_argument("--goal-ms", type=float, default=300, help="of online requests")
    parser.add_argument("--due-s", type=float, default=18, help="after which items are late")
    parser.add_argument("--until", type=float, help="seconds of the day to list")
    args = parser.parse_args()
    day = Day(args.log)
    tell_online(day, args.until or day.ended)
    tell_refusals(day, args.goal_ms)
    tell_batch(day, args.due_s)


main()
