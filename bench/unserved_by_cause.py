#!/usr/bin/env python3
"""Tells from the logs of gateways why requests of a day were not served, and what no system could have served.

Reads lines of `figmilld gateway` as bench/worst_load.py does, and prints

  tries    of online requests, by how they ended where that was not a whole answer
  lost     processes that ended, by the time they were back: requests open in them that an engine had
  limits   for each team that was refused often by its limit: callers, which are tries less returns, and how many lie
           beyond the limit: a fluid reckoning in order of arrival, with the highest rate that was admitted in a
           second after one with over 50 refusals, a second of it in hand, and callers that wait their patience
  room     the same for a route that found no room, with what its servers can do as --room says

A try that comes after the time which a refused one was told to come back is counted as its return.

usage: bench/unserved_by_cause.py LOG [--patience-s 4.3] [--room-patience-s 2.3] [--room ROUTE=RATE] [--pressed 100]
                                          [--until S]
"""

import argparse
import collections
import heapq
import re

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) \S+ \w event=(\w+) (.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
WANTED = {"request", "placed", "started", "send_lost"}
# Reasons, as they are logged.
LIMIT = ["used up its rate"]
NO_ROOM = ["all places are taken", "all backend servers are full"]
# In hand of a route: the slots of the server that is left.
SLOTS = 6


class Day:
    def __init__(self, path):
        self.ended = {}  # request: (end, host, fields)
        self.open = {}  # request: (sent, host)
        self.starts = collections.defaultdict(list)  # host: times
        self.crashed = collections.Counter()  # sends that were lost with the engine or its connection
        with open(path, errors="replace") as lines:
            for line in lines:
                match = LINE.match(line)
                if match and match[3] in WANTED:
                    fields = {name: value.strip('"') for name, value in FIELD.findall(match[4])}
                    self.take(float(match[1]), match[2], match[3], fields)

    def take(self, at, host, event, fields):
        if event == "started":
            self.starts[host].append(at)
        elif event == "placed":
            self.open[fields["request"]] = (at, host)
        elif event == "send_lost":
            self.crashed[fields["dialed"]] += 1
        else:
            self.open.pop(fields["request"], None)
            self.ended[fields["request"]] = (at, host, fields)


def tell_tries(day):
    count = collections.Counter()
    for _, _, fields in day.ended.values():
        if "route" in fields and (fields["outcome"], fields["status"]) != ("answered", "200"):
            why = re.sub(r"'[^']*'", "X", fields["why"])
            count[(fields["outcome"], fields["status"], why, fields["route"])] += 1
        elif "route" not in fields and fields["status"] == "503":
            count[(fields["outcome"], "503", fields["why"], "-")] += 1
    print("tries not answered with 200")
    for (outcome, status, why, route), times in count.most_common(20):
        print(f"{times:7}  {outcome} {status} {route}: {why}")
    print(f"sends lost: {dict(day.crashed)}")


def tell_lost(day):
    starts = sorted((at, host) for host, times in day.starts.items() for at in times if at > 0)
    groups = []  # starts that follow one another within a second
    for at, host in starts:
        if not groups or at - groups[-1][-1][0] > 1:
            groups.append([])
        groups[-1].append((at, host))
    lost = collections.Counter()
    for sent, host in day.open.values():
        later = [i for i, group in enumerate(groups) if any(h == host and at > sent for at, h in group)]
        lost[later[0] if later else len(groups)] += 1
    print("\nrequests sent to an engine and still open in processes that ended, by the time these were back")
    for i, count in sorted(lost.items()):
        if i < len(groups):
            print(f"  {groups[i][0][0]:5.1f} to {groups[i][-1][0]:.1f} s: {len(groups[i])} processes, {count} requests")
        else:
            print(f"  open at the end: {count}")


def fluid(callers, rate, in_hand, patience):
    """How many callers find nothing within their patience if each unit goes to who has waited longest."""
    credit, last, waiting, lost = in_hand, callers[0], collections.deque(), 0
    ticks = int((callers[-1] - callers[0] + 2 * patience) * 1000)
    steps = heapq.merge(((at, True) for at in callers),
                        ((callers[0] + tick / 1000, False) for tick in range(ticks)))
    for at, is_caller in steps:
        credit = min(in_hand, credit + (at - last) * rate)
        last = at
        while waiting and waiting[0] + patience < at:
            waiting.popleft()
            lost += 1
        if is_caller:
            waiting.append(at)
        while waiting and credit >= 1:
            waiting.popleft()
            credit -= 1
    return lost + len(waiting)


def callers_of(day, column, why, until):
    """For each team (route): its tries, those refused for these reasons and those run by second, its callers' times."""
    groups = collections.defaultdict(list)
    for at, _, fields in day.ended.values():
        if fields.get(column) and "route" in fields and at < until:
            refused = any(each in fields["why"] for each in why)
            back = int(fields["retry_after_ms"] or 0) / 1000 if refused else 0
            ran = not refused and fields["outcome"] != "refused"
            groups[fields[column]].append((at - int(fields["ms"]) / 1000, at, refused, back, ran))
    for name, tries in sorted(groups.items(), key=lambda each: -sum(t[2] for t in each[1])):
        due, callers, ran_at, refused_at = [], [], collections.Counter(), collections.Counter()
        for arrival, told, refused, back, ran in sorted(tries):
            refused_at[int(arrival)] += refused
            ran_at[int(arrival)] += ran
            if due and due[0] <= arrival:
                heapq.heappop(due)
            else:
                callers.append(arrival)
                if refused:
                    heapq.heappush(due, told + back)
        yield name, len(tries), refused_at, ran_at, callers


def tell_limits(day, patience, pressed, until):
    print("\nteam       admitted/s   tries  refused  callers  beyond its limit")
    for name, tries, refused_at, ran_at, callers in callers_of(day, "team", LIMIT, until):
        refused = sum(refused_at.values())
        if refused < pressed:
            break
        hard = [ran_at[s] for s in list(refused_at) if refused_at[s] > 20 and refused_at[s - 1] > 50]
        beyond = fluid(callers, max(hard), max(hard), patience) if hard else "-"
        print(f"{name:10} {max(hard, default=0):10} {tries:7} {refused:8} {len(callers):8} {beyond:>17}")


def tell_room(day, rates, patience, until):
    for name, tries, refused_at, _, callers in callers_of(day, "route", NO_ROOM, until):
        if name in rates:
            beyond = fluid(callers, rates[name], SLOTS, patience)
            print(f"\nroute {name} at {rates[name]}/s: {tries} tries, {sum(refused_at.values())} refused, "
                  f"{len(callers)} callers, {beyond} beyond what its servers can do")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("log")
    parser.add_argument("--patience-s", type=float, default=4.3, help="deadline less the time of a run")
    parser.add_argument("--room-patience-s", type=float, default=2.3, help="the same of the plain service")
    parser.add_argument("--until", type=float, default=1e9, help="seconds of the day to look at")
    parser.add_argument("--room", action="append", default=[], metavar="ROUTE=RATE",
                        help="what the servers of a route can do in a second, for its callers that found no room")
    parser.add_argument("--pressed", type=int, default=100, help="refusals that make a team worth a line")
    args = parser.parse_args()
    day = Day(args.log)
    tell_tries(day)
    tell_lost(day)
    tell_limits(day, args.patience_s, args.pressed, args.until)
    rates = dict(each.split("=") for each in args.room)
    tell_room(day, {name: float(rate) for name, rate in rates.items()}, args.room_patience_s, args.until)


if __name__ == "__main__":
    main()
