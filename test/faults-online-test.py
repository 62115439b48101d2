"""Online requests on a whole fleet while agents, entries and engines fail.

Every caller gets the whole answer to its own request, or a problem whose `ran`
is true; what may not be repeated runs at most once.
"""

import json
import signal
import subprocess
import sys

from fleet import BUILD, Callers, Fleet, call, run_tests, wait_for

SLOW_STEP = "--engine-arg=--step-base-us=20000"  # streams long enough to break
STREAMS = 18
TOKENS = 60


def start_streams(fleet, callers, name):
    """Repeatable and not repeatable ones, streamed and whole, all running at an engine."""
    before = len(fleet.executions())
    sent = [callers.send(f"{name} {i}", TOKENS, stream=i % 2 == 0,
                         item=f"{name}-{i}" if i % 3 == 0 else None, repeatable=i % 3 != 0)
            for i in range(STREAMS)]
    wait_for("all run", lambda: len(fleet.executions()) >= before + STREAMS)
    return sent


def check(fleet, callers, sent, struck):
    """Callers of the `struck` requests may get a true problem, all others the answer."""
    answers = [each.result() for each in sent]
    fleet.wait_quiet()
    callers.verdict()
    assert None not in answers
    untold = [(i, got) for i, got in enumerate(answers) if not got.whole and not got.problem]
    assert not untold, f"broken without a word of why: {untold}"
    failed = [(i, got.problem) for i, got in enumerate(answers) if not got.whole]
    assert len(failed) <= struck, failed
    assert all(problem["ran"] in ("yes", "unknown") for _, problem in failed), failed


def busiest(fleet):
    return max(range(len(fleet.engines)), key=lambda i: len(fleet.running(fleet.engines[i])))


def test_an_agent_killed_mid_stream():
    # Symptom: notes break off or have words twice; two invoices.
    # Sequence: an agent with running streams is killed and a new process takes
    # its place while the callers wait.
    # Cause: a break taken for an end, or work sent again that may have run.
    with Fleet(2, 3, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        sent = start_streams(fleet, callers, "killed")
        struck = busiest(fleet)
        streams = len(fleet.running(fleet.engines[struck]))
        fleet.kill(f"agent-{struck}")
        fleet.start(f"agent-{struck}")
        check(fleet, callers, sent, streams)
        fleet.wait_ready()


def test_an_agent_paused_mid_stream_and_woken():
    # Symptom: a caller waits out its deadline; the woken agent's late answer is
    # given to another caller; work runs twice.
    # Sequence: an agent is stopped with streams running and its connections open;
    # the callers are served elsewhere; it wakes and goes on as if nothing was.
    # Cause: an open connection taken for a sign of life, and what a woken process
    # believes taken for the truth.
    with Fleet(2, 3, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        sent = start_streams(fleet, callers, "paused")
        struck = busiest(fleet)
        streams = len(fleet.running(fleet.engines[struck]))
        fleet.signal(f"agent-{struck}", signal.SIGSTOP)
        for each in sent:
            each.result()
        fleet.signal(f"agent-{struck}", signal.SIGCONT)
        check(fleet, callers, sent, streams)


def test_an_entry_killed_mid_stream_and_its_callers_ask_again():
    # Symptom: a doubled invoice after a host was lost and the caller resent.
    # Sequence: an entry is killed with not-repeatable requests under way; their
    # callers resend the same keys to the other entry.
    # Cause: the successor doesn't find, or doesn't believe, the first one's claim.
    with Fleet(2, 2, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        first, second = fleet.entries
        lost = [callers.send(f"invoice {i}", TOKENS, item=f"invoice-{i}", repeatable=False,
                             entry=first) for i in range(8)]
        wait_for("all run", lambda: len(fleet.running()) == 8)
        fleet.kill(first["name"])
        assert all(each.result() is None for each in lost)
        for i in range(8):
            def settled(i=i):
                got = callers.send(f"invoice {i}", TOKENS, item=f"invoice-{i}", repeatable=False,
                                   entry=second).result()
                return got if got and (got.whole or got.kind == "outcome-unknown") else None
            got = wait_for(f"invoice {i} is settled", settled)
            assert got.whole, f"its engine has the answer: {got}"
        fleet.wait_quiet()
        callers.verdict()


def test_engines_that_cut_swap_and_delay():
    # Symptom: half a summary, or another farm's, as if it were the caller's own.
    # Sequence: every engine breaks answers off, gives pairs of requests each
    # other's, fails some after they started, and answers late.
    # Cause: an answer's end or owner taken on trust.
    with Fleet(2, 3, SLOW_STEP) as fleet:
        callers = Callers(fleet)
        for engine in fleet.engines:
            fleet.engine_faults(engine, truncate_answers=2, swap_answers=2, fail_answers=1,
                                delay_ms=300)
        sent = [callers.send(f"parcel {i}", 20, stream=i % 2 == 0,
                             item=f"parcel-{i}" if i % 3 == 0 else None, repeatable=i % 3 != 0)
                for i in range(36)]
        for each in sent:
            each.result()
        fleet.wait_quiet()
        callers.verdict()
        answers = [each.result() for each in sent]
        assert all(got is not None for got in answers)
        lost = [(i, got) for i, got in enumerate(answers) if not got.whole and i % 3 != 0]
        assert not lost, lost


class Proxy:
    """A fault proxy before an engine."""

    def __init__(self, engine):
        self.process = subprocess.Popen(
            [BUILD / "figmill-fault-proxy", "--listen", "127.0.0.1:0", "--forward",
             engine["address"]], stdout=subprocess.PIPE, text=True)
        ready = json.loads(self.process.stdout.readline())
        self.admin, self.link = ready["admin"], ready["links"][0]

    def rule(self, **members):
        status, _, answer = call(self.admin, "POST", "/rules", json.dumps(members))
        assert status == 201, answer
        return json.loads(answer)["id"]

    def hits(self):
        return sum(rule["hits"] for rule in json.loads(call(self.admin, "GET", "/rules")[2]))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.terminate()
        self.process.wait()


def test_a_network_that_cuts_and_swallows_engines_answers():
    # Symptom: half a note as if it were whole; a caller that waits for ever.
    # Sequence: between one agent and its engine connections are reset within an
    # answer, and others stay open while the rest is swallowed.
    # Cause: the end of a connection taken for the end of an answer, or silence for
    # an engine that thinks.
    with Fleet(2, 2, SLOW_STEP) as fleet, Proxy(fleet.engines[0]) as proxy:
        fleet.replace("agent-0", backend=proxy.link)
        fleet.wait_in_force()
        callers = Callers(fleet)
        proxy.rule(fault="cut", direction="to-caller", after_bytes=2500, times=4)
        proxy.rule(fault="half-open", direction="to-caller", after_bytes=3500, times=2)
        sent = []
        while proxy.hits() < 6:
            sent += [callers.send(f"cut {len(sent) + i}", TOKENS, stream=i % 2 == 0,
                                  item=f"cut-{len(sent) + i}" if i % 3 == 0 else None,
                                  repeatable=i % 3 != 0) for i in range(6)]
            for each in sent[-6:]:
                each.result()
            assert len(sent) < 120, f"only {proxy.hits()} of 6 connections were struck"
        fleet.wait_quiet()
        callers.verdict()
        answers = [each.result() for each in sent]
        assert None not in answers
        failed = [got.problem for got in answers if not got.whole]
        assert len(failed) <= 6 and all(problem["ran"] != "no" for problem in failed), failed


run_tests(sys.modules[__name__])
