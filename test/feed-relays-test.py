#!/usr/bin/env python3
"""Gateways of large data centres follow tables through relays.

usage: feed-relays-test.py BUILD_FOLDER
"""

import pathlib
import re
import sys
import time
import unittest

from gateways import CONT, KILL, STOP, Fleet, call, wait_for

BUILD = (pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build")).resolve()
# Fifteen in each data centre, which is enough for relays, also without the two that relay.
GATEWAYS = 30
# Until other relays are chosen; silence is noticed after 2.3 s. Unit: seconds.
NEW_RELAYS_BOUND = 4.0
SEEDS = 3
# In which a configuration is in force everywhere. Unit: seconds.
CONFIG_BOUND = 2.0


def metric(gateway, name):
    _, _, page = call(gateway.metrics, "GET", "/metrics", timeout=1)
    found = re.search(rf"^{re.escape(name)} (\S+)", page.decode(), re.MULTILINE)
    return float(found[1]) if found else 0


def relays_of(gateways):
    return [gateway for gateway in gateways if metric(gateway, "figmill_feeds_relayed") > 0]


class FeedRelaysTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD, gateways=GATEWAYS, most_seeds=SEEDS)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None)
        self.gateways = self.fleet.gateways
        wait_for("all follow relays", lambda: all(
            metric(each, "figmill_feed_polls_relayed_total") > 0 for each in self.gateways))
        self.relays = relays_of(self.gateways)
        self.others = [each for each in self.gateways if each not in self.relays]

    def assert_in_force(self, version, gateways):
        began = time.monotonic()
        wait_for(f"version {version} is in force", lambda: all(
            metric(each, "figmill_config_version") >= version for each in gateways), CONFIG_BOUND)
        return time.monotonic() - began

    def configure(self):
        return self.fleet.world.do("configure")["version"]

    def test_followers_leave_the_store_alone(self):
        # Guards against calls that grow with the product of entries and changes.
        # Entries that were asked while few others were known stop relaying after 10 s.
        wait_for("two relay in each data centre", lambda: len(relays_of(self.gateways)) == 4, 15)
        relays = relays_of(self.gateways)
        self.others = [each for each in self.gateways if each not in relays]
        name = 'figmill_store_calls_total{table="op",kind="follow"}'
        time.sleep(2.5)  # polls that began at the store end
        before = {each.name: metric(each, name) for each in self.others}
        self.assert_in_force(self.configure(), self.gateways)
        time.sleep(2)
        for each in self.others:
            self.assertLessEqual(metric(each, name) - before[each.name], 1, each.name)

    def test_a_configuration_is_in_force_in_time_though_all_relays_are_frozen(self):
        # Guards against an old configuration at all entries that follow a frozen relay, and
        # against one that goes back when the relay wakes.
        for relay in self.relays:
            relay.signal(STOP)
        version = self.configure()
        self.assert_in_force(version, self.others)
        for relay in self.relays:
            relay.signal(CONT)
        self.assert_in_force(version, self.gateways)

    def test_a_configuration_is_in_force_in_time_though_all_relays_are_killed(self):
        # Guards against the same for relays that end without a word.
        for relay in self.relays:
            relay.signal(KILL)
        self.assert_in_force(self.configure(), self.others)
        # Other entries relay from now on.
        wait_for("others relay", lambda: relays_of(self.others), NEW_RELAYS_BOUND)
        self.assert_in_force(self.configure(), self.others)

    def test_a_store_that_comes_back_is_followed_again(self):
        # Guards against relays that go on with what they knew before the store was away.
        self.fleet.world.do("store", mode="refuse")
        time.sleep(2)
        version = self.configure()
        self.fleet.world.do("store", mode="up")
        self.assert_in_force(version, self.gateways)


if __name__ == "__main__":
    unittest.main()
