#!/usr/bin/env python3
"""A sound batch item that runs at one backend server after the other while each of them crashes.

usage: items-under-crashes-test.py BUILD_FOLDER
"""

import base64
import json
import pathlib
import sys
import unittest

from gateways import Fleet, call, output_of, submit, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ENGINES = 4
CRASHES = 6  # in a row, each in a run that began after the one before
TOKENS = 1000  # four seconds of work
RETENTION_S = 60  # of the job, in the stand-in
PARTS = "5c1e07a2:100,91bd3f06:100"
ITEM = {"id": "item-0", "path": "/reports/j/item-0", "tokens": TOKENS,
        "headers": {"Model": "m", "Tokens": f"10,{TOKENS}", "Prompt-Prefix": PARTS},
        "body": base64.b64encode(b"sound").decode()}


class ItemsUnderCrashes(unittest.TestCase):
    def begin(self):
        self.fleet = Fleet(BUILD, gateways=2, engines=ENGINES, services=1)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)

    def running(self):
        """The engine that runs the item, if any."""
        runs = [run for run in self.fleet.world.runs() if run["ended"] is None]
        for index in range(ENGINES):
            if runs and runs[-1]["engine"] == self.fleet.world.do("engine", index=index)["id"]:
                return runs[-1]["engine"], index
        return None

    def listed(self):
        body = call(self.fleet.gateways[1].callers, "GET", "/-/lots/j?after=0")[2]
        return json.loads(body)["results"]

    # Guards against an item that is never run again, since backend servers crashed around it.
    def test_an_item_is_done_after_the_crashes_have_ended(self):
        self.begin()
        self.assertEqual(submit(self.fleet.gateways[0], "j", [ITEM]), 202)
        for _ in range(CRASHES):
            _, index = wait_for("a run of the item", self.running)
            self.fleet.world.do("engine", index=index, act="crash_a_while")
        result = wait_for("a result of the item", self.listed, RETENTION_S)[0]
        self.assertEqual(result["state"], "complete")
        self.assertEqual(result["output"], output_of("item-0", TOKENS))


if __name__ == "__main__":
    unittest.main()
