#!/usr/bin/env python3
"""Backend servers that start again under the id that they had, before real gateways.

usage: backend-restart-test.py BUILD_FOLDER
"""

import asyncio
import json
import pathlib
import sys
import time
import unittest

from gateways import Connection, Fleet, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
# From the new entry in the store to the end of what ran at the earlier incarnation. Half of the
# shortest silence that ends a run otherwise: 1 s for items, and twice the longest pause between
# events (0.5 s) for streams.
AT_ONCE = 0.5
LONG = 400  # events of a stream that is still open when its backend server starts again


def headers(request_id, tokens=LONG):
    return {"Request-Id": request_id, "Model": "m", "Tokens": f"10,{tokens}",
            "Deadline-Ms": "5000"}


class Restarts(unittest.TestCase):
    """The symptom in each case below: after a backend server has lost its power and started
    again, callers of what ran there wait for a silence to be noticed, or for their deadlines,
    and its places count as taken meanwhile. The sequence: its entry in the store changes in
    nothing but the time of its start; open connections to it stay open and say nothing. The
    cause: an entry that was equal otherwise was taken for no change."""

    def begin(self, gateways=1, **world):
        self.fleet = Fleet(BUILD, gateways=gateways, services=1, **world).__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.gateway = self.fleet.gateways[0]

    def open_runs(self, at_least, engine=None):
        """Runs that are not over, once there are so many (at this backend server)."""
        def find():
            runs = [run for run in self.fleet.world.runs() if run["ended"] is None
                    and engine in (None, run["engine"])]
            return runs if len(runs) >= at_least else None
        return wait_for("runs are open", find)

    def restart(self, index=0, act="restart_dark"):
        told = self.fleet.world.do("engine", index=index, act=act)
        return told["id"], time.monotonic()

    async def ask(self, path, request_id, tokens=LONG, gateway=0):
        connection = Connection(self.fleet.gateways[gateway].callers)
        try:
            return await connection.request("POST", path, headers(request_id, tokens))
        finally:
            connection.close()

    def ask_and_restart(self, path, count, act="restart_dark"):
        """Streams that are open when backend server 0 starts again: their answers, the runs
        that this ended, when it was, and all runs."""
        async def play():
            asks = [asyncio.create_task(self.ask(path, f"r{i}")) for i in range(count)]
            await asyncio.to_thread(self.open_runs, count)
            runs = self.fleet.world.runs()
            engine, at = await asyncio.to_thread(self.restart, 0, act)
            lost = {run["id"] for run in runs if run["engine"] == engine}
            return await asyncio.gather(*asks), lost, at
        answers, lost, at = asyncio.run(play())
        self.assertTrue(lost)
        return answers, lost, at, self.fleet.world.runs()

    def assert_go_on_at_once(self, lost, at, runs):
        for request_id in lost:
            later = [run for run in runs if run["id"] == request_id and run["at"] > at]
            self.assertEqual(len(later), 1, request_id)
            self.assertLess(later[0]["at"] - at, AT_ONCE, request_id)
            self.assertGreater(later[0]["after"], 0, request_id)

    def test_resumable_streams_go_on_elsewhere_at_once(self):
        self.begin(engines=2, places=8)
        answers, lost, at, runs = self.ask_and_restart("/notes/1", 6)
        self.assert_go_on_at_once(lost, at, runs)
        for answer in answers:
            self.assertTrue(answer.whole)
            self.assertEqual(answer.events(), list(range(1, LONG + 1)))

    def test_resumable_streams_go_on_at_the_new_incarnation_if_there_is_no_other(self):
        self.begin(engines=1, places=8)
        answers, lost, at, runs = self.ask_and_restart("/notes/1", 4)
        self.assert_go_on_at_once(lost, at, runs)
        self.assertTrue(all(answer.whole for answer in answers))

    def test_a_stream_that_may_not_be_repeated_breaks_off_at_once_and_ran_once(self):
        self.begin(engines=1, places=8)
        answers, lost, at, runs = self.ask_and_restart("/flags/1", 4)
        self.assertEqual(len(lost), 4)
        for answer in answers:
            self.assertFalse(answer.whole)
            self.assertLess(answer.ended_at - at, AT_ONCE)
        self.assertEqual(sorted(run["id"] for run in runs), sorted(lost))

    def fill_and_restart(self, asker):
        """Answers of this gateway to new streams, after gateway 0 had taken all places."""
        async def play():
            asks = [asyncio.create_task(self.ask("/flags/1", f"old{i}")) for i in range(2)]
            await asyncio.to_thread(self.open_runs, 2)
            await asyncio.to_thread(self.restart)
            await asyncio.sleep(0.3)
            new = await asyncio.gather(*(self.ask("/flags/1", f"new{i}", 20, asker)
                                         for i in range(2)))
            await asyncio.gather(*asks)
            return new
        return [(answer.status, answer.whole) for answer in asyncio.run(play())]

    def test_places_of_the_ended_incarnation_are_free(self):
        self.begin(engines=1, places=2)
        self.assertEqual(self.fill_and_restart(0), [(200, True)] * 2)

    def test_places_that_another_gateway_had_at_the_ended_incarnation_are_free(self):
        self.begin(gateways=2, engines=1, places=2)
        self.assertEqual(self.fill_and_restart(1), [(200, True)] * 2)

    def test_items_go_on_at_once_from_what_had_arrived(self):
        self.begin(engines=2, places=4)
        submitted = call(self.gateway.callers, "POST", "/reports/j1", job("j1", 8, LONG),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        # Both backend servers run items, and each has given some events.
        self.open_runs(6)
        time.sleep(0.2)
        before = self.fleet.world.runs()
        engine, at = self.restart()
        lost = {run["id"] for run in before if run["engine"] == engine and run["ended"] is None}
        self.assertTrue(lost)

        def results():
            body = json.loads(call(self.gateway.callers, "GET", "/-/lots/j1?after=0")[2])
            return body["results"] if len(body["results"]) == 8 else None
        done = {result["id"]: result["output"] for result in wait_for("the job is done", results)}
        self.assertEqual(done, {f"j1-{n}": output_of(f"j1-{n}", LONG) for n in range(8)})
        self.assert_go_on_at_once(lost, at, self.fleet.world.runs())

    def test_streams_that_were_sent_to_the_new_incarnation_before_its_entry_came_go_on(self):
        """A backend server starts again while it can't reach the store, and serves what is sent
        to it; then its entry comes, and tells of a restart."""
        self.begin(engines=1, places=8)
        self.fleet.world.do("engine", index=0, muted=True, act="restart_dark")

        async def play():
            asks = [asyncio.create_task(self.ask("/flags/1", f"r{i}")) for i in range(4)]
            await asyncio.to_thread(self.open_runs, 4)
            await asyncio.to_thread(self.fleet.world.do, "engine", index=0, muted=False,
                                    act="list")
            return await asyncio.gather(*asks)
        answers = asyncio.run(play())
        self.assertTrue(self.gateway.lines("backend_restarted"))
        self.assertTrue(all(answer.whole for answer in answers))

    def test_an_entry_of_an_earlier_incarnation_that_comes_late_changes_nothing(self):
        self.begin(engines=1, places=8)
        engine, _ = self.restart()
        row = wait_for("it is told", lambda: self.gateway.lines("backend_restarted"))
        self.assertEqual(len(row), 1)
        old = {"service": "llm", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1",
               "slots": 8, "coldLeftMs": 0, "state": "ready", "sequence": 7, "born": 1000}
        self.fleet.world.do("write", table="servers", key=engine, value=json.dumps(old))
        wait_for("it is told", lambda: self.gateway.lines("backend_outdated"))
        answer = asyncio.run(self.ask("/notes/1", "n1", 20))
        self.assertEqual((answer.status, answer.whole), (200, True))


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
