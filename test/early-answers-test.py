#!/usr/bin/env python3
"""Answers that come before their request has been read, and end with a reset, before real gateways.

usage: early-answers-test.py BUILD_FOLDER
"""

import concurrent.futures
import itertools
import pathlib
import sys
import unittest

from backend_faults import BACKENDS, ONE_OF_EACH, BackendFaultsTest

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
UPLOAD = b"r" * 4_000_000
ATTEMPTS = 4  # at once, where there are several
DELAYS = (0, 0.02, 0.2)  # seconds from the part of the answer to its end
BAD_GATEWAY = 502


class EarlyAnswers(BackendFaultsTest):
    build = BUILD

    def upload(self, path):
        return self.attempt(path, UPLOAD, deadline_ms=4000)

    def check_parts(self, framing):
        for end, after in itertools.product(("reset", "close"), DELAYS):
            self.set_faults(BACKENDS, early=1.0, early_framing=framing,
                            early_end=end, early_after=after)
            for path, _ in itertools.product(("/photos/1", "/flags/1"), range(ATTEMPTS)):
                with self.subTest(end=end, after=after, path=path):
                    request, answer = self.upload(path)
                    self.assertGreaterEqual(len(self.runs_of(request)), 1)
                    self.assertFalse(answer.status == 200 and answer.whole, answer.body)
                    if answer.status != 200:
                        self.assertEqual(answer.status, BAD_GATEWAY)

    # Guards against a part of an answer that passes for the whole: the reset was seen by the write
    # of the request, and the read after it found an orderly end.
    def test_a_part_before_a_reset_is_no_answer(self):
        self.check_parts("")

    # The same where the answer tells its length.
    def test_a_part_with_a_length_is_no_answer(self):
        self.check_parts("length")

    def test_a_part_in_chunks_is_no_answer(self):
        self.check_parts("chunks")

    # Guards against uploads that fail beside one backend server that answers them so.
    def test_uploads_that_may_run_again_are_served_elsewhere(self):
        self.set_faults(ONE_OF_EACH, early=1.0, early_framing="", early_end="reset",
                        early_after=0.02)
        for path in ("/photos/1", "/notes/1"):
            with concurrent.futures.ThreadPoolExecutor(ATTEMPTS) as callers:
                attempts = [callers.submit(self.upload, path) for _ in range(3 * ATTEMPTS)]
                answers = dict(attempt.result() for attempt in attempts)
            early = [run for run in self.fleet.world.runs() if run["early"]]
            self.assertTrue({run["id"] for run in early} & answers.keys(), path)
            for request, answer in answers.items():
                self.assert_served(request, answer)

    # Guards against whole answers that are broken off since their request was still being written.
    def test_whole_answers_to_unread_uploads_are_passed_on(self):
        for framing, after in itertools.product(("", "length", "chunks"), (0, 0.2)):
            self.set_faults(BACKENDS, early=1.0, early_framing=framing,
                            early_end="whole", early_after=after)
            for path in ("/photos/1", "/flags/1"):
                with self.subTest(framing=framing, after=after, path=path):
                    request, answer = self.upload(path)
                    self.assert_served(request, answer)
                    self.assertEqual(len(self.runs_of(request)), 1)

    # Guards against whole answers without a length that are broken off since their upload was long.
    def test_whole_answers_to_uploads_that_were_read_are_passed_on(self):
        self.set_faults(BACKENDS, unframed=1.0)
        for path in ("/photos/1", "/flags/1"):
            request, answer = self.upload(path)
            self.assert_served(request, answer)
            self.assertEqual(len(self.runs_of(request)), 1)


if __name__ == "__main__":
    unittest.main()
