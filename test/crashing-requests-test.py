#!/usr/bin/env python3
"""A request that crashes the backend servers that run it, before real gateways.

usage: crashing-requests-test.py BUILD_FOLDER

One request took down 14 backend servers of nine places, another one 19. Its callers sent it again
and again, to any entry; each attempt had a new id, and each entry passed it on to the next backend
server as it came. What ran there beside it was lost: of the other requests of its kind a fifth
failed meanwhile. Entries log of each such end that the same request was lost and that nobody
listens any more, `send_lost ... dialed=refused` with one fingerprint, at one backend server after
the other, and none of them knew that the others had seen the same.
"""

import base64
import concurrent.futures
import itertools
import json
import pathlib
import sys
import time
import unittest

import gateways
from gateways import Fleet, await_results, call, output_of, submit

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
CRASHING = b"crash: rye, field 12"
BLAMED_AFTER = 3  # backend servers that a request has crashed
# Within this time of the last of them all entries know of it: a request that crashes backend
# servers may reach no more than MAY_RETRY of them later on.
KNOWN_WITHIN = 3
MAY_RETRY = 3
LATER = 10  # attempts that come afterwards


def item(name, body=b"plain", tokens=20):
    return {"id": name, "path": f"/reports/j/{name}", "tokens": tokens,
            "headers": {"Model": "m", "Tokens": f"10,{tokens}"},
            "body": base64.b64encode(body).decode()}


class CrashingRequests(unittest.TestCase):
    def begin(self, **world):
        self.fleet = Fleet(BUILD, **({"gateways": 3, "engines": 6, "services": 1} | world))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)

    def attempt(self, path="/flags/1", body=CRASHING, tokens=20):
        """One attempt of the caller, at one entry after the other: its status and headers."""
        n = next(self.numbers)
        entry = self.fleet.gateways[n % len(self.fleet.gateways)]
        headers = {"Request-Id": f"a{n}", "Model": "m", "Tokens": f"10,{tokens}",
                   "Deadline-Ms": "2000"}
        try:
            return call(entry.callers, "POST", path, body, headers)
        except (OSError, gateways.http.client.HTTPException):
            return None  # the answer broke off

    def crashed(self):
        return sum(run["crashed"] for run in self.fleet.world.runs())

    def crash_some(self, **attempt):
        """Enough attempts to crash three backend servers, and the time for all to hear."""
        for _ in range(4 * BLAMED_AFTER):
            self.attempt(**attempt)
            time.sleep(0.1)
        self.assertGreaterEqual(self.crashed(), 1)
        time.sleep(KNOWN_WITHIN)

    def send_later(self, **attempt):
        """Further attempts: how many backend servers they crash, and their answers."""
        before = self.crashed()
        answers = [self.attempt(**attempt) for _ in range(LATER)]
        return self.crashed() - before, answers

    def assert_kept_away(self, more, answers):
        self.assertLessEqual(more, MAY_RETRY)
        refused = [answer for answer in answers if answer is not None]
        self.assertGreaterEqual(len(refused), LATER - MAY_RETRY)
        for status, headers, body in refused:
            self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
            self.assertGreater(float(headers["Retry-After"]), 0)

    def assert_others_are_served(self, path="/flags/1", body=b"rye, field 13"):
        for _ in range(LATER):
            status, _, body = self.attempt(path=path, body=body)
            self.assertEqual(status, 200, body)

    def test_attempts_at_any_entry_are_refused(self):
        self.begin()
        self.crash_some()
        self.assert_kept_away(*self.send_later())
        self.assert_others_are_served()

    def test_a_request_that_may_be_repeated_is_not_carried_on_by_its_entry(self):
        self.begin()
        self.crash_some(path="/notes/1")
        self.assert_kept_away(*self.send_later(path="/notes/1"))

    def test_plain_services_are_guarded_as_well(self):
        self.begin(services=6)
        self.crash_some(path="/photos/1")
        self.assert_kept_away(*self.send_later(path="/photos/1"))
        self.assert_others_are_served(path="/photos/1")

    def test_entries_that_have_started_anew_know_of_it(self):
        self.begin()
        self.crash_some()
        for gateway in self.fleet.gateways:
            gateway.stop()
        for gateway in self.fleet.gateways:
            gateway.start()
        for gateway in self.fleet.gateways:
            gateway.await_ready()
        time.sleep(KNOWN_WITHIN)
        self.assert_kept_away(*self.send_later())

    def test_crashes_while_the_store_is_away_are_known_after_its_return(self):
        self.begin()
        self.fleet.world.do("store", mode="refuse")
        for _ in range(4 * BLAMED_AFTER):
            self.attempt()
            time.sleep(0.1)
        self.fleet.world.do("store", mode="ok")
        time.sleep(KNOWN_WITHIN)
        self.assert_kept_away(*self.send_later())

    def test_requests_that_ran_beside_it_are_served(self):
        # They are lost at the same backend servers, by the same signs, and come again as well.
        self.begin(engines=3, places=8)
        beside = {"path": "/notes/1", "body": b"rye, field 14"}
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            for _ in range(BLAMED_AFTER):
                others = [pool.submit(self.attempt, tokens=100, **beside) for _ in range(12)]
                time.sleep(0.1)
                self.attempt()
                concurrent.futures.wait(others)
                time.sleep(0.5)
        self.assertGreaterEqual(self.crashed(), 2)
        lost = [run for run in self.fleet.world.runs()
                if run["target"] == "/notes/1" and not run["whole"]]
        self.assertGreaterEqual(len({run["engine"] for run in lost}), 2)
        time.sleep(KNOWN_WITHIN)
        self.assert_others_are_served(**beside)

    def test_an_item_that_crashes_backend_servers_is_held_back_and_the_others_are_done(self):
        self.begin()
        # Long enough that no run from crash to crash could bring it to its end.
        items = [item("item-0", CRASHING, 1000)] + [item(f"item-{n}") for n in range(1, 8)]
        self.assertEqual(submit(self.fleet.gateways[0], "j", items), 202)
        for result in await_results(self.fleet.gateways[1], "j", 7):
            self.assertEqual(result["output"], output_of(result["id"]))
        time.sleep(KNOWN_WITHIN)
        before = self.crashed()
        self.assertGreaterEqual(before, 1)
        time.sleep(KNOWN_WITHIN + LATER)
        self.assertLessEqual(self.crashed() - before, MAY_RETRY)


if __name__ == "__main__":
    unittest.main()
