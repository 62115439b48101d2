"""A batch job that is cancelled stops, whoever is told and whatever fails."""

import signal
import sys
import time

from batch_job import ITEMS, PART, SLOW, Job, upload
from fleet import Fleet, run_tests, wait_for

CANCEL_SECONDS = 2  # within these a cancelled job's streams stop


def test_a_job_cancelled_while_it_runs():
    # Symptom: a withdrawn report goes on and keeps the engines busy.
    # Sequence: `cancel job` through another entry than the job's owner.
    # Cause: the order reaches the owner late, or items wait in the agents' queues.
    with Fleet(2, 2, *SLOW) as fleet:
        job = Job(fleet, "withdrawn")
        assert upload("withdrawn", fleet.entries[0]) == 201
        job.progress()
        owner, _ = wait_for("an owner", job.owner)
        other = next(entry for entry in fleet.entries if entry["name"] != owner)
        fleet.ordered("cancel job withdrawn", other)
        # The bound itself is what is promised, so the wait is its length.
        time.sleep(CANCEL_SECONDS)
        assert not fleet.running(), "streams of a cancelled job go on"
        runs = len(job.executions())
        cancelled = job.state()
        assert cancelled["state"] == "cancelled", cancelled
        assert 0 < cancelled["completed"] < ITEMS, cancelled

        # Another job runs to its end: time enough for a late item to start.
        later = Job(fleet, "later")
        assert upload("later", other, PART) == 201
        wait_for("the other job is done", lambda: later.state()["state"] == "done")
        assert len(job.executions()) == runs, "an item of a cancelled job started"
        assert job.state() == cancelled
        headers, results = job.results(other)
        assert headers["Figmill-Complete"] == "false"
        assert len(results) == cancelled["completed"]


def test_a_job_cancelled_while_its_owner_is_paused():
    # Symptom: an owner that wakes goes on with a report that was withdrawn.
    # Sequence: the owner is stopped with its items at the agents; the job is
    # cancelled through another entry; the owner wakes.
    # Cause: only the owner is told, or it believes what it knew before its pause.
    with Fleet(2, 2, *SLOW) as fleet:
        job = Job(fleet, "withdrawn")
        assert upload("withdrawn", fleet.entries[0]) == 201
        job.progress()
        owner, _ = wait_for("an owner", job.owner)
        other = next(entry for entry in fleet.entries if entry["name"] != owner)
        job.away.add(owner)
        fleet.signal(owner, signal.SIGSTOP)
        fleet.ordered("cancel job withdrawn", other)
        wait_for("it is cancelled", lambda: job.state()["state"] == "cancelled")
        fleet.wait_quiet()
        cancelled, runs = job.state(), len(job.executions())
        fleet.signal(owner, signal.SIGCONT)
        later = Job(fleet, "later")
        assert upload("later", other, PART) == 201
        wait_for("the other job is done", lambda: later.state()["state"] == "done")
        assert len(job.executions()) == runs, "an item of a cancelled job started"
        assert job.state() == cancelled


run_tests(sys.modules[__name__])
