#!/usr/bin/env python3
"""Answers of backend servers whose head isn't one of HTTP/1, before real gateways.

usage: broken-heads-test.py BUILD_FOLDER
"""

import base64
import concurrent.futures
import pathlib
import sys
import time
import unittest

from backend_faults import BACKENDS, ENGINES, EVENTS, ONE_OF_EACH, BackendFaultsTest
from gateways import await_results, output_of, submit

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ATTEMPTS, AT_ONCE = 12, 4  # while one backend server of each service answers so
ITEMS = 12
JOBS = 4
SETTLED_S = 4  # until jobs that were written have been found and have begun
BAD_GATEWAY = 502
NOT_RUN = (408, 421, 429, 503)  # statuses that promise it
SOUND_LINE = "HTTP/1.1 200 OK"

STATUS_LINES = [f"HTTP/1.1 {status} OK"
                for status in ("000", "001", "099", "2", "20", "0200", "2000", "2 00", "600", "999")]
# Of another protocol or version, or with a control byte in the reason.
OTHER_LINES = ["HTTQ/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 O\x01K",
               "HTTP/1.1 200 O\rK"]
# Names with a blank or a control byte; one takes the answer's length away, and one begins with a
# blank where it continues no field.
FIELDS = ["Content-Length : LENGTH", "Bad Name: x", "Name : x", " Name: x", "Na\tme: x",
          "Na\x01me: x", ": x"]


def items_of(job):
    return [{"id": f"{job}-{n}", "path": f"/reports/{job}/{n}", "tokens": EVENTS,
             "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
             "body": base64.b64encode(b"rye").decode()} for n in range(ITEMS)]


class BrokenHeads(BackendFaultsTest):
    build = BUILD

    def send_broken_heads(self, backends, line=SOUND_LINE, field="", share=1.0):
        self.set_faults(backends, broken_head=share, broken_line=line, broken_field=field)

    def attempt_short(self, path):
        return self.attempt(path, b"rye", deadline_ms=3000)

    def check_forms(self, forms):
        """Where only broken answers come, each route tells its callers so."""
        for form in forms:
            self.send_broken_heads(BACKENDS, **form)
            for path, most_runs in (("/photos/1", 3), ("/flags/1", 1), ("/notes/1", 2)):
                with self.subTest(path=path, **form):
                    request, answer = self.attempt_short(path)
                    runs = self.runs_of(request)
                    self.assertTrue(1 <= len(runs) <= most_runs, runs)
                    self.assertTrue(all(run["broken"] for run in runs))
                    self.assertEqual(answer.status, BAD_GATEWAY)

    # Guards against a status that is none and goes out as an answer's.
    def test_status_codes(self):
        self.check_forms([{"line": line} for line in STATUS_LINES])

    # Guards against bytes of another protocol that go out as an answer.
    def test_status_lines_of_other_protocols(self):
        self.check_forms([{"line": line} for line in OTHER_LINES])

    # Guards against a field that is passed on, or hides the answer's length, though its name is none.
    def test_names_of_fields(self):
        self.check_forms([{"field": field} for field in FIELDS])

    def beside_sound_backends(self, path, **form):
        """Attempts while one backend server of each service answers so."""
        self.send_broken_heads(ONE_OF_EACH, **form)
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as callers:
            attempts = [callers.submit(self.attempt_short, path) for _ in range(ATTEMPTS)]
            answers = dict(attempt.result() for attempt in attempts)
        hit = {run["id"] for run in self.fleet.world.runs() if run["broken"]}
        self.assertTrue(hit)
        return answers, hit

    # Guards against sound requests that fail beside one backend server that answers so.
    def test_requests_that_may_run_again_are_served_elsewhere(self):
        for path, form in (("/photos/1", {"line": STATUS_LINES[0]}),
                           ("/notes/1", {"field": FIELDS[0]})):
            answers, _ = self.beside_sound_backends(path, **form)
            for request, answer in answers.items():
                self.assert_served(request, answer)

    # Guards against a second run of a request that may have run.
    def test_requests_that_may_run_once_run_once(self):
        answers, hit = self.beside_sound_backends("/flags/1", line=STATUS_LINES[0])
        for request, answer in answers.items():
            self.assertEqual(len(self.runs_of(request)), 1)
            if request in hit:
                self.assertEqual(answer.status, BAD_GATEWAY)
            else:
                self.assert_served(request, answer)

    # Guards against an item's output that is taken from such an answer.
    def test_items_run_again(self):
        for n, form in enumerate(({"line": STATUS_LINES[0]}, {"field": FIELDS[0]})):
            self.send_broken_heads(range(ENGINES), share=0.4, **form)
            job = f"j{n}"
            self.assertEqual(submit(self.fleet.gateways[0], job, items_of(job)), 202)
            for result in await_results(self.fleet.gateways[1], job, ITEMS):
                self.assertEqual((result["state"], result["output"]),
                                 ("complete", output_of(result["id"], EVENTS)))
                ended_by = max(self.runs_of(result["id"]), key=lambda run: run["at"])
                self.assertFalse(ended_by["broken"], form)
            self.assertTrue(any(run["broken"] for run in self.fleet.world.runs()
                                if run["id"].startswith(job)))

    # Guards against a job that is refused as not run, and runs: the store has written it and answers
    # with a status that is none.
    def test_jobs_whose_write_is_answered_so_are_not_refused(self):
        self.fleet.world.do("store", faults=[{"call": "tx", "how": "broken"}])
        jobs = [f"j{n}" for n in range(JOBS)]
        statuses = {job: submit(self.fleet.gateways[n % 2], job, items_of(job))
                    for n, job in enumerate(jobs)}
        self.fleet.world.do("store", faults=[])
        time.sleep(SETTLED_S)
        ran = {run["id"].partition("-")[0] for run in self.fleet.world.runs()}
        refused = {job for job, status in statuses.items() if status in NOT_RUN}
        self.assertFalse(refused & ran)
        for n, job in enumerate(jobs):
            self.assertEqual(submit(self.fleet.gateways[n % 2], job, items_of(job)), 202)
            results = await_results(self.fleet.gateways[n % 2], job, ITEMS)
            self.assertEqual({result["id"]: result["output"] for result in results},
                             {f"{job}-{n}": output_of(f"{job}-{n}", EVENTS) for n in range(ITEMS)})


if __name__ == "__main__":
    unittest.main()
