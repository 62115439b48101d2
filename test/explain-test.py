#!/usr/bin/env python3
"""`figmill explain` on the lines of three failed requests.

usage: explain-test.py BUILD_FOLDER
"""

import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(sys.argv.pop(1)).resolve() / "figmill"

HOST_A = """\
2026-12-02T21:00:00.000000Z I event=backend_listed backend=e1 service=llm address=10.0.0.1:80 \
state=draining row_version=7
2026-12-02T21:00:01.000000Z I event=request request=full route=notes config=3 outcome=refused \
status=503 backend="" backends=0 events=0 first_ms="" ms=41 retry_after_ms=219 why="all places are taken"
2026-12-02T21:00:02.000000Z I event=placed request=cut send=1 backend=e1 online=1 use_age_ms=12
2026-12-02T21:00:02.300000Z I event=send_over request=cut send=1 backend=e1 end=broken why="the answer broke off"
2026-12-02T21:00:02.300100Z I event=request request=cut route=flags config=3 outcome=broken_off \
status=200 backend=e1 backends=1 events=9 ms=300 why="the answer broke off"
2026-12-02T21:00:03.000000Z I event=item_run job=j item=i9 run=1 backend=e2
"""
HOST_B = """\
2026-12-02T21:00:02.100000Z W event=store_lost table=jobs version=4 why="no answer"
2026-12-02T21:00:09.000000Z I event=job_take_over job=j from=a row_version=9
2026-12-02T21:00:12.000000Z I event=item_finished job=j item=i9 state=dead runs=2 events=0 why="failed 3 times"
"""


class Explain(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="figmill-explain-")
        self.addCleanup(folder.cleanup)
        self.files = []
        for name, text in (("a.log", HOST_A), ("b.log", HOST_B)):
            path = pathlib.Path(folder.name) / name
            path.write_text(text)
            self.files.append(path)

    def explain(self, wanted, files=None, text=None):
        return subprocess.run([TOOL, "explain", wanted, *(self.files if files is None else files)],
                              input=text, capture_output=True, text=True)

    def test_a_refused_request(self):
        out = self.explain("full").stdout
        self.assertIn("refused with status 503 after 41 ms: all places are taken", out)
        self.assertIn("retry_after_ms=219", out)

    def test_a_request_that_was_broken_off_and_what_happened_around_it(self):
        out = self.explain("cut").stdout
        self.assertIn("broken off after 9 events", out)
        self.assertIn("state=draining", out, "the backend server that it ran on was leaving")
        self.assertNotIn("store_lost", out, "that was on another host")

    def test_an_item_over_two_hosts(self):
        out = self.explain("i9").stdout
        self.assertLess(out.index("item_run"), out.index("item_finished"))
        self.assertIn("given up after 2 runs: failed 3 times", out)

    def test_an_unknown_id_and_a_missing_file_are_told(self):
        self.assertEqual(self.explain("nobody").returncode, 1)
        self.assertEqual(self.explain("full", files=["nowhere.log"]).returncode, 2)

    def test_lines_come_from_standard_input_too(self):
        self.assertIn("refused with status 503", self.explain("full", files=[], text=HOST_A).stdout)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
