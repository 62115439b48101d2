"""Clients end some batch jobs soon after their 202, while the platform's store is slow. The entry that
shall own such a job has begun to load it when its end arrives, and becomes its owner all the same:
items of the ended job run when their turn comes."""

import base64
import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent / "lib"))

from harness import TROUBLE, Fleet, play, repeated  # noqa: E402

EVENTS, EVENT_MS = 243, 20  # "243 events out"
BODY = b"rye " * 3750  # site file, req_bytes: mean 15,000
BUSY_ITEMS = 24  # of a first job, which takes all slots
JOBS, ITEMS = 20, 5
SUBMIT_EVERY_S = 0.16
# Site file: platform_slow, x 60, for_s 4.5. The store has "4 ms an answer".
SLOW_S, SLOW_FOR_S = 0.24, 4.5
# Kinds, give_up, prompt: "jobs are cancelled within x ms of their ack". Site file: share 0.4, x 900.
END_AFTER_S = 0.05
CANCEL_S = 3.0  # `cancelMs`
STABLE_S = 4.0  # `stableMs`: from then on all machines are in touch
WATCH_S = 75


def is_ended(n):
    """8 of 20 jobs."""
    return n % 5 in (1, 3)


def submit(gateway, job, count):
    items = [{"id": f"{job}-{n}", "path": f"/reports/{job}/{n}", "tokens": EVENTS,
              "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
              "body": base64.b64encode(BODY).decode()} for n in range(count)]
    return repeated(gateway.front, "POST", f"/reports/{job}", json.dumps({"requests": items}),
                    {"Request-Id": job, "Content-Type": "application/json"})[0]


def play_client(record, fleet, n, accepted, ended):
    job = f"job{n}"
    status = submit(fleet.gateways[0], job, ITEMS)
    at = time.monotonic()
    record.write(f"sent {job} of {ITEMS} items, answered {status}")
    if status != 202:
        return
    accepted.append(job)
    if not is_ended(n):
        return
    time.sleep(END_AFTER_S)
    status = repeated(fleet.gateways[2].front, "DELETE", f"/-/lots/{job}")[0]
    record.write(f"ended {job}, answered {status} {time.monotonic() - at:.3f} s after the 202")
    if status == 200:
        ended[job] = time.monotonic()


def is_done(fleet, jobs):
    """Whether these jobs are complete and the engines idle."""
    for job in jobs:
        path = f"/-/lots/{job}?after={ITEMS - 1}"
        status, body = repeated(fleet.gateways[1].front, "GET", path)
        if status != 200 or not json.loads(body)["results"]:
            return False
    return fleet.do("busy") == 0


def play_jobs(record, fleet):
    fleet.await_ready()
    status = submit(fleet.gateways[1], "busy", BUSY_ITEMS)
    record.write(f"sent busy of {BUSY_ITEMS} items, answered {status}")
    time.sleep(1)
    if TROUBLE:
        fleet.do("slow", seconds=SLOW_S)
        record.write("the store is slow")
    slow_until = time.monotonic() + SLOW_FOR_S
    accepted, ended, threads = [], {}, []
    for n in range(JOBS):
        threads.append(threading.Thread(target=play_client,
                                        args=(record, fleet, n, accepted, ended)))
        threads[-1].start()
        time.sleep(SUBMIT_EVERY_S)
    time.sleep(max(0, slow_until - time.monotonic()))
    fleet.do("slow", seconds=0.0)
    in_touch_at = time.monotonic() + SLOW_S + STABLE_S  # the last late answer is out
    record.write("the store is as usual")
    for thread in threads:
        thread.join()
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        if is_done(fleet, [job for job in accepted if job not in ended]):
            break
        time.sleep(1)
    time.sleep(2)
    record.write(f"at the end: engines run {fleet.do('busy')} items")
    arrivals = fleet.do("arrivals")
    broken = []
    for run in fleet.do("runs"):
        job = run["id"].partition("-")[0]
        if job not in ended:
            record.write(f"ran {run['id']} at {run['engine']}, whole {run['whole']}")
            continue
        # The rule asks when the item reached the engine, not when its run began there.
        reached = min(each["at"] for each in arrivals
                      if (each["id"], each["engine"]) == (run["id"], run["engine"]))
        late = reached - ended[job]
        record.write(f"ran {run['id']} at {run['engine']}, whole {run['whole']}, reached it "
                     f"{late:.3f} s after the acknowledgement of the job's end")
        if late > CANCEL_S and reached > in_touch_at:
            broken.append(f"UNASKED: {run['id']} reached an engine {late:.3f} s after the "
                          "acknowledgement of its batch job's end, and ran")
    return broken


def case(record):
    fleet = Fleet(FOLDER.parent / "lib" / "users_world.py", ["north-a", "north-a", "north-b"],
                  cores=[0.09, 0.5, 0.5], engines=2, event_ms=EVENT_MS)
    try:
        return play_jobs(record, fleet)
    finally:
        fleet.stop()


play(case, FOLDER)
