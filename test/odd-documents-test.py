#!/usr/bin/env python3
"""Gateways that are given documents by others which are no document of figmill's: in each table that
they read, in calls and datagrams.

usage: odd-documents-test.py BUILD_FOLDER
"""

import asyncio
import base64
import json
import pathlib
import socket
import sys
import unittest

import gateways
from gateways import Connection, Fleet, await_results, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ROW_BYTES = 65536  # what a row of the store may hold
BODY_BYTES = 4194304  # what a body of a caller may hold, by the configuration
SMALLEST_HOST_KB = 160 * 1024  # memory of the smallest host of a gateway
ITEMS, TOKENS = 8, 20
SERVED_S = 3  # a gateway that does not keep up may close connections unread
PAGE_ROWS = 500  # of the stand-in's store
JOB_PARTS = [f"j{n}" for n in range(8)]
TABLES = {"servers": [""], "op": [""], "members": [""], "crash_reports": [""], "versions": [""],
          "jobs": JOB_PARTS, "job_items": JOB_PARTS, "job_results": JOB_PARTS,
          "job_progress": JOB_PARTS}
ODD = {
    "deep": b"[" * ROW_BYTES,
    "deep and closed": b"[" * (ROW_BYTES // 2) + b"]" * (ROW_BYTES // 2),
    "deep objects": b'{"a":' * (ROW_BYTES // 6) + b"1" + b"}" * (ROW_BYTES // 6),
    "a deep field": b'{"service":' + b"[" * 30000 + b"]" * 30000 + b"}",
    "deep CBOR": b"\x81" * ROW_BYTES,
    "deep CBOR of no length": b"\x9f" * ROW_BYTES,
    "CBOR without its bytes": b"\x9b\x7f" + b"\xff" * 7,
    "deep MessagePack": b"\x91" * ROW_BYTES,
    "a number too large": b'{"slots":1e999,"version":1e999,"chain":1e999}',
    "a number too long": b'{"slots":' + b"9" * 400 + b',"chain":' + b"9" * 400 + b"}",
    "a port out of range": b'{"service":"llm","address":"127.0.0.1:99999999999999999999"}',
    "no UTF-8": b'{"service":"\xff\xfe"}',
    "nothing": b"",
    "a zero byte": b"\0",
}
ODD_KEYS = ("odd", "0-first", "j1", "j1/0000", "j1/0001.0000", "odd/odd/1", "a/b/c/d", "\u00e4")


class OddDocuments(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=2, engines=2).__enter__()
        self.addCleanup(self.fleet.__exit__, None)

    def put(self, table, part, key, value):
        self.fleet.world.do("write", table=table, part=part, key=key,
                            bytes=base64.b64encode(value).decode())

    def assert_all_serve(self, name):
        """Each gateway is there, answers a stream and completes a job, within its memory."""
        for gateway in self.fleet.gateways:
            self.assertIsNone(gateway.process.poll(), name)
            gateway.await_ready()
            wait_for(f"a whole answer, {name}", lambda at=gateway: self.is_served(at, name), SERVED_S)
            self.assertLess(gateway.memory_kb(), SMALLEST_HOST_KB, name)
        self.complete_job(f"last-{name}".replace(" ", "-"))

    def is_served(self, gateway, name):
        request = f"after-{name}-{gateway.name}".replace(" ", "-")
        answer = asyncio.run(Connection(gateway.callers).request("POST", "/notes/1", {
            "Request-Id": request, "Model": "m", "Tokens": f"10,{TOKENS}", "Deadline-Ms": "5000"}))
        return answer.whole and "\n".join(answer.data()) == output_of(request, TOKENS)

    def complete_job(self, job_id):
        status = call(self.fleet.gateways[0].callers, "POST", f"/reports/{job_id}",
                      job(job_id, ITEMS, TOKENS),
                      {"Request-Id": job_id, "Content-Type": "application/json"})[0]
        self.assertEqual(status, 202)
        results = await_results(self.fleet.gateways[1], job_id, ITEMS)
        self.assertEqual({(result["state"], result["output"]) for result in results},
                         {("complete", output_of(f"{job_id}-{n}", TOKENS)) for n in range(ITEMS)})

    def restart(self, gateway):
        gateway.signal(gateways.KILL)
        gateway.process.wait()
        gateway.start()

    # Guards against gateways that end, or don't follow a table any more, because of a row of another
    # writer: while they run, and when they start.
    def test_rows(self):
        for table, parts in TABLES.items():
            with self.subTest(table):
                for number, value in enumerate(ODD.values()):
                    key = ODD_KEYS[number % len(ODD_KEYS)]
                    self.put(table, parts[number % len(parts)], f"{key}-{number}", value)
                    self.put(table, parts[(number + 1) % len(parts)], key, value)
                self.assert_all_serve(f"running {table}")
                self.restart(self.fleet.gateways[1])
                wait_for("it has started", lambda: self.fleet.gateways[1].lines("started"))
                self.assert_all_serve(f"starting {table}")

    # Guards against an owner that ends when it reads the rows of its job.
    def test_rows_of_a_job(self):
        for index in range(2):
            self.fleet.world.do("engine", index=index, slowdown=20)
        status = call(self.fleet.gateways[0].callers, "POST", "/reports/j9", job("j9", ITEMS, TOKENS),
                      {"Request-Id": "j9", "Content-Type": "application/json"})[0]
        self.assertEqual(status, 202)
        wait_for("items run", self.fleet.world.runs)
        for part in JOB_PARTS:
            for number, value in enumerate(ODD.values()):
                for table in ("job_progress", "job_results"):
                    self.put(table, part, f"j9/{number:08}.{number:04}", value)
                self.put("job_items", part, f"j9/{number:04}", value)
        self.restart(self.fleet.gateways[0])
        for index in range(2):
            self.fleet.world.do("engine", index=index, slowdown=1)
        wait_for("the job is taken back", lambda: any(
            gateway.lines("job_items_unread") for gateway in self.fleet.gateways))
        self.assert_all_serve("rows of a job")

    # Guards against a list of which only the first page is followed.
    def test_a_list_of_several_pages(self):
        values = list(ODD.values())
        for number in range(PAGE_ROWS + 10):
            # The large ones are few: a page holds 1 MB.
            value = values[number % len(values)] if number < 2 * len(values) else b"{"
            self.put("servers", "", f"a-{number:04}", value)
        self.restart(self.fleet.gateways[1])
        self.assert_all_serve("several pages")

    # Guards against gateways that end, or need more memory than a small host has, because of a body
    # of a caller or of another process.
    def test_calls(self):
        gateway = self.fleet.gateways[0]
        bodies = ODD | {
            "a deep body": b"[" * BODY_BYTES, "deep items": b'{"requests":' + b"[" * 2000000,
            "a deep item": b'{"requests":[{"id":' + b"[" * 1000000 + b"]" * 1000000 + b"}]}"}
        for name, body in bodies.items():
            for address, path in ((gateway.callers, "/reports/odd"), (gateway.peers, "/")):
                try:
                    status = call(address, "POST", path, body,
                                  {"Request-Id": "odd", "Content-Type": "application/json"})[0]
                    self.assertGreaterEqual(status, 400, name)
                except ConnectionError:  # closed with the body unread
                    pass
        self.assert_all_serve("calls")

    # Guards against gateways that end because of a datagram.
    def test_datagrams(self):
        host, _, port = self.fleet.gateways[0].peers.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for value in ODD.values():
                for size in (1, 100, 1400, 60000):
                    sender.sendto(value[:size], (host, int(port)))
        self.assert_all_serve("datagrams")


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
