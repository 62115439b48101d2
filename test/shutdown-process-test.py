#!/usr/bin/env python3
"""Requests that reach an entry after it was told to stop.

usage: shutdown-process-test.py BUILD_FOLDER
"""

import asyncio
import json
import pathlib
import sys
import time
import unittest

from gateways import TERM, Connection, Fleet

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
SLOWDOWN = 22  # an event takes some 90 ms
TIME_LIMIT_MS = 5000
EARLY_MS = 50  # by which a time limit may be met early, as the clocks of both sides tell
SENT_LATE = (2.6, 3.2, 3.8, 4.2, 4.6, 5.0, 5.4, 5.8)  # seconds after the signal


class Shutdown(unittest.TestCase):
    def begin(self, engines=4, places=8):
        self.fleet = Fleet(BUILD, gateways=2, engines=engines, places=places, services=1)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        for index in range(engines):
            self.fleet.world.do("engine", index=index, slowdown=SLOWDOWN)
        self.gateway = self.fleet.gateways[0]

    async def stream(self, name, after, events, path="/flags/1", limit=TIME_LIMIT_MS):
        """Sent so many seconds after the signal, on a connection of its own."""
        await asyncio.sleep(after)
        headers = {"Request-Id": name, "Model": "m", "Tokens": f"10,{events}",
                   "Deadline-Ms": str(limit)}
        return await Connection(self.gateway.callers).request("POST", path, headers, b"rye")

    async def play(self, *streams):
        """The signal, then these streams."""
        self.gateway.signal(TERM)
        return await asyncio.gather(*(self.stream(*each) for each in streams))

    # Guards against streams that are passed on shortly before the entry ends, and cut by its end.
    def test_streams_that_come_late_are_refused_and_none_is_cut(self):
        self.begin()
        early = [("early-0", 0.1, 40), ("early-1", 1.0, 40), ("early-2", 1.8, 50)]
        late = [(f"late-{n}", at, 35) for n, at in enumerate(SENT_LATE)]
        answers = asyncio.run(self.play(*early, *late))
        for answer in answers[:len(early)]:
            self.assertEqual((answer.status, answer.whole), (200, True))
        refused = [answer for answer in answers[len(early):] if answer.status]
        self.assertGreaterEqual(len(refused), 4)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertEqual(json.loads(answer.body)["ran"], "no")
            self.assertGreater(float(answer.headers["retry-after"]), 0)
        ran = {run["id"] for run in self.fleet.world.runs()}
        self.assertFalse({name for name, *_ in late} & ran)

    def test_requests_that_end_in_time_are_served(self):
        self.begin()
        answers = asyncio.run(self.play(("long", 1.8, 50), ("short", 4.2, 10, "/flags/1", 2000),
                                        ("plain", 4.6, 1, "/photos/1", 1000)))
        for answer in answers:
            self.assertEqual((answer.status, answer.whole), (200, True))

    # Guards against streams that get a place late in the grace period, and are cut by its end.
    def test_streams_that_wait_for_a_place_are_cut_by_their_time_limit_alone(self):
        self.begin(engines=2, places=2)
        running = [(f"run-{n}", 0.1, 20) for n in range(4)]
        waiting = [(f"wait-{n}", 0.3 + n / 10, 25, "/flags/1", limit)
                   for n, limit in enumerate((4 * TIME_LIMIT_MS, TIME_LIMIT_MS) * 6)]
        told_at = time.monotonic()
        answers = asyncio.run(self.play(*running, *waiting))
        self.assertTrue(all(answer.whole for answer in answers[:len(running)]))
        for (name, after, *_), answer in zip(waiting, answers[len(running):]):
            if not answer.whole:
                held_ms = 1000 * (answer.ended_at - told_at - after)
                self.assertGreater(held_ms, TIME_LIMIT_MS - EARLY_MS, name)  # the route's, too
        statuses = [answer.status for answer in answers[len(running):]]
        self.assertIn(200, statuses)

    def test_a_leaving_entry_is_not_ready_at_once(self):
        self.begin()
        self.gateway.signal(TERM)
        time.sleep(0.2)
        self.assertFalse(self.gateway.ready())


if __name__ == "__main__":
    unittest.main()
