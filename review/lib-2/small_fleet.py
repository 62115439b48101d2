"""A small deployment on loopback for the cases beside this folder: the project's stand-in of the
platform, engines as processes of their own, and gateways started with the command of
deploy/system.toml. Only processes that were started here are ended, by their pid."""

import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT / "test"), str(ROOT / "support")]

from gateways import HOST, World, call, wait_for  # noqa: E402
from ports import Ports  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
BOUNDS = {"quotaExcess": "0.1"}  # as in the pages' example of settings


def command_of(values):
    """The command of the deploy file; a placeholder without a value becomes nothing."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    line = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1)
    return [re.sub(r"{{([^}]*)}}", lambda name: values.get(name.group(1), ""), word)
            for word in line.split(" ")]


class Engine:
    def __init__(self, fleet, name, service="llm", zone="north-a", **options):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.options, self.slots = options, options.get("slots", 8)
        self.log, self.port = fleet.folder / f"{name}.log", 0
        self.start()

    def start(self):
        """Also after a kill: another process, at the address and under the id of the first."""
        words = [f"--{key}={value}" for key, value in self.options.items()]
        starts = self.starts() + 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, pathlib.Path(__file__).with_name("engine.py"),
                 f"--id={self.name}", f"--port={self.port}", *words],
                stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        wait_for(f"{self.name} is ready", lambda: self.starts() == starts)
        self.port = next(line["port"] for line in self.lines() if line["event"] == "ready")
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.list("ready")

    def starts(self):
        return sum(line["event"] == "ready" for line in self.lines())

    def lines(self):
        found = []
        if not self.log.exists():
            return found
        for line in self.log.read_text(errors="replace").splitlines():
            if line.startswith("{") and line.endswith("}"):
                found.append(json.loads(line))
        return found

    def list(self, state):
        """What the engine writes about itself into the platform's store."""
        self.sequence += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "coldLeftMs": 0, "state": state,
                 "sequence": self.sequence, "born": self.born}
        self.fleet.world.do("write", table="servers", key=self.name, value=json.dumps(entry))

    def unlist(self):
        self.fleet.world.do("remove", table="servers", key=self.name)

    def kill(self):
        self.process.kill()
        self.process.wait()


class Gateway:
    def __init__(self, fleet, number, bounds):
        self.name = f"g{number}"
        self.log = fleet.folder / f"{self.name}.log"
        self.callers, self.health, self.peers = (fleet.ports.address() for _ in range(3))
        metrics = fleet.ports.address()
        values = {"node": self.name, "zone": "north-" + "ab"[number % 2], "limits.cpuShare": "0.5",
                  "listen.front": self.callers, "listen.ready": self.health,
                  "listen.control": self.peers, "provider.address": fleet.world.store,
                  "seeds": ",".join(g.peers for g in fleet.gateways)}
        values |= {f"bounds.{key}": value for key, value in (BOUNDS | bounds).items()}
        words = command_of(values)
        # Several on one host: each has a port of its own where the deploy file has a fixed one.
        words[words.index("--metrics") + 1] = metrics
        with self.log.open("wb") as log:
            self.process = subprocess.Popen([ROOT / words[0], *words[1:]], cwd=fleet.folder,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def ready(self):
        return call(self.health, "GET", "/", timeout=1)[0] == 200

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)


class Fleet:
    """A context that ends all processes."""

    def __init__(self, gateways=2, bounds=None, slots=8):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figmill-review-"))
        self.ports, self.engines, self.gateways = Ports(), [], []
        self.world = World(engines=0, services=0, places=slots)
        self.wanted, self.bounds = gateways, bounds or {}

    def engine(self, name, **options):
        engine = Engine(self, name, **options)
        self.engines.append(engine)
        return engine

    def __enter__(self):
        return self

    def start(self):
        for number in range(self.wanted):
            self.gateways.append(Gateway(self, number, self.bounds))
        for gateway in self.gateways:
            wait_for(f"{gateway.name} is ready", gateway.ready)
        time.sleep(2)  # until all of them know each other and the engines' slots

    def runs(self):
        return [line for engine in self.engines for line in engine.lines()
                if line["event"] == "run"]

    def __exit__(self, *_):
        for process in [g.process for g in self.gateways] + [e.process for e in self.engines]:
            process.kill()
            process.wait()
        self.world.stop()
        self.ports.release()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.begun = time.monotonic()

    def add(self, text):
        print(f"{time.monotonic() - self.begun:8.3f} {text}", file=self.file, flush=True)

    def say(self, text):
        self.add(text)
        print(text, flush=True)


def main(folder, case):
    """Runs `case(record)`, which returns BROKEN, HELD or NOT_RUN."""
    # When time is up, what was started is ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    try:
        result = case(record)
    except Exception as mistake:  # what keeps a case from running is no verdict
        record.say(f"could not run: {mistake!r}")
        result = NOT_RUN
    record.say({BROKEN: "the rule was broken", HELD: "the rule held",
                NOT_RUN: "no verdict"}[result])
    sys.exit(result)
