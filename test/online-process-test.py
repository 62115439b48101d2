"""Online requests through real processes while agents die, pause and lie.

One entry, three agents, each beside a stand-in engine. The answer of an engine
depends on the prompt alone, so what a caller must get is known beforehand.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "support"))

from ports import Ports  # noqa: E402

BUILD = sys.argv[1]
AGENTS = 3
SLOW_STEP = ["--step-base-us", "20000"]  # a stream long enough to break


def call(port, path, body=None, headers=None, timeout=30):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=data, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refused:
        return refused.code, refused.read().decode()


def until(what, condition, limit=20):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise AssertionError("never: " + what)


class Fleet:
    def __init__(self):
        self.processes = []
        self.ports = Ports()
        self.platform, self.entry = self.ports.port(), self.ports.port()
        self.engines, self.http, self.gossip = (
            [self.ports.port() for _ in range(AGENTS)] for _ in range(3))
        self.agents = [None] * AGENTS
        self.start("figmill-standin", "platform", "--http", at(self.platform))
        for port in self.engines:
            engine = ["engine", "--http", at(port), "--model", "note-llm", *SLOW_STEP]
            self.start("figmill-standin", *engine)
        for i in range(AGENTS):
            self.start_agent(i)
        hosts = [
            {"node": f"a{i}", "http": at(self.http[i]), "gossip": at(self.gossip[i]),
             "role": "agent", "data_centre": "local", "leaving": False}
            for i in range(AGENTS)
        ]
        until("platform", lambda: call(self.platform, "/hosts", {"hosts": hosts})[0] == 200)
        self.start("figmilld", "entry", "--node", "e1", "--http", at(self.entry),
                   "--gossip", self.ports.address(), "--platform", at(self.platform))
        until("all agents are known", self.all_known)

    def start(self, program, *arguments):
        process = subprocess.Popen([os.path.join(BUILD, program), *arguments],
                                   stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start_agent(self, i):
        self.agents[i] = self.start(
            "figmilld", "agent", "--node", f"a{i}", "--http", at(self.http[i]),
            "--gossip", at(self.gossip[i]), "--platform", at(self.platform),
            "--backend", at(self.engines[i]))

    def all_known(self):
        """Each agent gets a request of its own prompt sooner or later."""
        prompt = f"warm up {time.monotonic()}"
        status, _ = self.complete(prompt, 1)
        return status == 200 and all(self.executions(i) for i in range(AGENTS))

    def complete(self, prompt, tokens, stream=False, **headers):
        body = {"model": "note-llm", "prompt": prompt, "max_tokens": tokens, "stream": stream}
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return call(self.entry, "/v1/completions", body, headers)

    def executions(self, i):
        lines = call(self.engines[i], "/standin/executions")[1].splitlines()
        return [json.loads(line) for line in lines]

    def running_at(self, prompt_runs_before):
        """The agent whose engine began a run since then."""
        for i in range(AGENTS):
            if len(self.executions(i)) > prompt_runs_before[i]:
                return i
        return None

    def runs(self):
        return [len(self.executions(i)) for i in range(AGENTS)]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.ports.release()


def at(port):
    return f"127.0.0.1:{port}"


def words(sse):
    """The answer's text, once it is known to be whole."""
    events = [line[6:] for line in sse.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]", events[-1]
    return "".join(json.loads(event)["choices"][0]["text"] for event in events[:-1])


def expected(fleet, prompt, tokens):
    body = {"model": "note-llm", "prompt": prompt, "max_tokens": tokens}
    answer = call(fleet.engines[0], "/v1/completions", body)[1]
    return json.loads(answer)["choices"][0]["text"]


def during(fleet, prompt, tokens, disturb, stream=True, **headers):
    """Sends a request, lets `disturb(agent)` loose once an engine runs it."""
    before = fleet.runs()
    result = {}

    def ask():
        result["answer"] = fleet.complete(prompt, tokens, stream, **headers)

    caller = threading.Thread(target=ask)
    caller.start()
    until("an engine runs it", lambda: fleet.running_at(before) is not None)
    disturb(fleet.running_at(before))
    caller.join()
    return result["answer"]


def test_killed_agent(fleet):
    # Symptom: a note breaks off, or has words twice.
    # Sequence: the agent dies mid-stream and comes back as a new process.
    # Cause: a resume lost with the agent's memory, though the engine goes on.
    def kill(agent):
        fleet.agents[agent].kill()
        fleet.agents[agent].wait()
        fleet.start_agent(agent)

    status, sse = during(fleet, "rye field, killed", 60, kill)
    assert status == 200 and words(sse) == expected(fleet, "rye field, killed", 60), sse[-300:]


def test_paused_agent(fleet):
    # Symptom: a surveyor waits out the whole deadline while the tide comes in.
    # Sequence: the agent stops (SIGSTOP) mid-stream; its connection stays open.
    # Cause: an open connection taken for a sign of life.
    stopped = []

    def pause(agent):
        fleet.agents[agent].send_signal(signal.SIGSTOP)
        stopped.append(agent)

    status, sse = during(fleet, "transect, paused", 40, pause)
    for agent in stopped:
        fleet.agents[agent].send_signal(signal.SIGCONT)
    assert status == 200 and words(sse) == expected(fleet, "transect, paused", 40), sse[-300:]


def test_not_repeatable(fleet):
    # Symptom: two invoices; or none, though one was written.
    # Sequence: the agent dies while its engine runs work that may not be
    # repeated; another one comes in its place, late the first time, and too late
    # the second.
    # Cause: the work sent again because no answer came, or its answer not fetched.
    def replace(agent):
        fleet.agents[agent].kill()
        fleet.agents[agent].wait()
        time.sleep(1)
        fleet.start_agent(agent)

    def kill(agent):
        fleet.agents[agent].kill()
        fleet.agents[agent].wait()

    before = fleet.runs()
    status, body = during(fleet, "invoice, once", 60, replace, stream=False,
                          Figmill_Repeatable="false")
    assert status == 200, body
    assert json.loads(body)["choices"][0]["text"] == expected(fleet, "invoice, once", 60)
    assert sum(fleet.runs()) == sum(before) + 2  # the one more is that of `expected`
    before = fleet.runs()
    status, body = during(fleet, "invoice, lost", 60, kill, stream=False,
                          Figmill_Repeatable="false")
    assert sum(fleet.runs()) == sum(before) + 1
    assert status != 200 and json.loads(body)["ran"] != "no", body
    fleet.start_agent(next(i for i in range(AGENTS) if fleet.agents[i].poll() is not None))
    until("agents are back", lambda: all(call(port, "/readyz")[0] == 200 for port in fleet.http))


def test_lying_engines(fleet):
    # Symptom: half a summary, or another farm's, as if it were whole.
    # Sequence: every engine cuts an answer short and swaps two.
    # Cause: an answer's end or owner taken on trust.
    for port in fleet.engines:
        call(port, "/standin/faults", {"truncate_answers": 1, "swap_answers": 1})
    answers = {}

    def ask(prompt):
        answers[prompt] = fleet.complete(prompt, 10, stream=True)

    prompts = [f"parcel {i}" for i in range(12)]
    callers = [threading.Thread(target=ask, args=(prompt,)) for prompt in prompts]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    for port in fleet.engines:
        call(port, "/standin/faults", {"truncate_answers": 0, "swap_answers": 0})
    for prompt, (status, sse) in answers.items():
        if status == 200 and "event: error" not in sse:
            assert words(sse) == expected(fleet, prompt, 10), (prompt, sse)
    whole = sum(status == 200 and "event: error" not in sse for status, sse in answers.values())
    assert whole >= 10, f"{whole} of 12 whole"


def test_refusals_say_that_nothing_ran(fleet):
    # Symptom: a caller that got a 400 can't tell whether its work ran.
    # Sequence: an engine refuses what the entry does not look into.
    # Cause: the engine's words were passed on, which say nothing of it.
    bad = [{"prompt": 3}, {"prompt": None}, {"messages": "hello"}, {"prompt": "a", "stream": 1},
           {"prompt": "a", "max_tokens": -1}, {"prompt": "a", "max_tokens": "many"}, {"model": 7},
           {"model": "a b"}, [], "note-llm"]
    before = fleet.runs()
    for fields in bad:
        body = {"model": "note-llm"} | fields if isinstance(fields, dict) else fields
        for path in ("/v1/completions", "/v1/chat/completions"):
            for headers in ({}, {"Figmill-Repeatable": "false"}):
                status, answer = call(fleet.entry, path, body, headers)
                assert status == 400, (path, body, status, answer)
                assert json.loads(answer)["ran"] == "no", (path, body, answer)
    assert fleet.runs() == before


def test_caller_gone(fleet):
    # Symptom: engines busy with answers that nobody reads.
    # Sequence: a caller hangs up mid-stream.
    # Cause: the hang-up ends at the entry.
    before = fleet.runs()
    body = json.dumps({"model": "note-llm", "prompt": "gone", "max_tokens": 2000, "stream": True})
    with socket.create_connection(("127.0.0.1", fleet.entry)) as caller:
        caller.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
                       f"\r\n\r\n{body}".encode())
        caller.recv(64)
    agent = next(i for i in range(AGENTS) if len(fleet.executions(i)) > before[i])
    until("the run is cancelled",
          lambda: fleet.executions(agent)[-1]["state"] not in ("running", "waiting"), 10)
    assert fleet.executions(agent)[-1]["state"] == "cancelled"


def main():
    fleet = Fleet()
    try:
        for test in (test_killed_agent, test_paused_agent, test_not_repeatable,
                     test_lying_engines, test_refusals_say_that_nothing_ran, test_caller_gone):
            began = time.monotonic()
            test(fleet)
            print(f"{test.__name__}: ok, {time.monotonic() - began:.1f} s", flush=True)
    finally:
        fleet.stop()


main()
