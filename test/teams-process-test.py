#!/usr/bin/env python3
"""Keys and limits of teams, before real gateways.

usage: teams-process-test.py BUILD_FOLDER
"""

import concurrent.futures
import http.client
import itertools
import json
import pathlib
import re
import sys
import time
import unittest

import gateways
from gateways import Fleet, HOST, call, job, output_of, wait_for

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
REVOKE_MS = 2000  # a key that was taken away works nowhere after this
OPTIONS = ("--strict-revocation=true", f"--revoke-within-ms={REVOKE_MS}")
WINDOW = 5  # seconds in which a limit must hold
EXCESS, SLACK = 0.1, 20
CALLERS = 16

RYE = {"name": "rye", "apiKeys": ["ryekey1234", "ryekey5678"]}
SHORE = {"name": "shore", "apiKeys": ["shorekey12"]}


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def allowed_in(seconds, rate, burst):
    return (rate * seconds + burst) * (1 + EXCESS) + SLACK


class Teams(unittest.TestCase):
    def begin(self, teams, **world):
        self.fleet = Fleet(BUILD, options=OPTIONS,
                           **({"gateways": 3, "engines": 6, "services": 4, "places": 50} | world))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.numbers = itertools.count(1)
        self.configure(teams)

    def configure(self, teams, **more):
        """A configuration that is in force everywhere."""
        version = self.fleet.world.do("configure", teams=teams, **more)["version"]
        for gateway in self.fleet.gateways:
            wait_for(f"version {version} at {gateway.name}",
                     lambda g=gateway: self.version_of(g) >= version)

    def version_of(self, gateway):
        _, _, page = call(gateway.metrics, "GET", "/metrics")
        return next(float(line.split()[1]) for line in page.decode().splitlines()
                    if line.startswith("figmill_config_version "))

    def send(self, gateway, headers=(), path="/photos/1", body=b"x", method="POST", name=None,
             deadline_ms=3000):
        """Status, headers and body of a request whose headers may be doubled."""
        connection = http.client.HTTPConnection(gateway.callers, timeout=8)
        try:
            connection.putrequest(method, path, skip_host=True)
            connection.putheader("Host", HOST)
            connection.putheader("Request-Id", name or f"t{next(self.numbers)}")
            connection.putheader("Deadline-Ms", str(deadline_ms))
            connection.putheader("Content-Length", str(len(body)))
            for header, value in headers:
                connection.putheader(header, value)
            connection.endheaders(body)
            got = connection.getresponse()
            return got.status, got.headers, got.read()
        finally:
            connection.close()

    def gateway(self, index=0):
        return self.fleet.gateways[index]

    def test_a_request_without_a_good_key_does_not_run(self):
        # Guards against callers without a key of any team being served.
        self.begin([RYE, SHORE])
        self.configure([RYE, SHORE], extra=["open"])
        bad = [(), [("Authorization", "")], [("Authorization", "Bearer")],
               [("Authorization", "Bearer ")], [("Authorization", "ryekey1234")],
               [("Authorization", "Basic ryekey1234")], [("Authorization", "Bearerryekey1234")],
               [bearer("ryekey123")], [bearer("ryekey12345")], [bearer("RYEKEY1234")],
               [bearer("ryekey1234 ryekey5678")], [bearer("ryekey1234,ryekey5678")],
               [bearer("\"ryekey1234\"")], [bearer("rye")], [bearer("x" * 4000)],
               [bearer("ryekey1234"), bearer("shorekey12")],
               [bearer("ryekey1234"), bearer("ryekey1234")],
               [("Proxy-Authorization", "Bearer ryekey1234")], [("Tenant", "rye")],
               [("Cookie", "key=ryekey1234")], [("X-Api-Key", "ryekey1234")]]
        for headers in bad:
            status, got, _ = self.send(self.gateway(), headers)
            self.assertEqual((status, got["WWW-Authenticate"]), (401, "Bearer"), headers)
        for path in ("/notes/1", "/flags/1", "/reports/j"):
            self.assertEqual(self.send(self.gateway(), [bearer("none")], path)[0], 401, path)
        self.assertEqual(self.fleet.world.runs(), [])
        # A route that needs no key, and the same route names its caller's team if it has one.
        self.assertEqual(self.send(self.gateway(), (), "/open/1")[0], 200)
        self.assertEqual(self.send(self.gateway(), [bearer("ryekey1234")], "/open/1")[0], 200)
        self.assertEqual([(run["team"], run["key"]) for run in self.fleet.world.runs()],
                         [(None, None), ("rye", None)])

    def test_the_engine_gets_the_team_and_never_the_key(self):
        # Guards against a caller that passes for another team, and against keys that leave the
        # entry.
        self.begin([RYE, SHORE])
        for scheme in ("Bearer", "bearer", "BEARER"):
            headers = [("Authorization", f"{scheme}  ryekey5678"), ("Tenant", "shore"),
                       ("tenant", "admin")]
            for path in ("/photos/1", "/notes/1", "/flags/1"):
                self.assertEqual(self.send(self.gateway(), headers, path)[0], 200)
        runs = self.fleet.world.runs()
        self.assertEqual({(run["team"], run["key"]) for run in runs}, {("rye", None)})
        self.assertEqual(len(runs), 9)
        for gateway in self.fleet.gateways:
            text = gateway.log.read_text(errors="replace")
            for key in RYE["apiKeys"] + SHORE["apiKeys"]:
                self.assertNotIn(key, text)

    def test_a_key_that_was_taken_away_works_nowhere(self):
        # Guards against a gateway that was paused and goes on with the keys it knew.
        self.begin([RYE, SHORE])
        rest = {"name": "rye", "apiKeys": ["ryekey5678"]}
        paused = self.gateway(2)
        self.assertEqual(self.send(paused, [bearer("ryekey1234")])[0], 200)
        paused.signal(gateways.STOP)
        self.fleet.world.do("configure", teams=[rest, SHORE])
        acknowledged = time.monotonic()
        wait_for("the key is refused",
                 lambda: self.send(self.gateway(), [bearer("ryekey1234")])[0] == 401)
        self.assertLess(time.monotonic() - acknowledged, REVOKE_MS / 1000)
        self.assertEqual(self.send(self.gateway(), [bearer("ryekey5678")])[0], 200)
        time.sleep(max(0, acknowledged + REVOKE_MS / 1000 + 0.1 - time.monotonic()))
        # What waits in its socket while it stands still is decided upon by what it knows then.
        with concurrent.futures.ThreadPoolExecutor() as pool:
            late = pool.submit(self.send, paused, [bearer("ryekey1234")], name="late")
            time.sleep(0.3)
            paused.signal(gateways.CONT)
            self.assertIn(late.result()[0], (401, 503))
        self.assertNotIn("late", {run["id"] for run in self.fleet.world.runs()})

    def test_without_the_store_keys_are_refused_and_served_again_at_once(self):
        # Guards against keys that work for ever while the store is away, and against callers
        # that are turned away for long after it is back.
        self.begin([RYE])
        self.fleet.world.do("store", mode="refuse")
        away = time.monotonic()
        wait_for("keys are refused",
                 lambda: self.send(self.gateway(), [bearer("ryekey1234")])[0] == 503)
        self.assertLess(time.monotonic() - away, REVOKE_MS / 1000)
        status, headers, body = self.send(self.gateway(), [bearer("ryekey1234")], name="refused")
        self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
        self.assertGreater(float(headers["Retry-After"]), 0)
        # Whether the key holds can't be told either.
        self.assertEqual(self.send(self.gateway(), [bearer("none")])[0], 503)
        self.assertNotEqual(call(self.gateway().health, "GET", "/")[0], 200)
        self.fleet.world.do("store", mode="ok")
        back = time.monotonic()
        wait_for("keys are good again",
                 lambda: self.send(self.gateway(), [bearer("ryekey1234")])[0] == 200)
        self.assertLess(time.monotonic() - back, 0.5 + 0.25)
        self.assertTrue(self.gateway().ready())
        self.assertNotIn("refused", {run["id"] for run in self.fleet.world.runs()})

    def press(self, seconds, key, gateways_):
        """What a team gets that sends as fast as it can: all answers."""
        end, answers = time.monotonic() + seconds, []

        def caller(n):
            while time.monotonic() < end:
                try:
                    answers.append(self.send(gateways_[n % len(gateways_)], [bearer(key)]))
                except (OSError, http.client.HTTPException):
                    time.sleep(0.05)

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(caller, range(CALLERS)))
        return answers

    def most_in_window(self):
        at = sorted(run["at"] for run in self.fleet.world.runs())
        first, most = 0, 0
        for last, end in enumerate(at):
            while at[first] < end - WINDOW:
                first += 1
            most = max(most, last - first + 1)
        return most

    def test_a_limit_holds_over_all_gateways(self):
        # Guards against each gateway that lets a team have its whole limit.
        rate, burst = 20, 10
        self.begin([RYE | {"ratePerS": rate, "burst": burst}, SHORE])
        time.sleep(1)  # the quota's owner fills the burst
        answers = self.press(WINDOW + 1, "ryekey1234", self.fleet.gateways)
        most = self.most_in_window()
        self.assertLessEqual(most, allowed_in(WINDOW, rate, burst))
        self.assertGreaterEqual(most, 0.95 * (rate * WINDOW + burst))
        refused = [a for a in answers if a[0] != 200]
        self.assertEqual({status for status, _, _ in refused}, {429})
        self.assertEqual({json.loads(body)["ran"] for _, _, body in refused}, {"no"})
        self.assertTrue(all(float(headers["Retry-After"]) >= 0 for _, headers, _ in refused))
        # The other team has none.
        self.assertEqual(self.send(self.gateway(), [bearer("shorekey12")])[0], 200)

    def counted(self, line):
        """A counter's value over all gateways."""
        pages = [call(g.metrics, "GET", "/metrics")[2].decode() for g in self.fleet.gateways]
        return sum(float(found.split()[1]) for page in pages for found in page.splitlines()
                   if found.startswith(line + " "))

    def test_a_caller_that_returns_waits_for_its_credit(self):
        # Guards against refusing a last try although a credit comes before its deadline.
        rate, burst = 20, 10
        self.begin([RYE | {"ratePerS": rate, "burst": burst}])
        time.sleep(1)
        self.press(1, "ryekey1234", self.fleet.gateways)
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            returning = [pool.submit(self.send, self.gateway(n % 3), [bearer("ryekey1234")],
                                     name=f"last{n}", deadline_ms=2800) for n in range(CALLERS)]
            answers = [each.result() for each in returning]
        self.assertEqual([status for status, _, _ in answers], [200] * CALLERS)
        wait_for("bookings are counted", lambda: self.counted(
            'figmill_quota_bookings_total{outcome="claimed"}') > 0)
        self.assertGreater(self.counted('figmill_team_decisions_total{outcome="waited"}'), 0)
        lines = [line for g in self.fleet.gateways
                 for line in g.log.read_text(errors="replace").splitlines()
                 if "event=request request=last" in line]
        waited = re.compile(r"quota_wait_ms=[1-9]\d* quota_patience_ms=[1-9]")
        self.assertTrue(any(waited.search(line) for line in lines), lines)

    def test_gateways_that_start_anew_grant_no_new_burst(self):
        # Guards against a burst for each time that the gateways are killed.
        rate, burst = 10, 60
        self.begin([RYE | {"ratePerS": rate, "burst": burst}])
        time.sleep(burst / rate)
        for _ in range(2):
            self.press(0.7, "ryekey1234", self.fleet.gateways)
            for gateway in self.fleet.gateways:
                gateway.stop()
                gateway.start()
            for gateway in self.fleet.gateways:
                gateway.await_ready()
        self.press(0.7, "ryekey1234", self.fleet.gateways)
        self.assertLessEqual(self.most_in_window(), allowed_in(WINDOW, rate, burst))

    def test_a_job_is_there_for_its_team_alone(self):
        # Guards against callers that read or end the jobs of another team.
        self.begin([RYE, SHORE])
        rye, shore = [bearer("ryekey1234")], [bearer("shorekey12")]
        status, _, _ = self.send(self.gateway(), rye, "/reports/j1", job("j1", 3).encode(),
                                 name="j1")
        self.assertEqual(status, 202)
        calls = [("GET", "/-/lots/j1?after=0"), ("GET", "/-/items/j1?id=j1-0"),
                 ("DELETE", "/-/lots/j1")]
        for gateway in self.fleet.gateways:
            for method, path in calls:
                unknown = path.replace("j1", "none")
                theirs = self.send(gateway, shore, path, b"", method)
                never = self.send(gateway, shore, unknown, b"", method)
                self.assertEqual((theirs[0], theirs[2]), (404, never[2]), path)
                self.assertEqual(self.send(gateway, (), path, b"", method)[0], 401)
        # A key that is taken away ends no job; another key of the team reads it.
        self.configure([RYE | {"apiKeys": ["ryekey5678"]}, SHORE])
        path = "/-/lots/j1?after=0"

        def results():
            _, _, body = self.send(self.gateway(1), [bearer("ryekey5678")], path, b"", "GET")
            listed = json.loads(body)["results"]
            return listed if len(listed) == 3 else None

        for result in wait_for("all items are done", results):
            self.assertEqual(result["output"], output_of(result["id"]))
        items = [run for run in self.fleet.world.runs() if run["id"].startswith("j1-")]
        self.assertEqual({(run["team"], run["key"]) for run in items}, {("rye", None)})

    def test_a_configuration_with_one_key_of_two_teams_is_refused(self):
        # Guards against a key that stands for whichever team was read last.
        self.begin([RYE, SHORE])
        self.fleet.world.do("configure", teams=[RYE, SHORE | {"apiKeys": ["ryekey1234"]}])
        wait_for("it is refused", lambda: self.gateway().lines("config_refused"))
        self.assertEqual(self.send(self.gateway(), [bearer("shorekey12")])[0], 200)
        self.assertNotIn("ryekey1234", self.gateway().log.read_text(errors="replace"))


if __name__ == "__main__":
    unittest.main()
