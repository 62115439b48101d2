"""The operator adds a route whose prefix begins the paths of the items of an open batch job."""

import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))

from small_fleet import BROKEN, HELD, HOST, NOT_RUN, TROUBLE, Fleet, main  # noqa: E402
from gateways import call, submit  # noqa: E402

EVENTS = 20
STEP = 0.05       # seconds between events
ITEMS = 120
FINISH = 18.0     # seconds, finishS, after the last change
CALM = 5.0        # seconds in which no engine may have had an item that isn't listed
RETENTION = 60    # seconds after which an item may be given up
ROUTES = [
    {"name": "batch", "host": HOST, "pathPrefix": "/reports/", "kind": "batch", "timeoutMs": 15000,
     "goalMs": 400, "priority": 2, "service": "llm", "maxAttempts": 3, "runGoalMs": 18000,
     "retentionS": RETENTION},
    {"name": "photos", "host": HOST, "pathPrefix": "/photos/", "kind": "safe", "timeoutMs": 1500,
     "goalMs": 100, "priority": 2, "service": "app", "maxAttempts": 3}]
# With the disruption the new route begins the items' paths, without it no path in use.
PREFIX = "/reports/2026/" if TROUBLE else "/pictures/"
ADDED = {"name": "added", "host": HOST, "pathPrefix": PREFIX, "kind": "safe", "timeoutMs": 1500,
         "goalMs": 100, "priority": 2, "service": "app", "maxAttempts": 3}


def configuration(version, routes):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1",
             "tls": False, "engine": {"slots": 8, "kvCapacity": 134354}},
            {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
             "tls": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}})


def read_all(gateway, job):
    """All results and the job's total; raises if the job can't be read."""
    results = []
    while True:
        status, _, body = call(gateway.callers, "GET", f"/-/lots/{job}?after={len(results)}")
        if status != 200:
            raise OSError(f"reading the job: status {status}")
        page = json.loads(body)
        results += page["results"]
        if not page["results"]:
            return results, page["total"]


def case(record):
    job = "season-1"
    items = [{"id": f"{job}-{n}", "path": f"/reports/2026/{n}", "tokens": 10 + EVENTS,
              "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
              "body": base64.b64encode(f"item {n}".encode()).decode()} for n in range(ITEMS)]
    with Fleet(gateways=2) as fleet:
        operator = fleet.world
        operator.do("write", table="op", key="config", value=configuration(100, ROUTES))
        for n in range(2):
            fleet.engine(f"i-{n}", slots=8, step=STEP, zone="north-" + "ab"[n])
        fleet.engine("i-2", service="app", slots=8)
        fleet.start()
        begun = time.monotonic()
        record.add(f"job of {ITEMS} items: {submit(fleet.gateways[0], job, items)}")
        time.sleep(2)
        operator.do("write", table="op", key="config",
                    value=configuration(107, ROUTES + [ADDED]))
        record.add(f"the operator adds the route {PREFIX}")
        end = time.monotonic() + FINISH
        while True:
            lines = [line for engine in fleet.engines[:2] for line in engine.lines()]
            last = {line["request"]: line["event"] for line in lines if "request" in line}
            busy = [request for request, event in last.items() if event == "run"]
            ended = [line["at"] for line in lines if line["event"] in ("end", "left")]
            now = time.monotonic()
            quiet = not busy and now - max(ended, default=0) >= CALM
            if now >= end and (quiet or now - begun > RETENTION - 10):
                break
            time.sleep(0.5)
        results, total = read_all(fleet.gateways[1], job)
        after = time.monotonic() - begun
    states = {}
    for result in results:
        states[result["state"]] = states.get(result["state"], 0) + 1
        record.add(f"result {result['id']} {result['state']}")
    for line in lines:
        if line["event"] in ("run", "end", "left"):
            record.add(f"engine {line}")
    missing = total - len(results)
    record.say(f"{after:.1f} s after the submission: {total} items, listed {states}, not listed "
               f"{missing}; engines idle for {CALM:.0f} s: {quiet}; items still running {len(busy)}")
    if after > RETENTION:
        return NOT_RUN
    return BROKEN if missing and quiet else HELD if not missing else NOT_RUN


main(pathlib.Path(__file__).parent, case)
