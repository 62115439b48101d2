"""Processes that leave while something else fails too: the store away, hosts
replaced under a drain.
"""

import signal
import sys

from batch_job import SLOW, Job, check_results, upload
from fleet import Callers, Fleet, ask, run_tests, wait_for

ITEMS = 320  # more than is under way at once


def test_an_owner_leaves_while_the_store_is_down():
    # Symptom: a deployment during an outage loses a report's items, or has them
    # twice.
    # Sequence: the store goes down; a job's owner gets SIGTERM, and a cancellation
    # of another job is refused; the store is back.
    # Cause: results dropped at the end of the grace, or commits without a lease.
    with Fleet(2, 3, *SLOW, "--entry-arg=--shutdown-grace-ms=8000") as fleet:
        for entry in fleet.entries:
            fleet.replace(entry["name"])
        fleet.wait_in_force()
        job = Job(fleet, "season")
        assert upload("season", fleet.entries[0], ITEMS) == 201
        job.progress()
        owner, epoch = wait_for("an owner", job.owner)
        other = next(entry for entry in fleet.entries if entry["name"] != owner)
        job.away.add(owner)
        fleet.platform_faults(down=["table", "objects"])
        fleet.signal(owner, signal.SIGTERM)
        status, problem = ask(other["address"], "DELETE", "/v1/jobs/season")
        assert (status, problem["kind"], problem["ran"]) == (503, "store-unavailable", "no")
        code, output = fleet.order("cancel job season", other)
        assert code == 6, output
        assert fleet.own[owner].wait(60) == 0
        fleet.platform_faults(down=[])
        wait_for("another owner", lambda: job.owner(epoch))
        wait_for("the job is done", lambda: job.state()["state"] == "done", 120)
        check_results(job, other, ITEMS)


def test_a_drained_agent_whose_host_is_replaced_stays_drained():
    # Symptom: a server that was drained for repair gets work after its restart.
    # Sequence: an agent is drained and killed while its streams run; a new process
    # comes in its place.
    # Cause: the drain kept by the process, or taken for its incarnation's alone.
    with Fleet(2, 2, "--engine-arg=--step-base-us=20000") as fleet:
        callers = Callers(fleet)
        sent = [callers.send(f"note {i}", 60) for i in range(8)]
        wait_for("it runs work", lambda: fleet.running(fleet.engines[0]))
        last = fleet.ordered("drain agent-0")["sequence"]
        fleet.kill("agent-0")
        fleet.start("agent-0")
        for each in sent:
            got = each.result()
            assert got and (got.whole or got.ran in ("yes", "unknown")), got
        fleet.ordered(f"await {last}")
        fleet.wait_quiet()
        runs = len(fleet.executions(fleet.engines[0]))
        more = [callers.send(f"more {i}", 8) for i in range(40)]
        assert all(each.result().whole for each in more)
        assert len(fleet.executions(fleet.engines[0])) == runs, "new work after the drain"
        callers.verdict()


run_tests(sys.modules[__name__])
