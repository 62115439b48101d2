"""What the process tests of faults share: a local fleet whose members can be
killed, paused and replaced, callers that record what they got, and the verdict
of history_checker.py over it.
"""

import collections
import concurrent.futures
import contextlib
import datetime
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time

import history_checker
from kept_logs import LogFolder

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(sys.argv[1]).resolve()
NEVER = 60  # seconds after which a condition counts as never met
MODEL = "note-llm"
# Of an `await` that isn't over: the tool writes it to standard error.
PROGRESS = re.compile(r"^\d+: \d+ of \d+ processes\n", re.MULTILINE)


def call(address, method, path, body=None, headers=None, timeout=NEVER):
    """Status, headers, body bytes."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def ask(address, method, path, body=None, headers=None):
    """Status and the JSON body."""
    status, _, data = call(address, method, path, body, headers)
    return status, json.loads(data)


def wait_for(what, condition, seconds=NEVER):
    """Waits on a condition; the limit is there to fail, not to time anything."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = condition()
            if value:
                return value
        time.sleep(0.05)
    raise AssertionError(f"never: {what}")


class Got(collections.namedtuple("Got", "status headers text problem whole")):
    """What one caller got: the whole answer's text, or a problem."""

    @property
    def ran(self):
        return self.problem.get("ran") if self.problem else None

    @property
    def kind(self):
        return self.problem.get("kind") if self.problem else None


def read_answer(status, headers, data, stream):
    if status != 200:
        return Got(status, headers, "", json.loads(data), False)
    if not stream:
        return Got(status, headers, json.loads(data)["choices"][0]["text"], None, True)
    problem, words, whole = None, [], False
    for event in data.decode().split("\n\n"):
        if event.startswith("event: error"):
            problem = json.loads(event.split("data: ", 1)[1])
        elif event == "data: [DONE]":
            whole = True
        elif event.startswith("data: "):
            words.append(json.loads(event[6:])["choices"][0]["text"])
    return Got(status, headers, "".join(words), problem, whole and problem is None)


class Callers:
    """Sends requests each on a thread and keeps the history of what they got."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.pool = concurrent.futures.ThreadPoolExecutor(256)
        self.history = []
        self.lock = threading.Lock()
        self.count = 0

    def send(self, prompt, tokens=16, stream=False, item=None, repeatable=True, entry=None,
             deadline_ms=45000, headers=None):
        """A future of Got, or of None where the connection broke before an answer."""
        with self.lock:
            self.count += 1
            name = f"call-{self.count}"
        entry = entry or self.fleet.entries[self.count % len(self.fleet.entries)]
        sent = {"Content-Type": "application/json", "Figmill-Deadline-Ms": str(deadline_ms)}
        if item:
            sent["Idempotency-Key"] = item
        if not repeatable:
            sent["Figmill-Repeatable"] = "false"
        body = json.dumps({"model": MODEL, "prompt": prompt, "max_tokens": tokens,
                           "stream": stream})
        event = {"type": "request", "call": name, "repeatable": repeatable, "prompt": prompt,
                 "tokens": tokens}
        if item:
            event["item"] = item
        return self.pool.submit(self.run, event, entry["address"], body,
                                {**sent, **(headers or {})}, stream)

    def run(self, event, address, body, headers, stream):
        got = None
        with contextlib.suppress(OSError, http.client.HTTPException):
            got = read_answer(*call(address, "POST", "/v1/completions", body, headers), stream)
        if got and got.whole:
            event = {**event, "outcome": "answered", "text": got.text}
        elif got and got.problem:
            event = {**event, "outcome": "refused", "ran": got.ran}
        else:
            event = {**event, "outcome": "broken", "ran": "unknown"}
        with self.lock:
            self.history.append(event)
        return got

    def verdict(self):
        """Fails with what the checker finds; call once all is quiet."""
        findings = history_checker.check(self.history, self.fleet.executions())
        assert not findings, "\n".join(findings)


class Fleet:
    """A local fleet. Members are named by node, engines as engine-N."""

    def __init__(self, entries, agents, *arguments, environment=None):
        self.environment = {**os.environ, **(environment or {})}
        self.logs = LogFolder(BUILD)
        self.dir = self.logs.path
        self.own = {}  # processes started here, by node
        with open(self.dir / "local-fleet.log", "ab") as log:
            self.keeper = subprocess.Popen(
                [sys.executable, ROOT / "support/local-fleet", "--build", BUILD,
                 "--dir", self.dir, "--entries", str(entries), "--agents", str(agents),
                 "--services", "0", *arguments],
                stdout=log, env=self.environment)

    def __enter__(self):
        state = self.dir / "fleet.json"
        try:
            wait_for("the fleet is up", lambda: self.keeper.poll() is not None or state.exists())
            fleet = json.loads(state.read_text(encoding="utf-8"))
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        self.entries, self.agents = fleet["entries"], fleet["agents"]
        self.engines = fleet["engines"]
        self.platform = fleet["platform"]
        self.members = {each["name"]: each for each in self.entries + self.agents + self.engines}
        self.pids = {name: each["pid"] for name, each in self.members.items()}
        try:
            self.wait_in_force()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def wait_in_force(self):
        """Until every member runs on the configuration and every entry finds agents."""
        nodes = [each["name"] for each in self.entries + self.agents]
        wait_for("the configuration is everywhere",
                 lambda: all(self.metric(node, "figmill_control_sequence") for node in nodes))
        body = json.dumps({"model": MODEL, "prompt": "warm up", "max_tokens": 1})
        for entry in self.entries:
            wait_for(f"{entry['name']} serves", lambda e=entry: call(
                e["address"], "POST", "/v1/completions", body)[0] == 200)

    def __exit__(self, kind, *_):
        for process in self.own.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.keeper.terminate()
        self.keeper.wait()
        self.logs.close(failed=kind is not None)

    def note(self, text):
        """Adds a line to the test's own log, in the form of the processes' logs."""
        at = datetime.datetime.now(datetime.timezone.utc)
        with open(self.dir / "test.log", "a", encoding="utf-8") as log:
            log.write(f"{at:%Y-%m-%dT%H:%M:%S.%fZ} I event={text}\n")

    # Members.

    def signal(self, name, number):
        self.note(f"signal node={name} number={signal.Signals(number).name}")
        os.kill(self.pids[name], number)

    def is_dead(self, name):
        if name in self.own:
            return self.own[name].poll() is not None
        try:
            with open(f"/proc/{self.pids[name]}/stat", encoding="ascii") as stat:
                return stat.read().rpartition(")")[2].split()[0] in "ZX"
        except FileNotFoundError:
            return True

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        wait_for(f"{name} is dead", lambda: self.is_dead(name))

    def start(self, name, **changed):
        """Starts a dead member again; `changed` replaces arguments, such as backend=ADDRESS."""
        argv = list(self.members[name]["argv"])
        for flag, value in changed.items():
            argv[argv.index("--" + flag) + 1] = value
        with open(self.dir / f"{name}.log", "ab") as log:
            self.own[name] = subprocess.Popen(argv, stdin=subprocess.DEVNULL, stdout=log,
                                              stderr=log, env=self.environment)
        self.pids[name] = self.own[name].pid
        self.note(f"started node={name} pid={self.pids[name]}")

    def replace(self, name, **changed):
        """Kills a member and starts it again, as a child whose exit code can be known."""
        self.kill(name)
        self.start(name, **changed)
        wait_for(f"{name} is ready again", lambda: self.is_ready(name))

    def is_ready(self, name):
        return call(self.members[name]["address"], "GET", "/readyz", timeout=2)[0] == 200

    def wait_ready(self):
        for name, member in self.members.items():
            if "node" in member:
                wait_for(f"{name} is ready", lambda n=name: self.is_ready(n))

    def metric(self, name, metric):
        _, _, page = call(self.members[name]["address"], "GET", "/metrics", timeout=5)
        for line in page.decode().splitlines():
            if line.startswith(metric + " "):
                return float(line.rpartition(" ")[2])
        return None

    # The platform and the backend servers.

    def platform_faults(self, **faults):
        status, answer = ask(self.platform["address"], "POST", "/standin/faults",
                             json.dumps(faults))
        assert status == 200, answer

    def list_host(self, name, leaving):
        """Changes what the platform's lagging list says of a host."""
        of = next(each for each in self.entries + self.agents if each["name"] == name)
        host = {key: of[key] for key in ("node", "http", "gossip", "role", "data_centre")}
        body = json.dumps({"hosts": [{**host, "leaving": leaving}]})
        status, _ = ask(self.platform["address"], "POST", "/hosts", body)
        assert status == 200, status

    def engine_faults(self, engine, **faults):
        status, answer = ask(engine["address"], "POST", "/standin/faults", json.dumps(faults))
        assert status == 200, answer

    def executions(self, engine=None):
        """What backend servers ever ran: the truth that answers are held against."""
        runs = []
        for each in [engine] if engine else self.engines:
            _, _, data = call(each["address"], "GET", "/standin/executions")
            runs += [json.loads(line) for line in data.decode().splitlines()]
        return runs

    def running(self, engine=None):
        return [run for run in self.executions(engine) if run["state"] == "running"]

    def wait_quiet(self):
        wait_for("no engine runs anything", lambda: not self.running())

    # Operators.

    def order(self, statement, entry=None):
        """The tool's exit code, and its output without lines of progress."""
        entry = entry or self.entries[0]
        done = subprocess.run([BUILD / "figmill", "--json", "--entry", entry["address"], "-c",
                               statement], capture_output=True, text=True, check=False,
                              timeout=NEVER)
        return done.returncode, done.stdout + PROGRESS.sub("", done.stderr)

    def ordered(self, statement, entry=None):
        code, output = self.order(statement, entry)
        assert code == 0, f"{statement}: {output}"
        return json.loads(output)


def run_tests(module):
    """Runs each test_ function of a module in its order."""
    for name, test in list(vars(module).items()):
        if name.startswith("test_") and len(sys.argv) < 3 or name in sys.argv[2:]:
            began = time.monotonic()
            test()
            print(f"passed {name} in {time.monotonic() - began:.1f} s", flush=True)
