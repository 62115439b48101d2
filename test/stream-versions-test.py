#!/usr/bin/env python3
"""Engines of two software versions side by side: an output that one version began is continued by
that version, or not at all.

usage: stream-versions-test.py BUILD_FOLDER
"""

import asyncio
import json
import os
import pathlib
import sys
import time
import unittest

from gateways import CONT, STOP, Connection, Fleet, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
LONG = 300  # events of a stream that is still open when its engine or gateway goes
NOT_RUN = 503
SILENT = {"LD_PRELOAD": str(BUILD / "test/liblossy_datagrams.so"), "FIGMILL_TEST_LOSS": "1"}
AT_ONCE = 1.0  # seconds until a caller is told that its stream can't be resumed


class Attempt:
    """A stream that was cut, as its caller knows it."""

    def __init__(self, name, answer):
        self.name, self.answer = name, answer

    def headers(self):
        return {"Resumes": self.name, "Last-Event-Id": str(self.answer.events()[-1])}


class StreamVersions(unittest.TestCase):
    def begin(self, gateways=3, places=16, versions=("v1", "v1", "v2", "v2")):
        self.fleet = Fleet(BUILD, gateways=gateways, engines=len(versions), places=places,
                           services=1)
        self.addCleanup(self.fleet.__exit__, None)
        for index, version in enumerate(versions):
            self.order(index, version=version)
        self.fleet.__enter__()

    def order(self, index, **more):
        return self.fleet.world.do("engine", index=index, **more)

    async def ask(self, gateway, name, headers=None):
        connection = Connection(self.fleet.gateways[gateway].callers)
        try:
            return await connection.request(
                "POST", "/notes/1",
                {"Request-Id": name, "Model": "m", "Tokens": f"10,{LONG}", "Deadline-Ms": "5000"}
                | (headers or {}))
        finally:
            connection.close()

    def begun(self, count):
        """Waits until so many streams have delivered some events."""
        def find():
            runs = [run for run in self.fleet.world.runs() if run["ended"] is None]
            return len(runs) >= count
        wait_for("streams are open", find)

    async def cut_streams(self, gateways, count, trouble):
        """Streams at these gateways that `trouble` has cut after some events."""
        names = [f"s{n}" for n in range(count)]
        asks = [asyncio.create_task(self.ask(gateways[n % len(gateways)], name))
                for n, name in enumerate(names)]
        await asyncio.to_thread(self.begun, count)
        await asyncio.sleep(0.2)
        await asyncio.to_thread(trouble)
        cut = [Attempt(name, await ask) for name, ask in zip(names, asks)]
        return [attempt for attempt in cut if attempt.answer.events() and not attempt.answer.whole]

    async def resume(self, gateway, cut):
        """Answers to the attempts, resumed all at once."""
        return await asyncio.gather(*(
            self.ask(gateway, f"{attempt.name}-again", attempt.headers()) for attempt in cut))

    def assert_goes_on(self, attempt, answer):
        self.assertEqual((answer.status, answer.whole), (200, True), attempt.name)
        self.assertEqual(attempt.answer.versions(), answer.versions(), attempt.name)
        self.assertEqual(attempt.answer.events() + answer.events(), list(range(1, LONG + 1)))

    def assert_refused(self, answers, since):
        for answer in answers:
            self.assertEqual(answer.status, NOT_RUN)
            self.assertLess(answer.ended_at - since, AT_ONCE)
        ids = {run["id"] for run in self.fleet.world.runs()}
        self.assertFalse([name for name in ids if name.endswith("-again")])

    def test_an_answer_whose_engine_crashes_goes_on_at_the_same_version(self):
        self.begin(gateways=1)

        async def play():
            asks = [asyncio.create_task(self.ask(0, f"s{n}")) for n in range(16)]
            await asyncio.to_thread(self.begun, 16)
            await asyncio.sleep(0.2)
            for index in (0, 2):
                await asyncio.to_thread(self.order, index, act="crash")
            return await asyncio.gather(*asks)
        answers = asyncio.run(play())
        self.assertEqual([answer.versions() for answer in answers if len(answer.versions()) != 1],
                         [])
        self.assertTrue(all(answer.whole for answer in answers))

    def test_an_answer_is_broken_off_when_no_engine_of_its_version_is_left(self):
        self.begin(gateways=1, versions=("v1", "v2"))

        async def play():
            asks = [asyncio.create_task(self.ask(0, f"s{n}")) for n in range(16)]
            await asyncio.to_thread(self.begun, 16)
            await asyncio.sleep(0.2)
            await asyncio.to_thread(self.order, 0, act="leave")
            return await asyncio.gather(*asks)
        answers = asyncio.run(play())
        self.assertEqual({len(answer.versions()) for answer in answers}, {1})
        self.assertTrue(all(answer.whole for answer in answers if answer.versions() == {"v2"}))

    def test_a_caller_resumes_at_another_gateway_after_the_first_was_killed(self):
        self.begin()

        async def play():
            cut = await self.cut_streams([0], 16, self.fleet.gateways[0].stop)
            return cut, await self.resume(1, cut)
        cut, answers = asyncio.run(play())
        self.assertEqual(len(cut), 16)
        for attempt, answer in zip(cut, answers):
            self.assert_goes_on(attempt, answer)

    def test_a_caller_resumes_twice(self):
        self.begin()

        async def play():
            cut = await self.cut_streams([0], 12, self.fleet.gateways[0].stop)
            asks = asyncio.create_task(self.resume(1, cut))
            await asyncio.sleep(0.3)
            await asyncio.to_thread(self.fleet.gateways[1].stop)
            second = await asks
            self.assertTrue(all(answer.events() for answer in second))
            for attempt, answer in zip(cut, second):
                attempt.answer.body += answer.body
            return cut, await self.resume(2, cut)
        cut, answers = asyncio.run(play())
        for attempt, answer in zip(cut, answers):
            self.assert_goes_on(attempt, answer)

    def test_a_resume_is_refused_at_once_when_the_version_has_gone(self):
        self.begin()

        def trouble():
            self.fleet.gateways[0].stop()
            for index in (0, 1):
                self.order(index, act="leave")
            wait_for("all know it", lambda: all(
                len(g.lines("backend_gone")) >= 2 for g in self.fleet.gateways[1:]))

        async def play():
            cut = await self.cut_streams([0], 16, trouble)
            gone = [attempt for attempt in cut if attempt.answer.versions() == {"v1"}]
            self.assertTrue(gone)
            return time.monotonic(), await self.resume(1, gone)
        since, answers = asyncio.run(play())
        self.assert_refused(answers, since)

    def test_a_gateway_that_is_cut_off_does_not_guess_the_version(self):
        """It holds the records of some streams only, and reaches nobody who has the others."""
        self.begin(gateways=5, versions=("v1", "v1"))
        last = self.fleet.gateways[4]
        last.signal(STOP)
        for version in ("v2", "v2"):
            self.fleet.world.do("add", service="llm", version=version)
        wait_for("they are used", lambda: all(
            any("version=v2" in line for line in gateway.lines("version_admitted"))
            for gateway in self.fleet.gateways[:4]))

        def cut_off():
            self.fleet.world.do("store", mode="silent")
            for gateway in self.fleet.gateways[:4]:
                gateway.stop()
            last.signal(CONT)

        async def play():
            cut = await self.cut_streams(range(4), 24, cut_off)
            return cut, await self.resume(4, cut)
        cut, answers = asyncio.run(play())
        self.assertEqual(set().union(*(attempt.answer.versions() for attempt in cut)),
                         {"v1", "v2"})
        self.assertIn(NOT_RUN, [answer.status for answer in answers])
        for attempt, answer in zip(cut, answers):
            if answer.status != NOT_RUN:
                self.assert_goes_on(attempt, answer)

    def check_the_version_is_not_guessed(self, env_of_others):
        """A gateway reaches the store alone while engines of another version join."""
        self.begin(gateways=0, versions=("v1", "v1"))
        for i, env in enumerate((env_of_others, env_of_others, os.environ | SILENT)):
            self.fleet.add(i, env=env).await_ready()
        for version in ("v2", "v2"):
            self.fleet.world.do("add", service="llm", version=version)
        wait_for("they are used", lambda: all(
            any("version=v2" in line for line in gateway.lines("version_admitted"))
            for gateway in self.fleet.gateways))

        async def play():
            cut = await self.cut_streams([0], 24, self.fleet.gateways[0].stop)
            return cut, await self.resume(2, cut)
        cut, answers = asyncio.run(play())
        self.assertEqual(set().union(*(attempt.answer.versions() for attempt in cut)),
                         {"v1", "v2"})
        for attempt, answer in zip(cut, answers):
            if answer.status != NOT_RUN:
                self.assert_goes_on(attempt, answer)

    # Guards against a stream that another version continues at a gateway whose datagrams don't
    # reach the others.
    def test_a_gateway_that_asks_nobody_does_not_guess_the_version(self):
        self.check_the_version_is_not_guessed(None)

    # The same where those of the others don't reach it, either.
    def test_a_gateway_that_hears_nobody_does_not_guess_the_version(self):
        self.check_the_version_is_not_guessed(os.environ | SILENT)

    def test_a_resume_is_refused_at_once_where_its_version_is_not_known(self):
        self.begin()
        attempt = Attempt("never-seen", None)
        headers = {"Resumes": attempt.name, "Last-Event-Id": "5"}
        since = time.monotonic()
        answer = asyncio.run(self.ask(0, "unknown-again", headers))
        self.assert_refused([answer], since)
        self.assertIn("retry-after", answer.headers)

    def test_a_resume_goes_on_without_a_record_where_only_one_version_serves(self):
        self.begin(versions=("v1", "v1"))
        self.assert_an_unknown_stream_goes_on()

    def test_a_lone_gateway_asks_the_store_whether_only_one_version_serves(self):
        self.begin(gateways=1, versions=("v1", "v1"))
        self.assert_an_unknown_stream_goes_on()
        line, = self.fleet.gateways[0].lines("stream_source")
        self.assertIn("store_asked=true", line)

    def assert_an_unknown_stream_goes_on(self):
        headers = {"Resumes": "never-seen", "Last-Event-Id": "5"}
        answer = asyncio.run(self.ask(0, "one-again", headers))
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.events(), list(range(6, LONG + 1)))

    def job_outputs(self, trouble, tokens):
        submitted = call(self.fleet.gateways[0].callers, "POST", "/reports/j1",
                         job("j1", 16, tokens),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        self.begun(12)
        trouble()

        def results():
            for gateway in self.fleet.gateways:
                if gateway.process.poll() is None:
                    body = json.loads(call(gateway.callers, "GET", "/-/lots/j1?after=0")[2])
                    return body["results"] if len(body["results"]) == 16 else None
        return {result["id"]: result["output"] for result in wait_for("the job is done", results)}

    def assert_of_one_version(self, outputs, tokens):
        mixed = [item for item, output in outputs.items()
                 if output not in [output_of(item, tokens, version) for version in ("v1", "v2")]]
        self.assertEqual(mixed, [])

    def test_items_go_on_at_their_version(self):
        self.begin(places=4)

        def trouble():
            for index in (0, 2):
                self.order(index, act="crash")
        self.assert_of_one_version(self.job_outputs(trouble, LONG), LONG)

    def test_items_of_a_dead_owner_go_on_at_their_version(self):
        """Their owners are killed after they have stored parts of the outputs."""
        tokens = 600

        def trouble():
            wait_for("progress is stored", lambda: self.runs_for(1.6))
            for gateway in self.fleet.gateways[:2]:
                gateway.stop()
        self.begin(places=4)
        outputs = self.job_outputs(trouble, tokens)
        self.assert_of_one_version(outputs, tokens)

    def runs_for(self, seconds):
        """Whether the first items have run for so long."""
        runs = self.fleet.world.runs()
        begun = min(run["at"] for run in runs)
        return time.monotonic() - begun > seconds

    def test_items_whose_version_has_gone_start_over(self):
        self.begin(places=4)

        def trouble():
            for index in (0, 1):
                self.order(index, act="leave")
        self.assert_of_one_version(self.job_outputs(trouble, LONG), LONG)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *sys.argv[1:]])
