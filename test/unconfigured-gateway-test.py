#!/usr/bin/env python3
"""Gateways that start while they can't read what they need to serve.

usage: unconfigured-gateway-test.py BUILD_FOLDER
"""

import json
import pathlib
import sys
import unittest

import gateways
from gateways import Fleet, await_results, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ITEMS, TOKENS = 40, 60
LATE_S = 10  # for the remaining items, which need two seconds
# The configuration is valid but for a prefix without its last slash.
REFUSED = {"version": 900, "services": [{"name": "llm", "healthPath": "/health", "maxConns": 9,
                                         "protocol": "h1", "tls": False}],
           "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000,
                      "idleTimeoutMs": 15000},
           "routes": [{"name": "batch", "host": gateways.HOST, "pathPrefix": "/reports",
                       "kind": "batch", "timeoutMs": 15000, "goalMs": 300, "priority": 2,
                       "service": "llm", "maxAttempts": 3}]}


class UnconfiguredGateway(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=2, engines=2).__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.owner, self.other = self.fleet.gateways

    def restart_owner(self):
        self.owner.signal(gateways.KILL)
        self.owner.process.wait()
        self.owner.start()
        wait_for("it has started", lambda: len(self.owner.lines("started")) == 2)

    # Guards against a job that nobody works on: its owner starts again without a configuration and
    # takes it back, while another gateway could run its items.
    def test_a_job_is_left_to_a_gateway_that_has_a_configuration(self):
        submitted = call(self.owner.callers, "POST", "/reports/j1", job("j1", ITEMS, TOKENS),
                         {"Request-Id": "j1", "Content-Type": "application/json"})
        self.assertEqual(submitted[0], 202)
        wait_for("items run", lambda: len(self.fleet.world.runs()) >= 2)
        self.fleet.world.do("write", table="op", key="config", value=json.dumps(REFUSED))
        wait_for("it is refused", lambda: self.other.lines("config_refused"))
        self.restart_owner()
        wait_for("the job is done", lambda: self.listed() == ITEMS, LATE_S)
        results = await_results(self.other, "j1", ITEMS)
        self.assertEqual({(result["state"], result["output"]) for result in results},
                         {("complete", output_of(f"j1-{n}", TOKENS)) for n in range(ITEMS)})
        self.assertFalse(self.owner.ready())

    def listed(self):
        status, _, body = call(self.other.callers, "GET", "/-/lots/j1?after=0")
        return len(json.loads(body)["results"]) if status == 200 else 0

    # Guards against a gateway that attracts callers and serves none: it can't read which versions
    # of the software have served, without which it uses no backend server.
    def test_it_is_not_ready_while_it_can_use_no_backend_server(self):
        self.fleet.world.do("store", faults=[{"table": "versions", "how": "refuse"}])
        self.restart_owner()
        wait_for("it has a configuration", lambda: len(self.owner.lines("config_in_force")) == 2)
        with self.assertRaises(AssertionError):
            wait_for("it is ready", self.owner.ready, 2)
        self.fleet.world.do("store", faults=[])
        wait_for("it is ready", self.owner.ready)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
