"""Operators' orders under races, pauses, replaced hosts, an outage of the store
and lost datagrams: in force everywhere, and never taken back.
"""

import concurrent.futures
import contextlib
import http.client
import signal
import sys
import threading
import time

from fleet import BUILD, Callers, Fleet, ask, run_tests, wait_for

LOST_RACE = 4  # the tool's exit code for a conflict or a stale version
AWAIT_ANSWERED = 1.5  # seconds; an entry answers an `await` after 1 s, in force or not
LOSS = {"LD_PRELOAD": str(BUILD / "test/liblossy_datagrams.so"), "FIGMILL_TEST_LOSS": "0.2"}


class Watch:
    """Reads every process's place in the log all the time: it may only rise."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.over = threading.Event()
        self.seen = {}  # by node and process
        self.fallen = []
        self.reads = 0
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.over.wait(0.02):
            for member in self.fleet.entries + self.fleet.agents:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.look(member["name"])

    def look(self, name):
        process = (name, self.fleet.pids[name])
        sequence = self.fleet.metric(name, "figmill_control_sequence")
        if process != (name, self.fleet.pids[name]) or sequence is None:
            return  # replaced meanwhile
        self.reads += 1
        if sequence < self.seen.get(process, 0):
            self.fallen.append((process, self.seen[process], sequence))
        self.seen[process] = sequence

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.over.set()
        self.thread.join()
        assert self.reads > 0 and not self.fallen, self.fallen


def sequence_of(fleet, entry):
    return int(fleet.metric(entry["name"], "figmill_control_sequence"))


def race(fleet, statements):
    """All at once, each to an entry in turn; the tool's exit codes and outputs."""
    with concurrent.futures.ThreadPoolExecutor(len(statements)) as pool:
        return list(pool.map(lambda job: fleet.order(job[1], fleet.entries[job[0] % 2]),
                             enumerate(statements)))


def race_and_converge(fleet):
    start = sequence_of(fleet, fleet.entries[0])
    # One version, one winner.
    codes = [code for code, _ in race(fleet, [
        f"set limit team one requests {n} if version {start}" for n in range(1, 13)])]
    assert sorted(codes) == [0] + [LOST_RACE] * 11, codes
    # One subject: each wins, or loses to who it is told of. Other subjects: all win.
    orders = ([f"set limit team two requests {n}" for n in range(1, 13)]
              + [f"set limit team t-{n} requests {n}" for n in range(1, 13)])
    results = race(fleet, orders)
    assert {code for code, _ in results} <= {0, LOST_RACE}, results
    assert all(code == 0 for code, _ in results[12:]), results[12:]
    won = 1 + sum(code == 0 for code, _ in results)
    last = start + won
    fleet.ordered(f"await {last}")
    for member in fleet.entries + fleet.agents:
        sequence = fleet.metric(member["name"], "figmill_control_sequence")
        assert sequence == last, (member["name"], sequence, last)
    configs = [ask(entry["address"], "GET", "/v1/config")[1] for entry in fleet.entries]
    assert all(config == configs[0] for config in configs), configs
    limits = {limit["team"]: limit for limit in configs[0]["config"]["limits"]}
    assert set(limits) == {"one", "two"} | {f"t-{n}" for n in range(1, 13)}, limits
    # The order that got the highest number on the one subject is the one in force.
    by_sequence = {output: order for order, (code, output) in zip(orders[:12], results[:12])
                   if code == 0}
    newest = max(by_sequence, key=lambda output: int("".join(filter(str.isdigit, output))))
    wanted = float(by_sequence[newest].rsplit(" ", 1)[1])
    assert limits["two"]["requests_per_second"] == wanted, (by_sequence, limits["two"])


def test_racing_operators():
    # Symptom: an operator's change disappears; two entries show other limits.
    # Sequence: 36 orders at once at two entries, on one version, one subject, many.
    # Cause: orders that are merged rather than put in one order.
    with Fleet(2, 3) as fleet, Watch(fleet):
        race_and_converge(fleet)


def test_racing_operators_while_datagrams_get_lost():
    # Symptom: some agents run on old orders for minutes.
    # Sequence: as above, with one datagram in five lost at every process.
    # Cause: a change told once.
    with Fleet(2, 4, environment=LOSS) as fleet, Watch(fleet):
        race_and_converge(fleet)


def test_a_fresh_entry_takes_orders_from_a_peer_while_the_store_is_down():
    # Symptom: hosts that are replaced during an outage of the store are useless
    # until its end, and more go at every replacement.
    # Sequence: an entry is lost; an order is given; the store goes down; the entry
    # comes back as a new process with nothing kept.
    # Cause: orders read from the store alone.
    with Fleet(2, 2) as fleet, Watch(fleet):
        callers = Callers(fleet)
        first, second = fleet.entries
        fleet.kill(second["name"])
        last = fleet.ordered("set limit team harbour requests 100")["sequence"]
        fleet.platform_faults(down=["table", "objects"])
        fleet.start(second["name"])
        wait_for("it runs on the orders", lambda: sequence_of(fleet, second) == last)
        wait_for("it is ready", lambda: fleet.is_ready(second["name"]))
        configs = [ask(entry["address"], "GET", "/v1/config")[1] for entry in fleet.entries]
        assert configs[0] == configs[1], configs
        wait_for("it serves", lambda: callers.send("note", entry=second).result().whole)
        fleet.platform_faults(down=[])
        callers.verdict()


def test_a_paused_entry_and_agent_miss_orders_and_take_them_up():
    # Symptom: after a pause a host runs on orders that were replaced, or brings
    # them back into force.
    # Sequence: an entry and an agent are stopped; orders are given, and the host
    # list goes stale; both wake.
    # Cause: a woken process that believes, or spreads, what it knew before.
    with Fleet(2, 2) as fleet, Watch(fleet):
        callers = Callers(fleet)
        fleet.platform_faults(stale_hosts=True)
        sleepers = (fleet.entries[1]["name"], "agent-1")
        for name in sleepers:
            fleet.signal(name, signal.SIGSTOP)
        fleet.ordered("drain agent-0")
        fleet.ordered("undrain agent-0")
        last = fleet.ordered("set limit team harbour requests 100")["sequence"]
        for name in sleepers:
            fleet.signal(name, signal.SIGCONT)
        fleet.ordered(f"await {last}")
        assert all(fleet.metric(name, "figmill_control_sequence") == last for name in sleepers)
        code, output = fleet.order(f"set limit team late requests 1 if version {last - 1}",
                                   fleet.entries[1])
        assert code == LOST_RACE, output
        wait_for("all serve", lambda: all(
            callers.send(f"note {i}").result().whole for i in range(4)))
        callers.verdict()


def test_await_outlasts_a_paused_agent():
    # Guards against a script that takes the progress of an `await` for its answer.
    with Fleet(2, 2) as fleet, Watch(fleet), concurrent.futures.ThreadPoolExecutor(1) as pool:
        fleet.signal("agent-1", signal.SIGSTOP)
        last = fleet.ordered("set limit team harbour requests 100")["sequence"]
        awaited = pool.submit(fleet.ordered, f"await {last}")
        time.sleep(AWAIT_ANSWERED)
        fleet.signal("agent-1", signal.SIGCONT)
        spread = awaited.result()
        assert spread["complete"] and spread["nodes"] == 4, spread
        assert fleet.metric("agent-1", "figmill_control_sequence") == last


run_tests(sys.modules[__name__])
