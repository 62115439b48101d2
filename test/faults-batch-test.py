"""A batch job while owners die and pause, an agent dies, the store is away and
its answers get lost: each item exactly once in the results, in order.
"""

import signal
import sys
import time

from batch_job import ITEMS, SLOW, Job, check_results, upload
from fleet import Fleet, run_tests, wait_for

OUTAGE_SECONDS = 10


def check_not_repeatable(job):
    runs = {}
    for run in job.executions():
        if not run["repeatable"]:
            runs[run["item_key"]] = runs.get(run["item_key"], 0) + 1
    assert runs, "the engines saw no item that may not be repeated"
    twice = [key for key, count in runs.items() if count > 1]
    assert not twice, f"ran more than once: {twice}"


def test_each_item_once_through_deaths_pauses_and_an_outage():
    # Symptom: two invoices, a lost summary, or a job that hangs.
    # Sequence: in one run the owner is killed; the next is paused past its lease
    # and wakes; an agent dies; the store is away; its answers get lost after the
    # writes took effect.
    # Cause: an owner that acts on a lease it no longer has; a commit taken for
    # lost, or for done, because of what answer came.
    with Fleet(3, 3, *SLOW) as fleet:
        job = Job(fleet, "season")
        assert upload("season", fleet.entries[0]) == 201
        for entry in fleet.entries:  # a client that believes it was dropped
            assert upload("season", entry) == 200
        job.progress()

        first, epoch = wait_for("an owner", job.owner)
        job.away.add(first)
        fleet.kill(first)
        second, epoch = wait_for("a second owner", lambda: job.owner(epoch))
        job.progress()

        job.away.add(second)
        fleet.signal(second, signal.SIGSTOP)
        third, epoch = wait_for("a third owner", lambda: job.owner(epoch))
        fleet.signal(second, signal.SIGCONT)
        job.away.remove(second)
        job.progress()

        fleet.kill("agent-0")
        fleet.start("agent-0")
        for prefix in ("chunk/", "job/"):
            fleet.platform_faults(lose_answers={"prefix": prefix, "count": 2})
            job.progress()
        fleet.platform_faults(down=["table"])
        time.sleep(OUTAGE_SECONDS)
        fleet.platform_faults(down=[])
        assert job.state()["state"] == "running", "the job ended before the faults did"

        done = wait_for("the job is done", lambda: (s := job.state())["state"] == "done" and s, 120)
        for entry in fleet.entries:
            if entry["name"] != first:
                failed = check_results(job, entry)
        assert (done["completed"], done["failed"]) == (ITEMS, len(failed)), done
        fleet.wait_quiet()
        check_not_repeatable(job)


run_tests(sys.modules[__name__])
