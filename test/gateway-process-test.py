#!/usr/bin/env python3
"""Gateways as real processes before the stand-in of the users' platform.

usage: gateway-process-test.py BUILD_FOLDER
"""

import asyncio
import base64
import json
import pathlib
import socket
import subprocess
import sys
import time
import unittest

import gateways
from gateways import Connection, Fleet, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()


def stream(request_id, tokens=20):
    return {"Request-Id": request_id, "Model": "m", "Tokens": f"10,{tokens}",
            "Deadline-Ms": "5000"}


def read_job(gateway, job_id):
    """All results of a job by now, by position."""
    results, after = [], 0
    while True:
        status, _, body = call(gateway.callers, "GET", f"/-/lots/{job_id}?after={after}")
        assert status == 200, (status, body)
        page = json.loads(body)
        results += page["results"]
        if page["next"] == after:
            return results
        after = page["next"]


class Requests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(BUILD).__enter__()
        cls.gateway = cls.fleet.gateways[0]

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__(None)

    def test_a_request_is_passed_on_and_its_answer_comes_back_unchanged(self):
        status, headers, body = call(self.gateway.callers, "POST", "/photos/1?x=2", b"photo",
                                     {"Request-Id": "p1"})
        self.assertEqual((status, body), (200, b"answer to p1"))
        self.assertTrue(headers["Stamp"].endswith(".p1"))
        run = next(run for run in self.fleet.world.runs() if run["id"] == "p1")
        self.assertEqual((run["target"], run["body"]), ("/photos/1?x=2", 5))

    def test_a_path_without_a_route_is_not_found(self):
        status, _, body = call(self.gateway.callers, "GET", "/none/", headers={"Request-Id": "n"})
        self.assertEqual((status, json.loads(body)["ran"]), (404, "no"))

    def test_a_stream_comes_whole(self):
        answer = asyncio.run(Connection(self.gateway.callers).request(
            "POST", "/flags/1", stream("f1")))
        self.assertTrue(answer.whole)
        self.assertEqual(answer.events(), list(range(1, 21)))

    def test_metrics_are_served(self):
        _, _, body = call(self.gateway.metrics, "GET", "/metrics")
        self.assertIn(b"figmill_request_seconds_bucket", body)
        self.assertIn(b"figmill_backends_known", body)

    def test_a_reload_signal_changes_nothing(self):
        # Symptom: a process ends when its settings file changes: SIGHUP ends those
        # that don't handle it.
        self.gateway.signal(gateways.HUP)
        wait_for("the reload is logged", lambda: self.gateway.lines("reload"))
        self.assertTrue(self.gateway.ready())

    def test_a_malformed_configuration_leaves_what_is_in_force(self):
        order = {"expectedRev": [], "removes": [],
                 "puts": [{"table": "op", "part": "", "key": "config", "value": "e30="}]}
        call(self.fleet.world.store, "POST", "/-/rows-tx", json.dumps(order))
        line = wait_for("it is refused", lambda: self.gateway.lines("config_refused"))[0]
        self.assertIn("'version' is missing", line)
        self.assertEqual(call(self.gateway.callers, "POST", "/photos/2",
                              headers={"Request-Id": "p2"})[0], 200)
        self.fleet.world.do("configure")


class BrokenAnswers(unittest.TestCase):
    """Engines that break off or lose their answers."""

    def test_a_resumable_stream_goes_on_elsewhere_and_another_one_breaks_off(self):
        with Fleet(BUILD, gateways=1, engines=4) as fleet:
            for index in range(4):
                fleet.world.do("engine", index=index, cut=0.3)

            async def ask(path, name):
                return await Connection(fleet.gateways[0].callers).request("POST", path,
                                                                            stream(name))

            async def ask_all(path, kind):
                # Fewer at once than there are places, so that none is refused.
                answers = []
                for wave in range(4):
                    answers += await asyncio.gather(
                        *(ask(path, f"{kind}{wave}-{i}") for i in range(10)))
                return answers

            started = time.monotonic()
            resumable = asyncio.run(ask_all("/notes/1", "n"))
            self.assertEqual({answer.status for answer in resumable}, {200})
            whole = [answer for answer in resumable if answer.whole]
            self.assertGreater(len(whole), 30)
            for answer in whole:
                self.assertEqual(answer.events(), list(range(1, 21)))
            # What breaks off looks broken at once.
            self.assertLess(time.monotonic() - started, 3)
            once = asyncio.run(ask_all("/flags/1", "f"))
            broken = [answer for answer in once if not answer.whole]
            self.assertGreater(len(broken), 0)
            runs = [run["id"] for run in fleet.world.runs() if run["id"].startswith("f")]
            self.assertEqual(len(runs), len(set(runs)), "a request ran twice")


class Jobs(unittest.TestCase):
    def submit(self, gateway, job_id, body):
        return call(gateway.callers, "POST", f"/reports/{job_id}", body,
                    {"Request-Id": job_id, "Content-Type": "application/json"})[0]

    def finished(self, gateway, job_id, count):
        return wait_for(f"{job_id} is done", lambda: (
            results := read_job(gateway, job_id)) and len(results) == count and results)

    def test_a_job_completes_once_and_is_read_at_any_gateway(self):
        with Fleet(BUILD) as fleet:
            first, second = fleet.gateways
            self.assertEqual(self.submit(first, "j1", job("j1", 12, poison=(3,))), 202)
            self.assertEqual(self.submit(second, "j1", job("j1", 12, poison=(3,))), 202)
            results = self.finished(second, "j1", 12)
            self.assertEqual(results, read_job(first, "j1"))
            self.assertEqual(len({result["id"] for result in results}), 12)
            for result in results:
                if result["id"].startswith("poison"):
                    self.assertEqual(result["state"], "dead")
                else:
                    self.assertEqual((result["state"], result["output"]),
                                     ("complete", output_of(result["id"])))

    def test_a_job_goes_on_when_its_gateway_is_killed(self):
        # Symptom: a job stands still, or an item is listed twice, after a host died.
        with Fleet(BUILD, gateways=3) as fleet:
            first, second, _ = fleet.gateways
            self.assertEqual(self.submit(first, "j1", job("j1", 30, tokens=100)), 202)
            wait_for("some are done", lambda: len(read_job(second, "j1")) >= 3)
            before = read_job(second, "j1")
            first.signal(gateways.KILL)
            results = self.finished(second, "j1", 30)
            self.assertEqual(results[:len(before)], before)
            self.assertEqual(len({result["id"] for result in results}), 30)
            for result in results:
                self.assertEqual(result["output"], output_of(result["id"], 100))

    def test_all_accepted_jobs_are_there_after_all_gateways_were_killed(self):
        with Fleet(BUILD) as fleet:
            for n in range(4):
                self.assertEqual(self.submit(fleet.gateways[n % 2], f"j{n}", job(f"j{n}", 8)), 202)
            for gateway in fleet.gateways:
                gateway.signal(gateways.KILL)
            for gateway in fleet.gateways:
                gateway.process.wait()
                gateway.start()
            for gateway in fleet.gateways:
                wait_for("it is ready", gateway.ready)
            for n in range(4):
                self.finished(fleet.gateways[0], f"j{n}", 8)

    def test_a_job_that_is_ended_stops(self):
        with Fleet(BUILD, engines=1) as fleet:
            self.assertEqual(self.submit(fleet.gateways[0], "j1", job("j1", 40, tokens=200)), 202)
            wait_for("it runs", lambda: len(fleet.world.runs()) >= 4)
            self.assertEqual(call(fleet.gateways[1].callers, "DELETE", "/-/lots/j1")[0], 200)
            time.sleep(2.5)
            ran = len(fleet.world.runs())
            time.sleep(1.5)
            self.assertEqual(len(fleet.world.runs()), ran)

    def test_a_gateway_that_the_store_turns_away_goes_by_way_of_another(self):
        # Symptom: one host answers by an old configuration and its jobs stand still,
        # while all others are served. Here nothing listens where it looks for the store.
        with Fleet(BUILD) as fleet:
            cut_off = fleet.add(2, store="127.0.0.1:1")
            wait_for("it is ready", cut_off.ready)
            self.assertEqual(self.submit(cut_off, "j1", job("j1", 5)), 202)
            self.finished(cut_off, "j1", 5)


def word_of_a_later_process(fleet, gateway):
    """A datagram of an entry, as if its process had started an hour later."""
    _, _, body = call(fleet.world.store, "GET", "/-/rows-get?table=members&part=")
    row = next(row for row in json.loads(body)["rows"] if row["key"] == gateway.name)
    message = bytearray(base64.b64decode(row["value"]))
    at = message.index(gateway.name.encode()) + len(gateway.name) + 1  # behind the number's type
    number = int.from_bytes(message[at:at + 8], "big")
    message[at:at + 8] = (number + 3_600_000).to_bytes(8, "big")
    return bytes(message)


class Clocks(unittest.TestCase):
    def test_a_process_that_starts_after_its_clock_jumped_back_is_taken_for_a_new_one(self):
        # Symptom: an entry is called silent again and again and gets no batch places.
        # Sequence: its host's time of day jumps back by some seconds, its process starts.
        # Cause: the incarnation, a time of day, is lower than that of the process before.
        with Fleet(BUILD, gateways=3) as fleet:
            gateway = fleet.gateways[1]
            message = word_of_a_later_process(fleet, gateway)
            gateway.stop()
            with socket.socket(type=socket.SOCK_DGRAM) as udp:
                for other in (fleet.gateways[0], fleet.gateways[2]):
                    host, _, port = other.peers.partition(":")
                    udp.sendto(message, (host, int(port)))
            gateway.start()
            wait_for("it is ready", gateway.ready)
            time.sleep(1)
            seen = [len(other.lines("peer_silent")) for other in fleet.gateways]
            time.sleep(4)
            self.assertEqual([len(other.lines("peer_silent")) for other in fleet.gateways], seen)
            self.assertEqual(call(gateway.callers, "POST", "/reports/j1", job("j1", 12), {
                "Request-Id": "j1", "Content-Type": "application/json"})[0], 202)
            wait_for("the job is done", lambda: len(read_job(gateway, "j1")) == 12)
            engines = {run["engine"] for run in fleet.world.runs()}
            self.assertEqual(len(engines), 4, "it was granted places by its own keeper alone")
            self.assertEqual(len(gateway.lines("incarnation_raised")), 1)


class Addresses(unittest.TestCase):
    def test_an_address_that_another_service_uses_again_gets_none_of_the_old_ones_requests(self):
        # Symptom: a request for the model runs at a plain service.
        # Sequence: an engine ends without a word; before its row is taken out of the list,
        # a server of another service listens at its address.
        # Cause: the address alone does not say who answers there.
        with Fleet(BUILD, gateways=2, engines=2, services=1) as fleet:
            fleet.world.do("engine", index=0, act="crash")
            reused = fleet.world.do("add", service="app", port_of=0)
            ran = 0
            for n in range(30):
                status, headers, body = call(fleet.gateways[n % 2].callers, "POST", "/flags/1",
                                             headers=stream(f"f{n}", 2))
                if status == 200:
                    ran += 1
                else:
                    self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
            self.assertGreater(ran, 25)
            at_reused = [run["id"] for run in fleet.world.runs() if run["engine"] == reused["id"]]
            self.assertEqual([name for name in at_reused if name.startswith("f")], [])


    def test_a_kept_connection_does_not_outlive_its_engine(self):
        # Symptom: requests that may not be repeated fail right after an engine is back, and
        # the engine is left out for seconds.
        # Sequence: an engine loses its power and starts anew at its address; connections
        # that were kept to it are reset when the next request goes out on them.
        # Cause: connections were kept by address, whoever listened there.
        with Fleet(BUILD, gateways=1, engines=1) as fleet:
            gateway = fleet.gateways[0]
            for n in range(3):
                before = len(gateway.lines("backend_listed"))
                self.assertEqual(call(gateway.callers, "POST", "/flags/1",
                                      headers=stream(f"f{n}", 2))[0], 200)
                fleet.world.do("engine", index=0, act="replace")
                wait_for("it is listed", lambda: len(gateway.lines("backend_listed")) > before)
                time.sleep(0.2)
            self.assertEqual(gateway.lines("send_over"), [])


class Hosts(unittest.TestCase):
    def test_a_host_that_is_lost_for_good_is_replaced_by_one_at_another_address(self):
        # Symptom: a job stands still after its owner's host was taken away, although
        # another host came in its place.
        # Sequence: a host goes without a word, a new one with another name and address
        # comes, and in turn all others go.
        # Cause: whoever owned the job, kept the engines or was named to the newcomer is
        # gone; only what the store holds is left.
        with Fleet(BUILD, gateways=2) as fleet:
            first, second = fleet.gateways
            self.assertEqual(call(first.callers, "POST", "/reports/j1", job("j1", 30, tokens=100), {
                "Request-Id": "j1", "Content-Type": "application/json"})[0], 202)
            first.signal(gateways.KILL)
            third = fleet.add(2)
            wait_for("it is ready", third.ready)
            second.signal(gateways.KILL)
            results = wait_for("the job is done", lambda: (
                results := read_job(third, "j1")) and len(results) == 30 and results)
            self.assertEqual({result["output"] for result in results},
                             {output_of(f"j1-{n}", 100) for n in range(30)})


class Shutdown(unittest.TestCase):
    def test_no_request_is_cut_and_late_ones_are_refused_truthfully(self):
        # Symptom: a stream breaks off in a planned restart.
        # Sequence: callers go on using their open connections after the order to stop;
        # a request that comes shortly before the kill is still running at its time.
        with Fleet(BUILD, gateways=1, options=("--shutdown-grace-ms", "6000")) as fleet:
            gateway = fleet.gateways[0]
            answers = []

            async def caller(name):
                connection = Connection(gateway.callers)
                for n in range(200):
                    answer = await connection.request("POST", "/flags/1", stream(f"{name}-{n}", 60))
                    answers.append((f"{name}-{n}", answer))
                    if answer.status == 0:
                        return  # nobody is there any more
                    await asyncio.sleep(0.05)

            async def run():
                callers = [asyncio.ensure_future(caller(f"c{i}")) for i in range(8)]
                await asyncio.sleep(1)
                gateway.signal(gateways.TERM)
                await asyncio.gather(*callers)

            started = time.monotonic()
            asyncio.run(run())
            self.assertEqual(gateway.process.wait(10), 0)
            self.assertLess(time.monotonic() - started, 1 + 6 + 1)
            ran = {run["id"] for run in fleet.world.runs()}
            for name, answer in answers:
                if answer.status == 200:
                    self.assertTrue(answer.whole, name)
                elif answer.status:
                    self.assertEqual(answer.status, 503)
                if answer.status != 200:
                    self.assertNotIn(name, ran, "it was cut, or refused and has run")

    def test_a_leaving_engine_gets_no_new_work_after_two_seconds(self):
        with Fleet(BUILD, gateways=2, engines=3) as fleet:
            leaving = fleet.world.do("engine", index=0, act="drain")["id"]
            drained_at = time.monotonic()
            while time.monotonic() < drained_at + 4:
                for gateway in fleet.gateways:
                    call(gateway.callers, "POST", "/flags/1", headers=stream(
                        f"f{time.monotonic_ns()}", 2))
            late = [run for run in fleet.world.runs()
                    if run["engine"] == leaving and run["at"] > drained_at + 2]
            self.assertEqual(late, [])


class Start(unittest.TestCase):
    def test_its_ports_stay_its_own_until_it_listens_and_while_it_is_down(self):
        # Symptom: a gateway ends at once with `bind: Address already in use`.
        # Sequence: its ports are chosen, or it is killed; another user of the machine looks
        # for a free port, tries the same number and listens there; the gateway starts.
        # Cause: nothing held the port between its choice and the listening.
        def take_as_another_user(address):
            host, _, port = address.partition(":")
            other = socket.socket()
            self.addCleanup(other.close)
            try:
                other.bind((host, int(port)))
                other.listen()
                return True
            except OSError:
                return False

        with Fleet(BUILD, gateways=1) as fleet:
            gateway = fleet.gateways[0]
            addresses = (gateway.callers, gateway.health, gateway.peers, gateway.metrics)
            gateway.stop()
            self.assertEqual([a for a in addresses if take_as_another_user(a)], [])
            gateway.start()
            wait_for("it is ready again", gateway.ready)

    def test_bad_settings_end_the_process_with_the_place_and_the_reason(self):
        done = subprocess.run([BUILD / "figmilld", "gateway", "--node", "g", "--store", "nowhere"],
                              capture_output=True, text=True)
        self.assertEqual(done.returncode, 2)
        self.assertIn("--store (FIGMILL_STORE): 'nowhere' is not allowed", done.stderr)

    def test_an_empty_list_of_seeds_is_no_mistake(self):
        # Symptom: a host does not start where no other one has been named to it.
        # Cause: the flag without a value took the next flag for its value.
        done = subprocess.run([BUILD / "figmilld", "gateway", "--node", "g", "--store", "127.0.0.1:1",
                               "--seeds=", "--shutdown-grace-ms", "6000", "--check-settings"],
                              capture_output=True, text=True)
        self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_a_gateway_without_a_configuration_is_not_ready_and_says_not_run(self):
        fleet = Fleet(BUILD, gateways=0)
        try:
            fleet.world.do("store", mode="refuse")
            gateway = fleet.add(0)
            wait_for("it listens", lambda: call(gateway.health, "GET", "/")[0] == 503)
            status, headers, body = call(gateway.callers, "POST", "/photos/1",
                                         headers={"Request-Id": "p"})
            self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
            self.assertIn("Retry-After", headers)
            fleet.world.do("store", mode="ok")
            wait_for("it is ready", gateway.ready)
        finally:
            fleet.__exit__(None)

    def test_a_reader_of_its_output_that_stands_still_does_not_hold_it_up(self):
        # Symptom: a process stands still as soon as the pipe of its log is full.
        with Fleet(BUILD, gateways=1) as fleet:
            gateway = fleet.gateways[0]
            gateway.stop()
            gateway.process = subprocess.Popen(gateway.arguments, stdout=subprocess.PIPE)
            wait_for("it is ready", gateway.ready)
            connection_headers = {"Request-Id": "x" * 200}
            for _ in range(600):
                call(gateway.callers, "GET", "/none/" + "y" * 200, headers=connection_headers)
            self.assertTrue(gateway.ready())


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
