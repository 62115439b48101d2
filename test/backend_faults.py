"""What process tests of gateways before faulty backend servers share: requests, what the backend
servers say of their runs, and what a whole answer is.
"""

import itertools
import unittest

from gateways import Fleet, output_of, request_once

ENGINES, SERVICES = 4, 3
BACKENDS = range(ENGINES + SERVICES)
ONE_OF_EACH = (0, ENGINES)  # one engine and one plain service
EVENTS = 20  # of a stream


class BackendFaultsTest(unittest.TestCase):
    build = None  # folder of the programs

    def setUp(self):
        self.fleet = Fleet(self.build, gateways=2, engines=ENGINES, services=SERVICES)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)

    def set_faults(self, backends, **faults):
        for index in backends:
            self.fleet.world.do("engine", index=index, **faults)

    def attempt(self, path, body, deadline_ms):
        """The id and the answer of a request at one of the gateways in turn."""
        n = next(self.numbers)
        headers = {"Request-Id": f"a{n}", "Model": "m", "Tokens": f"10,{EVENTS}",
                   "Deadline-Ms": str(deadline_ms)}
        return f"a{n}", request_once(self.fleet.gateways[n % 2].callers, path, headers, body)

    def runs_of(self, request):
        return [run for run in self.fleet.world.runs() if run["id"] == request]

    def assert_served(self, request, answer):
        self.assertEqual((answer.status, answer.whole), (200, True), answer.body)
        if self.runs_of(request)[0]["service"] == "app":
            self.assertEqual(answer.body.decode(), f"answer to {request}")
        else:
            self.assertEqual("\n".join(answer.data()), output_of(request, EVENTS))
