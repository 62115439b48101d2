"""Not-repeatable keyed requests on a whole fleet under faults.

Symptom: two invoices, or "not run" for an invoice that was sent. Sequence: each
request goes to two entries, while agents and entries are killed and paused and
the store loses answers or is down. Cause: any step that acts on what it doesn't
know. The engines' records of executions decide.
"""

import collections
import concurrent.futures
import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

from kept_logs import LogFolder

BUILD = pathlib.Path(sys.argv[1]).resolve()
ROOT = pathlib.Path(__file__).resolve().parent.parent
SEED = int(os.environ.get("ONCE_SEED", "1"))
KEYS = 200
CHAOS_SECONDS = 25
SETTLE_SECONDS = 60  # until a condition counts as never met

Answer = collections.namedtuple("Answer", "key status ran kind request body")


def call(address, method, path, body=None, headers=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_for(what, condition):
    end = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.1)
    raise AssertionError(f"never: {what}")


def send(entry, key, tokens=24, **headers):
    """One request of the key; nothing when the entry died with it."""
    body = json.dumps({"model": "note-llm", "prompt": f"note {key}", "max_tokens": tokens})
    sent = {"Content-Type": "application/json", "Idempotency-Key": key,
            "Figmill-Repeatable": "false", "Figmill-Deadline-Ms": "15000", **headers}
    try:
        status, told, data = call(entry["address"], "POST", "/v1/completions", body, sent)
    except (OSError, http.client.HTTPException):
        return None
    if status == 200:
        return Answer(key, status, "yes", "", told.get("Figmill-Request"), data)
    problem = json.loads(data)
    return Answer(key, status, problem.get("ran"), problem.get("kind"),
                  told.get("Figmill-Request"), data)


class Fleet:
    """A local fleet; what died is started again here with its own arguments."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.keeper = subprocess.Popen(
            [sys.executable, ROOT / "support/local-fleet", "--entries", "4", "--agents", "4",
             "--services", "0", "--build", BUILD, "--dir", folder, "--seed", str(SEED),
             "--engine-arg=--step-base-us", "--engine-arg=25000"],
            stdout=subprocess.DEVNULL)
        self.replaced = []
        state = self.folder / "fleet.json"
        wait_for("the fleet is up", lambda: self.keeper.poll() is not None or state.exists())
        self.state = json.loads(state.read_text(encoding="utf-8"))
        self.pids = {each["name"]: each["pid"] for each in self.entries + self.agents}

    def __getattr__(self, name):
        return self.state[name]

    def stop(self):
        for process in self.replaced:
            process.kill()
            process.wait()
        self.keeper.terminate()
        self.keeper.wait()

    def signal(self, member, number):
        os.kill(self.pids[member["name"]], number)

    def replace(self, member):
        self.signal(member, signal.SIGKILL)
        wait_for(f"{member['name']} is dead", lambda: self.is_dead(member))
        with open(self.folder / f"{member['name']}.log", "ab") as log:
            process = subprocess.Popen(member["argv"], stdout=log, stderr=log)
        self.replaced.append(process)
        self.pids[member["name"]] = process.pid

    def is_dead(self, member):
        """Its port is free: it is gone, or waits only to be reaped."""
        try:
            with open(f"/proc/{self.pids[member['name']]}/stat", encoding="ascii") as stat:
                return stat.read().rpartition(")")[2].split()[0] in "ZX"
        except FileNotFoundError:
            return True

    def faults(self, at=None, **faults):
        status, _, data = call((at or self.platform)["address"], "POST", "/standin/faults",
                               json.dumps(faults))
        assert status == 200, data

    def executions(self):
        runs = []
        for engine in self.engines:
            _, _, data = call(engine["address"], "GET", "/standin/executions")
            runs += [json.loads(line) for line in data.decode().splitlines()]
        return runs

    def is_ready(self, member):
        try:
            return call(member["address"], "GET", "/readyz")[0] == 200
        except (OSError, http.client.HTTPException):
            return False


def disturb(fleet, chance, over):
    """Faults, one after the other, until the time is over."""
    lossy = ("lose_answers", "garble_answers", "drop_writes")
    while not over.is_set():
        kind = chance.choice(["kill", "kill", "pause", "pause", "lose", "lose", "down"])
        member = chance.choice(fleet.agents + fleet.entries)
        if kind == "kill":
            fleet.replace(member)
        elif kind == "pause":
            fleet.signal(member, signal.SIGSTOP)
            over.wait(chance.uniform(0.3, 3))
            fleet.signal(member, signal.SIGCONT)
        elif kind == "lose":
            fleet.faults(**{chance.choice(lossy): {"prefix": "once/", "count": 4}})
        else:
            fleet.faults(down=["table"])
            over.wait(1)
            fleet.faults(down=[])
        over.wait(chance.uniform(0.1, 0.4))


def send_all(fleet, chance):
    """Each key to two entries, close to each other; the answers that came."""
    def one(key, entry, after):
        time.sleep(after)
        return send(entry, key)

    with concurrent.futures.ThreadPoolExecutor(max_workers=2 * KEYS) as pool:
        sent = []
        for i in range(KEYS):
            at = chance.uniform(0, CHAOS_SECONDS)
            first, second = chance.sample(fleet.entries, 2)
            sent.append(pool.submit(one, f"invoice-{i}", first, at))
            sent.append(pool.submit(one, f"invoice-{i}", second, at + chance.choice([0, 0.3, 3])))
        return [answer.result() for answer in sent if answer.result()]


def final_answer(fleet, key, number):
    """Asked until it is settled: an outcome, or unknown for good."""
    def settled():
        answer = send(fleet.entries[number % len(fleet.entries)], key)
        final = answer and (answer.status == 200 or answer.kind == "outcome-unknown")
        return answer if final else None
    return wait_for(f"{key} is settled", settled)


def check(answers, runs, told_no):
    by_key = collections.Counter(run["item_key"] for run in runs)
    twice = [key for key, count in by_key.items() if count > 1]
    assert not twice, f"ran more than once: {twice}"
    ran = {run["request_id"] for run in runs}
    false_no = [answer for answer in told_no if answer.request in ran]
    assert not false_no, f"'not run', but it ran: {false_no}"
    bodies = collections.defaultdict(set)
    for answer in answers:
        if answer.status == 200:
            bodies[answer.key].add(answer.body)
    differing = [key for key, seen in bodies.items() if len(seen) > 1]
    assert not differing, f"answers to one key differ: {differing}"
    unrun = [key for key in bodies if key not in by_key]
    assert not unrun, f"answered without an execution: {unrun}"


def lose_the_agents(fleet):
    """Symptom: a second run after "not run". Sequence: an agent is killed while it
    runs a dispatch that came over a pooled connection, and its successor is up at
    once. Cause: an HTTP client that sends again on its own account when a pooled
    connection breaks, and an agent that truly says it did not run that copy."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=40) as pool:
        for entry in fleet.entries:  # connections for the pools
            list(pool.map(lambda i, e=entry: send(e, f"warm-{e['name']}-{i}", tokens=2,
                                                  **{"Figmill-Repeatable": "true"}), range(10)))
        for engine in fleet.engines:
            fleet.faults(engine, delay_ms=2000)  # it runs, and no byte has come back
        sent = [pool.submit(send, fleet.entries[i % 4], f"mid-run-{i}")
                for i in range(24)]
        def running():
            return sum(run["item_key"].startswith("mid-run") for run in fleet.executions())
        wait_for("all of them run, or were refused",
                 lambda: running() + sum(answer.done() for answer in sent) >= len(sent))
        assert running() > len(sent) / 2
        for agent in fleet.agents:
            fleet.replace(agent)
        for engine in fleet.engines:
            fleet.faults(engine, delay_ms=0)
        answers = [answer.result() for answer in sent]
    check(answers, fleet.executions(), [answer for answer in answers if answer.ran == "no"])
    for member in fleet.agents + fleet.entries:
        wait_for(f"{member['name']} is ready", lambda m=member: fleet.is_ready(m))


def accept_and_lose_the_owner(fleet):
    """An accepted item ends though the entry that accepted it never comes back."""
    owner, other = fleet.entries[0], fleet.entries[1]
    body = json.dumps({"model": "note-llm", "prompt": "later", "max_tokens": 24})
    status, headers, data = call(
        owner["address"], "POST", "/v1/completions", body,
        {"Content-Type": "application/json", "Idempotency-Key": "later-1",
         "Figmill-Repeatable": "false", "Prefer": "respond-async"})
    assert status == 202, data
    fleet.replace(owner)
    def result():
        status, _, told = call(other["address"], "GET", headers["Location"])
        return told if status not in (202, 503) else None
    told = wait_for("the accepted item ends", result)
    runs = [run for run in fleet.executions() if run["item_key"] == "later-1"]
    assert len(runs) <= 1, runs
    assert json.loads(told).get("kind") == "outcome-unknown" or len(runs) == 1, told


def main():
    chance = random.Random(SEED)
    with LogFolder(BUILD) as folder:
        fleet = Fleet(folder)
        try:
            lose_the_agents(fleet)
            over = threading.Event()
            chaos = threading.Thread(target=disturb, args=(fleet, random.Random(SEED), over))
            chaos.start()
            answers = send_all(fleet, chance)
            over.set()
            chaos.join()
            fleet.faults(down=[], lose_answers={"prefix": "", "count": 0},
                         garble_answers={"prefix": "", "count": 0},
                         drop_writes={"prefix": "", "count": 0})
            for member in fleet.entries + fleet.agents:
                wait_for(f"{member['name']} is ready", lambda m=member: fleet.is_ready(m))
            told_no = [answer for answer in answers if answer.ran == "no"]
            check(answers, fleet.executions(), told_no)

            with concurrent.futures.ThreadPoolExecutor(max_workers=20) as pool:
                answers += pool.map(lambda i: final_answer(fleet, f"invoice-{i}", i), range(KEYS))
            runs = [run for run in fleet.executions() if run["item_key"].startswith("invoice")]
            check(answers, runs, told_no)
            print(f"{len(answers) - KEYS} of {2 * KEYS} answered: "
                  f"{sum(a.status == 200 for a in answers[:-KEYS])} outcomes, "
                  f"{len(told_no)} not run, "
                  f"{sum(a.ran == 'unknown' for a in answers[:-KEYS])} not known then; "
                  f"in the end {sum(a.status == 200 for a in answers[-KEYS:])} outcomes, "
                  f"{sum(a.status != 200 for a in answers[-KEYS:])} unknown; {len(runs)} executions")
            accept_and_lose_the_owner(fleet)
        finally:
            fleet.stop()


main()
