"""The operator removes the route of a batch job that still has items to run. A shorter prefix of the
same host begins their paths as well, so the job's items neither run nor are given up: they wait as if
their route were there."""

import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent / "lib"))

from harness import TROUBLE, Fleet, call, play, wait_for  # noqa: E402

JOB = "report1"
ITEMS = 100  # PROTOCOL.md: "at most 200"
EVENTS, EVENT_MS = 243, 20
FINISH_S = 18  # `finishS`
LIST_S = 80


def item(n):
    return {"id": f"{JOB}-{n}", "path": f"/reports/{JOB}/{n}", "tokens": EVENTS,
            "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
            "body": base64.b64encode(b"rye").decode()}


def listed(fleet, number):
    results = []
    while True:
        status, body = call(fleet.gateways[number].front, "GET",
                            f"/-/lots/{JOB}?after={len(results)}")
        page = json.loads(body) if status == 200 else {"results": []}
        if not page["results"]:
            return status, results
        results += page["results"]


def play_job(record, fleet):
    fleet.await_ready()
    body = json.dumps({"requests": [item(n) for n in range(ITEMS)]})
    status, _ = call(fleet.gateways[0].front, "POST", f"/reports/{JOB}", body,
                     {"Request-Id": JOB, "Content-Type": "application/json"})
    record.write(f"sent batch job {JOB} of {ITEMS} items, answered {status}")
    wait_for("items run", lambda: status == 202 and len(fleet.do("runs")) >= 8)
    if TROUBLE:
        version = fleet.do("configure", without=["/reports/"])["version"]
        record.write(f"configuration {version} without the route /reports/")
    else:
        version = fleet.do("configure")["version"]
        record.write(f"configuration {version} with all routes")
    end = time.monotonic() + FINISH_S
    idle_since = None
    until = time.monotonic() + LIST_S
    while time.monotonic() < until:
        status, results = listed(fleet, 1)
        busy = fleet.do("busy")
        idle_since = None if busy else idle_since or time.monotonic()
        record.write(f"read {JOB}: {status}, {len(results)} of {ITEMS} listed; engines run {busy}")
        calm = idle_since is not None and time.monotonic() - idle_since > 5
        if len(results) == ITEMS or (calm and time.monotonic() > end):
            break
        time.sleep(1)
    status, results = listed(fleet, 1)
    have = {result["id"] for result in results}
    record.write(f"at the end: {len(have)} listed")
    return [f"LOST: {item(n)['id']} is neither complete nor dead" for n in range(ITEMS)
            if item(n)["id"] not in have]


def case(record):
    fleet = Fleet(FOLDER.parent / "lib" / "users_world.py", ["north-a", "north-b", "north-a"],
                  engines=4, event_ms=EVENT_MS, catch_all=1)
    try:
        return play_job(record, fleet)
    finally:
        fleet.stop()


play(case, FOLDER)
