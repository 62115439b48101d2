"""What is refused is refused truthfully: the platform's store away, slow, or its
answers lost; engines with more work than they can do.
"""

import json
import sys

from fleet import Callers, Fleet, ask, call, run_tests, wait_for

JOB_LINE = json.dumps({"custom_id": "a", "url": "/v1/completions",
                       "body": {"model": "note-llm", "prompt": "report", "max_tokens": 4}}) + "\n"


def put_job(entry, name):
    status, headers, body = call(entry["address"], "PUT", f"/v1/jobs/{name}?team=rye", JOB_LINE,
                                 {"Content-Type": "application/x-ndjson"})
    return status, headers, json.loads(body)


def completed(entry, job):
    """How many items of the job are done; nothing while the entry can't read that in time."""
    status, _, body = call(entry["address"], "GET", f"/v1/jobs/{job}")
    answer = json.loads(body)
    if status == 503:
        assert answer["kind"] == "store-unavailable", answer
        return None
    assert status == 200, answer
    return answer["completed"]


def keyed(callers, name, count=6, **more):
    """Half of them repeatable, to each entry in turn."""
    return [callers.send(f"{name} {i}", 8, item=f"{name}-{i}", repeatable=i % 2 == 0, **more)
            for i in range(count)]


def test_store_down():
    # Symptom: the photo-sync app is down because the table is; or a caller is told
    # "not run" of an invoice that runs once the store is back.
    # Sequence: table and objects refuse every call; later they are back.
    # Cause: online work that needs no store waits for it; what needs it is kept and
    # sent later, after its caller was refused.
    with Fleet(2, 2) as fleet:
        callers = Callers(fleet)
        fleet.platform_faults(down=["table", "objects"])
        plain = [callers.send(f"note {i}", 8, stream=i % 2 == 0) for i in range(12)]
        refused = [each.result() for each in keyed(callers, "invoice")]
        for got in refused:
            assert got.status == 503 and got.kind == "store-unavailable", got
            assert got.ran == "no" and int(got.headers["Retry-After"]) > 0, got
        for entry in fleet.entries:
            status, headers, problem = put_job(entry, "new")
            assert (status, problem["kind"], problem["ran"]) == (503, "store-unavailable", "no")
            assert int(headers["Retry-After"]) > 0
            code, output = fleet.order("drain agent-0", entry)
            assert code == 6 and "ran: no" in output, output
        assert all(each.result().whole for each in plain)
        fleet.platform_faults(down=[])
        # What was refused doesn't start now: other work passes it by.
        wait_for("keyed work is taken again",
                 lambda: all(each.result().whole for each in keyed(callers, "again")))
        assert fleet.metric("agent-0", "figmill_control_sequence") == 1, "the refused drain"
        assert ask(fleet.entries[0]["address"], "GET", "/v1/jobs/new")[0] == 404
        fleet.wait_quiet()
        callers.verdict()


def test_store_that_loses_answers():
    # Symptom: two invoices, or one that was refused as not run though it ran.
    # Sequence: writes of keyed items and of a job's acceptance take effect and
    # their answers get lost, are an error page's, or the write is dropped.
    # Cause: the writer takes a lost answer for a write that failed, or for one
    # that took effect.
    with Fleet(2, 2) as fleet:
        callers = Callers(fleet)
        for fault in ("lose_answers", "garble_answers", "drop_writes"):
            fleet.platform_faults(**{fault: {"prefix": "once/", "count": 3}})
            answers = [each.result() for each in keyed(callers, fault)]
            assert None not in answers
            fleet.platform_faults(**{fault: {"prefix": "job/", "count": 1}})
            status, _, problem = put_job(fleet.entries[0], fault)
            assert status in (200, 201) or problem.get("ran") in ("no", "unknown"), problem
            fleet.platform_faults(**{fault: {"prefix": "", "count": 0}})
            # The client that resends gets one job, whatever became of the first.
            assert put_job(fleet.entries[1], fault)[0] in (200, 201)
            wait_for("the job is done", lambda f=fault: completed(fleet.entries[0], f) == 1)
        fleet.wait_quiet()
        callers.verdict()


def test_store_slow():
    # Symptom: a slow table slows notes that don't need it; keyed ones run twice.
    # Sequence: every answer of the platform comes 700 ms late.
    # Cause: online work on the store's path; a retry taken for a new request.
    with Fleet(2, 2) as fleet:
        callers = Callers(fleet)
        fleet.platform_faults(slow_ms=700)
        sent = keyed(callers, "slow", 8) + [callers.send(f"note {i}", 8) for i in range(8)]
        answers = [each.result() for each in sent]
        assert all(got and got.whole for got in answers), answers
        fleet.platform_faults(slow_ms=0)
        fleet.wait_quiet()
        callers.verdict()


def test_store_too_slow_to_read_a_job():
    # Guards against an accepted job that is called unknown, or a reader that is held, while the
    # store answers later than a call to it may last.
    with Fleet(2, 2) as fleet:
        assert put_job(fleet.entries[1], "slow")[0] == 201
        fleet.platform_faults(slow_ms=2500)
        for entry in fleet.entries:
            assert completed(entry, "slow") is None
        fleet.platform_faults(slow_ms=0)
        wait_for("the job is done", lambda: completed(fleet.entries[0], "slow") == 1)
        fleet.wait_quiet()


def test_store_that_hangs():
    # Symptom: callers of keyed requests hang as long as the store does.
    # Sequence: the table takes connections and answers none; later it is back.
    # Cause: a wait without end, or "not run" said while a claim may take effect.
    with Fleet(2, 2) as fleet:
        callers = Callers(fleet)
        fleet.platform_faults(hang=["table"])
        plain = [callers.send(f"note {i}", 8) for i in range(8)]
        sent = keyed(callers, "hung", deadline_ms=8000)
        assert all(each.result().whole for each in plain)
        for each in sent:
            got = each.result()
            assert got is not None and got.problem, got
        fleet.platform_faults(hang=[])
        wait_for("keyed work is taken again",
                 lambda: all(each.result().whole for each in keyed(callers, "again")))
        fleet.wait_quiet()
        callers.verdict()


def test_engines_with_five_times_their_load():
    # Symptom: a request refused as not run is sent again by its caller, and two
    # invoices are written.
    # Sequence: far more requests at once than the engines take in their deadlines.
    # Cause: a refusal that is decided after the work has started, or while it waits
    # at an agent that starts it later.
    with Fleet(2, 2, "--engine-arg=--step-base-us=20000",
               "--engine-arg=--step-per-running-us=2000") as fleet:
        callers = Callers(fleet)
        sent = [callers.send(f"burst {i}", 40, item=f"burst-{i}" if i % 2 else None,
                             repeatable=i % 4 != 1, deadline_ms=4000) for i in range(240)]
        answers = [each.result() for each in sent]
        fleet.wait_quiet()
        refused = [got for got in answers if got.problem and got.ran == "no"]
        assert len(refused) > 24, f"only {len(refused)} of {len(answers)} were refused"
        assert all(got.headers["Retry-After"] for got in refused
                   if got.kind in ("overloaded", "no-backend")), refused[:3]
        callers.verdict()
        # Requests without a key can't be told apart at the engines, but counted: a
        # run that nobody was told of belongs to one that was called not run.
        ran = sum(not run["item_key"] for run in fleet.executions()) - len(fleet.entries)
        told = sum(got.ran != "no" for i, got in enumerate(answers) if i % 2 == 0)
        assert ran <= told, f"{ran} runs, {told} callers know of one"


run_tests(sys.modules[__name__])
