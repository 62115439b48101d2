#!/usr/bin/env python3
"""Tells from the logs of gateways which online requests went to engines of other data centres, and if they had to.

Reads lines of `figmilld gateway` as bench/worst_load.py does. A data centre is known by the first two numbers of the
addresses in it. A slot is in use from a send (or the start of an item's run) to the end that the host logged; an item's
run counts as in use, though it gives way. Engines are those that are listed as ready. Prints, for each service,

  by second        sends, share that crossed, of these with a free slot in the own data centre, free slots
  by data centre   the same over the day; requests that waited over 50 ms or were refused for lack of a slot, and of
                   these how many came while slots were free in the own data centre, only in others, and eight
                   or more there

usage: bench/crossing_load.py LOG --slots N[,N...] [--until S] [--seconds]
  --slots: slots of an engine, for the services by the number of their engines, the largest first
"""

import argparse
import collections
import re

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) \S+ \w event=(\w+) (.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
WANTED = {"request", "placed", "peer_live", "backend_listed", "backend_gone", "item_run", "item_stopped",
          "item_finished", "started", "send_over"}
# A wait for a slot that counts. Unit: s.
LONG_WAIT = 0.05
# Free slots elsewhere that are more than a few callers take at once.
MANY = 8


def network(address):
    return ".".join(address.split(".")[:2])


def read(path):
    with open(path, errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if match and match[3] in WANTED:
                yield float(match[1]), match[2], match[3], {k: v.strip('"') for k, v in FIELD.findall(match[4])}


class Replay:
    """Slots in use as a day goes on."""

    def __init__(self, events, slots):
        self.home, self.engine, listed = {}, {}, collections.defaultdict(set)
        for _, _, event, fields in events:
            if event == "peer_live":
                self.home[fields["peer"]] = network(fields["address"])
            elif event == "backend_listed":
                self.engine[fields["backend"]] = (fields["service"], network(fields["address"]))
                listed[fields["service"]].add(fields["backend"])
        sizes = sorted(listed, key=lambda service: -len(listed[service]))
        self.slots = dict(zip(sizes, slots))
        self.ready = set()
        self.runs = {}  # request or (job, item): (engine, host)
        self.use = collections.Counter()

    def begin(self, key, engine, host):
        self.end(key)
        self.runs[key] = (engine, host)
        self.use[engine] += 1

    def end(self, key):
        if key in self.runs:
            self.use[self.runs.pop(key)[0]] -= 1

    def free(self, service):
        """Free slots by data centre."""
        count = collections.Counter()
        for engine in self.ready:
            of, place = self.engine[engine]
            if of == service:
                count[place] += max(0, self.slots[service] - self.use[engine])
        return count

    def take(self, host, event, fields):
        if event == "backend_listed":
            (self.ready.add if fields["state"] == "ready" else self.ready.discard)(fields["backend"])
        elif event == "backend_gone":
            self.ready.discard(fields["backend"])
        elif event == "placed":
            self.begin(fields["request"], fields["backend"], host)
        elif event == "item_run":
            self.begin((fields["job"], fields["item"]), fields["backend"], host)
        elif event in ("request", "send_over"):
            self.end(fields["request"])
        elif event in ("item_stopped", "item_finished"):
            self.end((fields["job"], fields["item"]))
        elif event == "started":
            for key in [k for k, (_, of) in self.runs.items() if of == host]:
                self.end(key)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("log")
    parser.add_argument("--slots", required=True)
    parser.add_argument("--until", type=float, default=1e9)
    parser.add_argument("--seconds", action="store_true", help="list the seconds too")
    args = parser.parse_args()
    events = sorted(read(args.log), key=lambda each: each[0])
    replay = Replay(events, [int(n) for n in args.slots.split(",")])
    route_service, arrival, ends = {}, {}, {}
    for at, _, event, fields in events:
        if event == "request" and "route" in fields:
            ends[fields["request"]] = fields
            arrival[fields["request"]] = at - int(fields["ms"]) / 1000
            if fields["backend"] in replay.engine:
                route_service[fields["route"]] = replay.engine[fields["backend"]][0]
    # Asks are looked at when they come: put them among the events.
    asked = sorted([(at, request) for request, at in arrival.items()])
    seen, when, sends = set(), {}, []
    waiting = collections.defaultdict(lambda: None)
    position = 0
    for at, host, event, fields in events:
        if at > args.until:
            break
        while position < len(asked) and asked[position][0] <= at:
            request = asked[position][1]
            service = route_service.get(ends[request]["route"])
            when[request] = (service, replay.free(service) if service in replay.slots else None)
            position += 1
        if event == "placed" and fields["backend"] in replay.engine:
            service, place = replay.engine[fields["backend"]]
            if service in replay.slots and host in replay.home:
                free = replay.free(service)
                sends.append((at, service, replay.home[host], place, free))
                if fields["request"] not in seen and fields["request"] in when:
                    seen.add(fields["request"])
                    if at - arrival[fields["request"]] > LONG_WAIT:
                        waiting[fields["request"]] = ("waited", replay.home[host])
        elif event == "request" and fields.get("why") == "all places are taken" and host in replay.home:
            waiting[fields["request"]] = ("refused", replay.home[host])
        replay.take(host, event, fields)
    for service in replay.slots:
        tell(service, [s for s in sends if s[1] == service],
             [(kind, home, when[r][1]) for r, (kind, home) in waiting.items() if r in when and when[r][0] == service],
             args.seconds)


def tell(service, sends, held, seconds):
    places = sorted({home for _, _, home, _, _ in sends})
    print(f"\nservice {service}: {len(sends)} sends")
    if seconds:
        print("second  sends  crossed  of these own free   free slots by data centre (mean)")
        by = collections.defaultdict(list)
        for each in sends:
            by[int(each[0])].append(each)
        for second, some in sorted(by.items()):
            crossed = [s for s in some if s[2] != s[3]]
            own = sum(s[4][s[2]] > 0 for s in crossed)
            free = [round(sum(s[4][p] for s in some) / len(some)) for p in places]
            print(f"{second:6} {len(some):6} {len(crossed) / len(some):8.0%} {own:9}/{len(crossed):<6}   {free}")
    print("data centre  sends  crossed  own free  | waited, own free, only elsewhere, many there  | refused, the same")
    for place in places + ["all"]:
        some = [s for s in sends if place in ("all", s[2])]
        crossed = [s for s in some if s[2] != s[3]]
        own = sum(s[4][s[2]] > 0 for s in crossed)
        line = f"{place:11} {len(some):6} {len(crossed) / max(1, len(some)):8.0%} {own / max(1, len(crossed)):9.0%}"
        for kind in ("waited", "refused"):
            those = [(home, free) for k, home, free in held if k == kind and place in ("all", home)]
            here = sum(free[home] > 0 for home, free in those)
            there = sum(free[home] <= 0 < sum(free.values()) for home, free in those)
            many = sum(free[home] <= 0 and sum(free.values()) >= MANY for home, free in those)
            line += f"  | {len(those):6} {here:6} {there:6} {many:6}"
        print(line)


if __name__ == "__main__":
    main()
