#!/usr/bin/env python3
"""Answers with neither a length nor chunks, which end with their connection, before real gateways.

usage: unframed-answers-test.py BUILD_FOLDER
"""

import base64
import collections
import concurrent.futures
import http.client
import itertools
import pathlib
import signal
import sys
import time
import unittest

from gateways import Fleet, await_results, call, output_of, submit, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ENGINES, SERVICES = 6, 3
EVENTS = 20
ATTEMPTS = 20
STREAMS = 8  # open at once on each route
SLOWER = 20  # factor of the time that an event takes, so that streams are open for a while


class UnframedAnswers(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=2, engines=ENGINES, services=SERVICES)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)
        self.earlier = 0  # runs before those that a test is about
        self.engines(unframed=1.0)

    def engines(self, **faults):
        for index in range(ENGINES + SERVICES):
            self.fleet.world.do("engine", index=index, **faults)

    def attempt(self, path, body=b"rye", tokens=f"10,{EVENTS}", deadline_ms=3000):
        """Its id, and its status and body; nothing if the answer broke off."""
        n = next(self.numbers)
        entry = self.fleet.gateways[n % 2]
        headers = {"Request-Id": f"a{n}", "Model": "m", "Deadline-Ms": str(deadline_ms)}
        if tokens:
            headers["Tokens"] = tokens
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

    def open_streams(self, trouble):
        """What the callers got whose streams were open when `trouble` came, by route."""
        self.engines(slowdown=SLOWER)
        paths = ["/notes/1", "/flags/1"] * STREAMS
        self.earlier = len(self.fleet.world.runs())
        with concurrent.futures.ThreadPoolExecutor(len(paths)) as callers:
            # They run for 2.9 s where gateways stand still; no deadline is to end them.
            streams = [callers.submit(self.attempt, path, f"{path} {n}".encode(), deadline_ms=5000)
                       for n, path in enumerate(paths)]
            wanted = self.earlier + len(paths)
            wait_for("all streams run", lambda: len(self.fleet.world.runs()) >= wanted)
            time.sleep(0.4)
            trouble()
            got = collections.defaultdict(list)
            for path, stream in zip(paths, streams):
                got[path].append(stream.result())
        return got

    def resumed(self):
        return [run for run in self.fleet.world.runs()[self.earlier:] if run["after"] > 0]

    def assert_cut_streams_are_known(self, got):
        """Those that may be resumed go on elsewhere, and the others don't look complete."""
        for request, answer in got["/notes/1"]:
            self.assert_whole(request, answer)
        self.assertGreaterEqual(len(self.resumed()), 1)
        self.assertIn(None, [answer for _, answer in got["/flags/1"]])
        for request, answer in got["/flags/1"]:
            if answer is not None:
                self.assert_whole(request, answer)

    # Guards against streams that end as complete when their engine, listed as leaving, is gone.
    def test_streams_that_a_leaving_engine_cuts_go_on_or_break_off(self):
        def leave():
            for index in range(ENGINES // 2):
                self.fleet.world.do("engine", index=index, act="drain")
            time.sleep(0.3)
            for index in range(ENGINES // 2):
                self.fleet.world.do("engine", index=index, act="crash")
        self.assert_cut_streams_are_known(self.open_streams(leave))

    def stand_still(self, gateways, order):
        """These gateways are suspended while the engines do what `order` says."""
        for gateway in gateways:
            gateway.signal(signal.SIGSTOP)
        time.sleep(0.1)
        if order:
            for index in range(ENGINES // 2):
                self.fleet.world.do("engine", index=index, act=order)
        time.sleep(1.2)
        for gateway in gateways:
            gateway.signal(signal.SIGCONT)

    # Guards against streams that end as complete because the process that took the place of their
    # engine's, under its id, answers a gateway that was suspended meanwhile.
    def test_streams_whose_engine_is_replaced_unseen_go_on_or_break_off(self):
        for reports in (True, False):
            with self.subTest(reports=reports):
                self.engines(reports=reports)
                wait_for("all engines are there", lambda: not [
                    run for run in self.fleet.world.runs() if run["ended"] is None])
                self.assert_cut_streams_are_known(
                    self.open_streams(lambda: self.stand_still(self.fleet.gateways, "bounce")))

    # Guards against whole answers that are broken off because their gateway was suspended.
    def test_whole_streams_that_are_read_late_are_passed_on(self):
        self.engines(slowdown=3 * SLOWER)
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
            streams = [callers.submit(self.attempt, "/flags/1", f"{n}".encode(), None)
                       for n in range(STREAMS)]
            wait_for("all streams run", lambda: len(self.fleet.world.runs()) >= STREAMS)
            time.sleep(0.4)
            self.stand_still(self.fleet.gateways, None)
            for request, got in (stream.result() for stream in streams):
                self.assertIsNotNone(got)
                self.assertEqual(self.output(got[1]), output_of(request, 5))

    # Guards against items that are complete without their end for the same cause.
    def test_items_whose_engine_is_replaced_unseen_are_completed_with_their_whole_text(self):
        self.engines(slowdown=SLOWER)
        items = [{"id": f"item-{n}", "path": f"/reports/j/{n}", "tokens": EVENTS,
                  "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
                  "body": base64.b64encode(f"{n}".encode()).decode()} for n in range(12)]
        self.assertEqual(submit(self.fleet.gateways[0], "j", items), 202)
        wait_for("items run", lambda: len(self.fleet.world.runs()) == len(items))
        time.sleep(0.4)
        self.stand_still(self.fleet.gateways, "bounce")
        results = await_results(self.fleet.gateways[1], "j", len(items))
        self.assertEqual([result["output"] for result in results],
                         [output_of(result["id"], EVENTS) for result in results])
        self.assertGreaterEqual(len(self.resumed()), 1)

    def until_it_exits(self, path, tokens):
        """Attempts until one is the last of an engine's process; what it got, and its runs."""
        before = self.fleet.world.do("engine", index=0, exits=1.0)["id"]
        for _ in range(10 * ATTEMPTS):
            request, got = self.attempt(path, f"{path} {tokens}".encode(), tokens)
            runs = [run for run in self.fleet.world.runs() if run["id"] == request]
            if runs[0]["engine"] == before:
                return request, got, len(runs)
        self.fail("no stream ran at the engine")

    # Guards against whole answers that are broken off because their engine ended after them.
    def test_whole_streams_of_an_engine_that_exits_after_them_are_passed_on(self):
        for path in ("/flags/1", "/notes/1"):
            request, got, runs = self.until_it_exits(path, f"10,{EVENTS}")
            self.assert_whole(request, got)
            self.assertEqual(runs, 1)
            time.sleep(1)  # the engine is there again

    # Guards against a stream that is broken off though another engine can tell that it is whole.
    def test_a_stream_whose_end_is_in_doubt_is_asked_for_more(self):
        request, got, runs = self.until_it_exits("/notes/1", None)
        self.assertEqual((got[0], self.output(got[1])), (200, output_of(request, 5)))
        self.assertEqual(runs, 2)

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
