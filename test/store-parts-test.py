#!/usr/bin/env python3
"""Gateways before a store of which a part or a kind of call fails, and before engines that
answer late or not as asked. What works must go on, and what is not known must be no answer.

usage: store-parts-test.py BUILD_FOLDER
"""

import asyncio
import collections
import json
import pathlib
import sys
import time
import unittest

from gateways import KILL, Connection, Fleet, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()


def submit(gateway, job_id, count, tokens=20):
    return call(gateway.callers, "POST", f"/reports/{job_id}", job(job_id, count, tokens),
                {"Request-Id": job_id, "Content-Type": "application/json"})[0]


def results_of(gateway, job_id):
    """All results by now, by position; a status in place of them."""
    results = []
    while True:
        status, _, body = call(gateway.callers, "GET", f"/-/lots/{job_id}?after={len(results)}")
        if status != 200:
            return status
        page = json.loads(body)["results"]
        if not page:
            return results
        results += page


def wait_whole(test, gateway, job_id, count, tokens=20):
    def done():
        results = results_of(gateway, job_id)
        return isinstance(results, list) and len(results) == count and results
    results = wait_for(f"{job_id} is done", done)
    test.assertEqual({(result["state"], result["output"]) for result in results},
                     {("complete", output_of(f"{job_id}-{n}", tokens)) for n in range(count)})


def part_of(fleet, job_id):
    _, _, body = call(fleet.world.store, "GET", "/-/rows-parts?table=jobs")
    for part in json.loads(body)["parts"]:
        rows = call(fleet.world.store, "GET", f"/-/rows-get?table=jobs&part={part}")[2]
        if any(row["key"] == job_id for row in json.loads(rows)["rows"]):
            return part
    raise AssertionError(f"{job_id} is in no part")


class Parts(unittest.TestCase):
    def one_part_fails(self, how):
        # Symptom: all jobs stand still at a gateway that has started, and a caller reads that
        # a job that was accepted does not exist.
        # Sequence: one part of the store fails while the gateway starts and lists its jobs.
        # Cause: a list with a part that could not be read was taken for no list, or for one
        # that has no jobs there.
        jobs = [f"j{n}" for n in range(6)]
        with Fleet(BUILD, gateways=1) as fleet:
            gateway = fleet.gateways[0]
            for job_id in jobs:
                self.assertEqual(submit(gateway, job_id, 6, tokens=150), 202)
            gateway.signal(KILL)
            gateway.process.wait()
            bad = part_of(fleet, "j0")
            hidden = [job_id for job_id in jobs if part_of(fleet, job_id) == bad]
            fleet.world.do("store", faults=[{"part": bad, "how": how}])
            gateway.start()
            wait_for("it is ready", gateway.ready)
            self.assertIn(results_of(gateway, "j0"), (429, 503, 504))
            # A caller's read would bring the row of its job; here the list has to.
            seen = set(jobs) - set(hidden)
            items = {f"{job_id}-{n}" for job_id in seen for n in range(6)}
            wait_for("the other jobs' items are done", lambda: not [
                item for item in items
                if not any(f"item={item} " in line for line in gateway.lines("item_finished"))])
            for job_id in seen:
                wait_whole(self, gateway, job_id, 6, 150)
            self.assertIn(results_of(gateway, "j0"), (429, 503, 504))
            fleet.world.do("store", faults=[])
            for job_id in hidden:
                wait_whole(self, gateway, job_id, 6, 150)

    def test_a_part_that_turns_calls_away_hides_its_own_jobs_only(self):
        self.one_part_fails("refuse")

    def test_a_part_that_is_too_busy_hides_its_own_jobs_only(self):
        self.one_part_fails("busy")

    def test_a_part_that_loses_its_answers_hides_its_own_jobs_only(self):
        self.one_part_fails("lose")

    def test_jobs_complete_while_answers_of_all_kinds_of_call_are_lost(self):
        # Symptom: a job stands still, or an item is listed twice.
        # Sequence: the store does what it is told and loses a third of its answers, of reads
        # and of the feed as well as of commits, while a gateway is killed and starts again.
        with Fleet(BUILD, gateways=2) as fleet:
            fleet.world.do("store", faults=[{"call": kind, "how": "lose", "share": 0.3}
                                            for kind in ("tx", "get", "feed", "parts")])
            for n in range(4):
                wait_for("it is accepted", lambda n=n: submit(
                    fleet.gateways[n % 2], f"j{n}", 8, tokens=60) == 202)
            fleet.gateways[0].signal(KILL)
            fleet.gateways[0].process.wait()
            fleet.gateways[0].start()
            wait_for("it is ready", fleet.gateways[0].ready)
            for n in range(4):
                wait_whole(self, fleet.gateways[n % 2], f"j{n}", 8, 60)


class Joining(unittest.TestCase):
    def test_a_gateway_without_a_list_of_backend_servers_keeps_none(self):
        # Symptom: a part of the engines gets no batch items, though all are idle, for as long
        # as a gateway that has started can't read the list of backend servers.
        # Sequence: it names itself to the others before it has read the list; they take it
        # for the keeper of the engines near it and wait for its grants.
        # Cause: its grants have no lines, since it keeps nothing yet; that they come shows
        # that it lives, and so nobody else becomes keeper.
        with Fleet(BUILD, gateways=1) as fleet:
            first = fleet.gateways[0]
            fleet.world.do("store", unlisted=["servers"])
            second = fleet.add(1)
            wait_for("it has its configuration", lambda: second.lines("config_in_force"))
            time.sleep(2)
            self.assertFalse(second.ready())
            self.assertEqual(submit(first, "j1", 32, tokens=100), 202)
            wait_for("all engines run items", lambda: len(
                {run["engine"] for run in fleet.world.runs()}) == 4, seconds=5)
            # With the list it is one of them.
            fleet.world.do("store", unlisted=[])
            wait_for("it keeps engines", lambda: second.lines("joined"))
            wait_for("it is ready", second.ready)


def stream(request_id, tokens=20):
    return {"Request-Id": request_id, "Model": "m", "Tokens": f"10,{tokens}",
            "Deadline-Ms": "5000"}


class LateAnswers(unittest.TestCase):
    def test_a_late_refusal_of_an_earlier_request_does_not_have_one_run_twice(self):
        # Symptom: a request that may not be repeated runs at two engines.
        # Sequence: an engine answers a request, and its connection is kept; the next request
        # goes out on it; now the engine says of the earlier one that it was not run.
        # Cause: whoever said "not run" was believed, whatever request it named.
        with Fleet(BUILD, gateways=1) as fleet:
            gateway = fleet.gateways[0]
            for index in range(4):
                fleet.world.do("engine", index=index, late_refusal=0.5)

            async def ask_all():
                return [await Connection(gateway.callers).request(
                    "POST", "/flags/1", stream(f"f{n}", 3)) for n in range(60)]

            answers = asyncio.run(ask_all())
            runs = collections.Counter(run["id"] for run in fleet.world.runs())
            self.assertEqual([each for each in runs.items() if each[1] > 1], [])
            failed = [answer for answer in answers if answer.status != 200]
            self.assertTrue(failed, "no late answer came where it was taken for another one's")
            self.assertEqual({answer.status for answer in failed}, {502})


    def test_a_late_second_answer_goes_to_nobody_and_stands_in_no_item_twice(self):
        # Symptom: a caller gets another one's answer, or an item's text holds parts twice.
        # Sequence: engines answer a third of the requests once more, by themselves or when the
        # next request comes on the connection, and break off some streams.
        with Fleet(BUILD, gateways=1, services=3) as fleet:
            gateway = fleet.gateways[0]
            for index in range(7):
                fleet.world.do("engine", index=index, late=0.3, cut=0.1)
            self.assertEqual(submit(gateway, "j1", 60), 202)

            async def ask(path, name):
                return name, await Connection(gateway.callers).request("POST", path,
                                                                       stream(name))

            async def ask_all():
                answers = []
                for n in range(30):
                    answers += await asyncio.gather(ask("/flags/1", f"f{n}"),
                                                    ask("/photos/1", f"p{n}"))
                return answers

            answers = asyncio.run(ask_all())
            for name, answer in answers:
                if answer.status != 200:
                    self.assertEqual(answer.status, 502)
                elif name[0] == "p":
                    self.assertEqual(answer.body.decode(), f"answer to {name}")
                else:
                    data = [line[6:] for line in answer.body.decode().splitlines()
                            if line.startswith("data: ")]
                    self.assertEqual(data, [f"{name}-{n + 1}" for n in range(len(data))])
            self.assertGreater(sum(answer.whole and answer.status == 200
                                   for _, answer in answers), 30)
            runs = collections.Counter(run["id"] for run in fleet.world.runs())
            self.assertEqual([f for f in runs.items() if f[0][0] == "f" and f[1] > 1], [])
            wait_whole(self, gateway, "j1", 60)


class Failures(unittest.TestCase):
    def test_an_engines_own_failure_counts_as_a_run(self):
        # Symptom: a request that may not be repeated runs twice, or an item is given up before
        # it has failed as often as its route allows.
        # Sequence: engines answer a part of what they get by 500.
        with Fleet(BUILD, gateways=1, services=3) as fleet:
            gateway = fleet.gateways[0]
            for index in range(7):
                fleet.world.do("engine", index=index, fail=0.4)
            self.assertEqual(submit(gateway, "j1", 30), 202)
            for n in range(30):
                status, headers, _ = call(gateway.callers, "POST", "/flags/1",
                                          headers=stream(f"f{n}", 3))
                self.assertIn(status, (200, 500))
                self.assertTrue(headers["Stamp"].endswith(f".f{n}"))
                # 502: it failed at some, and the others are left out for their faults.
                self.assertIn(call(gateway.callers, "POST", "/photos/1",
                                   headers={"Request-Id": f"p{n}"})[0], (200, 500, 502))
            results = wait_for("j1 is done", lambda: (
                found := results_of(gateway, "j1")) and len(found) == 30 and found)
            runs = collections.Counter(run["id"] for run in fleet.world.runs())
            failed = collections.Counter(run["id"] for run in fleet.world.runs() if run["failed"])
            for n in range(30):
                self.assertEqual(runs[f"f{n}"], 1)
                self.assertLessEqual(runs[f"p{n}"], 3)
            for result in results:
                if result["state"] == "dead":
                    self.assertEqual(failed[result["id"]], 3)
                else:
                    self.assertEqual(result["output"], output_of(result["id"]))
                    self.assertLess(failed[result["id"]], 3)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
