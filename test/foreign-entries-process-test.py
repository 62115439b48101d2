#!/usr/bin/env python3
"""Gateways as real processes while another writer spoils rows of the store.

usage: foreign-entries-process-test.py BUILD_FOLDER
"""

import asyncio
import base64
import collections
import json
import pathlib
import socket
import sys
import threading
import time
import unittest

from gateways import Connection, Fleet, call, job, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
# Until a change of a row is in force at a gateway that hears the store.
IN_FORCE = 0.5


def entry(**fields):
    """An entry of a backend server as it should be, but for `fields`; None leaves one out."""
    good = {"service": "llm", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1",
            "slots": 64, "coldLeftMs": 0, "state": "ready", "sequence": 1, "born": 1}
    return json.dumps({name: value for name, value in (good | fields).items()
                       if value is not None})


def spoilt(text):
    return {"value": text}


BAD = {
    "no JSON": spoilt("slots=8"),
    "nothing": {"bytes": base64.b64encode(b"\0").decode()},
    "an unknown state": spoilt(entry(state="starting")),
    "no state": spoilt(entry(state=None)),
    "no service": spoilt(entry(service=None)),
    "no address": spoilt(entry(address="nowhere")),
    "slots as a text": spoilt(entry(slots="64")),
    "negative slots": spoilt(entry(slots=-1)),
    "half a slot": spoilt(entry(slots=0.5)),
    "a fractional birth": spoilt(entry(born=1.5)),
    "invalid UTF-8": {"bytes": base64.b64encode(entry().encode()
                                                .replace(b"north-a", b"\xff\xfe")).decode()},
    "nested deep": spoilt("[" * 40000),
}


def headers(request_id, tokens=20, deadline=6000):
    return {"Request-Id": request_id, "Model": "m", "Tokens": f"10,{tokens}",
            "Deadline-Ms": str(deadline)}


def streams(gateway, prefix, count, tokens):
    """That many at once; the answers by id."""
    async def run():
        names = [f"{prefix}-{n}" for n in range(count)]
        answers = await asyncio.gather(*(
            Connection(gateway.callers).request("POST", "/flags/1", headers(name, tokens))
            for name in names))
        return dict(zip(names, answers))
    return asyncio.run(run())


def rows(fleet, table):
    """Rows of a table by key, of all its parts."""
    found = {}
    for part in [""] + [f"j{n}" for n in range(8)]:
        _, _, body = call(fleet.world.store, "GET", f"/-/rows-get?table={table}&part={part}")
        found |= {row["key"]: row for row in json.loads(body)["rows"]}
    return found


def metric(gateway, name):
    _, _, body = call(gateway.metrics, "GET", "/metrics")
    values = [line.rpartition(" ")[2] for line in body.decode().splitlines()
              if line.startswith(name)]
    return float(values[0]) if values else 0


class Listener:
    """Counts the connections to an address that a foreign entry names."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                self.socket.accept()[0].close()
            except OSError:
                return
            self.connections += 1

    def close(self):
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class BackendServers(unittest.TestCase):
    def test_nothing_new_goes_where_an_entry_became_unreadable(self):
        # Symptom: requests go on to a backend server whose entry is spoilt.
        # Sequence: streams run there; another writer overwrites its entry; later the backend
        # server writes it again.
        # Cause: what the entry had said before stayed in force.
        with Fleet(BUILD, gateways=2, engines=2, places=16) as fleet:
            engine = fleet.world.do("engine", index=0)["id"]
            for number, (name, value) in enumerate(BAD.items()):
                with self.subTest(name):
                    open_streams = {}
                    thread = threading.Thread(target=lambda: open_streams.update(
                        streams(fleet.gateways[0], f"open{number}", 6, 200)))
                    thread.start()
                    wait_for("some run there", lambda: any(
                        run["engine"] == engine and run["id"].startswith(f"open{number}")
                        for run in fleet.world.runs()))
                    fleet.world.do("write", table="servers", key=engine, **value)
                    time.sleep(IN_FORCE)
                    spoilt_at = time.monotonic()
                    for gateway in fleet.gateways:
                        got = streams(gateway, f"new{number}-{gateway.name}", 3, 5)
                        self.assertEqual([a.status for a in got.values()], [200] * 3)
                    thread.join()
                    self.assertTrue(all(a.whole for a in open_streams.values()), "cut")
                    late = [run for run in fleet.world.runs()
                            if run["engine"] == engine and run["at"] > spoilt_at]
                    self.assertEqual(late, [])
                    fleet.world.do("engine", index=0, act="list")
                    back_at = time.monotonic()
                    wait_for("it is used again", lambda: streams(
                        fleet.gateways[0], f"back{time.monotonic_ns()}", 6, 5) and any(
                        run["engine"] == engine and run["at"] > back_at
                        for run in fleet.world.runs()), 2)

    def test_batch_that_runs_where_an_entry_became_unreadable_ends_there(self):
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            gateway = fleet.gateways[0]
            engine = fleet.world.do("engine", index=0)["id"]
            status, _, _ = call(gateway.callers, "POST", "/reports/long", job("long", 8, 400),
                                {"Request-Id": "long"})
            self.assertEqual(status, 202)

            def running_there():
                return [run for run in fleet.world.runs()
                        if run["engine"] == engine and run["ended"] is None]

            wait_for("items run there", lambda: len(running_there()) > 1)
            fleet.world.do("write", table="servers", key=engine, value="spoilt")
            there = {run["id"] for run in running_there()}

            def results():
                _, _, body = call(gateway.callers, "GET", "/-/lots/long?after=0")
                return json.loads(body)["results"]

            wait_for("the job is done", lambda: len(results()) == 8)
            self.assertEqual({each["state"] for each in results()}, {"complete"})
            runs = collections.Counter(run["id"] for run in fleet.world.runs())
            self.assertEqual({name: runs[name] for name in there}, dict.fromkeys(there, 1))

    def test_entries_of_other_writers_draw_no_request_and_hide_nothing(self):
        with Fleet(BUILD, gateways=1, engines=2) as fleet:
            gateway, listener = fleet.gateways[0], Listener()
            foreign = [entry(address=listener.address, state="starting"),
                       entry(address=listener.address, service=7),
                       entry(address=listener.address, slots=-8),
                       entry(address=listener.address, slots="8"),
                       entry(address=listener.address, sequence=None),
                       entry(address=listener.address, service="of-no-configuration")]
            for number, value in enumerate(foreign):
                fleet.world.do("write", table="servers", key=f"foreign-{number}", value=value)
            time.sleep(IN_FORCE)
            got = streams(gateway, "s", 8, 5)
            self.assertEqual([answer.status for answer in got.values()], [200] * 8)
            self.assertTrue(all(answer.whole for answer in got.values()))
            self.assertEqual(listener.connections, 0)
            listener.close()

    def test_a_writer_that_repeats_itself_is_logged_once_and_counted(self):
        with Fleet(BUILD, gateways=1, engines=2) as fleet:
            gateway = fleet.gateways[0]
            for _ in range(40):
                fleet.world.do("write", table="servers", key="foreign", value="spoilt")
                time.sleep(0.02)
            time.sleep(IN_FORCE)
            self.assertEqual(len(gateway.lines("backend_refused")), 1)
            self.assertEqual(metric(gateway, 'figmill_rows_unreadable{kind="backend"}'), 1)
            self.assertGreater(metric(gateway, 'figmill_rows_refused_total{kind="backend"}'), 10)
            fleet.world.do("remove", table="servers", key="foreign")
            wait_for("it is forgotten", lambda: metric(
                gateway, 'figmill_rows_unreadable{kind="backend"}') == 0)


class Jobs(unittest.TestCase):
    def test_a_job_row_nested_as_deep_as_it_is_long_ends_no_process(self):
        # A parser that calls itself for each level may use up the stack: then all gateways
        # end at once, and again after each start.
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            nested = base64.b64encode(b"\x81" * 60000).decode()
            for part in range(8):
                fleet.world.do("write", table="jobs", part=f"j{part}", key="deep", bytes=nested)
            time.sleep(IN_FORCE)
            for gateway in fleet.gateways:
                self.assertIsNone(gateway.process.poll())
                self.assertTrue(gateway.ready())

    def test_a_job_whose_row_is_spoilt_is_kept_and_goes_on_when_it_can_be_read(self):
        # Symptom: a job's results are listed twice, or its row is overwritten unread.
        # Sequence: another writer spoils the row of a job that runs, and puts it back.
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            gateway = fleet.gateways[0]
            call(gateway.callers, "POST", "/reports/kept", job("kept", 6, 300),
                 {"Request-Id": "kept"})
            sound = wait_for("it is accepted", lambda: rows(fleet, "jobs").get("kept"))
            fleet.world.do("write", table="jobs", part=sound["part"], key="kept", value="spoilt")
            time.sleep(3)  # long enough for all items, and for others to take the job over
            self.assertEqual(base64.b64decode(rows(fleet, "jobs")["kept"]["value"]), b"spoilt")
            status, _, _ = call(gateway.callers, "DELETE", "/-/lots/kept")
            self.assertEqual(status, 503)
            self.assertEqual(base64.b64decode(rows(fleet, "jobs")["kept"]["value"]), b"spoilt")
            for each in fleet.gateways:
                status, _, _ = call(each.callers, "GET", "/-/lots/kept?after=0")
                self.assertEqual(status, 503, "no result yet is not known to be true")
                self.assertLessEqual(len(each.lines("job_row_refused")), 2)
            self.assertLess(len(gateway.lines("job_take_over")), 3)
            fleet.world.do("write", table="jobs", part=sound["part"], key="kept",
                           bytes=sound["value"])

            def results():
                _, _, body = call(gateway.callers, "GET", "/-/lots/kept?after=0")
                return json.loads(body).get("results", [])

            wait_for("it is done", lambda: len(results()) == 6)
            self.assertEqual({each["state"] for each in results()}, {"complete"})
            self.assertEqual(len({each["id"] for each in results()}), 6)
            runs = collections.Counter(run["id"] for run in fleet.world.runs())
            self.assertEqual(set(runs.values()), {1}, "it ran again")

    def test_rows_beside_a_jobs_own_hide_none_of_it(self):
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            gateway = fleet.gateways[0]
            call(gateway.callers, "POST", "/reports/own", job("own", 4, 300),
                 {"Request-Id": "own"})
            part = wait_for("it is accepted", lambda: rows(fleet, "jobs").get("own"))["part"]
            for table, key in (("job_items", "own/0000x"), ("job_items", "own/9999"),
                               ("job_results", "own/00000000.0000x"),
                               ("job_results", "own/00000000.9999"),
                               ("job_progress", "own/00000000.0007")):
                fleet.world.do("write", table=table, part=part, key=key, value="foreign")
            gateway.stop()  # the other one takes the job over, and reads its rows
            other = fleet.gateways[1]

            def results():
                _, _, body = call(other.callers, "GET", "/-/lots/own?after=0")
                return json.loads(body).get("results", [])

            wait_for("it is done", lambda: len(results()) == 4)
            self.assertEqual({each["state"] for each in results()}, {"complete"})
            outputs = {each["id"]: each["output"].count("\n") + 1 for each in results()}
            self.assertEqual(set(outputs.values()), {300})

    def test_an_id_that_is_no_text_is_refused_and_ends_no_process(self):
        # Symptom: a gateway ends when a caller submits a job.
        # Cause: the id becomes a key in a call to the store, whose JSON takes UTF-8 alone.
        with Fleet(BUILD, gateways=1, engines=1) as fleet:
            gateway = fleet.gateways[0]
            for name in ("\xff\xfe", "a/b", "a b"):
                status, _, body = call(gateway.callers, "POST", "/reports/x", job("x", 1),
                                       {"Request-Id": name})
                self.assertEqual((status, json.loads(body)["ran"]), (400, "no"))
            self.assertTrue(gateway.ready())


class Entries(unittest.TestCase):
    def test_a_spoilt_member_row_hides_no_gateway_and_is_written_anew(self):
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            members = rows(fleet, "members")
            self.assertEqual(set(members), {"g0", "g1"})
            fleet.world.do("write", table="members", key="g1", value="spoilt")
            fleet.world.do("write", table="members", key="foreign", value=base64.b64decode(
                members["g0"]["value"]).decode("latin-1"))
            wait_for("its row is written anew", lambda: rows(
                fleet, "members")["g1"]["value"] == members["g1"]["value"])
            time.sleep(IN_FORCE)
            for gateway in fleet.gateways:
                self.assertEqual(metric(gateway, "figmill_peers_live"), 2)

    def test_datagrams_of_others_are_counted_and_change_nothing(self):
        with Fleet(BUILD, gateways=2, engines=2) as fleet:
            gateway = fleet.gateways[0]
            host, _, port = gateway.peers.rpartition(":")
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for number in range(100):
                    sender.sendto(b"\xdd\xff\xff\xff\xff" + bytes(number), (host, int(port)))
            wait_for("they are counted", lambda: metric(
                gateway, "figmill_peer_messages_refused_total") == 100)
            self.assertLess(len(gateway.lines("peer_message_refused")), 5)
            got = streams(gateway, "s", 8, 5)
            self.assertEqual([answer.status for answer in got.values()], [200] * 8)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"], warnings="ignore")
