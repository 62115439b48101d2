"""What the scripts of the review share: figmill's gateways with the command of the deploy file, the
stand-in of the users' platform, and the record of what was sent, answered and run."""

import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "support"))

from ports import Ports  # noqa: E402

HOST = "farm.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ATTEMPTS = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of record.txt: seconds since the start of the script, and what happened."""

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=10):
    """Status and body of one call on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST} | (headers or {}))
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def repeated(address, *arguments):
    """As call. Repeats a call that may be repeated if its connection breaks: a busy gateway closes
    new connections unread."""
    for _ in range(ATTEMPTS - 1):
        try:
            return call(address, *arguments)
        except (OSError, http.client.HTTPException):
            time.sleep(0.1)
    return call(address, *arguments)


def wait_for(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun(f"never: {what}")


def gateway_command(settings):
    """The words of the deploy file's command. A placeholder without a value leaves nothing."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        run = tomllib.load(file)["roles"]["gateway"]["run"]
    words = []
    for word in run.split():
        while "{{" in word:
            before, _, rest = word.partition("{{")
            name, _, after = rest.partition("}}")
            value = settings
            for step in name.split("."):
                value = value.get(step, "") if isinstance(value, dict) else ""
            word = before + str(value) + after
        words.append(word)
    words[0] = str(ROOT / words[0])
    return words


class Gateway:
    def __init__(self, fleet, name, zone, seeds, cores):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready, self.control, metrics = (fleet.ports.address() for _ in range(4))
        command = gateway_command({
            "node": name, "zone": zone, "limits": {"cpuShare": cores},
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "ip": "127.0.0.1", "provider": {"address": fleet.store}, "seeds": ",".join(seeds)})
        # The port of the metrics is fixed in the deploy file; several gateways share this host.
        at = command.index("--metrics") + 1
        command[at] = metrics
        self.command = command
        self.log = fleet.folder / f"{name}.log"
        self.process = None
        self.start()

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log, cwd=ROOT)

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def is_ready(self):
        return call(self.ready, "GET", "/-/ready", timeout=1)[0] == 200

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """The platform's stand-in and gateways before it. `zones` names the zone of each gateway, `cores`
    the `cpuShare` of its machine."""

    def __init__(self, world, zones, cores=None, **options):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figmill-review-"))
        self.ports = Ports()
        self.gateways = []
        arguments = [f"--{name.replace('_', '-')}={value}" for name, value in options.items()]
        self.world = subprocess.Popen([sys.executable, "-B", world, *arguments],
                                      stdout=subprocess.PIPE, text=True)
        line = self.world.stdout.readline()
        if not line:
            raise CannotRun("the stand-in of the platform has not started")
        ready = json.loads(line)
        self.store, self.steer = ready["store"], ready["control"]
        for i, zone in enumerate(zones):
            seeds = [gateway.control for gateway in self.gateways[:3]]
            share = cores[i] if cores else 0.5
            self.gateways.append(Gateway(self, f"front-{zone}-{i}", zone, seeds, share))

    def await_ready(self):
        for gateway in self.gateways:
            wait_for(f"{gateway.name} is ready", gateway.is_ready)
        time.sleep(2)  # until the gateways know each other

    def do(self, order, **more):
        status, body = repeated(self.steer, "POST", "/control", json.dumps({"do": order} | more))
        if status != 200:
            raise CannotRun(f"the stand-in refused {order}: {body}")
        return json.loads(body)

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        self.world.kill()
        self.world.wait()
        self.ports.release()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Runs case(record) and ends the process with the status that the review asks for."""
    record = Record(folder)
    record.write(f"trouble {'on' if TROUBLE else 'off'}")
    try:
        broken = case(record)
    except Exception as why:  # of the script itself: it says nothing about the rule
        record.write(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record.write(f"BROKEN {line}")
    record.write(f"verdict: {'the rule was broken' if broken else 'the rule held'}")
    print(f"{len(broken)} breaks of the rule" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


TERM, KILL = signal.SIGTERM, signal.SIGKILL
