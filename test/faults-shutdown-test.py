"""Shutdowns and drains under load cut no request and take no new work."""

import itertools
import signal
import sys
import threading
import time

from fleet import Callers, Fleet, run_tests, wait_for

SLOW_STEP = "--engine-arg=--step-base-us=20000"
TOKENS = 40
DRAIN_SECONDS = 3  # after the order: the last new work at a drained server


class Load:
    """Callers without pause, streamed and whole, through the entries given."""

    def __init__(self, callers, entries, width=8):
        self.callers, self.entries = callers, entries
        self.over = threading.Event()
        self.answers = []
        self.numbers = itertools.count()
        self.threads = [threading.Thread(target=self.run) for _ in range(width)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while not self.over.is_set():
            i = next(self.numbers)
            # What a balancer does: an entry that leaves gets no new caller.
            entries = list(self.entries)
            self.answers.append(self.callers.send(
                f"note {i}", TOKENS, stream=i % 2 == 0, entry=entries[i % len(entries)],
                item=f"note-{i}" if i % 4 == 0 else None, repeatable=i % 4 != 0).result())

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()
        return self.answers


def check(fleet, callers, answers):
    fleet.wait_quiet()
    callers.verdict()
    cut = [got for got in answers if got is None or not got.whole]
    assert not cut, f"{len(cut)} of {len(answers)} cut or refused: {cut[:3]}"


def test_a_graceful_shutdown_of_an_entry():
    # Symptom: at each deployment some callers get a reset or half a note.
    # Sequence: SIGTERM to an entry with streams under way; the balancer sees
    # /readyz and stops sending, but requests sent before that still arrive.
    # Cause: the process ends, or stops accepting, before its last answer is out.
    with Fleet(2, 2, SLOW_STEP) as fleet:
        leaver = fleet.entries[1]
        fleet.replace(leaver["name"])
        fleet.wait_in_force()
        callers = Callers(fleet)
        ready = list(fleet.entries)
        load = Load(callers, ready)
        wait_for("the load runs", lambda: len(load.answers) > 20)
        fleet.signal(leaver["name"], signal.SIGTERM)
        wait_for("it says that it leaves", lambda: not fleet.is_ready(leaver["name"]))
        ready.remove(leaver)
        assert fleet.own[leaver["name"]].wait(60) == 0
        seen = len(load.answers)
        wait_for("the load goes on", lambda: len(load.answers) > seen + 10)
        check(fleet, callers, load.stop())


def test_a_graceful_shutdown_of_an_agent():
    # Symptom: notes break off when a backend server's host is replaced.
    # Sequence: SIGTERM to an agent with streams under way, while entries that
    # haven't heard of it still send it work.
    # Cause: the process ends with streams open, or its refusal reaches callers.
    with Fleet(2, 3, SLOW_STEP) as fleet:
        fleet.replace("agent-0")
        fleet.wait_in_force()
        callers = Callers(fleet)
        load = Load(callers, fleet.entries)
        wait_for("it runs work", lambda: fleet.running(fleet.engines[0]))
        fleet.signal("agent-0", signal.SIGTERM)
        assert fleet.own["agent-0"].wait(60) == 0
        seen = len(load.answers)
        wait_for("the load goes on", lambda: len(load.answers) > seen + 10)
        check(fleet, callers, load.stop())


def test_a_drain_by_operators_order():
    # Symptom: a server that is being emptied never gets empty.
    # Sequence: `drain` under load; later `undrain`.
    # Cause: the order reaches some entries late or never, or running streams are
    # cut to obey it.
    with Fleet(2, 2, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        load = Load(callers, fleet.entries)
        wait_for("it runs work", lambda: len(fleet.running(fleet.engines[0])) > 1)
        fleet.ordered("drain agent-0")
        ordered_at = time.monotonic()
        # The bound itself is what is promised, so the wait is its length.
        while time.monotonic() < ordered_at + DRAIN_SECONDS:
            time.sleep(0.05)
        runs = len(fleet.executions(fleet.engines[0]))
        wait_for("its streams end", lambda: not fleet.running(fleet.engines[0]))
        seen = len(load.answers)
        wait_for("the load goes on", lambda: len(load.answers) > seen + 20)
        assert len(fleet.executions(fleet.engines[0])) == runs, "new work after the drain"
        fleet.ordered("undrain agent-0", fleet.entries[1])
        wait_for("it works again", lambda: len(fleet.executions(fleet.engines[0])) > runs)
        check(fleet, callers, load.stop())


def test_a_host_that_the_platform_lists_as_leaving():
    # Symptom: a host is taken away with work on it that came after the notice.
    # Sequence: the platform's list names an agent's host as leaving, under load,
    # and takes it back later.
    # Cause: the list only seeds membership, and nobody told the agent.
    with Fleet(2, 2, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        load = Load(callers, fleet.entries)
        wait_for("it runs work", lambda: len(fleet.running(fleet.engines[0])) > 1)
        fleet.list_host("agent-0", leaving=True)
        wait_for("the agent takes nothing new", lambda: not fleet.is_ready("agent-0"))
        runs = len(fleet.executions(fleet.engines[0]))
        wait_for("its streams end", lambda: not fleet.running(fleet.engines[0]))
        seen = len(load.answers)
        wait_for("the load goes on", lambda: len(load.answers) > seen + 20)
        assert len(fleet.executions(fleet.engines[0])) == runs, "new work after the notice"
        fleet.list_host("agent-0", leaving=False)
        wait_for("it works again", lambda: len(fleet.executions(fleet.engines[0])) > runs)
        check(fleet, callers, load.stop())


run_tests(sys.modules[__name__])
