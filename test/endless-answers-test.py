#!/usr/bin/env python3
"""Answers of backend servers that are bytes without end, before real gateways.

usage: endless-answers-test.py BUILD_FOLDER
"""

import asyncio
import base64
import pathlib
import socket
import sys
import time
import unittest

from gateways import Connection, Fleet, await_results, output_of, submit

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ENGINES, SERVICES = 4, 3
EVENTS = 20
TIME_LIMIT_S = 3.0
LATE_S = 0.5  # after the time limit
WAVES, AT_ONCE = 6, 5  # requests
MORE_MEMORY_KB = 48 * 1024  # what an entry may need beyond what it needed before
ITEMS = 12


class EndlessAnswers(unittest.TestCase):
    def begin(self, where, share):
        self.fleet = Fleet(BUILD, gateways=2, engines=ENGINES, services=SERVICES)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.memory = [gateway.memory_kb() for gateway in self.fleet.gateways]
        for index in (0, ENGINES):  # one of the model's, one of the plain service's
            self.fleet.world.do("engine", index=index, endless=share, endless_in=where)

    def assert_memory_is_bounded(self):
        for gateway, before in zip(self.fleet.gateways, self.memory):
            self.assertLess(gateway.memory_kb() - before, MORE_MEMORY_KB)

    async def attempt(self, path, n):
        headers = {"Request-Id": f"{path[1]}{n}", "Model": "m", "Tokens": f"10,{EVENTS}",
                   "Deadline-Ms": str(int(TIME_LIMIT_S * 1000))}
        connection = Connection(self.fleet.gateways[n % 2].callers)
        begun = time.monotonic()
        answer = await connection.request("POST", path, headers, b"rye", 2 * TIME_LIMIT_S)
        connection.close()
        self.assertLess(time.monotonic() - begun, TIME_LIMIT_S + LATE_S)
        return f"{path[1]}{n}", answer

    def attempts(self, path):
        async def wave(first):
            return await asyncio.gather(
                *(self.attempt(path, n) for n in range(first, first + AT_ONCE)))
        answers = {}
        for n in range(WAVES):
            answers |= asyncio.run(wave(n * AT_ONCE))
        return answers

    def hit(self):
        """Ids of requests that were answered with noise."""
        return {run["id"] for run in self.fleet.world.runs() if run["endless"]}

    def output(self, answer):
        return "\n".join(answer.data())

    def assert_served(self, request, answer):
        self.assertEqual((answer.status, answer.whole), (200, True), request)
        expected = f"answer to {request}" if request.startswith("p") else output_of(request, EVENTS)
        got = answer.body.decode() if request.startswith("p") else self.output(answer)
        self.assertEqual(got, expected)

    def check_requests(self, where):
        self.begin(where, 0.5)
        for path in ("/notes/1", "/flags/1", "/photos/1"):
            answers = self.attempts(path)
            hit = self.hit() & answers.keys()
            for request, answer in answers.items():
                if request not in hit or (path == "/notes/1"):
                    self.assert_served(request, answer)
                elif path == "/flags/1":  # may run once only
                    self.assertFalse(answer.status == 200 and answer.whole)
                    self.assertNotIn(answer.status, (429, 503))
        self.assertTrue(self.hit())
        self.assert_memory_is_bounded()

    # Guards against noise that fills the memory of an entry, is passed on as a whole answer or
    # harms what else the engine works on: a head that doesn't end.
    def test_heads_without_end(self):
        self.check_requests("head")

    # The same for a body.
    def test_bodies_without_end(self):
        self.check_requests("body")

    # The same for a body whose bytes come in a chunk each.
    def test_bodies_in_chunks_of_a_byte(self):
        self.check_requests("chunks")

    # Guards against an entry that answers nobody while it passes such bodies on.
    def test_others_are_served_beside_bodies_in_chunks_of_a_byte(self):
        self.begin("chunks", 1.0)
        self.fleet.world.do("engine", index=0, endless=0.0)
        for index in range(ENGINES, ENGINES + SERVICES):
            self.fleet.world.do("engine", index=index, endless=1.0, endless_in="chunks")

        async def all_at_one_entry():
            noise = [asyncio.ensure_future(self.attempt("/photos/1", 2 * n))
                     for n in range(AT_ONCE)]
            await asyncio.sleep(TIME_LIMIT_S / 3)
            others = await asyncio.gather(
                *(self.attempt("/flags/1", 2 * n) for n in range(AT_ONCE)))
            await asyncio.gather(*noise)
            return others
        for request, answer in asyncio.run(all_at_one_entry()):
            self.assert_served(request, answer)
        self.assertTrue(any(request.startswith("p") for request in self.hit()))
        self.assert_memory_is_bounded()

    # The same for an event that doesn't end.
    def test_events_without_end(self):
        self.check_requests("events")

    # The same for line feeds, of which two end an event, but one without data.
    def test_lines_without_end(self):
        self.check_requests("lines")

    # Guards against streams that go on after an id that came without data, and lack the events
    # before it.
    def test_ids_without_data(self):
        self.check_requests("ids")

    def test_rising_ids_without_data(self):
        self.check_requests("rising")

    # Guards against an entry whose memory fills with what a caller doesn't take.
    def check_a_caller_that_does_not_read(self, where):
        self.begin(where, 1.0)
        gateway = self.fleet.gateways[0]
        host, _, port = gateway.callers.rpartition(":")
        callers = []
        for n in range(AT_ONCE):
            callers.append(socket.create_connection((host, int(port))))
            callers[-1].sendall(f"POST /photos/1 HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: s{n}\r\n"
                                "Deadline-Ms: 4000\r\nContent-Length: 3\r\n\r\nrye".encode())
        time.sleep(TIME_LIMIT_S)
        self.assertTrue(self.hit())
        self.assert_memory_is_bounded()
        for caller in callers:
            caller.close()

    def test_a_caller_that_does_not_read(self):
        self.check_a_caller_that_does_not_read("body")

    # The same where each byte that waits for the caller has a cost of its own.
    def test_a_caller_that_does_not_read_chunks_of_a_byte(self):
        self.check_a_caller_that_does_not_read("chunks")

    # Guards against items that wait for noise until their job expires.
    def check_items(self, where):
        self.begin(where, 0.7)
        items = [{"id": f"item-{n}", "path": f"/reports/j/{n}", "tokens": EVENTS,
                  "headers": {"Model": "m", "Tokens": f"10,{EVENTS}"},
                  "body": base64.b64encode(b"rye").decode()} for n in range(ITEMS)]
        self.assertEqual(submit(self.fleet.gateways[0], "j", items), 202)
        for result in await_results(self.fleet.gateways[1], "j", ITEMS):
            self.assertEqual((result["state"], result["output"]),
                             ("complete", output_of(result["id"], EVENTS)))
        self.assertTrue(self.hit())
        self.assert_memory_is_bounded()

    def test_items_that_get_heads_without_end(self):
        self.check_items("head")

    def test_items_that_get_bodies_without_end(self):
        self.check_items("body")

    # Guards against an entry that is busy with line feeds, beside items that wait for their end.
    def test_items_that_get_lines_without_end(self):
        self.check_items("lines")

    # Guards against an item's output that lacks the events before an id that came without data.
    def test_items_that_get_ids_without_data(self):
        self.check_items("ids")

    def test_items_that_get_rising_ids_without_data(self):
        self.check_items("rising")


if __name__ == "__main__":
    unittest.main()
