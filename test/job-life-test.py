#!/usr/bin/env python3
"""How long items of a batch job may be worked on, at a gateway that has just started.

usage: job-life-test.py BUILD_FOLDER
"""

import json
import pathlib
import sys
import time
import unittest

import gateways
from gateways import Fleet, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ITEMS = 8
TOKENS = 60


def results_of(gateway):
    status, _, body = call(gateway.callers, "GET", "/-/lots/j1?after=0")
    return json.loads(body)["results"] if status == 200 else []


class BeforeTheStoreToldItsTime(unittest.TestCase):
    """A gateway starts again and takes its job back before the store has told it the time.

    A planned restart met a store that lost part of its answers. The new process learned of a
    job from one row that it read for a caller, took it and had its items listed as dead within
    250 ms, 11.8 s after the job was accepted, though its items may run for 60 s:
    `item_finished state=dead why="its time is over"`. Only the list of all jobs told a process
    the store's time, and that list had not come yet (`store_regained table=jobs` two seconds
    later). Until then the host's own clock, which had started long before the store's, stood in
    for it, so that the job's life seemed over.
    """

    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=1, engines=2).__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.gateway = self.fleet.gateways[0]

    def restart_with_a_job_underway(self):
        submitted = call(self.gateway.callers, "POST", "/reports/j1", job("j1", ITEMS, TOKENS),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        wait_for("items run", lambda: len(self.fleet.world.runs()) >= 2)
        self.gateway.signal(gateways.KILL)
        self.gateway.process.wait()
        self.fleet.world.do("store", unlisted=["jobs"])
        self.gateway.start()
        wait_for("it is ready", self.gateway.ready)
        # A caller's read brings the one row of this job.
        wait_for("the job is known",
                 lambda: call(self.gateway.callers, "GET", "/-/lots/j1?after=0")[0] == 200)
        wait_for("the job is owned", lambda: len(self.gateway.lines("job_owned")) >= 2)

    def assert_all_complete(self):
        results = wait_for("the job is done", lambda: (
            found := results_of(self.gateway)) and len(found) == ITEMS and found)
        self.assertEqual({(result["state"], result["output"]) for result in results},
                         {("complete", output_of(f"j1-{n}", TOKENS)) for n in range(ITEMS)})

    def test_items_are_not_given_up(self):
        self.restart_with_a_job_underway()
        time.sleep(0.5)  # two sweeps
        self.assertEqual(self.gateway.lines("item_given_up"), [])
        self.fleet.world.do("store", unlisted=[])
        self.assert_all_complete()

    def test_an_item_that_failed_runs_again_once_the_time_is_known(self):
        """An item waits a moment after a run that broke off. Its end was reckoned by the clock
        that stood in for the store's, and lay hours away once the store had told its time."""
        for index in range(2):
            self.fleet.world.do("engine", index=index, cut=1.0)
        self.restart_with_a_job_underway()
        wait_for("runs break off", lambda: len(self.gateway.lines("item_stopped")) >= ITEMS)
        for index in range(2):
            self.fleet.world.do("engine", index=index, cut=0.0)
        self.fleet.world.do("store", unlisted=[])
        self.assert_all_complete()


class RouteThatIsHidden(unittest.TestCase):
    # Guards against items that neither run nor are given up: a route of another kind with a longer
    # prefix is added, which begins their paths as well.
    def test_items_run_on_the_route_of_their_job(self):
        fleet = Fleet(BUILD, gateways=1, engines=1, services=1, places=2).__enter__()
        self.addCleanup(fleet.__exit__, None)
        submitted = call(fleet.gateways[0].callers, "POST", "/reports/j1", job("j1", ITEMS, TOKENS),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        wait_for("items run", fleet.world.runs)
        fleet.world.do("configure", extra=["reports/j1"])
        results = gateways.await_results(fleet.gateways[0], "j1", ITEMS)
        self.assertEqual({(result["state"], result["output"]) for result in results},
                         {("complete", output_of(f"j1-{n}", TOKENS)) for n in range(ITEMS)})
        self.assertEqual({run["service"] for run in fleet.world.runs()}, {"llm"})


class RouteThatWasMoved(unittest.TestCase):
    # Guards against items that are listed as dead, or run where no configuration sends them: their
    # route is moved to a service that has no backend server yet.
    def test_items_wait_for_a_backend_server_of_the_new_service(self):
        fleet = Fleet(BUILD, gateways=1, engines=2, services=1).__enter__()
        self.addCleanup(fleet.__exit__, None)
        for index in range(2):
            fleet.world.do("engine", index=index, slowdown=10)
        submitted = call(fleet.gateways[0].callers, "POST", "/reports/j1", job("j1", 2 * ITEMS, TOKENS),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        wait_for("items run", fleet.world.runs)
        fleet.world.do("configure", moved={"/reports/": "llm-2"})
        time.sleep(4)  # what ran has ended, and five sweeps
        runs = len(fleet.world.runs())
        self.assertNotIn("dead", {result["state"] for result in results_of(fleet.gateways[0])})
        fleet.world.do("add", service="llm-2")
        results = gateways.await_results(fleet.gateways[0], "j1", 2 * ITEMS)
        self.assertEqual({(result["state"], result["output"]) for result in results},
                         {("complete", output_of(f"j1-{n}", TOKENS)) for n in range(2 * ITEMS)})
        self.assertEqual({run["service"] for run in fleet.world.runs()[runs:]}, {"llm-2"})


class RouteThatWasRemoved(unittest.TestCase):
    # Guards against items that neither run nor are given up: a route of another kind begins their
    # paths once that of their job is gone.
    def test_items_are_given_up(self):
        fleet = Fleet(BUILD, gateways=1, engines=2, services=1).__enter__()
        self.addCleanup(fleet.__exit__, None)
        fleet.world.do("configure", catch_all=True)
        for index in range(2):
            fleet.world.do("engine", index=index, slowdown=50)
        submitted = call(fleet.gateways[0].callers, "POST", "/reports/j1", job("j1", ITEMS, TOKENS),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        fleet.world.do("configure", without=["/reports/"])
        results = wait_for("all items are given up", lambda: (
            found := results_of(fleet.gateways[0])) and len(found) == ITEMS and found, 5)
        self.assertEqual({result["state"] for result in results}, {"dead"})


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
