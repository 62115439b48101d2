#!/usr/bin/env python3
"""Measures the slopes that docs/CAPACITY.md reckons with, on a local fleet.

usage: bench/capacity.py BUILD_FOLDER [--agents 10,40,80] [--seconds 20]

Prints, as JSON: what control costs a process by number of members; processor
time of an entry and an agent for each online request and token, and for each
batch item and token; store calls for each job.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TICKS = os.sysconf("SC_CLK_TCK")
MODEL = "note-llm"
READY_SECONDS = 180


def call(address, method, path, body=None):
    connection = http.client.HTTPConnection(address, timeout=120)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Fleet:
    def __init__(self, build, entries, agents):
        self.folder = tempfile.TemporaryDirectory()
        self.started = subprocess.Popen(
            [ROOT / "support" / "local-fleet", "--build", build, "--entries", str(entries),
             "--agents", str(agents), "--services", "0", "--dir", self.folder.name],
            stdout=subprocess.DEVNULL)
        path = pathlib.Path(self.folder.name) / "fleet.json"
        deadline = time.monotonic() + READY_SECONDS
        while not path.exists():
            if self.started.poll() is not None or time.monotonic() > deadline:
                raise SystemExit("the fleet didn't get ready")
            time.sleep(0.1)
        self.members = json.loads(path.read_text(encoding="utf-8"))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.started.send_signal(signal.SIGTERM)
        self.started.wait()
        self.folder.cleanup()

    def all(self, kind):
        return self.members[kind]


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def metric(address, name):
    text = call(address, "GET", "/metrics")[1].decode()
    found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def store_calls(fleet):
    counters = json.loads(call(fleet.all("platform")["address"], "GET", "/standin/counters")[1])
    return {f"{store}_{kind}": counters[store][kind]
            for store in ("table", "objects") for kind in ("reads", "writes")}


def cpu_of(processes):
    return sum(cpu_seconds(each["pid"]) for each in processes)


def mean(values):
    return sum(values) / len(values)


def control_cost(build, agents, seconds):
    """Averages over the agents of an idle fleet."""
    with Fleet(build, 4, agents) as fleet:
        time.sleep(5)  # joining is not the steady state
        watched = fleet.all("agents")
        cpu, calls = cpu_of(watched), store_calls(fleet)
        sent = {each["address"]: metric(each["address"], "figmill_gossip_bytes_total")
                for each in watched}
        began = time.monotonic()
        time.sleep(seconds)
        passed = time.monotonic() - began
        after = store_calls(fleet)
        gossip = [(metric(each["address"], "figmill_gossip_bytes_total") - sent[each["address"]])
                  / passed for each in watched]
        return {
            "members": agents + 4,
            "core_percent": 100 * (cpu_of(watched) - cpu) / passed / len(watched),
            "rss_mb": mean([rss_mb(each["pid"]) for each in watched]),
            "entry_rss_mb": mean([rss_mb(each["pid"]) for each in fleet.all("entries")]),
            "gossip_bytes_per_s": mean(gossip),
            **{f"{name}_per_s": (after[name] - calls[name]) / passed for name in calls},
        }


def online_round(fleet, requests, tokens):
    body = json.dumps({"model": MODEL, "prompt": "rye " * 50, "max_tokens": tokens,
                       "stream": True})
    address = fleet.all("entries")[0]["address"]
    cpu = {kind: cpu_of(fleet.all(kind)) for kind in ("entries", "agents")}
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        statuses = list(pool.map(lambda _: call(address, "POST", "/v1/completions", body)[0],
                                 range(requests)))
    assert all(status == 200 for status in statuses), statuses
    return {kind: (cpu_of(fleet.all(kind)) - cpu[kind]) / requests for kind in cpu}


def job_round(fleet, name, items, tokens):
    lines = [json.dumps({"custom_id": f"i{i}", "url": "/v1/completions",
                         "body": {"model": MODEL, "prompt": f"report {i}",
                                  "max_tokens": tokens}}) for i in range(items)]
    address = fleet.all("entries")[0]["address"]
    cpu = {kind: cpu_of(fleet.all(kind)) for kind in ("entries", "agents")}
    calls = store_calls(fleet)
    status, body = call(address, "PUT", f"/v1/jobs/{name}?team=bench", "\n".join(lines) + "\n")
    assert status in (200, 201), body
    while json.loads(call(address, "GET", f"/v1/jobs/{name}")[1])["state"] != "done":
        time.sleep(0.2)
    after = store_calls(fleet)
    return {**{kind: (cpu_of(fleet.all(kind)) - cpu[kind]) / items for kind in cpu},
            **{call_: after[call_] - calls[call_] for call_ in calls}}


def slope(small, large, few, many):
    """Cost of one more token, and of what doesn't depend on tokens."""
    token = (large - small) / (many - few)
    return {"us_each": 1e6 * (small - few * token), "us_a_token": 1e6 * token}


def traffic_cost(build):
    few, many = 10, 110
    with Fleet(build, 1, 4) as fleet:
        online_round(fleet, 64, few)  # warms connections up
        small, large = online_round(fleet, 600, few), online_round(fleet, 600, many)
        online = {kind: slope(small[kind], large[kind], few, many) for kind in small}
        job_round(fleet, "warm", 100, few)
        entry = fleet.all("entries")[0]["pid"]
        before = rss_mb(entry)
        small, large = job_round(fleet, "few", 2000, few), job_round(fleet, "many", 2000, many)
        batch = {kind: slope(small[kind], large[kind], few, many)
                 for kind in ("entries", "agents")}
        batch["store_calls_of_a_job_of_2000"] = {
            name: large[name] for name in large if name not in ("entries", "agents")}
        batch["entry_rss_mb"] = {"before": before, "after": rss_mb(entry)}
        return {"online": online, "batch": batch}


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("build")
    parser.add_argument("--agents", default="10,40,80")
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    report = {"traffic": traffic_cost(options.build),
              "control": [control_cost(options.build, int(agents), options.seconds)
                          for agents in options.agents.split(",") if agents]}
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
