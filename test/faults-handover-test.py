"""Owners of a batch job that leave in good order, or not quite."""

import signal
import sys

from batch_job import SLOW, Job, check_results, upload
from fleet import Fleet, run_tests, wait_for


def test_an_owner_leaves_and_the_next_is_killed_while_it_leaves():
    # Symptom: at each deployment a report stands still, or has items twice.
    # Sequence: a job's owner gets SIGTERM and hands its jobs over; the next owner
    # gets SIGTERM too, and is killed while it hands over.
    # Cause: work that is neither finished nor given back, or both.
    with Fleet(3, 3, *SLOW) as fleet:
        for entry in fleet.entries:
            fleet.replace(entry["name"])
        fleet.wait_in_force()
        job = Job(fleet, "season")
        assert upload("season", fleet.entries[0]) == 201
        job.progress()
        first, epoch = wait_for("an owner", job.owner)
        job.away.add(first)
        fleet.signal(first, signal.SIGTERM)
        second, epoch = wait_for("a second owner", lambda: job.owner(epoch))
        assert fleet.own[first].wait(60) == 0
        job.progress()
        job.away.add(second)
        fleet.signal(second, signal.SIGTERM)
        wait_for("it says that it leaves", lambda: not fleet.is_ready(second))
        fleet.kill(second)
        wait_for("a third owner", lambda: job.owner(epoch))
        wait_for("the job is done", lambda: job.state()["state"] == "done", 120)
        check_results(job, job.entry())


run_tests(sys.modules[__name__])
