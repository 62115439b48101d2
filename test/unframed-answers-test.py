#!/usr/bin/env python3
"""Answers with neither a length nor chunks, which end with their connection, before real gateways.

usage: unframed-answers-test.py BUILD_FOLDER
"""

import base64
import http.client
import itertools
import pathlib
import sys
import unittest

from gateways import Fleet, await_results, call, output_of, submit

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ENGINES, SERVICES = 6, 3
EVENTS = 20
ATTEMPTS = 20


class UnframedAnswers(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=2, engines=ENGINES, services=SERVICES)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)
        self.engines(unframed=1.0)

    def engines(self, **faults):
        for index in range(ENGINES + SERVICES):
            self.fleet.world.do("engine", index=index, **faults)

    def attempt(self, path, body=b"rye"):
        """Its id, and its status and body; nothing if the answer broke off."""
        n = next(self.numbers)
        entry = self.fleet.gateways[n % 2]
        headers = {"Request-Id": f"a{n}", "Model": "m", "Tokens": f"10,{EVENTS}",
                   "Deadline-Ms": "3000"}
        try:
            status, _, answer = call(entry.callers, "POST", path, body, headers)
        except (OSError, http.client.HTTPException):
            return f"a{n}", None
        return f"a{n}", (status, answer.decode())

    def output(self, answer):
        return "\n".join(line[6:] for line in answer.splitlines() if line.startswith("data: "))

    def assert_whole(self, request, got):
        self.assertIsNotNone(got)
        self.assertEqual((got[0], self.output(got[1])), (200, output_of(request, EVENTS)))

    # Guards against answers that are taken for broken because they have no length.
    def test_whole_answers_are_passed_on_whole(self):
        for path in ("/notes/1", "/flags/1"):
            for _ in range(ATTEMPTS):
                self.assert_whole(*self.attempt(path))
        for _ in range(ATTEMPTS):
            request, got = self.attempt("/photos/1")
            self.assertEqual(got, (200, f"answer to {request}"))

    # Guards against a stream that ends inside an event and is passed on as a whole one.
    def test_a_stream_torn_inside_an_event_is_resumed_or_broken_off(self):
        self.engines(cut=0.5)
        torn = 0
        for _ in range(ATTEMPTS):
            request, got = self.attempt("/flags/1")
            torn += got is None
            if got is not None:
                self.assert_whole(request, got)
        self.assertGreaterEqual(torn, 1)
        whole = 0
        for _ in range(ATTEMPTS):
            request, got = self.attempt("/notes/1")
            if got is not None:  # the second run may be torn as well
                whole += 1
                self.assert_whole(request, got)
        self.assertGreaterEqual(whole, ATTEMPTS // 2)

    # Guards against the end of a crashed engine's connection that is taken for the answer's end.
    def test_a_crash_between_two_events_is_not_the_end_of_the_answer(self):
        for path in ("/flags/1", "/notes/1", "/photos/1"):
            for n in range(3):
                _, got = self.attempt(path, f"crash: {path} {n}".encode())
                if got is not None:
                    self.assertNotEqual(got[0], 200, got)

    # Guards against a batch result that lacks its end.
    def test_items_are_completed_with_their_whole_text(self):
        self.engines(cut=0.3)
        items = [{"id": f"item-{n}", "path": f"/reports/j/{n}", "tokens": EVENTS,
                  "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
                  "body": base64.b64encode(b"rye").decode()} for n in range(12)]
        self.assertEqual(submit(self.fleet.gateways[0], "j", items), 202)
        results = await_results(self.fleet.gateways[1], "j", len(items))
        self.assertEqual(len(results), len(items))
        for result in results:
            self.assertEqual(result["output"], output_of(result["id"], EVENTS))


if __name__ == "__main__":
    unittest.main()
