#!/usr/bin/env python3
"""Gateways before a store of which a part or a kind of call fails, and before engines that
answer late or not as asked. What works must go on, and what is not known must be no answer.

usage: store-parts-test.py BUILD_FOLDER
"""

import asyncio
import collections
import pathlib
import sys
import time
import unittest

from gateways import Connection, Fleet, call, job, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()


def submit(gateway, job_id, count, tokens=20):
    return call(gateway.callers, "POST", f"/reports/{job_id}", job(job_id, count, tokens),
                {"Request-Id": job_id, "Content-Type": "application/json"})[0]


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
            wait_for("it is ready", second.ready)
            time.sleep(2)
            self.assertEqual(submit(first, "j1", 32, tokens=100), 202)
            wait_for("all engines run items", lambda: len(
                {run["engine"] for run in fleet.world.runs()}) == 4, seconds=5)
            # With the list it is one of them.
            fleet.world.do("store", unlisted=[])
            wait_for("it keeps engines", lambda: second.lines("joined"))


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


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
