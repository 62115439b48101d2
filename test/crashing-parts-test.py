#!/usr/bin/env python3
"""Parts of prompts that crash the backend servers that run them, before real gateways.

usage: crashing-parts-test.py BUILD_FOLDER

No two requests are alike here: only a part of their prompts is the same, and sound requests have
all of the other parts as well.
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
BAD = "bad0001"  # crashes each engine that begins to write an answer on it
OTHER_BAD = "bad0002"
CRASHING = "crash: rye, field 12"
SYSTEM, SUBJECT = "5c1e07a2", "91bd3f06"
# Once a part has crashed this many backend servers, and after this time, it may reach no more than
# MAY_REACH of them.
CRASHES = 5
KNOWN_WITHIN = 3
MAY_REACH = 3
LATER = 12  # requests that come afterwards


def item(name, parts, tokens=20):
    prompt = ",".join(f"{part}:100" for part in [*parts, name.encode().hex()])
    return {"id": name, "path": f"/reports/j/{name}", "tokens": tokens,
            "headers": {"Model": "m", "Tokens": f"10,{tokens}", "Prompt-Prefix": prompt},
            "body": base64.b64encode(name.encode()).decode()}


class CrashingParts(unittest.TestCase):
    def begin(self, **world):
        self.fleet = Fleet(BUILD, **({"gateways": 3, "engines": 8, "services": 1} | world))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)

    def attempt(self, parts=(SYSTEM, BAD, SUBJECT), path="/flags/1", tokens=10, deadline_ms=2000):
        """One attempt, with a content of its own: its status, headers and body."""
        n = next(self.numbers)
        prompt = ",".join(f"{part}:100" for part in [*parts, f"e{n:07x}"])
        return self.send(n, path, f"rye, field {n}", tokens,
                         {"Prompt-Prefix": prompt, "Deadline-Ms": str(deadline_ms)})

    def send(self, n, path, body, tokens, headers):
        entry = self.fleet.gateways[n % len(self.fleet.gateways)]
        headers = {"Request-Id": f"a{n}", "Model": "m", "Tokens": f"10,{tokens}"} | headers
        try:
            return call(entry.callers, "POST", path, body, headers)
        except (OSError, gateways.http.client.HTTPException):
            return None  # the answer broke off

    def send_crashing(self):
        """An attempt of the same request, without a list of parts, which crashes what runs it."""
        return self.send(next(self.numbers), "/flags/1", CRASHING, 10, {"Deadline-Ms": "2000"})

    def crashing_runs(self):
        return [run for run in self.fleet.world.runs() if not run["parts"] and run["crashed"]]

    def reached(self, *parts):
        """How many runs with one of the parts have reached a backend server."""
        return sum(bool(set(run["parts"]) & set(parts)) for run in self.fleet.world.runs())

    def crash_some(self, *sets, **attempt):
        """Requests with these parts, sound ones between them, and the time for all to hear."""
        for _ in range(2 * CRASHES):
            for parts in sets or [(SYSTEM, BAD, SUBJECT)]:
                self.attempt(parts, **attempt)
                self.attempt([part for part in parts if not part.startswith("bad")] or [SUBJECT],
                             **attempt)
            time.sleep(0.1)
        time.sleep(KNOWN_WITHIN)

    def assert_kept_away(self, *sets, **attempt):
        sets = sets or [(SYSTEM, BAD, SUBJECT)]
        bad = {part for parts in sets for part in parts if part.startswith("bad")}
        before = self.reached(*bad)
        self.assertGreaterEqual(before, 1)
        for parts in sets:
            answers = [self.attempt(parts, **attempt) for _ in range(LATER)]
            refused = [answer for answer in answers if answer is not None]
            self.assertGreaterEqual(len(refused), LATER - MAY_REACH)
            for status, headers, body in refused:
                self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
                self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertLessEqual(self.reached(*bad) - before, MAY_REACH)
        self.assertLessEqual(before, len(bad) * CRASHES)

    def assert_served(self, parts=(SYSTEM, SUBJECT), path="/flags/1", count=LATER):
        for _ in range(count):
            answer = self.attempt(parts, path=path)
            self.assertIsNotNone(answer)
            self.assertEqual(answer[0], 200, answer[2])

    # Guards against backend servers lost to a part whose requests are never the same.
    def test_a_part_is_refused_at_any_entry_and_requests_with_the_other_parts_are_served(self):
        self.begin()
        self.crash_some()
        self.assert_kept_away()
        self.assert_served()

    # Guards against entries that forget the part when they start again.
    def test_entries_that_have_started_again_know_the_part(self):
        self.begin()
        self.crash_some(path="/notes/1")
        for gateway in self.fleet.gateways:
            gateway.stop()
        for gateway in self.fleet.gateways:
            gateway.start()
        for gateway in self.fleet.gateways:
            gateway.await_ready()
        time.sleep(KNOWN_WITHIN)
        self.assert_kept_away(path="/notes/1")
        self.assert_served(path="/notes/1")

    # Guards against two causes that hide each other, of which one is a prompt's first part.
    def test_two_parts_at_once_are_both_refused(self):
        self.begin()
        sets = [(SYSTEM, BAD, SUBJECT), (OTHER_BAD, SUBJECT)]
        self.crash_some(*sets)
        self.assert_kept_away(*sets)
        self.assert_served()

    # Guards against refusing a sound part for ever because it came together with the cause.
    def test_a_part_that_always_came_with_the_cause_is_served_without_it(self):
        self.begin()
        for _ in range(2 * CRASHES):
            self.attempt((SYSTEM, BAD, "c0ffee"))
            self.attempt((SYSTEM,))
            time.sleep(0.1)
        time.sleep(KNOWN_WITHIN)
        self.assert_kept_away((SYSTEM, BAD, "c0ffee"))
        for _ in range(len(self.fleet.gateways)):
            self.attempt((SYSTEM, "c0ffee"))
        self.assert_served((SYSTEM, "c0ffee"))
        self.assert_kept_away((SYSTEM, BAD, SUBJECT))

    # Guards against blaming what all requests share when backend servers end for another reason.
    def test_parts_of_requests_lost_with_a_rack_are_served(self):
        self.begin(engines=8, places=8)
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for _ in range(2):
                # None of them is answered before the rack ends.
                lost = [pool.submit(self.attempt, (SYSTEM, SUBJECT), tokens=200)
                        for _ in range(16)]
                time.sleep(0.3)
                for index in range(0, 8, 2):
                    self.fleet.world.do("engine", index=index, act="crash_a_while")
                concurrent.futures.wait(lost)
                time.sleep(0.5)
        self.assert_served()

    # Guards against refusing what all requests share for a request that is sent again and crashes
    # what runs it: the part was blamed, and the request was served in its place.
    def test_a_part_that_was_lost_beside_a_crashing_request_is_served(self):
        self.begin(engines=1, places=8)
        self.fleet.world.do("engine", index=0, slowdown=25)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            for _ in range(2):
                beside = [pool.submit(self.attempt, (SYSTEM, SUBJECT), tokens=100)
                          for _ in range(4)]
                time.sleep(0.2)
                self.send_crashing()
                concurrent.futures.wait(beside)
                time.sleep(1)  # the engine is back
        self.fleet.world.do("engine", index=0, slowdown=1)
        self.assertEqual(len(self.crashing_runs()), 2)
        time.sleep(KNOWN_WITHIN)
        self.assert_served()
        for _ in range(LATER):
            self.send_crashing()
        self.assertLessEqual(len(self.crashing_runs()), 2 + MAY_REACH)

    # Guards against refusing what all requests share after two crashes with two causes, while
    # answers to other requests with it go on.
    def test_a_part_whose_answers_go_on_is_served(self):
        self.begin(engines=4)
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            streams = [pool.submit(self.attempt, (SYSTEM, SUBJECT), tokens=900, deadline_ms=9000)
                       for _ in self.fleet.gateways]
            time.sleep(0.5)
            for cause in (BAD, OTHER_BAD):
                self.attempt((SYSTEM, cause))
                time.sleep(0.5)
            self.assertEqual(self.reached(BAD, OTHER_BAD), 2)
            self.assertFalse(all(stream.done() for stream in streams))
            self.assert_served(count=len(self.fleet.gateways))

    # Guards against taking the end of an answer without a length for its completion.
    def test_a_part_is_refused_where_answers_have_neither_a_length_nor_chunks(self):
        self.begin()
        for index in range(8):
            self.fleet.world.do("engine", index=index, unframed=1.0)
        self.crash_some()
        self.assert_kept_away()
        self.assert_served()

    # Guards against batch items that carry on what online requests are refused for.
    def test_items_with_the_part_wait_and_the_others_are_done(self):
        self.begin()
        items = [item(f"item-{n}", (SYSTEM, BAD) if n < 4 else (SYSTEM,)) for n in range(12)]
        self.assertEqual(submit(self.fleet.gateways[0], "j", items), 202)
        for result in await_results(self.fleet.gateways[1], "j", 8):
            self.assertEqual(result["output"], output_of(result["id"]))
        time.sleep(KNOWN_WITHIN)
        before = self.reached(BAD)
        self.assertLessEqual(before, 2 * CRASHES)
        time.sleep(KNOWN_WITHIN + LATER)
        self.assertLessEqual(self.reached(BAD) - before, MAY_REACH)


if __name__ == "__main__":
    unittest.main()
