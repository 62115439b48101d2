#!/usr/bin/env python3
"""Answers of a backend server that belong to no request.

usage: stray-answer-test.py BUILD_FOLDER
"""

import pathlib
import sys
import unittest

from gateways import Fleet, call

BUILD = (pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build")).resolve()


class StrayAnswerTest(unittest.TestCase):
    def test_a_stray_answer_goes_to_nobody(self):
        with Fleet(BUILD, gateways=1, services=1) as fleet:
            fleet.world.do("engine", index=4, extra=1.0)
            for i in range(20):
                status, _, body = call(fleet.gateways[0].callers, "POST", "/photos/1",
                                       headers={"Request-Id": f"p{i}"})
                self.assertEqual((status, body.decode()), (200, f"answer to p{i}"))


if __name__ == "__main__":
    unittest.main()
